"""Requests of many relays to an upstream that has just started and is slow."""

from __future__ import annotations

import asyncio

import pytest

from tests.selector_fixtures import relay_selector, upstream_record
from wasabimux._clock import loop_time
from wasabimux.ids import UpstreamId
from wasabimux.relay.model import ServiceProfile
from wasabimux.relay.placing import UpstreamSelector
from wasabimux.standins.virtual_fleet import run_in_virtual_time

COLD_PER_S = 5.2
COLD_S = 10.0

#: Requests in one second that a cold upstream bears, as the platform's rules state:
#: `coldPerS` x `coldOverage` + `coldSlack`.
MAX_IN_ONE_SECOND = COLD_PER_S * 1.5 + 5

SERVICE = ServiceProfile("desk", 100, COLD_S, COLD_PER_S, None)


def selector(relays: int, number: int, cold_s: float) -> UpstreamSelector:
    """Returns the selector of one relay, with a cold and a warm upstream."""
    records = [upstream_record("cold", cold_s), upstream_record("warm")]
    return relay_selector(relays, number, *records)


@pytest.mark.parametrize("relays", [1, 5, 27, 68, 150])
def test_a_cold_upstream_gets_no_more_than_it_bears(relays: int) -> None:
    """Regression: each relay sent one request a second, 68 of them 68."""
    sent_s: list[float] = []

    async def play() -> None:
        selectors = [selector(relays, number, COLD_S) for number in range(relays)]
        for _ in range(int(COLD_S / 0.05)):
            for item in selectors:
                chosen = item.choose_plain(SERVICE, loop_time(), [])
                assert chosen is not None
                item.on_send(chosen, SERVICE)
                if chosen.id == "cold":
                    sent_s.append(loop_time())
            await asyncio.sleep(0.05)

    run_in_virtual_time(play())
    windows = [sum(start <= at < start + 1.0 for at in sent_s) for start in sent_s]
    assert max(windows) <= MAX_IN_ONE_SECOND
    assert len(sent_s) >= 0.3 * COLD_PER_S * COLD_S


def test_requests_go_elsewhere_while_a_cold_upstream_may_get_none() -> None:
    """Regression: a request was refused when the cold upstream was drawn."""

    async def play() -> None:
        item = selector(68, 1, COLD_S)
        for _ in range(100):
            chosen = item.choose_plain(SERVICE, loop_time(), [])
            assert chosen is not None
            item.on_send(chosen, SERVICE)

    run_in_virtual_time(play())


def test_an_upstream_that_is_warm_again_is_not_limited() -> None:
    async def play() -> None:
        item = selector(68, 1, 0.1)
        await asyncio.sleep(0.2)
        cold = item.by_id(UpstreamId("cold"))
        assert cold is not None
        for _ in range(50):
            assert item.may_send(cold, SERVICE)
            item.on_send(cold, SERVICE)

    run_in_virtual_time(play())
