"""Requests on kept connections whose clients were not told of a stop."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator

import pytest
import pytest_asyncio

from wasabimux.adapters import http_server
from wasabimux.adapters.http_server import HttpRequest, HttpResponse, HttpServer

#: Time in s that the server takes for a request.
WORK_S = 0.1
DRAIN_TIMEOUT_S = 10.0

REQUEST = b"GET /%d HTTP/1.1\r\nhost: a\r\n\r\n"
PIPELINED = 3


async def respond(request: HttpRequest) -> HttpResponse:
    """Streams the path of the request after its head."""
    return HttpResponse(200, body=_stream(request.path.encode()))


async def _stream(path: bytes) -> AsyncGenerator[bytes, None]:
    yield b"answer "
    await asyncio.sleep(WORK_S)
    yield b"to " + path


@pytest_asyncio.fixture
async def server() -> AsyncGenerator[HttpServer, None]:
    """Runs a server on a free port."""
    async with HttpServer(respond) as running:
        yield running


async def test_request_after_an_answer_that_told_of_no_stop_is_answered(
    server: HttpServer, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Regression: the connection was closed at the end of the answer, untold."""
    monkeypatch.setattr(http_server, "UNTOLD_IDLE_S", DRAIN_TIMEOUT_S)
    reader, writer = await asyncio.open_connection(*await server.listen("127.0.0.1", 0))
    writer.write(REQUEST % 1)
    await reader.readuntil(b"answer ")
    server.begin_drain()
    await reader.readuntil(b"0\r\n\r\n")
    await asyncio.sleep(WORK_S)
    writer.write(REQUEST % 2)
    async with asyncio.timeout(DRAIN_TIMEOUT_S):
        answer = await reader.read()
    writer.close()
    assert b"connection: close" in answer.lower()
    assert b"to /2" in answer


async def test_connection_without_a_request_after_such_an_answer_is_closed(
    server: HttpServer,
) -> None:
    reader, writer = await asyncio.open_connection(*await server.listen("127.0.0.1", 0))
    writer.write(REQUEST % 1)
    await reader.readuntil(b"answer ")
    server.begin_drain()
    async with asyncio.timeout(DRAIN_TIMEOUT_S):
        answer = await reader.read()
    writer.close()
    assert b"to /1" in answer


async def test_connection_that_waits_as_a_stop_begins_is_not_closed_by_it(
    server: HttpServer,
) -> None:
    reader, writer = await asyncio.open_connection(*await server.listen("127.0.0.1", 0))
    await asyncio.sleep(WORK_S)
    server.begin_drain()
    await asyncio.sleep(3 * WORK_S)
    writer.write(REQUEST % 1)
    async with asyncio.timeout(DRAIN_TIMEOUT_S):
        answer = await reader.read()
    writer.close()
    assert b"to /1" in answer


async def test_idle_connection_is_closed_by_a_drain_after_such_an_answer(
    server: HttpServer,
) -> None:
    reader, writer = await asyncio.open_connection(*await server.listen("127.0.0.1", 0))
    writer.write(REQUEST % 1)
    await reader.readuntil(b"answer ")
    assert await server.drain(DRAIN_TIMEOUT_S)
    assert b"to /1" in await reader.read()
    writer.close()


async def test_requests_sent_ahead_of_a_stop_are_all_answered(
    server: HttpServer,
) -> None:
    """Regression: the first answer ended the connection with the others unanswered."""
    reader, writer = await asyncio.open_connection(*await server.listen("127.0.0.1", 0))
    writer.write(b"".join(REQUEST % number for number in range(PIPELINED)))
    await asyncio.sleep(WORK_S / 2)
    assert await server.drain(DRAIN_TIMEOUT_S)
    answers = await reader.read()
    writer.close()
    assert [answers.count(b"to /%d" % n) for n in range(PIPELINED)] == [1] * PIPELINED
    assert answers.lower().count(b"connection: close") == 1
