"""Runs a relay as a process: its ports, signals and orderly end."""

from __future__ import annotations

import asyncio
import logging
import random
import signal
from collections.abc import AsyncGenerator, Callable
from contextlib import asynccontextmanager, closing
from pathlib import Path
from typing import Any, NamedTuple

from aioprometheus.collectors import Registry

from wasabimux.adapters.admin import AdminHandler
from wasabimux.adapters.http_server import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    json_response,
)
from wasabimux.adapters.metrics import ProcessMetrics
from wasabimux.adapters.relay_metrics import RelayMetrics
from wasabimux.link.channels import listen_tcp
from wasabimux.relay.relay import Relay, RelayPlatform
from wasabimux.settings.address import parse_address
from wasabimux.settings.findings import read_document
from wasabimux.settings.process import RelaySettings
from wasabimux.timeline import Timeline

#: Time after SIGTERM in which new connections are still served: balancers need it
#: to notice that this relay is not ready any more.
ACCEPT_AFTER_TERM_S = 2.6

#: Part of the grace time in which running requests may end.
GRACE_PART = 0.92

logger = logging.getLogger("wasabimux")


class RunningRelay(NamedTuple):
    """A running relay.

    Attributes:
        relay: The role.
        callers: Address for callers.
        admin: Address for operators.
        timeline: Its events.
        drain: Ends in good order; True if every request has ended.
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
    lines_dropped: Callable[[], int] = lambda: 0,
) -> AsyncGenerator[RunningRelay, None]:
    """Runs a relay with its ports.

    Args:
        settings: Settings of the process.
        platform: The platform that it runs on.
        rng: Source of random choices.
        lines_dropped: Returns the log lines that were dropped.
    """
    registry = Registry()
    metrics = ProcessMetrics(registry)
    timeline = Timeline(settings.instance, on_event=metrics.on_event)
    relay_metrics = RelayMetrics(registry)
    platform.store.on_call = relay_metrics.on_store_call
    relay = Relay(settings, platform, timeline, relay_metrics, rng)
    callers = HttpServer(relay.handle)
    relay.server = callers

    def is_ready() -> bool:
        return relay.ready and not callers.draining

    async def answer_ready(request: HttpRequest) -> HttpResponse:
        if request.path != settings.ready_path:
            return json_response(404, {"error": "no such page"})
        ready = is_ready()
        return json_response(200 if ready else 503, {"ready": ready})

    handler = AdminHandler(
        lambda: relay_status(relay, settings), is_ready, [timeline], None, registry
    )

    async def answer_admin(request: HttpRequest) -> HttpResponse:
        relay_metrics.set_state("log_lines_dropped", lines_dropped())
        return await handler.handle(request)

    admin = HttpServer(answer_admin)
    ready = HttpServer(answer_ready)

    async def drain() -> bool:
        timeline.record("draining", grace_s=settings.grace_s)
        callers.begin_drain()
        await relay.mesh.announce_shutdown()
        accept_s = min(ACCEPT_AFTER_TERM_S, settings.grace_s / 3)
        await asyncio.sleep(accept_s)
        drained = await callers.drain(settings.grace_s * GRACE_PART - accept_s)
        timeline.record("drained", complete=drained)
        return drained

    links = await listen_tcp(
        *parse_address(settings.peers), on_channel=relay.links.on_channel
    )
    with relay, closing(links):
        async with callers, ready, admin:
            address = await callers.listen(*parse_address(settings.callers))
            await ready.listen(*parse_address(settings.ready))
            admin_address = await admin.listen(*parse_address(settings.admin))
            relay.start()
            timeline.record(
                "started",
                role="relay",
                failure_domain=settings.failure_domain,
                incarnation=relay.incarnation,
                callers=settings.callers,
            )
            yield RunningRelay(relay, address, admin_address, timeline, drain)
            timeline.record("stopped")


async def wait_for_shutdown_signal(settings_path: Path, timeline: Timeline) -> None:
    """Returns on SIGINT or SIGTERM; reads the settings anew on SIGHUP."""
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGINT, signal.SIGTERM):
        loop.add_signal_handler(number, stop.set)
    loop.add_signal_handler(signal.SIGHUP, lambda: _reread(settings_path, timeline))
    await stop.wait()


def _reread(path: Path, timeline: Timeline) -> None:
    """Checks changed settings; addresses change only with a restart."""
    checked = read_document(RelaySettings, path)
    if checked.is_error():
        for finding in checked.error:
            timeline.record("settings_refused", finding=finding)
    else:
        timeline.record("settings_read", path=path.name)


def relay_status(relay: Relay, settings: RelaySettings) -> dict[str, Any]:
    """Returns what operators see of a relay."""
    desired = relay.view.desired_state
    return {
        "role": "relay",
        "instance": settings.instance,
        "failure_domain": settings.failure_domain,
        "incarnation": relay.incarnation,
        "desired_version": desired.version if desired else None,
        "evacuated": sorted(relay.view.evacuated_domains),
        "peers": sorted(relay.mesh.peers_by_address),
        "waiting": relay.slots.waiting,
        "upstreams": {
            item.id: {
                "service": item.record.service,
                "phase": item.phase.value if item.phase else None,
                "running": item.running,
                "memory": [round(number) for number in item.memory()],
                "draining": item.record.draining,
            }
            for item in relay.pool.by_id.values()
        },
    }
