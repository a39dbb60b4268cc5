"""Separate processes with TLS links under SIGKILL, SIGSTOP and SIGTERM."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import AsyncGenerator
from pathlib import Path
from typing import Any

import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Contains, EndsWith, Equals

from tests.client import Response, authorization, completion_body, send
from wasabimux.adapters.http_client import HttpClient
from wasabimux.ports import UpstreamLost
from wasabimux.settings.address import parse_address
from wasabimux.settings.check import check_fleet
from wasabimux.standins.laptop import Laptop, Layout, Ports

START_TIMEOUT_S = 60.0
KEPT_UPSTREAMS = ("prefill-a1", "decode-a1", "decode-b1", "orders-a1")
SLOW_ENGINE = {"step_base_s": 0.03, "prefill_base_s": 0.005}


@pytest.fixture
def layout(brazos_document: dict[str, Any], tmp_path: Path) -> Layout:
    """A small fleet: one prefill, two decode, one plain service, two entries."""
    brazos_document["upstreams"] = [
        item for item in brazos_document["upstreams"] if item["id"] in KEPT_UPSTREAMS
    ]
    fleet = check_fleet(brazos_document).ok
    return Layout(fleet, tmp_path, Ports(None), engine_parameters=SLOW_ENGINE, tls=True)


@pytest_asyncio.fixture
async def laptop(layout: Layout) -> AsyncGenerator[Laptop, None]:
    """The small fleet, ready for requests."""
    with Laptop(layout) as running:
        async with asyncio.timeout(START_TIMEOUT_S):
            for callers in layout.callers:
                await _until_served(callers)
        yield running


async def _until_served(callers: str) -> None:
    while True:
        try:
            answers = [await _complete(callers), await _get_order(callers)]
            if all(answer.status == 200 for answer in answers):
                return
        except (OSError, UpstreamLost):
            pass
        await asyncio.sleep(0.1)


async def _complete(callers: str, **fields: Any) -> Response:
    async with HttpClient(*parse_address(callers)) as client:
        body = completion_body(**fields)
        headers = authorization("rope-yard")
        return await send(client, "POST", "/v1/completions", headers, body)


async def _get_order(callers: str) -> Response:
    async with HttpClient(*parse_address(callers)) as client:
        return await send(client, "GET", "/orders/1", authorization("order-desk"))


async def _standin(laptop: Laptop, upstream: str, path: str, value: Any = None) -> Any:
    address = laptop.layout.standin_by_upstream[upstream]
    async with HttpClient(*parse_address(address)) as client:
        if value is None:
            answer = await send(client, "GET", path, [])
        else:
            answer = await send(client, "POST", path, [], json.dumps(value).encode())
    return answer.json


async def _until_memory_free(laptop: Laptop) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        for upstream in KEPT_UPSTREAMS[:3]:
            while (await _standin(laptop, upstream, "/_standin/state"))["memory"]:
                await asyncio.sleep(0.05)


async def _start_stream(laptop: Laptop, entry: int) -> tuple[HttpClient, Any, Any]:
    client = HttpClient(*parse_address(laptop.layout.callers[entry]))
    body = completion_body(stream=True, max_tokens=200)
    response = await client.request(
        "POST", "/v1/completions", authorization("rope-yard"), body
    )
    pieces = response.pieces()
    await anext(pieces)
    return client, response, pieces


async def test_memory_returns_after_an_entry_is_killed(laptop: Laptop) -> None:
    client, response, pieces = await _start_stream(laptop, 0)
    laptop.kill("entry-1")
    await _until_memory_free(laptop)
    await pieces.aclose()
    response.close()
    client.close()
    answer = await _complete(laptop.layout.callers[1])
    assert_that(answer.status, Equals(200))


async def test_memory_returns_after_an_entry_is_frozen(laptop: Laptop) -> None:
    client, response, pieces = await _start_stream(laptop, 0)
    laptop.signal("entry-1", signal.SIGSTOP)
    try:
        await _until_memory_free(laptop)
    finally:
        laptop.signal("entry-1", signal.SIGCONT)
    with pytest.raises(UpstreamLost):
        while await anext(pieces):
            pass
    response.close()
    client.close()


async def test_memory_returns_after_an_agent_is_killed(laptop: Laptop) -> None:
    streams = [await _start_stream(laptop, 0) for _ in range(2)]
    laptop.kill("agent-decode-a1")
    laptop.kill("agent-decode-b1")
    for _, response, pieces in streams:
        with pytest.raises(UpstreamLost):
            while await anext(pieces):
                pass
        response.close()
    laptop.start("agent-decode-a1")
    laptop.start("agent-decode-b1")
    await _until_memory_free(laptop)
    for client, _, _ in streams:
        client.close()


async def test_graceful_shutdown_of_an_entry_cuts_nothing(laptop: Laptop) -> None:
    client, response, pieces = await _start_stream(laptop, 0)
    laptop.signal("entry-1", signal.SIGTERM)
    body = b"".join([piece async for piece in pieces])
    assert_that(body, EndsWith(b"data: [DONE]\n\n"))
    response.close()
    client.close()
    assert_that(laptop.stop("entry-1"), Equals(0))


async def test_graceful_shutdown_of_agents_cuts_nothing(laptop: Laptop) -> None:
    client, response, pieces = await _start_stream(laptop, 0)
    laptop.signal("agent-decode-a1", signal.SIGTERM)
    laptop.signal("agent-decode-b1", signal.SIGTERM)
    body = b"".join([piece async for piece in pieces])
    assert_that(body, EndsWith(b"data: [DONE]\n\n"))
    response.close()
    client.close()
    assert_that(laptop.stop("agent-decode-a1"), Equals(0))


async def test_call_runs_once_though_its_agent_is_killed(laptop: Laptop) -> None:
    await _standin(laptop, "orders-a1", "/_standin/faults", {"delay_s": 1.0})
    before = (await _standin(laptop, "orders-a1", "/_standin/state"))["runs"]

    async def post() -> Response:
        async with HttpClient(*parse_address(laptop.layout.callers[0])) as client:
            headers = authorization("order-desk")
            return await send(client, "POST", "/orders/retwist", headers, b"{}")

    posting = asyncio.ensure_future(post())
    while not (await _standin(laptop, "orders-a1", "/_standin/state"))["running"]:
        await asyncio.sleep(0.02)
    laptop.kill("agent-orders-a1")
    laptop.start("agent-orders-a1")
    answer = await posting
    assert_that(answer.status, Equals(502))
    assert_that(answer.json["error"]["ran"], Equals("unknown"))
    after = (await _standin(laptop, "orders-a1", "/_standin/state"))["runs"]
    new = {request: runs for request, runs in after.items() if request not in before}
    assert_that(list(new.values()), Equals([1]))


async def test_logs_hold_events_but_no_key(laptop: Laptop) -> None:
    await _complete(laptop.layout.callers[0])
    log = laptop.log("entry-1")
    assert_that(log, Contains("event=answered"))
    assert_that("example-" in log, Equals(False))


async def _shards(laptop: Laptop, entry: str) -> list[int]:
    address = laptop.layout.admin_by_name[entry]
    async with HttpClient(*parse_address(address)) as client:
        return (await send(client, "GET", "/status", [])).json["rate_shards"]


async def test_shares_are_granted_after_their_holder_is_killed(laptop: Laptop) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        while not all([await _shards(laptop, f"entry-{n}") for n in (1, 2)]):
            await asyncio.sleep(0.2)
        taken = await _shards(laptop, "entry-1")
        laptop.kill("entry-1")
        while not set(taken) <= set(await _shards(laptop, "entry-2")):
            await asyncio.sleep(0.2)
    answer = await _complete(laptop.layout.callers[1])
    assert_that(answer.status, Equals(200))
