"""Processes whose output nobody reads."""

from __future__ import annotations

import asyncio
import contextlib
import logging
import os
import signal
import subprocess
import sys
import time
from collections.abc import AsyncGenerator, Callable, Iterator
from pathlib import Path
from typing import Any, NamedTuple

import pytest

from tests.client import authorization, completion_body, send
from tests.relay_fixtures import desired_state, relay_settings, send_request
from wasabimux.adapters.http_client import HttpClient
from wasabimux.adapters.log_writer import MAX_BURST_LINES, MAX_LINES_PER_S, LogWriter
from wasabimux.platform.standins.runner import StandInRunner
from wasabimux.platform.standins.store import StandInStore
from wasabimux.ports import UpstreamLost
from wasabimux.settings.address import parse_address
from wasabimux.settings.check import check_fleet
from wasabimux.standins.laptop import AddressAllocator, Layout, LocalFleet

START_TIMEOUT_S = 60.0

#: Longest time in s for a stop of a process that has no work.
STOP_TIMEOUT_S = 10.0

#: Requests that a process has to answer while nobody reads its output.
REQUESTS = 50

#: Lines beyond those that a writer takes at once, and lines written before the end.
DROPPED_LINES = 500
LAST_LINES = 1_000

#: Longest time in s for the end of a writer.
END_TIMEOUT_S = 2.0

#: Chunks of a body of one byte each, for which a process logs a warning.
SMALL_CHUNKS = 20_000

UPSTREAM_IDS = ("prefill-a1", "decode-a1", "orders-a1")

EXAMPLE = Path(__file__).parent.parent / "examples" / "brazos.json"


class Pipe(NamedTuple):
    """A pipe that is full.

    Attributes:
        reader: File number of its end to read from.
        writer: File number of its end to write to.
    """

    reader: int
    writer: int


@pytest.fixture
def pipe() -> Iterator[Pipe]:
    """A pipe that nobody reads and that takes nothing more."""
    reader, writer = os.pipe()
    os.set_blocking(writer, False)
    with contextlib.suppress(BlockingIOError):
        while True:
            os.write(writer, b"x" * 4_096)
    os.set_blocking(writer, True)
    yield Pipe(reader, writer)
    os.close(reader)
    os.close(writer)


@contextlib.contextmanager
def daemon(
    arguments: list[str], output: int, errors: int
) -> Iterator[subprocess.Popen[bytes]]:
    """Runs a daemon, which is killed at the end.

    Args:
        arguments: Arguments of the Python interpreter.
        output: File number of its standard output.
        errors: File number of its standard error.
    """
    process = subprocess.Popen(
        [sys.executable, *arguments],
        stdin=subprocess.DEVNULL,
        stdout=output,
        stderr=errors,
        env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"},
    )
    try:
        yield process
    finally:
        process.kill()
        process.wait()


async def exit_code(process: subprocess.Popen[bytes]) -> int:
    """Stops a process as the platform does, and returns its exit code."""
    process.send_signal(signal.SIGTERM)
    return await asyncio.to_thread(process.wait, STOP_TIMEOUT_S)


async def fetch(address: str, path: str, key: str, body: bytes | None = None) -> int:
    """Returns the status of the answer of an entry, 0 without one."""
    method = "GET" if body is None else "POST"
    try:
        async with HttpClient(*parse_address(address)) as client:
            answer = await send(client, method, path, authorization(key), body or b"")
    except (OSError, UpstreamLost):
        return 0
    return answer.status


async def complete(address: str) -> int:
    """Returns the status of a completion."""
    return await fetch(address, "/v1/completions", "rope-yard", completion_body())


async def get_order(address: str) -> int:
    """Returns the status of a call of a service."""
    return await fetch(address, "/orders/1", "order-desk")


async def wait_until_served(address: str) -> None:
    """Waits until an entry answers."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while await complete(address) != 200 or await get_order(address) != 200:
            await asyncio.sleep(0.1)


async def answers(address: str) -> list[int]:
    """Returns the status of each answer under load."""
    async with asyncio.timeout(START_TIMEOUT_S):
        calls = [get_order(address) for _ in range(REQUESTS)]
        return [*await asyncio.gather(*calls), await complete(address)]


@pytest.mark.parametrize("name", ["entry-1", "agent-orders-a1", "agent-decode-a1"])
async def test_entry_and_agent_whose_output_nobody_reads_serve_and_end(
    name: str, brazos_document: dict[str, Any], tmp_path: Path, pipe: Pipe
) -> None:
    """Regression: a line that standard error did not take held the process."""
    brazos_document["upstreams"] = [
        item for item in brazos_document["upstreams"] if item["id"] in UPSTREAM_IDS
    ]
    fleet = check_fleet(brazos_document).ok
    layout = Layout(fleet, tmp_path, AddressAllocator(None), entries=1)
    (command,) = (item for item in layout.commands if item.name == name)
    layout.commands.remove(command)
    with LocalFleet(layout), daemon(command.arguments, *2 * [pipe.writer]) as process:
        (address,) = layout.entry_addresses
        await wait_until_served(address)
        assert await answers(address) == [200] * (REQUESTS + 1)
        assert await exit_code(process) == 0


async def test_embedded_fleet_whose_output_nobody_reads_serves_and_ends(
    pipe: Pipe,
) -> None:
    """Regression: a line that standard error did not take held the process."""
    ports = AddressAllocator(None)
    addresses = [ports.allocate() for _ in range(3)]
    numbers = [address.rpartition(":")[2] for address in addresses]
    names = ["--port", "--admin-port", "--platform-port"]
    options = [item for pair in zip(names, numbers) for item in pair]
    arguments = ["-m", "wasabimux.cli.daemon", "embedded", str(EXAMPLE), *options]
    with daemon(arguments, subprocess.DEVNULL, pipe.writer) as process:
        await wait_until_served(addresses[0])
        await send_small_chunks(addresses[0])
        assert await answers(addresses[0]) == [200] * (REQUESTS + 1)
        assert await exit_code(process) == 0


async def send_small_chunks(address: str) -> None:
    """Sends a body in small chunks, for which a warning is logged."""
    reader, writer = await asyncio.open_connection(*parse_address(address))
    head = "POST /orders/1 HTTP/1.1\r\nhost: a\r\nauthorization: Bearer {}\r\n"
    key = dict(authorization("order-desk"))[b"authorization"].decode()
    lines = head.format(key.removeprefix("Bearer ")) + "transfer-encoding: chunked"
    writer.write(lines.encode() + b"\r\n\r\n" + b"1\r\nx\r\n" * SMALL_CHUNKS)
    writer.write(b"0\r\n\r\n")
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(2.0):
            await reader.readline()
    writer.close()


@contextlib.asynccontextmanager
async def store_and_runner() -> AsyncGenerator[str, None]:
    """Runs a store and an upstream of plain calls; yields the store's address."""
    async with StandInStore() as store, StandInRunner("desk-1", "desk") as runner:
        address = await store.listen()
        await store.put("servers", runner.id, runner.store_entry())
        await store.put("config", "main", desired_state())
        yield address


async def test_relay_whose_output_nobody_reads_serves_and_ends(
    tmp_path: Path, pipe: Pipe
) -> None:
    async with store_and_runner() as store_address:
        settings = relay_settings("relay-0", store_address)
        path = tmp_path / "relay.json"
        path.write_text(settings.model_dump_json(exclude_none=True))
        arguments = ["-m", "wasabimux.cli.daemon", "relay", str(path)]
        with daemon(arguments, pipe.writer, pipe.writer) as process:
            address = parse_address(settings.callers)
            await wait_until(lambda: call(address, 0))
            for number in range(1, REQUESTS):
                assert await call(address, number)
            assert await exit_code(process) == 0


async def call(address: tuple[str, int], number: int) -> bool:
    """Makes a plain call at a relay; returns whether it is served."""
    try:
        async with await send_request(address, "/safe/1", f"r{number}") as response:
            await response.body()
            return response.status == 200
    except (OSError, UpstreamLost):
        return False


async def wait_until(condition: Callable[[], Any]) -> None:
    """Waits until a condition is true."""
    async with asyncio.timeout(START_TIMEOUT_S):
        while not await condition():
            await asyncio.sleep(0.1)


async def test_lines_that_an_output_does_not_take_are_counted_once_it_is_read(
    pipe: Pipe,
) -> None:
    records = [
        logging.makeLogRecord({"msg": f"event=line number={number}"})
        for number in range(int(MAX_BURST_LINES) + DROPPED_LINES)
    ]
    with os.fdopen(os.dup(pipe.writer), "w") as output, LogWriter(output) as writer:
        started_s = time.monotonic()
        for record in records:
            writer.handle(record)
        admitted_meanwhile = (time.monotonic() - started_s) * MAX_LINES_PER_S
        assert 0 <= DROPPED_LINES - writer.dropped_line_count <= admitted_meanwhile + 1
        text = await asyncio.to_thread(read_until, pipe.reader, b"log_lines_dropped")
    kept = len(records) - writer.dropped_line_count
    assert text.count(b"event=line") == kept
    assert b"total=%d\n" % writer.dropped_line_count in text


def read_until(file_number: int, end: bytes) -> bytes:
    """Reads until a whole line with a text has come."""
    text = b""
    while end not in text or not text.endswith(b"\n"):
        text += os.read(file_number, 65_536)
    return text


async def test_lines_before_the_end_of_a_process_are_written() -> None:
    reader, writer_number = os.pipe()
    with os.fdopen(writer_number, "w") as output:
        with LogWriter(output) as writer:
            for number in range(LAST_LINES):
                writer.handle(logging.makeLogRecord({"msg": f"event=line n={number}"}))
    text = read_until(reader, b"n=%d\n" % (LAST_LINES - 1))
    os.close(reader)
    assert text.count(b"event=line") == LAST_LINES
    assert not writer.dropped_line_count


async def test_end_of_a_writer_whose_output_takes_nothing_is_bounded(
    pipe: Pipe,
) -> None:
    with os.fdopen(os.dup(pipe.writer), "w") as output:
        started_s = time.monotonic()
        with LogWriter(output) as writer:
            writer.handle(logging.makeLogRecord({"msg": "event=line"}))
        assert time.monotonic() - started_s < END_TIMEOUT_S
        os.read(pipe.reader, 65_536)  # lets the thread end
