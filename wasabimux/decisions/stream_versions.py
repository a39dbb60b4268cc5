"""Which software version a stream may go on at.

Made for releases during which engines of several software versions serve side by side.
What two versions write does not fit together, so a stream that has begun goes on only
at its version. Callers take streams up at any relay, also after all relays were lost.

While a route leads to engines of one version only, nothing has to be known of its
streams. While it leads to several, of one service or of more, relays remember the
version of each stream, and what nobody remembers is refused rather than guessed.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Collection, Iterable
from typing import NamedTuple

from wasabimux.ids import RequestId, SoftwareVersion

#: Most streams whose version is remembered: of this relay, and of others.
MAX_STREAMS = 8_192

#: Longest identity of a stream that is remembered, as callers choose it.
MAX_ID_LENGTH = 64

#: Shortest time in s for which a version counts after its last engine has left.
MIN_VERSION_MEMORY_S = 20.0


class StreamVersion(NamedTuple):
    """A software version of a service, at which streams begin."""

    service: str
    software: SoftwareVersion


class EngineVersion(NamedTuple):
    """Software version of an engine, and whether the engine drains."""

    software: SoftwareVersion
    draining: bool


def staying_versions(engines: Iterable[EngineVersion]) -> frozenset[SoftwareVersion]:
    """Returns the versions of a service that streams should rather begin at.

    A version with draining engines is probably being replaced by the others. Streams
    that begin there may find no engine to go on at.
    """
    engines = list(engines)
    leaving = {engine.software for engine in engines if engine.draining}
    staying = frozenset(engine.software for engine in engines) - leaving
    return staying or frozenset(leaving)


class _KnownStream(NamedTuple):
    """The version of a stream, its route's services, and when it is forgotten in s."""

    version: StreamVersion
    services: frozenset[str]
    until_s: float


class _KnownStreams:
    """A bounded number of streams, of which the oldest are forgotten first."""

    def __init__(self) -> None:
        self._by_id: OrderedDict[RequestId, _KnownStream] = OrderedDict()

    def add(self, stream: RequestId, known: _KnownStream) -> None:
        self._by_id[stream] = known
        self._by_id.move_to_end(stream)
        while len(self._by_id) > MAX_STREAMS:
            self._by_id.popitem(last=False)

    def expire(self, now: float) -> None:
        ended = [name for name, item in self._by_id.items() if item.until_s < now]
        for stream in ended:
            del self._by_id[stream]

    def version_of(self, stream: RequestId) -> StreamVersion | None:
        known = self._by_id.get(stream)
        return None if known is None else known.version

    def items(self) -> Iterable[tuple[RequestId, _KnownStream]]:
        return self._by_id.items()


class StreamVersions:
    """Versions in service, and the versions of the streams that have begun."""

    def __init__(self) -> None:
        self._seen_s_by_version: dict[StreamVersion, float] = {}
        self._ever_seen: set[StreamVersion] = set()
        self._named_by_others: frozenset[StreamVersion] = frozenset()
        self._longest_stream_s = MIN_VERSION_MEMORY_S
        self._own = _KnownStreams()
        self._reported = _KnownStreams()

    def on_versions(self, versions: Iterable[StreamVersion], now: float) -> None:
        """Records the versions that engines in service have."""
        for version in versions:
            self._seen_s_by_version[version] = now
            self._ever_seen.add(version)

    def on_named_by_others(self, versions: Iterable[StreamVersion]) -> None:
        """Records the versions that other relays name now.

        Those that this relay has seen itself count for as long as it remembers them.
        """
        self._named_by_others = frozenset(versions)

    def on_begun(
        self,
        stream: RequestId,
        version: StreamVersion,
        now: float,
        until_s: float,
        services: Iterable[str] = (),
    ) -> None:
        """Records the version at which a stream of this relay has begun.

        Args:
            stream: The request that began it.
            version: The version.
            now: Current time in s.
            until_s: Time in s after which no caller takes the stream up.
            services: All services that the stream's route leads to.
        """
        self.on_versions([version], now)
        if len(stream) > MAX_ID_LENGTH:
            return
        self._longest_stream_s = max(self._longest_stream_s, until_s - now)
        known = _KnownStream(version, frozenset([version.service, *services]), until_s)
        self._own.add(stream, known)

    def on_reported(
        self, stream: RequestId, version: StreamVersion, now: float
    ) -> None:
        """Records the version of a stream that another relay has begun."""
        until_s = now + self._longest_stream_s
        known = _KnownStream(version, frozenset([version.service]), until_s)
        self._reported.add(stream, known)

    def expire(self, now: float) -> None:
        """Forgets versions and streams that have ended long ago."""
        self._seen_s_by_version = {
            version: seen_s
            for version, seen_s in self._seen_s_by_version.items()
            if now - seen_s <= self._longest_stream_s
        }
        self._own.expire(now)
        self._reported.expire(now)

    def in_service(self) -> frozenset[StreamVersion]:
        """Returns the versions that may have begun streams that still run."""
        return frozenset(self._seen_s_by_version)

    def find(
        self, stream: RequestId | None, services: Collection[str]
    ) -> StreamVersion | None:
        """Returns the version at which a stream may go on, None if it is not known.

        Args:
            stream: The request that began the stream, None if the caller names none.
            services: Services that the stream may go on at.
        """
        known = self._known_version(stream)
        if known is not None:
            return known if known.service in services else None
        in_service = self.in_service() | self._named_by_others - self._ever_seen
        versions = [item for item in in_service if item.service in services]
        return versions[0] if len(versions) == 1 else None

    def is_known(self, stream: RequestId | None) -> bool:
        """Returns whether the version of a stream is remembered."""
        return self._known_version(stream) is not None

    def _known_version(self, stream: RequestId | None) -> StreamVersion | None:
        if stream is None:
            return None
        return self._own.version_of(stream) or self._reported.version_of(stream)

    def version_of(
        self, stream: RequestId | None, service: str
    ) -> SoftwareVersion | None:
        """Returns the version of one service at which a stream may go on."""
        found = self.find(stream, [service])
        return None if found is None else found.software

    def streams_to_keep(self) -> dict[RequestId, StreamVersion]:
        """Returns this relay's streams whose routes lead to several versions."""
        counts = Counter(version.service for version in self._seen_s_by_version)
        return {
            stream: item.version
            for stream, item in self._own.items()
            if sum(counts[service] for service in item.services) > 1
        }
