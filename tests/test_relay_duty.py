"""Leader leases: one relay performs a task at a time."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from typing import NamedTuple

import pytest_asyncio

from wasabimux._clock import boot_time_s
from wasabimux.platform.standins.store import StandInStore
from wasabimux.platform.store import PlatformStoreClient
from wasabimux.relay.leader_lease import (
    ACTIVE_LEASE_FRACTION,
    STORE_FAILURE_WINDOW_S,
    TAKEOVER_WAIT_LEASES,
    LeaderLease,
)
from wasabimux.settings.address import parse_address
from wasabimux.timeline import Timeline

LEASE_S = 1.0


class Candidates(NamedTuple):
    """A store and the leases of two relays that compete for one task."""

    store: StandInStore
    first: LeaderLease
    second: LeaderLease


@pytest_asyncio.fixture
async def candidates() -> AsyncGenerator[Candidates, None]:
    """Two relays that compete for one lease in one store."""
    async with StandInStore() as stand_in:
        address = parse_address(await stand_in.listen())
        async with PlatformStoreClient(*address) as store:
            leases = [
                LeaderLease("leases", "phases", name, LEASE_S, store, Timeline(name))
                for name in ("first", "second")
            ]
            yield Candidates(stand_in, *leases)


def test_a_taker_waits_longer_than_a_holder_acts() -> None:
    """The last action of a holder and the first of the next are a lease apart."""
    assert TAKEOVER_WAIT_LEASES - ACTIVE_LEASE_FRACTION > 1.0


async def test_one_of_two_that_start_together_holds(candidates: Candidates) -> None:
    await asyncio.gather(
        candidates.first.acquire_or_renew(), candidates.second.acquire_or_renew()
    )
    now = boot_time_s()
    assert not (candidates.first.may_act(now) and candidates.second.may_act(now))
    assert max(candidates.first.fencing_token, candidates.second.fencing_token) > 0


async def test_nobody_takes_from_a_holder_that_renews(candidates: Candidates) -> None:
    assert await candidates.first.acquire_or_renew()
    acquiring = asyncio.ensure_future(candidates.second.acquire_or_renew())
    while not acquiring.done():
        assert await candidates.first.acquire_or_renew()
        await asyncio.sleep(LEASE_S / 4)
    assert not acquiring.result()


async def test_the_next_holder_has_a_higher_fencing_token(
    candidates: Candidates,
) -> None:
    assert await candidates.first.acquire_or_renew()
    fence = candidates.first.fencing_token
    assert await candidates.second.acquire_or_renew()
    assert candidates.second.fencing_token > fence
    assert not candidates.first.may_act(boot_time_s())
    assert not await candidates.first.acquire_or_renew()


async def test_a_holder_without_an_answer_is_unsure_for_a_while(
    candidates: Candidates,
) -> None:
    assert await candidates.first.acquire_or_renew()
    assert not candidates.first.store_failed_recently(boot_time_s())
    candidates.store.available = False
    await asyncio.sleep(ACTIVE_LEASE_FRACTION * LEASE_S)
    assert not await candidates.first.acquire_or_renew()
    now = boot_time_s()
    assert candidates.first.store_failed_recently(now)
    assert not candidates.first.store_failed_recently(now + STORE_FAILURE_WINDOW_S)


async def test_a_write_without_an_answer_gives_no_right_to_act(
    candidates: Candidates,
) -> None:
    assert await candidates.first.acquire_or_renew()
    await asyncio.sleep(LEASE_S)
    candidates.store.drop_write_responses = True
    assert not await candidates.first.acquire_or_renew()
    assert not candidates.first.may_act(boot_time_s())
    candidates.store.drop_write_responses = False
    assert (
        await candidates.first.acquire_or_renew()
    )  # after the wait that every candidate has
