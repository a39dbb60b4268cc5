"""Takes over what responses say of their upstreams."""

from __future__ import annotations

from wasabimux._clock import loop_time
from wasabimux.adapters.http_client import ClientResponse
from wasabimux.relay.ports import HeaderCodec
from wasabimux.relay.upstreams import Upstream
from wasabimux.timeline import Timeline


class NoticeRecorder:
    """Passes notices in responses to their upstreams and records what is new.

    A notice counts in every response of an upstream, also in one that belongs to
    another request: it concerns the upstream, not the request.

    Args:
        header_codec: Decodes the headers of responses.
        timeline: Records notices.
    """

    def __init__(self, header_codec: HeaderCodec, timeline: Timeline) -> None:
        self._header_codec = header_codec
        self._timeline = timeline

    def on_any_response(self, upstream: Upstream, response: ClientResponse) -> None:
        """Takes over what a response says of its upstream."""
        notice = self._header_codec.read_notice(response.status, response.headers)
        now = loop_time()
        if upstream.on_notice(notice, now):
            self._timeline.record("upstream_leaving", upstream=upstream.id)
        if notice.pause_s is not None:
            self._timeline.record(
                "upstream_pause_asked",
                upstream=upstream.id,
                asked_s=notice.pause_s,
                pause_s=round(upstream.pause.left_s(now), 3),
            )
