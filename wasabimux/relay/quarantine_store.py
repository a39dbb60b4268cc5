"""Keeps quarantines in the store, over a restart of all relays."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash
from pydantic import BaseModel, ConfigDict

from wasabimux._clock import loop_time
from wasabimux.decisions.crash_attribution import CrashEvidence, CrashId, Quarantine
from wasabimux.decisions.placement import rendezvous_top
from wasabimux.ids import StoreRevision, SuspectId, UpstreamId
from wasabimux.ports import StoreConflict, StoreUnavailable
from wasabimux.relay.mesh import Mesh
from wasabimux.relay.ports import ObjectStore, PlatformObject
from wasabimux.settings.fields import EpochMs, Name
from wasabimux.settings.findings import check_document
from wasabimux.timeline import Timeline

#: Most stored quarantines that are read at a start.
MAX_STORED = 128


class _StoredCrash(BaseModel):
    """A crash that a quarantine explains."""

    model_config = ConfigDict(strict=True)

    upstream: Name
    started_ms: EpochMs


class _StoredQuarantine(BaseModel):
    """Document of a quarantine; `parts` are its suspects."""

    model_config = ConfigDict(strict=True)

    parts: list[str]
    crashes: list[_StoredCrash]


class QuarantineStore:
    """Reads quarantines at a start, and writes those that begin and end.

    One relay writes each of them: the first by rendezvous hashing that reaches the
    store. The object tells the crashes; a relay that reads it takes them for new.

    Args:
        kind: Kind of the objects.
        store: The platform's store.
        mesh: Tells which relays reach the store.
        timeline: Records calls that failed.

    Attributes:
        loaded: True once the stored quarantines were read.
    """

    def __init__(
        self, kind: str, store: ObjectStore, mesh: Mesh, timeline: Timeline
    ) -> None:
        self.loaded = False
        self._kind = kind
        self._store = store
        self._mesh = mesh
        self._timeline = timeline
        self._revision_by_name: dict[str, StoreRevision] = {}
        self._era = 0

    async def load(self) -> list[CrashEvidence]:
        """Returns the crashes of all stored quarantines, none if the store is away."""
        try:
            listed = await self._store.list(self._kind)
        except StoreUnavailable as error:
            self._timeline.record("quarantine_not_read", error=error)
            return []
        self.loaded = True
        self._era = listed.revision.era
        self._revision_by_name = {item.name: item.revision for item in listed.objects}
        readable = [item for item in listed.objects if item.value is not None]
        if len(readable) > MAX_STORED:
            self._timeline.record("quarantines_left_out", stored=len(readable))
        return [crash for item in readable[:MAX_STORED] for crash in self._decode(item)]

    async def update(self, quarantines: Iterable[Quarantine]) -> None:
        """Writes quarantines that are not stored, and deletes those that have ended.

        Args:
            quarantines: All quarantines.
        """
        wanted = {_name_of(item): _stored(item) for item in quarantines}
        if self._store.era > self._era:  # a restored store may lack its latest objects
            self._era = self._store.era
            self._revision_by_name.clear()
        try:
            for name in wanted.keys() - self._revision_by_name.keys():
                if self._is_writer(name):
                    await self._create(name, wanted[name])
            for name in self._revision_by_name.keys() - wanted.keys():
                await self._delete(name)
        except StoreUnavailable as error:
            self._timeline.record("quarantine_not_written", error=error)

    def _is_writer(self, name: str) -> bool:
        relays = self._mesh.live_aggregators(loop_time(), store_reachable=True)
        if not relays:
            return False
        return rendezvous_top(name.encode(), relays, 1)[0] == self._mesh.address

    async def _create(self, name: str, quarantine: _StoredQuarantine) -> None:
        value = quarantine.model_dump()
        try:
            revision = await self._store.create(self._kind, name, value)
        except StoreConflict as error:
            self._timeline.record("quarantine_stored_before", error=error)
            listed = await self._store.list(self._kind)
            self._revision_by_name |= {o.name: o.revision for o in listed.objects}
        else:
            self._revision_by_name[name] = revision

    async def _delete(self, name: str) -> None:
        revision = self._revision_by_name.pop(name)
        try:
            await self._store.delete(self._kind, name, revision)
        except StoreConflict as error:
            self._timeline.record("quarantine_kept", error=error)

    def _decode(self, item: PlatformObject) -> list[CrashEvidence]:
        """Returns the crashes of a stored quarantine, none if it cannot be read."""
        checked = check_document(_StoredQuarantine, item.value)
        if checked.is_error():
            for finding in checked.error:
                self._timeline.record(
                    "quarantine_refused", object=item.name, finding=finding
                )
            return []
        stored = checked.ok
        suspects = frozenset(map(SuspectId, stored.parts))
        return [
            CrashEvidence(
                CrashId(UpstreamId(crash.upstream), crash.started_ms),
                0.0,
                suspects,
            )
            for crash in stored.crashes
        ]


def _name_of(quarantine: Quarantine) -> str:
    key = ",".join(sorted(quarantine.suspects))
    return xxhash.xxh64_hexdigest(key.encode())


def _stored(quarantine: Quarantine) -> _StoredQuarantine:
    return _StoredQuarantine(
        parts=sorted(quarantine.suspects),
        crashes=[
            _StoredCrash(upstream=crash.upstream, started_ms=crash.started_ms)
            for crash in quarantine.crashes
        ],
    )
