"""The stream of a decode engine, and the client's position in a stream."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from wasabimux._clock import loop_time
from wasabimux.adapters.http_client import ClientResponse
from wasabimux.adapters.memory_ledger import process_ledger
from wasabimux.ids import UpstreamId
from wasabimux.ports import Headers, StreamMismatch, UpstreamLost
from wasabimux.relay._events import ServerSentEvent, SseSplitter
from wasabimux.relay.slots import DecodeSlot, SlotScheduler

#: Events of one engine after which a stream counts as begun: an engine may send one
#: before it crashes on the prompt.
EVENTS_TO_BEGIN = 2

#: Engines that have to find no further event before a stream counts as ended, as one of
#: them may have lost its position; fewer where no other engine can be asked.
ENGINES_TO_END = 2

CONTENT_TYPE = b"content-type"
EVENT_STREAM_TYPE = b"text/event-stream"


@dataclass(slots=True)
class EventNumbering:
    """The IDs of a stream's events, as far as they were passed on.

    Attributes:
        last_id: ID of the last event, None before the first.
        steps: Number of IDs that were the next after the one before.
        has_gaps: True once there was another ID.
    """

    last_id: int | None = None
    steps: int = 0
    has_gaps: bool = False

    @property
    def is_consecutive(self) -> bool:
        """True if the next event is known to have the next ID."""
        return self.steps > 0 and not self.has_gaps

    def on_id(self, event_id: int) -> None:
        """Records the ID of an event that is passed on."""
        if event_id == (self.last_id or 0) + 1:
            self.steps += 1
        else:
            self.has_gaps = True
        self.last_id = event_id

    def after(self, event_id: int) -> EventNumbering:
        """Returns what is known of the IDs for a caller that goes on after an event."""
        if self.last_id is None or event_id > self.last_id:
            return EventNumbering(event_id)
        return EventNumbering(event_id, self.steps, self.has_gaps)


@dataclass(slots=True)
class StreamProgress:
    """Position of the client in a stream.

    Attributes:
        numbering: IDs of the events passed on.
        resumable: True if the stream may go on at another engine, for which the IDs
            of its events must increase.
        events: Number of events passed on.
        was_stopped: True if the stream was stopped after the last event, so that more
            must follow.
        ended_at: Engines that found no event after the last one.
        engines: Engines in service that can go on with the stream.
    """

    numbering: EventNumbering
    resumable: bool
    events: int = 0
    was_stopped: bool = False
    ended_at: set[UpstreamId] = field(default_factory=set)
    engines: set[UpstreamId] = field(default_factory=set)

    @property
    def last_id(self) -> int | None:
        """ID of the last event passed on, None before the first."""
        return self.numbering.last_id

    def on_event(self, event: ServerSentEvent) -> None:
        """Records an event that is passed on."""
        self.events += 1
        if event.id is None:
            return
        self.was_stopped = False
        self.ended_at.clear()
        self.numbering.on_id(event.id)

    def on_no_event(self, engine: UpstreamId) -> bool:
        """Records that an engine finds no event after the last one.

        Returns:
            True if the stream has ended: its end was lost, and its last event was not.
        """
        self.ended_at.add(engine)
        if self.was_stopped:
            return False
        return len(self.ended_at) >= ENGINES_TO_END or self.engines <= self.ended_at


@dataclass(slots=True)
class EngineStream:
    """A stream that a decode engine is sending.

    Attributes:
        response: Response of the engine.
        chunks: Chunks of the response's body.
        slot: Slot that the stream runs in.
        progress: Position of the client, after which the engine goes on.
        pending: Events that were received and not yet passed on.
        splitter: Splits the body into events.
        waited_s: Time in s waited for the engine since its last event with a field.
        ended: True once the engine has ended the stream without an error.
        events: Number of events with a field that were taken from the stream.
        is_resumed: True if it goes on after an event.
        last_id: ID of the last event received, or of the one that it goes on after.
        mismatch: Why no further events of the stream are taken, None while they are.
    """

    response: ClientResponse
    chunks: AsyncIterator[bytes]
    slot: DecodeSlot
    progress: StreamProgress
    pending: list[ServerSentEvent] = field(default_factory=list)
    splitter: SseSplitter = field(default_factory=lambda: SseSplitter(process_ledger()))
    waited_s: float = 0.0
    ended: bool = False
    events: int = 0
    is_resumed: bool = field(init=False)
    last_id: int | None = field(init=False)
    mismatch: StreamMismatch | None = None

    def __post_init__(self) -> None:
        self.last_id = self.progress.last_id
        self.is_resumed = self.last_id is not None

    @property
    def has_begun(self) -> bool:
        """True once the engine has shown that it bears the prompt."""
        return self.events >= EVENTS_TO_BEGIN

    def begins_with(self, event: ServerSentEvent) -> bool:
        """Takes an event from the stream; returns whether the stream begins by it."""
        if event.is_empty:
            return False
        self.events += 1
        return self.events == EVENTS_TO_BEGIN

    def close(self) -> None:
        """Closes the connection and drops what was received of an event."""
        self.response.close()
        self.splitter.free()

    async def read_events(self) -> None:
        """Reads until an event is complete or the stream has ended.

        Raises:
            UpstreamLost: The stream broke off, or an event does not follow.
        """
        while not self.pending and not self.ended:
            if self.mismatch is not None:
                raise self.mismatch
            chunk = await anext(self.chunks, None)
            if chunk is None:
                self._check_end()
                self.ended = True
            else:
                self._take(self.splitter.feed(chunk))

    def _take(self, events: list[ServerSentEvent]) -> None:
        """Takes events up to the first one that does not follow in the stream."""
        for event in events:
            if self.progress.resumable and not event.is_empty:
                if event.id is None or not self._follows(event.id):
                    self.mismatch = StreamMismatch(
                        "an event does not follow in the stream", sent=True
                    )
                    return
                self.last_id = event.id
            self.pending.append(event)

    def _follows(self, event_id: int) -> bool:
        """Tells whether an event's ID follows the last one.

        IDs increase. Where another engine goes on with a stream whose IDs were
        consecutive, its first one is the next.
        """
        if self.last_id is None:
            return True
        known = self.progress.numbering
        if self.last_id == known.last_id and known.is_consecutive:
            return event_id == self.last_id + 1
        return event_id > self.last_id

    def _check_end(self) -> None:
        if self.splitter.has_partial_event:
            raise UpstreamLost("the stream ended within an event", sent=True)
        if self.events:
            return
        if not self.is_resumed:
            raise UpstreamLost("the stream ended without an event", sent=True)
        if not (self.response.is_framed and _is_event_stream(self.response.headers)):
            raise UpstreamLost("the rest of the stream is missing", sent=True)
        if not self.progress.on_no_event(self.slot.upstream.id):
            raise StreamMismatch("no event follows in the stream", sent=True)


class ActiveStream:
    """The engine stream that a response is being read from.

    Args:
        stream: Current stream, replaced when it is resumed at another engine.
        slot_scheduler: Releases the stream's slot.
    """

    def __init__(self, stream: EngineStream, slot_scheduler: SlotScheduler) -> None:
        self.stream = stream
        self._slot_scheduler = slot_scheduler
        self._closed_stream: EngineStream | None = None

    def close_stream(self) -> None:
        """Closes the connection, which stops generation, and releases the slot."""
        if self._closed_stream is not self.stream:
            self._closed_stream = self.stream
            self.stream.close()
            self._slot_scheduler.release(self.stream.slot, loop_time())


def _is_event_stream(headers: Headers) -> bool:
    """Tells whether a body may be a stream of events; one without a type may be."""
    media_type = dict(headers).get(CONTENT_TYPE, EVENT_STREAM_TYPE)
    return media_type.partition(b";")[0].strip().lower() == EVENT_STREAM_TYPE
