"""Leader election for one task among all relays, by a lease in the platform's store.

The store gives each write of the lease a higher revision, which is the fencing token.
The lease holder acts only during the first half of the lease after the start of its
last write; a candidate takes over after more than one whole lease without a write. So
more than one lease always passes between the last action of a holder and the first
action of the next.
"""

from __future__ import annotations

import asyncio
import time

from wasabimux.ports import StoreConflict, StoreUnavailable
from wasabimux.relay.ports import ObjectStore, PlatformObject
from wasabimux.timeline import Timeline

#: Fraction of the lease during which the holder acts without renewing it.
ACTIVE_LEASE_FRACTION = 0.5

#: Time in s after an unanswered store call during which another relay should take over.
STORE_FAILURE_WINDOW_S = 8.0

#: Time without a write, in leases, after which a candidate takes over.
TAKEOVER_WAIT_LEASES = 1.7


def boot_time_s() -> float:
    """Returns the time since boot in s; it also advances during system suspend."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaderLease:
    """The lease that lets one relay at a time perform a task.

    Args:
        kind: Kind of the lease object in the store.
        name: Name of the task.
        holder: Identity of this incarnation of the relay.
        lease_s: Length of the lease in s.
        store: The platform's store.
        timeline: Records when the lease is acquired and lost.
    """

    def __init__(
        self,
        kind: str,
        name: str,
        holder: str,
        lease_s: float,
        store: ObjectStore,
        timeline: Timeline,
    ) -> None:
        self.fencing_token = 0
        self.holder = holder
        self._kind = kind
        self._name = name
        self._lease_s = lease_s
        self._store = store
        self._timeline = timeline
        self._renewed_s = -lease_s
        self._store_failed_s = -STORE_FAILURE_WINDOW_S

    def may_act(self, now: float) -> bool:
        """Returns whether this relay may act as leader at a boot time in s."""
        return (
            self.fencing_token > 0
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
            if self.fencing_token:
                await self._write(self.fencing_token)
            else:
                await self._acquire()
        except StoreConflict as error:
            self._on_lost(error)
        except StoreUnavailable as error:
            self._timeline.record("duty_unsure", duty=self._name, error=error)
            self.fencing_token = 0  # the store may have done the write, or do it later
            self._store_failed_s = boot_time_s()
        return self.may_act(boot_time_s())

    async def _acquire(self) -> None:
        found = await self._find()
        if found is None:
            started_s = boot_time_s()
            self._on_written(await self._create(), started_s)
            return
        await asyncio.sleep(TAKEOVER_WAIT_LEASES * self._lease_s)
        latest = await self._find()
        if latest is not None and latest.revision == found.revision:
            await self._write(found.revision)

    async def _find(self) -> PlatformObject | None:
        listed = await self._store.list(self._kind)
        by_name = {item.name: item for item in listed.objects}
        return by_name.get(self._name)

    async def _create(self) -> int:
        value = {"holder": self.holder, "writes": 0}
        return await self._store.create(self._kind, self._name, value)

    async def _write(self, revision: int) -> None:
        """Writes the lease; the value differs each time, so the revision rises."""
        started_s = boot_time_s()
        value = {"holder": self.holder, "writes": revision}
        written = await self._store.replace(self._kind, self._name, value, revision)
        self._on_written(written, started_s)

    def _on_written(self, revision: int, started_s: float) -> None:
        if not self.fencing_token:
            self._timeline.record("duty_taken", duty=self._name, fence=revision)
        self.fencing_token = revision
        self._renewed_s = started_s

    def _on_lost(self, error: StoreConflict) -> None:
        self._timeline.record("duty_lost", duty=self._name, error=error)
        self.fencing_token = 0
