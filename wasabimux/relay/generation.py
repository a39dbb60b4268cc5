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
from wasabimux.decisions.retry_window import ServiceRetries
from wasabimux.errors import ErrorCode, Ran, RefusedError
from wasabimux.ports import Headers, UpstreamLost
from wasabimux.relay._events import EventSplitter, ServerEvent
from wasabimux.relay.context import Prefilled, RelayRequest
from wasabimux.relay.model import Phase, SendOptions
from wasabimux.relay.placing import NOTHING_ELSEWHERE, Placing
from wasabimux.relay.ports import Dialect, EngineDialect
from wasabimux.relay.slots import Slot, SlotDesk
from wasabimux.relay.upstreams import Upstream
from wasabimux.timeline import Timeline

STATUS_OK = 200
STATUS_MISDIRECTED = 421

#: Longest wait for a prefill: what it should take times a factor, and a bit more.
PREFILL_FACTOR = 2.5
PREFILL_SLACK_S = 0.5

#: Prefill engines that one attempt may ask.
PREFILL_TRIES = 2

#: Time without a byte of a stream after which it goes on elsewhere, if it may. The
#: caller leaves after a few times as long; an engine makes some 20 events meanwhile.
STALL_S = 1.0

#: Tokens ahead at a prefill engine beyond which the decode engine reads by itself.
MAX_PREFILL_AHEAD_TOKENS = 40_000

#: Part of the time for which a KV cache is kept in which it is used once more.
HANDLE_PART = 0.6

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


class GenerationFlow:
    """Takes streams through prefill and decode engines.

    Args:
        placing: Finds engines.
        slots: Reserves decode slots.
        dialect: Headers of requests and answers.
        engines: Calls of engines.
        retries: Budget of requests sent once more.
        timeline: Records decisions.
        metrics: Times steps.
    """

    def __init__(
        self,
        placing: Placing,
        slots: SlotDesk,
        dialect: Dialect,
        engines: EngineDialect,
        retries: ServiceRetries,
        timeline: Timeline,
        metrics: RelayMetrics,
    ) -> None:
        self._metrics = metrics
        self._placing = placing
        self._slots = slots
        self._dialect = dialect
        self._engines = engines
        self._retries = retries
        self._timeline = timeline

    async def serve(self, request: RelayRequest) -> HttpResponse:
        """Serves a stream; returns once its first event is here.

        Raises:
            RefusedError: It was refused or failed before its first event.
        """
        try:
            async with request.scope():
                stream = await self._begin(request, request.facts.last_event_id)
        except TimeoutError:
            raise request.refusal(
                ErrorCode.DEADLINE, "the time of the request is over"
            ) from None
        headers = self._dialect.answer_headers(stream.response.headers)
        owner = _StreamOwner(stream, self._slots)
        return HttpResponse(
            stream.response.status,
            headers,
            self._body(request, owner),
            on_done=owner.on_done,
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
                self._record(request, "sent_again")

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
        if self._retries.of(request.service.name).try_spend(loop_time()):
            return True
        self._record(request, "retry_budget_spent")
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
        for number in range(PREFILL_TRIES):
            engine = self._choose_prefill(request)
            again = number > 0
            if engine is None or (again and not self._spend_retry(request)):
                break
            source = await self._prefill(request, engine)
            if source is not None:
                return source
        self._record(request, "prefill_skipped", decode)
        return None

    async def _prefill(self, request: RelayRequest, engine: Upstream) -> str | None:
        """Asks one engine to read the prompt."""
        started_s = loop_time()
        tokens = request.facts.prompt_tokens
        engine.running += 1
        engine.prefill_tokens += tokens
        limit_s = self._prefill_limit_s(engine)
        try:
            async with asyncio.timeout(limit_s):
                response = await self._send(request, engine, prefill_only=True)
                async with response:
                    body = await response.body()
        except (UpstreamLost, TimeoutError) as error:
            engine.health.rest(loop_time())
            took_ms = round((loop_time() - started_s) * 1000)
            self._record(
                request,
                "prefill_lost",
                engine,
                error=str(error) or "silent",
                took_ms=took_ms,
            )
            return None
        finally:
            engine.running -= 1
            engine.prefill_tokens -= tokens
        handle = self._engines.read_handle(response.status, body)
        took_ms = round((loop_time() - started_s) * 1000)
        if handle is None:
            self._on_not_taken(engine, response.status)
            self._record(request, "prefill_refused", engine, status=response.status)
            return None
        engine.health.on_answer(took_ms / 1000, loop_time())
        if engine.prefill_tokens == 0:
            self._slots.on_prefill(tokens, took_ms / 1000)
        self._metrics.on_step("prefill", took_ms / 1000)
        self._record(request, "prefilled", engine, took_ms=took_ms)
        assert request.service.engine is not None
        source = f"{engine.record.address}/{handle}"
        kept_until_s = loop_time() + HANDLE_PART * request.service.engine.handle_s
        request.prefilled = Prefilled(source, kept_until_s)
        return source

    def _prefill_limit_s(self, engine: Upstream) -> float:
        """Returns how long a prefill may take before its engine counts as silent."""
        elsewhere = self._placing.running_elsewhere()
        peers = elsewhere.get(engine.id, NOTHING_ELSEWHERE)
        ahead = engine.prefill_tokens + peers.memory[0]
        return PREFILL_SLACK_S + PREFILL_FACTOR * self._slots.prefill_s(ahead)

    def _choose_prefill(self, request: RelayRequest) -> Upstream | None:
        now = loop_time()
        service = request.service
        elsewhere = self._placing.running_elsewhere()

        def ahead(engine: Upstream) -> float:
            peers = elsewhere.get(engine.id, NOTHING_ELSEWHERE)
            return engine.prefill_tokens + peers.memory[0]

        engines = [
            engine
            for engine in self._placing.engines(service.name, Phase.PREFILL, now, [])
            if ahead(engine) <= MAX_PREFILL_AHEAD_TOKENS
        ]
        engines.sort(key=ahead)
        for engine in engines:
            if self._placing.may_send(engine, service, now):
                return engine
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
        prefilled, request.prefilled = request.prefilled, None
        before, request.ran = request.ran, Ran.UNKNOWN
        try:
            sending = self._send(
                request, engine, kv_source=source, hold=slot.hold, last_event_id=after
            )
            response = await self._unless_stalled(request, sending)
        except UpstreamLost as error:
            if not error.sent:
                request.ran = before
            engine.health.on_failure(loop_time())
            self._record(request, "decode_lost", engine, error=error)
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
            self._on_not_taken(engine, response.status)
            self._record(request, "not_executed", engine, status=response.status)
            raise request.refusal(
                ErrorCode.OVERLOADED, "the engine did not run it", RETRY_AFTER_S
            )
        good = facts.signed and facts.id == request.facts.id
        if not good or response.status != STATUS_OK:
            engine.health.on_failure(loop_time())
            self._record(request, "decode_failed", engine, status=response.status)
            raise request.refusal(ErrorCode.UPSTREAM_FAILED, "the engine failed")
        request.ran = Ran.YES
        stream = _Stream(response, response.pieces(), slot)
        try:
            await self._unless_stalled(request, self._read(stream))
        except UpstreamLost as error:
            engine.health.on_failure(loop_time())
            self._record(request, "decode_lost", engine, error=error)
            raise request.refusal(
                ErrorCode.UPSTREAM_LOST, "the engine was lost"
            ) from error
        slot.on_first_event(loop_time())
        first_ms = round((loop_time() - request.arrived_s) * 1000)
        engine.health.on_answer(0.0, loop_time())
        self._metrics.on_step("first_event", first_ms / 1000)
        self._record(request, "first_event", engine, first_ms=first_ms)
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
        last_id = request.facts.last_event_id
        events = 0
        try:
            async with request.scope():
                while True:
                    stream = owner.stream
                    for event in stream.ready:
                        if event.id is not None:
                            last_id = event.id
                        events += 1
                        stream.slot.on_events(events)
                        request.answering = True
                        yield event.data
                    stream.ready = []
                    if stream.ended:
                        owner.complete = True
                        stream.slot.ended = True
                        self._record(
                            request, "answered", stream.slot.upstream, events=events
                        )
                        return
                    try:
                        await self._unless_stalled(request, self._read(stream))
                    except UpstreamLost as error:
                        self._on_cut(request, stream, events, error)
                        owner.close_stream()
                        owner.stream = await self._resume(request, last_id)
        except TimeoutError:
            self._record(request, "answer_cut", reason="deadline", events=events)
            raise request.refusal(
                ErrorCode.DEADLINE, "the time of the request is over"
            ) from None

    async def _resume(self, request: RelayRequest, last_id: int | None) -> _Stream:
        """Goes on after the last event that was passed on."""
        if not request.route.resumable or not self._may_repeat(request):
            self._record(request, "answer_cut", reason="not_resumable")
            raise request.refusal(ErrorCode.UPSTREAM_LOST, "the stream was cut")
        return await self._begin(request, last_id)

    def _on_cut(
        self, request: RelayRequest, stream: _Stream, events: int, error: UpstreamLost
    ) -> None:
        engine = stream.slot.upstream
        engine.health.on_failure(loop_time())
        self._record(request, "stream_broken", engine, events=events, error=error)

    async def _send(
        self,
        request: RelayRequest,
        engine: Upstream,
        prefill_only: bool = False,
        kv_source: str | None = None,
        hold: str | None = None,
        last_event_id: int | None = None,
    ) -> ClientResponse:
        options = SendOptions(
            engine.id,
            request.left_s(loop_time()),
            request.workspace,
            request.drop_key,
            prefill_only,
            kv_source,
            hold,
            last_event_id,
        )
        headers: Headers = self._dialect.request_headers(request.headers, options)
        return await engine.send(request.method, request.target, headers, request.body)

    def _on_not_taken(self, engine: Upstream, status: int) -> None:
        now = loop_time()
        if status == STATUS_MISDIRECTED:
            engine.leaving = True
        else:
            # It granted a reservation and yet runs nothing, as while its phase changes.
            engine.health.rest(now)

    def _record(
        self,
        request: RelayRequest,
        name: str,
        engine: Upstream | None = None,
        **fields: object,
    ) -> None:
        self._timeline.record(
            name,
            request.facts.id,
            request.workspace or "",
            route=request.route.name,
            upstream=engine.id if engine else "",
            attempt=len(request.tried),
            left_ms=round(request.left_s(loop_time()) * 1000),
            **fields,
        )


class _StreamOwner:
    """Owns the stream behind an answer until the answer has ended.

    Args:
        stream: The stream, replaced when it goes on at another engine.
        slots: Takes the slot back.
    """

    def __init__(self, stream: _Stream, slots: SlotDesk) -> None:
        self.stream = stream
        self.complete = False
        self._slots = slots
        self._closed: _Stream | None = None

    def close_stream(self) -> None:
        """Closes the stream's connection, which ends it, and frees the slot."""
        if self._closed is not self.stream:
            self._closed = self.stream
            self.stream.response.close()
            self._slots.release(self.stream.slot, loop_time())

    def on_done(self, complete: bool) -> None:
        """Ends what still runs once the answer has ended in any way."""
        self.close_stream()
