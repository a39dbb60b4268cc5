"""Retry budgets of services over a sliding window, shared by all relays."""

from __future__ import annotations

from collections import deque
from typing import NamedTuple


class RetryLimits(NamedTuple):
    """Limits of the retries to a service.

    Attributes:
        ratio: Retries allowed per request.
        extra: Retries that all relays together may make in addition to the ratio.
        window_s: Length in s of the sliding window for requests and retries.
    """

    ratio: float
    extra: float
    window_s: float


class ServiceRetryBudgets:
    """Retry budgets of all services at one relay.

    Args:
        limits: Limits that apply to each service.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._relay_count = 0
        self._budget_by_service: dict[str, WindowedRetryBudget] = {}

    def set_relay_count(self, relay_count: int) -> None:
        """Sets the number of relays that share the budgets; 0 if unknown."""
        self._relay_count = relay_count
        for budget in self._budget_by_service.values():
            budget.set_relay_count(relay_count)

    def for_service(self, service: str) -> WindowedRetryBudget:
        """Returns the retry budget of a service."""
        budget = self._budget_by_service.get(service)
        if budget is None:
            budget = WindowedRetryBudget(self._limits)
            budget.set_relay_count(self._relay_count)
            self._budget_by_service[service] = budget
        return budget


class WindowedRetryBudget:
    """One relay's share of a retry budget that all relays share.

    In each window, this relay may make `ratio` retries per request plus an equal share
    of the `extra` retries.

    Args:
        limits: Limits of all relays together.
    """

    def __init__(self, limits: RetryLimits) -> None:
        self._limits = limits
        self._request_times_s: deque[float] = deque()
        self._retry_times_s: deque[float] = deque()
        self._relay_count = 0

    def set_relay_count(self, relay_count: int) -> None:
        """Sets the number of relays that share the budget; 0 if unknown."""
        self._relay_count = relay_count

    def on_request(self, now: float) -> None:
        """Counts a request of a client."""
        self._request_times_s.append(now)
        self._drop_expired(now)

    def try_spend(self, now: float) -> bool:
        """Takes one retry from the budget; returns False if none is available."""
        self._drop_expired(now)
        limits = self._limits
        allowed = limits.ratio * len(self._request_times_s)
        if self._relay_count:
            allowed += limits.extra / self._relay_count
        if len(self._retry_times_s) + 1 > allowed:
            return False
        self._retry_times_s.append(now)
        return True

    def record_retry(self, now: float) -> None:
        """Counts a retry without checking the budget."""
        self._retry_times_s.append(now)

    def _drop_expired(self, now: float) -> None:
        for times_s in (self._request_times_s, self._retry_times_s):
            while times_s and times_s[0] < now - self._limits.window_s:
                times_s.popleft()
