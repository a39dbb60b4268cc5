"""Measures goodput, latency and fairness under load, in virtual time.

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

#: Targets of the latency in s: time to first token, and p95 of a request's time between
#: tokens.
FIRST_TOKEN_TARGET_S = 0.69
BETWEEN_TOKENS_TARGET_S = 0.040

#: Time in s under load before the measured time.
WARM_UP_S = 12.0
SHARED_PREFIX_COUNT = 8
SHARED_PREFIX_CHARS = 1_024

#: Demand of each workspace relative to its weighted share. Two workspaces send four
#: times their share.
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

#: Output lengths of requests, and how often each is drawn.
OUTPUT_TOKENS = (8, 32, 64, 128)
OUTPUT_WEIGHTS = (20, 40, 30, 10)


class RequestSpec(NamedTuple):
    """One request of the load.

    Attributes:
        workspace: Workspace that sends it.
        prompt_tokens: Length of the prompt in tokens.
        output_tokens: Length of the response in tokens.
        prefix: Index of the shared prefix that the prompt starts with.
    """

    workspace: str
    prompt_tokens: int
    output_tokens: int
    prefix: int


@dataclass(slots=True)
class RequestResult:
    """Result of one request.

    Attributes:
        spec: The request.
        intended_s: Loop time in s at which it was to be sent.
        status: HTTP status.
        complete: True if the whole response came with status 200.
        first_s: Time in s from `intended_s` to the first token.
        between_s: p95 of the time in s between tokens.
    """

    spec: RequestSpec
    intended_s: float
    status: int = 0
    complete: bool = False
    first_s: float = math.inf
    between_s: float = math.inf

    @property
    def good(self) -> bool:
        """Whether the response was complete and met both latency targets."""
        in_time = (
            self.first_s <= FIRST_TOKEN_TARGET_S
            and self.between_s <= BETWEEN_TOKENS_TARGET_S
        )
        return self.complete and in_time


@dataclass(slots=True)
class LoadResult:
    """Results of one run under load.

    Attributes:
        results: Results of the requests of the measured time, refused ones included.
        duration_s: Length of the measured time in s.
        begin_s: Loop time in s at which the measured time begins.
        crashes: Number of engine crashes.
        prefilled: Prompt tokens that engines prefilled.
        wasted: Tokens of prefill results that were cancelled or expired.
    """

    results: list[RequestResult] = field(default_factory=list)
    duration_s: float = 0.0
    begin_s: float = 0.0
    crashes: int = 0
    prefilled: int = 0
    wasted: int = 0

    def goodput(self) -> float:
        """Returns the good requests per second over the measured time."""
        return self.goodput_between(0.0, self.duration_s)

    def goodput_between(self, start_s: float, end_s: float) -> float:
        """Returns the good requests per second intended in an interval of the run."""
        good = sum(
            item.good
            for item in self.results
            if start_s <= item.intended_s - self.begin_s < end_s
        )
        return good / (end_s - start_s)


def draw_request(rng: random.Random) -> RequestSpec:
    """Draws a request; prompt lengths have a heavy-tailed distribution."""
    demands = [DEMAND[name] * WEIGHTS[name] for name in DEMAND]
    (workspace,) = rng.choices(list(DEMAND), demands)
    prompt = min(20_000, max(20, round(rng.lognormvariate(5.6, 1.1))))
    (output,) = rng.choices(OUTPUT_TOKENS, OUTPUT_WEIGHTS)
    return RequestSpec(workspace, prompt, output, rng.randrange(SHARED_PREFIX_COUNT))


def pool_capacity(seed: int) -> float:
    """Computes the requests per second that the prefill and decode pools can serve.

    In the decode pool, a request occupies a slot for its prefill, the transfer of its
    KV cache and its decode steps in a full batch. In the prefill pool, each engine
    prefills one prompt at a time. The pool with the lower rate limits the fleet.
    """
    rng = random.Random(seed)
    requests = [draw_request(rng) for _ in range(20_000)]
    step_s = PARAMETERS.step_base_s + PARAMETERS.step_per_request_s * 7
    prefill_s = [
        PARAMETERS.prefill_base_s + item.prompt_tokens / PARAMETERS.prefill_tokens_per_s
        for item in requests
    ]
    transfer_s = [
        item.prompt_tokens * PARAMETERS.kv_bytes_per_token / PARAMETERS.link_bytes_per_s
        for item in requests
    ]
    hold_s = [
        item.output_tokens * step_s + prefill + transfer
        for item, prefill, transfer in zip(requests, prefill_s, transfer_s)
    ]
    decode = 6 * PARAMETERS.slots / statistics.fmean(hold_s)
    prefill = 3 / statistics.fmean(prefill_s)
    return min(decode, prefill)


def load_settings() -> FleetSettings:
    """Returns the fleet settings with rate limits so high that only the pools limit."""
    document: dict[str, Any] = json.loads(FLEET_FILE.read_bytes())
    for upstream in document["upstreams"]:
        upstream["warm_up_s"] = 0.5
    tree = document["tree"]
    for branch in (tree, *tree["children"].values()):
        for name in ("rate_tokens_per_s", "burst_tokens"):
            branch.get("set", {}).pop(name, None)
    tree.setdefault("set", {}).update(rate_tokens_per_s=1e8, burst_tokens=1e9)
    return check_fleet(document).ok


FaultInjector = Callable[[VirtualFleet], Coroutine[Any, Any, None]]


async def run_load(
    policies: PlacementPolicies,
    rate: float,
    seconds: float,
    seed: int,
    parameters: EngineParameters = PARAMETERS,
    inject_fault: FaultInjector | None = None,
) -> LoadResult:
    """Runs a fleet under open-loop load and collects the results.

    Args:
        policies: How entries choose upstreams.
        rate: Requests per second.
        seconds: Length of the measured time in s, after WARM_UP_S.
        seed: Seed of load and fleet.
        parameters: Capacity and timing of the engines.
        inject_fault: Runs alongside the load from the start of the measured time.
    """
    rng = random.Random(seed)
    run = LoadResult(duration_s=seconds)
    async with VirtualFleet(
        load_settings(), 3, parameters, seed, policies=policies
    ) as fleet:
        await fleet.wait_until_ready()
        loop = asyncio.get_running_loop()
        begin_s = loop.time()
        run.begin_s = begin_s + WARM_UP_S
        tasks: list[asyncio.Task[None]] = []
        if inject_fault is not None:
            tasks.append(asyncio.ensure_future(_run_after_warm_up(inject_fault(fleet))))
        next_s = begin_s
        while next_s < begin_s + WARM_UP_S + seconds:
            await asyncio.sleep(max(0.0, next_s - loop.time()))
            entry = rng.choice(sorted(fleet.entries_by_name))
            result = RequestResult(draw_request(rng), next_s)
            if next_s >= begin_s + WARM_UP_S:
                run.results.append(result)
            tasks.append(asyncio.ensure_future(_send(fleet, entry, result)))
            next_s += rng.expovariate(rate)
        await asyncio.gather(*tasks)
        await asyncio.sleep(2)
        for engine in fleet.engines_by_id.values():
            engine.state()
            run.prefilled += engine.prefilled_tokens
            run.wasted += engine.wasted_tokens
            run.crashes += engine.crashes
    return run


async def _run_after_warm_up(coroutine: Coroutine[Any, Any, None]) -> None:
    await asyncio.sleep(WARM_UP_S)
    await coroutine


async def _send(fleet: VirtualFleet, entry: str, result: RequestResult) -> None:
    spec = result.spec
    prefix = f"shared code {spec.prefix} ".ljust(SHARED_PREFIX_CHARS, "s")
    chars = round(spec.prompt_tokens * PARAMETERS.bytes_per_token)
    prompt = (prefix + f"{result.intended_s}".ljust(chars, "q"))[-max(chars, 16) :]
    if chars > SHARED_PREFIX_CHARS:
        prompt = (prefix + f"{result.intended_s}".ljust(chars, "q"))[:chars]
    body = json.dumps(
        {
            "model": MODEL,
            "prompt": prompt,
            "stream": True,
            "max_tokens": spec.output_tokens,
        }
    ).encode()
    headers = [(b"authorization", f"Bearer example-{spec.workspace}".encode())]
    response = await fleet.request(entry, "POST", "/v1/completions", headers, body)
    assert response is not None
    result.status = response.status
    result.complete = response.complete and response.status == 200
    times = response.chunk_times_s
    if result.complete and len(times) > 1:
        result.first_s = times[0] - result.intended_s
        gaps = sorted(b - a for a, b in zip(times, times[1:]))
        result.between_s = gaps[min(len(gaps) - 1, math.ceil(len(gaps) * 0.95) - 1)]


def worst_fair_share(run: LoadResult) -> float:
    """Returns the least ratio of a workspace's service to its max-min fair share.

    Service and demand are counted in output tokens. The shares divide all tokens that
    the pools served by the weights of the workspaces.
    """
    demand: Counter[str] = Counter()
    service: Counter[str] = Counter()
    for item in run.results:
        demand[item.spec.workspace] += item.spec.output_tokens
        if item.complete:
            service[item.spec.workspace] += item.spec.output_tokens
    fair = _max_min_shares(dict(demand), float(sum(service.values())))
    return min(service[name] / fair[name] for name in demand)


def _max_min_shares(demand: dict[str, int], total: float) -> dict[str, float]:
    """Divides a total by weights, giving no workspace more than its demand."""
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


def build_measurements(
    name: str, load: float, run: LoadResult, bounds: dict[str, float]
) -> list[Measurement]:
    """Returns the measurements of one run.

    Args:
        name: Name of the policies.
        load: Rate of the load as a multiple of the capacity.
        run: Results of the run.
        bounds: Bounds by the name of the quantity.
    """
    prefix = f"load.{name}.{load:g}"
    completed = [item for item in run.results if item.complete]
    first = sorted(item.first_s for item in completed)
    between = sorted(item.between_s for item in completed)
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
        Measurement(f"{prefix}.served", len(completed) / len(run.results) * 100, "%"),
    ]


def _p95(values: list[float]) -> float:
    return values[math.ceil(len(values) * 0.95) - 1] if values else math.inf


def policies_by_name() -> dict[str, PlacementPolicies]:
    """Returns the policies to compare by name, the default first."""

    def policies(
        prefill: PlacementPolicy, decode: PlacementPolicy
    ) -> PlacementPolicies:
        return PlacementPolicies(prefill, decode, PowerOfTwoChoices())

    return {
        "present": policies(PrefixAffinity(), PowerOfTwoChoices()),
        "prefill_when_next": policies(PrefixAffinity(), PowerOfTwoChoices())._replace(
            timing=PrefillTiming.WHEN_NEXT
        ),
        "prefill_at_once": policies(PrefixAffinity(), PowerOfTwoChoices())._replace(
            timing=PrefillTiming.AT_ONCE
        ),
        "round_robin": policies(RoundRobin(), RoundRobin()),
    }


def main(arguments: list[str]) -> int:
    """Measures all policies at all loads; returns 1 if a bound is not met, else 0."""
    seed = int(arguments[0]) if arguments else 1
    seconds = float(arguments[1]) if len(arguments) > 1 else 40.0
    capacity = pool_capacity(seed)
    print(Measurement("load.capacity", capacity, "1/s"), flush=True)
    bound_missed = False
    only_policy = arguments[2] if len(arguments) > 2 else None
    for name, policies in policies_by_name().items():
        if only_policy not in (None, name):
            continue
        goodput_at_capacity = 0.0
        for load in (0.7, 1.0, 1.5, 2.0):
            bounds = {}
            if name == "present":
                bounds = {
                    "first": FIRST_TOKEN_TARGET_S,
                    "between": BETWEEN_TOKENS_TARGET_S,
                    "wasted": 0.5,
                    "share": 0.95,
                }
                if load == 1.0:
                    bounds["goodput"] = 0.95 * capacity
                elif load == 2.0:
                    bounds["goodput"] = 0.95 * goodput_at_capacity
            run = run_in_virtual_time(
                run_load(policies, capacity * load, seconds, seed)
            )
            if load == 1.0:
                goodput_at_capacity = run.goodput()
            for measurement in build_measurements(name, load, run, bounds):
                print(measurement, flush=True)
                bound_missed = bound_missed or measurement.verdict == "NOT MET"
    return 1 if bound_missed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
