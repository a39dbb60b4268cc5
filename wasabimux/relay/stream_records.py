"""Keeps the software versions of running streams in the platform's store.

Each relay has one object. It names the versions that the relay has seen in service, and
while a route leads to several, the streams that the relay has begun there. Relays read
the objects when they start and when a caller takes up a stream that they do not know.
Peers also tell a relay which versions were in service before its start.
"""

from __future__ import annotations

import asyncio
import math

from pydantic import BaseModel, Field

from wasabimux._clock import boot_time_s, loop_time
from wasabimux.decisions.stream_versions import (
    MIN_VERSION_MEMORY_S,
    StreamVersion,
    StreamVersions,
)
from wasabimux.ids import RequestId, SoftwareVersion, StoreRevision
from wasabimux.link.link import Link
from wasabimux.link.messages import VersionsSeen
from wasabimux.ports import StoreConflict, StoreUnavailable
from wasabimux.relay.context import RelayRequest
from wasabimux.relay.mesh import Mesh
from wasabimux.relay.ports import ObjectStore, PlatformObject
from wasabimux.relay.upstreams import UpstreamPool
from wasabimux.settings.fields import Label
from wasabimux.settings.findings import check_document
from wasabimux.timeline import Timeline

#: Shortest time in s between writes, and the writes a second of all relays together.
MIN_WRITE_INTERVAL_S = 0.2
MAX_WRITES_PER_S = 200.0

#: Time in s between reads for streams that this relay does not know.
READ_INTERVAL_S = 0.2

#: Longest time in s that a caller waits for such a read.
MAX_READ_WAIT_S = 1.0

#: Age in s of the last news of the store up to which the versions in service count as
#: current: no stream has begun at another one and broken off meanwhile.
MAX_NEWS_AGE_S = 0.3

#: Longest time in s that a caller waits until they are current, the read included, and
#: the time between checks. Aggregators that do not lead report once a second.
MAX_NEWS_WAIT_S = 1.5
NEWS_CHECK_S = 0.02


#: Most versions that one relay names.
MAX_VERSIONS = 256


class _VersionStreams(BaseModel):
    """A version in service and the streams that it has begun."""

    service: Label
    software: Label
    streams: list[str]


class _StreamRecords(BaseModel):
    """Document of one relay."""

    address: str
    versions: list[_VersionStreams] = Field(max_length=MAX_VERSIONS)

    def streams_by_version(self) -> dict[StreamVersion, list[RequestId]]:
        """Returns the streams by the version that has begun them."""
        return {
            StreamVersion(item.service, SoftwareVersion(item.software)): [
                RequestId(stream) for stream in item.streams
            ]
            for item in self.versions
        }


class StreamRecords:
    """Knows the versions of streams, those of other relays from the store.

    Args:
        kind: Kind of the objects.
        instance: Name of this relay.
        pool: Upstreams in service.
        store: The platform's store.
        mesh: Tells how many relays share the rate of writes, and which are gone.
        timeline: Records calls that failed.
    """

    def __init__(
        self,
        kind: str,
        instance: str,
        pool: UpstreamPool,
        store: ObjectStore,
        mesh: Mesh,
        timeline: Timeline,
    ) -> None:
        self._kind = kind
        self._instance = instance
        self._pool = pool
        self._store = store
        self._mesh = mesh
        self._timeline = timeline
        self._versions = StreamVersions()
        self._knows_earlier_versions = False  # those in service before its start
        self._has_read = False
        self._revision: StoreRevision | None = None
        self._written_versions: frozenset[StreamVersion] = frozenset()
        self._written_streams: frozenset[RequestId] = frozenset()
        self._era = 0
        self._read: asyncio.Task[None] | None = None
        self._read_s = 0.0
        self._read_boot_s = -math.inf  # begin of the last read, by boot_time_s

    def __enter__(self) -> StreamRecords:
        return self

    def __exit__(self, *exc_info: object) -> None:
        if self._read is not None:
            self._read.cancel()

    def on_begun(self, request: RelayRequest, software: SoftwareVersion) -> None:
        """Records the version at which a stream has begun, or goes on."""
        stream = request.metadata.resumes or request.metadata.id
        version = StreamVersion(request.service.name, software)
        self._versions.on_begun(
            stream,
            version,
            loop_time(),
            request.deadline_s,
            request.route.service_names,
        )

    def on_linked(self, link: Link) -> None:
        """Tells a peer the versions in service, once a link to it is established."""
        if self._knows_earlier_versions:
            self._note_versions()
            link.send(0, VersionsSeen(tuple(sorted(self._versions.in_service()))))

    def on_peer_versions(self, message: VersionsSeen) -> None:
        """Takes over the versions in service that a peer has seen."""
        self._versions.on_versions(message.versions, loop_time())
        self._knows_earlier_versions = True

    async def version_of(self, request: RelayRequest) -> StreamVersion | None:
        """Returns the version of a stream that is taken up, None if nobody knows it."""
        stream, services = request.metadata.resumes, request.route.service_names
        self._note_versions()
        if self._versions.is_known(stream):
            return self._versions.find(stream, services)
        if self._are_versions_current():
            known = self._versions.find(stream, services)
            if known is not None:
                return known
        until_s = loop_time() + MAX_NEWS_WAIT_S
        if self._read is None:
            self._read = asyncio.ensure_future(self._read_soon())
        await asyncio.wait({self._read}, timeout=MAX_READ_WAIT_S)
        if not self._versions.is_known(stream):
            if not await self._are_versions_current_by(until_s):
                return None
        self._note_versions()
        return self._versions.find(stream, services)

    def _are_versions_current(self) -> bool:
        """Returns whether this relay knows the versions that others begin streams at.

        One that was cut off or suspended may have missed a version that joined.
        """
        news_s = max(self._read_boot_s, self._mesh.informed_boot_s)
        age_s = boot_time_s() - news_s
        return self._knows_earlier_versions and age_s <= MAX_NEWS_AGE_S

    async def _are_versions_current_by(self, until_s: float) -> bool:
        """Waits until the versions are current, at most until a time in s."""
        while not self._are_versions_current() and loop_time() < until_s:
            await asyncio.sleep(NEWS_CHECK_S)
        return self._are_versions_current()

    async def run(self) -> None:
        """Reads the objects once, then writes what has changed until cancelled."""
        while True:
            self._note_versions()
            if not self._has_read:
                await self._load()
            else:
                await self._write()
            relays = self._mesh.relay_counts().known
            await asyncio.sleep(max(MIN_WRITE_INTERVAL_S, relays / MAX_WRITES_PER_S))

    def _note_versions(self) -> None:
        now = loop_time()
        self._versions.on_versions(
            {
                StreamVersion(item.record.service, item.record.software)
                for item in self._pool.by_id.values()
                if item.phase is not None
            },
            now,
        )
        self._versions.expire(now)

    async def _read_soon(self) -> None:
        """Reads the objects, not more often than the read interval allows."""
        try:
            await asyncio.sleep(self._read_s + READ_INTERVAL_S - loop_time())
            await self._load()
        finally:
            self._read = None

    async def _load(self) -> None:
        """Reads what all relays have kept."""
        self._read_s = loop_time()
        began_s = boot_time_s()
        named: set[StreamVersion] = set()
        is_first = not self._has_read
        try:
            async for page in self._store.pages(self._kind):
                for item in page.objects:
                    named |= await self._read_object(item, is_first)
        except StoreUnavailable as error:
            self._timeline.record("stream_records_not_read", error=error)
            return
        self._has_read = True
        self._versions.on_named_by_others(named)
        self._knows_earlier_versions = True
        self._read_boot_s = began_s

    async def _read_object(
        self, item: PlatformObject, is_first: bool
    ) -> set[StreamVersion]:
        """Takes over what a relay has kept.

        Args:
            item: Object of the relay.
            is_first: True if this relay reads the objects for the first time.

        Returns:
            The versions that it names, none if it is that of this relay or a gone one.
        """
        checked = check_document(_StreamRecords, item.value)
        if checked.is_error():
            self._timeline.record("stream_records_refused", object=item.name)
            return set()
        records, now = checked.ok, loop_time()
        is_own = item.name == self._instance
        if not is_own and self._mesh.membership.is_gone(records.address, now):
            await self._delete(item)
            return set()
        streams_by_version = records.streams_by_version()
        if is_first:  # versions in service before this start
            self._versions.on_versions(streams_by_version, now)
        if not is_own:
            self._take_over(records, now)
            return set(streams_by_version)
        self._revision = item.revision
        if is_first:
            self._take_over_own(records, now)
        return set()

    def _take_over_own(self, records: _StreamRecords, now: float) -> None:
        """Takes over the streams that this relay has begun before its start."""
        until_s = now + MIN_VERSION_MEMORY_S
        services = {version.service for version in self._versions.in_service()}
        for version, streams in records.streams_by_version().items():
            for stream in streams:
                self._versions.on_begun(stream, version, now, until_s, services)

    def _take_over(self, records: _StreamRecords, now: float) -> None:
        """Takes over the streams that another relay has begun."""
        for version, streams in records.streams_by_version().items():
            for stream in streams:
                self._versions.on_reported(stream, version, now)

    async def _write(self) -> None:
        """Writes the object of this relay if it lacks a version or a stream."""
        versions = self._versions.in_service()
        streams = self._versions.streams_to_keep()
        if self._store.era > self._era:  # a restored store may lack the latest object
            self._era = self._store.era
            self._written_versions = frozenset()
        if (
            versions == self._written_versions
            and streams.keys() <= self._written_streams
        ):
            return
        value = records_document(self._mesh.address, versions, streams)
        try:
            if self._revision is None:
                self._revision = await self._store.create(
                    self._kind, self._instance, value
                )
            else:
                self._revision = await self._store.replace(
                    self._kind, self._instance, value, self._revision
                )
            self._written_versions = versions
            self._written_streams = frozenset(streams)
        except StoreConflict as error:
            self._timeline.record("stream_records_changed", error=error)
            self._revision = None
            await self._load()
        except StoreUnavailable as error:
            self._timeline.record("stream_records_not_written", error=error)

    async def _delete(self, item: PlatformObject) -> None:
        try:
            await self._store.delete(self._kind, item.name, item.revision)
        except (StoreConflict, StoreUnavailable) as error:
            self._timeline.record("stream_records_kept", relay=item.name, error=error)


def records_document(
    address: str,
    versions: frozenset[StreamVersion],
    streams: dict[RequestId, StreamVersion],
) -> dict[str, object]:
    """Returns the object of a relay.

    Args:
        address: Address of the relay for its peers.
        versions: Versions that it has seen in service.
        streams: Streams that it has begun at them.
    """
    streams_by_version: dict[StreamVersion, list[RequestId]] = {
        version: [] for version in sorted(versions)
    }
    for stream, version in streams.items():
        streams_by_version[version].append(stream)
    entries = [
        _VersionStreams(service=service, software=software, streams=list(names))
        for (service, software), names in streams_by_version.items()
    ]
    return _StreamRecords(address=address, versions=entries).model_dump()
