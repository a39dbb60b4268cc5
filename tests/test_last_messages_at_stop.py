"""Messages on links, calls and answers that a process still owes as it stops."""

from __future__ import annotations

import asyncio
import signal
import sys
from collections.abc import Iterator
from typing import Any

import pytest

from tests.stopping_process import (
    READ_PAUSE_S,
    StoppingProcess,
    connect_slowly,
    listen_shrunk,
)
from wasabimux import runtime
from wasabimux._clock import loop_time
from wasabimux.adapters.http_server import HttpRequest, HttpResponse, HttpServer
from wasabimux.link.link import Link, LinkCallbacks
from wasabimux.link.messages import (
    EndStream,
    Hello,
    OpenStream,
    Operation,
    SettingsUpdate,
)
from wasabimux.settings.process import AgentSettings, UpstreamKind
from wasabimux.settings.views import UpstreamSettings
from wasabimux.timeline import HybridClock

#: Size of a reply: all of it fits into the write buffer of a link.
REPLY_BYTES = 60_000

ANY_PORT = "127.0.0.1:0"

#: Longest time in s of a stop for which everything has arrived.
CALM_STOP_S = 1.0

#: Longest time in s of a stop with a peer that reads nothing.
MAX_HELD_STOP_S = 6.0

CALL = OpenStream(
    Operation.CALL, "r-1", workspace="w", budget_ms=30_000, method="POST", target="/pay"
)

SETTINGS = SettingsUpdate(
    1,
    UpstreamSettings(accepting=True, max_requests=4, cold_requests=4, warm_up_s=0.0)
    .model_dump_json()
    .encode(),
)


async def reply(request: HttpRequest) -> HttpResponse:
    """Answers a call of the agent."""
    await request.body()
    return HttpResponse(200, body=b"x" * REPLY_BYTES)


async def run_agent_until_stopped() -> bool:
    """Runs an agent and its service until SIGTERM; returns if it drained."""
    runtime.listen_tcp = listen_shrunk  # type: ignore[attr-defined]
    stop = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stop.set)
    async with HttpServer(reply) as service:
        host, port = await service.listen("127.0.0.1", 0)
        settings = AgentSettings(
            instance="agent-1",
            failure_domain="a",
            admin=ANY_PORT,
            plain_links=True,
            upstream_id="orders-1",
            link=ANY_PORT,
            kind=UpstreamKind.SERVICE,
            upstream=f"{host}:{port}",
        )
        async with runtime.run_agent(settings) as running:
            print(running.link_address[1], flush=True)
            await stop.wait()
            return await running.drain()


@pytest.fixture
def agent() -> Iterator[StoppingProcess]:
    """An agent in a process of its own."""
    with StoppingProcess(__name__, "agent") as process:
        yield process


async def link_slowly(port: int) -> tuple[Link, Any]:
    """Returns a link to a process, and the slow channel below it."""
    channel = await connect_slowly(port)
    link = Link(channel, Hello("entry", "e", 1), HybridClock(), LinkCallbacks(), True)
    link.start()
    await link.ready.wait()
    link.send(0, SETTINGS)
    return link, channel


async def test_last_reply_of_an_agent_that_stops_arrives_whole(
    agent: StoppingProcess,
) -> None:
    """Regression: a reply counted as sent while the link's write buffer held it."""
    link, _ = await link_slowly(agent.ports[0])
    with link:
        stream = link.open(CALL)
        await asyncio.sleep(20 * READ_PAUSE_S)
        agent.stop()
        await stream.receive_head()
        items = [item async for item in stream.payloads()]
    assert items[-1] == EndStream()
    assert sum(len(item) for item in items[:-1]) == REPLY_BYTES  # type: ignore
    assert await agent.wait() == 0


async def test_agent_without_anything_owed_stops_at_once(
    agent: StoppingProcess,
) -> None:
    link, _ = await link_slowly(agent.ports[0])
    with link:
        stream = link.open(CALL)
        await stream.receive_head()
        items = [item async for item in stream.payloads()]
        assert items[-1] == EndStream()
        started_s = loop_time()
        agent.stop()
        assert await agent.wait() == 0
    assert loop_time() - started_s < CALM_STOP_S


async def test_peer_that_reads_nothing_holds_the_stop_of_an_agent_briefly(
    agent: StoppingProcess,
) -> None:
    """The peer's heartbeats go on, so its link doesn't count as silent."""
    link, channel = await link_slowly(agent.ports[0])
    with link:
        link.open(CALL)
        await asyncio.sleep(20 * READ_PAUSE_S)
        channel.held = True
        started_s = loop_time()
        agent.stop()
        await agent.wait()
    assert loop_time() - started_s < MAX_HELD_STOP_S


RUN_BY_ROLE = {"agent": run_agent_until_stopped}

if __name__ == "__main__":
    drained = asyncio.run(RUN_BY_ROLE[sys.argv[1]]())
    sys.exit(0 if drained else 1)
