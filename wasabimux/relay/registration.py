"""How relays find one another: entries in the platform's store, then links."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from wasabimux.ports import StoreConflict, StoreUnavailable
from wasabimux.relay.mesh import GONE_AFTER_S, Mesh
from wasabimux.relay.ports import ObjectStore, PlatformObject
from wasabimux.timeline import Timeline

#: Waits between tries while the store does not answer, with jitter below.
RETRY_S = 0.5


class Registration:
    """Writes this relay's entry and reads those of others, once a start.

    A relay that starts later links to those it finds, which so learn of it.

    Args:
        kind: Kind of the entries.
        instance: Name of this relay.
        address: Its address for links.
        seeds: Addresses to try for links while the store does not answer.
        store: The platform's store.
        mesh: Takes the addresses found.
        timeline: Records what happens.
        rng: Source of jitter.
    """

    def __init__(
        self,
        kind: str,
        instance: str,
        address: str,
        seeds: Sequence[str],
        store: ObjectStore,
        mesh: Mesh,
        timeline: Timeline,
        rng: random.Random,
    ) -> None:
        self.done = False
        self._kind = kind
        self._instance = instance
        self._address = address
        self._seeds = seeds
        self._store = store
        self._mesh = mesh
        self._timeline = timeline
        self._rng = rng

    async def run(self) -> None:
        """Registers, then removes entries of relays that stay away."""
        for seed in self._seeds:
            self._mesh.add(seed)
        while True:
            try:
                entries = await self._register()
                break
            except (StoreUnavailable, StoreConflict) as error:
                self._timeline.record("registration_failed", error=error)
                await asyncio.sleep(self._rng.uniform(RETRY_S / 2, RETRY_S))
        await asyncio.sleep(GONE_AFTER_S)
        await self._remove_stale(entries)

    async def _register(self) -> list[PlatformObject]:
        """Writes the entry, then reads those of others.

        In this order at least one of two relays that start together sees the other.
        """
        value = {"address": self._address}
        try:
            await self._store.create(self._kind, self._instance, value)
        except StoreConflict:
            self._timeline.record("registered_before")
        listed = await self._store.list(self._kind)
        by_name = {item.name: item for item in listed.objects}
        mine = by_name.pop(self._instance, None)
        if mine is not None and mine.value != value:
            await self._store.replace(self._kind, self._instance, value, mine.revision)
        for item in by_name.values():
            if isinstance(item.value, dict) and "address" in item.value:
                self._mesh.add(str(item.value["address"]))
        self.done = True
        self._timeline.record("registered", peers=len(by_name))
        return list(by_name.values())

    async def _remove_stale(self, entries: list[PlatformObject]) -> None:
        """Deletes entries whose relays were never reached since the start."""
        for item in entries:
            address = item.value.get("address") if isinstance(item.value, dict) else ""
            if address in self._mesh.peers_by_address:
                continue
            try:
                await self._store.delete(self._kind, item.name, item.revision)
                self._timeline.record("stale_entry_deleted", relay=item.name)
            except (StoreUnavailable, StoreConflict) as error:
                self._timeline.record("stale_entry_kept", relay=item.name, error=error)
