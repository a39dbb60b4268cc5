"""Which running stream moves to another engine before memory runs out.

Answers the load in which streams turn out longer than expected, or relays fill an
engine at the same moment. An engine whose memory runs out stops a stream and reads its
whole prompt again, which costs far more than copying the memory to where there is room.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from wasabimux.decisions.decode_queue import EngineCapacity
from wasabimux.decisions.memory_forecast import MemoryForecast
from wasabimux.ids import UpstreamId

#: Part of an engine's memory above which a stream moves away.
MIGRATION_FILL_FRACTION = 0.93

#: Part of an engine's memory that a moved stream may fill it to, now and later.
TAKING_PART = 0.88

#: Horizons of a forecast that count for an engine that runs full: now and next.
NEXT_HORIZONS = 2


class MigratableStream(NamedTuple):
    """A running stream that may move.

    Attributes:
        number: Tells it from the others.
        memory: Memory that it takes now and later.
    """

    number: int
    memory: MemoryForecast


class StreamMigration(NamedTuple):
    """A stream and the engine that it moves to."""

    number: int
    destination: UpstreamId


def is_nearly_full(room: EngineCapacity) -> bool:
    """Tells whether an engine's memory is about to run out."""
    return max(room.used[:NEXT_HORIZONS]) > MIGRATION_FILL_FRACTION * room.memory_tokens


def next_migration(
    streams: Sequence[MigratableStream], others: Sequence[EngineCapacity]
) -> StreamMigration | None:
    """Returns the stream that should leave a full engine, and where to.

    The largest stream that fits elsewhere frees the most at once.

    Args:
        streams: Streams of the full engine that this relay may move.
        others: Engines that may take one.
    """
    room = max(others, key=_free, default=None)
    if room is None or room.free_slots <= 0:
        return None
    fitting = [stream for stream in streams if max(stream.memory) <= _free(room)]
    if not fitting:
        return None
    largest = max(fitting, key=lambda stream: stream.memory[0])
    return StreamMigration(largest.number, room.upstream)


def _free(room: EngineCapacity) -> float:
    """Returns the memory that a moved stream may take at an engine."""
    return TAKING_PART * room.memory_tokens - max(room.used)
