"""Selection of upstreams for requests, and the load that peers have on them."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import NamedTuple

from wasabimux._clock import loop_time
from wasabimux.decisions.decode_queue import EngineCapacity
from wasabimux.decisions.memory_forecast import sum_forecasts
from wasabimux.decisions.stream_versions import EngineVersion, staying_versions
from wasabimux.decisions.upstream_choice import CallCandidate, choose_upstream
from wasabimux.decisions.upstream_pause import soonest_end_s
from wasabimux.decisions.usage_sums import NO_LOAD, NO_USAGE, UpstreamLoad, Usage
from wasabimux.ids import FailureDomainId, SoftwareVersion, UpstreamId
from wasabimux.relay.context import RelayRequest
from wasabimux.relay.mesh import Mesh
from wasabimux.relay.model import Phase, ServiceProfile
from wasabimux.relay.pacing import UpstreamPacer
from wasabimux.relay.upstreams import Upstream, UpstreamPool
from wasabimux.relay.view import FleetView

#: Number of peers that must be backing off from an engine before this relay avoids it.
#: A single peer may have lost its own connectivity.
MIN_PEERS_BACKING_OFF = 2

#: Reason of refusals until the first upstream takes requests again.
ALL_PAUSE_TEXT = "all upstreams have asked for a pause"


class UpstreamTurn(NamedTuple):
    """A time in s from which this relay may send a request to an upstream."""

    upstream: Upstream
    at_s: float


class UpstreamSelector:
    """Selects upstreams by their state and load at the time of sending.

    Args:
        view: The relay's local view of the fleet.
        pool: Upstreams.
        failure_domain: Failure domain of the relay.
        rng: Source of randomness.

    Attributes:
        mesh: Links to peers; None until they are set up, as if there were no peers.
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
        self._pacer = UpstreamPacer(self._relay_count, rng)

    def accepts_requests(self, upstream: Upstream, now: float) -> bool:
        """Returns True if an upstream may receive new requests at all."""
        return self._is_in_service(upstream) and not upstream.pause.is_active(now)

    def _is_in_service(self, upstream: Upstream) -> bool:
        return self._is_offered(upstream) and not upstream.misdirected

    def _is_offered(self, upstream: Upstream) -> bool:
        """Returns whether an upstream and the operators let it take requests."""
        is_current = self._pool.by_id.get(upstream.id) is upstream
        return (
            is_current
            and not upstream.leaving
            and upstream.record.failure_domain not in self._view.evacuated_domains
        )

    def offered(self, service: str) -> list[Upstream]:
        """Returns the upstreams of a service that other relays can use.

        What this relay alone has seen of them does not count; those that several peers
        back off from are returned only if there is no other.
        """
        offered = [
            item for item in self._pool.of_service(service) if self._is_offered(item)
        ]
        healthy = [item for item in offered if not self._is_avoided_by_peers(item)]
        return healthy or offered

    def _is_avoided_by_peers(self, upstream: Upstream) -> bool:
        return self.peer_load(upstream.id).backing_off >= MIN_PEERS_BACKING_OFF

    def service(self, name: str) -> ServiceProfile | None:
        """Returns a service by its name, None if the desired state has none."""
        desired = self._view.desired_state
        return None if desired is None else desired.service_by_name.get(name)

    def of_service(self, service: str) -> list[Upstream]:
        """Returns the upstreams of a service by its name, whatever their state."""
        return self._pool.of_service(service)

    def excluded(self, request: RelayRequest) -> list[UpstreamId]:
        """Returns the upstreams that the next attempt of a request must not go to."""
        return [
            item.id
            for item in self._pool.of_service(request.service.name)
            if not request.may_be_sent_to(item.id)
        ]

    def by_id(self, upstream: UpstreamId) -> Upstream | None:
        """Returns an upstream by its identity, None if there is none."""
        return self._pool.by_id.get(upstream)

    def usable(
        self,
        service: str,
        now: float,
        avoid: list[UpstreamId],
        suits: Callable[[Upstream], bool] = lambda upstream: True,
    ) -> list[Upstream]:
        """Returns the upstreams that may receive a request of a service.

        Upstreams that the relay backs off from are returned only if there is no other.

        Args:
            service: Name of the service.
            now: Current time in s.
            avoid: Upstreams to exclude.
            suits: Further condition on an upstream.
        """
        candidates = [
            upstream
            for upstream in self._pool.of_service(service)
            if self.accepts_requests(upstream, now)
            and upstream.id not in avoid
            and suits(upstream)
        ]
        healthy = [item for item in candidates if not item.health.is_backing_off(now)]
        return healthy or candidates

    def choose_plain(
        self, service: ServiceProfile, now: float, avoid: list[UpstreamId]
    ) -> Upstream | None:
        """Chooses the upstream for a call to a non-generation HTTP service."""
        found = self.usable(
            service.name, now, avoid, lambda item: self.may_send(item, service)
        )
        upstreams = {item.id: item for item in found}
        if not upstreams:
            return None
        candidates = [
            CallCandidate(
                item.id,
                item.record.slots,
                item.running + self.peer_load(item.id).running,
                item.health.latency_s(now),
                item.health.failure_rate(now),
                item.record.failure_domain == self._failure_domain,
            )
            for item in upstreams.values()
        ]
        return upstreams[choose_upstream(candidates, self._rng).upstream]

    def engines(
        self,
        service: str,
        phase: Phase,
        now: float,
        avoid: list[UpstreamId],
        software: SoftwareVersion | None = None,
    ) -> list[Upstream]:
        """Returns the engines of a phase that may receive a request.

        Engines that are changing their phase are excluded: they reject new requests
        even with a reservation. Engines that several peers back off from are returned
        only if there is no other.

        Args:
            service: Name of the service.
            phase: Phase of the engines.
            now: Current time in s.
            avoid: Engines to exclude.
            software: Software version of the engines, None for any.
        """

        def suits(item: Upstream) -> bool:
            is_fitting = software is None or item.record.software == software
            is_ready = item.phase is phase and not self.is_changing_phase(item, now)
            return is_ready and is_fitting

        candidates = self.usable(service, now, avoid, suits)
        healthy = [item for item in candidates if not self._is_avoided_by_peers(item)]
        return healthy or candidates

    def has_engine_of(self, request: RelayRequest, phase: Phase, now: float) -> bool:
        """Returns whether an engine may take a stream of one software version.

        It may be full or changing its phase now.
        """

        def suits(item: Upstream) -> bool:
            return item.phase is phase and item.record.software == request.software

        excluded = self.excluded(request)
        return bool(self.usable(request.service.name, now, excluded, suits))

    def is_changing_phase(self, engine: Upstream, now: float) -> bool:
        """Returns whether this relay or a peer knows that an engine is changing."""
        peers_know = self.peer_load(engine.id).changing_phase
        return engine.phase_change_until_s > now or bool(peers_know)

    def pause_left_s(
        self,
        service: str,
        now: float,
        phase: Phase | None = None,
        software: SoftwareVersion | None = None,
    ) -> float | None:
        """Returns the time in s until the first upstream takes requests again.

        Args:
            service: Name of the service.
            now: Current time in s.
            phase: Phase of engines, None for a plain service.
            software: Software version of the engines, None for any.

        Returns:
            The time; None unless all upstreams have asked for a pause.
        """
        pauses = [
            item.pause
            for item in self._pool.of_service(service)
            if self._is_in_service(item)
            and item.phase is phase
            and (software is None or item.record.software == software)
        ]
        return soonest_end_s(pauses, now)

    def staying_versions(self, service: str) -> frozenset[SoftwareVersion]:
        """Returns the software versions that streams should rather begin at."""
        return staying_versions(
            EngineVersion(item.record.software, item.leaving)
            for item in self._pool.of_service(service)
        )

    def peer_load(self, upstream: UpstreamId) -> UpstreamLoad:
        """Returns the load that all peers have on an upstream, as last reported."""
        return self._peer_usage().load_by_upstream.get(upstream, NO_LOAD)

    def engine_capacity(
        self, engine: Upstream, service: ServiceProfile
    ) -> EngineCapacity:
        """Returns the capacity of an engine and its use, as known to this relay.

        Args:
            engine: The engine.
            service: Service of the engine.
        """
        profile = service.engine
        assert profile is not None
        peer_load = self.peer_load(engine.id)
        return EngineCapacity(
            engine.id,
            profile.memory_tokens,
            sum_forecasts([engine.memory(), peer_load.memory]),
            profile.slots - engine.running - peer_load.running,
            engine.record.failure_domain == self._failure_domain,
        )

    def max_peer_memory(self, upstream: UpstreamId) -> float:
        """Returns the largest KV cache memory that one peer uses at an engine.

        Args:
            upstream: The engine.

        Returns:
            Memory in tokens, 0 if no peer uses the engine.
        """
        return self.peer_load(upstream).largest_memory

    def waiting_at_peers(self) -> int:
        """Returns the number of streams that wait for a decode slot at peers."""
        return self._peer_usage().waiting

    def _peer_usage(self) -> Usage:
        return self.mesh.others if self.mesh else NO_USAGE

    def may_send(self, upstream: Upstream, service: ServiceProfile) -> bool:
        """Returns whether an upstream that bears few requests may get one now."""
        now = loop_time()
        return self._pacer.next_turn_s(upstream, service, now) <= now

    def on_send(
        self, upstream: Upstream, service: ServiceProfile, requests: int = 1
    ) -> None:
        """Counts requests to an upstream, or a slot reserved for them."""
        self._pacer.take_turn(upstream, service, loop_time(), requests)

    def claim_turn(
        self,
        service: ServiceProfile,
        now: float,
        latest_s: float,
        avoid: list[UpstreamId],
    ) -> UpstreamTurn | None:
        """Claims the next turn at an upstream of a plain service.

        Args:
            service: The service.
            now: Current time in s.
            latest_s: Latest time in s at which the turn is of use.
            avoid: Upstreams to exclude.

        Returns:
            The turn, None if there is none in time.
        """
        turn = self._next_turn(service, now, avoid)
        if turn is None or turn.at_s > latest_s:
            return None
        at_s = self._pacer.take_turn(turn.upstream, service, now)
        return UpstreamTurn(turn.upstream, at_s)

    def turn_wait_s(
        self, service: ServiceProfile, now: float, avoid: list[UpstreamId]
    ) -> float | None:
        """Returns the time in s until the next turn, None without any upstream."""
        turn = self._next_turn(service, now, avoid)
        return None if turn is None else max(0.0, turn.at_s - now)

    def _next_turn(
        self, service: ServiceProfile, now: float, avoid: list[UpstreamId]
    ) -> UpstreamTurn | None:
        turns = [
            UpstreamTurn(item, self._pacer.next_turn_s(item, service, now))
            for item in self.usable(service.name, now, avoid)
        ]
        return min(turns, key=lambda turn: turn.at_s, default=None)

    def _relay_count(self) -> int:
        return self.mesh.relay_counts().known if self.mesh else 1
