"""Monotonic clock for all timeouts and leases."""

from __future__ import annotations

import asyncio


def loop_time() -> float:
    """Returns the monotonic time of the running event loop in s."""
    return asyncio.get_running_loop().time()
