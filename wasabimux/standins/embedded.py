"""Runs a fleet in one event loop: an entry, agents and stand-ins."""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import AsyncGenerator
from contextlib import AsyncExitStack, asynccontextmanager
from typing import NamedTuple

from wasabimux.adapters.http_server import Handler, HttpServer
from wasabimux.entry.feed import SETTINGS_KIND, SETTINGS_NAME
from wasabimux.runtime import RunningAgent, RunningEntry, run_agent, run_entry
from wasabimux.settings.address import parse_address
from wasabimux.settings.fleet import FleetSettings, Group, GroupRole, Upstream
from wasabimux.settings.process import AgentSettings, EntrySettings, UpstreamKind
from wasabimux.standins.engine import EngineModel, EngineParameters
from wasabimux.standins.engine_server import EngineServer, fetch_kv_over_http
from wasabimux.standins.platform import MemoryPlatform, PlatformServer
from wasabimux.standins.service import PlainService

ANY_PORT = "127.0.0.1:0"


class EmbeddedFleet(NamedTuple):
    """A running fleet with one entry, in one process.

    Attributes:
        entry: The entry.
        agents_by_id: Agents by the id of their upstream.
        engines_by_id: Engine stand-ins by the id of their upstream.
        services_by_id: HTTP service stand-ins by the id of their upstream.
        platform: State of the platform stand-in.
        platform_address: Address of the platform's API, as `IP:PORT`.
    """

    entry: RunningEntry
    agents_by_id: dict[str, RunningAgent]
    engines_by_id: dict[str, EngineServer]
    services_by_id: dict[str, PlainService]
    platform: MemoryPlatform
    platform_address: str

    async def drain(self) -> bool:
        """Drains the entry, then the agents; returns True if all work completed."""
        entry_drained = await self.entry.drain()
        agents = self.agents_by_id.values()
        drained = await asyncio.gather(*(agent.drain() for agent in agents))
        return entry_drained and all(drained)


@asynccontextmanager
async def run_embedded(
    fleet: FleetSettings,
    http_address: str = ANY_PORT,
    admin_address: str = ANY_PORT,
    platform_address: str = ANY_PORT,
    parameters: EngineParameters = EngineParameters(),
    rng: random.Random | None = None,
) -> AsyncGenerator[EmbeddedFleet, None]:
    """Runs a fleet; agents and stand-ins listen on free ports.

    Args:
        fleet: Settings of the fleet; the addresses of agents are replaced.
        http_address: Address of the entry for clients, as `IP:PORT`.
        admin_address: Address of the entry for operators, as `IP:PORT`.
        platform_address: Address of the platform's API, as `IP:PORT`.
        parameters: Capacity and timing of the engines.
        rng: Source of random choices.
    """
    builder = _FleetBuilder(fleet, parameters)
    async with AsyncExitStack() as stack:
        for upstream in fleet.upstreams:
            await builder.start_upstream(stack, upstream)
        platform = MemoryPlatform()
        value = json.dumps(builder.settings_document()).encode()
        await platform.put(SETTINGS_KIND, SETTINGS_NAME, value, 0)
        handler = PlatformServer(platform).handle
        bound_address = await _listen(stack, handler, platform_address)
        settings = EntrySettings(
            instance="entry-embedded",
            failure_domain=fleet.failure_domains[0].id,
            admin=admin_address,
            callers=http_address,
            peers=ANY_PORT,
            platform=bound_address,
            plain_links=True,
        )
        entry = await stack.enter_async_context(
            run_entry(
                settings,
                platform,
                rng or random.Random(),
                [item.agent.timeline for item in builder.agents_by_id.values()],
            )
        )
        yield EmbeddedFleet(
            entry,
            builder.agents_by_id,
            builder.engines_by_id,
            builder.services_by_id,
            platform,
            bound_address,
        )


class _FleetBuilder:
    """Starts the stand-in and the agent of each upstream of a fleet."""

    def __init__(self, fleet: FleetSettings, parameters: EngineParameters) -> None:
        self._fleet = fleet
        self._parameters = parameters
        self._groups_by_id: dict[str, Group] = {item.id: item for item in fleet.groups}
        self.agents_by_id: dict[str, RunningAgent] = {}
        self.engines_by_id: dict[str, EngineServer] = {}
        self.services_by_id: dict[str, PlainService] = {}

    async def start_upstream(self, stack: AsyncExitStack, upstream: Upstream) -> None:
        """Starts the stand-in and the agent of one upstream."""
        is_service = self._groups_by_id[upstream.group].role is GroupRole.SERVICE
        if is_service:
            service = PlainService()
            self.services_by_id[upstream.id] = service
            address = await _listen(stack, service.handle)
        else:
            model = EngineModel("", self._parameters, fetch_kv_over_http)
            engine = EngineServer(model)
            self.engines_by_id[upstream.id] = engine
            address = model.address = await _listen(stack, engine.handle)
        settings = AgentSettings(
            instance=f"agent-{upstream.id}",
            failure_domain=upstream.failure_domain,
            admin=ANY_PORT,
            plain_links=True,
            upstream_id=upstream.id,
            link=ANY_PORT,
            kind=UpstreamKind.SERVICE if is_service else UpstreamKind.ENGINE,
            upstream=address,
        )
        agent = await stack.enter_async_context(run_agent(settings))
        self.agents_by_id[upstream.id] = agent

    def settings_document(self) -> object:
        """Returns the fleet settings with the addresses the agents are bound to."""
        document = self._fleet.model_dump(mode="json")
        for upstream in document["upstreams"]:
            host, port = self.agents_by_id[upstream["id"]].link_address
            upstream["agent"] = f"{host}:{port}"
        return document


async def _listen(
    stack: AsyncExitStack, handler: Handler, address: str = ANY_PORT
) -> str:
    server = await stack.enter_async_context(HttpServer(handler))
    host, port = await server.listen(*parse_address(address))
    return f"{host}:{port}"
