"""The settings in force at an entry: the newest version wins, none reverts.

They come from the platform's store or, sooner or instead, from peers. A version is
never replaced by an older one. An entry that knows of a newer version which it cannot
get, or that reaches neither the store nor any peer, takes no new work.
"""

from __future__ import annotations

import asyncio
import json
import random
from collections.abc import Callable

from wasabimux._clock import loop_time
from wasabimux.ids import SettingsVersion
from wasabimux.link.link import Link
from wasabimux.link.messages import Message, SettingsRequest, SettingsUpdate
from wasabimux.ports import Store, StoreUnavailable
from wasabimux.settings.check import check_fleet
from wasabimux.settings.index import FleetIndex
from wasabimux.timeline import Timeline

SETTINGS_KIND = "settings"
SETTINGS_NAME = "fleet"

#: Length of a watch. The store has answered when it ends, changed or not.
WATCH_S = 20.0

#: Waits between calls while the store is out of reach, with jitter below, so that
#: entries do not all come back to it at once.
FIRST_RETRY_S = 0.5
MAX_RETRY_S = 4.0

#: Time between announcements of the version to peers.
ANNOUNCE_S = 1.0

#: Time without store and peers after which no new work is taken.
ISOLATION_S = 3.0

#: Time for which a newer version may be known but not in force.
FETCH_S = 1.5


class SettingsFeed:
    """Follows the settings in the store and at peers.

    Args:
        store: The platform's store.
        on_change: Called with each new version.
        timeline: Records events.
        rng: Source of jitter.
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
        self._value = b""
        self._store = store
        self._on_change = on_change
        self._timeline = timeline
        self._store_reached = False
        self._last_contact_s = 0.0
        self._newest_known = 0
        self._behind_since_s: float | None = None

    async def run(self) -> None:
        """Follows the store until it is cancelled."""
        retry_s = FIRST_RETRY_S
        while True:
            after = self.current.version if self.current else 0
            try:
                changed = await self._store.watch(SETTINGS_KIND, after, WATCH_S)
            except StoreUnavailable:
                self._store_reached = False
                await asyncio.sleep(self._rng.uniform(retry_s / 2, retry_s))
                retry_s = min(MAX_RETRY_S, retry_s * 2)
                continue
            retry_s = FIRST_RETRY_S
            self._store_reached = True
            self._last_contact_s = loop_time()
            for item in changed:
                if item.name == SETTINGS_NAME:
                    self.offer(SettingsVersion(item.version), item.value)

    def offer(self, version: SettingsVersion, value: bytes) -> bool:
        """Takes a version unless it is older than the one in force.

        Args:
            version: Version of the settings.
            value: The settings document as JSON.

        Returns:
            True if this version is now in force.
        """
        if self.current is not None and version <= self.current.version:
            return version == self.current.version
        checked = check_fleet(json.loads(value))
        if checked.is_error():
            for finding in checked.error:
                self._timeline.record("settings_refused", finding=finding)
            return False
        self.current = FleetIndex(version, checked.ok)
        self._value = value
        self._timeline.record("settings_in_force", version=version)
        self.note_version(version)
        self._on_change(self.current)
        return True

    def note_version(self, version: SettingsVersion) -> None:
        """Notes that a version exists."""
        self._newest_known = max(self._newest_known, version)
        current = self.current.version if self.current else 0
        if current >= self._newest_known:
            self._behind_since_s = None
        elif self._behind_since_s is None:
            self._behind_since_s = loop_time()

    def announcement(self) -> SettingsUpdate:
        """Returns what peers are told regularly."""
        return SettingsUpdate(self.current.version if self.current else 0)

    def on_message(self, link: Link, message: Message) -> None:
        """Takes a message of a peer on settings."""
        self._last_contact_s = loop_time()
        mine = self.current.version if self.current else 0
        if isinstance(message, SettingsRequest):
            if mine:
                link.send(0, SettingsUpdate(mine, self._value))
        elif isinstance(message, SettingsUpdate):
            version = SettingsVersion(message.version)
            self.note_version(version)
            if message.value:
                self.offer(version, message.value)
            elif version > mine:
                link.send(0, SettingsRequest())
            elif version < mine:
                link.send(0, self.announcement())

    def may_serve(self, now: float, has_peers: bool) -> bool:
        """Tells whether new work may be taken on the settings in force.

        Args:
            now: Present time in s.
            has_peers: True if the platform lists other entries.
        """
        if self.current is None:
            return False
        if self._behind_since_s is not None and now - self._behind_since_s > FETCH_S:
            return False
        isolated = now - self._last_contact_s > ISOLATION_S
        return self._store_reached or not has_peers or not isolated
