"""Relays as separate processes before stand-ins of the platform."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import AsyncGenerator
from contextlib import AsyncExitStack
from pathlib import Path
from typing import NamedTuple

import pytest_asyncio

from tests.relay_fixtures import call, desired_state, relay_settings
from wasabimux.platform.standins.runner import StandInRunner
from wasabimux.platform.standins.store import StandInStore
from wasabimux.ports import UpstreamLost
from wasabimux.settings.address import parse_address
from wasabimux.settings.process import RelaySettings

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 30.0
TOKENS = {"wasabimux_token_count": "100,60"}


class RelayProcess:
    """A relay in a process of its own.

    Args:
        settings: Its settings.
        folder: Where its settings and log are kept.
    """

    def __init__(self, settings: RelaySettings, folder: Path) -> None:
        self.callers = parse_address(settings.callers)
        self._log = folder / f"{settings.instance}.log"
        self._settings = folder / f"{settings.instance}.json"
        self._settings.write_text(settings.model_dump_json())
        self._process: subprocess.Popen[bytes] | None = None

    def start(self) -> None:
        """Starts the process."""
        arguments = ["-m", "wasabimux.cli.daemon", "relay", str(self._settings)]
        with self._log.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"},
            )

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal."""
        assert self._process is not None
        self._process.send_signal(number)

    async def ended(self) -> int:
        """Waits for the end; returns the exit code."""
        assert self._process is not None
        return await asyncio.to_thread(self._process.wait, STOP_TIMEOUT_S)

    def close(self) -> None:
        """Ends the process at once."""
        if self._process is not None:
            self._process.kill()
            self._process.wait(STOP_TIMEOUT_S)

    def log(self) -> str:
        """Returns what it has written."""
        return self._log.read_text()


class ProcessWorld(NamedTuple):
    """A store and runners here, relays in processes of their own."""

    store: StandInStore
    runners: dict[str, StandInRunner]
    relays: list[RelayProcess]


@pytest_asyncio.fixture
async def world(tmp_path: Path) -> AsyncGenerator[ProcessWorld, None]:
    """Two relays, a plain runner and three engines, ready for requests."""
    runners = [
        StandInRunner("desk-1", "desk"),
        StandInRunner("pre-1", "engines", phase="prefill"),
        StandInRunner("dec-1", "engines", phase="decode", events=100),
        StandInRunner("dec-2", "engines", "zone-b", phase="decode", events=100),
    ]
    async with AsyncExitStack() as stack:
        store = await stack.enter_async_context(StandInStore())
        address = await store.listen()
        for runner in runners:
            await stack.enter_async_context(runner)
            await store.put("servers", runner.id, runner.entry())
        await store.put("config", "main", desired_state())
        relays = []
        for number in range(2):
            settings = relay_settings(f"relay-{number}", address)
            relay = RelayProcess(settings.model_copy(update={"grace_s": 8.0}), tmp_path)
            relay.start()
            stack.callback(relay.close)
            relays.append(relay)
        for relay in relays:
            await until_served(relay)
        yield ProcessWorld(store, {item.id: item for item in runners}, relays)


async def until_served(relay: RelayProcess) -> None:
    """Waits until a relay serves both kinds of request."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while not (await status(relay, "/safe/1") == await stream_status(relay) == 200):
            await asyncio.sleep(0.1)


async def status(relay: RelayProcess, path: str) -> int:
    """Returns the status of a plain call, 0 if the relay is out of reach."""
    try:
        async with await call(relay.callers, path, "probe") as answer:
            await answer.body()
            return answer.status
    except (OSError, UpstreamLost):
        return 0


async def stream_status(relay: RelayProcess) -> int:
    """Returns the status of a stream, 0 if the relay is out of reach."""
    try:
        async with await call(relay.callers, "/gen/1", "probe", **TOKENS) as answer:
            await answer.body()
            return answer.status
    except (OSError, UpstreamLost):
        return 0


def whole_stream() -> bytes:
    """Returns the body of a stream of the stand-ins."""
    return b"".join(
        f"id: {number}\ndata: token-{number}\n\n".encode() for number in range(1, 101)
    )


async def test_a_stream_is_whole_though_its_relay_gets_sigterm(
    world: ProcessWorld,
) -> None:
    relay = world.relays[0]
    async with await call(relay.callers, "/gen/1", "kept", **TOKENS) as answer:
        relay.signal(signal.SIGTERM)
        assert await answer.body() == whole_stream()
    assert await relay.ended() == 0
    assert "event=drained" in relay.log()
    assert await status(world.relays[1], "/unsafe/1") == 200


async def test_what_a_killed_relay_ran_ends_and_others_serve_on(
    world: ProcessWorld,
) -> None:
    relay, other = world.relays
    answer = await call(relay.callers, "/gen/1", "cut", **TOKENS)
    relay.signal(signal.SIGKILL)
    await relay.ended()
    answer.close()
    cut = [
        run
        for runner in world.runners.values()
        for run in runner.runs
        if run.request_id == "cut"
    ]
    async with asyncio.timeout(START_TIMEOUT_S):
        while await stream_status(other) != 200:
            await asyncio.sleep(0.1)
    assert [run.ended for run in cut] == [False]
    relay.start()
    await until_served(relay)


async def test_a_relay_reads_its_settings_anew_and_serves_on(
    world: ProcessWorld,
) -> None:
    relay = world.relays[0]
    async with await call(relay.callers, "/gen/1", "kept", **TOKENS) as answer:
        relay.signal(signal.SIGHUP)
        assert await answer.body() == whole_stream()
    assert "event=settings_read" in relay.log()


async def test_a_paused_relay_goes_on_once_it_runs_again(world: ProcessWorld) -> None:
    """Its stream waits in the engine's connection; none of it is lost or doubled."""
    relay = world.relays[0]
    async with await call(relay.callers, "/gen/1", "paused", **TOKENS) as answer:
        relay.signal(signal.SIGSTOP)
        await asyncio.sleep(0.5)
        assert await status(world.relays[1], "/unsafe/1") == 200
        relay.signal(signal.SIGCONT)
        assert await answer.body() == whole_stream()
