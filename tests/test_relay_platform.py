"""Tests of the platform adapter: headers, documents, engine calls and store."""

from __future__ import annotations

import asyncio
import contextlib

import pytest

from tests.relay_fixtures import desired_state
from wasabimux.ids import StoreRevision, UpstreamId, WorkspaceId
from wasabimux.platform.documents import decode_desired_state, decode_upstream
from wasabimux.platform.engine import PlatformEngineCodec
from wasabimux.platform.headers import PlatformHeaderCodec
from wasabimux.platform.standins.store import StandInStore
from wasabimux.platform.store import PlatformStoreClient
from wasabimux.ports import StoreChannelLost, StoreConflict, StoreUnavailable
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


def test_request_metadata() -> None:
    metadata = PlatformHeaderCodec().read_request(REQUEST)
    assert metadata.key == "secret"
    assert metadata.time_left_s == 1.5
    assert (metadata.prompt_tokens, metadata.output_tokens) == (1460, 80)
    assert metadata.expected_tokens == 55
    assert metadata.last_event_id is None


def test_invalid_numbers_count_as_missing() -> None:
    headers = [(b"wasabimux-deadline-ms", b"soon"), (b"wasabimux-token-count", b"1")]
    metadata = PlatformHeaderCodec().read_request(headers)
    assert metadata.time_left_s is None
    assert not metadata.has_token_counts


def test_clients_cannot_set_system_headers() -> None:
    options = SendOptions(UpstreamId("i-1"), 1.25, WorkspaceId("ropes"))
    forwarded = PlatformHeaderCodec().request_headers(REQUEST, options)
    assert dict(forwarded) == {
        b"host": b"desk.example",
        b"wasabimux-request-id": b"r1",
        b"wasabimux-token-count": b"1460,80",
        b"wasabimux-length-hint": b"55",
        b"x-own": b"kept",
        b"wasabimux-deadline-ms": b"1250",
        b"wasabimux-expect-instance": b"i-1",
        b"wasabimux-tenant": b"ropes",
    }


def test_desired_state_is_decoded() -> None:
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


def test_findings_contain_json_paths() -> None:
    document = desired_state(routes=[{"name": "r"}])
    findings = decode_desired_state(document).error
    assert "$.routes[0].host" in {finding.location for finding in findings}


ENTRY = {
    "service": "s",
    "address": "10.0.0.1:1",
    "zone": "z",
    "state": "ready",
    "version": "v1",
    "slots": 1,
    "coldRemainingMs": 0,
    "sequence": 1,
}


@pytest.mark.parametrize(
    "entry",
    [
        None,
        "text",
        {},
        ENTRY | {"address": "nowhere"},
        ENTRY | {"state": "odd"},
        ENTRY | {"service": 5},
    ],
)
def test_invalid_upstream_entries_are_rejected(entry: object) -> None:
    assert decode_upstream("i-1", entry).is_error()


def test_engine_calls() -> None:
    codec = PlatformEngineCodec()
    command = PhaseChangeCommand(UpstreamId("i-1"), True, "relay", 41, 2)
    call = codec.phase_change(command)
    assert b'"fence": 41' in call.body and b'"expected": 2' in call.body
    assert (b"wasabimux-expect-instance", b"i-1") in call.headers
    assert codec.read_reservation(503, b"") is None
    assert codec.read_kv_cache_handle(200, b"no json") is None
    decoded = decode_upstream("i-1", ENTRY | {"phase": "decode"})
    assert decoded.ok.phase is Phase.DECODE


async def test_store_lists_watches_and_writes() -> None:
    async with StandInStore() as store:
        address = parse_address(await store.listen())
        async with PlatformStoreClient(*address) as client:
            for number in range(501):
                await store.put("many", f"n{number:04}", {"number": number})
            listed = await client.list("many")
            assert len(listed.objects) == 501
            revision = await client.create("own", "lease", {"holder": "a"})
            with pytest.raises(StoreConflict):
                await client.create("own", "lease", {"holder": "b"})
            older = revision._replace(number=revision.number - 1)
            with pytest.raises(StoreConflict):
                await client.replace("own", "lease", {"holder": "b"}, older)
            latest_revision = await client.replace(
                "own", "lease", {"holder": "b"}, revision
            )
            changes = await client.watch("own", revision, 1.0)
            assert [item.platform_object.revision for item in changes.changes] == [
                latest_revision
            ]
            await client.delete("own", "lease", latest_revision)
            changes = await client.watch("own", latest_revision, 1.0)
            assert [item.deleted for item in changes.changes] == [True]


async def test_store_errors_are_distinguished() -> None:
    async with StandInStore() as store:
        address = parse_address(await store.listen())
        async with PlatformStoreClient(*address) as client:
            await store.put("kind", "name", {})
            store.discard_history()
            with pytest.raises(HistoryLost):
                await client.watch("kind", StoreRevision(1, 1), 1.0)
            store.drop_write_responses = True
            with pytest.raises(StoreUnavailable):
                await client.create("own", "lost", {})
            assert store.spec("own", "lost") == {}
            store.available = False
            with pytest.raises(StoreUnavailable):
                await client.list("kind")


async def test_lost_channel_is_told_apart_from_a_store_that_cannot_be_reached() -> None:
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(StandInStore())
        address = parse_address(await store.listen())
        proxy = await stack.enter_async_context(SilencingProxy(*address))
        server = await asyncio.start_server(proxy.serve, "127.0.0.1", 0)
        await stack.enter_async_context(server)
        client = PlatformStoreClient(*server.sockets[0].getsockname())
        await stack.enter_async_context(client)
        await client.list("kind")
        proxy.silence()
        with pytest.raises(StoreChannelLost):
            await client.list("kind")
        await client.list("kind")
        server.close()
        proxy.silence()
        with pytest.raises(StoreChannelLost):
            await client.list("kind")
        with pytest.raises(StoreUnavailable) as refused:
            await client.list("kind")
        assert not isinstance(refused.value, StoreChannelLost)


class SilencingProxy:
    """A proxy before the store whose open connections go silent when told so.

    Attributes:
        opened: Number of connections so far.
    """

    def __init__(self, host: str, port: int) -> None:
        self.opened = 0
        self._target = (host, port)
        self._pumps: list[asyncio.Task[None]] = []
        self._writers: list[asyncio.StreamWriter] = []

    async def __aenter__(self) -> SilencingProxy:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.silence()
        for writer in self._writers:
            writer.transport.abort()

    def silence(self) -> None:
        """Passes nothing on any more on the connections that are open."""
        for pump in self._pumps:
            pump.cancel()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Passes a connection on to the store, both ways."""
        self.opened += 1
        store_reader, store_writer = await asyncio.open_connection(*self._target)
        self._writers += [writer, store_writer]
        for source, target in ((reader, store_writer), (store_reader, writer)):
            self._pumps.append(asyncio.ensure_future(pump(source, target)))


async def pump(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Copies bytes until the source ends."""
    with contextlib.suppress(OSError):
        while data := await reader.read(65536):
            writer.write(data)
    writer.close()


async def test_calls_after_one_that_timed_out_use_no_connection_from_before() -> None:
    """Regression: silent kept connections were tried in turn, a time-out each."""
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(StandInStore())
        address = parse_address(await store.listen())
        proxy = await stack.enter_async_context(SilencingProxy(*address))
        server = await asyncio.start_server(proxy.serve, "127.0.0.1", 0)
        await stack.enter_async_context(server)
        client = PlatformStoreClient(*server.sockets[0].getsockname())
        await stack.enter_async_context(client)
        await asyncio.gather(*(client.list("kind") for _ in range(4)))
        assert proxy.opened == 4
        proxy.silence()
        with pytest.raises(StoreUnavailable):
            await client.list("kind")
        await client.list("kind")
        assert proxy.opened == 5
