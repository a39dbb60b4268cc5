"""Command line of the daemon."""

from __future__ import annotations

import asyncio
import json
import os
import random
import sys
from pathlib import Path
from typing import TYPE_CHECKING, NoReturn, TypeVar

from cyclopts import App
from expression import Result

from wasabimux.settings.findings import Finding, read_document

# Each command imports only the modules that its role needs, because a process is out of
# service while it imports.
if TYPE_CHECKING:
    from wasabimux.settings.fleet import FleetSettings
    from wasabimux.standins.embedded import EmbeddedFleet

#: Environment variable with the path of a relay's settings file.
SETTINGS_VARIABLE = "WASABIMUX_BOOT"

EXIT_FAILURE = 1
EXIT_USAGE_ERROR = 2

#: Prefix of the API keys in example fleets; the id of the workspace follows.
EXAMPLE_KEY_PREFIX = "example-"

CheckedSettings = TypeVar("CheckedSettings")

app = App(name="wasabimuxd", help="A router for separate prefill and decode pools.")


@app.command
def entry(settings: Path) -> None:
    """Runs an entry, which accepts client requests and routes them to upstreams.

    Example: wasabimuxd entry examples/processes/brazos/entry-1.json

    Args:
        settings: JSON file with the settings of the process.
    """
    from wasabimux.adapters.log_writer import written_logs
    from wasabimux.runtime import (
        create_platform_client,
        run_entry,
        watch_stop_signals,
    )
    from wasabimux.settings.process import EntrySettings

    checked_settings = _settings_or_exit(
        read_document(EntrySettings, settings), settings
    )

    async def run() -> bool:
        stop = watch_stop_signals()
        async with (
            create_platform_client(checked_settings) as store,
            run_entry(checked_settings, store, random.Random()) as running,
        ):
            await stop.wait()
            return await running.drain()

    with written_logs(sys.stderr):
        drained = asyncio.run(run())
    _exit_after_drain(drained)


@app.command
def agent(settings: Path) -> None:
    """Runs an agent, the only path of entries to one upstream.

    Example: wasabimuxd agent examples/processes/brazos/agent-decode-a1.json

    Args:
        settings: JSON file with the settings of the process.
    """
    from wasabimux.adapters.log_writer import written_logs
    from wasabimux.runtime import run_agent, watch_stop_signals
    from wasabimux.settings.process import AgentSettings

    checked_settings = _settings_or_exit(
        read_document(AgentSettings, settings), settings
    )

    async def run() -> bool:
        stop = watch_stop_signals()
        async with run_agent(checked_settings) as running:
            await stop.wait()
            return await running.drain()

    with written_logs(sys.stderr):
        drained = asyncio.run(run())
    _exit_after_drain(drained)


@app.command
def relay(settings: Path | None = None) -> None:
    """Runs a relay, which forwards client requests to upstreams unchanged.

    Example: wasabimuxd relay /etc/wasabimux/relay.json

    Args:
        settings: JSON file with the settings of the process. Default: the file named by
            the environment variable WASABIMUX_BOOT.
    """
    from wasabimux.adapters.log_writer import LogWriter, written_logs
    from wasabimux.platform.relay_platform import relay_platform
    from wasabimux.relay.process import (
        run_relay,
        wait_for_shutdown_signal,
        watch_signals,
    )
    from wasabimux.settings.process import RelaySettings, relay_environment

    path = settings or Path(os.environ.get(SETTINGS_VARIABLE, ""))
    read = read_document(RelaySettings, path, relay_environment(os.environ))
    checked_settings = _settings_or_exit(read, path)

    async def run(writer: LogWriter) -> bool:
        signals = watch_signals()
        platform = relay_platform(checked_settings.platform)
        rng = random.Random()
        running_relay = run_relay(
            checked_settings, platform, rng, lambda: writer.dropped_line_count
        )
        async with platform.store, running_relay as running:
            await wait_for_shutdown_signal(signals, path, running.timeline)
            return await running.drain()

    with written_logs(sys.stdout) as writer:
        drained = asyncio.run(run(writer))
    _exit_after_drain(drained)


@app.command
def embedded(
    fleet: Path,
    *,
    port: int = 8080,
    admin_port: int = 8081,
    platform_port: int = 8082,
) -> None:
    """Runs a fleet with simulated upstreams and platform in one process, as a demo.

    Example: wasabimuxd embedded examples/brazos.json --port 9080 --admin-port 9081

    Args:
        fleet: JSON file with the settings of the fleet.
        port: Port for clients on 127.0.0.1.
        admin_port: Port for operators on 127.0.0.1.
        platform_port: Port of the platform's API on 127.0.0.1.
    """
    from wasabimux.adapters.log_writer import written_logs
    from wasabimux.runtime import watch_stop_signals
    from wasabimux.settings.check import check_fleet
    from wasabimux.standins.embedded import run_embedded

    document = json.loads(fleet.read_bytes())
    checked_settings = _settings_or_exit(check_fleet(document), fleet)

    async def run() -> bool:
        stop = watch_stop_signals()
        http_address, admin_address = f"127.0.0.1:{port}", f"127.0.0.1:{admin_port}"
        platform = f"127.0.0.1:{platform_port}"
        async with run_embedded(
            checked_settings, http_address, admin_address, platform
        ) as running:
            await _wait_until_ready(running, checked_settings)
            print(
                f"ready callers=http://{http_address} admin=http://{admin_address}"
                f" platform=http://{platform}"
            )
            print(_example_curl_command(http_address, checked_settings), flush=True)
            await stop.wait()
            return await running.drain()

    with written_logs(sys.stderr, "WARNING"):
        drained = asyncio.run(run())
    _exit_after_drain(drained)


async def _wait_until_ready(running: EmbeddedFleet, fleet: FleetSettings) -> None:
    pool = running.entry.entry.pool
    while not all(pool.usable(group.id) for group in fleet.groups):
        await asyncio.sleep(0.01)


def _example_curl_command(http_address: str, fleet: FleetSettings) -> str:
    """Returns a curl command that streams a completion with an example API key."""
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
        f"curl -N http://{http_address}/v1/completions"
        f" -H 'Authorization: Bearer {EXAMPLE_KEY_PREFIX}{workspace}'"
        f" -d '{json.dumps(body)}'"
    )


def _settings_or_exit(
    result: Result[CheckedSettings, list[Finding]], path: Path
) -> CheckedSettings:
    """Returns validated settings, or prints all findings and exits."""
    if result.is_ok():
        return result.ok
    for finding in result.error:
        print(f"{path}: {finding}", file=sys.stderr)
    sys.exit(EXIT_USAGE_ERROR)


def _exit_after_drain(drained: bool) -> NoReturn:
    """Ends the process at once: its output may take nothing more."""
    os._exit(0 if drained else EXIT_FAILURE)


def main() -> None:
    """Runs the command line."""
    app()


if __name__ == "__main__":
    main()
