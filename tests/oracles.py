"""Oracles: what must hold, in a few lines each."""

from __future__ import annotations

from typing import NamedTuple


class Charge(NamedTuple):
    """Tokens of a workspace that an entry let through."""

    time_s: float
    tokens: float


def max_overrun(charges: list[Charge], rate: float, burst: float) -> float:
    """Returns by how much any window exceeds rate * length + burst, at most.

    A bucket that starts full and may go below zero tells this for all windows.
    """
    level, last_s, worst = burst, 0.0, 0.0
    for time_s, tokens in sorted(charges):
        level = min(burst, level + (time_s - last_s) * rate) - tokens
        last_s = time_s
        worst = max(worst, -level)
    return worst
