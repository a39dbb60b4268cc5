"""Decides whether a stream is retried or resumed at another engine."""

from __future__ import annotations

import asyncio
from collections.abc import Coroutine
from typing import Any, TypeVar

from wasabimux._clock import loop_time
from wasabimux.decisions.retry_window import ServiceRetryBudgets
from wasabimux.errors import Ran
from wasabimux.ports import UpstreamStalled
from wasabimux.relay.context import RelayRequest
from wasabimux.relay.quarantine import RequestQuarantine
from wasabimux.relay.records import RequestEventRecorder

#: Time without data after which a stream is resumed at another engine, if its route
#: allows that. Clients disconnect after a few times as long; an engine sends some 20
#: events in this time.
STALL_TIMEOUT_S = 1.0

StepResult = TypeVar("StepResult")


class StreamRetries:
    """Allows retries of streams, and charges them to retry budgets.

    Args:
        quarantine: Tells which requests may have crashed several engines.
        budgets: Retry budgets.
        recorder: Records budgets that are used up.
    """

    def __init__(
        self,
        quarantine: RequestQuarantine,
        budgets: ServiceRetryBudgets,
        recorder: RequestEventRecorder,
    ) -> None:
        self._quarantine = quarantine
        self._budgets = budgets
        self._recorder = recorder

    def may_retry(self, request: RelayRequest) -> bool:
        """Tells whether a retry is allowed; charges it to the retry budget."""
        now = loop_time()
        if not request.tried_upstreams or not request.has_attempts_left():
            return False
        if request.ran is not Ran.NO and not request.route.idempotent:
            return False
        if not self._quarantine.may_retry(request):
            return False
        return request.remaining_s(now) > 0 and self.charge(request)

    def charge(self, request: RelayRequest) -> bool:
        """Charges a retry to the service's retry budget; False if it is used up."""
        if request.retry_charged:
            request.retry_charged = False
            return True
        if self._budgets.for_service(request.service.name).try_spend(loop_time()):
            return True
        self._recorder.record(request, "retry_budget_spent")
        return False

    async def await_unless_stalled(
        self,
        request: RelayRequest,
        step: Coroutine[Any, Any, StepResult],
        waited_s: float = 0.0,
    ) -> StepResult:
        """Awaits a step of a stream, unless the stream stalls and can be resumed.

        A stream of which the client has a part is left only once it can go on at
        another engine; until then, and where it may not be resumed or the retry budget
        is used up, its engine is waited for.

        Args:
            request: Request of the stream.
            step: The step.
            waited_s: Time in s waited since the last progress of the stream.

        Raises:
            UpstreamStalled: The stream made no progress for STALL_TIMEOUT_S, and is to
                be resumed.
        """
        task = asyncio.ensure_future(step)
        try:
            can_resume = request.route.resumable and request.has_attempts_left()
            timeout_s = max(0.0, STALL_TIMEOUT_S - waited_s) if can_resume else None
            await asyncio.wait({task}, timeout=timeout_s)
            if not task.done() and await self._may_leave(request, task):
                raise UpstreamStalled(
                    "stream stalled: no data from the engine", sent=True
                )
            return await task
        finally:
            task.cancel()

    async def _may_leave(self, request: RelayRequest, step: asyncio.Task[Any]) -> bool:
        """Returns whether a stream leaves its silent engine before a step is done.

        Without a slot elsewhere it leaves only while a refusal can still tell the
        client.
        """
        assert request.standby is not None
        has_begun = request.response_started
        may_leave = self.may_retry if has_begun else self.charge
        request.retry_charged = may_leave(request)
        if not request.retry_charged:
            return False
        if not await request.standby.is_ready_before(step):
            return not (step.done() or has_begun)
        request.retry_charged = self.may_retry(request)  # a prefill may have used it
        if not request.retry_charged:
            request.standby.drop()
        return request.retry_charged
