"""Puts a role together with its adapters."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import signal
import ssl
from collections.abc import AsyncGenerator, Awaitable, Callable, Generator, Sequence
from contextlib import asynccontextmanager, closing, contextmanager
from typing import Any, NamedTuple

from aioprometheus.collectors import Registry

from wasabimux.adapters.admin import AdminHandler
from wasabimux.adapters.engine_client import EngineClient
from wasabimux.adapters.http_server import HttpLimits, HttpServer
from wasabimux.adapters.metrics import ProcessMetrics
from wasabimux.adapters.platform_client import PlatformClient
from wasabimux.adapters.service_client import ServiceClient
from wasabimux.adapters.tls import (
    CertificateReloader,
    create_client_context,
    create_server_context,
)
from wasabimux.agent.agent import Agent, EngineBackend, ServiceBackend
from wasabimux.agent.capacity import Capacity
from wasabimux.entry.entry import Entry
from wasabimux.ids import InstanceId
from wasabimux.link.channels import connect_tcp, listen_tcp
from wasabimux.link.link import LinkTraffic
from wasabimux.ports import Channel, Store
from wasabimux.settings.address import parse_address
from wasabimux.settings.process import (
    AgentSettings,
    EntrySettings,
    ProcessSettings,
    UpstreamKind,
)
from wasabimux.timeline import Timeline

#: Longest time for which a shutdown waits for running requests.
DRAIN_TIMEOUT_S = 120.0


METRICS_REFRESH_S = 1.0


class RunningEntry(NamedTuple):
    """A running entry and its ports.

    Attributes:
        entry: The role.
        callers: Address for callers.
        admin: Address for operators.
        drain: Refuses new connections and waits for running requests.
    """

    entry: Entry
    callers: tuple[str, int]
    admin: tuple[str, int]
    drain: Callable[[], Awaitable[bool]]


class RunningAgent(NamedTuple):
    """A running agent and its ports.

    Attributes:
        agent: The role.
        link: Address for links.
        drain: Refuses new work and waits for the rest.
    """

    agent: Agent
    link: tuple[str, int]
    drain: Callable[[], Awaitable[bool]]


@asynccontextmanager
async def run_entry(
    settings: EntrySettings,
    store: Store,
    rng: random.Random,
    other_timelines: Sequence[Timeline] = (),
) -> AsyncGenerator[RunningEntry, None]:
    """Runs an entry with its ports.

    Args:
        settings: Settings of the process.
        store: The platform's store.
        rng: Source of random choices.
        other_timelines: Events of other roles on the same loop, shown with its own.
    """
    timeline, registry, metrics = _observability(settings)
    tls = create_client_context(settings.tls) if settings.tls else None
    peer_tls = create_server_context(settings.tls) if settings.tls else None

    async def connect(host: str, port: int) -> Channel:
        return await connect_tcp(host, port, tls)

    entry = Entry(
        InstanceId(settings.instance),
        store,
        connect,
        settings.subset_size,
        timeline,
        rng,
        settings.peers,
    )
    limits = HttpLimits(
        settings.max_body_bytes,
        settings.header_timeout_s,
        settings.body_timeout_s,
        settings.header_timeout_s,
    )
    callers = HttpServer(entry.handle, limits)

    def ready() -> bool:
        return entry.feed.current is not None and not callers.draining

    admin_handler = AdminHandler(
        lambda: entry_status(entry, settings),
        ready,
        [timeline, *other_timelines],
        secret_from(settings.admin_token_env),
        registry,
    )
    admin = HttpServer(admin_handler.handle)

    async def drain() -> bool:
        timeline.record("draining")
        drained = await callers.drain(DRAIN_TIMEOUT_S)
        await entry.release()
        timeline.record("drained", complete=drained)
        return drained

    peers = await listen_tcp(
        *parse_address(settings.peers), on_channel=entry.peers.on_channel, tls=peer_tls
    )
    with entry, closing(peers), _reloading(settings, tls, peer_tls):
        entry.start()
        async with callers, admin, _refreshing(metrics, entry.traffic):
            callers_address = await callers.listen(*parse_address(settings.callers))
            admin_address = await admin.listen(*parse_address(settings.admin))
            yield RunningEntry(entry, callers_address, admin_address, drain)


@asynccontextmanager
async def run_agent(settings: AgentSettings) -> AsyncGenerator[RunningAgent, None]:
    """Runs an agent with its ports.

    Args:
        settings: Settings of the process.
    """
    timeline, registry, metrics = _observability(settings)
    capacity = Capacity(needs_evidence=settings.kind is UpstreamKind.ENGINE)
    host, port = parse_address(settings.upstream)
    backend: EngineBackend | ServiceBackend
    if settings.kind is UpstreamKind.ENGINE:
        backend = EngineBackend(EngineClient(host, port), capacity, timeline)
    else:
        backend = ServiceBackend(ServiceClient(host, port), capacity, timeline)
    agent = Agent(InstanceId(settings.upstream_id), capacity, backend, timeline)
    admin_handler = AdminHandler(
        lambda: agent_status(agent, settings),
        lambda: capacity.accepting,
        [timeline],
        secret_from(settings.admin_token_env),
        registry,
    )
    admin = HttpServer(admin_handler.handle)
    tls = create_server_context(settings.tls) if settings.tls else None
    links = await listen_tcp(
        *parse_address(settings.link), on_channel=agent.on_channel, tls=tls
    )
    starting = asyncio.ensure_future(agent.start())

    async def drain() -> bool:
        return await agent.drain(DRAIN_TIMEOUT_S)

    try:
        with agent, _reloading(settings, tls):
            async with admin, _refreshing(metrics, agent.traffic):
                await admin.listen(*parse_address(settings.admin))
                bound = links.sockets[0].getsockname()
                yield RunningAgent(agent, (bound[0], bound[1]), drain)
    finally:
        starting.cancel()
        links.close()


def platform_client(settings: EntrySettings) -> PlatformClient:
    """Makes the client of the platform that the settings name."""
    host, port = parse_address(settings.platform)
    return PlatformClient(host, port, secret_from(settings.platform_token_env))


async def wait_for_stop_signal() -> None:
    """Returns on SIGINT or SIGTERM."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    await stop.wait()


def configure_logging(level: str = "INFO") -> None:
    """Writes log lines of key=value pairs to standard error."""
    logging.basicConfig(
        level=level,
        format="time=%(asctime)s.%(msecs)03dZ level=%(levelname)s %(message)s",
        datefmt="%Y-%m-%dT%H:%M:%S",
    )


def secret_from(variable: str | None) -> str | None:
    """Reads a secret from an environment variable.

    Args:
        variable: Name of the variable, None for no secret.

    Returns:
        The secret, or None.

    Raises:
        KeyError: The variable is named but not set.
    """
    return None if variable is None else os.environ[variable]


def entry_status(entry: Entry, settings: EntrySettings) -> dict[str, Any]:
    """Returns what operators see of an entry."""
    index = entry.feed.current
    groups: dict[str, Any] = {}
    for group in index.upstreams_by_group if index else {}:
        groups[group] = [
            {
                "upstream": agent.id,
                "accepting": agent.accepting,
                "limit": agent.candidate().capacity,
                "load": agent.candidate().load,
            }
            for agent in entry.pool.agents(group)
        ]
    return {
        "role": "entry",
        "instance": settings.instance,
        "failure_domain": settings.failure_domain,
        "incarnation": entry.incarnation,
        "settings_version": index.version if index else None,
        "rate_shards": entry.keeper.held,
        "groups": groups,
    }


def agent_status(agent: Agent, settings: AgentSettings) -> dict[str, Any]:
    """Returns what operators see of an agent."""
    load = agent.capacity.load()
    return {
        "role": "agent",
        "instance": settings.instance,
        "failure_domain": settings.failure_domain,
        "upstream": settings.upstream_id,
        "incarnation": agent.incarnation,
        "settings_version": agent.capacity.version,
        **load._asdict(),
    }


def _observability(
    settings: ProcessSettings,
) -> tuple[Timeline, Registry, ProcessMetrics]:
    registry = Registry()
    metrics = ProcessMetrics(registry)
    timeline = Timeline(settings.instance, on_event=metrics.on_event)
    return timeline, registry, metrics


@contextmanager
def _reloading(
    settings: ProcessSettings, *contexts: ssl.SSLContext | None
) -> Generator[None, None, None]:
    """Takes renewed certificates into use while the process runs."""
    if settings.tls is None:
        yield
        return
    given = [context for context in contexts if context is not None]
    task = asyncio.ensure_future(CertificateReloader(settings.tls, given).run())
    try:
        yield
    finally:
        task.cancel()


@asynccontextmanager
async def _refreshing(
    metrics: ProcessMetrics, traffic: LinkTraffic
) -> AsyncGenerator[None, None]:
    async def refresh() -> None:
        while True:
            metrics.update_traffic(traffic)
            await asyncio.sleep(METRICS_REFRESH_S)

    task = asyncio.ensure_future(refresh())
    try:
        yield
    finally:
        task.cancel()
