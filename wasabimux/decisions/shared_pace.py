"""Turns of one relay at a rate that all relays share.

Made for upstreams that bear few requests a second from all relays together: those that
are cold, and those that name a limit. Each relay has an equal part of the rate and
takes it in turns, which start at a random time, so that relays need not know what the
others send, only how many they are.
"""

from __future__ import annotations


class SharedPace:
    """Turns of one relay at one upstream.

    Args:
        first_turn_s: Time in s of the first turn.

    Attributes:
        next_turn_s: Time in s of the next turn.
    """

    __slots__ = ("next_turn_s",)

    def __init__(self, first_turn_s: float) -> None:
        self.next_turn_s = first_turn_s

    def skip_missed(self, now: float, interval_s: float, kept_s: float) -> None:
        """Skips turns that were not taken in time.

        Relays that were idle would otherwise all take one at the same moment.

        Args:
            now: Current time in s.
            interval_s: Time in s between turns.
            kept_s: Time in s for which a turn may be taken.
        """
        missed_s = now - self.next_turn_s - kept_s
        if missed_s > 0:
            self.next_turn_s += (missed_s // interval_s + 1) * interval_s

    def take(self, now: float, interval_s: float) -> float:
        """Takes the next turn and returns its time in s, which may lie ahead.

        Args:
            now: Current time in s.
            interval_s: Time in s until the turn after it.
        """
        turn_s = max(now, self.next_turn_s)
        self.next_turn_s = turn_s + interval_s
        return turn_s
