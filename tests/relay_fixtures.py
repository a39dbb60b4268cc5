"""A relay before stand-ins of the platform, for tests over real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncGenerator, Callable
from typing import Any, NamedTuple

from wasabimux.adapters.http_client import ClientResponse, HttpClient
from wasabimux.platform.relay_platform import relay_platform
from wasabimux.platform.standins.runner import StandInRunner
from wasabimux.platform.standins.store import StandInStore
from wasabimux.relay.process import RunningRelay, run_relay
from wasabimux.settings.process import RelaySettings
from wasabimux.standins.laptop import Ports

API_KEY = "key-of-ropes"
HOST = "desk.example"


class RelayCluster(NamedTuple):
    """A store, runners and relays."""

    store: StandInStore
    runners: dict[str, StandInRunner]
    relays: list[RunningRelay]

    async def request(
        self,
        path: str,
        request_id: str = "r1",
        relay: int = 0,
        method: str = "POST",
        body: bytes = b"body",
        **headers: str,
    ) -> ClientResponse:
        """Sends a request as a caller would; keyword names become headers."""
        callers = self.relays[relay].http_address
        return await call(callers, path, request_id, method, body, **headers)

    async def wait_until(self, holds: Callable[[], bool]) -> None:
        """Waits until something holds."""
        while not holds():
            await asyncio.sleep(0.01)


async def call(
    callers: tuple[str, int],
    path: str,
    request_id: str = "r1",
    method: str = "POST",
    body: bytes = b"body",
    **headers: str,
) -> ClientResponse:
    """Sends a request to a relay; keyword names become headers."""
    sent = {
        "wasabimux-request-id": request_id,
        "wasabimux-deadline-ms": "14000",
        "authorization": f"Bearer {API_KEY}",
    }
    sent |= {name.replace("_", "-"): value for name, value in headers.items()}
    pairs = [(name.encode(), value.encode()) for name, value in sent.items()]
    return await _CallerClient(*callers).request(method, path, pairs, body)


class _CallerClient(HttpClient):
    def _framed(self, headers: Any, body: bytes) -> Any:
        framed = [(b"host", HOST.encode()), *headers]
        return [*framed, (b"content-length", str(len(body)).encode())]


def desired_state(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Returns a desired state with one route of each kind."""
    route = {"host": HOST, "targetLatencyMs": 400, "priority": 1, "maxAttempts": 2}
    stream = route | {"kind": "stream", "timeoutMs": 14_000, "service": "engines"}
    engine = {"slots": 16, "kvCapacityTokens": 80_000, "kvTokenBytes": 1, "stride": 10}
    engine |= {"kvRetentionS": 0.5, "roleSwitchS": 1.0, "holdMs": 2_000}
    plain = {"healthPath": "/health", "maxConnections": 50}
    state: dict[str, Any] = {
        "version": version,
        "routes": [
            route
            | {"name": "safe", "pathPrefix": "/safe/", "kind": "safe"}
            | {"service": "desk", "timeoutMs": 2_000},
            route
            | {"name": "unsafe", "pathPrefix": "/unsafe/", "kind": "unsafe"}
            | {"service": "desk", "timeoutMs": 800, "maxAttempts": 1},
            stream | {"name": "gen", "pathPrefix": "/gen/", "resumable": True},
            stream | {"name": "once", "pathPrefix": "/once/", "maxAttempts": 1},
        ],
        "services": [
            plain | {"name": "engines", "engine": engine},
            plain | {"name": "desk"},
        ],
        "limits": {
            "maxHeaderBytes": 16_384,
            "maxBodyBytes": 1_000_000,
            "headerTimeoutMs": 3_000,
            "idleTimeoutMs": 15_000,
        },
        "tenants": [{"name": "ropes", "apiKeys": [API_KEY], "unit": "token_stream"}],
    }
    return state | changes


def relay_settings(name: str, store: str, zone: str = "zone-a") -> RelaySettings:
    """Returns the settings of a relay on free ports."""
    ports = Ports(None)
    return RelaySettings(
        instance=name,
        failure_domain=zone,
        admin=ports.address(),
        plain_links=True,
        callers=ports.address(),
        ready=ports.address(),
        ready_path="/v1/ready",
        peers=ports.address(),
        platform=store,
        grace_s=2.0,
        retry_extra=50,
    )


@contextlib.asynccontextmanager
async def relay_cluster(
    relays: int = 1, state: dict[str, Any] | None = None
) -> AsyncGenerator[RelayCluster, None]:
    """Runs relays before two plain runners and four engines."""
    runners = [
        StandInRunner("desk-1", "desk"),
        StandInRunner("desk-2", "desk", "zone-b"),
        StandInRunner("pre-1", "engines", phase="prefill"),
        StandInRunner("dec-1", "engines", phase="decode"),
        StandInRunner("dec-2", "engines", "zone-b", phase="decode"),
        StandInRunner("dec-3", "engines", "zone-b", phase="decode"),
    ]
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(StandInStore())
        address = await store.listen()
        for runner in runners:
            await stack.enter_async_context(runner)
            await store.put("servers", runner.id, runner.entry())
        await store.put("config", "main", state or desired_state())
        running = []
        for number in range(relays):
            settings = relay_settings(f"relay-{number}", address)
            rng = random.Random(number)
            run = run_relay(settings, relay_platform(address), rng)
            running.append(await stack.enter_async_context(run))
        world = RelayCluster(store, {item.id: item for item in runners}, running)
        await world.wait_until(
            lambda: all(
                relay.relay.ready
                and relay.relay.membership_settled
                and len(relay.relay.pool.by_id) == len(runners)
                for relay in running
            )
        )
        yield world
