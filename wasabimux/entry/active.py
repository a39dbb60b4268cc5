"""Requests that an entry is serving: what they cost, and cutting them short."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from wasabimux._clock import loop_time
from wasabimux.adapters.http_server import HttpResponse
from wasabimux.entry.context import RequestContext
from wasabimux.entry.rate_gate import RateLimiter
from wasabimux.errors import ErrorCode, Ran, Refusal, RefusedError
from wasabimux.ids import KeyDigest
from wasabimux.timeline import Timeline


class ActiveRequests:
    """Charges requests, refunds them, and ends those of withdrawn keys.

    Args:
        gate: Charges workspaces.
        timeline: Records events.
    """

    def __init__(self, gate: RateLimiter, timeline: Timeline) -> None:
        self._gate = gate
        self._timeline = timeline
        self._contexts: set[RequestContext] = set()

    async def serve(
        self,
        context: RequestContext,
        worst_tokens: int,
        serve: Callable[[], Awaitable[HttpResponse]],
    ) -> HttpResponse:
        """Charges a request, serves it, and refunds what it did not use."""
        self._contexts.add(context)
        try:
            if worst_tokens and context.workspace:
                wait_until_s = context.deadline_s if context.settings.patient else 0.0
                await self._gate.charge(context.workspace, worst_tokens, wait_until_s)
                context.charged = worst_tokens
                self._timeline.record(
                    "charged",
                    context.request_id,
                    context.workspace,
                    tokens=worst_tokens,
                )
            if context.cut is not None:
                raise RefusedError(context.cut)
            response = await serve()
        except RefusedError as error:
            error.request_id = context.request_id
            self._finish(context)
            raise
        except BaseException:
            self._finish(context)
            raise
        response.on_done = lambda complete: self._finish(context)
        return response

    def _finish(self, context: RequestContext) -> None:
        """Forgets a request; one that never ran costs its workspace nothing."""
        self._contexts.discard(context)
        if not context.charged:
            return
        if context.used is not None:
            unused = context.charged - context.used
        elif context.sent == 0:
            unused = context.charged
        else:
            return
        self._gate.refund(context.workspace, unused)
        self._timeline.record(
            "refunded", context.request_id, context.workspace, tokens=unused
        )

    def cut_off(self, is_withdrawn: Callable[[KeyDigest], bool]) -> None:
        """Ends the running requests of withdrawn keys."""
        now = loop_time()
        for context in list(self._contexts):
            digest = context.caller.digest
            if digest is not None and is_withdrawn(digest):
                text = "the key was withdrawn"
                withdrawn = Refusal(ErrorCode.KEY_WITHDRAWN, text, Ran.UNKNOWN)
                context.cut_off(withdrawn, now)
