"""Claims of clients' idempotency keys in the platform's store.

A call with an Idempotency-Key is sent to an upstream only after a conditional create
in the store has recorded the upstream. A retry that finds the claim is sent to the
same incarnation of the same agent, whose reply table joins it to the running call or
replays the stored reply; the call never runs on another upstream.
"""

from __future__ import annotations

from typing import NamedTuple

from pydantic import BaseModel, ConfigDict

from wasabimux._digest import digest_of
from wasabimux.entry.records import read_record
from wasabimux.ports import Store, StoreConflict

#: Time after a call within which a retry with the same key is recognized.
CLAIM_WINDOW_S = 600

#: Most by which the clocks of entries may differ.
CLOCK_SKEW_MS = 5_000

#: Age at which claims are deleted, in buckets of CLAIM_WINDOW_S.
RETAINED_BUCKETS = 2

KIND_PREFIX = "claim-"


class ClaimRecord(BaseModel):
    """Upstream to which the call with an idempotency key was sent.

    Attributes:
        request_id: Request id of the call.
        fingerprint: Digest of method, target and body.
        upstream: Id of the upstream.
        incarnation: Incarnation of the agent of the upstream.
        claimed_ms: Wall-clock time of the claim, in ms since the epoch.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    request_id: str
    fingerprint: str
    upstream: str
    incarnation: int
    claimed_ms: int


class StoredClaim(NamedTuple):
    """A claim and the object of the store that contains it.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        version: Version of the object.
        record: The claim.
        created: True if this call created or reassigned the claim.
    """

    kind: str
    name: str
    version: int
    record: ClaimRecord
    created: bool


def claim_name(workspace: str, route: str, key: bytes) -> str:
    """Returns the name of the object for the claim of a key."""
    return digest_of(workspace.encode(), route.encode(), key)


def _kinds_at(now_ms: int) -> list[str]:
    """Returns the kinds of the objects for claims that may apply, the first one first.

    These are the window before, this one, and within CLOCK_SKEW_MS of its end the next.
    """
    bucket = _bucket_at(now_ms)
    buckets = [bucket - 1, bucket]
    if _bucket_at(now_ms + CLOCK_SKEW_MS) > bucket:
        buckets.append(bucket + 1)
    return [f"{KIND_PREFIX}{item}" for item in buckets]


def _bucket_at(now_ms: int) -> int:
    return now_ms // (CLAIM_WINDOW_S * 1_000)


class ClaimStore:
    """Creates, reads, reassigns and deletes claims.

    Args:
        store: The platform's store.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    async def claim(self, name: str, record: ClaimRecord) -> StoredClaim:
        """Creates a claim, or returns the existing one.

        Args:
            name: Name of the claim, as `claim_name` returns it.
            record: The claim to create.

        Returns:
            The claim that applies.

        Raises:
            StoreUnavailable: It is unknown whether the claim was created.
            StoreConflict: The store reports an existing claim, but returns none.
        """
        previous_kind, kind, *next_kinds = _kinds_at(record.claimed_ms)
        if next_kinds:
            found = await self.find_current(name, record.claimed_ms)
            if found is not None:
                return found
        value = record.model_dump_json().encode()
        try:
            version = await self._store.put(kind, name, value, 0)
        except StoreConflict:
            found = await self.find_current(name, record.claimed_ms)
            if found is None:
                raise
            return found
        earlier = await self.find(previous_kind, name)
        if earlier is not None:
            return earlier
        return StoredClaim(kind, name, version, record, created=True)

    async def find_current(self, name: str, now_ms: int) -> StoredClaim | None:
        """Returns the claim that applies now, None if there is none.

        The earliest window goes first: a retry may have left a claim in a later one.

        Args:
            name: Name of the claim.
            now_ms: Current wall-clock time, in ms since the epoch.

        Raises:
            StoreUnavailable: It is unknown whether there is a claim.
        """
        for kind in _kinds_at(now_ms):
            found = await self.find(kind, name)
            if found is not None:
                return found
        return None

    async def find(self, kind: str, name: str) -> StoredClaim | None:
        """Returns a claim, None if there is none. Raises StoreUnavailable."""
        item = await self._store.get(kind, name)
        if item is None:
            return None
        record = read_record(ClaimRecord, item)
        return StoredClaim(kind, name, item.version, record, created=False)

    async def reassign(self, claim: StoredClaim, record: ClaimRecord) -> StoredClaim:
        """Reassigns a claim to another upstream.

        Only for a claim whose previous upstream never ran the call.

        Returns:
            The claim that applies; another entry may have reassigned it first.

        Raises:
            StoreUnavailable: It is unknown whether the claim was reassigned.
        """
        value = record.model_dump_json().encode()
        try:
            version = await self._store.put(
                claim.kind, claim.name, value, claim.version
            )
        except StoreConflict:
            found = await self.find(claim.kind, claim.name)
            return found or claim
        return StoredClaim(claim.kind, claim.name, version, record, created=True)

    async def sweep(self, now_ms: int) -> int:
        """Deletes the claims of the bucket that has expired.

        Args:
            now_ms: Current wall-clock time, in ms since the epoch.

        Returns:
            Number of deleted claims.
        """
        bucket = _bucket_at(now_ms) - RETAINED_BUCKETS
        kind = f"{KIND_PREFIX}{bucket}"
        expired = await self._store.watch(kind, 0, 0.0)
        for item in expired:
            await self._store.delete(kind, item.name)
        return len(expired)
