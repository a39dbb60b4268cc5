"""Compares holders of shards with an equal static split, on a virtual clock.

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
RULES = RateLimit(2_000.0, 40_000.0)
DURATION_S = 300.0
ENTRIES = ("entry-1", "entry-2", "entry-3")

#: Share of requests that each entry meets, as kept-alive connections spread them.
ENTRY_WEIGHTS = (0.7, 0.2, 0.1)
TOKENS = (50, 200, 1_000, 4_000, 16_000)
TOKEN_WEIGHTS = (40, 30, 20, 8, 2)

Try = Callable[[str, float], Awaitable[bool]]


@dataclass(slots=True)
class Outcome:
    """What came of the requests."""

    requests: int = 0
    refused: int = 0
    charges: list[Charge] = field(default_factory=list)


class StaticSplit:
    """Each entry limits a workspace to its equal part. A baseline."""

    def __init__(self) -> None:
        part = RateLimit(RULES.rate / len(ENTRIES), RULES.burst / len(ENTRIES))
        self._buckets = {name: TokenBucket(part, part.burst, 0.0) for name in ENTRIES}
        self._number = 0

    async def try_charge(self, entry: str, tokens: float) -> bool:
        """Spends tokens of the entry's part."""
        now = asyncio.get_running_loop().time()
        self._number += 1
        bucket = self._buckets[entry]
        decision = bucket.request_grant(self._number, tokens, tokens, now)
        if decision.outcome is not GrantOutcome.GRANTED:
            return False
        bucket.apply_report([Spent(decision.grant, tokens)], 0.0, now)
        return True


async def offer(seed: int, load: float, attempt: Try) -> Outcome:
    """Offers a multiple of the rate for DURATION_S, the same for each seed."""
    rng = random.Random(seed)
    mean_tokens = sum(t * w for t, w in zip(TOKENS, TOKEN_WEIGHTS)) / sum(TOKEN_WEIGHTS)
    loop = asyncio.get_running_loop()
    start_s = loop.time()
    outcome = Outcome()

    async def one(entry: str, tokens: float) -> None:
        if await attempt(entry, tokens):
            outcome.charges.append(Charge(loop.time(), tokens))
        else:
            outcome.refused += 1

    tasks = []
    while loop.time() - start_s < DURATION_S:
        await asyncio.sleep(rng.expovariate(RULES.rate * load / mean_tokens))
        (entry,) = rng.choices(ENTRIES, ENTRY_WEIGHTS)
        (tokens,) = rng.choices(TOKENS, TOKEN_WEIGHTS)
        outcome.requests += 1
        tasks.append(asyncio.ensure_future(one(entry, tokens)))
    await asyncio.gather(*tasks)
    return outcome


async def measure(seed: int, load: float) -> list[Measurement]:
    """Measures both ways at one load."""
    fleet_file = Path("examples/brazos.json")
    settings = check_fleet(json.loads(fleet_file.read_bytes())).ok
    split = await offer(seed, load, StaticSplit().try_charge)
    async with VirtualFleet(settings, 3, seed=seed) as fleet:
        await fleet.wait_until_ready()
        await asyncio.sleep(8)

        async def charge(entry: str, tokens: float) -> bool:
            try:
                await fleet.entries_by_name[entry].gate.charge(WORKSPACE, tokens, 0.0)
            except RefusedError:
                return False
            return True

        before = fleet.platform.reads + fleet.platform.writes
        asks = sum(entry.gate.asks for entry in fleet.entries_by_name.values())
        held = await offer(seed, load, charge)
        calls = fleet.platform.reads + fleet.platform.writes - before
        asks = sum(entry.gate.asks for entry in fleet.entries_by_name.values()) - asks
    figures = []
    for name, outcome in (("static_split", split), ("holders", held)):
        prefix = f"rate.{name}.load_{load:g}"
        worst = max_overrun(outcome.charges, RULES.rate, RULES.burst)
        share = outcome.refused / outcome.requests * 100
        bound = 0.0 if name == "holders" and load < 1 else None
        figures.append(Measurement(f"{prefix}.overrun", worst, "tokens", 0.001))
        figures.append(Measurement(f"{prefix}.refused", share, "%", bound))
    figures.append(
        Measurement(
            f"rate.holders.load_{load:g}.asks", asks / held.requests, "per_request"
        )
    )
    figures.append(
        Measurement(
            f"rate.holders.load_{load:g}.store_calls", calls / DURATION_S, "1/s"
        )
    )
    return figures


def main(arguments: list[str]) -> int:
    """Measures at several loads and prints the figures."""
    seed = int(arguments[0]) if arguments else 1
    figures = []
    for load in (0.3, 0.6, 1.0, 4.0):
        figures += run_in_virtual_time(measure(seed, load))
    for figure in figures:
        print(figure)
    return 1 if any(figure.verdict == "NOT MET" for figure in figures) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
