"""Holds shards of workspaces and grants their tokens to entries.

Who holds a shard is recorded in the platform's store, changed only by conditional
updates, with an epoch that rises at each change of holder. The holder renews its
lease there. While the store is out of reach, the holder goes on with RESERVED_SHARE
of each limit; whoever takes the shard over grants only the remainder until the former
holder is proved to be gone, has given up, or its longest hold has passed.
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
    GRANT_HOLD_S,
    RESERVED_SHARE,
    GrantDecision,
    GrantOutcome,
    GrantReport,
    RateRules,
    ShardLedger,
)
from wasabimux.entry.peers import PeerLife, PeerLinks
from wasabimux.ids import Incarnation, InstanceId
from wasabimux.link.messages import ShardClaim, ShardClaimReply
from wasabimux.ports import Store, StoreConflict, StoreUnavailable
from wasabimux.timeline import Timeline

SHARDS = 16
SHARD_KIND = "rate-shard"

TICK_S = 0.5
RENEW_S = 2.0

#: Time between two looks of a candidate at a shard that another entry holds.
READ_S = 1.0
LEASE_S = 6.0

#: Longest time for which a holder goes on after its lease has lapsed.
MAX_HOLD_S = 900.0

#: Absence from the platform's list after which an instance is gone.
UNLISTED_S = 30.0

#: Time for which a shard stays where it is before it may move to a better holder.
REBALANCE_AFTER_S = 5.0

#: Entries that consider a shard.
CANDIDATES = 3

#: Further wait of each next candidate, so that candidates rarely race.
RANK_WAIT_S = 1.0


class Holder(BaseModel):
    """One life of an entry that holds or held a shard.

    Attributes:
        name: Name of the entry.
        incarnation: Its life.
        address: Address for links to it.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    name: str
    incarnation: int
    address: str


class ShardRecord(BaseModel):
    """What the store holds of a shard.

    Attributes:
        epoch: Rises with each change of holder.
        holder: Who holds it, None after a release.
        formers: Former holders that may still be granting.
        levels: Levels that a released shard had, by workspace.
    """

    model_config = ConfigDict(extra="ignore", frozen=True)

    epoch: int
    holder: Holder | None
    formers: list[Holder] = []
    levels: dict[str, float] = {}


class KnownShard(BaseModel):
    """A record with the version of its object."""

    version: int
    record: ShardRecord


@dataclass(slots=True)
class _Held:
    """A shard that this entry holds."""

    epoch: int
    version: int
    ledger: ShardLedger
    lease_until_s: float
    renew_at_s: float
    taken_s: float
    gone_s_by_former: dict[Holder, float]

    def unresolved(self, now: float) -> list[Holder]:
        """Returns the former holders that may still be granting."""
        return [item for item, gone_s in self.gone_s_by_former.items() if now < gone_s]


@dataclass(slots=True)
class _Watched:
    """A shard that another entry holds, as last seen."""

    version: int
    since_s: float


def shard_of(workspace: str) -> int:
    """Returns the shard of a workspace."""
    return xxhash.xxh3_64_intdigest(workspace.encode()) % SHARDS


class ShardKeeper:
    """Takes, renews, serves and hands over shards.

    Args:
        instance: Name of this entry.
        incarnation: Life of this entry.
        address: Address for links to this entry.
        store: The platform's store.
        peers: Links to other entries.
        rules_of: Returns the limits of a workspace.
        live_entries: Returns the addresses of other entries that may hold shards.
        timeline: Records events.
        unlisted_s: Returns how long the platform's list has not named an entry.
    """

    def __init__(
        self,
        instance: InstanceId,
        incarnation: Incarnation,
        address: str,
        store: Store,
        peers: PeerLinks,
        rules_of: Callable[[str], RateRules],
        live_entries: Callable[[], dict[InstanceId, str]],
        timeline: Timeline,
        unlisted_s: Callable[[str], float],
    ) -> None:
        self._unlisted_s = unlisted_s
        self._instance = instance
        self._me = Holder(name=instance, incarnation=incarnation, address=address)
        self._store = store
        self._peers = peers
        self._rules_of = rules_of
        self._live_entries = live_entries
        self._timeline = timeline
        self._held_by_shard: dict[int, _Held] = {}
        self._watched_by_shard: dict[int, _Watched] = {}
        self._next_read_s = [0.0] * SHARDS
        self._releasing = False

    @property
    def held(self) -> list[int]:
        """Shards that this entry holds."""
        return sorted(self._held_by_shard)

    def holds(self, shard: int) -> bool:
        """Tells whether this entry holds a shard."""
        return shard in self._held_by_shard

    @property
    def me(self) -> Holder:
        """This entry as a holder."""
        return self._me

    async def run(self) -> None:
        """Keeps shards until it is cancelled."""
        while True:
            await asyncio.gather(*(self._tend_safely(shard) for shard in range(SHARDS)))
            await asyncio.sleep(TICK_S)

    async def release_all(self) -> None:
        """Hands all shards over through the store, for an orderly end."""
        self._releasing = True
        for shard in list(self._held_by_shard):
            try:
                await self._release(shard)
            except (StoreUnavailable, StoreConflict):
                self._held_by_shard.pop(shard, None)

    def ask(
        self, workspace: str, needed: float, wanted: float, now: float
    ) -> GrantDecision:
        """Decides on an ask of an entry.

        The lease is looked at here, after whatever may have paused the process.
        """
        held = self._held_by_shard.get(shard_of(workspace))
        if held is None:
            return GrantDecision(GrantOutcome.NOT_HOLDER)
        if now > held.lease_until_s + MAX_HOLD_S:
            self._drop(shard_of(workspace), "hold_ended")
            return GrantDecision(GrantOutcome.NOT_HOLDER)
        held.ledger.set_share(self._share(held, now), now)
        return held.ledger.ask(workspace, needed, wanted, now)

    def settle(self, workspace: str, report: GrantReport, now: float) -> None:
        """Takes an entry's report."""
        held = self._held_by_shard.get(shard_of(workspace))
        if held is not None:
            held.ledger.settle(workspace, report.spent, report.refunded, now)

    def reconfigure(self, now: float) -> None:
        """Takes changed limits into force."""
        for held in self._held_by_shard.values():
            held.ledger.reconfigure(self._rules_of, now)

    def on_claim(self, claim: ShardClaim) -> ShardClaimReply:
        """Gives up a shard that another entry holds in a later epoch."""
        held = self._held_by_shard.get(claim.shard)
        if held is not None and held.epoch < claim.epoch:
            self._drop(claim.shard, "claimed")
        return ShardClaimReply(claim.shard, claim.epoch)

    def on_claim_reply(
        self, reply: ShardClaimReply, incarnation: int, now: float
    ) -> None:
        """Notes that the former holder of a shard has given up."""
        held = self._held_by_shard.get(reply.shard)
        if held is None or held.epoch != reply.epoch:
            return
        for former in held.gone_s_by_former:
            if former.incarnation == incarnation:
                _note_gone(held, former, now)

    def _share(self, held: _Held, now: float) -> float:
        """Returns the part of each limit that may be granted now."""
        unresolved = len(held.unresolved(now))
        if unresolved > 1:
            return 0.0
        if unresolved == 1:
            return 1.0 - RESERVED_SHARE
        return 1.0 if now <= held.lease_until_s else RESERVED_SHARE

    async def _tend_safely(self, shard: int) -> None:
        try:
            await self._tend(shard)
        except StoreUnavailable:
            held = self._held_by_shard.get(shard)
            if held is not None and loop_time() > held.lease_until_s + MAX_HOLD_S:
                self._drop(shard, "hold_ended")

    async def _tend(self, shard: int) -> None:
        """Renews a shard, gives it to a better holder, or takes it over."""
        now = loop_time()
        held = self._held_by_shard.get(shard)
        if held is None:
            await self._consider(shard)
            return
        held.ledger.set_share(self._share(held, now), now)
        held.ledger.forget_full(now)
        for former in held.unresolved(now):
            await self._ask_former(shard, held, former)
        if now >= held.renew_at_s:
            await self._renew(shard, held)
        elif now - held.taken_s > REBALANCE_AFTER_S:
            await self._rebalance(shard, held)

    async def _renew(self, shard: int, held: _Held) -> None:
        sent_s = loop_time()
        value = self._record(held, sent_s).model_dump_json().encode()
        try:
            held.version = await self._store.put(
                SHARD_KIND, str(shard), value, held.version
            )
        except StoreConflict:
            if not await self._read_back(shard, held):
                self._drop(shard, "taken_over")
                return
            return  # renewed at the next tick, as the written lease may be old
        held.lease_until_s = sent_s + LEASE_S
        held.renew_at_s = sent_s + RENEW_S

    async def _read_back(self, shard: int, held: _Held) -> bool:
        """Tells whether a conflict was with this holder's own lost answer."""
        known = await read_shard(self._store, shard)
        if known is None or known.record.holder != self._me:
            return False
        if known.record.epoch != held.epoch:
            return False
        held.version = known.version
        return True

    async def _consider(self, shard: int) -> None:
        """Takes a shard over if it is free and this entry is the one to do it."""
        ranked = self._ranked(shard)
        if self._releasing or self._instance not in ranked:
            return
        if loop_time() < self._next_read_s[shard]:
            return
        self._next_read_s[shard] = loop_time() + READ_S
        rank = ranked.index(self._instance)
        known = await read_shard(self._store, shard)
        now = loop_time()
        if known is None:
            if rank == 0:
                await self._take(shard, None, proved_gone=True)
            return
        watched = self._watched_by_shard.get(shard)
        if watched is None or watched.version != known.version:
            watched = _Watched(known.version, now)
            self._watched_by_shard[shard] = watched
        seen_s = now - watched.since_s
        if known.record.holder is None:
            if seen_s >= rank * RANK_WAIT_S:
                await self._take(shard, known, proved_gone=True)
            return
        await self._consider_held(shard, known, seen_s, rank)

    async def _consider_held(
        self, shard: int, known: KnownShard, seen_s: float, rank: int
    ) -> None:
        """Takes over from a holder that is dead or whose lease has lapsed."""
        if seen_s < rank * RANK_WAIT_S:
            return
        holder = known.record.holder
        assert holder is not None
        life = PeerLife.ALIVE
        if holder == self._me:
            life = PeerLife.DEAD  # dropped, or taken with a lost answer
        elif seen_s > RENEW_S + TICK_S or holder.name == self._instance:
            life = await self._probe(holder)
        if life is PeerLife.DEAD:
            await self._take(shard, known, proved_gone=True)
        elif seen_s > LEASE_S + rank * RANK_WAIT_S:
            await self._take(shard, known, proved_gone=False)

    async def _take(
        self, shard: int, known: KnownShard | None, proved_gone: bool
    ) -> None:
        sent_s = loop_time()
        held = self._new_held(known, sent_s)
        if proved_gone and known is not None and known.record.holder is not None:
            _note_gone(held, known.record.holder, sent_s)
        epoch = held.epoch
        value = self._record(held, sent_s).model_dump_json().encode()
        expected = known.version if known else 0
        try:
            held.version = await self._store.put(
                SHARD_KIND, str(shard), value, expected
            )
        except StoreConflict:
            return  # another entry was faster
        self._held_by_shard[shard] = held
        self._watched_by_shard.pop(shard, None)
        self._timeline.record(
            "shard_taken", shard=shard, epoch=epoch, proved_gone=proved_gone
        )

    def _new_held(self, known: KnownShard | None, now: float) -> _Held:
        """Starts the ledger of a shard that is about to be taken."""
        if known is None:
            ledger = ShardLedger(1, self._rules_of, now, first=True)
            return _Held(1, 0, ledger, now + LEASE_S, now + RENEW_S, now, {})
        record = known.record
        released = record.holder is None and not record.formers
        ledger = ShardLedger(
            record.epoch + 1,
            self._rules_of,
            granted_from_s=now + GRANT_HOLD_S,
            start_levels=dict(record.levels) if released else None,
        )
        formers = [*record.formers, *([record.holder] if record.holder else [])]
        gone_s = now + LEASE_S + MAX_HOLD_S
        return _Held(
            record.epoch + 1,
            known.version,
            ledger,
            now + LEASE_S,
            now + RENEW_S,
            now,
            {former: gone_s for former in formers},
        )

    async def _ask_former(self, shard: int, held: _Held, former: Holder) -> None:
        """Asks a former holder to confirm that it has given up."""
        if held.gone_s_by_former[former] - loop_time() <= GRANT_HOLD_S:
            return  # it has; its last grants are running out
        if former == self._me:
            _note_gone(held, former, loop_time())
            return
        life = await self._probe(former)
        if life is PeerLife.DEAD:
            _note_gone(held, former, loop_time())
        elif life is PeerLife.ALIVE:
            link = await self._peers.link_to(former.address)
            link.send(0, ShardClaim(shard, held.epoch))

    async def _probe(self, holder: Holder) -> PeerLife:
        """Finds out whether a holder still lives.

        The platform's list lags, so only a long absence from it is a proof.
        """
        life = await self._peers.probe(holder.address, holder.incarnation)
        if life is PeerLife.UNKNOWN and self._unlisted_s(holder.name) > UNLISTED_S:
            return PeerLife.DEAD
        return life

    async def _release(self, shard: int) -> None:
        held = self._held_by_shard.pop(shard)
        now = loop_time()
        levels = held.ledger.levels(now)
        record = self._record(held, now).model_copy(
            update={"holder": None, "levels": levels}
        )
        value = record.model_dump_json().encode()
        await self._store.put(SHARD_KIND, str(shard), value, held.version)
        self._timeline.record("shard_released", shard=shard, epoch=held.epoch)

    async def _rebalance(self, shard: int, held: _Held) -> None:
        """Releases a shard that another entry, which can be reached, ranks for."""
        best = self._ranked(shard)[0]
        if best == self._instance or held.unresolved(loop_time()):
            return
        try:
            await self._peers.link_to(self._live_entries()[best])
        except (OSError, KeyError):
            return
        await self._release(shard)

    def _ranked(self, shard: int) -> list[InstanceId]:
        """Returns the entries that should hold a shard, the best one first."""
        entries = sorted({*self._live_entries(), self._instance})
        ranked = rendezvous_top(str(shard).encode(), entries, CANDIDATES)
        return [InstanceId(name) for name in ranked]

    def _record(self, held: _Held, now: float) -> ShardRecord:
        return ShardRecord(
            epoch=held.epoch, holder=self._me, formers=held.unresolved(now)
        )

    def _drop(self, shard: int, reason: str) -> None:
        held = self._held_by_shard.pop(shard)
        self._timeline.record(
            "shard_dropped", shard=shard, epoch=held.epoch, reason=reason
        )


def _note_gone(held: _Held, former: Holder, now: float) -> None:
    """Notes that a former holder grants no more; its grants end soon after."""
    gone_s = now + GRANT_HOLD_S
    held.gone_s_by_former[former] = min(held.gone_s_by_former[former], gone_s)


async def read_shard(store: Store, shard: int) -> KnownShard | None:
    """Reads who holds a shard. Raises StoreUnavailable."""
    item = await store.get(SHARD_KIND, str(shard))
    if item is None:
        return None
    record = ShardRecord.model_validate_json(item.value)
    return KnownShard(version=item.version, record=record)
