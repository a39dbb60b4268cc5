"""Measures service while a failure domain leaves and returns, on a virtual clock.

Usage: python -m benchmarks.domain [SEED]
"""

from __future__ import annotations

import asyncio
import dataclasses
import sys

from benchmarks.load import (
    PARAMETERS,
    policies_by_name,
    pool_capacity,
    run_load,
    worst_fair_share,
)
from benchmarks.measure import Measurement
from wasabimux.settings.fleet import DomainState
from wasabimux.standins.virtual_fleet import VirtualFleet, run_in_virtual_time

DOMAIN = "wa-perth"
OUT_S, BACK_S, END_S = 10.0, 30.0, 50.0
SETTLE_S = 3.0
REMAINING = 2 / 3
COLD = dataclasses.replace(PARAMETERS, cold_s=5.0, cold_limit=2)


async def out_and_back(fleet: VirtualFleet) -> None:
    """Takes the domain out, and brings it back with cold engines."""
    whole = fleet.settings
    domains = [
        (
            item.model_copy(update={"state": DomainState.OUT})
            if item.id == DOMAIN
            else item
        )
        for item in whole.failure_domains
    ]
    await asyncio.sleep(OUT_S)
    await fleet.apply(whole.model_copy(update={"failure_domains": domains}))
    await asyncio.sleep(BACK_S - OUT_S)
    for upstream in whole.upstreams:
        engine = fleet.engines_by_id.get(upstream.id)
        if upstream.failure_domain == DOMAIN and engine is not None:
            engine.begin_cold_start()
    await fleet.apply(whole)


def main(arguments: list[str]) -> int:
    """Measures and prints the figures; fails if a bound is not met."""
    seed = int(arguments[0]) if arguments else 1
    capacity = pool_capacity(seed)
    run = run_in_virtual_time(
        run_load(
            policies_by_name()["present"], capacity, END_S, seed, COLD, out_and_back
        )
    )
    during = run.goodput_between(OUT_S + SETTLE_S, BACK_S)
    cut = sum(item.status == 200 and not item.complete for item in run.served)
    wasted = run.wasted / run.prefilled * 100
    figures = [
        Measurement("domain.goodput_before", run.goodput_between(0, OUT_S), "1/s"),
        Measurement(
            "domain.goodput_out", during, "1/s", 0.95 * capacity * REMAINING, True
        ),
        Measurement("domain.goodput_back", run.goodput_between(BACK_S, END_S), "1/s"),
        Measurement("domain.requests_cut", cut, "requests", 0),
        Measurement("domain.cold_engines_fallen", run.crashes, "engines", 0),
        Measurement("domain.wasted_prefill", wasted, "%", 3.0),
        Measurement("domain.worst_share", worst_fair_share(run), "", 0.95, True),
    ]
    for figure in figures:
        print(figure)
    return 1 if any(figure.verdict == "NOT MET" for figure in figures) else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
