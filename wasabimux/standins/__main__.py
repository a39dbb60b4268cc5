"""Programs for the stand-ins: `python -m wasabimux.standins NAME`."""

from __future__ import annotations

import asyncio
import json
import os
import shlex
from pathlib import Path

from cyclopts import App

from wasabimux.adapters.http_server import Handler, HttpServer
from wasabimux.entry.feed import SETTINGS_KIND, SETTINGS_NAME
from wasabimux.ports import InstanceRecord
from wasabimux.runtime import configure_logging, wait_for_stop_signal
from wasabimux.settings.address import parse_address
from wasabimux.settings.check import check_fleet
from wasabimux.standins.engine import EngineModel, EngineParameters
from wasabimux.standins.engine_server import EngineServer, fetch_kv_over_http
from wasabimux.standins.laptop import AddressAllocator, Layout, LocalFleet
from wasabimux.standins.platform import MemoryPlatform, PlatformServer
from wasabimux.standins.service import PlainService

TOKEN_VARIABLE = "WASABIMUX_PLATFORM_TOKEN"

app = App(name="wasabimux.standins", help="Small stand-ins for outside systems.")


@app.command
def platform(
    listen: str, *, fleet: Path | None = None, instances: Path | None = None
) -> None:
    """Runs the platform's object API.

    Example: python -m wasabimux.standins platform 127.0.0.1:7000 \
--fleet examples/brazos.json

    Args:
        listen: Address, as IP:PORT.
        fleet: Settings to hold from the start.
        instances: List of instances to hold from the start.
    """
    memory = MemoryPlatform()
    server = PlatformServer(memory, os.environ.get(TOKEN_VARIABLE))

    async def run() -> None:
        if fleet is not None:
            value = json.dumps(json.loads(fleet.read_bytes())).encode()
            await memory.put(SETTINGS_KIND, SETTINGS_NAME, value, 0)
        if instances is not None:
            for item in json.loads(instances.read_bytes()):
                memory.set_instance(InstanceRecord(**item))
        await _serve(server.handle, listen)

    asyncio.run(run())


@app.command
def engine(listen: str, *, parameters: str = "{}") -> None:
    """Runs a model engine that can prefill and decode.

    Example: python -m wasabimux.standins engine 127.0.0.1:7101 \
--parameters '{"slots": 4}'

    Args:
        listen: Address, as IP:PORT.
        parameters: Capacities that differ from the defaults, as JSON.
    """
    capacities = EngineParameters(**json.loads(parameters))
    model = EngineModel(listen, capacities, fetch_kv_over_http)
    asyncio.run(_serve(EngineServer(model).handle, listen))


@app.command
def service(listen: str) -> None:
    """Runs a plain service that counts its calls.

    Example: python -m wasabimux.standins service 127.0.0.1:7201

    Args:
        listen: Address, as IP:PORT.
    """
    asyncio.run(_serve(PlainService().handle, listen))


@app.command
def layout(fleet: Path, folder: Path, *, first_port: int = 7300) -> None:
    """Writes the settings files of a fleet of separate processes.

    Example: python -m wasabimux.standins layout examples/brazos.json \
examples/processes/brazos

    Args:
        fleet: Settings of the fleet.
        folder: Where the files go.
        first_port: First of the ports on 127.0.0.1.
    """
    settings = check_fleet(json.loads(fleet.read_bytes())).ok
    written = Layout(settings, folder, AddressAllocator(first_port))
    for command in written.commands:
        print("python", shlex.join(command.arguments))


@app.command
def laptop(fleet: Path, folder: Path, *, first_port: int = 7300) -> None:
    """Runs a fleet as separate processes until SIGINT or SIGTERM.

    Example: python -m wasabimux.standins laptop examples/brazos.json /tmp/brazos

    Args:
        fleet: Settings of the fleet.
        folder: Where settings files and logs go.
        first_port: First of the ports on 127.0.0.1.
    """
    settings = check_fleet(json.loads(fleet.read_bytes())).ok
    with LocalFleet(Layout(settings, folder, AddressAllocator(first_port))) as running:
        print("callers", *running.layout.entry_addresses, flush=True)
        asyncio.run(wait_for_stop_signal())


async def _serve(handler: Handler, listen: str) -> None:
    configure_logging("WARNING")
    async with HttpServer(handler) as server:
        await server.listen(*parse_address(listen))
        await wait_for_stop_signal()


if __name__ == "__main__":
    app()
