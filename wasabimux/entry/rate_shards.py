"""Leases of shards of workspaces, whose holders grant rate-limit tokens to entries.

The platform's store records the holder of each shard. The record is changed only by
conditional updates and carries an epoch that rises at each change of holder. The holder
renews its lease there. While the store is unreachable, the holder goes on granting a
reserved share of each limit. A new holder grants only the remainder until the former
holder's process is proved to have ended, the former holder has confirmed that it
dropped the shard, or the longest time for which it may hold the shard has passed.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import xxhash
from pydantic import BaseModel, ConfigDict

from wasabimux._clock import loop_time
from wasabimux.decisions.placement import rendezvous_top
from wasabimux.decisions.rate import (
    EXPIRED_LEASE_SHARE,
    GRANT_LIFETIME_S,
    GrantDecision,
    GrantOutcome,
    GrantReport,
    RateLimit,
    ShardRateLimiter,
)
from wasabimux.entry.peers import PeerLinks, PeerLiveness
from wasabimux.entry.records import read_record
from wasabimux.ids import Incarnation, InstanceId
from wasabimux.link.messages import ShardClaim, ShardClaimReply
from wasabimux.ports import Store, StoreConflict, StoreUnavailable
from wasabimux.timeline import Timeline

SHARD_COUNT = 16
SHARD_KIND = "rate-shard"

MAINTENANCE_INTERVAL_S = 0.5
LEASE_RENEWAL_INTERVAL_S = 2.0

#: Time between two reads of the record of a shard by a candidate that does not hold it.
RECORD_READ_INTERVAL_S = 1.0
LEASE_DURATION_S = 6.0

#: Longest time for which a holder goes on granting after its lease has expired.
MAX_HOLD_AFTER_EXPIRY_S = 900.0

#: Absence from the platform's list after which an instance counts as dead.
UNLISTED_TIMEOUT_S = 30.0

#: Shortest time for which a holder keeps a shard before rebalancing may move it.
MIN_HOLD_BEFORE_REBALANCE_S = 5.0

#: Number of entries that may take over a shard, the highest ranked ones.
CANDIDATE_COUNT = 3

#: Additional delay per rank of a candidate, so that candidates rarely race.
DELAY_PER_RANK_S = 1.0


class ShardHolder(BaseModel):
    """One incarnation of an entry that holds or held a shard.

    Attributes:
        name: Name of the entry.
        incarnation: Number of the entry's incarnation.
        address: Address for links to the entry.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    name: str
    incarnation: int
    address: str


class ShardRecord(BaseModel):
    """Record of a shard in the platform's store.

    Attributes:
        epoch: Number that rises with each change of holder.
        holder: Holder of the shard, None after a release.
        formers: Former holders that may still be granting.
        levels: Levels of the token buckets at the release, by workspace.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    epoch: int
    holder: ShardHolder | None
    formers: list[ShardHolder] = []
    levels: dict[str, float] = {}


class StoredShardRecord(BaseModel):
    """A shard's record with the version of its object in the store."""

    version: int
    record: ShardRecord


@dataclass(slots=True)
class _HeldShard:
    """A shard that this entry holds.

    Attributes:
        epoch: Epoch in which this entry holds the shard.
        version: Version of the shard's object in the store.
        limiter: Token buckets of the shard's workspaces.
        lease_until_s: Loop time at which the lease expires.
        renew_at_s: Loop time from which the lease is renewed.
        acquired_s: Loop time at which this entry acquired the shard.
        expiry_s_by_former: Loop time by which the grants of each former holder have
            expired.
    """

    epoch: int
    version: int
    limiter: ShardRateLimiter
    lease_until_s: float
    renew_at_s: float
    acquired_s: float
    expiry_s_by_former: dict[ShardHolder, float]

    def active_formers(self, now: float) -> list[ShardHolder]:
        """Returns the former holders whose grants may still be valid."""
        return [
            former
            for former, expiry_s in self.expiry_s_by_former.items()
            if now < expiry_s
        ]


@dataclass(slots=True)
class _ObservedShard:
    """A shard that this entry does not hold, as last read from the store.

    Attributes:
        version: Version of the shard's object in the store.
        since_s: Loop time at which this entry first read that version.
    """

    version: int
    since_s: float


def shard_of(workspace: str) -> int:
    """Returns the number of the shard that a workspace belongs to."""
    return xxhash.xxh3_64_intdigest(workspace.encode()) % SHARD_COUNT


class ShardManager:
    """Acquires and renews leases of shards, grants their tokens and releases them.

    Args:
        instance: Name of this entry.
        incarnation: Incarnation of this entry.
        address: Address for links to this entry.
        store: The platform's store.
        peers: Links to other entries.
        rate_limit_of: Returns the rate limit of a workspace.
        live_entries: Returns the addresses of other entries that may hold shards.
        timeline: Timeline that records events.
        unlisted_duration_s: Returns the time in s for which an entry has been missing
            from the platform's list of instances.
    """

    def __init__(
        self,
        instance: InstanceId,
        incarnation: Incarnation,
        address: str,
        store: Store,
        peers: PeerLinks,
        rate_limit_of: Callable[[str], RateLimit],
        live_entries: Callable[[], dict[InstanceId, str]],
        timeline: Timeline,
        unlisted_duration_s: Callable[[str], float],
    ) -> None:
        self._unlisted_duration_s = unlisted_duration_s
        self._instance = instance
        self._own_holder = ShardHolder(
            name=instance, incarnation=incarnation, address=address
        )
        self._store = store
        self._peers = peers
        self._rate_limit_of = rate_limit_of
        self._live_entries = live_entries
        self._timeline = timeline
        self._held_by_shard: dict[int, _HeldShard] = {}
        self._observed_by_shard: dict[int, _ObservedShard] = {}
        self._next_read_s = [0.0] * SHARD_COUNT
        self._releasing = False

    @property
    def held_shards(self) -> list[int]:
        """Numbers of the shards that this entry holds."""
        return sorted(self._held_by_shard)

    def holds(self, shard: int) -> bool:
        """Returns True if this entry holds the shard."""
        return shard in self._held_by_shard

    @property
    def own_holder(self) -> ShardHolder:
        """This entry as a shard holder."""
        return self._own_holder

    async def run(self) -> None:
        """Maintains all shards periodically until it is cancelled."""
        while True:
            await asyncio.gather(
                *(self._maintain_or_drop(shard) for shard in range(SHARD_COUNT))
            )
            await asyncio.sleep(MAINTENANCE_INTERVAL_S)

    async def release_all(self) -> None:
        """Releases all shards through the store, for a graceful shutdown."""
        self._releasing = True
        for shard in list(self._held_by_shard):
            try:
                await self._release(shard)
            except (StoreUnavailable, StoreConflict):
                self._held_by_shard.pop(shard, None)

    def request_grant(
        self, workspace: str, needed: float, wanted: float, now: float
    ) -> GrantDecision:
        """Decides on an entry's request for a grant.

        The lease is checked at each request, as the process may have been paused
        since the last periodic check.

        Args:
            workspace: Workspace that the tokens are for.
            needed: Tokens without which the request is refused.
            wanted: Tokens that the entry can use within the lifetime of a grant.
            now: Current loop time in s.
        """
        held = self._held_by_shard.get(shard_of(workspace))
        if held is None:
            return GrantDecision(GrantOutcome.NOT_HOLDER)
        if now > held.lease_until_s + MAX_HOLD_AFTER_EXPIRY_S:
            self._drop(shard_of(workspace), "hold_ended")
            return GrantDecision(GrantOutcome.NOT_HOLDER)
        held.limiter.set_share(self._grantable_share(held, now), now)
        return held.limiter.request_grant(workspace, needed, wanted, now)

    def apply_report(self, workspace: str, report: GrantReport, now: float) -> None:
        """Applies an entry's report of spent and refunded tokens."""
        held = self._held_by_shard.get(shard_of(workspace))
        if held is not None:
            held.limiter.apply_report(workspace, report.spent, report.refunded, now)

    def reconfigure(self, now: float) -> None:
        """Applies changed rate limits to all held shards."""
        for held in self._held_by_shard.values():
            held.limiter.reconfigure(self._rate_limit_of, now)

    def on_claim(self, claim: ShardClaim) -> ShardClaimReply:
        """Drops a shard that another entry claims in a later epoch.

        Returns:
            The reply that confirms that this entry does not hold the shard in an
            earlier epoch.
        """
        held = self._held_by_shard.get(claim.shard)
        if held is not None and held.epoch < claim.epoch:
            self._drop(claim.shard, "claimed")
        return ShardClaimReply(claim.shard, claim.epoch)

    def on_claim_reply(
        self, reply: ShardClaimReply, incarnation: int, now: float
    ) -> None:
        """Records that a former holder of a shard has confirmed a claim."""
        held = self._held_by_shard.get(reply.shard)
        if held is None or held.epoch != reply.epoch:
            return
        for former in held.expiry_s_by_former:
            if former.incarnation == incarnation:
                _mark_stopped(held, former, now)

    def _grantable_share(self, held: _HeldShard, now: float) -> float:
        """Returns the fraction of each limit that may be granted now."""
        former_count = len(held.active_formers(now))
        if former_count > 1:
            return 0.0
        if former_count == 1:
            return 1.0 - EXPIRED_LEASE_SHARE
        return 1.0 if now <= held.lease_until_s else EXPIRED_LEASE_SHARE

    async def _maintain_or_drop(self, shard: int) -> None:
        """Maintains a shard; drops it once it is held too long without the store."""
        try:
            await self._maintain(shard)
        except StoreUnavailable:
            held = self._held_by_shard.get(shard)
            if (
                held is not None
                and loop_time() > held.lease_until_s + MAX_HOLD_AFTER_EXPIRY_S
            ):
                self._drop(shard, "hold_ended")

    async def _maintain(self, shard: int) -> None:
        """Renews, rebalances or takes over a shard. Raises StoreUnavailable."""
        now = loop_time()
        held = self._held_by_shard.get(shard)
        if held is None:
            await self._try_take_over(shard)
            return
        held.limiter.set_share(self._grantable_share(held, now), now)
        held.limiter.evict_full(now)
        for former in held.active_formers(now):
            await self._confirm_former_stopped(shard, held, former)
        if now >= held.renew_at_s:
            await self._renew(shard, held)
        elif now - held.acquired_s > MIN_HOLD_BEFORE_REBALANCE_S:
            await self._rebalance(shard, held)

    async def _renew(self, shard: int, held: _HeldShard) -> None:
        sent_s = loop_time()
        value = self._shard_record(held, sent_s).model_dump_json().encode()
        try:
            held.version = await self._store.put(
                SHARD_KIND, str(shard), value, held.version
            )
        except StoreConflict:
            if not await self._confirm_own_write(shard, held):
                self._drop(shard, "taken_over")
                return
            return  # renewed in the next round, as the stored lease may be old
        held.lease_until_s = sent_s + LEASE_DURATION_S
        held.renew_at_s = sent_s + LEASE_RENEWAL_INTERVAL_S

    async def _confirm_own_write(self, shard: int, held: _HeldShard) -> bool:
        """Returns True if the conflicting write was an own one with a lost response."""
        stored = await read_shard_record(self._store, shard)
        if stored is None or stored.record.holder != self._own_holder:
            return False
        if stored.record.epoch != held.epoch:
            return False
        held.version = stored.version
        return True

    async def _try_take_over(self, shard: int) -> None:
        """Takes over a shard that is free if it is this candidate's turn."""
        ranked = self._ranked_candidates(shard)
        if self._releasing or self._instance not in ranked:
            return
        if loop_time() < self._next_read_s[shard]:
            return
        self._next_read_s[shard] = loop_time() + RECORD_READ_INTERVAL_S
        rank = ranked.index(self._instance)
        stored = await read_shard_record(self._store, shard)
        now = loop_time()
        if stored is None:
            if rank == 0:
                await self._acquire(shard, None, proved_gone=True)
            return
        observed = self._observed_by_shard.get(shard)
        if observed is None or observed.version != stored.version:
            observed = _ObservedShard(stored.version, now)
            self._observed_by_shard[shard] = observed
        unchanged_s = now - observed.since_s
        if stored.record.holder is None:
            if unchanged_s >= rank * DELAY_PER_RANK_S:
                await self._acquire(shard, stored, proved_gone=True)
            return
        await self._try_take_over_held(shard, stored, unchanged_s, rank)

    async def _try_take_over_held(
        self, shard: int, stored: StoredShardRecord, unchanged_s: float, rank: int
    ) -> None:
        """Takes over from a holder that is dead or whose lease has expired."""
        if unchanged_s < rank * DELAY_PER_RANK_S:
            return
        holder = stored.record.holder
        assert holder is not None
        liveness = PeerLiveness.ALIVE
        if holder == self._own_holder:
            # Dropped here, or acquired by a write whose response was lost.
            liveness = PeerLiveness.DEAD
        elif (
            unchanged_s > LEASE_RENEWAL_INTERVAL_S + MAINTENANCE_INTERVAL_S
            or holder.name == self._instance
        ):
            liveness = await self._probe(holder)
        if liveness is PeerLiveness.DEAD:
            await self._acquire(shard, stored, proved_gone=True)
        elif unchanged_s > LEASE_DURATION_S + rank * DELAY_PER_RANK_S:
            await self._acquire(shard, stored, proved_gone=False)

    async def _acquire(
        self, shard: int, stored: StoredShardRecord | None, proved_gone: bool
    ) -> None:
        sent_s = loop_time()
        held = self._new_held_shard(stored, sent_s)
        if proved_gone and stored is not None and stored.record.holder is not None:
            _mark_stopped(held, stored.record.holder, sent_s)
        epoch = held.epoch
        value = self._shard_record(held, sent_s).model_dump_json().encode()
        expected = stored.version if stored else 0
        try:
            held.version = await self._store.put(
                SHARD_KIND, str(shard), value, expected
            )
        except StoreConflict:
            return  # another entry acquired the shard first
        self._held_by_shard[shard] = held
        self._observed_by_shard.pop(shard, None)
        self._timeline.record(
            "shard_taken", shard=shard, epoch=epoch, proved_gone=proved_gone
        )

    def _new_held_shard(
        self, stored: StoredShardRecord | None, now: float
    ) -> _HeldShard:
        """Returns the state of a shard that is about to be acquired."""
        if stored is None:
            limiter = ShardRateLimiter(1, self._rate_limit_of, now, is_new_shard=True)
            return _HeldShard(
                1,
                0,
                limiter,
                now + LEASE_DURATION_S,
                now + LEASE_RENEWAL_INTERVAL_S,
                now,
                {},
            )
        record = stored.record
        released = record.holder is None and not record.formers
        limiter = ShardRateLimiter(
            record.epoch + 1,
            self._rate_limit_of,
            grants_start_s=now + GRANT_LIFETIME_S,
            initial_levels=dict(record.levels) if released else None,
        )
        formers = [*record.formers, *([record.holder] if record.holder else [])]
        expiry_s = now + LEASE_DURATION_S + MAX_HOLD_AFTER_EXPIRY_S
        return _HeldShard(
            record.epoch + 1,
            stored.version,
            limiter,
            now + LEASE_DURATION_S,
            now + LEASE_RENEWAL_INTERVAL_S,
            now,
            {former: expiry_s for former in formers},
        )

    async def _confirm_former_stopped(
        self, shard: int, held: _HeldShard, former: ShardHolder
    ) -> None:
        """Asks a former holder to confirm that it has dropped the shard."""
        if held.expiry_s_by_former[former] - loop_time() <= GRANT_LIFETIME_S:
            return  # has stopped; its last grants expire within their lifetime
        if former == self._own_holder:
            _mark_stopped(held, former, loop_time())
            return
        liveness = await self._probe(former)
        if liveness is PeerLiveness.DEAD:
            _mark_stopped(held, former, loop_time())
        elif liveness is PeerLiveness.ALIVE:
            link = await self._peers.link_to(former.address)
            link.send(0, ShardClaim(shard, held.epoch))

    async def _probe(self, holder: ShardHolder) -> PeerLiveness:
        """Determines whether a holder's process is still alive.

        The platform's list lags, so only a long absence from it proves a death.
        """
        liveness = await self._peers.probe(holder.address, holder.incarnation)
        if (
            liveness is PeerLiveness.UNKNOWN
            and self._unlisted_duration_s(holder.name) > UNLISTED_TIMEOUT_S
        ):
            return PeerLiveness.DEAD
        return liveness

    async def _release(self, shard: int) -> None:
        held = self._held_by_shard.pop(shard)
        now = loop_time()
        levels = held.limiter.levels(now)
        record = self._shard_record(held, now).model_copy(
            update={"holder": None, "levels": levels}
        )
        value = record.model_dump_json().encode()
        await self._store.put(SHARD_KIND, str(shard), value, held.version)
        self._timeline.record("shard_released", shard=shard, epoch=held.epoch)

    async def _rebalance(self, shard: int, held: _HeldShard) -> None:
        """Releases a shard if another, reachable entry is its first candidate."""
        best = self._ranked_candidates(shard)[0]
        if best == self._instance or held.active_formers(loop_time()):
            return
        try:
            await self._peers.link_to(self._live_entries()[best])
        except (OSError, KeyError):
            return
        await self._release(shard)

    def _ranked_candidates(self, shard: int) -> list[InstanceId]:
        """Returns the candidates for a shard by descending rank."""
        entries = sorted({*self._live_entries(), self._instance})
        ranked = rendezvous_top(str(shard).encode(), entries, CANDIDATE_COUNT)
        return [InstanceId(name) for name in ranked]

    def _shard_record(self, held: _HeldShard, now: float) -> ShardRecord:
        return ShardRecord(
            epoch=held.epoch, holder=self._own_holder, formers=held.active_formers(now)
        )

    def _drop(self, shard: int, reason: str) -> None:
        held = self._held_by_shard.pop(shard)
        self._timeline.record(
            "shard_dropped", shard=shard, epoch=held.epoch, reason=reason
        )


def _mark_stopped(held: _HeldShard, former: ShardHolder, now: float) -> None:
    """Records that a former holder has stopped granting.

    Its last grants expire within the lifetime of a grant.
    """
    expiry_s = now + GRANT_LIFETIME_S
    held.expiry_s_by_former[former] = min(held.expiry_s_by_former[former], expiry_s)


async def read_shard_record(store: Store, shard: int) -> StoredShardRecord | None:
    """Reads the record of a shard, None if there is none. Raises StoreUnavailable."""
    item = await store.get(SHARD_KIND, str(shard))
    if item is None:
        return None
    record = read_record(ShardRecord, item)
    return StoredShardRecord(version=item.version, record=record)
