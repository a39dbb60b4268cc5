"""Rate and burst of a workspace over all instances, in tokens.

One holder per shard of workspaces grants tokens to entries. What a grant lets an
entry spend is bounded by its hold time, counted at the entry from the moment it
asked, and at the holder from the later moment it granted. At every instant

    level + outstanding grants <= burst

so whatever is spent in a window of length T is at most burst + rate * T: it comes
from the level or the grants outstanding at the start of the window, or was refilled
within it.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

#: Time for which an entry may spend a grant.
GRANT_LIFETIME_S = 1.0

#: Part of rate and burst that a holder keeps granting once its lease has lapsed.
EXPIRED_LEASE_SHARE = 0.8

#: Bits of a grant's number below those of its epoch.
GRANT_NUMBER_BITS = 32

#: Time without use after which an entry forgets a workspace.
IDLE_AFTER_S = 30.0

#: Tokens beneath which a rounding error is not a difference.
EPSILON_TOKENS = 1e-6


class RateLimit(NamedTuple):
    """Limits of a workspace.

    Attributes:
        rate: Tokens a second.
        burst: Tokens at once after being idle.
    """

    rate: float
    burst: float


class GrantOutcome(Enum):
    """Answer of a holder.

    NOT_YET says that the holder is new and grants nothing for a moment.
    """

    GRANTED = "granted"
    NOT_YET = "not_yet"
    REFUSED = "refused"
    TOO_LARGE = "too_large"
    NOT_HOLDER = "not_holder"


class GrantDecision(NamedTuple):
    """What a holder decides on an ask.

    Attributes:
        outcome: The answer.
        tokens: Tokens granted.
        grant: Number of the grant at its holder.
        retry_after_s: Time after which an ask can succeed, when refused.
    """

    outcome: GrantOutcome
    tokens: float = 0.0
    grant: int = 0
    retry_after_s: float = 0.0


class Spent(NamedTuple):
    """Tokens of one grant that were spent."""

    grant: int
    tokens: float


@dataclass(slots=True)
class _Grant:
    number: int
    tokens: float
    expires_s: float


class TokenBucket:
    """The token bucket of one workspace at its holder.

    Args:
        rules: Limits of the workspace.
        level: Tokens that can be granted now.
        refill_from_s: Time from which the bucket refills.
    """

    __slots__ = ("_rules", "_level", "_refilled_s", "_by_number", "_outstanding")

    def __init__(self, rules: RateLimit, level: float, refill_from_s: float) -> None:
        self._rules = rules
        self._level = level
        self._refilled_s = refill_from_s
        self._by_number: OrderedDict[int, _Grant] = OrderedDict()
        self._outstanding = 0.0

    def level(self, now: float) -> float:
        """Returns the tokens that can be granted."""
        self._refill(now)
        return self._level

    def is_full(self, now: float) -> bool:
        """Tells whether the bucket is as full as one never used."""
        self._refill(now)
        return not self._by_number and self._level >= self._rules.burst - EPSILON_TOKENS

    def request_grant(
        self, number: int, needed: float, wanted: float, now: float
    ) -> GrantDecision:
        """Decides on an ask.

        Args:
            number: Number for the grant, unique at the holder.
            needed: Tokens without which the ask is refused.
            wanted: Tokens that the entry can use within the hold time.
            now: Present time in s.
        """
        self._refill(now)
        if needed > self._rules.burst:
            return GrantDecision(GrantOutcome.TOO_LARGE)
        if needed > self._level + EPSILON_TOKENS:
            wait_s = self._wait_s(needed, now)
            return GrantDecision(GrantOutcome.REFUSED, retry_after_s=wait_s)
        tokens = min(max(needed, wanted), self._level)
        self._level -= tokens
        self._outstanding += tokens
        self._by_number[number] = _Grant(number, tokens, now + GRANT_LIFETIME_S)
        return GrantDecision(GrantOutcome.GRANTED, tokens, number)

    def apply_report(self, spent: Sequence[Spent], refunded: float, now: float) -> None:
        """Takes an entry's report.

        Args:
            spent: What was spent, by grant. Grants whose hold time is over no
                longer count, so reports that come later change nothing.
            refunded: Tokens charged before that turned out not to be used.
            now: Present time in s.
        """
        self._refill(now)
        for number, tokens in spent:
            grant = self._by_number.get(number)
            if grant is None:
                continue
            part = min(tokens, grant.tokens)
            grant.tokens -= part
            self._outstanding -= part
            if grant.tokens <= EPSILON_TOKENS:
                self._outstanding -= grant.tokens
                del self._by_number[number]
        self._level += refunded
        self._clip()

    def change_limit(self, rules: RateLimit, now: float) -> None:
        """Takes changed limits; what was refilled before stays, up to the burst."""
        self._refill(now)
        self._rules = rules
        self._clip()

    def _refill(self, now: float) -> None:
        """Refills up to `now`, with grants ending in the order of time."""
        while self._by_number:
            oldest = next(iter(self._by_number.values()))
            if oldest.expires_s > now:
                break
            self._add_until(oldest.expires_s)
            del self._by_number[oldest.number]
            self._outstanding -= oldest.tokens
        self._add_until(now)

    def _add_until(self, now: float) -> None:
        if now > self._refilled_s:
            self._level += (now - self._refilled_s) * self._rules.rate
            self._refilled_s = now
            self._clip()

    def _clip(self) -> None:
        if not self._by_number:
            self._outstanding = 0.0
        room = max(0.0, self._rules.burst - self._outstanding)
        self._level = min(self._level, room)

    def _wait_s(self, needed: float, now: float) -> float:
        missing = needed - self._level
        refill_s = missing / self._rules.rate if self._rules.rate > 0 else 3_600.0
        room_s = 0.0
        if needed > self._rules.burst - self._outstanding and self._by_number:
            room_s = next(reversed(self._by_number.values())).expires_s - now
        return max(refill_s, room_s, self._refilled_s - now)


class ShardRateLimiter:
    """Buckets of the workspaces of one shard, in one epoch of its holder.

    Args:
        epoch: Epoch of the holder; grants of two epochs never share a number.
        rules_of: Returns the limits of a workspace.
        grants_start_s: Time from which this holder may grant.
        initial_levels: Levels that the previous holder handed over, None if it left
            none; buckets then start empty.
        is_new_shard: True if the shard never had a holder; buckets then start full.
    """

    def __init__(
        self,
        epoch: int,
        rules_of: Callable[[str], RateLimit],
        grants_start_s: float,
        initial_levels: dict[str, float] | None = None,
        is_new_shard: bool = False,
    ) -> None:
        self._rules_of = rules_of
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
        """The part of rate and burst that this holder may grant."""
        return self._share

    def set_share(self, share: float, now: float) -> None:
        """Sets the part of rate and burst that this holder may grant."""
        if share != self._share:
            self._share = share
            self.reconfigure(self._rules_of, now)

    def reconfigure(self, rules_of: Callable[[str], RateLimit], now: float) -> None:
        """Takes changed limits into force for every bucket."""
        self._rules_of = rules_of
        for workspace, bucket in self._buckets_by_workspace.items():
            bucket.change_limit(self._shared_rules(workspace), now)

    def request_grant(
        self, workspace: str, needed: float, wanted: float, now: float
    ) -> GrantDecision:
        """Decides on an ask of an entry.

        Args:
            workspace: Workspace that the tokens are for.
            needed: Tokens without which the ask is refused.
            wanted: Tokens that the entry can use within the hold time.
            now: Present time in s.
        """
        if needed > self._rules_of(workspace).burst:
            return GrantDecision(GrantOutcome.TOO_LARGE)
        if now < self._grants_start_s:
            wait_s = self._grants_start_s - now
            return GrantDecision(GrantOutcome.NOT_YET, retry_after_s=wait_s)
        number = self._next_grant
        self._next_grant += 1
        decision = self._bucket(workspace).request_grant(number, needed, wanted, now)
        if decision.outcome is GrantOutcome.TOO_LARGE:
            # Fits the whole burst, so it can succeed once the share is whole again.
            return GrantDecision(GrantOutcome.NOT_YET, retry_after_s=GRANT_LIFETIME_S)
        return decision

    def apply_report(
        self, workspace: str, spent: Sequence[Spent], refunded: float, now: float
    ) -> None:
        """Takes an entry's report on its grants."""
        bucket = self._buckets_by_workspace.get(workspace)
        if bucket is not None:
            bucket.apply_report(spent, refunded, now)

    def evict_full(self, now: float) -> None:
        """Drops the buckets that are as full as fresh ones would be."""
        if self._share < 1.0:
            return
        full = [
            name
            for name, bucket in self._buckets_by_workspace.items()
            if bucket.is_full(now) and self._starts_full(name, now)
        ]
        for name in full:
            del self._buckets_by_workspace[name]
            if self._initial_levels is not None:
                self._initial_levels.pop(name, None)

    def levels(self, now: float) -> dict[str, float]:
        """Returns the levels of all buckets that are not full, to hand over."""
        return {
            name: round(bucket.level(now), 1)
            for name, bucket in self._buckets_by_workspace.items()
            if not bucket.is_full(now)
        }

    def _starts_full(self, workspace: str, now: float) -> bool:
        """Tells whether a fresh bucket of a workspace would be full by now."""
        if self._is_new_shard or self._initial_levels is not None:
            return True
        rules = self._rules_of(workspace)
        return rules.rate * (now - self._grants_start_s) >= rules.burst

    def _shared_rules(self, workspace: str) -> RateLimit:
        rules = self._rules_of(workspace)
        return RateLimit(rules.rate * self._share, rules.burst * self._share)

    def _bucket(self, workspace: str) -> TokenBucket:
        bucket = self._buckets_by_workspace.get(workspace)
        if bucket is None:
            rules = self._shared_rules(workspace)
            level = 0.0
            if self._is_new_shard:
                level = rules.burst
            elif self._initial_levels is not None:
                level = self._initial_levels.get(workspace, rules.burst)
            level = min(level, rules.burst)
            bucket = TokenBucket(rules, level, self._grants_start_s)
            self._buckets_by_workspace[workspace] = bucket
        return bucket


class GrantReport(NamedTuple):
    """What an entry reports to a holder.

    Attributes:
        spent: What was spent, by grant.
        refunded: Tokens charged before that turned out not to be used.
    """

    spent: list[Spent]
    refunded: float


class LocalGrants:
    """Grants that one entry holds for one workspace."""

    __slots__ = ("_grants", "_spent", "_refunded", "_recent")

    def __init__(self) -> None:
        self._grants: deque[_Grant] = deque()
        self._spent: list[Spent] = []
        self._refunded = 0.0
        self._recent = (0.0, 0.0)

    def has_report(self, now: float) -> bool:
        """Tells if something was spent or refunded since the last report."""
        self._give_back_expired(now)
        return bool(self._spent) or self._refunded != 0

    def is_idle(self, now: float) -> bool:
        """True if nothing is held and nothing was spent lately."""
        recent = now - self._recent[1] <= IDLE_AFTER_S
        return not self._grants and not recent and not self.has_report(now)

    def add(self, number: int, tokens: float, asked_s: float) -> None:
        """Adds a grant; its hold time counts from when it was asked for."""
        self._grants.append(_Grant(number, tokens, asked_s + GRANT_LIFETIME_S))

    def refund(self, tokens: float) -> None:
        """Gives back tokens that were spent but not used; a debt if negative."""
        self._refunded += tokens

    def spend(self, tokens: float, now: float) -> bool:
        """Spends tokens; returns False, and spends none, if there are too few."""
        self._give_back_expired(now)
        held = sum(grant.tokens for grant in self._grants)
        if held + EPSILON_TOKENS < tokens:
            return False
        left = tokens
        while left > 0 and self._grants:
            oldest = self._grants[0]
            part = min(left, oldest.tokens)
            oldest.tokens -= part
            left -= part
            self._spent.append(Spent(oldest.number, part))
            if oldest.tokens <= 0:
                self._grants.popleft()
        self._note_use(tokens, now)
        return True

    def request_size(self, needed: float, now: float) -> float:
        """Returns what to ask for: the need, and what the next moments may take."""
        used, since_s = self._recent
        if now - since_s > GRANT_LIFETIME_S:
            return needed
        return needed + used / 4

    def take_report(self, now: float) -> GrantReport:
        """Returns what was spent and refunded since the last report."""
        self._give_back_expired(now)
        report = GrantReport(self._spent, self._refunded)
        self._spent = []
        self._refunded = 0.0
        return report

    def _give_back_expired(self, now: float) -> None:
        """Refunds what is left of grants that may not be spent any more."""
        while self._grants and self._grants[0].expires_s <= now:
            self._refunded += self._grants.popleft().tokens

    def _note_use(self, tokens: float, now: float) -> None:
        used, since_s = self._recent
        if now - since_s > GRANT_LIFETIME_S:
            self._recent = (tokens, now)
        else:
            self._recent = (used + tokens, since_s)
