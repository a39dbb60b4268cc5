"""Signals that reach a process while it starts."""

from __future__ import annotations

import asyncio
import contextlib
import json
import signal
import socket
import subprocess
import time
from collections.abc import AsyncGenerator
from pathlib import Path
from typing import Any

import pytest
import pytest_asyncio

from tests.relay_fixtures import desired_state, relay_settings
from tests.test_relay_processes import START_TIMEOUT_S, RelayProcess, plain_status
from tests.test_unread_logs import daemon
from wasabimux.platform.standins.runner import StandInRunner
from wasabimux.platform.standins.store import StandInStore
from wasabimux.settings.address import parse_address
from wasabimux.settings.check import check_fleet
from wasabimux.standins.laptop import AddressAllocator, Layout


@pytest_asyncio.fixture
async def starting_relay(tmp_path: Path) -> AsyncGenerator[RelayProcess, None]:
    """A relay whose process has just been started."""
    async with StandInStore() as store, StandInRunner("desk-1", "desk") as runner:
        address = await store.listen()
        await store.put("servers", runner.id, runner.store_entry())
        await store.put("config", "main", desired_state())
        relay = RelayProcess(relay_settings("relay-0", address), tmp_path)
        relay.start()
        try:
            yield relay
        finally:
            relay.kill()


def wait_until_accepting(address: tuple[str, int]) -> None:
    """Blocks until a process accepts connections."""
    ends_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < ends_s:
        with contextlib.suppress(OSError):
            socket.create_connection(address).close()
            return
        time.sleep(0.0005)  # the signal is to follow at once
    raise TimeoutError


async def test_relay_that_rereads_settings_as_it_starts_goes_on_to_serve(
    starting_relay: RelayProcess,
) -> None:
    """Regression: a SIGHUP ended a relay that accepted connections already."""
    wait_until_accepting(starting_relay.http_address)
    starting_relay.send_signal(signal.SIGHUP)
    async with asyncio.timeout(START_TIMEOUT_S):
        while await plain_status(starting_relay, "/safe/1") != 200:
            assert starting_relay.is_running
            await asyncio.sleep(0.1)


async def test_relay_that_is_stopped_as_it_starts_drains(
    starting_relay: RelayProcess,
) -> None:
    """Regression: SIGTERM ended a relay with all connections it had accepted."""
    wait_until_accepting(starting_relay.http_address)
    starting_relay.send_signal(signal.SIGTERM)
    assert await starting_relay.wait() == 0
    assert "event=drained" in starting_relay.read_log()


@pytest.mark.parametrize(
    ("name", "port"), [("entry-1", "callers"), ("agent-orders-a1", "link")]
)
def test_entry_and_agent_that_are_stopped_as_they_start_end_by_themselves(
    brazos_document: dict[str, Any], tmp_path: Path, name: str, port: str
) -> None:
    """Regression: SIGTERM ended them with all connections that they had accepted."""
    fleet = check_fleet(brazos_document).ok
    layout = Layout(fleet, tmp_path, AddressAllocator(None), entries=1)
    (command,) = (item for item in layout.commands if item.name == name)
    settings = json.loads(Path(command.arguments[-1]).read_text())
    with daemon(command.arguments, subprocess.DEVNULL, subprocess.DEVNULL) as process:
        wait_until_accepting(parse_address(settings[port]))
        process.send_signal(signal.SIGTERM)
        assert process.wait(START_TIMEOUT_S) == 0
