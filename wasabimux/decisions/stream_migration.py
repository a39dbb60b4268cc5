"""Choice of the stream that migrates to another engine before memory runs out.

Made for loads in which streams turn out longer than expected, or relays fill an engine
at the same moment. An engine that runs out of memory preempts a stream and prefills its
whole prompt again, which costs far more than copying the stream's KV cache to an engine
with free memory.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from wasabimux.decisions.decode_queue import EngineCapacity
from wasabimux.decisions.memory_forecast import MemoryForecast
from wasabimux.ids import UpstreamId

#: Fraction of an engine's memory in use above which a stream migrates away.
MIGRATION_FILL_FRACTION = 0.93

#: Fraction of the destination's memory that may be in use after a migration, at every
#: horizon of the forecast.
DESTINATION_FILL_FRACTION = 0.88

#: Number of the first horizons that decide whether an engine is nearly full: the
#: current use and the nearest forecast.
NEAR_HORIZONS = 2


class MigratableStream(NamedTuple):
    """A running stream that may migrate.

    Attributes:
        number: Identifies the stream among the others.
        memory: Memory that the stream uses now and at later horizons.
    """

    number: int
    memory: MemoryForecast


class StreamMigration(NamedTuple):
    """A stream and the engine that it migrates to."""

    number: int
    destination: UpstreamId


def is_nearly_full(engine: EngineCapacity) -> bool:
    """Returns whether an engine is about to run out of memory."""
    return (
        max(engine.used[:NEAR_HORIZONS])
        > MIGRATION_FILL_FRACTION * engine.memory_tokens
    )


def next_migration(
    streams: Sequence[MigratableStream], destinations: Sequence[EngineCapacity]
) -> StreamMigration | None:
    """Returns the stream that should leave a nearly full engine, and its destination.

    The destination is the engine with the most free memory. The largest stream that
    fits there is chosen, as it frees the most memory at once.

    Args:
        streams: Streams of the nearly full engine that this relay may migrate.
        destinations: Engines that may take a stream.
    """
    destination = max(destinations, key=_free_tokens, default=None)
    if destination is None or destination.free_slots <= 0:
        return None
    fitting = [
        stream for stream in streams if max(stream.memory) <= _free_tokens(destination)
    ]
    if not fitting:
        return None
    largest = max(fitting, key=lambda stream: stream.memory[0])
    return StreamMigration(largest.number, destination.upstream)


def _free_tokens(engine: EngineCapacity) -> float:
    """Returns the memory in tokens that a migrated stream may use at an engine."""
    return DESTINATION_FILL_FRACTION * engine.memory_tokens - max(engine.used)
