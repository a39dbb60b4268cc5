"""Rates of upstreams that bear few requests, shared by all relays."""

from __future__ import annotations

import random
from collections.abc import Callable

from wasabimux.decisions.shared_pace import SharedPace
from wasabimux.relay.model import ServiceProfile
from wasabimux.relay.upstreams import Upstream

#: Fractions of the rate of a cold upstream, and of a rate that an upstream names, which
#: all relays together use.
COLD_RATE_FRACTION = 0.8
NAMED_RATE_FRACTION = 0.9

#: Lowest rate in requests per s that an upstream is taken to name. A relay learns from
#: a response that the limit has ended, so it must send a request at times.
MIN_NAMED_RATE_PER_S = 0.1

#: Time in s for which a relay may take its turn at an upstream that names a rate.
NAMED_TURN_KEPT_S = 2.0


class UpstreamPacer:
    """Tells when this relay may send requests to upstreams that bear few.

    Args:
        relay_count: Returns the number of relays that share each rate.
        rng: Source of randomness.
    """

    def __init__(self, relay_count: Callable[[], int], rng: random.Random) -> None:
        self._relay_count = relay_count
        self._rng = rng

    def next_turn_s(
        self, upstream: Upstream, service: ServiceProfile, now: float
    ) -> float:
        """Returns the time in s from which the upstream may get a request."""
        interval_s = self._interval_s(upstream, service, now)
        if interval_s <= 0:
            upstream.pace = None
            return now
        if upstream.pace is None:
            upstream.pace = SharedPace(now + self._rng.uniform(0.0, interval_s))
        elif upstream.rate_limit_per_s is not None:
            upstream.pace.skip_missed(now, interval_s, NAMED_TURN_KEPT_S)
        return upstream.pace.next_turn_s

    def take_turn(
        self,
        upstream: Upstream,
        service: ServiceProfile,
        now: float,
        requests: int = 1,
    ) -> float:
        """Takes a turn at an upstream and returns its time in s.

        Args:
            upstream: The upstream.
            service: Service of the upstream.
            now: Current time in s.
            requests: Requests that the upstream gets in the turn.
        """
        interval_s = self._interval_s(upstream, service, now, requests)
        if interval_s <= 0:
            return now
        if upstream.pace is None:
            upstream.pace = SharedPace(now)
        return upstream.pace.take(now, interval_s)

    def _interval_s(
        self,
        upstream: Upstream,
        service: ServiceProfile,
        now: float,
        requests: int = 1,
    ) -> float:
        """Returns the time in s between this relay's turns, 0 without a limit."""
        relay_count = self._relay_count()
        interval_s = 0.0
        if service.cold_per_s > 0 and now < upstream.cold_until_s:
            interval_s = relay_count / (COLD_RATE_FRACTION * service.cold_per_s)
        if upstream.rate_limit_per_s is not None:
            rate = max(MIN_NAMED_RATE_PER_S, upstream.rate_limit_per_s)
            named_s = requests * relay_count / (NAMED_RATE_FRACTION * rate)
            interval_s = max(interval_s, named_s)
        return interval_s
