"""Choice of the upstream of a plain service that gets a call."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

from wasabimux.ids import UpstreamId

#: Cost of a failed request; a cost of 1 is a full upstream of mean latency.
FAILURE_COST = 8.0

#: Additional cost of an upstream in another failure domain, in the same unit.
REMOTE_COST = 0.05


class CallCandidate(NamedTuple):
    """State of an upstream as known to a relay.

    Attributes:
        upstream: Id of the upstream.
        slots: Requests that the upstream runs concurrently.
        running: Requests of all relays at the upstream, as known to this relay.
        latency_s: Moving average of the time to a response in s, 0 if unknown.
        failure_rate: Fraction of recent requests that failed, 0 to 1.
        is_local: True if the upstream is in the relay's own failure domain.
    """

    upstream: UpstreamId
    slots: int
    running: int
    latency_s: float
    failure_rate: float
    is_local: bool


def choose_upstream(
    candidates: Sequence[CallCandidate], rng: random.Random
) -> CallCandidate:
    """Returns the candidate with the lowest expected cost.

    Args:
        candidates: Upstreams that may take the call; must not be empty.
        rng: Breaks ties.
    """
    latencies_s = [item.latency_s for item in candidates if item.latency_s > 0]
    mean_s = sum(latencies_s) / len(latencies_s) if latencies_s else 1.0

    def cost(item: CallCandidate) -> float:
        relative_latency = (item.latency_s or mean_s) / mean_s
        load = (item.running + 1) / max(1, item.slots)
        remote = 0.0 if item.is_local else REMOTE_COST
        return load * relative_latency + FAILURE_COST * item.failure_rate + remote

    return min(candidates, key=lambda item: (cost(item), rng.random()))
