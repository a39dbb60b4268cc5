"""Sends a request again after a failure that allows it."""

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

Answer = TypeVar("Answer")

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

LINK_LOST = Refusal(
    ErrorCode.UPSTREAM_LOST, "the link to the upstream was lost", Ran.UNKNOWN
)


class AttemptRunner:
    """Runs attempts under the deadline and the retry budget.

    Args:
        budget: Retry budget of the entry.
        rng: Source of jitter.
        timeline: Records events.
    """

    def __init__(
        self, budget: RetryBudget, rng: random.Random, timeline: Timeline
    ) -> None:
        self._budget = budget
        self._rng = rng
        self._timeline = timeline

    async def run(
        self,
        context: RequestContext,
        attempt: Callable[[], Awaitable[Answer]],
        repeatable: bool,
    ) -> Answer:
        """Runs attempts until one succeeds or no further one is allowed.

        Args:
            context: The request.
            attempt: Makes one attempt.
            repeatable: True if an attempt may follow one that may have run.

        Returns:
            What the successful attempt returned.

        Raises:
            RefusedError: The final refusal, true for all attempts.
        """
        self._budget.on_first_attempt()
        while True:
            try:
                async with context.scope():
                    return await attempt()
            except TimeoutError:
                late = context.timeout_refusal()
                raise RefusedError(context.final(late)) from None
            except RefusedError as error:
                failure = error.refusal
            except (LinkLost, StreamCancelled):
                failure = LINK_LOST
            context.note_ran(failure.ran)
            if not self._may_retry(context, failure, repeatable):
                raise RefusedError(context.final(failure))
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
        return self._budget.try_spend()


def no_upstream_error(group: str | None) -> RefusedError:
    """Makes the refusal for a group without a usable upstream."""
    return refused(ErrorCode.NO_UPSTREAM, f"no upstream of group {group} is available")
