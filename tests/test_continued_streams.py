"""Streams that go on at another engine, whatever that engine answers, on sockets."""

from __future__ import annotations

import asyncio
import contextlib
import re
from collections.abc import AsyncGenerator, Awaitable, Callable, Sequence
from contextlib import asynccontextmanager
from typing import NamedTuple

import pytest

from tests.relay_fixtures import RelayCluster, relay_cluster
from wasabimux.decisions import stream_migration
from wasabimux.ports import UpstreamLost
from wasabimux.relay.moves import MIGRATION_RESULT_TIMEOUT_S

HEAD_END = b"\r\n\r\n"
REPLACED = ("dec-1", "dec-2", "dec-3")
EVENTS = [b"id: %d\ndata: token-%d\n\n" % (number, number) for number in range(1, 7)]
EVENT_ID = re.compile(rb"^id: (\d+)$", re.MULTILINE)

#: Events that a caller has when its stream breaks off.
EVENTS_BEFORE = 2
TAIL = EVENTS[EVENTS_BEFORE:]

OK = b"HTTP/1.1 200 OK"
NO_ROOM = b"HTTP/1.1 503 Busy"
CHUNKED = b"transfer-encoding: chunked"
EVENT_STREAM = b"content-type: text/event-stream"
JSON = b"content-type: application/json"
SIGNATURE = b"wasabimux-response-signature: s"
FOREIGN_ID = b"wasabimux-request-id: another"
NOT_EXECUTED = b"wasabimux-not-executed: 1"
LAST_CHUNK = b"0\r\n\r\n"
COMMENT = b": hello\n\n"


def chunks(*parts: bytes) -> bytes:
    """Returns parts of a body as chunks, without the last one."""
    return b"".join(b"%x\r\n%s\r\n" % (len(part), part) for part in parts)


class Answer(NamedTuple):
    """What an engine answers.

    Attributes:
        head: Status line and headers, without the echo of the request's identity.
        body: Bytes of the body as sent.
        received: What of it may reach the caller.
        is_whole: True if the body is the rest of the stream, to its end.
        echoes_id: True if the head bears the request's own identity.
    """

    head: Sequence[bytes]
    body: bytes = b""
    received: bytes = b""
    is_whole: bool = False
    echoes_id: bool = True

    def encode(self, own_id: bytes) -> bytes:
        """Returns the bytes of the answer to a request."""
        lines = [*self.head, own_id] if self.echoes_id else self.head
        return b"\r\n".join(lines) + HEAD_END + self.body


STREAM = (OK, SIGNATURE, EVENT_STREAM, CHUNKED)
UNFRAMED = (OK, SIGNATURE, EVENT_STREAM)
ERROR_TEXT = b'{"error": "out of memory"}\n\n'


def sized(body: bytes) -> bytes:
    """Returns the header that tells a body's length."""
    return b"content-length: %d" % len(body)


def failure(status: bytes, *headers: bytes) -> Answer:
    """Returns an answer with an error's text as its body."""
    head = (b"HTTP/1.1 " + status, JSON, sized(ERROR_TEXT), *headers)
    return Answer(head, ERROR_TEXT)


def stream_of(*parts: bytes, received: bytes = b"", end: bytes = LAST_CHUNK) -> Answer:
    """Returns a stream in chunks that is not the rest of the caller's."""
    return Answer(STREAM, chunks(*parts) + end, received)


FAILURE = failure(b"500 Internal Server Error", SIGNATURE)
WHOLE = Answer(STREAM, chunks(*EVENTS) + LAST_CHUNK, b"".join(EVENTS), True)
WHOLE_TAIL = Answer(STREAM, chunks(*TAIL) + LAST_CHUNK, b"".join(TAIL), True)
BEGINNING = Answer(STREAM, chunks(*EVENTS[:EVENTS_BEFORE]))

#: Kinds of answers of the next engine, by name.
ANSWERS = {
    "whole": WHOLE_TAIL,
    "whole-unframed": Answer(UNFRAMED, b"".join(TAIL), b"".join(TAIL), True),
    "signed-500": FAILURE,
    "signed-503": failure(b"503 Service Unavailable", SIGNATURE),
    "not-executed-503": failure(b"503 Service Unavailable", NOT_EXECUTED),
    "not-executed-421": failure(b"421 Misdirected Request", NOT_EXECUTED),
    "unsigned-502": failure(b"502 Bad Gateway"),
    "signed-404": failure(b"404 Not Found", SIGNATURE),
    "no-content": Answer((b"HTTP/1.1 204 No Content", SIGNATURE)),
    "partial-content": Answer(
        (b"HTTP/1.1 206 Partial Content", SIGNATURE, EVENT_STREAM, CHUNKED),
        WHOLE_TAIL.body,
    ),
    "redirect": failure(b"307 Temporary Redirect", SIGNATURE, b"location: /x"),
    "json-200": failure(b"200 OK", SIGNATURE),
    "torn-json": stream_of(b'{"error":\n\n"out of memory"}'),
    "unsigned-stream": Answer((OK, EVENT_STREAM, CHUNKED), WHOLE_TAIL.body),
    "foreign-stream": Answer((*STREAM, FOREIGN_ID), WHOLE_TAIL.body, echoes_id=False),
    "anonymous-stream": Answer(STREAM, WHOLE_TAIL.body, echoes_id=False),
    "no-http": Answer((b"out of memory",), ERROR_TEXT),
    "empty": stream_of(),
    "empty-sized": Answer((OK, SIGNATURE, EVENT_STREAM, sized(b""))),
    "empty-unframed": Answer(UNFRAMED),
    "empty-json": Answer((OK, SIGNATURE, JSON, sized(b""))),
    "comment": stream_of(COMMENT),
    "comment-unframed": Answer(UNFRAMED, COMMENT),
    "error-event": stream_of(b"event: error\ndata: out of memory\n\n"),
    "text": stream_of(b"out of memory\n\n"),
    "id-without-number": stream_of(b"id: x3\ndata: token-3\n\n"),
    "id-of-many-digits": stream_of(b"id: " + b"9" * 5_000 + b"\ndata: token-3\n\n"),
    "from-the-start": stream_of(*EVENTS),
    "last-one-again": stream_of(*EVENTS[EVENTS_BEFORE - 1 :]),
    "lower-id-later": stream_of(TAIL[0], EVENTS[0], received=TAIL[0]),
    "same-id-later": stream_of(TAIL[0], TAIL[0], received=TAIL[0]),
    "error-event-later": stream_of(
        TAIL[0], b"event: error\ndata: out of memory\n\n", received=TAIL[0]
    ),
    "text-later": stream_of(TAIL[0], ERROR_TEXT, received=TAIL[0]),
    "torn-event": stream_of(TAIL[0], TAIL[1][:-1], received=TAIL[0]),
    "no-last-chunk": stream_of(*TAIL[:2], received=b"".join(TAIL[:2]), end=b""),
    "bad-chunk": stream_of(*TAIL[:2], received=b"".join(TAIL[:2]), end=b"xyz\r\n"),
    "short-of-its-length": Answer(
        (*UNFRAMED, b"content-length: 500"), b"".join(TAIL[:2]), b"".join(TAIL[:2])
    ),
    "next-head-unframed": Answer(
        UNFRAMED,
        TAIL[0] + b"HTTP/1.1 503 Busy" + HEAD_END + ERROR_TEXT,
        TAIL[0],
    ),
    "more-after-the-end": WHOLE_TAIL._replace(
        body=WHOLE_TAIL.body + b"HTTP/1.1 500 Error" + HEAD_END + ERROR_TEXT
    ),
}


class ScriptedEngines:
    """Engines that answer what a test says, in the place of the cluster's.

    Attributes:
        first: Answers to requests for a stream from its beginning, in their order; the
            last one holds for all that follow.
        following: Answers to requests for the rest of a stream, likewise.
        last_event_ids: Event after which each rest was asked for.
        move_delay_s: Delay in s of answers to calls that move a stream, None for none.
        is_full_after_stop: True to refuse slots once a stream was stopped to be moved.
    """

    def __init__(self, first: Sequence[Answer], following: Sequence[Answer]) -> None:
        self.first = first
        self.following = following
        self.last_event_ids: list[int] = []
        self.move_delay_s: float | None = None
        self.is_full_after_stop = False
        self._starts = 0
        self._reservations = 0
        self._stopped = asyncio.Event()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one request."""
        try:
            head = (await reader.readuntil(HEAD_END)).lower()
            await self._answer(head, writer)
            await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass  # the relay has closed the connection
        finally:
            writer.close()

    async def _answer(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        target = head.split()[1]
        if target == b"/v1/kv-move":
            await self._stop_stream(writer)
        elif target == b"/v1/hold-take" and self._is_full():
            writer.write(_control_answer(b"{}", NO_ROOM))
        elif target.startswith(b"/v1/"):
            self._reservations += 1
            writer.write(_control_answer(b'{"hold":"h-%d"}' % self._reservations))
        else:
            await self._write_stream(head, writer)

    def _is_full(self) -> bool:
        return self.is_full_after_stop and self._stopped.is_set()

    async def _stop_stream(self, writer: asyncio.StreamWriter) -> None:
        self._stopped.set()
        await asyncio.sleep(self.move_delay_s or 0.0)
        writer.write(_control_answer(b'{"kvHandle":"k","created":2}'))

    async def _write_stream(self, head: bytes, writer: asyncio.StreamWriter) -> None:
        lines = head.split(b"\r\n")
        (own_id,) = [i for i in lines if i.startswith(b"wasabimux-request-id")]
        after = [i for i in lines if i.startswith(b"last-event-id")]
        if after:
            answer = _at(self.following, len(self.last_event_ids))
            self.last_event_ids.append(int(after[0].partition(b":")[2]))
        else:
            answer = _at(self.first, self._starts)
            self._starts += 1
        writer.write(answer.encode(own_id))
        if not after and self.move_delay_s is not None:
            await self._stopped.wait()


def _at(answers: Sequence[Answer], number: int) -> Answer:
    return answers[min(number, len(answers) - 1)]


def _control_answer(body: bytes, status: bytes = OK) -> bytes:
    head = [status, JSON, sized(body), b"connection: close"]
    return b"\r\n".join(head) + HEAD_END + body


class Received(NamedTuple):
    """What a caller got.

    Attributes:
        status: Status of the answer.
        body: Body, as far as it came.
        is_complete: True if the answer ended as a whole one.
    """

    status: int
    body: bytes
    is_complete: bool


@asynccontextmanager
async def scripted(engines: ScriptedEngines) -> AsyncGenerator[RelayCluster, None]:
    """Runs a relay before three scripted engines."""
    async with contextlib.AsyncExitStack() as stack:
        cluster = await stack.enter_async_context(relay_cluster())
        names = [f"scripted-{number}" for number in range(len(REPLACED))]
        for replaced, name in zip(REPLACED, names):
            server = await asyncio.start_server(engines.serve, "127.0.0.1", 0)
            await stack.enter_async_context(server)
            host, port = server.sockets[0].getsockname()
            entry = cluster.runners[replaced].store_entry(address=f"{host}:{port}")
            await cluster.store.remove("servers", replaced)
            await cluster.store.put("servers", name, entry)
        by_id = cluster.relays[0].relay.pool.by_id
        await cluster.wait_until(
            lambda: set(names) <= set(by_id) and not set(REPLACED) & set(by_id)
        )
        yield cluster


async def read_stream(
    cluster: RelayCluster, request_id: str = "r1", **headers: str
) -> Received:
    """Requests a stream, or the rest of one, and reads it as far as it comes."""
    async with await cluster.request(
        "/gen/1", request_id, wasabimux_token_count="100,60", **headers
    ) as response:
        body = b""
        try:
            async for data in response.pieces():
                body += data
        except UpstreamLost:
            return Received(response.status, body, False)
        return Received(response.status, body, True)


async def resumed(engines: ScriptedEngines) -> Received:
    """Returns what a caller gets whose stream the relay resumes."""
    async with scripted(engines) as cluster:
        return await read_stream(cluster)


async def migrated(engines: ScriptedEngines) -> Received:
    """Returns what a caller gets whose stream the relay moves to another engine."""
    engines.move_delay_s = engines.move_delay_s or 0.0
    async with scripted(engines) as cluster:
        with pytest.MonkeyPatch.context() as patch:
            patch.setattr(stream_migration, "MIGRATION_FILL_FRACTION", 0.0)
            return await read_stream(cluster)


async def taken_up(engines: ScriptedEngines) -> Received:
    """Returns what a caller gets that takes its own broken stream up."""
    following, engines.following = engines.following, [FAILURE]
    async with scripted(engines) as cluster:
        broken = await read_stream(cluster)
        assert (broken.status, broken.is_complete) == (200, False)
        engines.following, engines.last_event_ids = following, []
        *_, last_id = EVENT_ID.findall(broken.body)
        received = await read_stream(
            cluster, "r2", last_event_id=last_id.decode(), resumes="r1"
        )
    if received.status == 200:
        return received._replace(body=broken.body + received.body)
    return broken  # the take-up failed, which is no part of the stream


Continue = Callable[[ScriptedEngines], Awaitable[Received]]
WAYS: list[Continue] = [resumed, migrated, taken_up]


def text_of(received: Received) -> bytes:
    """Returns the events that a caller got, without comments."""
    return received.body.replace(COMMENT, b"")


@pytest.mark.parametrize("way", WAYS)
@pytest.mark.parametrize("kind", ANSWERS)
async def test_only_what_follows_in_the_stream_is_passed_on(
    kind: str, way: Continue
) -> None:
    """Regression: an error's text, or an early end, came in the middle of a stream."""
    answer = ANSWERS[kind]
    engines = ScriptedEngines([BEGINNING], [answer, FAILURE])
    received = await way(engines)
    assert engines.last_event_ids[0] == EVENTS_BEFORE
    begun = b"".join(EVENTS[:EVENTS_BEFORE])
    assert text_of(received) == begun + answer.received
    assert (received.status, received.is_complete) == (200, answer.is_whole)


@pytest.mark.parametrize("way", WAYS)
async def test_stream_with_consecutive_ids_goes_on_without_a_gap(way: Continue) -> None:
    """Regression: an event between those of two engines was missing."""
    engines = ScriptedEngines([BEGINNING], [stream_of(*TAIL[1:]), FAILURE])
    received = await way(engines)
    begun = b"".join(EVENTS[:EVENTS_BEFORE])
    assert received == Received(200, begun, False)


async def test_stream_whose_ids_have_gaps_goes_on() -> None:
    engines = ScriptedEngines(
        [Answer(STREAM, chunks(*EVENTS[1:3]))], [stream_of(*EVENTS[4:])]
    )
    received = await resumed(engines)
    assert received == Received(200, b"".join(EVENTS[1:3] + EVENTS[4:]), True)


@pytest.mark.parametrize("kind", ["empty", "empty-sized", "comment"])
async def test_end_on_which_two_engines_agree_is_complete(kind: str) -> None:
    """The last event may have come while the end of the stream was lost."""
    whole_but_for_its_end = Answer(STREAM, chunks(*EVENTS))
    engines = ScriptedEngines([whole_but_for_its_end], [ANSWERS[kind]])
    received = await taken_up(engines)
    assert engines.last_event_ids == [len(EVENTS)] * 2
    assert text_of(received) == b"".join(EVENTS)
    assert received.is_complete


async def test_stopped_stream_has_not_ended_whatever_engines_say() -> None:
    engines = ScriptedEngines([BEGINNING], [ANSWERS["empty"]])
    received = await migrated(engines)
    assert text_of(received) == b"".join(EVENTS[:EVENTS_BEFORE])
    assert not received.is_complete


async def test_stream_that_closes_before_its_move_is_answered_goes_on() -> None:
    """Regression: a stream without chunks that was stopped looked complete."""
    beginning = Answer(UNFRAMED, b"".join(EVENTS[:EVENTS_BEFORE]))
    engines = ScriptedEngines([beginning], [WHOLE_TAIL])
    engines.move_delay_s = 3 * MIGRATION_RESULT_TIMEOUT_S
    received = await migrated(engines)
    assert received == Received(200, b"".join(EVENTS), True)


async def test_stopped_stream_is_not_given_up_before_its_move_is_answered() -> None:
    engines = ScriptedEngines([BEGINNING], [WHOLE_TAIL])
    engines.move_delay_s = 3 * MIGRATION_RESULT_TIMEOUT_S
    engines.is_full_after_stop = True
    received = await migrated(engines)
    assert received == Received(200, b"".join(EVENTS), True)


@pytest.mark.parametrize("kind", ["json-200", "text", "error-event", "torn-json"])
async def test_text_that_is_no_event_does_not_begin_a_stream(kind: str) -> None:
    """Regression: the text came before the events of the next engine."""
    engines = ScriptedEngines([ANSWERS[kind], WHOLE], [FAILURE])
    received = await resumed(engines)
    assert received == Received(200, b"".join(EVENTS), True)
