"""HTTP/1.1 client based on h11 with persistent connections."""

from __future__ import annotations

import asyncio
import hashlib
import select
import socket
from collections import deque
from collections.abc import AsyncIterator, Callable
from typing import Any, NamedTuple, Protocol

import h11

from wasabimux.adapters.delivery import undelivered_bytes
from wasabimux.adapters.http_receiver import READ_BYTES, HttpReceiver, limit_reads
from wasabimux.adapters.turns import Turn
from wasabimux.ports import Headers, ResponseTooLarge, UpstreamLost

CONNECT_TIMEOUT_S = 2.0
MAX_HEAD_BYTES = 32 * 1024
MAX_IDLE_CONNECTIONS = 64

#: Bytes from which on a response body is large; its connection then reads and buffers
#: more at once, for which memory is held.
LARGE_BODY_BYTES = READ_BYTES
LARGE_BODY_READ_BYTES = 128 * 1024

#: Headers that tell where a body ends; without them it ends with its connection.
FRAMING_HEADERS = frozenset({b"content-length", b"transfer-encoding"})

#: Names given by responses of a connection by which a repeated one is known.
MAX_GIVEN_NAMES = 16

#: First digit of the HTTP versions that are spoken, and the highest status of them.
HTTP_MAJOR_VERSION = b"1."
MAX_STATUS = 599

#: Most interim responses before the final one.
MAX_INTERIM_RESPONSES = 8

#: Most bytes of a response body that is read as a whole.
MAX_WHOLE_BODY_BYTES = 8 * 1024 * 1024

#: Most bytes of the body of a response that is a small document.
MAX_DOCUMENT_BYTES = 256 * 1024

TOO_LARGE_TEXT = "the response body is too large"
NO_MEMORY_TEXT = "no memory for the response body"

#: TCP keep-alive probes of idle connections, which detect unresponsive peers.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBE_COUNT = 2


class EchoedHeader(NamedTuple):
    """Header of a request that names it, and that its response may repeat."""

    name: bytes
    value: bytes

    def is_repeated_in(self, headers: Headers) -> bool:
        """Returns whether a response with these headers names this request alone."""
        return {value for name, value in headers if name == self.name} == {self.value}


class ConnectionPool(Protocol):
    """Pool to which a response returns its connection."""

    def release(self, connection: ClientConnection, complete: bool) -> None:
        """Keeps the connection if its response is complete, else closes it."""


class ClientResponse:
    """HTTP response with a streamed body; a context manager.

    Attributes:
        status: HTTP status code.
        headers: Headers with lower-case names.
        names_its_request: True if it repeats the header that it had to repeat.

    Args:
        pool: Pool to which the connection is returned.
        connection: Connection that delivers the response.
        head: Status and headers of the response.
        echoed: Header that the response must repeat for its connection to be kept,
            None for none.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        connection: ClientConnection,
        head: h11.Response,
        echoed: EchoedHeader | None = None,
    ) -> None:
        self.status: int = head.status_code
        self.headers: Headers = [(bytes(n), bytes(v)) for n, v in head.headers]
        self.names_its_request = echoed is None or echoed.is_repeated_in(self.headers)
        self._pool = pool
        self._connection = connection
        self._complete = False
        self._closed = False

    @property
    def is_framed(self) -> bool:
        """True if the body's end is told apart from the end of its connection."""
        return any(name in FRAMING_HEADERS for name, _ in self.headers)

    async def __aenter__(self) -> ClientResponse:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.close()

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yields the body as it arrives, in pieces of what is at hand.

        Raises:
            UpstreamLost: The connection ended before the response.
        """
        while True:
            event = await self._connection.next_event()
            if isinstance(event, h11.Data):
                yield bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                self._check_end()
                self._complete = True
                return
            else:
                raise UpstreamLost(
                    "connection closed before the end of the response", sent=True
                )

    def _check_end(self) -> None:
        """Checks that the end of the connection is the end of the response.

        Raises:
            UpstreamLost: The upstream has ended it within the request, so that nothing
                tells if the response is whole.
        """
        if not self.is_framed and self._connection.has_ended_within_request():
            raise UpstreamLost(
                "connection closed before the end of the request", sent=True
            )

    async def body(
        self,
        hold: Callable[[int], bool] = lambda size: True,
        max_bytes: int = MAX_WHOLE_BODY_BYTES,
    ) -> bytes:
        """Returns the whole body.

        Args:
            hold: Tells whether there is memory for a number of further bytes, of the
                body and of what its connection buffers.
            max_bytes: Most bytes of the body.

        Raises:
            UpstreamLost: The connection ended before the response.
            ResponseTooLarge: The body is too large, or there is no memory for it.
        """
        body = bytearray()
        is_large = False
        try:
            async for piece in self.pieces():
                size = len(piece)
                if not is_large and len(body) + size > LARGE_BODY_BYTES:
                    is_large = True
                    size += LARGE_BODY_READ_BYTES
                    self._connection.read_large_pieces()
                if not hold(size):
                    del piece  # the frames of an error would keep it for long
                    raise ResponseTooLarge(NO_MEMORY_TEXT, sent=True)
                body += piece
                if len(body) > max_bytes:
                    raise ResponseTooLarge(TOO_LARGE_TEXT, sent=True)
            return bytes(body)
        finally:
            body.clear()  # the frames of an error would keep it for long

    async def drop_body(self) -> None:
        """Reads the whole body and keeps none of it.

        Raises:
            UpstreamLost: The connection ended before the response, or the body has more
                than MAX_WHOLE_BODY_BYTES.
        """
        size = 0
        async for piece in self.pieces():
            size += len(piece)
            if size > MAX_WHOLE_BODY_BYTES:
                raise UpstreamLost(TOO_LARGE_TEXT, sent=True)

    def is_first(self, name: str | None) -> bool:
        """Returns whether no response on the connection gave a name before.

        Args:
            name: What the response gives, None if it gives nothing.
        """
        if name is None:
            return True
        names, digest = self._connection.given_names, _digest(name)
        is_first = digest not in names
        names.append(digest)
        return is_first

    def has_header(self, name: bytes) -> bool:
        """Returns whether the response has a header, given in lower case."""
        return any(item == name for item, _ in self.headers)

    async def skip(self) -> ClientResponse:
        """Drops this response and returns the next one on its connection.

        The connection is not used for further requests: what comes on it can no longer
        be told by its order.

        Raises:
            UpstreamLost: The connection ended, or sent no response in the limits.
        """
        if not self._complete:
            await self.drop_body()
        head = await self._connection.read_next_response()
        self._closed = True
        return ClientResponse(self._pool, self._connection, head)

    def discard_connection(self) -> None:
        """Closes the connection, so that it serves no further request."""
        self._complete = False
        self.close()

    def close(self) -> None:
        """Returns the connection to the pool; further calls have no effect."""
        if not self._closed:
            self._closed = True
            may_be_kept = self._complete and self.names_its_request
            self._pool.release(self._connection, may_be_kept)


class _Request(NamedTuple):
    """Request as `ClientConnection.send_request` takes it."""

    method: str
    target: str
    headers: Headers
    body: bytes


class HttpClient:
    """HTTP client of one server; a context manager.

    Args:
        host: Address of the server.
        port: Port of the server.
    """

    def __init__(self, host: str, port: int) -> None:
        self._host = host
        self._port = port
        self._idle_connections: list[ClientConnection] = []

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
        echoed: EchoedHeader | None = None,
    ) -> ClientResponse:
        """Sends a request and returns the response once its head has arrived.

        Args:
            method: HTTP method.
            target: HTTP request target.
            headers: Headers besides Host and Content-Length.
            body: Complete body.
            idempotent: False to use a new connection. On a reused connection that
                the server closes, it is unknown whether the request ran.
            echoed: Header among `headers` that tells whose response it is. Only
                connections whose responses repeat it are reused, and a response
                on a reused connection that does not is another request's.

        Returns:
            The response.

        Raises:
            UpstreamLost: No response; `sent` is True if the request may have run.
        """
        request = _Request(
            method, target, self._add_framing_headers(headers or [], body), body
        )
        connection = await self._take_idle() if idempotent else None
        if connection is not None:
            try:
                response = await self._exchange(connection, request, echoed)
            except UpstreamLost:
                self.close()  # the server has closed its idle connections
            else:
                if response.names_its_request:
                    return response
                response.close()
        try:
            new_connection = await ClientConnection.connect(self._host, self._port)
        except UpstreamLost as error:
            raise UpstreamLost(str(error), sent=connection is not None) from error
        return await self._exchange(new_connection, request, echoed)

    async def _exchange(
        self,
        connection: ClientConnection,
        request: _Request,
        echoed: EchoedHeader | None,
    ) -> ClientResponse:
        """Sends a request on a connection, which is closed if there is no response."""
        try:
            head = await connection.send_request(*request)
        except BaseException:
            connection.close()
            raise
        return ClientResponse(self, connection, head, echoed)

    async def _take_idle(self) -> ClientConnection | None:
        """Returns an idle connection on which nothing has arrived, None without one."""
        while self._idle_connections:
            connection = self._idle_connections.pop()
            if await connection.stop_idle_watch():
                return connection
            connection.close()
        return None

    def release(self, connection: ClientConnection, complete: bool) -> None:
        """Keeps a connection if its response is complete, else closes it."""
        if (
            complete
            and connection.start_next_cycle()
            and len(self._idle_connections) < MAX_IDLE_CONNECTIONS
        ):
            connection.start_idle_watch()
            self._idle_connections.append(connection)
        else:
            connection.close()

    def close(self) -> None:
        """Closes the idle connections."""
        while self._idle_connections:
            self._idle_connections.pop().close()

    def _add_framing_headers(self, headers: Headers, body: bytes) -> Headers:
        host = f"{self._host}:{self._port}".encode()
        all_headers = [(b"host", host), *headers]
        all_headers.append((b"content-length", str(len(body)).encode()))
        return all_headers


#: Size in bytes up to which a request is sent at once, and of the slices of others.
SLICE_BYTES = 64 * 1024


class ClientConnection:
    """HTTP/1.1 connection to a server.

    Attributes:
        given_names: Digests of the last names that responses on it gave, such as
            reservations.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._turn = Turn(writer.get_extra_info("peername"))
        self._start_parser()
        self._sent: list[h11.Event] = []
        self._has_skipped = False
        self.given_names: deque[bytes] = deque(maxlen=MAX_GIVEN_NAMES)
        self._idle_watch: asyncio.Task[bytes] | None = None
        self._sending: asyncio.Task[None] | None = None

    @classmethod
    async def connect(
        cls, host: str, port: int, timeout_s: float = CONNECT_TIMEOUT_S
    ) -> ClientConnection:
        """Connects to a server.

        Raises:
            UpstreamLost: The server is unreachable; nothing was sent.
        """
        try:
            async with asyncio.timeout(timeout_s):
                reader, writer = await asyncio.open_connection(host, port)
        except (OSError, TimeoutError) as error:
            raise UpstreamLost(f"cannot connect: {error}", sent=False) from error
        enable_keepalive(writer)
        limit_reads(writer.transport, READ_BYTES)
        return cls(reader, writer)

    async def send_request(
        self, method: str, target: str, headers: Headers, body: bytes
    ) -> h11.Response:
        """Sends a request and returns the head of its response."""
        self._sent = [h11.Request(method=method, target=target, headers=headers)]
        if body:
            self._sent.append(h11.Data(data=body))
        self._sent.append(h11.EndOfMessage())
        pieces = [self._http.send(event) or b"" for event in self._sent]
        try:
            if len(body) <= SLICE_BYTES:
                self._writer.write(b"".join(pieces))
            else:
                self._sending = asyncio.ensure_future(self._send_slices(pieces))
                self._sending.add_done_callback(_retrieve_exception)
        except OSError as error:
            raise UpstreamLost(str(error), sent=True) from error
        return await self._read_head()

    async def _send_slices(self, pieces: list[bytes]) -> None:
        """Sends a large request without another copy of it; reads meanwhile go on."""
        for piece in pieces:
            view = memoryview(piece)
            for start in range(0, len(view), SLICE_BYTES):
                self._writer.write(view[start : start + SLICE_BYTES])
                await self._writer.drain()

    async def read_next_response(self) -> h11.Response:
        """Returns the head of the response after a whole one, to the same request."""
        received, has_ended = self._http.trailing_data
        self._has_skipped = True
        self._start_parser()
        for event in self._sent:
            self._http.send(event)  # its bytes have been sent before
        if received:
            self._http.receive_data(received)
        if has_ended:
            self._http.receive_data(b"")
        return await self._read_head()

    def _start_parser(self) -> None:
        self._http = h11.Connection(h11.CLIENT, MAX_HEAD_BYTES)
        self._receiver = HttpReceiver(self._http, self._reader, self._turn)

    async def _read_head(self) -> h11.Response:
        for _ in range(MAX_INTERIM_RESPONSES + 1):
            event = await self.next_event()
            if isinstance(event, h11.Response):
                _check_first_line(event)
                return event
            if not isinstance(event, h11.InformationalResponse):
                raise UpstreamLost(
                    "connection closed before the head of the response", sent=True
                )
        raise UpstreamLost("too many interim responses", sent=True)

    async def next_event(self) -> Any:
        """Returns the next h11 event of the response."""
        try:
            return await self._receiver.next_event()
        except (OSError, h11.RemoteProtocolError) as error:
            raise UpstreamLost(str(error), sent=True) from error

    def has_ended_within_request(self) -> bool:
        """Returns whether the server has ended the connection before the request.

        It has not acknowledged all of it, or has reset the connection.
        """
        if not self._reader.at_eof():
            return False
        return self._has_unsent_data() or has_undelivered_data(self._writer)

    def read_large_pieces(self) -> None:
        """Lets more of the current response be read at once."""
        limit_reads(self._writer.transport, LARGE_BODY_READ_BYTES)

    def start_next_cycle(self) -> bool:
        """Prepares for the next request; returns False if it cannot be reused."""
        limit_reads(self._writer.transport, READ_BYTES)
        if self._has_skipped:
            return False
        if self._http.trailing_data[0] or self._has_unsent_data():
            return False  # extra response data, or a response before the request ended
        try:
            self._http.start_next_cycle()
        except h11.LocalProtocolError:
            return False
        self._sent = []
        return not self._writer.is_closing()

    def start_idle_watch(self) -> None:
        """Starts watching an idle connection for unexpected data or its end."""
        self._idle_watch = asyncio.ensure_future(self._reader.read(1))
        self._idle_watch.add_done_callback(_retrieve_exception)

    async def stop_idle_watch(self) -> bool:
        """Stops the watch; returns False if the connection must not be reused."""
        idle_watch, self._idle_watch = self._idle_watch, None
        if idle_watch is None:
            return not self._writer.is_closing()
        idle_watch.cancel()
        await asyncio.wait({idle_watch})
        return (
            idle_watch.cancelled()
            and not self._writer.is_closing()
            and not self._reader._buffer  # type: ignore[attr-defined]  # unread data
            and not has_unread_data(self._writer)
        )

    @property
    def is_alive(self) -> bool:
        """False once an idle connection has ended or received unexpected data."""
        idle_watch = self._idle_watch
        return not self._writer.is_closing() and (
            idle_watch is None or not idle_watch.done()
        )

    def close(self) -> None:
        """Closes the connection immediately, and drops what was received on it.

        The frames of an error may keep the connection for long.
        """
        self._reader._buffer.clear()  # type: ignore[attr-defined]
        if self._http.trailing_data[0]:
            self._start_parser()
        for task in (self._idle_watch, self._sending):
            if task is not None:
                task.cancel()
        self._writer.transport.abort()

    def _has_unsent_data(self) -> bool:
        if self._sending is not None and not self._sending.done():
            return True
        return self._writer.transport.get_write_buffer_size() > 0


def _digest(name: str) -> bytes:
    """Returns what tells a name from others, however long it is."""
    return hashlib.blake2b(name.encode(errors="surrogatepass"), digest_size=16).digest()


def _check_first_line(head: h11.Response) -> None:
    """Checks the version and the status of a response.

    Raises:
        UpstreamLost: They are none of HTTP/1.
    """
    is_spoken = head.http_version.startswith(HTTP_MAJOR_VERSION)
    if not is_spoken or head.status_code > MAX_STATUS:
        raise UpstreamLost("the first line is none of HTTP/1", sent=True)


def has_undelivered_data(writer: asyncio.StreamWriter) -> bool:
    """Returns whether the peer lacks something, or has reset the connection."""
    connection: socket.socket | None = writer.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return True
    was_reset = connection.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0
    return was_reset or undelivered_bytes(writer) > 0


def has_unread_data(writer: asyncio.StreamWriter) -> bool:
    """Returns whether data or the end of a connection waits in its socket buffer."""
    connection: socket.socket | None = writer.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return False
    return is_readable(connection.fileno())


def is_readable(file_number: int) -> bool:
    """Returns whether a socket has data, or a connection to accept, without waiting."""
    poll = select.poll()
    poll.register(file_number, select.POLLIN)
    return bool(poll.poll(0))


def enable_keepalive(writer: asyncio.StreamWriter) -> None:
    """Enables TCP keep-alive, so that the kernel detects an unresponsive peer."""
    connection: socket.socket | None = writer.get_extra_info("socket")
    if connection is None or connection.family not in (
        socket.AF_INET,
        socket.AF_INET6,
    ):
        return
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    connection.setsockopt(
        socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S
    )
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT)


def _retrieve_exception(task: asyncio.Task[Any]) -> None:
    """Retrieves the exception, so that asyncio does not log it as never retrieved."""
    if not task.cancelled():
        task.exception()
