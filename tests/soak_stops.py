"""Seeded soak of planned stops of relays, beside clients that read slowly.

Usage: python -m tests.soak_stops SEED [SEEDS]

Relays run as processes with small send buffers, so that an answer that is lost on a
long way is lost here. Checked is what clients and runners have seen.
"""

from __future__ import annotations

import asyncio
import contextlib
import random
import signal
import sys
import tempfile
from collections import Counter
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from pathlib import Path
from typing import NamedTuple

from tests.relay_fixtures import desired_state, relay_settings
from tests.soak_clients import (
    BUFFER_BYTES,
    DEADLINE_MS,
    EVENT_INTERVAL_S,
    REPEATABLE_ROUTES,
    STREAM_ROUTES,
    Proxy,
    Request,
    SoakClient,
    SoakRunner,
    Work,
    connect,
)
from tests.test_relay_processes import RelayProcess, wait_until_serving
from wasabimux._clock import loop_time
from wasabimux.platform.standins.store import StandInStore

#: Time in s in which clients begin requests and stops begin.
PLAY_S = 6.0
STOPS_S = 4.5

CLIENTS = 14

#: Routes of the requests of a seed.
ROUTES = (("safe", "unsafe"), ("safe", "unsafe", "gen"), ("gen", "once", "unsafe"))

#: Graces that are drawn, in s.
GRACES_S = (5.0, 8.0)

#: Time in s beyond its grace after which a stop counts as too long. It is long, as the
#: machine may be busy; the longest stop is printed.
STOP_SLACK_S = 4.0

#: Part of the grace in whose rest a runner may be cut, for requests sent up to
#: SENT_AFTER_TERM_S after the SIGTERM.
CUT_AFTER_GRACE = 5 / 6
SENT_AFTER_TERM_S = 3.0

#: Time in s after which a request that is read and neither run nor answered is lost.
UNANSWERED_S = 3.0

#: Time in s after which a request that crosses a close is shown as late.
LOSS_SLACK_S = 0.2

#: Least time in s that a stream had left when its client left, for the rule GONE.
LEFT_EARLY_S = 1.5
MIN_LEFT_EARLY = 4

READY_TIMEOUT_S = 30.0

#: What a relay says whose port another program has taken.
PORT_TAKEN = "address already in use"

PROMISES = (408, 421, 429, 503)
LOG_LINES = 150


class Stop(NamedTuple):
    """A planned stop: its time in s, the relay, and what follows its end.

    Attributes:
        restarts: True if the relay starts again.
        stops_again_s: Time in s after it accepts connections again until it is stopped
            once more, None if it is not.
    """

    at_s: float
    relay: int
    restarts: bool
    stops_again_s: float | None


class Plan(NamedTuple):
    """What is drawn from a seed, beside the choices of the clients."""

    relays: int
    grace_s: float
    stops: list[Stop]
    rereads: list[tuple[float, int]]
    routes: tuple[str, ...]


@dataclass(slots=True)
class Life:
    """A process of a relay, from its SIGTERM on; loop times in s."""

    term_s: float
    exited_s: float = 0.0
    exit_code: int | None = None


@dataclass(slots=True)
class SoakRelay:
    """A relay that is stopped and started again, with a proxy on the way to it."""

    process: RelayProcess
    proxy: Proxy
    running: bool = True
    lives: list[Life] = field(default_factory=list)

    @property
    def port(self) -> int:
        """Port for clients."""
        return self.process.http_address[1]

    async def stop(self) -> None:
        """Stops the process and waits for its end, if it runs."""
        if not self.running:
            return
        self.running = False
        life = Life(loop_time())
        self.lives.append(life)
        self.process.send_signal(signal.SIGTERM)
        life.exit_code = await self.process.wait()
        life.exited_s = loop_time()

    async def restart(self) -> None:
        """Starts the process again and waits until it accepts connections."""
        self.process.start()
        async with asyncio.timeout(READY_TIMEOUT_S):
            while not self.running:
                with contextlib.suppress(OSError):
                    (await connect(self.port, small_buffer=False)).close()
                    self.running = True
                await asyncio.sleep(0.01)


@dataclass(slots=True)
class Played:
    """What clients, runners and the operator have seen."""

    seed: int
    plan: Plan
    relays: list[SoakRelay]
    clients: list[SoakClient]
    runners: list[SoakRunner]
    logs: dict[str, str] = field(default_factory=dict)

    @property
    def requests(self) -> list[Request]:
        """All requests of all clients."""
        return [request for client in self.clients for request in client.requests]

    def works_by_id(self) -> dict[str, list[Work]]:
        """Returns the runs of each request."""
        works: dict[str, list[Work]] = {}
        for runner in self.runners:
            for work in runner.works:
                works.setdefault(work.record.request_id, []).append(work)
        return works


class Finding(NamedTuple):
    """A broken rule, with the request that broke it or None."""

    rule: str
    text: str
    request: Request | None = None


def draw_plan(rng: random.Random) -> Plan:
    """Draws relays, stops and signals."""
    relays = rng.randint(2, 4)
    stops = []
    for _ in range(rng.randint(2, 4)):
        at_s = rng.uniform(0.5, STOPS_S)
        pair = rng.sample(range(relays), 2)
        apart_s = rng.choice([0.0, 0.5, rng.uniform(0, 2)])
        for index, relay in enumerate(pair[: rng.randint(1, 2)]):
            again_s = rng.choice([None, None, rng.uniform(0, 0.3)])
            restarts = again_s is not None or rng.random() < 0.7
            stops.append(Stop(at_s + index * apart_s, relay, restarts, again_s))
    rereads = [
        (rng.uniform(0.2, STOPS_S), rng.randrange(relays))
        for _ in range(rng.randint(0, 3))
    ]
    grace_s, routes = rng.choice(GRACES_S), rng.choice(ROUTES)
    return Plan(
        relays, grace_s, sorted(stops, key=lambda stop: stop.at_s), rereads, routes
    )


def long_limits() -> dict[str, object]:
    """Returns a desired state whose routes allow for slow readers."""
    state = desired_state()
    for route in state["routes"]:
        route["timeoutMs"] = DEADLINE_MS
    state["limits"]["idleTimeoutMs"] = 700
    return state


@contextlib.asynccontextmanager
async def run_soak(seed: int, plan: Plan) -> AsyncGenerator[Played, None]:
    """Runs relays, runners, the store and proxies; the clients are to be added."""
    runners = [
        SoakRunner("desk-1", "desk"),
        SoakRunner("desk-2", "desk"),
        SoakRunner("pre-1", "engines", "prefill"),
        SoakRunner("dec-1", "engines", "decode"),
        SoakRunner("dec-2", "engines", "decode"),
    ]
    async with contextlib.AsyncExitStack() as stack:
        directory = Path(stack.enter_context(tempfile.TemporaryDirectory()))
        store = await stack.enter_async_context(StandInStore())
        address = await store.listen()
        for runner in runners:
            await stack.enter_async_context(runner)
            await store.put("servers", runner.id, runner.store_entry())
        await store.put("config", "main", long_limits())
        relays = []
        for index in range(plan.relays):
            settings = relay_settings(f"relay-{index}", address)
            settings = settings.model_copy(update={"grace_s": plan.grace_s})
            program = ("tests.small_buffers", str(BUFFER_BYTES))
            process = RelayProcess(settings, directory, program)
            process.start()
            stack.callback(process.kill)
            proxy = Proxy(process.http_address[1])
            stack.callback((await proxy.listen()).close)
            relays.append(SoakRelay(process, proxy))
        for relay in relays:
            await wait_until_serving(relay.process)
        played = Played(seed, plan, relays, [], runners)
        yield played
        played.logs = {
            f"relay-{index}": relay.process.read_log()
            for index, relay in enumerate(relays)
        }


async def play(seed: int) -> Played:
    """Plays a seed; again if another program on the machine had taken a port."""
    while True:
        played = await _play_once(seed)
        if not any(PORT_TAKEN in log for log in played.logs.values()):
            return played
        print(f"seed={seed} void: {PORT_TAKEN}", flush=True)


async def _play_once(seed: int) -> Played:
    """Plays a seed to its end, which stops all relays."""
    rng = random.Random(seed)
    plan = draw_plan(rng)
    async with run_soak(seed, plan) as played:
        ends_s = loop_time() + PLAY_S
        ports = [(relay.port, relay.proxy.port) for relay in played.relays]
        for number in range(CLIENTS):
            client_rng = random.Random(f"{seed}-{number}")
            client = SoakClient(f"c{number}", client_rng, ports, ends_s, plan.routes)
            played.clients.append(client)
        await asyncio.gather(
            *(client.run() for client in played.clients),
            *(_play_stop(played.relays[stop.relay], stop) for stop in plan.stops),
            *(_reread(played.relays[relay], at_s) for at_s, relay in plan.rereads),
        )
        await asyncio.gather(*(relay.stop() for relay in played.relays))
    return played


async def _play_stop(relay: SoakRelay, stop: Stop) -> None:
    await asyncio.sleep(stop.at_s)
    if not relay.running:
        return
    await relay.stop()
    if not stop.restarts:
        return
    await relay.restart()
    if stop.stops_again_s is not None:
        await asyncio.sleep(stop.stops_again_s)
        await relay.stop()


async def _reread(relay: SoakRelay, at_s: float) -> None:
    """Has a relay read its settings again, if it runs and is not being stopped."""
    await asyncio.sleep(at_s)
    if relay.running:
        relay.process.send_signal(signal.SIGHUP)


def check(played: Played) -> list[Finding]:
    """Returns all broken rules."""
    works_by_id = played.works_by_id()
    findings = _check_stops(played, works_by_id)
    for request in played.requests:
        works = works_by_id.get(request.id, [])
        findings += _check_answer(request)
        findings += _check_runs(request, works)
        findings += _check_loss(played, request, works)
    findings += _check_left(played.requests, works_by_id)
    known_ids = {request.id for request in played.requests}
    for request_id in works_by_id.keys() - known_ids:
        findings.append(Finding("UNASKED", request_id))
    for client in played.clients:
        if client.stray_bytes:
            findings.append(Finding("MIXED", f"stray {client.stray_bytes[:80]!r}"))
    return findings


def _check_answer(request: Request) -> list[Finding]:
    """Checks that an answer is its own request's, and a success the runner's."""
    answer, findings = request.answer, []
    echoed = answer.headers.get(b"wasabimux-request-id", request.id.encode())
    if echoed != request.id.encode():
        findings.append(Finding("MIXED", f"answer of {echoed!r}", request))
    if 400 <= answer.status < 500 and answer.status not in PROMISES:
        findings.append(Finding("DENIED", f"status {answer.status}", request))
    if answer.status != 200:
        return findings
    if b"wasabimux-response-signature" not in answer.headers:
        findings.append(Finding("MIXED", "a success without signature", request))
    body = bytes(answer.body)
    if answer.whole and body != request.whole_answer:
        findings.append(Finding("MIXED", f"whole of {len(body)} bytes", request))
    if not request.whole_answer.startswith(body):
        findings.append(Finding("ORDER", f"{len(body)} other bytes", request))
    return findings


def _check_runs(request: Request, works: list[Work]) -> list[Finding]:
    """Checks that what may not be repeated ran once, and not at all if refused."""
    findings = []
    if any(work.record.body != request.body for work in works):
        findings.append(Finding("UNASKED", "with another body", request))
    if request.route in REPEATABLE_ROUTES:
        return findings
    if len(works) > 1:
        findings.append(Finding("TWICE", f"{len(works)} runs", request))
    if works and request.answer.status in PROMISES:
        findings.append(Finding("REFUSED", f"{request.answer.status} and ran", request))
    return findings


def _check_loss(played: Played, request: Request, works: list[Work]) -> list[Finding]:
    """Checks that a request that ran, or waited for long, has a whole answer."""
    if request.answer.whole or request.left or not request.sent_s:
        return []
    waited_s = request.ended_s - max(request.first_s, request.sent_s)
    if not works and (not request.first_s or waited_s < UNANSWERED_S):
        return []  # it crossed a close, or the answer before it told of the close
    if excuse_of(played, request, works):
        return []
    text = f"{len(works)} runs, {len(request.answer.body)} bytes after {waited_s:.2f} s"
    return [Finding("LOST", text, request)]


def excuse_of(played: Played, request: Request, works: list[Work]) -> str:
    """Returns why an answer may be incomplete, empty if it may not.

    A reader is slower than the grace if it paused for most of the time since its
    answer was made, or a proxy is.
    """
    if request.sent_s and request.ended_s - request.sent_s >= DEADLINE_MS / 1_000:
        return "time limit"
    for life in played.relays[request.relay].lives:
        last_part_s = life.term_s + CUT_AFTER_GRACE * played.plan.grace_s
        if not last_part_s <= request.ended_s <= life.exited_s + 1 or not works:
            continue
        made_s = max(work.ended_s or request.ended_s for work in works)
        if made_s >= last_part_s and request.sent_s <= life.term_s + SENT_AFTER_TERM_S:
            return "at work"
        reads_slowly = request.paused_s > (request.ended_s - made_s) / 2
        if request.proxied or reads_slowly:
            return "slow reader"
    return ""


def _check_stops(played: Played, works_by_id: dict[str, list[Work]]) -> list[Finding]:
    """Checks the ends of processes; an excused answer excuses a failed drain."""
    findings = []
    for index, relay in enumerate(played.relays):
        for life in relay.lives:
            took_s = life.exited_s - life.term_s
            text = f"relay-{index} took {took_s:.2f} s, exit code {life.exit_code}"
            if took_s > played.plan.grace_s + STOP_SLACK_S:
                findings.append(Finding("STOP", text))
            if life.exit_code == 0:
                continue
            is_cut = any(
                not request.answer.whole
                and request.relay == index
                and life.term_s < request.ended_s < life.exited_s + 1
                and excuse_of(played, request, works_by_id.get(request.id, []))
                for request in played.requests
            )
            if not is_cut:
                findings.append(Finding("STOP", text))
    return findings


def _check_left(
    requests: list[Request], works_by_id: dict[str, list[Work]]
) -> list[Finding]:
    """Checks that most streams end at their runners when their clients leave."""
    early = [
        work
        for request in requests
        if request.left and request.route in STREAM_ROUTES
        for work in works_by_id.get(request.id, [])
        if _left_s_early(request) >= LEFT_EARLY_S
    ]
    complete = sum(work.complete for work in early)
    if len(early) >= MIN_LEFT_EARLY and complete > len(early) / 4:
        return [Finding("GONE", f"{complete} of {len(early)} ran on")]
    return []


def _left_s_early(request: Request) -> float:
    """Returns the time in s for which a stream would have lasted, by its events."""
    received = bytes(request.answer.body).count(b"\n\n")
    return (request.size - received) * EVENT_INTERVAL_S


def end_of(played: Played, request: Request, works: list[Work]) -> str:
    """Returns how a request ended, for the summary of a seed."""
    status = request.answer.status
    if request.answer.whole:
        return f"{status} and ran" if works and status in PROMISES else str(status)
    if request.left:
        return "left"
    if excuse := excuse_of(played, request, works):
        return excuse
    if works:
        return "lost"
    if not request.first_s:
        return "behind a close"
    late = request.ended_s - max(request.first_s, request.sent_s) > LOSS_SLACK_S
    return "crossed" + " in a proxy" * request.proxied + " late" * late


def report(played: Played, findings: list[Finding]) -> None:
    """Prints what a seed has shown, and all that its findings need."""
    works_by_id = played.works_by_id()
    ends = Counter(
        end_of(played, request, works_by_id.get(request.id, []))
        for request in played.requests
    )
    stops = [life for relay in played.relays for life in relay.lives]
    longest_s = max(life.exited_s - life.term_s for life in stops)
    print(
        f"seed={played.seed} findings={len(findings)} relays={played.plan.relays}"
        f" grace_s={played.plan.grace_s} stops={len(stops)} longest_s={longest_s:.2f}"
        f" ends={dict(ends.most_common())}",
        flush=True,
    )
    for finding in findings:
        print(f"  {finding.rule} {finding.text}\n    {finding.request}"[:700])
    if findings:
        _print_logs(played, {item.request.id for item in findings if item.request})


def _print_logs(played: Played, request_ids: set[str]) -> None:
    """Prints the plan, and of each log the lines of requests and the last lines."""
    print(f"  {played.plan}")
    for index, relay in enumerate(played.relays):
        print(f"  relay-{index}: {relay.lives}")
        lines = played.logs[f"relay-{index}"].splitlines()
        for number, line in enumerate(lines):
            is_named = any(f"={name} " in f"{line} " for name in request_ids)
            if is_named or number >= len(lines) - LOG_LINES:
                print(f"    {line}")


def main(arguments: list[str]) -> int:
    """Plays seeds; returns 1 if any has findings."""
    first, count = int(arguments[0]), int((arguments[1:] or ["1"])[0])
    failed = []
    for seed in range(first, first + count):
        played = asyncio.run(play(seed))
        findings = check(played)
        report(played, findings)
        if findings:
            failed.append(seed)
    print(f"seeds={count} failed={failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
