"""Order in which waiting streams get decode slots, and the engine of each slot.

Made for loads in which streams arrive faster than engine memory is freed. A slot goes
to the most urgent stream that can still meet its target latency, then to the others. A
stream that cannot get a slot before its client disconnects is refused on arrival.
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
    """A stream that waits for a decode slot.

    Attributes:
        number: Sequence number in order of arrival, unique in one queue.
        priority: Priority of its route and workspace, 0 first.
        beyond_share: True if its workspace has used up its share.
        is_client_retry: True if the client sent the request before and was refused;
            it will not send it again.
        memory: Memory that the stream is expected to use.
        latest_start_s: Latest time in s at which a slot still allows a response within
            the target latency.
    """

    number: int
    priority: int
    beyond_share: bool
    is_client_retry: bool
    memory: MemoryForecast
    latest_start_s: float


class EngineCapacity(NamedTuple):
    """Memory and slots of an engine, and their use as known to a relay.

    Attributes:
        upstream: Id of the engine.
        memory_tokens: Memory of the engine in tokens.
        used: Memory that the engine's streams are expected to use.
        free_slots: Slots that are free.
        is_local: True if the engine is in the relay's own failure domain.
    """

    upstream: UpstreamId
    memory_tokens: int
    used: MemoryForecast
    free_slots: int
    is_local: bool

    @property
    def free_tokens(self) -> float:
        """Free memory in tokens at the horizon with the highest use."""
        return free_memory(self.memory_tokens, self.used)


def order_waiting(waiting: Sequence[WaitingStream], now: float) -> list[WaitingStream]:
    """Returns the streams in the order in which they get slots.

    Streams that can still meet their target latency come first, then those whose
    workspaces are within their shares, then those of higher priority, then those whose
    clients will not retry.
    """
    return sorted(
        waiting,
        key=lambda stream: (
            stream.latest_start_s < now,
            stream.beyond_share,
            stream.priority,
            not stream.is_client_retry,
            stream.number,
        ),
    )


def choose_engine(
    engines: Sequence[EngineCapacity], memory: MemoryForecast, rng: random.Random
) -> EngineCapacity | None:
    """Returns an engine that has capacity for a stream, by power of two choices.

    Two of the engines with enough capacity are drawn at random, and the one with more
    free memory is returned. Relays learn of one another's streams with a delay; if all
    chose the engine with the most free memory, they would overload it together.

    Args:
        engines: Engines that may run the stream.
        memory: Memory that the stream is expected to use.
        rng: Draws the two engines.
    """
    fitting = [
        engine
        for engine in engines
        if engine.free_slots > 0
        and fits_in_memory(engine.memory_tokens, engine.used, memory)
    ]
    drawn = rng.sample(fitting, min(2, len(fitting)))
    return max(
        drawn, key=lambda engine: (engine.free_tokens, engine.is_local), default=None
    )


def expected_wait_s(
    ahead: int, running: int, mean_stream_s: float, free_slots: int
) -> float:
    """Returns the expected wait for a slot in s.

    Args:
        ahead: Streams ahead in the queue.
        running: Running streams, each of which will free its slot.
        mean_stream_s: Mean time in s for which a stream holds its slot.
        free_slots: Slots that are free now.
    """
    if ahead < free_slots:
        return 0.0
    if running <= 0:
        return mean_stream_s
    return (ahead - free_slots + 1) * mean_stream_s / running
