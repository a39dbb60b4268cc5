"""Command-line tool for operators, run against a complete fleet."""

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


class OperatorTool:
    """Runs the command-line tool against a fleet.

    Args:
        running: Running fleet.
    """

    def __init__(self, running: EmbeddedFleet) -> None:
        host, port = running.entry.admin_address
        self._environment = os.environ | {
            "WASABIMUX_PLATFORM": running.platform_address,
            "WASABIMUX_ADMIN": f"{host}:{port}",
        }
        self.exit_code = 0

    async def run(self, *arguments: str) -> str:
        """Runs a command; returns its output and stores its exit code."""
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

    async def run_json(self, *arguments: str) -> Any:
        """Runs a command and returns its decoded JSON output."""
        return json.loads(await self.run(*arguments, "--json"))


@pytest_asyncio.fixture
async def running(brazos: FleetSettings) -> AsyncGenerator[EmbeddedFleet, None]:
    """Running example fleet, with usable upstreams in all groups."""
    async with run_embedded(brazos) as fleet:
        pool = fleet.entry.entry.pool
        while not all(pool.usable(group.id) for group in brazos.groups):
            await asyncio.sleep(0.005)
        yield fleet


async def test_workspace_and_key_lifecycle(
    running: EmbeddedFleet,
) -> None:
    tool = OperatorTool(running)
    await tool.run("workspace", "create", "urn:brazos:ws:dye-lab")
    await tool.run("workspace", "rename", "urn:brazos:ws:dye-lab", "ws/dye_lab")
    key = (await tool.run("key", "grant", "ws/dye_lab")).strip()
    headers = [(b"authorization", f"Bearer {key}".encode())]
    async with HttpClient(*running.entry.http_address) as client:
        response = await send(client, "GET", "/orders/1", headers)
        assert_that(response.status, Equals(200))
        events = await tool.run_json("timeline", "--workspace", "urn:brazos:ws:dye-lab")
        names = [event["name"] for event in events]
        assert_that(names, Equals(["accepted", "sent_call", "answered"]))
        digest = hashlib.sha256(key.encode()).hexdigest()
        await tool.run("key", "revoke", digest[:12])
        async with asyncio.timeout(5):
            while response.status != 401:
                response = await send(client, "GET", "/orders/1", headers)


async def test_failure_domain_is_taken_out_and_brought_back(
    running: EmbeddedFleet,
) -> None:
    tool = OperatorTool(running)
    await tool.run("domain", "take-out", "FD-TX.AUSTIN")
    states = await tool.run_json("domain", "list", "--scheme", "lab")
    assert_that(states[0], Equals({"name": "fd/tx_austin", "state": "out"}))
    status = await tool.run_json("status")
    agents = [agent for group in status[0]["groups"].values() for agent in group]
    non_accepting = {agent["upstream"] for agent in agents if not agent["accepting"]}
    assert_that(
        non_accepting,
        ContainsAll(["prefill-a1", "decode-a1", "decode-a2", "orders-a1"]),
    )
    assert_that(non_accepting, HasLength(4))
    await tool.run("domain", "bring-back", "fd/tx_austin")
    states = await tool.run_json("domain", "list")
    assert_that(states[0]["state"], Equals("in_service"))


async def test_exit_codes_and_findings(running: EmbeddedFleet) -> None:
    tool = OperatorTool(running)
    await tool.run("domain", "take-out", "nowhere")
    assert_that(tool.exit_code, Equals(1))
    await tool.run("domain", "nonsense")
    assert_that(tool.exit_code, Equals(2))
    await tool.run("settings", "set", "weight", "7", "--branch", "/field")
    assert_that(tool.exit_code, Equals(0))
    explanation = await tool.run("settings", "explain", "weight", "--branch", "/field")
    assert_that(explanation, Contains("7.0"))
    await tool.run("settings", "set", "weight", "0", "--branch", "/field")
    assert_that(tool.exit_code, Equals(1))
