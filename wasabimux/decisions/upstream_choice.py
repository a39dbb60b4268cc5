"""Which upstream of a plain service gets a call."""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

from wasabimux.ids import UpstreamId

#: A failure costs a caller as much as this many requests ahead of it.
FAILURE_COST = 8.0

#: Further cost of an upstream in another failure domain, in requests ahead.
DISTANCE_COST = 0.05


class CallCandidate(NamedTuple):
    """What a relay knows of an upstream.

    Attributes:
        upstream: Its identity.
        slots: Requests that it runs at once.
        running: Requests that all relays have there, as far as is known.
        latency_s: Its usual time to an answer, 0 if unknown.
        failure_share: Part of recent requests that failed.
        near: True in the relay's own failure domain.
    """

    upstream: UpstreamId
    slots: int
    running: int
    latency_s: float
    failure_rate: float
    near: bool


def choose_upstream(
    candidates: Sequence[CallCandidate], rng: random.Random
) -> CallCandidate:
    """Returns the candidate with the least expected cost.

    Args:
        candidates: Upstreams that may take the call; must not be empty.
        rng: Breaks ties.
    """
    known = [item.latency_s for item in candidates if item.latency_s > 0]
    usual_s = sum(known) / len(known) if known else 1.0

    def cost(item: CallCandidate) -> float:
        speed = (item.latency_s or usual_s) / usual_s
        load = (item.running + 1) / max(1, item.slots)
        distance = 0.0 if item.near else DISTANCE_COST
        return load * speed + FAILURE_COST * item.failure_rate + distance

    return min(candidates, key=lambda item: (cost(item), rng.random()))
