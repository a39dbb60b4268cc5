"""Measures latency, CPU and memory of separate processes on loopback.

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

#: Bounds of an idle process: CPU, periodic messages on links, resident memory.
MAX_IDLE_CPU_PERCENT = 3.5
MAX_PERIODIC_BYTES_PER_S = 5_000
MAX_IDLE_MEMORY_MB = 64

#: Time in s for which idle processes are measured.
IDLE_S = 10
FAST_ENGINE = {
    "slots": 64,
    "step_base_s": 0.002,
    "step_per_request_s": 0.0,
    "prefill_base_s": 0.0,
    "prefill_tokens_per_s": 1e9,
}
AUTHORIZATION: Headers = [(b"authorization", b"Bearer example-rope-yard")]


class FleetBenchmark:
    """Measures a running fleet of local processes.

    Args:
        local_fleet: Fleet to measure.
    """

    def __init__(self, local_fleet: LocalFleet) -> None:
        self._local_fleet = local_fleet
        self._layout = local_fleet.layout

    async def measure(self) -> list[Measurement]:
        """Waits until the fleet serves requests, then runs all measurements."""
        await self._wait_until_ready()
        measurements = await self._measure_idle()
        measurements += await self._measure_added_latency()
        measurements += await self._measure_call_throughput()
        measurements += await self._measure_token_throughput()
        return measurements

    async def _wait_until_ready(self) -> None:
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

    async def _measure_idle(self) -> list[Measurement]:
        await asyncio.sleep(3)
        names = ("entry-1", "agent-decode-a1")
        cpu = {name: self._cpu_s(name) for name in names}
        sent = {name: await self._link_bytes(name, "periodic") for name in names}
        await asyncio.sleep(IDLE_S)
        measurements = []
        for name in names:
            role = name.partition("-")[0]
            percent = (self._cpu_s(name) - cpu[name]) / IDLE_S * 100
            rate = (await self._link_bytes(name, "periodic") - sent[name]) / IDLE_S
            memory = self._resident_bytes(name) / BYTES_PER_MB
            measurements += [
                Measurement(f"{role}.idle_memory", memory, "MB", MAX_IDLE_MEMORY_MB),
                Measurement(f"{role}.idle_cpu", percent, "%", MAX_IDLE_CPU_PERCENT),
                Measurement(
                    f"{role}.periodic_bytes", rate, "B/s", MAX_PERIODIC_BYTES_PER_S
                ),
            ]
        return measurements

    async def _measure_added_latency(self) -> list[Measurement]:
        """Compares calls through entry and agent with direct ones, alternating."""
        routed, direct = HdrHistogram(1, 10**7, 3), HdrHistogram(1, 10**7, 3)
        targets = [
            (self._layout.entry_addresses[0], routed),
            (self._layout.standin_address_by_upstream["orders-a1"], direct),
        ]
        clients = [HttpClient(*parse_address(address)) for address, _ in targets]
        for _ in range(1_000):
            for client, (_, histogram) in zip(clients, targets):
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

    async def _measure_call_throughput(self) -> list[Measurement]:
        count, client_count = 2_000, 20
        names = ("entry-1", "agent-orders-a1")
        cpu = {name: self._cpu_s(name) for name in names}

        async def send(call_count: int) -> None:
            async with HttpClient(
                *parse_address(self._layout.entry_addresses[0])
            ) as client:
                for _ in range(call_count):
                    response = await client.request("GET", "/orders/1", AUTHORIZATION)
                    async with response:
                        await response.body()

        await asyncio.gather(
            *(send(count // client_count) for _ in range(client_count))
        )
        return [
            Measurement(
                f"{name.partition('-')[0]}.calls_per_core",
                count / (self._cpu_s(name) - cpu[name]),
                "1/s",
            )
            for name in names
        ]

    async def _measure_token_throughput(self) -> list[Measurement]:
        stream_count, tokens = 24, 500
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
                    response_body = await response.body()
                received.append(response_body.count(b'"text"'))

        await asyncio.gather(*(stream() for _ in range(stream_count)))
        total = sum(received)
        missing = statistics.fmean(tokens - count for count in received)
        measurements = [
            Measurement(
                f"{name.partition('-')[0]}.tokens_per_core",
                total / (self._cpu_s(name) - cpu[name]),
                "1/s",
            )
            for name in names
        ]
        return [
            *measurements,
            Measurement("stream.missing_tokens", missing, "tokens", 0),
        ]

    async def _link_bytes(self, name: str, kind: str) -> float:
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
        fields = Path(f"/proc/{self._local_fleet.pid(name)}/stat").read_text().split()
        return (int(fields[13]) + int(fields[14])) / TICKS_PER_S

    def _resident_bytes(self, name: str) -> int:
        statm = Path(f"/proc/{self._local_fleet.pid(name)}/statm").read_text()
        return int(statm.split()[1]) * PAGE_BYTES


def small_layout(folder: Path) -> Layout:
    """Returns a layout of one prefill, one decode, one HTTP service and one entry."""
    document: dict[str, Any] = json.loads(Path("examples/brazos.json").read_bytes())
    kept = [item for item in document["upstreams"] if item["id"] in UPSTREAMS]
    for upstream in kept:
        upstream["max_requests"] = upstream["cold_requests"] = 64
    document["upstreams"] = kept
    fleet = check_fleet(document).ok
    return Layout(fleet, folder, AddressAllocator(None), 1, FAST_ENGINE)


def main() -> int:
    """Runs and prints all measurements; returns 1 if a bound is not met, else 0."""
    with tempfile.TemporaryDirectory() as folder:
        with LocalFleet(small_layout(Path(folder))) as local_fleet:
            measurements = asyncio.run(FleetBenchmark(local_fleet).measure())
    for measurement in measurements:
        print(measurement)
    return (
        1
        if any(measurement.verdict == "NOT MET" for measurement in measurements)
        else 0
    )


if __name__ == "__main__":
    sys.exit(main())
