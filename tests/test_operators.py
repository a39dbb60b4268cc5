"""The operators' tool against a running fleet, as a new operator would use it."""

from __future__ import annotations

import asyncio
import hashlib
import json
import os
import sys
from collections.abc import AsyncGenerator
from typing import Any

import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Contains, ContainsAll, Equals, HasLength

from tests.client import send
from wasabimux.adapters.http_client import HttpClient
from wasabimux.settings.fleet import FleetSettings
from wasabimux.standins.embedded import EmbeddedFleet, run_embedded

TIMEOUT_S = 30


class Operator:
    """Runs the tool against a fleet.

    Args:
        running: The fleet.
    """

    def __init__(self, running: EmbeddedFleet) -> None:
        host, port = running.entry.admin_address
        self._environment = os.environ | {
            "WASABIMUX_PLATFORM": running.platform_address,
            "WASABIMUX_ADMIN": f"{host}:{port}",
        }
        self.exit_code = 0

    async def run(self, *arguments: str) -> str:
        """Runs a command; returns what it printed, and keeps its exit code."""
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "wasabimux.cli.tool",
            *arguments,
            env=self._environment,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.PIPE,
        )
        async with asyncio.timeout(TIMEOUT_S):
            output, _ = await process.communicate()
        self.exit_code = process.returncode or 0
        return output.decode()

    async def read(self, *arguments: str) -> Any:
        """Runs a command with JSON output."""
        return json.loads(await self.run(*arguments, "--json"))


@pytest_asyncio.fixture
async def running(brazos: FleetSettings) -> AsyncGenerator[EmbeddedFleet, None]:
    """The example fleet."""
    async with run_embedded(brazos) as fleet:
        pool = fleet.entry.entry.pool
        while not all(pool.usable(group.id) for group in brazos.groups):
            await asyncio.sleep(0.005)
        yield fleet


async def test_a_workspace_from_its_creation_to_its_last_key(
    running: EmbeddedFleet,
) -> None:
    operator = Operator(running)
    await operator.run("workspace", "create", "urn:brazos:ws:dye-lab")
    await operator.run("workspace", "rename", "urn:brazos:ws:dye-lab", "ws/dye_lab")
    key = (await operator.run("key", "grant", "ws/dye_lab")).strip()
    headers = [(b"authorization", f"Bearer {key}".encode())]
    async with HttpClient(*running.entry.http_address) as client:
        answer = await send(client, "GET", "/orders/1", headers)
        assert_that(answer.status, Equals(200))
        events = await operator.read("timeline", "--workspace", "urn:brazos:ws:dye-lab")
        names = [event["name"] for event in events]
        assert_that(names, Equals(["accepted", "sent_call", "answered"]))
        digest = hashlib.sha256(key.encode()).hexdigest()
        await operator.run("key", "revoke", digest[:12])
        async with asyncio.timeout(5):
            while answer.status != 401:
                answer = await send(client, "GET", "/orders/1", headers)


async def test_a_domain_taken_out_and_back(running: EmbeddedFleet) -> None:
    operator = Operator(running)
    await operator.run("domain", "take-out", "FD-TX.AUSTIN")
    states = await operator.read("domain", "list", "--scheme", "lab")
    assert_that(states[0], Equals({"name": "fd/tx_austin", "state": "out"}))
    status = await operator.read("status")
    agents = [agent for group in status[0]["groups"].values() for agent in group]
    refusing = {agent["upstream"] for agent in agents if not agent["accepting"]}
    assert_that(
        refusing, ContainsAll(["prefill-a1", "decode-a1", "decode-a2", "orders-a1"])
    )
    assert_that(refusing, HasLength(4))
    await operator.run("domain", "bring-back", "fd/tx_austin")
    states = await operator.read("domain", "list")
    assert_that(states[0]["state"], Equals("in_service"))


async def test_exit_codes_and_findings(running: EmbeddedFleet) -> None:
    operator = Operator(running)
    await operator.run("domain", "take-out", "nowhere")
    assert_that(operator.exit_code, Equals(1))
    await operator.run("domain", "nonsense")
    assert_that(operator.exit_code, Equals(2))
    await operator.run("settings", "set", "weight", "7", "--branch", "/field")
    assert_that(operator.exit_code, Equals(0))
    explained = await operator.run(
        "settings", "explain", "weight", "--branch", "/field"
    )
    assert_that(explained, Contains("7.0"))
    await operator.run("settings", "set", "weight", "0", "--branch", "/field")
    assert_that(operator.exit_code, Equals(1))
