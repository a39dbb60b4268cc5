"""Calls of plain services that wait in one line for all relays."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncGenerator

import pytest
from hypothesis import given, settings, strategies as st

from benchmarks.calls import Play
from tests.relay_fixtures import RelayCluster, relay_cluster
from wasabimux._clock import loop_time
from wasabimux.decisions.call_line import CallLine, LineCall, UpstreamRoom
from wasabimux.decisions.told_load import ToldLoad
from wasabimux.ids import PeerRequestId, UpstreamId
from wasabimux.platform.headers import PlatformHeaderCodec

ROOMS = [UpstreamRoom(UpstreamId(name), 4, 0, 1.0) for name in ("u1", "u2")]
#: Calls that two upstreams of four slots get at once.
PLACES = sum(CallLine(mean_s=0.1).limit(room) for room in ROOMS)


def call(
    number: int,
    priority: int = 1,
    *,
    relay: str = "r",
    workspace: str = "ropes",
    beyond_share: bool = False,
    came_back: bool = False,
    on_time_s: float = 1.0,
    end_s: float = 10.0,
) -> LineCall:
    """Returns a call that arrives at 0 s."""
    return LineCall(
        PeerRequestId(relay, number),
        workspace,
        priority,
        beyond_share,
        came_back,
        on_time_s,
        end_s,
    )


@pytest.fixture
def full_line() -> CallLine:
    """A line all of whose places are taken; calls take 0.1 s."""
    line = CallLine(mean_s=0.1)
    for number in range(PLACES):
        assert line.add(call(number), ROOMS, 0.0) is None
    places, _ = line.serve(ROOMS, 0.0)
    assert len(places) == PLACES
    return line


def served(line: CallLine, now: float) -> list[int]:
    """Frees a place at a time, and returns the numbers of the calls that get one."""
    numbers = []
    for number in range(PLACES):
        line.remove(PeerRequestId("r", number))
        numbers += [place.call.number for place in line.serve(ROOMS, now)[0]]
    return numbers


@pytest.mark.parametrize("load", [1.5, 2.0, 3.0])
def test_calls_on_time_do_not_fall_under_overload(load: float) -> None:
    """Sent at once, they fall to a third: all calls wait as long as queues are."""
    seconds = 6.0
    calm = Play(1.0, True, 1, seconds).run()
    result = Play(load, True, 1, seconds).run()
    assert result.total_on_time >= 0.95 * calm.total_on_time
    assert result.shed <= 0.01 * result.sent
    urgent = result.within_on_time["urgent"] / result.within_asked["urgent"]
    other = result.within_on_time["other"] / result.within_asked["other"]
    assert urgent >= other


@pytest.mark.parametrize("load", [1.5, 2.0, 3.0])
def test_workspaces_within_their_share_are_served_on_time(load: float) -> None:
    seconds = 12.0
    assert Play(load, True, 1, seconds).run().worst_share(seconds) >= 0.95


def test_no_call_waits_while_there_is_room() -> None:
    line = CallLine(mean_s=0.1)
    line.add(call(1), ROOMS, 0.0)
    places, refused = line.serve(ROOMS, 0.0)
    assert [place.call.number for place in places] == [1]
    assert not refused


def test_calls_that_can_be_on_time_come_first(full_line: CallLine) -> None:
    full_line.add(call(100, on_time_s=0.5), ROOMS, 0.0)
    full_line.add(call(101, on_time_s=5.0), ROOMS, 0.0)
    assert served(full_line, now=1.0) == [101, 100]


def test_urgent_calls_and_those_within_the_share_come_first(
    full_line: CallLine,
) -> None:
    full_line.add(call(100, priority=0, beyond_share=True), ROOMS, 0.0)
    full_line.add(call(101, priority=2), ROOMS, 0.0)
    full_line.add(call(102, priority=0), ROOMS, 0.0)
    assert served(full_line, now=0.1) == [102, 101, 100]


def test_callers_that_came_back_as_told_come_first(full_line: CallLine) -> None:
    full_line.add(call(100), ROOMS, 0.0)
    full_line.add(call(101, came_back=True), ROOMS, 0.0)
    assert served(full_line, now=0.1) == [101, 100]


def test_a_workspace_with_many_calls_does_not_hold_up_another(
    full_line: CallLine,
) -> None:
    for number in range(100, 600):
        full_line.add(call(number, workspace="dyes"), ROOMS, 0.0)
    full_line.add(call(900, workspace="knots"), ROOMS, 0.0)
    assert 900 in served(full_line, now=0.1)


def test_a_call_that_cannot_be_served_before_it_ends_is_refused_at_once(
    full_line: CallLine,
) -> None:
    delays_s = []
    for number in range(100, 400):
        refused = full_line.add(call(number, end_s=1.0), ROOMS, 0.0)
        if refused is not None:
            delays_s.append(refused.retry_after_s)
    per_s = PLACES / full_line.mean_s
    assert 0.8 * per_s <= full_line.waiting <= 1.1 * per_s
    assert delays_s == sorted(delays_s)
    assert delays_s[-1] - delays_s[0] > 1.0


def test_late_calls_that_others_will_not_leave_room_for_are_refused(
    full_line: CallLine,
) -> None:
    for number in range(100, 160):
        full_line.add(call(number, on_time_s=0.9, end_s=2.0), ROOMS, 0.0)
    for number in range(200, 330):
        full_line.add(call(number, on_time_s=2.0), ROOMS, 0.9)
    refused = full_line.refuse_hopeless(ROOMS, 1.0)
    assert len(refused) >= 50
    assert {item.call.number for item in refused} <= set(range(100, 160))


def test_slow_upstreams_and_those_with_a_queue_get_less() -> None:
    rooms = [
        UpstreamRoom(UpstreamId("slow"), 4, 0, 2.5),
        UpstreamRoom(UpstreamId("queued"), 4, 4, 1.0),
        UpstreamRoom(UpstreamId("sound"), 4, 0, 1.0),
    ]
    line = CallLine(mean_s=0.1)
    for number in range(4):
        line.add(call(number), rooms, 0.0)
    places, _ = line.serve(rooms, 0.0)
    upstreams = [place.upstream for place in places]
    assert upstreams.count(UpstreamId("sound")) >= 3
    assert UpstreamId("slow") not in upstreams


def test_places_of_a_relay_that_is_gone_are_free(full_line: CallLine) -> None:
    full_line.add(call(1, relay="other"), ROOMS, 0.0)
    full_line.remove_relay("r")
    places, _ = full_line.serve(ROOMS, 0.1)
    assert [place.call.relay for place in places] == ["other"]


@settings(max_examples=30, deadline=None, derandomize=True)
@given(st.integers(0, 10_000))
def test_upstreams_never_have_more_calls_than_places(seed: int) -> None:
    rng = random.Random(seed)
    line, held = CallLine(mean_s=0.05), {}
    for step in range(300):
        now = step * 0.01
        for _ in range(rng.randrange(4)):
            line.add(call(rng.randrange(10**6), rng.randrange(3)), ROOMS, now)
        for place in line.serve(ROOMS, now)[0]:
            held[place.call] = place.upstream
        for room in ROOMS:
            assert list(held.values()).count(room.upstream) <= line.limit(room)
        for ended in rng.sample(sorted(held), min(len(held), rng.randrange(4))):
            line.remove(ended)
            del held[ended]
        assert line.held == len(held)


@pytest.mark.parametrize(
    ("value", "expected"),
    [
        (b"3,0,8,250", ToldLoad(3, 0, 8, 2.5)),
        (b" 3, 0, 8, 100", ToldLoad(3, 0, 8, 1.0)),
        (b"3,0,8", None),
        (b"3,0,0,100", None),
        (b"3,0,8,0", None),
        (b"3,0,8,-5", None),
        (b"3,0,8,1e3", None),
        (b"9999999999999999,0,8,100", None),
        (b"", None),
    ],
)
def test_load_in_a_response_is_read_or_ignored(
    value: bytes, expected: ToldLoad | None
) -> None:
    notice = PlatformHeaderCodec().read_notice(200, [(b"wasabimux-server-load", value)])
    assert notice.load == expected


@contextlib.asynccontextmanager
async def busy_cluster(relays: int) -> AsyncGenerator[RelayCluster, None]:
    """Runs relays before upstreams that are busy and tell their load."""
    async with relay_cluster(relays) as cluster:
        for running in cluster.relays:
            for upstream in running.relay.pool.of_service("desk"):
                upstream.on_told_load(ToldLoad(16, 16, 16, 1.0), loop_time())
        yield cluster


async def answered(cluster: RelayCluster, requests: int) -> int:
    """Sends requests at the same time; returns how many were answered with 200."""

    async def send(number: int) -> int:
        relay = number % len(cluster.relays)
        response = await cluster.request(f"/safe/{number}", f"q{number}", relay)
        async with response:
            await response.body()
            return response.status

    statuses = await asyncio.gather(*(send(number) for number in range(requests)))
    return statuses.count(200)


async def test_calls_of_all_relays_get_places_from_one_owner() -> None:
    async with busy_cluster(3) as cluster:
        for runner in cluster.runners.values():
            runner.faults.delay_s = 0.05
        held = []

        async def watch() -> None:
            while True:
                held.append([item.relay.call_lines.held for item in cluster.relays])
                await asyncio.sleep(0.005)

        watching = asyncio.ensure_future(watch())
        assert await answered(cluster, 60) == 60
        watching.cancel()
        assert all(sum(item > 0 for item in held_at) <= 1 for held_at in held)
        assert any(sum(held_at) > 1 for held_at in held)
        await cluster.wait_until(
            lambda: not any(item.relay.call_lines.held for item in cluster.relays)
        )


async def test_calls_are_sent_at_once_where_the_owner_is_silent() -> None:
    async with busy_cluster(2) as cluster:
        for running in cluster.relays:
            running.relay.call_lines.on_place_request = (  # type: ignore[method-assign]
                lambda link, request: None
            )
        assert await answered(cluster, 20) == 20


async def test_calls_go_on_where_the_owner_is_lost_while_they_wait() -> None:
    async with busy_cluster(3) as cluster:
        for runner in cluster.runners.values():
            runner.faults.delay_s = 0.3
        lines = [running.relay.call_lines for running in cluster.relays]
        sending = [
            asyncio.ensure_future(
                cluster.request(f"/safe/{number}", f"q{number}", relay)
            )
            for relay in range(3)
            for number in range(relay * 30, relay * 30 + 30)
        ]
        await cluster.wait_until(lambda: any(line.waiting for line in lines))
        owner = next(index for index, line in enumerate(lines) if line.waiting)
        await cluster.runs[owner].aclose()
        results = await asyncio.gather(*sending, return_exceptions=True)
        others = results[: 30 * owner] + results[30 * (owner + 1) :]
        assert all(item.status == 200 for item in others)  # type: ignore[union-attr]
