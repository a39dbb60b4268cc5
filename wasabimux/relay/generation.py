"""Streams of model engines: slot, prefill, decode, and going on after a break."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator, AsyncIterator, Coroutine
from dataclasses import dataclass, field
from typing import Any, TypeVar

from wasabimux._clock import loop_time
from wasabimux.adapters.http_client import ClientResponse
from wasabimux.adapters.http_server import HttpResponse
from wasabimux.adapters.relay_metrics import RelayMetrics
from wasabimux.decisions.retry_window import ServiceRetryBudgets
from wasabimux.errors import ErrorCode, Ran, RefusedError
from wasabimux.ports import UpstreamLost
from wasabimux.relay._events import EventSplitter, ServerEvent
from wasabimux.relay.context import Prefilled, RelayRequest
from wasabimux.relay.moves import Moved, StreamMoves
from wasabimux.relay.placing import Placing
from wasabimux.relay.ports import Dialect
from wasabimux.relay.prefill import PrefillFlow
from wasabimux.relay.records import RequestRecords
from wasabimux.relay.slots import Slot, SlotDesk
from wasabimux.relay.upstreams import STATUS_MISDIRECTED, Upstream

STATUS_OK = 200

#: Prefill engines that one attempt may ask.
PREFILL_TRIES = 2

#: Time without a byte of a stream after which it goes on elsewhere, if it may. The
#: caller leaves after a few times as long; an engine makes some 20 events meanwhile.
STALL_S = 1.0

#: When callers may come back after a failure without a slot.
RETRY_AFTER_S = 0.5


StepResult = TypeVar("StepResult")


@dataclass(slots=True)
class _Stream:
    """A stream that an engine has begun to send.

    Attributes:
        response: Answer of the engine.
        pieces: Its body.
        slot: Slot that it runs in.
        ready: Events that have arrived and were not passed on.
        splitter: Cuts the body into events.
        ended: True once the engine has ended it in good order.
    """

    response: ClientResponse
    pieces: AsyncIterator[bytes]
    slot: Slot
    ready: list[ServerEvent] = field(default_factory=list)
    splitter: EventSplitter = field(default_factory=EventSplitter)
    ended: bool = False


@dataclass(slots=True)
class _Progress:
    """What a stream's caller has got.

    Attributes:
        last_id: Number of the last event, None before the first.
        events: Events passed on.
    """

    last_id: int | None
    events: int = 0

    def on_event(self, event: ServerEvent) -> None:
        """Notes an event that is passed on."""
        self.events += 1
        if event.id is not None:
            self.last_id = event.id


class GenerationFlow:
    """Takes streams through prefill and decode engines.

    Args:
        placing: Finds engines.
        slots: Reserves decode slots.
        moves: Moves streams off engines whose memory runs out.
        prefill: Has prompts read.
        dialect: Headers of requests and answers.
        retries: Budget of requests sent once more.
        records: Records decisions.
        metrics: Times steps.
    """

    def __init__(
        self,
        placing: Placing,
        slots: SlotDesk,
        moves: StreamMoves,
        prefill: PrefillFlow,
        dialect: Dialect,
        retries: ServiceRetryBudgets,
        records: RequestRecords,
        metrics: RelayMetrics,
    ) -> None:
        self._prefill = prefill
        self._records = records
        self._metrics = metrics
        self._placing = placing
        self._slots = slots
        self._moves = moves
        self._dialect = dialect
        self._retries = retries

    async def serve(self, request: RelayRequest) -> HttpResponse:
        """Serves a stream; returns once its first event is here.

        Raises:
            RefusedError: It was refused or failed before its first event.
        """
        async with request.scope():
            stream = await self._begin(request, request.facts.last_event_id)
        headers = self._dialect.answer_headers(stream.response.headers)
        owner = _StreamOwner(stream, self._slots)

        def on_done(complete: bool) -> None:
            if not complete:
                self._records.record(request, "answer_incomplete")
            owner.close_stream()

        return HttpResponse(
            stream.response.status,
            headers,
            self._body(request, owner),
            on_done=on_done,
        )

    async def _begin(self, request: RelayRequest, after: int | None) -> _Stream:
        """Finds an engine that starts the stream, within the budget."""
        while True:
            sent = len(request.tried)
            try:
                return await self._attempt(request, after)
            except RefusedError:
                if len(request.tried) == sent or not self._may_repeat(request):
                    raise
                self._records.record(request, "sent_again")

    def _may_repeat(self, request: RelayRequest) -> bool:
        now = loop_time()
        if not request.tried or not request.may_send():
            return False
        if request.ran is not Ran.NO and not request.route.idempotent:
            return False
        return request.left_s(now) > 0 and self._spend_retry(request)

    def _spend_retry(self, request: RelayRequest) -> bool:
        """Takes one more send from the relay's budget."""
        if request.paid_retry:
            request.paid_retry = False
            return True
        if self._retries.for_service(request.service.name).try_spend(loop_time()):
            return True
        self._records.record(request, "retry_budget_spent")
        return False

    async def _attempt(self, request: RelayRequest, after: int | None) -> _Stream:
        slot = await self._slots.acquire(request, request.tried)
        try:
            source = request.kv_source(loop_time())
            if source is None:
                source = await self._prefilled(request, slot.upstream)
            return await self._decode(request, slot, source, after)
        except BaseException:
            self._slots.release(slot, loop_time())
            raise

    async def _prefilled(self, request: RelayRequest, decode: Upstream) -> str | None:
        """Has the prompt read; returns where its KV cache is.

        Returns:
            `IP:PORT/HANDLE`, or None if the decode engine reads it by itself.
        """
        for _ in range(PREFILL_TRIES):
            engine = self._prefill.choose(request)
            if engine is None:
                break
            if request.prefill_sent and not self._spend_retry(request):
                break
            source = await self._prefill.run(request, engine)
            if source is not None:
                return source
        self._records.record(request, "prefill_skipped", decode)
        return None

    async def _decode(
        self, request: RelayRequest, slot: Slot, source: str | None, after: int | None
    ) -> _Stream:
        """Sends the request to the engine of the slot; waits for the first event."""
        engine = slot.upstream
        if not self._placing.may_take(engine):
            raise request.refusal(
                ErrorCode.NO_UPSTREAM, "the engine is leaving", RETRY_AFTER_S
            )
        if not self._placing.may_send(engine, request.service, loop_time()):
            raise request.refusal(
                ErrorCode.OVERLOADED, "the engine is cold", RETRY_AFTER_S
            )
        request.tried.append(engine.id)
        slot.used = True
        stream = await self._start(request, slot, source, after)
        slot.on_first_event(loop_time())
        first_ms = round((loop_time() - request.arrived_s) * 1000)
        self._metrics.on_step("first_event", first_ms / 1000)
        self._records.record(request, "first_event", engine, first_ms=first_ms)
        return stream

    async def _start(
        self, request: RelayRequest, slot: Slot, source: str | None, after: int | None
    ) -> _Stream:
        """Sends the request to the engine of a slot; returns at the first event."""
        engine = slot.upstream
        prefilled, request.prefilled = request.prefilled, None
        before, request.ran = request.ran, Ran.UNKNOWN
        try:
            options = request.send_options(engine.id, loop_time())._replace(
                kv_source=source, hold=slot.hold or None, last_event_id=after
            )
            headers = self._dialect.request_headers(request.headers, options)
            sending = engine.send(request.method, request.target, headers, request.body)
            response = await self._unless_stalled(request, sending)
        except UpstreamLost as error:
            if not error.sent:
                request.ran = before
            engine.health.on_failure(loop_time())
            self._records.record(request, "decode_lost", engine, error=error)
            raise request.refusal(
                ErrorCode.UPSTREAM_LOST, "the engine gave no answer", RETRY_AFTER_S
            ) from error
        try:
            return await self._first_event(request, slot, response, before, prefilled)
        except BaseException:
            response.close()
            raise

    async def _first_event(
        self,
        request: RelayRequest,
        slot: Slot,
        response: ClientResponse,
        before: Ran,
        prefilled: Prefilled | None,
    ) -> _Stream:
        engine = slot.upstream
        facts = self._dialect.read_answer(response.headers)
        if facts.not_executed or response.status == STATUS_MISDIRECTED:
            request.ran = before
            slot.used = False
            request.prefilled = prefilled  # nobody has taken it
            engine.on_not_taken(response.status, loop_time())
            self._records.record(
                request, "not_executed", engine, status=response.status
            )
            raise request.refusal(
                ErrorCode.OVERLOADED, "the engine did not run it", RETRY_AFTER_S
            )
        good = facts.signed and facts.id == request.facts.id
        if not good or response.status != STATUS_OK:
            engine.health.on_failure(loop_time())
            self._records.record(
                request, "decode_failed", engine, status=response.status
            )
            raise request.refusal(ErrorCode.UPSTREAM_FAILED, "the engine failed")
        request.ran = Ran.YES
        stream = _Stream(response, response.pieces(), slot)
        try:
            await self._unless_stalled(request, self._read(stream))
        except UpstreamLost as error:
            engine.health.on_failure(loop_time())
            self._records.record(request, "decode_lost", engine, error=error)
            raise request.refusal(
                ErrorCode.UPSTREAM_LOST, "the engine was lost"
            ) from error
        engine.health.on_answer(0.0, loop_time())
        return stream

    async def _unless_stalled(
        self, request: RelayRequest, step: Coroutine[Any, Any, StepResult]
    ) -> StepResult:
        """Waits for a step of a stream, but not for a silent engine.

        Where the stream may not go on elsewhere, or the budget of retries is spent,
        silence ends nothing.
        """
        task = asyncio.ensure_future(step)
        try:
            may_go_on = request.route.resumable and request.may_send()
            await asyncio.wait({task}, timeout=STALL_S if may_go_on else None)
            if not task.done() and self._spend_retry(request):
                request.paid_retry = True
                raise UpstreamLost("the engine is silent", sent=True)
            return await task
        finally:
            task.cancel()

    async def _read(self, stream: _Stream) -> None:
        """Reads until there is a whole event, or the end."""
        while not stream.ready and not stream.ended:
            piece = await anext(stream.pieces, None)
            if piece is None:
                if stream.splitter.has_rest:
                    raise UpstreamLost("the stream ended within an event", sent=True)
                stream.ended = True
            else:
                stream.ready = stream.splitter.feed(piece)

    async def _body(
        self, request: RelayRequest, owner: _StreamOwner
    ) -> AsyncGenerator[bytes, None]:
        """Yields the events; goes on at another engine where that is allowed."""
        progress = _Progress(request.facts.last_event_id)
        try:
            async with request.scope():
                while True:
                    stream, lost = owner.stream, None
                    with self._moves.movable(request, stream.slot) as moving:
                        try:
                            async for data in self._events(request, stream, progress):
                                yield data
                        except UpstreamLost as error:
                            lost = error
                        moved = await moving.outcome()
                    if moved is None and lost is None:
                        self._on_ended(request, stream, progress)
                        return
                    owner.close_stream()
                    if moved is not None:
                        owner.stream = await self._go_on(request, moved, progress)
                    else:
                        self._on_cut(request, stream, progress, lost)
                        owner.stream = await self._resume(request, progress.last_id)
        except RefusedError as error:
            self._records.record(
                request,
                "answer_cut",
                reason=error.refusal.message,
                events=progress.events,
            )
            raise

    async def _events(
        self, request: RelayRequest, stream: _Stream, progress: _Progress
    ) -> AsyncGenerator[bytes, None]:
        """Yields the events of one engine.

        Raises:
            UpstreamLost: The engine broke off, or is silent and another may go on.
        """
        while True:
            for event in stream.ready:
                progress.on_event(event)
                stream.slot.on_events(progress.events)
                request.answering = True
                yield event.data
            stream.ready = []
            if stream.ended:
                return
            await self._unless_stalled(request, self._read(stream))

    def _on_ended(
        self, request: RelayRequest, stream: _Stream, progress: _Progress
    ) -> None:
        stream.slot.ended = True
        self._records.record(
            request,
            "answered",
            stream.slot.upstream,
            events=progress.events,
            made_tokens=stream.slot.stream.state.made_tokens,
            hint_tokens=request.facts.expected_tokens,
        )

    async def _go_on(
        self, request: RelayRequest, moved: Moved, progress: _Progress
    ) -> _Stream:
        """Goes on where a stream's memory was moved to."""
        slot = moved.slot
        try:
            if self._placing.may_take(slot.upstream):
                source, after = moved.kv_source, progress.last_id
                return await self._start(request, slot, source, after)
        except RefusedError as error:
            reason = error.refusal.message
            self._records.record(request, "move_failed", slot.upstream, reason=reason)
        except BaseException:
            self._slots.release(slot, loop_time())
            raise
        self._slots.release(slot, loop_time())
        return await self._resume(request, progress.last_id)

    async def _resume(self, request: RelayRequest, last_id: int | None) -> _Stream:
        """Goes on after the last event that was passed on."""
        if not request.route.resumable or not self._may_repeat(request):
            raise request.refusal(ErrorCode.UPSTREAM_LOST, "the stream was cut")
        return await self._begin(request, last_id)

    def _on_cut(
        self,
        request: RelayRequest,
        stream: _Stream,
        progress: _Progress,
        error: UpstreamLost | None,
    ) -> None:
        engine = stream.slot.upstream
        engine.health.on_failure(loop_time())
        self._records.record(
            request, "stream_broken", engine, events=progress.events, error=error
        )


class _StreamOwner:
    """Owns the stream behind an answer until the answer has ended.

    Args:
        stream: The stream, replaced when it goes on at another engine.
        slots: Takes the slot back.
    """

    def __init__(self, stream: _Stream, slots: SlotDesk) -> None:
        self.stream = stream
        self._slots = slots
        self._closed: _Stream | None = None

    def close_stream(self) -> None:
        """Closes the stream's connection, which ends it, and frees the slot."""
        if self._closed is not self.stream:
            self._closed = self.stream
            self.stream.response.close()
            self._slots.release(self.stream.slot, loop_time())
