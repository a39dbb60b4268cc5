"""Measures the path through separate processes on loopback.

Usage: python -m benchmarks.path
"""

from __future__ import annotations

import asyncio
import json
import os
import statistics
import sys
import tempfile
import time
from pathlib import Path
from typing import Any

from hdrh.histogram import HdrHistogram

from benchmarks.measure import BYTES_PER_MB, PAGE_BYTES, Measurement
from wasabimux.adapters.http_client import HttpClient
from wasabimux.ports import Headers, UpstreamLost
from wasabimux.settings.address import parse_address
from wasabimux.settings.check import check_fleet
from wasabimux.standins.laptop import AddressAllocator, Layout, LocalFleet

UPSTREAMS = ("prefill-a1", "decode-a1", "orders-a1")
TICKS_PER_S = os.sysconf("SC_CLK_TCK")
CONTROL_CPU_PERCENT = 3.5
CONTROL_BYTES_PER_S = 5_000
MEMORY_MB = 64
IDLE_S = 10
FAST_ENGINE = {
    "slots": 64,
    "step_base_s": 0.002,
    "step_per_request_s": 0.0,
    "prefill_base_s": 0.0,
    "prefill_tokens_per_s": 1e9,
}
AUTHORIZATION: Headers = [(b"authorization", b"Bearer example-rope-yard")]


class Bench:
    """Measures a running fleet.

    Args:
        laptop: The fleet.
    """

    def __init__(self, laptop: LocalFleet) -> None:
        self._laptop = laptop
        self._layout = laptop.layout

    async def figures(self) -> list[Measurement]:
        """Runs all measurements."""
        await self._until_ready()
        figures = await self._idle()
        figures += await self._added_latency()
        figures += await self._throughput_of_calls()
        figures += await self._throughput_of_tokens()
        return figures

    async def _until_ready(self) -> None:
        while True:
            try:
                if await self._get(self._layout.entry_addresses[0], "/orders/1"):
                    return
            except (OSError, UpstreamLost):
                pass
            await asyncio.sleep(0.1)

    async def _get(self, address: str, target: str) -> bool:
        async with HttpClient(*parse_address(address)) as client:
            response = await client.request("GET", target, AUTHORIZATION)
            async with response:
                await response.body()
            return response.status == 200

    async def _idle(self) -> list[Measurement]:
        await asyncio.sleep(3)
        names = ("entry-1", "agent-decode-a1")
        cpu = {name: self._cpu_s(name) for name in names}
        sent = {name: await self._metric(name, "periodic") for name in names}
        await asyncio.sleep(IDLE_S)
        figures = []
        for name in names:
            role = name.partition("-")[0]
            percent = (self._cpu_s(name) - cpu[name]) / IDLE_S * 100
            rate = (await self._metric(name, "periodic") - sent[name]) / IDLE_S
            memory = self._resident(name) / BYTES_PER_MB
            figures += [
                Measurement(f"{role}.idle_memory", memory, "MB", MEMORY_MB),
                Measurement(f"{role}.idle_cpu", percent, "%", CONTROL_CPU_PERCENT),
                Measurement(f"{role}.periodic_bytes", rate, "B/s", CONTROL_BYTES_PER_S),
            ]
        return figures

    async def _added_latency(self) -> list[Measurement]:
        """Compares calls through entry and agent with direct ones, in turn."""
        routed, direct = HdrHistogram(1, 10**7, 3), HdrHistogram(1, 10**7, 3)
        ways = [
            (self._layout.entry_addresses[0], routed),
            (self._layout.standin_address_by_upstream["orders-a1"], direct),
        ]
        clients = [HttpClient(*parse_address(address)) for address, _ in ways]
        for _ in range(1_000):
            for client, (_, histogram) in zip(clients, ways):
                start = time.perf_counter()
                response = await client.request("GET", "/orders/1", AUTHORIZATION)
                async with response:
                    await response.body()
                histogram.record_value(int((time.perf_counter() - start) * 1e6))
        for client in clients:
            client.close()
        ratio = routed.get_value_at_percentile(50) / direct.get_value_at_percentile(50)
        added = routed.get_value_at_percentile(99) - direct.get_value_at_percentile(99)
        return [
            Measurement("call.median_ratio_to_direct", ratio, "ratio"),
            Measurement("call.added_p99", added / 1000, "ms"),
        ]

    async def _throughput_of_calls(self) -> list[Measurement]:
        count, parallel = 2_000, 20
        names = ("entry-1", "agent-orders-a1")
        cpu = {name: self._cpu_s(name) for name in names}

        async def send(share: int) -> None:
            async with HttpClient(
                *parse_address(self._layout.entry_addresses[0])
            ) as client:
                for _ in range(share):
                    response = await client.request("GET", "/orders/1", AUTHORIZATION)
                    async with response:
                        await response.body()

        await asyncio.gather(*(send(count // parallel) for _ in range(parallel)))
        return [
            Measurement(
                f"{name.partition('-')[0]}.calls_per_core",
                count / (self._cpu_s(name) - cpu[name]),
                "1/s",
            )
            for name in names
        ]

    async def _throughput_of_tokens(self) -> list[Measurement]:
        streams, tokens = 24, 500
        names = ("entry-1", "agent-decode-a1")
        cpu = {name: self._cpu_s(name) for name in names}
        fields = {"model": "twine-large", "prompt": "x", "stream": True}
        body = json.dumps(fields | {"max_tokens": tokens}).encode()
        received: list[int] = []

        async def stream() -> None:
            async with HttpClient(
                *parse_address(self._layout.entry_addresses[0])
            ) as client:
                response = await client.request(
                    "POST", "/v1/completions", AUTHORIZATION, body
                )
                async with response:
                    answer = await response.body()
                received.append(answer.count(b'"text"'))

        await asyncio.gather(*(stream() for _ in range(streams)))
        total = sum(received)
        missing = statistics.fmean(tokens - count for count in received)
        figures = [
            Measurement(
                f"{name.partition('-')[0]}.tokens_per_core",
                total / (self._cpu_s(name) - cpu[name]),
                "1/s",
            )
            for name in names
        ]
        return [*figures, Measurement("stream.missing_tokens", missing, "tokens", 0)]

    async def _metric(self, name: str, kind: str) -> float:
        address = self._layout.admin_address_by_name[name]
        async with HttpClient(*parse_address(address)) as client:
            response = await client.request("GET", "/metrics")
            async with response:
                text = (await response.body()).decode()
        for line in text.splitlines():
            if line.startswith(f"wasabimux_link_{kind}_bytes"):
                return float(line.split()[-1])
        raise KeyError(kind)

    def _cpu_s(self, name: str) -> float:
        fields = Path(f"/proc/{self._laptop.pid(name)}/stat").read_text().split()
        return (int(fields[13]) + int(fields[14])) / TICKS_PER_S

    def _resident(self, name: str) -> int:
        statm = Path(f"/proc/{self._laptop.pid(name)}/statm").read_text()
        return int(statm.split()[1]) * PAGE_BYTES


def small_layout(folder: Path) -> Layout:
    """Lays out one prefill, one decode, one plain service and one entry."""
    document: dict[str, Any] = json.loads(Path("examples/brazos.json").read_bytes())
    kept = [item for item in document["upstreams"] if item["id"] in UPSTREAMS]
    for upstream in kept:
        upstream["max_requests"] = upstream["cold_requests"] = 64
    document["upstreams"] = kept
    fleet = check_fleet(document).ok
    return Layout(fleet, folder, AddressAllocator(None), 1, FAST_ENGINE)


def main() -> int:
    """Measures, prints, and fails if a bound is not met."""
    with tempfile.TemporaryDirectory() as folder:
        with LocalFleet(small_layout(Path(folder))) as laptop:
            figures = asyncio.run(Bench(laptop).figures())
    for figure in figures:
        print(figure)
    return 1 if any(figure.verdict == "NOT MET" for figure in figures) else 0


if __name__ == "__main__":
    sys.exit(main())
