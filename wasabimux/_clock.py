"""The clock that all waits and leases use."""

from __future__ import annotations

import asyncio


def loop_time() -> float:
    """Returns the monotonic time of the running loop in s."""
    return asyncio.get_running_loop().time()
