"""How far the streams of this relay have come, for callers that take them up."""

from __future__ import annotations

from collections import OrderedDict
from typing import NamedTuple

from wasabimux.ids import RequestId, WorkspaceId
from wasabimux.relay.context import RelayRequest
from wasabimux.relay.engine_stream import EventNumbering, StreamProgress

#: Most streams that are remembered.
MAX_STREAMS = 8_192

#: Longest identity of a stream that is remembered, as callers choose it.
MAX_ID_LENGTH = 64


class _StreamKey(NamedTuple):
    """A stream: its caller's workspace, and the request that began it."""

    workspace: WorkspaceId | None
    stream: RequestId


class _BegunStream(NamedTuple):
    """What is known of a stream, and the loop time in s at which it is forgotten."""

    numbering: EventNumbering
    until_s: float


class BegunStreams:
    """A bounded number of streams, of which the oldest are forgotten first."""

    def __init__(self) -> None:
        self._by_key: OrderedDict[_StreamKey, _BegunStream] = OrderedDict()

    def add(self, request: RelayRequest, progress: StreamProgress, now: float) -> None:
        """Records that a stream has begun, or goes on.

        Args:
            request: Request of the caller.
            progress: Position of the caller, which advances with the stream.
            now: Current time in s.
        """
        self._forget_ended(now)
        key = _key_of(request)
        if len(key.stream) > MAX_ID_LENGTH:
            return
        self._by_key[key] = _BegunStream(progress.numbering, request.deadline_s)
        self._by_key.move_to_end(key)
        while len(self._by_key) > MAX_STREAMS:
            self._by_key.popitem(last=False)

    def progress_of(self, request: RelayRequest) -> StreamProgress:
        """Returns the position of a caller that begins a stream or takes one up.

        If this relay has passed on the event after which the stream is taken up, what
        it knows of the IDs before holds further.
        """
        after = request.metadata.last_event_id
        begun = self._by_key.get(_key_of(request))
        numbering = EventNumbering(after)
        if after is not None and begun is not None:
            numbering = begun.numbering.after(after)
        return StreamProgress(numbering, request.route.resumable)

    def _forget_ended(self, now: float) -> None:
        """Forgets the oldest streams, as far as no caller takes them up any more."""
        while self._by_key:
            key, begun = next(iter(self._by_key.items()))
            if begun.until_s >= now:
                return
            del self._by_key[key]


def _key_of(request: RelayRequest) -> _StreamKey:
    stream = request.metadata.resumes or request.metadata.id
    return _StreamKey(request.workspace, stream)
