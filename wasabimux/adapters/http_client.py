"""An HTTP/1.1 client on h11 with kept-alive connections."""

from __future__ import annotations

import asyncio
import socket
from collections.abc import AsyncIterator
from typing import Any, Protocol

import h11

from wasabimux.ports import Headers, UpstreamLost

CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 64 * 1024
MAX_HEAD_BYTES = 32 * 1024
MAX_IDLE_CONNECTIONS = 64

#: Keep-alive probes of idle connections, so that one that has gone silent is found.
PROBE_IDLE_S = 1
PROBE_INTERVAL_S = 1
PROBE_COUNT = 2


class ConnectionPool(Protocol):
    """Takes a connection back after an answer."""

    def release(self, connection: ClientConnection, complete: bool) -> None:
        """Keeps the connection if its answer is complete, else closes it."""


class ClientResponse:
    """An answer whose body is read as it arrives; a context manager.

    Args:
        owner: Owner of the connection.
        connection: Connection that carries the answer.
        head: Head of the answer.
    """

    def __init__(
        self, owner: ConnectionPool, connection: ClientConnection, head: h11.Response
    ) -> None:
        self.status: int = head.status_code
        self.headers: Headers = [(bytes(n), bytes(v)) for n, v in head.headers]
        self._owner = owner
        self._connection = connection
        self._complete = False
        self._closed = False

    async def __aenter__(self) -> ClientResponse:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.close()

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives.

        Raises:
            UpstreamLost: The answer was cut before its end.
        """
        while True:
            event = await self._connection.next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._complete = True
                return
            else:
                raise UpstreamLost("the answer was cut", sent=True)

    async def body(self) -> bytes:
        """Returns the whole body."""
        return b"".join([piece async for piece in self.pieces()])

    def close(self) -> None:
        """Gives the connection back. Doing it twice is harmless."""
        if not self._closed:
            self._closed = True
            self._owner.release(self._connection, self._complete)


class HttpClient:
    """Sends requests to one server; a context manager.

    Args:
        host: Address of the server.
        port: Port of the server.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._idle: list[ClientConnection] = []

    async def __aenter__(self) -> HttpClient:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.close()

    async def request(
        self,
        method: str,
        target: str,
        headers: Headers | None = None,
        body: bytes = b"",
        idempotent: bool = True,
    ) -> ClientResponse:
        """Sends a request and returns its answer once the head is there.

        Args:
            method: HTTP method.
            target: HTTP target.
            headers: Headers besides Host and Content-Length.
            body: Whole body.
            idempotent: False to use a fresh connection, so that a server that
                drops idle connections can never leave it unclear what ran.

        Returns:
            The answer.

        Raises:
            UpstreamLost: No answer; `sent` tells whether it may have run.
        """
        reused = idempotent and bool(self._idle)
        if reused:
            connection = self._idle.pop()
        else:
            connection = await ClientConnection.connect(self._host, self._port)
        try:
            head = await connection.send_request(
                method, target, self._framed(headers or [], body), body
            )
        except UpstreamLost:
            connection.close()
            if not reused:
                raise
            self.close()  # the server has dropped its idle connections
            return await self.request(method, target, headers, body, idempotent)
        except BaseException:
            connection.close()
            raise
        return ClientResponse(self, connection, head)

    def release(self, connection: ClientConnection, complete: bool) -> None:
        """Takes a connection back."""
        if (
            complete
            and connection.start_next_cycle()
            and len(self._idle) < MAX_IDLE_CONNECTIONS
        ):
            self._idle.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop().close()

    def _framed(self, headers: Headers, body: bytes) -> Headers:
        host = f"{self._host}:{self._port}".encode()
        framed = [(b"host", host), *headers]
        framed.append((b"content-length", str(len(body)).encode()))
        return framed


class ClientConnection:
    """One connection to a server."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._idle_watch: asyncio.Task[bytes] | None = None

    @classmethod
    async def connect(
        cls, host: str, port: int, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> ClientConnection:
        """Connects to a server.

        Raises:
            UpstreamLost: The server cannot be reached; nothing was sent.
        """
        connecting = asyncio.open_connection(host, port)
        try:
            reader, writer = await asyncio.wait_for(connecting, timeout_s)
        except (OSError, TimeoutError) as error:
            raise UpstreamLost(f"cannot connect: {error}", sent=False) from error
        probe_when_idle(writer)
        return cls(reader, writer)

    async def send_request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> h11.Response:
        """Sends a request and reads the head of its answer."""
        request = h11.Request(method=method, target=target, headers=headers)
        data = self._http.send(request) or b""
        if body:
            data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        try:
            self._writer.write(data)
        except OSError as error:
            raise UpstreamLost(str(error), sent=True) from error
        while True:
            event = await self.next_event()
            if isinstance(event, h11.Response):
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise UpstreamLost("the connection was closed", sent=True)

    async def next_event(self) -> Any:
        """Returns the next event of the answer."""
        try:
            while True:
                event = self._http.next_event()
                if event is not h11.NEED_DATA:
                    return event
                self._http.receive_data(await self._reader.read(READ_BYTES))
        except (OSError, h11.RemoteProtocolError) as error:
            raise UpstreamLost(str(error), sent=True) from error

    def start_next_cycle(self) -> bool:
        """Prepares for another request; returns False if that cannot be."""
        if self._http.trailing_data[0] or self._has_unsent():
            return False  # more than one answer, or one before the whole request
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return not self._writer.is_closing()

    def start_idle_watch(self) -> None:
        """Notices bytes or an end of the connection while nothing is asked."""
        self._idle_watch = asyncio.ensure_future(self._reader.read(1))
        self._idle_watch.add_done_callback(_take_result)

    async def stop_idle_watch(self) -> bool:
        """Ends the watch; returns False if the connection must not be used."""
        watch, self._idle_watch = self._idle_watch, None
        if watch is None:
            return not self._writer.is_closing()
        watch.cancel()
        await asyncio.wait({watch})
        return watch.cancelled() and not self._writer.is_closing()

    @property
    def is_alive(self) -> bool:
        """False once an idle connection has ended or got stray bytes."""
        watch = self._idle_watch
        return not self._writer.is_closing() and (watch is None or not watch.done())

    def close(self) -> None:
        """Closes the connection at once."""
        if self._idle_watch is not None:
            self._idle_watch.cancel()
        self._writer.transport.abort()

    def _has_unsent(self) -> bool:
        return self._writer.transport.get_write_buffer_size() > 0


def probe_when_idle(writer: asyncio.StreamWriter) -> None:
    """Lets the kernel probe a connection, so that a silent peer is noticed."""
    connection: socket.socket | None = writer.get_extra_info("socket")
    if connection is None or connection.family not in (
        socket.AF_INET,
        socket.AF_INET6,
    ):
        return
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, PROBE_IDLE_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, PROBE_INTERVAL_S)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, PROBE_COUNT)


def _take_result(watch: asyncio.Task[bytes]) -> None:
    """Fetches the outcome, so that a reset is not reported as never seen."""
    if not watch.cancelled():
        watch.exception()
