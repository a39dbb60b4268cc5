"""Settings in force at an entry, as received from the platform's store and from peers.

Peers may deliver a version before the store does, or while the store is unreachable.
A version is never replaced by an older one. An entry accepts no new requests while it
knows of a newer version that it cannot get, or while it reaches neither the store nor
any peer.
"""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from wasabimux._clock import loop_time
from wasabimux.ids import SettingsVersion
from wasabimux.json_documents import DocumentError, decode_document
from wasabimux.link.link import Link
from wasabimux.link.messages import Message, SettingsRequest, SettingsUpdate
from wasabimux.ports import Store, StoreUnavailable
from wasabimux.settings.check import check_fleet
from wasabimux.settings.index import FleetIndex
from wasabimux.timeline import Timeline

SETTINGS_KIND = "settings"
SETTINGS_NAME = "fleet"

#: Duration of a watch call. The store responds at its end even without a change.
WATCH_DURATION_S = 20.0

#: First and longest retry delay while the store is unreachable. Jitter shortens each
#: delay by up to half, so that entries do not all retry at the same time.
INITIAL_RETRY_S = 0.5
MAX_RETRY_S = 4.0

#: Time between announcements of the settings version to peers.
ANNOUNCE_INTERVAL_S = 1.0

#: Time since the last contact with the store or a peer after which an entry that cannot
#: reach the store accepts no new requests.
ISOLATION_TIMEOUT_S = 3.0

#: Time for which a newer version may be known but not in force before an entry stops
#: accepting new requests.
FETCH_TIMEOUT_S = 1.5


class SettingsFeed:
    """Watches the settings in the store, exchanges them with peers and applies them.

    Args:
        store: The platform's store.
        on_change: Called with the index of each new version.
        timeline: Timeline that records events.
        rng: Source of jitter.

    Attributes:
        current: Index of the settings in force, None before the first version.
    """

    def __init__(
        self,
        store: Store,
        on_change: Callable[[FleetIndex], None],
        timeline: Timeline,
        rng: random.Random,
    ) -> None:
        self.current: FleetIndex | None = None
        self._rng = rng
        self._document = b""
        self._store = store
        self._on_change = on_change
        self._timeline = timeline
        self._store_reachable = False
        self._last_contact_s = 0.0
        self._newest_known_version = 0
        self._outdated_since_s: float | None = None

    async def run(self) -> None:
        """Watches the settings in the store until it is cancelled."""
        retry_s = INITIAL_RETRY_S
        while True:
            after = self.current.version if self.current else 0
            try:
                changed = await self._store.watch(
                    SETTINGS_KIND, after, WATCH_DURATION_S
                )
            except StoreUnavailable:
                self._store_reachable = False
                await asyncio.sleep(self._rng.uniform(retry_s / 2, retry_s))
                retry_s = min(MAX_RETRY_S, retry_s * 2)
                continue
            retry_s = INITIAL_RETRY_S
            self._store_reachable = True
            self._last_contact_s = loop_time()
            for item in changed:
                if item.name == SETTINGS_NAME:
                    self.apply_if_newer(SettingsVersion(item.version), item.value)

    def apply_if_newer(self, version: SettingsVersion, value: bytes) -> bool:
        """Applies a version unless it is invalid or older than the one in force.

        Args:
            version: Version of the settings.
            value: Settings document as JSON.

        Returns:
            True if this version is now in force.
        """
        if self.current is not None and version <= self.current.version:
            return version == self.current.version
        try:
            document = decode_document(value)
        except DocumentError as error:
            self._timeline.record("settings_refused", finding=error)
            return False
        checked = check_fleet(document)
        if checked.is_error():
            for finding in checked.error:
                self._timeline.record("settings_refused", finding=finding)
            return False
        self.current = FleetIndex(version, checked.ok)
        self._document = value
        self._timeline.record("settings_in_force", version=version)
        self.observe_version(version)
        self._on_change(self.current)
        return True

    def observe_version(self, version: SettingsVersion) -> None:
        """Records that a version exists, which may be newer than the one in force."""
        self._newest_known_version = max(self._newest_known_version, version)
        current = self.current.version if self.current else 0
        if current >= self._newest_known_version:
            self._outdated_since_s = None
        elif self._outdated_since_s is None:
            self._outdated_since_s = loop_time()

    def announcement(self) -> SettingsUpdate:
        """Returns the message that announces the version in force to peers."""
        return SettingsUpdate(self.current.version if self.current else 0)

    def on_message(self, link: Link, message: Message) -> None:
        """Handles a peer's message about settings."""
        self._last_contact_s = loop_time()
        own_version = self.current.version if self.current else 0
        if isinstance(message, SettingsRequest):
            if own_version:
                link.send(0, SettingsUpdate(own_version, self._document))
        elif isinstance(message, SettingsUpdate):
            version = SettingsVersion(message.version)
            self.observe_version(version)
            if message.value:
                self.apply_if_newer(version, message.value)
            elif version > own_version:
                link.send(0, SettingsRequest())
            elif version < own_version:
                link.send(0, self.announcement())

    def may_serve(self, now: float, has_peers: bool) -> bool:
        """Returns True if the settings in force are recent enough for new requests.

        Args:
            now: Current loop time in s.
            has_peers: True if the platform lists other entries.
        """
        if self.current is None:
            return False
        if (
            self._outdated_since_s is not None
            and now - self._outdated_since_s > FETCH_TIMEOUT_S
        ):
            return False
        isolated = now - self._last_contact_s > ISOLATION_TIMEOUT_S
        return self._store_reachable or not has_peers or not isolated
