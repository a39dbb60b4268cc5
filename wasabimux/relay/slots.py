"""Decode slots: reserved at the engine before the prompt is read."""

from __future__ import annotations

import asyncio
import itertools
from dataclasses import dataclass, field
from functools import partial

from wasabimux._clock import loop_time
from wasabimux.decisions.decode_queue import (
    EngineRoom,
    WaitingStream,
    expected_wait_s,
    order_waiting,
    roomiest,
)
from wasabimux.errors import ErrorCode
from wasabimux.ids import FailureDomainId, UpstreamId
from wasabimux.ports import UpstreamLost
from wasabimux.relay.context import RelayRequest
from wasabimux.relay.model import EngineProfile, Phase
from wasabimux.relay.placing import Placing
from wasabimux.relay.ports import EngineDialect
from wasabimux.relay.upstreams import Upstream
from wasabimux.timeline import Timeline

#: Time for which an engine that had no room is not asked again by this relay.
FULL_S = 0.08

#: Time between looks at the queue when nothing else wakes it.
LOOK_S = 0.05

#: Usual length of a stream before any was measured.
FIRST_STREAM_S = 3.5
STREAM_WEIGHT = 0.1

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
        hold: Name of the reservation there.
        tokens: Memory reserved.
        taken_s: When it was reserved.
        used: True once a request was sent with the reservation.
    """

    upstream: Upstream
    hold: str
    tokens: int
    taken_s: float
    used: bool = False


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
        engines: Calls of engines.
        failure_domain: Where the relay runs.
        timeline: Records decisions.
    """

    def __init__(
        self,
        placing: Placing,
        engines: EngineDialect,
        failure_domain: FailureDomainId,
        timeline: Timeline,
    ) -> None:
        self._placing = placing
        self._engines = engines
        self._failure_domain = failure_domain
        self._timeline = timeline
        self._numbers = itertools.count(1)
        self._waiting: dict[int, _Waiting] = {}
        self._asking: dict[int, asyncio.Task[None]] = {}
        self._wake = asyncio.Event()
        self._mean_stream_s = FIRST_STREAM_S
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
        self._refuse_if_hopeless(request, now)
        stream = WaitingStream(
            next(self._numbers),
            request.route.priority,
            request.facts.prompt_tokens + request.facts.output_tokens,
            request.arrived_s + request.route.target_s / 2,
        )
        granted: asyncio.Future[Slot] = asyncio.get_running_loop().create_future()
        self._waiting[stream.number] = _Waiting(stream, request, granted, avoid)
        self._wake.set()
        until_s = min(
            request.arrived_s + WAIT_PART * request.route.patience_s,
            request.deadline_s,
        )
        try:
            async with asyncio.timeout_at(until_s):
                return await granted
        except TimeoutError:
            raise self._no_slot(request, "no decode slot came free in time") from None
        finally:
            self._waiting.pop(stream.number, None)
            if granted.cancelled() or not granted.done():
                granted.cancel()

    def release(self, slot: Slot, now: float) -> None:
        """Notes that a slot is free; gives the reservation back if it is unused."""
        slot.upstream.running -= 1
        slot.upstream.tokens -= slot.tokens
        if not slot.used:
            task = asyncio.ensure_future(self._drop(slot.upstream, slot.hold))
            self._dropping.add(task)
            task.add_done_callback(self._dropping.discard)
        else:
            length_s = now - slot.taken_s
            self._mean_stream_s += STREAM_WEIGHT * (length_s - self._mean_stream_s)
        self._wake.set()

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
            engine.running += 1
            engine.tokens += stream.tokens
            task = asyncio.ensure_future(self._ask(item, engine))
            self._asking[stream.number] = task
            task.add_done_callback(partial(self._asked, stream.number))

    def _asked(self, number: int, _: asyncio.Task[None]) -> None:
        self._asking.pop(number, None)
        self._wake.set()

    def _engine_for(
        self,
        item: _Waiting,
        elsewhere: dict[UpstreamId, tuple[int, int]],
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
            self._room(engine, service.engine, elsewhere) for engine in engines.values()
        ]
        room = roomiest(rooms, item.stream.tokens)
        return None if room is None else engines[room.upstream]

    def _room(
        self,
        engine: Upstream,
        profile: EngineProfile,
        elsewhere: dict[UpstreamId, tuple[int, int]],
    ) -> EngineRoom:
        running, tokens = elsewhere.get(engine.id, (0, 0))
        return EngineRoom(
            engine.id,
            profile.memory_tokens - engine.tokens - tokens,
            profile.slots - engine.running - running,
            engine.record.failure_domain == self._failure_domain,
        )

    async def _ask(self, item: _Waiting, engine: Upstream) -> None:
        """Asks an engine for a reservation; the engine has the last word."""
        profile = item.request.service.engine
        assert profile is not None
        hold = None
        try:
            call = self._engines.take_hold(item.stream.tokens, profile.hold_s)
            status, body = await engine.call(call)
            hold = self._engines.read_hold(status, body)
        except UpstreamLost as error:
            engine.health.on_unreachable(loop_time())
            self._record(item, "hold_failed", engine, error=error)
        now = loop_time()
        slot = Slot(engine, hold or "", item.stream.tokens, now)
        if hold is None:
            engine.running -= 1
            engine.tokens -= item.stream.tokens
            engine.full_until_s = now + FULL_S
        elif item.granted.done():
            self.release(slot, now)
        else:
            item.granted.set_result(slot)
            wait_ms = round((now - item.request.arrived_s) * 1000)
            self._record(item, "slot_granted", engine, wait_ms=wait_ms)

    async def _drop(self, engine: Upstream, hold: str) -> None:
        try:
            await engine.call(self._engines.drop_hold(hold))
        except UpstreamLost as error:
            self._timeline.record("hold_kept", upstream=engine.id, error=error)

    def _refuse_if_hopeless(self, request: RelayRequest, now: float) -> None:
        """Refuses a stream for which no slot can come free in time."""
        assert request.service.engine is not None
        elsewhere = self._placing.running_elsewhere()
        rooms = [
            self._room(engine, request.service.engine, elsewhere)
            for engine in self._placing.engines(
                request.service.name, Phase.DECODE, now, []
            )
        ]
        tokens = request.facts.prompt_tokens + request.facts.output_tokens
        free = sum(
            min(room.free_slots, room.free_tokens // max(1, tokens))
            for room in rooms
            if room.free_slots > 0 and room.free_tokens > 0
        )
        running = sum(
            request.service.engine.slots - max(0, room.free_slots) for room in rooms
        )
        ahead = self.waiting + self._placing.waiting_elsewhere()
        wait_s = expected_wait_s(ahead, running, self._mean_stream_s, free)
        if wait_s > WAIT_PART * request.route.patience_s:
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
            tokens=item.stream.tokens,
            waiting=self.waiting,
            **fields,
        )
