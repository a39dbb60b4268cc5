"""A duty that one relay has at a time."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from typing import NamedTuple

import pytest_asyncio

from wasabimux.platform.standins.store import StandInStore
from wasabimux.platform.store import PlatformStore
from wasabimux.relay.leader_lease import (
    ACTIVE_LEASE_FRACTION,
    STORE_FAILURE_WINDOW_S,
    TAKEOVER_WAIT_LEASES,
    LeaderLease,
    boot_time_s,
)
from wasabimux.settings.address import parse_address
from wasabimux.timeline import Timeline

LEASE_S = 1.0


class Holders(NamedTuple):
    """A store and two relays that want one duty."""

    store: StandInStore
    first: LeaderLease
    second: LeaderLease


@pytest_asyncio.fixture
async def holders() -> AsyncGenerator[Holders, None]:
    """Two relays before one store."""
    async with StandInStore() as stand_in:
        address = parse_address(await stand_in.listen())
        async with PlatformStore(*address) as store:
            duties = [
                LeaderLease("leases", "phases", name, LEASE_S, store, Timeline(name))
                for name in ("first", "second")
            ]
            yield Holders(stand_in, *duties)


def test_a_taker_waits_longer_than_a_holder_acts() -> None:
    """Between the last act of one and the first of the next lies a whole lease."""
    assert TAKEOVER_WAIT_LEASES - ACTIVE_LEASE_FRACTION > 1.0


async def test_one_of_two_that_start_together_holds(holders: Holders) -> None:
    await asyncio.gather(
        holders.first.acquire_or_renew(), holders.second.acquire_or_renew()
    )
    now = boot_time_s()
    assert not (holders.first.may_act(now) and holders.second.may_act(now))
    assert max(holders.first.fencing_token, holders.second.fencing_token) > 0


async def test_nobody_takes_from_a_holder_that_renews(holders: Holders) -> None:
    assert await holders.first.acquire_or_renew()
    taking = asyncio.ensure_future(holders.second.acquire_or_renew())
    while not taking.done():
        assert await holders.first.acquire_or_renew()
        await asyncio.sleep(LEASE_S / 4)
    assert not taking.result()


async def test_the_next_holder_has_a_higher_fencing_token(holders: Holders) -> None:
    assert await holders.first.acquire_or_renew()
    fence = holders.first.fencing_token
    assert await holders.second.acquire_or_renew()
    assert holders.second.fencing_token > fence
    assert not holders.first.may_act(boot_time_s())
    assert not await holders.first.acquire_or_renew()


async def test_a_holder_without_an_answer_is_unsure_for_a_while(
    holders: Holders,
) -> None:
    assert await holders.first.acquire_or_renew()
    assert not holders.first.store_failed_recently(boot_time_s())
    holders.store.available = False
    await asyncio.sleep(ACTIVE_LEASE_FRACTION * LEASE_S)
    assert not await holders.first.acquire_or_renew()
    now = boot_time_s()
    assert holders.first.store_failed_recently(now)
    assert not holders.first.store_failed_recently(now + STORE_FAILURE_WINDOW_S)


async def test_a_write_without_an_answer_gives_no_right_to_act(
    holders: Holders,
) -> None:
    assert await holders.first.acquire_or_renew()
    await asyncio.sleep(LEASE_S)
    holders.store.lose_writes = True
    assert not await holders.first.acquire_or_renew()
    assert not holders.first.may_act(boot_time_s())
    holders.store.lose_writes = False
    assert await holders.first.acquire_or_renew()  # after waiting as any taker does
