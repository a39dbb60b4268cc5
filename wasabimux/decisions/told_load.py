"""Load that an upstream tells of itself with its responses."""

from __future__ import annotations

from typing import NamedTuple

#: Time in s for which it counts how many calls wait and how slow the machine is; both
#: change many times a second.
TOLD_LOAD_VALID_S = 0.3

#: Bounds of the slowness that an upstream may tell.
MIN_SLOWNESS = 0.1
MAX_SLOWNESS = 100.0


class ToldLoad(NamedTuple):
    """Load of an upstream as of one response.

    Attributes:
        running: Requests that run.
        waiting: Requests that wait at the upstream.
        slots: Requests that it runs at the same time.
        slowness: How long work takes on its machine, 1 as usual.
    """

    running: int
    waiting: int
    slots: int
    slowness: float
