"""The agent: the only way to its upstream."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from wasabimux._clock import loop_time
from wasabimux.agent.calls import CallWorker
from wasabimux.agent.capacity import Capacity
from wasabimux.agent.completions import CompletionWorker
from wasabimux.agent.reaper import Reaper
from wasabimux.errors import ErrorCode, Ran, Refusal, RefusedError
from wasabimux.ids import Incarnation, InstanceId, new_incarnation
from wasabimux.link.link import Link, LinkEvents, LinkTraffic
from wasabimux.link.messages import (
    End,
    Hello,
    Message,
    Open,
    Operation,
    SettingsUpdate,
)
from wasabimux.link.stream import LinkLost, LinkStream, StreamCancelled
from wasabimux.ports import Channel, Engine, EngineRefused, PlainUpstream, UpstreamLost
from wasabimux.settings.views import UpstreamSettings
from wasabimux.timeline import Timeline

#: Time between two questions to the engine whether it is cold.
COLD_POLL_S = 0.5

logger = logging.getLogger("wasabimux.agent")


class Backend(Protocol):
    """What an agent does for its kind of upstream."""

    async def start(self) -> None:
        """Prepares the upstream; no work is accepted before it returns."""

    async def serve(self, stream: LinkStream, message: Open) -> None:
        """Serves one stream. Raises RefusedError."""

    def kill(self) -> None:
        """Ends all work at once, as the death of the process would."""

    @property
    def unfinished(self) -> int:
        """Work that goes on after its stream has ended."""


class EngineBackend:
    """Serves reservations and prefills at a model engine.

    Args:
        engine: The engine.
        capacity: Its slots.
        timeline: Records events.
    """

    unfinished = 0

    def __init__(self, engine: Engine, capacity: Capacity, timeline: Timeline) -> None:
        self._engine = engine
        self._capacity = capacity
        self._reaper = Reaper(engine)
        self._worker = CompletionWorker(engine, capacity, self._reaper, timeline)
        self._poll: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Frees what an earlier life of the agent has left at the engine."""
        await self._reaper.cancel_all()
        self._poll = asyncio.ensure_future(self._poll_cold())

    async def serve(self, stream: LinkStream, message: Open) -> None:
        """Serves one stream."""
        if message.operation is Operation.PREFILL:
            await self._worker.prefill(stream, message)
        elif message.operation is Operation.RESERVE:
            await self._worker.reserve(stream, message)
        else:
            text = f"an engine does not {message.operation.value}"
            raise RefusedError(Refusal(ErrorCode.BAD_REQUEST, text))

    def kill(self) -> None:
        """Ends all work at once, as the death of the process would."""
        if self._poll is not None:
            self._poll.cancel()
        self._reaper.kill()

    async def _poll_cold(self) -> None:
        while True:
            try:
                async with asyncio.timeout(COLD_POLL_S):
                    cold = await self._engine.is_cold()
            except (UpstreamLost, EngineRefused, OSError, TimeoutError):
                cold = True
            if cold:
                self._capacity.on_cold(loop_time())
            await asyncio.sleep(COLD_POLL_S)


class ServiceBackend:
    """Serves calls at a plain service.

    Args:
        service: The service.
        capacity: Its slots.
        timeline: Records events.
    """

    def __init__(
        self, service: PlainUpstream, capacity: Capacity, timeline: Timeline
    ) -> None:
        self._worker = CallWorker(service, capacity, timeline)

    @property
    def unfinished(self) -> int:
        """Calls that run on although nobody waits for them."""
        return self._worker.running

    async def start(self) -> None:
        """Does nothing: a plain service holds nothing for earlier calls."""

    def kill(self) -> None:
        """Ends all work at once, as the death of the process would."""
        self._worker.kill()

    async def serve(self, stream: LinkStream, message: Open) -> None:
        """Serves one stream."""
        if message.operation is not Operation.CALL:
            text = f"a plain service does not {message.operation.value}"
            raise RefusedError(Refusal(ErrorCode.BAD_REQUEST, text))
        await self._worker.call(stream, message)


class Agent:
    """Accepts links from entries and serves their streams.

    Args:
        name: Id of the upstream.
        capacity: Slots of the upstream.
        backend: Serves the upstream.
        timeline: Records events.
    """

    def __init__(
        self,
        name: InstanceId,
        capacity: Capacity,
        backend: Backend,
        timeline: Timeline,
    ) -> None:
        self.incarnation: Incarnation = new_incarnation()
        self.traffic = LinkTraffic()
        self.timeline = timeline
        self.capacity = capacity
        self._name = name
        self._backend = backend
        self._links: set[Link] = set()
        self._newest: SettingsUpdate | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def __enter__(self) -> Agent:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    @property
    def busy(self) -> int:
        """Streams and calls that have not ended."""
        return len(self._tasks) + self._backend.unfinished

    async def start(self) -> None:
        """Prepares the upstream for work."""
        await self._backend.start()
        self.capacity.start()
        self.timeline.record("agent_started", incarnation=self.incarnation)
        self._report_load()

    def on_channel(self, channel: Channel) -> None:
        """Takes a connection from an entry."""
        hello = Hello("agent", self._name, self.incarnation)

        events = LinkEvents(self._on_open, self._on_control)
        link = Link(channel, hello, self.timeline.clock, events, False, self.traffic)
        self._links.add(link)
        link.start()
        task = asyncio.ensure_future(link.lost.wait())
        task.add_done_callback(lambda _: self._links.discard(link))

    async def drain(self, timeout_s: float) -> bool:
        """Refuses new work and waits for the rest.

        Args:
            timeout_s: Longest time to wait.

        Returns:
            True if all work has ended.
        """
        self.capacity.shut_down()
        self._report_load()
        loop = asyncio.get_running_loop()
        deadline = loop.time() + timeout_s
        while self.busy:
            if loop.time() > deadline:
                return False
            await asyncio.sleep(0.02)
        for link in list(self._links):
            await link.flush()
        return True

    def close(self) -> None:
        """Closes all links; their streams are cancelled."""
        for link in list(self._links):
            link.close()

    def kill(self) -> None:
        """Ends all work at once, as the death of the process would."""
        for task in list(self._tasks):
            task.cancel()
        self._backend.kill()
        self.close()

    def _on_control(self, link: Link, message: Message) -> None:
        if isinstance(message, SettingsUpdate):
            self._on_settings(link, message)

    def _on_settings(self, link: Link, update: SettingsUpdate) -> None:
        if update.version < self.capacity.version:
            if self._newest is not None:
                link.send(0, self._newest)
            return
        view = UpstreamSettings.model_validate_json(update.value)
        now = loop_time()
        if update.version > self.capacity.version:
            self.timeline.record("settings_in_force", version=update.version)
            self._newest = update
            for other in self._links - {link}:
                other.send(0, update)
        self.capacity.apply(update.version, view, now)
        self._report_load()

    def _report_load(self) -> None:
        for link in self._links:
            link.send(0, self.capacity.load())

    def _on_open(self, link: Link, stream: LinkStream, message: Open) -> None:
        task = asyncio.ensure_future(self._serve(link, stream, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, link: Link, stream: LinkStream, message: Open) -> None:
        """Serves a stream until it ends, is cancelled, or its link is lost."""
        with stream:
            work = asyncio.ensure_future(self._serve_to_end(stream, message))
            closed = asyncio.ensure_future(stream.wait_closed())
            await asyncio.wait({work, closed}, return_when=asyncio.FIRST_COMPLETED)
            closed.cancel()
            work.cancel()
            await asyncio.wait({work})
            link.send(0, self.capacity.load())

    async def _serve_to_end(self, stream: LinkStream, message: Open) -> None:
        try:
            if message.incarnation not in (0, self.incarnation):
                text = "the agent has restarted since"
                raise RefusedError(Refusal(ErrorCode.UPSTREAM_LOST, text, Ran.UNKNOWN))
            await self._backend.serve(stream, message)
        except RefusedError as error:
            self.timeline.record(
                "refused",
                message.request_id,
                message.workspace,
                code=error.refusal.code.value,
                ran=error.refusal.ran.value,
            )
            stream.send_end(End(error.refusal))
        except (LinkLost, StreamCancelled):
            self.timeline.record("stream_gone", message.request_id, message.workspace)
        except Exception:
            logger.exception("event=serve_failed request_id=%s", message.request_id)
            internal = Refusal(ErrorCode.INTERNAL, "internal error", Ran.UNKNOWN)
            stream.send_end(End(internal))
