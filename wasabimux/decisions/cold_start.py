"""How many requests an upstream may run while it warms up, or may be cold."""

from __future__ import annotations

from enum import Enum

#: Successes after which the limit of a warming upstream grows by one.
SUCCESSES_PER_STEP = 4

#: A step is slow above this multiple of the usual time between tokens.
SLOW_FACTOR = 2.0

#: Weight of one interval in the moving average of the time between tokens.
INTERVAL_WEIGHT = 0.05

#: Evidence of normal speed counts at least this long.
MIN_EVIDENCE_S = 0.03

#: Slow steps in a row that count as a sign of cold.
SLOW_STEPS = 6


class WarmUpState(Enum):
    """What the limiter believes of the upstream."""

    COLD = "cold"
    WARMING = "warming"
    WARM = "warm"


class ColdStartLimiter:
    """Caps the requests of one upstream.

    A cold upstream gets `cold_limit` requests. After `warm_up_s` without a sign
    of cold, the limit grows by one for each few successes, up to `full_limit`. A
    failure or a sign of cold returns it to `cold_limit` at once.

    An upstream may turn cold without a word. So more than `cold_limit` requests
    are let in only on fresh evidence that tokens come at the usual speed.

    Args:
        cold_limit: Requests that a cold upstream can bear.
        full_limit: Requests that a warm upstream can bear.
        warm_up_s: Time after the last sign of cold until the limit may grow.
        now: Present time in s.
        needs_evidence: True for upstreams that report progress.
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
        self._usual_interval_s = 0.0
        self._evidence_until_s = 0.0
        self._slow_steps = 0

    @property
    def limit(self) -> int:
        """Requests that the upstream may run, given fresh evidence."""
        return self._limit

    def effective_limit(self, now: float) -> int:
        """Returns the requests that the upstream may run on present evidence."""
        if self._needs_speed_check and now > self._evidence_until_s:
            return min(self._limit, self._cold_limit)
        return self._limit

    def warm_up_state(self, now: float) -> WarmUpState:
        """Returns what is believed of the upstream."""
        if self._limit >= self._full_limit:
            return WarmUpState.WARM
        if now - self._cold_since_s < self._warm_up_s:
            return WarmUpState.COLD
        return WarmUpState.WARMING

    def reconfigure(self, cold_limit: int, full_limit: int, warm_up_s: float) -> None:
        """Takes changed settings; a limit that had not been reached never rises."""
        was_warm = self._limit >= self._full_limit
        self._cold_limit = cold_limit
        self._full_limit = full_limit
        self._warm_up_s = warm_up_s
        self._limit = full_limit if was_warm else min(self._limit, full_limit)

    def on_token_interval(self, interval_s: float, now: float) -> None:
        """Notes the time between two tokens of one answer."""
        if self._usual_interval_s == 0.0:
            self._usual_interval_s = interval_s
        if interval_s > SLOW_FACTOR * self._usual_interval_s:
            self._on_slow_step(interval_s, now)
            return
        self._slow_steps = 0
        self._learn(interval_s)
        evidence_s = max(MIN_EVIDENCE_S, SLOW_FACTOR * self._usual_interval_s)
        self._evidence_until_s = now + evidence_s

    def on_success(self, now: float) -> None:
        """Notes a request that ended well."""
        if self.warm_up_state(now) is not WarmUpState.WARMING:
            return
        self._successes += 1
        if self._successes >= SUCCESSES_PER_STEP:
            self._successes = 0
            self._limit += 1

    def on_cold_signal(self, now: float) -> None:
        """Notes a failure, or a report that the upstream is cold."""
        self._limit = min(self._cold_limit, self._full_limit)
        self._cold_since_s = now
        self._successes = 0
        self._evidence_until_s = 0.0

    def _on_slow_step(self, interval_s: float, now: float) -> None:
        self._evidence_until_s = 0.0
        self._slow_steps += 1
        if self._slow_steps >= SLOW_STEPS:
            self._slow_steps = 0
            self.on_cold_signal(now)
            self._learn(interval_s)  # or an upstream that stays slow is stuck

    def _learn(self, interval_s: float) -> None:
        difference_s = interval_s - self._usual_interval_s
        self._usual_interval_s += INTERVAL_WEIGHT * difference_s
