"""Rate limit of log lines for frequent events."""

from __future__ import annotations


class LogSampler:
    """Admits log lines by a token bucket and counts the suppressed ones.

    Args:
        per_s: Lines per second on average; also the largest burst of lines.
    """

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._tokens = per_s
        self._refilled_s = 0.0
        self._suppressed = 0

    def admit(self, now: float) -> int | None:
        """Decides whether to log a line.

        Args:
            now: Current time in s.

        Returns:
            The number of lines suppressed since the last admitted one, None if this
            line is suppressed.
        """
        gained = max(0.0, now - self._refilled_s) * self._per_s
        self._tokens = min(self._per_s, self._tokens + gained)
        self._refilled_s = now
        if self._tokens < 1.0:
            self._suppressed += 1
            return None
        self._tokens -= 1.0
        suppressed, self._suppressed = self._suppressed, 0
        return suppressed
