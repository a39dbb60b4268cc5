"""Places for calls at upstreams of plain services, from one line for all relays.

While an upstream of a service has a short queue, calls are sent at once and nothing is
asked. Once all have long ones, each call asks the relay that owns the service's line
for a place and waits there with the calls of all relays. See
`wasabimux.decisions.call_line`.

A relay that hears nothing from the owner sends its calls at once, as if there was no
line; then the upstreams' own queues fill, and nothing else is lost.
"""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass, field
from typing import NamedTuple

from wasabimux._clock import loop_time
from wasabimux.adapters.relay_metrics import RelayMetrics
from wasabimux.decisions.call_line import (
    CallLine,
    LineCall,
    Refused,
    UpstreamRoom,
)
from wasabimux.decisions.told_load import ToldLoad
from wasabimux.errors import ErrorCode
from wasabimux.ids import PeerRequestId, UpstreamId
from wasabimux.link.link import Link
from wasabimux.link.messages import (
    PlaceRelease,
    PlaceReply,
    PlaceRequest,
    PlaceState,
)
from wasabimux.relay.context import RESPONSE_MARGIN_S, RelayRequest
from wasabimux.relay.mesh import Mesh
from wasabimux.relay.owner_directory import (
    OwnerDirectory,
    PassedRequest,
    PassedRequests,
)
from wasabimux.relay.placing import UpstreamSelector
from wasabimux.relay.upstreams import Upstream

#: Calls that wait at each upstream of a service, for each of its slots, from which
#: calls ask for places, and time in s after which they no longer do once fewer wait.
BUSY_WAITING_PER_SLOT = 1.0
BUSY_KEPT_S = 1.0

#: Time in s in which the owner of a line replies that a call waits, has a place or is
#: refused; it may be two hops away.
OWNER_TIMEOUT_S = 0.15

#: Time in s between checks of whether the relay that was asked is still heard, and the
#: time without a message after which it is not.
HEARD_CHECK_S = 0.2
SILENT_AFTER_S = 0.8

#: Interval in s at which an owner looks for calls that have ended.
SERVE_INTERVAL_S = 0.05


class CallPlace(NamedTuple):
    """A place at an upstream, to be released after the call.

    Attributes:
        upstream: The upstream.
        number: Number of the request for the place.
        asked: Address of the relay that was asked.
    """

    upstream: Upstream
    number: int
    asked: str


@dataclass
class _Asked:
    """A call of this relay that waits for a place.

    Attributes:
        relay: Address of the relay that was asked.
        reply: Receives the place or the refusal; None if the owner was lost.
        is_known: Set once the owner has replied in any way, or was lost.
    """

    relay: str
    reply: asyncio.Future[PlaceReply | None]
    is_known: asyncio.Event = field(default_factory=asyncio.Event)


class CallLines:
    """Asks for places, and gives places as an owner.

    Args:
        mesh: Links to the other relays.
        selector: Looks up upstreams.
        metrics: Measures how long calls wait.
    """

    def __init__(
        self, mesh: Mesh, selector: UpstreamSelector, metrics: RelayMetrics
    ) -> None:
        self._mesh = mesh
        self._selector = selector
        self._metrics = metrics
        self._owners = OwnerDirectory(mesh)
        self._numbers = itertools.count(1)
        self._line_by_service: dict[str, CallLine] = {}
        self._asked_by_number: dict[int, _Asked] = {}
        self._passed = PassedRequests()
        self._busy_until_s: dict[str, float] = {}

    @property
    def waiting(self) -> int:
        """Number of calls that wait in the lines that this relay owns."""
        return sum(line.waiting for line in self._line_by_service.values())

    @property
    def held(self) -> int:
        """Number of places that this relay has given."""
        return sum(line.held for line in self._line_by_service.values())

    async def enter(
        self, request: RelayRequest, avoid: list[UpstreamId]
    ) -> CallPlace | None:
        """Waits for a place at an upstream while the service is busy.

        Args:
            request: The call.
            avoid: Upstreams to exclude.

        Returns:
            The place; None if the call is to be sent at once.

        Raises:
            RefusedError: The call cannot be served in time.
        """
        now = loop_time()
        service = request.service.name
        if not self._is_busy(service, now):
            return None
        number = next(self._numbers)
        asked = _Asked(
            self._owners.next_hop(service),
            asyncio.get_running_loop().create_future(),
        )
        self._asked_by_number[number] = asked
        request.is_in_line = True
        try:
            avoid = [*avoid, *self._unusable(service, now)]
            self._ask(_place_request(request, number, avoid, now), asked)
            reply = await self._reply(asked)
        except BaseException:
            self._release(asked.relay, PlaceRelease(number))
            raise
        finally:
            request.is_in_line = False
            del self._asked_by_number[number]
        self._metrics.on_step("place_wait", loop_time() - now)
        if reply is None:
            self._release(asked.relay, PlaceRelease(number))
            return None
        if reply.state is PlaceState.REFUSED:
            text = "the upstreams cannot serve the call in time"
            raise request.refusal_error(ErrorCode.OVERLOADED, text, reply.retry_after_s)
        upstream = self._selector.by_id(UpstreamId(reply.upstream))
        if upstream is None or not self._selector.accepts_requests(
            upstream, loop_time()
        ):
            self._release(asked.relay, PlaceRelease(number))
            return None
        return CallPlace(upstream, number, asked.relay)

    def leave(self, place: CallPlace, took_s: float, now: float) -> None:
        """Releases a place.

        Args:
            place: The place.
            took_s: Time in s that the call took, 0 if it was not served.
            now: Current time in s.
        """
        load = place.upstream.fresh_load(now)
        self._release(place.asked, PlaceRelease(place.number, took_s, load))

    def on_place_request(self, link: Link, request: PlaceRequest) -> None:
        """Takes a peer's call into the line, or passes it on to the owner."""
        relay = self._mesh.address_of(link)
        if relay is None:
            return
        owner = self._owners.owner(request.service)
        if self._owners.may_pass_on(relay, owner):
            number = next(self._numbers)
            if self._mesh.send_to(owner, request._replace(correlation_id=number)):
                call = PeerRequestId(relay, request.correlation_id)
                self._passed.add(PassedRequest(number, call, owner))
                return
        self._add(relay, request)

    def on_place_reply(self, reply: PlaceReply) -> None:
        """Takes over what the owner of a line says of a call."""
        passed = self._passed.by_number(reply.correlation_id)
        if passed is not None:
            relay, number = passed.request
            self._mesh.send_to(relay, reply._replace(correlation_id=number))
            if reply.state is PlaceState.REFUSED:
                self._passed.take(passed.request)
            return
        asked = self._asked_by_number.get(reply.correlation_id)
        if asked is None:
            return  # the call has given up and told so
        asked.is_known.set()
        if reply.state is not PlaceState.WAITS and not asked.reply.done():
            is_lost = reply.state is PlaceState.LOST
            asked.reply.set_result(None if is_lost else reply)

    def on_place_release(self, link: Link, release: PlaceRelease) -> None:
        """Frees a place of a peer, or ends the wait of its call."""
        relay = self._mesh.address_of(link)
        if relay is None:
            return
        call = PeerRequestId(relay, release.correlation_id)
        passed = self._passed.take(call)
        if passed is None:
            self._free(call, release)
        else:
            passed_on = release._replace(correlation_id=passed.number)
            self._mesh.send_to(passed.owner, passed_on)

    def on_relay_lost(self, relay: str) -> None:
        """Ends the calls of a relay that is gone, and the waits for its replies."""
        for line in self._line_by_service.values():
            line.remove_relay(relay)
        for passed in self._passed.take_from(relay):
            self._mesh.send_to(passed.owner, PlaceRelease(passed.number))
        for passed in self._passed.take_to(relay):
            lost = PlaceReply(passed.request.number, PlaceState.LOST)
            self._mesh.send_to(passed.request.relay, lost)
        for asked in self._asked_by_number.values():
            if asked.relay == relay and not asked.reply.done():
                asked.is_known.set()
                asked.reply.set_result(None)
        self._serve_all()

    async def run(self) -> None:
        """Looks for calls that have ended, and for free places, until cancelled."""
        while True:
            await asyncio.sleep(SERVE_INTERVAL_S)
            if self.waiting:
                self._refuse_hopeless(loop_time())
                self._serve_all()

    def _is_busy(self, service: str, now: float) -> bool:
        """Returns whether calls of a service have to ask for places.

        Only where upstreams tell their load, from which the limits follow.
        """
        upstreams = self._selector.usable(service, now, [])
        if not upstreams or any(item.told_load is None for item in upstreams):
            return False
        loads = [item.fresh_load(now) for item in upstreams]
        fresh = [load for load in loads if load is not None]
        if fresh and all(
            load.waiting >= BUSY_WAITING_PER_SLOT * load.slots for load in fresh
        ):
            self._busy_until_s[service] = now + BUSY_KEPT_S
        return now < self._busy_until_s.get(service, 0.0)

    def _unusable(self, service: str, now: float) -> list[UpstreamId]:
        """Returns the upstreams of a service that this relay cannot use itself."""
        usable = {item.id for item in self._selector.usable(service, now, [])}
        upstreams = self._selector.of_service(service)
        return [item.id for item in upstreams if item.id not in usable]

    def _ask(self, request: PlaceRequest, asked: _Asked) -> None:
        """Sends a request to the owner of the line, which may be this relay."""
        if asked.relay != self._mesh.address:
            if self._mesh.send_to(asked.relay, request):
                return
            asked.relay = self._mesh.address
        self._add(self._mesh.address, request)

    async def _reply(self, asked: _Asked) -> PlaceReply | None:
        """Returns the owner's last reply, None if the owner is not heard."""
        try:
            async with asyncio.timeout(OWNER_TIMEOUT_S):
                await asked.is_known.wait()
        except TimeoutError:
            return None
        while not asked.reply.done():
            await asyncio.wait({asked.reply}, timeout=HEARD_CHECK_S)
            if not asked.reply.done() and not self._is_heard(asked.relay):
                return None
        return asked.reply.result()

    def _is_heard(self, relay: str) -> bool:
        peer = self._mesh.membership.peer_by_address.get(relay)
        if peer is None:
            return relay == self._mesh.address
        return peer.heard_s is not None and (
            loop_time() - peer.heard_s <= SILENT_AFTER_S
        )

    def _add(self, relay: str, request: PlaceRequest) -> None:
        """Takes a call into the line of its service, as the owner."""
        now = loop_time()
        line = self._line_by_service.setdefault(request.service, CallLine())
        call = LineCall(
            PeerRequestId(relay, request.correlation_id),
            request.workspace,
            request.priority,
            request.beyond_share,
            request.came_back,
            now + request.on_time_s - line.mean_s,
            now + request.end_s - line.mean_s,
            frozenset(map(UpstreamId, request.avoid)),
        )
        rooms = self._rooms(request.service, now)
        refused = line.add(call, rooms, now)
        if refused is not None:
            self._tell_refused([refused])
            return
        self._serve(request.service, now)
        if line.is_waiting(call.id):
            self._tell(call.id, PlaceState.WAITS)

    def _free(self, call: PeerRequestId, release: PlaceRelease) -> None:
        now = loop_time()
        for service, line in self._line_by_service.items():
            if line.has(call):
                self._free_in(line, call, release, now)
                self._serve(service, now)

    def _free_in(
        self, line: CallLine, call: PeerRequestId, release: PlaceRelease, now: float
    ) -> None:
        """Ends a call in its line, which learns from how the call was served."""
        if release.took_s:
            slowness = 1.0 if release.load is None else release.load.slowness
            line.on_served(call, slowness, now)
        upstream_id = line.remove(call)
        upstream = None if upstream_id is None else self._selector.by_id(upstream_id)
        if upstream is not None and release.load is not None:
            upstream.on_told_load(release.load, now)

    def _serve_all(self) -> None:
        now = loop_time()
        for service in self._line_by_service:
            self._serve(service, now)

    def _serve(self, service: str, now: float) -> None:
        """Gives free places in a line to its first calls."""
        line = self._line_by_service[service]
        places, refused = line.serve(self._rooms(service, now), now)
        for place in places:
            self._tell(place.call, PlaceState.HAS_PLACE, place.upstream)
        self._tell_refused(refused)

    def _refuse_hopeless(self, now: float) -> None:
        """Refuses calls in the lines that will not get a place before they end."""
        for service, line in self._line_by_service.items():
            self._tell_refused(line.refuse_hopeless(self._rooms(service, now), now))

    def _tell_refused(self, refused: list[Refused]) -> None:
        for refusal in refused:
            retry_after_s = refusal.retry_after_s
            self._tell(refusal.call, PlaceState.REFUSED, retry_after_s=retry_after_s)

    def _tell(
        self,
        call: PeerRequestId,
        state: PlaceState,
        upstream: str = "",
        retry_after_s: float = 0.0,
    ) -> None:
        reply = PlaceReply(call.number, state, upstream, retry_after_s)
        if call.relay == self._mesh.address:
            self.on_place_reply(reply)
        else:
            self._mesh.send_to(call.relay, reply)

    def _release(self, relay: str, release: PlaceRelease) -> None:
        if relay == self._mesh.address:
            self._free(PeerRequestId(relay, release.correlation_id), release)
        else:
            self._mesh.send_to(relay, release)

    def _rooms(self, service: str, now: float) -> list[UpstreamRoom]:
        """Returns what the upstreams of a service can work on."""
        rooms = []
        for upstream in self._selector.offered(service):
            load = upstream.fresh_load(now) or ToldLoad(
                0, 0, upstream.record.slots, 1.0
            )
            slots = upstream.record.slots
            rooms.append(UpstreamRoom(upstream.id, slots, load.waiting, load.slowness))
        return rooms


def _place_request(
    request: RelayRequest, number: int, avoid: list[UpstreamId], now: float
) -> PlaceRequest:
    """Returns the request for a call's place."""
    on_time_s = request.arrived_s + request.route.target_latency_s - now
    return PlaceRequest(
        number,
        request.service.name,
        request.workspace or "",
        request.priority,
        request.beyond_share,
        request.is_client_retry,
        on_time_s,
        request.remaining_s(now) - RESPONSE_MARGIN_S,
        tuple(avoid),
    )
