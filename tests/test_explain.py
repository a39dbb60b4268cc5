"""Log lines of all processes about one request."""

from __future__ import annotations

from wasabimux.operations.explain import explain_request, parse_line
from wasabimux.timeline import Timeline, format_event


def logged(time: str, name: str, instance: str = "relay-1", **fields: object) -> str:
    """Returns a line as a process writes it, behind a collector's prefix."""
    timeline = Timeline(instance)
    request_id = str(fields.pop("request_id", ""))
    timeline.record(name, request_id, **fields)
    (event,) = timeline.events()
    return f"  7.1 {instance} time={time} level=INFO {format_event(event)}"


def test_quoted_values_are_read_back() -> None:
    line = parse_line(logged("t1", "refused", reason='no "room" = left', ran="no"))
    assert line is not None
    assert line.fields == {"reason": 'no "room" = left', "ran": "no"}


def test_what_is_no_event_is_passed_over() -> None:
    assert parse_line("Traceback (most recent call last):") is None
    assert parse_line('time=t level=INFO event=x reason="cut') is None


def test_a_request_comes_with_the_beliefs_behind_it() -> None:
    texts = [
        logged("t5", "upstream_lost", request_id="r1", upstream="i-1"),
        logged("t1", "upstream_seen", upstream="i-1", draining=False),
        logged("t2", "upstream_seen", upstream="i-1", draining=True),
        logged("t2", "upstream_seen", upstream="i-2"),
        logged("t3", "store_lost", kind="servers"),
        logged("t4", "answered", request_id="r2", upstream="i-1"),
        logged("t6", "upstream_gone", upstream="i-1"),
        logged("t3", "store_lost", instance="relay-2", kind="servers"),
    ]
    found = [(line.time, line.event) for line in explain_request("r1", texts)]
    assert found == [
        ("t2", "upstream_seen"),
        ("t3", "store_lost"),
        ("t5", "upstream_lost"),
    ]
