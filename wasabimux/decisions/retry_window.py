"""How many requests may be sent once more, over a sliding window."""

from __future__ import annotations

from collections import deque


class RetryWindow:
    """One relay's part of a budget that all relays share.

    In each window, retries are at most `ratio` of this relay's requests plus an
    equal part of what the budget gives beyond them.

    Args:
        ratio: Retries for each request.
        extra: Retries of all relays together beyond the ratio.
        window_s: Length of the window.
    """

    def __init__(self, ratio: float, extra: float, window_s: float) -> None:
        self._ratio = ratio
        self._extra = extra
        self._window_s = window_s
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._members = 1

    def set_members(self, members: int) -> None:
        """Sets the number of relays that share the budget."""
        self._members = max(1, members)

    def on_request(self, now: float) -> None:
        """Notes a request of a caller."""
        self._requests.append(now)
        self._forget(now)

    def try_spend(self, now: float) -> bool:
        """Takes a retry from the budget; returns False if there is none."""
        self._forget(now)
        allowed = self._ratio * len(self._requests) + self._extra / self._members
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now - self._window_s:
                times.popleft()
