"""Slots of an upstream, and the requests that wait for one."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from enum import Enum
from typing import Callable

from expression import Error, Ok, Result

from wasabimux.errors import ErrorCode, Refusal


class SlotState(Enum):
    """State of a request at the slots."""

    WAITING = "waiting"
    HELD = "held"
    RELEASED = "released"


@dataclass(order=True, slots=True)
class SlotRequest:
    """A request that waits for a slot or holds one.

    Attributes:
        rank: Place in the queue; the lowest comes first.
        on_grant: Called when a waiting request gets its slot.
        on_next: Called once when the request becomes the first to wait.
        state: Where the request stands.
    """

    rank: tuple[float, ...]
    on_grant: Callable[[], None] = field(compare=False)
    on_next: Callable[[], None] | None = field(default=None, compare=False)
    state: SlotState = field(default=SlotState.WAITING, compare=False)


class SlotPool:
    """Grants slots up to a limit, in the order of rank.

    Args:
        limit: Slots that may be held.
        queue_limit: Requests that may wait.
    """

    def __init__(self, limit: int, queue_limit: int) -> None:
        self._limit = limit
        self._queue_limit = queue_limit
        self._queue: list[SlotRequest] = []
        self._waiting = 0
        self.held = 0

    @property
    def waiting(self) -> int:
        """Number of requests that wait."""
        return self._waiting

    @property
    def limit(self) -> int:
        """Slots that may be held now."""
        return self._limit

    def count_ahead(self, rank: tuple[float, ...]) -> int:
        """Returns the number of waiting requests with a lower rank."""
        return sum(
            1
            for request in self._queue
            if request.state is SlotState.WAITING and request.rank < rank
        )

    def set_limit(self, limit: int) -> None:
        """Changes the limit. Slots already held above it stay held."""
        self._limit = limit
        self._grant_waiting()

    def request(
        self,
        rank: tuple[float, ...],
        on_grant: Callable[[], None],
        on_next: Callable[[], None] | None = None,
    ) -> Result[SlotRequest, Refusal]:
        """Asks for a slot.

        Args:
            rank: Place in the queue; the lowest comes first.
            on_grant: Called as soon as the slot is granted, maybe at once.
            on_next: Called once when the request is the first of those that wait.

        Returns:
            The request, to be released later, or a refusal when the queue is full.
        """
        if self.held >= self._limit and self._waiting >= self._queue_limit:
            return Error(Refusal(ErrorCode.OVERLOADED, "the upstream's queue is full"))
        request = SlotRequest(rank, on_grant, on_next)
        heapq.heappush(self._queue, request)
        self._waiting += 1
        self._grant_waiting()
        return Ok(request)

    def release(self, request: SlotRequest) -> None:
        """Gives a slot back, or leaves the queue. Doing it twice is harmless."""
        if request.state is SlotState.WAITING:
            self._waiting -= 1
        elif request.state is SlotState.HELD:
            self.held -= 1
        request.state = SlotState.RELEASED
        self._grant_waiting()

    def _grant_waiting(self) -> None:
        while self._queue:
            first = self._queue[0]
            if first.state is SlotState.RELEASED:
                heapq.heappop(self._queue)
                continue
            if self.held >= self._limit:
                self._tell_next(first)
                return
            heapq.heappop(self._queue)
            self._waiting -= 1
            self.held += 1
            first.state = SlotState.HELD
            first.on_grant()

    def _tell_next(self, first: SlotRequest) -> None:
        if first.on_next is not None:
            on_next, first.on_next = first.on_next, None
            on_next()
