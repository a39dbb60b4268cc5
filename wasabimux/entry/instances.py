"""Local copy of the platform's list of instances, which lags behind their state."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wasabimux._clock import loop_time
from wasabimux.ids import InstanceId
from wasabimux.ports import InstanceRecord, Store, StoreUnavailable

#: Role of entries in the list of instances.
ENTRY_ROLE = "entry"

#: Time between two reads of the list.
POLL_INTERVAL_S = 1.0


class InstanceList:
    """Polls the platform's list of instances.

    Args:
        own_name: Name of this entry, which `other_entries` leaves out.
        store: The platform's store.
        on_leaving: Called after each read with all instances that are leaving.

    Attributes:
        other_entries: Addresses of the other entries that are not leaving, by name.
    """

    def __init__(
        self,
        own_name: InstanceId,
        store: Store,
        on_leaving: Callable[[frozenset[InstanceId]], None],
    ) -> None:
        self.other_entries: dict[InstanceId, str] = {}
        self._own_name = own_name
        self._store = store
        self._on_leaving = on_leaving
        self._last_listed_s: dict[str, float] = {}
        self._first_read_s: float | None = None
        self._last_read_s = 0.0

    async def run(self) -> None:
        """Polls the list until it is cancelled."""
        while True:
            try:
                self._apply_list(await self._store.instances(), loop_time())
            except StoreUnavailable:
                pass  # the list that was read last stays in use
            await asyncio.sleep(POLL_INTERVAL_S)

    def unlisted_duration_s(self, name: str) -> float:
        """Returns the time for which an instance has been missing from the list.

        The time ends at the last read of the list. For an instance that was never
        listed, it starts at the first read.

        Args:
            name: Name of the instance.

        Returns:
            The time in s, 0 if the list was never read.
        """
        if self._first_read_s is None:
            return 0.0
        return self._last_read_s - self._last_listed_s.get(name, self._first_read_s)

    def _apply_list(self, records: list[InstanceRecord], now: float) -> None:
        if self._first_read_s is None:
            self._first_read_s = now
        self._last_read_s = now
        self._last_listed_s.update({item.instance: now for item in records})
        self.other_entries = {
            item.instance: item.address
            for item in records
            if item.role == ENTRY_ROLE
            and not item.leaving
            and item.instance != self._own_name
        }
        self._on_leaving(frozenset(item.instance for item in records if item.leaving))
