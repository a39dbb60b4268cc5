"""Splits a byte stream into server-sent events (SSE)."""

from __future__ import annotations

from typing import NamedTuple

from wasabimux.adapters.memory_ledger import HeldBytes, MemoryLedger
from wasabimux.ports import UpstreamLost

EVENT_END = b"\n\n"
ID_FIELD = b"id:"
COMMENT_START = b":"

#: Most bytes of one event.
MAX_EVENT_BYTES = 1024 * 1024

#: Size in bytes from which on an event that is not complete is counted.
COUNTED_EVENT_BYTES = 16 * 1024

#: Most digits of an event ID.
MAX_ID_DIGITS = 18


class ServerSentEvent(NamedTuple):
    """A complete server-sent event.

    Attributes:
        id: Event ID, None if the event has no numeric one.
        data: Raw bytes of the event, including the blank line that ends it.
    """

    id: int | None
    data: bytes

    @property
    def is_empty(self) -> bool:
        """True if the event has no field, only comments, which are no progress."""
        lines = self.data.split(b"\n")
        return all(not line or line.startswith(COMMENT_START) for line in lines)


class SseSplitter:
    """Splits bytes into events; buffers an event until it is complete.

    A long one is counted until it is complete or `free` is called.

    Args:
        ledger: Ledger that counts it; one of its own if None.
    """

    def __init__(self, ledger: MemoryLedger | None = None) -> None:
        self._buffer = bytearray()
        self._held = HeldBytes(ledger or MemoryLedger())

    @property
    def has_partial_event(self) -> bool:
        """True if the buffer holds the beginning of an event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """Adds received bytes and returns the events that they complete.

        Its cost does not depend on how much of an event was received before.

        Raises:
            UpstreamLost: An event has more than MAX_EVENT_BYTES, or there is no memory
                for it.
        """
        search_start = max(0, len(self._buffer) + 1 - len(EVENT_END))
        self._buffer += data
        complete: list[bytes] = []
        if self._buffer.find(EVENT_END, search_start) >= 0:
            *complete, rest = bytes(self._buffer).split(EVENT_END)
            self._buffer = bytearray(rest)
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise UpstreamLost("an event of the stream is too large", sent=True)
        self._hold_buffer()
        return [
            ServerSentEvent(_event_id(event), event + EVENT_END) for event in complete
        ]

    def free(self) -> None:
        """Drops an event that is not complete."""
        self._buffer.clear()
        self._held.free()

    def _hold_buffer(self) -> None:
        size = len(self._buffer)
        if size < COUNTED_EVENT_BYTES:
            size = 0
        if size != self._held.size and not self._held.resize(size):
            self.free()
            raise UpstreamLost("no memory for an event of the stream", sent=True)


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            is_number = value.isdigit() and len(value) <= MAX_ID_DIGITS
            return int(value) if is_number else None
    return None
