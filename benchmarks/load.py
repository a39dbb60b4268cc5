"""Measures the decisions under load on a virtual clock.

Usage: python -m benchmarks.load [SEED] [SECONDS] [POLICY]
"""

from __future__ import annotations

import asyncio
import json
import math
import random
import statistics
import sys
from collections import Counter
from collections.abc import Callable, Coroutine
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any, NamedTuple

from benchmarks.measure import Measurement
from wasabimux.decisions.placement import (
    PlacementPolicy,
    PowerOfTwoChoices,
    PrefixAffinity,
    RoundRobin,
)
from wasabimux.entry.completions import PrefillTiming
from wasabimux.entry.entry import PlacementPolicies
from wasabimux.settings.check import check_fleet
from wasabimux.settings.fleet import FleetSettings
from wasabimux.standins.engine import EngineParameters
from wasabimux.standins.virtual_fleet import VirtualFleet, run_in_virtual_time

FLEET_FILE = Path("examples/licensing.json")
MODEL = "licensing-assistant"
FIRST_TOKEN_S = 0.69
BETWEEN_TOKENS_S = 0.040
WARM_UP_S = 12.0
SHARED_PREFIXES = 8
SHARED_CHARS = 1_024

#: Demand of each workspace relative to its weighted share; two send four times theirs.
DEMAND = {
    "artists": 4.0,
    "coordinators": 1.0,
    "inspectors": 4.0,
    "festival-office": 1.0,
}
WEIGHTS = {
    "artists": 4.0,
    "coordinators": 4.0,
    "inspectors": 2.0,
    "festival-office": 1.0,
}

PARAMETERS = EngineParameters(
    slots=8,
    prefill_tokens_per_s=12_000,
    step_base_s=0.018,
    step_per_request_s=0.001,
    link_bytes_per_s=2e10,
)
OUTPUT_TOKENS = (8, 32, 64, 128)
OUTPUT_WEIGHTS = (20, 40, 30, 10)


class Sample(NamedTuple):
    """One request of the load.

    Attributes:
        workspace: Who sends it.
        prompt_tokens: Tokens of the prompt.
        output_tokens: Tokens of the answer.
        prefix: Number of the shared prefix that the prompt starts with.
    """

    workspace: str
    prompt_tokens: int
    output_tokens: int
    prefix: int


@dataclass(slots=True)
class Served:
    """What came of one request."""

    sample: Sample
    intended_s: float
    status: int = 0
    complete: bool = False
    first_s: float = math.inf
    between_s: float = math.inf

    @property
    def good(self) -> bool:
        """True if it came whole and within both targets."""
        in_time = self.first_s <= FIRST_TOKEN_S and self.between_s <= BETWEEN_TOKENS_S
        return self.complete and in_time


@dataclass(slots=True)
class Run:
    """The outcome of one run."""

    served: list[Served] = field(default_factory=list)
    duration_s: float = 0.0
    begin_s: float = 0.0
    crashes: int = 0
    prefilled: int = 0
    wasted: int = 0

    def goodput(self) -> float:
        """Good requests a second."""
        return self.goodput_between(0.0, self.duration_s)

    def goodput_between(self, start_s: float, end_s: float) -> float:
        """Good requests a second among those intended in a part of the run."""
        good = sum(
            item.good
            for item in self.served
            if start_s <= item.intended_s - self.begin_s < end_s
        )
        return good / (end_s - start_s)


def draw_sample(rng: random.Random) -> Sample:
    """Draws a request with a heavy-tailed prompt."""
    demands = [DEMAND[name] * WEIGHTS[name] for name in DEMAND]
    (workspace,) = rng.choices(list(DEMAND), demands)
    prompt = min(20_000, max(20, round(rng.lognormvariate(5.6, 1.1))))
    (output,) = rng.choices(OUTPUT_TOKENS, OUTPUT_WEIGHTS)
    return Sample(workspace, prompt, output, rng.randrange(SHARED_PREFIXES))


def pool_capacity(seed: int) -> float:
    """Computes the requests a second that the pools can carry.

    Decode: each slot is held for its steps at a full batch, its transfer and its
    prefill. Prefill: engines take prompts in turn. The lesser one counts.
    """
    rng = random.Random(seed)
    samples = [draw_sample(rng) for _ in range(20_000)]
    step_s = PARAMETERS.step_base_s + PARAMETERS.step_per_request_s * 7
    prefill_s = [
        PARAMETERS.prefill_base_s + item.prompt_tokens / PARAMETERS.prefill_tokens_per_s
        for item in samples
    ]
    transfer_s = [
        item.prompt_tokens * PARAMETERS.kv_bytes_per_token / PARAMETERS.link_bytes_per_s
        for item in samples
    ]
    hold_s = [
        item.output_tokens * step_s + prefill + transfer
        for item, prefill, transfer in zip(samples, prefill_s, transfer_s)
    ]
    decode = 6 * PARAMETERS.slots / statistics.fmean(hold_s)
    prefill = 3 / statistics.fmean(prefill_s)
    return min(decode, prefill)


def load_settings() -> FleetSettings:
    """Returns the fleet with rates that do not limit: the pools are measured."""
    document: dict[str, Any] = json.loads(FLEET_FILE.read_bytes())
    for upstream in document["upstreams"]:
        upstream["warm_up_s"] = 0.5
    tree = document["tree"]
    for branch in (tree, *tree["children"].values()):
        for name in ("rate_tokens_per_s", "burst_tokens"):
            branch.get("set", {}).pop(name, None)
    tree.setdefault("set", {}).update(rate_tokens_per_s=1e8, burst_tokens=1e9)
    return check_fleet(document).ok


Disturbance = Callable[[VirtualFleet], Coroutine[Any, Any, None]]


async def run_load(
    policies: PlacementPolicies,
    rate: float,
    seconds: float,
    seed: int,
    parameters: EngineParameters = PARAMETERS,
    disturb: Disturbance | None = None,
) -> Run:
    """Offers an open-loop load for a while and collects what comes of it.

    Args:
        policies: How entries choose upstreams.
        rate: Requests a second.
        seconds: Length of the measured time, after WARM_UP_S.
        seed: Seed of load and fleet.
        parameters: Capacities of the engines.
        disturb: Runs beside the load from the start of the measured time.
    """
    rng = random.Random(seed)
    run = Run(duration_s=seconds)
    async with VirtualFleet(
        load_settings(), 3, parameters, seed, policies=policies
    ) as fleet:
        await fleet.wait_until_ready()
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        run.begin_s = begin_s + WARM_UP_S
        tasks: list[asyncio.Task[None]] = []
        if disturb is not None:
            tasks.append(asyncio.ensure_future(_later(disturb(fleet))))
        next_s = begin_s
        while next_s < begin_s + WARM_UP_S + seconds:
            await asyncio.sleep(max(0.0, next_s - loop.time()))
            entry = rng.choice(sorted(fleet.entries_by_name))
            served = Served(draw_sample(rng), next_s)
            if next_s >= begin_s + WARM_UP_S:
                run.served.append(served)
            tasks.append(asyncio.ensure_future(_send(fleet, entry, served)))
            next_s += rng.expovariate(rate)
        await asyncio.gather(*tasks)
        await asyncio.sleep(2)
        for engine in fleet.engines_by_id.values():
            engine.state()
            run.prefilled += engine.prefilled_tokens
            run.wasted += engine.wasted_tokens
            run.crashes += engine.crashes
    return run


async def _later(work: Coroutine[Any, Any, None]) -> None:
    await asyncio.sleep(WARM_UP_S)
    await work


async def _send(fleet: VirtualFleet, entry: str, served: Served) -> None:
    sample = served.sample
    prefix = f"shared code {sample.prefix} ".ljust(SHARED_CHARS, "s")
    chars = round(sample.prompt_tokens * PARAMETERS.bytes_per_token)
    prompt = (prefix + f"{served.intended_s}".ljust(chars, "q"))[-max(chars, 16) :]
    if chars > SHARED_CHARS:
        prompt = (prefix + f"{served.intended_s}".ljust(chars, "q"))[:chars]
    body = json.dumps(
        {
            "model": MODEL,
            "prompt": prompt,
            "stream": True,
            "max_tokens": sample.output_tokens,
        }
    ).encode()
    headers = [(b"authorization", f"Bearer example-{sample.workspace}".encode())]
    answer = await fleet.request(entry, "POST", "/v1/completions", headers, body)
    assert answer is not None
    served.status = answer.status
    served.complete = answer.complete and answer.status == 200
    times = answer.chunk_times_s
    if served.complete and len(times) > 1:
        served.first_s = times[0] - served.intended_s
        gaps = sorted(b - a for a, b in zip(times, times[1:]))
        served.between_s = gaps[min(len(gaps) - 1, math.ceil(len(gaps) * 0.95) - 1)]


def worst_fair_share(run: Run) -> float:
    """Returns the least ratio of service to weighted max-min fair share.

    Service and demand are output tokens; what the pools served in all is divided.
    """
    demand: Counter[str] = Counter()
    service: Counter[str] = Counter()
    for item in run.served:
        demand[item.sample.workspace] += item.sample.output_tokens
        if item.complete:
            service[item.sample.workspace] += item.sample.output_tokens
    fair = _max_min(dict(demand), float(sum(service.values())))
    return min(service[name] / fair[name] for name in demand)


def _max_min(demand: dict[str, int], total: float) -> dict[str, float]:
    """Divides a total by weights, with nobody above its demand."""
    fair: dict[str, float] = {}
    open_names = set(demand)
    while open_names:
        weight = sum(WEIGHTS[name] for name in open_names)
        full = {
            name
            for name in open_names
            if demand[name] <= total * WEIGHTS[name] / weight
        }
        if not full:
            for name in open_names:
                fair[name] = total * WEIGHTS[name] / weight
            break
        for name in full:
            fair[name] = float(demand[name])
            total -= demand[name]
        open_names -= full
    return fair


def figures_of(
    name: str, load: float, run: Run, bounds: dict[str, float]
) -> list[Measurement]:
    """Returns the figures of one run."""
    prefix = f"load.{name}.{load:g}"
    admitted = [item for item in run.served if item.complete]
    first = sorted(item.first_s for item in admitted)
    between = sorted(item.between_s for item in admitted)
    wasted = run.wasted / max(1, run.prefilled) * 100
    return [
        Measurement(
            f"{prefix}.goodput", run.goodput(), "1/s", bounds.get("goodput"), True
        ),
        Measurement(f"{prefix}.first_token_p95", _p95(first), "s", bounds.get("first")),
        Measurement(f"{prefix}.between_p95", _p95(between), "s", bounds.get("between")),
        Measurement(f"{prefix}.wasted_prefill", wasted, "%", bounds.get("wasted")),
        Measurement(
            f"{prefix}.worst_share",
            worst_fair_share(run),
            "",
            bounds.get("share"),
            True,
        ),
        Measurement(f"{prefix}.served", len(admitted) / len(run.served) * 100, "%"),
    ]


def _p95(values: list[float]) -> float:
    return values[math.ceil(len(values) * 0.95) - 1] if values else math.inf


def policies_by_name() -> dict[str, PlacementPolicies]:
    """Returns the policies to compare, the present one first."""

    def of(prefill: PlacementPolicy, decode: PlacementPolicy) -> PlacementPolicies:
        return PlacementPolicies(prefill, decode, PowerOfTwoChoices())

    return {
        "present": of(PrefixAffinity(), PowerOfTwoChoices()),
        "prefill_when_next": of(PrefixAffinity(), PowerOfTwoChoices())._replace(
            timing=PrefillTiming.WHEN_NEXT
        ),
        "prefill_at_once": of(PrefixAffinity(), PowerOfTwoChoices())._replace(
            timing=PrefillTiming.AT_ONCE
        ),
        "round_robin": of(RoundRobin(), RoundRobin()),
    }


def main(arguments: list[str]) -> int:
    """Measures all policies at all loads and prints the figures."""
    seed = int(arguments[0]) if arguments else 1
    seconds = float(arguments[1]) if len(arguments) > 1 else 40.0
    capacity = pool_capacity(seed)
    print(Measurement("load.capacity", capacity, "1/s"), flush=True)
    missed = False
    only = arguments[2] if len(arguments) > 2 else None
    for name, policies in policies_by_name().items():
        if only not in (None, name):
            continue
        at_capacity = 0.0
        for load in (0.7, 1.0, 1.5, 2.0):
            bounds = {}
            if name == "present":
                bounds = {
                    "first": FIRST_TOKEN_S,
                    "between": BETWEEN_TOKENS_S,
                    "wasted": 0.5,
                    "share": 0.95,
                }
                if load == 1.0:
                    bounds["goodput"] = 0.95 * capacity
                elif load == 2.0:
                    bounds["goodput"] = 0.95 * at_capacity
            run = run_in_virtual_time(
                run_load(policies, capacity * load, seconds, seed)
            )
            if load == 1.0:
                at_capacity = run.goodput()
            for figure in figures_of(name, load, run, bounds):
                print(figure, flush=True)
                missed = missed or figure.verdict == "NOT MET"
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
