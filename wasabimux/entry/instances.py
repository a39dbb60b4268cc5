"""What an entry knows from the platform's lagging list of instances."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wasabimux._clock import loop_time
from wasabimux.ids import InstanceId
from wasabimux.ports import InstanceRecord, Store, StoreUnavailable

#: Role of entries in the list.
ENTRY_ROLE = "entry"

#: Time between two looks at the list.
POLL_S = 1.0


class InstanceList:
    """Follows the list of instances.

    Args:
        me: Name of this entry, which is left out of `other_entries`.
        store: The platform's store.
        on_leaving: Called with the instances that are leaving.
    """

    def __init__(
        self,
        me: InstanceId,
        store: Store,
        on_leaving: Callable[[frozenset[InstanceId]], None],
    ) -> None:
        self.other_entries: dict[InstanceId, str] = {}
        self._me = me
        self._store = store
        self._on_leaving = on_leaving
        self._listed_s: dict[str, float] = {}
        self._first_read_s: float | None = None
        self._last_read_s = 0.0

    async def run(self) -> None:
        """Follows the list until it is cancelled."""
        while True:
            try:
                self._take(await self._store.instances(), loop_time())
            except StoreUnavailable:
                pass  # the last list stays in use
            await asyncio.sleep(POLL_S)

    def unlisted_for(self, name: str) -> float:
        """Returns how long the list, as far as it was read, has not named one.

        Args:
            name: Name of an instance.

        Returns:
            The time in s, 0 if the list was never read.
        """
        if self._first_read_s is None:
            return 0.0
        return self._last_read_s - self._listed_s.get(name, self._first_read_s)

    def _take(self, records: list[InstanceRecord], now: float) -> None:
        if self._first_read_s is None:
            self._first_read_s = now
        self._last_read_s = now
        self._listed_s.update({item.instance: now for item in records})
        self.other_entries = {
            item.instance: item.address
            for item in records
            if item.role == ENTRY_ROLE
            and not item.leaving
            and item.instance != self._me
        }
        self._on_leaving(frozenset(item.instance for item in records if item.leaving))
