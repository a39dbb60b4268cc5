"""HTTP/1.1 server based on h11 with size limits, timeouts and backpressure."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import socket
import ssl
import struct
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing, nullcontext
from dataclasses import dataclass, field
from enum import Enum
from typing import Any, NamedTuple
from urllib.parse import parse_qsl, urlsplit

import h11

from wasabimux._clock import loop_time
from wasabimux.adapters.delivery import deliver, linger, undelivered_bytes
from wasabimux.adapters.http_client import has_unread_data, is_readable
from wasabimux.adapters.http_receiver import (
    DEFAULT_TRANSPORT_READ_BYTES,
    READ_BYTES,
    HttpReceiver,
    limit_reads,
)
from wasabimux.adapters.memory_ledger import (
    HELD_BY_CONNECTION,
    HELD_BY_FIELD,
    HeldBytes,
    process_ledger,
)
from wasabimux.adapters.turns import Turn
from wasabimux.decisions.log_sampling import LogSampler
from wasabimux.errors import ErrorCode, Ran, Refusal, RefusedError, refused
from wasabimux.ports import Headers

MAX_HEAD_BYTES = 32 * 1024

#: Bytes of further requests from which on no more are read while a request runs.
MAX_AHEAD_BYTES = 8 * 1024

#: Bytes that a connection reads at once where no body is awaited, and most bytes that
#: its reader keeps then.
HEAD_READ_BYTES = 16 * 1024
MAX_READER_BYTES = 2 * HEAD_READ_BYTES

#: Connections that wait to be accepted, and those accepted in one cycle of the event
#: loop. Some cycles pass before those beyond the bound on connections are closed.
LISTEN_BACKLOG = 256
ACCEPTED_AT_ONCE = 64

#: Bytes that a connection buffers beside a body that comes in several pieces.
RECEIVE_BUFFER_BYTES = READ_BYTES

WRITE_BUFFER_BYTES = 64 * 1024

#: Most cycles of the event loop in which connections are accepted before a listener
#: closes.
MAX_ACCEPT_ROUNDS = 64

#: Interval in s at which a drain looks for connections that have become idle.
DRAIN_CHECK_INTERVAL_S = 0.02

#: Longest time in s for which a connection whose client has all, and was told of the
#: end, waits until the client closes it.
LINGER_S = 2.0

#: Most responses on one connection in a drain; others are for requests sent ahead.
MAX_RESPONSES_IN_DRAIN = 50

#: Time in s after which a connection without a request is closed before a drain, if its
#: client was not told of the stop. Its next request then goes to another process.
UNTOLD_IDLE_S = 0.1

#: Cycles of the event loop after which an accepted connection is being served.
CONNECTION_START_CYCLES = 4

#: Maximum time to wait for a client that does not read a response, in s.
WRITE_TIMEOUT_S = 60.0

HTTP_1_0 = b"1.0"

#: Retry-After in s of a request for whose body there is no memory.
NO_MEMORY_RETRY_S = 1.0

#: Most log lines a second on responses that did not reach their clients.
MAX_LOG_LINES_PER_S = 10.0

#: Value of SO_LINGER with which a close resets the connection.
LINGER_RESET = struct.pack("ii", 1, 0)

logger = logging.getLogger("wasabimux.http")


class ConnectionEnded(ConnectionError):
    """Raised where a connection was lost or aborted before its request was whole."""


class HttpLimits(NamedTuple):
    """Limits on requests of clients.

    Attributes:
        max_body_bytes: Maximum size of a request body.
        header_timeout_s: Maximum time from the first byte of a head to its end.
        body_timeout_s: Maximum time without data within a body.
        idle_timeout_s: Maximum time between two requests on one connection.
    """

    max_body_bytes: int = 4 * 1024 * 1024
    header_timeout_s: float = 10.0
    body_timeout_s: float = 10.0
    idle_timeout_s: float = 10.0


@dataclass(slots=True)
class HttpRequest:
    """HTTP request as passed to a handler.

    Attributes:
        method: HTTP method as received.
        target: HTTP request target as received.
        headers: Headers with lower-case names.
        arrived_s: Loop time at which the head was complete, in s.
        body: Reads the whole body; raises RefusedError if it is malformed or
            exceeds a limit, ConnectionEnded if the connection was lost meanwhile.
        request_id: Identity of the request in logs, which its handler sets.
    """

    method: str
    target: str
    headers: Headers
    arrived_s: float
    body: Callable[[], Awaitable[bytes]]
    request_id: str = ""

    @property
    def path(self) -> str:
        """Path of the request target."""
        return urlsplit(self.target).path

    @property
    def query(self) -> dict[str, str]:
        """Query parameters; of repeated names, the last one counts."""
        return dict(parse_qsl(urlsplit(self.target).query, keep_blank_values=True))

    def header(self, name: bytes) -> bytes | None:
        """Returns the value of the first header with a lower-case name, or None."""
        for key, value in self.headers:
            if key == name:
                return value
        return None


class ResponseEnd(Enum):
    """How a response has ended."""

    COMPLETE = "complete"
    #: The client has closed its side of the connection, or reset it.
    CLIENT_GONE = "client_gone"
    #: The client has not read it for WRITE_TIMEOUT_S.
    UNREAD = "unread"
    #: Others needed the memory that it held.
    NO_MEMORY = "no_memory"
    #: The server was closed.
    STOPPED = "stopped"
    #: Its body ended with an error.
    FAILED = "failed"


@dataclass(slots=True)
class HttpResponse:
    """HTTP response with a complete or streamed body.

    Attributes:
        status: HTTP status code.
        headers: Headers without framing headers.
        body: Complete body, or a generator of chunks.
        length: Length of a streamed body in bytes, None if unknown.
        held: What the process holds of the body, freed once it is written.
        on_done: Called when the response has ended, with how it has.
        request_id: Identity of its request in logs.
    """

    status: int
    headers: Headers = field(default_factory=list)
    body: bytes | AsyncGenerator[bytes, None] = b""
    length: int | None = None
    held: HeldBytes | None = None
    on_done: Callable[[ResponseEnd], None] | None = None
    request_id: str = ""


Handler = Callable[[HttpRequest], Awaitable[HttpResponse]]


def json_response(status: int, value: object) -> HttpResponse:
    """Returns a response with a JSON value as its body."""
    headers = [(b"content-type", b"application/json")]
    return HttpResponse(status, headers, json.dumps(value).encode())


def refusal_response(refusal: Refusal) -> HttpResponse:
    """Returns the response that reports a refusal."""
    headers: Headers = [(b"content-type", b"application/json")]
    retry_after = refusal.retry_after_header
    if retry_after is not None:
        headers.append((b"retry-after", retry_after.encode()))
    return HttpResponse(refusal.status, headers, refusal.to_json())


class HttpServer:
    """HTTP server for one handler; a context manager that closes its connections.

    Args:
        handler: Returns the response to each request.
        limits: Limits on requests of clients.
        tls: TLS context, or None for plain HTTP.

    Attributes:
        limits: Limits on requests of clients, which may change.
        draining: True once each connection is closed after its next response.
        closed: True once all connections were aborted.
        sampler: Bounds the log lines of its connections.
    """

    def __init__(
        self,
        handler: Handler,
        limits: HttpLimits = HttpLimits(),
        tls: ssl.SSLContext | None = None,
    ) -> None:
        self._handler = handler
        self.limits = limits
        self._tls = tls
        self._server: asyncio.Server | None = None
        self._connections: set[_Connection] = set()
        self._closing_untold: asyncio.Task[None] | None = None
        self.draining = False
        self.closed = False
        self.sampler = LogSampler(MAX_LOG_LINES_PER_S)

    async def __aenter__(self) -> HttpServer:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.close()

    async def listen(self, host: str, port: int) -> tuple[str, int]:
        """Starts to listen; returns the bound host and port."""
        self._server = await asyncio.start_server(
            self._accept,
            host,
            port,
            ssl=self._tls,
            limit=HEAD_READ_BYTES // 2,  # it keeps up to twice as much and a read
            backlog=ACCEPTED_AT_ONCE,
        )
        for listener in self._server.sockets:
            _let_wait(listener.fileno(), LISTEN_BACKLOG)
        bound_address = self._server.sockets[0].getsockname()
        return bound_address[0], bound_address[1]

    def begin_drain(self) -> None:
        """Closes each connection after its next response; still accepts new ones.

        Requests that were sent ahead are answered first. A connection whose response
        had begun before, and so did not say it, is closed once it is idle.
        """
        self.draining = True
        self._closing_untold = asyncio.ensure_future(self._close_untold())

    async def _close_untold(self) -> None:
        """Closes connections that have become idle since the drain began."""
        while True:
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
            idle_since_s = loop_time() - UNTOLD_IDLE_S
            for connection in self._connections:
                if connection.untold and connection.waits_since_s <= idle_since_s:
                    connection.close_if_idle()

    async def drain(self, timeout_s: float) -> bool:
        """Stops accepting connections and waits for running requests.

        Args:
            timeout_s: Maximum time to wait, in s.

        Returns:
            True if all requests have ended.
        """
        self.draining = True
        self._stop_closing_untold()
        if self._server is not None:
            await _accept_waiting(self._server)
            self._server.close()
        deadline_s = loop_time() + timeout_s
        while not all(connection.delivered for connection in self._connections):
            if loop_time() > deadline_s:
                return False
            for connection in self._connections:
                connection.close_if_idle()
            await asyncio.sleep(DRAIN_CHECK_INTERVAL_S)
        return True

    def close(self) -> None:
        """Stops listening and aborts all connections."""
        self.closed = True
        self._stop_closing_untold()
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.abort(ResponseEnd.STOPPED)

    def _stop_closing_untold(self) -> None:
        if self._closing_untold is not None:
            self._closing_untold.cancel()

    def _make_room(self, connection: _Connection) -> bool:
        """Ends connections that wait for their clients, if there are too many.

        Returns:
            False if there is no memory for another one.
        """
        most = process_ledger().limits.connections
        while most is not None and len(self._connections) >= most:
            if not self._end_surplus():
                break
        while not connection.hold():
            if not self._end_surplus():
                return False
        return True

    def _end_surplus(self) -> bool:
        """Ends the connection that is spared most easily; returns if there was one."""
        surplus = self._find_surplus()
        if surplus is None:
            return False
        self._connections.discard(surplus)
        surplus.abort()
        surplus.free()
        return True

    def _find_surplus(self) -> _Connection | None:
        """Returns the connection that is spared most easily, None if all are busy.

        Idle ones come first, then those that have a part of a head, then those whose
        clients have not read all.
        """
        spare = [item for item in self._connections if not item.busy]
        spare.sort(key=lambda item: (item.delivering, item.waits_since_s))
        idle = (item for item in spare if item.is_idle())
        return next(idle, spare[0] if spare else None)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        connection = _Connection(self, self._handler, reader, writer)
        if not self._make_room(connection):
            writer.transport.abort()
            return
        self._connections.add(connection)
        try:
            await connection.serve()
            await connection.finish()
        except ConnectionError:
            connection.log_reset()
        except (OSError, TimeoutError, asyncio.CancelledError):
            pass  # the client disconnected, or the process is stopping
        except RefusedError:
            pass  # the response was aborted; its handler has recorded this
        finally:
            self._connections.discard(connection)
            connection.drop_data()
            connection.free()
            writer.close()


class _Connection:
    """Connection from a client.

    Attributes:
        delivering: True while it only waits for its client to have all.
        delivered: True once its client has all, and it only waits for its close.
        untold: True once a response that ended in a drain did not tell of it.
        waits_since_s: Loop time in s since which no request runs on it.
    """

    def __init__(
        self,
        server: HttpServer,
        handler: Handler,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self._server = server
        self._handler = handler
        self._reader = reader
        self._writer = writer
        self._http = h11.Connection(h11.SERVER, MAX_HEAD_BYTES)
        peer = writer.get_extra_info("peername")
        self._receiver = HttpReceiver(self._http, reader, Turn(peer))
        self._write_turn = Turn(peer)
        self._busy = False
        self._aborted: ResponseEnd | None = None
        self._written_request_id = ""
        self._responses_in_drain = 0
        self._is_client_gone = False
        self._is_head = False
        self._is_unread = False  # true while it waits for its client to read
        self._idle_wait: asyncio.Timeout | None = None
        self.delivering = False
        self.delivered = False
        self.untold = False
        self.waits_since_s = loop_time()
        self._held = HeldBytes(process_ledger())  # its head and body
        self._held_beside = HeldBytes(process_ledger())  # beside the request
        self._expects_continue = False
        self._body_read = asyncio.Event()
        writer.transport.set_write_buffer_limits(high=WRITE_BUFFER_BYTES)
        limit_reads(writer.transport, HEAD_READ_BYTES)

    async def serve(self) -> None:
        """Serves requests until the connection ends."""
        while await self._serve_next():
            self._hold_or_end()

    async def _serve_next(self) -> bool:
        """Serves a request; returns False if it was the last one, or none came.

        Nothing of the request is kept afterwards.
        """
        with self._held:
            request = await self._read_head()
            if request is None:
                return False
            self._busy = True
            self._held_beside.end_wait = None
            self._written_request_id = ""
            await self._respond(request)
        self._busy = False
        self.waits_since_s = loop_time()
        error = self._reader.exception()
        if error is not None:
            error.__traceback__ = None  # its frames would keep the request for long
        return self._prepare_next_request()

    def hold(self, further: int = 0) -> bool:
        """Counts what the connection holds beside its request.

        While it holds more than a connection without a request, others that need the
        memory may end it, unless a request runs whose answer the client reads.

        Args:
            further: Bytes that its buffers may come to hold.

        Returns:
            False if there is no room.
        """
        transport = self._writer.transport
        size = transport.get_write_buffer_size() + further
        size += len(self._http.trailing_data[0])
        size += len(self._reader._buffer)  # type: ignore[attr-defined]
        waits = size > 0 and (self._is_unread or not self._busy)
        self._held_beside.end_wait = self._end_for_memory if waits else None
        return self._held_beside.resize(HELD_BY_CONNECTION + size)

    def free(self) -> None:
        """Holds nothing any more."""
        self._held_beside.free()

    def _hold_or_end(self) -> None:
        """Counts what the connection holds, and ends it if there is no room."""
        if not self.hold():
            self._end_for_memory()

    def _end_for_memory(self) -> None:
        self.abort(ResponseEnd.NO_MEMORY)

    @property
    def busy(self) -> bool:
        """True while a request runs on the connection."""
        return self._busy

    def is_idle(self) -> bool:
        """Returns whether no request has begun and its client has all."""
        if self.delivered:
            return True
        return (
            self._idle_wait is not None
            and not undelivered_bytes(self._writer)
            and not self._has_request_begun()
        )

    def close_if_idle(self) -> None:
        """Closes the connection if it waits for a request and all was read."""
        idle_wait = self._idle_wait
        if idle_wait is not None and not idle_wait.expired() and self.is_idle():
            idle_wait.reschedule(loop_time())  # ends the wait, see _await_request

    async def finish(self) -> None:
        """Waits until all that was written has reached the client.

        Nothing is read from a client that has all and was not told of the end: if it
        sends another request, the reset shows that it was not read.
        """
        writer = self._writer
        was_told = self._http.our_state is h11.MUST_CLOSE and not self._reader.at_eof()
        if writer.is_closing() or not (was_told or undelivered_bytes(writer)):
            return
        self.delivering = True
        if not await deliver(self._reader, writer, WRITE_TIMEOUT_S):
            self.abort(ResponseEnd.UNREAD)
            return
        self.delivering, self.delivered = False, True
        if was_told:
            await linger(self._reader, LINGER_S)

    def _has_request_begun(self) -> bool:
        """Returns whether data waits to be read, in this process or in the socket."""
        return (
            bool(self._http.trailing_data[0])
            or bool(self._reader._buffer)  # type: ignore[attr-defined]
            or has_unread_data(self._writer)
        )

    def drop_data(self) -> None:
        """Drops what was received and not read, which an error may keep for long."""
        buffered = self._reader._buffer  # type: ignore[attr-defined]
        if buffered and not self._is_client_gone:
            last_id, size = self._written_request_id, len(buffered)
            self._log("event=data_dropped request_id=%s bytes=%d", last_id, size)
        buffered.clear()

    def abort(self, end: ResponseEnd = ResponseEnd.FAILED) -> None:
        """Aborts the connection immediately.

        To a client of HTTP/1.0, whose response may end with the connection, only a
        reset shows that the response is incomplete.

        Args:
            end: How this ends a response that is being written.
        """
        self._aborted = self._aborted or end
        undelivered = undelivered_bytes(self._writer)
        if self._written_request_id and undelivered:
            self._log_undelivered(undelivered)
        if self._http.their_http_version == HTTP_1_0:
            _reset_on_close(self._writer)
        self._writer.transport.abort()

    def log_reset(self) -> None:
        """Logs that the client may lack a part of a response that was written."""
        if self._written_request_id and not self._aborted:
            self._log_undelivered("unknown")

    def _log_undelivered(self, size: int | str) -> None:
        """Logs how many bytes of a response that was written are lost."""
        request_id = self._written_request_id
        self._log("event=answer_undelivered request_id=%s bytes=%s", request_id, size)

    def _log(self, text: str, *values: object) -> None:
        """Logs a line, unless the connections of the server have logged too many."""
        left_out = self._server.sampler.admit(loop_time())
        if left_out is not None:
            logger.warning(f"{text} left_out=%d", *values, left_out)

    def _prepare_next_request(self) -> bool:
        """Prepares for the next request; returns False if the connection must end.

        In a drain, a client that was not told of the end may send another one.
        """
        if self._http.our_state is not h11.DONE:
            return False
        if self._http.their_state is not h11.DONE:
            return False
        self._http.start_next_cycle()
        self.untold = self._server.draining
        return True

    async def _read_head(self) -> HttpRequest | None:
        """Returns the next request after reading its head, or None if there is none."""
        try:
            event = await self._read_head_event()
        except TimeoutError:
            if self._http.trailing_data[0]:
                await self._reject_head("timeout while reading the request head", 408)
            return None
        except h11.RemoteProtocolError as error:
            await self._reject_head(str(error), error.error_status_hint)
            return None
        if not isinstance(event, h11.Request):
            return None
        self._expects_continue = self._http.they_are_waiting_for_100_continue
        self._is_head = event.method == b"HEAD"
        headers = [(bytes(name), bytes(value)) for name, value in event.headers]
        if not (self.hold() and self._held.add(_head_size(headers))):
            no_memory = refusal_response(_no_memory_error().refusal)
            await self._write_response(no_memory, close=True)
            return None
        refusal = _check_framing(headers, self._server.limits.max_body_bytes)
        if refusal is not None:
            await self._write_response(refusal_response(refusal), close=True)
            return None
        self._body_read.clear()
        if not _has_body(headers):
            await self._read_body()
        return HttpRequest(
            event.method.decode("ascii"),
            event.target.decode("latin-1"),
            headers,
            asyncio.get_running_loop().time(),
            self._read_body,
        )

    async def _read_head_event(self) -> Any:
        """Returns the event of a head; the header timeout starts at its first byte."""
        limits = self._server.limits
        event = self._receiver.event_at_hand()
        if event is h11.NEED_DATA:
            if not self._http.trailing_data[0]:
                self._http.receive_data(await self._await_request())
                event = self._receiver.event_at_hand()
        if event is h11.NEED_DATA:
            async with asyncio.timeout(limits.header_timeout_s):
                event = await self._receiver.next_event(
                    HEAD_READ_BYTES, self._hold_or_end
                )
        return event

    async def _await_request(self) -> bytes:
        """Returns the first bytes of the next request, empty at the end of data.

        A client that still reads the last response is not idle.

        Raises:
            TimeoutError: None came within the idle timeout, or the server drains.
        """
        undelivered = None
        while True:
            try:
                idle_timeout_s = self._server.limits.idle_timeout_s
                async with asyncio.timeout(idle_timeout_s) as self._idle_wait:
                    return await self._reader.read(HEAD_READ_BYTES)
            except TimeoutError:
                if self._has_request_begun():  # it came with the timeout
                    return await self._reader.read(HEAD_READ_BYTES)
                before, undelivered = undelivered, undelivered_bytes(self._writer)
                if not undelivered or undelivered == before:
                    raise
            finally:
                self._idle_wait = None

    async def _read_body(self) -> bytes:
        if self._body_read.is_set():
            return b""  # no body, or already read
        if self._expects_continue:
            self._expects_continue = False
            interim_response = h11.InformationalResponse(status_code=100, headers=[])
            self._write(self._http.send(interim_response))
        body = bytearray()
        limit_reads(self._writer.transport, READ_BYTES)
        self._held.end_wait = self._end_body
        try:
            await self._receive_body(body)
            self._body_read.set()
            return bytes(body)
        finally:
            self._held.end_wait = None
            limit_reads(self._writer.transport, HEAD_READ_BYTES)
            body.clear()  # the frames of an error would keep it for long

    async def _receive_body(self, body: bytearray) -> None:
        """Receives the rest of a body.

        Raises:
            RefusedError: It is malformed or too large, there is no memory for it, or
                no data came in time.
            ConnectionEnded: The connection was lost or aborted.
        """
        is_large = False
        while True:
            try:
                async with asyncio.timeout(self._server.limits.body_timeout_s):
                    event = await self._receiver.next_event()
            except TimeoutError:
                raise refused(
                    ErrorCode.BAD_REQUEST, "timeout while reading the request body"
                )
            except OSError as error:
                raise ConnectionEnded(str(error)) from error
            except h11.RemoteProtocolError as error:
                if self._aborted is not None:
                    raise ConnectionEnded(str(error)) from error
                raise refused(ErrorCode.BAD_REQUEST, str(error))
            if not isinstance(event, h11.Data):
                return
            buffers = 0
            if not is_large and len(body) + len(event.data) > READ_BYTES:
                is_large, buffers = True, RECEIVE_BUFFER_BYTES
                limit_reads(self._writer.transport, DEFAULT_TRANSPORT_READ_BYTES)
            if not self._held.add(len(event.data) + buffers):
                del event  # the frames of an error would keep it for long
                raise _no_memory_error()
            body += event.data
            if len(body) > self._server.limits.max_body_bytes:
                raise refused(ErrorCode.TOO_LARGE, "request body is too large")

    def _end_body(self) -> None:
        """Ends the wait for the rest of a body."""
        self._reader.set_exception(_no_memory_error())

    async def _respond(self, request: HttpRequest) -> None:
        """Runs the handler and sends its response, unless the client disconnects."""
        handling = asyncio.ensure_future(self._handle_and_write(request))
        disconnect = asyncio.ensure_future(self._wait_for_disconnect())
        try:
            await asyncio.wait(
                {handling, disconnect}, return_when=asyncio.FIRST_COMPLETED
            )
            if not handling.done():
                self._is_client_gone = True
                handling.cancel()
                self._log_unread(request.request_id)
            await asyncio.wait({handling})
            if handling.cancelled():
                if not self._is_client_gone:
                    self._log(
                        "event=handler_cancelled request_id=%s", request.request_id
                    )
                self.abort()
            elif (error := handling.exception()) is not None:
                disconnect.cancel()
                await asyncio.wait({disconnect})
                await self._cut(error)
                raise error
        finally:
            disconnect.cancel()
            handling.cancel()
            await asyncio.wait({handling, disconnect})

    async def _cut(self, error: BaseException) -> None:
        """Ends a response that is not complete, behind what was written before it.

        To a client of HTTP/1.0 only a reset shows that it is not complete.
        """
        is_unread = isinstance(error, TimeoutError)
        if not is_unread and self._http.their_http_version != HTTP_1_0:
            await self.finish()
        self.abort()

    def _log_unread(self, request_id: str) -> None:
        """Logs what a client that has left sent behind the request that it left."""
        size = len(self._http.trailing_data[0])
        if size:
            self._log("event=data_unread request_id=%s bytes=%d", request_id, size)

    async def _wait_for_disconnect(self) -> None:
        """Returns once the client has closed its side of the connection."""
        await self._body_read.wait()
        while len(self._http.trailing_data[0]) < MAX_AHEAD_BYTES:
            data = await self._reader.read(MAX_AHEAD_BYTES)
            self._http.receive_data(data)
            if not data:
                return
            if not self.hold(MAX_READER_BYTES):
                break
        await asyncio.Event().wait()  # leave further data in the socket buffer

    async def _handle_and_write(self, request: HttpRequest) -> None:
        try:
            response = await self._handler(request)
        except RefusedError as error:
            response = refusal_response(error.refusal)
        except ConnectionEnded:
            raise
        except Exception:
            logger.exception(
                "event=handler_failed request_id=%s target_path=%s",
                request.request_id,
                request.path,
            )
            internal_error = Refusal(ErrorCode.INTERNAL, "internal error", Ran.UNKNOWN)
            response = refusal_response(internal_error)
        with response.held or nullcontext():
            await self._write_and_tell(response)

    async def _write_and_tell(self, response: HttpResponse) -> None:
        """Writes a response, and tells how it has ended."""
        end = ResponseEnd.FAILED
        try:
            body_is_unread = not self._body_read.is_set()
            await self._write_response(response, close=body_is_unread)
            end = ResponseEnd.COMPLETE
            self._written_request_id = response.request_id
        except TimeoutError:
            end = ResponseEnd.UNREAD
            raise
        except OSError:
            end = self._aborted or ResponseEnd.CLIENT_GONE
            raise
        except asyncio.CancelledError:
            if self._is_client_gone:
                end = ResponseEnd.CLIENT_GONE
            end = self._aborted or end
            raise
        finally:
            if response.on_done is not None:
                response.on_done(end)

    async def _write_response(self, response: HttpResponse, close: bool) -> None:
        headers = list(response.headers)
        if isinstance(response.body, bytes):
            headers.append((b"content-length", str(len(response.body)).encode()))
        elif response.length is not None:
            headers.append((b"content-length", str(response.length).encode()))
        if close or self._is_last_response():
            headers.append((b"connection", b"close"))
        head = h11.Response(status_code=response.status, headers=headers)
        self._write(self._http.send(head))
        if self._is_head:
            await _drop_body(response)
        elif isinstance(response.body, bytes):
            await self._write_body(response)
        else:
            async with aclosing(response.body) as chunks:
                async for chunk in chunks:
                    started_s = loop_time()
                    self._write(self._http.send(h11.Data(data=chunk)))
                    self._write_turn.add(1, len(chunk), loop_time() - started_s)
                    await self._flush()
                    if self._write_turn.is_over:
                        await self._write_turn.hand_over()
        self._write(self._http.send(h11.EndOfMessage()))
        await self._flush()

    def _is_last_response(self) -> bool:
        """Returns whether the client is told that the connection ends."""
        if not self._server.draining:
            return False
        self._responses_in_drain += 1
        at_most = self._responses_in_drain >= MAX_RESPONSES_IN_DRAIN
        return at_most or not self._has_request_begun()

    async def _write_body(self, response: HttpResponse) -> None:
        """Writes a complete body; a large one as the client reads it."""
        assert isinstance(response.body, bytes)
        data = self._http.send(h11.Data(data=response.body)) or b""
        if len(data) <= WRITE_BUFFER_BYTES:
            self._write(data)
            return
        if response.held is not None:
            response.held.end_wait = self._end_for_memory
        response.body = b""
        with memoryview(data) as view:
            data = b""  # the frames of an error would keep it for long
            for start in range(0, len(view), WRITE_BUFFER_BYTES):
                self._writer.write(bytes(view[start : start + WRITE_BUFFER_BYTES]))
                await self._flush()

    async def _reject_head(self, message: str, status: int) -> None:
        refusal = Refusal(ErrorCode.BAD_REQUEST, message)
        response = refusal_response(refusal)
        response.status = status
        if self._http.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            await self._write_response(response, close=True)

    def _write(self, data: bytes | None) -> None:
        if data:
            self._writer.write(data)

    async def _flush(self) -> None:
        """Waits until the transport takes more.

        Raises:
            OSError: The connection was lost, or aborted by this process.
            TimeoutError: The client has not read for WRITE_TIMEOUT_S.
        """
        size = self._writer.transport.get_write_buffer_size()
        if size:  # empty in nearly all cases
            await self._wait_for_reader(size)
        if self._aborted is not None:  # which empties the buffer, without an error
            raise ConnectionAbortedError("the connection was aborted")

    async def _wait_for_reader(self, size: int) -> None:
        """Waits until the client reads; others that need the memory may end this.

        Args:
            size: Bytes that are written and not sent.
        """
        self._is_unread = True
        if size > WRITE_BUFFER_BYTES:
            self._hold_or_end()
        try:
            async with asyncio.timeout(WRITE_TIMEOUT_S):
                await self._writer.drain()
        finally:
            self._is_unread = False
            self._held_beside.end_wait = None


async def _drop_body(response: HttpResponse) -> None:
    """Drops a body that is not sent."""
    if not isinstance(response.body, bytes):
        await response.body.aclose()


def _reset_on_close(writer: asyncio.StreamWriter) -> None:
    connection: socket.socket | None = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)


def _let_wait(listener: int, connections: int) -> None:
    """Lets so many connections wait at a listener, given by its descriptor."""
    with socket.socket(fileno=os.dup(listener)) as duplicate:
        duplicate.listen(connections)


async def _accept_waiting(server: asyncio.Server) -> None:
    """Accepts the connections that were opened before the listener closes."""
    for _ in range(MAX_ACCEPT_ROUNDS):
        if not any(is_readable(item.fileno()) for item in server.sockets):
            break
        await asyncio.sleep(0)
    for _ in range(CONNECTION_START_CYCLES):
        await asyncio.sleep(0)


def _head_size(headers: Headers) -> int:
    """Returns the held bytes as which the fields of a parsed head count."""
    texts = sum(len(name) + len(value) for name, value in headers)
    return texts + HELD_BY_FIELD * len(headers)


def _no_memory_error() -> RefusedError:
    """Returns the refusal of a body for which the process has no memory."""
    text = "the process has no memory for the request now"
    return RefusedError(
        Refusal(ErrorCode.OVERLOADED, text, retry_after_s=NO_MEMORY_RETRY_S)
    )


def _has_body(headers: Headers) -> bool:
    return any(
        name == b"transfer-encoding" or (name == b"content-length" and value != b"0")
        for name, value in headers
    )


def _check_framing(headers: Headers, max_body_bytes: int) -> Refusal | None:
    """Returns a refusal if the body's length is ambiguous or over the limit.

    Proxies may interpret ambiguous framing differently.
    """
    content_lengths = [value for name, value in headers if name == b"content-length"]
    transfer_encodings = [
        value for name, value in headers if name == b"transfer-encoding"
    ]
    if len(content_lengths) > 1 or (content_lengths and transfer_encodings):
        return Refusal(ErrorCode.BAD_REQUEST, "ambiguous length of the request body")
    if content_lengths and int(content_lengths[0]) > max_body_bytes:
        return Refusal(ErrorCode.TOO_LARGE, "request body is too large")
    return None
