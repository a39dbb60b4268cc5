"""One token bucket a workspace, replicated at every relay.

A request reserves its tokens when it is admitted. They are charged once it has run, or
may have run, and are free again at once if it was refused. Each relay tells the others
what it has charged and what is reserved, so the replicas differ only by what changed
within one exchange interval. A relay that is out of reach may go on serving callers:
its equal part of the rate is set aside until it is heard again.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from wasabimux.decisions.rate import RateLimit

#: Part of the tolerance that is used. The rest covers what relays charge before they
#: hear of one another, which is more the more relays there are, and what was charged
#: before a restart.
MAX_TOLERANCE_FRACTION = 0.8
TOLERANCE_FRACTION_PER_RELAY = 0.025
MIN_TOLERANCE_FRACTION = 0.2

#: Precision of a window's sum.
BIN_S = 0.2

#: Precision of what is assumed of the time before a start, and the steps right before
#: it for which nothing is assumed, as a start takes longer.
ASSUMED_STEP_S = 0.5
ASSUMED_FREE_STEPS = 3

#: Least wait that a refused caller is told.
MIN_WAIT_S = 0.1

#: Time by which a request may be charged earlier than its upstream counts it.
COUNT_DELAY_S = 0.3

#: Part of the burst with which a replica starts that knows nothing of the past.
FRESH_SHARE = 0.5


class RateTolerance(NamedTuple):
    """By how much the requests of a window may exceed a limit.

    Attributes:
        window_s: Length of the window.
        overage_share: Part of what the limit allows in a window.
        slack_tokens: Tokens beyond that part.
    """

    window_s: float
    overage_share: float
    slack_tokens: float

    @property
    def allows_overage(self) -> bool:
        """True if a workspace may use more than its bucket holds."""
        return self.overage_share > 0 or self.slack_tokens > 0

    def window_limit(self, rules: RateLimit, part: float) -> float:
        """Returns the most tokens that may be charged in one window.

        Args:
            rules: Limits of the workspace.
            part: Part of the tolerance that is used.
        """
        within = rules.rate * self.window_s + rules.burst
        return within + part * (within * self.overage_share + self.slack_tokens)


class BucketUsage(NamedTuple):
    """What one relay has used of a workspace's share.

    Attributes:
        charged: Tokens of requests that have run, since the relay's start.
        reserved: Tokens of requests under way.
    """

    charged: float = 0.0
    reserved: float = 0.0

    @property
    def total(self) -> float:
        """Tokens charged and reserved."""
        return self.charged + self.reserved


class Reservation(NamedTuple):
    """What came of reserving a request's tokens.

    Attributes:
        wait_s: Time until they can be reserved; 0 if they were.
        beyond_share: True if only the tolerance let it in.
    """

    wait_s: float = 0.0
    beyond_share: bool = False


class _Window:
    """Sum of the last seconds, kept in bins."""

    __slots__ = ("_bins", "_sum")

    def __init__(self) -> None:
        self._bins: deque[tuple[float, float]] = deque()
        self._sum = 0.0

    def add(self, tokens: float, now: float) -> None:
        if self._bins and now - self._bins[-1][0] < BIN_S:
            since, before = self._bins.pop()
            self._bins.append((since, before + tokens))
        else:
            self._bins.append((now, tokens))
        self._sum += tokens

    def sum(self, window_s: float, now: float) -> float:
        while self._bins and self._bins[0][0] <= now - window_s - BIN_S:
            self._sum -= self._bins.popleft()[1]
        return self._sum


@dataclass(slots=True)
class _Replica:
    rules: RateLimit
    level: float
    filled_s: float
    own: BucketUsage = BucketUsage()
    window: _Window = field(default_factory=_Window)
    use_by_peer: dict[str, BucketUsage] = field(default_factory=dict)

    def reserved(self) -> float:
        """Returns the tokens reserved at all relays."""
        return self.own.reserved + sum(
            use.reserved for use in self.use_by_peer.values()
        )


class ReplicatedRateLimiter:
    """The buckets of all workspaces at one relay.

    Args:
        tolerance: By how much limits may be exceeded.
        started_s: When this relay started, knowing nothing of what was charged before;
            None if nothing was.
    """

    def __init__(
        self, tolerance: RateTolerance, started_s: float | None = None
    ) -> None:
        self._tolerance = tolerance
        self._started_s = started_s
        self._replica_by_workspace: dict[str, _Replica] = {}
        self._silent_share = 0.0
        self._part = MIN_TOLERANCE_FRACTION

    def set_silent_peers(self, silent_peers: int, members: int) -> None:
        """Sets aside the part of peers that may serve callers unheard.

        Args:
            silent_peers: Peers that are out of reach and not known to be gone.
            members: All relays, this one included.
        """
        self._silent_share = silent_peers / max(1, members)
        part = MAX_TOLERANCE_FRACTION - TOLERANCE_FRACTION_PER_RELAY * members
        self._part = max(MIN_TOLERANCE_FRACTION, part)

    def reserve(
        self, workspace: str, rules: RateLimit, tokens: float, now: float
    ) -> Reservation:
        """Reserves a request's tokens if its window has room.

        The bucket tells whether the workspace is within its share; relays that cannot
        hear one another would each grant a burst, so the window has the last word.

        Args:
            workspace: Workspace to charge.
            rules: Its limits.
            tokens: What the request can use.
            now: Present time in s.
        """
        replica = self._replica(workspace, rules, now)
        self._refill(replica, now)
        missing = min(tokens, rules.burst) - replica.level
        within = missing <= 0 or self._tolerance.allows_overage
        if not within or not self._has_room(replica, tokens, now):
            wait_s = max(MIN_WAIT_S, missing / max(1e-9, self._rate(replica)))
            return Reservation(wait_s)
        replica.level = max(-rules.burst, replica.level - tokens)
        charged, reserved = replica.own
        replica.own = BucketUsage(charged, reserved + tokens)
        return Reservation(beyond_share=missing > 0)

    def settle(self, workspace: str, tokens: float, ran: bool, now: float) -> None:
        """Ends a reservation.

        Args:
            workspace: Workspace of the request.
            tokens: What was reserved.
            ran: True if the request has run or may have run.
            now: Present time in s.
        """
        replica = self._replica_by_workspace.get(workspace)
        if replica is None:
            return
        charged, reserved = replica.own
        if ran:
            replica.own = BucketUsage(charged + tokens, reserved - tokens)
            replica.window.add(tokens, now)
        else:
            replica.own = BucketUsage(charged, reserved - tokens)
            replica.level = min(replica.rules.burst, replica.level + tokens)

    def _has_room(self, replica: _Replica, tokens: float, now: float) -> bool:
        """Tells whether the window has room, less the part of silent peers."""
        allowed = self._tolerance.window_limit(replica.rules, self._part)
        allowed *= 1.0 - self._silent_share
        window_s = self._tolerance.window_s + COUNT_DELAY_S
        used = replica.window.sum(window_s, now) + replica.reserved()
        return used + tokens <= allowed

    def level(self, workspace: str) -> float:
        """Returns the tokens that a workspace had left when it was last charged."""
        replica = self._replica_by_workspace.get(workspace)
        return 0.0 if replica is None else replica.level

    def local_usage(self) -> dict[str, BucketUsage]:
        """Returns what this relay has used, for its peers."""
        return {
            workspace: replica.own
            for workspace, replica in self._replica_by_workspace.items()
        }

    def on_peer_usage(
        self,
        peer: str,
        workspace: str,
        use: BucketUsage,
        rules: RateLimit,
        now: float,
        count_first_total: bool = True,
    ) -> None:
        """Takes what a peer has used.

        Args:
            peer: The peer in its present life; sums start anew with each life.
            workspace: Workspace used.
            use: What it has used.
            rules: Limits of the workspace.
            now: Present time in s.
            count_first_total: True if the peer's first totals hold only what counts
                here: the peer is younger than this relay or than a window.
        """
        replica = self._replica(workspace, rules, now)
        self._refill(replica, now)
        unknown = BucketUsage() if count_first_total else BucketUsage(use.charged)
        before = replica.use_by_peer.get(peer, unknown)
        replica.use_by_peer[peer] = use
        level = replica.level - (use.total - before.total)
        replica.level = max(-rules.burst, min(rules.burst, level))
        replica.window.add(use.charged - before.charged, now)

    def remove_peer(self, peer: str) -> None:
        """Drops what is known of a peer's life that has ended."""
        for replica in self._replica_by_workspace.values():
            replica.use_by_peer.pop(peer, None)

    def retain_workspaces(self, workspaces: set[str]) -> None:
        """Drops the replicas of workspaces that no longer exist."""
        for workspace in set(self._replica_by_workspace) - workspaces:
            del self._replica_by_workspace[workspace]

    def _replica(self, workspace: str, rules: RateLimit, now: float) -> _Replica:
        replica = self._replica_by_workspace.get(workspace)
        if replica is None:
            replica = _Replica(rules, rules.burst * FRESH_SHARE, now)
            self._assume_past(replica)
            self._replica_by_workspace[workspace] = replica
        elif replica.rules != rules:
            self._refill(replica, now)
            replica.rules = rules
            replica.level = min(replica.level, rules.burst)
        return replica

    def _assume_past(self, replica: _Replica) -> None:
        """Fills the window as if the limit had been used up evenly before the start.

        All relays may have been killed at once; a window that began empty would then
        let the same requests in twice. What is assumed leaves the window second by
        second, and the part of the last moments before the start is free at once.
        """
        if self._started_s is None:
            return
        window_s = self._tolerance.window_s
        allowed = self._tolerance.window_limit(replica.rules, self._part)
        steps = int(window_s / ASSUMED_STEP_S)
        for step in range(steps - 1, ASSUMED_FREE_STEPS - 1, -1):
            at = self._started_s - step * ASSUMED_STEP_S
            replica.window.add(allowed / steps, at)

    def _refill(self, replica: _Replica, now: float) -> None:
        if now > replica.filled_s:
            gained = (now - replica.filled_s) * self._rate(replica)
            replica.level = min(replica.rules.burst, replica.level + gained)
            replica.filled_s = now

    def _rate(self, replica: _Replica) -> float:
        return replica.rules.rate * (1.0 - self._silent_share)
