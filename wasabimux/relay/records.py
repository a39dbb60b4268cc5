"""Records what is decided for requests."""

from __future__ import annotations

from wasabimux._clock import loop_time
from wasabimux.relay.context import RelayRequest
from wasabimux.relay.upstreams import Upstream
from wasabimux.timeline import Timeline


class RequestEventRecorder:
    """Writes the events of requests to the time line.

    Args:
        timeline: Takes the events.
    """

    def __init__(self, timeline: Timeline) -> None:
        self._timeline = timeline

    def record(
        self,
        request: RelayRequest,
        name: str,
        upstream: Upstream | None = None,
        **fields: object,
    ) -> None:
        """Records an event with what every event of a request says."""
        self._timeline.record(
            name,
            request.metadata.id,
            request.workspace or "",
            route=request.route.name,
            upstream=upstream.id if upstream else "",
            attempt=len(request.tried_upstreams),
            left_ms=round(request.left_s(loop_time()) * 1000),
            **fields,
        )
