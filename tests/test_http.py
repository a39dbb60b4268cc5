"""Bad input and slow callers at the HTTP server."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator

import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals, LessThan, StartsWith

from wasabimux.adapters.http_server import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
)

LIMITS = HttpLimits(max_body_bytes=1_000, header_timeout_s=0.3, body_timeout_s=0.3)
ENDLESS_PIECES = 10_000


class Handler:
    """Echoes the size of a body, or streams without end."""

    def __init__(self) -> None:
        self.requests = 0
        self.pieces = 0
        self.closed = False

    async def __call__(self, request: HttpRequest) -> HttpResponse:
        self.requests += 1
        if request.path == "/endless":
            return HttpResponse(200, body=self._endless())
        body = await request.body()
        return HttpResponse(200, body=b"size %d" % len(body))

    async def _endless(self) -> AsyncGenerator[bytes, None]:
        try:
            for _ in range(ENDLESS_PIECES):
                self.pieces += 1
                yield b"x" * 10_000
                await asyncio.sleep(0)
        finally:
            self.closed = True


@pytest.fixture
def handler() -> Handler:
    """The handler behind the server."""
    return Handler()


@pytest_asyncio.fixture
async def port(handler: Handler) -> AsyncGenerator[int, None]:
    """Port of a running server."""
    async with HttpServer(handler, LIMITS) as server:
        yield (await server.listen("127.0.0.1", 0))[1]


async def exchange(port: int, data: bytes) -> bytes:
    """Sends bytes and returns all that comes back until the server closes."""
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    writer.write(data)
    async with asyncio.timeout(10):
        answer = await reader.read()
    writer.close()
    return answer


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"NONSENSE\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\n\r\n", b"400"),
        (b"GET / HTTP/1.1\r\nHost: a\r\nBad Header: x\r\n\r\n", b"400"),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Content-Length: 4\r\n\r\nabc",
            b"400",
        ),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
            b"400",
        ),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 5000\r\n\r\n", b"413"),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 50_000, b"431"),
        (b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9\r\n\r\nabc", b"400"),
        (
            b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            b"800\r\n" + b"z" * 2_048 + b"\r\n0\r\n\r\n",
            b"413",
        ),
    ],
)
async def test_bad_input_gets_a_clear_error(
    port: int, data: bytes, status: bytes
) -> None:
    answer = await exchange(port, data)
    assert_that(answer, StartsWith(b"HTTP/1.1 " + status))
    assert_that(answer, Contains(b'"ran": "no"'))


async def test_a_slow_head_is_refused(port: int, handler: Handler) -> None:
    answer = await exchange(port, b"GET / HTTP/1.1\r\nHost")
    assert_that(answer, StartsWith(b"HTTP/1.1 408"))
    assert_that(handler.requests, Equals(0))


async def test_expect_continue(port: int) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port)
    head = (
        b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nExpect: 100-continue\r\n"
    )
    writer.write(head + b"\r\n")
    assert_that(await reader.readline(), StartsWith(b"HTTP/1.1 100"))
    await reader.readline()
    writer.write(b"abc")
    assert_that(await reader.readline(), StartsWith(b"HTTP/1.1 200"))
    writer.close()


async def test_kept_alive_connection_serves_again(port: int) -> None:
    request = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"
    last = b"GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
    answer = await exchange(port, request + last)
    assert_that(answer.count(b"HTTP/1.1 200"), Equals(2))


async def test_a_slow_reader_holds_the_handler_back(
    port: int, handler: Handler
) -> None:
    reader, writer = await asyncio.open_connection("127.0.0.1", port, limit=1_000)
    writer.write(b"GET /endless HTTP/1.1\r\nHost: a\r\n\r\n")
    await reader.readline()
    while True:
        before = handler.pieces
        await asyncio.sleep(0.1)
        if handler.pieces == before:
            break
    assert_that(handler.pieces, LessThan(ENDLESS_PIECES))
    writer.transport.abort()
    async with asyncio.timeout(10):
        while not handler.closed:
            await asyncio.sleep(0.01)
