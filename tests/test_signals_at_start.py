"""Signals that reach a relay while it starts."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import socket
import time
from collections.abc import AsyncGenerator
from pathlib import Path

import pytest_asyncio

from tests.relay_fixtures import desired_state, relay_settings
from tests.test_relay_processes import START_TIMEOUT_S, RelayProcess, plain_status
from wasabimux.platform.standins.runner import StandInRunner
from wasabimux.platform.standins.store import StandInStore


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


def wait_until_accepting(relay: RelayProcess) -> None:
    """Blocks until the relay accepts connections of clients."""
    ends_s = time.monotonic() + START_TIMEOUT_S
    while time.monotonic() < ends_s:
        with contextlib.suppress(OSError):
            socket.create_connection(relay.http_address).close()
            return
        time.sleep(0.0005)  # the signal is to follow at once
    raise TimeoutError


async def test_relay_that_rereads_settings_as_it_starts_goes_on_to_serve(
    starting_relay: RelayProcess,
) -> None:
    """Regression: a SIGHUP ended a relay that accepted connections already."""
    wait_until_accepting(starting_relay)
    starting_relay.send_signal(signal.SIGHUP)
    async with asyncio.timeout(START_TIMEOUT_S):
        while await plain_status(starting_relay, "/safe/1") != 200:
            assert starting_relay.is_running
            await asyncio.sleep(0.1)


async def test_relay_that_is_stopped_as_it_starts_drains(
    starting_relay: RelayProcess,
) -> None:
    """Regression: SIGTERM ended a relay with all connections it had accepted."""
    wait_until_accepting(starting_relay)
    starting_relay.send_signal(signal.SIGTERM)
    assert await starting_relay.wait() == 0
    assert "event=drained" in starting_relay.read_log()
