"""Splits a stream of server-sent events into whole events."""

from __future__ import annotations

from typing import NamedTuple

EVENT_END = b"\n\n"
ID_FIELD = b"id:"


class ServerEvent(NamedTuple):
    """A whole event.

    Attributes:
        id: Its number, None if it has none.
        data: Its bytes, with the empty line at its end.
    """

    id: int | None
    data: bytes


class EventSplitter:
    """Cuts bytes into events; keeps the part of an event that is not yet whole."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """True if bytes of an event that is not whole have arrived."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[ServerEvent]:
        """Takes bytes and returns the events that are now whole."""
        *whole, self._rest = (self._rest + data).split(EVENT_END)
        return [ServerEvent(_id_of(event), event + EVENT_END) for event in whole]


def _id_of(event: bytes) -> int | None:
    for line in event.split(b"\n"):
        if line.startswith(ID_FIELD):
            value = line[len(ID_FIELD) :].strip()
            return int(value) if value.isdigit() else None
    return None
