"""Servers that send bytes without end, wherever an upstream or the store is read."""

from __future__ import annotations

import asyncio
import contextlib
import tracemalloc
from collections.abc import AsyncGenerator, Awaitable, Callable, Iterator
from dataclasses import replace
from typing import Any, NamedTuple, cast

import pytest

from tests.raw_upstream import (
    HEAD_END,
    NOT_EXECUTED,
    RawRequest,
    answer,
    read_request,
    served_in_place,
)
from tests.relay_fixtures import RelayCluster, relay_cluster
from tests.selector_fixtures import upstream_record
from wasabimux.adapters.engine_client import EngineClient
from wasabimux.adapters.platform_client import PlatformClient
from wasabimux.adapters.service_client import ServiceClient
from wasabimux.agent.admission import AdmissionController
from wasabimux.agent.calls import CallWorker
from wasabimux.errors import ErrorCode, RefusedError
from wasabimux.ids import RequestId, StoreRevision, UpstreamId
from wasabimux.link.messages import OpenStream, Operation
from wasabimux.link.stream import LinkStream, StreamCancelled
from wasabimux.platform.engine import PlatformEngineCodec
from wasabimux.platform.store import PlatformStoreClient
from wasabimux.ports import StoreUnavailable, UpstreamLost
from wasabimux.relay.ports import EngineCall, PhaseChangeCommand
from wasabimux.relay.upstreams import Upstream
from wasabimux.settings.views import UpstreamSettings
from wasabimux.timeline import Timeline

#: Most bytes that a server writes before the test takes it for never closed; what the
#: system holds on the way counts too.
ENDLESS_BYTES = 64 * 1024 * 1024

#: Most memory in bytes that one answer may take: 8 MB of a body that is read whole,
#: which is joined once, and what is received at once.
MAX_PEAK_BYTES = 3 * 8 * 1024 * 1024

#: Time in s in which a server that sends without end is to be left.
CLOSE_TIMEOUT_S = 10.0

#: Most requests until one takes the path under test.
MAX_REQUESTS = 10

#: Answers that stall together, and the bytes of each that come before.
LONG_ANSWERS = 12
LONG_BODY_BYTES = 7_000_000

#: Size in bytes of one write.
PART_BYTES = 64 * 1024

CHUNKED = b"transfer-encoding: chunked\r\n\r\n"


class Endless(NamedTuple):
    """What a server sends without end.

    Attributes:
        lines: Follows the first lines of a head, None to send no head.
        part: Comes again and again after that.
    """

    lines: bytes | None
    part: bytes


def repeated(piece: bytes) -> bytes:
    """Returns a part of the usual size made of whole pieces."""
    return piece * (PART_BYTES // len(piece))


KINDS = {
    "no-http": Endless(None, repeated(b"no answer at all ")),
    "header-line": Endless(b"x-long: ", repeated(b"y")),
    "header-count": Endless(b"", repeated(b"x-more: 1\r\n")),
    "interim": Endless(None, repeated(b"HTTP/1.1 103 Early Hints\r\n\r\n")),
    "length": Endless(b"content-length: 999999999999\r\n\r\n", repeated(b"z")),
    "no-length": Endless(b"\r\n", repeated(b"z")),
    "chunks": Endless(CHUNKED, b"10000\r\n" + b"z" * 0x10000 + b"\r\n"),
    "chunk-size": Endless(CHUNKED, repeated(b"1")),
    "chunk-extension": Endless(CHUNKED + b"1;x=", repeated(b"e")),
    "trailer-line": Endless(CHUNKED + b"0\r\nx-long: ", repeated(b"t")),
    "trailer-count": Endless(CHUNKED + b"0\r\n", repeated(b"x-more: 1\r\n")),
}


class EndlessServer:
    """Sends one kind of bytes until its client closes.

    Args:
        kind: Name of the kind.

    Attributes:
        begun: Set once it sends.
        left: Set once its client has closed the connection.
    """

    def __init__(self, kind: str) -> None:
        self._endless = KINDS[kind]
        self.begun = asyncio.Event()
        self.left = asyncio.Event()

    async def send(self, writer: asyncio.StreamWriter, *lines: bytes) -> None:
        """Sends without end.

        Args:
            writer: Writer of the connection.
            *lines: Lines of the head, which each kind with a head begins with.
        """
        self.begun.set()
        if self._endless.lines is not None:
            head = [b"HTTP/1.1 200 OK", *lines, self._endless.lines]
            writer.write(b"\r\n".join(head))
        try:
            for _ in range(ENDLESS_BYTES // len(self._endless.part)):
                writer.write(self._endless.part)
                await writer.drain()
        except OSError:
            self.left.set()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers any request without end."""
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await reader.readuntil(HEAD_END)
            await self.send(writer)
        writer.close()

    async def wait_until_left(self) -> None:
        """Waits until it has begun to send and its client has closed."""
        async with asyncio.timeout(CLOSE_TIMEOUT_S):
            await self.left.wait()


@contextlib.contextmanager
def bounded_memory() -> Iterator[None]:
    """Checks that the enclosed code holds no more at once than an answer may take."""
    tracemalloc.start()
    try:
        yield
        _, peak_bytes = tracemalloc.get_traced_memory()
    finally:
        tracemalloc.stop()
    assert peak_bytes < MAX_PEAK_BYTES


@contextlib.asynccontextmanager
async def listening(server: EndlessServer) -> AsyncGenerator[tuple[str, int], None]:
    """Runs a server on a socket, and yields its address."""
    listener = await asyncio.start_server(server.serve, "127.0.0.1", 0)
    async with listener:
        yield listener.sockets[0].getsockname()


# Paths of agents and of the store's clients: calls of an adapter, by the call.

ClientCall = Callable[[str, int], Awaitable[object]]


def store_call(call: Callable[[PlatformStoreClient], Awaitable[Any]]) -> ClientCall:
    """Returns a call of a relay's client of the store."""

    async def run(host: str, port: int) -> None:
        async with PlatformStoreClient(host, port) as client:
            await call(client)

    return run


def platform_call(call: Callable[[PlatformClient], Awaitable[Any]]) -> ClientCall:
    """Returns a call of an entry's client of the store."""

    async def run(host: str, port: int) -> None:
        async with PlatformClient(host, port) as client:
            await call(client)

    return run


def engine_call(call: Callable[[EngineClient], Awaitable[Any]]) -> ClientCall:
    """Returns a call of an agent's client of its engine."""

    async def run(host: str, port: int) -> None:
        async with EngineClient(host, port) as client:
            await call(client)

    return run


async def decode(client: EngineClient) -> None:
    """Passes on a stream of an engine until it is as long as none may be kept."""
    size = 0
    async with contextlib.aclosing(client.decode("run-1", b"{}", False)) as chunks:
        async for chunk in chunks:
            size += len(chunk)
            if size > MAX_PEAK_BYTES:
                return


REVISION = StoreRevision(0, 1)

CLIENT_CALLS: dict[str, ClientCall] = {
    "relay-store-list": store_call(lambda client: client.list("servers")),
    "relay-store-watch": store_call(
        lambda client: client.watch("servers", REVISION, 1.0)
    ),
    "relay-store-create": store_call(lambda client: client.create("leases", "a", {})),
    "relay-store-replace": store_call(
        lambda client: client.replace("leases", "a", {}, REVISION)
    ),
    "entry-store-get": platform_call(lambda client: client.get("claims", "a")),
    "entry-store-put": platform_call(lambda client: client.put("claims", "a", b"", 0)),
    "entry-store-watch": platform_call(lambda client: client.watch("fleet", 1, 1.0)),
    "entry-store-instances": platform_call(lambda client: client.instances()),
    "agent-prefill": engine_call(lambda client: client.prefill("r", b"{}", False)),
    "agent-import": engine_call(lambda client: client.import_kv("r", "a:1", "h")),
    "agent-decode": engine_call(decode),
    "agent-cancel": engine_call(lambda client: client.cancel("r")),
    "agent-runs": engine_call(lambda client: client.runs()),
    "agent-load": engine_call(lambda client: client.is_cold()),
}


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("name", CLIENT_CALLS)
async def test_client_leaves_a_server_that_sends_without_end(
    name: str, kind: str
) -> None:
    server = EndlessServer(kind)
    async with listening(server) as address:
        with bounded_memory():
            while not server.begun.is_set():
                with contextlib.suppress(UpstreamLost, StoreUnavailable):
                    await CLIENT_CALLS[name](*address)
            await server.wait_until_left()


class CountingStream:
    """Stands for the stream to an entry, and drops what is passed on to it."""

    def __init__(self) -> None:
        self.size = 0

    def send_head(self, head: object) -> None:
        """Drops the head of the answer."""

    async def send_data(self, payload: bytes) -> None:
        """Counts a part of the body; ends the stream as its entry would."""
        self.size += len(payload)
        if self.size > MAX_PEAK_BYTES:
            raise StreamCancelled

    def send_end(self, end: object) -> None:
        """Drops the end of the answer."""


def call_worker(client: ServiceClient) -> CallWorker:
    """Returns a worker that takes calls for a service."""
    admission = AdmissionController()
    view = UpstreamSettings(
        accepting=True, max_requests=4, cold_requests=4, warm_up_s=0.0
    )
    admission.apply_settings(1, view, 0.0)
    admission.start()
    return CallWorker(client, admission, Timeline("agent-1"))


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("repeatable", [True, False])
async def test_call_of_an_agent_leaves_a_service_that_sends_without_end(
    repeatable: bool, kind: str
) -> None:
    """Regression: an agent kept the whole answer of a call that must run once."""
    server = EndlessServer(kind)
    message = OpenStream(
        Operation.CALL, "r1", budget_ms=20_000, method="POST", target="/"
    )
    message = replace(message, repeatable=repeatable)
    async with listening(server) as address, ServiceClient(*address) as client:
        worker = call_worker(client)
        with bounded_memory():
            with pytest.raises((RefusedError, StreamCancelled)) as ended:
                await worker.call(cast(LinkStream, CountingStream()), message)
            await server.wait_until_left()
    if isinstance(ended.value, RefusedError):
        assert ended.value.refusal.code is not ErrorCode.DEADLINE


# Paths of a relay: one of its upstreams sends without end, on one kind of request.

DESKS = ("desk-1", "desk-2")
DECODERS = ("dec-1", "dec-2", "dec-3")
SIGNED = b"wasabimux-response-signature: sig"
EVENTS = b"".join(b"id: %d\ndata: token-%d\n\n" % (n, n) for n in range(1, 6))


class RelayPath(NamedTuple):
    """A path of a relay on which it reads an upstream.

    Attributes:
        target: Target of the request that takes the path.
        replaced: Upstreams in whose place the faulty one comes.
        is_taken: Tells whether a request to the upstream is answered without end.
        lines: Returns the lines of the head that come before what has no end.
        refuses_first: True to refuse the first reservation, so that a stream begins at
            another engine.
    """

    target: str
    replaced: tuple[str, ...]
    is_taken: Callable[[RawRequest], bool]
    lines: Callable[[RawRequest], list[bytes]]
    refuses_first: bool = False


def own(request: RawRequest) -> list[bytes]:
    """Returns the lines of a head that belongs to a request that ran."""
    return [b"wasabimux-request-id: " + request.id, SIGNED]


def own_not_run(request: RawRequest) -> list[bytes]:
    """Returns the lines of a head that says that a request has not run."""
    return [b"wasabimux-request-id: " + request.id, NOT_EXECUTED]


def foreign(request: RawRequest) -> list[bytes]:
    """Returns the lines of a head that belongs to another request."""
    return [b"wasabimux-request-id: another", SIGNED]


def bare(request: RawRequest) -> list[bytes]:
    """Returns no lines, as of the answer to a control call."""
    return []


def is_run(request: RawRequest) -> bool:
    """Returns whether a request is to be run, prefills apart."""
    return bool(request.id) and not request.is_prefill


def is_resumed(request: RawRequest) -> bool:
    """Returns whether a request takes up a stream."""
    return is_run(request) and b"last-event-id" in request.headers


def is_reservation(request: RawRequest) -> bool:
    """Returns whether a request reserves a slot."""
    return request.target.startswith("/v1/hold-take")


RELAY_PATHS = {
    "safe-call": RelayPath("/safe/1", DESKS, is_run, own),
    "unsafe-call": RelayPath("/unsafe/1", DESKS, is_run, own),
    "skipped-answer": RelayPath("/unsafe/1", DESKS, is_run, foreign),
    "refusal": RelayPath("/unsafe/1", DESKS, is_run, own_not_run),
    "stream": RelayPath("/once/1", DECODERS, is_run, own),
    "stream-refusal": RelayPath("/once/1", DECODERS, is_run, own_not_run),
    "resumed-stream": RelayPath("/gen/1", ("dec-1", "dec-2"), is_resumed, own, True),
    "prefill": RelayPath("/gen/1", ("pre-1",), lambda item: item.is_prefill, own),
    "reservation": RelayPath("/once/1", DECODERS, is_reservation, bare),
}


@contextlib.asynccontextmanager
async def faulty_upstream(
    cluster: RelayCluster, path: RelayPath, server: EndlessServer
) -> AsyncGenerator[None, None]:
    """Puts an upstream in place that sends without end on one path."""
    refusals = [answer(503, None, b"{}")] if path.refuses_first else []

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        while True:
            request = await read_request(reader)
            if path.is_taken(request):
                await server.send(writer, *path.lines(request))
                return
            if is_reservation(request) and refusals:
                writer.write(refusals.pop())
            else:
                writer.write(served(request))

    async with served_in_place(cluster, path.replaced, serve):
        yield


def served(request: RawRequest) -> bytes:
    """Returns the answer to a request that does not take the path."""
    if is_reservation(request):
        return answer(200, None, b'{"hold":"h-%d"}' % id(request))
    if request.target.startswith("/v1/"):
        return answer(200, None, b"{}")
    return answer(200, request.id, EVENTS[:21], True)


async def request_until(
    cluster: RelayCluster, path: RelayPath, begun: asyncio.Event
) -> None:
    """Sends requests until one takes the path; each is answered before its deadline."""
    for number in range(MAX_REQUESTS):
        response = await cluster.request(
            path.target, f"s{number}", wasabimux_token_count="100,60"
        )
        async with response:
            with contextlib.suppress(UpstreamLost):
                await response.body()
        if begun.is_set():
            return


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("name", RELAY_PATHS)
async def test_relay_leaves_an_upstream_that_sends_without_end(
    name: str, kind: str
) -> None:
    path, server = RELAY_PATHS[name], EndlessServer(kind)
    async with relay_cluster() as cluster:
        if name == "resumed-stream":
            cluster.runners["dec-3"].faults.cut_after_events = 2
        async with faulty_upstream(cluster, path, server):
            with bounded_memory():
                async with asyncio.timeout(CLOSE_TIMEOUT_S):
                    await request_until(cluster, path, server.begun)
                await server.wait_until_left()


ENGINE_CALLS = {
    "reserve": PlatformEngineCodec().reserve_slot(1, 1.0),
    "release": PlatformEngineCodec().release_reservation("h1"),
    "kv-free": PlatformEngineCodec().free_kv_cache("h1"),
    "kv-move": PlatformEngineCodec().migrate_stream(RequestId("r1"), "a:1"),
    "order": PlatformEngineCodec().phase_change(
        PhaseChangeCommand(UpstreamId("raw"), True, "me", 1, 0)
    ),
    "report": PlatformEngineCodec().report(),
}


@pytest.mark.parametrize("kind", KINDS)
@pytest.mark.parametrize("call", ENGINE_CALLS.values(), ids=ENGINE_CALLS)
async def test_control_call_leaves_an_engine_that_sends_without_end(
    call: EngineCall, kind: str
) -> None:
    server = EndlessServer(kind)
    async with listening(server) as (host, port):
        record = upstream_record("raw")._replace(address=f"{host}:{port}")
        upstream = Upstream(record, 0.0)
        with bounded_memory():
            while not server.begun.is_set():
                with pytest.raises(UpstreamLost):
                    await upstream.call(call)
            await server.wait_until_left()


@pytest.mark.parametrize("name", ["skipped-answer", "refusal", "prefill"])
async def test_long_answers_that_say_nothing_are_not_kept_together(name: str) -> None:
    """Regression: each held up to 8 MB that no bound of the process counted."""
    path, sent, begun, bodies = RELAY_PATHS[name], asyncio.Event(), 0, 0
    body = b"z" * LONG_BODY_BYTES

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        nonlocal begun, bodies
        request = await read_request(reader)
        while not path.is_taken(request):
            writer.write(served(request))
            request = await read_request(reader)
        head = [b"HTTP/1.1 200 OK", *path.lines(request), b"content-length: 8000000"]
        writer.write(b"\r\n".join(head) + HEAD_END)
        begun += 1
        for start in range(0, len(body), PART_BYTES):
            writer.write(body[start : start + PART_BYTES])
            await writer.drain()
        bodies += 1
        if bodies == LONG_ANSWERS:
            sent.set()
        await reader.read()

    async with relay_cluster() as cluster:
        async with served_in_place(cluster, path.replaced, serve):
            with bounded_memory():
                calls = [
                    asyncio.ensure_future(
                        cluster.request(
                            path.target, f"s{number}", wasabimux_token_count="100,60"
                        )
                    )
                    for number in range(LONG_ANSWERS)
                ]
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(1.0):
                        await sent.wait()
                for call in calls:
                    call.cancel()
                await asyncio.wait(calls)
    assert begun > 1
