"""Tests of relays with simulated platform services, over real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncGenerator

import pytest
import pytest_asyncio

from tests.engine_streams import expected_stream
from tests.relay_fixtures import API_KEY, RelayCluster, desired_state, relay_cluster
from wasabimux._clock import loop_time
from wasabimux.adapters.http_client import ClientConnection, HttpClient
from wasabimux.decisions import stream_migration
from wasabimux.decisions.aggregation import RelayCounts
from wasabimux.decisions.memory_forecast import ZERO_FORECAST
from wasabimux.decisions.phase_plan import PhaseChange
from wasabimux.decisions.placement import rendezvous_top
from wasabimux.ids import StoreRevision, UpstreamId
from wasabimux.link.link import Link
from wasabimux.platform.documents import PlatformDocumentDecoder
from wasabimux.platform.store import PlatformStoreClient
from wasabimux.ports import UpstreamLost
from wasabimux.relay.mesh import CONNECT_INTERVAL_S, IDLE_REPORT_INTERVAL_S
from wasabimux.relay.model import Phase
from wasabimux.relay.moves import CHECK_INTERVAL_S
from wasabimux.relay.object_watcher import STORE_RECOVERY_S, ObjectWatcher
from wasabimux.relay.ports import ObjectChange, PlatformObject
from wasabimux.relay.view import FleetView
from wasabimux.timeline import Timeline

TOKEN_COUNTS = "100,60"
TOKEN_COUNT_HEADERS = {"wasabimux_token_count": TOKEN_COUNTS}

#: A change of the desired state must be in force within 2 s. Passing it on to peers
#: takes up to 0.6 s, which leaves this time for a relay to notice it.
MAX_NOTICE_DELAY_S = 1.4


@pytest_asyncio.fixture
async def cluster() -> AsyncGenerator[RelayCluster, None]:
    """One relay with two upstreams of a plain service and four engines."""
    async with relay_cluster() as running:
        yield running


@pytest_asyncio.fixture
async def three_relays() -> AsyncGenerator[RelayCluster, None]:
    """Three relays that start at the same time."""
    async with relay_cluster(relays=3) as running:
        yield running


def aggregator_counts(cluster: RelayCluster, store_reachable: bool = False) -> set[int]:
    """Returns the numbers of aggregators that the relays hear."""
    now = loop_time()
    meshes = [running.relay.mesh for running in cluster.relays]
    return {len(mesh.live_aggregators(now, store_reachable)) for mesh in meshes}


def plain_call_runner_ids(cluster: RelayCluster) -> list[str]:
    """Returns the ID of its runner for each plain call that ran, in any order."""
    return [
        runner.id
        for runner in cluster.runners.values()
        if runner.phase is None
        for _ in runner.runs
    ]


async def test_plain_call_is_forwarded_unchanged(cluster: RelayCluster) -> None:
    async with await cluster.request("/unsafe/1?a=b", x_own="kept") as response:
        body = await response.body()
    (run,) = [run for runner in cluster.runners.values() for run in runner.runs]
    headers = dict(response.headers)
    assert response.status == 200
    assert body.startswith(b"answer of desk-")
    assert headers[b"wasabimux-response-signature"].startswith(b"sig-desk-")
    assert run.body == b"body"
    assert run.headers[b"x-own"] == b"kept"
    assert run.headers[b"wasabimux-tenant"] == b"ropes"
    assert b"authorization" not in run.headers
    assert 0 < int(run.headers[b"wasabimux-deadline-ms"]) <= 800


@pytest.mark.parametrize(
    ("path", "key", "status"),
    [
        ("/nowhere/", f"Bearer {API_KEY}", 404),
        ("/unsafe/1", "Bearer wrong", 401),
        ("/unsafe/1", f"Basic {API_KEY}", 401),
    ],
)
async def test_rejected_requests_reach_no_upstream(
    cluster: RelayCluster, path: str, key: str, status: int
) -> None:
    async with await cluster.request(path, authorization=key) as response:
        assert response.status == status
        await response.body()
    assert plain_call_runner_ids(cluster) == []


async def test_stream_uses_slot_prefill_and_decode(cluster: RelayCluster) -> None:
    async with await cluster.request(
        "/gen/1", wasabimux_token_count=TOKEN_COUNTS, wasabimux_kv_hold="forged"
    ) as response:
        assert await response.body() == expected_stream()
    decode_engines = [cluster.runners[name] for name in ("dec-1", "dec-2", "dec-3")]
    (run,) = [run for runner in decode_engines for run in runner.runs]
    assert len(cluster.runners["pre-1"].state.prefills) == 1
    assert run.headers[b"wasabimux-kv-source"].endswith(b"/handle-1")
    assert run.headers[b"wasabimux-kv-hold"] == b"hold-1"
    relay = cluster.relays[0].relay
    await cluster.wait_until(
        lambda: all(item.running == 0 for item in relay.pool.by_id.values())
    )
    assert all(not item.streams for item in relay.pool.by_id.values())


async def test_broken_stream_resumes_elsewhere_without_loss(
    cluster: RelayCluster,
) -> None:
    cluster.runners["dec-1"].faults.cut_after_events = 2
    while not cluster.runners["dec-1"].runs:
        async with await cluster.request(
            "/gen/1", wasabimux_token_count=TOKEN_COUNTS
        ) as response:
            assert await response.body() == expected_stream()
    resumed = [
        run.headers[b"last-event-id"]
        for runner in cluster.runners.values()
        for run in runner.runs
        if b"last-event-id" in run.headers
    ]
    assert resumed and set(resumed) == {b"2"}


@pytest.mark.parametrize("no_copies", [False, True])
async def test_streams_migrate_off_full_engines_without_loss(
    cluster: RelayCluster, monkeypatch: pytest.MonkeyPatch, no_copies: bool
) -> None:
    """With every engine counted as full, a stream migrates repeatedly."""
    monkeypatch.setattr(stream_migration, "MIGRATION_FILL_FRACTION", 0.0)
    for name in ("dec-1", "dec-2", "dec-3"):
        cluster.runners[name].events = 60
        cluster.runners[name].faults.fail_kv_cache_copies = no_copies
    async with await cluster.request(
        "/gen/1", wasabimux_token_count=TOKEN_COUNTS
    ) as response:
        assert await response.body() == expected_stream(60)
    runs = [run for runner in cluster.runners.values() for run in runner.runs]
    assert len(runs) > 2
    assert all(b"wasabimux-kv-source" in run.headers for run in runs)
    assert sum(b"wasabimux-kv-hold" in run.headers for run in runs) == 1
    relay = cluster.relays[0].relay
    assert all(item.running == 0 for item in relay.pool.by_id.values())
    assert all(not item.streams for item in relay.pool.by_id.values())
    assert relay.retries.for_service("engines").try_spend(
        0.0
    )  # not charged for migrations


async def test_client_disconnect_during_migration_frees_both_engines(
    cluster: RelayCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(stream_migration, "MIGRATION_FILL_FRACTION", 0.0)
    for name in ("dec-1", "dec-2", "dec-3"):
        cluster.runners[name].events = 300
    response = await cluster.request("/gen/1", wasabimux_token_count=TOKEN_COUNTS)
    await asyncio.sleep(3.5 * CHECK_INTERVAL_S)
    response.close()
    relay = cluster.relays[0].relay
    await cluster.wait_until(
        lambda: all(
            item.running == 0 and not item.streams for item in relay.pool.by_id.values()
        )
    )


async def test_non_resumable_stream_does_not_migrate(
    cluster: RelayCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(stream_migration, "MIGRATION_FILL_FRACTION", 0.0)
    for name in ("dec-1", "dec-2", "dec-3"):
        cluster.runners[name].events = 30
    async with await cluster.request(
        "/once/1", wasabimux_token_count=TOKEN_COUNTS
    ) as response:
        assert await response.body() == expected_stream(30)
    assert len([run for item in cluster.runners.values() for run in item.runs]) == 1


async def test_stream_without_attempts_left_is_not_stopped_for_a_move(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Regression: it was stopped, and cut as its new engine did not take it."""
    monkeypatch.setattr(stream_migration, "MIGRATION_FILL_FRACTION", 0.0)
    state = desired_state()
    for route in state["routes"]:
        route["maxAttempts"] = 1
    async with relay_cluster(state=state) as cluster:
        engines = [cluster.runners[name] for name in ("dec-1", "dec-2", "dec-3")]
        for engine in engines:
            engine.events = 30
        async with await cluster.request(
            "/gen/1", wasabimux_token_count=TOKEN_COUNTS
        ) as response:
            for engine in engines:
                engine.faults.refuse_requests = True
            assert await response.body() == expected_stream(30)


async def test_phase_change_is_sent_only_after_peers_know(
    cluster: RelayCluster,
) -> None:
    """Guards against an engine refusing streams that were granted a slot there.

    This happened when the engine got the command to change its phase before the peers
    knew of the change.
    """
    relay = cluster.relays[0].relay
    service = relay.view.desired_state.service_by_name["engines"]
    engine = relay.pool.by_id["dec-1"]
    change = PhaseChange(engine.id, to_prefill=True)
    assert await relay.phases.hold_lease()
    phase_change = asyncio.ensure_future(
        relay.phases.change_phase(service, engine, change)
    )
    async with await cluster.request(
        "/gen/1", wasabimux_token_count=TOKEN_COUNTS
    ) as response:
        assert await response.body() == expected_stream()
    assert not phase_change.done()
    assert cluster.runners["dec-1"].runs == []
    assert cluster.runners["dec-1"].state.phase_change_commands == []
    await phase_change
    assert len(cluster.runners["dec-1"].state.phase_change_commands) == 1


async def test_one_relay_grants_the_slots_of_an_engine(
    three_relays: RelayCluster,
) -> None:
    """Guards against two relays that see one free slot and both take it."""
    relays = [item.relay for item in three_relays.relays]
    await three_relays.wait_until(lambda: aggregator_counts(three_relays) == {2})
    addresses = relays[0].mesh.live_aggregators(loop_time())
    (owner,) = rendezvous_top(b"dec-1", addresses, 1)
    other_relays = [item for item in relays if item.mesh.address != owner]
    granted = await asyncio.gather(
        *(
            item.slot_arbiter.request_grant(
                item.pool.by_id["dec-1"],
                item.view.desired_state.service_by_name["engines"],
                (0.4 * 80_000.0,) * len(ZERO_FORECAST),
            )
            for item in other_relays
        )
    )
    assert sorted(lease is not None for lease in granted) == [False, True]


async def test_released_slots_are_granted_again(three_relays: RelayCluster) -> None:
    await three_relays.wait_until(lambda: aggregator_counts(three_relays) == {2})
    for item in (running.relay for running in three_relays.relays):
        engine = item.pool.by_id["dec-1"]
        service = item.view.desired_state.service_by_name["engines"]
        memory = (0.5 * 80_000.0,) * len(ZERO_FORECAST)
        for _ in range(3):
            lease = await item.slot_arbiter.request_grant(engine, service, memory)
            assert lease is not None
            item.slot_arbiter.release(lease)
            await asyncio.sleep(0.02)


async def test_only_relays_that_reach_the_store_are_eligible_leaders(
    three_relays: RelayCluster,
) -> None:
    """Guards against a lack of phase changes when the store refuses the first relay.

    The first in line for leadership could not become leader, and no other took over. In
    incident inc-c892 of fafl-wa, no prompt was prefilled on a separate engine for 20 s.
    """

    def eligible_counts() -> set[int]:
        return aggregator_counts(three_relays, store_reachable=True)

    await three_relays.wait_until(lambda: eligible_counts() == {2})
    three_relays.store.available = False
    await three_relays.wait_until(lambda: eligible_counts() == {0})
    assert aggregator_counts(three_relays) == {2}
    three_relays.store.available = True
    await three_relays.wait_until(lambda: eligible_counts() == {2})


async def test_engine_at_which_two_peers_failed_is_avoided(
    three_relays: RelayCluster,
) -> None:
    """Guards against each relay waiting for an unresponsive engine on its own."""
    first, second, third = (item.relay for item in three_relays.relays)

    def decode_engine_ids() -> list[str]:
        found = third.selector.engines("engines", Phase.DECODE, loop_time(), [])
        return sorted(item.id for item in found)

    first.pool.by_id["dec-1"].health.back_off(loop_time())
    await asyncio.sleep(2 * IDLE_REPORT_INTERVAL_S)
    # The failures that a single peer reports may be due to its own connectivity.
    assert decode_engine_ids() == ["dec-1", "dec-2", "dec-3"]
    for relay in (first, second):
        for _ in range(3):
            relay.pool.by_id["dec-1"].health.back_off(loop_time())
    await three_relays.wait_until(lambda: decode_engine_ids() == ["dec-2", "dec-3"])


async def test_silent_slot_owner_delays_no_request(three_relays: RelayCluster) -> None:
    relays = [item.relay for item in three_relays.relays]
    for item in relays:
        item.slot_arbiter.on_slot_ask = lambda link, ask: None
    responses = await asyncio.gather(
        *(
            three_relays.request(
                f"/gen/{number}", f"r{number}", number, **TOKEN_COUNT_HEADERS
            )
            for number in range(3)
        )
    )
    for response in responses:
        assert await response.body() == expected_stream()


async def test_non_resumable_stream_ends_with_an_error(cluster: RelayCluster) -> None:
    for name in ("dec-1", "dec-2", "dec-3"):
        cluster.runners[name].faults.cut_after_events = 2
    response = await cluster.request("/once/1", wasabimux_token_count=TOKEN_COUNTS)
    with pytest.raises(UpstreamLost):
        await response.body()
    runs = [run for runner in cluster.runners.values() for run in runner.runs]
    assert len(runs) == 1


@pytest.mark.parametrize(("path", "runs"), [("/safe/1", 2), ("/unsafe/1", 1)])
async def test_only_idempotent_calls_are_retried(
    cluster: RelayCluster, path: str, runs: int
) -> None:
    """A call whose response was lost may have run: an unsafe call gets status 502."""
    for name in ("desk-1", "desk-2"):
        cluster.runners[name].faults.cut_after_events = 0
    async with await cluster.request(path) as response:
        assert response.status == 502
        assert b'"ran": "unknown"' in await response.body()
    assert len(plain_call_runner_ids(cluster)) == runs


@pytest.mark.parametrize("path", ["/safe/1", "/unsafe/1"])
async def test_response_to_another_request_is_not_forwarded(
    cluster: RelayCluster, path: str
) -> None:
    for name in ("desk-1", "desk-2"):
        cluster.runners[name].faults.wrong_request_id = True
    async with await cluster.request(path) as response:
        assert response.status == 502
        assert b"answer of" not in await response.body()


async def test_refusal_that_states_not_run_is_correct(cluster: RelayCluster) -> None:
    for name in ("desk-1", "desk-2"):
        cluster.runners[name].faults.refuse_requests = True
    async with await cluster.request("/unsafe/1") as response:
        assert response.status == 503
        assert b"retry-after" in dict(response.headers)
        assert b'"ran": "no"' in await response.body()
    assert plain_call_runner_ids(cluster) == []


async def test_failed_safe_call_is_retried_elsewhere(cluster: RelayCluster) -> None:
    cluster.runners["desk-1"].faults.status = 500
    for number in range(8):
        async with await cluster.request("/safe/1", f"r{number}") as response:
            assert response.status == 200
            await response.body()


async def test_unresponsive_upstream_ends_at_the_route_timeout(
    cluster: RelayCluster,
) -> None:
    for name in ("desk-1", "desk-2"):
        cluster.runners[name].faults.delay_s = 5.0
    loop = asyncio.get_running_loop()
    started_s = loop.time()
    async with await cluster.request("/unsafe/1") as response:
        assert response.status == 504
        await response.body()
    assert loop.time() - started_s >= 0.8


async def test_draining_upstream_gets_no_new_requests(cluster: RelayCluster) -> None:
    runner = cluster.runners["desk-1"]
    await cluster.store.put("servers", runner.id, runner.store_entry("draining"))
    await cluster.store.put("evacuations", "zone-b", {})
    relay = cluster.relays[0].relay
    await cluster.wait_until(
        lambda: bool(relay.view.evacuated_domains)
        and relay.pool.by_id["desk-1"].record.draining
    )
    async with await cluster.request("/safe/1") as response:
        assert response.status == 503
        await response.body()
    await cluster.store.remove("evacuations", "zone-b")
    await cluster.wait_until(lambda: not relay.view.evacuated_domains)
    async with await cluster.request("/safe/2", "r2") as response:
        assert await response.body() == b"answer of desk-2"


async def test_reused_address_serves_no_other_upstream(cluster: RelayCluster) -> None:
    """A store entry has the address of another runner, which responds with 421."""
    other = cluster.runners["desk-2"]
    cluster.runners["desk-1"].address = other.address
    await cluster.store.put(
        "servers", "desk-1", cluster.runners["desk-1"].store_entry()
    )
    relay = cluster.relays[0].relay
    await cluster.wait_until(
        lambda: relay.pool.by_id["desk-1"].record.address == other.address
    )
    for number in range(4):
        async with await cluster.request("/unsafe/1", f"r{number}") as response:
            assert await response.body() == b"answer of desk-2"


async def test_client_disconnect_ends_the_run(cluster: RelayCluster) -> None:
    for name in ("dec-1", "dec-2", "dec-3"):
        cluster.runners[name].events = 10_000
    response = await cluster.request("/gen/1", wasabimux_token_count=TOKEN_COUNTS)
    chunks = response.pieces()
    await anext(chunks)
    response.close()
    relay = cluster.relays[0].relay
    await cluster.wait_until(
        lambda: all(item.running == 0 for item in relay.pool.by_id.values())
    )


async def test_waiter_cancelled_as_its_slot_is_granted_frees_it(
    cluster: RelayCluster,
) -> None:
    """Guards against a slot leaking when its waiter is cancelled as it is granted."""
    relay = cluster.relays[0].relay
    for number in range(40):
        sending = asyncio.ensure_future(
            cluster.request("/gen/1", f"r{number}", wasabimux_token_count=TOKEN_COUNTS)
        )
        await asyncio.sleep(0.0005 * number)
        sending.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            (await sending).close()
    await cluster.wait_until(
        lambda: all(item.running == 0 for item in relay.pool.by_id.values())
    )
    assert all(not item.streams for item in relay.pool.by_id.values())


async def test_streams_without_a_slot_get_retry_after(
    cluster: RelayCluster,
) -> None:
    for name in ("dec-1", "dec-2", "dec-3"):
        cluster.runners[name].faults.refuse_reservations = True
    async with await cluster.request(
        "/gen/1", wasabimux_token_count=TOKEN_COUNTS
    ) as response:
        assert response.status == 503
        assert float(dict(response.headers)[b"retry-after"]) > 0
        assert b'"ran": "no"' in await response.body()
    assert not any(runner.runs for runner in cluster.runners.values())


async def test_relays_that_start_together_discover_each_other(
    three_relays: RelayCluster,
) -> None:
    """Guards against relays that read the store before the others have registered."""
    meshes = [running.relay.mesh for running in three_relays.relays]
    await three_relays.wait_until(
        lambda: all(len(m.membership.peer_by_address) == 2 for m in meshes)
    )
    await three_relays.wait_until(
        lambda: all(m.relay_counts() == RelayCounts(3, 0) for m in meshes)
    )


async def test_peers_that_disconnect_do_not_break_a_shutdown(
    three_relays: RelayCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Guards against an error on SIGTERM when links change during the shutdown.

    In run fresh-a525 of the grown site, four processes exited on their own.
    """
    mesh = three_relays.relays[0].relay.mesh
    await three_relays.wait_until(lambda: aggregator_counts(three_relays) == {2})

    async def flush(link: Link) -> None:
        link.close()
        await asyncio.sleep(2 * CONNECT_INTERVAL_S)

    monkeypatch.setattr(Link, "flush", flush)
    await mesh.announce_shutdown()


async def test_peers_pass_on_changes_that_only_one_received(
    three_relays: RelayCluster,
) -> None:
    """Peers pass on changes while the store is unavailable; versions never go back."""
    meshes = [running.relay.mesh for running in three_relays.relays]
    loop = asyncio.get_running_loop()
    await three_relays.wait_until(
        lambda: all(m.relay_counts() == RelayCounts(3, 0) for m in meshes)
    )
    three_relays.store.available = False
    first = three_relays.relays[0].relay
    newer = desired_state(version=9)
    change = ObjectChange(PlatformObject("main", StoreRevision(1, 900), newer), False)
    first.view.apply_changes("config", [change], StoreRevision(1, 900), loop.time())
    await three_relays.wait_until(
        lambda: all(
            running.relay.view.desired_state is not None
            and running.relay.view.desired_state.version == 9
            for running in three_relays.relays
        )
    )
    older = ObjectChange(
        PlatformObject("main", StoreRevision(1, 5), desired_state(version=2)), False
    )
    first.view.apply_changes("config", [older], StoreRevision(1, 5), loop.time())
    assert (
        first.view.desired_state is not None and first.view.desired_state.version == 9
    )


async def test_store_that_lost_its_history_is_listed_again(
    cluster: RelayCluster,
) -> None:
    cluster.store.withhold_watch_events = True
    await cluster.store.put("config", "main", desired_state(version=3))
    cluster.store.discard_history()
    relay = cluster.relays[0].relay
    cluster.store.withhold_watch_events = False
    await cluster.wait_until(
        lambda: relay.view.desired_state is not None
        and relay.view.desired_state.version == 3
    )


@pytest.mark.parametrize("watchers", [1, 4, 6, 10, 24])
def test_watch_that_silently_fails_is_noticed(watchers: int) -> None:
    """Guards against long watches that silently stop delivering changes.

    Watches of 6 s kept an old desired state in force for as long, while a change must
    be in force 2 s after it was acknowledged. At 99 of 100 points in time, at least
    one of the relays that watch and inform each other must start a watch within 1.4 s.
    """
    view = FleetView(PlatformDocumentDecoder(), Timeline("test"), lambda now: None)
    store = PlatformStoreClient("127.0.0.1", 1)
    rng = random.Random(watchers)
    follower = ObjectWatcher(
        "config", store, view, Timeline("test"), rng, lambda: watchers
    )
    missed = 0
    for _ in range(2_000):
        waits_s = [rng.uniform(0, follower.next_watch_s()) for _ in range(watchers)]
        missed += min(waits_s) > MAX_NOTICE_DELAY_S
    assert missed <= 0.01 * 2_000


async def test_entries_that_expire_in_an_outage_are_kept_for_a_while(
    cluster: RelayCluster,
) -> None:
    relay = cluster.relays[0].relay
    cluster.store.available = False
    await cluster.wait_until(
        lambda: not any(f.store_reachable for f in relay._watchers)
    )
    await cluster.store.remove("servers", "desk-1")
    cluster.store.available = True
    await cluster.wait_until(lambda: all(f.store_reachable for f in relay._watchers))
    await asyncio.sleep(0.1)
    assert "desk-1" in relay.pool.by_id
    await cluster.wait_until(lambda: "desk-1" not in relay.pool.by_id)


async def test_upstream_removed_after_an_outage_is_dropped_at_once(
    cluster: RelayCluster,
) -> None:
    """Guards against taking a removed entry for an expired one after an outage.

    The upstream stayed in use for 2.5 s after the outage.
    """
    relay = cluster.relays[0].relay
    cluster.store.available = False
    await cluster.wait_until(
        lambda: not any(f.store_reachable for f in relay._watchers)
    )
    cluster.store.available = True
    await cluster.wait_until(lambda: all(f.store_reachable for f in relay._watchers))
    await asyncio.sleep(STORE_RECOVERY_S)
    await cluster.store.remove("servers", "desk-1")
    await cluster.wait_until(lambda: "desk-1" not in relay.pool.by_id)
    events = [event.name for event in cluster.relays[0].timeline.events()]
    assert "upstream_entry_missing" not in events


async def test_graceful_shutdown_interrupts_no_stream(cluster: RelayCluster) -> None:
    """Guards against a short grace period being used up after a third of it."""
    for name in ("dec-1", "dec-2", "dec-3"):
        cluster.runners[name].events = 90
    response = await cluster.request("/gen/1", wasabimux_token_count=TOKEN_COUNTS)
    draining = asyncio.ensure_future(cluster.relays[0].drain())
    assert await response.body() == expected_stream(90)
    assert await draining


async def test_unsolicited_bytes_close_an_idle_connection() -> None:
    """Guards against taking a surplus response for that of the next request."""
    stray = asyncio.Event()

    async def serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        await reader.readuntil(b"\r\n\r\n")
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok")
        await stray.wait()
        writer.write(b"HTTP/1.1 200 OK\r\ncontent-length: 5\r\n\r\nstray")

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    async with server:
        address = server.sockets[0].getsockname()
        connection = await ClientConnection.connect(*address[:2])
        headers = [(b"host", b"x")]
        await connection.send_request("GET", "/", headers, b"")
        while type(await connection.next_event()).__name__ != "EndOfMessage":
            continue
        assert connection.start_next_cycle()
        connection.start_idle_watch()
        assert connection.is_alive
        stray.set()
        while connection.is_alive:
            await asyncio.sleep(0.01)
        assert not await connection.stop_idle_watch()
        connection.close()


async def test_stream_that_breaks_late_is_resumed(cluster: RelayCluster) -> None:
    """Guards against measuring the wait for a slot from the request's arrival."""
    for name in ("dec-1", "dec-2", "dec-3"):
        cluster.runners[name].events = 400  # 4 s, longer than clients wait for a slot
    response = await cluster.request("/gen/1", wasabimux_token_count=TOKEN_COUNTS)
    chunks = response.pieces()
    received = b""
    while b"id: 300\n" not in received:
        received += await anext(chunks)
    for name in ("dec-1", "dec-2", "dec-3"):
        runner = cluster.runners[name]
        if runner.runs:
            runner.abort_streams()
    received += b"".join([chunk async for chunk in chunks])
    assert received == expected_stream(400)
    response.close()


async def test_stalled_stream_is_resumed_at_another_engine(
    cluster: RelayCluster,
) -> None:
    """Guards against the client disconnecting before a stall is detected."""
    cluster.runners["dec-1"].faults.delay_s = 60.0
    while not cluster.runners["dec-1"].runs:
        async with await cluster.request(
            "/gen/1", wasabimux_token_count=TOKEN_COUNTS
        ) as response:
            assert await response.body() == expected_stream()


async def test_metrics_count_requests_by_outcome(cluster: RelayCluster) -> None:
    for path in ("/safe/1", "/nowhere/"):
        async with await cluster.request(path) as response:
            await response.body()
    admin = cluster.relays[0].admin_address
    async with HttpClient(*admin) as client:
        async with await client.request("GET", "/metrics") as response:
            text = (await response.body()).decode()
    assert 'wasabimux_requests_total{kind="safe",outcome="answered"' in text
    assert 'outcome="refused",reason="not_found"' in text
    assert "wasabimux_request_seconds_bucket" in text
    assert 'wasabimux_store_calls_total{method="GET",outcome="status_200"}' in text
    assert "wasabimux_belief_age_seconds" in text
    assert API_KEY not in text


async def test_retry_without_a_slot_uses_no_further_retry_budget(
    cluster: RelayCluster,
) -> None:
    """Guards against immediate retries that use up the service's retry budget."""
    decode_engines = [cluster.runners[name] for name in ("dec-1", "dec-2", "dec-3")]
    for runner in decode_engines:
        runner.faults.cut_after_events = 0
        runner.faults.delay_s = 0.2
    relay = cluster.relays[0].relay
    sending = asyncio.ensure_future(
        cluster.request("/gen/1", wasabimux_token_count=TOKEN_COUNTS)
    )
    await cluster.wait_until(lambda: any(runner.runs for runner in decode_engines))
    for runner in decode_engines:
        runner.faults.refuse_reservations = True
    async with await sending as response:
        assert response.status == 502  # 503 would state that the request has not run
        assert b'"ran": "yes"' in await response.body()
    recorded = [event.name for event in cluster.relays[0].timeline.events()]
    assert recorded.count("sent_again") <= 1
    assert relay.slots.waiting == 0


async def test_stalled_stream_continues_once_the_retry_budget_is_used_up(
    cluster: RelayCluster,
) -> None:
    """Guards against ending a stalled stream that cannot be resumed elsewhere."""
    for name in ("dec-1", "dec-2", "dec-3"):
        cluster.runners[name].faults.delay_s = 1.5
    relay = cluster.relays[0].relay
    window = relay.retries.for_service("engines")
    while window.try_spend(asyncio.get_running_loop().time()):
        continue
    async with await cluster.request(
        "/gen/1", wasabimux_token_count=TOKEN_COUNTS
    ) as response:
        assert await response.body() == expected_stream()


async def test_call_that_one_of_two_attempts_may_have_run_is_not_refused_as_not_run(
    cluster: RelayCluster,
) -> None:
    """Guards against one attempt's refusal hiding that the other one was lost."""
    refusing, losing = cluster.runners["desk-1"], cluster.runners["desk-2"]
    refusing.faults.refuse_requests = True
    refusing.faults.delay_s = 0.4
    losing.faults.cut_after_events = 0
    for name in ("desk-1", "desk-2"):
        upstream = cluster.relays[0].relay.pool.by_id[UpstreamId(name)]
        upstream.running = 0 if name == "desk-1" else 3
    async with await cluster.request("/safe/1") as response:
        body = await response.body()
    assert losing.runs
    assert response.status == 502
    assert b'"ran": "unknown"' in body


async def test_malformed_store_entries_are_ignored(cluster: RelayCluster) -> None:
    """Entries may lack fields, have another type or be null."""
    relay = cluster.relays[0].relay
    for number, broken in enumerate([None, "text", 5, [], {"service": "desk"}]):
        await cluster.store.put("servers", f"broken-{number}", broken)
    await cluster.store.put("evacuations", "zone-x", None)
    runner = cluster.runners["desk-1"]
    await cluster.store.put("servers", "later", runner.store_entry())
    await cluster.wait_until(lambda: "later" in relay.pool.by_id)
    assert not any(name.startswith("broken") for name in relay.pool.by_id)
    async with await cluster.request("/safe/1") as response:
        assert response.status == 200
        await response.body()


@pytest.mark.parametrize(
    "header", ["last-event-id", "wasabimux-length-hint", "wasabimux-deadline-ms"]
)
async def test_number_of_many_digits_in_a_header_counts_as_missing(
    cluster: RelayCluster, header: str
) -> None:
    """Regression: it was answered with an internal error."""
    headers = {"wasabimux_token_count": TOKEN_COUNTS, header: "9" * 5_000}
    async with await cluster.request("/gen/1", **headers) as response:
        assert response.status == 200
        assert await response.body() == expected_stream()


async def test_failed_task_is_restarted(
    cluster: RelayCluster, monkeypatch: pytest.MonkeyPatch
) -> None:
    relay = cluster.relays[0].relay
    failures = iter([ValueError("once")])

    def fail_once() -> None:
        for error in failures:
            raise error

    monkeypatch.setattr(relay.view, "drop_expired", lambda now: fail_once())
    await cluster.wait_until(
        lambda: any(
            event.name == "task_failed" for event in cluster.relays[0].timeline.events()
        )
    )
    monkeypatch.undo()
    relay.membership_settled = False
    await cluster.wait_until(lambda: relay.membership_settled)
