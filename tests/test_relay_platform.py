"""The adapter to the users' platform: headers, documents, store."""

from __future__ import annotations

import pytest

from tests.relay_fixtures import desired_state
from wasabimux.ids import UpstreamId, WorkspaceId
from wasabimux.platform.documents import decode_desired_state, decode_upstream
from wasabimux.platform.engine import PlatformEngineCodec
from wasabimux.platform.headers import PlatformHeaderCodec
from wasabimux.platform.standins.store import StandInStore
from wasabimux.platform.store import PlatformStoreClient
from wasabimux.ports import StoreConflict, StoreUnavailable
from wasabimux.relay.model import Phase, RequestKind, SendOptions
from wasabimux.relay.ports import HistoryLost, PhaseChangeCommand
from wasabimux.settings.address import parse_address

REQUEST = [
    (b"host", b"desk.example"),
    (b"authorization", b"Bearer secret"),
    (b"wasabimux-request-id", b"r1"),
    (b"wasabimux-deadline-ms", b"1500"),
    (b"wasabimux-token-count", b"1460,80"),
    (b"wasabimux-length-hint", b"55"),
    (b"wasabimux-tenant", b"forged"),
    (b"wasabimux-kv-hold", b"forged"),
    (b"wasabimux-expect-instance", b"forged"),
    (b"kv-fetch", b"10.0.0.1:1"),
    (b"connection", b"keep-alive"),
    (b"content-length", b"4"),
    (b"x-own", b"kept"),
]


def test_request_facts() -> None:
    facts = PlatformHeaderCodec().read_request(REQUEST)
    assert facts.key == "secret"
    assert facts.time_left_s == 1.5
    assert (facts.prompt_tokens, facts.output_tokens) == (1460, 80)
    assert facts.expected_tokens == 55
    assert facts.last_event_id is None


def test_unreadable_numbers_count_as_missing() -> None:
    headers = [(b"wasabimux-deadline-ms", b"soon"), (b"wasabimux-token-count", b"1")]
    facts = PlatformHeaderCodec().read_request(headers)
    assert facts.time_left_s is None
    assert not facts.has_token_counts


def test_only_the_system_sets_its_headers() -> None:
    options = SendOptions(UpstreamId("i-1"), 1.25, WorkspaceId("ropes"))
    sent = PlatformHeaderCodec().request_headers(REQUEST, options)
    assert dict(sent) == {
        b"host": b"desk.example",
        b"wasabimux-request-id": b"r1",
        b"wasabimux-token-count": b"1460,80",
        b"wasabimux-length-hint": b"55",
        b"x-own": b"kept",
        b"wasabimux-deadline-ms": b"1250",
        b"wasabimux-expect-instance": b"i-1",
        b"wasabimux-tenant": b"ropes",
    }


def test_desired_state_becomes_types() -> None:
    desired = decode_desired_state(desired_state(version=7)).ok
    route = {item.name: item for item in desired.routes}["gen"]
    assert (desired.version, route.request_kind, route.resumable) == (
        7,
        RequestKind.STREAM,
        True,
    )
    assert route.client_idle_timeout_s == 2.0
    assert desired.service_by_name["engines"].engine.memory_tokens == 80_000
    assert desired.keys_required


def test_findings_name_the_place() -> None:
    document = desired_state(routes=[{"name": "r"}])
    findings = decode_desired_state(document).error
    assert "$.routes[0].host" in {finding.place for finding in findings}


@pytest.mark.parametrize(
    "broken",
    [
        None,
        "text",
        {},
        {"service": "s", "address": "nowhere", "zone": "z", "state": "ready"},
        {"service": "s", "address": "10.0.0.1:1", "zone": "z", "state": "odd"},
        {"service": 5, "address": "10.0.0.1:1", "zone": "z", "state": "ready"},
    ],
)
def test_broken_entries_name_no_upstream(broken: object) -> None:
    assert decode_upstream("i-1", broken).is_error()


def test_engine_calls() -> None:
    engines = PlatformEngineCodec()
    order = PhaseChangeCommand(UpstreamId("i-1"), True, "relay", 41, 2)
    call = engines.phase_change(order)
    assert b'"fence": 41' in call.body and b'"expected": 2' in call.body
    assert (b"wasabimux-expect-instance", b"i-1") in call.headers
    assert engines.read_reservation(503, b"") is None
    assert engines.read_kv_cache_handle(200, b"no json") is None
    assert (
        decode_upstream(
            "i-1",
            {"service": "s", "address": "10.0.0.1:1", "zone": "z", "state": "ready"}
            | {"phase": "decode"},
        ).ok.phase
        is Phase.DECODE
    )


async def test_store_lists_watches_and_writes() -> None:
    async with StandInStore() as stand_in:
        address = parse_address(await stand_in.listen())
        async with PlatformStoreClient(*address) as store:
            for number in range(501):
                await stand_in.put("many", f"n{number:04}", {"number": number})
            listed = await store.list("many")
            assert len(listed.objects) == 501
            revision = await store.create("own", "lease", {"holder": "a"})
            with pytest.raises(StoreConflict):
                await store.create("own", "lease", {"holder": "b"})
            with pytest.raises(StoreConflict):
                await store.replace("own", "lease", {"holder": "b"}, revision - 1)
            later = await store.replace("own", "lease", {"holder": "b"}, revision)
            changes = await store.watch("own", revision, 1.0)
            assert [item.platform_object.revision for item in changes.changes] == [
                later
            ]
            await store.delete("own", "lease", later)
            changes = await store.watch("own", later, 1.0)
            assert [item.deleted for item in changes.changes] == [True]


async def test_store_troubles_are_told_apart() -> None:
    async with StandInStore() as stand_in:
        address = parse_address(await stand_in.listen())
        async with PlatformStoreClient(*address) as store:
            await stand_in.put("kind", "name", {})
            stand_in.discard_history()
            with pytest.raises(HistoryLost):
                await store.watch("kind", 1, 1.0)
            stand_in.drop_write_responses = True
            with pytest.raises(StoreUnavailable):
                await store.create("own", "lost", {})
            assert stand_in.spec("own", "lost") == {}
            stand_in.available = False
            with pytest.raises(StoreUnavailable):
                await store.list("kind")
