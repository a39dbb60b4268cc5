"""Upstreams that answer within an upload and break off, or with an odd first line."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from typing import cast

import pytest
import pytest_asyncio

from tests.raw_upstream import RawRequest, RawUpstream, answer, raw_upstream
from tests.relay_fixtures import RelayCluster, relay_cluster
from tests.test_endless_upstreams import CountingStream, call_worker
from wasabimux.adapters.http_client import HttpClient
from wasabimux.adapters.service_client import ServiceClient
from wasabimux.errors import RefusedError
from wasabimux.link.messages import OpenStream, Operation
from wasabimux.link.stream import LinkStream
from wasabimux.ports import UpstreamLost

HEAD_END = b"\r\n\r\n"

#: Size in bytes of an upload that the buffers on its way do not hold.
UPLOAD_BYTES = 900_000
RECEIVE_BUFFER_BYTES = 8 * 1024

#: Abortive close: the peer gets a reset instead of an end.
LINGER_RESET = struct.pack("ii", 1, 0)

DESKS = ("desk-1", "desk-2")
DECODERS = ("dec-1", "dec-2", "dec-3")

#: First lines of which none begins an answer of HTTP/1.
ODD_LINES = [
    b"HTTP/1.1 000 Trouble",
    b"HTTP/1.1 000",
    b"HTTP/1.1 099 Low",
    b"HTTP/1.1 600 High",
    b"HTTP/1.1 999 High",
    b"HTTP/0.9 200 OK",
    b"HTTP/2.0 200 OK",
]


class EarlyServer:
    """Answers a request before it has read its body, without a length.

    Args:
        ends_first: True to close its sending side before it resets the connection.
        reads_all: True to read the whole body before it answers, and to close as usual.
    """

    def __init__(self, ends_first: bool, reads_all: bool = False) -> None:
        self._ends_first = ends_first
        self._reads_all = reads_all
        self.answered = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one request."""
        head = await reader.readuntil(HEAD_END)
        if self._reads_all:
            await reader.readexactly(UPLOAD_BYTES)
        self.answered += 1
        names = (b"wasabimux-request-id", b"x-request-id")
        lines = head.split(b"\r\n")
        echoed = [line for line in lines if line.lower().startswith(names)]
        signed = b"wasabimux-response-signature: sig"
        first = [b"HTTP/1.1 200 OK", *echoed, signed]
        writer.write(b"\r\n".join(first) + HEAD_END + b"a part of the body")
        await writer.drain()
        if not self._reads_all:
            await self._break_off(writer)
        writer.close()

    async def _break_off(self, writer: asyncio.StreamWriter) -> None:
        connection: socket.socket = writer.get_extra_info("socket")
        if self._ends_first:
            connection.shutdown(socket.SHUT_WR)
        await asyncio.sleep(0.05)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.transport.abort()


@asynccontextmanager
async def listening(server: EarlyServer) -> AsyncGenerator[tuple[str, int], None]:
    """Runs a server that receives little at once, and yields its address."""
    listener = socket.create_server(("127.0.0.1", 0))
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    running = await asyncio.start_server(server.serve, sock=listener, limit=4096)
    async with running:
        yield listener.getsockname()


@pytest_asyncio.fixture
async def cluster() -> AsyncGenerator[RelayCluster, None]:
    """One relay with upstreams of all kinds."""
    async with relay_cluster() as running:
        yield running


async def replace_desks(cluster: RelayCluster, host: str, port: int) -> None:
    """Puts a server in the place of the upstreams of plain calls."""
    entry = cluster.runners["desk-1"].store_entry(address=f"{host}:{port}")
    for name in DESKS:
        await cluster.store.remove("servers", name)
    await cluster.store.put("servers", "early", entry)
    pool = cluster.relays[0].relay.pool
    await cluster.wait_until(
        lambda: "early" in pool.by_id and not set(DESKS) & set(pool.by_id)
    )


@pytest.mark.parametrize("ends_first", [False, True])
@pytest.mark.parametrize("path", ["/safe/1", "/unsafe/1"])
async def test_answer_that_breaks_off_within_the_upload_is_not_passed_on_as_whole(
    cluster: RelayCluster, path: str, ends_first: bool
) -> None:
    server = EarlyServer(ends_first)
    async with listening(server) as address:
        await replace_desks(cluster, *address)
        body = bytes(UPLOAD_BYTES)
        async with await cluster.request(path, body=body) as response:
            await response.body()
    assert server.answered
    assert response.status == 502


async def test_whole_answer_without_a_length_to_an_upload_is_passed_on(
    cluster: RelayCluster,
) -> None:
    async with listening(EarlyServer(False, reads_all=True)) as address:
        await replace_desks(cluster, *address)
        body = bytes(UPLOAD_BYTES)
        async with await cluster.request("/unsafe/1", body=body) as response:
            assert await response.body() == b"a part of the body"
    assert response.status == 200


@pytest.mark.parametrize("ends_first", [False, True])
@pytest.mark.parametrize("repeatable", [False, True])
async def test_call_of_an_agent_that_breaks_off_within_the_upload_is_not_whole(
    repeatable: bool, ends_first: bool
) -> None:
    server = EarlyServer(ends_first)
    message = OpenStream(
        Operation.CALL,
        "r1",
        budget_ms=20_000,
        method="POST",
        target="/",
        body=bytes(UPLOAD_BYTES),
        repeatable=repeatable,
    )
    async with listening(server) as address, ServiceClient(*address) as client:
        with pytest.raises(RefusedError):
            await call_worker(client).call(cast(LinkStream, CountingStream()), message)
    assert server.answered


@pytest.mark.parametrize("line", ODD_LINES)
async def test_odd_first_line_is_no_answer(line: bytes) -> None:
    upstream = RawUpstream(lambda request: line + b"\r\ncontent-length: 2\r\n\r\nhi")
    listener = await asyncio.start_server(upstream.serve, "127.0.0.1", 0)
    async with listener, HttpClient(*listener.sockets[0].getsockname()) as client:
        with pytest.raises(UpstreamLost):
            await client.request("POST", "/", idempotent=False)


@pytest.mark.parametrize("line", ODD_LINES)
@pytest.mark.parametrize(
    ("path", "replaced"),
    [("/safe/1", DESKS), ("/unsafe/1", DESKS), ("/once/1", DECODERS)],
)
async def test_odd_first_line_is_not_passed_on(
    cluster: RelayCluster, path: str, replaced: tuple[str, ...], line: bytes
) -> None:
    def write(request: RawRequest) -> bytes:
        if not request.id:
            return answer(200, None, b'{"hold":"h"}')
        whole = answer(200, request.id, b"id: 1\ndata: 1\n\n", signed=True)
        return line + whole[whole.index(b"\r\n") :]

    async with raw_upstream(cluster, replaced, RawUpstream(write)) as upstream:
        async with await cluster.request(
            path, wasabimux_token_count="100,60"
        ) as response:
            body = await response.body()
    assert any(request.id for request in upstream.requests)
    assert response.status == 502
    assert b'"ran": "unknown"' in body
