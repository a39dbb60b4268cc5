"""Bytes that a process holds for its clients, with one bound for all of them.

Made for clients that send much and stop short of its end, or ask for much and do not
read it. Connections are counted with all that they hold: heads, bodies that arrive,
requests sent ahead and answers until they are read. Over the bound, those who
hold most and wait for their client end first; small bodies have a reserve.
"""

from __future__ import annotations

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple
from weakref import WeakKeyDictionary

from wasabimux._clock import loop_time
from wasabimux.decisions.log_sampling import LogSampler

MEGABYTE = 1_000_000

#: Memory in MB of a process that holds nothing for clients and knows no objects of the
#: platform.
BASE_MEMORY_MB = 40.0

#: Bytes that are left for the platform's objects unless told otherwise.
DEFAULT_STATE_BYTES = 20 * MEGABYTE

#: Bytes of memory that a held byte costs at most: bodies are joined and sent on, and
#: the allocator keeps what was freed.
COST_OF_HELD_BYTE = 3.0

#: Memory in bytes of a connection without a request, and of a field of a parsed head.
CONNECTION_BYTES = 24_000
FIELD_BYTES = 180

#: The same, counted as held bytes.
HELD_BY_CONNECTION = int(CONNECTION_BYTES / COST_OF_HELD_BYTE)
HELD_BY_FIELD = int(FIELD_BYTES / COST_OF_HELD_BYTE)

#: Bound in bytes where the memory of the machine is not known.
DEFAULT_BOUND_BYTES = 40 * MEGABYTE

#: Least bound in bytes, whatever the machine: one body at the limit has to fit, twice.
MIN_BOUND_BYTES = 10 * MEGABYTE

#: Size in bytes up to which a body uses the reserve, and the fraction that this is.
SMALL_BYTES = 64 * 1024
RESERVE_FRACTION = 0.2

#: Most log lines a second on clients that were ended.
MAX_LOG_LINES_PER_S = 1.0

logger = logging.getLogger("wasabimux.http")


class LedgerLimits(NamedTuple):
    """Bounds on what clients make a process hold.

    Attributes:
        held_bytes: Bytes held for clients.
        connections: Connections of clients; None for no bound.
    """

    held_bytes: int = DEFAULT_BOUND_BYTES
    connections: int | None = None


def limits_of_machine(
    memory_mb: float | None,
    descriptors: int | None,
    state_bytes: int = DEFAULT_STATE_BYTES,
) -> LedgerLimits:
    """Returns the bounds that follow from a machine.

    Args:
        memory_mb: Memory of the machine in MB, None if unknown.
        descriptors: Descriptors that the process may open, None if unknown.
        state_bytes: Bytes that are left for what is known of the platform's objects.
    """
    held = DEFAULT_BOUND_BYTES
    if memory_mb is not None:
        free_bytes = (memory_mb - BASE_MEMORY_MB) * MEGABYTE - state_bytes
        held = max(MIN_BOUND_BYTES, int(free_bytes / COST_OF_HELD_BYTE))
    connections = None
    if descriptors is not None:
        connections = int(descriptors * CONNECTIONS_FRACTION)
    return LedgerLimits(held, connections)


#: Fraction of a process's descriptors that connections of clients may use; the others
#: are for upstreams, peers, the store, readiness and metrics.
CONNECTIONS_FRACTION = 0.6


class HeldBytes:
    """What one client makes the process hold; a context manager that frees it.

    Args:
        ledger: Ledger of the process.

    Attributes:
        size: Bytes held.
        end_wait: Ends the wait for the client, as others need the memory; None while
            the client is not waited for.
    """

    __slots__ = ("_ledger", "size", "end_wait")

    def __init__(self, ledger: MemoryLedger) -> None:
        self._ledger = ledger
        self.size = 0
        self.end_wait: Callable[[], None] | None = None

    def __enter__(self) -> HeldBytes:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.free()

    def add(self, size: int, must: bool = False) -> bool:
        """Holds more bytes.

        Args:
            size: Number of bytes.
            must: True if all clients that are waited for end before this one.

        Returns:
            False if there is no room; then nothing more is held.
        """
        return self._ledger.hold(self, size, must)

    def resize(self, size: int) -> bool:
        """Holds so many bytes in all from now on.

        Returns:
            False if there is no room for more; then it holds as much as before.
        """
        if size > self.size:
            return self.add(size - self.size)
        if size < self.size:
            self._ledger.shrink(self, size)
        return True

    def free(self) -> None:
        """Holds nothing any more."""
        self._ledger.release(self)


class MemoryLedger:
    """Counts the bytes held for all clients of a process.

    Args:
        limits: Bounds.

    Attributes:
        limits: Bounds, which may change.
        held: Bytes held now.
        ended: Clients that were ended, as others needed the memory.
        refused: Bodies for which there was no room.
    """

    def __init__(self, limits: LedgerLimits = LedgerLimits()) -> None:
        self.limits = limits
        self.held = 0
        self.ended = 0
        self.refused = 0
        self._holders: set[HeldBytes] = set()
        self._sampler = LogSampler(MAX_LOG_LINES_PER_S)

    def hold(self, holder: HeldBytes, size: int, must: bool) -> bool:
        """Holds bytes for a client; see HeldBytes.add.

        Others that hold more and wait for their client end first, if needed.
        """
        bound = self.limits.held_bytes
        if holder.size + size > SMALL_BYTES:
            bound -= int(RESERVE_FRACTION * bound)
        while self.held + size > bound:
            largest = self._largest_waiting(holder)
            if largest is None or not (must or largest.size > holder.size + size):
                self._on_refused(holder.size + size)
                return False
            self._on_ended(largest.size)
            self.release(largest)
            end_wait, largest.end_wait = largest.end_wait, None
            if end_wait is not None:
                end_wait()
        self._holders.add(holder)
        holder.size += size
        self.held += size
        return True

    def shrink(self, holder: HeldBytes, size: int) -> None:
        """Holds just so many bytes for a client, which held more."""
        self.held -= holder.size - size
        holder.size = size

    def release(self, holder: HeldBytes) -> None:
        """Holds nothing for a client any more."""
        self.shrink(holder, 0)
        self._holders.discard(holder)

    def _largest_waiting(self, other_than: HeldBytes) -> HeldBytes | None:
        waiting = [
            holder
            for holder in self._holders
            if holder.end_wait is not None and holder is not other_than
        ]
        return max(waiting, key=lambda holder: holder.size, default=None)

    def _on_refused(self, size: int) -> None:
        self.refused += 1
        left_out = self._sampler.admit(loop_time())
        if left_out is not None:
            logger.warning(
                "event=body_refused bytes=%d held=%d left_out=%d",
                size,
                self.held,
                left_out,
            )

    def _on_ended(self, size: int) -> None:
        self.ended += 1
        left_out = self._sampler.admit(loop_time())
        if left_out is not None:
            logger.warning(
                "event=client_ended bytes=%d held=%d left_out=%d",
                size,
                self.held,
                left_out,
            )


_ledger_by_loop: WeakKeyDictionary[asyncio.AbstractEventLoop, MemoryLedger] = (
    WeakKeyDictionary()
)


def process_ledger() -> MemoryLedger:
    """Returns the ledger that all connections of the running event loop share."""
    return _ledger_by_loop.setdefault(asyncio.get_running_loop(), MemoryLedger())
