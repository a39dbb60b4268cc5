"""Decode slots, reserved at an engine before the prompt is prefilled."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, replace
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
from wasabimux.errors import ErrorCode, RefusedError
from wasabimux.ports import UpstreamLost
from wasabimux.relay.context import RelayRequest
from wasabimux.relay.model import Phase
from wasabimux.relay.owners import SlotArbiter, SlotLease
from wasabimux.relay.placing import ALL_PAUSE_TEXT, UpstreamSelector
from wasabimux.relay.ports import EngineCall, EngineCodec
from wasabimux.relay.rollouts import Rollouts
from wasabimux.relay.upstreams import RunningStream, Upstream
from wasabimux.timeline import Timeline

#: Time after a refused reservation before this relay requests another one there.
FULL_BACKOFF_S = 0.08

#: Timeout of a reservation call to an engine.
RESERVATION_TIMEOUT_S = 0.3

#: Interval between checks of the queue while streams wait and nothing wakes the task.
QUEUE_CHECK_INTERVAL_S = 0.05

#: Requests that an engine gets for a slot: the reservation and the stream.
REQUESTS_PER_SLOT = 2

#: Number of events for which a reservation includes memory in addition to the prompt.
RESERVED_EVENTS = 4

#: Fraction of the target latency after which a slot comes too late to meet the target.
ON_TIME_FRACTION = 0.75

#: Maximum wait for a slot, as a fraction of the client's idle timeout.
MAX_WAIT_FRACTION = 0.85

#: Bounds of the Retry-After of refusals.
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 4.0


@dataclass(slots=True)
class DecodeSlot:
    """A reserved decode slot.

    Attributes:
        upstream: The engine.
        stream: Length and memory forecast of the stream.
        reservation: Identity of the reservation at the engine, empty for a migrated
            stream.
        acquired_s: Loop time at which the slot was reserved.
        tokens_per_event: Tokens in one event.
        first_event_s: Loop time of the stream's first event, None before it.
        events: Number of events received.
        completed: True once the stream has ended without an error.
        request_sent: True once a request was sent with the reservation.
        lease: Lease of the slot from the engine's owner, None for a migrated stream.
    """

    upstream: Upstream
    stream: RunningStream
    reservation: str
    acquired_s: float
    tokens_per_event: int = 1
    first_event_s: float | None = None
    events: int = 0
    completed: bool = False
    request_sent: bool = False
    lease: SlotLease | None = None

    def on_first_event(self, now: float) -> None:
        """Records the time of the stream's first event."""
        self.first_event_s = now

    def on_events(self, events: int) -> None:
        """Records the number of events received so far."""
        self.events = events
        self.stream.on_generated(events * self.tokens_per_event)


@dataclass(slots=True)
class _QueuedStream:
    """A stream in the queue.

    Attributes:
        stream: Values that decide on the stream's position in the queue.
        request: Request of the stream.
        granted: Receives the slot.
        latest_s: Loop time at which the wait ends.
    """

    stream: WaitingStream
    request: RelayRequest
    granted: asyncio.Future[DecodeSlot]
    latest_s: float


class SlotScheduler:
    """Queues the streams of one relay and reserves decode slots for them.

    Args:
        selector: Selects engines.
        arbiter: Requests grants of slots from the owners of engines.
        rollouts: Divides streams between software versions.
        engines: Encodes calls to engines.
        timeline: Records decisions.
        estimates: Estimated length and speed of streams.
        metrics: Records wait times.
        rng: Source of randomness.
        on_usage_changed: Called when a slot is acquired or released.
    """

    def __init__(
        self,
        selector: UpstreamSelector,
        arbiter: SlotArbiter,
        rollouts: Rollouts,
        engines: EngineCodec,
        timeline: Timeline,
        estimates: StreamEstimates,
        metrics: RelayMetrics,
        rng: random.Random,
        on_usage_changed: Callable[[], None],
    ) -> None:
        self._selector = selector
        self._arbiter = arbiter
        self._rollouts = rollouts
        self._engines = engines
        self._estimates = estimates
        self._metrics = metrics
        self._rng = rng
        self._on_usage_changed = on_usage_changed
        self._timeline = timeline
        self._numbers = itertools.count(1)
        self._waiting: dict[int, _QueuedStream] = {}
        self._reserving: dict[int, asyncio.Task[None]] = {}
        self._wake = asyncio.Event()
        self._background_calls: set[asyncio.Task[None]] = set()

    @property
    def waiting(self) -> int:
        """Number of streams that wait for a slot."""
        return len(self._waiting)

    def wake(self) -> None:
        """Triggers a check of the queue after a change of the fleet's state or load."""
        self._wake.set()

    async def acquire(
        self, request: RelayRequest, as_standby: bool = False
    ) -> DecodeSlot:
        """Waits for a slot at an engine that the next attempt may go to.

        A stream that has begun and has no engine can only be cut, so it waits until its
        time limit; its client ends it before.

        Args:
            request: Request of the stream.
            as_standby: True if the stream has an engine that may still go on.

        Raises:
            RefusedError: No slot became free in time, or none is expected to.
        """
        now = loop_time()
        # a client that has events already waits for the next one
        since_s = now if request.response_started else request.arrived_s
        max_wait_s = MAX_WAIT_FRACTION * request.route.client_idle_timeout_s
        until_s = min(since_s + max_wait_s, request.deadline_s)
        if request.response_started and not as_standby:
            until_s = request.deadline_s
        refusal = self._pause_refusal(request, until_s, now)
        if refusal is not None:
            raise refusal
        if not request.response_started and not request.tried_upstreams:
            self._refuse_if_wait_too_long(request, now)
        stream = WaitingStream(
            next(self._numbers),
            request.route.priority,
            request.beyond_share,
            request.is_client_retry,
            self._expected_stream(request).forecast(),
            since_s + ON_TIME_FRACTION * request.route.target_latency_s,
        )
        granted: asyncio.Future[DecodeSlot] = asyncio.get_running_loop().create_future()
        self._waiting[stream.number] = _QueuedStream(stream, request, granted, until_s)
        self._wake.set()
        try:
            async with asyncio.timeout_at(until_s):
                slot = await granted
        except BaseException as error:
            is_granted = granted.done() and not granted.cancelled()
            if is_granted and granted.exception() is None:
                self.release(granted.result(), loop_time())  # granted too late
            if isinstance(error, TimeoutError):
                self._timeline.record(
                    "slot_wait_over",
                    request.metadata.id,
                    request.workspace or "",
                    waiting=self.waiting,
                    waiting_elsewhere=self._selector.waiting_at_peers(),
                    beyond_share=request.beyond_share,
                )
                text = "no decode slot came free in time"
                raise self._no_slot_refusal(request, text) from None
            raise
        finally:
            self._waiting.pop(stream.number, None)
            granted.cancel()
        return slot

    def refuse_where(
        self, refusal_of: Callable[[RelayRequest], RefusedError | None]
    ) -> None:
        """Refuses waiting streams.

        Args:
            refusal_of: Returns the error that refuses a request, None to let it wait.
        """
        for item in self._waiting.values():
            refusal = None if item.granted.done() else refusal_of(item.request)
            if refusal is not None:
                item.granted.set_exception(refusal)

    def release(self, slot: DecodeSlot, now: float) -> None:
        """Releases a slot, and its reservation if no request was sent with it."""
        self._remove_stream(slot.upstream, slot.stream)
        if slot.lease is not None:
            self._arbiter.release(slot.lease)
        self._on_usage_changed()
        if not slot.request_sent and slot.reservation:
            self._call_in_background(
                slot.upstream, self._engines.release_reservation(slot.reservation)
            )
        elif slot.completed and slot.first_event_s is not None:
            self._estimates.on_stream_end(
                slot.stream.state.prompt_tokens,
                slot.events * slot.tokens_per_event,
                now - slot.acquired_s,
                now - slot.first_event_s,
            )
        self._wake.set()

    def acquire_for_migration(self, slot: DecodeSlot, engine: Upstream) -> DecodeSlot:
        """Occupies a slot at an engine for a stream that migrates there.

        Args:
            slot: Current slot of the stream.
            engine: Engine at which the stream will be resumed.
        """
        stream = replace(slot.stream)
        engine.running += 1
        engine.streams.add(stream)
        self._on_usage_changed()
        return replace(
            slot,
            upstream=engine,
            stream=stream,
            reservation="",
            request_sent=True,
            lease=None,
        )

    async def run(self) -> None:
        """Grants slots to waiting streams until the task is cancelled."""
        while True:
            try:
                async with asyncio.timeout(
                    QUEUE_CHECK_INTERVAL_S if self._waiting else None
                ):
                    await self._wake.wait()
            except TimeoutError:
                pass
            self._wake.clear()
            self._start_reservations(loop_time())

    def _start_reservations(self, now: float) -> None:
        """Starts reservations for waiting streams, in queue order, where they fit."""
        streams = [
            item.stream
            for number, item in self._waiting.items()
            if number not in self._reserving and not item.granted.done()
        ]
        for stream in order_waiting(streams, now):
            item = self._waiting[stream.number]
            engine = self._choose_engine(item, now)
            if engine is None:
                refusal = self._pause_refusal(item.request, item.latest_s, now)
                if refusal is not None:
                    item.granted.set_exception(refusal)
                continue
            expected = self._expected_stream(item.request)
            self._selector.on_send(engine, item.request.service, REQUESTS_PER_SLOT)
            engine.running += 1
            engine.streams.add(expected)
            task = asyncio.ensure_future(self._reserve(item, engine, expected))
            self._reserving[stream.number] = task
            task.add_done_callback(partial(self._on_reserve_done, stream.number))

    def _on_reserve_done(self, number: int, _: asyncio.Task[None]) -> None:
        self._reserving.pop(number, None)
        self._wake.set()

    def _choose_engine(self, item: _QueuedStream, now: float) -> Upstream | None:
        service = item.request.service
        assert service.engine is not None
        excluded = self._rollouts.excluded(item.request, now, Phase.DECODE)
        avoid = [*self._selector.excluded(item.request), *excluded]
        engines = {
            engine.id: engine
            for engine in self._selector.engines(
                service.name, Phase.DECODE, now, avoid, item.request.software
            )
            if engine.full_until_s <= now and self._selector.may_send(engine, service)
        }
        staying = self._selector.staying_versions(service.name)
        capacities = [
            self._selector.engine_capacity(engine, service)
            for engine in engines.values()
        ]
        preferred = [
            capacity
            for capacity in capacities
            if engines[capacity.upstream].record.software in staying
        ]
        capacity = choose_engine(preferred, item.stream.memory, self._rng)
        if capacity is None and len(preferred) < len(capacities):
            capacity = choose_engine(capacities, item.stream.memory, self._rng)
        return None if capacity is None else engines[capacity.upstream]

    async def _reserve(
        self, item: _QueuedStream, engine: Upstream, stream: RunningStream
    ) -> None:
        """Reserves a slot at an engine, which may refuse despite the owner's grant."""
        service = item.request.service
        profile = service.engine
        assert profile is not None
        try:
            lease = await self._arbiter.request_grant(
                engine, service, stream.forecast()
            )
        except asyncio.CancelledError:
            self._remove_stream(engine, stream)
            raise
        if lease is None:
            self._remove_stream(engine, stream)
            engine.full_until_s = loop_time() + FULL_BACKOFF_S
            return
        if not self._selector.accepts_requests(engine, loop_time()):
            self._remove_stream(engine, stream)
            self._arbiter.release(lease)
            return
        self._on_usage_changed()
        reservation = None
        tokens = stream.state.prompt_tokens + RESERVED_EVENTS * profile.tokens_per_event
        try:
            call = self._engines.reserve_slot(tokens, profile.max_reservation_s)
            async with asyncio.timeout(RESERVATION_TIMEOUT_S):
                answer = await engine.call(
                    call, lambda item: self._engines.read_reservation(*item)
                )
            reservation = self._engines.read_reservation(*answer)
        except (UpstreamLost, TimeoutError) as error:
            engine.health.on_unreachable(loop_time())
            self._record(item, "hold_failed", engine, error=str(error) or "silent")
        now = loop_time()
        slot = DecodeSlot(
            engine,
            stream,
            reservation or "",
            now,
            profile.tokens_per_event,
            lease=lease,
        )
        if reservation is None:
            self._remove_stream(engine, stream)
            self._arbiter.release(lease)
            engine.full_until_s = now + FULL_BACKOFF_S
        elif item.granted.done() or not self._selector.accepts_requests(engine, now):
            self.release(slot, now)
        else:
            item.granted.set_result(slot)
            wait_ms = round((now - item.request.arrived_s) * 1000)
            self._metrics.on_step("slot_wait", wait_ms / 1000)
            self._record(item, "slot_granted", engine, tokens=tokens, wait_ms=wait_ms)

    def free_kv_cache(self, engine: Upstream, handle: str) -> None:
        """Frees a KV cache that will not be used any more.

        Args:
            engine: Engine that retains the KV cache.
            handle: Handle of the KV cache.
        """
        self._call_in_background(engine, self._engines.free_kv_cache(handle))

    async def settle(self, timeout_s: float) -> bool:
        """Waits until the engines have freed what streams that ended held there.

        Args:
            timeout_s: Longest wait in s.

        Returns:
            False if the time was over.
        """
        until_s = loop_time() + timeout_s
        while tasks := {*self._reserving.values(), *self._background_calls}:
            left_s = until_s - loop_time()
            if left_s <= 0:
                return False
            await asyncio.wait(tasks, timeout=left_s)
        return True

    def _call_in_background(self, engine: Upstream, call: EngineCall) -> None:
        task = asyncio.ensure_future(self._free_at_engine(engine, call))
        self._background_calls.add(task)
        task.add_done_callback(self._background_calls.discard)

    async def _free_at_engine(self, engine: Upstream, call: EngineCall) -> None:
        try:
            await engine.call(call)
        except UpstreamLost as error:
            self._timeline.record("not_freed", upstream=engine.id, error=error)

    def _expected_stream(self, request: RelayRequest) -> RunningStream:
        """Returns the expected length and speed of a stream that starts now."""
        metadata = request.metadata
        expected = self._estimates.expected_tokens(
            metadata.expected_tokens, metadata.output_tokens
        )
        state = StreamState(metadata.prompt_tokens, 0, expected, metadata.output_tokens)
        return RunningStream(state, self._estimates.tokens_per_s)

    def _remove_stream(self, engine: Upstream, stream: RunningStream) -> None:
        engine.running -= 1
        engine.streams.discard(stream)

    def _refuse_if_wait_too_long(self, request: RelayRequest, now: float) -> None:
        """Refuses a stream if the expected wait for a slot exceeds the maximum.

        Raises:
            RefusedError: The expected wait is too long.
        """
        if request.is_client_retry:
            return
        assert request.service.engine is not None
        capacities = [
            self._selector.engine_capacity(engine, request.service)
            for engine in self._selector.engines(
                request.service.name, Phase.DECODE, now, [], request.software
            )
        ]
        tokens = max(self._expected_stream(request).forecast())
        free_slots = sum(
            min(capacity.free_slots, int(capacity.free_tokens / max(1.0, tokens)))
            for capacity in capacities
            if capacity.free_slots > 0 and capacity.free_tokens > 0
        )
        running = sum(
            request.service.engine.slots - max(0, capacity.free_slots)
            for capacity in capacities
        )
        queue_length = self.waiting + self._selector.waiting_at_peers()
        wait_s = expected_wait_s(
            queue_length, running, self._estimates.mean_stream_s, free_slots
        )
        if wait_s > MAX_WAIT_FRACTION * request.route.client_idle_timeout_s:
            self._timeline.record(
                "slots_short",
                request.metadata.id,
                request.workspace or "",
                ahead=queue_length,
                running=running,
                free=free_slots,
                stream_s=round(self._estimates.mean_stream_s, 2),
                wait_s=round(wait_s, 2),
            )
            raise self._no_slot_refusal(request, "too many streams wait", wait_s)

    def _pause_refusal(
        self, request: RelayRequest, latest_s: float, now: float
    ) -> RefusedError | None:
        """Returns the refusal of a stream if all engines have asked for a pause.

        A stream that has begun waits for the end of a pause that comes in time.
        """
        left_s = self._selector.pause_left_s(
            request.service.name, now, Phase.DECODE, request.software
        )
        if left_s is None or (request.response_started and now + left_s < latest_s):
            return None
        return request.refusal_error(ErrorCode.OVERLOADED, ALL_PAUSE_TEXT, left_s)

    def _no_slot_refusal(
        self, request: RelayRequest, message: str, wait_s: float = 0.0
    ) -> Exception:
        retry_after_s = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))
        return request.refusal_error(ErrorCode.OVERLOADED, message, retry_after_s)

    def _record(
        self, item: _QueuedStream, name: str, engine: Upstream, **fields: object
    ) -> None:
        self._timeline.record(
            name,
            item.request.metadata.id,
            item.request.workspace or "",
            upstream=engine.id,
            waiting=self.waiting,
            **fields,
        )
