"""The daemon's command line."""

from __future__ import annotations

import asyncio
import json
import logging
import os
import random
import sys
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn, TypeVar

from cyclopts import App
from expression import Result

from wasabimux.settings.findings import Finding, read_document

# Each command imports what its role needs: imports are time out of service at a start.
if TYPE_CHECKING:
    from wasabimux.settings.fleet import FleetSettings
    from wasabimux.standins.embedded import EmbeddedFleet

#: Environment variable with the path of the settings.
SETTINGS_VARIABLE = "WASABIMUX_BOOT"

EXIT_FAILED = 1
EXIT_MISUSED = 2

#: Keys of the examples are made from the workspace's id with this prefix.
EXAMPLE_KEY_PREFIX = "example-"

Document = TypeVar("Document")

app = App(name="wasabimuxd", help="A router for separate prefill and decode pools.")


@app.command
def entry(settings: Path) -> None:
    """Meets callers and takes their requests to upstreams.

    Example: wasabimuxd entry examples/processes/brazos/entry-1.json

    Args:
        settings: Settings of the process, a JSON file.
    """
    from wasabimux.runtime import (
        configure_logging,
        platform_client,
        run_entry,
        wait_for_stop_signal,
    )
    from wasabimux.settings.process import EntrySettings

    configure_logging()
    checked = _checked(read_document(EntrySettings, settings), settings)

    async def run() -> bool:
        async with (
            platform_client(checked) as store,
            run_entry(checked, store, random.Random()) as running,
        ):
            await wait_for_stop_signal()
            return await running.drain()

    _exit(asyncio.run(run()))


@app.command
def agent(settings: Path) -> None:
    """Stands beside one upstream and is the only way to it.

    Example: wasabimuxd agent examples/processes/brazos/agent-decode-a1.json

    Args:
        settings: Settings of the process, a JSON file.
    """
    from wasabimux.runtime import configure_logging, run_agent, wait_for_stop_signal
    from wasabimux.settings.process import AgentSettings

    configure_logging()
    checked = _checked(read_document(AgentSettings, settings), settings)

    async def run() -> bool:
        async with run_agent(checked) as running:
            await wait_for_stop_signal()
            return await running.drain()

    _exit(asyncio.run(run()))


@app.command
def relay(settings: Path | None = None) -> None:
    """Meets callers and passes their requests on unchanged.

    Example: wasabimuxd relay /etc/wasabimux/relay.json

    Args:
        settings: Settings of the process, a JSON file; the file that the variable
            WASABIMUX_BOOT names if this is left out.
    """
    from wasabimux.adapters.log_writer import LogWriter, install_log_writer
    from wasabimux.platform.relay_platform import relay_platform
    from wasabimux.relay.process import run_relay, wait_for_shutdown_signal
    from wasabimux.settings.process import RelaySettings

    path = settings or Path(os.environ.get(SETTINGS_VARIABLE, ""))
    checked = _checked(read_document(RelaySettings, path), path)

    async def run(writer: LogWriter) -> bool:
        platform = relay_platform(checked.platform)
        rng = random.Random()
        running_relay = run_relay(
            checked, platform, rng, lambda: writer.dropped_line_count
        )
        async with running_relay as running:
            await wait_for_shutdown_signal(path, running.timeline)
            return await running.drain()

    with LogWriter() as writer:
        install_log_writer(writer)
        drained = asyncio.run(run(writer))
    _exit(drained)


@app.command
def embedded(
    fleet: Path,
    *,
    port: int = 8080,
    admin_port: int = 8081,
    platform_port: int = 8082,
) -> None:
    """Runs a whole fleet with stand-ins in one process, for a first look.

    Example: wasabimuxd embedded examples/brazos.json --port 9080 --admin-port 9081

    Args:
        fleet: Settings of the fleet, a JSON file.
        port: Port for callers on 127.0.0.1.
        admin_port: Port for operators on 127.0.0.1.
        platform_port: Port of the platform's API on 127.0.0.1.
    """
    from wasabimux.runtime import configure_logging, wait_for_stop_signal
    from wasabimux.settings.check import check_fleet
    from wasabimux.standins.embedded import run_embedded

    configure_logging("WARNING")
    document = json.loads(fleet.read_bytes())
    checked = _checked(check_fleet(document), fleet)

    async def run() -> bool:
        callers, admin = f"127.0.0.1:{port}", f"127.0.0.1:{admin_port}"
        platform = f"127.0.0.1:{platform_port}"
        async with run_embedded(checked, callers, admin, platform) as running:
            await _wait_until_served(running, checked)
            print(
                f"ready callers=http://{callers} admin=http://{admin}"
                f" platform=http://{platform}"
            )
            print(_curl_line(callers, checked), flush=True)
            await wait_for_stop_signal()
            return await running.drain()

    _exit(asyncio.run(run()))


async def _wait_until_served(running: EmbeddedFleet, fleet: FleetSettings) -> None:
    pool = running.entry.entry.pool
    while not all(pool.usable(group.id) for group in fleet.groups):
        await asyncio.sleep(0.01)


def _curl_line(callers: str, fleet: FleetSettings) -> str:
    """Returns a command that streams a completion with an example key."""
    from wasabimux.settings.fleet import RouteKind

    route = next(item for item in fleet.routes if item.kind is RouteKind.COMPLETIONS)
    workspace = (route.workspaces or [fleet.workspaces[0].id])[0]
    body = {
        "model": route.model,
        "prompt": "Summarize the spec sheet of a three-strand rope.",
        "max_tokens": 16,
        "stream": True,
    }
    return (
        f"curl -N http://{callers}/v1/completions"
        f" -H 'Authorization: Bearer {EXAMPLE_KEY_PREFIX}{workspace}'"
        f" -d '{json.dumps(body)}'"
    )


def _checked(result: Result[Document, list[Finding]], path: Path) -> Document:
    """Returns checked settings, or prints all findings and exits."""
    if result.is_ok():
        return result.ok
    for finding in result.error:
        print(f"{path}: {finding}", file=sys.stderr)
    sys.exit(EXIT_MISUSED)


def _exit(drained: bool) -> NoReturn:
    logging.shutdown()
    sys.exit(0 if drained else EXIT_FAILED)


def main() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    main()
