"""Sliding-window sums of charged tokens.

Made for relays that come and go while a workspace uses all of its rate limit. A relay
knows what the others have charged only as one sum. When one of them ends, its part is
missing from the sum at once, although it counts until it has left the window; without
that distinction, as many new charges of the others would go unseen.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

#: Width in s of the bins that a window's sum is kept in.
BIN_WIDTH_S = 0.2

#: Time in s by which charges may leave the sum of the other relays before they leave
#: this relay's window, as they were reported late or by a relay that reports seldom.
EARLY_EXPIRY_S = 1.0

#: Difference in tokens between sums that is due to rounding.
ROUNDING_TOKENS = 1e-6


class ChargeWindow:
    """Sum of the tokens that were charged within the last seconds."""

    __slots__ = ("_bins", "_sum")

    def __init__(self) -> None:
        self._bins: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def add(self, tokens: float, now: float) -> None:
        """Adds tokens that are charged now."""
        if self._bins and now - self._bins[-1][0] < BIN_WIDTH_S:
            start_s, bin_tokens = self._bins.pop()
            self._bins.append((start_s, bin_tokens + tokens))
        else:
            self._bins.append((now, tokens))
        self._sum += tokens

    def sum(self, window_s: float, now: float) -> float:
        """Returns the tokens charged within the last `window_s`."""
        while self._bins and self._bins[0][0] <= now - window_s - BIN_WIDTH_S:
            self._sum -= self._bins.popleft()[1]
        if not self._bins:
            self._sum = 0.0  # without what rounding has left
        return self._sum


@dataclass(slots=True)
class _Bin:
    """Charges that became known at about the same time.

    Attributes:
        start_s: Time in s of the first of them.
        reported: Tokens that are part of the last reported sum.
        ended: Tokens of relays that no longer report.
    """

    start_s: float
    reported: float = 0.0
    ended: float = 0.0


class ReportedCharges:
    """Charges of all other relays, learned from the sums that they report."""

    __slots__ = ("_bins",)

    def __init__(self) -> None:
        self._bins: deque[_Bin] = deque()

    def sum(self, window_s: float, now: float) -> float:
        """Returns the tokens within the last `window_s`, of relays that ended too."""
        self._drop_expired(window_s, now)
        return sum(item.reported + item.ended for item in self._bins)

    def take_missing(self, reported: float, window_s: float, now: float) -> float:
        """Keeps charges that a sum lacks although no relay can have dropped them yet.

        They belong to relays that have ended. Which charges these were is unknown, so
        each bin gives up the same fraction of its tokens.

        Args:
            reported: New sum of the other relays' charges.
            window_s: Length of the window in s.
            now: Current time in s.

        Returns:
            The tokens that are missing, 0 if none are.
        """
        self._drop_expired(window_s, now)
        first_s = now - window_s + EARLY_EXPIRY_S
        expected = sum(item.reported for item in self._bins if item.start_s > first_s)
        missing = expected - reported
        if missing <= ROUNDING_TOKENS:
            return 0.0
        for item in self._bins:
            ended = item.reported * missing / expected
            item.reported -= ended
            item.ended += ended
        return missing

    def add_reported(self, reported: float, window_s: float, now: float) -> float:
        """Adds what a sum has beyond the charges that are known.

        Args:
            reported: New sum of the other relays' charges.
            window_s: Length of the window in s.
            now: Current time in s.

        Returns:
            The tokens that are new.
        """
        self._drop_expired(window_s, now)
        known = sum(item.reported for item in self._bins)
        charged = max(0.0, reported - known)
        if charged:
            self._bin(now).reported += charged
        return charged

    def add_ended(self, tokens: float, now: float) -> None:
        """Adds tokens that a relay which ended may have charged without a report."""
        if tokens:
            self._bin(now).ended += tokens

    def bins(self) -> list[tuple[float, float]]:
        """Returns the start in s and the tokens of each bin, the oldest first."""
        return [(item.start_s, item.reported + item.ended) for item in self._bins]

    def _bin(self, now: float) -> _Bin:
        if not self._bins or now - self._bins[-1].start_s >= BIN_WIDTH_S:
            self._bins.append(_Bin(now))
        return self._bins[-1]

    def _drop_expired(self, window_s: float, now: float) -> None:
        while self._bins and self._bins[0].start_s <= now - window_s - BIN_WIDTH_S:
            self._bins.popleft()
