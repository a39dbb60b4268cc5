"""Command line that runs the stand-ins: `python -m wasabimux.standins NAME`."""

from __future__ import annotations

import asyncio
import json
import os
import shlex
import sys
from pathlib import Path

from cyclopts import App

from wasabimux.adapters.http_server import Handler, HttpServer
from wasabimux.adapters.log_writer import written_logs
from wasabimux.entry.feed import SETTINGS_KIND, SETTINGS_NAME
from wasabimux.ports import InstanceRecord
from wasabimux.runtime import wait_for_stop_signal
from wasabimux.settings.address import parse_address
from wasabimux.settings.check import check_fleet
from wasabimux.standins.engine import EngineModel, EngineParameters
from wasabimux.standins.engine_server import EngineServer, fetch_kv_over_http
from wasabimux.standins.laptop import AddressAllocator, Layout, LocalFleet
from wasabimux.standins.platform import MemoryPlatform, PlatformServer
from wasabimux.standins.service import PlainService

TOKEN_VARIABLE = "WASABIMUX_PLATFORM_TOKEN"

app = App(name="wasabimux.standins", help="Stand-ins for external systems.")


@app.command
def platform(
    listen: str, *, fleet: Path | None = None, instances: Path | None = None
) -> None:
    """Runs a stand-in for the platform's object API.

    Example: python -m wasabimux.standins platform 127.0.0.1:7000 \
--fleet examples/brazos.json

    Args:
        listen: Address to listen on, as IP:PORT.
        fleet: File with the initial fleet settings, as JSON.
        instances: File with the initial list of instances, as JSON.
    """
    memory_platform = MemoryPlatform()
    server = PlatformServer(memory_platform, os.environ.get(TOKEN_VARIABLE))

    async def run() -> None:
        if fleet is not None:
            value = json.dumps(json.loads(fleet.read_bytes())).encode()
            await memory_platform.put(SETTINGS_KIND, SETTINGS_NAME, value, 0)
        if instances is not None:
            for item in json.loads(instances.read_bytes()):
                memory_platform.set_instance(InstanceRecord(**item))
        await _serve(server.handle, listen)

    asyncio.run(run())


@app.command
def engine(listen: str, *, parameters: str = "{}") -> None:
    """Runs a stand-in for a model engine that can prefill and decode.

    Example: python -m wasabimux.standins engine 127.0.0.1:7101 \
--parameters '{"slots": 4}'

    Args:
        listen: Address to listen on, as IP:PORT.
        parameters: Engine parameters that differ from the defaults, as JSON.
    """
    engine_parameters = EngineParameters(**json.loads(parameters))
    model = EngineModel(listen, engine_parameters, fetch_kv_over_http)
    asyncio.run(_serve(EngineServer(model).handle, listen))


@app.command
def service(listen: str) -> None:
    """Runs a stand-in for an HTTP service that counts its calls.

    Example: python -m wasabimux.standins service 127.0.0.1:7201

    Args:
        listen: Address to listen on, as IP:PORT.
    """
    asyncio.run(_serve(PlainService().handle, listen))


@app.command
def layout(fleet: Path, folder: Path, *, first_port: int = 7300) -> None:
    """Writes the settings files of a fleet and prints its process commands.

    Example: python -m wasabimux.standins layout examples/brazos.json \
examples/processes/brazos

    Args:
        fleet: File with the fleet settings, as JSON.
        folder: Folder for the files.
        first_port: First of the consecutive ports to use on 127.0.0.1.
    """
    settings = check_fleet(json.loads(fleet.read_bytes())).ok
    process_layout = Layout(settings, folder, AddressAllocator(first_port))
    for command in process_layout.commands:
        print("python", shlex.join(command.arguments))


@app.command
def laptop(fleet: Path, folder: Path, *, first_port: int = 7300) -> None:
    """Runs a fleet as separate local processes until SIGINT or SIGTERM.

    Example: python -m wasabimux.standins laptop examples/brazos.json /tmp/brazos

    Args:
        fleet: File with the fleet settings, as JSON.
        folder: Folder for settings files and logs.
        first_port: First of the consecutive ports to use on 127.0.0.1.
    """
    settings = check_fleet(json.loads(fleet.read_bytes())).ok
    with LocalFleet(Layout(settings, folder, AddressAllocator(first_port))) as running:
        print("callers", *running.layout.entry_addresses, flush=True)
        asyncio.run(wait_for_stop_signal())


async def _serve(handler: Handler, listen: str) -> None:
    with written_logs(sys.stderr, "WARNING"):
        async with HttpServer(handler) as server:
            await server.listen(*parse_address(listen))
            await wait_for_stop_signal()


if __name__ == "__main__":
    app()
