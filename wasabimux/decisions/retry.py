"""How often and how soon a request may be sent again."""

from __future__ import annotations

import random

MAX_ATTEMPTS = 4
FIRST_BACKOFF_S = 0.02
MAX_BACKOFF_S = 1.0


class RetryBudget:
    """Lets retries be a bounded share of first attempts.

    Each first attempt earns `share` of a retry, up to `reserve` in hand, so
    that retries never multiply an overload.

    Args:
        share: Retries earned by one first attempt.
        reserve: Most retries in hand; also what the budget starts with.
    """

    def __init__(self, share: float = 0.2, reserve: float = 20.0) -> None:
        self._share = share
        self._reserve = reserve
        self._in_hand = reserve

    def on_first_attempt(self) -> None:
        """Earns a share of a retry."""
        self._in_hand = min(self._reserve, self._in_hand + self._share)

    def try_spend(self) -> bool:
        """Takes a retry from the budget; returns False if there is none."""
        if self._in_hand < 1.0:
            return False
        self._in_hand -= 1.0
        return True


def backoff_s(attempt: int, rng: random.Random) -> float:
    """Returns the wait before an attempt, with full jitter.

    Args:
        attempt: Number of the attempt, 1 for the first retry.
        rng: Source of the jitter.
    """
    ceiling_s = min(MAX_BACKOFF_S, FIRST_BACKOFF_S * 2 ** (attempt - 1))
    return rng.uniform(0, ceiling_s)
