"""Measures goodput while a failure domain is out and after its return, in virtual time.

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

#: Times in s from the start of the measured time: domain taken out, brought back, end.
OUT_S, BACK_S, END_S = 10.0, 30.0, 50.0

#: Time in s after the domain is taken out before goodput is measured.
SETTLE_S = 3.0

#: Fraction of the capacity that remains while the domain is out.
REMAINING_FRACTION = 2 / 3
COLD_START_PARAMETERS = dataclasses.replace(PARAMETERS, cold_s=5.0, cold_limit=2)


async def take_out_and_bring_back(fleet: VirtualFleet) -> None:
    """Takes the domain out, and brings it back with its engines in cold start."""
    original_settings = fleet.settings
    domains = [
        (
            item.model_copy(update={"state": DomainState.OUT_OF_SERVICE})
            if item.id == DOMAIN
            else item
        )
        for item in original_settings.failure_domains
    ]
    await asyncio.sleep(OUT_S)
    await fleet.apply(original_settings.model_copy(update={"failure_domains": domains}))
    await asyncio.sleep(BACK_S - OUT_S)
    for upstream in original_settings.upstreams:
        engine = fleet.engines_by_id.get(upstream.id)
        if upstream.failure_domain == DOMAIN and engine is not None:
            engine.begin_cold_start()
    await fleet.apply(original_settings)


def main(arguments: list[str]) -> int:
    """Runs and prints all measurements; returns 1 if a bound is not met, else 0."""
    seed = int(arguments[0]) if arguments else 1
    capacity = pool_capacity(seed)
    run = run_in_virtual_time(
        run_load(
            policies_by_name()["present"],
            capacity,
            END_S,
            seed,
            COLD_START_PARAMETERS,
            take_out_and_bring_back,
        )
    )
    goodput_out = run.goodput_between(OUT_S + SETTLE_S, BACK_S)
    incomplete = sum(item.status == 200 and not item.complete for item in run.results)
    wasted = run.wasted / run.prefilled * 100
    measurements = [
        Measurement("domain.goodput_before", run.goodput_between(0, OUT_S), "1/s"),
        Measurement(
            "domain.goodput_out",
            goodput_out,
            "1/s",
            0.95 * capacity * REMAINING_FRACTION,
            True,
        ),
        Measurement("domain.goodput_back", run.goodput_between(BACK_S, END_S), "1/s"),
        Measurement("domain.requests_cut", incomplete, "requests", 0),
        Measurement("domain.cold_engines_fallen", run.crashes, "engines", 0),
        Measurement("domain.wasted_prefill", wasted, "%", 3.0),
        Measurement("domain.worst_share", worst_fair_share(run), "", 0.95, True),
    ]
    for measurement in measurements:
        print(measurement)
    return (
        1
        if any(measurement.verdict == "NOT MET" for measurement in measurements)
        else 0
    )


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
