"""Runs a fleet on a virtual clock, over a simulated network with faults.

Entries, agents, links and decisions are the production code; only the network, the
platform and the upstreams are stand-ins. Nothing depends on real time, so a run is
reproducible from its seed.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncGenerator, AsyncIterator, Coroutine
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import Any, TypeVar

import looptime

from wasabimux.adapters.http_server import HttpRequest, HttpResponse, ResponseEnd
from wasabimux.agent.admission import AdmissionController
from wasabimux.agent.agent import Agent, EngineDriver, ServiceDriver
from wasabimux.entry.entry import Entry, PlacementPolicies
from wasabimux.entry.feed import SETTINGS_KIND, SETTINGS_NAME
from wasabimux.entry.instances import ENTRY_ROLE
from wasabimux.ids import InstanceId
from wasabimux.ports import (
    Headers,
    InstanceRecord,
    PlainCall,
    PlainResponse,
    StoredObject,
    StoreUnavailable,
    UpstreamLost,
)
from wasabimux.settings.address import parse_address
from wasabimux.settings.fleet import FleetSettings, GroupRole
from wasabimux.standins.engine import EngineModel, EngineParameters
from wasabimux.standins.network import Network
from wasabimux.standins.platform import MemoryPlatform
from wasabimux.standins.service import PlainService
from wasabimux.timeline import HybridClock, Timeline

Outcome = TypeVar("Outcome")

#: Interval in s at which a watch checks whether its process is disconnected.
DISCONNECT_CHECK_INTERVAL_S = 0.25

#: Idle cycles of the event loop before virtual time advances. One is enough, as nothing
#: here waits for real input.
IDLE_CYCLES = 1


def run_in_virtual_time(coroutine: Coroutine[Any, Any, Outcome]) -> Outcome:
    """Runs a coroutine in a loop whose time advances only while all tasks sleep."""
    loop = looptime.new_event_loop(noop_cycles=IDLE_CYCLES)
    try:
        return loop.run_until_complete(coroutine)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        loop.close()


class PartitionableStore:
    """Connection of one process to the platform's store, which tests can disconnect.

    Args:
        platform: State of the platform.

    Attributes:
        is_disconnected: True while all calls fail.
    """

    def __init__(self, platform: MemoryPlatform) -> None:
        self.is_disconnected = False
        self._platform = platform

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Reads an object."""
        self._raise_if_disconnected()
        return await self._platform.get(kind, name)

    async def put(self, kind: str, name: str, value: bytes, expected: int) -> int:
        """Writes an object."""
        self._raise_if_disconnected()
        return await self._platform.put(kind, name, value, expected)

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object."""
        self._raise_if_disconnected()
        await self._platform.delete(kind, name)

    async def watch(self, kind: str, after: int, wait_s: float) -> list[StoredObject]:
        """Waits for changed objects; fails when the process is disconnected."""
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            self._raise_if_disconnected()
            part_wait_s = min(DISCONNECT_CHECK_INTERVAL_S, deadline - loop.time())
            found = await self._platform.watch(kind, after, part_wait_s)
            self._raise_if_disconnected()
            if found or part_wait_s < DISCONNECT_CHECK_INTERVAL_S:
                return found

    async def instances(self) -> list[InstanceRecord]:
        """Returns the list of instances."""
        self._raise_if_disconnected()
        return await self._platform.instances()

    def _raise_if_disconnected(self) -> None:
        if self.is_disconnected:
            raise StoreUnavailable("disconnected from the platform")


@dataclass(frozen=True, slots=True)
class MemoryResponse:
    """Response of a service in memory; implements the PlainResponse protocol."""

    status: int
    headers: Headers
    body: bytes

    async def pieces(self) -> AsyncIterator[bytes]:
        """Yields the whole body as one chunk."""
        yield self.body


class MemoryServiceUpstream:
    """Calls a service in memory; implements the PlainUpstream protocol.

    Args:
        service: Service to call.
    """

    def __init__(self, service: PlainService) -> None:
        self._service = service

    @asynccontextmanager
    async def call(self, call: PlainCall) -> AsyncGenerator[PlainResponse, None]:
        """Sends a call to the service and yields its response."""
        request = _make_request(call.method, call.target, call.headers, call.body)
        try:
            response = await self._service.handle(request)
        except OSError as error:
            raise UpstreamLost(str(error), sent=True) from error
        assert isinstance(response.body, bytes)
        yield MemoryResponse(response.status, response.headers, response.body)


@dataclass(slots=True)
class VirtualResponse:
    """HTTP response as a client received it.

    Attributes:
        status: HTTP status.
        headers: Headers.
        body: Received part of the body.
        complete: True if the whole body was received.
        chunk_times_s: Loop times in s at which chunks of the body were received.
    """

    status: int
    headers: dict[bytes, bytes]
    body: bytes = b""
    complete: bool = False
    chunk_times_s: list[float] = field(default_factory=list)


class VirtualFleet:
    """A fleet on a virtual clock; an async context manager.

    Args:
        fleet: Settings of the fleet.
        entries: Number of entries.
        parameters: Capacity and timing of the engines.
        seed: Seed of all random choices.
        policies: How entries choose upstreams, None for the default.

    Attributes:
        network: Simulated network between the processes.
        platform: State of the platform.
        settings: Fleet settings that were applied last.
        entries_by_name: Running entries by name.
        stores_by_name: Connections of entries to the platform, by the entry's name.
        agents_by_id: Running agents by the id of their upstream.
        engines_by_id: Engine stand-ins by the id of their upstream.
        services_by_id: HTTP service stand-ins by the id of their upstream.
        timelines: Timelines of all processes, ended ones included.
        settings_version: Version of the settings at the platform.
    """

    def __init__(
        self,
        fleet: FleetSettings,
        entries: int = 2,
        parameters: EngineParameters = EngineParameters(),
        seed: int = 1,
        policies: PlacementPolicies | None = None,
    ) -> None:
        self._policies = policies
        self.network = Network()
        self.platform = MemoryPlatform()
        self.settings = fleet
        self.entries_by_name: dict[str, Entry] = {}
        self.stores_by_name: dict[str, PartitionableStore] = {}
        self.agents_by_id: dict[str, Agent] = {}
        self.engines_by_id: dict[str, EngineModel] = {}
        self.services_by_id: dict[str, PlainService] = {}
        self.timelines: list[Timeline] = []
        self._parameters = parameters
        self._entry_count = entries
        self._rng = random.Random(seed)
        self._engine_by_address: dict[str, EngineModel] = {}
        self._tasks_by_entry: dict[str, set[asyncio.Task[Any]]] = {}
        self._role_by_group = {group.id: group.role for group in fleet.groups}
        self.settings_version = 0
        self._next_port = 20_000

    async def __aenter__(self) -> VirtualFleet:
        await self.apply(self.settings)
        for upstream in self.settings.upstreams:
            self._add_upstream(upstream.id)
            await self.start_agent(upstream.id)
        for number in range(1, self._entry_count + 1):
            self.start_entry(f"entry-{number}")
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for name in list(self.entries_by_name):
            self.kill_entry(name)
        for upstream_id in list(self.agents_by_id):
            self.kill_agent(upstream_id)

    async def apply(self, settings: FleetSettings) -> None:
        """Writes fleet settings to the platform."""
        self.settings = settings
        value = settings.model_dump_json().encode()
        self.settings_version = await self.platform.put(
            SETTINGS_KIND, SETTINGS_NAME, value, self.settings_version
        )

    async def wait_until_ready(self) -> None:
        """Waits until every entry has a usable upstream in every group."""
        while not all(self._is_ready(item) for item in self.entries_by_name.values()):
            await asyncio.sleep(0.05)

    def start_entry(self, name: str) -> Entry:
        """Starts an entry and adds it to the platform's list of instances."""
        store = PartitionableStore(self.platform)
        timeline = self._create_timeline(name)
        address = f"10.0.0.1:{self._next_port}"
        self._next_port += 1
        rng = random.Random(self._rng.random())
        entry = Entry(
            InstanceId(name),
            store,
            self.network.connector(name),
            16,
            timeline,
            rng,
            address,
            self._policies,
        )
        self.network.listen(name, address, entry.peers.on_channel)
        self.entries_by_name[name] = entry
        self.stores_by_name[name] = store
        self._tasks_by_entry[name] = set()
        record = InstanceRecord(InstanceId(name), ENTRY_ROLE, address, False)
        self.platform.set_instance(record)
        entry.start()
        return entry

    def kill_entry(self, name: str) -> None:
        """Kills an entry and cancels all requests in it."""
        entry = self.entries_by_name.pop(name)
        self.network.remove_process(name)
        for task in self._tasks_by_entry.pop(name):
            task.cancel()
        entry.__exit__()

    async def start_agent(self, upstream_id: str) -> Agent:
        """Starts the agent of an upstream."""
        timeline = self._create_timeline(f"agent-{upstream_id}")
        admission = AdmissionController(
            needs_speed_check=upstream_id in self.engines_by_id
        )
        driver: EngineDriver | ServiceDriver
        if upstream_id in self.engines_by_id:
            engine = self.engines_by_id[upstream_id]
            driver = EngineDriver(engine, admission, timeline)
        else:
            service = MemoryServiceUpstream(self.services_by_id[upstream_id])
            driver = ServiceDriver(service, admission, timeline)
        agent = Agent(InstanceId(upstream_id), admission, driver, timeline)
        upstream = next(u for u in self.settings.upstreams if u.id == upstream_id)
        self.agents_by_id[upstream_id] = agent
        self.network.listen(upstream_id, upstream.agent, agent.on_channel)
        start_task = asyncio.ensure_future(agent.start())
        start_task.add_done_callback(lambda task: task.cancelled() or task.exception())
        return agent

    def kill_agent(self, upstream_id: str) -> None:
        """Kills an agent; its engine keeps running."""
        agent = self.agents_by_id.pop(upstream_id)
        self.network.remove_process(upstream_id)
        agent.kill()

    async def request(
        self,
        entry: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes = b"",
        max_chunks: int | None = None,
    ) -> VirtualResponse | None:
        """Sends a request as a client.

        Args:
            entry: Name of the entry to send it to.
            method: HTTP method.
            target: HTTP target.
            headers: Headers.
            body: Whole body.
            max_chunks: Chunks after which the client disconnects, None for never.

        Returns:
            The response as received, None if the entry was killed meanwhile.
        """
        sending = self._send_request(entry, method, target, headers, body, max_chunks)
        task = asyncio.ensure_future(sending)
        self._tasks_by_entry[entry].add(task)
        try:
            return await task
        except asyncio.CancelledError:
            if task.cancelled() and entry not in self.entries_by_name:
                return None
            raise
        finally:
            self._tasks_by_entry.get(entry, set()).discard(task)

    async def _send_request(
        self,
        entry: str,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        max_chunks: int | None,
    ) -> VirtualResponse:
        request = _make_request(method, target, headers, body)
        response = await self.entries_by_name[entry].handle(request)
        received = VirtualResponse(response.status, dict(response.headers))
        try:
            await _read_body(response, received, max_chunks)
        except Exception:
            pass  # a real server would close the connection
        finally:
            if response.on_done is not None:
                complete = received.complete
                response.on_done(
                    ResponseEnd.COMPLETE if complete else ResponseEnd.CLIENT_GONE
                )
        return received

    def _add_upstream(self, upstream_id: str) -> None:
        upstream = next(u for u in self.settings.upstreams if u.id == upstream_id)
        if self._role_by_group[upstream.group] is GroupRole.SERVICE:
            self.services_by_id[upstream_id] = PlainService()
            return
        host, port = parse_address(upstream.agent)
        address = f"{host}:{port + 10_000}"
        engine = EngineModel(address, self._parameters, self._fetch_kv)
        self.engines_by_id[upstream_id] = engine
        self._engine_by_address[address] = engine

    async def _fetch_kv(self, source: str, handle: str) -> int:
        return await self._engine_by_address[source].export(handle)

    def _is_ready(self, entry: Entry) -> bool:
        groups = [group.id for group in self.settings.groups]
        return all(entry.pool.usable(group) for group in groups)

    def _create_timeline(self, name: str) -> Timeline:
        loop = asyncio.get_running_loop()
        clock = HybridClock(lambda: round(loop.time() * 1000))
        timeline = Timeline(name, clock=clock)
        self.timelines.append(timeline)
        return timeline


async def _read_body(
    response: HttpResponse, received: VirtualResponse, max_chunks: int | None
) -> None:
    if isinstance(response.body, bytes):
        received.body = response.body
        received.complete = True
        return
    loop = asyncio.get_running_loop()
    try:
        async for chunk in response.body:
            received.body += chunk
            received.chunk_times_s.append(loop.time())
            if max_chunks is not None and len(received.chunk_times_s) >= max_chunks:
                return
        received.complete = True
    finally:
        await response.body.aclose()


def _make_request(
    method: str, target: str, headers: Headers, body: bytes
) -> HttpRequest:
    async def read_body() -> bytes:
        return body

    now = asyncio.get_running_loop().time()
    return HttpRequest(method, target, headers, now, read_body)
