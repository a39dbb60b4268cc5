"""How many requests may be sent once more, over a sliding window."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class RetryLimits(NamedTuple):
    """How many requests to a service may be sent once more.

    Attributes:
        ratio: Retries for each request.
        extra: Retries of all relays together beyond the ratio.
        window_s: Length of the window in which both are counted.
    """

    ratio: float
    extra: float
    window_s: float


class ServiceRetryBudgets:
    """The budgets of all services at one relay.

    Args:
        budget: What each service may get.
    """

    def __init__(self, budget: RetryLimits) -> None:
        self._budget = budget
        self._members = 0
        self._window_by_service: dict[str, WindowedRetryBudget] = {}

    def set_relay_count(self, members: int) -> None:
        """Sets the number of relays that share the budgets; 0 while unknown."""
        self._members = members
        for window in self._window_by_service.values():
            window.set_relay_count(members)

    def for_service(self, service: str) -> WindowedRetryBudget:
        """Returns the window of a service."""
        window = self._window_by_service.get(service)
        if window is None:
            window = WindowedRetryBudget(self._budget)
            window.set_relay_count(self._members)
            self._window_by_service[service] = window
        return window


class WindowedRetryBudget:
    """One relay's part of a budget that all relays share.

    In each window, retries are at most `ratio` of this relay's requests plus an
    equal part of what the budget gives beyond them.

    Args:
        budget: What all relays together may send once more.
    """

    def __init__(self, budget: RetryLimits) -> None:
        self._budget = budget
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()
        self._members = 0

    def set_relay_count(self, members: int) -> None:
        """Sets the number of relays that share the budget; 0 while unknown."""
        self._members = members

    def on_request(self, now: float) -> None:
        """Notes a request of a caller."""
        self._requests.append(now)
        self._forget(now)

    def try_spend(self, now: float) -> bool:
        """Takes a retry from the budget; returns False if there is none."""
        self._forget(now)
        budget = self._budget
        allowed = budget.ratio * len(self._requests)
        if self._members:
            allowed += budget.extra / self._members
        if len(self._retries) + 1 > allowed:
            return False
        self._retries.append(now)
        return True

    def record_retry(self, now: float) -> None:
        """Counts a send that turned out to be one more than the first."""
        self._retries.append(now)

    def _forget(self, now: float) -> None:
        for times in (self._requests, self._retries):
            while times and times[0] < now - self._budget.window_s:
                times.popleft()
