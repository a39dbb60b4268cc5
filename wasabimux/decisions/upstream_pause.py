"""Times for which upstreams have asked a relay to send them nothing."""

from __future__ import annotations

#: Longest pause in s that an upstream is granted. One that needs longer leaves, and one
#: that names hours by mistake is asked again.
MAX_PAUSE_S = 300.0


class UpstreamPause:
    """The pause of one upstream.

    A backoff is this relay's own guess, and yields where no other upstream is left. A
    pause is the upstream's word and does not.

    Attributes:
        until_s: Time in s before which the upstream wants no requests.
    """

    __slots__ = ("until_s",)

    def __init__(self) -> None:
        self.until_s = 0.0

    def on_asked(self, wait_s: float, now: float) -> None:
        """Starts a pause; one that lasts longer already goes on.

        Args:
            wait_s: Time in s that the upstream has named, of any size.
            now: Current time in s.
        """
        self.until_s = max(self.until_s, now + min(wait_s, MAX_PAUSE_S))

    def is_active(self, now: float) -> bool:
        """Returns whether the upstream wants no requests now."""
        return now < self.until_s

    def left_s(self, now: float) -> float:
        """Returns the time in s until the end of the pause, 0 after it."""
        return max(0.0, self.until_s - now)


def soonest_end_s(pauses: list[UpstreamPause], now: float) -> float | None:
    """Returns the time in s until the first of all upstreams takes requests.

    Args:
        pauses: Pauses of all upstreams that could serve a request.
        now: Current time in s.

    Returns:
        The time; None if an upstream takes requests now, or there is none at all.
    """
    if not pauses or not all(pause.is_active(now) for pause in pauses):
        return None
    return min(pause.left_s(now) for pause in pauses)
