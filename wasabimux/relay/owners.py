"""Grants of decode slots by the one relay that owns an engine.

While relays disagree on the owner, or the owner is unreachable, a relay grants slots by
itself. Engines may then be overcommitted for a short time, which adds latency but does
not affect correctness.
"""

from __future__ import annotations

import asyncio
import itertools
from typing import NamedTuple

from wasabimux._clock import loop_time
from wasabimux.decisions.memory_forecast import ZERO_FORECAST, MemoryForecast
from wasabimux.decisions.slot_grants import SlotGrants
from wasabimux.ids import PeerRequestId, UpstreamId
from wasabimux.link.link import Link
from wasabimux.link.messages import SlotGrantReply, SlotGrantRequest, SlotRelease
from wasabimux.relay.mesh import Mesh
from wasabimux.relay.model import ServiceProfile
from wasabimux.relay.owner_directory import (
    OwnerDirectory,
    PassedRequest,
    PassedRequests,
)
from wasabimux.relay.placing import UpstreamSelector
from wasabimux.relay.upstreams import Upstream
from wasabimux.relay.view import FleetView
from wasabimux.timeline import Timeline

#: Timeout of a slot request to the owner of an engine, which may be two hops away.
OWNER_TIMEOUT_S = 0.2


class SlotLease(NamedTuple):
    """A granted slot, to be released once it is no longer used.

    Attributes:
        number: Number of the request that was granted.
        asked: Address of the relay that received the request, empty if none did.
    """

    number: int
    asked: str = ""


class SlotArbiter:
    """Requests slots from owners of engines, and grants slots as an owner.

    Args:
        mesh: Links to the other relays.
        view: This relay's local view of the fleet.
        selector: Looks up engines and their capacity.
        timeline: Records owners that do not reply.
    """

    def __init__(
        self,
        mesh: Mesh,
        view: FleetView,
        selector: UpstreamSelector,
        timeline: Timeline,
    ) -> None:
        self._mesh = mesh
        self._view = view
        self._selector = selector
        self._timeline = timeline
        self._owners = OwnerDirectory(mesh)
        self._grants = SlotGrants()
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[bool]] = {}
        self._passed = PassedRequests()

    async def request_grant(
        self, engine: Upstream, service: ServiceProfile, memory: MemoryForecast
    ) -> SlotLease | None:
        """Returns the lease of a slot, None if the owner of the engine refuses it.

        Args:
            engine: The engine, whose running requests include the requesting stream.
            service: Service of the engine.
            memory: Expected KV cache memory of the stream.
        """
        number = next(self._numbers)
        asked = self._owners.next_hop(engine.id)
        request = SlotGrantRequest(number, engine.id, memory)
        if asked == self._mesh.address or not self._mesh.send_to(asked, request):
            return self._grant_locally(number, engine, service, memory)
        granted: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._pending[number] = granted
        try:
            async with asyncio.timeout(OWNER_TIMEOUT_S):
                return SlotLease(number, asked) if await granted else None
        except TimeoutError:
            self._timeline.record("slot_owner_silent", upstream=engine.id, peer=asked)
            self._mesh.send_to(asked, SlotRelease(number))
            return self._grant_locally(number, engine, service, memory)
        except asyncio.CancelledError:
            self._mesh.send_to(asked, SlotRelease(number))
            raise
        finally:
            del self._pending[number]

    def release(self, lease: SlotLease) -> None:
        """Releases a slot."""
        if lease.asked:
            self._mesh.send_to(lease.asked, SlotRelease(lease.number))
        else:
            self._grants.release(PeerRequestId(self._mesh.address, lease.number))

    def on_slot_ask(self, link: Link, request: SlotGrantRequest) -> None:
        """Replies to a peer's slot request, or passes it on to the owner."""
        relay = self._mesh.address_of(link)
        if relay is None:
            return
        owner = self._owners.owner(request.upstream)
        if self._owners.may_pass_on(relay, owner):
            number = next(self._numbers)
            if self._mesh.send_to(owner, request._replace(correlation_id=number)):
                grant = PeerRequestId(relay, request.correlation_id)
                self._passed.add(PassedRequest(number, grant, owner))
                return
        granted = self._grant_to_peer(relay, request)
        link.send(0, SlotGrantReply(request.correlation_id, granted))

    def on_slot_answer(self, reply: SlotGrantReply) -> None:
        """Completes the pending slot request that an owner has replied to."""
        passed = self._passed.by_number(reply.correlation_id)
        if passed is not None:
            relay, number = passed.request
            self._mesh.send_to(relay, SlotGrantReply(number, reply.granted))
            if not reply.granted:
                self._passed.take(passed.request)
            return
        pending = self._pending.get(reply.correlation_id)
        if pending is not None and not pending.done():
            pending.set_result(reply.granted)

    def on_slot_release(self, link: Link, release: SlotRelease) -> None:
        """Releases the slot of a peer."""
        relay = self._mesh.address_of(link)
        if relay is None:
            return
        grant = PeerRequestId(relay, release.correlation_id)
        self._grants.release(grant)
        self._release_at_owner(self._passed.take(grant))

    def on_relay_lost(self, relay: str) -> None:
        """Releases the slots of a relay whose process has ended."""
        self._grants.release_relay(relay)
        for passed in self._passed.take_from(relay):
            self._release_at_owner(passed)

    def _release_at_owner(self, passed: PassedRequest | None) -> None:
        """Tells the owner that a slot is released whose request was passed on to it."""
        if passed is not None:
            self._mesh.send_to(passed.owner, SlotRelease(passed.number))

    def _grant_to_peer(self, relay: str, request: SlotGrantRequest) -> bool:
        engine = self._selector.by_id(UpstreamId(request.upstream))
        desired = self._view.desired_state
        service = (
            desired.service_by_name.get(engine.record.service)
            if desired is not None and engine is not None
            else None
        )
        if engine is None or service is None or service.engine is None:
            return True  # an engine that this relay does not know yet: trust the peer
        memory = request.memory_forecast
        if len(memory) != len(ZERO_FORECAST):
            memory = ZERO_FORECAST  # a relay of another version has other horizons
        return self._grants.try_grant(
            self._selector.engine_capacity(engine, service),
            service.engine.slots,
            PeerRequestId(relay, request.correlation_id),
            memory,
            loop_time(),
        )

    def _grant_locally(
        self,
        number: int,
        engine: Upstream,
        service: ServiceProfile,
        memory: MemoryForecast,
    ) -> SlotLease | None:
        """Grants a slot to a stream of this relay, which counts as running already."""
        assert service.engine is not None
        capacity = self._selector.engine_capacity(engine, service)
        without_stream = capacity._replace(
            free_slots=capacity.free_slots + 1,
            used=tuple(used - own for used, own in zip(capacity.used, memory)),
        )
        grant = PeerRequestId(self._mesh.address, number)
        granted = self._grants.try_grant(
            without_stream, service.engine.slots, grant, memory, loop_time()
        )
        return SlotLease(number) if granted else None
