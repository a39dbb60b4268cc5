"""Route lookup by host and path prefix, and weighted choice of a service."""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from typing import Generic, Protocol, TypeVar


class PrefixRoute(Protocol):
    """Route that matches requests by host and path prefix."""

    @property
    def host(self) -> str:
        """Host name that the route matches, in lower case."""

    @property
    def path_prefix(self) -> str:
        """Path prefix that the route matches, with a slash at both ends."""


class Weighted(Protocol):
    """Option of a weighted choice."""

    @property
    def weight(self) -> float:
        """Relative weight, in any unit that all options share."""


RouteT = TypeVar("RouteT", bound=PrefixRoute)
WeightedT = TypeVar("WeightedT", bound=Weighted)


class RouteTable(Generic[RouteT]):
    """Finds the route with the longest matching path prefix.

    A lookup costs one dictionary access per distinct prefix length of the host.

    Args:
        routes: All routes. If two have the same host and prefix, the last one applies.
    """

    def __init__(self, routes: Iterable[RouteT]) -> None:
        routes_by_host: dict[str, dict[str, RouteT]] = {}
        for route in routes:
            routes_by_host.setdefault(route.host, {})[route.path_prefix] = route
        self._routes_by_host = routes_by_host
        self._prefix_lengths_by_host = {
            host: sorted({len(prefix) for prefix in route_by_prefix}, reverse=True)
            for host, route_by_prefix in routes_by_host.items()
        }

    def find(self, host: str, path: str) -> RouteT | None:
        """Returns the route that matches a request, or None.

        Args:
            host: Value of the Host header; a port is ignored.
            path: Path of the request without the query.
        """
        hostname = (
            host.rpartition(":")[0] if host.rpartition(":")[2].isdigit() else host
        )
        route_by_prefix = self._routes_by_host.get(hostname.lower())
        if route_by_prefix is None:
            return None
        for length in self._prefix_lengths_by_host[hostname.lower()]:
            route = route_by_prefix.get(path[:length])
            if route is not None:
                return route
        return None


def draw_weighted(choices: Sequence[WeightedT], rng: random.Random) -> WeightedT:
    """Returns a random option, with probability proportional to its weight.

    Args:
        choices: Options to choose from; must not be empty.
        rng: Random source.
    """
    total = sum(choice.weight for choice in choices)
    point = rng.uniform(0, total)
    for choice in choices:
        point -= choice.weight
        if point <= 0:
            return choice
    return choices[-1]
