"""Retry budget and exponential backoff of requests."""

from __future__ import annotations

import random

MAX_ATTEMPTS = 4
INITIAL_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0


class RetryBudget:
    """Limits retries to a fraction of the first attempts.

    Each first attempt adds `ratio` retries to the balance, up to `max_balance`, so that
    retries do not amplify an overload.

    Args:
        ratio: Retries that each first attempt adds.
        max_balance: Maximum number of available retries, and the initial number.
    """

    def __init__(self, ratio: float = 0.2, max_balance: float = 20.0) -> None:
        self._ratio = ratio
        self._max_balance = max_balance
        self._balance = max_balance

    def on_first_attempt(self) -> None:
        """Adds `ratio` retries to the balance."""
        self._balance = min(self._max_balance, self._balance + self._ratio)

    def try_spend(self) -> bool:
        """Takes one retry from the budget; returns False if none is available."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Returns the exponential backoff before an attempt in s, with full jitter.

    Args:
        attempt: Number of the attempt, 1 for the first retry.
        rng: Random source of the jitter.
    """
    max_wait_s = min(MAX_BACKOFF_S, INITIAL_BACKOFF_S * 2 ** (attempt - 1))
    return rng.uniform(0, max_wait_s)
