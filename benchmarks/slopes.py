"""Measures the costs per unit from which docs/CAPACITY.md is calculated.

Usage: python -m benchmarks.slopes
"""

from __future__ import annotations

import asyncio
import hashlib
import itertools
import json
import time
from typing import Any

from benchmarks.measure import Measurement, bytes_each, seconds_per_call
from wasabimux.decisions.crash_attribution import (
    MAX_CRASHES,
    CrashAttribution,
    CrashEvidence,
    CrashId,
)
from wasabimux.decisions.rate import (
    GrantDecision,
    GrantOutcome,
    GrantReport,
    RateLimit,
    ShardRateLimiter,
    Spent,
)
from wasabimux.decisions.replies import ReplyTable
from wasabimux.decisions.stream_versions import StreamVersion, StreamVersions
from wasabimux.entry.claims import ClaimRecord
from wasabimux.entry.rate_shards import ShardHolder, ShardRecord
from wasabimux.ids import (
    Incarnation,
    RequestId,
    SettingsVersion,
    SoftwareVersion,
    SuspectId,
    UpstreamId,
)
from wasabimux.link.channels import memory_channel_pair
from wasabimux.link.codec import decode_frame, encode_frame
from wasabimux.link.link import Link, LinkCallbacks
from wasabimux.link.messages import (
    Data,
    EndStream,
    EngineCrashes,
    FrameItem,
    GrantReply,
    GrantRequest,
    Hello,
    KvSource,
    LoadReport,
    OpenStream,
    Operation,
    Ping,
    ResponseHead,
    SettingsUpdate,
)
from wasabimux.relay.stream_records import records_document
from wasabimux.settings.check import check_fleet
from wasabimux.settings.fleet import FleetSettings
from wasabimux.settings.index import FleetIndex, key_digest
from wasabimux.settings.views import UpstreamSettings
from wasabimux.standins.engine import EngineParameters
from wasabimux.standins.virtual_fleet import VirtualFleet, run_in_virtual_time
from wasabimux.timeline import HybridClock, Timeline

TCP_IP_BYTES = 52  # headers of a TCP segment with time stamps
LENGTH_BYTES = 4  # length prefix of a frame
REQUEST_ID = "0123456789abcdef01234567"
TOKEN_EVENT = (
    b'data: {"id": "0123456789abcdef01234567.0", "model": "twine-large", '
    b'"choices": [{"index": 0, "finish_reason": null, "text": "w0 "}]}\n\n'
)


def make_document(workspaces: int, routes: int = 4) -> dict[str, Any]:
    """Makes fleet settings with many workspaces, each with one key."""
    names = [f"workspace-{number:06d}" for number in range(workspaces)]
    domains = [{"id": f"domain-{number}"} for number in range(12)]
    return {
        "failure_domains": domains,
        "tree": {"children": {"large": {"set": {"rate_tokens_per_s": 20_000}}}},
        "groups": [{"id": "service", "role": "service"}],
        "workspaces": [{"id": name, "branch": "/large"} for name in names],
        "keys": [
            {"digest": hashlib.sha256(name.encode()).hexdigest(), "workspace": name}
            for name in names
        ],
        "routes": [
            {
                "id": f"route-{number}",
                "kind": "service",
                "path_prefix": f"/service-{number}",
                "group": "service",
            }
            for number in range(routes)
        ],
    }


def measure_settings() -> list[Measurement]:
    """Measures the memory and CPU time that an entry needs for the settings."""
    large = 10_000
    measurements = []
    per_workspace = bytes_each(_index, large)
    measurements.append(
        Measurement("entry.memory_per_workspace_and_key", per_workspace, "B")
    )
    document = make_document(large)
    start = time.process_time()
    check_fleet(document)
    check_s = time.process_time() - start
    measurements.append(
        Measurement("entry.cpu_check_per_workspace", check_s / large * 1e6, "us")
    )
    value = json.dumps(document).encode()
    measurements.append(
        Measurement("settings.bytes_per_workspace", len(value) / large, "B")
    )
    route_bytes = bytes_each(lambda count: _index(10, count), 5_000)
    measurements.append(Measurement("entry.memory_per_route", route_bytes, "B"))
    index = _index(1_000)
    digest = key_digest("workspace-000005")
    lookup_s = seconds_per_call(lambda: index.workspace_of_key(digest), 10_000)
    measurements.append(Measurement("entry.cpu_key_lookup", lookup_s * 1e6, "us"))
    return measurements


def _index(workspaces: int, routes: int = 4) -> FleetIndex:
    fleet = FleetSettings.model_validate(make_document(workspaces, routes))
    return FleetIndex(SettingsVersion(1), fleet)


def measure_wire_messages() -> list[Measurement]:
    """Measures the size of link messages and the CPU time to encode and decode them."""
    report = GrantReport([Spent(1 << 33, 900.0)], 100.0)
    decision = GrantDecision(GrantOutcome.GRANTED, 1_000.0, 1 << 33)
    view = UpstreamSettings(
        accepting=True, max_requests=8, cold_requests=2, warm_up_s=2
    )
    update = SettingsUpdate(12_345, view.model_dump_json().encode())
    open_ = OpenStream(
        Operation.PREFILL,
        REQUEST_ID,
        workspace="workspace-000001",
        budget_ms=60_000,
        target="/v1/completions",
        body=b"x" * 200,
    )
    source = KvSource("10.0.0.1:7300", f"kv-{REQUEST_ID}.0", 1_000, 0)
    messages: dict[str, list[FrameItem]] = {
        "ping": [FrameItem(0, Ping())],
        "load_report": [FrameItem(0, LoadReport(8, 5, 2, True))],
        "grant_ask": [
            FrameItem(0, GrantRequest(7, "workspace-000001", 1e3, 1e3, report))
        ],
        "grant_reply": [FrameItem(0, GrantReply(7, decision))],
        "announcement": [FrameItem(0, SettingsUpdate(12_345))],
        "agent_view": [FrameItem(0, update)],
        "open_without_prompt": [FrameItem(9, open_)],
        "kv_source": [FrameItem(9, source)],
        "head": [FrameItem(9, ResponseHead(200))],
        "end": [FrameItem(9, EndStream(None, 1_000, 200))],
        "token": [FrameItem(9, Data(5, TOKEN_EVENT))],
    }
    measurements = []
    for name, items in messages.items():
        size = len(encode_frame(1, items)) + LENGTH_BYTES
        measurements.append(Measurement(f"wire.{name}", size, "B"))
    measurements += _measure_token_frames()
    ask = messages["grant_ask"]
    ask_s = seconds_per_call(lambda: decode_frame(encode_frame(1, ask)), 5_000)
    measurements.append(Measurement("wire.cpu_grant_ask_both_sides", ask_s * 1e6, "us"))
    return measurements


def _measure_token_frames() -> list[Measurement]:
    """Measures the CPU time per token when streams share a frame."""
    measurements = []
    for count in (1, 8, 32):
        items = [FrameItem(stream, Data(5, TOKEN_EVENT)) for stream in range(count)]
        frame = encode_frame(1, items)
        write_s = seconds_per_call(lambda: encode_frame(1, items), 2_000) / count
        read_s = seconds_per_call(lambda: decode_frame(frame), 2_000) / count
        measurements.append(
            Measurement(f"wire.cpu_write_token_{count}", write_s * 1e6, "us")
        )
        measurements.append(
            Measurement(f"wire.cpu_read_token_{count}", read_s * 1e6, "us")
        )
    return measurements


def measure_shard_holder() -> list[Measurement]:
    """Measures the CPU time, memory and stored records of a shard holder."""
    rate_limit = RateLimit(1e6, 1e9)
    limiter = ShardRateLimiter(1, lambda workspace: rate_limit, 0.0, is_new_shard=True)
    clock = [0.0]

    def grant() -> None:
        clock[0] += 0.001
        decision = limiter.request_grant("workspace-1", 100, 100, clock[0])
        spent = [Spent(decision.grant, 100.0)]
        limiter.apply_report("workspace-1", spent, 10.0, clock[0])

    def fill(count: int) -> ShardRateLimiter:
        filled = ShardRateLimiter(
            1, lambda workspace: rate_limit, 0.0, is_new_shard=True
        )
        for number in range(count):
            filled.request_grant(f"workspace-{number}", 100, 100, 0.0)
        return filled

    record = ShardRecord(
        epoch=7,
        holder=ShardHolder(name="entry-1", incarnation=1 << 62, address="10.0.0.1:1"),
    )
    claim = ClaimRecord(
        request_id=REQUEST_ID,
        fingerprint="0" * 32,
        upstream="orders-a1",
        incarnation=1 << 62,
        claimed_ms=1 << 40,
    )
    return [
        Measurement(
            "holder.cpu_per_grant", seconds_per_call(grant, 20_000) * 1e6, "us"
        ),
        Measurement(
            "holder.memory_per_active_workspace", bytes_each(fill, 20_000), "B"
        ),
        Measurement("store.bytes_shard_record", len(record.model_dump_json()), "B"),
        Measurement("store.bytes_claim", len(claim.model_dump_json()), "B"),
    ]


def measure_crash_attribution() -> list[Measurement]:
    """Measures what a relay keeps, computes and sends for crashes of engines."""

    def evidence(number: int) -> CrashEvidence:
        parts = [f"{number:04x}{part:08x}" for part in range(4)]
        suspects = frozenset(SuspectId(part) for part in [*parts, "bad0"])
        crash = CrashId(UpstreamId(f"i-{number:010x}"), 1 << 40)
        return CrashEvidence(crash, 1.0, suspects)

    def fill(count: int) -> CrashAttribution:
        filled = CrashAttribution()
        for number in range(count):
            filled.merge(evidence(number), 0.0)
        return filled

    full = fill(MAX_CRASHES)
    numbers = itertools.count()

    def begin() -> None:
        full.on_begun(frozenset({SuspectId(f"{next(numbers):012x}")}), 0.0)

    merged = itertools.cycle(evidence(number) for number in range(1_000))
    message = EngineCrashes(True, (evidence(1),))
    frame = encode_frame(1, [FrameItem(0, message)])
    begin_s = seconds_per_call(begin, 5_000)
    merge_s = seconds_per_call(lambda: full.merge(next(merged), 0.0), 500)
    return [
        Measurement("wire.engine_crash", len(frame) + LENGTH_BYTES, "B"),
        Measurement("relay.cpu_per_begun_stream", begin_s * 1e6, "us"),
        Measurement("relay.cpu_per_crash_report", merge_s * 1e6, "us"),
        Measurement("relay.memory_per_crash", bytes_each(fill, MAX_CRASHES), "B"),
        Measurement("relay.memory_per_begun_part", bytes_each(_begun, 4_000), "B"),
    ]


def _begun(count: int) -> CrashAttribution:
    """Returns an attribution that knows of a number of parts that have begun."""
    attribution = CrashAttribution()
    for number in range(count):
        attribution.on_begun(frozenset({SuspectId(f"{number:012x}")}), 0.0)
    return attribution


def measure_stream_versions() -> list[Measurement]:
    """Measures what a relay keeps and writes for streams of mixed versions."""
    version = StreamVersion("engines", SoftwareVersion("v1.2"))
    other = StreamVersion("engines", SoftwareVersion("v1.1"))

    def fill(count: int) -> StreamVersions:
        filled = StreamVersions()
        filled.on_versions([version, other], 0.0)
        for number in range(count):
            filled.on_begun(RequestId(f"{number:016x}"), version, 0.0, 14.0)
        return filled

    full = fill(2_000)
    streams = full.streams_to_keep()
    document = records_document("10.1.0.3:7500", full.in_service(), streams)
    write_s = seconds_per_call(
        lambda: records_document(
            "10.1.0.3:7500", full.in_service(), full.streams_to_keep()
        ),
        20,
    )
    return [
        Measurement("store.bytes_per_stream", len(json.dumps(document)) / 2_000, "B"),
        Measurement("relay.cpu_per_stream_write", write_s * 1e6, "us"),
        Measurement("relay.memory_per_stream_version", bytes_each(fill, 4_000), "B"),
    ]


def measure_memory() -> list[Measurement]:
    """Measures the memory of links, streams, stored replies and events."""

    def fill_replies(count: int) -> ReplyTable[bytes]:
        table: ReplyTable[bytes] = ReplyTable()
        for number in range(count):
            request_id = RequestId(f"{number:024x}")
            table.admit(request_id, number, 0.0, 0.0)
            table.finish(request_id, bytes(200), 200, 0.0)
        return table

    def fill_timeline(count: int) -> Timeline:
        timeline = Timeline("entry-1", capacity=count)
        for number in range(count):
            timeline.record(
                "sent_call", f"{number:024x}", "w-1", upstream="a", attempt=0
            )
        return timeline

    measurements = [
        Measurement(
            "agent.memory_per_kept_reply", bytes_each(fill_replies, 15_000), "B"
        ),
        Measurement("memory_per_event", bytes_each(fill_timeline, 20_000), "B"),
    ]
    return measurements + asyncio.run(_measure_link_memory())


async def _measure_link_memory() -> list[Measurement]:
    links: list[Link] = []

    def open_links(count: int) -> list[Link]:
        for _ in range(count):
            near, far = memory_channel_pair()
            for channel, initiator in ((near, True), (far, False)):
                hello = Hello("entry", "entry-1", Incarnation(1))
                link = Link(channel, hello, HybridClock(), LinkCallbacks(), initiator)
                link.start()
                links.append(link)
        return links

    per_pair = bytes_each(open_links, 1_000)
    await asyncio.sleep(0.1)
    first = links[0]
    message = OpenStream(Operation.RESERVE, REQUEST_ID)
    per_stream = bytes_each(
        lambda count: [first.open(message) for _ in range(count)], 2_000
    )
    for link in links:
        link.close()
    return [
        Measurement("memory_per_link_without_socket", per_pair / 2, "B"),
        Measurement("memory_per_stream", per_stream, "B"),
    ]


def measure_requests() -> list[Measurement]:
    """Measures requests through entry and agents in virtual time.

    The CPU time covers entry, agents, links and the stand-ins together, so it is an
    upper bound for the daemons.
    """
    document = json.loads(open("examples/brazos.json").read())
    fleet = check_fleet(document).ok
    measurements = []
    short_s, short_frames = run_in_virtual_time(_run_requests(fleet, 400, 8))
    long_s, long_frames = run_in_virtual_time(_run_requests(fleet, 400, 72))
    per_token_s = (long_s - short_s) / (400 * 64)
    per_request_s = short_s / 400 - 8 * per_token_s
    measurements.append(Measurement("path.cpu_per_request", per_request_s * 1e6, "us"))
    measurements.append(Measurement("path.cpu_per_token", per_token_s * 1e6, "us"))
    measurements.append(
        Measurement("path.frames_per_request", short_frames / 400, "frames")
    )
    measurements += run_in_virtual_time(_measure_idle(fleet))
    return measurements


def _completion_body(tokens: int) -> bytes:
    fields = {"model": "twine-large", "prompt": "x" * 200, "stream": True}
    return json.dumps(fields | {"max_tokens": tokens}).encode()


async def _run_requests(
    settings: FleetSettings, count: int, tokens: int
) -> tuple[float, float]:
    headers = [(b"authorization", b"Bearer example-rope-yard")]
    parameters = EngineParameters(slots=64)
    upstreams = [
        item.model_copy(update={"max_requests": 64, "cold_requests": 64})
        for item in settings.upstreams
    ]
    settings = settings.model_copy(update={"upstreams": upstreams})
    async with VirtualFleet(settings, 1, parameters) as fleet:
        await fleet.wait_until_ready()
        start, frames = time.process_time(), fleet.network.frame_count

        async def send_requests(request_count: int) -> None:
            for _ in range(request_count):
                await fleet.request(
                    "entry-1",
                    "POST",
                    "/v1/completions",
                    headers,
                    _completion_body(tokens),
                )

        senders = [send_requests(count // 40) for _ in range(40)]
        await asyncio.gather(*senders)
        return time.process_time() - start, float(fleet.network.frame_count - frames)


async def _measure_idle(settings: FleetSettings) -> list[Measurement]:
    async with VirtualFleet(settings, 3) as fleet:
        await fleet.wait_until_ready()
        await asyncio.sleep(20)
        entry = fleet.entries_by_name["entry-1"]
        agent = fleet.agents_by_id["decode-a1"]
        before = (entry.traffic.periodic_bytes, agent.traffic.periodic_bytes)
        reads, writes = fleet.platform.reads, fleet.platform.writes
        cpu = time.process_time()
        await asyncio.sleep(100)
        cpu = time.process_time() - cpu
        links = len(fleet.settings.upstreams)
        entry_rate = (entry.traffic.periodic_bytes - before[0]) / 100
        agent_rate = (agent.traffic.periodic_bytes - before[1]) / 100
        return [
            Measurement(
                "entry.periodic_bytes_per_s_12_agents_2_peers", entry_rate, "B/s"
            ),
            Measurement("agent.periodic_bytes_per_s_3_entries", agent_rate, "B/s"),
            Measurement("link.periodic_bytes_per_s", agent_rate / 3, "B/s"),
            Measurement("link.cpu_idle_both_ends", cpu / 100 / 3 / links * 1e6, "us/s"),
            Measurement(
                "store.reads_per_s_3_entries",
                _store_call_rate(fleet, reads, True),
                "1/s",
            ),
            Measurement(
                "store.writes_per_s_3_entries",
                _store_call_rate(fleet, writes, False),
                "1/s",
            ),
        ]


def _store_call_rate(fleet: VirtualFleet, before: int, reads: bool) -> float:
    now = fleet.platform.reads if reads else fleet.platform.writes
    return (now - before) / 100


def main() -> None:
    """Runs and prints all measurements."""
    for measure in (
        measure_settings,
        measure_wire_messages,
        measure_shard_holder,
        measure_crash_attribution,
        measure_stream_versions,
        measure_memory,
        measure_requests,
    ):
        for measurement in measure():
            print(measurement, flush=True)


if __name__ == "__main__":
    main()
