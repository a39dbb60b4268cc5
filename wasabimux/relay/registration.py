"""Discovery of other relays through entries in the platform's store."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence

from pydantic import BaseModel, ConfigDict

from wasabimux._clock import loop_time
from wasabimux.link.messages import RelayIdentity
from wasabimux.ports import StoreConflict, StoreUnavailable
from wasabimux.relay.mesh import Mesh
from wasabimux.relay.ports import ObjectStore, PlatformObject
from wasabimux.relay.view import FleetView
from wasabimux.settings.address import RemoteAddress
from wasabimux.settings.fields import Label
from wasabimux.settings.findings import check_document
from wasabimux.timeline import Timeline

#: Longest delay in s before a failed registration is retried. Jitter shortens it by up
#: to half.
RETRY_S = 0.5


#: Time in s after the registration at which the entries are read once more, as relays
#: that start at the same time may each read them before the other has written its own.
SECOND_READ_S = 1.0

#: Time in s between later reads: of an aggregator, and of a relay that hears none.
AGGREGATOR_READ_INTERVAL_S = 10.0
LOST_READ_INTERVAL_S = 2.0

#: Time in s between checks whether the store was restored.
ERA_CHECK_INTERVAL_S = 0.5


class _RelayEntry(BaseModel):
    """Entry of a relay."""

    model_config = ConfigDict(strict=True)

    address: RemoteAddress
    failure_domain: Label = ""


class Registration:
    """Writes this relay's entry and finds the other relays by theirs.

    Aggregators read the entries at times, and other relays while they hear none.

    Args:
        kind: Kind of the entries.
        instance: Name of this relay.
        identity: Address and failure domain of this relay.
        seeds: Addresses of relays to link to even while the store does not answer.
        store: The platform's store.
        mesh: Receives the relays found.
        view: Tells when the store was restored, which may have lost the entry.
        timeline: Records successful and failed registrations.
        rng: Source of jitter.

    Attributes:
        done: True once the entry is written and those of the others are read.
    """

    def __init__(
        self,
        kind: str,
        instance: str,
        identity: RelayIdentity,
        seeds: Sequence[str],
        store: ObjectStore,
        mesh: Mesh,
        view: FleetView,
        timeline: Timeline,
        rng: random.Random,
    ) -> None:
        self.done = False
        self._kind = kind
        self._instance = instance
        self._value = {
            "address": identity.address,
            "failure_domain": identity.failure_domain,
        }
        self._seeds = seeds
        self._store = store
        self._mesh = mesh
        self._view = view
        self._registered_era = 0
        self._timeline = timeline
        self._rng = rng

    async def run(self) -> None:
        """Registers this relay, then reads the others' entries until cancelled."""
        for seed in self._seeds:
            self._mesh.add_peer(seed)
        await self._register_with_retries()
        await asyncio.sleep(self._rng.uniform(0.5, 1.0) * SECOND_READ_S)
        await self._refresh(allow_stale=False)
        next_read_s = loop_time() + self._next_read_delay_s(loop_time())
        while True:
            await asyncio.sleep(ERA_CHECK_INTERVAL_S)
            if self._view.era > self._registered_era:
                await self._register_with_retries()
            if loop_time() >= next_read_s:
                next_read_s = loop_time() + self._next_read_delay_s(loop_time())
                if self._should_read(loop_time()):
                    await self._refresh(allow_stale=True)

    async def _register_with_retries(self) -> None:
        while True:
            try:
                await self._register()
                return
            except (StoreUnavailable, StoreConflict) as error:
                self._timeline.record("registration_failed", error=error)
                await asyncio.sleep(self._rng.uniform(RETRY_S / 2, RETRY_S))

    async def _register(self) -> None:
        """Writes the entry of this relay, then reads those of the others.

        In this order, at least one of two relays that start at the same time sees the
        entry of the other.
        """
        try:
            await self._store.create(self._kind, self._instance, self._value)
        except StoreConflict:
            self._timeline.record("registered_before")
        listed = await self._store.list(self._kind)
        own = next((o for o in listed.objects if o.name == self._instance), None)
        if own is not None and own.value != self._value:
            await self._store.replace(
                self._kind, self._instance, self._value, own.revision
            )
        self._add_peers(listed.objects)
        self._registered_era = listed.revision.era
        self.done = True
        self._timeline.record("registered", peers=len(listed.objects) - 1)

    def _next_read_delay_s(self, now: float) -> float:
        """Returns the time in s until this relay may have to read the entries."""
        longest_s = LOST_READ_INTERVAL_S
        if self._mesh.membership.is_aggregator(now):
            longest_s = AGGREGATOR_READ_INTERVAL_S
        return self._rng.uniform(longest_s / 2, longest_s)

    def _should_read(self, now: float) -> bool:
        """Returns whether this relay has to find other relays by itself."""
        return self._mesh.membership.is_aggregator(
            now
        ) or not self._mesh.membership.hears_aggregator(now)

    async def _refresh(self, allow_stale: bool) -> None:
        """Reads the entries, and deletes those of relays that are gone.

        Args:
            allow_stale: True if entries may be missing that were written lately.
        """
        try:
            listed = await self._store.list(self._kind, allow_stale)
            self._add_peers(listed.objects)
            for item in listed.objects:
                if self._mesh.membership.is_gone(_address_of(item), loop_time()):
                    await self._delete(item)
        except StoreUnavailable as error:
            self._timeline.record("registration_failed", error=error)

    async def _delete(self, item: PlatformObject) -> None:
        try:
            await self._store.delete(self._kind, item.name, item.revision)
            self._timeline.record("stale_entry_deleted", relay=item.name)
        except StoreConflict as error:
            self._timeline.record("stale_entry_kept", relay=item.name, error=error)

    def _add_peers(self, objects: Sequence[PlatformObject]) -> None:
        for item in objects:
            checked = check_document(_RelayEntry, item.value)
            if checked.is_error():
                for finding in checked.error:
                    self._timeline.record(
                        "relay_entry_refused", relay=item.name, finding=finding
                    )
            elif item.name != self._instance:
                self._mesh.add_peer(checked.ok.address, checked.ok.failure_domain)


def _address_of(item: PlatformObject) -> str:
    """Returns the address in a relay's entry, empty if the entry is unreadable."""
    checked = check_document(_RelayEntry, item.value)
    return "" if checked.is_error() else checked.ok.address
