"""One token bucket a workspace, replicated at every relay.

Each relay charges its own requests at once and tells the others the sum of what it
has charged. So the replicas differ only by what was charged within one exchange
interval. A relay that is out of reach may go on serving callers: its equal part of
the rate is set aside until it is heard again.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from wasabimux.decisions.rate import RateRules

#: Part of the burst with which a replica starts that knows nothing of the past.
FRESH_SHARE = 0.5


@dataclass(slots=True)
class _Replica:
    rules: RateRules
    level: float
    filled_s: float
    charged: float = 0.0
    charged_by_peer: dict[str, float] = field(default_factory=dict)


class SharedBuckets:
    """The buckets of all workspaces at one relay."""

    def __init__(self) -> None:
        self._replica_by_workspace: dict[str, _Replica] = {}
        self._silent_share = 0.0

    def set_silent(self, silent_peers: int, members: int) -> None:
        """Sets aside the part of peers that may serve callers unheard.

        Args:
            silent_peers: Peers that are out of reach and not known to be gone.
            members: All relays, this one included.
        """
        self._silent_share = silent_peers / max(1, members)

    def charge(
        self, workspace: str, rules: RateRules, tokens: float, now: float
    ) -> float:
        """Charges a request.

        Args:
            workspace: Workspace to charge.
            rules: Its limits.
            tokens: What the request can use.
            now: Present time in s.

        Returns:
            0 if it was charged, else the time in s until it can be.
        """
        replica = self._replica(workspace, rules, now)
        self._refill(replica, now)
        missing = min(tokens, rules.burst) - replica.level
        if missing > 0:
            return missing / max(1e-9, self._rate(replica))
        replica.level -= tokens
        replica.charged += tokens
        return 0.0

    def refund(self, workspace: str, tokens: float) -> None:
        """Gives back what a request was charged that did not run."""
        replica = self._replica_by_workspace.get(workspace)
        if replica is not None:
            replica.level = min(replica.rules.burst, replica.level + tokens)
            replica.charged -= tokens

    def charged(self) -> dict[str, float]:
        """Returns the sums that this relay has charged, for its peers."""
        return {
            workspace: replica.charged
            for workspace, replica in self._replica_by_workspace.items()
        }

    def on_peer(
        self, peer: str, workspace: str, charged: float, rules: RateRules, now: float
    ) -> None:
        """Takes the sum that a peer has charged.

        Args:
            peer: The peer in its present life; sums start anew with each life.
            workspace: Workspace charged.
            charged: Sum since the peer's start.
            rules: Limits of the workspace.
            now: Present time in s.
        """
        replica = self._replica(workspace, rules, now)
        self._refill(replica, now)
        before = replica.charged_by_peer.get(peer)
        replica.charged_by_peer[peer] = charged
        if before is not None:
            replica.level = min(rules.burst, replica.level - (charged - before))

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
            self._replica_by_workspace[workspace] = replica
        elif replica.rules != rules:
            self._refill(replica, now)
            replica.rules = rules
            replica.level = min(replica.level, rules.burst)
        return replica

    def _refill(self, replica: _Replica, now: float) -> None:
        if now > replica.filled_s:
            gained = (now - replica.filled_s) * self._rate(replica)
            replica.level = min(replica.rules.burst, replica.level + gained)
            replica.filled_s = now

    def _rate(self, replica: _Replica) -> float:
        return replica.rules.rate * (1.0 - self._silent_share)
