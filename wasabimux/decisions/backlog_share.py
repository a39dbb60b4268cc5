"""How much of a process's time connections may take that send many small pieces.

Made for peers that send a body in pieces of a few bytes as fast as they can: reading
one costs many times what the same bytes cost in large pieces.
"""

from __future__ import annotations

#: Part of the process's time that all such connections may take together.
MAX_BACKLOG_SHARE = 0.4

#: Pieces a second of one connection that never have to wait. A stream has fewer.
FREE_PIECES_PER_S = 2000.0

#: Mean size in bytes from which pieces are not small.
SMALL_PIECE_BYTES = 512


def is_backlogged(pieces: int, size: int, span_s: float) -> bool:
    """Returns whether a connection has sent many small pieces in a short time.

    Args:
        pieces: Number of pieces.
        size: Their bytes.
        span_s: Time in s in which they were handled.
    """
    return size < pieces * SMALL_PIECE_BYTES and pieces > span_s * FREE_PIECES_PER_S


class BacklogShare:
    """Spreads the turns of connections that send many small pieces.

    Each of them waits for the turns of the others, whatever their number.
    """

    def __init__(self) -> None:
        self._free_at_s = 0.0

    def charge(self, used_s: float, now: float) -> float:
        """Charges the time that a turn took.

        Args:
            used_s: Time in s that the connection has just used.
            now: Current time in s.

        Returns:
            Time in s until the connection may go on.
        """
        began_s = max(self._free_at_s, now - used_s)
        self._free_at_s = began_s + used_s / MAX_BACKLOG_SHARE
        return self._free_at_s - now
