"""Stateful fuzz test of a whole fleet on a virtual clock, checked by simple oracles.

Usage: python -m tests.fuzz SEED STEPS
"""

from __future__ import annotations

import asyncio
import json
import re
import sys
from collections.abc import Coroutine
from dataclasses import dataclass
from pathlib import Path
from typing import Any, NamedTuple

import looptime
from hypothesis import HealthCheck, Phase, seed, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    rule,
    run_state_machine_as_test,
)

from tests.client import authorization, completion_body
from tests.oracles import Charge, max_overrun
from wasabimux.errors import RefusedError
from wasabimux.settings.check import check_fleet
from wasabimux.settings.fleet import DomainState, FleetSettings
from wasabimux.standins.engine import EngineParameters
from wasabimux.standins.virtual_fleet import IDLE_CYCLES, VirtualFleet, VirtualResponse

EXAMPLE = Path(__file__).parent.parent / "examples" / "brazos.json"
WORKSPACE = "grad-crew"
RATE, BURST = 2_000.0, 40_000.0
STEPS_PER_RUN = 25

#: Time after the last request within which all engine memory must be freed.
SETTLE_S = 5.0

#: Deadline of the patient route, whose requests wait for their workspace's rate limit.
DEADLINE_S = 600.0

#: Time after which a failure domain that is known to be out gets no new requests.
LEAVING_BOUND_S = 3.0

#: Time within which some entry must read a change from a reachable store: the longest
#: retry delay plus a slow response.
READ_BOUND_S = 7.0

#: Event times are in whole milliseconds, so each is off by up to 1 ms.
OVERRUN_TOLERANCE_TOKENS = RATE * 0.002

ENTRIES = st.sampled_from(["entry-1", "entry-2", "entry-3"])
DOMAINS = st.sampled_from(["tx-austin", "tx-bryan", "tx-waco"])
PARAMETERS = EngineParameters(cold_s=4.0, cold_limit=2)


@dataclass(slots=True)
class DomainOutOfService:
    """A failure domain that an operator has taken out of service.

    Attributes:
        version: Version of the settings that takes the domain out.
        accepted_s: Time at which the store accepted that version.
        known_s: Time at which the first entry had the version in force, or should have.
        runs: Number of runs by upstream at the time from which no new ones may start.
    """

    version: int
    accepted_s: float
    known_s: float | None = None
    runs: dict[str, int] | None = None


class Order(NamedTuple):
    """An order that clients have posted, possibly several times."""

    target: str
    responses: list[VirtualResponse]


class FleetMachine(RuleBasedStateMachine):
    """State machine of client requests, faults and operator actions in any order."""

    def __init__(self) -> None:
        super().__init__()
        self.loop = looptime.new_event_loop(noop_cycles=IDLE_CYCLES)
        fleet = check_fleet(json.loads(EXAMPLE.read_bytes())).ok
        self.original: FleetSettings = fleet
        self.fleet = VirtualFleet(fleet, 3, PARAMETERS)
        self.tasks: set[asyncio.Task[Any]] = set()
        self.orders: dict[int, Order] = {}
        self.completions: list[tuple[int, VirtualResponse]] = []
        self.charges: list[Charge] = []
        self.injected_crashes = 0
        self.last_versions: dict[int, int] = {}
        self.out_by_domain: dict[str, DomainOutOfService] = {}
        self.store_healthy_since_s = 0.0
        self.run(self._start())

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        """Runs a coroutine, then checks the invariants that hold at all times."""
        result = self.loop.run_until_complete(work)
        self._check_versions()
        self._check_domains_out()
        self._check_at_most_once()
        return result

    async def _start(self) -> None:
        await self.fleet.__aenter__()
        await self.fleet.wait_until_ready()
        for service in self.fleet.services_by_id.values():
            service.faults.delay_s = 0.3

    def _spawn(self, work: Coroutine[Any, Any, Any]) -> None:
        async def start_task() -> None:
            task = asyncio.ensure_future(work)
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            await asyncio.sleep(0)

        self.run(start_task())

    # Client requests

    @rule(entry=ENTRIES, tokens=st.sampled_from([1, 20, 200]), prompt=st.integers(1, 9))
    def complete(self, entry: str, tokens: int, prompt: int) -> None:
        if entry in self.fleet.entries_by_name:
            self._spawn(self._complete(entry, tokens, prompt, None))

    @rule(entry=ENTRIES, chunks_read=st.integers(1, 30))
    def complete_and_disconnect(self, entry: str, chunks_read: int) -> None:
        if entry in self.fleet.entries_by_name:
            self._spawn(self._complete(entry, 60, 1, chunks_read))

    @rule(entry=ENTRIES, number=st.integers(0, 5), keyed=st.booleans())
    def post_order(self, entry: str, number: int, keyed: bool) -> None:
        if entry not in self.fleet.entries_by_name:
            return
        if not keyed:
            number = len(self.orders) + 100
        self._spawn(self._post(entry, number, keyed))

    @rule(entry=ENTRIES, count=st.sampled_from([6, 24]))
    def complete_many(self, entry: str, count: int) -> None:
        if entry in self.fleet.entries_by_name:
            for _ in range(count):
                self._spawn(self._complete(entry, 20, 1, None))

    @rule(entry=ENTRIES, tokens=st.sampled_from([200, 4_000]), count=st.integers(1, 12))
    def use_up_rate_limit(self, entry: str, tokens: int, count: int) -> None:
        if entry in self.fleet.entries_by_name:
            for _ in range(count):
                self._spawn(self._charge(entry, tokens))

    async def _charge(self, entry: str, tokens: int) -> None:
        rate_limiter = self.fleet.entries_by_name[entry].rate_limiter
        try:
            await rate_limiter.charge(WORKSPACE, tokens, 0.0)
        except RefusedError:
            return
        self.charges.append(Charge(self.loop.time(), tokens))

    async def _complete(
        self, entry: str, tokens: int, prompt: int, chunks_read: int | None
    ) -> None:
        body = completion_body("x" * 4_000 * prompt, stream=True, max_tokens=tokens)
        response = await self.fleet.request(
            entry,
            "POST",
            "/v1/completions",
            authorization(WORKSPACE),
            body,
            chunks_read,
        )
        if response is not None and chunks_read is None:
            self.completions.append((tokens, response))

    async def _post(self, entry: str, number: int, keyed: bool) -> None:
        target = f"/orders/retwist/{number}"
        order = self.orders.setdefault(number, Order(target, []))
        headers = authorization(WORKSPACE)
        if keyed:
            headers.append((b"idempotency-key", str(number).encode()))
        response = await self.fleet.request(entry, "POST", target, headers, b"{}")
        if response is not None:
            order.responses.append(response)

    # Time and faults

    @rule(duration_s=st.sampled_from([0.001, 0.05, 0.5, 3.0, 8.0]))
    def pass_time(self, duration_s: float) -> None:
        self.run(asyncio.sleep(duration_s))

    @rule(entry=ENTRIES)
    def kill_or_start_entry(self, entry: str) -> None:
        async def change() -> None:
            if entry not in self.fleet.entries_by_name:
                self.fleet.start_entry(entry)
            elif len(self.fleet.entries_by_name) > 1:
                self.last_versions.pop(id(self.fleet.entries_by_name[entry]), None)
                self.fleet.kill_entry(entry)

        self.run(change())

    @rule(data=st.data(), services=st.booleans())
    def replace_agent(self, data: st.DataObject, services: bool) -> None:
        group = self.fleet.services_by_id if services else self.fleet.engines_by_id
        upstream_id = data.draw(st.sampled_from(sorted(group)))

        async def change() -> None:
            self.fleet.kill_agent(upstream_id)
            await self.fleet.start_agent(upstream_id)

        self.run(change())

    @rule(entry=ENTRIES, delay_s=st.sampled_from([0.2, 2.0]))
    def slow_messages(self, entry: str, delay_s: float) -> None:
        self.fleet.network.delay_frames(entry, delay_s)

    @rule(entry=ENTRIES)
    def lose_links(self, entry: str) -> None:
        self.fleet.network.reset_connections(entry)
        self.run(asyncio.sleep(0))

    @rule(first=ENTRIES, second=ENTRIES)
    def partition_entries(self, first: str, second: str) -> None:
        if first != second:
            self.fleet.network.cut(first, second)
            self.run(asyncio.sleep(0))

    @rule(entry=ENTRIES, cut=st.booleans())
    def cut_store(self, entry: str, cut: bool) -> None:
        if entry in self.fleet.stores_by_name:
            self.fleet.stores_by_name[entry].is_disconnected = cut
            self.store_healthy_since_s = self.loop.time()

    @rule(fault=st.sampled_from(["down", "slow", "lose_answers", "none"]))
    def platform_fault(self, fault: str) -> None:
        async def change() -> None:
            platform = self.fleet.platform
            platform.faults.delay_s = 1.0 if fault == "slow" else 0.0
            platform.faults.lose_answers = fault == "lose_answers"
            self.store_healthy_since_s = self.loop.time()
            platform.set_down(fault == "down")

        self.run(change())

    @rule(data=st.data(), fault=st.sampled_from(["crash", "cold", "cancels", "stall"]))
    def engine_fault(self, data: st.DataObject, fault: str) -> None:
        engines = self.fleet.engines_by_id
        engine = engines[data.draw(st.sampled_from(sorted(engines)))]

        async def change() -> None:
            if fault == "crash":
                self.injected_crashes += 1
                engine.crash()
                await asyncio.sleep(0.2)
                engine.restart()
            elif fault == "cold":
                engine.begin_cold_start()
            elif fault == "cancels":
                engine.faults.lose_cancels = 2
            else:
                engine.faults.stall_exports = not engine.faults.stall_exports

        self.run(change())

    @rule(domain=DOMAINS, out=st.booleans())
    def change_domain(self, domain: str, out: bool) -> None:
        platform = self.fleet.platform.faults
        if platform.down or platform.lose_answers:
            return
        state = DomainState.OUT_OF_SERVICE if out else DomainState.IN_SERVICE
        domains = [
            item.model_copy(update={"state": state}) if item.id == domain else item
            for item in self.fleet.settings.failure_domains
        ]
        changed = self.fleet.settings.model_copy(update={"failure_domains": domains})

        async def change() -> None:
            await self.fleet.apply(changed)
            self.out_by_domain.pop(domain, None)
            if out:
                version = self.fleet.settings_version
                self.out_by_domain[domain] = DomainOutOfService(
                    version, self.loop.time()
                )

        self.run(change())

    # Invariants

    def _check_versions(self) -> None:
        """Checks that no process goes back to older settings."""
        holders: list[Any] = [*self.fleet.entries_by_name.values()]
        versions = {
            id(item): item.feed.current.version for item in holders if item.feed.current
        }
        for agent in self.fleet.agents_by_id.values():
            versions[id(agent)] = agent.admission.settings_version
        for key, version in versions.items():
            assert version >= self.last_versions.get(key, 0), "older settings in force"
        self.last_versions = versions

    def _check_domains_out(self) -> None:
        """Checks that a domain out of service gets no new requests after a few seconds.

        The time starts when the first entry could know of the change, as the store may
        become unreachable after it accepted a change and before any entry read it.
        """
        for domain, out in self.out_by_domain.items():
            if out.known_s is None:
                out.known_s = self._first_known_s(out)
            if out.known_s is None:
                continue
            runs = {
                upstream.id: sum(
                    self.fleet.engines_by_id[upstream.id].runs_by_request.values()
                )
                for upstream in self.original.upstreams
                if upstream.failure_domain == domain
                and upstream.id in self.fleet.engines_by_id
            }
            if out.runs is not None:
                assert runs == out.runs, f"new requests in {domain}"
            elif self.loop.time() - out.known_s > LEAVING_BOUND_S:
                out.runs = runs

    def _first_known_s(self, out: DomainOutOfService) -> float | None:
        """Returns the time at which an entry first had the change in force.

        Returns:
            The time in s; if no entry has the change in force, the time by which one
            should have, or None if that has not passed.
        """
        known = [
            event.wall_ms / 1000
            for timeline in self.fleet.timelines
            for event in timeline.events()
            if event.name == "settings_in_force"
            and event.instance.startswith("entry")
            and int(event.fields["version"]) >= out.version
        ]
        if known:
            return min(known)
        readable_s = max(out.accepted_s, self.store_healthy_since_s)
        store_up = not self.fleet.platform.faults.down
        all_disconnected = all(
            store.is_disconnected for store in self.fleet.stores_by_name.values()
        )
        if (
            store_up
            and not all_disconnected
            and self.loop.time() - readable_s > READ_BOUND_S
        ):
            return readable_s + READ_BOUND_S
        return None

    def _check_at_most_once(self) -> None:
        """Checks that no order runs twice."""
        runs = self._runs_by_target()
        for order in self.orders.values():
            count = runs.get(order.target, 0)
            assert count <= 1, f"{order.target} ran {count} times"

    def _runs_by_target(self) -> dict[str, int]:
        total: dict[str, int] = {}
        for service in self.fleet.services_by_id.values():
            for target, count in service.runs_by_target.items():
                total[target] = total.get(target, 0) + count
        return total

    def teardown(self) -> None:
        try:
            self.run(self._end_faults_and_settle())
            self._check_responses()
            self._check_rate()
            crashes = sum(item.crashes for item in self.fleet.engines_by_id.values())
            assert crashes == self.injected_crashes, "a cold engine crashed under load"
        finally:
            self.loop.run_until_complete(self.fleet.__aexit__())
            for task in asyncio.all_tasks(self.loop):
                task.cancel()
            self.loop.run_until_complete(asyncio.sleep(0))
            self.loop.close()

    async def _end_faults_and_settle(self) -> None:
        """Ends all faults, then checks that requests end and engine memory is freed."""
        self.fleet.network.heal()
        for store in self.fleet.stores_by_name.values():
            store.is_disconnected = False
        self.fleet.platform.faults.delay_s = 0.0
        self.fleet.platform.faults.lose_answers = False
        self.fleet.platform.set_down(False)
        for engine in self.fleet.engines_by_id.values():
            engine.faults.stall_exports = False
        settled_s = self.loop.time()
        while self.tasks and self.loop.time() - settled_s < DEADLINE_S:
            await asyncio.sleep(1)
        assert not self.tasks, "a request has not ended by its deadline"
        await asyncio.sleep(SETTLE_S)
        for name, engine in self.fleet.engines_by_id.items():
            assert not engine.state()["memory"], f"memory is still in use at {name}"

    def _check_responses(self) -> None:
        """Checks that complete responses are correct and that refusals are truthful."""
        for tokens, response in self.completions:
            if response.status != 200:
                assert b'"ran"' in response.body
                if b'"ran": "no"' in response.body:
                    self._check_never_ran(response.headers.get(b"x-request-id", b""))
            elif response.complete:
                _check_complete_response(response, tokens)
            else:
                assert b"[DONE]" not in response.body
        runs = self._runs_by_target()
        for order in self.orders.values():
            count = runs.get(order.target, 0)
            for response in order.responses:
                if response.status == 200:
                    assert count == 1, "an order got a response but never ran"
                elif b'"ran": "yes"' in response.body:
                    assert count == 1
            if len(order.responses) == 1 and b'"ran": "no"' in order.responses[0].body:
                assert count == 0, f"{order.target} ran although refused"

    def _check_never_ran(self, request_id: bytes) -> None:
        for name, engine in self.fleet.engines_by_id.items():
            ran = engine.runs_by_request.get(request_id.decode(), 0)
            assert ran == 0, f"a completion ran at {name} although refused"

    def _check_rate(self) -> None:
        """Checks that the charges in no window exceed rate * length + burst."""
        charges: dict[str, Charge] = {}
        for timeline in self.fleet.timelines:
            for event in timeline.events(workspace=WORKSPACE):
                if event.name == "charged":
                    tokens = float(event.fields["tokens"])
                    charges[event.request_id] = Charge(event.wall_ms / 1000, tokens)
        for timeline in self.fleet.timelines:
            for event in timeline.events(workspace=WORKSPACE):
                if event.name == "refunded":
                    charge = charges[event.request_id]
                    left = charge.tokens - float(event.fields["tokens"])
                    charges[event.request_id] = charge._replace(tokens=left)
        excess = max_overrun([*charges.values(), *self.charges], RATE, BURST)
        assert excess <= OVERRUN_TOLERANCE_TOKENS, f"overrun of {excess} tokens"


def _check_complete_response(response: VirtualResponse, tokens: int) -> None:
    words = re.findall(rb'"text": "w(\d+) "', response.body)
    assert [int(word) for word in words] == list(range(tokens)), "incomplete"
    assert response.body.endswith(b"data: [DONE]\n\n")
    request_id = response.headers[b"x-request-id"]
    ids = set(re.findall(rb'"id": "([0-9a-f]+)\.\d+"', response.body))
    assert ids == {request_id}, "the response is of another request"


def run_fuzz(seed_number: int, steps: int) -> None:
    """Runs the state machine for a number of steps from a seed."""
    chosen = settings(
        max_examples=max(1, steps // STEPS_PER_RUN),
        stateful_step_count=STEPS_PER_RUN,
        deadline=None,
        database=None,
        print_blob=False,
        phases=[Phase.generate],
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(seed(seed_number)(FleetMachine), settings=chosen)


if __name__ == "__main__":
    run_fuzz(int(sys.argv[1]), int(sys.argv[2]))
    print(f"seed {sys.argv[1]}: {sys.argv[2]} steps, no finding")
