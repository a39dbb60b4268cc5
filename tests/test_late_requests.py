"""Requests that a relay takes, or still runs, late in a planned stop."""

from __future__ import annotations

import asyncio

import pytest

from tests.relay_fixtures import (
    API_KEY,
    HOST,
    RelayCluster,
    desired_state,
    relay_cluster,
)
from wasabimux._clock import loop_time
from wasabimux.decisions.shutdown import ShutdownDemand, can_end_in_time
from wasabimux.relay.process import GRACE_FRACTION

#: Grace of the relays of these tests in s, see relay_settings.
GRACE_S = 2.0

#: Time in s that an upstream takes for a call, less than the grace.
SLOW_S = 1.0


def head_of(path: str, request_id: str, size: int) -> bytes:
    """Returns the head of a request with a body of a size."""
    lines = [
        f"POST {path} HTTP/1.1",
        f"host: {HOST}",
        f"wasabimux-request-id: {request_id}",
        "wasabimux-deadline-ms: 14000",
        f"authorization: Bearer {API_KEY}",
        f"content-length: {size}",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def ran(cluster: RelayCluster, request_id: str) -> bool:
    """Returns whether an upstream began to run a request."""
    return any(
        run.request_id == request_id
        for runner in cluster.runners.values()
        for run in runner.runs
    )


@pytest.mark.parametrize("body_at_s", [0.3, 1.0, 1.4])
async def test_request_whose_body_arrives_late_in_the_grace_gets_a_true_answer(
    body_at_s: float,
) -> None:
    """Regression: a call taken late in the grace was passed on and cut unanswered."""
    state = desired_state()
    state["routes"][1]["timeoutMs"] = 5_000
    async with relay_cluster(state=state) as cluster:
        for runner in cluster.runners.values():
            runner.faults.delay_s = SLOW_S
        running = cluster.relays[0]
        reader, writer = await asyncio.open_connection(*running.http_address)
        writer.write(head_of("/unsafe/1", "late", 4))
        await asyncio.sleep(0.05)
        stopping = asyncio.ensure_future(running.drain())
        await asyncio.sleep(body_at_s)
        writer.write(b"body")
        answer = await reader.read()
        writer.close()
        assert await stopping
        status = int(answer.split(b" ")[1])
        assert (status, ran(cluster, "late")) in [(200, True), (503, False)]


async def test_call_that_outlasts_the_grace_is_answered_before_its_end() -> None:
    """Regression: a call under way at the end of the grace had no answer at all."""
    state = desired_state()
    state["routes"][1]["timeoutMs"] = 5_000
    async with relay_cluster(state=state) as cluster:
        for runner in cluster.runners.values():
            runner.faults.delay_s = 2 * GRACE_S
        running = cluster.relays[0]
        reader, writer = await asyncio.open_connection(*running.http_address)
        writer.write(head_of("/unsafe/1", "slow", 4) + b"body")
        await cluster.wait_until(lambda: bool(running.relay.usage().load_by_upstream))
        ends_s = loop_time() + GRACE_S * GRACE_FRACTION
        stopping = asyncio.ensure_future(running.drain())
        answer = await reader.read()
        writer.close()
        assert answer.startswith(b"HTTP/1.1 504")
        assert b'"ran": "unknown"' in answer
        assert loop_time() <= ends_s
        assert await stopping


@pytest.mark.parametrize(
    ("demand", "taken"),
    [
        (ShutdownDemand(0.9, 0.1, None, False), True),
        (ShutdownDemand(1.1, 0.1, None, False), False),
        (ShutdownDemand(9.0, 0.9, None, True), True),
        (ShutdownDemand(9.0, 1.1, None, True), False),
        (ShutdownDemand(9.0, 0.1, 0.4, False), True),
        (ShutdownDemand(9.0, 0.1, 0.6, True), False),
        (ShutdownDemand(0.9, 0.1, 0.6, True), True),
    ],
)
def test_request_is_taken_if_it_can_end_before_the_process(
    demand: ShutdownDemand, taken: bool
) -> None:
    assert can_end_in_time(demand, 5.0, 6.0) is taken
