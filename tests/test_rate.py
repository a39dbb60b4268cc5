"""Rate limits over all entries, with injected faults, on a virtual clock."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, GreaterThan, LessThan

from tests.oracles import Charge, max_overrun
from wasabimux.decisions.rate import (
    GRANT_LIFETIME_S,
    GrantOutcome,
    RateLimit,
    Spent,
    TokenBucket,
)
from wasabimux.entry.rate_shards import shard_of
from wasabimux.errors import ErrorCode, RefusedError
from wasabimux.settings.fleet import FleetSettings
from wasabimux.standins.virtual_fleet import VirtualFleet, run_in_virtual_time

WORKSPACE = "grad-crew"
RATE, BURST = 2_000.0, 40_000.0
TOLERANCE_TOKENS = 1e-3

Fault = Callable[["WorkspaceLoad"], Awaitable[None]]


class WorkspaceLoad:
    """Charges of one workspace at random entries, and their outcomes."""

    def __init__(self, fleet: VirtualFleet, seed: int) -> None:
        self.fleet = fleet
        self.charges: list[Charge] = []
        self.refusals: dict[ErrorCode, int] = {}
        self.offered = 0.0
        self._rng = random.Random(seed)

    async def run(self, duration_s: float, factor: float) -> None:
        """Charges tokens at `factor` times the rate limit for `duration_s`."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + duration_s
        pending: set[asyncio.Task[None]] = set()
        while loop.time() < end_s:
            tokens = self._rng.choice([50, 200, 1_000, 4_000])
            mean_s = 1_312.5 / (RATE * factor)
            await asyncio.sleep(self._rng.expovariate(1 / mean_s))
            entry = self._rng.choice(sorted(self.fleet.entries_by_name))
            task = asyncio.ensure_future(self._charge(entry, tokens))
            pending.add(task)
            task.add_done_callback(pending.discard)
        await asyncio.gather(*pending)

    async def _charge(self, entry: str, tokens: float) -> None:
        rate_limiter = self.fleet.entries_by_name[entry].rate_limiter
        self.offered += tokens
        try:
            await rate_limiter.charge(WORKSPACE, tokens, 0.0)
        except RefusedError as error:
            code = error.refusal.code
            self.refusals[code] = self.refusals.get(code, 0) + 1
            return
        now = asyncio.get_running_loop().time()
        self.charges.append(Charge(now, tokens))

    def holder(self) -> str:
        """Returns the name of the entry that holds the workspace's shard."""
        for name, entry in self.fleet.entries_by_name.items():
            if shard_of(WORKSPACE) in entry.shard_manager.held_shards:
                return name
        raise AssertionError("no entry holds the shard")


async def no_fault(load: WorkspaceLoad) -> None:
    pass


async def holder_killed(load: WorkspaceLoad) -> None:
    load.fleet.kill_entry(load.holder())


async def holder_disconnected_from_store(load: WorkspaceLoad) -> None:
    load.fleet.stores_by_name[load.holder()].is_disconnected = True


async def holder_partitioned(load: WorkspaceLoad) -> None:
    holder = load.holder()
    load.fleet.stores_by_name[holder].is_disconnected = True
    for name in load.fleet.entries_by_name:
        if name != holder:
            load.fleet.network.cut(holder, name)


async def store_down(load: WorkspaceLoad) -> None:
    load.fleet.platform.set_down(True)


async def store_responses_lost(load: WorkspaceLoad) -> None:
    load.fleet.platform.faults.lose_answers = True
    await asyncio.sleep(10)
    load.fleet.platform.faults.lose_answers = False


async def holder_messages_delayed(load: WorkspaceLoad) -> None:
    load.fleet.network.delay_frames(load.holder(), 2.5)
    await asyncio.sleep(5)
    load.fleet.network.heal()


async def entries_added(load: WorkspaceLoad) -> None:
    for number in range(4, 9):
        load.fleet.start_entry(f"entry-{number}")
        await asyncio.sleep(1)


async def holder_killed_while_store_down(load: WorkspaceLoad) -> None:
    load.fleet.platform.set_down(True)
    await asyncio.sleep(7)
    load.fleet.kill_entry(load.holder())
    await asyncio.sleep(5)
    load.fleet.platform.set_down(False)


async def shards_released(load: WorkspaceLoad) -> None:
    holder = load.holder()
    await load.fleet.entries_by_name[holder].release_shards()


FAULTS = [
    no_fault,
    holder_killed,
    holder_disconnected_from_store,
    holder_partitioned,
    store_down,
    store_responses_lost,
    holder_messages_delayed,
    entries_added,
    holder_killed_while_store_down,
    shards_released,
]


async def _load_with_fault(
    settings: FleetSettings, fault: Fault, factor: float, seed: int
) -> WorkspaceLoad:
    async with VirtualFleet(settings, 3, seed=seed) as fleet:
        await fleet.wait_until_ready()
        await asyncio.sleep(8)
        load = WorkspaceLoad(fleet, seed)
        load_task = asyncio.ensure_future(load.run(60, factor))
        await asyncio.sleep(15)
        await fault(load)
        await load_task
        return load


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.__name__)
@pytest.mark.parametrize("seed", [1, 2])
def test_no_window_exceeds_rate_and_burst(
    brazos: FleetSettings, fault: Fault, seed: int
) -> None:
    load = run_in_virtual_time(_load_with_fault(brazos, fault, 4.0, seed))
    assert_that(len(load.charges), GreaterThan(50))
    excess = max_overrun(load.charges, RATE, BURST)
    assert_that(excess, LessThan(TOLERANCE_TOKENS))


@pytest.mark.parametrize("seed", [1, 2])
def test_idle_periods_accumulate_no_extra_tokens(
    brazos: FleetSettings, seed: int
) -> None:
    async def load_after_idle_periods() -> WorkspaceLoad:
        async with VirtualFleet(brazos, 3, seed=seed) as fleet:
            await fleet.wait_until_ready()
            load = WorkspaceLoad(fleet, seed)
            for _ in range(6):
                await load.run(6, 8.0)
                await asyncio.sleep(25)
            return load

    excess = max_overrun(
        run_in_virtual_time(load_after_idle_periods()).charges, RATE, BURST
    )
    assert_that(excess, LessThan(TOLERANCE_TOKENS))


@pytest.mark.parametrize("fault", [no_fault, entries_added, shards_released])
def test_load_below_the_rate_is_not_refused(
    brazos: FleetSettings, fault: Fault
) -> None:
    load = run_in_virtual_time(_load_with_fault(brazos, fault, 0.6, seed=3))
    assert_that(load.refusals, Equals({}))


def test_the_full_rate_can_be_used(brazos: FleetSettings) -> None:
    load = run_in_virtual_time(_load_with_fault(brazos, no_fault, 4.0, seed=4))
    used = sum(charge.tokens for charge in load.charges)
    assert_that(used / (BURST + RATE * 60), GreaterThan(0.95))


def test_holders_grant_the_reserved_share_while_the_store_is_down(
    brazos: FleetSettings,
) -> None:
    load = run_in_virtual_time(_load_with_fault(brazos, store_down, 0.6, seed=5))
    late = [charge for charge in load.charges if charge.time_s > 45]
    assert_that(len(late), GreaterThan(10))
    assert_that(load.refusals, Equals({}))


def test_a_new_holder_grants_the_full_rate_once_the_former_one_is_unlisted(
    brazos: FleetSettings,
) -> None:
    async def remove_holder() -> WorkspaceLoad:
        async with VirtualFleet(brazos, 3, seed=6) as fleet:
            await fleet.wait_until_ready()
            await asyncio.sleep(8)
            load = WorkspaceLoad(fleet, 6)
            removed = load.holder()
            fleet.stores_by_name[removed].is_disconnected = True
            for name in fleet.entries_by_name:
                if name != removed:
                    fleet.network.cut(removed, name)
            fleet.platform.remove_instance(removed)
            await asyncio.sleep(60)
            isolated_entry = fleet.entries_by_name.pop(removed)
            load.charges.clear()
            await load.run(60, 4.0)
            fleet.entries_by_name[removed] = isolated_entry
            return load

    load = run_in_virtual_time(remove_holder())
    used = sum(charge.tokens for charge in load.charges)
    assert_that(used / (RATE * 60), GreaterThan(0.95))


def test_reports_after_the_grant_lifetime_change_nothing() -> None:
    bucket = TokenBucket(RateLimit(100.0, 1_000.0), 1_000.0, 0.0)
    first = bucket.request_grant(1, 600, 600, 0.0)
    bucket.request_grant(2, 400, 400, 0.5)
    late = GRANT_LIFETIME_S + 0.1
    bucket.apply_report([Spent(first.grant, 600)], 0.0, late)
    # Grant 2 is outstanding until 1.5 s, so the level cannot exceed 600 tokens.
    assert_that(bucket.level(late), LessThan(600.1))


def test_a_request_above_the_burst_can_never_be_granted() -> None:
    bucket = TokenBucket(RateLimit(100.0, 1_000.0), 1_000.0, 0.0)
    decision = bucket.request_grant(1, 1_001, 1_001, 0.0)
    assert_that(decision.outcome, Equals(GrantOutcome.TOO_LARGE))


def test_a_lowered_limit_applies_at_once(brazos_document: dict[str, Any]) -> None:
    bucket = TokenBucket(RateLimit(100.0, 1_000.0), 0.0, 0.0)
    bucket.change_limit(RateLimit(10.0, 50.0), 5.0)
    assert_that(bucket.level(5.0), Equals(50.0))
    assert_that(bucket.level(6.0), Equals(50.0))
