"""Charges, refunds and aborts the requests in progress at an entry."""

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
    """Charges and refunds requests, and aborts those of withdrawn keys.

    Args:
        rate_limiter: Charges requests to the rate limits of workspaces.
        timeline: Records events.
    """

    def __init__(self, rate_limiter: RateLimiter, timeline: Timeline) -> None:
        self._rate_limiter = rate_limiter
        self._timeline = timeline
        self._contexts: set[RequestContext] = set()

    async def serve(
        self,
        context: RequestContext,
        max_total_tokens: int,
        serve: Callable[[], Awaitable[HttpResponse]],
    ) -> HttpResponse:
        """Charges a request, serves it, and refunds the tokens that it did not use.

        Args:
            context: Context of the request.
            max_total_tokens: Tokens to charge, 0 for a request that costs none.
            serve: Serves the request.

        Raises:
            RefusedError: The request was refused, failed or was aborted.
        """
        self._contexts.add(context)
        try:
            if max_total_tokens and context.workspace:
                charge_deadline_s = (
                    context.deadline_s if context.settings.patient else 0.0
                )
                await self._rate_limiter.charge(
                    context.workspace, max_total_tokens, charge_deadline_s
                )
                context.charged_tokens = max_total_tokens
                self._timeline.record(
                    "charged",
                    context.request_id,
                    context.workspace,
                    tokens=max_total_tokens,
                )
            if context.abort_refusal is not None:
                raise RefusedError(context.abort_refusal)
            response = await serve()
        except RefusedError as error:
            error.request_id = context.request_id
            self._finish(context)
            raise
        except BaseException:
            self._finish(context)
            raise
        response.on_done = lambda end: self._finish(context)
        return response

    def _finish(self, context: RequestContext) -> None:
        """Removes a request and refunds its unused tokens.

        A request that cannot have run on an engine is refunded in full.
        """
        self._contexts.discard(context)
        if not context.charged_tokens:
            return
        if context.used_tokens is not None:
            unused = context.charged_tokens - context.used_tokens
        elif context.engine_request_count == 0:
            unused = context.charged_tokens
        else:
            return
        self._rate_limiter.refund(context.workspace, unused)
        self._timeline.record(
            "refunded", context.request_id, context.workspace, tokens=unused
        )

    def abort_withdrawn(self, is_withdrawn: Callable[[KeyDigest], bool]) -> None:
        """Aborts the requests in progress whose keys were withdrawn."""
        now = loop_time()
        for context in list(self._contexts):
            digest = context.client.digest
            if digest is not None and is_withdrawn(digest):
                text = "the API key was withdrawn"
                withdrawn = Refusal(ErrorCode.KEY_WITHDRAWN, text, Ran.UNKNOWN)
                context.abort(withdrawn, now)
