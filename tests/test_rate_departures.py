"""Rate limits while relays end, start again, freeze or are cut off.

One law holds: never more than the bound of the pages, and never less than the limit
while all is calm.
"""

from __future__ import annotations

import random
from collections import deque
from dataclasses import dataclass, field

import pytest
from hypothesis import given, settings, strategies as st

from wasabimux.decisions.aggregation import FleetUsage, Scope, UsageReport
from wasabimux.decisions.charge_window import ReportedCharges
from wasabimux.decisions.rate import RateLimit
from wasabimux.decisions.shared_bucket import (
    BucketUsage,
    RateTolerance,
    ReplicatedRateLimiter,
)
from wasabimux.decisions.usage_sums import Usage, subtract_usage

WORKSPACE = "ropes"
TOLERANCE = RateTolerance(8.0, 0.1, 120_000.0)
LIMIT = RateLimit(52_000.0, 52_000.0)
RELAYS = 24
REQUEST_TOKENS = 5_100.0

#: Time in s between steps of the play, between reports, and for which a stream runs.
STEP_S = 0.02
REPORT_INTERVAL_S = 0.1
STREAM_S = 0.8

#: Longest time in s until a report is known.
REPORT_DELAY_S = 0.3

#: Time in s between the end of a process and the start of the next.
DOWN_S = 1.0


@dataclass
class _Member:
    """A relay of the play.

    Attributes:
        limiter: Its replica of the limit.
        down_until_s: Time in s until which its process does not run.
        frozen_until_s: Time in s until which its process stands still.
        incarnation: Number of its process.
        running: Time in s at which each of its streams ends, in order.
    """

    limiter: ReplicatedRateLimiter
    down_until_s: float = 0.0
    frozen_until_s: float = 0.0
    incarnation: int = 1
    running: deque[float] = field(default_factory=deque)

    def is_serving(self, now: float) -> bool:
        return now >= max(self.down_until_s, self.frozen_until_s)


@dataclass
class _Play:
    """Relays that admit the streams of one workspace and report to two aggregators.

    Attributes:
        rng: Source of randomness.
        aggregators: What the aggregators know; the first one leads.
        streams_per_s: Streams that callers ask for in a second.
        sent: Time in s and tokens of each stream that was sent to an upstream.
        refused: Streams that were refused.
    """

    rng: random.Random
    streams_per_s: float
    members: list[_Member] = field(default_factory=list)
    sent: list[tuple[float, float]] = field(default_factory=list)
    refused: int = 0
    aggregators: list[FleetUsage] = field(default_factory=list)
    _reported_s: float = 0.0

    def __post_init__(self) -> None:
        window_s = ReplicatedRateLimiter(TOLERANCE).counted_s
        self.aggregators = [FleetUsage("zone-a", window_s) for _ in range(2)]
        for _ in range(RELAYS):
            limiter = ReplicatedRateLimiter(TOLERANCE)
            limiter.set_peers(0, RELAYS, REPORT_DELAY_S)
            self.members.append(_Member(limiter))

    def kill(self, number: int, now: float) -> None:
        """Ends a relay's process; the next one knows nothing of before."""
        limiter = ReplicatedRateLimiter(TOLERANCE, now + DOWN_S)
        limiter.set_peers(0, RELAYS, REPORT_DELAY_S)
        incarnation = self.members[number].incarnation + 1
        self.members[number] = _Member(limiter, now + DOWN_S, 0.0, incarnation)

    def replace_lead(self, now: float) -> None:
        """Ends the leading aggregator; the other one hands over what it knows."""
        fresh = FleetUsage("zone-a", ReplicatedRateLimiter(TOLERANCE).counted_s)
        fresh.on_ended_charges(self.aggregators[1].ended_charges(now), now)
        self.aggregators[0] = fresh

    def freeze(self, number: int, now: float, for_s: float) -> None:
        """Lets a relay's process stand still for a time."""
        self.members[number].frozen_until_s = now + for_s

    def step(self, now: float) -> None:
        """Plays a step: ends streams, exchanges reports and admits new streams."""
        for member in self.members:
            while member.running and member.running[0] <= now:
                if not member.is_serving(now):
                    break
                member.running.popleft()
                member.limiter.settle(WORKSPACE, REQUEST_TOKENS, True, now)
        if now - self._reported_s >= REPORT_INTERVAL_S:
            self._reported_s = now
            self._exchange_reports(now)
        if self.rng.random() < self.streams_per_s * STEP_S:
            self._admit(now)

    def _admit(self, now: float) -> None:
        serving = [member for member in self.members if member.is_serving(now)]
        member = self.rng.choice(serving)
        if member.limiter.reserve(WORKSPACE, LIMIT, REQUEST_TOKENS, now).wait_s:
            self.refused += 1
            return
        member.running.append(now + STREAM_S)
        self.sent.append((now, REQUEST_TOKENS))

    def _exchange_reports(self, now: float) -> None:
        serving = [item for item in self.members if item.is_serving(now)]
        own_by_member = {id(item): item.limiter.local_usage(now) for item in serving}
        for number, member in enumerate(self.members):
            if not member.is_serving(now):
                continue
            usage = Usage(own_by_member[id(member)])
            report = UsageReport(Scope.RELAY, usage)
            for aggregator in self.aggregators:
                aggregator.on_report(
                    f"m{number}", member.incarnation, "zone-a", report, now
                )
        fleet = self.aggregators[0].others(True, now)
        for member in serving:
            others = subtract_usage(fleet, Usage(own_by_member[id(member)]))
            usage = others.bucket_by_workspace.get(WORKSPACE, BucketUsage())
            member.limiter.on_others_usage(WORKSPACE, usage, LIMIT, now)

    def most_in_a_window(self) -> float:
        """Returns the most tokens that were sent within one window."""
        most, tokens, first = 0.0, 0.0, 0
        for sent_s, cost in self.sent:
            tokens += cost
            while self.sent[first][0] <= sent_s - TOLERANCE.window_s:
                tokens -= self.sent[first][1]
                first += 1
            most = max(most, tokens)
        return most


def run(play: _Play, events: dict[int, tuple[str, int, float]], seconds: float) -> None:
    """Plays a time, with events by number of their step."""
    for step in range(round(seconds / STEP_S)):
        now = step * STEP_S
        if step in events:
            kind, number, for_s = events[step]
            if kind == "kill":
                play.kill(number, now)
            elif kind == "lead":
                play.replace_lead(now)
            else:
                play.freeze(number, now, for_s)
        play.step(now)


@pytest.mark.parametrize("seed", range(4))
def test_relays_restarted_in_turn_stay_within_the_bound(seed: int) -> None:
    """Regression: each relay that ended hid as many new charges of the others.

    A workspace sends eight times its limit while every relay is restarted in turn.
    """
    play = _Play(random.Random(seed), 8 * LIMIT.rate / REQUEST_TOKENS)
    events = {
        round((12.0 + 2.0 * number) / STEP_S): ("kill", number, 0.0)
        for number in range(RELAYS)
    }
    run(play, events, 64.0)
    assert play.most_in_a_window() <= TOLERANCE.window_limit(LIMIT, 1.0)


def test_in_calm_the_limit_is_served_whole() -> None:
    play = _Play(random.Random(1), 0.97 * LIMIT.rate / REQUEST_TOKENS)
    run(play, {}, 40.0)
    assert play.refused == 0


EVENT = st.tuples(
    st.integers(400, 1_600),
    st.sampled_from(["kill", "freeze", "lead"]),
    st.integers(0, RELAYS - 1),
    st.floats(0.2, 6.0),
)


@settings(max_examples=25, deadline=None, derandomize=True)
@given(st.lists(EVENT, max_size=16), st.integers(0, 1_000), st.floats(0.9, 10.0))
def test_no_window_exceeds_the_bound(
    drawn: list[tuple[int, str, int, float]], seed: int, load: float
) -> None:
    """Relays end, freeze and come back while a workspace asks for any load."""
    play = _Play(random.Random(seed), load * LIMIT.rate / REQUEST_TOKENS)
    events = {step: (kind, number, for_s) for step, kind, number, for_s in drawn}
    run(play, events, 40.0)
    assert play.most_in_a_window() <= TOLERANCE.window_limit(LIMIT, 1.0)


def test_charges_that_a_relay_took_along_hide_none_of_the_others() -> None:
    charges = ReportedCharges()
    charges.add_reported(1_000.0, 8.0, 0.0)
    charges.take_missing(600.0, 8.0, 2.0)  # a relay with 400 tokens has ended
    charges.add_reported(600.0, 8.0, 2.0)
    assert charges.sum(8.0, 2.0) == pytest.approx(1_000.0)
    assert charges.add_reported(700.0, 8.0, 3.0) == pytest.approx(100.0)
    assert charges.sum(8.0, 3.0) == pytest.approx(1_100.0)
    assert charges.sum(8.0, 9.0) == pytest.approx(100.0)


def test_charges_that_expire_are_not_taken_for_missing() -> None:
    charges = ReportedCharges()
    charges.add_reported(1_000.0, 8.0, 0.0)
    assert charges.take_missing(0.0, 8.0, 7.5) == 0.0
