"""Answers with neither a length nor chunks, which end with their connection."""

from __future__ import annotations

import asyncio
import socket
import struct
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

import pytest

from tests.raw_upstream import served_in_place
from tests.relay_fixtures import RelayCluster, relay_cluster

HEAD_END = b"\r\n\r\n"

EVENTS = [b"id: %d\ndata: token-%d\n\n" % (number, number) for number in range(1, 6)]

COMMENT = b": hello\n\n"

#: Abortive close: the peer gets a reset instead of an end.
LINGER_RESET = struct.pack("ii", 1, 0)


class UnframedServer:
    """An upstream whose answers end with their connection.

    Attributes:
        body: Body of its answers.
        resets: True to reset the connection after the body.
        answered: Number of requests answered with the body.
    """

    def __init__(self, body: bytes, resets: bool) -> None:
        self.body = body
        self.resets = resets
        self.answered = 0

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answers one request; reservations and releases get a framed answer."""
        head = await reader.readuntil(HEAD_END)
        if b" /v1/" in head.partition(b"\r\n")[0]:
            writer.write(b"HTTP/1.1 200 OK\r\nconnection: close\r\n")
            writer.write(b'content-length: 12\r\n\r\n{"hold":"h"}')
        else:
            self.answered += 1
            lines = head.lower().split(b"\r\n")
            (own_id,) = [i for i in lines if i.startswith(b"wasabimux-request-id")]
            writer.write(b"HTTP/1.1 200 OK\r\n" + own_id + b"\r\n")
            writer.write(b"wasabimux-response-signature: s" + HEAD_END + self.body)
        await writer.drain()
        if self.resets and b" /v1/" not in head:
            await asyncio.sleep(0.05)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
        writer.close()


@asynccontextmanager
async def unframed(
    cluster: RelayCluster, replaced: tuple[str, ...], body: bytes, resets: bool
) -> AsyncGenerator[UnframedServer, None]:
    """Puts an upstream with unframed answers in the place of others.

    Args:
        cluster: The relays and upstreams.
        replaced: Upstreams that are removed.
        body: Body of the answers.
        resets: True to reset the connection after the body.
    """
    upstream = UnframedServer(body, resets)
    async with served_in_place(cluster, replaced, upstream.serve):
        yield upstream


@pytest.mark.parametrize(("resets", "status"), [(False, 200), (True, 502)])
async def test_a_plain_answer_ends_with_its_connection(
    resets: bool, status: int
) -> None:
    async with relay_cluster() as cluster:
        replaced = ("desk-1", "desk-2")
        async with unframed(cluster, replaced, b"whole body", resets):
            async with await cluster.request("/unsafe/1") as response:
                body = await response.body()
    assert response.status == status
    assert (body == b"whole body") is (status == 200)


async def stream(cluster: RelayCluster) -> bytes:
    """Returns the body of a stream."""
    async with await cluster.request(
        "/gen/1", wasabimux_token_count="100,60"
    ) as response:
        assert response.status == 200
        return await response.body()


async def test_a_stream_ends_with_its_connection() -> None:
    async with relay_cluster() as cluster:
        replaced = ("dec-1", "dec-2", "dec-3")
        async with unframed(cluster, replaced, b"".join(EVENTS), False):
            assert await stream(cluster) == b"".join(EVENTS)


@pytest.mark.parametrize(
    ("body", "resets"),
    [
        (b"".join(EVENTS[:2]) + EVENTS[2][:6], False),
        (b"".join(EVENTS[:2]) + EVENTS[2][:6], True),
        (b"".join(EVENTS[:2]), True),
        (EVENTS[0][:6], False),
        (b"", True),
        (b"", False),
        (COMMENT, False),
    ],
)
async def test_a_stream_that_breaks_off_goes_on_elsewhere(
    body: bytes, resets: bool
) -> None:
    async with relay_cluster() as cluster:
        replaced = ("dec-1", "dec-2")
        async with unframed(cluster, replaced, body, resets) as upstream:
            while not upstream.answered:
                received = await stream(cluster)
                assert received.replace(COMMENT, b"") == b"".join(EVENTS)
