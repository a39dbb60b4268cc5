"""Upstreams that stop in the middle of an answer's head, or of its body, and close."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncGenerator

import pytest

from tests.raw_upstream import answer, served_in_place
from tests.relay_fixtures import RelayCluster, relay_cluster
from wasabimux.adapters.http_client import HttpClient
from wasabimux.ports import UpstreamLost

BODY = b"the whole body"
INTERIM = b"HTTP/1.1 103 Early Hints\r\nlink: a\r\n\r\n"
CHUNKED_BODY = b"4\r\nthe \r\na\r\nwhole body\r\n0\r\nx: y\r\n\r\n"

ANSWERS = {
    "length": b"HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n" + BODY,
    "chunks": b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n" + CHUNKED_BODY,
    "line feeds": b"HTTP/1.1 200 OK\na: b\ncontent-length: 14\n\n" + BODY,
    "chunks, line feeds": b"HTTP/1.1 200 OK\ntransfer-encoding: chunked\n\n"
    + CHUNKED_BODY,
}
ANSWERS |= {f"interim, {name}": INTERIM + data for name, data in ANSWERS.items()}

EVENTS = b"".join(b"id: %d\ndata: token-%d\n\n" % (n, n) for n in range(1, 6))

#: Bytes between two places at which a stream's answer is cut.
CUT_STEP = 9


class CuttingServer:
    """A server that closes each connection within its answer.

    Attributes:
        data: The whole answer.
        cut: Bytes of it that are sent.
        streams: Number of streams that were cut.
    """

    def __init__(self, data: bytes = b"") -> None:
        self.data = data
        self.cut = 0
        self.streams = 0

    def answer_to(self, head: bytes) -> bytes:
        """Returns what is sent after the head of a request."""
        return self.data[: self.cut]

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one request and closes."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            head = await reader.readuntil(b"\r\n\r\n")
            writer.write(self.answer_to(head))
            await writer.drain()
        writer.close()


class CuttingEngine(CuttingServer):
    """A decode engine that grants reservations and cuts its streams."""

    def answer_to(self, head: bytes) -> bytes:
        """Returns a reservation, or the beginning of a stream."""
        lines = head.lower().split(b"\r\n")
        if b" /v1/" in lines[0]:
            return answer(200, None, b'{"hold": "h"}', False, b"connection: close")
        identity = next(line for line in lines if b"wasabimux-request-id" in line)
        start = [b"HTTP/1.1 200 OK", identity, b"wasabimux-response-signature: sig"]
        start.append(b"content-length: %d" % len(EVENTS))
        self.streams += 1
        self.data = b"\r\n".join(start) + b"\r\n\r\n" + EVENTS
        return self.data[: self.cut]


@pytest.mark.parametrize("name", ANSWERS)
async def test_answer_cut_at_any_byte_is_not_taken_for_whole(name: str) -> None:
    upstream = CuttingServer(ANSWERS[name])
    server = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    whole = []
    async with server, HttpClient(*server.sockets[0].getsockname()) as client:
        for upstream.cut in range(len(upstream.data) + 1):
            with contextlib.suppress(UpstreamLost):
                async with await client.request("GET", "/") as response:
                    assert await response.body() == BODY
                    whole.append(upstream.cut)
    assert whole == [len(upstream.data)]


@contextlib.asynccontextmanager
async def cutting_engine(cluster: RelayCluster) -> AsyncGenerator[CuttingEngine, None]:
    """Puts an engine that cuts its streams in the place of two, beside a sound one."""
    engine = CuttingEngine()
    async with served_in_place(cluster, ("dec-1", "dec-2"), engine.serve):
        yield engine


@pytest.mark.parametrize("path", ["/gen/1", "/once/1"])
async def test_stream_cut_within_its_head_does_not_look_complete(path: str) -> None:
    async with relay_cluster() as cluster, cutting_engine(cluster) as engine:
        for engine.cut in range(0, 200, CUT_STEP):
            answered = await cluster.request(
                path, f"s{engine.cut}", wasabimux_token_count="100,60"
            )
            async with answered:
                with contextlib.suppress(UpstreamLost):
                    body = await answered.body()
                    assert answered.status >= 500 or body == EVENTS
        assert engine.streams
