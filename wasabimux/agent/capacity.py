"""The capacity of the upstream: slots, cold start and drain."""

from __future__ import annotations

import asyncio

from wasabimux.decisions.cold_start import ColdStartLimiter
from wasabimux.decisions.slots import SlotRequest, SlotTable
from wasabimux.errors import ErrorCode, Ran, RefusedError, refused
from wasabimux.link.messages import LoadReport
from wasabimux.settings.views import AgentView

#: Requests that may wait for a slot, per slot of a warm upstream.
QUEUE_PER_SLOT = 8


class SlotLease:
    """A slot held by one request; a context manager that releases it.

    Args:
        capacity: Owner of the slots.
        request: The request that holds the slot.
    """

    def __init__(self, capacity: Capacity, request: SlotRequest) -> None:
        self._capacity = capacity
        self._request = request

    def __enter__(self) -> SlotLease:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._capacity.release(self._request)


class Capacity:
    """Decides how many requests the upstream gets, and in which order.

    No work is accepted before the upstream is prepared and the first settings
    have arrived.
    """

    def __init__(self) -> None:
        self.version = 0
        self._view: AgentView | None = None
        self._limiter: ColdStartLimiter | None = None
        self._slots = SlotTable(0, 0)
        self._waiters: set[asyncio.Future[None]] = set()
        self._arrivals = 0
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

    def apply(self, version: int, view: AgentView, now: float) -> bool:
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
                view.cold_requests, view.max_requests, view.warm_up_s, now
            )
            self._slots = SlotTable(0, view.max_requests * QUEUE_PER_SLOT)
        else:
            self._limiter.reconfigure(
                view.cold_requests, view.max_requests, view.warm_up_s
            )
        if not view.accepting:
            self._refuse_waiting()
        self._slots.set_limit(self._limiter.limit)
        return True

    def start(self) -> None:
        """Notes that the upstream is prepared for work."""
        self._started = True

    def shut_down(self) -> None:
        """Accepts nothing more, and sends waiting requests elsewhere."""
        self._shutting_down = True
        self._refuse_waiting()

    async def acquire(self, budget_s: float, patient: bool) -> SlotLease:
        """Waits for a slot.

        Args:
            budget_s: Longest time to wait.
            patient: True for work that comes behind interactive work.

        Returns:
            The slot, to be used as a context manager.

        Raises:
            RefusedError: There will be no slot in time; nothing has run.
        """
        self._check_accepting()
        self._arrivals += 1
        rank = (float(patient), float(self._arrivals))
        granted: asyncio.Future[None] = asyncio.get_running_loop().create_future()

        def on_grant() -> None:
            if not granted.done():
                granted.set_result(None)

        asked = self._slots.request(rank, on_grant)
        if asked.is_error():
            raise RefusedError(asked.error)
        self._waiters.add(granted)
        try:
            async with asyncio.timeout(budget_s):
                await granted
        except TimeoutError:
            self._slots.release(asked.ok)
            raise refused(ErrorCode.DEADLINE, "no slot in time", Ran.NO) from None
        except BaseException:
            self._slots.release(asked.ok)
            raise
        finally:
            self._waiters.discard(granted)
        return SlotLease(self, asked.ok)

    def release(self, request: SlotRequest) -> None:
        """Gives a slot back."""
        self._slots.release(request)

    def on_success(self, now: float) -> None:
        """Notes a request that ended well."""
        if self._limiter is not None:
            self._limiter.on_success(now)
            self._slots.set_limit(self._limiter.limit)

    def on_cold(self, now: float) -> None:
        """Notes a failure, or a sign that the upstream is cold."""
        if self._limiter is not None:
            self._limiter.on_cold(now)
            self._slots.set_limit(self._limiter.limit)

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
