"""Shares the event loop among connections that have much to handle at once.

A peer decides into how many pieces it cuts what it sends. Each piece costs processor
time, whatever its size, so a connection hands over to others after some pieces. If it
sends many small ones, it also waits, so that all such connections together leave the
process time for the others.
"""

from __future__ import annotations

import asyncio
import logging
from weakref import WeakKeyDictionary

from wasabimux._clock import loop_time
from wasabimux.decisions.backlog_share import BacklogShare, is_backlogged
from wasabimux.decisions.log_sampling import LogSampler

#: Pieces of one connection that are handled before others get their turn.
MAX_PIECES_PER_TURN = 64

#: Most log lines a second on connections that had to wait.
MAX_LOG_LINES_PER_S = 1.0

logger = logging.getLogger("wasabimux.http")


class _LoopShare:
    """What the connections of one event loop share."""

    def __init__(self) -> None:
        self.backlog = BacklogShare()
        self.sampler = LogSampler(MAX_LOG_LINES_PER_S)


_share_by_loop: WeakKeyDictionary[asyncio.AbstractEventLoop, _LoopShare] = (
    WeakKeyDictionary()
)


def _peer_text(peer: object) -> str:
    """Returns the address of a peer as HOST:PORT, `unknown` without one."""
    return f"{peer[0]}:{peer[1]}" if isinstance(peer, tuple) else "unknown"


class Turn:
    """Pieces of one connection that are handled without handing over to others.

    Args:
        peer: Address of the peer for logs.
    """

    def __init__(self, peer: object) -> None:
        self._peer = _peer_text(peer)
        self._share = _share_by_loop.setdefault(
            asyncio.get_running_loop(), _LoopShare()
        )
        self._started_s = loop_time()
        self._pieces = 0
        self._size = 0
        self._used_s = 0.0

    @property
    def is_over(self) -> bool:
        """True once other connections are to get their turn."""
        return self._pieces >= MAX_PIECES_PER_TURN

    @property
    def pieces_left(self) -> int:
        """Number of pieces that may still be handled in this turn."""
        return MAX_PIECES_PER_TURN - self._pieces

    def add(self, pieces: int, size: int, used_s: float) -> None:
        """Counts what was handled.

        Args:
            pieces: Number of pieces.
            size: Their bytes.
            used_s: Time in s that they took.
        """
        self._pieces += pieces
        self._size += size
        self._used_s += used_s

    async def hand_over(self) -> None:
        """Lets other connections have their turn; their pieces then count anew."""
        now = loop_time()
        pause_s = 0.0
        if is_backlogged(self._pieces, self._size, now - self._started_s):
            pause_s = self._share.backlog.charge(self._used_s, now)
            self._log(pause_s, now)
        await asyncio.sleep(pause_s)
        self._started_s = loop_time()
        self._pieces = self._size = 0
        self._used_s = 0.0

    def _log(self, pause_s: float, now: float) -> None:
        left_out = self._share.sampler.admit(now)
        if left_out is not None:
            logger.warning(
                "event=connection_paced peer=%s pieces=%d bytes=%d pause_ms=%.1f"
                " left_out=%d",
                self._peer,
                self._pieces,
                self._size,
                pause_s * 1000,
                left_out,
            )
