"""Upstreams that send what is no response, too much, or a second copy, on sockets."""

from __future__ import annotations

import asyncio
import resource
import socket
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import asynccontextmanager

import pytest

from tests.relay_fixtures import relay_cluster
from wasabimux._clock import loop_time
from wasabimux.adapters.http_client import (
    MAX_INTERIM_RESPONSES,
    MAX_WHOLE_BODY_BYTES,
    HttpClient,
)
from wasabimux.adapters.http_server import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    json_response,
)
from wasabimux.ids import UpstreamId
from wasabimux.ports import UpstreamLost
from wasabimux.relay._events import MAX_EVENT_BYTES, SseSplitter
from wasabimux.relay.stream_retries import STALL_TIMEOUT_S

Serve = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]

HEAD_END = b"\r\n\r\n"

#: Bytes that a faulty server sends at most; far more than a process may keep.
ENDLESS_BYTES = 512 * 1024 * 1024

#: Most memory in KB by which reading an endless response may raise the peak.
MAX_GROWTH_KB = 48 * 1024


@asynccontextmanager
async def raw_server(serve: Serve) -> AsyncGenerator[HttpClient, None]:
    """Runs a server that writes raw bytes, and yields a client of it."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await serve(reader, writer)
        except (OSError, asyncio.IncompleteReadError):
            pass  # the client has closed the connection, as it should
        finally:
            writer.close()

    server = await asyncio.start_server(handle, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    async with HttpClient(host, port) as client:
        yield client
    server.close()


def response(body: bytes) -> bytes:
    """Returns the bytes of a whole response."""
    return b"HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n%s" % (len(body), body)


async def fetch(client: HttpClient, target: str) -> bytes:
    """Returns the body of a response."""
    async with await client.request("GET", target) as received:
        return await received.body()


@pytest.mark.parametrize("delay_s", [0.0, 0.02])
async def test_a_second_copy_of_a_response_is_not_taken_for_the_next(
    delay_s: float,
) -> None:
    """Regression: the copy came while the connection was idle and was read next."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(HEAD_END)
            target = head.split()[1]
            writer.write(response(target))
            await asyncio.sleep(delay_s)
            writer.write(response(target))

    async with raw_server(serve) as client:
        for number in range(5):
            target = f"/{number}"
            assert await fetch(client, target) == target.encode()
            await asyncio.sleep(2 * delay_s)


async def test_a_copy_that_waits_in_the_socket_is_noticed() -> None:
    """The event loop may not have read the copy when the next request comes."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(HEAD_END)
            writer.write(response(head.split()[1]))
            await asyncio.sleep(0)
            writer.write(response(head.split()[1]))

    async with raw_server(serve) as client:
        for number in range(20):
            target = f"/{number}"
            assert await fetch(client, target) == target.encode()


async def endless(writer: asyncio.StreamWriter, start: bytes, part: bytes) -> None:
    """Sends bytes without end, until the client closes the connection."""
    writer.write(start)
    for _ in range(ENDLESS_BYTES // len(part)):
        writer.write(part)
        await writer.drain()


@pytest.mark.parametrize(
    ("start", "part"),
    [
        (b"", b"no answer at all " * 4_096),
        (b"HTTP/1.1 200 OK\r\nx-long: ", b"y" * 65_536),
        (b"HTTP/1.1 200 OK\r\n", b"x-more: 1\r\n" * 4_096),
        (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2_048),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"z" * 65_536),
        (b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n", b"1" * 65_536),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n",
            b"10000\r\n" + b"z" * 65_536 + b"\r\n",
        ),
        (
            b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n0\r\n",
            b"x-trailer: 1\r\n" * 4_096,
        ),
    ],
    ids=[
        "no-http",
        "header-line",
        "header-count",
        "interim-responses",
        "body",
        "chunk-size",
        "chunks",
        "trailers",
    ],
)
async def test_bytes_without_end_are_cut_and_memory_stays_flat(
    start: bytes, part: bytes
) -> None:
    closed = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(HEAD_END)
        try:
            await endless(writer, start, part)
        except OSError:
            closed.set()

    before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    async with raw_server(serve) as client:
        with pytest.raises(UpstreamLost):
            await fetch(client, "/")
        await closed.wait()
    after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
    assert after_kb - before_kb < MAX_GROWTH_KB


async def test_some_interim_responses_are_passed_over() -> None:
    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(HEAD_END)
        interim = b"HTTP/1.1 103 Early Hints\r\n\r\n" * MAX_INTERIM_RESPONSES
        writer.write(interim + response(b"whole"))

    async with raw_server(serve) as client:
        assert await fetch(client, "/") == b"whole"


async def test_a_large_body_within_the_limit_is_read() -> None:
    body = b"b" * MAX_WHOLE_BODY_BYTES

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(HEAD_END)
        writer.write(response(body))
        await writer.drain()

    async with raw_server(serve) as client:
        assert await fetch(client, "/") == body


def test_an_event_without_end_is_refused() -> None:
    splitter = SseSplitter()
    with pytest.raises(UpstreamLost):
        for _ in range(2 * MAX_EVENT_BYTES // 65_536):
            splitter.feed(b"data: " + b"x" * 65_536)


@pytest.mark.parametrize(
    ("data", "is_empty"),
    [
        (b": still here\n\n", True),
        (b"\n\n", True),
        (b": note\nid: 3\ndata: x\n\n", False),
        (b"data: x\n\n", False),
    ],
)
def test_comments_are_no_progress(data: bytes, is_empty: bool) -> None:
    (event,) = SseSplitter().feed(data)
    assert event.is_empty is is_empty


async def test_a_stalled_stream_that_sends_comments_is_resumed() -> None:
    """Regression: a comment now and then kept a stalled stream open."""
    async with relay_cluster() as cluster:
        runners = [cluster.runners[name] for name in ("dec-1", "dec-2", "dec-3")]
        for runner in runners:
            runner.faults.stall_after_events = 2
        response = await cluster.request("/gen/1", wasabimux_token_count="100,60")
        async with response:
            reading = asyncio.ensure_future(response.body())
            await cluster.wait_until(lambda: any(item.runs for item in runners))
            for runner in runners:
                if not runner.runs:
                    runner.faults.stall_after_events = None
            async with asyncio.timeout(3 * STALL_TIMEOUT_S):
                body = await reading
        events = [line for line in body.split(b"\n") if line.startswith(b"data:")]
        assert events == [b"data: token-%d" % number for number in range(1, 6)]


async def respond_with_target(request: HttpRequest) -> HttpResponse:
    """Handles a request by returning its target."""
    return json_response(200, {"target": request.target})


async def test_a_request_that_has_arrived_is_answered_in_a_planned_stop() -> None:
    """Regression: a kept connection was closed with a request in its buffer."""

    server = HttpServer(respond_with_target)
    async with server:
        address = await server.listen("127.0.0.1", 0)
        reader, writer = await asyncio.open_connection(*address)
        request = b"GET /%d HTTP/1.1\r\nhost: x\r\n\r\n"
        writer.write(request % 1)
        assert (await reader.readuntil(HEAD_END)).startswith(b"HTTP/1.1 200")
        await reader.readuntil(b"}")
        writer.write(request % 2)  # in the server's socket, not read by it yet
        assert await server.drain(1.0)
        answer = await reader.read()
        assert answer.startswith(b"HTTP/1.1 200")
        assert b"/2" in answer
        writer.close()


async def test_a_connection_that_waits_to_be_accepted_is_served() -> None:
    server = HttpServer(respond_with_target)
    async with server:
        address = await server.listen("127.0.0.1", 0)
        with socket.create_connection(address) as waiting:
            waiting.sendall(b"GET /1 HTTP/1.1\r\nhost: x\r\n\r\n")
            assert await server.drain(1.0)
            assert waiting.recv(4_096).startswith(b"HTTP/1.1 200")


async def test_connection_with_data_in_the_reader_is_not_used_again() -> None:
    """Regression: only the socket was looked at when the watch was cancelled."""

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            head = await reader.readuntil(HEAD_END)
            writer.write(response(head.split()[1]))

    async with raw_server(serve) as client:
        assert await fetch(client, "/1") == b"/1"
        await asyncio.sleep(0.02)
        client._idle_connections[0]._reader.feed_data(response(b"/9"))
        assert await fetch(client, "/2") == b"/2"


async def test_plain_upstream_comes_back_after_a_misdirected_answer() -> None:
    """Regression: one 421 kept a plain upstream out of use at that relay for good."""
    async with relay_cluster() as cluster:
        pool = cluster.relays[0].relay.pool
        for name in ("desk-1", "desk-2"):
            pool.by_id[UpstreamId(name)].on_misdirected(loop_time())
        async with await cluster.request("/safe/1", "r1") as response:
            assert response.status == 503
        async with asyncio.timeout(5.0):
            await cluster.wait_until(
                lambda: not any(item.misdirected for item in pool.by_id.values())
            )
        async with await cluster.request("/safe/1", "r2") as response:
            assert response.status == 200
