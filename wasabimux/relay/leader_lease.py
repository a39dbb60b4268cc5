"""A duty that one relay has at a time, by a lease in the platform's store.

The store gives each write of the lease a higher revision, which is the fencing token.
A holder acts only for half of the lease after its last write began; a taker waits for
more than the whole lease without a write. So between the last act of a holder and the
first of the next there is always more than the lease.
"""

from __future__ import annotations

import asyncio
import time

from wasabimux.ports import StoreConflict, StoreUnavailable
from wasabimux.relay.ports import ObjectStore, PlatformObject
from wasabimux.timeline import Timeline

#: Part of the lease for which a holder acts without writing again.
ACTIVE_LEASE_FRACTION = 0.5

#: Time after a call without an answer in which other relays should take the duty.
STORE_FAILURE_WINDOW_S = 8.0

#: Time without a write, in leases, after which another relay takes the duty.
TAKEOVER_WAIT_LEASES = 1.7


def boot_time_s() -> float:
    """Returns a clock that also counts while the machine is suspended."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)


class LeaderLease:
    """The lease of one duty.

    Args:
        kind: Kind of the lease's object.
        name: Name of the duty.
        holder: Name of this relay's life.
        lease_s: Length of the lease.
        store: The platform's store.
        timeline: Records when the duty is taken and lost.
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
        self._written_s = -lease_s
        self._unsure_s = -STORE_FAILURE_WINDOW_S

    def may_act(self, now: float) -> bool:
        """Tells whether this relay may act at a boot time."""
        return (
            self.fencing_token > 0
            and now - self._written_s < ACTIVE_LEASE_FRACTION * self._lease_s
        )

    def store_failed_recently(self, now: float) -> bool:
        """Tells whether the store left this relay without an answer not long ago."""
        return now - self._unsure_s < STORE_FAILURE_WINDOW_S

    async def acquire_or_renew(self) -> bool:
        """Takes or keeps the duty; waits for a former holder's lease to lapse.

        Returns:
            True if this relay may act now, for a part of the lease.
        """
        if self.may_act(boot_time_s()):
            return True
        try:
            if self.fencing_token:
                await self._write(self.fencing_token)
            else:
                await self._take()
        except StoreConflict as error:
            self._lose(error)
        except StoreUnavailable as error:
            self._timeline.record("duty_unsure", duty=self._name, error=error)
            self.fencing_token = 0  # the write may have been done, or be done later
            self._unsure_s = boot_time_s()
        return self.may_act(boot_time_s())

    async def _take(self) -> None:
        found = await self._find()
        if found is None:
            began_s = boot_time_s()
            self._on_written(await self._create(), began_s)
            return
        await asyncio.sleep(TAKEOVER_WAIT_LEASES * self._lease_s)
        again = await self._find()
        if again is not None and again.revision == found.revision:
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
        began_s = boot_time_s()
        value = {"holder": self.holder, "writes": revision}
        written = await self._store.replace(self._kind, self._name, value, revision)
        self._on_written(written, began_s)

    def _on_written(self, revision: int, began_s: float) -> None:
        if not self.fencing_token:
            self._timeline.record("duty_taken", duty=self._name, fence=revision)
        self.fencing_token = revision
        self._written_s = began_s

    def _lose(self, error: StoreConflict) -> None:
        self._timeline.record("duty_lost", duty=self._name, error=error)
        self.fencing_token = 0
