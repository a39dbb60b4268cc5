"""Answers that are cut, as others need the memory that they hold."""

from __future__ import annotations

import asyncio

from tests.relay_fixtures import API_KEY, HOST, RelayCluster, relay_cluster
from wasabimux.adapters.memory_ledger import (
    MIN_BOUND_BYTES,
    LedgerLimits,
    process_ledger,
)

ANSWER_BYTES = 4_000_000
CLIENTS = 6

#: Bytes that the buffers of a client's connection hold, far less than an answer.
CLIENT_BUFFER_BYTES = 16 * 1024
CUT_TIMEOUT_S = 10.0


async def ask_for_large(
    cluster: RelayCluster, name: str
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Asks a relay for a large answer; returns the connection, which nobody reads yet.

    Args:
        cluster: The relay.
        name: Identity of the request.
    """
    reader, writer = await asyncio.open_connection(
        *cluster.relays[0].http_address, limit=CLIENT_BUFFER_BYTES
    )
    lines = [
        "GET /safe/1 HTTP/1.1",
        f"host: {HOST}",
        f"wasabimux-request-id: {name}",
        "wasabimux-deadline-ms: 14000",
        f"authorization: Bearer {API_KEY}",
        "x-large: 1",
    ]
    writer.write("\r\n".join([*lines, "", ""]).encode())
    await writer.drain()
    return reader, writer


async def is_cut(reader: asyncio.StreamReader) -> bool:
    """Reads a response; returns whether it breaks off after a head of success."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
        if not head.startswith(b"HTTP/1.1 200 "):
            return False
        await reader.readexactly(ANSWER_BYTES)
    except (OSError, asyncio.IncompleteReadError):
        return True
    return False


def named_as_cut(cluster: RelayCluster) -> set[str]:
    """Returns the identities of requests that the log names as cut for memory."""
    return {
        event.request_id
        for event in cluster.relays[0].timeline.events()
        if event.name == "answer_incomplete" and event.fields["why"] == "no_memory"
    }


async def test_each_answer_cut_for_memory_is_named_in_the_log() -> None:
    """An answer that was cut for memory counted as complete."""
    async with relay_cluster() as cluster, asyncio.timeout(CUT_TIMEOUT_S):
        process_ledger().limits = LedgerLimits(MIN_BOUND_BYTES)
        for runner in cluster.runners.values():
            runner.faults.large_answer_bytes = ANSWER_BYTES
        connection_by_name = {}
        for number in range(CLIENTS):
            name = f"large-{number}"
            connection_by_name[name] = await ask_for_large(cluster, name)
            await asyncio.sleep(0.1)
        cut = {
            name
            for name, (reader, _) in connection_by_name.items()
            if await is_cut(reader)
        }
        assert cut
        assert named_as_cut(cluster) == cut
        for _, writer in connection_by_name.values():
            writer.close()
