"""Runs a relay as a process: ports, signals and graceful shutdown."""

from __future__ import annotations

import asyncio
import logging
import os
import random
import signal
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager, closing
from pathlib import Path
from typing import Any, NamedTuple

from aioprometheus.collectors import Registry

from wasabimux._clock import loop_time
from wasabimux.adapters.admin import AdminHandler
from wasabimux.adapters.http_server import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    json_response,
)
from wasabimux.adapters.memory_ledger import limits_of_machine, process_ledger
from wasabimux.adapters.metrics import ProcessMetrics
from wasabimux.adapters.relay_metrics import RelayMetrics
from wasabimux.link.channels import listen_tcp
from wasabimux.relay.object_cache import cache_bound
from wasabimux.relay.relay import Relay, RelayPlatform
from wasabimux.settings.address import parse_address
from wasabimux.settings.findings import read_document
from wasabimux.settings.process import RelaySettings, relay_environment
from wasabimux.timeline import Timeline

#: Time in s after SIGTERM in which new connections are still served: load balancers
#: need it to notice that this relay is no longer ready.
ACCEPT_AFTER_TERM_S = 2.6

#: Fraction of the grace time within which running requests may complete.
GRACE_FRACTION = 0.92

#: Fraction of the grace time that is left at least for what the relay owes to others.
SETTLE_FRACTION = 0.025

#: Longest time in s for which answers to operators and load balancers are awaited.
OPERATORS_DRAIN_S = 0.5

#: Time in s before the end of that time by which the last answers are written.
ANSWER_MARGIN_S = 0.2

logger = logging.getLogger("wasabimux")


class RunningRelay(NamedTuple):
    """A running relay.

    Attributes:
        relay: The relay itself.
        http_address: Host and port on which it serves clients.
        admin_address: Host and port on which it serves operators.
        timeline: Timeline with its events.
        drain: Coroutine function that drains the relay before its shutdown; returns
            True if every request has completed.
    """

    relay: Relay
    http_address: tuple[str, int]
    admin_address: tuple[str, int]
    timeline: Timeline
    drain: Callable[[], Any]


@asynccontextmanager
async def run_relay(
    settings: RelaySettings,
    platform: RelayPlatform,
    rng: random.Random,
    dropped_log_lines: Callable[[], int] = lambda: 0,
) -> AsyncGenerator[RunningRelay, None]:
    """Runs a relay and serves its ports.

    Args:
        settings: Settings of the process.
        platform: The platform that the relay runs on.
        rng: Source of random choices.
        dropped_log_lines: Returns the number of log lines that were dropped.

    Yields:
        The running relay.
    """
    registry = Registry()
    metrics = ProcessMetrics(registry)
    timeline = Timeline(settings.instance, on_event=metrics.on_event)
    relay_metrics = RelayMetrics(registry)
    platform.store.on_call = relay_metrics.on_store_call
    relay = Relay(settings, platform, timeline, relay_metrics, rng)
    relay.view.cache.bound_bytes = cache_bound(settings.memory_mb)
    process_ledger().limits = limits_of_machine(
        settings.memory_mb, settings.max_descriptors, relay.view.cache.bound_bytes
    )
    http_server = HttpServer(relay.handle)
    relay.http_server = http_server

    def is_ready() -> bool:
        return relay.ready and not http_server.draining

    async def serve_readiness(request: HttpRequest) -> HttpResponse:
        if request.path != settings.ready_path:
            return json_response(404, {"error": "no such page"})
        ready = is_ready()
        return json_response(200 if ready else 503, {"ready": ready})

    admin_handler = AdminHandler(
        lambda: relay_status(relay, settings), is_ready, [timeline], None, registry
    )

    async def serve_admin(request: HttpRequest) -> HttpResponse:
        relay_metrics.set_state("log_lines_dropped", dropped_log_lines())
        return await admin_handler.handle(request)

    admin_server = HttpServer(serve_admin)
    readiness_server = HttpServer(serve_readiness)

    async def drain() -> bool:
        timeline.record("draining", grace_s=settings.grace_s)
        ends_s = loop_time() + settings.grace_s * GRACE_FRACTION
        relay.begin_shutdown(ends_s - ANSWER_MARGIN_S)
        http_server.begin_drain()
        accept_s = min(ACCEPT_AFTER_TERM_S, settings.grace_s / 3)
        await asyncio.gather(relay.mesh.announce_shutdown(), asyncio.sleep(accept_s))
        drained = await http_server.drain(ends_s - loop_time())
        least_s = settings.grace_s * SETTLE_FRACTION
        if not drained:
            http_server.close()
            await http_server.drain(least_s)  # the requests that it cut still end
        left_s = max(least_s, ends_s - loop_time())
        operators_s = min(left_s, OPERATORS_DRAIN_S)
        await asyncio.gather(
            relay.settle(left_s),
            readiness_server.drain(operators_s),
            admin_server.drain(operators_s),
        )
        timeline.record("drained", complete=drained)
        return drained

    peer_listener = await listen_tcp(
        *parse_address(settings.peers), on_channel=relay.links.on_channel
    )
    with relay, closing(peer_listener):
        async with http_server, readiness_server, admin_server:
            http_address = await http_server.listen(*parse_address(settings.callers))
            await readiness_server.listen(*parse_address(settings.ready))
            admin_address = await admin_server.listen(*parse_address(settings.admin))
            relay.start()
            timeline.record(
                "started",
                role="relay",
                failure_domain=settings.failure_domain,
                incarnation=relay.incarnation,
                callers=settings.callers,
            )
            yield RunningRelay(relay, http_address, admin_address, timeline, drain)
            timeline.record("stopped")


def watch_signals() -> asyncio.Queue[signal.Signals]:
    """Returns a queue of the signals that the process gets from now on.

    It is to be called before the relay listens: a signal without a handler ends the
    process and the connections that it has accepted.
    """
    received: asyncio.Queue[signal.Signals] = asyncio.Queue()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGINT, signal.SIGTERM, signal.SIGHUP):
        loop.add_signal_handler(signal_number, received.put_nowait, signal_number)
    return received


async def wait_for_shutdown_signal(
    received: asyncio.Queue[signal.Signals], settings_path: Path, timeline: Timeline
) -> None:
    """Waits for SIGINT or SIGTERM; checks the settings file again on each SIGHUP.

    Args:
        received: Signals of the process.
        settings_path: The settings file.
        timeline: Timeline that tells what the checks have found.
    """
    while await received.get() is signal.SIGHUP:
        _check_settings(settings_path, timeline)


def _check_settings(path: Path, timeline: Timeline) -> None:
    """Reads and checks the settings file; new settings apply only after a restart."""
    checked = read_document(RelaySettings, path, relay_environment(os.environ))
    if checked.is_error():
        for finding in checked.error:
            timeline.record("settings_refused", finding=finding)
    else:
        timeline.record("settings_read", path=path.name)


def relay_status(relay: Relay, settings: RelaySettings) -> dict[str, Any]:
    """Returns the status of a relay as a JSON object for operators."""
    desired = relay.view.desired_state
    return {
        "role": "relay",
        "instance": settings.instance,
        "failure_domain": settings.failure_domain,
        "incarnation": relay.incarnation,
        "desired_version": desired.version if desired else None,
        "evacuated": sorted(relay.view.evacuated_domains),
        "peers": sorted(relay.mesh.membership.peer_by_address),
        "waiting": relay.slots.waiting,
        "rollouts": relay.rollouts.status,
        "upstreams": {
            upstream.id: {
                "service": upstream.record.service,
                "phase": upstream.phase.value if upstream.phase else None,
                "running": upstream.running,
                "memory": [round(tokens) for tokens in upstream.memory()],
                "leaving": upstream.leaving,
            }
            for upstream in relay.pool.by_id.values()
        },
    }
