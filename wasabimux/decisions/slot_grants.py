"""Grants of slots at one engine, until relays tell of the streams themselves.

Answers the load in which many relays wait for room at the same engines: all see the
same slot come free, and each would take it. The owner of an engine grants them one by
one, and counts a grant until the relay's own word of its use must have come.
"""

from __future__ import annotations

from collections import deque
from typing import NamedTuple

from wasabimux.decisions.decode_queue import EngineCapacity
from wasabimux.decisions.memory_forecast import (
    MemoryForecast,
    fits_in_memory,
    sum_forecasts,
)
from wasabimux.ids import UpstreamId

#: Time after which a relay has told of a stream that it was granted.
GRANT_REPORT_DELAY_S = 0.1


class _Grant(NamedTuple):
    upstream: UpstreamId
    memory: MemoryForecast
    until_s: float


class SlotGrants:
    """Grants of one owner that relays have not told of yet."""

    def __init__(self) -> None:
        self._grants: deque[_Grant] = deque()

    def try_grant(
        self, room: EngineCapacity, memory: MemoryForecast, now: float
    ) -> bool:
        """Grants a slot if there is room for it besides what was granted just now.

        Args:
            room: Room of the engine as relays have told it.
            memory: Memory that the stream is expected to take.
            now: Present time in s.
        """
        while self._grants and self._grants[0].until_s <= now:
            self._grants.popleft()
        untold = [
            item.memory for item in self._grants if item.upstream == room.upstream
        ]
        used = sum_forecasts([room.used, *untold])
        if room.free_slots <= len(untold):
            return False
        if not fits_in_memory(room.memory_tokens, used, memory):
            return False
        self._grants.append(_Grant(room.upstream, memory, now + GRANT_REPORT_DELAY_S))
        return True
