"""Relays with stand-ins of the platform, for tests over real sockets."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import random
from collections.abc import AsyncGenerator, Awaitable, Callable, Sequence
from typing import Any, NamedTuple

from wasabimux.adapters.http_client import ClientResponse, HttpClient
from wasabimux.platform.relay_platform import relay_platform
from wasabimux.platform.standins.runner import StandInRunner
from wasabimux.platform.standins.store import StandInStore
from wasabimux.relay.process import RunningRelay, run_relay
from wasabimux.settings.process import RelaySettings
from wasabimux.standins.laptop import AddressAllocator

API_KEY = "key-of-ropes"
HOST = "desk.example"


class RelayCluster(NamedTuple):
    """A store, runners and relays, all in this process.

    Attributes:
        store: Stand-in of the platform's store.
        runners: Stand-ins of the upstreams, by identity.
        relays: The relays under test.
        runs: Owners of the relays, in the same order.
        store_address: Address of the store.
        changes: Fields of the relays' settings that replace the default ones.
    """

    store: StandInStore
    runners: dict[str, StandInRunner]
    relays: list[RunningRelay]
    runs: list[contextlib.AsyncExitStack]
    store_address: str
    changes: dict[str, Any] = {}

    async def start_relay(self, index: int) -> None:
        """Starts a relay, or starts it again after a stop without a drain."""
        await self.runs[index].aclose()
        settings = relay_settings(f"relay-{index}", self.store_address)
        settings = settings.model_copy(update=self.changes)
        platform = relay_platform(self.store_address)
        await self.runs[index].enter_async_context(platform.store)
        run = run_relay(settings, platform, random.Random(index))
        self.relays[index:] = [
            await self.runs[index].enter_async_context(run),
            *self.relays[index + 1 :],
        ]

    async def wait_until_settled(self) -> None:
        """Waits until all relays are ready and know all upstreams."""
        await self.wait_until(
            lambda: all(
                running.relay.ready
                and running.relay.membership_settled
                and len(running.relay.pool.by_id) == len(self.runners)
                for running in self.relays
            )
        )

    async def request(
        self,
        path: str,
        request_id: str = "r1",
        relay: int = 0,
        method: str = "POST",
        body: bytes = b"body",
        **headers: str,
    ) -> ClientResponse:
        """Sends a request to a relay; see send_request.

        Args:
            path: Target of the request.
            request_id: Identity of the request.
            relay: Index of the relay.
            method: HTTP method.
            body: Body of the request.
            **headers: Further headers; underscores in names become hyphens.
        """
        address = self.relays[relay].http_address
        return await send_request(address, path, request_id, method, body, **headers)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        """Waits until a condition is true."""
        while not condition():
            await asyncio.sleep(0.01)


async def repeat_until_quarantined(
    cluster: RelayCluster, send: Callable[[int], Awaitable[object]], pause_s: float
) -> None:
    """Sends requests that crash upstreams until all relays refuse them.

    Args:
        cluster: The relays and upstreams.
        send: Sends the request with a number, at one relay after the other.
        pause_s: Time in s between requests.
    """
    for number in itertools.count(100):
        await send(number)
        if all(running.relay.quarantine.count for running in cluster.relays):
            return
        await asyncio.sleep(pause_s)


@contextlib.asynccontextmanager
async def restarted_after_crashes(
    store: StandInStore, runners: Sequence[StandInRunner], delay_s: float
) -> AsyncGenerator[None, None]:
    """Starts runners that crash again, each time under a new identity.

    Args:
        store: Store in which the runners are registered.
        runners: The runners.
        delay_s: Time in s between a crash and the next start.
    """
    restarts = [
        asyncio.ensure_future(_restart_after_crashes(store, runner, delay_s))
        for runner in runners
    ]
    try:
        yield
    finally:
        for restart in restarts:
            restart.cancel()


async def _restart_after_crashes(
    store: StandInStore, runner: StandInRunner, delay_s: float
) -> None:
    name = runner.id
    for number in itertools.count(2):
        while not runner.crashed:
            await asyncio.sleep(0.01)
        await asyncio.sleep(delay_s)
        await store.remove("servers", runner.id)
        await runner.restart(f"{name}-{number}")
        await store.put("servers", runner.id, runner.store_entry())


async def send_request(
    address: tuple[str, int],
    path: str,
    request_id: str = "r1",
    method: str = "POST",
    body: bytes = b"body",
    **headers: str,
) -> ClientResponse:
    """Sends a request as a client of a relay.

    Args:
        address: Host and port on which the relay serves clients.
        path: Target of the request.
        request_id: Identity of the request.
        method: HTTP method.
        body: Body of the request.
        **headers: Further headers; underscores in names become hyphens.

    Returns:
        The response, whose body is still to be read.
    """
    all_headers = {
        "wasabimux-request-id": request_id,
        "wasabimux-deadline-ms": "14000",
        "authorization": f"Bearer {API_KEY}",
    }
    all_headers |= {name.replace("_", "-"): value for name, value in headers.items()}
    pairs = [(name.encode(), value.encode()) for name, value in all_headers.items()]
    return await _RelayClient(*address).request(method, path, pairs, body)


class _RelayClient(HttpClient):
    """HTTP client that sends the host of the test routes."""

    def _add_framing_headers(self, headers: Any, body: bytes) -> Any:
        framed = [(b"host", HOST.encode()), *headers]
        return [*framed, (b"content-length", str(len(body)).encode())]


def desired_state(version: int = 1, **changes: Any) -> dict[str, Any]:
    """Returns a desired state document with routes of all kinds.

    Args:
        version: Version of the desired state.
        **changes: Top-level fields that replace the default ones.
    """
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


def relay_settings(
    instance: str, store_address: str, failure_domain: str = "zone-a"
) -> RelaySettings:
    """Returns the settings of a relay on free ports.

    Args:
        instance: Name of the relay.
        store_address: Address of the platform's store.
        failure_domain: Failure domain of the relay.
    """
    ports = AddressAllocator(None)
    return RelaySettings(
        instance=instance,
        failure_domain=failure_domain,
        admin=ports.allocate(),
        plain_links=True,
        callers=ports.allocate(),
        ready=ports.allocate(),
        ready_path="/v1/ready",
        peers=ports.allocate(),
        platform=store_address,
        grace_s=2.0,
        retry_extra=50,
    )


@contextlib.asynccontextmanager
async def relay_cluster(
    relays: int = 1, state: dict[str, Any] | None = None, **changes: Any
) -> AsyncGenerator[RelayCluster, None]:
    """Runs relays, two upstreams without an engine and four engines.

    Args:
        relays: Number of relays.
        state: Desired state document, the default one if None.
        **changes: Fields of the relays' settings that replace the default ones.

    Yields:
        The cluster, once all relays are ready and know all upstreams.
    """
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
            await store.put("servers", runner.id, runner.store_entry())
        await store.put("config", "main", state or desired_state())
        runs = [
            await stack.enter_async_context(contextlib.AsyncExitStack())
            for _ in range(relays)
        ]
        runners_by_id = {runner.id: runner for runner in runners}
        cluster = RelayCluster(store, runners_by_id, [], runs, address, changes)
        for index in range(relays):
            await cluster.start_relay(index)
        await cluster.wait_until_settled()
        yield cluster
