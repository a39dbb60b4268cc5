"""Which route and which service a request belongs to."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import Generic, Protocol, TypeVar


class PrefixRoute(Protocol):
    """A route by host and path prefix."""

    @property
    def host(self) -> str:
        """Host that the route belongs to, in lower case."""

    @property
    def path_prefix(self) -> str:
        """Start of the path, with a slash at both ends."""


class Weighted(Protocol):
    """A choice with a weight."""

    @property
    def weight(self) -> float:
        """Part of the whole, in any unit that all choices share."""


RouteT = TypeVar("RouteT", bound=PrefixRoute)
WeightedT = TypeVar("WeightedT", bound=Weighted)


class RouteTable(Generic[RouteT]):
    """Finds the route with the longest prefix; costs one look-up a prefix length.

    Args:
        routes: All routes. Of two with one host and prefix, the last counts.
    """

    def __init__(self, routes: Iterable[RouteT]) -> None:
        by_host: dict[str, dict[str, RouteT]] = {}
        for route in routes:
            by_host.setdefault(route.host, {})[route.path_prefix] = route
        self._by_host = by_host
        self._lengths_by_host = {
            host: sorted({len(prefix) for prefix in by_prefix}, reverse=True)
            for host, by_prefix in by_host.items()
        }

    def find(self, host: str, path: str) -> RouteT | None:
        """Returns the route of a request.

        Args:
            host: Value of the Host header; a port is ignored.
            path: Path without the query.
        """
        name = host.rpartition(":")[0] if host.rpartition(":")[2].isdigit() else host
        by_prefix = self._by_host.get(name.lower())
        if by_prefix is None:
            return None
        for length in self._lengths_by_host[name.lower()]:
            route = by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


def draw_weighted(choices: Sequence[WeightedT], rng: random.Random) -> WeightedT:
    """Draws one of the choices by weight.

    Args:
        choices: What to draw from; must not be empty.
        rng: Source of random choices.
    """
    total = sum(choice.weight for choice in choices)
    point = rng.uniform(0, total)
    for choice in choices:
        point -= choice.weight
        if point <= 0:
            return choice
    return choices[-1]
