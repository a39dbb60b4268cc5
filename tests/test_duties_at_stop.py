"""What a relay still owes to engines, peers and operators as it stops."""

from __future__ import annotations

import asyncio
import contextlib
from collections.abc import AsyncGenerator
from typing import Any

import pytest

from tests.relay_fixtures import RelayCluster, relay_cluster
from tests.stopping_process import (
    SlowChannel,
    connect_slowly,
    listen_shrunk,
    shrink_send_buffers,
)
from wasabimux._clock import loop_time
from wasabimux.adapters.http_server import HttpServer
from wasabimux.decisions.aggregation import Scope, UsageReport
from wasabimux.decisions.memory_forecast import ZERO_FORECAST
from wasabimux.ids import UpstreamId
from wasabimux.link.link import Link, LinkCallbacks
from wasabimux.link.messages import RelayIdentity, SettingsUpdate, SlotGrantRequest
from wasabimux.ports import StoreUnavailable
from wasabimux.relay import process
from wasabimux.relay.mesh import CONNECT_INTERVAL_S, MAX_REPORT_INTERVAL_S, relay_hello
from wasabimux.runtime import SETTLE_TIMEOUT_S
from wasabimux.settings.address import parse_address
from wasabimux.settings.check import check_fleet
from wasabimux.standins.embedded import run_embedded
from wasabimux.standins.platform import MemoryPlatform
from wasabimux.timeline import HybridClock

TOKEN_COUNTS = "100,60"

#: Grace time in s of the relays under test.
GRACE_S = 2.0

#: Time in s that an engine takes to answer a control call, and within which the relay
#: that calls would have stopped without waiting.
CONTROL_DELAY_S = 0.9

#: Time in s that a store which hangs takes for each call, and longest time in s of a
#: stop of a fleet that owes nothing.
STORE_TIMEOUT_S = 2.0
CALM_STOP_S = 1.0

#: Address by which a peer is known that is no relay.
PEER_ADDRESS = "127.0.0.1:9"

#: Size of an answer to an operator, in bytes.
ANSWER_BYTES = 60_000


async def stop(cluster: RelayCluster) -> bool:
    """Drains the first relay and ends it; returns whether it drained."""
    drained = await cluster.relays[0].drain()
    await cluster.runs[0].aclose()
    return bool(drained)


async def free_late_and_stop(cluster: RelayCluster, delay_s: float) -> bool:
    """Frees a KV cache just before a stop; returns whether the engine has freed it."""
    runner = cluster.runners["pre-1"]
    runner.state.kv_cache_handles.add("late")
    runner.faults.control_delay_s = delay_s
    relay = cluster.relays[0].relay
    engine = relay.pool.by_id[UpstreamId("pre-1")]
    relay.slots.free_kv_cache(engine, "late")
    assert await stop(cluster)
    return "late" not in runner.state.kv_cache_handles


async def test_engine_is_told_to_free_a_kv_cache_before_the_relay_ends() -> None:
    """Regression: calls that free memory at engines were cancelled by the stop."""
    async with relay_cluster() as cluster:
        assert await free_late_and_stop(cluster, CONTROL_DELAY_S)


async def test_engine_that_answers_no_call_holds_a_stop_no_longer_than_the_grace() -> (
    None
):
    async with relay_cluster() as cluster:
        started_s = loop_time()
        assert not await free_late_and_stop(cluster, 10 * GRACE_S)
        assert loop_time() - started_s < GRACE_S


async def test_peers_know_the_last_usage_of_a_relay_that_stops(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: the end of the last stream was not in any report."""
    reports: list[UsageReport] = []
    async with relay_cluster(relays=2) as cluster:
        usage = cluster.relays[1].relay.mesh._fleet_usage
        on_report = usage.on_report

        def note_report(*args: Any) -> bool:
            reports.extend(item for item in args if isinstance(item, UsageReport))
            return on_report(*args)

        monkeypatch.setattr(usage, "on_report", note_report)
        mesh = cluster.relays[0].relay.mesh
        interval_s = MAX_REPORT_INTERVAL_S  # that of a large fleet
        monkeypatch.setattr(mesh, "_report_interval_s", lambda: interval_s)
        for name in ("dec-1", "dec-2", "dec-3"):
            cluster.runners[name].events = 90
        response = await cluster.request("/gen/1", wasabimux_token_count=TOKEN_COUNTS)
        stopping = asyncio.ensure_future(stop(cluster))
        await response.body()
        assert await stopping
        await asyncio.sleep(0.1)
    last = [report for report in reports if report.scope is Scope.RELAY][-1]
    assert not any(load.running for load in last.usage.load_by_upstream.values())


async def test_answer_to_an_operator_around_a_stop_arrives_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: the end of a process aborted answers on its other ports."""
    listen = HttpServer.listen

    async def listen_shrunk(self: HttpServer, host: str, port: int) -> tuple[str, int]:
        address = await listen(self, host, port)
        assert self._server is not None
        shrink_send_buffers(self._server)
        return address

    monkeypatch.setattr(HttpServer, "listen", listen_shrunk)
    async with relay_cluster() as cluster:
        running = cluster.relays[0]
        for number in range(ANSWER_BYTES // 100):
            running.timeline.record("filler", text=60 * "x")
        channel = await connect_slowly(running.admin_address[1])
        channel.held = True
        stopping = asyncio.ensure_future(stop(cluster))
        await asyncio.sleep(GRACE_S / 3 - 0.1)
        request = b"GET /timeline HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n"
        channel._writer.write(request)
        await asyncio.sleep(0.05)
        reading = asyncio.ensure_future(channel._reader.read(2**30))
        answer = b""
        while piece := await reading:
            answer += piece
            await asyncio.sleep(0.01)
            reading = asyncio.ensure_future(channel._reader.read(2_000))
        channel.close()
        assert await stopping
    assert answer.endswith(b"]")


async def test_relay_that_owes_nothing_stops_as_soon_as_it_may() -> None:
    async with relay_cluster(relays=2) as cluster:
        started_s = loop_time()
        assert await cluster.relays[0].drain()
        assert loop_time() - started_s < GRACE_S / 3 + 0.3


async def test_slots_of_a_relay_that_ends_without_a_word_are_released() -> None:
    """An owner needs no message for this: the end of the link is enough."""
    async with relay_cluster(relays=2) as cluster:
        owner = cluster.relays[1].relay.slot_arbiter
        address = cluster.relays[0].relay.mesh.address
        request = SlotGrantRequest(7, "dec-1", ZERO_FORECAST)
        assert owner._grant_to_peer(address, request)
        await cluster.runs[0].aclose()
        await asyncio.sleep(2 * CONNECT_INTERVAL_S)
        assert not owner._grants._grant_by_id


async def test_relay_with_a_stream_that_does_not_end_stops_within_the_grace() -> None:
    async with relay_cluster(relays=2) as cluster:
        for name in ("dec-1", "dec-2", "dec-3"):
            cluster.runners[name].faults.stall_after_events = 2
        response = await cluster.request("/gen/1", wasabimux_token_count=TOKEN_COUNTS)
        reading = asyncio.ensure_future(response.body())
        started_s = loop_time()
        await stop(cluster)
        assert loop_time() - started_s < GRACE_S
        await asyncio.wait({reading})
        assert reading.exception() is not None
        usage = cluster.relays[1].relay.mesh.others
        assert not any(load.running for load in usage.load_by_upstream.values())


@contextlib.asynccontextmanager
async def held_peer(cluster: RelayCluster) -> AsyncGenerator[SlowChannel, None]:
    """Links a peer to the first relay, which reads nothing from then on."""
    relay = cluster.relays[0].relay
    channel = await connect_slowly(parse_address(relay.mesh.address)[1])
    hello = relay_hello("peer", 1)
    link = Link(channel, hello, HybridClock(), LinkCallbacks(), initiator=True)
    with link:
        link.start()
        await link.ready.wait()
        link.send(0, RelayIdentity(PEER_ADDRESS, "zone-a"))
        await cluster.wait_until(
            lambda: relay.mesh.send_to(PEER_ADDRESS, SettingsUpdate(0))
        )
        channel.held = True
        yield channel


async def test_peer_that_reads_nothing_holds_a_relay_no_longer_than_the_grace() -> None:
    async with relay_cluster() as cluster, held_peer(cluster):
        started_s = loop_time()
        await stop(cluster)
        assert loop_time() - started_s < GRACE_S


async def test_peer_that_has_not_got_the_notice_of_a_stop_counts_as_not_told(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: a notice counted as sent while this process still held it."""
    monkeypatch.setattr(process, "listen_tcp", listen_shrunk)
    async with relay_cluster() as cluster, held_peer(cluster):
        mesh = cluster.relays[0].relay.mesh
        mesh.send_to(PEER_ADDRESS, SettingsUpdate(0, b"x" * ANSWER_BYTES))
        await mesh.announce_shutdown()
        events = [event.name for event in cluster.relays[0].timeline.events()]
        assert "peers_not_told" in events


async def test_store_that_hangs_holds_the_stop_of_an_entry_briefly(
    brazos_document: dict[str, Any], monkeypatch: pytest.MonkeyPatch
) -> None:
    """Regression: each shard of the rate limits took its own time to be released."""
    async with run_embedded(check_fleet(brazos_document).ok) as fleet:
        shards = fleet.entry.entry.shard_manager
        while not shards.held_shards:
            await asyncio.sleep(0.01)

        async def hang(*args: object) -> int:
            await asyncio.sleep(STORE_TIMEOUT_S)
            raise StoreUnavailable()

        monkeypatch.setattr(MemoryPlatform, "put", hang)
        started_s = loop_time()
        assert await fleet.drain()
        assert loop_time() - started_s < SETTLE_TIMEOUT_S + 1.0


async def test_embedded_fleet_that_owes_nothing_stops_at_once(
    brazos_document: dict[str, Any],
) -> None:
    async with run_embedded(check_fleet(brazos_document).ok) as fleet:
        pool = fleet.entry.entry.pool
        while not all(pool.usable(item["id"]) for item in brazos_document["groups"]):
            await asyncio.sleep(0.01)
        started_s = loop_time()
        assert await fleet.drain()
        assert loop_time() - started_s < CALM_STOP_S
