"""Test oracles: short reference implementations of properties that must hold."""

from __future__ import annotations

from typing import NamedTuple


class Charge(NamedTuple):
    """Tokens of a workspace that an entry charged for a request."""

    time_s: float
    tokens: float


def max_overrun(charges: list[Charge], rate: float, burst: float) -> float:
    """Returns the maximum excess over rate * length + burst in any time window.

    A token bucket that starts full and may go below zero covers all windows: its
    lowest level below zero is this maximum.
    """
    level, last_s, max_excess = burst, 0.0, 0.0
    for time_s, tokens in sorted(charges):
        level = min(burst, level + (time_s - last_s) * rate) - tokens
        last_s = time_s
        max_excess = max(max_excess, -level)
    return max_excess
