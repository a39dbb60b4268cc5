"""Answers whose connections drain slowly, around a planned stop.

A listener with a small send buffer stands for a long way to the client: what a client
has not read then stays in the server, as it does not on a loopback connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import signal
import sys
from collections.abc import AsyncGenerator, Iterator

import pytest

from tests.stopping_process import (
    READ_BYTES,
    READ_PAUSE_S,
    StoppingProcess,
    connect_socket,
    read_slowly,
    shrink_send_buffers,
)
from wasabimux.adapters.http_server import HttpRequest, HttpResponse, HttpServer

#: Size of an answer, in bytes.
ANSWER_BYTES = 120_000

CLIENTS = 5
DRAIN_TIMEOUT_S = 20.0

#: Longest time in s that a stop waits for answers in the test of its bound.
SHORT_GRACE_S = 1.0

REQUEST = b"GET /%s HTTP/1.1\r\nhost: a\r\n\r\n"
CLOSE_FIELD = b"\r\nconnection: close\r\n\r\n"


async def respond(request: HttpRequest) -> HttpResponse:
    """Returns an answer as one body, or as a stream without a length."""
    if request.path == "/stream":
        return HttpResponse(200, body=_stream())
    return HttpResponse(200, body=b"x" * ANSWER_BYTES)


async def _stream() -> AsyncGenerator[bytes, None]:
    for _ in range(ANSWER_BYTES // READ_BYTES):
        yield b"x" * READ_BYTES


async def serve_until_stopped(drain_timeout_s: float) -> bool:
    """Serves on a free port, which is printed, until SIGTERM; returns if it drained.

    Args:
        drain_timeout_s: Longest time in s for answers under way.
    """
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    async with HttpServer(respond) as server:
        _, port = await server.listen("127.0.0.1", 0)
        assert server._server is not None
        shrink_send_buffers(server._server)
        print(port, flush=True)
        await stop.wait()
        return await server.drain(drain_timeout_s)


def is_whole(answer: bytes) -> bool:
    """Returns whether an answer has all bytes of its body."""
    return answer.count(b"x") == ANSWER_BYTES


@pytest.fixture
def server() -> Iterator[StoppingProcess]:
    """A server that waits for answers under way."""
    with StoppingProcess(__name__, str(DRAIN_TIMEOUT_S)) as process:
        yield process


@pytest.mark.parametrize("is_stopped", [True, False])
@pytest.mark.parametrize("path", [b"body", b"stream"])
async def test_answer_read_slowly_around_a_stop_arrives_whole(
    server: StoppingProcess, path: bytes, is_stopped: bool
) -> None:
    """Regression: the process ended while it held the last part of answers."""
    connections = [await connect_socket(server.ports[0]) for _ in range(CLIENTS)]
    reading = []
    for connection in connections:
        connection.sendall(REQUEST % path)
        reading.append(asyncio.ensure_future(read_slowly(connection, ANSWER_BYTES)))
    await asyncio.sleep(20 * READ_PAUSE_S)
    if is_stopped:
        server.stop()
    answers = await asyncio.gather(*reading)
    if is_stopped:
        assert await server.wait() == 0
    for connection in connections:
        connection.close()
    assert [is_whole(answer) for answer in answers] == [True] * CLIENTS


async def test_request_that_crosses_a_close_does_not_destroy_the_answer(
    server: StoppingProcess,
) -> None:
    """Regression: a close with data of the client unread reset the connection."""
    connection = await connect_socket(server.ports[0])
    connection.sendall(REQUEST.replace(b"\r\n\r\n", CLOSE_FIELD) % b"body")
    reading = asyncio.ensure_future(read_slowly(connection, ANSWER_BYTES))
    while not reading.done():
        with contextlib.suppress(OSError):
            connection.send(REQUEST % b"next")
        await asyncio.sleep(READ_PAUSE_S)
    connection.close()
    assert is_whole(reading.result())


async def test_slow_reader_holds_a_stop_no_longer_than_the_grace() -> None:
    with StoppingProcess(__name__, str(SHORT_GRACE_S)) as server:
        connection = await connect_socket(server.ports[0])
        connection.sendall(REQUEST % b"body")
        await read_slowly(connection, READ_BYTES)
        server.stop()
        assert await server.wait() == 1
        rest = await read_slowly(connection, 2**30)
        connection.close()
        assert not is_whole(rest)


if __name__ == "__main__":
    drained = asyncio.run(serve_until_stopped(float(sys.argv[1])))
    sys.exit(0 if drained else 1)
