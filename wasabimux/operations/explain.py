"""Puts the log lines of all processes about one request together."""

from __future__ import annotations

import re
import shlex
from collections.abc import Iterable
from typing import NamedTuple

#: A line of a log, maybe behind what a log collector has put before it.
LINE_START = re.compile(r"time=(\S+) level=\S+ (event=.*)$")

#: Events that change what a relay believes of an upstream.
BELIEFS = frozenset(
    {"upstream_seen", "upstream_gone", "upstream_entry_missing", "phase_ordered"}
)

#: Events that change what a relay believes of everything.
GENERAL_BELIEFS = frozenset(
    {"desired_state_in_force", "store_lost", "store_regained", "history_lost"}
)


class LogLine(NamedTuple):
    """One line of a log.

    Attributes:
        time: Time of day of the process that wrote it.
        instance: Process that wrote it.
        event: What happened.
        fields: Its values by name.
    """

    time: str
    instance: str
    event: str
    fields: dict[str, str]

    def __str__(self) -> str:
        """Returns the line as people read it."""
        shown = " ".join(f"{name}={value}" for name, value in self.fields.items())
        return f"{self.time} {self.instance} {self.event} {shown}"


def parse_line(text: str) -> LogLine | None:
    """Reads a line; None for what is no line of an event."""
    found = LINE_START.search(text)
    if found is None:
        return None
    try:
        words = shlex.split(found.group(2))
    except ValueError:
        return None  # cut in the middle
    fields = dict(word.partition("=")[::2] for word in words)
    event = fields.pop("event")
    return LogLine(found.group(1), fields.pop("instance", ""), event, fields)


def explain_request(request_id: str, texts: Iterable[str]) -> list[LogLine]:
    """Returns what was decided for a request, with the beliefs behind it.

    Args:
        request_id: Identity of the request.
        texts: Lines of the logs of all processes.

    Returns:
        Lines in order of time: those of the request, and before each process's first
        one the last change of what it believed of the upstreams concerned, of the
        store and of the desired state.
    """
    parsed = (line for line in map(parse_line, texts) if line is not None)
    lines = sorted(parsed, key=_time_of)
    own = [line for line in lines if line.fields.get("request_id") == request_id]
    upstreams = {line.fields["upstream"] for line in own if line.fields.get("upstream")}
    beliefs: dict[tuple[str, str, str], LogLine] = {}
    for instance in {line.instance for line in own}:
        first = min(line.time for line in own if line.instance == instance)
        for line in lines:
            if line.instance == instance and line.time <= first:
                subject = _subject(line, upstreams)
                if subject is not None:
                    beliefs[(instance, line.event, subject)] = line
    return sorted([*beliefs.values(), *own], key=_time_of)


def _time_of(line: LogLine) -> str:
    return line.time


def _subject(line: LogLine, upstreams: set[str]) -> str | None:
    """Returns what a line's belief is of, None if the request does not concern it."""
    if line.event in BELIEFS and line.fields.get("upstream") in upstreams:
        return line.fields["upstream"]
    if line.event in GENERAL_BELIEFS:
        return line.fields.get("kind", "")
    return None
