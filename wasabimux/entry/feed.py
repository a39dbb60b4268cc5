"""The settings in force at an entry: newest version wins, none reverts."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable

from wasabimux.ids import SettingsVersion
from wasabimux.ports import Store, StoreUnavailable
from wasabimux.settings.check import check_fleet
from wasabimux.settings.index import FleetIndex
from wasabimux.timeline import Timeline

SETTINGS_KIND = "settings"
SETTINGS_NAME = "fleet"
WATCH_S = 20.0
RETRY_S = 0.5


class SettingsFeed:
    """Follows the settings in the platform's store.

    Args:
        store: The platform's store.
        on_change: Called with each new version.
        timeline: Records events.
    """

    def __init__(
        self, store: Store, on_change: Callable[[FleetIndex], None], timeline: Timeline
    ) -> None:
        self.current: FleetIndex | None = None
        self._store = store
        self._on_change = on_change
        self._timeline = timeline

    async def run(self) -> None:
        """Follows the store until it is cancelled."""
        while True:
            after = self.current.version if self.current else 0
            try:
                changed = await self._store.watch(SETTINGS_KIND, after, WATCH_S)
            except StoreUnavailable:
                await asyncio.sleep(RETRY_S)
                continue
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
        self._timeline.record("settings_in_force", version=version)
        self._on_change(self.current)
        return True
