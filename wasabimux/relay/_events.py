"""Splits a byte stream into server-sent events (SSE)."""

from __future__ import annotations

from typing import NamedTuple

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class ServerSentEvent(NamedTuple):
    """A complete server-sent event.

    Attributes:
        id: Event ID, None if the event has no numeric one.
        data: Raw bytes of the event, including the blank line that ends it.
    """

    id: int | None
    data: bytes


class SseSplitter:
    """Splits bytes into events; buffers an event until it is complete."""

    def __init__(self) -> None:
        self._buffer = b""

    @property
    def has_partial_event(self) -> bool:
        """True if the buffer holds the beginning of an event."""
        return bool(self._buffer)

    def feed(self, data: bytes) -> list[ServerSentEvent]:
        """Adds received bytes and returns the events that they complete."""
        *complete, self._buffer = (self._buffer + data).split(EVENT_END)
        return [
            ServerSentEvent(_event_id(event), event + EVENT_END) for event in complete
        ]


def _event_id(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None
