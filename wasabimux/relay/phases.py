"""Moves engines between prefill and decode as the mix of the load asks."""

from __future__ import annotations

import asyncio

from wasabimux._clock import loop_time
from wasabimux.decisions.phase_plan import (
    EngineAssignment,
    PhaseChange,
    next_phase_change,
)
from wasabimux.decisions.placement import rendezvous_top
from wasabimux.decisions.stream_estimates import StreamEstimates
from wasabimux.ports import UpstreamLost
from wasabimux.relay.duty import Duty, boot_time_s
from wasabimux.relay.mesh import Mesh
from wasabimux.relay.model import Phase, ServiceProfile
from wasabimux.relay.placing import Placing
from wasabimux.relay.ports import EngineDialect, EngineReport, PhaseOrder
from wasabimux.relay.upstreams import Upstream
from wasabimux.relay.view import FleetView
from wasabimux.timeline import Timeline

#: Time between looks at the plan, and the first one after a start: engines and peers
#: must have been found by then.
LOOK_S = 1.0
FIRST_LOOK_S = 3.0

#: Looks in a row that must want the same change before it is ordered.
LOOKS_AGREED = 2

#: Time after an order before the next one to engines of the service, beyond the
#: change itself.
SETTLE_S = 2.0

#: Time from the announcement of a change to its order. Streams that have a slot or a
#: prefill there must begin meanwhile: an engine that changes refuses them.
ANNOUNCE_S = 1.0

#: Statuses of an order that is carried out, or holds already.
ORDER_TAKEN = frozenset({200, 202})

#: Time after which a lost order counts as not carried out.
LOST_ORDER_S = 13.0


class PhaseKeeper:
    """Orders changes of phase, at the one relay that has the duty.

    Args:
        address: Address of this relay for links.
        duty: The duty to give orders.
        view: What the relay believes.
        placing: Finds engines.
        estimates: What streams take.
        mesh: Knows the other relays.
        engines: Calls of engines.
        timeline: Records orders.
    """

    def __init__(
        self,
        address: str,
        duty: Duty,
        view: FleetView,
        placing: Placing,
        estimates: StreamEstimates,
        mesh: Mesh,
        engines: EngineDialect,
        timeline: Timeline,
    ) -> None:
        self._address = address
        self._duty = duty
        self._view = view
        self._placing = placing
        self._estimates = estimates
        self._mesh = mesh
        self._engines = engines
        self._timeline = timeline
        self._quiet_until_s: dict[str, float] = {}
        self._wanted_looks: dict[PhaseChange, int] = {}

    async def run(self) -> None:
        """Looks at the plan until it is cancelled."""
        await asyncio.sleep(FIRST_LOOK_S)
        while True:
            await asyncio.sleep(LOOK_S)
            desired = self._view.desired
            if desired is None or not self._is_first(loop_time()):
                self._wanted_looks.clear()
                continue
            for service in desired.service_by_name.values():
                if service.engine is not None:
                    await self._look(service)

    def _is_first(self, now: float) -> bool:
        """Tells whether this relay is the one to take the duty, if all hear all.

        A relay that the store turns away could neither take the lease nor keep it.
        """
        able = self._mesh.live_addresses(now, in_touch=True)
        return rendezvous_top(b"phases", able, 1) == [self._address]

    async def _look(self, service: ServiceProfile) -> None:
        now = loop_time()
        if now < self._quiet_until_s.get(service.name, 0.0):
            return
        change = self._change(service, now)
        if change is None:
            self._wanted_looks.clear()
            return
        looks = self._wanted_looks.get(change, 0) + 1
        self._wanted_looks = {change: looks}
        if looks < LOOKS_AGREED or not await self.hold():
            return
        self._wanted_looks.clear()
        engine = self._placing.by_id(change.upstream)
        if engine is not None:
            await self.order(service, engine, change)

    def _change(self, service: ServiceProfile, now: float) -> PhaseChange | None:
        assert service.engine is not None
        upstreams = self._placing.usable(service.name, now, [])
        engines = [
            EngineAssignment(
                item.id,
                item.record.failure_domain,
                item.phase is Phase.PREFILL,
                item.running,
            )
            for item in upstreams
            if item.phase is not None
        ]
        profile = service.engine
        cost = self._estimates.stream_cost(profile.memory_tokens, profile.slots)
        return next_phase_change(engines, cost)

    @property
    def unsure(self) -> bool:
        """True if the store left this relay's lease without an answer just now."""
        return self._duty.is_unsure(boot_time_s())

    async def hold(self) -> bool:
        """Takes or keeps the duty to give orders; True if this relay has it now."""
        return await self._duty.hold()

    async def order(
        self, service: ServiceProfile, engine: Upstream, change: PhaseChange
    ) -> None:
        """Announces a change of an engine's phase, then orders it."""
        assert service.engine is not None
        quiet_s = service.engine.switch_s + SETTLE_S
        engine.changing_until_s = loop_time() + ANNOUNCE_S + quiet_s
        self._mesh.note_use()
        await asyncio.sleep(ANNOUNCE_S)
        report = await self._report(engine)
        if report is None or report.busy or not await self.hold():
            engine.changing_until_s = 0.0
            return
        order = PhaseOrder(
            engine.id,
            change.to_prefill,
            self._duty.holder,
            self._duty.fence,
            report.orders,
        )
        try:
            status, _ = await engine.call(self._engines.order(order))
            if status not in ORDER_TAKEN:
                engine.changing_until_s = 0.0
        except UpstreamLost as error:
            quiet_s = LOST_ORDER_S  # it may be carried out later
            self._record_order(order, 0, error)
        else:
            self._record_order(order, status, "")
        self._quiet_until_s[service.name] = loop_time() + quiet_s

    async def _report(self, engine: Upstream) -> EngineReport | None:
        """Asks an engine how many orders it has accepted."""
        try:
            return self._engines.read_report(*await engine.call(self._engines.report()))
        except UpstreamLost as error:
            self._timeline.record("report_lost", upstream=engine.id, error=error)
            return None

    def _record_order(self, order: PhaseOrder, status: int, error: object) -> None:
        self._timeline.record(
            "phase_ordered",
            upstream=order.upstream,
            to="prefill" if order.prefill else "decode",
            fence=order.fence,
            expected=order.expected,
            status=status,
            error=error,
        )
