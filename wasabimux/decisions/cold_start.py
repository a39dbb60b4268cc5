"""How many requests an upstream may run while it warms up."""

from __future__ import annotations

from enum import Enum

#: Successes in a row, at the full limit, after which the limit grows by one.
SUCCESSES_PER_STEP = 4


class Warmth(Enum):
    """What the limiter believes of the upstream."""

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"


class ColdStartLimiter:
    """Caps the requests of one upstream.

    A cold upstream gets `cold_limit` requests. After `warm_up_s` without a sign
    of cold, the limit grows by one for each run of successes, up to `full_limit`.
    A failure or a sign of cold returns it to `cold_limit` at once.

    Args:
        cold_limit: Requests that a cold upstream can bear.
        full_limit: Requests that a warm upstream can bear.
        warm_up_s: Time after the last sign of cold until the limit may grow.
        now: Present time in s.
    """

    def __init__(
        self, cold_limit: int, full_limit: int, warm_up_s: float, now: float
    ) -> None:
        self._cold_limit = cold_limit
        self._full_limit = full_limit
        self._warm_up_s = warm_up_s
        self._limit = cold_limit
        self._cold_since_s = now
        self._successes = 0

    @property
    def limit(self) -> int:
        """Requests that the upstream may run now."""
        return self._limit

    def warmth(self, now: float) -> Warmth:
        """Returns what is believed of the upstream."""
        if self._limit >= self._full_limit:
            return Warmth.WARM
        if now - self._cold_since_s < self._warm_up_s:
            return Warmth.COLD
        return Warmth.WARMING

    def reconfigure(self, cold_limit: int, full_limit: int, warm_up_s: float) -> None:
        """Takes changed settings; the limit never rises by this."""
        was_warm = self._limit >= self._full_limit
        self._cold_limit = cold_limit
        self._full_limit = full_limit
        self._warm_up_s = warm_up_s
        self._limit = full_limit if was_warm else min(self._limit, full_limit)

    def on_success(self, now: float) -> None:
        """Notes a request that ended well."""
        if self.warmth(now) is not Warmth.WARMING:
            return
        self._successes += 1
        if self._successes >= SUCCESSES_PER_STEP:
            self._successes = 0
            self._limit += 1

    def on_cold(self, now: float) -> None:
        """Notes a failure, or a report that the upstream is cold."""
        self._limit = self._cold_limit
        self._cold_since_s = now
        self._successes = 0
