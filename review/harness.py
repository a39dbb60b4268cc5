"""Runs relays as separate processes between stand-ins, for the scripts of this folder.

The relays are started with the command and the settings template of the deploy file.
The store, the runners and the clients are stand-ins in the process of the script.
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import re
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import h11

from wasabimux.adapters.http_server import HttpResponse
from wasabimux.platform import headers as header_names
from wasabimux.platform.standins.runner import StandInRunner
from wasabimux.platform.standins.store import StandInStore

REPOSITORY = Path(__file__).resolve().parent.parent

#: Exit codes of a script.
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2

#: Longest time in s that a script runs.
SCRIPT_TIMEOUT_S = 112.0

#: Longest time in s until all relays serve.
START_TIMEOUT_S = 30.0

#: Time in s after which the keep-alive probes of the relays end a silent channel: one
#: second without data and two probes a second apart.
KEEPALIVE_S = 3.0

#: Ports of a relay: clients, readiness, peers, and the admin port of the template.
RELAY_PORTS = (8360, 8365, 7500, 9464)
MAX_RELAYS = 8
MAX_NETWORK_TRIES = 50

#: Size of the pieces in which clients send a body.
PIECE_BYTES = 50_000

API_KEY = "key-of-ropes"
HOST = "desk.example"

#: Bounds of the small deployment, as its sheet states them.
BOUNDS = {
    "stableWindowMs": 3000,
    "drainMs": 2000,
    "graceS": 8,
    "configApplyMs": 2000,
    "retryBudgetRatio": 0.2,
    "budgetWindowS": 10,
    "budgetExtra": 58,
    "quotaWindowS": 8,
    "quotaOverage": 0.1,
    "quotaSlack": 120000,
    "leaseMs": 3000,
}

PLACEHOLDER = re.compile(r"\{\{([\w.]+)\}\}")


class CannotRun(Exception):
    """The case could not be run."""


class Record:
    """Writes what was sent, answered and run; times are in s since its start."""

    def __init__(self, path: Path) -> None:
        self._file = path.open("w")
        self._started_s = time.monotonic()

    def now(self) -> float:
        """Returns the time in s since the start."""
        return time.monotonic() - self._started_s

    def write(self, text: str, at_s: float | None = None) -> None:
        """Writes a line with a time, by default the present one."""
        self._file.write(f"{self.now() if at_s is None else at_s:9.3f} {text}\n")

    def close(self) -> None:
        """Closes the file."""
        self._file.close()


class Runner(StandInRunner):
    """A runner that records when requests begin to run, and can leave the network."""

    def __init__(self, record: Record, *args: Any, **kwargs: Any) -> None:
        super().__init__(*args, **kwargs)
        self.record = record
        self.arrivals: list[tuple[float, str]] = []
        self.born_ms = int(time.time() * 1000)

    def store_entry(self, state: str = "ready", **fields: Any) -> dict[str, Any]:
        """Returns the entry of the runner, with its start."""
        return super().store_entry(state, **({"born": self.born_ms} | fields))

    def leave(self) -> None:
        """Ends the runner's process: its channels are reset and new ones refused."""
        self.record.write(f"runner {self.id} has exited")
        self.crash()

    async def _run(self, headers: dict[bytes, bytes], body: bytes) -> HttpResponse:
        request_id = headers[header_names.REQUEST_ID].decode()
        self.arrivals.append((self.record.now(), request_id))
        self.record.write(f"run runner={self.id} request={request_id}")
        return await super()._run(headers, body)


class ChannelProxy:
    """Forwards channels of one machine to an address; can make them go silent.

    Attributes:
        cut: True while nothing passes, on open channels and on new ones.
    """

    def __init__(self, target: str) -> None:
        host, _, port = target.rpartition(":")
        self._target = (host, int(port))
        self._server: asyncio.Server | None = None
        self._silent_before = 0
        self._channels = 0
        self._tasks: set[asyncio.Task[None]] = set()
        self._writers: dict[int, asyncio.StreamWriter] = {}
        self._sent_into_silence: set[int] = set()
        self.cut = False
        self.address = ""

    async def __aenter__(self) -> ChannelProxy:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._server is not None
        self._server.close()
        for task in self._tasks:
            task.cancel()

    def silence_open_channels(self) -> None:
        """Lets nothing pass any more on the channels that are open now.

        As with keep-alive probes that nobody answers, a channel on which nothing was
        sent since then ends after some seconds.
        """
        self._silent_before = self._channels
        self._sent_into_silence.clear()
        asyncio.get_running_loop().call_later(
            KEEPALIVE_S, self._end_idle_channels, self._silent_before
        )

    def _end_idle_channels(self, before: int) -> None:
        for number, writer in list(self._writers.items()):
            if number < before and number not in self._sent_into_silence:
                writer.transport.abort()

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        number = self._channels
        self._channels += 1
        try:
            upstream = await asyncio.open_connection(*self._target)
        except OSError:
            writer.transport.abort()
            return
        pumps = [
            asyncio.ensure_future(self._pump(number, reader, upstream[1])),
            asyncio.ensure_future(self._pump(number, upstream[0], writer)),
        ]
        self._tasks.update(pumps)
        self._writers[number] = writer
        try:
            await asyncio.wait(pumps)
        finally:
            del self._writers[number]
            self._tasks.difference_update(pumps)
            for end in (writer, upstream[1]):
                end.transport.abort()

    def _is_silent(self, number: int) -> bool:
        return self.cut or number < self._silent_before

    async def _pump(
        self, number: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(OSError):
            while True:
                data = await reader.read(65536)
                while self._is_silent(number) and data:
                    if number < self._silent_before:
                        self._sent_into_silence.add(number)
                        data = await reader.read(65536)  # dropped
                    else:
                        await asyncio.sleep(0.02)  # held up until the cut heals
                if not data:
                    break
                writer.write(data)
                await writer.drain()
            if not writer.is_closing():
                writer.close()


@dataclass(slots=True)
class RelayProcess:
    """A relay in a process of its own.

    Attributes:
        name: Name of the machine.
        zone: Zone of the machine.
        ip: Loopback address of the machine.
        proxy: Proxy through which it reaches the store.
        directory: Folder of its settings and its log.
    """

    name: str
    zone: str
    ip: str
    proxy: ChannelProxy
    directory: Path
    process: asyncio.subprocess.Process | None = None
    starts: int = 0

    @property
    def front(self) -> tuple[str, int]:
        """Address for clients."""
        return self.ip, 8360

    @property
    def peers(self) -> str:
        """Address for the links of other relays."""
        return f"{self.ip}:7500"

    def _settings(self, template: str) -> str:
        fields: dict[str, Any] = {
            "node": self.name,
            "zone": self.zone,
            "ip": self.ip,
            "internalPorts": [7500, 7515],
            "listen": {"front": f"{self.ip}:8360", "ready": f"{self.ip}:8365"},
            "platform": {"address": self.proxy.address},
            "bounds": BOUNDS,
        }

        def value(match: re.Match[str]) -> str:
            found: Any = fields
            for key in match[1].split("."):
                found = found[int(key)] if isinstance(found, list) else found[key]
            return str(found)

        return PLACEHOLDER.sub(value, template)

    async def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        role = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        role = role["roles"]["relay"]
        settings = self.directory / f"{self.name}.json"
        settings.write_text(self._settings((REPOSITORY / role["template"]).read_text()))
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {"PYTHONPATH": "target/deps", "WASABIMUX_BOOT": str(settings)}
        with (self.directory / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                *role["run"].split(),
                cwd=REPOSITORY,
                env=environment,
                stdin=asyncio.subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.starts += 1

    def signal(self, number: signal.Signals) -> None:
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(number)

    async def kill(self) -> None:
        """Kills the process and waits for its end."""
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def log(self) -> str:
        """Returns what the process has written."""
        return (self.directory / f"{self.name}.log").read_text(errors="replace")

    def resident_mb(self) -> float:
        """Returns the resident memory of the process in MB."""
        assert self.process is not None
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) / 1024 if found else 0.0


@dataclass(slots=True)
class Answer:
    """What a client has received.

    Attributes:
        request_id: Identity of the request.
        sent_s: Time in s at which it was sent.
        ended_s: Time in s at which the answer was complete or the channel had ended.
        status: Status, 0 without an answer.
        headers: Headers by lower-case name.
        body: What arrived of the body.
        complete: True if the answer is complete.
    """

    request_id: str
    sent_s: float
    ended_s: float = 0.0
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False


class Deployment:
    """Relays, a store and runners; a context manager that ends all of them.

    Args:
        record: Record of the case.
        directory: Temporary folder.
    """

    def __init__(self, record: Record, directory: Path) -> None:
        self.record = record
        self.store = StandInStore()
        self.relays: list[RelayProcess] = []
        self.runners: dict[str, Runner] = {}
        self._directory = directory
        self._stack = contextlib.AsyncExitStack()
        self._net = _free_network()
        self._store_address = ""
        self._numbers = iter(range(1, 1_000_000_000))

    async def __aenter__(self) -> Deployment:
        await self._stack.enter_async_context(self.store)
        self._store_address = await self.store.listen()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    async def add_relay(self, name: str, zone: str) -> RelayProcess:
        """Adds a machine with a relay, which is not started yet."""
        proxy = await self._stack.enter_async_context(ChannelProxy(self._store_address))
        ip = f"{self._net}.{len(self.relays) + 10}"
        relay = RelayProcess(name, zone, ip, proxy, self._directory)
        self._stack.push_async_callback(relay.kill)
        self.relays.append(relay)
        return relay

    async def add_runner(
        self, name: str, service: str, zone: str, **kwargs: Any
    ) -> Runner:
        """Starts a runner and registers it in the store."""
        runner = Runner(self.record, name, service, zone, **kwargs)
        await self._stack.enter_async_context(runner)
        self.runners[name] = runner
        await self.store.put("servers", name, runner.store_entry())
        return runner

    async def start(self, path: str = "/safe/start") -> None:
        """Starts all relays and waits until each of them serves and knows the others.

        Those that run are ended first.
        """
        for relay in self.relays:
            await relay.kill()
            await relay.start()
        until_s = time.monotonic() + START_TIMEOUT_S
        for relay in self.relays:
            while (await self.send(relay, path, quiet=True)).status != 200:
                if time.monotonic() > until_s:
                    raise CannotRun(
                        f"{relay.name} does not serve:\n{relay.log()[-2000:]}"
                    )
                await asyncio.sleep(0.1)
        await asyncio.sleep(4.0)

    async def send(
        self,
        relay: RelayProcess,
        path: str,
        method: str = "GET",
        body: bytes = b"",
        timeout_s: float = 5.0,
        quiet: bool = False,
        request_id: str | None = None,
        bytes_per_s: float | None = None,
        **headers: str,
    ) -> Answer:
        """Sends a request on a new channel and returns what came back.

        Args:
            relay: The relay.
            path: Target.
            method: Method.
            body: Body.
            timeout_s: Time for which the client waits.
            quiet: True to leave it out of the record.
            request_id: Identity of the request, a new one if None.
            bytes_per_s: Rate at which the body is sent, None for all at once.
            **headers: Further headers; underscores in names become hyphens.
        """
        request_id = (
            request_id or f"{random.randrange(16**8):08x}{next(self._numbers):08x}"
        )
        answer = Answer(request_id, self.record.now())
        if not quiet:
            self.record.write(
                f"sent relay={relay.name} {method} {path} request={request_id}"
            )
        with contextlib.suppress(OSError, TimeoutError, h11.RemoteProtocolError):
            async with asyncio.timeout(timeout_s):
                await self._exchange(
                    relay, method, path, body, answer, timeout_s, bytes_per_s, headers
                )
        answer.ended_s = self.record.now()
        if not quiet:
            self.record.write(
                f"answered request={request_id} status={answer.status}"
                f" complete={answer.complete} body={answer.body[:120]!r}"
            )
        return answer

    async def _exchange(
        self,
        relay: RelayProcess,
        method: str,
        path: str,
        body: bytes,
        answer: Answer,
        timeout_s: float,
        bytes_per_s: float | None,
        headers: dict[str, str],
    ) -> None:
        reader, writer = await asyncio.open_connection(*relay.front)
        try:
            sent = {
                "Host": HOST,
                "Wasabimux-Request-Id": answer.request_id,
                "Wasabimux-Deadline-Ms": str(int(timeout_s * 1000)),
                "Authorization": f"Bearer {API_KEY}",
                "Content-Length": str(len(body)),
            } | {name.replace("_", "-"): value for name, value in headers.items()}
            http = h11.Connection(h11.CLIENT)
            request = h11.Request(
                method=method, target=path, headers=list(sent.items())
            )
            writer.write(http.send(request) or b"")
            pause_s = PIECE_BYTES / bytes_per_s if bytes_per_s else 0.0
            started_s = time.monotonic()
            for number, start in enumerate(range(0, len(body), PIECE_BYTES)):
                await asyncio.sleep(started_s + number * pause_s - time.monotonic())
                piece = h11.Data(data=body[start : start + PIECE_BYTES])
                writer.write(http.send(piece) or b"")
            writer.write(http.send(h11.EndOfMessage()) or b"")
            while True:
                event = http.next_event()
                if event is h11.NEED_DATA:
                    http.receive_data(await reader.read(65536))
                elif isinstance(event, h11.Response):
                    answer.status = event.status_code
                    answer.headers = {
                        name.decode(): value.decode("latin-1")
                        for name, value in event.headers
                    }
                elif isinstance(event, h11.Data):
                    answer.body += bytes(event.data)
                elif isinstance(event, h11.EndOfMessage):
                    answer.complete = True
                    return
                elif isinstance(event, h11.ConnectionClosed):
                    return
        finally:
            writer.transport.abort()

    def runs_of(self, request_id: str) -> list[tuple[float, str]]:
        """Returns the times at which a request began to run, and the runners."""
        return [
            (at_s, runner.id)
            for runner in self.runners.values()
            for at_s, run_id in runner.arrivals
            if run_id == request_id
        ]


class Load:
    """Requests that are sent to a relay at a steady rate; a context manager.

    Attributes:
        answers: What came back, by request. Those under way have no status yet.
    """

    def __init__(
        self,
        deployment: Deployment,
        relay: RelayProcess,
        interval_s: float,
        path: str = "/unsafe/1",
        method: str = "POST",
        body: bytes = b"order",
        **options: Any,
    ) -> None:
        self.relay = relay
        self.answers: dict[str, Answer] = {}
        self._deployment = deployment
        self._interval_s = interval_s
        self._request = {"path": path, "method": method, "body": body} | options
        self._tasks: set[asyncio.Task[None]] = set()
        self._sender: asyncio.Task[None] | None = None

    async def __aenter__(self) -> Load:
        self._sender = asyncio.ensure_future(self._send_all())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._sender is not None
        self._sender.cancel()
        await asyncio.wait({self._sender, *self._tasks})

    async def _send_all(self) -> None:
        while True:
            task = asyncio.ensure_future(self._send())
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._interval_s)

    async def _send(self) -> None:
        request_id = f"{random.randrange(16**8):08x}{len(self.answers):08x}"
        self.answers[request_id] = Answer(request_id, self._deployment.record.now())
        answer = await self._deployment.send(
            self.relay, request_id=request_id, **self._request
        )
        self.answers[request_id] = answer


def desired_state(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Returns a desired state with a route of each kind."""
    route = {"host": HOST, "targetLatencyMs": 400, "priority": 1, "maxAttempts": 2}
    stream = route | {"kind": "stream", "timeoutMs": 14_000, "service": "engines"}
    engine = {"slots": 16, "kvCapacityTokens": 80_000, "kvTokenBytes": 1, "stride": 10}
    engine |= {"kvRetentionS": 0.5, "roleSwitchS": 1.0, "holdMs": 2_000}
    plain = {"healthPath": "/health", "maxConnections": 110}
    state: dict[str, Any] = {
        "version": version,
        "routes": [
            route
            | {"name": "safe", "pathPrefix": "/safe/", "kind": "safe"}
            | {"service": "desk", "timeoutMs": 2_000},
            route
            | {"name": "unsafe", "pathPrefix": "/unsafe/", "kind": "unsafe"}
            | {"service": "desk", "timeoutMs": 800, "maxAttempts": 1},
            stream | {"name": "gen", "pathPrefix": "/gen/", "resumable": True},
            stream | {"name": "once", "pathPrefix": "/once/", "maxAttempts": 1},
        ],
        "services": [
            plain | {"name": "engines", "engine": engine},
            plain | {"name": "desk"},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 4_194_304,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": "ropes", "apiKeys": [API_KEY], "unit": "token_stream"}],
    }
    return state | changes


def _free_network() -> str:
    """Returns the first three parts of loopback addresses whose ports are free.

    Raises:
        CannotRun: None was found.
    """
    for _ in range(MAX_NETWORK_TRIES):
        network = f"127.{random.randint(16, 250)}.{random.randint(0, 250)}"
        hosts = (f"{network}.{10 + index}" for index in range(MAX_RELAYS))
        if all(_is_free(host, port) for host in hosts for port in RELAY_PORTS):
            return network
    raise CannotRun("no loopback addresses with free ports")


def _is_free(host: str, port: int) -> bool:
    with socket.socket() as listener:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            listener.bind((host, port))
        except OSError:
            return False
    return True


Case = Callable[[Deployment, bool], Awaitable[bool]]


def run_case(case: Case, folder: Path) -> None:
    """Runs a case and exits with 1 if the rule was broken, 0 if not, 2 if it can't run.

    Args:
        case: Returns whether the rule held; gets whether there is a disruption.
        folder: Folder of the case.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(folder / "record.txt")
    record.write(f"start trouble={int(trouble)}")

    async def run() -> bool:
        async with asyncio.timeout(SCRIPT_TIMEOUT_S):
            with tempfile.TemporaryDirectory(ignore_cleanup_errors=True) as directory:
                async with Deployment(record, Path(directory)) as deployment:
                    try:
                        return await case(deployment, trouble)
                    finally:
                        keep = os.environ.get("REVIEW_LOGS")
                        for relay in deployment.relays if keep else []:
                            Path(keep or ".", f"{relay.name}.log").write_text(
                                relay.log()
                            )

    # A script that is stopped ends its processes as well.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError, KeyboardInterrupt) as error:
        record.write(f"could not run: {error!r}")
        record.close()
        traceback.print_exc()
        print(f"could not run: {error!r}", file=sys.stderr)
        sys.exit(COULD_NOT_RUN)
    record.write("rule held" if held else "RULE BROKEN")
    record.close()
    print("rule held" if held else "rule broken")
    sys.exit(HELD if held else BROKEN)
