"""A bounded ring of events, stamped by a hybrid logical clock."""

from __future__ import annotations

import logging
import time
from collections import deque
from typing import Callable, Iterator, NamedTuple

CLOCK_LOGICAL_BITS = 16
DEFAULT_CAPACITY_EVENTS = 5_000

logger = logging.getLogger("wasabimux")


def wall_clock_ms() -> int:
    """Returns the wall clock in milliseconds since the epoch."""
    return time.time_ns() // 1_000_000


class HybridClock:
    """A hybrid logical clock: wall time in ms, then a counter for causality.

    Args:
        wall_ms: Source of the wall clock in milliseconds.
    """

    def __init__(self, wall_ms: Callable[[], int] = wall_clock_ms) -> None:
        self._wall_ms = wall_ms
        self._last = 0

    def tick(self) -> int:
        """Returns a stamp for a local event or an outgoing message."""
        physical = self._wall_ms() << CLOCK_LOGICAL_BITS
        self._last = max(physical, self._last + 1)
        return self._last

    def merge(self, stamp: int) -> None:
        """Notes the stamp of a received message, so later stamps exceed it."""
        if stamp > self._last:
            self._last = stamp


class Event(NamedTuple):
    """One thing that happened in one process."""

    stamp: int
    instance: str
    name: str
    request_id: str
    workspace: str
    fields: dict[str, str]

    @property
    def wall_ms(self) -> int:
        """Wall clock part of the stamp, in ms since the epoch."""
        return self.stamp >> CLOCK_LOGICAL_BITS


class Timeline:
    """Keeps the last events of a process and writes each to the log.

    Args:
        instance: Name of the process.
        capacity: Number of events kept.
        clock: Source of stamps, shared with the links of the process.
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
        self._events: deque[Event] = deque(maxlen=capacity)

    def record(
        self, name: str, request_id: str = "", workspace: str = "", **fields: object
    ) -> None:
        """Adds an event and logs it as one line of key=value pairs.

        Args:
            name: What happened, as a fixed word.
            request_id: Request concerned, if any.
            workspace: Workspace concerned, if any.
            **fields: Further values. Must hold neither keys nor prompt text.
        """
        texts = {key: str(value) for key, value in fields.items()}
        event = Event(
            self.clock.tick(), self.instance, name, request_id, workspace, texts
        )
        self._events.append(event)
        if self._on_event is not None:
            self._on_event(name)
        if logger.isEnabledFor(logging.INFO):
            logger.info(format_event(event))

    def events(
        self, request_id: str = "", workspace: str = "", since_ms: int = 0
    ) -> Iterator[Event]:
        """Yields the kept events that match, oldest first."""
        for event in self._events:
            if request_id and event.request_id != request_id:
                continue
            if workspace and event.workspace != workspace:
                continue
            if event.wall_ms < since_ms:
                continue
            yield event


def format_event(event: Event) -> str:
    """Formats an event as key=value pairs."""
    pairs = [f"event={event.name}", f"instance={event.instance}"]
    if event.request_id:
        pairs.append(f"request_id={event.request_id}")
    if event.workspace:
        pairs.append(f"workspace={event.workspace}")
    pairs.extend(f"{key}={_quote(text)}" for key, text in event.fields.items())
    return " ".join(pairs)


def _quote(text: str) -> str:
    """Quotes a value that holds blanks, quotes, '=' or line breaks."""
    if text and not any(char in text for char in " =\"'\n\r\t"):
        return text
    escaped = text.replace("\\", "\\\\").replace('"', '\\"')
    escaped = escaped.replace("\n", "\\n").replace("\r", "\\r")
    return f'"{escaped}"'
