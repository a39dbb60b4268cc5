"""Tests of the whole request path on real sockets, in one process."""

from __future__ import annotations

import asyncio
import json
from collections.abc import AsyncGenerator

import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import (
    Contains,
    ContainsDict,
    EndsWith,
    Equals,
    GreaterThan,
    HasLength,
    MatchesStructure,
    Not,
    StartsWith,
)

from tests.client import authorization, completion_body, send
from wasabimux._clock import loop_time
from wasabimux.adapters.http_client import HttpClient
from wasabimux.settings.fleet import FleetSettings
from wasabimux.standins.embedded import EmbeddedFleet, run_embedded
from wasabimux.standins.engine import EngineParameters

FAST = EngineParameters(
    prefill_base_s=0.001, step_base_s=0.002, step_per_request_s=0.0001
)


@pytest_asyncio.fixture
async def running(brazos: FleetSettings) -> AsyncGenerator[EmbeddedFleet, None]:
    """The example fleet, running and ready for requests."""
    async with run_embedded(brazos, parameters=FAST) as fleet:
        pool = fleet.entry.entry.pool
        while not all(pool.usable(group.id) for group in brazos.groups):
            await asyncio.sleep(0.005)
        yield fleet


@pytest_asyncio.fixture
async def client(running: EmbeddedFleet) -> AsyncGenerator[HttpClient, None]:
    """HTTP client of the running fleet."""
    async with HttpClient(*running.entry.http_address) as http_client:
        yield http_client


async def test_completion_streams_to_its_end(client: HttpClient) -> None:
    body = completion_body(stream=True)
    response = await send(
        client, "POST", "/v1/completions", authorization("rope-yard"), body
    )
    assert_that(response, MatchesStructure(status=Equals(200)))
    assert_that(response.body, StartsWith(b"data: "))
    assert_that(response.body, EndsWith(b"data: [DONE]\n\n"))
    assert_that(response.body.count(b'"text": "w'), Equals(4))


async def test_chat_completion_without_stream(client: HttpClient) -> None:
    messages = [{"role": "user", "content": "hello"}]
    body = completion_body(messages=messages, max_tokens=3)
    response = await send(
        client, "POST", "/v1/chat/completions", authorization("rope-yard"), body
    )
    message = response.json["choices"][0]["message"]
    assert_that(message, ContainsDict({"content": Equals("w0 w1 w2 ")}))


@pytest.mark.parametrize("max_tokens", [0, -1, 10**12])
async def test_a_length_that_the_model_cannot_give_is_refused(
    client: HttpClient, max_tokens: int
) -> None:
    """Regression: a length beyond the limit was answered 200 with fewer tokens."""
    body = completion_body(max_tokens=max_tokens)
    response = await send(
        client, "POST", "/v1/completions", authorization("rope-yard"), body
    )
    assert_that(response.status, Equals(400))
    assert_that(response.json["error"], ContainsDict({"ran": Equals("no")}))


async def test_an_answer_cut_at_its_limit_says_so(client: HttpClient) -> None:
    body = completion_body(max_tokens=3)
    response = await send(
        client, "POST", "/v1/completions", authorization("rope-yard"), body
    )
    assert_that(response.json["choices"][0]["finish_reason"], Equals("length"))


async def test_refusals_say_that_nothing_ran(client: HttpClient) -> None:
    cases = [
        (401, "POST", "/v1/completions", [], completion_body()),
        (401, "POST", "/v1/completions", authorization("nobody"), b""),
        (403, "POST", "/v1/completions", authorization("stock-room"), None),
        (404, "POST", "/v1/completions", authorization("rope-yard"), b"model"),
        (400, "POST", "/v1/completions", authorization("rope-yard"), b"{"),
        (404, "GET", "/elsewhere", authorization("rope-yard"), b""),
    ]
    for status, method, target, headers, body in cases:
        if body is None:
            body = completion_body()
        elif body == b"model":
            body = completion_body(model="unknown")
        response = await send(client, method, target, headers, body)
        assert_that(response.status, Equals(status))
        assert_that(response.json["error"]["ran"], Equals("no"))


async def test_no_upstream_sees_a_key(
    running: EmbeddedFleet, client: HttpClient
) -> None:
    key = b"example-rope-yard"
    headers = [*authorization("rope-yard"), (b"X-Api-Key", key)]
    response = await send(
        client, "POST", "/orders/retwist?a=1&key=example-rope-yard", headers, b"{}"
    )
    assert_that(response.json["target"], Equals("/orders/retwist?a=1"))
    await send(client, "POST", "/v1/completions", headers, completion_body())
    seen = [service.headers_seen for service in running.services_by_id.values()]
    seen += [engine.headers_seen for engine in running.engines_by_id.values()]
    for header in set().union(*seen):
        assert_that(header, Not(Contains(key.decode())))


async def test_key_in_body_is_refused(client: HttpClient) -> None:
    body = b'{"note": "example-rope-yard"}'
    response = await send(
        client, "POST", "/orders/retwist", authorization("rope-yard"), body
    )
    assert_that(response.status, Equals(400))


async def test_memory_is_free_after_cancelled_requests(
    running: EmbeddedFleet, client: HttpClient
) -> None:
    async def send_one(number: int) -> None:
        body = completion_body(stream=True, max_tokens=20)
        headers = authorization("rope-yard")
        response = await client.request("POST", "/v1/completions", headers, body)
        async with response:
            if number % 3:
                await response.body()
            else:
                await anext(response.pieces())

    async with asyncio.timeout(30):
        await asyncio.gather(*(send_one(number) for number in range(100)))
        runs_in_memory = ["unknown"]
        while runs_in_memory:
            states = [item.model.state() for item in running.engines_by_id.values()]
            runs_in_memory = [run for state in states for run in state["memory"]]
            await asyncio.sleep(0.01)
    assert_that(runs_in_memory, HasLength(0))


async def test_a_slow_completion_without_streaming_succeeds(
    brazos: FleetSettings,
) -> None:
    """Guards against treating an engine as dead after 5 s without a token.

    A client that sets no `max_tokens` and does not stream gets the whole response
    at its end, which takes longer than that.
    """
    slow = EngineParameters(prefill_base_s=0.001, step_base_s=0.013)
    async with run_embedded(brazos, parameters=slow) as fleet:
        pool = fleet.entry.entry.pool
        while not all(pool.usable(group.id) for group in brazos.groups):
            await asyncio.sleep(0.005)
        body = json.loads(completion_body())
        del body["max_tokens"]
        start_s = loop_time()
        async with HttpClient(*fleet.entry.http_address) as client:
            response = await send(
                client,
                "POST",
                "/v1/completions",
                authorization("rope-yard"),
                json.dumps(body).encode(),
            )
    assert_that(response.status, Equals(200))
    assert_that(loop_time() - start_s, GreaterThan(5.0))
