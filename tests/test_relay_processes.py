"""Relays as separate processes, with stand-ins of the platform."""

from __future__ import annotations

import asyncio
import os
import signal
import subprocess
import sys
from collections.abc import AsyncGenerator, Sequence
from contextlib import AsyncExitStack
from pathlib import Path
from typing import NamedTuple

import pytest_asyncio

from tests.relay_fixtures import (
    desired_state,
    relay_settings,
    restarted_after_crashes,
    send_request,
)
from wasabimux.platform.standins.runner import StandInRunner
from wasabimux.platform.standins.store import StandInStore
from wasabimux.ports import UpstreamLost
from wasabimux.settings.address import parse_address
from wasabimux.settings.process import RelaySettings

START_TIMEOUT_S = 60.0
STOP_TIMEOUT_S = 30.0

#: Time in s after the fifth crash in which relays may learn of a part that crashes
#: engines, and requests with it that may be sent afterwards, as the rules state.
STABLE_WINDOW_S = 3.0
MAX_SENT_AFTERWARDS = 3

TOKEN_HEADERS = {"wasabimux_token_count": "100,60"}


class RelayProcess:
    """A relay in a separate process.

    Args:
        settings: Settings of the relay.
        directory: Directory for the settings file and the log.
        program: Module of the command line, and arguments before its own.
    """

    def __init__(
        self,
        settings: RelaySettings,
        directory: Path,
        program: Sequence[str] = ("wasabimux.cli.daemon",),
    ) -> None:
        self._program = program
        self.http_address = parse_address(settings.callers)
        self._log_path = directory / f"{settings.instance}.log"
        self._settings_path = directory / f"{settings.instance}.json"
        self._settings_path.write_text(settings.model_dump_json(exclude_none=True))
        self._process: subprocess.Popen[bytes] | None = None

    @property
    def pid(self) -> int:
        """Id of the process."""
        assert self._process is not None
        return self._process.pid

    @property
    def is_running(self) -> bool:
        """True while the process runs."""
        return self._process is not None and self._process.poll() is None

    def start(self) -> None:
        """Starts the process."""
        arguments = ["-m", *self._program, "relay", str(self._settings_path)]
        with self._log_path.open("ab") as output:
            self._process = subprocess.Popen(
                [sys.executable, *arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"},
            )

    def send_signal(self, signal_number: signal.Signals) -> None:
        """Sends a signal to the process."""
        assert self._process is not None
        self._process.send_signal(signal_number)

    async def wait(self) -> int:
        """Waits until the process exits and returns its exit code."""
        assert self._process is not None
        return await asyncio.to_thread(self._process.wait, STOP_TIMEOUT_S)

    def kill(self) -> None:
        """Kills the process if it was started."""
        if self._process is not None:
            self._process.kill()
            self._process.wait(STOP_TIMEOUT_S)

    def read_log(self) -> str:
        """Returns the output of the process since its first start."""
        return self._log_path.read_text()


class ProcessCluster(NamedTuple):
    """A store and runners in this process, and relays in separate ones."""

    store: StandInStore
    runners: dict[str, StandInRunner]
    relays: list[RelayProcess]


@pytest_asyncio.fixture
async def cluster(tmp_path: Path) -> AsyncGenerator[ProcessCluster, None]:
    """Two relays, an upstream without an engine and three engines, ready to serve."""
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
            await store.put("servers", runner.id, runner.store_entry())
        await store.put("config", "main", desired_state())
        relays = []
        for index in range(2):
            settings = relay_settings(f"relay-{index}", address)
            relay = RelayProcess(settings.model_copy(update={"grace_s": 8.0}), tmp_path)
            relay.start()
            stack.callback(relay.kill)
            relays.append(relay)
        for relay in relays:
            await wait_until_serving(relay)
        yield ProcessCluster(store, {runner.id: runner for runner in runners}, relays)


async def wait_until_serving(relay: RelayProcess) -> None:
    """Waits until a relay serves plain requests and streams."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while not (
            await plain_status(relay, "/safe/1") == await stream_status(relay) == 200
        ):
            await asyncio.sleep(0.1)


async def plain_status(relay: RelayProcess, path: str) -> int:
    """Returns the status of a plain request, 0 if the relay is unreachable."""
    try:
        async with await send_request(relay.http_address, path, "probe") as response:
            await response.body()
            return response.status
    except (OSError, UpstreamLost):
        return 0


async def stream_status(relay: RelayProcess, *parts: str) -> int:
    """Returns the status of a stream, 0 if the relay is unreachable.

    Args:
        relay: The relay.
        *parts: Parts of the prompt.
    """
    headers = TOKEN_HEADERS
    if parts:
        prefix = ",".join(f"{part}:50" for part in parts)
        headers = headers | {"wasabimux_prompt_prefix": prefix}
    try:
        async with await send_request(
            relay.http_address, "/gen/1", "probe", **headers
        ) as response:
            await response.body()
            return response.status
    except (OSError, UpstreamLost):
        return 0


def complete_stream() -> bytes:
    """Returns the complete body of a stream that the stand-ins serve."""
    return b"".join(
        f"id: {index}\ndata: token-{index}\n\n".encode() for index in range(1, 101)
    )


async def test_stream_completes_when_its_relay_receives_sigterm(
    cluster: ProcessCluster,
) -> None:
    relay = cluster.relays[0]
    async with await send_request(
        relay.http_address, "/gen/1", "kept", **TOKEN_HEADERS
    ) as response:
        relay.send_signal(signal.SIGTERM)
        assert await response.body() == complete_stream()
    assert await relay.wait() == 0
    assert "event=drained" in relay.read_log()
    assert await plain_status(cluster.relays[1], "/unsafe/1") == 200


async def test_killing_a_relay_cancels_its_runs_and_others_keep_serving(
    cluster: ProcessCluster,
) -> None:
    relay, other = cluster.relays
    response = await send_request(relay.http_address, "/gen/1", "cut", **TOKEN_HEADERS)
    relay.send_signal(signal.SIGKILL)
    await relay.wait()
    response.close()
    cancelled_runs = [
        run
        for runner in cluster.runners.values()
        for run in runner.runs
        if run.request_id == "cut"
    ]
    async with asyncio.timeout(START_TIMEOUT_S):
        while await stream_status(other) != 200:
            await asyncio.sleep(0.1)
    assert [run.completed for run in cancelled_runs] == [False]
    relay.start()
    await wait_until_serving(relay)


async def test_stream_completes_when_its_relay_rereads_settings(
    cluster: ProcessCluster,
) -> None:
    relay = cluster.relays[0]
    async with await send_request(
        relay.http_address, "/gen/1", "kept", **TOKEN_HEADERS
    ) as response:
        relay.send_signal(signal.SIGHUP)
        assert await response.body() == complete_stream()
    assert "event=settings_read" in relay.read_log()


async def test_stream_completes_after_its_relay_was_paused(
    cluster: ProcessCluster,
) -> None:
    """The stream waits in the engine's connection; no event is lost or repeated."""
    relay = cluster.relays[0]
    async with await send_request(
        relay.http_address, "/gen/1", "paused", **TOKEN_HEADERS
    ) as response:
        relay.send_signal(signal.SIGSTOP)
        await asyncio.sleep(0.5)
        assert await plain_status(cluster.relays[1], "/unsafe/1") == 200
        relay.send_signal(signal.SIGCONT)
        assert await response.body() == complete_stream()


async def test_part_that_crashes_engines_is_refused_though_relays_are_killed_and_paused(
    cluster: ProcessCluster,
) -> None:
    first, second = cluster.relays
    engines = [cluster.runners[name] for name in ("dec-1", "dec-2")]
    for engine in engines:
        engine.faults.crashing_part = "bad0"

    async def send_with_part() -> None:
        for number in range(6):
            await stream_status(
                cluster.relays[number % 2], "5a5a", "bad0", f"c{number}"
            )
            await asyncio.sleep(0.2)

    async with restarted_after_crashes(cluster.store, engines, 0.3):
        await send_with_part()
        await asyncio.sleep(STABLE_WINDOW_S)
        known = count_with_part(engines)
        first.send_signal(signal.SIGKILL)
        await first.wait()
        first.start()
        await wait_until_serving(first)
        await send_with_part()
        second.send_signal(signal.SIGSTOP)
        await asyncio.sleep(1.0)
        second.send_signal(signal.SIGCONT)
        await send_with_part()
        for relay in cluster.relays:
            relay.send_signal(signal.SIGKILL)
            await relay.wait()
            relay.start()
        for relay in cluster.relays:
            await wait_until_serving(relay)
        await send_with_part()
        for number, relay in enumerate(cluster.relays):
            assert await stream_status(relay, "5a5a", f"d{number}") == 200
    assert known >= 3
    assert count_with_part(engines) - known <= MAX_SENT_AFTERWARDS


def count_with_part(engines: Sequence[StandInRunner]) -> int:
    """Returns how many requests with the part have reached engines."""
    headers = [run.headers for engine in engines for run in engine.runs]
    return sum(b"bad0" in item.get(b"wasabimux-prompt-prefix", b"") for item in headers)
