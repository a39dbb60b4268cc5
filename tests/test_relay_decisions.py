"""Decisions of the relay, without a network."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

import pytest

from wasabimux.decisions.decode_queue import (
    EngineRoom,
    WaitingStream,
    expected_wait_s,
    order_waiting,
    roomier_of_two,
)
from wasabimux.decisions.memory_forecast import (
    FILL,
    HORIZONS_S,
    NOTHING,
    StreamState,
    fits,
    forecast,
    total,
)
from wasabimux.decisions.phase_plan import (
    PhasedEngine,
    StreamCost,
    next_change,
    wanted_prefill,
)
from wasabimux.decisions.rate import RateLimit
from wasabimux.decisions.retry_window import (
    RetryLimits,
    ServiceRetryBudgets,
    WindowedRetryBudget,
)
from wasabimux.decisions.route_table import RouteTable, draw_weighted
from wasabimux.decisions.shared_bucket import (
    MAX_TOLERANCE_FRACTION,
    MIN_TOLERANCE_FRACTION,
    TOLERANCE_FRACTION_PER_RELAY,
    BucketUsage,
    RateTolerance,
    ReplicatedRateLimiter,
)
from wasabimux.decisions.stream_estimates import StreamEstimates
from wasabimux.decisions.upstream_choice import CallCandidate, choose_upstream
from wasabimux.decisions.upstream_health import FAILURES_IN_A_ROW, UpstreamHealth
from wasabimux.ids import FailureDomainId, UpstreamId

STRICT = RateTolerance(1.0, 0.0, 0.0)
TOLERANT = RateTolerance(8.0, 0.1, 120_000.0)
MEMORY_TOKENS = 87_238


class PathRoute(NamedTuple):
    """A route for the table."""

    name: str
    host: str
    path_prefix: str


class WeightedChoice(NamedTuple):
    """A choice for a draw."""

    name: str
    weight: float


def test_longest_prefix_of_the_host_wins() -> None:
    table = RouteTable(
        [
            PathRoute("short", "a.example", "/x/"),
            PathRoute("long", "a.example", "/x/y/"),
            PathRoute("other", "b.example", "/x/"),
        ]
    )
    found = [
        table.find("A.example:80", "/x/y/z"),
        table.find("a.example", "/x/z"),
        table.find("b.example", "/x/y/z"),
        table.find("a.example", "/x"),
        table.find("c.example", "/x/"),
    ]
    assert [route and route.name for route in found] == [
        "long",
        "short",
        "other",
        None,
        None,
    ]


def test_draws_follow_the_weights() -> None:
    choices = [WeightedChoice("most", 90), WeightedChoice("few", 10)]
    rng = random.Random(1)
    drawn = [draw_weighted(choices, rng).name for _ in range(2_000)]
    assert 0.86 < drawn.count("most") / len(drawn) < 0.94


def test_replicas_that_hear_one_another_keep_one_limit() -> None:
    """Three relays with four times the rate charge one share between them."""
    rules = RateLimit(1_000.0, 1_000.0)
    replicas = [ReplicatedRateLimiter(STRICT) for _ in range(3)]
    charged = 0.0
    for step in range(400):
        now = step * 0.05
        if step % 2 == 0:
            tell_all(replicas, rules, now)
        if run_at_once(replicas[step % 3], rules, 200.0, now):
            charged += 200.0
    assert charged <= rules.rate * 20.0 + rules.burst + 2 * 200.0
    assert charged >= 0.9 * rules.rate * 20.0


def test_relays_out_of_reach_do_not_each_grant_a_burst() -> None:
    """Failed first: cut-off relays each admitted a whole burst of the bucket."""
    rules = RateLimit(66_591.0, 66_591.0)
    replicas = [ReplicatedRateLimiter(TOLERANT) for _ in range(3)]
    for replica in replicas:
        replica.set_silent_peers(2, 3)
    charged = 0.0
    for step in range(800):
        for replica in replicas:
            if run_at_once(replica, rules, 2_000.0, step * 0.01):
                charged += 2_000.0
    within = rules.rate * TOLERANT.window_s + rules.burst
    assert charged <= within * (1 + TOLERANT.overage_share) + TOLERANT.slack_tokens


def test_what_did_not_run_is_given_back() -> None:
    rules = RateLimit(100.0, 1_000.0)
    buckets = ReplicatedRateLimiter(STRICT)
    assert not buckets.reserve("ropes", rules, 400.0, 0.0).wait_s
    assert buckets.reserve("ropes", rules, 900.0, 0.0).wait_s > 0
    buckets.settle("ropes", 400.0, ran=False, now=0.0)
    assert buckets.local_usage() == {"ropes": BucketUsage()}
    assert not buckets.reserve("ropes", rules, 400.0, 0.1).wait_s


def test_refusals_never_make_room_for_what_has_run() -> None:
    """Failed first: a late refund left a window short once its charge had left it.

    Every second request is refused 3 s after it was admitted. A single replica hears
    of all of them, so what runs in any window of 8 s keeps to the part in use.
    """
    rules = RateLimit(16_659.0, 59_969.0)
    buckets = ReplicatedRateLimiter(TOLERANT)
    buckets.set_silent_peers(0, 6)
    ran: list[tuple[float, float]] = []
    refused_s: list[float] = []
    for step in range(1_200):
        now = step * 0.05
        while refused_s and refused_s[0] <= now:
            refused_s.pop(0)
            buckets.settle("ropes", 8_000.0, ran=False, now=now)
        if buckets.reserve("ropes", rules, 8_000.0, now).wait_s:
            continue
        if step % 2:
            refused_s.append(now + 3.0)
        else:
            buckets.settle("ropes", 8_000.0, ran=True, now=now)
            ran.append((now, 8_000.0))
    allowed = TOLERANT.window_limit(
        rules, MAX_TOLERANCE_FRACTION - 6 * TOLERANCE_FRACTION_PER_RELAY
    )
    for since, _ in ran:
        in_window = sum(cost for at, cost in ran if since <= at < since + 8.0)
        assert in_window <= allowed


def test_refused_requests_leave_no_trace_in_the_window() -> None:
    """Failed first: refusals were taken off the oldest charges and counted for 8 s."""
    rules = RateLimit(10_000.0, 10_000.0)
    buckets = ReplicatedRateLimiter(TOLERANT)
    allowed = TOLERANT.window_limit(rules, MIN_TOLERANCE_FRACTION)
    assert run_at_once(buckets, rules, 0.5 * allowed, 0.0)
    assert not buckets.reserve("ropes", rules, 0.5 * allowed, 4.0).wait_s
    buckets.settle("ropes", 0.5 * allowed, ran=False, now=5.0)
    assert run_at_once(buckets, rules, 0.5 * allowed, 5.0)
    assert run_at_once(buckets, rules, 0.5 * allowed, 9.0)


def test_what_peers_have_reserved_takes_room() -> None:
    rules = RateLimit(10_000.0, 10_000.0)
    buckets = ReplicatedRateLimiter(TOLERANT)
    allowed = TOLERANT.window_limit(rules, MIN_TOLERANCE_FRACTION)
    use = BucketUsage(reserved=0.7 * allowed)
    buckets.on_peer_usage("peer", "ropes", use, rules, 0.0)
    assert buckets.reserve("ropes", rules, 0.5 * allowed, 0.1).wait_s
    buckets.on_peer_usage("peer", "ropes", BucketUsage(), rules, 0.2)
    assert not buckets.reserve("ropes", rules, 0.5 * allowed, 0.3).wait_s


@pytest.mark.parametrize("killed_s", [3.0, 5.0, 7.0])
def test_relays_killed_at_once_do_not_let_a_window_in_twice(killed_s: float) -> None:
    """Failed first: 635,030 tokens in 8 s around a kill of all, allowed 586,993."""
    rules = RateLimit(45_958.0, 45_958.0)
    down_s = 1.3
    charged: list[tuple[float, float]] = []
    for start_s, end_s in ((-8.0, killed_s), (killed_s + down_s, 16.0)):
        buckets = ReplicatedRateLimiter(TOLERANT, start_s)
        buckets.set_silent_peers(0, 4)
        for step in range(int((end_s - start_s) / 0.02)):
            now = start_s + step * 0.02
            if run_at_once(buckets, rules, 2_000.0, now):
                charged.append((now, 2_000.0))
    within = rules.rate * TOLERANT.window_s + rules.burst
    allowed = within * (1 + TOLERANT.overage_share) + TOLERANT.slack_tokens
    for since, _ in charged:
        assert sum(c for at, c in charged if since <= at < since + 8.0) <= allowed


def test_what_is_assumed_of_the_past_hinders_nobody_within_the_share() -> None:
    rules = RateLimit(45_958.0, 45_958.0)
    buckets = ReplicatedRateLimiter(TOLERANT, 0.0)
    buckets.set_silent_peers(0, 4)
    refused = [
        step
        for step in range(160)
        if not run_at_once(buckets, rules, rules.rate * 0.1, step * 0.1)
    ]
    assert refused == []


def test_tolerance_lets_in_and_says_so() -> None:
    rules = RateLimit(1_000.0, 2_000.0)
    buckets = ReplicatedRateLimiter(TOLERANT)
    first = buckets.reserve("ropes", rules, 1_000.0, 0.0)
    second = buckets.reserve("ropes", rules, 1_000.0, 0.0)
    assert (first.beyond_share, second.beyond_share) == (False, True)


def test_what_an_older_peer_charged_long_ago_does_not_count() -> None:
    rules = RateLimit(1_000.0, 10_000.0)
    buckets = ReplicatedRateLimiter(STRICT)
    buckets.on_peer_usage(
        "old", "ropes", BucketUsage(500_000.0), rules, 0.0, count_first_total=False
    )
    level = buckets.level("ropes")
    buckets.on_peer_usage(
        "old", "ropes", BucketUsage(501_000.0), rules, 0.0, count_first_total=False
    )
    assert buckets.level("ropes") == level - 1_000.0


def test_what_a_younger_peer_charged_first_counts() -> None:
    """Failed first: a peer's charges before its first word were never counted."""
    rules = RateLimit(1_000.0, 10_000.0)
    buckets = ReplicatedRateLimiter(STRICT)
    buckets.on_peer_usage("first", "ropes", BucketUsage(100.0), rules, 0.0)
    level = buckets.level("ropes")
    buckets.remove_peer("first")
    buckets.on_peer_usage("restarted", "ropes", BucketUsage(300.0), rules, 0.0)
    assert buckets.level("ropes") == level - 300.0


def test_retries_stay_within_the_ratio_and_the_part() -> None:
    window = WindowedRetryBudget(RetryLimits(0.2, 30.0, 10.0))
    assert not window.try_spend(0.0)  # a relay that starts does not know its part
    window.set_relay_count(3)
    for number in range(50):
        window.on_request(number * 0.1)
    allowed = sum(window.try_spend(5.0) for _ in range(100))
    assert allowed == 20
    assert window.try_spend(16.0)


def test_refused_sends_count_against_the_budget() -> None:
    """Failed first: prompts that engines refused to read were not counted."""
    window = WindowedRetryBudget(RetryLimits(0.0, 2.0, 10.0))
    window.set_relay_count(1)
    window.record_retry(0.0)
    assert [window.try_spend(1.0) for _ in range(2)] == [True, False]


@pytest.mark.parametrize(("members", "late_steps"), [(6, 20), (23, 50)])
def test_late_word_of_many_relays_stays_within_the_tolerance(
    members: int, late_steps: int
) -> None:
    """Failed first with 23 relays, some slow, that hear of charges 0.5 s late.

    The load is 7.5 times what the workspace may send.
    """
    rules = RateLimit(27_800.0, 27_800.0)
    replicas = [ReplicatedRateLimiter(TOLERANT) for _ in range(members)]
    for replica in replicas:
        replica.set_silent_peers(0, members)
    charged = 0.0
    for step in range(800):
        now = step * 0.01
        if step % late_steps == 0:
            tell_all(replicas, rules, now)
        replica = replicas[step % members]
        if run_at_once(replica, rules, 2_000.0, now):
            charged += 2_000.0
    within = rules.rate * TOLERANT.window_s + rules.burst
    assert charged <= within * (1 + TOLERANT.overage_share) + TOLERANT.slack_tokens


def test_each_service_has_a_budget_of_its_own() -> None:
    """Failed first: retries of one service used up those of the other."""
    retries = ServiceRetryBudgets(RetryLimits(0.2, 4.0, 10.0))
    retries.set_relay_count(2)
    assert [retries.for_service("engines").try_spend(0.0) for _ in range(3)].count(
        True
    ) == 2
    assert retries.for_service("desk").try_spend(0.0)


def test_a_failing_upstream_rests_and_is_forgiven() -> None:
    health = UpstreamHealth()
    for _ in range(FAILURES_IN_A_ROW):
        health.on_failure(1.0)
    assert health.is_resting(1.1)
    assert not health.is_resting(2.0)
    assert health.failure_share(20.0) < 0.1 * health.failure_share(1.0)


def test_calls_go_to_the_least_loaded_healthy_upstream() -> None:
    def candidate(name: str, running: int, failed: float) -> CallCandidate:
        return CallCandidate(UpstreamId(name), 6, running, 0.06, failed, False)

    candidates = [
        candidate("busy", 5, 0.0),
        candidate("grey", 0, 0.4),
        candidate("good", 1, 0.0),
    ]
    assert choose_upstream(candidates, random.Random(1)).upstream == "good"


def test_a_stream_past_its_longest_length_still_takes_memory() -> None:
    """Failed first: it was forecast to take nothing, and its engine overflowed."""
    state = StreamState(5_000, 10_010, 2_000.0, 10_010)
    assert forecast(state, 1_500.0)[0] == 15_010


def test_forecasts_grow_with_tokens_and_shrink_with_ends() -> None:
    young = forecast(StreamState(5_000, 0, 5_000.0, 10_010), 1_600.0)
    assert young[0] == 5_000
    assert young[2] > young[0]
    assert young[-1] < max(young)
    assert len(young) == len(HORIZONS_S)
    assert total([young, young])[0] == 10_000


def test_engines_are_not_filled_beyond_their_part() -> None:
    stream = forecast(StreamState(5_000, 0, 5_000.0, 10_010), 1_600.0)
    used = NOTHING
    count = 0
    while fits(MEMORY_TOKENS, used, stream):
        used = total([used, stream])
        count += 1
    assert max(used) <= FILL * MEMORY_TOKENS
    assert count >= 8  # twice as many as with the longest answer reserved


def test_streams_that_can_be_on_time_come_first() -> None:
    def waiting(number: int, until_s: float, **flags: bool) -> WaitingStream:
        beyond = flags.get("beyond", False)
        last = flags.get("last", False)
        return WaitingStream(number, 1, beyond, last, NOTHING, until_s)

    ordered = order_waiting(
        [
            waiting(1, 0.5),
            waiting(2, 0.5, last=True),
            waiting(3, 2.0, beyond=True),
            waiting(4, 2.0),
        ],
        now=1.0,
    )
    assert [item.number for item in ordered] == [4, 3, 2, 1]


def test_full_engines_are_never_chosen() -> None:
    def room(name: str, used: float, slots: int) -> EngineRoom:
        upstream = UpstreamId(name)
        return EngineRoom(upstream, 10_000, (used,) * len(HORIZONS_S), slots, False)

    stream = (1_000.0,) * len(HORIZONS_S)
    rooms = [room("full", 9_000.0, 4), room("no-slots", 0.0, 0), room("free", 0.0, 2)]
    rng = random.Random(1)
    chosen = {roomier_of_two(rooms, stream, rng) for _ in range(20)}
    assert {item.upstream for item in chosen if item} == {"free"}
    assert roomier_of_two(rooms[:2], stream, rng) is None


@pytest.mark.parametrize(
    ("ahead", "running", "free", "wait_s"),
    [(0, 50, 5, 0.0), (10, 50, 0, 0.66), (100, 50, 0, 6.06), (3, 0, 0, 3.0)],
)
def test_expected_wait(ahead: int, running: int, free: int, wait_s: float) -> None:
    assert expected_wait_s(ahead, running, 3.0, free) == pytest.approx(wait_s)


def test_phases_follow_what_a_stream_costs() -> None:
    assert wanted_prefill(9, StreamCost(0.1, 0.4)) == 2
    assert wanted_prefill(9, StreamCost(0.4, 0.1)) == 8
    assert wanted_prefill(1, StreamCost(0.4, 0.1)) == 0


def test_lengths_are_guessed_better_than_by_the_callers_estimate() -> None:
    """Lengths vary about the usual, and callers' estimates about the length."""
    rng = random.Random(1)
    estimates = StreamEstimates()
    errors_guess, errors_hint = [], []
    for _ in range(2_000):
        length = min(10_010.0, rng.lognormvariate(math.log(4_600), 0.5))
        hint = length * rng.lognormvariate(0.0, 0.5)
        guess = estimates.expected_tokens(int(hint), 10_010)
        errors_guess.append(abs(math.log(guess / length)))
        errors_hint.append(abs(math.log(hint / length)))
        estimates.on_stream(5_000, int(length), 3.0, 2.8)
    assert sum(errors_guess) < 0.8 * sum(errors_hint)


def test_cached_prompts_say_nothing_of_an_engines_speed() -> None:
    """Failed first: prefills were cut after 0.2 s, as cached ones took 2 ms."""
    estimates = StreamEstimates()
    before_s = estimates.prefill_s(5_000)
    for _ in range(50):
        estimates.on_prefill(5_000, 0.002)
    assert estimates.prefill_s(5_000) == before_s
    for _ in range(200):
        estimates.on_prefill(5_000, 0.2)
    assert 0.15 < estimates.prefill_s(5_000) <= 0.2


def test_changes_end_and_do_not_flap() -> None:
    """From any split, changes lead to one split and stop there."""
    cost = StreamCost(0.1, 0.4)
    for start in range(10):
        engines = [
            PhasedEngine(
                UpstreamId(f"e{number}"),
                FailureDomainId(f"d{number % 3}"),
                number < start,
                0,
            )
            for number in range(9)
        ]
        for _ in range(9):
            change = next_change(engines, cost)
            if change is None:
                break
            engines = [
                (
                    item._replace(prefill=change.to_prefill)
                    if item.upstream == change.upstream
                    else item
                )
                for item in engines
            ]
        assert next_change(engines, cost) is None
        assert 1 <= sum(item.prefill for item in engines) <= 4


def run_at_once(
    buckets: ReplicatedRateLimiter, rules: RateLimit, tokens: float, now: float
) -> bool:
    """Admits a request and has it run, unless it is refused."""
    if buckets.reserve("ropes", rules, tokens, now).wait_s:
        return False
    buckets.settle("ropes", tokens, ran=True, now=now)
    return True


def tell_all(
    replicas: list[ReplicatedRateLimiter], rules: RateLimit, now: float
) -> None:
    """Tells every replica what the others have charged."""
    for number, sender in enumerate(replicas):
        for workspace, use in sender.local_usage().items():
            for replica in replicas:
                if replica is not sender:
                    replica.on_peer_usage(str(number), workspace, use, rules, now)
