"""One token bucket a workspace, replicated at every relay.

Each relay charges its own requests at once and tells the others the sum of what it
has charged. So the replicas differ only by what was charged within one exchange
interval. A relay that is out of reach may go on serving callers: its equal part of
the rate is set aside until it is heard again.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from typing import NamedTuple

from wasabimux.decisions.rate import RateRules

#: Part of the tolerance that is used. The rest covers what relays charge before they
#: hear of one another, which is more the more relays there are, and what was charged
#: before a restart.
TOLERANCE_PART = 0.8
PART_LESS_A_RELAY = 0.025
MIN_TOLERANCE_PART = 0.2

#: Precision of a window's sum.
BIN_S = 0.2

#: Precision of what is assumed of the time before a start, and the steps right before
#: it for which nothing is assumed, as a start takes longer.
ASSUMED_STEP_S = 0.5
ASSUMED_FREE_STEPS = 3

#: Least wait that a refused caller is told.
MIN_WAIT_S = 0.1

#: Time by which a request may be charged later than its caller sent it.
SEND_DELAY_S = 0.3

#: Part of the burst with which a replica starts that knows nothing of the past.
FRESH_SHARE = 0.5


class RateTolerance(NamedTuple):
    """By how much the requests of a window may exceed a limit.

    Attributes:
        window_s: Length of the window.
        share: Part of what the limit allows in a window.
        tokens: Tokens beyond that part.
    """

    window_s: float
    share: float
    tokens: float

    @property
    def is_given(self) -> bool:
        """True if a workspace may use more than its bucket holds."""
        return self.share > 0 or self.tokens > 0

    def allowed(self, rules: RateRules, part: float) -> float:
        """Returns the most tokens that may be charged in one window.

        Args:
            rules: Limits of the workspace.
            part: Part of the tolerance that is used.
        """
        within = rules.rate * self.window_s + rules.burst
        return within + part * (within * self.share + self.tokens)


class Charge(NamedTuple):
    """What came of charging a request.

    Attributes:
        wait_s: Time until it can be charged; 0 if it was.
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
        """Adds tokens; takes them back from the oldest bins if negative.

        When they were charged is not known any more. Taken from newer bins they would
        be missed once the bin of their charge has left the window.
        """
        if tokens < 0:
            self._take_back(-tokens)
        elif self._bins and now - self._bins[-1][0] < BIN_S:
            since, before = self._bins.pop()
            self._bins.append((since, before + tokens))
        else:
            self._bins.append((now, tokens))
        self._sum += max(0.0, tokens)

    def _take_back(self, tokens: float) -> None:
        while tokens > 0 and self._bins:
            since, held = self._bins.popleft()
            taken = min(held, tokens)
            tokens -= taken
            self._sum -= taken
            if held > taken:
                self._bins.appendleft((since, held - taken))

    def sum(self, window_s: float, now: float) -> float:
        while self._bins and self._bins[0][0] <= now - window_s - BIN_S:
            self._sum -= self._bins.popleft()[1]
        return self._sum


@dataclass(slots=True)
class _Replica:
    rules: RateRules
    level: float
    filled_s: float
    charged: float = 0.0
    window: _Window = field(default_factory=_Window)
    charged_by_peer: dict[str, float] = field(default_factory=dict)


class SharedBuckets:
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
        self._part = MIN_TOLERANCE_PART

    def set_silent(self, silent_peers: int, members: int) -> None:
        """Sets aside the part of peers that may serve callers unheard.

        Args:
            silent_peers: Peers that are out of reach and not known to be gone.
            members: All relays, this one included.
        """
        self._silent_share = silent_peers / max(1, members)
        part = TOLERANCE_PART - PART_LESS_A_RELAY * members
        self._part = max(MIN_TOLERANCE_PART, part)

    def charge(
        self, workspace: str, rules: RateRules, tokens: float, now: float
    ) -> Charge:
        """Charges a request if its window has room.

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
        within = missing <= 0 or self._tolerance.is_given
        if not within or not self._has_room(replica, tokens, now):
            wait_s = max(MIN_WAIT_S, missing / max(1e-9, self._rate(replica)))
            return Charge(wait_s)
        replica.level = max(-rules.burst, replica.level - tokens)
        replica.charged += tokens
        replica.window.add(tokens, now)
        return Charge(beyond_share=missing > 0)

    def _has_room(self, replica: _Replica, tokens: float, now: float) -> bool:
        """Tells whether the window has room, less the part of silent peers."""
        allowed = self._tolerance.allowed(replica.rules, self._part)
        allowed *= 1.0 - self._silent_share
        window_s = self._tolerance.window_s + SEND_DELAY_S
        return replica.window.sum(window_s, now) + tokens <= allowed

    def refund(self, workspace: str, tokens: float, now: float) -> None:
        """Gives back what a request was charged that did not run."""
        replica = self._replica_by_workspace.get(workspace)
        if replica is not None:
            replica.level = min(replica.rules.burst, replica.level + tokens)
            replica.charged -= tokens
            replica.window.add(-tokens, now)

    def level(self, workspace: str) -> float:
        """Returns the tokens that a workspace had left when it was last charged."""
        replica = self._replica_by_workspace.get(workspace)
        return 0.0 if replica is None else replica.level

    def charged(self) -> dict[str, float]:
        """Returns the sums that this relay has charged, for its peers."""
        return {
            workspace: replica.charged
            for workspace, replica in self._replica_by_workspace.items()
        }

    def on_peer(
        self,
        peer: str,
        workspace: str,
        charged: float,
        rules: RateRules,
        now: float,
        recent: bool = True,
    ) -> None:
        """Takes the sum that a peer has charged.

        Args:
            peer: The peer in its present life; sums start anew with each life.
            workspace: Workspace charged.
            charged: Sum since the peer's start.
            rules: Limits of the workspace.
            now: Present time in s.
            recent: True if the peer's first sum holds only what counts here: the peer
                is younger than this relay or than a window.
        """
        replica = self._replica(workspace, rules, now)
        self._refill(replica, now)
        before = replica.charged_by_peer.get(peer, 0.0 if recent else charged)
        replica.charged_by_peer[peer] = charged
        level = replica.level - (charged - before)
        replica.level = max(-rules.burst, min(rules.burst, level))
        replica.window.add(charged - before, now)

    def forget_peer(self, peer: str) -> None:
        """Drops what is known of a peer's life that has ended."""
        for replica in self._replica_by_workspace.values():
            replica.charged_by_peer.pop(peer, None)

    def keep_only(self, workspaces: set[str]) -> None:
        """Drops the replicas of workspaces that no longer exist."""
        for workspace in set(self._replica_by_workspace) - workspaces:
            del self._replica_by_workspace[workspace]

    def _replica(self, workspace: str, rules: RateRules, now: float) -> _Replica:
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
        allowed = self._tolerance.allowed(replica.rules, self._part)
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
