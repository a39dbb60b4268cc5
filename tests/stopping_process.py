"""A process that a test stops as the platform does, and its peers that read slowly."""

from __future__ import annotations

import asyncio
import os
import signal
import socket
import ssl
import subprocess
import sys
from pathlib import Path
from typing import Any

from wasabimux.link.channels import TcpChannel, listen_tcp

#: Send buffer of listeners, and receive buffer of peers, in bytes. They stand for a
#: long way to the peer: what it has not read then stays in the sender.
BUFFER_BYTES = 8 * 1024

#: Size of the pieces in which a slow peer reads, and its pause after each one in s.
READ_BYTES = 1_000
READ_PAUSE_S = 0.015

#: Longest time in s until a process has ended.
EXIT_TIMEOUT_S = 60.0


class StoppingProcess:
    """A module that runs in a process of its own; a context manager that ends it.

    It prints the ports on which it serves in its first line.

    Args:
        module: Name of the module.
        arguments: Arguments of its command line.

    Attributes:
        ports: The ports on which it serves.
    """

    def __init__(self, module: str, *arguments: str) -> None:
        self._process = subprocess.Popen(
            [sys.executable, "-m", module, *arguments],
            stdout=subprocess.PIPE,
            cwd=Path(__file__).parent.parent,
            env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"},
        )
        assert self._process.stdout is not None
        self.ports = [int(port) for port in self._process.stdout.readline().split()]

    def __enter__(self) -> StoppingProcess:
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
        return await asyncio.to_thread(self._process.wait, EXIT_TIMEOUT_S)


class SlowChannel(TcpChannel):
    """A channel that reads in small pieces, or not at all while it is `held`."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        super().__init__(reader, writer)
        self.held = False
        self._received = bytearray()

    async def receive(self) -> bytes | None:
        """Returns the next frame, or None once the connection is lost."""
        prefix = await self._read(4)
        return None if prefix is None else await self._read(int.from_bytes(prefix))

    async def _read(self, size: int) -> bytes | None:
        while len(self._received) < size:
            while self.held:
                await asyncio.sleep(READ_PAUSE_S)
            try:
                piece = await self._reader.read(READ_BYTES)
            except OSError:
                return None
            if not piece:
                return None
            self._received += piece
            await asyncio.sleep(READ_PAUSE_S)
        data = bytes(self._received[:size])
        del self._received[:size]
        return data


async def connect_socket(port: int) -> socket.socket:
    """Connects to a port on this machine with a small receive buffer."""
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


async def connect_slowly(port: int, tls: ssl.SSLContext | None = None) -> SlowChannel:
    """Connects to a port on this machine with a small receive buffer.

    Args:
        port: The port.
        tls: TLS context, None for plain TCP.
    """
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    connection.setblocking(False)
    await asyncio.get_running_loop().sock_connect(connection, ("127.0.0.1", port))
    name = None if tls is None else "127.0.0.1"
    reader, writer = await asyncio.open_connection(
        sock=connection, limit=READ_BYTES, ssl=tls, server_hostname=name
    )
    return SlowChannel(reader, writer)


def shrink_send_buffers(server: asyncio.Server) -> None:
    """Makes the connections that a listener accepts hold little in the system."""
    for listener in server.sockets:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, BUFFER_BYTES)


async def listen_shrunk(*args: Any, **keywords: Any) -> asyncio.Server:
    """Listens for links with a small send buffer."""
    server = await listen_tcp(*args, **keywords)
    shrink_send_buffers(server)
    return server
