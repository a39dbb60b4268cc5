"""Serves streaming requests: reserves a slot, prefills, decodes and resumes streams."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from functools import partial

from wasabimux._clock import loop_time
from wasabimux.adapters.http_server import HttpResponse
from wasabimux.adapters.relay_metrics import RelayMetrics
from wasabimux.decisions.retry_window import ServiceRetryBudgets
from wasabimux.errors import ErrorCode, RefusedError
from wasabimux.ids import UpstreamId
from wasabimux.ports import StreamMismatch, UpstreamLost, UpstreamStalled
from wasabimux.relay.answers import AnswerReceiver
from wasabimux.relay.begun_streams import BegunStreams
from wasabimux.relay.context import RelayRequest
from wasabimux.relay.engine_stream import ActiveStream, EngineStream, StreamProgress
from wasabimux.relay.model import Phase
from wasabimux.relay.moves import MigratedStream, StreamMigrator
from wasabimux.relay.phase_watch import PhaseChangeWatch
from wasabimux.relay.placing import UpstreamSelector
from wasabimux.relay.ports import HeaderCodec
from wasabimux.relay.prefill import PrefillDispatcher
from wasabimux.relay.quarantine import RequestQuarantine
from wasabimux.relay.records import RequestEventRecorder
from wasabimux.relay.rollouts import Rollouts
from wasabimux.relay.slots import DecodeSlot, SlotScheduler
from wasabimux.relay.standby import ReadySlot, StandbySlot
from wasabimux.relay.stream_records import StreamRecords
from wasabimux.relay.stream_retries import StreamRetries
from wasabimux.relay.stream_start import STATUS_OK, StreamStarter
from wasabimux.relay.upstreams import Upstream

#: Most prefill engines that one attempt sends the prompt to.
MAX_PREFILL_ATTEMPTS = 2

#: Codes of errors with which an engine's answer was lost or not valid.
LOST_ANSWER_CODES = frozenset({ErrorCode.UPSTREAM_LOST, ErrorCode.UPSTREAM_FAILED})

#: Delay before clients may take up a stream again whose software version is not known
#: or has no engine; one that crashed is back after some seconds.
VERSION_RETRY_AFTER_S = 1.0

#: Bounds of the pause in s before a stream that was refused as it should go on asks
#: again; it doubles each time.
MIN_RESUMPTION_PAUSE_S = 0.05
MAX_RESUMPTION_PAUSE_S = 0.8


class GenerationHandler:
    """Serves streaming requests through prefill and decode engines.

    Args:
        selector: Tells which engines may take requests.
        slot_scheduler: Reserves decode slots.
        migrator: Migrates streams off engines whose memory is nearly full.
        phase_watch: Learns which engines refuse streams that have a slot.
        quarantine: Refuses requests on which engines crash.
        rollouts: Learns how software versions answer.
        stream_records: Knows the software versions of streams.
        prefill_dispatcher: Prefills prompts.
        answers: Sends requests and receives their answers.
        header_codec: Encodes the headers of responses.
        budgets: Retry budgets.
        recorder: Records events of requests.
        metrics: Measures the durations of steps.
    """

    def __init__(
        self,
        selector: UpstreamSelector,
        slot_scheduler: SlotScheduler,
        migrator: StreamMigrator,
        phase_watch: PhaseChangeWatch,
        quarantine: RequestQuarantine,
        rollouts: Rollouts,
        stream_records: StreamRecords,
        prefill_dispatcher: PrefillDispatcher,
        answers: AnswerReceiver,
        header_codec: HeaderCodec,
        budgets: ServiceRetryBudgets,
        recorder: RequestEventRecorder,
        metrics: RelayMetrics,
    ) -> None:
        self._prefill_dispatcher = prefill_dispatcher
        self._recorder = recorder
        self._metrics = metrics
        self._selector = selector
        self._slot_scheduler = slot_scheduler
        self._migrator = migrator
        self._quarantine = quarantine
        self._rollouts = rollouts
        self._stream_records = stream_records
        self._header_codec = header_codec
        self._retries = StreamRetries(quarantine, budgets, recorder)
        self._starter = StreamStarter(
            quarantine, self._retries, phase_watch, answers, recorder
        )
        self._begun_streams = BegunStreams()

    async def serve(self, request: RelayRequest) -> HttpResponse:
        """Serves a streaming request; returns once the first event has arrived.

        Raises:
            RefusedError: The request was refused or failed before its first event.
        """
        prepare = partial(self._prepare_slot, request, as_standby=True)
        standby = StandbySlot(request, prepare, self._release, self._recorder)
        request.standby = standby
        async with request.deadline_scope():
            if request.metadata.last_event_id is not None:
                await self._find_version(request)
            progress = self._begun_streams.progress_of(request)
            with standby:
                stream = await self._open_stream(request, progress, standby)
        if request.route.resumable:
            self._begun_streams.add(request, progress, loop_time())
        headers = self._header_codec.response_headers(stream.response.headers)
        active = ActiveStream(stream, self._slot_scheduler)

        return HttpResponse(
            stream.response.status,
            headers,
            self._response_body(request, active, progress, standby),
            on_done=lambda end: active.close_stream(),
        )

    async def _find_version(self, request: RelayRequest) -> None:
        """Finds the service and software version at which a taken-up stream goes on.

        Raises:
            RefusedError: They are not known, or the route does not lead there.
        """
        version = await self._stream_records.version_of(request)
        service = self._selector.service(version.service) if version else None
        if version is None or service is None:
            raise _version_error(
                request, "it is not known which software version began the stream"
            )
        request.service = service
        request.software = version.software

    def _check_version(self, request: RelayRequest) -> None:
        """Checks that an engine of the stream's software version is in service.

        Raises:
            RefusedError: There is none, or all were tried.
        """
        if request.software is None:
            return
        service, now = request.service.name, loop_time()
        if not self._selector.has_engine_of(
            request, Phase.DECODE, now
        ) and not self._selector.pause_left_s(
            service, now, Phase.DECODE, request.software
        ):
            raise _version_error(
                request, "no engine of the software version that began the stream"
            )

    async def _open_stream(
        self, request: RelayRequest, progress: StreamProgress, standby: StandbySlot
    ) -> EngineStream:
        """Opens the stream at an engine; retries within the retry budget.

        Args:
            request: Request of the stream.
            progress: Position of the client, after which the stream starts.
            standby: Slot that the stream has asked for as its engine was silent.
        """
        while True:
            sent = len(request.tried_upstreams)
            try:
                return await self._attempt(request, progress, await standby.take())
            except RefusedError:
                if len(request.tried_upstreams) == sent or not self._retries.may_retry(
                    request
                ):
                    raise
                self._recorder.record(request, "sent_again")
                await asyncio.sleep(_resumption_pause_s(request))

    async def _attempt(
        self,
        request: RelayRequest,
        progress: StreamProgress,
        ready: ReadySlot | None,
    ) -> EngineStream:
        """Starts the stream in a slot, which is got first if there is none.

        Another slot is got if the engine takes no requests any more.
        """
        while True:
            slot, kv_source = ready or await self._prepare_slot(request)
            ready = None
            try:
                if self._selector.accepts_requests(slot.upstream, loop_time()):
                    return await self._send_to_decode(
                        request, slot, kv_source, progress
                    )
            except BaseException:
                self._release(slot)
                raise
            self._release(slot)
            self._recorder.record(request, "slot_given_up", slot.upstream)

    async def _prepare_slot(
        self, request: RelayRequest, as_standby: bool = False
    ) -> ReadySlot:
        """Reserves a slot, and prefills the prompt if needed.

        Args:
            request: Request of the stream.
            as_standby: True if the stream has an engine that may still go on.

        Raises:
            RefusedError: There is no slot, or the request may not be sent.
        """
        self._quarantine.check(request)
        self._check_version(request)
        slot = await self._slot_scheduler.acquire(request, as_standby)
        try:
            self._quarantine.check(request)
            kv_source = request.kv_source(loop_time())
            if kv_source is None:
                kv_source = await self._prefill_prompt(request, slot.upstream)
            return ReadySlot(slot, kv_source)
        except BaseException:
            self._release(slot)
            raise

    def _release(self, slot: DecodeSlot) -> None:
        self._slot_scheduler.release(slot, loop_time())

    async def _prefill_prompt(
        self, request: RelayRequest, decode: Upstream
    ) -> str | None:
        """Prefills the prompt at a prefill engine.

        Args:
            request: Request with the prompt.
            decode: Engine that will decode the stream.

        Returns:
            Location of the KV cache, as `IP:PORT/HANDLE`; None if the decode engine
            must prefill the prompt itself.
        """
        for _ in range(MAX_PREFILL_ATTEMPTS):
            engine = self._prefill_dispatcher.choose(request)
            if engine is None:
                break
            if request.prefill_sent and not self._retries.charge(request):
                break
            kv_source = await self._prefill_dispatcher.run(request, engine)
            if kv_source is not None:
                return kv_source
        self._recorder.record(request, "prefill_skipped", decode)
        return None

    async def _send_to_decode(
        self,
        request: RelayRequest,
        slot: DecodeSlot,
        kv_source: str | None,
        progress: StreamProgress,
    ) -> EngineStream:
        """Starts the stream at the slot's engine.

        Returns:
            The stream, once its first event has arrived.
        """
        engine, software = slot.upstream, slot.upstream.record.software
        self._quarantine.check(request)
        request.tried_upstreams.append(engine.id)
        slot.request_sent = True
        progress.engines = self._engines_for(request)
        sent_s = loop_time()
        try:
            stream = await self._starter.start(request, slot, kv_source, progress)
        except RefusedError as error:
            if request.response_started and not slot.request_sent:
                request.refused_resumptions += 1
            elif error.refusal.code in LOST_ANSWER_CODES:
                self._rollouts.on_lost(request, engine)
            raise
        slot.on_first_event(loop_time())
        self._rollouts.on_answer(request, engine, STATUS_OK, loop_time() - sent_s)
        request.software = software
        if request.route.resumable:
            self._stream_records.on_begun(request, software)
        first_ms = round((loop_time() - request.arrived_s) * 1000)
        self._metrics.on_step("first_event", first_ms / 1000)
        self._recorder.record(
            request,
            "first_event",
            engine,
            first_ms=first_ms,
            parts=request.metadata.parts_text,
            software=software,
            after=progress.last_id,
            resumes=request.metadata.resumes or "",
        )
        return stream

    def _engines_for(self, request: RelayRequest) -> set[UpstreamId]:
        """Returns the engines in service that can go on with a stream."""
        engines = self._selector.engines(
            request.service.name, Phase.DECODE, loop_time(), [], request.software
        )
        return {engine.id for engine in engines}

    async def _response_body(
        self,
        request: RelayRequest,
        active: ActiveStream,
        progress: StreamProgress,
        standby: StandbySlot,
    ) -> AsyncGenerator[bytes, None]:
        """Yields the events of a stream across migrations and resumptions."""
        try:
            with standby:
                async with request.deadline_scope():
                    while True:
                        stream, lost = active.stream, None
                        with self._migrator.migratable(
                            request, stream.slot
                        ) as candidate:
                            try:
                                async for data in self._forward_events(
                                    request, stream, progress, standby
                                ):
                                    yield data
                            except UpstreamLost as error:
                                lost = error
                            is_framed = stream.response.is_framed
                            migrated = await candidate.result(
                                may_be_stopped=lost is not None or not is_framed
                            )
                        if candidate.is_unsettled and not is_framed:
                            lost = lost or StreamMismatch(
                                "the stream was stopped", sent=True
                            )
                        if migrated is None and lost is None:
                            self._on_complete(request, stream, progress)
                            return
                        active.close_stream()
                        active.stream = await self._next_stream(
                            request, stream, migrated, lost, progress, standby
                        )
        except RefusedError as error:
            self._recorder.record(
                request,
                "answer_cut",
                reason=error.refusal.message,
                events=progress.events,
            )
            raise

    async def _next_stream(
        self,
        request: RelayRequest,
        left: EngineStream,
        migrated: MigratedStream | None,
        lost: UpstreamLost | None,
        progress: StreamProgress,
        standby: StandbySlot,
    ) -> EngineStream:
        """Goes on with a stream that has left its engine.

        Args:
            request: Request of the stream.
            left: The stream at that engine, which is closed.
            migrated: Where it was moved to, None if it was not.
            lost: Why it has left if it was not moved.
            progress: Position of the client.
            standby: Slot that it has asked for as its engine was silent.
        """
        if migrated is None:
            self._on_broken(request, left, progress, lost)
            return await self._resume_elsewhere(request, progress, standby)
        progress.was_stopped = True
        return await self._resume_migrated(request, migrated, progress, standby)

    async def _forward_events(
        self,
        request: RelayRequest,
        stream: EngineStream,
        progress: StreamProgress,
        standby: StandbySlot,
    ) -> AsyncGenerator[bytes, None]:
        """Yields the events that one engine sends.

        Raises:
            UpstreamLost: The stream broke off, or it stalled and can be resumed.
        """
        while True:
            for event in stream.pending:
                progress.on_event(event)
                if stream.begins_with(event):
                    self._quarantine.on_run_begun(request)
                stream.slot.on_events(progress.events)
                request.response_started = True
                yield event.data
            if stream.waited_s == 0.0:
                standby.drop()
            stream.pending = []
            if stream.ended:
                return
            started_s = loop_time()
            reading = stream.read_events()
            await self._retries.await_unless_stalled(request, reading, stream.waited_s)
            if all(event.is_empty for event in stream.pending):
                stream.waited_s += loop_time() - started_s
            else:
                stream.waited_s = 0.0

    def _on_complete(
        self, request: RelayRequest, stream: EngineStream, progress: StreamProgress
    ) -> None:
        stream.slot.completed = True
        first_event_s = stream.slot.first_event_s
        if first_event_s is not None and progress.events > 1:
            pace_s = (loop_time() - first_event_s) / (progress.events - 1)
            self._rollouts.on_stream_end(request, stream.slot.upstream, pace_s)
        self._recorder.record(
            request,
            "answered",
            stream.slot.upstream,
            events=progress.events,
            made_tokens=stream.slot.stream.state.generated_tokens,
            hint_tokens=request.metadata.expected_tokens,
        )

    async def _resume_migrated(
        self,
        request: RelayRequest,
        migrated: MigratedStream,
        progress: StreamProgress,
        standby: StandbySlot,
    ) -> EngineStream:
        """Resumes a migrated stream in its new slot, or else at another engine.

        The engine that it left still has its memory, so it comes next.
        """
        stream = await self._start_migrated(request, migrated, progress)
        may_return = migrated.may_return and not migrated.slot.request_sent
        if stream is None and may_return:
            back = self._migrator.return_to_source(migrated)
            stream = await self._start_migrated(request, back, progress)
        return stream or await self._resume_elsewhere(request, progress, standby)

    async def _start_migrated(
        self, request: RelayRequest, migrated: MigratedStream, progress: StreamProgress
    ) -> EngineStream | None:
        """Starts a migrated stream in its slot; None if the engine does not take it."""
        slot = migrated.slot
        try:
            if self._selector.accepts_requests(slot.upstream, loop_time()):
                kv_source = migrated.kv_source
                return await self._starter.start(request, slot, kv_source, progress)
            slot.request_sent = False
        except RefusedError as error:
            reason = error.refusal.message
            self._recorder.record(request, "move_failed", slot.upstream, reason=reason)
        except BaseException:
            self._release(slot)
            raise
        self._release(slot)
        return None

    async def _resume_elsewhere(
        self, request: RelayRequest, progress: StreamProgress, standby: StandbySlot
    ) -> EngineStream:
        """Resumes a stream at another engine, after the last event passed on."""
        if not request.route.resumable or not self._retries.may_retry(request):
            raise request.refusal_error(
                ErrorCode.UPSTREAM_LOST, "the stream broke off and cannot be resumed"
            )
        return await self._open_stream(request, progress, standby)

    def _on_broken(
        self,
        request: RelayRequest,
        stream: EngineStream,
        progress: StreamProgress,
        error: UpstreamLost | None,
    ) -> None:
        engine = stream.slot.upstream
        engine.health.on_failure(loop_time())
        self._rollouts.on_lost(request, engine)
        if not stream.has_begun and not isinstance(
            error, (UpstreamStalled, StreamMismatch)
        ):
            self._quarantine.on_run_lost(request, engine)
        self._recorder.record_lost(
            request, "stream_broken", engine, error, events=progress.events
        )


def _resumption_pause_s(request: RelayRequest) -> float:
    """Returns the pause in s before the next attempt of a stream."""
    if not request.refused_resumptions:
        return 0.0
    pause_s = MIN_RESUMPTION_PAUSE_S * 2 ** (request.refused_resumptions - 1)
    return min(MAX_RESUMPTION_PAUSE_S, pause_s)


def _version_error(request: RelayRequest, message: str) -> RefusedError:
    """Returns the refusal of a stream that can go on at no engine."""
    return request.refusal_error(
        ErrorCode.VERSION_UNAVAILABLE, message, VERSION_RETRY_AFTER_S
    )
