"""Compares rate limits at shard holders with an equal static split, in virtual time.

Usage: python -m benchmarks.rate [SEED]
"""

from __future__ import annotations

import asyncio
import json
import random
import sys
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

from benchmarks.measure import Measurement
from tests.oracles import Charge, max_overrun
from wasabimux.decisions.rate import GrantOutcome, RateLimit, Spent, TokenBucket
from wasabimux.errors import RefusedError
from wasabimux.settings.check import check_fleet
from wasabimux.standins.virtual_fleet import VirtualFleet, run_in_virtual_time

WORKSPACE = "grad-crew"
RATE_LIMIT = RateLimit(2_000.0, 40_000.0)
DURATION_S = 300.0
ENTRIES = ("entry-1", "entry-2", "entry-3")

#: Fractions of requests that reach each entry. They are unequal, as with keep-alive
#: connections.
ENTRY_WEIGHTS = (0.7, 0.2, 0.1)

#: Costs of requests in tokens, and how often each is drawn.
TOKENS = (50, 200, 1_000, 4_000, 16_000)
TOKEN_WEIGHTS = (40, 30, 20, 8, 2)

#: Charges (entry, tokens); returns whether the charge was granted.
ChargeFunction = Callable[[str, float], Awaitable[bool]]


@dataclass(slots=True)
class LoadResult:
    """Results of the requests of a run."""

    requests: int = 0
    refused: int = 0
    charges: list[Charge] = field(default_factory=list)


class StaticSplit:
    """Baseline: each entry limits a workspace to an equal part of its rate limit."""

    def __init__(self) -> None:
        entry_limit = RateLimit(
            RATE_LIMIT.rate / len(ENTRIES), RATE_LIMIT.burst / len(ENTRIES)
        )
        self._buckets = {
            name: TokenBucket(entry_limit, entry_limit.burst, 0.0) for name in ENTRIES
        }
        self._request_number = 0

    async def try_charge(self, entry: str, tokens: float) -> bool:
        """Charges tokens to the entry's bucket; returns whether they were granted."""
        now = asyncio.get_running_loop().time()
        self._request_number += 1
        bucket = self._buckets[entry]
        decision = bucket.request_grant(self._request_number, tokens, tokens, now)
        if decision.outcome is not GrantOutcome.GRANTED:
            return False
        bucket.apply_report([Spent(decision.grant, tokens)], 0.0, now)
        return True


async def run_load(seed: int, load: float, charge: ChargeFunction) -> LoadResult:
    """Sends a multiple of the rate limit for DURATION_S; a seed gives the same load."""
    rng = random.Random(seed)
    mean_tokens = sum(t * w for t, w in zip(TOKENS, TOKEN_WEIGHTS)) / sum(TOKEN_WEIGHTS)
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    result = LoadResult()

    async def send(entry: str, tokens: float) -> None:
        if await charge(entry, tokens):
            result.charges.append(Charge(loop.time(), tokens))
        else:
            result.refused += 1

    tasks = []
    while loop.time() - start_s < DURATION_S:
        await asyncio.sleep(rng.expovariate(RATE_LIMIT.rate * load / mean_tokens))
        (entry,) = rng.choices(ENTRIES, ENTRY_WEIGHTS)
        (tokens,) = rng.choices(TOKENS, TOKEN_WEIGHTS)
        result.requests += 1
        tasks.append(asyncio.ensure_future(send(entry, tokens)))
    await asyncio.gather(*tasks)
    return result


async def measure(seed: int, load: float) -> list[Measurement]:
    """Measures the static split and shard holders at one load."""
    fleet_file = Path("examples/brazos.json")
    settings = check_fleet(json.loads(fleet_file.read_bytes())).ok
    split = await run_load(seed, load, StaticSplit().try_charge)
    async with VirtualFleet(settings, 3, seed=seed) as fleet:
        await fleet.wait_until_ready()
        await asyncio.sleep(8)

        async def charge(entry: str, tokens: float) -> bool:
            try:
                await fleet.entries_by_name[entry].rate_limiter.charge(
                    WORKSPACE, tokens, 0.0
                )
            except RefusedError:
                return False
            return True

        before = fleet.platform.reads + fleet.platform.writes
        asks = sum(
            entry.rate_limiter.grant_request_count
            for entry in fleet.entries_by_name.values()
        )
        held = await run_load(seed, load, charge)
        calls = fleet.platform.reads + fleet.platform.writes - before
        asks = (
            sum(
                entry.rate_limiter.grant_request_count
                for entry in fleet.entries_by_name.values()
            )
            - asks
        )
    measurements = []
    for name, result in (("static_split", split), ("holders", held)):
        prefix = f"rate.{name}.load_{load:g}"
        worst = max_overrun(result.charges, RATE_LIMIT.rate, RATE_LIMIT.burst)
        refused_percent = result.refused / result.requests * 100
        bound = 0.0 if name == "holders" and load < 1 else None
        measurements.append(Measurement(f"{prefix}.overrun", worst, "tokens", 0.001))
        measurements.append(
            Measurement(f"{prefix}.refused", refused_percent, "%", bound)
        )
    measurements.append(
        Measurement(
            f"rate.holders.load_{load:g}.asks", asks / held.requests, "per_request"
        )
    )
    measurements.append(
        Measurement(
            f"rate.holders.load_{load:g}.store_calls", calls / DURATION_S, "1/s"
        )
    )
    return measurements


def main(arguments: list[str]) -> int:
    """Measures at several loads; returns 1 if a bound is not met, else 0."""
    seed = int(arguments[0]) if arguments else 1
    measurements = []
    for load in (0.3, 0.6, 1.0, 4.0):
        measurements += run_in_virtual_time(measure(seed, load))
    for measurement in measurements:
        print(measurement)
    return (
        1
        if any(measurement.verdict == "NOT MET" for measurement in measurements)
        else 0
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
