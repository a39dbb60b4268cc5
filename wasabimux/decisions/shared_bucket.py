"""Token bucket of each workspace, replicated at every relay.

A request reserves its tokens on admission. The tokens are charged if the request has
run or may have run, and released at once if it was refused. Each relay reports its
charged and reserved tokens to the others, so the replicas differ only by the changes
that have not reached them yet. A relay that cannot be reached may still serve clients:
its equal share of the rate is withheld until it is heard again.

A caller that takes up a stream is charged like any other, as the stream runs again. But
it comes before those that begin: new requests leave room for the streams that were
refused and come back, and right after a start, when many come, they get less of the
tolerance.
"""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import NamedTuple

from wasabimux.decisions.charge_window import ChargeWindow, ReportedCharges
from wasabimux.decisions.rate import RateLimit
from wasabimux.ids import RequestId

#: Fraction of the tolerance that relays use; the rest covers charges before a restart.
TOLERANCE_FRACTION = 0.8

#: Fraction of the tolerance that new requests may use within START_PERIOD_S.
START_TOLERANCE_FRACTION = 0.4

#: Time in s over which the demand of a workspace is measured. What relays admit before
#: they hear of each other's admissions is at most what is asked of them meanwhile, and
#: an average over a longer time lags behind a demand that rises.
DEMAND_PERIOD_S = 0.5

#: Age in s up to which news of other relays' usage is as late as in calm.
FRESH_NEWS_S = 0.5

#: Interval in s between the charges that are assumed before a start, and the number of
#: intervals right before it without any, as a start takes longer than these.
ASSUMED_CHARGE_INTERVAL_S = 0.5
SKIPPED_CHARGE_INTERVALS = 3

#: Shortest wait in s that is returned for a refused request.
MIN_RETRY_AFTER_S = 0.1

#: Time in s after its retry delay for which room is kept for a refused stream.
RETURN_PERIOD_S = 0.3

#: Time in s after a start within which callers take up what broke off before it.
START_PERIOD_S = 3.0

#: Most refused streams of a workspace for which room is kept.
MAX_RETURNING_STREAMS = 256

#: Longest time in s by which a request is charged before its upstream counts it.
UPSTREAM_COUNT_DELAY_S = 0.3

#: Fraction of the burst that a new replica without history starts with.
INITIAL_LEVEL_FRACTION = 0.5


class RateTolerance(NamedTuple):
    """How far the charges of a time window may exceed a rate limit.

    Attributes:
        window_s: Length of the window in s.
        overage_share: Allowed excess, as a fraction of the limit for one window.
        slack_tokens: Allowed excess in tokens, in addition to `overage_share`.
    """

    window_s: float
    overage_share: float
    slack_tokens: float

    @property
    def allows_overage(self) -> bool:
        """True if a workspace may use more tokens than its bucket holds."""
        return self.overage_share > 0 or self.slack_tokens > 0

    def window_limit(self, limit: RateLimit, fraction: float) -> float:
        """Returns the maximum number of tokens charged in one window.

        Args:
            limit: Rate limit of the workspace.
            fraction: Fraction of the tolerance that is used.
        """
        allowed = limit.rate * self.window_s + limit.burst
        return allowed + fraction * (allowed * self.overage_share + self.slack_tokens)


class BucketUsage(NamedTuple):
    """Tokens of a workspace's rate limit that one relay or several use.

    Attributes:
        charged: Tokens of requests that have run, charged within the last window.
        reserved: Tokens of requests in flight.
        asked: Tokens of all requests within the last DEMAND_PERIOD_S, refused or not.
        returning: Tokens of taken-up streams that were refused and will come back.
    """

    charged: float = 0.0
    reserved: float = 0.0
    asked: float = 0.0
    returning: float = 0.0

    @property
    def total(self) -> float:
        """Sum of the charged and the reserved tokens."""
        return self.charged + self.reserved


class Reservation(NamedTuple):
    """Result of a reservation of tokens for a request.

    Attributes:
        wait_s: Time in s until the tokens may be available; 0 if they were reserved.
        beyond_share: True if the request exceeds the bucket's level and was admitted
            only because of the tolerance.
    """

    wait_s: float = 0.0
    beyond_share: bool = False


class _ReturningStream(NamedTuple):
    """Tokens of a stream, and the time in s until which room is kept for it."""

    tokens: float
    until_s: float


class _ReturningStreams:
    """Taken-up streams of a workspace whose callers were refused and will come back."""

    __slots__ = ("_stream_by_id",)

    def __init__(self) -> None:
        self._stream_by_id: dict[RequestId, _ReturningStream] = {}

    def add(self, stream: RequestId, tokens: float, until_s: float) -> None:
        self.remove(stream)
        if len(self._stream_by_id) < MAX_RETURNING_STREAMS:
            self._stream_by_id[stream] = _ReturningStream(tokens, until_s)

    def remove(self, stream: RequestId) -> None:
        self._stream_by_id.pop(stream, None)

    def tokens(self, now: float) -> float:
        """Returns the tokens of all streams, and drops those that did not return."""
        self._stream_by_id = {
            stream: item
            for stream, item in self._stream_by_id.items()
            if item.until_s > now
        }
        return sum(item.tokens for item in self._stream_by_id.values())


@dataclass(slots=True)
class _Replica:
    limit: RateLimit
    level: float
    refilled_s: float
    own_reserved: float = 0.0
    others_reserved: float = 0.0
    own_window: ChargeWindow = field(default_factory=ChargeWindow)
    others_window: ReportedCharges = field(default_factory=ReportedCharges)
    assumed_window: ChargeWindow = field(default_factory=ChargeWindow)
    asked_window: ChargeWindow = field(default_factory=ChargeWindow)
    others_asked: float = 0.0
    returning: _ReturningStreams = field(default_factory=_ReturningStreams)
    others_returning: float = 0.0

    def used(self, window_s: float, now: float) -> float:
        """Returns the tokens known as reserved, and as charged in a window."""
        charged = self.own_window.sum(window_s, now)
        charged += self.others_window.sum(window_s, now)
        return charged + self.own_reserved + self.others_reserved


class ReplicatedRateLimiter:
    """One relay's replicas of the token buckets of all workspaces.

    Args:
        tolerance: How far rate limits may be exceeded.
        started_s: Time at which this relay started without knowing earlier charges;
            None if there are none.
    """

    def __init__(
        self, tolerance: RateTolerance, started_s: float | None = None
    ) -> None:
        self._tolerance = tolerance
        self._started_s = started_s
        self._replica_by_workspace: dict[str, _Replica] = {}
        self._silent_share = 0.0
        self._report_delay_s = 0.0
        self._news_age_s = 0.0

    def set_peers(
        self,
        silent_peer_count: int,
        relay_count: int,
        report_delay_s: float,
        news_age_s: float = 0.0,
    ) -> None:
        """Withholds what peers may be using without a report of it.

        Args:
            silent_peer_count: Peers that are unreachable and not known to have ended.
                Their share of the rate is withheld.
            relay_count: All relays, including this one.
            report_delay_s: Longest time in s until this relay knows what others admit,
                in calm.
            news_age_s: Age in s of what it knows.
        """
        self._silent_share = silent_peer_count / max(1, relay_count)
        self._report_delay_s = report_delay_s
        self._news_age_s = news_age_s

    def reserve(
        self,
        workspace: str,
        limit: RateLimit,
        tokens: float,
        now: float,
        taken_up: RequestId | None = None,
    ) -> Reservation:
        """Reserves a request's tokens if the window's limit allows it.

        The bucket shows whether the workspace is within its rate limit. Relays that do
        not hear each other would each grant a full burst, so the window must have room
        as well.

        Args:
            workspace: Workspace to charge.
            limit: Rate limit of the workspace.
            tokens: Maximum number of tokens that the request can use.
            now: Current time in s.
            taken_up: Stream that the request takes up, None if it begins one.
        """
        replica = self._replica(workspace, limit, now)
        self._refill(replica, now)
        replica.asked_window.add(tokens, now)
        shortfall = min(tokens, limit.burst) - replica.level
        if taken_up is None:
            missing = self._missing_for_new(replica, tokens, shortfall, now)
            wait_s = shortfall / max(1e-9, self._available_rate(replica))
        else:
            replica.returning.remove(taken_up)
            missing = self._missing_room(replica, tokens, TOLERANCE_FRACTION, now)
            wait_s = self._wait_for_room(replica, missing, now)
        within_limit = shortfall <= 0 or self._tolerance.allows_overage
        if not within_limit or missing > 0:
            wait_s = max(MIN_RETRY_AFTER_S, wait_s)
            if taken_up is not None:
                replica.returning.add(taken_up, tokens, now + wait_s + RETURN_PERIOD_S)
            return Reservation(wait_s)
        replica.level = max(-limit.burst, replica.level - tokens)
        replica.own_reserved += tokens
        return Reservation(beyond_share=shortfall > 0)

    def settle(self, workspace: str, tokens: float, ran: bool, now: float) -> None:
        """Ends a reservation: charges its tokens or releases them.

        Args:
            workspace: Workspace of the request.
            tokens: Tokens that were reserved.
            ran: True if the request has run or may have run.
            now: Current time in s.
        """
        replica = self._replica_by_workspace.get(workspace)
        if replica is None:
            return
        replica.own_reserved = max(0.0, replica.own_reserved - tokens)
        if ran:
            replica.own_window.add(tokens, now)
        else:
            replica.level = min(replica.limit.burst, replica.level + tokens)

    def _missing_for_new(
        self, replica: _Replica, tokens: float, shortfall: float, now: float
    ) -> float:
        """Returns the tokens that the window lacks for a request that begins anew.

        Room that callers come back for is none for it. Right after a start, when they
        come for the first time, nor is a part of the tolerance, unless the workspace is
        within its limit.
        """
        fraction = TOLERANCE_FRACTION
        if shortfall > 0 and self._has_just_started(now):
            fraction = START_TOLERANCE_FRACTION
        missing = self._missing_room(replica, tokens, fraction, now)
        return missing + self._returning(replica, now)

    def _missing_room(
        self, replica: _Replica, tokens: float, fraction: float, now: float
    ) -> float:
        """Returns the tokens that the window lacks for a request, 0 or less if none.

        What peers may be using is no room.

        Args:
            replica: Replica of the workspace.
            tokens: Tokens of the request.
            fraction: Fraction of the tolerance that the request may use.
            now: Current time in s.
        """
        allowed = self._tolerance.window_limit(replica.limit, fraction)
        allowed -= replica.assumed_window.sum(self.counted_s, now)
        allowed *= 1.0 - self._silent_share
        used = replica.used(self.counted_s, now) + self._unreported(replica, now)
        return used + tokens - allowed

    def _wait_for_room(self, replica: _Replica, missing: float, now: float) -> float:
        """Returns the time in s until a window in full use has room.

        Streams whose callers were refused before come first.
        """
        allowed = self._tolerance.window_limit(replica.limit, TOLERANCE_FRACTION)
        freed_per_s = allowed * (1.0 - self._silent_share) / self._tolerance.window_s
        return (missing + self._returning(replica, now)) / max(1e-9, freed_per_s)

    def _has_just_started(self, now: float) -> bool:
        """Returns whether callers take up now what broke off before the start."""
        return self._started_s is not None and now < self._started_s + START_PERIOD_S

    def _returning(self, replica: _Replica, now: float) -> float:
        """Returns the tokens of the streams whose callers come back to any relay."""
        return replica.returning.tokens(now) + replica.others_returning

    def _unreported(self, replica: _Replica, now: float) -> float:
        """Returns the tokens that other relays may have admitted without a report.

        Taken from the tolerance only, so that a steady load gets its rate, while the
        news of others is fresh.
        """
        own_asked = replica.asked_window.sum(DEMAND_PERIOD_S, now)
        asked_per_s = (own_asked + replica.others_asked) / DEMAND_PERIOD_S
        unreported = asked_per_s * self._report_delay_s
        with_tolerance = self._tolerance.window_limit(replica.limit, TOLERANCE_FRACTION)
        without_tolerance = self._tolerance.window_limit(replica.limit, 0.0)
        unreported = min(unreported, with_tolerance - without_tolerance)
        return unreported + asked_per_s * max(0.0, self._news_age_s - FRESH_NEWS_S)

    @property
    def counted_s(self) -> float:
        """Time in s for which a charge counts."""
        return self._tolerance.window_s + UPSTREAM_COUNT_DELAY_S

    def level(self, workspace: str) -> float:
        """Returns a workspace's bucket level as of its last update, in tokens."""
        replica = self._replica_by_workspace.get(workspace)
        return 0.0 if replica is None else replica.level

    def local_usage(self, now: float) -> dict[str, BucketUsage]:
        """Returns this relay's usage by workspace, for its peers."""
        return {
            workspace: BucketUsage(
                replica.own_window.sum(self.counted_s, now),
                replica.own_reserved,
                replica.asked_window.sum(DEMAND_PERIOD_S, now),
                replica.returning.tokens(now),
            )
            for workspace, replica in self._replica_by_workspace.items()
        }

    def on_others_usage(
        self, workspace: str, usage: BucketUsage, limit: RateLimit, now: float
    ) -> None:
        """Applies the usage of all other relays to the replica of a workspace.

        What was charged before stays in the window when a relay ends and its part is
        missing from the usage. What that relay had reserved may have run as well.

        Args:
            workspace: Workspace that the tokens were used for.
            usage: Usage of the other relays.
            limit: Rate limit of the workspace.
            now: Current time in s.
        """
        replica = self._replica(workspace, limit, now)
        self._refill(replica, now)
        window = replica.others_window
        reserved = usage.reserved - replica.others_reserved
        if window.take_missing(usage.charged, self.counted_s, now):
            window.add_ended(max(0.0, -reserved), now)
            reserved = max(0.0, reserved)
        charged = window.add_reported(usage.charged, self.counted_s, now)
        replica.others_reserved = usage.reserved
        replica.others_asked = usage.asked
        replica.others_returning = usage.returning
        level = replica.level - charged - reserved
        replica.level = max(-limit.burst, min(limit.burst, level))

    def retain_workspaces(self, workspaces: set[str], now: float) -> None:
        """Drops the replicas of workspaces that no longer exist.

        Those that still count charges are kept, as a workspace may come back.
        """
        for workspace in set(self._replica_by_workspace) - workspaces:
            if self._has_run_out(self._replica_by_workspace[workspace], now):
                del self._replica_by_workspace[workspace]

    def _has_run_out(self, replica: _Replica, now: float) -> bool:
        """Returns whether a new replica would allow no more than this one."""
        self._refill(replica, now)
        initial_level = replica.limit.burst * INITIAL_LEVEL_FRACTION
        is_used = replica.used(self.counted_s, now) > 0
        return not is_used and replica.level >= initial_level

    def _replica(self, workspace: str, limit: RateLimit, now: float) -> _Replica:
        replica = self._replica_by_workspace.get(workspace)
        if replica is None:
            replica = _Replica(limit, limit.burst * INITIAL_LEVEL_FRACTION, now)
            self._add_assumed_charges(replica)
            self._replica_by_workspace[workspace] = replica
        elif replica.limit != limit:
            self._refill(replica, now)
            replica.limit = limit
            replica.level = min(replica.level, limit.burst)
        return replica

    def _add_assumed_charges(self, replica: _Replica) -> None:
        """Fills the window as if the limit had been used evenly before the start.

        All relays may have been killed at once; with an empty window they would then
        admit a full window's tokens again. The assumed charges expire from the window
        step by step, and the steps right before the start stay free.
        """
        if self._started_s is None:
            return
        window_s = self._tolerance.window_s
        allowed = self._tolerance.window_limit(replica.limit, TOLERANCE_FRACTION)
        intervals = int(window_s / ASSUMED_CHARGE_INTERVAL_S)
        for step in range(intervals - 1, SKIPPED_CHARGE_INTERVALS - 1, -1):
            charged_s = self._started_s - step * ASSUMED_CHARGE_INTERVAL_S
            replica.assumed_window.add(allowed / intervals, charged_s)

    def _refill(self, replica: _Replica, now: float) -> None:
        if now > replica.refilled_s:
            refilled = (now - replica.refilled_s) * self._available_rate(replica)
            replica.level = min(replica.limit.burst, replica.level + refilled)
            replica.refilled_s = now

    def _available_rate(self, replica: _Replica) -> float:
        return replica.limit.rate * (1.0 - self._silent_share)
