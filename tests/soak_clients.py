"""Requests, clients and runners of the soak of stops."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
from collections.abc import AsyncGenerator, Iterator, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from tests.relay_fixtures import API_KEY, HOST
from wasabimux._clock import loop_time
from wasabimux.adapters.http_server import HttpResponse
from wasabimux.errors import ErrorCode, refused
from wasabimux.platform import headers as header_names
from wasabimux.platform.standins.runner import RunRecord, StandInRunner

#: Time in s between the events of a stream.
EVENT_INTERVAL_S = 0.02

#: Time in s after which a client connects again.
RETRY_S = 0.1

#: Receive buffer in bytes of clients that read slowly, and of the proxies.
BUFFER_BYTES = 8 * 1024

#: Time limit of each request in ms, longer than all that the soak does.
DEADLINE_MS = 14_000

#: Pieces in which slow bodies are sent and long answers are made.
PIECES = 8

STREAM_ROUTES = ("gen", "once")

#: Events of streams and filling of each in bytes, and bytes of plain answers.
STREAMS = ((10, 0), (200, 0), (25, 1_500), (100, 1_500))
ANSWERS = ((20, 0), (120_000, 0), (120_000, 0))

REPEATABLE_ROUTES = ("safe", "gen")


@dataclass(slots=True, eq=False)
class Answer:
    """What a client got for a request; it is filled while it arrives."""

    status: int = 0
    headers: dict[bytes, bytes] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray, repr=False)
    whole: bool = False

    @property
    def closes(self) -> bool:
        """True if the server closes the connection after it."""
        return self.headers.get(b"connection") == b"close"


@dataclass(slots=True, eq=False)
class Request:
    """A request of a client, and what became of it.

    Attributes:
        id: Identity of the request.
        route: Route, `safe`, `unsafe`, `gen` or `once`.
        size: Bytes of a plain answer, or events of a stream.
        event_bytes: Bytes of filling in each event.
        work_s: Time in s that the runner takes, and the body takes to send.
        pieces: True if the runner makes a plain answer in pieces without a length.
        closes: True if it asks for the end of the connection.
        leaves_after_s: Time in s after which the client leaves, None if it stays.
        relay: Index of the relay that it was sent to.
        sent_s: Loop time at which it was sent whole, 0 if it was not.
        first_s: Loop time since which no request before it waits, 0 if one does.
        ended_s: Loop time of the end of its answer or channel.
        paused_s: Time in s in which the client paused while it read the answer.
        left: True if the client left.
        proxied: True if it was sent through a proxy.
    """

    id: str
    route: str
    size: int
    event_bytes: int
    work_s: float
    pieces: bool
    closes: bool
    leaves_after_s: float | None
    answer: Answer = field(default_factory=Answer)
    relay: int = 0
    sent_s: float = 0.0
    first_s: float = 0.0
    ended_s: float = 0.0
    paused_s: float = 0.0
    left: bool = False
    proxied: bool = False

    @property
    def body(self) -> bytes:
        """Body of the request."""
        return f"body of {self.id}".encode() * PIECES

    @property
    def whole_answer(self) -> bytes:
        """Body of its answer."""
        if self.route in STREAM_ROUTES:
            numbers = range(1, self.size + 1)
            return b"".join(event_of(self.id, n, self.event_bytes) for n in numbers)
        return plain_answer(self.id, self.size)

    def head(self) -> bytes:
        """Returns its head."""
        lines = [
            f"POST /{self.route}/1 HTTP/1.1",
            f"host: {HOST}",
            f"wasabimux-request-id: {self.id}",
            f"wasabimux-deadline-ms: {DEADLINE_MS}",
            f"authorization: Bearer {API_KEY}",
            f"x-size: {self.size}",
            f"x-event-bytes: {self.event_bytes}",
            f"x-work-s: {self.work_s}",
            f"x-pieces: {int(self.pieces)}",
            f"content-length: {len(self.body)}",
        ]
        if self.route in STREAM_ROUTES:
            lines.append("wasabimux-token-count: 100,60")
        if self.closes:
            lines.append("connection: close")
        return "\r\n".join([*lines, "", ""]).encode()


def event_of(request_id: str, number: int, filling_bytes: int) -> bytes:
    """Returns an event of the answer to a stream."""
    filling = "." * filling_bytes
    return f"id: {number}\ndata: {request_id} token-{number}{filling}\n\n".encode()


def plain_answer(request_id: str, size: int) -> bytes:
    """Returns the answer of so many bytes to a plain request."""
    text = f"answer to {request_id};".encode()
    return (text * (size // len(text) + 1))[:size]


@dataclass(slots=True, eq=False)
class Work:
    """A request at a runner; `ended_s` is the loop time of its end, 0 before it."""

    record: RunRecord
    ended_s: float = 0.0
    complete: bool = False

    @contextlib.contextmanager
    def under_way(self) -> Iterator[None]:
        """Notes the end of the work, which is complete unless an error ends it."""
        try:
            yield
            self.complete = self.record.completed = True
        finally:
            self.ended_s = loop_time()


class SoakRunner(StandInRunner):
    """A runner whose answers tell which request they belong to."""

    def __init__(self, runner_id: str, service: str, phase: str | None = None) -> None:
        super().__init__(runner_id, service, phase=phase)
        self.works: list[Work] = []

    async def _run(self, headers: dict[bytes, bytes], body: bytes) -> HttpResponse:
        response = await super()._run(headers, body)
        if b"x-size" not in headers or header_names.STAGE in headers:
            return response
        record = next(run for run in self.runs if run.headers is headers)
        work = Work(record)
        self.works.append(work)
        size = int(headers[b"x-size"])
        if self.phase is not None:
            first = int(headers.get(header_names.LAST_EVENT_ID, b"0")) + 1
            response.body = self._events(work, first, size)
            return response
        response.body = plain_answer(record.request_id, size)
        work_s = float(headers[b"x-work-s"])
        if headers[b"x-pieces"] == b"1":
            response.body = _in_pieces(work, response.body, work_s)
            return response
        with work.under_way():
            await asyncio.sleep(work_s)
        return response

    async def _events(
        self, work: Work, first: int, last: int
    ) -> AsyncGenerator[bytes, None]:
        work.record.completed = False
        filling_bytes = int(work.record.headers[b"x-event-bytes"])
        with work.under_way():
            for number in range(first, last + 1):
                if work.record in self._migrated_runs:
                    raise refused(ErrorCode.CANCELLED, "the stream migrates")
                yield event_of(work.record.request_id, number, filling_bytes)
                await asyncio.sleep(EVENT_INTERVAL_S)


async def _in_pieces(
    work: Work, answer: bytes, work_s: float
) -> AsyncGenerator[bytes, None]:
    size = len(answer) // PIECES + 1
    with work.under_way():
        for start in range(0, len(answer), size):
            yield answer[start : start + size]
            await asyncio.sleep(work_s / PIECES)


class Pace(NamedTuple):
    """How a client reads: bytes at once, pause in s after them, small buffer or not."""

    read_bytes: int
    pause_s: float
    small_buffer: bool


FAST = Pace(65_536, 0, False)

#: Paces of clients; most read slowly.
PACES = (FAST, Pace(2_000, 0.015, True), Pace(1_000, 0.015, True))


class AnswerReader:
    """Reads answers from a connection at a pace.

    Attributes:
        data: Bytes received that belong to no answer yet.
        paused_s: Time in s of all pauses.
    """

    def __init__(self, connection: socket.socket, pace: Pace) -> None:
        self._connection = connection
        self._pace = pace
        self.data = bytearray()
        self.paused_s = 0.0

    async def read(self, answer: Answer) -> None:
        """Reads an answer; raises EOFError if the channel ends before its end."""
        while answer.status // 100 in (0, 1):
            lines = (await self._until(b"\r\n\r\n")).split(b"\r\n")
            answer.status = int(lines[0].split()[1])
        fields = [line.split(b":", 1) for line in lines[1:] if line]
        answer.headers = {name.lower(): value.strip() for name, value in fields}
        if b"content-length" in answer.headers:
            await self._move(int(answer.headers[b"content-length"]), answer.body)
        else:
            assert answer.headers.get(b"transfer-encoding") == b"chunked"
            while size := int(await self._until(b"\r\n"), 16):
                await self._move(size, answer.body)
                await self._until(b"\r\n")
            await self._until(b"\r\n")
        answer.whole = True

    async def _until(self, mark: bytes) -> bytes:
        while (end := self.data.find(mark)) < 0:
            await self._receive()
        line = bytes(self.data[:end])
        del self.data[: end + len(mark)]
        return line

    async def _move(self, size: int, target: bytearray) -> None:
        while size:
            if not self.data:
                await self._receive()
            piece = self.data[:size]
            target += piece
            del self.data[: len(piece)]
            size -= len(piece)

    async def _receive(self) -> None:
        loop = asyncio.get_running_loop()
        try:
            data = await loop.sock_recv(self._connection, self._pace.read_bytes)
        except ConnectionError as error:
            raise EOFError from error
        if not data:
            raise EOFError
        self.data += data
        if self._pace.pause_s:
            started_s = loop_time()
            await asyncio.sleep(self._pace.pause_s)
            self.paused_s += loop_time() - started_s


async def connect(port: int, small_buffer: bool) -> socket.socket:
    """Returns a connection; raises OSError if nobody listens."""
    connection = socket.socket()
    if small_buffer:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    connection.setblocking(False)
    try:
        await asyncio.get_running_loop().sock_connect(connection, ("127.0.0.1", port))
    except OSError:
        connection.close()
        raise
    return connection


class Proxy:
    """A proxy on the way to a relay that passes answers on slowly.

    Args:
        target_port: Port of the relay.

    Attributes:
        port: Port on which it serves.
    """

    READ_BYTES = 4_096
    PAUSE_S = 0.02

    def __init__(self, target_port: int) -> None:
        self._target_port = target_port
        self.port = 0

    async def listen(self) -> asyncio.Server:
        """Starts to listen."""
        server = await asyncio.start_server(self._pass_on, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]
        return server

    async def _pass_on(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError), contextlib.closing(writer):
            connection = await connect(self._target_port, small_buffer=True)
            with contextlib.closing(connection):
                requests = asyncio.ensure_future(
                    self._pass_requests(reader, connection)
                )
                answers = asyncio.ensure_future(self._pass_answers(connection, writer))
                try:  # until the client closes, as a close may destroy what it has not
                    await requests
                finally:
                    answers.cancel()
                    await asyncio.wait({answers})

    async def _pass_requests(
        self, reader: asyncio.StreamReader, connection: socket.socket
    ) -> None:
        loop = asyncio.get_running_loop()
        while data := await reader.read(self.READ_BYTES):
            with contextlib.suppress(ConnectionError):
                await loop.sock_sendall(connection, data)

    async def _pass_answers(
        self, connection: socket.socket, writer: asyncio.StreamWriter
    ) -> None:
        loop = asyncio.get_running_loop()
        with contextlib.suppress(OSError):
            while data := await loop.sock_recv(connection, self.READ_BYTES):
                writer.write(data)
                await writer.drain()
                await asyncio.sleep(self.PAUSE_S)
        with contextlib.suppress(OSError):
            writer.write_eof()


class SoakClient:
    """A client that sends requests until a moment, and reads all answers.

    Args:
        name: Name of the client, which begins the identities of its requests.
        rng: Source of its choices.
        ports: Ports of each relay, the relay's own and a proxy's.
        ends_s: Loop time in s after which it begins nothing new.
        routes: Routes of its requests.

    Attributes:
        requests: The requests that it has sent, or has begun to send.
        stray_bytes: Bytes that came with no request waiting.
    """

    def __init__(
        self,
        name: str,
        rng: random.Random,
        ports: list[tuple[int, int]],
        ends_s: float,
        routes: Sequence[str],
    ) -> None:
        self._name = name
        self._rng = rng
        self._ports = ports
        self._ends_s = ends_s
        self._routes = routes
        self._pace = rng.choice(PACES)
        self._proxied = rng.random() < 0.25
        self._pipelines = rng.random() < 0.3
        self.requests: list[Request] = []
        self.stray_bytes = b""

    async def run(self) -> None:
        """Sends requests on one connection after the other."""
        while loop_time() < self._ends_s:
            relay = self._rng.randrange(len(self._ports))
            port = self._ports[relay][self._proxied]
            try:
                connection = await connect(port, self._pace.small_buffer)
            except OSError:
                await asyncio.sleep(RETRY_S)
                continue
            with contextlib.closing(connection):
                await self._use(connection, relay)

    async def _use(self, connection: socket.socket, relay: int) -> None:
        """Sends requests on a connection until it ends."""
        reader = AnswerReader(connection, self._pace)
        while loop_time() < self._ends_s:
            batch = self._draw_batch(relay)
            self.requests += batch
            sending = asyncio.ensure_future(self._send_batch(connection, batch))
            for request in batch:
                if not await self._receive(reader, request):
                    sending.cancel()
                    self._end(batch)
                    await asyncio.sleep(0 if request.answer.whole else RETRY_S)
                    return
            await sending
            self.stray_bytes += bytes(reader.data)
            await asyncio.sleep(self._rng.choice([0, 0, 0.1, 0.3, 0.8]))

    def _draw_batch(self, relay: int) -> list[Request]:
        size = self._rng.randint(1, 3) if self._pipelines else 1
        batch = [self._draw_request(number) for number in range(size)]
        for request in batch:
            request.relay, request.proxied = relay, self._proxied
        return batch

    def _draw_request(self, number: int) -> Request:
        rng = self._rng
        route = rng.choice(self._routes)
        size, event_bytes = rng.choice(STREAMS if route in STREAM_ROUTES else ANSWERS)
        return Request(
            id=f"{self._name}-{len(self.requests) + number}",
            route=route,
            size=size,
            event_bytes=event_bytes,
            work_s=rng.choice([0.0, 0.0, 0.05, 0.5]),
            pieces=rng.random() < 0.3,
            closes=rng.random() < 0.15,
            leaves_after_s=rng.uniform(0, 1.5) if rng.random() < 0.1 else None,
        )

    async def _send_batch(
        self, connection: socket.socket, batch: list[Request]
    ) -> None:
        """Sends requests at once, or while answers to earlier ones are read."""
        pause_s = self._rng.choice([0, 0.2, 0.5])
        for number, request in enumerate(batch):
            await asyncio.sleep(pause_s if number else 0)
            await self._send(connection, request)

    async def _send(self, connection: socket.socket, request: Request) -> None:
        """Sends a request, its body slowly if the choice falls so."""
        loop = asyncio.get_running_loop()
        pieces = [request.head() + request.body]
        if self._rng.random() < 0.2:
            size = len(request.body) // PIECES
            starts = range(0, len(request.body), size)
            pieces = [request.body[start : start + size] for start in starts]
            pieces.insert(0, request.head())
        with contextlib.suppress(ConnectionError):
            for number, piece in enumerate(pieces):
                await asyncio.sleep(request.work_s / PIECES if number else 0)
                await loop.sock_sendall(connection, piece)
            request.sent_s = loop_time()

    async def _receive(self, reader: AnswerReader, request: Request) -> bool:
        """Reads an answer; returns False if it is the connection's last one."""
        paused_s, request.first_s = reader.paused_s, loop_time()
        try:
            async with asyncio.timeout(request.leaves_after_s):
                await reader.read(request.answer)
        except TimeoutError:
            request.left = True
        except EOFError:
            pass
        request.ended_s = loop_time()
        request.paused_s = reader.paused_s - paused_s
        return request.answer.whole and not request.answer.closes

    def _end(self, batch: list[Request]) -> None:
        """Notes the end of the connection on which a batch was sent."""
        left = any(request.left for request in batch)
        for request in batch:
            request.ended_s = request.ended_s or loop_time()
            request.left = request.left or (left and not request.answer.whole)
