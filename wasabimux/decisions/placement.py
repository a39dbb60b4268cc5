"""Load-balancing policies that choose the upstream of a request."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple, Protocol

import xxhash

from wasabimux.ids import UpstreamId

#: Leading bytes of a prompt that are hashed for prefix affinity.
PREFIX_BYTES = 1024

#: An upstream is overloaded above this multiple of the mean utilization.
LOAD_BOUND_FACTOR = 1.25


class Candidate(NamedTuple):
    """State of an upstream as known to an entry.

    Attributes:
        upstream: Id of the upstream.
        capacity: Requests that the upstream may run now.
        load: Requests running or waiting at the upstream: its last load report,
            corrected by requests that this entry has sent or that have ended since.
    """

    upstream: UpstreamId
    capacity: int
    load: int

    @property
    def utilization(self) -> float:
        """Load divided by capacity."""
        return self.load / max(1, self.capacity)


class PlacementPolicy(Protocol):
    """Policy that chooses among the upstreams that may take a request."""

    def choose(
        self, candidates: Sequence[Candidate], affinity: bytes, rng: random.Random
    ) -> Candidate:
        """Returns one of the candidates.

        Args:
            candidates: Upstreams that may take the request; must not be empty.
            affinity: Affinity key: bytes that requests with the same cached prefix have
                in common.
            rng: Random number generator of the policy.
        """


class RoundRobin:
    """Chooses the candidates in turn, as a baseline for other policies."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, candidates: Sequence[Candidate], affinity: bytes, rng: random.Random
    ) -> Candidate:
        """Returns the next candidate in turn."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class PowerOfTwoChoices:
    """Chooses the less utilized of two candidates drawn at random."""

    def choose(
        self, candidates: Sequence[Candidate], affinity: bytes, rng: random.Random
    ) -> Candidate:
        """Returns the less utilized of two random candidates."""
        if len(candidates) == 1:
            return candidates[0]
        first, second = rng.sample(candidates, 2)
        return first if first.utilization <= second.utilization else second


class PrefixAffinity:
    """Chooses an upstream by rendezvous hashing of the prefix, with bounded loads.

    The candidates are ranked by the rendezvous hash of the prefix. The first one whose
    utilization stays within LOAD_BOUND_FACTOR times the mean is chosen.
    """

    def choose(
        self, candidates: Sequence[Candidate], affinity: bytes, rng: random.Random
    ) -> Candidate:
        """Returns the highest ranked candidate that is not overloaded."""
        total_load = sum(candidate.load for candidate in candidates) + 1
        total_capacity = sum(max(1, item.capacity) for item in candidates)
        bound = LOAD_BOUND_FACTOR * total_load / total_capacity
        prefix = affinity[:PREFIX_BYTES]
        ranked = sorted(
            candidates,
            key=lambda item: rendezvous_weight(prefix, item.upstream),
            reverse=True,
        )
        for candidate in ranked:
            if (candidate.load + 1) / max(1, candidate.capacity) <= max(bound, 1.0):
                return candidate
        return min(ranked, key=lambda item: item.utilization)


def rendezvous_weight(key: bytes, member: str) -> int:
    """Returns the hash weight of a member; the member with the highest owns the key."""
    return xxhash.xxh3_64_intdigest(member.encode(), xxhash.xxh3_64_intdigest(key))


def rendezvous_top(key: bytes, members: Iterable[str], count: int) -> list[str]:
    """Returns up to `count` members with the highest weights for a key, best first."""
    ranked = sorted(
        members, key=lambda member: rendezvous_weight(key, member), reverse=True
    )
    return ranked[:count]
