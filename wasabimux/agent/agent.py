"""The agent of an upstream; all requests to the upstream pass through it."""

from __future__ import annotations

import asyncio
import logging
from typing import Protocol

from wasabimux._clock import loop_time
from wasabimux.agent.admission import AdmissionController
from wasabimux.agent.calls import CallWorker
from wasabimux.agent.completions import CompletionWorker
from wasabimux.agent.run_canceller import RunCanceller
from wasabimux.errors import ErrorCode, Ran, Refusal, RefusedError
from wasabimux.ids import Incarnation, InstanceId, new_incarnation
from wasabimux.link.link import Link, LinkCallbacks, LinkTraffic, finish_links
from wasabimux.link.messages import (
    EndStream,
    Hello,
    Message,
    OpenStream,
    Operation,
    SettingsUpdate,
)
from wasabimux.link.stream import LinkLost, LinkStream, StreamCancelled
from wasabimux.ports import Channel, Engine, EngineRefused, PlainUpstream, UpstreamLost
from wasabimux.settings.views import UpstreamSettings
from wasabimux.timeline import Timeline

#: Interval at which the agent asks its engine whether it is cold.
COLD_POLL_INTERVAL_S = 0.5

#: Shortest time in s that a stop leaves for the last messages to arrive.
LAST_MESSAGES_S = 1.0

logger = logging.getLogger("wasabimux.agent")


class UpstreamDriver(Protocol):
    """Serves streams at one kind of upstream."""

    async def start(self) -> None:
        """Prepares the upstream; requests are refused until it returns."""

    async def serve(self, stream: LinkStream, message: OpenStream) -> None:
        """Serves a stream. Raises RefusedError."""

    def kill(self) -> None:
        """Cancels all tasks at once, as if the process had been killed."""

    @property
    def unfinished_calls(self) -> int:
        """Number of unfinished calls that outlive their stream."""


class EngineDriver:
    """Serves reservations and prefills at a model engine.

    Args:
        engine: The engine.
        admission: Admits requests to the engine.
        timeline: Records events.
    """

    unfinished_calls = 0

    def __init__(
        self, engine: Engine, admission: AdmissionController, timeline: Timeline
    ) -> None:
        self._engine = engine
        self._admission = admission
        self._run_canceller = RunCanceller(engine)
        self._worker = CompletionWorker(
            engine, admission, self._run_canceller, timeline
        )
        self._cold_poll_task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Cancels the runs that an earlier incarnation of the agent left behind."""
        await self._run_canceller.cancel_all()
        self._cold_poll_task = asyncio.ensure_future(self._poll_cold_state())

    async def serve(self, stream: LinkStream, message: OpenStream) -> None:
        """Serves a stream with a prefill or a reservation."""
        if message.operation is Operation.PREFILL:
            await self._worker.prefill(stream, message)
        elif message.operation is Operation.RESERVE:
            await self._worker.reserve(stream, message)
        else:
            text = f"an engine does not support {message.operation.value}"
            raise RefusedError(Refusal(ErrorCode.BAD_REQUEST, text))

    def kill(self) -> None:
        """Cancels all tasks at once, as if the process had been killed."""
        if self._cold_poll_task is not None:
            self._cold_poll_task.cancel()
        self._run_canceller.kill()

    async def _poll_cold_state(self) -> None:
        while True:
            try:
                async with asyncio.timeout(COLD_POLL_INTERVAL_S):
                    cold = await self._engine.is_cold()
            except (UpstreamLost, EngineRefused, OSError, TimeoutError):
                cold = True
            if cold:
                self._admission.on_cold_signal(loop_time())
            await asyncio.sleep(COLD_POLL_INTERVAL_S)


class ServiceDriver:
    """Serves calls at a plain HTTP service.

    Args:
        service: The service.
        admission: Admits requests to the service.
        timeline: Records events.
    """

    def __init__(
        self, service: PlainUpstream, admission: AdmissionController, timeline: Timeline
    ) -> None:
        self._worker = CallWorker(service, admission, timeline)

    @property
    def unfinished_calls(self) -> int:
        """Number of unfinished calls that must not run twice."""
        return self._worker.running_count

    async def start(self) -> None:
        """Does nothing: a plain service keeps no resources of earlier calls."""

    def kill(self) -> None:
        """Cancels all tasks at once, as if the process had been killed."""
        self._worker.kill()

    async def serve(self, stream: LinkStream, message: OpenStream) -> None:
        """Serves a stream with a call."""
        if message.operation is not Operation.CALL:
            text = f"a plain service does not support {message.operation.value}"
            raise RefusedError(Refusal(ErrorCode.BAD_REQUEST, text))
        await self._worker.call(stream, message)


class Agent:
    """Accepts links from entries and serves their streams.

    Args:
        upstream_id: Id of the upstream.
        admission: Admits requests to the upstream.
        driver: Serves the streams at the upstream.
        timeline: Records events.

    Attributes:
        incarnation: Identifies this run of the agent.
        traffic: Bytes on the links of the agent.
    """

    def __init__(
        self,
        upstream_id: InstanceId,
        admission: AdmissionController,
        driver: UpstreamDriver,
        timeline: Timeline,
    ) -> None:
        self.incarnation: Incarnation = new_incarnation()
        self.traffic = LinkTraffic()
        self.timeline = timeline
        self.admission = admission
        self._upstream_id = upstream_id
        self._driver = driver
        self._links: set[Link] = set()
        self._latest_settings: SettingsUpdate | None = None
        self._tasks: set[asyncio.Task[None]] = set()

    def __enter__(self) -> Agent:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    @property
    def unfinished_count(self) -> int:
        """Number of streams and calls that have not ended.

        A call that must not run twice counts apart from its stream.
        """
        return len(self._tasks) + self._driver.unfinished_calls

    async def start(self) -> None:
        """Prepares the upstream and begins to accept requests."""
        await self._driver.start()
        self.admission.start()
        self.timeline.record("agent_started", incarnation=self.incarnation)
        self._report_load()

    def on_channel(self, channel: Channel) -> None:
        """Starts a link on a connection from an entry."""
        hello = Hello("agent", self._upstream_id, self.incarnation)

        events = LinkCallbacks(self._on_open, self._on_control)
        link = Link(channel, hello, self.timeline.clock, events, False, self.traffic)
        self._links.add(link)
        link.start()
        task = asyncio.ensure_future(link.closed.wait())
        task.add_done_callback(lambda _: self._links.discard(link))

    async def drain(self, timeout_s: float) -> bool:
        """Refuses new requests, waits until the others have ended, and ends its links.

        Args:
            timeout_s: Longest wait in s for streams and calls. Their
                ends get LAST_MESSAGES_S to arrive, even if it is over.

        Returns:
            True if all streams and calls have ended, and their peers have the ends.
        """
        self.admission.stop_accepting()
        self._report_load()
        deadline_s = loop_time() + timeout_s
        while self.unfinished_count and loop_time() <= deadline_s:
            await asyncio.sleep(0.02)
        have_ended = not self.unfinished_count
        left_s = max(LAST_MESSAGES_S, deadline_s - loop_time())
        return await finish_links(list(self._links), left_s) and have_ended

    def close(self) -> None:
        """Closes all links, which cancels their streams."""
        for link in list(self._links):
            link.close()

    def kill(self) -> None:
        """Cancels all tasks at once, as if the process had been killed."""
        for task in list(self._tasks):
            task.cancel()
        self._driver.kill()
        self.close()

    def _on_control(self, link: Link, message: Message) -> None:
        if isinstance(message, SettingsUpdate):
            self._on_settings(link, message)

    def _on_settings(self, link: Link, update: SettingsUpdate) -> None:
        if update.version < self.admission.settings_version:
            if self._latest_settings is not None:
                link.send(0, self._latest_settings)
            return
        view = UpstreamSettings.model_validate_json(update.value)
        now = loop_time()
        if update.version > self.admission.settings_version:
            self.timeline.record("settings_in_force", version=update.version)
            self._latest_settings = update
            for other in self._links - {link}:
                other.send(0, update)
        self.admission.apply_settings(update.version, view, now)
        self._report_load()

    def _report_load(self) -> None:
        for link in self._links:
            link.send(0, self.admission.load())

    def _on_open(self, link: Link, stream: LinkStream, message: OpenStream) -> None:
        task = asyncio.ensure_future(self._serve(link, stream, message))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _serve(self, link: Link, stream: LinkStream, message: OpenStream) -> None:
        """Serves a stream until it ends, the peer cancels it or its link is lost."""
        with stream:
            serving = asyncio.ensure_future(self._serve_or_refuse(stream, message))
            closed = asyncio.ensure_future(stream.wait_closed())
            await asyncio.wait({serving, closed}, return_when=asyncio.FIRST_COMPLETED)
            closed.cancel()
            serving.cancel()
            await asyncio.wait({serving})
            link.send(0, self.admission.load())

    async def _serve_or_refuse(self, stream: LinkStream, message: OpenStream) -> None:
        try:
            if message.incarnation not in (0, self.incarnation):
                text = "the agent has restarted since the request was first sent"
                raise RefusedError(Refusal(ErrorCode.UPSTREAM_LOST, text, Ran.UNKNOWN))
            await self._driver.serve(stream, message)
        except RefusedError as error:
            self.timeline.record(
                "refused",
                message.request_id,
                message.workspace,
                code=error.refusal.code.value,
                ran=error.refusal.ran.value,
            )
            stream.send_end(EndStream(error.refusal))
        except (LinkLost, StreamCancelled):
            self.timeline.record("stream_gone", message.request_id, message.workspace)
        except Exception:
            logger.exception("event=serve_failed request_id=%s", message.request_id)
            internal = Refusal(ErrorCode.INTERNAL, "internal error", Ran.UNKNOWN)
            stream.send_end(EndStream(internal))
