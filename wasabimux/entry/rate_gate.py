"""Charges requests against the share of their workspace."""

from __future__ import annotations

import asyncio
import random

from wasabimux._clock import loop_time
from wasabimux.decisions.rate import GrantDecision, GrantOutcome, GrantPurse
from wasabimux.entry.peers import PeerLinks
from wasabimux.entry.rate_shards import (
    Holder,
    ShardKeeper,
    read_shard,
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

ASK_TIMEOUT_S = 0.5
HINT_TIMEOUT_S = 0.2
RETRY_S = 0.1

#: Longest wait of a request for a holder that can be reached.
HOLDER_WAIT_S = 10.0

#: Time between reports of what was spent or refunded without a further ask.
REPORT_S = 0.25


class RateGate:
    """Asks the holders of shards for tokens on behalf of requests.

    Args:
        keeper: Shards that this entry holds itself.
        peers: Links to other entries.
        store: The platform's store, which knows the holders.
        rng: Source of jitter.
    """

    def __init__(
        self, keeper: ShardKeeper, peers: PeerLinks, store: Store, rng: random.Random
    ) -> None:
        self.asks = 0
        self._keeper = keeper
        self._peers = peers
        self._store = store
        self._rng = rng
        self._purses_by_workspace: dict[str, GrantPurse] = {}
        self._holder_by_shard: dict[int, Holder] = {}
        self._waiting_by_ask: dict[int, asyncio.Future[GrantDecision]] = {}
        self._hint_by_shard: dict[int, asyncio.Future[Holder]] = {}
        self._next_ask = 1

    async def charge(self, workspace: str, tokens: float, wait_until_s: float) -> None:
        """Spends tokens of a workspace's share.

        Args:
            workspace: Workspace to charge.
            tokens: The most that the request can use.
            wait_until_s: Loop time until which a refusal may be waited out; a
                time in the past for requests that are refused at once.

        Raises:
            RefusedError: The share does not allow it, or nobody can tell.
        """
        purse = self._purses_by_workspace.setdefault(workspace, GrantPurse())
        give_up_s = loop_time() + HOLDER_WAIT_S
        while True:
            now = loop_time()
            if purse.spend(tokens, now):
                return
            decision = await self._ask(workspace, purse, tokens)
            if decision.outcome is GrantOutcome.GRANTED:
                purse.add(decision.grant, decision.tokens, now)
                continue
            wait_s = self._wait_after(decision, tokens, wait_until_s, give_up_s)
            await asyncio.sleep(wait_s + self._rng.uniform(0, RETRY_S))

    def refund(self, workspace: str, tokens: float) -> None:
        """Gives back what a request was charged but did not use.

        Args:
            workspace: Workspace that was charged.
            tokens: What is left; negative if the request used more.
        """
        if tokens != 0:
            purse = self._purses_by_workspace.setdefault(workspace, GrantPurse())
            purse.refund(tokens)

    async def run(self) -> None:
        """Sends reports until it is cancelled."""
        while True:
            await asyncio.sleep(REPORT_S)
            for workspace, purse in list(self._purses_by_workspace.items()):
                if purse.has_report(loop_time()):
                    await self._report(workspace, purse)
                if purse.is_idle(loop_time()):
                    del self._purses_by_workspace[workspace]

    def on_reply(self, reply: GrantReply) -> None:
        """Takes the answer of a holder."""
        waiting = self._waiting_by_ask.get(reply.correlation_id)
        if waiting is not None and not waiting.done():
            waiting.set_result(reply.decision)

    def hint_for(self, shard: int) -> ShardHolderHint | None:
        """Returns who holds a shard, for a peer that is cut off from the store."""
        holder = self._holder_by_shard.get(shard)
        if self._keeper.holds(shard):
            holder = self._keeper.me
        if holder is None:
            return None
        return ShardHolderHint(shard, holder.name, holder.incarnation, holder.address)

    def on_hint(self, hint: ShardHolderHint) -> None:
        """Takes a peer's answer on who holds a shard."""
        waiting = self._hint_by_shard.get(hint.shard)
        if waiting is not None and not waiting.done():
            holder = Holder(
                name=hint.name, incarnation=hint.incarnation, address=hint.address
            )
            waiting.set_result(holder)

    def _wait_after(
        self,
        decision: GrantDecision,
        tokens: float,
        wait_until_s: float,
        give_up_s: float,
    ) -> float:
        """Returns the wait before the next ask, or refuses the request."""
        now = loop_time()
        retry_s = decision.retry_after_s
        if decision.outcome is GrantOutcome.TOO_LARGE:
            text = f"{tokens:.0f} tokens are more than the workspace's burst"
            raise refused(ErrorCode.TOO_LARGE, text)
        if decision.outcome is GrantOutcome.REFUSED:
            if now + retry_s > wait_until_s:
                text = "the workspace has used up its share"
                raise refused(ErrorCode.RATE_LIMITED, text, retry_after_s=retry_s)
            return retry_s
        if now >= give_up_s:
            raise _no_holder()
        return max(retry_s, RETRY_S)

    async def _ask(
        self, workspace: str, purse: GrantPurse, tokens: float
    ) -> GrantDecision:
        now = loop_time()
        self.asks += 1
        wanted = purse.wanted(tokens, now)
        shard = shard_of(workspace)
        if self._keeper.holds(shard):
            self._keeper.settle(workspace, purse.take_report(loop_time()), now)
            return self._keeper.ask(workspace, tokens, wanted, now)
        ask_id = self._next_ask
        self._next_ask += 1
        waiting: asyncio.Future[GrantDecision] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiting_by_ask[ask_id] = waiting
        try:
            async with asyncio.timeout(ASK_TIMEOUT_S):
                link = await self._peers.link_to(await self._address_of(shard))
                report = purse.take_report(loop_time())
                link.send(0, GrantRequest(ask_id, workspace, tokens, wanted, report))
                decision = await waiting
        except (OSError, TimeoutError, StoreUnavailable):
            decision = GrantDecision(GrantOutcome.NOT_HOLDER)
        finally:
            del self._waiting_by_ask[ask_id]
        if decision.outcome is GrantOutcome.NOT_HOLDER:
            self._holder_by_shard.pop(shard, None)
        return decision

    async def _report(self, workspace: str, purse: GrantPurse) -> None:
        shard = shard_of(workspace)
        if self._keeper.holds(shard):
            self._keeper.settle(workspace, purse.take_report(loop_time()), loop_time())
            return
        holder = self._holder_by_shard.get(shard)
        if holder is None:
            return
        try:
            link = await self._peers.link_to(holder.address)
        except OSError:
            return
        link.send(
            0, GrantRequest(0, workspace, 0.0, 0.0, purse.take_report(loop_time()))
        )

    async def _address_of(self, shard: int) -> str:
        holder = self._holder_by_shard.get(shard)
        if holder is None:
            try:
                known = await read_shard(self._store, shard)
                holder = known.record.holder if known else None
            except StoreUnavailable:
                holder = await self._ask_peers(shard)
            if holder is None:
                raise OSError("the shard has no holder")
            self._holder_by_shard[shard] = holder
        return holder.address

    async def _ask_peers(self, shard: int) -> Holder | None:
        """Asks linked entries who holds a shard; returns the first answer."""
        hint = self._hint_by_shard.get(shard)
        if hint is None:
            hint = asyncio.get_running_loop().create_future()
            self._hint_by_shard[shard] = hint
        for link in self._peers.links():
            link.send(0, ShardHolderRequest(shard))
        try:
            async with asyncio.timeout(HINT_TIMEOUT_S):
                return await asyncio.shield(hint)
        except TimeoutError:
            return None
        finally:
            self._hint_by_shard.pop(shard, None)


def _no_holder() -> RefusedError:
    return refused(ErrorCode.OVERLOADED, "the workspace's share cannot be checked now")
