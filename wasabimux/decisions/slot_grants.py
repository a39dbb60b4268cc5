"""Grants of slots at one owner's engines, counted until relays report their use.

Made for loads in which many relays wait for capacity at the same engines: all of them
see the same slot become free, and each would take it. The owner of an engine grants its
slots one at a time. It counts each grant as use until the report of the relay that got
the grant must have arrived.
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

#: Time in s after which a relay must have reported a stream that it was granted.
GRANT_REPORT_DELAY_S = 0.1


class _Grant(NamedTuple):
    upstream: UpstreamId
    memory: MemoryForecast
    expires_s: float


class SlotGrants:
    """Grants of one owner that relays have not reported as use yet."""

    def __init__(self) -> None:
        self._grants: deque[_Grant] = deque()

    def try_grant(
        self, engine: EngineCapacity, memory: MemoryForecast, now: float
    ) -> bool:
        """Grants a slot if the engine has capacity besides its unreported grants.

        Args:
            engine: Capacity of the engine as reported by relays.
            memory: Memory that the stream is expected to use.
            now: Current time in s.

        Returns:
            True if the slot is granted.
        """
        while self._grants and self._grants[0].expires_s <= now:
            self._grants.popleft()
        unreported = [
            item.memory for item in self._grants if item.upstream == engine.upstream
        ]
        used = sum_forecasts([engine.used, *unreported])
        if engine.free_slots <= len(unreported):
            return False
        if not fits_in_memory(engine.memory_tokens, used, memory):
            return False
        self._grants.append(_Grant(engine.upstream, memory, now + GRANT_REPORT_DELAY_S))
        return True
