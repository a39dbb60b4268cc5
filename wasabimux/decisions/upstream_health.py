"""Health of an upstream, as learned from its responses."""

from __future__ import annotations

#: Weight of one response in the moving averages.
RESPONSE_WEIGHT = 0.15

#: Time in s for which a latency is believed that no further response confirms. An
#: upstream that seems slow gets no calls, so only a new one can show what it is now.
LATENCY_VALID_S = 3.0

#: Time in s after which recorded failures count half.
FAILURE_HALF_LIFE_S = 4.0

#: Consecutive failures after which an upstream gets no requests for a while.
FAILURES_BEFORE_BACKOFF = 3

#: Backoff of a failing upstream in s; it doubles each time up to the maximum.
INITIAL_BACKOFF_S = 0.5
MAX_BACKOFF_S = 4.0


class UpstreamHealth:
    """Failure rate, latency and backoff of one upstream."""

    __slots__ = (
        "_failure_rate",
        "_updated_s",
        "_consecutive_failures",
        "_backoff_until_s",
        "_backoff_s",
        "_latency_s",
        "_latency_updated_s",
    )

    def __init__(self) -> None:
        self._failure_rate = 0.0
        self._updated_s = 0.0
        self._consecutive_failures = 0
        self._backoff_until_s = 0.0
        self._backoff_s = INITIAL_BACKOFF_S
        self._latency_s = 0.0
        self._latency_updated_s = 0.0

    def latency_s(self, now: float) -> float:
        """Returns the moving average of the time to a response in s, 0 if unknown."""
        is_valid = now - self._latency_updated_s < LATENCY_VALID_S
        return self._latency_s if is_valid else 0.0

    def on_success(self, latency_s: float, now: float) -> None:
        """Records a complete, successful response and ends the backoff."""
        self._update_failure_rate(0.0, now)
        self._consecutive_failures = 0
        self._backoff_s = INITIAL_BACKOFF_S
        self._backoff_until_s = 0.0
        before_s = self.latency_s(now) or latency_s
        self._latency_s = before_s + RESPONSE_WEIGHT * (latency_s - before_s)
        self._latency_updated_s = now

    def on_failure(self, now: float) -> None:
        """Records a failure, a refusal or a missing response."""
        self._update_failure_rate(1.0, now)
        self._consecutive_failures += 1
        if self._consecutive_failures >= FAILURES_BEFORE_BACKOFF:
            self.back_off(now)

    def on_unreachable(self, now: float) -> None:
        """Records that no connection could be made."""
        self._update_failure_rate(1.0, now)
        self.back_off(now)

    def back_off(self, now: float) -> None:
        """Starts a backoff, twice as long as the last one up to MAX_BACKOFF_S."""
        self._backoff_until_s = now + self._backoff_s
        self._backoff_s = min(MAX_BACKOFF_S, self._backoff_s * 2)

    def failure_rate(self, now: float) -> float:
        """Returns the fraction of recent requests that failed, 0 to 1."""
        age_s = max(0.0, now - self._updated_s)
        return self._failure_rate * 0.5 ** (age_s / FAILURE_HALF_LIFE_S)

    def is_backing_off(self, now: float) -> bool:
        """Returns whether the upstream should get no requests now."""
        return now < self._backoff_until_s

    def _update_failure_rate(self, failed: float, now: float) -> None:
        rate = self.failure_rate(now)
        self._failure_rate = rate + RESPONSE_WEIGHT * (failed - rate)
        self._updated_s = now
