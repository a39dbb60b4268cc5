"""Grants of decode slots by the one relay that owns an engine.

The owner of an engine is chosen by rendezvous hashing over the relays that receive one
another's reports. While relays disagree on the owner, or the owner is unreachable, a
relay grants slots by itself. Engines may then be overcommitted for a short time, which
adds latency but does not affect correctness.
"""

from __future__ import annotations

import asyncio
import itertools

from wasabimux._clock import loop_time
from wasabimux.decisions.decode_queue import EngineCapacity
from wasabimux.decisions.memory_forecast import ZERO_FORECAST, MemoryForecast
from wasabimux.decisions.placement import rendezvous_top
from wasabimux.decisions.slot_grants import SlotGrants
from wasabimux.ids import UpstreamId
from wasabimux.link.link import Link
from wasabimux.link.messages import SlotGrantReply, SlotGrantRequest
from wasabimux.relay.mesh import Mesh
from wasabimux.relay.model import ServiceProfile
from wasabimux.relay.placing import UpstreamSelector
from wasabimux.relay.upstreams import Upstream
from wasabimux.relay.view import FleetView

#: Timeout of a slot request to the owner of an engine.
OWNER_TIMEOUT_S = 0.1


class SlotArbiter:
    """Requests slots from owners of engines, and grants slots as an owner.

    Args:
        address: Address of this relay for links to peers.
        mesh: Links to the other relays.
        view: This relay's local view of the fleet.
        selector: Looks up engines and their capacity.
    """

    def __init__(
        self, address: str, mesh: Mesh, view: FleetView, selector: UpstreamSelector
    ) -> None:
        self._address = address
        self._mesh = mesh
        self._view = view
        self._selector = selector
        self._grants = SlotGrants()
        self._numbers = itertools.count(1)
        self._pending: dict[int, asyncio.Future[bool]] = {}

    async def request_grant(
        self, engine: Upstream, service: ServiceProfile, memory: MemoryForecast
    ) -> bool:
        """Returns True if the owner of an engine grants a slot there.

        Args:
            engine: The engine, whose running requests include the requesting stream.
            service: Service of the engine.
            memory: Expected KV cache memory of the stream.
        """
        owner = self._owner(engine.id)
        if owner == self._address:
            return self._grant_locally(engine, service)
        number = next(self._numbers)
        request = SlotGrantRequest(number, engine.id, memory)
        granted: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._pending[number] = granted
        try:
            if not self._mesh.send_to(owner, request):
                return self._grant_locally(engine, service)
            async with asyncio.timeout(OWNER_TIMEOUT_S):
                return await granted
        except TimeoutError:
            return self._grant_locally(engine, service)
        finally:
            del self._pending[number]

    def on_slot_ask(self, link: Link, request: SlotGrantRequest) -> None:
        """Replies to a peer's slot request."""
        engine = self._selector.by_id(UpstreamId(request.upstream))
        desired = self._view.desired_state
        service = (
            desired.service_by_name.get(engine.record.service)
            if desired is not None and engine is not None
            else None
        )
        granted = True  # an engine that this relay does not know yet: trust the peer
        if engine is not None and service is not None and service.engine is not None:
            capacity = self._capacity(engine, service)
            memory = (
                request.memory_forecast
                if len(request.memory_forecast) == len(ZERO_FORECAST)
                else ZERO_FORECAST
            )
            granted = self._grants.try_grant(capacity, memory, loop_time())
        link.send(0, SlotGrantReply(request.correlation_id, granted))

    def on_slot_answer(self, reply: SlotGrantReply) -> None:
        """Completes the pending slot request that an owner has replied to."""
        pending = self._pending.get(reply.correlation_id)
        if pending is not None and not pending.done():
            pending.set_result(reply.granted)

    def _owner(self, engine: UpstreamId) -> str:
        live_addresses = self._mesh.live_addresses(loop_time())
        return rendezvous_top(engine.encode(), live_addresses, 1)[0]

    def _grant_locally(self, engine: Upstream, service: ServiceProfile) -> bool:
        """Grants a slot to a stream of this relay, which counts as running already."""
        capacity = self._capacity(engine, service)
        capacity = capacity._replace(free_slots=capacity.free_slots + 1)
        return self._grants.try_grant(capacity, ZERO_FORECAST, loop_time())

    def _capacity(self, engine: Upstream, service: ServiceProfile) -> EngineCapacity:
        return self._selector.engine_capacity(
            engine, service, self._selector.peer_load_by_upstream()
        )
