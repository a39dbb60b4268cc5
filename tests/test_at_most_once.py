"""Calls that must not run twice, and refusals that must be true."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable
from typing import Any

import pytest
from testtools.assertions import assert_that
from testtools.matchers import Equals, HasLength, LessThan

from tests.client import authorization
from wasabimux.decisions.replies import ReplyLimits, ReplyTable, Verdict
from wasabimux.entry.claims import CLAIM_WINDOW_S
from wasabimux.errors import ErrorCode, Ran
from wasabimux.ids import RequestId
from wasabimux.settings.fleet import FleetSettings
from wasabimux.standins.virtual_fleet import (
    VirtualAnswer,
    VirtualFleet,
    run_virtual,
)

Scenario = Callable[[VirtualFleet], Awaitable[Any]]


def run_in_fleet(settings: FleetSettings, scenario: Scenario) -> Any:
    """Runs a scenario in a fleet of three entries whose services take 1 s."""

    async def run() -> Any:
        async with VirtualFleet(settings, 3) as fleet:
            await fleet.until_ready()
            for service in fleet.services_by_id.values():
                service.faults.delay_s = 1.0
            return await scenario(fleet)

    return run_virtual(run())


async def post(
    fleet: VirtualFleet, entry: str, key: str | None = None, body: bytes = b"{}"
) -> VirtualAnswer | None:
    """Posts an order."""
    headers = authorization("order-desk")
    if key is not None:
        headers.append((b"idempotency-key", key.encode()))
    return await fleet.request(entry, "POST", "/orders/retwist", headers, body)


def runs(fleet: VirtualFleet) -> list[int]:
    """Returns how often each request ran, over all upstreams."""
    counts: dict[str, int] = {}
    for service in fleet.services_by_id.values():
        for request_id, count in service.runs_by_request.items():
            counts[request_id] = counts.get(request_id, 0) + count
    return list(counts.values())


def ran_of(answer: VirtualAnswer | None) -> bytes:
    """Returns what a refusal says on whether the request ran."""
    assert answer is not None
    return answer.body.partition(b'"ran": "')[2].partition(b'"')[0]


def test_lost_links_are_joined_not_run_again(brazos: FleetSettings) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        posting = asyncio.ensure_future(post(fleet, "entry-1"))
        for _ in range(3):
            await asyncio.sleep(0.2)
            fleet.network.reset("entry-1")
        answer = await posting
        assert answer is not None
        assert_that(answer.status, Equals(200))
        assert_that(runs(fleet), Equals([1]))

    run_in_fleet(brazos, scenario)


def test_replaced_agent_makes_it_unknown(brazos: FleetSettings) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        posting = asyncio.ensure_future(post(fleet, "entry-1"))
        await asyncio.sleep(0.5)
        for upstream_id in fleet.services_by_id:
            fleet.kill_agent(upstream_id)
            await fleet.start_agent(upstream_id)
        answer = await posting
        assert_that(ran_of(answer), Equals(b"unknown"))
        assert_that(runs(fleet), Equals([1]))

    run_in_fleet(brazos, scenario)


@pytest.mark.parametrize("delay_s", [0.0, 0.002, 0.5, 2.0])
def test_keyed_retry_after_the_first_entry_died(
    brazos: FleetSettings, delay_s: float
) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        first = asyncio.ensure_future(post(fleet, "entry-1", key="a"))
        await asyncio.sleep(delay_s)
        fleet.kill_entry("entry-1")
        await first
        answer = await post(fleet, "entry-2", key="a")
        assert answer is not None
        assert_that(answer.status, Equals(200))
        assert_that(runs(fleet), Equals([1]))

    run_in_fleet(brazos, scenario)


def test_same_key_at_three_entries_at_once(brazos: FleetSettings) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        names = sorted(fleet.entries_by_name)
        answers = await asyncio.gather(*(post(fleet, name, key="a") for name in names))
        bodies = {answer.body for answer in answers if answer is not None}
        assert_that(bodies, HasLength(1))
        assert_that(runs(fleet), Equals([1]))

    run_in_fleet(brazos, scenario)


def test_same_key_with_another_body_is_refused(brazos: FleetSettings) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        await post(fleet, "entry-1", key="a")
        answer = await post(fleet, "entry-2", key="a", body=b'{"other": 1}')
        assert answer is not None
        assert_that(answer.status, Equals(422))
        assert_that(runs(fleet), Equals([1]))

    run_in_fleet(brazos, scenario)


def test_keyed_call_while_the_store_is_down_never_ran(brazos: FleetSettings) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        fleet.platform.set_down(True)
        answer = await post(fleet, "entry-1", key="a")
        assert answer is not None
        assert_that(answer.status, Equals(503))
        assert_that(ran_of(answer), Equals(b"no"))
        assert_that(answer.headers[b"retry-after"], Equals(b"1"))
        assert_that(runs(fleet), Equals([]))
        unkeyed = await post(fleet, "entry-1")
        assert unkeyed is not None
        assert_that(unkeyed.status, Equals(200))

    run_in_fleet(brazos, scenario)


def test_claim_whose_answer_was_lost(brazos: FleetSettings) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        fleet.platform.faults.lose_answers = True
        names = sorted(fleet.entries_by_name)
        answers = [await post(fleet, name, key="a") for name in names]
        assert_that([answer and answer.status for answer in answers], Equals([200] * 3))
        assert_that(runs(fleet), Equals([1]))

    run_in_fleet(brazos, scenario)


def test_keyed_retry_after_the_agent_was_replaced(brazos: FleetSettings) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        await post(fleet, "entry-1", key="a")
        for upstream_id in fleet.services_by_id:
            fleet.kill_agent(upstream_id)
            await fleet.start_agent(upstream_id)
        await asyncio.sleep(3)
        answer = await post(fleet, "entry-2", key="a")
        assert_that(ran_of(answer), Equals(b"unknown"))
        assert_that(runs(fleet), Equals([1]))

    run_in_fleet(brazos, scenario)


def test_keyed_call_moves_only_when_it_never_ran(brazos: FleetSettings) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        for upstream_id in list(fleet.agents_by_id):
            if upstream_id in fleet.services_by_id and upstream_id != "orders-c1":
                fleet.agents_by_id[upstream_id].admission.shut_down()
        answers = [await post(fleet, "entry-1", key=str(key)) for key in range(4)]
        assert_that([answer and answer.status for answer in answers], Equals([200] * 4))
        assert_that(runs(fleet), Equals([1] * 4))

    run_in_fleet(brazos, scenario)


def test_refusal_after_a_broken_answer_does_not_claim_no(brazos: FleetSettings) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        for service in fleet.services_by_id.values():
            service.faults.fail_after_run = True
        answer = await post(fleet, "entry-1")
        assert_that(ran_of(answer), Equals(b"unknown"))
        assert_that(runs(fleet), Equals([1]))

    run_in_fleet(brazos, scenario)


def test_a_refusal_comes_at_once(brazos: FleetSettings) -> None:
    async def scenario(fleet: VirtualFleet) -> None:
        for upstream_id in fleet.services_by_id:
            fleet.kill_agent(upstream_id)
        await asyncio.sleep(1)
        loop = asyncio.get_running_loop()
        before_s = loop.time()
        answer = await post(fleet, "entry-1")
        assert answer is not None
        assert_that(answer.status, Equals(503))
        assert_that(loop.time() - before_s, LessThan(0.1))

    run_in_fleet(brazos, scenario)


def test_full_table_refuses_rather_than_forgets() -> None:
    table: ReplyTable[str] = ReplyTable(ReplyLimits(calls=2, reply_bytes=100))
    for name in ("a", "b"):
        assert_that(table.admit(RequestId(name), 1, 0.0, 0.0).ok, Equals(Verdict.RUN))
        table.finish(RequestId(name), "reply", 5, 1.0)
    full = table.admit(RequestId("c"), 1, 0.0, 2.0)
    assert_that(full.error.code, Equals(ErrorCode.TABLE_FULL))
    assert_that(full.error.ran, Equals(Ran.NO))
    assert_that(table.admit(RequestId("a"), 1, 2.0, 2.0).ok, Equals(Verdict.REPLAY))


def test_table_does_not_guess_about_old_calls() -> None:
    table: ReplyTable[str] = ReplyTable()
    table.admit(RequestId("a"), 1, 0.0, 0.0)
    table.finish(RequestId("a"), "reply", 5, 1.0)
    later_s = CLAIM_WINDOW_S + 2.0
    answer = table.admit(RequestId("a"), 1, later_s, later_s)
    assert_that(answer.error.ran, Equals(Ran.UNKNOWN))
