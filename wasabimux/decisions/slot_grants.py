"""Slots that an engine's owner has granted to relays, until they release them.

Made for loads in which many relays wait for capacity at the same engines: all of them
see the same slot become free, and each would take it. The owner of an engine grants its
slots one at a time and remembers each grant until it is released, so what it grants
does not depend on how late relays report their use.
"""

from __future__ import annotations

from typing import NamedTuple

from wasabimux.decisions.decode_queue import EngineCapacity
from wasabimux.decisions.memory_forecast import (
    MemoryForecast,
    age_forecast,
    fits_in_memory,
    max_forecast,
    sum_forecasts,
)
from wasabimux.ids import PeerRequestId, UpstreamId

#: Time in s after which a grant ends although its release was not received.
MAX_GRANT_S = 20.0


class _Grant(NamedTuple):
    upstream: UpstreamId
    memory: MemoryForecast
    granted_s: float


class SlotGrants:
    """Grants of one owner."""

    def __init__(self) -> None:
        self._grant_by_id: dict[PeerRequestId, _Grant] = {}

    def try_grant(
        self,
        engine: EngineCapacity,
        slots: int,
        grant: PeerRequestId,
        memory: MemoryForecast,
        now: float,
    ) -> bool:
        """Grants a slot if the engine has capacity for the stream.

        Reports arrive late and the owner does not know streams that were granted by an
        earlier owner, so the larger of the reported and the granted use counts.

        Args:
            engine: Capacity of the engine as reported by relays.
            slots: Slots of the engine, free or not.
            grant: Identity of the grant.
            memory: Memory that the stream is expected to use.
            now: Current time in s.

        Returns:
            True if the slot is granted.
        """
        granted = self._granted_at(engine.upstream, now)
        if min(engine.free_slots, slots - len(granted)) <= 0:
            return False
        used = max_forecast(engine.used, sum_forecasts(granted))
        if not fits_in_memory(engine.memory_tokens, used, memory):
            return False
        self._grant_by_id[grant] = _Grant(engine.upstream, memory, now)
        return True

    def release(self, grant: PeerRequestId) -> None:
        """Ends a grant."""
        self._grant_by_id.pop(grant, None)

    def release_relay(self, relay: str) -> None:
        """Ends all grants of a relay that is gone."""
        for grant in [item for item in self._grant_by_id if item.relay == relay]:
            del self._grant_by_id[grant]

    def _granted_at(self, upstream: UpstreamId, now: float) -> list[MemoryForecast]:
        """Returns what the streams granted at an engine are expected to use now."""
        expired = [
            grant
            for grant, item in self._grant_by_id.items()
            if now - item.granted_s > MAX_GRANT_S
        ]
        for grant in expired:
            del self._grant_by_id[grant]
        return [
            age_forecast(item.memory, now - item.granted_s)
            for item in self._grant_by_id.values()
            if item.upstream == upstream
        ]
