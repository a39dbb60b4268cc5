"""Prompts with a part on which each engine crashes that begins to decode it."""

from __future__ import annotations

import asyncio
import itertools
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

import pytest_asyncio

from tests.relay_fixtures import RelayCluster, relay_cluster
from wasabimux.platform.standins.runner import StandInRunner

CRASHING_PART = "bad0"
SHARED_PART = "5a5a"

#: Time in s between the crash of an engine and its next start.
RESTART_DELAY_S = 0.3

#: Crashes by which the part must be known, and requests with it that may reach engines
#: afterwards, as the platform's rules state.
CRASHES_TO_KNOW = 5
MAX_SENT_AFTERWARDS = 3


@asynccontextmanager
async def engines_that_crash(cluster: RelayCluster) -> AsyncGenerator[None, None]:
    """Lets engines crash on the part, and starts them again under new identities."""
    engines = [item for item in cluster.runners.values() if item.phase == "decode"]
    for engine in engines:
        engine.faults.crashing_part = CRASHING_PART
    restarts = [asyncio.ensure_future(_restart(cluster, item)) for item in engines]
    try:
        yield
    finally:
        for restart in restarts:
            restart.cancel()


async def _restart(cluster: RelayCluster, engine: StandInRunner) -> None:
    name = engine.id
    for number in itertools.count(2):
        await cluster.wait_until(lambda: engine.crashed)
        await asyncio.sleep(RESTART_DELAY_S)
        await cluster.store.remove("servers", engine.id)
        await engine.restart(f"{name}-{number}")
        await cluster.store.put("servers", engine.id, engine.store_entry())


@pytest_asyncio.fixture
async def three_relays() -> AsyncGenerator[RelayCluster, None]:
    """Three relays that start at the same time, and engines that crash on the part."""
    async with relay_cluster(relays=3) as running, engines_that_crash(running):
        yield running


def decoded(cluster: RelayCluster, part: str) -> int:
    """Returns how many requests with a part of the prompt have reached decoding."""
    return sum(
        part.encode() in run.headers[b"wasabimux-prompt-prefix"]
        for runner in cluster.runners.values()
        for run in runner.runs
    )


async def status_of(
    cluster: RelayCluster, number: int, *parts: str, relay: int | None = None
) -> int:
    """Sends a stream whose prompt has shared parts and one of its own.

    Args:
        cluster: The relays and engines.
        number: Number of the request.
        *parts: Shared parts of the prompt.
        relay: Index of the relay, by default each in turn.

    Returns:
        Status of the response, 0 if it was cut off.
    """
    prefix = ",".join(f"{part}:50" for part in (*parts, f"c{number:05x}"))
    async with await cluster.request(
        "/gen/1",
        f"r{number}",
        number % len(cluster.relays) if relay is None else relay,
        wasabimux_token_count="150,50",
        wasabimux_prompt_prefix=prefix,
    ) as response:
        await response.body()
        return response.status


async def test_part_that_crashes_engines_stops_reaching_them_at_all_relays(
    three_relays: RelayCluster,
) -> None:
    for number in range(24):
        await status_of(three_relays, number, SHARED_PART, CRASHING_PART)
        await asyncio.sleep(RESTART_DELAY_S / 2)
    sent = decoded(three_relays, CRASHING_PART)
    assert sent <= CRASHES_TO_KNOW + MAX_SENT_AFTERWARDS
