"""Changes engines between prefill and decode to match the load of the two phases."""

from __future__ import annotations

import asyncio

from wasabimux._clock import boot_time_s, loop_time
from wasabimux.decisions.phase_plan import (
    EngineAssignment,
    PhaseChange,
    next_phase_change,
)
from wasabimux.decisions.stream_estimates import StreamEstimates
from wasabimux.ports import UpstreamLost
from wasabimux.relay.leader_lease import LeaderLease
from wasabimux.relay.mesh import Mesh
from wasabimux.relay.model import Phase, ServiceProfile
from wasabimux.relay.phase_watch import REPORT_LAG_S, PhaseChangeWatch
from wasabimux.relay.placing import UpstreamSelector
from wasabimux.relay.ports import EngineCodec, PhaseChangeCommand
from wasabimux.relay.upstreams import Upstream
from wasabimux.relay.view import FleetView
from wasabimux.timeline import Timeline

#: Interval between checks of the phase plan, and the delay of the first check after a
#: start, by which engines and peers must have been discovered.
CHECK_INTERVAL_S = 1.0
FIRST_CHECK_DELAY_S = 3.0

#: Consecutive checks that must plan the same change before it is made.
MIN_AGREEING_CHECKS = 2

#: Time between the end of a phase change and the next change in the same service.
COOLDOWN_S = 2.0

#: Time between the announcement of a phase change to peers and the command to the
#: engine. Streams with a slot or a prefill at the engine must start within this time,
#: as an engine that changes its phase rejects them.
ANNOUNCE_DELAY_S = 1.0

#: Statuses of a command that the engine executes, or whose phase it has already.
COMMAND_ACCEPTED_STATUSES = frozenset({200, 202})

#: Time after which a command without a response counts as not executed.
LOST_COMMAND_S = 13.0


class PhaseController:
    """Changes the phases of engines at the one relay that holds the lease.

    Args:
        lease: Lease for sending phase change commands.
        view: The relay's local view of the fleet.
        selector: Looks up engines.
        estimates: Estimated cost of streams.
        mesh: Links to the other relays.
        engines: Encodes calls to engines.
        watch: Keeps engines out of use while they change.
        timeline: Records phase change commands.
    """

    def __init__(
        self,
        lease: LeaderLease,
        view: FleetView,
        selector: UpstreamSelector,
        estimates: StreamEstimates,
        mesh: Mesh,
        engines: EngineCodec,
        watch: PhaseChangeWatch,
        timeline: Timeline,
    ) -> None:
        self._lease = lease
        self._view = view
        self._selector = selector
        self._estimates = estimates
        self._mesh = mesh
        self._engines = engines
        self._watch = watch
        self._timeline = timeline
        self._cooldown_until_s: dict[str, float] = {}
        self._agreeing_checks: dict[PhaseChange, int] = {}

    async def run(self) -> None:
        """Checks the phase plan periodically until the task is cancelled."""
        await asyncio.sleep(FIRST_CHECK_DELAY_S)
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            desired = self._view.desired_state
            if desired is None or not self._mesh.is_first_to_act("phases", loop_time()):
                self._agreeing_checks.clear()
                continue
            for service in desired.service_by_name.values():
                if service.engine is not None:
                    await self._check(service)

    async def _check(self, service: ServiceProfile) -> None:
        now = loop_time()
        if now < self._cooldown_until_s.get(service.name, 0.0):
            return
        change = self._planned_change(service, now)
        if change is None:
            self._agreeing_checks.clear()
            return
        checks = self._agreeing_checks.get(change, 0) + 1
        self._agreeing_checks = {change: checks}
        if checks < MIN_AGREEING_CHECKS or not await self.hold_lease():
            return
        self._agreeing_checks.clear()
        engine = self._selector.by_id(change.upstream)
        if engine is not None:
            await self.change_phase(service, engine, change)

    def _planned_change(
        self, service: ServiceProfile, now: float
    ) -> PhaseChange | None:
        assert service.engine is not None
        candidates = self._selector.usable(service.name, now, [])
        if any(self._selector.is_changing_phase(item, now) for item in candidates):
            return None  # engines change one at a time
        engines = [
            EngineAssignment(
                item.id,
                item.record.failure_domain,
                item.phase is Phase.PREFILL,
                item.running,
            )
            for item in candidates
            if item.phase is not None
        ]
        profile = service.engine
        cost = self._estimates.stream_cost(profile.memory_tokens, profile.slots)
        return next_phase_change(engines, cost)

    @property
    def lease_uncertain(self) -> bool:
        """True if the store recently did not respond to a call for the lease."""
        return self._lease.store_failed_recently(boot_time_s())

    async def hold_lease(self) -> bool:
        """Acquires or renews the lease; returns True if this relay holds it now."""
        return await self._lease.acquire_or_renew()

    async def change_phase(
        self, service: ServiceProfile, engine: Upstream, change: PhaseChange
    ) -> None:
        """Announces a phase change of an engine to peers, then sends the command.

        Args:
            service: Service of the engine.
            engine: The engine.
            change: The phase change.
        """
        assert service.engine is not None
        cooldown_s = service.engine.phase_change_s + COOLDOWN_S
        engine.phase_change_until_s = loop_time() + ANNOUNCE_DELAY_S + cooldown_s
        self._mesh.notify_usage_changed()
        await asyncio.sleep(ANNOUNCE_DELAY_S)
        report = await self._watch.fetch_report(engine)
        if report is not None and report.busy:
            self._watch.on_ordered(engine, 0.0)  # an order of an earlier leader
            return
        if report is None or not await self.hold_lease():
            engine.phase_change_until_s = 0.0
            return
        command = PhaseChangeCommand(
            engine.id,
            change.to_prefill,
            self._lease.holder,
            self._lease.fencing_token,
            report.command_count,
        )
        try:
            status, _ = await engine.call(self._engines.phase_change(command))
            if status in COMMAND_ACCEPTED_STATUSES:
                self._watch.on_ordered(engine, REPORT_LAG_S)
            else:
                engine.phase_change_until_s = 0.0
        except UpstreamLost as error:
            cooldown_s = LOST_COMMAND_S  # the engine may still execute the command
            self._watch.on_ordered(engine, LOST_COMMAND_S)
            self._record_order(command, 0, error)
        else:
            self._record_order(command, status, "")
        self._cooldown_until_s[service.name] = loop_time() + cooldown_s

    def _record_order(
        self, command: PhaseChangeCommand, status: int, error: object
    ) -> None:
        self._timeline.record(
            "phase_ordered",
            upstream=command.upstream,
            to="prefill" if command.to_prefill else "decode",
            fence=command.fencing_token,
            expected=command.expected_command_count,
            status=status,
            error=error,
        )
