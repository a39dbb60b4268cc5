"""Finds the upstreams that may take a request, and counts what runs where."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from wasabimux.decisions.decode_queue import EngineCapacity
from wasabimux.decisions.memory_forecast import (
    ZERO_FORECAST,
    MemoryForecast,
    sum_forecasts,
)
from wasabimux.decisions.upstream_choice import CallCandidate, choose_upstream
from wasabimux.ids import FailureDomainId, UpstreamId
from wasabimux.relay.mesh import Mesh
from wasabimux.relay.model import Phase, ServiceProfile
from wasabimux.relay.upstreams import Upstream, UpstreamPool
from wasabimux.relay.view import FleetView

#: Peers that must have failed at an engine before it is not tried here. A single one
#: may be cut off by itself.
PEERS_FAILED = 2

#: Part of a cold upstream's bound that all relays together use.
COLD_SHARE = 0.8


class Elsewhere(NamedTuple):
    """What peers have at an upstream.

    Attributes:
        running: Their requests there.
        memory: Memory that these take.
        changing: True if one of them has ordered it to change its phase.
        resting: Peers that leave it alone after failures.
    """

    running: int
    memory: MemoryForecast
    changing: bool = False
    resting: int = 0


NOTHING_ELSEWHERE = Elsewhere(0, ZERO_FORECAST)


class Placing:
    """What may be sent where, at the moment of sending.

    Args:
        view: What the relay believes.
        pool: Upstreams.
        failure_domain: Where the relay runs.
        rng: Source of random choices.
    """

    def __init__(
        self,
        view: FleetView,
        pool: UpstreamPool,
        failure_domain: FailureDomainId,
        rng: random.Random,
    ) -> None:
        self.mesh: Mesh | None = None
        self._view = view
        self._pool = pool
        self._failure_domain = failure_domain
        self._rng = rng

    def may_take(self, upstream: Upstream) -> bool:
        """Tells whether an upstream may get new work at all."""
        known = self._pool.by_id.get(upstream.id) is upstream
        return (
            known
            and not upstream.record.draining
            and not upstream.leaving
            and upstream.record.failure_domain not in self._view.evacuated
        )

    def by_id(self, upstream: UpstreamId) -> Upstream | None:
        """Returns an upstream, None if it is gone."""
        return self._pool.by_id.get(upstream)

    def usable(
        self,
        service: str,
        now: float,
        avoid: list[UpstreamId],
        suits: Callable[[Upstream], bool] = lambda upstream: True,
    ) -> list[Upstream]:
        """Returns the upstreams that may take a request of a service.

        Those that rest after failures are used only if there is no other.
        """
        found = [
            upstream
            for upstream in self._pool.of_service(service)
            if self.may_take(upstream) and upstream.id not in avoid and suits(upstream)
        ]
        awake = [item for item in found if not item.health.is_backing_off(now)]
        return awake or found

    def choose_plain(
        self, service: str, now: float, avoid: list[UpstreamId]
    ) -> Upstream | None:
        """Chooses the upstream for a call of a plain service."""
        upstreams = {item.id: item for item in self.usable(service, now, avoid)}
        if not upstreams:
            return None
        elsewhere = self.running_elsewhere()
        candidates = [
            CallCandidate(
                item.id,
                item.record.slots,
                item.running + elsewhere.get(item.id, NOTHING_ELSEWHERE).running,
                item.health.latency_s,
                item.health.failure_rate(now),
                item.record.failure_domain == self._failure_domain,
            )
            for item in upstreams.values()
        ]
        return upstreams[choose_upstream(candidates, self._rng).upstream]

    def engines(
        self, service: str, phase: Phase, now: float, avoid: list[UpstreamId]
    ) -> list[Upstream]:
        """Returns the engines of a phase that may take a request.

        One that was ordered to change runs nothing new, whatever it reserves. One at
        which several peers have failed is left to them, unless there is no other.
        """
        elsewhere = self.running_elsewhere()

        def suits(item: Upstream) -> bool:
            peers = elsewhere.get(item.id, NOTHING_ELSEWHERE)
            changing = item.changing_until_s > now or peers.changing
            return item.phase is phase and not changing

        found = self.usable(service, now, avoid, suits)
        trusted = [
            item
            for item in found
            if elsewhere.get(item.id, NOTHING_ELSEWHERE).resting < PEERS_FAILED
        ]
        return trusted or found

    def running_elsewhere(self) -> dict[UpstreamId, Elsewhere]:
        """Returns what peers run at upstreams, as they last said."""
        sums: dict[UpstreamId, Elsewhere] = {}
        for peer in self.mesh.peers_by_address.values() if self.mesh else ():
            for part in peer.use.upstreams if peer.use else ():
                upstream = UpstreamId(part.upstream)
                before = sums.get(upstream, NOTHING_ELSEWHERE)
                added = (
                    part.tokens
                    if len(part.tokens) == len(ZERO_FORECAST)
                    else ZERO_FORECAST
                )
                sums[upstream] = Elsewhere(
                    before.running + part.running,
                    sum_forecasts([before.memory, added]),
                    before.changing or part.changing,
                    before.resting + part.resting,
                )
        return sums

    def room(
        self,
        engine: Upstream,
        service: ServiceProfile,
        elsewhere: dict[UpstreamId, Elsewhere],
    ) -> EngineCapacity:
        """Returns the room of an engine as far as is known.

        Args:
            engine: The engine.
            service: Its service.
            elsewhere: What peers run.
        """
        profile = service.engine
        assert profile is not None
        peers = elsewhere.get(engine.id, NOTHING_ELSEWHERE)
        return EngineCapacity(
            engine.id,
            profile.memory_tokens,
            sum_forecasts([engine.memory(), peers.memory]),
            profile.slots - engine.running - peers.running,
            engine.record.failure_domain == self._failure_domain,
        )

    def most_of_a_peer(self, upstream: UpstreamId) -> float:
        """Returns the most memory that the streams of one peer take at an engine."""
        peers = self.mesh.peers_by_address.values() if self.mesh else ()
        return max(
            (
                part.tokens[0]
                for peer in peers
                for part in (peer.use.upstreams if peer.use else ())
                if part.upstream == upstream and part.tokens
            ),
            default=0.0,
        )

    def waiting_elsewhere(self) -> int:
        """Returns the streams that wait for a slot at peers."""
        peers = self.mesh.peers_by_address.values() if self.mesh else ()
        return sum(peer.use.waiting for peer in peers if peer.use)

    def may_send(self, upstream: Upstream, service: ServiceProfile, now: float) -> bool:
        """Checks the bound of a cold upstream and counts the request."""
        members = self.mesh.members() if self.mesh else 1
        per_s = COLD_SHARE * service.cold_per_s / members
        return service.cold_per_s <= 0 or upstream.may_send_cold(per_s, now)
