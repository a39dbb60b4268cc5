"""Token-bucket rate limit of a workspace across all instances.

Workspaces are sharded; one lease holder per shard grants tokens to entries. A grant
expires after GRANT_LIFETIME_S. The entry counts this from when it sent the request,
the holder from when it granted, which is later, so an entry never spends a grant
that the holder already counts as expired. At all times

    level + outstanding grants <= burst

so the tokens spent in any window of length T are at most burst + rate * T: they come
from the level or the grants outstanding at the start of the window, or from refills
within it.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

#: Time in s for which an entry may spend a grant.
GRANT_LIFETIME_S = 1.0

#: Fraction of rate and burst that a holder still grants after its lease has expired.
EXPIRED_LEASE_SHARE = 0.8

#: Low-order bits of a grant number; the bits above them hold the epoch.
GRANT_NUMBER_BITS = 32

#: Time in s without spending after which an entry drops the state of a workspace.
IDLE_AFTER_S = 30.0

#: Token counts that differ by no more than this floating-point error are equal.
EPSILON_TOKENS = 1e-6


class RateLimit(NamedTuple):
    """Rate limit of a workspace.

    Attributes:
        rate: Refill rate in tokens per second.
        burst: Bucket capacity in tokens.
    """

    rate: float
    burst: float


class GrantOutcome(Enum):
    """Result of a grant request.

    NOT_YET means that the holder cannot grant the tokens at present, as it has only
    just taken the shard over or may grant only a fraction of the limit.
    """

    GRANTED = "granted"
    NOT_YET = "not_yet"
    REFUSED = "refused"
    TOO_LARGE = "too_large"
    NOT_HOLDER = "not_holder"


class GrantDecision(NamedTuple):
    """Response of a holder to a grant request.

    Attributes:
        outcome: Result of the request.
        tokens: Tokens granted.
        grant: Number that identifies the grant at its holder.
        retry_after_s: Time in s after which a refused request can succeed.
    """

    outcome: GrantOutcome
    tokens: float = 0.0
    grant: int = 0
    retry_after_s: float = 0.0


class Spent(NamedTuple):
    """Tokens spent from one grant."""

    grant: int
    tokens: float


@dataclass(slots=True)
class _Grant:
    number: int
    tokens: float
    expires_s: float


class TokenBucket:
    """Token bucket of one workspace at the holder of its shard.

    Args:
        limit: Rate limit of the workspace.
        level: Initial number of tokens available for grants.
        refill_start_s: Time from which the bucket refills.
    """

    __slots__ = ("_limit", "_level", "_refilled_s", "_grants_by_number", "_outstanding")

    def __init__(self, limit: RateLimit, level: float, refill_start_s: float) -> None:
        self._limit = limit
        self._level = level
        self._refilled_s = refill_start_s
        self._grants_by_number: OrderedDict[int, _Grant] = OrderedDict()
        self._outstanding = 0.0

    def level(self, now: float) -> float:
        """Returns the number of tokens available for grants."""
        self._advance(now)
        return self._level

    def is_full(self, now: float) -> bool:
        """Returns whether the bucket is full and has no outstanding grants."""
        self._advance(now)
        return (
            not self._grants_by_number
            and self._level >= self._limit.burst - EPSILON_TOKENS
        )

    def request_grant(
        self, number: int, needed: float, wanted: float, now: float
    ) -> GrantDecision:
        """Grants or refuses tokens.

        Args:
            number: Number for the grant, unique at the holder.
            needed: Minimum number of tokens; the request is refused below it.
            wanted: Tokens that the entry expects to use within the grant lifetime.
            now: Current time in s.
        """
        self._advance(now)
        if needed > self._limit.burst:
            return GrantDecision(GrantOutcome.TOO_LARGE)
        if needed > self._level + EPSILON_TOKENS:
            wait_s = self._retry_after_s(needed, now)
            return GrantDecision(GrantOutcome.REFUSED, retry_after_s=wait_s)
        tokens = min(max(needed, wanted), self._level)
        self._level -= tokens
        self._outstanding += tokens
        self._grants_by_number[number] = _Grant(number, tokens, now + GRANT_LIFETIME_S)
        return GrantDecision(GrantOutcome.GRANTED, tokens, number)

    def apply_report(self, spent: Sequence[Spent], refunded: float, now: float) -> None:
        """Applies a usage report of an entry.

        Args:
            spent: Tokens spent, by grant. Expired grants are ignored, so a report
                that arrives after the grant lifetime changes nothing.
            refunded: Tokens that ended requests and expired grants left unused.
            now: Current time in s.
        """
        self._advance(now)
        for number, tokens in spent:
            grant = self._grants_by_number.get(number)
            if grant is None:
                continue
            amount = min(tokens, grant.tokens)
            grant.tokens -= amount
            self._outstanding -= amount
            if grant.tokens <= EPSILON_TOKENS:
                self._outstanding -= grant.tokens
                del self._grants_by_number[number]
        self._level += refunded
        self._clamp_level()

    def change_limit(self, limit: RateLimit, now: float) -> None:
        """Replaces the limit; keeps the current level, up to the new burst."""
        self._advance(now)
        self._limit = limit
        self._clamp_level()

    def _advance(self, now: float) -> None:
        """Refills up to `now`, expiring grants in order of time on the way."""
        while self._grants_by_number:
            oldest = next(iter(self._grants_by_number.values()))
            if oldest.expires_s > now:
                break
            self._refill_until(oldest.expires_s)
            del self._grants_by_number[oldest.number]
            self._outstanding -= oldest.tokens
        self._refill_until(now)

    def _refill_until(self, now: float) -> None:
        if now > self._refilled_s:
            self._level += (now - self._refilled_s) * self._limit.rate
            self._refilled_s = now
            self._clamp_level()

    def _clamp_level(self) -> None:
        if not self._grants_by_number:
            self._outstanding = 0.0
        room = max(0.0, self._limit.burst - self._outstanding)
        self._level = min(self._level, room)

    def _retry_after_s(self, needed: float, now: float) -> float:
        missing = needed - self._level
        refill_s = missing / self._limit.rate if self._limit.rate > 0 else 3_600.0
        room_s = 0.0
        if needed > self._limit.burst - self._outstanding and self._grants_by_number:
            room_s = next(reversed(self._grants_by_number.values())).expires_s - now
        return max(refill_s, room_s, self._refilled_s - now)


class ShardRateLimiter:
    """Token buckets of the workspaces of one shard, for one epoch of its holder.

    Args:
        epoch: Epoch of the holder; grants of two epochs never share a number.
        limit_of: Returns the rate limit of a workspace.
        grants_start_s: Time from which this holder may grant.
        initial_levels: Bucket levels that the previous holder handed over. None if it
            handed over none; buckets then start empty.
        is_new_shard: True if the shard never had a holder; buckets then start full.
    """

    def __init__(
        self,
        epoch: int,
        limit_of: Callable[[str], RateLimit],
        grants_start_s: float,
        initial_levels: dict[str, float] | None = None,
        is_new_shard: bool = False,
    ) -> None:
        self._limit_of = limit_of
        self._grants_start_s = grants_start_s
        self._next_grant = (epoch << GRANT_NUMBER_BITS) + 1
        self._initial_levels = initial_levels
        self._is_new_shard = is_new_shard
        self._share = 1.0
        self._buckets_by_workspace: dict[str, TokenBucket] = {}

    def __len__(self) -> int:
        return len(self._buckets_by_workspace)

    @property
    def share(self) -> float:
        """Fraction of rate and burst that this holder may grant."""
        return self._share

    def set_share(self, share: float, now: float) -> None:
        """Sets the fraction of rate and burst that this holder may grant."""
        if share != self._share:
            self._share = share
            self.reconfigure(self._limit_of, now)

    def reconfigure(self, limit_of: Callable[[str], RateLimit], now: float) -> None:
        """Applies changed rate limits to every bucket."""
        self._limit_of = limit_of
        for workspace, bucket in self._buckets_by_workspace.items():
            bucket.change_limit(self._scaled_limit(workspace), now)

    def request_grant(
        self, workspace: str, needed: float, wanted: float, now: float
    ) -> GrantDecision:
        """Grants tokens to an entry, or refuses them.

        Args:
            workspace: Workspace that the tokens are for.
            needed: Minimum number of tokens; the request is refused below it.
            wanted: Tokens that the entry expects to use within the grant lifetime.
            now: Current time in s.
        """
        if needed > self._limit_of(workspace).burst:
            return GrantDecision(GrantOutcome.TOO_LARGE)
        if now < self._grants_start_s:
            wait_s = self._grants_start_s - now
            return GrantDecision(GrantOutcome.NOT_YET, retry_after_s=wait_s)
        number = self._next_grant
        self._next_grant += 1
        decision = self._bucket(workspace).request_grant(number, needed, wanted, now)
        if decision.outcome is GrantOutcome.TOO_LARGE:
            # Within the full burst, so it can succeed once `share` is back at 1.
            return GrantDecision(GrantOutcome.NOT_YET, retry_after_s=GRANT_LIFETIME_S)
        return decision

    def apply_report(
        self, workspace: str, spent: Sequence[Spent], refunded: float, now: float
    ) -> None:
        """Applies an entry's usage report to the bucket of a workspace."""
        bucket = self._buckets_by_workspace.get(workspace)
        if bucket is not None:
            bucket.apply_report(spent, refunded, now)

    def evict_full(self, now: float) -> None:
        """Drops full buckets that would be full again if recreated."""
        if self._share < 1.0:
            return
        full_workspaces = [
            workspace
            for workspace, bucket in self._buckets_by_workspace.items()
            if bucket.is_full(now) and self._starts_full(workspace, now)
        ]
        for workspace in full_workspaces:
            del self._buckets_by_workspace[workspace]
            if self._initial_levels is not None:
                self._initial_levels.pop(workspace, None)

    def levels(self, now: float) -> dict[str, float]:
        """Returns the levels of all buckets that are not full, for the next holder."""
        return {
            workspace: round(bucket.level(now), 1)
            for workspace, bucket in self._buckets_by_workspace.items()
            if not bucket.is_full(now)
        }

    def _starts_full(self, workspace: str, now: float) -> bool:
        """Returns whether a new bucket of a workspace would be full by now."""
        if self._is_new_shard or self._initial_levels is not None:
            return True
        limit = self._limit_of(workspace)
        return limit.rate * (now - self._grants_start_s) >= limit.burst

    def _scaled_limit(self, workspace: str) -> RateLimit:
        limit = self._limit_of(workspace)
        return RateLimit(limit.rate * self._share, limit.burst * self._share)

    def _bucket(self, workspace: str) -> TokenBucket:
        bucket = self._buckets_by_workspace.get(workspace)
        if bucket is None:
            limit = self._scaled_limit(workspace)
            level = 0.0
            if self._is_new_shard:
                level = limit.burst
            elif self._initial_levels is not None:
                level = self._initial_levels.get(workspace, limit.burst)
            level = min(level, limit.burst)
            bucket = TokenBucket(limit, level, self._grants_start_s)
            self._buckets_by_workspace[workspace] = bucket
        return bucket


class GrantReport(NamedTuple):
    """Usage report of an entry to a holder.

    Attributes:
        spent: Tokens spent, by grant.
        refunded: Tokens that ended requests and expired grants left unused; negative
            if requests used more than they were charged.
    """

    spent: list[Spent]
    refunded: float


class LocalGrants:
    """Unspent grants and pending usage report of one workspace at one entry."""

    __slots__ = ("_grants", "_spent", "_refunded", "_recent_spending")

    def __init__(self) -> None:
        self._grants: deque[_Grant] = deque()
        self._spent: list[Spent] = []
        self._refunded = 0.0
        self._recent_spending = (0.0, 0.0)

    def has_report(self, now: float) -> bool:
        """Returns whether tokens were spent or refunded since the last report."""
        self._refund_expired(now)
        return bool(self._spent) or self._refunded != 0

    def is_idle(self, now: float) -> bool:
        """Returns whether there are no grants, recent spending or pending report."""
        recent = now - self._recent_spending[1] <= IDLE_AFTER_S
        return not self._grants and not recent and not self.has_report(now)

    def add(self, number: int, tokens: float, requested_s: float) -> None:
        """Adds a grant; its lifetime counts from when it was requested."""
        self._grants.append(_Grant(number, tokens, requested_s + GRANT_LIFETIME_S))

    def refund(self, tokens: float) -> None:
        """Refunds tokens that were spent but not used; charges more if negative."""
        self._refunded += tokens

    def spend(self, tokens: float, now: float) -> bool:
        """Spends tokens; returns False and spends none if there are too few."""
        self._refund_expired(now)
        available = sum(grant.tokens for grant in self._grants)
        if available + EPSILON_TOKENS < tokens:
            return False
        remaining = tokens
        while remaining > 0 and self._grants:
            oldest = self._grants[0]
            amount = min(remaining, oldest.tokens)
            oldest.tokens -= amount
            remaining -= amount
            self._spent.append(Spent(oldest.number, amount))
            if oldest.tokens <= 0:
                self._grants.popleft()
        self._record_spending(tokens, now)
        return True

    def request_size(self, needed: float, now: float) -> float:
        """Returns how many tokens to request, with spare ones for later requests."""
        spent, since_s = self._recent_spending
        if now - since_s > GRANT_LIFETIME_S:
            return needed
        return needed + spent / 4

    def take_report(self, now: float) -> GrantReport:
        """Returns and resets the tokens spent and refunded since the last report."""
        self._refund_expired(now)
        report = GrantReport(self._spent, self._refunded)
        self._spent = []
        self._refunded = 0.0
        return report

    def _refund_expired(self, now: float) -> None:
        """Refunds the unspent tokens of expired grants."""
        while self._grants and self._grants[0].expires_s <= now:
            self._refunded += self._grants.popleft().tokens

    def _record_spending(self, tokens: float, now: float) -> None:
        spent, since_s = self._recent_spending
        if now - since_s > GRANT_LIFETIME_S:
            self._recent_spending = (tokens, now)
        else:
            self._recent_spending = (spent + tokens, since_s)
