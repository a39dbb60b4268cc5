"""An HTTP/1.1 client on h11 with kept-alive connections."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from typing import Any

import h11

from wasabimux.ports import Headers, UpstreamLost

CONNECT_TIMEOUT_S = 2.0
READ_BYTES = 64 * 1024
MAX_HEAD_BYTES = 32 * 1024
MAX_IDLE_CONNECTIONS = 64


class ClientResponse:
    """An answer whose body is read as it arrives; a context manager.

    Args:
        client: Client that owns the connection.
        connection: Connection that carries the answer.
        head: Head of the answer.
    """

    def __init__(
        self, client: HttpClient, connection: _ClientConnection, head: h11.Response
    ) -> None:
        self.status: int = head.status_code
        self.headers: Headers = [(bytes(n), bytes(v)) for n, v in head.headers]
        self._client = client
        self._connection = connection
        self._complete = False

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
        """Keeps the connection for reuse if the answer is complete."""
        self._client.release(self._connection, self._complete)


class HttpClient:
    """Sends requests to one server; a context manager.

    Args:
        host: Address of the server.
        port: Port of the server.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._idle: list[_ClientConnection] = []

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
        connection = self._idle.pop() if reused else await self._connect()
        try:
            head = await connection.exchange_heads(
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

    def release(self, connection: _ClientConnection, complete: bool) -> None:
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

    async def _connect(self) -> _ClientConnection:
        connecting = asyncio.open_connection(self._host, self._port)
        try:
            reader, writer = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        except (OSError, TimeoutError) as error:
            raise UpstreamLost(f"cannot connect: {error}", sent=False) from error
        return _ClientConnection(reader, writer)

    def _framed(self, headers: Headers, body: bytes) -> Headers:
        host = f"{self._host}:{self._port}".encode()
        framed = [(b"host", host), *headers]
        framed.append((b"content-length", str(len(body)).encode()))
        return framed


class _ClientConnection:
    """One connection to the server."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)

    async def exchange_heads(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> h11.Response:
        """Sends a request and reads the head of its answer."""
        request = h11.Request(method=method, target=target, headers=headers)
        data = self._http.send(request) or b""
        data += self._http.send(h11.Data(data=body)) or b""
        data += self._http.send(h11.EndOfMessage()) or b""
        try:
            self._writer.write(data)
            await self._writer.drain()
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
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        return not self._writer.is_closing()

    def close(self) -> None:
        """Closes the connection."""
        self._writer.close()
