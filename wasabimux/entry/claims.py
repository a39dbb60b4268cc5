"""Claims of callers' idempotency keys in the platform's store.

A call with an Idempotency-Key is sent to an upstream only after a conditional create
has recorded where it goes. A retry that meets the claim is sent to the same life of
the same agent, whose reply table joins or replays it; it never runs anywhere else.
"""

from __future__ import annotations

from typing import NamedTuple

from pydantic import BaseModel, ConfigDict

from wasabimux._digest import digest_of
from wasabimux.ports import Store, StoreConflict

#: Time for which a retry with the same key is recognized.
CLAIM_WINDOW_S = 600

#: Buckets of CLAIM_WINDOW_S after which claims are deleted.
KEPT_BUCKETS = 2

KIND_PREFIX = "claim-"


class ClaimRecord(BaseModel):
    """Where the call of an idempotency key went.

    Attributes:
        request_id: Identity of the call.
        fingerprint: Digest of method, target and body.
        upstream: Upstream that the call went to.
        incarnation: Life of its agent.
        claimed_ms: Wall clock of the claim, in ms since the epoch.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    request_id: str
    fingerprint: str
    upstream: str
    incarnation: int
    claimed_ms: int


class StoredClaim(NamedTuple):
    """A claim and the object that holds it.

    Attributes:
        kind: Kind of the object.
        name: Name of the object.
        version: Version of the object.
        record: The claim.
        created: True if this call made it.
    """

    kind: str
    name: str
    version: int
    record: ClaimRecord
    created: bool


def claim_name(workspace: str, route: str, key: bytes) -> str:
    """Returns the name under which a key is claimed."""
    return digest_of(workspace.encode(), route.encode(), key)


class ClaimStore:
    """Makes, finds and moves claims.

    Args:
        store: The platform's store.
    """

    def __init__(self, store: Store) -> None:
        self._store = store

    async def claim(self, name: str, record: ClaimRecord) -> StoredClaim:
        """Makes a claim, or finds the one that exists.

        Args:
            name: Name of the claim.
            record: The claim to make.

        Returns:
            The claim in force.

        Raises:
            StoreUnavailable: It is not known whether the claim was made.
        """
        bucket = record.claimed_ms // (CLAIM_WINDOW_S * 1_000)
        kind = f"{KIND_PREFIX}{bucket}"
        value = record.model_dump_json().encode()
        try:
            version = await self._store.put(kind, name, value, 0)
        except StoreConflict:
            found = await self.find(kind, name)
            if found is not None:
                return found
            raise
        earlier = await self.find(f"{KIND_PREFIX}{bucket - 1}", name)
        if earlier is not None:
            return earlier
        return StoredClaim(kind, name, version, record, created=True)

    async def find(self, kind: str, name: str) -> StoredClaim | None:
        """Reads a claim. Raises StoreUnavailable."""
        item = await self._store.get(kind, name)
        if item is None:
            return None
        record = ClaimRecord.model_validate_json(item.value)
        return StoredClaim(kind, name, item.version, record, created=False)

    async def move(self, held: StoredClaim, record: ClaimRecord) -> StoredClaim:
        """Points a claim to another upstream; the former one never ran the call.

        Returns:
            The claim in force, which another entry may have moved first.

        Raises:
            StoreUnavailable: It is not known whether the claim was moved.
        """
        value = record.model_dump_json().encode()
        try:
            version = await self._store.put(held.kind, held.name, value, held.version)
        except StoreConflict:
            found = await self.find(held.kind, held.name)
            return found or held
        return StoredClaim(held.kind, held.name, version, record, created=True)

    async def sweep(self, now_ms: int) -> int:
        """Deletes the claims of an old bucket; returns how many."""
        bucket = now_ms // (CLAIM_WINDOW_S * 1_000) - KEPT_BUCKETS
        kind = f"{KIND_PREFIX}{bucket}"
        old = await self._store.watch(kind, 0, 0.0)
        for item in old:
            await self._store.delete(kind, item.name)
        return len(old)
