"""Selection of the log lines of all processes that concern one request."""

from __future__ import annotations

from wasabimux.operations.explain import explain_request, parse_line
from wasabimux.timeline import Timeline, format_event


def log_line(time: str, name: str, instance: str = "relay-1", **fields: object) -> str:
    """Returns a line as a process logs it, after the prefix of a log collector."""
    timeline = Timeline(instance)
    request_id = str(fields.pop("request_id", ""))
    timeline.record(name, request_id, **fields)
    (event,) = timeline.events()
    return f"  7.1 {instance} time={time} level=INFO {format_event(event)}"


def test_quoted_values_are_parsed() -> None:
    line = parse_line(log_line("t1", "refused", reason='no "room" = left', ran="no"))
    assert line is not None
    assert line.fields == {"reason": 'no "room" = left', "ran": "no"}


def test_lines_without_an_event_are_skipped() -> None:
    assert parse_line("Traceback (most recent call last):") is None
    assert parse_line('time=t level=INFO event=x reason="cut') is None


def test_request_is_explained_with_the_view_of_its_relay() -> None:
    lines = [
        log_line("t5", "upstream_lost", request_id="r1", upstream="i-1"),
        log_line("t1", "upstream_seen", upstream="i-1", draining=False),
        log_line("t2", "upstream_seen", upstream="i-1", draining=True),
        log_line("t2", "upstream_seen", upstream="i-2"),
        log_line("t3", "store_lost", kind="servers"),
        log_line("t4", "answered", request_id="r2", upstream="i-1"),
        log_line("t6", "upstream_gone", upstream="i-1"),
        log_line("t3", "store_lost", instance="relay-2", kind="servers"),
    ]
    explained = [(line.time, line.event) for line in explain_request("r1", lines)]
    assert explained == [
        ("t2", "upstream_seen"),
        ("t3", "store_lost"),
        ("t5", "upstream_lost"),
    ]
