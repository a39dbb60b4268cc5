"""Clients whose data end, and what the log says became of their requests."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import socket
import struct

import pytest

from tests.relay_fixtures import API_KEY, HOST, RelayCluster, relay_cluster
from wasabimux.adapters.http_server import HttpRequest, HttpResponse, HttpServer
from wasabimux.timeline import Event

HEAD = (
    "POST {path} HTTP/1.1\r\nhost: " + HOST + "\r\nwasabimux-request-id: r1\r\n"
    "wasabimux-deadline-ms: 10000\r\nauthorization: Bearer " + API_KEY + "\r\n"
    "wasabimux-token-count: 100,60\r\ncontent-length: 4\r\n\r\n"
)

#: Time in s within which the work for a client that has left stops.
GONE_TIMEOUT_S = 0.5

#: Time in s by which a runner delays its answers, longer than the client stays.
ANSWER_DELAY_S = 1.5

#: Value of SO_LINGER with which a close resets the connection.
LINGER_RESET = struct.pack("ii", 1, 0)

#: Events that say what became of a request.
OUTCOMES = {
    "caller_left",
    "cut_by_stop",
    "refused_to_caller",
    "answer_incomplete",
    "answered",
}

Connection = tuple[asyncio.StreamReader, asyncio.StreamWriter]


async def connect(cluster: RelayCluster) -> Connection:
    """Returns a connection to the relay."""
    return await asyncio.open_connection(*cluster.relays[0].http_address)


def outcomes(cluster: RelayCluster, request_id: str = "r1") -> list[Event]:
    """Returns what the relay logged to have become of a request."""
    events = cluster.relays[0].timeline.events(request_id)
    return [event for event in events if event.name in OUTCOMES]


async def wait_for_outcome(cluster: RelayCluster) -> Event:
    """Returns the one outcome of the request, which comes at once."""
    async with asyncio.timeout(GONE_TIMEOUT_S):
        await cluster.wait_until(lambda: bool(outcomes(cluster)))
    (event,) = outcomes(cluster)
    return event


def delay_answers(cluster: RelayCluster) -> None:
    """Lets all runners answer later than the client stays."""
    for runner in cluster.runners.values():
        runner.faults.delay_s = ANSWER_DELAY_S


@pytest.mark.parametrize("path", ["/safe/1", "/unsafe/1", "/gen/1", "/once/1"])
@pytest.mark.parametrize("pause_s", [0.0, 0.1])
async def test_request_whose_caller_closes_its_sending_half_is_named(
    path: str, pause_s: float
) -> None:
    async with relay_cluster() as cluster:
        delay_answers(cluster)
        reader, writer = await connect(cluster)
        writer.write(HEAD.format(path=path).encode() + b"body")
        await asyncio.sleep(pause_s)
        writer.write_eof()
        assert (await wait_for_outcome(cluster)).name == "caller_left"
        assert await reader.read() == b""
        writer.close()


async def test_stream_whose_caller_closes_its_sending_half_is_named() -> None:
    async with relay_cluster() as cluster:
        for name in ("dec-1", "dec-2", "dec-3"):
            cluster.runners[name].faults.stall_after_events = 2
        reader, writer = await connect(cluster)
        writer.write(HEAD.format(path="/once/1").encode() + b"body")
        await reader.readuntil(b"token-2")
        writer.write_eof()
        event = await wait_for_outcome(cluster)
        writer.close()
    assert event.name == "answer_incomplete"
    assert event.fields["why"] == "client_gone"


async def test_request_whose_caller_ends_its_data_within_the_body_is_named() -> None:
    async with relay_cluster() as cluster:
        reader, writer = await connect(cluster)
        writer.write(HEAD.format(path="/safe/1").encode() + b"bo")
        await asyncio.sleep(0.05)
        writer.write_eof()
        event = await wait_for_outcome(cluster)
        answer = await reader.read()
        writer.close()
    assert event.name == "refused_to_caller"
    assert event.fields["ran"] == "no"
    assert answer.startswith(b"HTTP/1.1 400")


async def test_request_whose_caller_resets_within_the_body_is_named(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Regression: it was logged as an error of the relay, without its identity."""
    async with relay_cluster() as cluster:
        _, writer = await connect(cluster)
        writer.write(HEAD.format(path="/safe/1").encode() + b"bo")
        await asyncio.sleep(0.05)
        reset(writer)
        assert (await wait_for_outcome(cluster)).name == "caller_left"
    assert "handler_failed" not in caplog.text


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection."""
    connection: socket.socket = writer.get_extra_info("socket")
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


async def test_request_that_waits_for_its_body_at_the_end_is_named() -> None:
    """Regression: it was logged as refused, though nothing reached its caller."""
    async with relay_cluster() as cluster:
        _, writer = await connect(cluster)
        writer.write(HEAD.format(path="/safe/1").encode() + b"bo")
        await asyncio.sleep(0.05)
        server = cluster.relays[0].relay.http_server
        assert server is not None
        server.close()
        assert (await wait_for_outcome(cluster)).name == "cut_by_stop"
        writer.close()


async def test_request_that_is_cancelled_before_it_is_admitted_is_named() -> None:
    """Regression: no line told what became of it."""
    async with relay_cluster() as cluster:
        relay, waiting = cluster.relays[0].relay, asyncio.Event()

        async def body() -> bytes:
            waiting.set()
            await asyncio.Event().wait()
            return b""

        headers = [(b"host", HOST.encode()), (b"wasabimux-request-id", b"r1")]
        request = HttpRequest("POST", "/safe/1", headers, 0.0, body)
        handling = asyncio.ensure_future(relay.handle(request))
        await waiting.wait()
        handling.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await handling
        assert (await wait_for_outcome(cluster)).name == "caller_left"


async def test_error_of_a_handler_names_its_request(
    caplog: pytest.LogCaptureFixture,
) -> None:
    async def handle(request: HttpRequest) -> HttpResponse:
        request.request_id = "r1"
        raise ValueError

    async with HttpServer(handle) as server:
        reader, writer = await asyncio.open_connection(
            *await server.listen("127.0.0.1", 0)
        )
        with caplog.at_level(logging.ERROR):
            writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
            assert (await reader.readline()).startswith(b"HTTP/1.1 500")
        writer.close()
    assert "event=handler_failed request_id=r1 target_path=/" in caplog.text


async def test_requests_behind_the_one_that_a_caller_leaves_are_counted(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Regression: no line told of requests that were sent on and never read."""
    first = HEAD.format(path="/safe/1").encode() + b"body"
    second = first.replace(b"r1", b"r2")
    async with relay_cluster() as cluster:
        delay_answers(cluster)
        reader, writer = await connect(cluster)
        writer.write(first + second)
        await asyncio.sleep(0.05)
        writer.write_eof()
        assert (await wait_for_outcome(cluster)).name == "caller_left"
        assert await reader.read() == b""
        writer.close()
        runs = [run for runner in cluster.runners.values() for run in runner.runs]
    assert all(run.request_id == "r1" for run in runs)
    assert f"event=data_unread request_id=r1 bytes={len(second)}" in caplog.text


async def test_request_that_is_cancelled_while_its_caller_waits_is_named(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Regression: its connection was reset, and no line told it from one that left."""

    async def handle(request: HttpRequest) -> HttpResponse:
        request.request_id = "r1"
        raise asyncio.CancelledError

    async with HttpServer(handle) as server:
        reader, writer = await asyncio.open_connection(
            *await server.listen("127.0.0.1", 0)
        )
        writer.write(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n")
        with contextlib.suppress(ConnectionError):
            assert await reader.read() == b""
        writer.close()
    assert "event=handler_cancelled request_id=r1" in caplog.text
