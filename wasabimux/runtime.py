"""Runs entries and agents as processes, composed with their adapters."""

from __future__ import annotations

import asyncio
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
from wasabimux.agent.admission import AdmissionController
from wasabimux.agent.agent import Agent, EngineDriver, ServiceDriver
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

#: Maximum time that a shutdown waits for running requests.
DRAIN_TIMEOUT_S = 120.0

#: Maximum time in s that a shutdown takes for what an entry owes to others.
SETTLE_TIMEOUT_S = 6.0

#: Maximum time in s that a shutdown waits for answers to operators.
ADMIN_DRAIN_TIMEOUT_S = 0.5

METRICS_REFRESH_INTERVAL_S = 1.0


class RunningEntry(NamedTuple):
    """A running entry and the addresses that it listens on.

    Attributes:
        entry: The entry.
        http_address: Host and port on which it serves clients.
        admin_address: Host and port on which it serves operators.
        drain: Refuses new connections and waits for running requests. Returns True
            if all of them have ended.
    """

    entry: Entry
    http_address: tuple[str, int]
    admin_address: tuple[str, int]
    drain: Callable[[], Awaitable[bool]]


class RunningAgent(NamedTuple):
    """A running agent and the address that it listens on.

    Attributes:
        agent: The agent.
        link_address: Host and port on which it accepts links from entries.
        drain: Refuses new requests and waits for running ones. Returns True if all
            of them have ended.
    """

    agent: Agent
    link_address: tuple[str, int]
    drain: Callable[[], Awaitable[bool]]


@asynccontextmanager
async def run_entry(
    settings: EntrySettings,
    store: Store,
    rng: random.Random,
    other_timelines: Sequence[Timeline] = (),
) -> AsyncGenerator[RunningEntry, None]:
    """Runs an entry and its servers until the context exits.

    Args:
        settings: Settings of the process.
        store: Client of the platform's store.
        rng: Random number generator of the entry.
        other_timelines: Timelines of other roles in this process, whose events the
            admin server shows too.
    """
    timeline, registry, metrics = _create_telemetry(settings)
    client_tls = create_client_context(settings.tls) if settings.tls else None
    server_tls = create_server_context(settings.tls) if settings.tls else None

    async def connect(host: str, port: int) -> Channel:
        return await connect_tcp(host, port, client_tls)

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
    http_server = HttpServer(entry.handle, limits)

    def ready() -> bool:
        return entry.feed.current is not None and not http_server.draining

    admin_handler = AdminHandler(
        lambda: entry_status(entry, settings),
        ready,
        [timeline, *other_timelines],
        read_secret(settings.admin_token_env),
        registry,
    )
    admin_server = HttpServer(admin_handler.handle)

    async def drain() -> bool:
        timeline.record("draining")
        drained = await http_server.drain(DRAIN_TIMEOUT_S)
        if not drained:
            http_server.close()
        await asyncio.gather(
            entry.settle(SETTLE_TIMEOUT_S), admin_server.drain(ADMIN_DRAIN_TIMEOUT_S)
        )
        timeline.record("drained", complete=drained)
        return drained

    peer_listener = await listen_tcp(
        *parse_address(settings.peers),
        on_channel=entry.peers.on_channel,
        tls=server_tls,
    )
    with (
        entry,
        closing(peer_listener),
        _reload_certificates(settings, client_tls, server_tls),
    ):
        entry.start()
        async with http_server, admin_server, _refresh_metrics(metrics, entry.traffic):
            http_address = await http_server.listen(*parse_address(settings.callers))
            admin_address = await admin_server.listen(*parse_address(settings.admin))
            yield RunningEntry(entry, http_address, admin_address, drain)


@asynccontextmanager
async def run_agent(settings: AgentSettings) -> AsyncGenerator[RunningAgent, None]:
    """Runs an agent and its servers until the context exits.

    Args:
        settings: Settings of the process.
    """
    timeline, registry, metrics = _create_telemetry(settings)
    admission = AdmissionController(
        needs_speed_check=settings.kind is UpstreamKind.ENGINE
    )
    host, port = parse_address(settings.upstream)
    driver: EngineDriver | ServiceDriver
    if settings.kind is UpstreamKind.ENGINE:
        driver = EngineDriver(EngineClient(host, port), admission, timeline)
    else:
        driver = ServiceDriver(ServiceClient(host, port), admission, timeline)
    agent = Agent(InstanceId(settings.upstream_id), admission, driver, timeline)
    admin_handler = AdminHandler(
        lambda: agent_status(agent, settings),
        lambda: admission.accepting,
        [timeline],
        read_secret(settings.admin_token_env),
        registry,
    )
    admin_server = HttpServer(admin_handler.handle)
    tls = create_server_context(settings.tls) if settings.tls else None
    link_listener = await listen_tcp(
        *parse_address(settings.link), on_channel=agent.on_channel, tls=tls
    )
    starting = asyncio.ensure_future(agent.start())

    async def drain() -> bool:
        drained = await agent.drain(DRAIN_TIMEOUT_S)
        await admin_server.drain(ADMIN_DRAIN_TIMEOUT_S)
        return drained

    try:
        with agent, _reload_certificates(settings, tls):
            async with admin_server, _refresh_metrics(metrics, agent.traffic):
                await admin_server.listen(*parse_address(settings.admin))
                bound_address = link_listener.sockets[0].getsockname()
                yield RunningAgent(agent, (bound_address[0], bound_address[1]), drain)
    finally:
        starting.cancel()
        link_listener.close()


def create_platform_client(settings: EntrySettings) -> PlatformClient:
    """Returns a client of the platform at the address in the settings."""
    host, port = parse_address(settings.platform)
    return PlatformClient(host, port, read_secret(settings.platform_token_env))


def watch_stop_signals() -> asyncio.Event:
    """Returns an event that is set by SIGINT or SIGTERM.

    It is to be called before the process listens: a signal without a handler ends the
    process and the connections that it has accepted.
    """
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(signal_number, stop.set)
    return stop


async def wait_for_stop_signal() -> None:
    """Waits for SIGINT or SIGTERM."""
    await watch_stop_signals().wait()


def read_secret(variable: str | None) -> str | None:
    """Reads a secret from an environment variable.

    Args:
        variable: Name of the variable, or None if no secret is configured.

    Returns:
        The secret, or None if none is configured.

    Raises:
        KeyError: The variable is named but not set.
    """
    return None if variable is None else os.environ[variable]


def entry_status(entry: Entry, settings: EntrySettings) -> dict[str, Any]:
    """Returns the status of an entry as the admin server shows it."""
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
        "rate_shards": entry.shard_manager.held_shards,
        "groups": groups,
    }


def agent_status(agent: Agent, settings: AgentSettings) -> dict[str, Any]:
    """Returns the status of an agent as the admin server shows it."""
    load = agent.admission.load()
    return {
        "role": "agent",
        "instance": settings.instance,
        "failure_domain": settings.failure_domain,
        "upstream": settings.upstream_id,
        "incarnation": agent.incarnation,
        "settings_version": agent.admission.settings_version,
        **load._asdict(),
    }


def _create_telemetry(
    settings: ProcessSettings,
) -> tuple[Timeline, Registry, ProcessMetrics]:
    registry = Registry()
    metrics = ProcessMetrics(registry)
    timeline = Timeline(settings.instance, on_event=metrics.on_event)
    return timeline, registry, metrics


@contextmanager
def _reload_certificates(
    settings: ProcessSettings, *contexts: ssl.SSLContext | None
) -> Generator[None, None, None]:
    """Reloads renewed certificates until the context exits."""
    if settings.tls is None:
        yield
        return
    active_contexts = [context for context in contexts if context is not None]
    task = asyncio.ensure_future(
        CertificateReloader(settings.tls, active_contexts).run()
    )
    try:
        yield
    finally:
        task.cancel()


@asynccontextmanager
async def _refresh_metrics(
    metrics: ProcessMetrics, traffic: LinkTraffic
) -> AsyncGenerator[None, None]:
    """Updates the metrics of link traffic until the context exits."""

    async def refresh() -> None:
        while True:
            metrics.update_traffic(traffic)
            await asyncio.sleep(METRICS_REFRESH_INTERVAL_S)

    task = asyncio.ensure_future(refresh())
    try:
        yield
    finally:
        task.cancel()
