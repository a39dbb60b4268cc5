"""Leader election for one task among all relays, by a lease in the platform's store.

The store gives each write of the lease a higher revision. The fencing token is made of
it and of the store's era, so it rises also when the store is restored from a copy and
gives revisions out again. The lease may be lost in a restore: its holder stops as soon
as it hears of the new era, and a candidate that finds no lease in a restored store
waits as if there were one.

The lease holder acts only during the first half of the lease after the start of its
last write; a candidate takes over after more than one whole lease without a write. So
more than one lease always passes between the last action of a holder and the first
action of the next.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from wasabimux._clock import boot_time_s
from wasabimux.ids import NO_REVISION, StoreRevision
from wasabimux.ports import StoreConflict, StoreUnavailable
from wasabimux.relay.ports import ObjectStore, PlatformObject
from wasabimux.timeline import Timeline

#: Fraction of the lease during which the holder acts without renewing it.
ACTIVE_LEASE_FRACTION = 0.5

#: Time in s after an unanswered store call during which another relay should take over.
STORE_FAILURE_WINDOW_S = 8.0

#: Time without a write, in leases, after which a candidate takes over.
TAKEOVER_WAIT_LEASES = 1.7


#: Era of a store that was never restored.
FIRST_ERA = 1

#: Bits of a fencing token that hold the revision; the bits above hold the era.
REVISION_BITS = 40


def fencing_token_of(revision: StoreRevision) -> int:
    """Returns the fencing token of a write of the lease."""
    return (revision.era << REVISION_BITS) + revision.number


class LeaderLease:
    """The lease that lets one relay at a time perform a task.

    Args:
        kind: Kind of the lease object in the store.
        name: Name of the task.
        holder: Identity of this incarnation of the relay.
        lease_s: Length of the lease in s.
        store: The platform's store.
        timeline: Records when the lease is acquired and lost.
        known_era: Returns the newest era of the store that this relay has heard of.
    """

    def __init__(
        self,
        kind: str,
        name: str,
        holder: str,
        lease_s: float,
        store: ObjectStore,
        timeline: Timeline,
        known_era: Callable[[], int] = lambda: 0,
    ) -> None:
        self._revision = NO_REVISION
        self._known_era = known_era
        self.holder = holder
        self._kind = kind
        self._name = name
        self._lease_s = lease_s
        self._store = store
        self._timeline = timeline
        self._renewed_s = -lease_s
        self._store_failed_s = -STORE_FAILURE_WINDOW_S

    @property
    def fencing_token(self) -> int:
        """Token of the last write of the lease, 0 if this relay is not the holder."""
        if self._revision == NO_REVISION:
            return 0
        return fencing_token_of(self._revision)

    def may_act(self, now: float) -> bool:
        """Returns whether this relay may act as leader at a boot time in s."""
        return (
            self._revision != NO_REVISION
            and self._revision.era >= max(self._known_era(), self._store.era)
            and now - self._renewed_s < ACTIVE_LEASE_FRACTION * self._lease_s
        )

    def store_failed_recently(self, now: float) -> bool:
        """Returns whether the store left a call unanswered a short time ago."""
        return now - self._store_failed_s < STORE_FAILURE_WINDOW_S

    async def acquire_or_renew(self) -> bool:
        """Acquires or renews the lease; waits until another holder's has expired.

        Returns:
            True if this relay may act as leader now.
        """
        if self.may_act(boot_time_s()):
            return True
        try:
            if self._revision != NO_REVISION:
                await self._write(self._revision)
            else:
                await self._acquire()
        except StoreConflict as error:
            self._on_lost(error)
        except StoreUnavailable as error:
            self._timeline.record("duty_unsure", duty=self._name, error=error)
            self._revision = NO_REVISION  # the store may have written it, or will
            self._store_failed_s = boot_time_s()
        return self.may_act(boot_time_s())

    async def _acquire(self) -> None:
        found = await self._find()
        if found is None and self._store.era <= FIRST_ERA:
            await self._create()
            return
        era = self._store.era
        await asyncio.sleep(TAKEOVER_WAIT_LEASES * self._lease_s)
        latest = await self._find()
        if self._store.era != era:
            return
        if latest is None and found is None:
            await self._create()
        elif latest is not None and found is not None:
            if latest.revision == found.revision:
                await self._write(found.revision)

    async def _find(self) -> PlatformObject | None:
        listed = await self._store.list(self._kind)
        by_name = {item.name: item for item in listed.objects}
        return by_name.get(self._name)

    async def _create(self) -> None:
        started_s = boot_time_s()
        value = {"holder": self.holder, "writes": 0}
        written = await self._store.create(self._kind, self._name, value)
        self._on_written(written, started_s)

    async def _write(self, revision: StoreRevision) -> None:
        """Writes the lease; the value differs each time, so the revision rises."""
        started_s = boot_time_s()
        value = {"holder": self.holder, "writes": fencing_token_of(revision)}
        written = await self._store.replace(self._kind, self._name, value, revision)
        self._on_written(written, started_s)

    def _on_written(self, revision: StoreRevision, started_s: float) -> None:
        if self._revision == NO_REVISION:
            fence = fencing_token_of(revision)
            self._timeline.record("duty_taken", duty=self._name, fence=fence)
        self._revision = revision
        self._renewed_s = started_s

    def _on_lost(self, error: StoreConflict) -> None:
        self._timeline.record("duty_lost", duty=self._name, error=error)
        self._revision = NO_REVISION
