"""Collects the log lines of all processes that concern one request."""

from __future__ import annotations

import re
import shlex
from collections.abc import Iterable
from typing import NamedTuple

#: Log line of an event, possibly after a prefix that a log collector added.
LINE_PATTERN = re.compile(r"time=(\S+) level=\S+ (event=.*)$")

#: Events that change a relay's cached state of one upstream.
UPSTREAM_STATE_EVENTS = frozenset(
    {"upstream_seen", "upstream_gone", "upstream_entry_missing", "phase_ordered"}
)

#: Events that change a relay's cached state independently of an upstream.
GLOBAL_STATE_EVENTS = frozenset(
    {"desired_state_in_force", "store_lost", "store_regained", "history_lost"}
)


class LogLine(NamedTuple):
    """Log line of an event.

    Attributes:
        time: Wall-clock time at the process that wrote the line.
        instance: Instance whose process wrote the line.
        event: Name of the event.
        fields: Values of the event's fields by name.
    """

    time: str
    instance: str
    event: str
    fields: dict[str, str]

    def __str__(self) -> str:
        """Returns the line in the format shown to operators."""
        fields = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time} {self.instance} {self.event} {fields}"


def parse_line(text: str) -> LogLine | None:
    """Parses a log line; returns None if it is not the line of an event."""
    match = LINE_PATTERN.search(text)
    if match is None:
        return None
    try:
        parts = shlex.split(match.group(2))
    except ValueError:
        return None  # truncated line
    fields = dict(part.partition("=")[::2] for part in parts)
    event = fields.pop("event")
    return LogLine(match.group(1), fields.pop("instance", ""), event, fields)


def explain_request(request_id: str, texts: Iterable[str]) -> list[LogLine]:
    """Returns the log lines of a request and of the cached state it was decided on.

    Args:
        request_id: ID of the request.
        texts: Log lines of all processes.

    Returns:
        Lines in order of time: those of the request, and, from before each process's
        first one, the last changes of its cached state of the upstreams concerned,
        the store and the desired state.
    """
    parsed = (line for line in map(parse_line, texts) if line is not None)
    lines = sorted(parsed, key=_line_time)
    request_lines = [
        line for line in lines if line.fields.get("request_id") == request_id
    ]
    upstreams = {
        line.fields["upstream"] for line in request_lines if line.fields.get("upstream")
    }
    state_lines: dict[tuple[str, str, str], LogLine] = {}
    for instance in {line.instance for line in request_lines}:
        first_time = min(
            line.time for line in request_lines if line.instance == instance
        )
        for line in lines:
            if line.instance == instance and line.time <= first_time:
                subject = _state_subject(line, upstreams)
                if subject is not None:
                    state_lines[(instance, line.event, subject)] = line
    return sorted([*state_lines.values(), *request_lines], key=_line_time)


def _line_time(line: LogLine) -> str:
    return line.time


def _state_subject(line: LogLine, upstreams: set[str]) -> str | None:
    """Returns the upstream or kind of object of a relevant state change, or None."""
    if line.event in UPSTREAM_STATE_EVENTS and line.fields.get("upstream") in upstreams:
        return line.fields["upstream"]
    if line.event in GLOBAL_STATE_EVENTS:
        return line.fields.get("kind", "")
    return None
