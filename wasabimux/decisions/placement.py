"""Which upstream gets a request."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import NamedTuple, Protocol

import xxhash

from wasabimux.ids import UpstreamId

#: Bytes of a prompt that decide where its prefix is kept.
PREFIX_BYTES = 1024

#: An upstream counts as overloaded above this multiple of the mean load.
LOAD_BOUND = 1.25


class Candidate(NamedTuple):
    """What an entry knows of an upstream.

    Attributes:
        upstream: Its id.
        capacity: Requests it may run now.
        load: Requests running or waiting there: the last report, corrected by
            what this entry has sent and seen end since.
    """

    upstream: UpstreamId
    capacity: int
    load: int

    @property
    def utilization(self) -> float:
        """Load over capacity."""
        return self.load / max(1, self.capacity)


class PlacementPolicy(Protocol):
    """Chooses among the upstreams that may take a request."""

    def choose(
        self, candidates: Sequence[Candidate], affinity: bytes, rng: random.Random
    ) -> Candidate:
        """Returns one of the candidates, which must not be empty.

        Args:
            candidates: Upstreams that may take the request.
            affinity: Bytes that requests with the same cached prefix share.
            rng: Source of random choices.
        """


class RoundRobin:
    """Takes the candidates in turn. A baseline."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, candidates: Sequence[Candidate], affinity: bytes, rng: random.Random
    ) -> Candidate:
        """Returns the next candidate in turn."""
        self._turn += 1
        return candidates[self._turn % len(candidates)]


class PowerOfTwoChoices:
    """Takes the less utilized of two candidates drawn at random."""

    def choose(
        self, candidates: Sequence[Candidate], affinity: bytes, rng: random.Random
    ) -> Candidate:
        """Returns the better of two draws."""
        if len(candidates) == 1:
            return candidates[0]
        first, second = rng.sample(candidates, 2)
        return first if first.utilization <= second.utilization else second


class PrefixAffinity:
    """Takes the candidate of the prefix, unless it is loaded above the others.

    The candidates are ranked by rendezvous hash of the prefix; the first whose
    load stays under LOAD_BOUND times the mean is taken.
    """

    def choose(
        self, candidates: Sequence[Candidate], affinity: bytes, rng: random.Random
    ) -> Candidate:
        """Returns the first candidate in rank that is not overloaded."""
        total_load = sum(candidate.load for candidate in candidates) + 1
        total_capacity = sum(max(1, item.capacity) for item in candidates)
        bound = LOAD_BOUND * total_load / total_capacity
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
    """Returns the weight of a member for a key; the highest one owns the key."""
    return xxhash.xxh3_64_intdigest(member.encode(), xxhash.xxh3_64_intdigest(key))


def rendezvous_top(key: bytes, members: Iterable[str], count: int) -> list[str]:
    """Returns the members with the highest weights for a key, in order."""
    ranked = sorted(
        members, key=lambda member: rendezvous_weight(key, member), reverse=True
    )
    return ranked[:count]
