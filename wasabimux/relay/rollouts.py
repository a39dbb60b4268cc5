"""Roll-outs at one relay: which versions a request may go to, and how they answer.

Every relay divides its own requests between the versions and records their answers. It
stops using a new version as soon as the answers known to it show that it is bad,
without waiting for anyone. One relay, the first aggregator that reaches the store,
writes how far a roll-out is into the status of its object, under the object's revision.
A status that was written holds for all relays, and a step that is final stays so.
"""

from __future__ import annotations

import random
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from wasabimux.decisions.answers import STATUS_SERVER_ERROR
from wasabimux.decisions.exposure import (
    ExposureBudget,
    ExposureLimits,
    tried_upstreams,
)
from wasabimux.decisions.rollout import (
    Judgement,
    Progress,
    RolloutEvidence,
    RolloutOrder,
    RolloutStep,
    Verdict,
    next_step,
)
from wasabimux.decisions.version_samples import (
    FAILED_ANSWER,
    AnswerSample,
    Measure,
    SampleKey,
    add_samples,
)
from wasabimux.ids import UpstreamId
from wasabimux.ports import StoreConflict, StoreUnavailable
from wasabimux.relay.context import RelayRequest
from wasabimux.relay.mesh import Mesh
from wasabimux.relay.model import Phase, RolloutRecord
from wasabimux.relay.placing import UpstreamSelector
from wasabimux.relay.ports import DocumentDecoder, ObjectStore
from wasabimux.relay.upstreams import Upstream
from wasabimux.relay.view import FleetView, KnownRollout
from wasabimux.timeline import Timeline

#: Time in s in which all relays hear that requests move to the new version. Only then
#: is it known that no more begin at an old one.
MOVE_NOTICE_S = 2.0


@dataclass
class _Rollout:
    """A roll-out as this relay takes part in it.

    Attributes:
        order: The order.
        step: Step that it has reached, as written or as this relay must assume.
        seen_s: Time in s at which this relay first heard of the order.
        moving_s: Time in s at which it first heard that requests move.
        budget: Requests that this relay may send to the new version.
        evidence: Answers of all relays.
        own: Answers of this relay.
        is_suspended: True once the answers have shown that the new version is bad.
        is_withdrawn: True if the order was taken back.
    """

    order: RolloutOrder
    step: RolloutStep
    seen_s: float
    budget: ExposureBudget
    evidence: RolloutEvidence
    moving_s: float | None = None
    own: dict[SampleKey, AnswerSample] = field(default_factory=dict)
    is_suspended: bool = False
    is_withdrawn: bool = False

    @property
    def is_blocked(self) -> bool:
        """True if the new version must get no requests."""
        return self.is_suspended or self.step is RolloutStep.ROLLED_BACK

    @property
    def is_moved(self) -> bool:
        """True if the old versions must get no new requests."""
        return self.step in (RolloutStep.MOVING, RolloutStep.COMPLETED)


class Rollouts:
    """Takes part in the roll-outs of all services.

    Args:
        limits: How many requests a bad version may get.
        view: The relay's local view of the fleet.
        selector: Looks up upstreams and their load.
        mesh: Links to the other relays.
        store: The platform's store.
        documents: Encodes the status of roll-outs.
        timeline: Records steps and their reasons.
        rng: Source of randomness.
        wall_s: Returns the time of day in s.
    """

    def __init__(
        self,
        limits: ExposureLimits,
        view: FleetView,
        selector: UpstreamSelector,
        mesh: Mesh,
        store: ObjectStore,
        documents: DocumentDecoder,
        timeline: Timeline,
        rng: random.Random,
        wall_s: Callable[[], float] = time.time,
    ) -> None:
        self._limits = limits
        self._view = view
        self._selector = selector
        self._mesh = mesh
        self._store = store
        self._documents = documents
        self._timeline = timeline
        self._rng = rng
        self._wall_s = wall_s
        self._rollout_by_service: dict[str, _Rollout] = {}

    def on_view_changed(self, now: float) -> None:
        """Takes over new orders, and what was written of them."""
        for service, known in self._view.rollout_by_service.items():
            rollout = self._rollout_by_service.get(service)
            if rollout is None or rollout.order != known.record.order:
                rollout = self._begun(known.record, now)
                self._rollout_by_service[service] = rollout
            rollout.is_withdrawn = known.is_withdrawn
            step = known.record.step or RolloutStep.TRIAL
            if step is not rollout.step and not rollout.step.is_final:
                rollout.step = step
                rollout.moving_s = now if step is RolloutStep.MOVING else None

    def on_request(self, request: RelayRequest) -> None:
        """Decides whether a request goes to a version on trial."""
        rollout = self._rollout_by_service.get(request.service.name)
        if rollout is None or not self._is_on_trial(rollout):
            return
        rollout.budget.on_request()
        if request.software is None and request.metadata.last_event_id is None:
            request.is_on_trial = rollout.budget.try_take(self._wall_s())

    def excluded(
        self, request: RelayRequest, now: float, phase: Phase | None = None
    ) -> list[UpstreamId]:
        """Returns the upstreams whose software version a request must not go to.

        Args:
            request: The request.
            now: Current time in s.
            phase: Phase of the engines asked for, None for a plain service.
        """
        rollout = self._rollout_by_service.get(request.service.name)
        if rollout is None:
            return []
        return [item.id for item in self._excluded(rollout, request, now, phase)]

    def _excluded(
        self, rollout: _Rollout, request: RelayRequest, now: float, phase: Phase | None
    ) -> list[Upstream]:
        """Returns the upstreams that a roll-out excludes for a request."""
        new, old = self._by_version(rollout, phase)
        if rollout.is_blocked:
            return new
        if request.software is not None and not rollout.step.is_final:
            return []  # the version that began the stream goes on with it
        accepting = [
            item.id for item in new if self._selector.accepts_requests(item, now)
        ]
        if rollout.is_moved:
            return old if accepting else []
        if rollout.is_withdrawn:
            return new if old else []
        if request.is_on_trial and not request.tried_upstreams and accepting:
            chosen = tried_upstreams(accepting, self._wall_s())
            return [*old, *(item for item in new if item.id not in chosen)]
        return new

    def on_answer(
        self, request: RelayRequest, upstream: Upstream, status: int, time_s: float
    ) -> None:
        """Records an answer of an upstream that ran the request."""
        is_failure = status >= STATUS_SERVER_ERROR
        sample = FAILED_ANSWER if is_failure else AnswerSample.of_time(time_s)
        self._add(request, upstream, Measure.ANSWER, sample)

    def on_lost(self, request: RelayRequest, upstream: Upstream) -> None:
        """Records an answer that was lost, broke off or is not valid."""
        self._add(request, upstream, Measure.ANSWER, FAILED_ANSWER)

    def on_stream_end(
        self, request: RelayRequest, upstream: Upstream, seconds_per_event: float
    ) -> None:
        """Records the pace of a stream that was complete."""
        sample = AnswerSample.of_time(seconds_per_event)
        self._add(request, upstream, Measure.PACE, sample)

    def samples(self) -> dict[SampleKey, AnswerSample]:
        """Returns the answers of this relay, for its peers."""
        samples: dict[SampleKey, AnswerSample] = {}
        for rollout in self._rollout_by_service.values():
            if not rollout.step.is_final:
                add_samples(samples, rollout.own)
        return samples

    @property
    def status(self) -> dict[str, Any]:
        """State of all roll-outs as a JSON object for operators."""
        return {
            service: {
                "to": rollout.order.to,
                "step": rollout.step.value,
                "suspended": rollout.is_suspended,
                "withdrawn": rollout.is_withdrawn,
                "answers": sum(item.answers for item in rollout.own.values()),
            }
            for service, rollout in self._rollout_by_service.items()
        }

    @property
    def running(self) -> int:
        """Number of roll-outs that have not ended."""
        return sum(
            not (item.step.is_final or item.is_withdrawn)
            for item in self._rollout_by_service.values()
        )

    async def check(self, now: float) -> None:
        """Judges the versions on trial, and writes the steps of roll-outs."""
        for service, known in list(self._view.rollout_by_service.items()):
            rollout = self._rollout_by_service.get(service)
            if rollout is None or rollout.step.is_final or known.is_withdrawn:
                continue
            verdict = self._judge(rollout, now)
            if self._mesh.is_first_to_act(f"rollouts {service}", now):
                await self._write_step(rollout, known, verdict, now)

    def _judge(self, rollout: _Rollout, now: float) -> Verdict:
        """Returns what the answers of all relays show; suspends a bad version."""
        samples: dict[SampleKey, AnswerSample] = {}
        add_samples(samples, rollout.own)
        add_samples(samples, self._mesh.others.samples)
        new, _ = self._by_version(rollout, None)
        rollout.evidence.on_sums(samples, max(1, len(new)), now)
        verdict = rollout.evidence.verdict(now)
        if verdict.judgement is Judgement.BAD and not rollout.is_suspended:
            rollout.is_suspended = True
            self._timeline.record(
                "rollout_suspended",
                service=rollout.order.service,
                to=rollout.order.to,
                reason=verdict.reason,
            )
        return verdict

    async def _write_step(
        self, rollout: _Rollout, known: KnownRollout, verdict: Verdict, now: float
    ) -> None:
        """Writes the step of a roll-out if it has changed, or was never written."""
        if rollout.is_suspended and verdict.judgement is not Judgement.BAD:
            verdict = Verdict(Judgement.BAD, "its answers were bad before")
        elapsed_s = self._elapsed_s(rollout, known.record, now)
        progress = Progress(rollout.step, elapsed_s, self._old_running(rollout, now))
        step, reason = next_step(rollout.order, progress, verdict)
        if step is known.record.step:
            return
        begun_ms = known.record.begun_ms or round((self._wall_s() - elapsed_s) * 1000)
        record = RolloutRecord(rollout.order, step, begun_ms)
        status = self._documents.rollout_status(record, reason)
        kind = self._documents.kinds.rollouts
        try:
            await self._store.write_status(kind, known.name, status, known.revision)
        except (StoreConflict, StoreUnavailable) as error:
            self._timeline.record(
                "rollout_unwritten",
                service=rollout.order.service,
                step=step.value,
                error=error,
            )
            return
        self._timeline.record(
            "rollout_step",
            service=rollout.order.service,
            to=rollout.order.to,
            step=step.value,
            reason=reason,
            elapsed_s=round(elapsed_s, 1),
        )

    def _begun(self, record: RolloutRecord, now: float) -> _Rollout:
        relay_count = self._mesh.relay_counts().known
        return _Rollout(
            record.order,
            record.step or RolloutStep.TRIAL,
            now,
            ExposureBudget(self._limits, relay_count, self._rng),
            RolloutEvidence(record.order),
        )

    def _is_on_trial(self, rollout: _Rollout) -> bool:
        """Returns whether the new version gets a share of the requests.

        A relay that does not hear how others' requests fared sends it none.
        """
        if rollout.is_blocked or rollout.is_withdrawn or rollout.is_moved:
            return False
        counts = self._mesh.relay_counts()
        return counts.known == 1 or counts.silent < counts.known - 1

    def _by_version(
        self, rollout: _Rollout, phase: Phase | None
    ) -> tuple[list[Upstream], list[Upstream]]:
        """Returns the upstreams of the new and of the old versions.

        Args:
            rollout: The roll-out.
            phase: Phase of the engines asked for, None for all upstreams.
        """
        new: list[Upstream] = []
        old: list[Upstream] = []
        for upstream in self._selector.of_service(rollout.order.service):
            if phase is None or upstream.phase is phase:
                is_new = upstream.record.software == rollout.order.to
                (new if is_new else old).append(upstream)
        return new, old

    def _old_running(self, rollout: _Rollout, now: float) -> int:
        """Returns the requests that run at old versions, at least 1 if unknown."""
        if rollout.moving_s is None or now - rollout.moving_s < MOVE_NOTICE_S:
            return 1
        _, old = self._by_version(rollout, None)
        return sum(
            item.running + self._selector.peer_load(item.id).running for item in old
        )

    def _elapsed_s(self, rollout: _Rollout, record: RolloutRecord, now: float) -> float:
        """Returns the time in s since the order, also where it was heard of late."""
        seen_s = now - rollout.seen_s
        if not record.begun_ms:
            return seen_s
        by_clock_s = self._wall_s() - record.begun_ms / 1000
        return max(seen_s, min(rollout.order.limit_s, by_clock_s))

    def _add(
        self,
        request: RelayRequest,
        upstream: Upstream,
        measure: Measure,
        sample: AnswerSample,
    ) -> None:
        rollout = self._rollout_by_service.get(request.service.name)
        if rollout is None or rollout.step.is_final:
            return
        software = upstream.record.software
        is_new = software == rollout.order.to
        key = SampleKey(
            request.service.name,
            software,
            upstream.id if is_new else "",
            request.route.name,
            measure,
        )
        add_samples(rollout.own, {key: sample})
