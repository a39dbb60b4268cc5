"""Sums of the usage of many relays.

Made for fleets of hundreds of relays, in which none can hear each of the others: what
relays use is summed inside a failure domain, and the sums are exchanged.
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from wasabimux.decisions.memory_forecast import (
    ZERO_FORECAST,
    MemoryForecast,
    sum_forecasts,
)
from wasabimux.decisions.shared_bucket import BucketUsage
from wasabimux.decisions.version_samples import (
    AnswerSample,
    SampleKey,
    Samples,
    add_samples,
    subtract_samples,
)


class UpstreamLoad(NamedTuple):
    """Load that one relay or several have on an upstream.

    Attributes:
        running: Requests that run at the upstream.
        memory: Expected KV cache memory of these requests, in tokens.
        changing_phase: Relays that are changing the phase of the engine.
        backing_off: Relays that back off from the upstream after failures.
        largest_memory: Largest memory in tokens that one relay uses now.
    """

    running: int = 0
    memory: MemoryForecast = ZERO_FORECAST
    changing_phase: int = 0
    backing_off: int = 0
    largest_memory: float = 0.0

    def plus(self, other: UpstreamLoad) -> UpstreamLoad:
        """Returns the load of both."""
        return UpstreamLoad(
            self.running + other.running,
            sum_forecasts([self.memory, other.memory]),
            self.changing_phase + other.changing_phase,
            self.backing_off + other.backing_off,
            max(self.largest_memory, other.largest_memory),
        )

    def minus(self, part: UpstreamLoad) -> UpstreamLoad:
        """Returns the load without a part of it; the largest memory stays."""
        return UpstreamLoad(
            max(0, self.running - part.running),
            tuple(max(0.0, a - b) for a, b in zip(self.memory, part.memory)),
            max(0, self.changing_phase - part.changing_phase),
            max(0, self.backing_off - part.backing_off),
            self.largest_memory,
        )


NO_LOAD = UpstreamLoad()


class Usage(NamedTuple):
    """What one relay or several use at one time.

    Attributes:
        bucket_by_workspace: Tokens used of the workspaces' rate limits.
        load_by_upstream: Load on upstreams.
        waiting: Requests that wait for a decode slot.
        samples: Answers since the order of a roll-out, of services that have one.
    """

    bucket_by_workspace: Mapping[str, BucketUsage] = {}
    load_by_upstream: Mapping[str, UpstreamLoad] = {}
    waiting: int = 0
    samples: Samples = {}


NO_USAGE = Usage()


def sum_usage(items: Iterable[Usage]) -> Usage:
    """Returns the sum of usages."""
    buckets: dict[str, BucketUsage] = {}
    loads: dict[str, UpstreamLoad] = {}
    samples: dict[SampleKey, AnswerSample] = {}
    waiting = 0
    for item in items:
        add_samples(samples, item.samples)
        waiting += item.waiting
        for workspace, bucket in item.bucket_by_workspace.items():
            known = buckets.get(workspace, BucketUsage())
            buckets[workspace] = BucketUsage(
                known.charged + bucket.charged,
                known.reserved + bucket.reserved,
                known.asked + bucket.asked,
                known.returning + bucket.returning,
            )
        for upstream, load in item.load_by_upstream.items():
            loads[upstream] = loads.get(upstream, NO_LOAD).plus(load)
    return Usage(buckets, loads, waiting, samples)


def subtract_usage(total: Usage, part: Usage) -> Usage:
    """Returns a sum without one of its parts."""
    buckets = {
        workspace: BucketUsage(
            max(0.0, bucket.charged - own.charged),
            max(0.0, bucket.reserved - own.reserved),
            max(0.0, bucket.asked - own.asked),
            max(0.0, bucket.returning - own.returning),
        )
        for workspace, bucket in total.bucket_by_workspace.items()
        for own in (part.bucket_by_workspace.get(workspace, BucketUsage()),)
    }
    loads = {
        upstream: load.minus(part.load_by_upstream.get(upstream, NO_LOAD))
        for upstream, load in total.load_by_upstream.items()
    }
    return Usage(
        buckets,
        loads,
        max(0, total.waiting - part.waiting),
        subtract_samples(total.samples, part.samples),
    )
