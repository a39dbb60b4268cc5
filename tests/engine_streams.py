"""Streams of the stand-in engines, for tests of streams that go on elsewhere."""

from __future__ import annotations

from tests.relay_fixtures import RelayCluster
from wasabimux.adapters.http_client import ClientResponse
from wasabimux.platform.standins.runner import StandInRunner

TOKEN_COUNTS = "100,60"
ENGINES = ("dec-1", "dec-2", "dec-3")


def expected_stream(events: int = 5) -> bytes:
    """Returns the events of a whole stream."""
    return b"".join(
        f"id: {number}\ndata: token-{number}\n\n".encode()
        for number in range(1, events + 1)
    )


async def begin_stream(cluster: RelayCluster) -> ClientResponse:
    """Starts a stream that may go on at another engine."""
    return await cluster.request("/gen/1", wasabimux_token_count=TOKEN_COUNTS)


async def events_of(response: ClientResponse) -> bytes:
    """Returns the events of a stream, without the comments between them."""
    async with response:
        blocks = (await response.body()).split(b"\n\n")
    return b"".join(block + b"\n\n" for block in blocks if block.startswith(b"id"))


def engine_of(cluster: RelayCluster) -> StandInRunner:
    """Returns the engine that runs the stream."""
    return next(item for item in cluster.runners.values() if item.runs)


def other_engines(cluster: RelayCluster, engine: StandInRunner) -> list[StandInRunner]:
    """Returns the decode engines but one."""
    runners = [cluster.runners[name] for name in ENGINES]
    return [runner for runner in runners if runner is not engine]
