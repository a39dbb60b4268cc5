"""Who gets the next decode slot, and on which engine.

Answers the load in which streams arrive faster than the engines' memory frees: the
slot goes to the most urgent stream that can still be on time, then to the others, and
a stream that cannot get a slot before its caller leaves is refused when it arrives.
"""

from __future__ import annotations

import random
from collections.abc import Sequence
from typing import NamedTuple

from wasabimux.decisions.memory_forecast import (
    MemoryForecast,
    fits_in_memory,
    free_memory,
)
from wasabimux.ids import UpstreamId


class WaitingStream(NamedTuple):
    """A stream that waits for a slot.

    Attributes:
        number: Order of arrival, unique in one queue.
        priority: Rank of its route and workspace, 0 first.
        beyond_share: True if its workspace has used up its share.
        last_chance: True if its caller comes back from a refusal and will not again.
        memory: Memory that it is expected to take.
        on_time_until_s: Until when a slot still gives an answer on time.
    """

    number: int
    priority: int
    beyond_share: bool
    last_chance: bool
    memory: MemoryForecast
    on_time_until_s: float


class EngineCapacity(NamedTuple):
    """Room of an engine as far as is known.

    Attributes:
        upstream: Its identity.
        memory_tokens: Its memory.
        used: Memory that its streams are expected to take.
        free_slots: Slots that are free.
        near: True in the relay's own failure domain.
    """

    upstream: UpstreamId
    memory_tokens: int
    used: MemoryForecast
    free_slots: int
    near: bool

    @property
    def free_tokens(self) -> float:
        """Memory that is free when it is fullest."""
        return free_memory(self.memory_tokens, self.used)


def order_waiting(waiting: Sequence[WaitingStream], now: float) -> list[WaitingStream]:
    """Returns the streams in the order in which they get slots.

    Those that can be on time come first, then those whose workspaces are within their
    shares, by rank, and those whose callers will not come back.
    """
    return sorted(
        waiting,
        key=lambda item: (
            item.on_time_until_s < now,
            item.beyond_share,
            item.priority,
            not item.last_chance,
            item.number,
        ),
    )


def choose_engine(
    rooms: Sequence[EngineCapacity], memory: MemoryForecast, rng: random.Random
) -> EngineCapacity | None:
    """Returns the engine with more free memory of two drawn among those with room.

    Relays hear of one another's streams a little late; if all took the engine with
    the most room, they would fill it together.
    """
    fitting = [
        room
        for room in rooms
        if room.free_slots > 0 and fits_in_memory(room.memory_tokens, room.used, memory)
    ]
    drawn = rng.sample(fitting, min(2, len(fitting)))
    return max(drawn, key=lambda room: (room.free_tokens, room.near), default=None)


def expected_wait_s(
    ahead: int, running: int, mean_stream_s: float, free_slots: int
) -> float:
    """Returns the expected wait for a slot.

    Args:
        ahead: Streams that wait already.
        running: Streams that run and will free their slots.
        mean_stream_s: Usual length of a stream.
        free_slots: Slots that are free now.
    """
    if ahead < free_slots:
        return 0.0
    if running <= 0:
        return mean_stream_s
    return (ahead - free_slots + 1) * mean_stream_s / running
