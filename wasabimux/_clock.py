"""Monotonic clocks for timeouts, and for what must not outlive a suspension."""

from __future__ import annotations

import asyncio
import time


def loop_time() -> float:
    """Returns the monotonic time of the running event loop in s."""
    return asyncio.get_running_loop().time()


def boot_time_s() -> float:
    """Returns the time since boot in s; it also advances during system suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
