"""What the answers of an upstream tell of its health."""

from __future__ import annotations

#: Weight of one answer in the moving averages.
ANSWER_WEIGHT = 0.15

#: Time after which a bad record counts half.
FORGIVE_S = 4.0

#: Failures in a row after which an upstream is left alone for a while.
FAILURES_BEFORE_BACKOFF = 3

#: Rest of an upstream that fails, before it is tried with one request.
FIRST_REST_S = 0.5
MAX_REST_S = 4.0


class UpstreamHealth:
    """Learns failures and times of one upstream from its answers."""

    __slots__ = (
        "_failure_share",
        "_updated_s",
        "_in_a_row",
        "_rest_until_s",
        "_rest_s",
        "latency_s",
    )

    def __init__(self) -> None:
        self._failure_share = 0.0
        self._updated_s = 0.0
        self._in_a_row = 0
        self._rest_until_s = 0.0
        self._rest_s = FIRST_REST_S
        self.latency_s = 0.0

    def on_success(self, latency_s: float, now: float) -> None:
        """Notes an answer that was whole and no failure."""
        self._learn(0.0, now)
        self._in_a_row = 0
        self._rest_s = FIRST_REST_S
        self._rest_until_s = 0.0
        if self.latency_s == 0.0:
            self.latency_s = latency_s
        self.latency_s += ANSWER_WEIGHT * (latency_s - self.latency_s)

    def on_failure(self, now: float) -> None:
        """Notes a failure, a refusal or silence."""
        self._learn(1.0, now)
        self._in_a_row += 1
        if self._in_a_row >= FAILURES_BEFORE_BACKOFF:
            self.back_off(now)

    def on_unreachable(self, now: float) -> None:
        """Notes that no connection could be made."""
        self._learn(1.0, now)
        self.back_off(now)

    def back_off(self, now: float) -> None:
        """Leaves the upstream alone, longer each time."""
        self._rest_until_s = now + self._rest_s
        self._rest_s = min(MAX_REST_S, self._rest_s * 2)

    def failure_rate(self, now: float) -> float:
        """Returns the part of recent requests that failed, 0 to 1."""
        age_s = max(0.0, now - self._updated_s)
        return self._failure_share * 0.5 ** (age_s / FORGIVE_S)

    def is_backing_off(self, now: float) -> bool:
        """Tells whether the upstream should get nothing now."""
        return now < self._rest_until_s

    def _learn(self, failed: float, now: float) -> None:
        share = self.failure_rate(now)
        self._failure_share = share + ANSWER_WEIGHT * (failed - share)
        self._updated_s = now
