"""Decode slots: reserved at the engine before the prompt is read."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace
from functools import partial

from wasabimux._clock import loop_time
from wasabimux.adapters.relay_metrics import RelayMetrics
from wasabimux.decisions.decode_queue import (
    WaitingStream,
    choose_engine,
    expected_wait_s,
    order_waiting,
)
from wasabimux.decisions.memory_forecast import StreamState
from wasabimux.decisions.stream_estimates import StreamEstimates
from wasabimux.errors import ErrorCode
from wasabimux.ids import UpstreamId
from wasabimux.ports import UpstreamLost
from wasabimux.relay.context import RelayRequest
from wasabimux.relay.model import Phase
from wasabimux.relay.owners import EngineOwners
from wasabimux.relay.placing import Elsewhere, Placing
from wasabimux.relay.ports import EngineCall, EngineDialect
from wasabimux.relay.upstreams import RunningStream, Upstream
from wasabimux.timeline import Timeline

#: Time for which an engine that had no room is not asked again by this relay.
FULL_S = 0.08

#: Longest wait for an engine's word on a reservation.
HOLD_TIMEOUT_S = 0.3

#: Time between looks at the queue when nothing else wakes it.
LOOK_S = 0.05

#: Events for which memory is reserved beside the prompt.
HELD_EVENTS = 4

#: Part of the target for the first event after which a slot comes too late for it.
ON_TIME_PART = 0.75

#: Part of the caller's patience that may be spent waiting for a slot.
WAIT_PART = 0.85

#: Bounds of what a refused caller is told to wait.
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 4.0


@dataclass(slots=True)
class Slot:
    """A reserved decode slot.

    Attributes:
        upstream: The engine.
        stream: What is expected of the stream.
        hold: Name of the reservation there, empty for a stream that moved.
        taken_s: When it was reserved.
        tokens_per_event: Tokens in one event.
        first_event_s: When the stream's first event came.
        events: Events that have come.
        ended: True once the stream has ended in good order.
        used: True once a request was sent with the reservation.
    """

    upstream: Upstream
    stream: RunningStream
    hold: str
    taken_s: float
    tokens_per_event: int = 1
    first_event_s: float | None = None
    events: int = 0
    ended: bool = False
    used: bool = False

    def on_first_event(self, now: float) -> None:
        """Notes that the stream makes tokens from now on."""
        self.first_event_s = now

    def on_events(self, events: int) -> None:
        """Notes the events that have come so far."""
        self.events = events
        self.stream.on_made(events * self.tokens_per_event)


@dataclass(slots=True)
class _Waiting:
    stream: WaitingStream
    request: RelayRequest
    granted: asyncio.Future[Slot]
    avoid: list[UpstreamId] = field(default_factory=list)


class SlotDesk:
    """Reserves decode slots for the streams of one relay.

    Args:
        placing: Finds engines.
        owners: Grants slots.
        engines: Calls of engines.
        timeline: Records decisions.
        estimates: What streams take.
        metrics: Times waits.
        rng: Source of random choices.
        on_use: Called when a slot is taken or freed.
    """

    def __init__(
        self,
        placing: Placing,
        owners: EngineOwners,
        engines: EngineDialect,
        timeline: Timeline,
        estimates: StreamEstimates,
        metrics: RelayMetrics,
        rng: random.Random,
        on_use: Callable[[], None],
    ) -> None:
        self._placing = placing
        self._owners = owners
        self._engines = engines
        self._estimates = estimates
        self._metrics = metrics
        self._rng = rng
        self._on_use = on_use
        self._timeline = timeline
        self._numbers = itertools.count(1)
        self._waiting: dict[int, _Waiting] = {}
        self._asking: dict[int, asyncio.Task[None]] = {}
        self._wake = asyncio.Event()
        self._dropping: set[asyncio.Task[None]] = set()

    @property
    def waiting(self) -> int:
        """Streams that wait for a slot."""
        return len(self._waiting)

    def wake(self) -> None:
        """Looks at the queue again, as something may have changed."""
        self._wake.set()

    async def acquire(self, request: RelayRequest, avoid: list[UpstreamId]) -> Slot:
        """Waits for a slot.

        Args:
            request: The stream.
            avoid: Engines that it must not use.

        Raises:
            RefusedError: There will be no slot in time.
        """
        now = loop_time()
        since_s = request.arrived_s
        if request.answering:
            since_s = now  # its caller has events already and waits for the next
        elif not request.tried:
            self._refuse_if_hopeless(request, now)
        stream = WaitingStream(
            next(self._numbers),
            request.route.priority,
            request.beyond_share,
            request.last_chance,
            self._running(request).forecast(),
            since_s + ON_TIME_PART * request.route.target_s,
        )
        granted: asyncio.Future[Slot] = asyncio.get_running_loop().create_future()
        self._waiting[stream.number] = _Waiting(stream, request, granted, avoid)
        self._wake.set()
        until_s = min(
            since_s + WAIT_PART * request.route.patience_s, request.deadline_s
        )
        try:
            async with asyncio.timeout_at(until_s):
                slot = await granted
        except BaseException as error:
            if granted.done() and not granted.cancelled():
                self.release(granted.result(), loop_time())  # it came too late
            if isinstance(error, TimeoutError):
                self._timeline.record(
                    "slot_wait_over",
                    request.facts.id,
                    request.workspace or "",
                    waiting=self.waiting,
                    waiting_elsewhere=self._placing.waiting_elsewhere(),
                    beyond_share=request.beyond_share,
                )
                text = "no decode slot came free in time"
                raise self._no_slot(request, text) from None
            raise
        finally:
            self._waiting.pop(stream.number, None)
            granted.cancel()
        return slot

    def release(self, slot: Slot, now: float) -> None:
        """Notes that a slot is free; gives the reservation back if it is unused."""
        self._forget(slot.upstream, slot.stream)
        self._on_use()
        if not slot.used:
            self._drop_later(slot.upstream, self._engines.drop_hold(slot.hold))
        elif slot.ended and slot.first_event_s is not None:
            self._estimates.on_stream_end(
                slot.stream.state.prompt_tokens,
                slot.events * slot.tokens_per_event,
                now - slot.taken_s,
                now - slot.first_event_s,
            )
        self._wake.set()

    def copy_to(self, slot: Slot, engine: Upstream) -> Slot:
        """Takes a slot at another engine for a stream that moves there."""
        stream = replace(slot.stream)
        engine.running += 1
        engine.streams.add(stream)
        self._on_use()
        return replace(slot, upstream=engine, stream=stream, hold="", used=True)

    async def run(self) -> None:
        """Grants slots until it is cancelled."""
        while True:
            try:
                async with asyncio.timeout(LOOK_S if self._waiting else None):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            self._grant(loop_time())

    def _grant(self, now: float) -> None:
        """Asks engines with room for the streams that are next."""
        streams = [
            item.stream
            for number, item in self._waiting.items()
            if number not in self._asking and not item.granted.done()
        ]
        elsewhere = self._placing.running_elsewhere() if streams else {}
        for stream in order_waiting(streams, now):
            item = self._waiting[stream.number]
            engine = self._engine_for(item, elsewhere, now)
            if engine is None:
                continue
            running = self._running(item.request)
            engine.running += 1
            engine.streams.add(running)
            task = asyncio.ensure_future(self._ask(item, engine, running))
            self._asking[stream.number] = task
            task.add_done_callback(partial(self._asked, stream.number))

    def _asked(self, number: int, _: asyncio.Task[None]) -> None:
        self._asking.pop(number, None)
        self._wake.set()

    def _engine_for(
        self,
        item: _Waiting,
        elsewhere: dict[UpstreamId, Elsewhere],
        now: float,
    ) -> Upstream | None:
        service = item.request.service
        assert service.engine is not None
        engines = {
            engine.id: engine
            for engine in self._placing.engines(
                service.name, Phase.DECODE, now, item.avoid
            )
            if engine.full_until_s <= now
        }
        rooms = [
            self._placing.room(engine, service, elsewhere)
            for engine in engines.values()
        ]
        room = choose_engine(rooms, item.stream.memory, self._rng)
        return None if room is None else engines[room.upstream]

    async def _ask(
        self, item: _Waiting, engine: Upstream, stream: RunningStream
    ) -> None:
        """Asks an engine for a reservation; the engine has the last word."""
        service = item.request.service
        profile = service.engine
        assert profile is not None
        if not await self._owners.may_take(engine, service, stream.forecast()):
            self._forget(engine, stream)
            engine.full_until_s = loop_time() + FULL_S
            return
        self._on_use()
        hold = None
        tokens = stream.state.prompt_tokens + HELD_EVENTS * profile.tokens_per_event
        try:
            call = self._engines.take_hold(tokens, profile.hold_s)
            async with asyncio.timeout(HOLD_TIMEOUT_S):
                status, body = await engine.call(call)
            hold = self._engines.read_hold(status, body)
        except (UpstreamLost, TimeoutError) as error:
            engine.health.on_unreachable(loop_time())
            self._record(item, "hold_failed", engine, error=str(error) or "silent")
        now = loop_time()
        slot = Slot(engine, stream, hold or "", now, profile.tokens_per_event)
        if hold is None:
            self._forget(engine, stream)
            engine.full_until_s = now + FULL_S
        elif item.granted.done():
            self.release(slot, now)
        else:
            item.granted.set_result(slot)
            wait_ms = round((now - item.request.arrived_s) * 1000)
            self._metrics.on_step("slot_wait", wait_ms / 1000)
            self._record(item, "slot_granted", engine, tokens=tokens, wait_ms=wait_ms)

    def drop_memory(self, engine: Upstream, handle: str) -> None:
        """Frees memory that nobody will take any more."""
        self._drop_later(engine, self._engines.drop_handle(handle))

    def _drop_later(self, engine: Upstream, call: EngineCall) -> None:
        task = asyncio.ensure_future(self._drop(engine, call))
        self._dropping.add(task)
        task.add_done_callback(self._dropping.discard)

    async def _drop(self, engine: Upstream, call: EngineCall) -> None:
        try:
            await engine.call(call)
        except UpstreamLost as error:
            self._timeline.record("not_freed", upstream=engine.id, error=error)

    def _running(self, request: RelayRequest) -> RunningStream:
        """Returns what is expected of a stream that starts now."""
        facts = request.facts
        expected = self._estimates.expected_tokens(
            facts.expected_tokens, facts.output_tokens
        )
        state = StreamState(facts.prompt_tokens, 0, expected, facts.output_tokens)
        return RunningStream(state, self._estimates.tokens_per_s)

    def _forget(self, engine: Upstream, stream: RunningStream) -> None:
        engine.running -= 1
        engine.streams.discard(stream)

    def _refuse_if_hopeless(self, request: RelayRequest, now: float) -> None:
        """Refuses a stream for which no slot can come free in time."""
        if request.last_chance:
            return
        assert request.service.engine is not None
        elsewhere = self._placing.running_elsewhere()
        rooms = [
            self._placing.room(engine, request.service, elsewhere)
            for engine in self._placing.engines(
                request.service.name, Phase.DECODE, now, []
            )
        ]
        tokens = max(self._running(request).forecast())
        free = sum(
            min(room.free_slots, int(room.free_tokens / max(1.0, tokens)))
            for room in rooms
            if room.free_slots > 0 and room.free_tokens > 0
        )
        running = sum(
            request.service.engine.slots - max(0, room.free_slots) for room in rooms
        )
        ahead = self.waiting + self._placing.waiting_elsewhere()
        wait_s = expected_wait_s(ahead, running, self._estimates.mean_stream_s, free)
        if wait_s > WAIT_PART * request.route.patience_s:
            self._timeline.record(
                "slots_short",
                request.facts.id,
                request.workspace or "",
                ahead=ahead,
                running=running,
                free=free,
                stream_s=round(self._estimates.mean_stream_s, 2),
                wait_s=round(wait_s, 2),
            )
            raise self._no_slot(request, "too many streams wait", wait_s)

    def _no_slot(
        self, request: RelayRequest, message: str, wait_s: float = 0.0
    ) -> Exception:
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return request.refusal(ErrorCode.OVERLOADED, message, retry_after_s)

    def _record(
        self, item: _Waiting, name: str, engine: Upstream, **fields: object
    ) -> None:
        self._timeline.record(
            name,
            item.request.facts.id,
            item.request.workspace or "",
            upstream=engine.id,
            waiting=self.waiting,
            **fields,
        )
