"""Moves running streams off engines whose memory runs out."""

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
from wasabimux.ids import UpstreamId
from wasabimux.ports import UpstreamLost
from wasabimux.relay.context import RelayRequest
from wasabimux.relay.model import Phase, ServiceProfile
from wasabimux.relay.placing import Elsewhere, Placing
from wasabimux.relay.ports import EngineDialect
from wasabimux.relay.records import RequestRecords
from wasabimux.relay.slots import Slot, SlotDesk
from wasabimux.relay.upstreams import Upstream

#: Time between looks at the engines.
LOOK_S = 0.05

#: Longest wait for the word on a move once its stream has ended.
OUTCOME_S = 0.3


class Moved(NamedTuple):
    """A stream that stopped at one engine and may go on at another.

    Attributes:
        slot: Slot at the engine where it goes on.
        source: The engine that stopped it.
        handle: Name of its memory there.
    """

    slot: Slot
    source: Upstream
    handle: str

    @property
    def kv_source(self) -> str:
        """Where its memory is, as `IP:PORT/HANDLE`."""
        return f"{self.source.record.address}/{self.handle}"


class MovableRun:
    """A stream that may move while it runs.

    Args:
        number: Tells it from the others.
        request: The stream's request.
        slot: Where it runs.
    """

    def __init__(self, number: int, request: RelayRequest, slot: Slot) -> None:
        self.number = number
        self.request = request
        self.slot = slot
        self.task: asyncio.Task[Moved | None] | None = None
        self.taken = False

    async def outcome(self) -> Moved | None:
        """Returns where the stream goes on, None if it was not moved."""
        if self.task is None:
            return None
        await asyncio.wait({self.task}, timeout=OUTCOME_S)
        self.taken = self.task.done()
        return self.task.result() if self.taken else None


class StreamMoves:
    """Watches the engines that this relay's streams run on.

    Args:
        placing: Finds engines.
        slots: Takes slots for moved streams.
        engines: Calls of engines.
        records: Records moves.
    """

    def __init__(
        self,
        placing: Placing,
        slots: SlotDesk,
        engines: EngineDialect,
        records: RequestRecords,
    ) -> None:
        self._placing = placing
        self._slots = slots
        self._engines = engines
        self._records = records
        self._numbers = 0
        self._running: dict[int, MovableRun] = {}

    @contextmanager
    def movable(
        self, request: RelayRequest, slot: Slot
    ) -> Generator[MovableRun, None, None]:
        """Lets a stream be moved while the scope lasts, if it may go on elsewhere."""
        self._numbers += 1
        running = MovableRun(self._numbers, request, slot)
        if request.route.resumable:
            self._running[running.number] = running
        try:
            yield running
        finally:
            self._running.pop(running.number, None)
            if running.task is not None and not running.taken:
                running.task.add_done_callback(self._on_unclaimed)

    async def run(self) -> None:
        """Moves streams until it is cancelled."""
        while True:
            await asyncio.sleep(LOOK_S)
            self._look(loop_time())

    def _look(self, now: float) -> None:
        engines = {item.slot.upstream.id: item for item in self._running.values()}
        if not engines:
            return
        elsewhere = self._placing.running_elsewhere()
        for item in engines.values():
            engine, service = item.slot.upstream, item.request.service
            room = self._placing.room(engine, service, elsewhere)
            if is_nearly_full(room) and self._is_ours(engine):
                self._relieve(engine, service, elsewhere, now)

    def _is_ours(self, engine: Upstream) -> bool:
        """Tells whether no peer has more at an engine; that one relieves it."""
        own = engine.memory()[0]
        return own > 0 and own >= self._placing.most_of_a_peer(engine.id)

    def _relieve(
        self,
        engine: Upstream,
        service: ServiceProfile,
        elsewhere: dict[UpstreamId, Elsewhere],
        now: float,
    ) -> None:
        here = [item for item in self._running.values() if item.slot.upstream is engine]
        if any(item.task is not None and not item.task.done() for item in here):
            return  # its room is known only once that one has moved
        others = {
            item.id: item
            for item in self._placing.engines(
                service.name, Phase.DECODE, now, [engine.id]
            )
        }
        move = next_migration(
            [
                MigratableStream(item.number, item.slot.stream.forecast())
                for item in here
                if item.task is None
            ],
            [self._placing.room(item, service, elsewhere) for item in others.values()],
        )
        if move is not None:
            running = self._running[move.number]
            slot = self._slots.copy_to(running.slot, others[move.destination])
            running.task = asyncio.ensure_future(self._move(running, slot))

    async def _move(self, running: MovableRun, slot: Slot) -> Moved | None:
        """Stops a stream at its engine and copies its memory to another."""
        engine, request = running.slot.upstream, running.request
        call = self._engines.move(request.facts.id, slot.upstream.record.address)
        try:
            status, body = await engine.call(call)
        except UpstreamLost as error:
            self._slots.release(slot, loop_time())
            self._records.record(request, "move_lost", engine, error=error)
            return None
        stopped = self._engines.read_move(status, body)
        self._records.record(
            request, "stream_moved", engine, to=slot.upstream.id, status=status
        )
        if stopped is None or not stopped.copied:
            self._slots.release(slot, loop_time())
        if stopped is None:
            return None
        if not stopped.copied:
            slot = self._slots.copy_to(running.slot, engine)
        return Moved(slot, engine, stopped.handle)

    def _on_unclaimed(self, task: asyncio.Task[Moved | None]) -> None:
        """Frees what a move has taken for a stream that its caller has left."""
        moved = None if task.cancelled() else task.result()
        if moved is not None:
            self._slots.release(moved.slot, loop_time())
            self._slots.drop_memory(moved.source, moved.handle)
