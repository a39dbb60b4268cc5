"""A small deployment: relays as separate processes beside stand-ins of the platform.

Relays are started with the command, the environment and the template of the deploy
file. The platform's part is played here: it ends a process that exceeds the memory of
its machine, and starts one that has ended again. Every address is a loopback address.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import random
import re
import resource
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

from wasabimux.platform.standins.runner import StandInRunner
from wasabimux.platform.standins.store import StandInStore

ROOT = Path(__file__).resolve().parents[2]
HOST = "desk.example"
API_KEY = "key-of-ropes"

#: Exit codes of a case.
HELD, BROKEN, NOT_RUN = 0, 1, 2

#: Longest time in s that a case takes.
MAX_CASE_S = 112.0

#: Time in s from the start of the machines to the disruption: after `stableWindowMs`
#: (3 s) without trouble they are in touch.
IN_TOUCH_S = 4.0

#: Delay in s before a process that has ended is started again.
RESTART_DELAY_S = 0.5

#: Interval in s between looks at the memory of processes.
MEMORY_CHECK_S = 0.02

#: Bounds of `brazos-twine-grown`, as its sheet states them.
BOUNDS = {
    "graceS": 8,
    "retryBudgetRatio": 0.2,
    "budgetExtra": 86,
    "budgetWindowS": 10,
    "quotaWindowS": 8,
    "quotaOverage": 0.1,
    "quotaSlack": 120000,
    "leaseMs": 3000,
}


class Record:
    """What was sent, answered and run, line by line in `record.txt`."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def line(self, text: str) -> None:
        """Writes a line with the time since the start of the case."""
        at_s = time.monotonic() - self._began_s
        self._file.write(f"{at_s:8.3f} s  {text}\n")
        self._file.flush()


@dataclass(slots=True)
class Answer:
    """Answer to one request."""

    status: int
    headers: dict[str, str]
    body: bytes


class RelayMachine:
    """A `front` machine with one relay process.

    Args:
        name: Name of the machine.
        zone: Its zone.
        store_address: Address of the platform's store.
        memory_mb: Memory of the machine in MB (of 2^20 bytes).
        descriptors: Descriptors of the process.
        folder: Folder for its settings and its log.
        record: Record of the case.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        store_address: str,
        memory_mb: int,
        descriptors: int,
        folder: Path,
        record: Record,
    ) -> None:
        self.name = name
        self.memory_mb = memory_mb
        self.descriptors = descriptors
        self.ip = f"127.{random.randint(1, 250)}.{random.randint(0, 250)}.{random.randint(2, 250)}"
        ports = free_ports(self.ip, 3)
        self.front = (self.ip, ports[0])
        self.ready_address = (self.ip, ports[1])
        self.process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        self.memory_ends = 0
        self.other_ends = 0
        self.peak_mb = 0.0
        self._record = record
        self._log_path = folder / f"{name}.log"
        fields: dict[str, Any] = {
            "node": name,
            "zone": zone,
            "ip": self.ip,
            "internalPorts": [ports[2], ports[2]],
            "listen": {
                "front": f"{self.ip}:{ports[0]}",
                "ready": f"{self.ip}:{ports[1]}",
            },
            "platform": {"address": store_address},
            "bounds": BOUNDS,
            "limits": {"memoryMb": memory_mb, "maxFds": descriptors},
        }
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())["roles"]["relay"]
        settings = folder / f"{name}.json"
        settings.write_text(fill((ROOT / role["template"]).read_text(), fields))
        self._command = role["run"].split()
        self._environment = {
            key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ
        }
        self._environment |= {
            key: fill(value, fields) for key, value in role["env"].items()
        }
        self._environment |= {
            "WASABIMUX_BOOT": str(settings),
            "PYTHONPATH": "target/deps",
        }

    def start(self) -> None:
        """Starts the process."""
        self.starts += 1
        descriptors = self.descriptors

        def limit_descriptors() -> None:
            _, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
            resource.setrlimit(resource.RLIMIT_NOFILE, (descriptors, hard))

        with self._log_path.open("ab") as log:
            self.process = subprocess.Popen(
                self._command,
                cwd=ROOT,
                env=self._environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                preexec_fn=limit_descriptors,
            )
        self._record.line(f"{self.name}: process {self.starts} started at {self.ip}")

    def stop(self) -> None:
        """Ends the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def keep(self) -> None:
        """Plays the platform: ends it over its memory, starts it again if it ended."""
        while True:
            await asyncio.sleep(MEMORY_CHECK_S)
            assert self.process is not None
            code = self.process.poll()
            if code is None:
                used_mb = anonymous_mb(self.process.pid)
                self.peak_mb = max(self.peak_mb, used_mb)
                if used_mb <= self.memory_mb:
                    continue
                self.stop()
                self.memory_ends += 1
                self._record.line(
                    f"{self.name}: killed by the platform, as it holds {used_mb:.0f} MB"
                    f" of {self.memory_mb} MB (end {self.memory_ends})"
                )
            else:
                self.other_ends += 1
                self._record.line(f"{self.name}: ended by itself with code {code}")
            await asyncio.sleep(RESTART_DELAY_S)
            self.start()

    async def is_ready(self) -> bool:
        """Asks whether the process is ready, as the platform does."""
        try:
            answer = await request(self.ready_address, "GET", "/v1/ready", {}, timeout_s=1)
        except (OSError, EOFError, TimeoutError):
            return False
        return answer.status == 200

    async def wait_until_ready(self, timeout_s: float = 15.0) -> None:
        """Waits until the process is ready.

        Raises:
            TimeoutError: It is not within the time.
        """
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                await asyncio.sleep(0.05)


@dataclass(slots=True)
class Deployment:
    """The platform's store, runners, and machines with relays."""

    store: StandInStore
    runners: list[StandInRunner]
    machines: list[RelayMachine]
    record: Record
    tasks: list[asyncio.Task[None]] = field(default_factory=list)


@contextlib.asynccontextmanager
async def deployment(
    record: Record,
    runners: list[StandInRunner],
    state: dict[str, Any],
    machines: int = 2,
    memory_mb: int = 128,
    descriptors: int = 4100,
    make_store: Callable[[], StandInStore] = StandInStore,
) -> AsyncGenerator[Deployment, None]:
    """Runs a deployment whose relays are all ready; ends all processes at its exit."""
    async with contextlib.AsyncExitStack() as stack:
        folder = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        store = await stack.enter_async_context(make_store())
        address = await store.listen()
        for runner in runners:
            await stack.enter_async_context(runner)
            entry = runner.store_entry(born=int(time.time() * 1000))
            await store.put("servers", runner.id, entry)
        await store.put("config", "main", state)
        found = Deployment(store, runners, [], record)
        for number in range(machines):
            machine = RelayMachine(
                f"front-{number + 1}",
                f"zone-{'ab'[number % 2]}",
                address,
                memory_mb,
                descriptors,
                folder,
                record,
            )
            stack.callback(machine.stop)
            machine.start()
            found.machines.append(machine)
        in_touch_s = time.monotonic() + IN_TOUCH_S
        try:
            for machine in found.machines:
                await machine.wait_until_ready()
                found.tasks.append(asyncio.ensure_future(machine.keep()))
            await asyncio.sleep(in_touch_s - time.monotonic())
            yield found
        finally:
            for task in found.tasks:
                task.cancel()
            await asyncio.gather(*found.tasks, return_exceptions=True)


def desired_state(**changes: Any) -> dict[str, Any]:
    """Returns a desired state with a plain service and a service of engines."""
    route = {"host": HOST, "targetLatencyMs": 900, "priority": 1, "public": False}
    engine = {"slots": 64, "kvCapacityTokens": 76160, "kvTokenBytes": 163840}
    engine |= {"kvRetentionS": 0.5, "roleSwitchS": 6.0, "holdMs": 2000, "stride": 10}
    plain = {"healthPath": "/health", "maxConnections": 460}
    stream = route | {"service": "llm-loom", "kind": "stream", "timeoutMs": 14000}
    stream |= {"targetGapMs": 300, "sessionAffinity": True}
    state: dict[str, Any] = {
        "version": 1,
        "routes": [
            route
            | {"name": "stock-check", "pathPrefix": "/stock/", "kind": "safe"}
            | {"service": "yard-desk", "timeoutMs": 1534, "maxAttempts": 2},
            route
            | {"name": "order-post", "pathPrefix": "/orders/", "kind": "unsafe"}
            | {"service": "yard-desk", "timeoutMs": 1534, "maxAttempts": 1},
            stream
            | {"name": "spec-summary", "pathPrefix": "/spec/", "maxAttempts": 1}
            | {"resumable": False},
            stream
            | {"name": "batch-digest", "pathPrefix": "/batch/", "maxAttempts": 2}
            | {"resumable": True},
        ],
        "services": [
            plain | {"name": "llm-loom", "engine": engine},
            plain | {"name": "yard-desk", "maxConnections": 200},
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "mill", "apiKeys": [API_KEY], "unit": "token_stream", "priority": 1}
            | {"uncachedTokens": 200, "ratePerS": 0, "burst": 0}
        ],
    }
    return state | changes


async def request(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b"",
    timeout_s: float = 5.0,
) -> Answer:
    """Sends a request on a new channel and returns its whole answer.

    Raises:
        OSError, EOFError: There is none.
        TimeoutError: There is none in time.
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            writer.write(head(method, target, headers, len(body)) + body)
            return await read_answer(reader)
        finally:
            writer.close()


def head(method: str, target: str, headers: dict[str, str], length: int = 0) -> bytes:
    """Returns the head of a request."""
    lines = [f"{method} {target} HTTP/1.1", f"Host: {HOST}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads an answer that has a length.

    Raises:
        EOFError: The channel ended before it.
    """
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = raw.split("\r\n")
    pairs = [line.partition(":") for line in lines if line]
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return Answer(int(first.split()[1]), headers, body)


async def order_is_served(machine: RelayMachine, number: int) -> bool:
    """Returns whether an ordinary order of a client is served by a machine."""
    headers = {
        "Wasabimux-Request-Id": f"order{number:011x}",
        "Wasabimux-Deadline-Ms": "1500",
        "Authorization": f"Bearer {API_KEY}",
    }
    for _ in range(3):
        try:
            answer = await request(machine.front, "POST", "/orders/1", headers, b"x" * 80)
        except (OSError, EOFError, TimeoutError):
            return False
        if answer.status == 200:
            return "wasabimux-response-signature" in answer.headers
        await asyncio.sleep(0.5)
    return False


def judge_ends(machines: list[RelayMachine], record: Record) -> int:
    """Judges the rule `Fault`: processes that end by themselves, memory included.

    It is broken if on a tenth of the machines, two at least, processes end three times.
    """
    for machine in machines:
        record.line(
            f"{machine.name}: ended over its memory {machine.memory_ends} times,"
            f" otherwise {machine.other_ends} times; at most {machine.peak_mb:.0f} MB"
            f" of {machine.memory_mb} MB"
        )
    ended = [item for item in machines if item.memory_ends + item.other_ends >= 3]
    is_broken = len(ended) >= max(2, len(machines) / 10)
    record.line(f"rule Fault: {'broken' if is_broken else 'held'}")
    return BROKEN if is_broken else HELD


def run_case(case: Callable[[Record, bool], Awaitable[int]], folder: Path) -> None:
    """Runs a case and exits with its result; TROUBLE=0 leaves the disruption out."""
    signal.signal(signal.SIGTERM, signal.default_int_handler)  # ends what was started
    logging.disable(logging.WARNING)  # what stand-ins log as their peers are killed
    record = Record(folder / "record.txt")
    with_trouble = os.environ.get("TROUBLE", "1") != "0"
    record.line(f"disruption: {'yes' if with_trouble else 'no'}")
    result = NOT_RUN
    try:
        result = asyncio.run(_bounded(case, record, with_trouble))
    except (Exception, KeyboardInterrupt) as error:  # the case could not run
        record.line(f"not run: {error!r}")
    record.line(f"exit {result}")
    sys.exit(result)


async def _bounded(
    case: Callable[[Record, bool], Awaitable[int]], record: Record, with_trouble: bool
) -> int:
    async with asyncio.timeout(MAX_CASE_S):
        return await case(record, with_trouble)


def anonymous_mb(process_id: int) -> float:
    """Returns the memory in MB that a process holds for itself, without files."""
    try:
        status = Path(f"/proc/{process_id}/status").read_text()
    except OSError:
        return 0.0
    found = re.search(r"RssAnon:\s+(\d+) kB", status)
    return int(found[1]) / 1024 if found else 0.0


def check_descriptors(count: int) -> None:
    """Checks that this process may open so many channels beside its files.

    Raises:
        RuntimeError: It may not, so that the case cannot run.
    """
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < count + 200:
        raise RuntimeError(f"{count} channels are needed, {soft} descriptors allowed")


def free_ports(ip: str, count: int) -> list[int]:
    """Returns ports of an address that are free; that of the metrics has to be, too."""
    with contextlib.ExitStack() as stack:
        ports = [9464] + [0] * count
        found = []
        for port in ports:
            item = stack.enter_context(socket.socket())
            item.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            item.bind((ip, port))
            found.append(item.getsockname()[1])
        return found[1:]


def fill(template: str, fields: dict[str, Any]) -> str:
    """Fills in the placeholders of a template, as far as the deploy file uses them."""

    def value_of(match: re.Match[str]) -> str:
        value: Any = fields
        for part in match[1].split("."):
            if isinstance(value, list):
                value = value[int(part)]
            else:
                value = value.get(part, "") if isinstance(value, dict) else ""
        return str(value)

    return re.sub(r"\{\{([A-Za-z0-9.]+)\}\}", value_of, template)
