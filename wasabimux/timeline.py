"""Bounded in-memory event log with hybrid logical timestamps."""

from __future__ import annotations

import logging
import time
from collections import deque
from typing import Callable, Iterator, NamedTuple

from wasabimux.texts import shorten, text_bytes

LOGICAL_COUNTER_BITS = 16
DEFAULT_CAPACITY_EVENTS = 5_000

#: Most bytes of the texts of all stored events.
MAX_STORED_BYTES = 4_000_000

logger = logging.getLogger("wasabimux")


def wall_clock_ms() -> int:
    """Returns the wall-clock time in milliseconds since the Unix epoch."""
    return time.time_ns() // 1_000_000


class HybridClock:
    """Hybrid logical clock.

    The high bits of a timestamp are the wall-clock time in ms, the low
    LOGICAL_COUNTER_BITS are a counter that keeps causal order.

    Args:
        wall_ms: Returns the wall-clock time in ms.
    """

    def __init__(self, wall_ms: Callable[[], int] = wall_clock_ms) -> None:
        self._wall_ms = wall_ms
        self._last_stamp = 0

    def tick(self) -> int:
        """Returns a new timestamp for a local event or an outgoing message."""
        wall_stamp = self._wall_ms() << LOGICAL_COUNTER_BITS
        self._last_stamp = max(wall_stamp, self._last_stamp + 1)
        return self._last_stamp

    def merge(self, stamp: int) -> None:
        """Advances the clock beyond the timestamp of a received message."""
        if stamp > self._last_stamp:
            self._last_stamp = stamp


class Event(NamedTuple):
    """Event in a process.

    Attributes:
        stamp: Timestamp of the hybrid logical clock.
        instance: Name of the process.
        name: Name of the event.
        request_id: ID of the request concerned, empty if none.
        workspace: Workspace concerned, empty if none.
        fields: Further values as text, by field name.
    """

    stamp: int
    instance: str
    name: str
    request_id: str
    workspace: str
    fields: dict[str, str]

    @property
    def size(self) -> int:
        """Bytes that its texts take."""
        texts = (self.request_id, self.workspace, *self.fields.values())
        return sum(map(text_bytes, texts))

    @property
    def wall_ms(self) -> int:
        """Wall-clock part of the timestamp, in ms since the Unix epoch."""
        return self.stamp >> LOGICAL_COUNTER_BITS


class Timeline:
    """Stores the most recent events of a process and logs each event.

    In an event may stand what clients or upstreams have sent, as in the text of an
    error. So each text is cut, and the oldest events make room for long ones.

    Args:
        instance: Name of the process.
        capacity: Maximum number of stored events.
        clock: Source of timestamps, shared with the links of the process.
        on_event: Called with the name of each event.
    """

    def __init__(
        self,
        instance: str,
        capacity: int = DEFAULT_CAPACITY_EVENTS,
        clock: HybridClock | None = None,
        on_event: Callable[[str], None] | None = None,
    ) -> None:
        self.instance = instance
        self._on_event = on_event
        self.clock = clock or HybridClock()
        self._capacity = capacity
        self._events: deque[Event] = deque()
        self._stored_bytes = 0

    def record(
        self, name: str, request_id: str = "", workspace: str = "", **fields: object
    ) -> None:
        """Stores an event and logs it as one line of key=value pairs.

        Args:
            name: Event name, a constant.
            request_id: ID of the request concerned, if any.
            workspace: Workspace concerned, if any.
            **fields: Further values. Must contain neither API keys nor prompt text.
        """
        field_texts = {key: shorten(str(value)) for key, value in fields.items()}
        event = Event(
            self.clock.tick(),
            self.instance,
            name,
            shorten(request_id),
            shorten(workspace),
            field_texts,
        )
        self._store(event)
        if self._on_event is not None:
            self._on_event(name)
        if logger.isEnabledFor(logging.INFO):
            logger.info(format_event(event))

    def _store(self, event: Event) -> None:
        """Stores an event; the oldest ones make room for it."""
        self._events.append(event)
        self._stored_bytes += event.size
        while (
            len(self._events) > self._capacity or self._stored_bytes > MAX_STORED_BYTES
        ):
            self._stored_bytes -= self._events.popleft().size

    def events(
        self, request_id: str = "", workspace: str = "", since_ms: int = 0
    ) -> Iterator[Event]:
        """Yields the stored events that match all given filters, oldest first."""
        request_id, workspace = shorten(request_id), shorten(workspace)
        for event in self._events:
            if request_id and event.request_id != request_id:
                continue
            if workspace and event.workspace != workspace:
                continue
            if event.wall_ms < since_ms:
                continue
            yield event


def format_event(event: Event) -> str:
    """Returns an event as one line of key=value pairs."""
    pairs = [f"event={event.name}", f"instance={event.instance}"]
    if event.request_id:
        pairs.append(f"request_id={event.request_id}")
    if event.workspace:
        pairs.append(f"workspace={event.workspace}")
    pairs.extend(f"{key}={_quote(text)}" for key, text in event.fields.items())
    return " ".join(pairs)


def _quote(text: str) -> str:
    """Quotes a value that is empty or has quotes, '=' or unprintable characters."""
    if text and text.isprintable() and not any(char in text for char in " =\"'"):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    return '"' + "".join(map(_escape, escaped)) + '"'


def _escape(char: str) -> str:
    """Returns a character, or its escape sequence if it is not printable."""
    return char if char.isprintable() else ascii(char)[1:-1]
