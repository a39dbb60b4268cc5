"""Records timeline events of client requests."""

from __future__ import annotations

from wasabimux._clock import loop_time
from wasabimux.decisions.answers import ResponseMetadata
from wasabimux.relay.context import RelayRequest
from wasabimux.relay.upstreams import Upstream
from wasabimux.timeline import Timeline


class RequestEventRecorder:
    """Writes the events of requests to the timeline.

    Args:
        timeline: Timeline that stores the events.
    """

    def __init__(self, timeline: Timeline) -> None:
        self._timeline = timeline

    def record_rate_limit(self, request: RelayRequest, upstream: Upstream) -> None:
        """Records that an upstream has named a rate limit, or names none any more."""
        limit = upstream.rate_limit_per_s
        text = "none" if limit is None else limit
        self.record(request, "rate_limit_named", upstream, rate_per_s=text)

    def record_answer(
        self,
        request: RelayRequest,
        name: str,
        upstream: Upstream,
        status: int,
        metadata: ResponseMetadata,
        **fields: object,
    ) -> None:
        """Records what an upstream's answer says of a request.

        Args:
            request: Request that waits for the answer.
            name: Name of the event.
            upstream: Upstream that sent the answer.
            status: HTTP status of the answer.
            metadata: Metadata of the answer.
            **fields: Further fields of the event.
        """
        is_own = metadata.id == request.metadata.id
        self.record(
            request,
            name,
            upstream,
            status=status,
            answer_id="own" if is_own else metadata.id or "none",
            signed=metadata.signed,
            not_executed=metadata.not_executed,
            **fields,
        )

    def record_lost(
        self,
        request: RelayRequest,
        name: str,
        upstream: Upstream,
        error: object,
        **fields: object,
    ) -> None:
        """Records that an upstream lost a prompt, with what may have crashed it.

        Args:
            request: Request that was lost.
            name: Name of the event.
            upstream: Upstream that lost it.
            error: What went wrong.
            **fields: Further fields of the event.
        """
        self.record(
            request,
            name,
            upstream,
            **fields,
            error=error,
            parts=request.metadata.parts_text,
            content=request.content_digest,
        )

    def record(
        self,
        request: RelayRequest,
        name: str,
        upstream: Upstream | None = None,
        **fields: object,
    ) -> None:
        """Records an event together with the fields that all request events share.

        Args:
            request: Request that the event belongs to.
            name: Name of the event.
            upstream: Upstream that the event concerns, if any.
            **fields: Further fields of the event.
        """
        self._timeline.record(
            name,
            request.metadata.id,
            request.workspace or "",
            route=request.route.name,
            upstream=upstream.id if upstream else "",
            attempt=len(request.tried_upstreams),
            left_ms=round(request.remaining_s(loop_time()) * 1000),
            **fields,
        )
