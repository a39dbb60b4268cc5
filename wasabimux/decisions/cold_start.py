"""Concurrency limit of an upstream that is cold or warming up."""

from __future__ import annotations

from enum import Enum

#: Successful requests after which the limit of a warming upstream grows by one.
SUCCESSES_PER_INCREMENT = 4

#: An interval between tokens is slow above this multiple of its moving average.
SLOW_FACTOR = 2.0

#: Weight of one interval in the moving average of the time between tokens.
INTERVAL_WEIGHT = 0.05

#: Shortest time for which a token at normal speed confirms the upstream's speed.
MIN_CONFIRMATION_S = 0.03

#: Consecutive slow intervals after which the upstream is taken to be cold.
SLOW_INTERVALS_UNTIL_COLD = 6


class WarmUpState(Enum):
    """Warm-up state of an upstream, as estimated by the limiter."""

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"


class ColdStartLimiter:
    """Limits the concurrent requests of one upstream while it warms up.

    A cold upstream gets `cold_limit` requests. After `warm_up_s` without a sign
    of a cold upstream, the limit grows by one per SUCCESSES_PER_INCREMENT successful
    requests, up to `full_limit`. A failure or a sign of a cold upstream resets it to
    `cold_limit` at once.

    An upstream may turn cold without reporting it. So more than `cold_limit` requests
    are admitted only while recent tokens confirm that it runs at normal speed.

    Args:
        cold_limit: Concurrent requests that a cold upstream can handle.
        full_limit: Concurrent requests that a warm upstream can handle.
        warm_up_s: Time in s after the last sign of a cold upstream until the limit
            may grow.
        now: Current time in s.
        needs_speed_check: True for upstreams that report each token, so that their
            speed can be confirmed.
    """

    def __init__(
        self,
        cold_limit: int,
        full_limit: int,
        warm_up_s: float,
        now: float,
        needs_speed_check: bool = True,
    ) -> None:
        self._cold_limit = cold_limit
        self._full_limit = full_limit
        self._warm_up_s = warm_up_s
        self._needs_speed_check = needs_speed_check
        self._limit = cold_limit
        self._cold_since_s = now
        self._successes = 0
        self._mean_interval_s = 0.0
        self._confirmed_until_s = 0.0
        self._slow_intervals = 0

    @property
    def limit(self) -> int:
        """Concurrent requests allowed while the upstream's speed is confirmed."""
        return self._limit

    def effective_limit(self, now: float) -> int:
        """Returns the concurrent requests allowed now.

        This is at most `cold_limit` while the upstream's speed is not confirmed.
        """
        if self._needs_speed_check and now > self._confirmed_until_s:
            return min(self._limit, self._cold_limit)
        return self._limit

    def warm_up_state(self, now: float) -> WarmUpState:
        """Returns the estimated warm-up state of the upstream."""
        if self._limit >= self._full_limit:
            return WarmUpState.WARM
        if now - self._cold_since_s < self._warm_up_s:
            return WarmUpState.COLD
        return WarmUpState.WARMING

    def reconfigure(self, cold_limit: int, full_limit: int, warm_up_s: float) -> None:
        """Applies changed settings.

        The current limit rises only if the upstream was warm.
        """
        was_warm = self._limit >= self._full_limit
        self._cold_limit = cold_limit
        self._full_limit = full_limit
        self._warm_up_s = warm_up_s
        self._limit = full_limit if was_warm else min(self._limit, full_limit)

    def on_token_interval(self, interval_s: float, now: float) -> None:
        """Records the time in s between two tokens of one response."""
        if self._mean_interval_s == 0.0:
            self._mean_interval_s = interval_s
        if interval_s > SLOW_FACTOR * self._mean_interval_s:
            self._on_slow_interval(interval_s, now)
            return
        self._slow_intervals = 0
        self._update_mean(interval_s)
        confirmed_s = max(MIN_CONFIRMATION_S, SLOW_FACTOR * self._mean_interval_s)
        self._confirmed_until_s = now + confirmed_s

    def on_success(self, now: float) -> None:
        """Records a request that completed successfully."""
        if self.warm_up_state(now) is not WarmUpState.WARMING:
            return
        self._successes += 1
        if self._successes >= SUCCESSES_PER_INCREMENT:
            self._successes = 0
            self._limit += 1

    def on_cold_signal(self, now: float) -> None:
        """Resets the limit after a failure or a sign that the upstream is cold."""
        self._limit = min(self._cold_limit, self._full_limit)
        self._cold_since_s = now
        self._successes = 0
        self._confirmed_until_s = 0.0

    def _on_slow_interval(self, interval_s: float, now: float) -> None:
        self._confirmed_until_s = 0.0
        self._slow_intervals += 1
        if self._slow_intervals >= SLOW_INTERVALS_UNTIL_COLD:
            self._slow_intervals = 0
            self.on_cold_signal(now)
            # Without this update, an upstream that stays slow would stay limited.
            self._update_mean(interval_s)

    def _update_mean(self, interval_s: float) -> None:
        difference_s = interval_s - self._mean_interval_s
        self._mean_interval_s += INTERVAL_WEIGHT * difference_s
