"""Discovery of other relays through entries in the platform's store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from wasabimux.ports import StoreConflict, StoreUnavailable
from wasabimux.relay.mesh import PEER_GONE_AFTER_S, Mesh
from wasabimux.relay.ports import ObjectStore, PlatformObject
from wasabimux.timeline import Timeline

#: Longest delay in s before a failed registration is retried. Jitter shortens it by up
#: to half.
RETRY_S = 0.5


class Registration:
    """Writes this relay's entry and reads those of the others, once per start.

    A relay that starts later links to the relays that it finds, so they learn of it
    without reading the entries again.

    Args:
        kind: Kind of the entries.
        instance: Name of this relay.
        address: Address on which this relay accepts links.
        seeds: Addresses of relays to link to even while the store does not answer.
        store: The platform's store.
        mesh: Receives the addresses found.
        timeline: Records successful and failed registrations.
        rng: Source of jitter.

    Attributes:
        done: True once the entry is written and those of the others are read.
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
        """Registers this relay, then deletes entries of relays that are gone."""
        for seed in self._seeds:
            self._mesh.add_peer(seed)
        while True:
            try:
                entries = await self._register()
                break
            except (StoreUnavailable, StoreConflict) as error:
                self._timeline.record("registration_failed", error=error)
                await asyncio.sleep(self._rng.uniform(RETRY_S / 2, RETRY_S))
        await asyncio.sleep(PEER_GONE_AFTER_S)
        await self._delete_stale(entries)

    async def _register(self) -> list[PlatformObject]:
        """Writes the entry of this relay, then reads those of the others.

        In this order, at least one of two relays that start at the same time sees the
        entry of the other.

        Returns:
            The entries of the other relays.
        """
        value = {"address": self._address}
        try:
            await self._store.create(self._kind, self._instance, value)
        except StoreConflict:
            self._timeline.record("registered_before")
        listed = await self._store.list(self._kind)
        by_name = {item.name: item for item in listed.objects}
        own = by_name.pop(self._instance, None)
        if own is not None and own.value != value:
            await self._store.replace(self._kind, self._instance, value, own.revision)
        for item in by_name.values():
            if isinstance(item.value, dict) and "address" in item.value:
                self._mesh.add_peer(str(item.value["address"]))
        self.done = True
        self._timeline.record("registered", peers=len(by_name))
        return list(by_name.values())

    async def _delete_stale(self, entries: list[PlatformObject]) -> None:
        """Deletes entries of relays that are not peers by now."""
        for item in entries:
            address = item.value.get("address") if isinstance(item.value, dict) else ""
            if address in self._mesh.peers_by_address:
                continue
            try:
                await self._store.delete(self._kind, item.name, item.revision)
                self._timeline.record("stale_entry_deleted", relay=item.name)
            except (StoreUnavailable, StoreConflict) as error:
                self._timeline.record("stale_entry_kept", relay=item.name, error=error)
