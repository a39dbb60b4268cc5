"""Streams whose next engine refuses them, and engines that refuse while they change."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, Callable

import pytest
import pytest_asyncio

from tests.engine_streams import (
    ENGINES,
    begin_stream,
    engine_of,
    events_of,
    expected_stream,
    other_engines,
)
from tests.relay_fixtures import RelayCluster, relay_cluster
from wasabimux._clock import loop_time
from wasabimux.adapters.http_client import ClientResponse
from wasabimux.decisions import stream_migration
from wasabimux.decisions.phase_plan import PhaseChange
from wasabimux.platform.standins.runner import StandInRunner
from wasabimux.relay.model import Phase
from wasabimux.relay.phases import ANNOUNCE_DELAY_S, COOLDOWN_S
from wasabimux.relay.relay import Relay

#: Time in s that the desired state of these tests gives a change of phase.
PLANNED_CHANGE_S = 1.0

#: Events of streams that run while a test acts, and of others.
LONG_STREAM = 60
SHORT_STREAM = 8

EVENTS_BEFORE_SILENCE = 3

#: Longest time in s for which a test waits.
TEST_TIMEOUT_S = 30.0


@pytest_asyncio.fixture
async def cluster() -> AsyncGenerator[RelayCluster, None]:
    """One relay with three decode engines."""
    async with relay_cluster() as running:
        yield running


async def wait_until(condition: Callable[[], bool]) -> None:
    """Waits until a condition is true, for a bounded time."""
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while not condition():
            await asyncio.sleep(0.01)


def usable_engines(relay: Relay) -> set[str]:
    """Returns the engines that a relay takes for ready to decode."""
    found = relay.selector.engines("engines", Phase.DECODE, loop_time(), [])
    return {item.id for item in found}


async def begin_silent_stream(
    cluster: RelayCluster,
) -> tuple[ClientResponse, StandInRunner]:
    """Starts a stream whose engine falls silent, while the other engines refuse.

    Returns:
        The response, and the engine, which goes on with the stream if it gets it again.
    """
    for name in ENGINES:
        cluster.runners[name].events = SHORT_STREAM
        cluster.runners[name].faults.stall_after_events = EVENTS_BEFORE_SILENCE
    response = await begin_stream(cluster)
    engine = engine_of(cluster)
    for other in other_engines(cluster, engine):
        other.faults.refuse_requests = True
    engine.faults.stall_after_events = None
    return response, engine


def begin_long_change(cluster: RelayCluster) -> StandInRunner:
    """Lets an engine change its phase for a minute; returns the engine, `dec-1`."""
    engine = cluster.runners["dec-1"]
    engine.faults.phase_change_s = 60.0
    engine.begin_phase_change("prefill")
    return engine


async def order_to_prefill(relay: Relay, name: str) -> None:
    """Lets a relay change the phase of an engine."""
    desired = relay.view.desired_state
    assert desired is not None and await relay.phases.hold_lease()
    await relay.phases.change_phase(
        desired.service_by_name["engines"],
        relay.pool.by_id[name],
        PhaseChange(relay.pool.by_id[name].id, to_prefill=True),
    )


async def test_engine_gets_no_streams_before_its_change_of_phase_is_over(
    cluster: RelayCluster,
) -> None:
    relay, engine = cluster.relays[0].relay, cluster.runners["dec-1"]
    engine.faults.phase_change_s = ANNOUNCE_DELAY_S + PLANNED_CHANGE_S + COOLDOWN_S + 2
    await order_to_prefill(relay, "dec-1")
    assert engine.is_changing_phase
    while engine.is_changing_phase:
        assert usable_engines(relay) == {"dec-2", "dec-3"}
        await asyncio.sleep(0.05)


async def test_engine_gets_streams_again_once_its_report_shows_no_order(
    cluster: RelayCluster,
) -> None:
    relay, engine = cluster.relays[0].relay, cluster.runners["dec-1"]
    engine.faults.phase_change_s = 0.1
    await order_to_prefill(relay, "dec-1")
    await wait_until(lambda: engine.phase == "prefill")
    engine.phase = "decode"  # back before the store could tell
    await wait_until(lambda: "dec-1" in usable_engines(relay))


async def test_engine_that_refuses_as_it_changes_its_phase_gets_no_further_streams(
    cluster: RelayCluster,
) -> None:
    """The relay that gave the order has ended, and its mark of the change with it."""
    relay, engine = cluster.relays[0].relay, begin_long_change(cluster)
    async with asyncio.timeout(TEST_TIMEOUT_S):
        while engine.refused < 2:
            await events_of(await begin_stream(cluster))
    await wait_until(lambda: "dec-1" not in usable_engines(relay))
    for _ in range(60):
        assert usable_engines(relay) == {"dec-2", "dec-3"}
        await events_of(await begin_stream(cluster))
    assert engine.refused == 2


async def test_engine_found_busy_with_an_order_is_not_put_back_into_use(
    cluster: RelayCluster,
) -> None:
    relay, engine = cluster.relays[0].relay, begin_long_change(cluster)
    await order_to_prefill(relay, "dec-1")
    assert not engine.state.phase_change_commands
    assert usable_engines(relay) == {"dec-2", "dec-3"}


async def test_moved_stream_goes_back_to_its_engine_if_the_new_one_refuses_it(
    cluster: RelayCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    for name in ENGINES:
        cluster.runners[name].events = LONG_STREAM
    response = await begin_stream(cluster)
    source = engine_of(cluster)
    for engine in other_engines(cluster, source):
        engine.faults.refuse_requests = True
    monkeypatch.setattr(stream_migration, "MIGRATION_FILL_FRACTION", 0.0)
    await wait_until(lambda: len(source.runs) > 1)
    monkeypatch.undo()
    assert await events_of(response) == expected_stream(LONG_STREAM)
    again = source.runs[1].headers
    kept = again[b"wasabimux-kv-source"].decode()
    assert kept.startswith(f"{source.address}/handle-")


async def test_moved_stream_that_all_engines_refuse_for_a_while_is_not_cut(
    cluster: RelayCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    for name in ENGINES:
        cluster.runners[name].events = LONG_STREAM
    response = await begin_stream(cluster)
    source = engine_of(cluster)
    for name in ENGINES:
        cluster.runners[name].faults.refuse_requests = True
    monkeypatch.setattr(stream_migration, "MIGRATION_FILL_FRACTION", 0.0)
    await wait_until(lambda: bool(source.state.kv_cache_handles))
    monkeypatch.undo()
    await asyncio.sleep(0.5)
    for name in ENGINES:
        cluster.runners[name].faults.refuse_requests = False
    assert await events_of(response) == expected_stream(LONG_STREAM)


async def test_stream_that_left_a_silent_engine_is_not_cut_as_the_next_one_refuses_it(
    cluster: RelayCluster,
) -> None:
    response, _ = await begin_silent_stream(cluster)
    assert await events_of(response) == expected_stream(SHORT_STREAM)


async def test_refused_stream_goes_to_no_more_engines_than_its_route_allows(
    cluster: RelayCluster,
) -> None:
    response, source = await begin_silent_stream(cluster)
    await events_of(response)
    relay = cluster.relays[0].relay
    refused_by = [item for item in other_engines(cluster, source) if item.refused]
    assert len(refused_by) == 1
    assert relay.slots.waiting == 0


async def test_stream_is_not_cut_while_all_its_engines_change_their_phase(
    cluster: RelayCluster,
) -> None:
    for name in ENGINES:
        runner = cluster.runners[name]
        runner.events = SHORT_STREAM
        runner.faults.stall_after_events = EVENTS_BEFORE_SILENCE
        runner.faults.phase_change_s = 2.5
    response = await begin_stream(cluster)
    for name in ENGINES:
        cluster.runners[name].faults.stall_after_events = None
        cluster.runners[name].begin_phase_change("decode")
    assert await events_of(response) == expected_stream(SHORT_STREAM)


async def test_broken_stream_waits_for_a_slot_for_as_long_as_its_client_does(
    cluster: RelayCluster,
) -> None:
    for name in ENGINES:
        cluster.runners[name].events = LONG_STREAM
    response = await begin_stream(cluster)
    for engine in other_engines(cluster, engine_of(cluster)):
        engine.faults.refuse_reservations = True
    engine_of(cluster).crash()
    await asyncio.sleep(5.0)
    for name in ENGINES:
        cluster.runners[name].faults.refuse_reservations = False
    assert await events_of(response) == expected_stream(LONG_STREAM)
