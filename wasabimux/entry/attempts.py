"""Retries requests after failures that are safe to retry."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import TypeVar

from wasabimux._clock import loop_time
from wasabimux.decisions.retry import MAX_ATTEMPTS, RetryBudget, backoff_s
from wasabimux.entry.context import RequestContext
from wasabimux.errors import ErrorCode, Ran, Refusal, RefusedError, refused
from wasabimux.link.stream import LinkLost, StreamCancelled
from wasabimux.timeline import Timeline

Result = TypeVar("Result")

RETRYABLE_CODES = frozenset(
    {
        ErrorCode.DRAINING,
        ErrorCode.OVERLOADED,
        ErrorCode.RESULT_EXPIRED,
        ErrorCode.STALE_SETTINGS,
        ErrorCode.TABLE_FULL,
        ErrorCode.UPSTREAM_FAILED,
        ErrorCode.UPSTREAM_LOST,
    }
)

LINK_LOST_REFUSAL = Refusal(
    ErrorCode.UPSTREAM_LOST, "the link to the upstream was lost", Ran.UNKNOWN
)


class AttemptRunner:
    """Runs the attempts of a request within its deadline and the retry budget.

    Args:
        retry_budget: Retry budget shared by all requests of the entry.
        rng: Random number generator for the jitter of backoff delays.
        timeline: Records events.
    """

    def __init__(
        self, retry_budget: RetryBudget, rng: random.Random, timeline: Timeline
    ) -> None:
        self._retry_budget = retry_budget
        self._rng = rng
        self._timeline = timeline

    async def run(
        self,
        context: RequestContext,
        attempt: Callable[[], Awaitable[Result]],
        repeatable: bool,
    ) -> Result:
        """Runs attempts until one succeeds or no retry is allowed.

        Args:
            context: Context of the request.
            attempt: Makes one attempt.
            repeatable: True if the request may be retried after an attempt that
                may have run on an upstream.

        Returns:
            The result of the successful attempt.

        Raises:
            RefusedError: The last attempt failed; `ran` of the refusal covers all
                attempts.
        """
        self._retry_budget.on_first_attempt()
        while True:
            try:
                async with context.deadline_scope():
                    return await attempt()
            except TimeoutError:
                deadline_refusal = context.timeout_refusal()
                raise RefusedError(context.final_refusal(deadline_refusal)) from None
            except RefusedError as error:
                failure = error.refusal
            except (LinkLost, StreamCancelled):
                failure = LINK_LOST_REFUSAL
            context.record_ran(failure.ran)
            if not self._may_retry(context, failure, repeatable):
                raise RefusedError(context.final_refusal(failure))
            self._timeline.record(
                "retry",
                context.request_id,
                context.workspace,
                attempt=context.attempt,
                code=failure.code.value,
            )
            context.attempt += 1
            await asyncio.sleep(backoff_s(context.attempt, self._rng))

    def _may_retry(
        self, context: RequestContext, failure: Refusal, repeatable: bool
    ) -> bool:
        if failure.code not in RETRYABLE_CODES:
            return False
        if failure.ran is not Ran.NO and not repeatable:
            return False
        now = loop_time()
        if context.attempt + 1 >= MAX_ATTEMPTS or now >= context.deadline_s:
            return False
        return self._retry_budget.try_spend()


def no_upstream_error(group: str | None) -> RefusedError:
    """Returns the error for a group without a usable upstream."""
    return refused(ErrorCode.NO_UPSTREAM, f"no upstream of group {group} is available")
