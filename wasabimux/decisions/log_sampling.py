"""Which ordinary events are logged when there are many."""

from __future__ import annotations


class LogSampler:
    """Lets a bounded number of lines through and counts the others.

    Args:
        per_s: Lines in a second, on average and at once.
    """

    def __init__(self, per_s: float) -> None:
        self._per_s = per_s
        self._allowance = per_s
        self._filled_s = 0.0
        self._left_out = 0

    def admit(self, now: float) -> int | None:
        """Asks for a line.

        Returns:
            The number of lines left out since the last one, None to leave out this.
        """
        gained = max(0.0, now - self._filled_s) * self._per_s
        self._allowance = min(self._per_s, self._allowance + gained)
        self._filled_s = now
        if self._allowance < 1.0:
            self._left_out += 1
            return None
        self._allowance -= 1.0
        left_out, self._left_out = self._left_out, 0
        return left_out
