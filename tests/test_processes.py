"""Processes with TLS links that receive SIGKILL, SIGSTOP or SIGTERM."""

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
from wasabimux.standins.laptop import AddressAllocator, Layout, LocalFleet

START_TIMEOUT_S = 60.0
UPSTREAM_IDS = ("prefill-a1", "decode-a1", "decode-b1", "orders-a1")
SLOW_ENGINE = {"step_base_s": 0.03, "prefill_base_s": 0.005}


@pytest.fixture
def layout(brazos_document: dict[str, Any], tmp_path: Path) -> Layout:
    """A fleet of two entries, a prefill engine, two decode engines and a service."""
    brazos_document["upstreams"] = [
        item for item in brazos_document["upstreams"] if item["id"] in UPSTREAM_IDS
    ]
    fleet = check_fleet(brazos_document).ok
    return Layout(
        fleet, tmp_path, AddressAllocator(None), engine_parameters=SLOW_ENGINE, tls=True
    )


@pytest_asyncio.fixture
async def laptop(layout: Layout) -> AsyncGenerator[LocalFleet, None]:
    """The running processes of the fleet, ready for requests."""
    with LocalFleet(layout) as running:
        async with asyncio.timeout(START_TIMEOUT_S):
            for http_address in layout.entry_addresses:
                await _wait_until_serving(http_address)
        yield running


async def _wait_until_serving(http_address: str) -> None:
    while True:
        try:
            responses = [await _complete(http_address), await _get_order(http_address)]
            if all(response.status == 200 for response in responses):
                return
        except (OSError, UpstreamLost):
            pass
        await asyncio.sleep(0.1)


async def _complete(http_address: str, **fields: Any) -> Response:
    async with HttpClient(*parse_address(http_address)) as client:
        body = completion_body(**fields)
        headers = authorization("rope-yard")
        return await send(client, "POST", "/v1/completions", headers, body)


async def _get_order(http_address: str) -> Response:
    async with HttpClient(*parse_address(http_address)) as client:
        return await send(client, "GET", "/orders/1", authorization("order-desk"))


async def _call_standin(
    laptop: LocalFleet, upstream: str, path: str, value: Any = None
) -> Any:
    address = laptop.layout.standin_address_by_upstream[upstream]
    async with HttpClient(*parse_address(address)) as client:
        if value is None:
            response = await send(client, "GET", path, [])
        else:
            response = await send(client, "POST", path, [], json.dumps(value).encode())
    return response.json


async def _wait_until_memory_free(laptop: LocalFleet) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        for upstream in UPSTREAM_IDS[:3]:
            while (await _call_standin(laptop, upstream, "/_standin/state"))["memory"]:
                await asyncio.sleep(0.05)


async def _start_stream(laptop: LocalFleet, entry: int) -> tuple[HttpClient, Any, Any]:
    client = HttpClient(*parse_address(laptop.layout.entry_addresses[entry]))
    body = completion_body(stream=True, max_tokens=200)
    stream_response = await client.request(
        "POST", "/v1/completions", authorization("rope-yard"), body
    )
    chunks = stream_response.pieces()
    await anext(chunks)
    return client, stream_response, chunks


async def test_memory_is_freed_after_an_entry_is_killed(laptop: LocalFleet) -> None:
    client, stream_response, chunks = await _start_stream(laptop, 0)
    laptop.kill("entry-1")
    await _wait_until_memory_free(laptop)
    await chunks.aclose()
    stream_response.close()
    client.close()
    response = await _complete(laptop.layout.entry_addresses[1])
    assert_that(response.status, Equals(200))


async def test_memory_is_freed_after_an_entry_is_suspended(laptop: LocalFleet) -> None:
    client, stream_response, chunks = await _start_stream(laptop, 0)
    laptop.signal("entry-1", signal.SIGSTOP)
    try:
        await _wait_until_memory_free(laptop)
    finally:
        laptop.signal("entry-1", signal.SIGCONT)
    with pytest.raises(UpstreamLost):
        while await anext(chunks):
            pass
    stream_response.close()
    client.close()


async def test_memory_is_freed_after_an_agent_is_killed(laptop: LocalFleet) -> None:
    streams = [await _start_stream(laptop, 0) for _ in range(2)]
    laptop.kill("agent-decode-a1")
    laptop.kill("agent-decode-b1")
    for _, stream_response, chunks in streams:
        with pytest.raises(UpstreamLost):
            while await anext(chunks):
                pass
        stream_response.close()
    laptop.start("agent-decode-a1")
    laptop.start("agent-decode-b1")
    await _wait_until_memory_free(laptop)
    for client, _, _ in streams:
        client.close()


async def test_graceful_shutdown_of_an_entry_completes_streams(
    laptop: LocalFleet,
) -> None:
    client, stream_response, chunks = await _start_stream(laptop, 0)
    laptop.signal("entry-1", signal.SIGTERM)
    body = b"".join([chunk async for chunk in chunks])
    assert_that(body, EndsWith(b"data: [DONE]\n\n"))
    stream_response.close()
    client.close()
    assert_that(laptop.stop("entry-1"), Equals(0))


async def test_graceful_shutdown_of_agents_completes_streams(
    laptop: LocalFleet,
) -> None:
    client, stream_response, chunks = await _start_stream(laptop, 0)
    laptop.signal("agent-decode-a1", signal.SIGTERM)
    laptop.signal("agent-decode-b1", signal.SIGTERM)
    body = b"".join([chunk async for chunk in chunks])
    assert_that(body, EndsWith(b"data: [DONE]\n\n"))
    stream_response.close()
    client.close()
    assert_that(laptop.stop("agent-decode-a1"), Equals(0))


async def test_call_runs_once_when_its_agent_is_killed(laptop: LocalFleet) -> None:
    await _call_standin(laptop, "orders-a1", "/_standin/faults", {"delay_s": 1.0})
    earlier_runs = (await _call_standin(laptop, "orders-a1", "/_standin/state"))["runs"]

    async def post() -> Response:
        async with HttpClient(
            *parse_address(laptop.layout.entry_addresses[0])
        ) as client:
            headers = authorization("order-desk")
            return await send(client, "POST", "/orders/retwist", headers, b"{}")

    call_task = asyncio.ensure_future(post())
    while not (await _call_standin(laptop, "orders-a1", "/_standin/state"))["running"]:
        await asyncio.sleep(0.02)
    laptop.kill("agent-orders-a1")
    laptop.start("agent-orders-a1")
    response = await call_task
    assert_that(response.status, Equals(502))
    assert_that(response.json["error"]["ran"], Equals("unknown"))
    later_runs = (await _call_standin(laptop, "orders-a1", "/_standin/state"))["runs"]
    new_runs = {
        request_id: count
        for request_id, count in later_runs.items()
        if request_id not in earlier_runs
    }
    assert_that(list(new_runs.values()), Equals([1]))


async def test_logs_contain_events_but_no_key(laptop: LocalFleet) -> None:
    await _complete(laptop.layout.entry_addresses[0])
    log = laptop.log("entry-1")
    assert_that(log, Contains("event=answered"))
    assert_that("example-" in log, Equals(False))


async def _held_shards(laptop: LocalFleet, entry: str) -> list[int]:
    address = laptop.layout.admin_address_by_name[entry]
    async with HttpClient(*parse_address(address)) as client:
        return (await send(client, "GET", "/status", [])).json["rate_shards"]


async def test_shards_are_taken_over_after_their_holder_is_killed(
    laptop: LocalFleet,
) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        while not all([await _held_shards(laptop, f"entry-{n}") for n in (1, 2)]):
            await asyncio.sleep(0.2)
        orphaned_shards = await _held_shards(laptop, "entry-1")
        laptop.kill("entry-1")
        while not set(orphaned_shards) <= set(await _held_shards(laptop, "entry-2")):
            await asyncio.sleep(0.2)
    response = await _complete(laptop.layout.entry_addresses[1])
    assert_that(response.status, Equals(200))
