"""An upstream that writes the bytes of its answers as a test tells it to."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from tests.relay_fixtures import RelayCluster

#: Serves one connection from a relay.
ServeConnection = Callable[
    [asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]
]

HEAD_END = b"\r\n\r\n"

#: Marks an answer of an upstream that has not run the request.
NOT_EXECUTED = b"wasabimux-not-executed: 1"


class RawRequest(NamedTuple):
    """A request as the upstream received it.

    Attributes:
        method: HTTP method.
        target: HTTP target.
        headers: Headers by name.
        connection: Number of the connection that it came on, from 1.
    """

    method: str
    target: str
    headers: dict[bytes, bytes]
    connection: int

    @property
    def id(self) -> bytes:
        """Identity of the request, empty for a control call."""
        return self.headers.get(b"wasabimux-request-id", b"")

    @property
    def is_prefill(self) -> bool:
        """True if only the KV cache of the prompt is to be computed."""
        return b"wasabimux-stage" in self.headers


def answer(
    status: int,
    request_id: bytes | None = None,
    body: bytes = b"",
    signed: bool = False,
    *lines: bytes,
) -> bytes:
    """Returns the bytes of a whole answer.

    Args:
        status: HTTP status.
        request_id: Identity that the answer bears, None for none.
        body: Whole body.
        signed: True if it carries an upstream's signature.
        *lines: Further header lines.
    """
    head = [b"HTTP/1.1 %d Status" % status, b"content-length: %d" % len(body)]
    if request_id is not None:
        head.append(b"wasabimux-request-id: " + request_id)
    if signed:
        head.append(b"wasabimux-response-signature: sig")
    return b"\r\n".join([*head, *lines]) + HEAD_END + body


def not_run(status: int, request_id: bytes | None) -> bytes:
    """Returns an answer that says that a request was not run."""
    return answer(status, request_id, b"{}", False, NOT_EXECUTED)


@dataclass
class RawUpstream:
    """An upstream whose answers a test writes.

    Attributes:
        write: Returns the bytes for a request; empty bytes close the connection.
        requests: Requests received, in order.
    """

    write: Callable[[RawRequest], bytes]
    requests: list[RawRequest] = field(default_factory=list)
    _connections: int = 0
    _writers: set[asyncio.StreamWriter] = field(default_factory=set)

    def close(self) -> None:
        """Closes all connections."""
        for writer in self._writers:
            writer.close()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers the requests of one connection."""
        self._connections += 1
        connection = self._connections
        self._writers.add(writer)
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            while data := self.write(await self._read(reader, connection)):
                writer.write(data)
                await writer.drain()
        writer.close()

    async def _read(self, reader: asyncio.StreamReader, connection: int) -> RawRequest:
        request = await read_request(reader, connection)
        self.requests.append(request)
        return request


async def read_request(reader: asyncio.StreamReader, connection: int = 1) -> RawRequest:
    """Reads one request with its body.

    Args:
        reader: Reader of the connection.
        connection: Number of the connection, from 1.
    """
    head = await reader.readuntil(HEAD_END)
    first, *lines = head.removesuffix(HEAD_END).split(b"\r\n")
    method, target, _ = first.decode().split(" ")
    pairs = [line.partition(b":") for line in lines]
    headers = {name.strip().lower(): value.strip() for name, _, value in pairs}
    await reader.readexactly(int(headers.get(b"content-length", b"0")))
    return RawRequest(method, target, headers, connection)


@contextlib.asynccontextmanager
async def raw_upstream(
    cluster: RelayCluster, replaced: tuple[str, ...], upstream: RawUpstream
) -> AsyncGenerator[RawUpstream, None]:
    """Puts an upstream in the place of others.

    Args:
        cluster: The relays and upstreams.
        replaced: Upstreams that are removed; the first one's entry is the model.
        upstream: The upstream.
    """
    async with served_in_place(cluster, replaced, upstream.serve):
        try:
            yield upstream
        finally:
            upstream.close()


@contextlib.asynccontextmanager
async def served_in_place(
    cluster: RelayCluster, replaced: tuple[str, ...], serve: ServeConnection
) -> AsyncGenerator[None, None]:
    """Puts a server in the place of upstreams, under the name `raw`.

    Args:
        cluster: The relays and upstreams.
        replaced: Upstreams that are removed; the first one's entry is the model.
        serve: Serves one connection, which is closed afterwards.
    """

    async def serve_and_close(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await serve(reader, writer)
        writer.close()

    server = await asyncio.start_server(serve_and_close, "127.0.0.1", 0)
    host, port = server.sockets[0].getsockname()
    entry = cluster.runners[replaced[0]].store_entry(address=f"{host}:{port}")
    for name in replaced:
        await cluster.store.remove("servers", name)
    await cluster.store.put("servers", "raw", entry)
    pools = [running.relay.pool for running in cluster.relays]
    await cluster.wait_until(
        lambda: all(
            "raw" in pool.by_id and not set(replaced) & set(pool.by_id)
            for pool in pools
        )
    )
    async with server:
        yield
