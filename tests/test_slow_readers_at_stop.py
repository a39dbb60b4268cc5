"""Answers whose connections drain slowly, around a planned stop.

A listener with a small send buffer stands for a long way to the client: what a client
has not read then stays in the server, as it does not on a loopback connection.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import subprocess
import sys
from collections.abc import AsyncGenerator, Iterator
from pathlib import Path

import pytest

from wasabimux.adapters.http_server import HttpRequest, HttpResponse, HttpServer

#: Send buffer of the listener, and receive buffer of the clients, in bytes.
BUFFER_BYTES = 8 * 1024

#: Size of an answer, of the pieces in which a client reads it, and its pause in s.
ANSWER_BYTES = 120_000
READ_BYTES = 1_000
READ_PAUSE_S = 0.015

CLIENTS = 5
DRAIN_TIMEOUT_S = 20.0
TEST_TIMEOUT_S = 60.0

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
        for listener in server._server.sockets:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)
        print(port, flush=True)
        await stop.wait()
        return await server.drain(drain_timeout_s)


class ServerProcess:
    """A server in a process of its own; a context manager that ends it.

    Args:
        drain_timeout_s: Longest time in s for answers under way at its stop.

    Attributes:
        port: Port on which it serves.
    """

    def __init__(self, drain_timeout_s: float = DRAIN_TIMEOUT_S) -> None:
        command = [sys.executable, "-m", __name__, str(drain_timeout_s)]
        self._process = subprocess.Popen(
            command,
            stdout=subprocess.PIPE,
            cwd=Path(__file__).parent.parent,
            env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"},
        )
        assert self._process.stdout is not None
        self.port = int(self._process.stdout.readline())

    def __enter__(self) -> ServerProcess:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._process.kill()
        self._process.wait()
        assert self._process.stdout is not None
        self._process.stdout.close()

    def stop(self) -> None:
        """Stops the process as the platform does."""
        self._process.send_signal(signal.SIGTERM)

    async def wait(self) -> int:
        """Waits until the process has ended, and returns its exit code."""
        return await asyncio.to_thread(self._process.wait, TEST_TIMEOUT_S)


async def connect(port: int) -> socket.socket:
    """Returns a connection with a small receive buffer."""
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, ("127.0.0.1", port))
    return connection


async def read_slowly(connection: socket.socket, until_bytes: int) -> bytes:
    """Reads in small pieces until a body of so many bytes, or the end, has come."""
    loop = asyncio.get_running_loop()
    received = bytearray()
    while received.count(b"x") < until_bytes:
        try:
            data = await loop.sock_recv(connection, READ_BYTES)
        except ConnectionError:
            break
        if not data:
            break
        received += data
        await asyncio.sleep(READ_PAUSE_S)
    return bytes(received)


def is_whole(answer: bytes) -> bool:
    """Returns whether an answer has all bytes of its body."""
    return answer.count(b"x") == ANSWER_BYTES


@pytest.fixture
def server() -> Iterator[ServerProcess]:
    """A server that waits for answers under way."""
    with ServerProcess() as process:
        yield process


@pytest.mark.parametrize("is_stopped", [True, False])
@pytest.mark.parametrize("path", [b"body", b"stream"])
async def test_answer_read_slowly_around_a_stop_arrives_whole(
    server: ServerProcess, path: bytes, is_stopped: bool
) -> None:
    """Regression: the process ended while it held the last part of answers."""
    connections = [await connect(server.port) for _ in range(CLIENTS)]
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
    server: ServerProcess,
) -> None:
    """Regression: a close with data of the client unread reset the connection."""
    connection = await connect(server.port)
    connection.sendall(REQUEST.replace(b"\r\n\r\n", CLOSE_FIELD) % b"body")
    reading = asyncio.ensure_future(read_slowly(connection, ANSWER_BYTES))
    while not reading.done():
        with contextlib.suppress(OSError):
            connection.send(REQUEST % b"next")
        await asyncio.sleep(READ_PAUSE_S)
    connection.close()
    assert is_whole(reading.result())


async def test_slow_reader_holds_a_stop_no_longer_than_the_grace() -> None:
    with ServerProcess(drain_timeout_s=SHORT_GRACE_S) as server:
        connection = await connect(server.port)
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
