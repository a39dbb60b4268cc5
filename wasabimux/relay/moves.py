"""Migrates running streams off decode engines whose memory is nearly full."""

from __future__ import annotations

import asyncio
from collections.abc import Generator
from contextlib import contextmanager
from typing import NamedTuple

from wasabimux._clock import loop_time
from wasabimux.decisions.stream_migration import (
    MigratableStream,
    is_nearly_full,
    next_migration,
)
from wasabimux.ports import UpstreamLost
from wasabimux.relay.context import RelayRequest
from wasabimux.relay.model import Phase, ServiceProfile
from wasabimux.relay.placing import UpstreamSelector
from wasabimux.relay.ports import EngineCodec
from wasabimux.relay.records import RequestEventRecorder
from wasabimux.relay.slots import DecodeSlot, SlotScheduler
from wasabimux.relay.upstreams import Upstream

#: Interval between checks of the engines' memory.
CHECK_INTERVAL_S = 0.05

#: Longest wait for the result of a migration once the stream has ended as a whole one.
MIGRATION_RESULT_TIMEOUT_S = 0.3


class MigratedStream(NamedTuple):
    """A stream that was stopped at one engine and can resume at another.

    Attributes:
        slot: Slot at the engine where the stream resumes.
        source: Engine that stopped the stream.
        handle: Handle of the stream's KV cache at the source engine.
    """

    slot: DecodeSlot
    source: Upstream
    handle: str

    @property
    def may_return(self) -> bool:
        """True if it was to resume at another engine than the one that stopped it."""
        return self.slot.upstream is not self.source

    @property
    def kv_source(self) -> str:
        """Location of the stream's KV cache, as `IP:PORT/HANDLE`."""
        return f"{self.source.record.address}/{self.handle}"


class MigrationCandidate:
    """A running stream and its migration, if one was started.

    Args:
        number: Sequence number, unique within this relay.
        request: Request of the stream.
        slot: Slot that the stream runs in.
    """

    def __init__(self, number: int, request: RelayRequest, slot: DecodeSlot) -> None:
        self.number = number
        self.request = request
        self.slot = slot
        self.task: asyncio.Task[MigratedStream | None] | None = None
        self.result_claimed = False
        self.answer_lost = False

    @property
    def is_unsettled(self) -> bool:
        """True if the stream may have been stopped, and no engine has it yet."""
        if self.task is None:
            return False
        return self.answer_lost or not self.task.done()

    async def result(self, may_be_stopped: bool) -> MigratedStream | None:
        """Waits for the migration's result; None if the stream was not migrated.

        Args:
            may_be_stopped: True if the stream may lack its end, which only the result
                tells how to go on with; False if it has ended.
        """
        if self.task is None:
            return None
        timeout_s = None if may_be_stopped else MIGRATION_RESULT_TIMEOUT_S
        await asyncio.wait({self.task}, timeout=timeout_s)
        self.result_claimed = self.task.done()
        return self.task.result() if self.result_claimed else None


class StreamMigrator:
    """Watches the engines of this relay's streams and migrates streams off full ones.

    Args:
        selector: Lists engines and their free memory.
        slot_scheduler: Takes and releases slots of migrated streams.
        engine_codec: Encodes and decodes calls to engines.
        recorder: Records migrations.
    """

    def __init__(
        self,
        selector: UpstreamSelector,
        slot_scheduler: SlotScheduler,
        engine_codec: EngineCodec,
        recorder: RequestEventRecorder,
    ) -> None:
        self._selector = selector
        self._slot_scheduler = slot_scheduler
        self._engine_codec = engine_codec
        self._recorder = recorder
        self._last_number = 0
        self._candidates: dict[int, MigrationCandidate] = {}

    @contextmanager
    def migratable(
        self, request: RelayRequest, slot: DecodeSlot
    ) -> Generator[MigrationCandidate, None, None]:
        """Permits migration of a stream within the context, if it can go on elsewhere.

        A move may fail after the stream was stopped, which takes another attempt.
        """
        self._last_number += 1
        candidate = MigrationCandidate(self._last_number, request, slot)
        if request.route.resumable and request.has_attempts_left():
            self._candidates[candidate.number] = candidate
        try:
            yield candidate
        finally:
            self._candidates.pop(candidate.number, None)
            if candidate.task is not None and not candidate.result_claimed:
                candidate.task.add_done_callback(self._release_unclaimed)

    def return_to_source(self, migrated: MigratedStream) -> MigratedStream:
        """Returns a stopped stream that resumes at the engine that stopped it."""
        slot = self._slot_scheduler.acquire_for_migration(
            migrated.slot, migrated.source
        )
        return migrated._replace(slot=slot)

    async def run(self) -> None:
        """Checks the engines and starts migrations until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._check_engines(loop_time())

    def _check_engines(self, now: float) -> None:
        candidate_by_engine = {
            item.slot.upstream.id: item for item in self._candidates.values()
        }
        if not candidate_by_engine:
            return
        for item in candidate_by_engine.values():
            engine, service = item.slot.upstream, item.request.service
            capacity = self._selector.engine_capacity(engine, service)
            if is_nearly_full(capacity) and self._has_largest_use(engine):
                self._start_migration(engine, service, now)

    def _has_largest_use(self, engine: Upstream) -> bool:
        """Tells whether no peer's streams use more memory of the engine.

        Only the relay with the largest use of an engine migrates streams off it.
        """
        own = engine.memory()[0]
        return own > 0 and own >= self._selector.max_peer_memory(engine.id)

    def _start_migration(
        self, engine: Upstream, service: ServiceProfile, now: float
    ) -> None:
        """Starts to migrate one stream off an engine, if another has room for it."""
        on_engine = [
            item for item in self._candidates.values() if item.slot.upstream is engine
        ]
        if any(item.task is not None and not item.task.done() for item in on_engine):
            return  # the engine's free memory is known only after that migration
        destinations = {
            item.id: item
            for item in self._selector.engines(
                service.name, Phase.DECODE, now, [engine.id], engine.record.software
            )
            if self._selector.may_send(item, service)
        }
        move = next_migration(
            [
                MigratableStream(item.number, item.slot.stream.forecast())
                for item in on_engine
                if item.task is None
            ],
            [
                self._selector.engine_capacity(item, service)
                for item in destinations.values()
            ],
        )
        if move is not None:
            candidate = self._candidates[move.number]
            self._selector.on_send(destinations[move.destination], service)
            slot = self._slot_scheduler.acquire_for_migration(
                candidate.slot, destinations[move.destination]
            )
            candidate.task = asyncio.ensure_future(self._migrate(candidate, slot))

    async def _migrate(
        self, candidate: MigrationCandidate, slot: DecodeSlot
    ) -> MigratedStream | None:
        """Stops a stream at its engine and copies its KV cache to another engine.

        Args:
            candidate: Stream to migrate.
            slot: Slot at the destination engine; released if the copy fails.

        Returns:
            The stopped stream, which resumes at its own engine if its KV cache was
            not copied; None if the engine did not stop it.
        """
        engine, request = candidate.slot.upstream, candidate.request
        call = self._engine_codec.migrate_stream(
            request.metadata.id, slot.upstream.record.address
        )
        try:
            status, body = await engine.call(call)
        except UpstreamLost as error:
            self._slot_scheduler.release(slot, loop_time())
            self._recorder.record(request, "move_lost", engine, error=error)
            candidate.answer_lost = error.sent
            return None
        stopped = self._engine_codec.read_migration(status, body)
        self._recorder.record(
            request, "stream_moved", engine, to=slot.upstream.id, status=status
        )
        if stopped is None or not stopped.copied:
            self._slot_scheduler.release(slot, loop_time())
        if stopped is None:
            return None
        if not stopped.copied:
            slot = self._slot_scheduler.acquire_for_migration(candidate.slot, engine)
        return MigratedStream(slot, engine, stopped.handle)

    def _release_unclaimed(self, task: asyncio.Task[MigratedStream | None]) -> None:
        """Frees the slot and KV cache of a migrated stream that nobody resumes."""
        migrated = None if task.cancelled() else task.result()
        if migrated is not None:
            self._slot_scheduler.release(migrated.slot, loop_time())
            self._slot_scheduler.free_kv_cache(migrated.source, migrated.handle)
