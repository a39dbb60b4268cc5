"""Streams whose engine falls silent, and goes on before another one can take them."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator

import pytest
import pytest_asyncio

from tests.engine_streams import (
    ENGINES,
    begin_stream,
    engine_of,
    events_of,
    expected_stream,
)
from tests.relay_fixtures import RelayCluster, relay_cluster
from wasabimux.decisions import stream_migration
from wasabimux.relay.stream_retries import STALL_TIMEOUT_S

EVENTS = 8
EVENTS_BEFORE_SILENCE = 3

#: Time in s for which an engine is silent: longer than a stream waits for a slot.
SILENCE_S = STALL_TIMEOUT_S + 2.5


@pytest_asyncio.fixture
async def cluster() -> AsyncGenerator[RelayCluster, None]:
    """One relay; its engines are silent for a time after some events of a stream."""
    async with relay_cluster() as running:
        for name in ENGINES:
            runner = running.runners[name]
            runner.events = EVENTS
            runner.faults.stall_after_events = EVENTS_BEFORE_SILENCE
            runner.faults.stall_s = SILENCE_S
        yield running


def refuse_reservations(cluster: RelayCluster, refuse: bool = True) -> None:
    """Makes all engines refuse slots, or grant them again."""
    for name in ENGINES:
        cluster.runners[name].faults.refuse_reservations = refuse


def stall_no_new_streams(cluster: RelayCluster) -> None:
    """Makes the engines send streams that begin from now on without a stall."""
    for name in ENGINES:
        cluster.runners[name].faults.stall_after_events = None


async def test_silent_stream_is_not_given_up_while_no_other_engine_has_a_slot(
    cluster: RelayCluster,
) -> None:
    response = await begin_stream(cluster)
    refuse_reservations(cluster)
    assert await events_of(response) == expected_stream(EVENTS)
    assert len([run for item in cluster.runners.values() for run in item.runs]) == 1


async def test_stream_that_has_not_begun_is_not_given_up_before_another_has_a_slot(
    cluster: RelayCluster,
) -> None:
    stall_no_new_streams(cluster)
    for name in ENGINES:
        cluster.runners[name].faults.delay_s = STALL_TIMEOUT_S + 0.4
    beginning = asyncio.ensure_future(begin_stream(cluster))
    await cluster.wait_until(
        lambda: any(cluster.runners[name].runs for name in ENGINES)
    )
    refuse_reservations(cluster)
    assert await events_of(await beginning) == expected_stream(EVENTS)


async def test_silent_stream_goes_on_elsewhere_once_there_is_a_slot(
    cluster: RelayCluster,
) -> None:
    for name in ENGINES:
        cluster.runners[name].faults.stall_s = None
    response = await begin_stream(cluster)
    stall_no_new_streams(cluster)
    refuse_reservations(cluster)
    await asyncio.sleep(STALL_TIMEOUT_S + 0.5)
    refuse_reservations(cluster, refuse=False)
    assert await events_of(response) == expected_stream(EVENTS)


async def test_slot_elsewhere_is_freed_as_the_silent_engine_goes_on(
    cluster: RelayCluster,
) -> None:
    for name in ENGINES:
        cluster.runners[name].faults.stall_s = STALL_TIMEOUT_S + 0.5
    response = await begin_stream(cluster)
    refuse_reservations(cluster)
    assert await events_of(response) == expected_stream(EVENTS)
    relay = cluster.relays[0].relay
    refuse_reservations(cluster, refuse=False)
    await cluster.wait_until(
        lambda: all(
            item.running == 0 and not item.streams for item in relay.pool.by_id.values()
        )
    )
    assert relay.slots.waiting == 0
    assert not any(cluster.runners[name].state.reservations for name in ENGINES)


async def test_silent_stream_stays_if_the_prefill_has_used_the_last_retry(
    cluster: RelayCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    window = cluster.relays[0].relay.retries.for_service("engines")
    grants = iter([True])
    response = await begin_stream(cluster)
    monkeypatch.setattr(window, "try_spend", lambda now: next(grants, False))
    assert await events_of(response) == expected_stream(EVENTS)
    assert len([run for item in cluster.runners.values() for run in item.runs]) == 1


async def test_stream_that_breaks_while_it_is_silent_keeps_its_place_in_the_queue(
    cluster: RelayCluster,
) -> None:
    response = await begin_stream(cluster)
    silent = engine_of(cluster)
    refuse_reservations(cluster)
    await asyncio.sleep(STALL_TIMEOUT_S + 0.5)
    stall_no_new_streams(cluster)
    silent.crash()
    await asyncio.sleep(0.1)
    assert cluster.relays[0].relay.slots.waiting == 1
    refuse_reservations(cluster, refuse=False)
    assert await events_of(response) == expected_stream(EVENTS)


async def test_client_that_leaves_a_silent_stream_frees_all_slots(
    cluster: RelayCluster,
) -> None:
    response = await begin_stream(cluster)
    refuse_reservations(cluster)
    await asyncio.sleep(STALL_TIMEOUT_S + 0.5)
    response.close()
    relay = cluster.relays[0].relay
    await cluster.wait_until(
        lambda: relay.slots.waiting == 0
        and all(item.running == 0 for item in relay.pool.by_id.values())
    )


async def test_moved_stream_is_not_given_up_while_its_new_engine_is_silent(
    cluster: RelayCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    stall_no_new_streams(cluster)
    for name in ENGINES:
        cluster.runners[name].events = 100
    response = await begin_stream(cluster)
    source = engine_of(cluster)
    for name in ENGINES:
        cluster.runners[name].faults.delay_s = SILENCE_S
    refuse_reservations(cluster)
    monkeypatch.setattr(stream_migration, "MIGRATION_FILL_FRACTION", 0.0)
    await cluster.wait_until(
        lambda: any(
            item.runs and item is not source for item in cluster.runners.values()
        )
    )
    monkeypatch.undo()
    events = await events_of(response)
    assert events.count(b"id: ") == 100
