"""The stream of a decode engine, and the client's position in a stream."""

from __future__ import annotations

from collections.abc import AsyncIterator
from dataclasses import dataclass, field

from wasabimux._clock import loop_time
from wasabimux.adapters.http_client import ClientResponse
from wasabimux.ports import UpstreamLost
from wasabimux.relay._events import ServerSentEvent, SseSplitter
from wasabimux.relay.slots import DecodeSlot, SlotScheduler

#: Events of one engine after which a stream counts as begun: an engine may send one
#: before it crashes on the prompt.
EVENTS_TO_BEGIN = 2


@dataclass(slots=True)
class EngineStream:
    """A stream that a decode engine is sending.

    Attributes:
        response: Response of the engine.
        chunks: Chunks of the response's body.
        slot: Slot that the stream runs in.
        pending: Events that were received and not yet passed on.
        splitter: Splits the body into events.
        waited_s: Time in s waited for the engine since its last event with a field.
        ended: True once the engine has ended the stream without an error.
        events: Number of events with a field that were taken from the stream.
        is_resumed: True if it goes on after an event, which may have been the last.
    """

    response: ClientResponse
    chunks: AsyncIterator[bytes]
    slot: DecodeSlot
    pending: list[ServerSentEvent] = field(default_factory=list)
    splitter: SseSplitter = field(default_factory=SseSplitter)
    waited_s: float = 0.0
    ended: bool = False
    events: int = 0
    is_resumed: bool = False

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

    async def read_events(self) -> None:
        """Reads until an event is complete or the stream has ended.

        Raises:
            UpstreamLost: The stream broke off.
        """
        while not self.pending and not self.ended:
            chunk = await anext(self.chunks, None)
            if chunk is None:
                self._check_end()
                self.ended = True
            else:
                self.pending = self.splitter.feed(chunk)

    def _check_end(self) -> None:
        if self.splitter.has_partial_event:
            raise UpstreamLost("the stream ended within an event", sent=True)
        if not self.events and not self.is_resumed:
            raise UpstreamLost("the stream ended without an event", sent=True)


@dataclass(slots=True)
class StreamProgress:
    """Position of the client in a stream.

    Attributes:
        last_id: ID of the last event passed on, None before the first.
        events: Number of events passed on.
    """

    last_id: int | None
    events: int = 0

    def on_event(self, event: ServerSentEvent) -> None:
        """Records an event that is passed on."""
        self.events += 1
        if event.id is not None:
            self.last_id = event.id


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
            self.stream.response.close()
            self._slot_scheduler.release(self.stream.slot, loop_time())
