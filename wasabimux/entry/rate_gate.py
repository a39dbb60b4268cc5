"""Charges requests against the rate limits of their workspaces."""

from __future__ import annotations

import asyncio
import random

from wasabimux._clock import loop_time
from wasabimux.decisions.rate import GrantDecision, GrantOutcome, LocalGrants
from wasabimux.entry.peers import PeerLinks
from wasabimux.entry.rate_shards import (
    ShardHolder,
    ShardManager,
    read_shard_record,
    shard_of,
)
from wasabimux.errors import ErrorCode, RefusedError, refused
from wasabimux.link.messages import (
    GrantReply,
    GrantRequest,
    ShardHolderHint,
    ShardHolderRequest,
)
from wasabimux.ports import Store, StoreUnavailable

GRANT_TIMEOUT_S = 0.5
HINT_TIMEOUT_S = 0.2
RETRY_DELAY_S = 0.1

#: Longest time for which a request waits until its shard has a reachable holder.
HOLDER_TIMEOUT_S = 10.0

#: Time between reports of spent and refunded tokens that no grant request carried.
REPORT_INTERVAL_S = 0.25


class RateLimiter:
    """Charges requests with tokens that the holders of shards grant to this entry.

    Args:
        shard_manager: Manager of the shards that this entry holds itself.
        peers: Links to other entries.
        store: The platform's store, which records the holders.
        rng: Source of jitter.

    Attributes:
        grant_request_count: Number of grants requested so far.
    """

    def __init__(
        self,
        shard_manager: ShardManager,
        peers: PeerLinks,
        store: Store,
        rng: random.Random,
    ) -> None:
        self.grant_request_count = 0
        self._shard_manager = shard_manager
        self._peers = peers
        self._store = store
        self._rng = rng
        self._grants_by_workspace: dict[str, LocalGrants] = {}
        self._holder_by_shard: dict[int, ShardHolder] = {}
        self._pending_by_ask_id: dict[int, asyncio.Future[GrantDecision]] = {}
        self._pending_hint_by_shard: dict[int, asyncio.Future[ShardHolder]] = {}
        self._next_ask_id = 1

    async def charge(self, workspace: str, tokens: float, wait_until_s: float) -> None:
        """Charges tokens against a workspace's rate limit.

        Args:
            workspace: Workspace to charge.
            tokens: Maximum number of tokens that the request can use.
            wait_until_s: Loop time until which the request may wait for tokens; a
                time in the past for requests that are refused at once.

        Raises:
            RefusedError: The rate limit does not allow the charge, or no holder of
                the shard can be reached.
        """
        grants = self._grants_by_workspace.setdefault(workspace, LocalGrants())
        holder_deadline_s = loop_time() + HOLDER_TIMEOUT_S
        while True:
            now = loop_time()
            if grants.spend(tokens, now):
                return
            decision = await self._request_grant(workspace, grants, tokens)
            if decision.outcome is GrantOutcome.GRANTED:
                grants.add(decision.grant, decision.tokens, now)
                continue
            wait_s = self._delay_before_retry(
                decision, tokens, wait_until_s, holder_deadline_s
            )
            await asyncio.sleep(wait_s + self._rng.uniform(0, RETRY_DELAY_S))

    def refund(self, workspace: str, tokens: float) -> None:
        """Refunds tokens that a request was charged but did not use.

        Args:
            workspace: Workspace that was charged.
            tokens: Number of unused tokens; negative if the request used more.
        """
        if tokens != 0:
            grants = self._grants_by_workspace.setdefault(workspace, LocalGrants())
            grants.refund(tokens)

    async def run(self) -> None:
        """Sends reports to holders periodically until it is cancelled."""
        while True:
            await asyncio.sleep(REPORT_INTERVAL_S)
            await self.report_all()

    async def report_all(self) -> None:
        """Sends reports to holders on what was spent and refunded since the last ones.

        Grants that are not used any more are dropped.
        """
        for workspace, grants in list(self._grants_by_workspace.items()):
            if grants.has_report(loop_time()):
                await self._send_report(workspace, grants)
            if grants.is_idle(loop_time()):
                self._grants_by_workspace.pop(workspace, None)

    def on_reply(self, reply: GrantReply) -> None:
        """Passes a holder's decision to the grant request that waits for it."""
        pending = self._pending_by_ask_id.get(reply.correlation_id)
        if pending is not None and not pending.done():
            pending.set_result(reply.decision)

    def hint_for(self, shard: int) -> ShardHolderHint | None:
        """Returns the holder of a shard for a peer that cannot reach the store."""
        holder = self._holder_by_shard.get(shard)
        if self._shard_manager.holds(shard):
            holder = self._shard_manager.own_holder
        if holder is None:
            return None
        return ShardHolderHint(shard, holder.name, holder.incarnation, holder.address)

    def on_hint(self, hint: ShardHolderHint) -> None:
        """Passes a peer's reply on the holder of a shard to the waiting query."""
        pending = self._pending_hint_by_shard.get(hint.shard)
        if pending is not None and not pending.done():
            holder = ShardHolder(
                name=hint.name, incarnation=hint.incarnation, address=hint.address
            )
            pending.set_result(holder)

    def _delay_before_retry(
        self,
        decision: GrantDecision,
        tokens: float,
        wait_until_s: float,
        holder_deadline_s: float,
    ) -> float:
        """Returns the delay in s before the next grant request.

        Raises:
            RefusedError: The request cannot get its tokens in time, or needs more
                tokens than the burst of its workspace.
        """
        now = loop_time()
        retry_s = decision.retry_after_s
        if decision.outcome is GrantOutcome.TOO_LARGE:
            text = f"{tokens:.0f} tokens are more than the workspace's burst"
            raise refused(ErrorCode.TOO_LARGE, text)
        if decision.outcome is GrantOutcome.REFUSED:
            if now + retry_s > wait_until_s:
                text = "the workspace has exceeded its rate limit"
                raise refused(ErrorCode.RATE_LIMITED, text, retry_after_s=retry_s)
            return retry_s
        if now >= holder_deadline_s:
            raise _holder_unreachable_error()
        return max(retry_s, RETRY_DELAY_S)

    async def _request_grant(
        self, workspace: str, grants: LocalGrants, tokens: float
    ) -> GrantDecision:
        now = loop_time()
        self.grant_request_count += 1
        wanted = grants.request_size(tokens, now)
        shard = shard_of(workspace)
        if self._shard_manager.holds(shard):
            self._shard_manager.apply_report(
                workspace, grants.take_report(loop_time()), now
            )
            return self._shard_manager.request_grant(workspace, tokens, wanted, now)
        ask_id = self._next_ask_id
        self._next_ask_id += 1
        pending: asyncio.Future[GrantDecision] = (
            asyncio.get_running_loop().create_future()
        )
        self._pending_by_ask_id[ask_id] = pending
        try:
            async with asyncio.timeout(GRANT_TIMEOUT_S):
                link = await self._peers.link_to(await self._holder_address(shard))
                report = grants.take_report(loop_time())
                link.send(0, GrantRequest(ask_id, workspace, tokens, wanted, report))
                decision = await pending
        except (OSError, TimeoutError, StoreUnavailable):
            decision = GrantDecision(GrantOutcome.NOT_HOLDER)
        finally:
            del self._pending_by_ask_id[ask_id]
        if decision.outcome is GrantOutcome.NOT_HOLDER:
            self._holder_by_shard.pop(shard, None)
        return decision

    async def _send_report(self, workspace: str, grants: LocalGrants) -> None:
        shard = shard_of(workspace)
        if self._shard_manager.holds(shard):
            self._shard_manager.apply_report(
                workspace, grants.take_report(loop_time()), loop_time()
            )
            return
        holder = self._holder_by_shard.get(shard)
        if holder is None:
            return
        try:
            link = await self._peers.link_to(holder.address)
        except OSError:
            return
        link.send(
            0, GrantRequest(0, workspace, 0.0, 0.0, grants.take_report(loop_time()))
        )

    async def _holder_address(self, shard: int) -> str:
        holder = self._holder_by_shard.get(shard)
        if holder is None:
            try:
                stored = await read_shard_record(self._store, shard)
                holder = stored.record.holder if stored else None
            except StoreUnavailable:
                holder = await self._ask_peers_for_holder(shard)
            if holder is None:
                raise OSError("the shard has no holder")
            self._holder_by_shard[shard] = holder
        return holder.address

    async def _ask_peers_for_holder(self, shard: int) -> ShardHolder | None:
        """Asks linked entries for the holder of a shard; returns the first reply."""
        hint = self._pending_hint_by_shard.get(shard)
        if hint is None:
            hint = asyncio.get_running_loop().create_future()
            self._pending_hint_by_shard[shard] = hint
        for link in self._peers.links():
            link.send(0, ShardHolderRequest(shard))
        try:
            async with asyncio.timeout(HINT_TIMEOUT_S):
                return await asyncio.shield(hint)
        except TimeoutError:
            return None
        finally:
            self._pending_hint_by_shard.pop(shard, None)


def _holder_unreachable_error() -> RefusedError:
    return refused(ErrorCode.OVERLOADED, "the workspace's rate limit cannot be checked")
