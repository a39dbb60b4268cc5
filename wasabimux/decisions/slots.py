"""Slots of an upstream and the priority queue of requests that wait for one."""

from __future__ import annotations

import heapq
from dataclasses import dataclass, field
from enum import Enum
from typing import Callable

from expression import Error, Ok, Result

from wasabimux.errors import ErrorCode, Refusal


class SlotState(Enum):
    """State of a request for a slot."""

    WAITING = "waiting"
    HELD = "held"
    RELEASED = "released"


@dataclass(order=True, slots=True)
class SlotRequest:
    """A request that waits for a slot or holds one.

    Attributes:
        rank: Sort key in the queue; the lowest is served first.
        on_grant: Called when the request gets its slot.
        on_next: Called once when the request reaches the head of the queue.
        state: State of the request.
    """

    rank: tuple[float, ...]
    on_grant: Callable[[], None] = field(compare=False)
    on_next: Callable[[], None] | None = field(default=None, compare=False)
    state: SlotState = field(default=SlotState.WAITING, compare=False)


class SlotPool:
    """Grants slots up to a limit, in order of rank.

    Args:
        limit: Maximum number of slots in use.
        queue_limit: Maximum number of waiting requests.

    Attributes:
        held: Number of slots in use.
    """

    def __init__(self, limit: int, queue_limit: int) -> None:
        self._limit = limit
        self._queue_limit = queue_limit
        self._queue: list[SlotRequest] = []
        self._waiting = 0
        self.held = 0

    @property
    def waiting(self) -> int:
        """Number of waiting requests."""
        return self._waiting

    @property
    def limit(self) -> int:
        """Maximum number of slots in use."""
        return self._limit

    def count_ahead(self, rank: tuple[float, ...]) -> int:
        """Returns the number of waiting requests with a lower rank."""
        return sum(
            1
            for request in self._queue
            if request.state is SlotState.WAITING and request.rank < rank
        )

    def set_limit(self, limit: int) -> None:
        """Changes the limit. Slots already in use above it are not revoked."""
        self._limit = limit
        self._grant_waiting()

    def request(
        self,
        rank: tuple[float, ...],
        on_grant: Callable[[], None],
        on_next: Callable[[], None] | None = None,
    ) -> Result[SlotRequest, Refusal]:
        """Requests a slot.

        Args:
            rank: Sort key in the queue; the lowest is served first.
            on_grant: Called when the slot is granted, possibly before this returns.
            on_next: Called once when the request reaches the head of the queue.

        Returns:
            The request, to be released later, or a refusal if the queue is full.
        """
        if self.held >= self._limit and self._waiting >= self._queue_limit:
            return Error(Refusal(ErrorCode.OVERLOADED, "the upstream's queue is full"))
        request = SlotRequest(rank, on_grant, on_next)
        heapq.heappush(self._queue, request)
        self._waiting += 1
        self._grant_waiting()
        return Ok(request)

    def release(self, request: SlotRequest) -> None:
        """Releases the slot, or removes the request from the queue. Idempotent."""
        if request.state is SlotState.WAITING:
            self._waiting -= 1
        elif request.state is SlotState.HELD:
            self.held -= 1
        request.state = SlotState.RELEASED
        self._grant_waiting()

    def _grant_waiting(self) -> None:
        while self._queue:
            head = self._queue[0]
            if head.state is SlotState.RELEASED:
                heapq.heappop(self._queue)
                continue
            if self.held >= self._limit:
                self._notify_head(head)
                return
            heapq.heappop(self._queue)
            self._waiting -= 1
            self.held += 1
            head.state = SlotState.HELD
            head.on_grant()

    def _notify_head(self, head: SlotRequest) -> None:
        if head.on_next is not None:
            on_next, head.on_next = head.on_next, None
            on_next()
