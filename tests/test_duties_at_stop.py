"""What a relay still owes to engines, peers and operators as it stops."""

from __future__ import annotations

import asyncio
from typing import Any

import pytest

from tests.relay_fixtures import RelayCluster, relay_cluster
from tests.stopping_process import connect_slowly, shrink_send_buffers
from wasabimux._clock import loop_time
from wasabimux.adapters.http_server import HttpServer
from wasabimux.decisions.aggregation import Scope, UsageReport
from wasabimux.ids import UpstreamId
from wasabimux.relay.mesh import MAX_REPORT_INTERVAL_S

TOKEN_COUNTS = "100,60"

#: Grace time in s of the relays under test.
GRACE_S = 2.0

#: Time in s that an engine takes to answer a control call, and within which the relay
#: that calls would have stopped without waiting.
CONTROL_DELAY_S = 0.9

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
