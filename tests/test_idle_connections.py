"""Requests that arrive as their connection is about to be closed for want of one."""

from __future__ import annotations

import asyncio
import socket
import time

import pytest

from wasabimux.adapters.http_server import (
    HttpLimits,
    HttpRequest,
    HttpResponse,
    HttpServer,
)
from wasabimux.adapters.memory_ledger import LedgerLimits, process_ledger

IDLE_TIMEOUT_S = 0.2

#: Time in s for which the process is busy around the end of the idle timeout.
BUSY_S = 0.1

REQUEST = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n"


async def respond(request: HttpRequest) -> HttpResponse:
    """Answers each request."""
    return HttpResponse(200, body=b"body")


async def connect(port: int) -> socket.socket:
    """Returns a connection that its server has accepted."""
    connection = socket.create_connection(("127.0.0.1", port))
    connection.setblocking(False)
    await asyncio.sleep(IDLE_TIMEOUT_S / 10)
    return connection


async def read_status(connection: socket.socket) -> bytes:
    """Returns the status line of an answer, empty if the connection just ends."""
    loop = asyncio.get_running_loop()
    async with asyncio.timeout(10):
        data = await loop.sock_recv(connection, 4096)
    connection.close()
    return data.partition(b"\r\n")[0].rstrip()


@pytest.mark.parametrize("head_bytes", [5, len(REQUEST)])
async def test_request_that_arrives_with_the_idle_timeout_is_answered(
    head_bytes: int,
) -> None:
    """Regression: it was read in the cycle of the timeout and dropped unanswered."""
    limits = HttpLimits(idle_timeout_s=IDLE_TIMEOUT_S)
    async with HttpServer(respond, limits) as server:
        _, port = await server.listen("127.0.0.1", 0)
        connection = await connect(port)
        await asyncio.sleep(IDLE_TIMEOUT_S * 0.7)
        connection.send(REQUEST[:head_bytes])
        time.sleep(BUSY_S)  # the event loop finds request and timeout together
        await asyncio.sleep(0.05)
        connection.send(REQUEST[head_bytes:])
        assert await read_status(connection) == b"HTTP/1.1 200"


async def test_request_that_has_begun_is_ended_for_no_connection_that_is_idle() -> None:
    """Regression: at the bound on connections, half a request was ended first."""
    async with HttpServer(respond) as server:
        _, port = await server.listen("127.0.0.1", 0)
        process_ledger().limits = LedgerLimits(connections=2)
        begun = await connect(port)
        begun.send(REQUEST[:5])
        idle = await connect(port)
        late = await connect(port)
        begun.send(REQUEST[5:])
        late.send(REQUEST)
        assert await read_status(begun) == b"HTTP/1.1 200"
        assert await read_status(late) == b"HTTP/1.1 200"
        assert await read_status(idle) == b""
