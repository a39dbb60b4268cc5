"""Starts streams at decode engines."""

from __future__ import annotations

from wasabimux._clock import loop_time
from wasabimux.decisions.answers import AnswerVerdict
from wasabimux.errors import ErrorCode
from wasabimux.ports import StreamMismatch, UpstreamLost, UpstreamStalled
from wasabimux.relay.answers import AnswerReceiver, UpstreamAnswer
from wasabimux.relay.context import PrefilledKv, RelayRequest
from wasabimux.relay.engine_stream import EngineStream, StreamProgress
from wasabimux.relay.phase_watch import PhaseChangeWatch
from wasabimux.relay.quarantine import RequestQuarantine
from wasabimux.relay.records import RequestEventRecorder
from wasabimux.relay.slots import DecodeSlot
from wasabimux.relay.stream_retries import StreamRetries
from wasabimux.relay.upstreams import Upstream

STATUS_OK = 200

#: Delay before clients may retry after a failure other than a missing slot.
RETRY_AFTER_S = 0.5


class StreamStarter:
    """Sends requests to decode engines and waits for their first events.

    Args:
        quarantine: Learns which requests engines lost before they began.
        retries: Ends the wait for an engine that stalls.
        phase_watch: Learns which engines refuse streams that have a slot.
        answers: Sends requests and receives their answers.
        recorder: Records failed starts.
    """

    def __init__(
        self,
        quarantine: RequestQuarantine,
        retries: StreamRetries,
        phase_watch: PhaseChangeWatch,
        answers: AnswerReceiver,
        recorder: RequestEventRecorder,
    ) -> None:
        self._quarantine = quarantine
        self._retries = retries
        self._phase_watch = phase_watch
        self._answers = answers
        self._recorder = recorder

    async def start(
        self,
        request: RelayRequest,
        slot: DecodeSlot,
        kv_source: str | None,
        progress: StreamProgress,
    ) -> EngineStream:
        """Sends the request to the slot's engine and waits for the first event."""
        engine = slot.upstream
        prefilled_kv, request.prefilled_kv = request.prefilled_kv, None
        try:
            options = request.send_options(engine.id, loop_time())._replace(
                kv_source=kv_source,
                reservation=slot.reservation or None,
                last_event_id=progress.last_id,
            )
            sending = self._answers.send_run(request, engine, options)
            answer = await self._retries.await_unless_stalled(request, sending)
        except UpstreamLost as error:
            self._on_start_lost(request, engine, error)
            raise request.refusal_error(
                ErrorCode.UPSTREAM_LOST, "the engine did not respond", RETRY_AFTER_S
            ) from error
        try:
            return await self._await_first_event(
                request, slot, answer, prefilled_kv, progress
            )
        except BaseException:
            answer.response.close()
            raise

    async def _await_first_event(
        self,
        request: RelayRequest,
        slot: DecodeSlot,
        answer: UpstreamAnswer,
        prefilled_kv: PrefilledKv | None,
        progress: StreamProgress,
    ) -> EngineStream:
        """Checks the head of a response and waits for the stream's first event.

        Args:
            request: Request that was sent.
            slot: Slot at the engine.
            answer: Answer of the engine.
            prefilled_kv: KV cache offered to the engine; restored if the engine did
                not run the request.
            progress: Position of the client, after which the stream goes on.
        """
        engine = slot.upstream
        response, metadata = answer.response, answer.metadata
        if answer.verdict.proves_not_run:
            await answer.drain()
            slot.request_sent = False
            request.prefilled_kv = prefilled_kv  # no engine has fetched it
            engine.on_not_executed(response.status, loop_time())
            self._phase_watch.on_refused(engine, loop_time())
            self._recorder.record_answer(
                request,
                "not_executed",
                engine,
                response.status,
                metadata,
                slot_ms=round((loop_time() - slot.acquired_s) * 1000),
                reserved=bool(slot.reservation),
                has_kv=prefilled_kv is not None,
            )
            raise request.refusal_error(
                ErrorCode.OVERLOADED,
                "the engine did not run the request",
                RETRY_AFTER_S,
            )
        if answer.verdict is not AnswerVerdict.RAN or response.status != STATUS_OK:
            engine.health.on_failure(loop_time())
            self._recorder.record_answer(
                request, "decode_failed", engine, response.status, metadata
            )
            raise request.refusal_error(
                ErrorCode.UPSTREAM_FAILED,
                "the engine returned an error or an invalid response",
            )
        request.has_run = True
        stream = EngineStream(response, response.pieces(), slot, progress)
        try:
            await self._retries.await_unless_stalled(request, stream.read_events())
        except BaseException as error:
            stream.close()
            if not isinstance(error, UpstreamLost):
                raise
            self._on_start_lost(request, engine, error)
            raise request.refusal_error(
                ErrorCode.UPSTREAM_LOST, "the stream was lost before its first event"
            ) from error
        engine.health.on_success(0.0, loop_time())
        return stream

    def _on_start_lost(
        self, request: RelayRequest, engine: Upstream, error: UpstreamLost
    ) -> None:
        """Records that a stream was lost before its first event."""
        engine.health.on_failure(loop_time())
        if error.sent and not isinstance(error, (UpstreamStalled, StreamMismatch)):
            self._quarantine.on_run_lost(request, engine)
        self._recorder.record_lost(request, "decode_lost", engine, error)
