"""Migration of streams before an engine runs out of memory, and grants of slots."""

from __future__ import annotations

import random
from dataclasses import dataclass

import pytest

from wasabimux.decisions.decode_queue import EngineCapacity, choose_engine
from wasabimux.decisions.memory_forecast import (
    MemoryForecast,
    StreamState,
    age_forecast,
    forecast,
    sum_forecasts,
)
from wasabimux.decisions.slot_grants import MAX_GRANT_S, SlotGrants
from wasabimux.decisions.stream_migration import (
    MigratableStream,
    StreamMigration,
    is_nearly_full,
    next_migration,
)
from wasabimux.ids import PeerRequestId, UpstreamId

MEMORY_TOKENS = 87_238
SLOTS = 16
TOKENS_PER_S = 1_600.0
STEP_S = 0.05

#: Steps after which relays learn of one another's streams.
REPORT_DELAY_STEPS = 3


@dataclass(slots=True, eq=False)
class Stream:
    """A stream of the simulated load.

    Attributes:
        state: Its length so far and expected.
        length: Tokens after which it ends.
        relay: Index of the relay that admitted it.
        memory: Memory that the relay expects it to use.
    """

    state: StreamState
    length: float
    relay: int
    memory: MemoryForecast = ()

    def __post_init__(self) -> None:
        self.memory = forecast(self.state, TOKENS_PER_S)

    def grow(self) -> None:
        """Generates the tokens of one step."""
        generated = self.state.generated_tokens + int(TOKENS_PER_S * STEP_S)
        self.state = self.state._replace(generated_tokens=generated)
        self.memory = forecast(self.state, TOKENS_PER_S)


def capacity(name: str, used: MemoryForecast, running: int = 0) -> EngineCapacity:
    """Returns the capacity of an engine."""
    return EngineCapacity(UpstreamId(name), MEMORY_TOKENS, used, SLOTS - running, True)


def flat(tokens: float) -> MemoryForecast:
    """Returns a forecast that is the same at all horizons."""
    return (tokens,) * 7


def test_the_largest_stream_that_fits_migrates_to_the_freest_engine() -> None:
    streams = [
        MigratableStream(1, flat(6_000.0)),
        MigratableStream(2, flat(9_000.0)),
        MigratableStream(3, flat(30_000.0)),
    ]
    destinations = [
        capacity("fuller", flat(75_000.0)),
        capacity("freer", flat(60_000.0)),
    ]
    assert next_migration(streams, destinations) == StreamMigration(
        2, UpstreamId("freer")
    )


def try_grant(
    grants: SlotGrants,
    engine: EngineCapacity,
    number: int,
    memory: MemoryForecast,
    now: float = 0.0,
) -> bool:
    """Requests a slot for a relay from the owner of an engine."""
    return grants.try_grant(engine, SLOTS, PeerRequestId("relay", number), memory, now)


def test_an_owner_counts_grants_until_they_are_released() -> None:
    grants = SlotGrants()
    half = flat(0.4 * MEMORY_TOKENS)
    empty = capacity("engine", flat(0.0))
    assert try_grant(grants, empty, 1, half)
    assert not try_grant(grants, empty, 2, half, 0.9 * MAX_GRANT_S)
    assert try_grant(grants, capacity("other", flat(0.0)), 3, half)
    grants.release(PeerRequestId("relay", 1))
    assert try_grant(grants, empty, 4, half, 0.9 * MAX_GRANT_S)


def test_reported_use_of_a_granted_slot_counts_once() -> None:
    grants = SlotGrants()
    third = flat(0.25 * MEMORY_TOKENS)
    assert try_grant(grants, capacity("engine", flat(0.0)), 1, third)
    reported = capacity("engine", third, running=1)
    assert try_grant(grants, reported, 2, third)
    assert try_grant(grants, reported, 3, third)
    assert not try_grant(grants, reported, 4, third)


def test_grants_of_a_lost_relay_and_lost_releases_end() -> None:
    grants = SlotGrants()
    half = flat(0.4 * MEMORY_TOKENS)
    empty = capacity("engine", flat(0.0))
    assert try_grant(grants, empty, 1, half)
    grants.release_relay("relay")
    assert try_grant(grants, empty, 2, half)
    assert try_grant(grants, empty, 3, half, 1.1 * MAX_GRANT_S)


def test_a_forecast_ages_along_its_horizons() -> None:
    made = (0.0, 10.0, 20.0, 30.0, 40.0, 50.0, 60.0)
    assert age_forecast(made, 0.0) == made
    assert age_forecast(made, 0.25)[0] == 5.0
    assert age_forecast(made, 1.0) == (20.0, 30.0, 40.0, 45.0, 50.0, 60.0, 60.0)


def test_an_owner_grants_no_more_than_the_free_slots() -> None:
    grants = SlotGrants()
    last = capacity("engine", flat(0.0), SLOTS - 1)
    assert try_grant(grants, last, 1, flat(100.0))
    unreported = SlotGrants()
    for number in range(SLOTS):
        assert try_grant(unreported, capacity("engine", flat(0.0)), number, flat(100.0))
    assert not try_grant(unreported, capacity("engine", flat(0.0)), SLOTS, flat(100.0))
    full = capacity("engine", flat(0.0), SLOTS)
    assert not try_grant(SlotGrants(), full, 1, flat(100.0))


@pytest.mark.parametrize("seed", range(3))
def test_owners_keep_many_relays_from_filling_an_engine_together(seed: int) -> None:
    """Regression: 23 relays that all saw the same slot become free each took it."""
    without = overflows(seed, relays=23)
    owned = overflows(seed, relays=23, owned=True)
    assert without > 100
    assert owned < without / 10


def test_no_stream_migrates_without_free_capacity() -> None:
    streams = [MigratableStream(1, flat(6_000.0))]
    assert next_migration(streams, [capacity("full", flat(80_000.0))]) is None
    assert next_migration(streams, [capacity("slots", flat(0.0), SLOTS)]) is None
    assert next_migration(streams, []) is None


@pytest.mark.parametrize("seed", range(3))
def test_migrations_keep_engines_from_running_out_of_memory(seed: int) -> None:
    """Six relays fill six engines and learn of one another's streams 0.15 s late."""
    without = overflows(seed)
    with_migration = overflows(seed, migrate=True)
    assert without > 20
    assert with_migration < without / 5


def overflows(
    seed: int, relays: int = 6, migrate: bool = False, owned: bool = False
) -> int:
    """Simulates 60 s of a load that keeps all engines full.

    Streams arrive faster than they can be served, and their lengths are known only
    roughly, as from client estimates.

    Args:
        seed: Seed of the load.
        relays: Number of relays that admit streams.
        migrate: True if streams migrate off nearly full engines.
        owned: True if an engine's owner grants its slots.

    Returns:
        The number of times that an engine was out of memory in a step.
    """
    rng = random.Random(seed)
    by_engine: dict[str, list[Stream]] = {f"engine-{n}": [] for n in range(6)}
    history: list[dict[str, list[Stream]]] = []
    grants = SlotGrants() if owned else None
    count = 0
    for step in range(1_200):
        for streams in by_engine.values():
            for ended in grow(streams):
                if grants is not None:
                    grants.release(PeerRequestId(str(ended.relay), id(ended)))
        history.append({name: list(streams) for name, streams in by_engine.items()})
        reported = history[-min(len(history), REPORT_DELAY_STEPS)]
        for relay in range(relays):
            admit(by_engine, reported, relay, rng, grants, step * STEP_S)
        if migrate:
            migrate_streams(by_engine)
        count += sum(used(streams) > MEMORY_TOKENS for streams in by_engine.values())
    return count


def used(streams: list[Stream]) -> float:
    """Returns the memory in tokens that streams use now."""
    return sum(
        item.state.prompt_tokens + item.state.generated_tokens for item in streams
    )


def grow(streams: list[Stream]) -> list[Stream]:
    """Generates the tokens of one step; removes and returns the streams that end."""
    for stream in streams:
        stream.grow()
    ended = [item for item in streams if item.state.generated_tokens >= item.length]
    streams[:] = [item for item in streams if item not in ended]
    return ended


def admit(
    by_engine: dict[str, list[Stream]],
    reported: dict[str, list[Stream]],
    relay: int,
    rng: random.Random,
    grants: SlotGrants | None,
    now: float,
) -> None:
    """Has a relay admit a stream to an engine that it sees with free capacity.

    With grants, the engine's owner must grant the slot. The owner gets reports as late
    as other relays do, but grants one stream at a time and is told when one ends.
    """
    length = min(10_000.0, rng.lognormvariate(8.4, 0.5))
    hint = length * rng.lognormvariate(0.0, 0.36)
    state = StreamState(rng.randint(2_000, 9_000), 0, hint, 10_000)
    stream = Stream(state, length, relay)
    engines = []
    for name, streams in by_engine.items():
        known = [item for item in streams if item.relay == relay]
        known += [item for item in reported[name] if item.relay != relay]
        engines.append(
            capacity(name, sum_forecasts([s.memory for s in known]), len(known))
        )
    chosen = choose_engine(engines, stream.memory, rng)
    if chosen is None:
        return
    if grants is not None:
        there = reported[chosen.upstream]
        used_there = sum_forecasts([item.memory for item in there])
        owner_view = capacity(chosen.upstream, used_there, len(there))
        grant = PeerRequestId(str(relay), id(stream))
        if not grants.try_grant(owner_view, SLOTS, grant, stream.memory, now):
            return
    by_engine[chosen.upstream].append(stream)


def migrate_streams(by_engine: dict[str, list[Stream]]) -> None:
    """Migrates one stream off each nearly full engine."""
    for name, streams in by_engine.items():
        full = capacity(name, sum_forecasts([item.memory for item in streams]))
        if not is_nearly_full(full):
            continue
        migratable = [
            MigratableStream(number, item.memory) for number, item in enumerate(streams)
        ]
        destinations = [
            capacity(other, sum_forecasts([item.memory for item in there]), len(there))
            for other, there in by_engine.items()
            if other != name
        ]
        migration = next_migration(migratable, destinations)
        if migration is not None:
            by_engine[migration.destination].append(streams.pop(migration.number))
