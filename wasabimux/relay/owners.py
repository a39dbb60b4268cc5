"""Each engine's slots are granted by one relay, its owner.

The owner is found by rendezvous hash over the relays that hear one another. While they
disagree, or an owner is out of reach, a relay decides by itself: engines then run
fuller than they should for a moment, which costs time, but breaks nothing.
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
from wasabimux.link.messages import SlotAnswer, SlotAsk
from wasabimux.relay.mesh import Mesh
from wasabimux.relay.model import ServiceProfile
from wasabimux.relay.placing import Placing
from wasabimux.relay.upstreams import Upstream
from wasabimux.relay.view import FleetView

#: Longest wait for an owner's answer.
ANSWER_S = 0.1


class EngineOwners:
    """Asks owners for slots, and grants those of the engines that this relay owns.

    Args:
        address: Address of this relay for links.
        mesh: Knows the other relays.
        view: What this relay believes.
        placing: Finds engines and counts what runs there.
    """

    def __init__(
        self, address: str, mesh: Mesh, view: FleetView, placing: Placing
    ) -> None:
        self._address = address
        self._mesh = mesh
        self._view = view
        self._placing = placing
        self._grants = SlotGrants()
        self._numbers = itertools.count(1)
        self._asked: dict[int, asyncio.Future[bool]] = {}

    async def may_take(
        self, engine: Upstream, service: ServiceProfile, memory: MemoryForecast
    ) -> bool:
        """Tells whether the owner of an engine grants a slot there.

        Args:
            engine: The engine; what this relay asks for is counted there already.
            service: Its service.
            memory: Memory that the stream is expected to take.
        """
        owner = self._owner(engine.id)
        if owner == self._address:
            return self._grant_own(engine, service)
        number = next(self._numbers)
        ask = SlotAsk(number, engine.id, memory)
        answer: asyncio.Future[bool] = asyncio.get_running_loop().create_future()
        self._asked[number] = answer
        try:
            if not self._mesh.send_to(owner, ask):
                return self._grant_own(engine, service)
            async with asyncio.timeout(ANSWER_S):
                return await answer
        except TimeoutError:
            return self._grant_own(engine, service)
        finally:
            del self._asked[number]

    def on_ask(self, link: Link, ask: SlotAsk) -> None:
        """Answers a peer that asks for a slot."""
        engine = self._placing.by_id(UpstreamId(ask.upstream))
        desired = self._view.desired
        service = (
            desired.service_by_name.get(engine.record.service)
            if desired is not None and engine is not None
            else None
        )
        granted = True  # an engine that is not known here yet has no better judge
        if engine is not None and service is not None and service.engine is not None:
            room = self._room(engine, service)
            memory = (
                ask.tokens if len(ask.tokens) == len(ZERO_FORECAST) else ZERO_FORECAST
            )
            granted = self._grants.try_grant(room, memory, loop_time())
        link.send(0, SlotAnswer(ask.number, granted))

    def on_answer(self, answer: SlotAnswer) -> None:
        """Takes an owner's answer."""
        asked = self._asked.get(answer.number)
        if asked is not None and not asked.done():
            asked.set_result(answer.granted)

    def _owner(self, engine: UpstreamId) -> str:
        live = self._mesh.live_addresses(loop_time())
        return rendezvous_top(engine.encode(), live, 1)[0]

    def _grant_own(self, engine: Upstream, service: ServiceProfile) -> bool:
        """Decides for a stream of this relay, which counts it already."""
        room = self._room(engine, service)
        room = room._replace(free_slots=room.free_slots + 1)
        return self._grants.try_grant(room, ZERO_FORECAST, loop_time())

    def _room(self, engine: Upstream, service: ServiceProfile) -> EngineCapacity:
        return self._placing.room(engine, service, self._placing.running_elsewhere())
