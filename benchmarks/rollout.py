"""Shares of wrong ends of roll-outs, and exposures, for bad and good versions.

Plays the decision alone, with answers drawn at random: 25 relays that report every
0.3 s, a service of 100 calls per s with a route of 0.5% and one of 14% failures.

Usage: python -m benchmarks.rollout [SEEDS]
"""

from __future__ import annotations

import random
import sys
from dataclasses import dataclass, field
from typing import NamedTuple

from wasabimux.decisions.exposure import (
    BURST_INTERVAL_S,
    BURST_S,
    ExposureBudget,
    ExposureLimits,
    tried_upstreams,
)
from wasabimux.decisions.rollout import (
    Progress,
    RolloutEvidence,
    RolloutOrder,
    RolloutStep,
    next_step,
)
from wasabimux.decisions.version_samples import (
    FAILED_ANSWER,
    AnswerSample,
    Measure,
    SampleKey,
    add_samples,
)
from wasabimux.ids import SoftwareVersion, UpstreamId

RELAYS = 25
CALLS_PER_S = 100.0
REPORT_INTERVAL_S = 0.3
LIMIT_S = 30.0
LIMITS = ExposureLimits(0.1, 50.0)

#: Time in s after the 50th bad answer in which a bad version may still get requests.
ROLL_BACK_S = 5.0
BAD_ANSWERS = 50

OLD, NEW = SoftwareVersion("1"), SoftwareVersion("2")
UPSTREAMS = [UpstreamId(f"new-{number}") for number in range(3)]

#: Failure rate of each route at good versions, and its share of the calls.
RATE_BY_ROUTE = {"orders": 0.005, "lookups": 0.14}
ORDERS_SHARE = 0.6

#: Median time in s of an answer, and standard deviation of its logarithm.
MEDIAN_S = 0.05
LOG_DEVIATION = 0.6


class Version(NamedTuple):
    """How a new version differs from the old one.

    Attributes:
        name: Name for the report.
        bad: True if it must be rolled back.
        failures: Fraction of its answers that fail in addition.
        factor: Factor of its times.
        from_s: Time in s after the order from which it differs.
        route: Only route on which it differs, None for all.
        burst_only: True if it differs only under load, as in a burst.
        sick_upstream: True if one of its upstreams fails for another cause.
    """

    name: str
    bad: bool
    failures: float = 0.0
    factor: float = 1.0
    from_s: float = 0.0
    route: str | None = None
    burst_only: bool = False
    sick_upstream: bool = False


VERSIONS = [
    Version("good", False),
    Version("good, one upstream fails 0.4", False, sick_upstream=True),
    Version("times 1.2", False, factor=1.2),
    Version("failures 0.005", False, failures=0.005),
    Version("failures 0.2", True, failures=0.2),
    Version("failures 0.4", True, failures=0.4),
    Version("failures 0.6", True, failures=0.6),
    Version("times 3", True, factor=3.0),
    Version("times 8", True, factor=8.0),
    Version("failures 0.4 from 8 s", True, failures=0.4, from_s=8.0),
    Version("times 4 from 12 s", True, factor=4.0, from_s=12.0),
    Version("failures 0.4 under load", True, failures=0.4, burst_only=True),
    Version("failures 0.4 on one route", True, failures=0.4, route="lookups"),
    Version("times 4 on one route", True, factor=4.0, route="orders"),
]


@dataclass
class Outcome:
    """End of one roll-out.

    Attributes:
        step: Its last step.
        exposed: Requests that the new version got before it was completed.
        requests: Requests of the service until the time limit.
        late: Requests that a bad version got too long after its 50th bad answer.
    """

    step: RolloutStep = RolloutStep.TRIAL
    exposed: int = 0
    requests: int = 0
    late: int = 0
    samples: dict[SampleKey, AnswerSample] = field(default_factory=dict)


def play(version: Version, seed: int) -> Outcome:
    """Plays one roll-out."""
    rng = random.Random(seed)
    order = RolloutOrder("desk", NEW, LIMIT_S)
    evidence, outcome = RolloutEvidence(order), Outcome()
    budgets = [ExposureBudget(LIMITS, RELAYS, rng) for _ in range(RELAYS)]
    bad_answers, limit_s = 0, LIMIT_S + 2 * ROLL_BACK_S
    reported_s = now = 0.0
    while now < LIMIT_S:
        now += rng.expovariate(CALLS_PER_S)
        if now - reported_s >= REPORT_INTERVAL_S:
            reported_s = now
            evidence.on_sums(dict(outcome.samples), len(UPSTREAMS), now)
            progress = Progress(outcome.step, now, int(now < 0.8 * LIMIT_S))
            outcome.step, _ = next_step(order, progress, evidence.verdict(now))
        if outcome.step.is_final:
            continue
        outcome.requests += 1
        budget = rng.choice(budgets)
        budget.on_request()
        is_new = outcome.step is RolloutStep.MOVING or budget.try_take(now)
        route = "orders" if rng.random() < ORDERS_SHARE else "lookups"
        upstream = rng.choice(sorted(tried_upstreams(UPSTREAMS, now)))
        is_burst = now % BURST_INTERVAL_S < BURST_S
        differs = (
            is_new
            and now >= version.from_s
            and version.route in (None, route)
            and (is_burst or not version.burst_only)
        )
        failed = rng.random() < RATE_BY_ROUTE[route]
        if is_new and version.sick_upstream and upstream == UPSTREAMS[0]:
            failed = failed or rng.random() < 0.4
        is_worse = differs and (rng.random() < version.failures or version.factor > 1)
        failed = failed or (is_worse and version.factor == 1.0)
        sample = FAILED_ANSWER
        if not failed:
            time_s = MEDIAN_S * rng.lognormvariate(0.0, LOG_DEVIATION)
            sample = AnswerSample.of_time(time_s * (version.factor if differs else 1.0))
        key = SampleKey(
            "desk",
            NEW if is_new else OLD,
            upstream if is_new else "",
            route,
            Measure.ANSWER,
        )
        add_samples(outcome.samples, {key: sample})
        if is_new:
            outcome.exposed += 1
            outcome.late += now > limit_s
            bad_answers += is_worse or (differs and failed)
            if bad_answers == BAD_ANSWERS:
                limit_s = min(limit_s, now + ROLL_BACK_S)
    outcome.requests = round(CALLS_PER_S * LIMIT_S)
    return outcome


def main(seeds: int) -> None:
    """Prints a line for each kind of version."""
    allowed = LIMITS.share * CALLS_PER_S * LIMIT_S + LIMITS.slack
    for version in VERSIONS:
        outcomes = [play(version, seed) for seed in range(seeds)]
        steps = [outcome.step for outcome in outcomes]
        wrong = RolloutStep.COMPLETED if version.bad else RolloutStep.ROLLED_BACK
        line = (
            f"{version.name:28} completed {steps.count(RolloutStep.COMPLETED)},"
            f" rolled back {steps.count(RolloutStep.ROLLED_BACK)},"
            f" wrong {steps.count(wrong) / seeds:.4f}"
        )
        if version.bad:
            most = max(outcome.exposed for outcome in outcomes)
            late = sum(outcome.late for outcome in outcomes)
            line += f", exposed at most {most} of {allowed:.0f}, late {late}"
        print(line, flush=True)


if __name__ == "__main__":
    main(int(sys.argv[1]) if len(sys.argv) > 1 else 1_000)
