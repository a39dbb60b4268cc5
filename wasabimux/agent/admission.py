"""Admission of requests to an upstream: slots, cold start and draining."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from wasabimux._clock import loop_time
from wasabimux.decisions.cold_start import ColdStartLimiter
from wasabimux.decisions.fair_queue import FairQueueTags
from wasabimux.decisions.slots import SlotPool, SlotRequest
from wasabimux.errors import ErrorCode, Ran, RefusedError, refused
from wasabimux.link.messages import LoadReport, OpenStream
from wasabimux.settings.views import UpstreamSettings

#: Maximum number of queued requests per slot of a warm upstream.
QUEUED_REQUESTS_PER_SLOT = 8

#: Lower bound of the fair-queueing weight of a request.
MIN_WEIGHT = 0.01

#: Smoothing factor of the moving average of slot hold times.
HOLD_TIME_SMOOTHING = 0.05

#: Interval at which requests recheck whether the upstream can execute one more.
RECHECK_INTERVAL_S = 0.05


class AdmissionRequest(NamedTuple):
    """Parameters of a request that decide its place in the slot queue.

    Attributes:
        max_wait_s: Longest useful wait for a slot, in s.
        patient: True for requests of urgency `patient`, which are queued behind all
            interactive ones.
        workspace: Workspace that the request belongs to.
        weight: Relative share of a full upstream that the workspace gets.
        cost: Expected cost of the request, in tokens.
    """

    max_wait_s: float
    patient: bool = False
    workspace: str = ""
    weight: float = 1.0
    cost: float = 1.0


class HeldSlot:
    """A slot held by a request; a context manager that releases the slot on exit.

    Args:
        admission: Admission controller that granted the slot.
        request: Granted request of the slot.
    """

    def __init__(self, admission: AdmissionController, request: SlotRequest) -> None:
        self._admission = admission
        self._request = request
        self._acquired_s = loop_time()

    def __enter__(self) -> HeldSlot:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._admission.record_hold_time(loop_time() - self._acquired_s)
        self._admission.release(self._request)


class ExecutionPermit:
    """Permission to execute a request; a context manager that returns it on exit.

    Args:
        admission: Admission controller that issued the permit.
    """

    def __init__(self, admission: AdmissionController) -> None:
        self._admission = admission

    def __enter__(self) -> ExecutionPermit:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._admission.end_execution()


class AdmissionController:
    """Limits and orders the requests that one upstream executes.

    Admission has two steps. A request first acquires a slot. It then waits for an
    execution permit before the upstream executes it, because the upstream may have
    turned cold in the meantime.

    Requests are refused until the upstream has been prepared and the first settings
    have arrived.

    Args:
        needs_speed_check: True for upstreams whose speed shows in the time between
            two tokens.

    Attributes:
        settings_version: Version of the settings in force, 0 before the first.
        executing: Number of requests that hold an execution permit.
    """

    def __init__(self, needs_speed_check: bool = False) -> None:
        self.settings_version = 0
        self.executing = 0
        self._needs_speed_check = needs_speed_check
        self._may_execute = asyncio.Event()
        self._view: UpstreamSettings | None = None
        self._limiter: ColdStartLimiter | None = None
        self._slots = SlotPool(0, 0)
        self._waiters: set[asyncio.Future[None]] = set()
        self._arrivals = 0
        self._ranks = FairQueueTags()
        self._mean_hold_s = 0.0
        self._started = False
        self._stopped_accepting = False

    @property
    def accepting(self) -> bool:
        """True while new requests are accepted."""
        if not self._started or self._stopped_accepting:
            return False
        return self._view is not None and self._view.accepting

    @property
    def held_slots(self) -> int:
        """Number of slots that are held."""
        return self._slots.held

    def load(self) -> LoadReport:
        """Returns the current load of the upstream."""
        slots = self._slots
        return LoadReport(slots.limit, slots.held, slots.waiting, self.accepting)

    def apply_settings(self, version: int, view: UpstreamSettings, now: float) -> bool:
        """Applies settings if they are newer than those in force.

        Args:
            version: Version of the settings.
            view: The settings of this agent.
            now: Current time in s.

        Returns:
            True if the version in force is now `version`.
        """
        if version <= self.settings_version:
            return version == self.settings_version
        self.settings_version = version
        self._view = view
        if self._limiter is None:
            self._limiter = ColdStartLimiter(
                view.cold_requests,
                view.max_requests,
                view.warm_up_s,
                now,
                self._needs_speed_check,
            )
            self._slots = SlotPool(0, view.max_requests * QUEUED_REQUESTS_PER_SLOT)
        else:
            self._limiter.reconfigure(
                view.cold_requests, view.max_requests, view.warm_up_s
            )
        if not view.accepting:
            self._refuse_queued()
        self._update_limits(now)
        return True

    def start(self) -> None:
        """Records that the upstream has been prepared for requests."""
        self._started = True

    def stop_accepting(self) -> None:
        """Refuses new and queued requests, so that entries send them elsewhere."""
        self._stopped_accepting = True
        self._refuse_queued()

    def record_hold_time(self, hold_s: float) -> None:
        """Updates the moving average of slot hold times with one hold time in s."""
        if self._mean_hold_s == 0.0:
            self._mean_hold_s = hold_s
        self._mean_hold_s += HOLD_TIME_SMOOTHING * (hold_s - self._mean_hold_s)

    def expected_wait_s(self, rank: tuple[float, ...]) -> float:
        """Returns the expected wait for a slot, in s, at a place in the queue."""
        slots = self._slots
        if slots.held < slots.limit:
            return 0.0
        return (slots.count_ahead(rank) + 1) * self._mean_hold_s / max(1, slots.limit)

    async def acquire(
        self,
        request: AdmissionRequest,
        on_first_in_queue: Callable[[], None] | None = None,
    ) -> HeldSlot:
        """Waits for a slot.

        Args:
            request: Parameters of the request.
            on_first_in_queue: Called once when the request becomes the first in the
                queue, so that it is expected to get the next free slot.

        Returns:
            The slot, to be used as a context manager.

        Raises:
            RefusedError: No slot is available in time; nothing has run.
        """
        self._check_accepting()
        self._arrivals += 1
        start_tag = self._ranks.start_tag(
            request.workspace, request.cost, request.weight
        )
        rank = (float(request.patient), start_tag, float(self._arrivals))
        wait_s = self.expected_wait_s(rank)
        if wait_s > request.max_wait_s:
            self._ranks.on_abandoned(request.workspace, request.cost, request.weight)
            text = "no slot is expected to become free within the wait limit"
            raise refused(ErrorCode.OVERLOADED, text, Ran.NO, retry_after_s=wait_s)
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def on_grant() -> None:
            self._ranks.on_grant(start_tag)
            if not granted.done():
                granted.set_result(None)

        queued = self._slots.request(rank, on_grant, on_first_in_queue)
        if queued.is_error():
            raise RefusedError(queued.error)
        self._waiters.add(granted)
        try:
            async with asyncio.timeout(request.max_wait_s):
                await granted
        except TimeoutError:
            self._slots.release(queued.ok)
            self._ranks.on_abandoned(request.workspace, request.cost, request.weight)
            text = "no slot became free within the wait limit"
            raise refused(
                ErrorCode.OVERLOADED, text, Ran.NO, retry_after_s=self._mean_hold_s
            ) from None
        except BaseException:
            self._slots.release(queued.ok)
            self._ranks.on_abandoned(request.workspace, request.cost, request.weight)
            raise
        finally:
            self._waiters.discard(granted)
        return HeldSlot(self, queued.ok)

    async def begin_execution(self, max_wait_s: float) -> ExecutionPermit:
        """Waits until the upstream can execute one more request.

        Args:
            max_wait_s: Longest wait, in s.

        Returns:
            The permit, to be used as a context manager.

        Raises:
            RefusedError: The upstream could not execute one more request in time.
        """
        try:
            async with asyncio.timeout(max_wait_s):
                while not self._can_execute_more():
                    await self._wait_for_change()
        except TimeoutError:
            text = "the upstream is at its execution limit"
            raise refused(ErrorCode.OVERLOADED, text, Ran.NO) from None
        self.executing += 1
        return ExecutionPermit(self)

    async def _wait_for_change(self) -> None:
        """Waits until the limit may have room, at most RECHECK_INTERVAL_S."""
        self._may_execute.clear()
        try:
            async with asyncio.timeout(RECHECK_INTERVAL_S):
                await self._may_execute.wait()
        except TimeoutError:
            return

    def end_execution(self) -> None:
        """Returns an execution permit."""
        self.executing -= 1
        self._may_execute.set()

    def on_token_interval(self, interval_s: float) -> None:
        """Reports the time in s between two tokens of one response."""
        if self._limiter is not None:
            now = loop_time()
            self._limiter.on_token_interval(interval_s, now)
            self._update_limits(now)

    def _can_execute_more(self) -> bool:
        if self._limiter is None:
            return False
        return self.executing < self._limiter.effective_limit(loop_time())

    def release(self, request: SlotRequest) -> None:
        """Releases a slot."""
        self._slots.release(request)

    def on_success(self, now: float) -> None:
        """Reports a request that ended without failure."""
        if self._limiter is not None:
            self._limiter.on_success(now)
            self._update_limits(now)

    def on_cold_signal(self, now: float) -> None:
        """Reports a failure or another sign that the upstream is cold."""
        if self._limiter is not None:
            self._limiter.on_cold_signal(now)
            self._update_limits(now)

    def _update_limits(self, now: float) -> None:
        if self._limiter is not None:
            self._slots.set_limit(self._limiter.limit)
            if self.executing < self._limiter.effective_limit(now):
                self._may_execute.set()

    def _check_accepting(self) -> None:
        if self._view is None:
            raise refused(
                ErrorCode.STALE_SETTINGS, "the agent has not received settings yet"
            )
        if not self.accepting:
            raise refused(
                ErrorCode.DRAINING, "the upstream does not accept new requests"
            )

    def _refuse_queued(self) -> None:
        for granted in self._waiters:
            if not granted.done():
                error = refused(
                    ErrorCode.DRAINING, "the upstream does not accept new requests"
                )
                granted.set_exception(error)


def admission_request(message: OpenStream) -> AdmissionRequest:
    """Returns the admission parameters of the request that opens a stream."""
    budget_ms = message.slot_budget_ms or message.budget_ms
    return AdmissionRequest(
        budget_ms / 1000,
        message.patient,
        message.workspace,
        max(message.weight, MIN_WEIGHT),
        message.cost,
    )
