"""What a relay knows of a stream that a caller takes up."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

from wasabimux.relay import begun_streams
from wasabimux.relay.begun_streams import BegunStreams

DEADLINE_S = 10.0


def request(stream: str = "r1", after: int | None = None, workspace: str = "w") -> Any:
    """Returns what is read of a request that begins a stream or takes one up."""
    resumes = None if after is None else stream
    name = stream if after is None else "r2"
    return SimpleNamespace(
        metadata=SimpleNamespace(id=name, resumes=resumes, last_event_id=after),
        route=SimpleNamespace(resumable=True),
        workspace=workspace,
        deadline_s=DEADLINE_S,
    )


def begin(streams: BegunStreams, ids: list[int], stream: str = "r1") -> None:
    """Passes on the events of a stream that has just begun."""
    beginning = request(stream)
    progress = streams.progress_of(beginning)
    streams.add(beginning, progress, 0.0)
    for event_id in ids:
        progress.numbering.on_id(event_id)


def is_next_known(streams: BegunStreams, take_up: Any) -> bool:
    """Returns whether a gap after the caller's last event would be noticed."""
    progress = streams.progress_of(take_up)
    assert progress.last_id == take_up.metadata.last_event_id
    return progress.numbering.is_consecutive


def test_next_id_is_known_after_an_event_that_was_passed_on() -> None:
    streams = BegunStreams()
    begin(streams, [1, 2, 3])
    assert is_next_known(streams, request(after=3))
    assert is_next_known(streams, request(after=2))


def test_next_id_is_not_known_where_this_relay_did_not_see_the_event() -> None:
    streams = BegunStreams()
    begin(streams, [1, 2, 3])
    assert not is_next_known(streams, request(after=4))
    assert not is_next_known(streams, request("another", after=3))
    assert not is_next_known(streams, request(after=3, workspace="another"))


def test_next_id_is_not_known_where_ids_have_gaps() -> None:
    streams = BegunStreams()
    begin(streams, [1, 3, 4])
    assert not is_next_known(streams, request(after=4))


def test_streams_are_forgotten_after_their_time_limits_and_beyond_the_bound(
    monkeypatch: Any,
) -> None:
    streams = BegunStreams()
    begin(streams, [1, 2])
    streams.add(request("later"), streams.progress_of(request("later")), 10.1)
    assert not is_next_known(streams, request(after=2))
    monkeypatch.setattr(begun_streams, "MAX_STREAMS", 1)
    begin(streams, [1, 2], "first")
    assert is_next_known(streams, request("first", after=2))
    begin(streams, [1, 2], "second")
    assert not is_next_known(streams, request("first", after=2))
    assert is_next_known(streams, request("second", after=2))
