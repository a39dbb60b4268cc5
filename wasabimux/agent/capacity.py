"""The capacity of the upstream: slots, cold start and drain."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from wasabimux._clock import loop_time
from wasabimux.decisions.cold_start import ColdStartLimiter
from wasabimux.decisions.fair_queue import FairQueueTags
from wasabimux.decisions.slots import SlotPool, SlotRequest
from wasabimux.errors import ErrorCode, Ran, RefusedError, refused
from wasabimux.link.messages import LoadReport, Open
from wasabimux.settings.views import UpstreamSettings

#: Requests that may wait for a slot, per slot of a warm upstream.
QUEUE_PER_SLOT = 8

#: Smallest weight that a request may have.
MIN_WEIGHT = 0.01

#: Weight of one request in the moving average of hold times.
HOLD_WEIGHT = 0.05

#: Time between two looks at whether the upstream can bear more.
RECHECK_S = 0.05


class SlotAsk(NamedTuple):
    """What a request says when it asks for a slot.

    Attributes:
        budget_s: Longest useful wait.
        patient: True for work that comes behind interactive work.
        workspace: Workspace that the request runs for.
        weight: Share of the workspace when the upstream is full.
        cost: Tokens that the request is expected to take.
    """

    budget_s: float
    patient: bool = False
    workspace: str = ""
    weight: float = 1.0
    cost: float = 1.0


class SlotLease:
    """A slot held by one request; a context manager that releases it.

    Args:
        capacity: Owner of the slots.
        request: The request that holds the slot.
    """

    def __init__(self, capacity: Capacity, request: SlotRequest) -> None:
        self._capacity = capacity
        self._request = request
        self._since_s = loop_time()

    def __enter__(self) -> SlotLease:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._capacity.note_hold(loop_time() - self._since_s)
        self._capacity.release(self._request)


class Work:
    """A request that makes the upstream work; a context manager that ends it.

    Args:
        capacity: Counts the working requests.
    """

    def __init__(self, capacity: Capacity) -> None:
        self._capacity = capacity

    def __enter__(self) -> Work:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._capacity.end_work()


class Capacity:
    """Decides how many requests the upstream gets, and in which order.

    A request first holds a slot, and then, before it makes the upstream work,
    passes a second gate: the upstream may have turned cold since.

    No work is accepted before the upstream is prepared and the first settings
    have arrived.

    Args:
        needs_evidence: True for upstreams whose tokens show their speed.
    """

    def __init__(self, needs_evidence: bool = False) -> None:
        self.version = 0
        self.working = 0
        self._needs_evidence = needs_evidence
        self._may_work = asyncio.Event()
        self._view: UpstreamSettings | None = None
        self._limiter: ColdStartLimiter | None = None
        self._slots = SlotPool(0, 0)
        self._waiters: set[asyncio.Future[None]] = set()
        self._arrivals = 0
        self._ranks = FairQueueTags()
        self._hold_s = 0.0
        self._started = False
        self._shutting_down = False

    @property
    def accepting(self) -> bool:
        """True while new work is accepted."""
        if not self._started or self._shutting_down:
            return False
        return self._view is not None and self._view.accepting

    @property
    def held(self) -> int:
        """Slots held now."""
        return self._slots.held

    def load(self) -> LoadReport:
        """Returns the present load."""
        slots = self._slots
        return LoadReport(slots.limit, slots.held, slots.waiting, self.accepting)

    def apply(self, version: int, view: UpstreamSettings, now: float) -> bool:
        """Takes settings unless they are older than those in force.

        Args:
            version: Version of the settings.
            view: The part for this agent.
            now: Present time in s.

        Returns:
            True if the settings are now in force.
        """
        if version <= self.version:
            return version == self.version
        self.version = version
        self._view = view
        if self._limiter is None:
            self._limiter = ColdStartLimiter(
                view.cold_requests,
                view.max_requests,
                view.warm_up_s,
                now,
                self._needs_evidence,
            )
            self._slots = SlotPool(0, view.max_requests * QUEUE_PER_SLOT)
        else:
            self._limiter.reconfigure(
                view.cold_requests, view.max_requests, view.warm_up_s
            )
        if not view.accepting:
            self._refuse_waiting()
        self._refresh(now)
        return True

    def start(self) -> None:
        """Notes that the upstream is prepared for work."""
        self._started = True

    def shut_down(self) -> None:
        """Accepts nothing more, and sends waiting requests elsewhere."""
        self._shutting_down = True
        self._refuse_waiting()

    def note_hold(self, hold_s: float) -> None:
        """Notes how long a slot was held."""
        if self._hold_s == 0.0:
            self._hold_s = hold_s
        self._hold_s += HOLD_WEIGHT * (hold_s - self._hold_s)

    def expected_wait_s(self, rank: tuple[float, ...]) -> float:
        """Returns the expected wait of a request that asks for a slot now."""
        slots = self._slots
        if slots.held < slots.limit:
            return 0.0
        return (slots.count_ahead(rank) + 1) * self._hold_s / max(1, slots.limit)

    async def acquire(
        self, ask: SlotAsk, on_next: Callable[[], None] | None = None
    ) -> SlotLease:
        """Waits for a slot.

        Args:
            ask: What the request says of itself.
            on_next: Called once when the next slot that comes free is expected to
                go to this request.

        Returns:
            The slot, to be used as a context manager.

        Raises:
            RefusedError: There will be no slot in time; nothing has run.
        """
        self._check_accepting()
        self._arrivals += 1
        fair = self._ranks.start_tag(ask.workspace, ask.cost, ask.weight)
        rank = (float(ask.patient), fair, float(self._arrivals))
        wait_s = self.expected_wait_s(rank)
        if wait_s > ask.budget_s:
            self._ranks.on_abandoned(ask.workspace, ask.cost, ask.weight)
            text = "no slot is expected in time"
            raise refused(ErrorCode.OVERLOADED, text, Ran.NO, retry_after_s=wait_s)
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def on_grant() -> None:
            self._ranks.on_grant(fair)
            if not granted.done():
                granted.set_result(None)

        asked = self._slots.request(rank, on_grant, on_next)
        if asked.is_error():
            raise RefusedError(asked.error)
        self._waiters.add(granted)
        try:
            async with asyncio.timeout(ask.budget_s):
                await granted
        except TimeoutError:
            self._slots.release(asked.ok)
            self._ranks.on_abandoned(ask.workspace, ask.cost, ask.weight)
            text = "no slot in time"
            raise refused(
                ErrorCode.OVERLOADED, text, Ran.NO, retry_after_s=self._hold_s
            ) from None
        except BaseException:
            self._slots.release(asked.ok)
            self._ranks.on_abandoned(ask.workspace, ask.cost, ask.weight)
            raise
        finally:
            self._waiters.discard(granted)
        return SlotLease(self, asked.ok)

    async def begin_work(self, budget_s: float) -> Work:
        """Waits until the upstream can bear one more working request.

        Args:
            budget_s: Longest time to wait.

        Returns:
            The work, to be used as a context manager.

        Raises:
            RefusedError: The upstream could not bear it in time.
        """
        try:
            async with asyncio.timeout(budget_s):
                while not self._can_bear_more():
                    await self._wait_for_change()
        except TimeoutError:
            text = "the upstream cannot bear more now"
            raise refused(ErrorCode.OVERLOADED, text, Ran.NO) from None
        self.working += 1
        return Work(self)

    async def _wait_for_change(self) -> None:
        """Waits until the upstream may be able to bear more."""
        self._may_work.clear()
        try:
            async with asyncio.timeout(RECHECK_S):
                await self._may_work.wait()
        except TimeoutError:
            return

    def end_work(self) -> None:
        """Notes that a request no longer makes the upstream work."""
        self.working -= 1
        self._may_work.set()

    def on_step(self, interval_s: float) -> None:
        """Notes the time between two tokens of one answer."""
        if self._limiter is not None:
            now = loop_time()
            self._limiter.on_token_interval(interval_s, now)
            self._refresh(now)

    def _can_bear_more(self) -> bool:
        if self._limiter is None:
            return False
        return self.working < self._limiter.effective_limit(loop_time())

    def release(self, request: SlotRequest) -> None:
        """Gives a slot back."""
        self._slots.release(request)

    def on_success(self, now: float) -> None:
        """Notes a request that ended well."""
        if self._limiter is not None:
            self._limiter.on_success(now)
            self._refresh(now)

    def on_cold(self, now: float) -> None:
        """Notes a failure, or a sign that the upstream is cold."""
        if self._limiter is not None:
            self._limiter.on_cold_signal(now)
            self._refresh(now)

    def _refresh(self, now: float) -> None:
        if self._limiter is not None:
            self._slots.set_limit(self._limiter.limit)
            if self.working < self._limiter.effective_limit(now):
                self._may_work.set()

    def _check_accepting(self) -> None:
        if self._view is None:
            raise refused(ErrorCode.STALE_SETTINGS, "the agent has no settings yet")
        if not self.accepting:
            raise refused(ErrorCode.DRAINING, "the upstream takes no new work")

    def _refuse_waiting(self) -> None:
        for granted in self._waiters:
            if not granted.done():
                error = refused(ErrorCode.DRAINING, "the upstream takes no new work")
                granted.set_exception(error)


def slot_ask(message: Open) -> SlotAsk:
    """Returns what a message says when it asks for a slot."""
    budget_ms = message.slot_budget_ms or message.budget_ms
    return SlotAsk(
        budget_ms / 1000,
        message.patient,
        message.workspace,
        max(message.weight, MIN_WEIGHT),
        message.cost,
    )
