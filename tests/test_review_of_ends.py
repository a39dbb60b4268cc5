"""Ends of connections, links and processes that lose what was accepted."""

from __future__ import annotations

import asyncio
import http.client
import socket
from collections.abc import AsyncGenerator

import pytest

from tests.relay_fixtures import relay_cluster
from tests.stopping_process import connect_socket, read_slowly, shrink_send_buffers
from wasabimux.adapters.http_server import (
    LINGER_RESET,
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
    ResponseEnd,
)
from wasabimux.errors import ErrorCode, refused
from wasabimux.ids import UpstreamId
from wasabimux.link.channels import connect_tcp
from wasabimux.link.link import Link, LinkCallbacks
from wasabimux.link.messages import Hello
from wasabimux.relay.context import RelayRequest
from wasabimux.timeline import HybridClock

REQUEST = b"GET /%s HTTP/1.1\r\nhost: a\r\n\r\n"
ANSWER_BYTES = 120_000

#: Body that is over its limit, and that no socket buffer holds, in bytes.
MAX_BODY_BYTES = 100_000
BODY_BYTES = 16 * 1024 * 1024

IDLE_TIMEOUT_S = 0.3
DRAIN_TIMEOUT_S = 5.0
WORK_S = 0.05

#: Requests that a client sends ahead.
AHEAD = 5

#: Answer that counts as written while most of it is held, in bytes.
UNREAD_BYTES = 28_000


async def respond(request: HttpRequest) -> HttpResponse:
    """Answers by path: with a large body, a stream that fails, or a small body."""
    if request.path == "/large":
        return HttpResponse(200, body=b"x" * ANSWER_BYTES)
    if request.path == "/medium":
        return HttpResponse(200, body=b"x" * (ANSWER_BYTES // 2))
    if request.path == "/broken":
        return HttpResponse(200, body=_fail())
    await request.body()
    await asyncio.sleep(WORK_S)
    return HttpResponse(200, body=b"small")


async def _fail() -> AsyncGenerator[bytes, None]:
    yield b"first"
    await asyncio.sleep(WORK_S)
    raise OSError("the upstream was lost")


async def listen(server: HttpServer) -> int:
    """Listens with a small send buffer, as on a long way to the client."""
    _, port = await server.listen("127.0.0.1", 0)
    assert server._server is not None
    shrink_send_buffers(server._server)
    return port


async def test_idle_timeout_waits_for_a_client_that_still_reads_its_answer() -> None:
    """Guards against: the next request was read and dropped, with no answer."""
    limits = HttpLimits(idle_timeout_s=IDLE_TIMEOUT_S)
    async with HttpServer(respond, limits) as server:
        connection = await connect_socket(await listen(server))
        connection.sendall(REQUEST % b"large")
        answer = await read_slowly(connection, ANSWER_BYTES)
        assert answer.count(b"x") == ANSWER_BYTES
        assert b"connection: close" not in answer.lower()
        connection.sendall(REQUEST % b"small")
        assert b"small" in await read_slowly(connection, 1)
        connection.close()


async def test_client_that_always_sends_ahead_is_told_of_the_end_in_a_drain() -> None:
    """Guards against: it was never told, held the stop, and was cut at its end."""
    async with HttpServer(respond) as server:
        port = await listen(server)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(REQUEST % b"small" * 2)
        draining = asyncio.ensure_future(server.drain(DRAIN_TIMEOUT_S))
        try:
            while not draining.done():
                head = await reader.readuntil(b"\r\n\r\n")
                await reader.readexactly(len(b"small"))
                if b"connection: close" in head.lower():
                    break
                writer.write(REQUEST % b"small")
            assert await draining
        finally:
            writer.close()


async def test_answer_to_a_body_over_its_limit_reaches_a_client_that_sends_first() -> (
    None
):
    """Guards against: the close reset the connection, and the client lost the 413."""

    def post(port: int) -> int:
        connection = http.client.HTTPConnection("127.0.0.1", port)
        connection.request("POST", "/small", body=b"x" * BODY_BYTES)
        return connection.getresponse().status

    limits = HttpLimits(max_body_bytes=MAX_BODY_BYTES)
    async with HttpServer(respond, limits) as server:
        port = await listen(server)
        assert await asyncio.to_thread(post, port) == 413


async def test_answer_before_one_that_is_cut_arrives_whole() -> None:
    """Guards against: the cut of the second answer discarded the unread first one."""
    async with HttpServer(respond) as server:
        connection = await connect_socket(await listen(server))
        connection.sendall(REQUEST % b"medium" + REQUEST % b"broken")
        answer = await read_slowly(connection, ANSWER_BYTES)
        connection.close()
    assert answer.count(b"x") == ANSWER_BYTES // 2


async def test_link_that_its_peer_resets_ends_without_an_error() -> None:
    """Guards against: the error ended the drain of the process before its time."""
    with socket.create_server(("127.0.0.1", 0)) as listener:
        channel = await connect_tcp(*listener.getsockname())
        peer, _ = listener.accept()
        hello = Hello("relay", "relay-1", 1)
        link = Link(channel, hello, HybridClock(), LinkCallbacks(), initiator=True)
        with link:
            link.start()
            assert await link.flush()
            peer.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
            peer.close()  # the event loop has not noticed yet
            await link.finish(1.0)
            assert link.closed.is_set()


async def test_what_a_request_frees_as_the_end_of_a_stop_cuts_it_is_freed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards against: what was owed counted as settled before requests were cut."""
    async with relay_cluster() as cluster:
        relay = cluster.relays[0].relay
        handles = cluster.runners["pre-1"].state.kv_cache_handles
        handles.add("late")

        async def serve(request: RelayRequest) -> HttpResponse:
            try:
                return await asyncio.Event().wait()  # type: ignore[return-value]
            finally:
                engine = relay.pool.by_id[UpstreamId("pre-1")]
                relay.slots.free_kv_cache(engine, "late")

        monkeypatch.setattr(relay, "_serve", serve)
        request = asyncio.ensure_future(cluster.request("/gen/1"))
        await asyncio.sleep(4 * WORK_S)
        assert not await cluster.relays[0].drain()
        await cluster.runs[0].aclose()
        await asyncio.wait({request})
        assert request.exception() is not None
        assert "late" not in handles


async def test_answer_that_its_deadline_cuts_does_not_count_as_left_by_its_client() -> (
    None
):
    """Guards against: the log said that the client was gone, as for one that left."""
    ends: list[ResponseEnd] = []

    async def stream() -> AsyncGenerator[bytes, None]:
        try:
            async with asyncio.timeout(WORK_S):
                while True:
                    yield b"x" * ANSWER_BYTES
        except TimeoutError:
            raise refused(ErrorCode.DEADLINE, "too late")

    async def respond_late(request: HttpRequest) -> HttpResponse:
        return HttpResponse(200, body=stream(), on_done=ends.append)

    async with HttpServer(respond_late) as server:
        connection = await connect_socket(await listen(server))
        connection.sendall(REQUEST % b"late")
        await asyncio.sleep(4 * WORK_S)
        assert len(ends) == 1
        assert ends[0] is not ResponseEnd.CLIENT_GONE
        connection.close()


async def test_answers_survive_requests_that_cross_the_close_behind_them() -> None:
    """Guards against: the close reset what the client had received and not read."""
    async with HttpServer(respond) as server:
        port = await listen(server)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        server.begin_drain()
        writer.write(REQUEST % b"small" * AHEAD)
        await asyncio.sleep((AHEAD + 2) * WORK_S)
        for _ in range(2):
            writer.write(REQUEST % b"small")
            await asyncio.sleep(WORK_S)
        answers = await reader.read()
        writer.close()
    assert answers.count(b"\r\n\r\nsmall") == AHEAD


async def test_request_behind_one_with_head_is_answered() -> None:
    """Guards against: an answer to HEAD with a body failed and ended the connection."""
    async with HttpServer(respond) as server:
        port = await listen(server)
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        head = (REQUEST % b"small").replace(b"GET", b"HEAD")
        close = (REQUEST % b"small").replace(b"host", b"connection: close\r\nhost")
        writer.write(head + close)
        answers = await reader.read()
        writer.close()
    assert answers.count(b"HTTP/1.1 200") == 2
    assert answers.count(b"\r\n\r\nsmall") == 1


async def test_answer_that_is_lost_with_its_connection_is_named_in_the_log(
    caplog: pytest.LogCaptureFixture,
) -> None:
    """Guards against: no line told it from an answer that had arrived."""
    ends: list[ResponseEnd] = []

    async def respond_named(request: HttpRequest) -> HttpResponse:
        body = b"x" * UNREAD_BYTES
        return HttpResponse(200, body=body, on_done=ends.append, request_id="r-1")

    async with HttpServer(respond_named) as server:
        connection = await connect_socket(await listen(server))
        connection.sendall(REQUEST % b"named")
        await asyncio.sleep(2 * WORK_S)
        assert ends == [ResponseEnd.COMPLETE]
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        connection.close()
        await asyncio.sleep(2 * WORK_S)
    assert "answer_undelivered request_id=r-1" in caplog.text


async def test_connection_opened_in_a_stop_may_take_its_time_for_its_request() -> None:
    """Guards against: a new connection counted as one whose client was not told."""
    async with HttpServer(respond) as server:
        port = await listen(server)
        server.begin_drain()
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        await asyncio.sleep(IDLE_TIMEOUT_S)
        writer.write(REQUEST % b"small")
        answer = await reader.read()
        writer.close()
    assert b"connection: close" in answer.lower() and b"small" in answer
