"""Unit tests of the relay's decisions, without network or processes."""

from __future__ import annotations

import math
import random
from typing import NamedTuple

import pytest

from wasabimux.decisions.decode_queue import (
    EngineCapacity,
    WaitingStream,
    choose_engine,
    expected_wait_s,
    order_waiting,
)
from wasabimux.decisions.memory_forecast import (
    HORIZONS_S,
    MAX_FILL_FRACTION,
    ZERO_FORECAST,
    StreamState,
    fits_in_memory,
    forecast,
    sum_forecasts,
)
from wasabimux.decisions.phase_plan import (
    EngineAssignment,
    StreamCost,
    next_phase_change,
    target_prefill_count,
)
from wasabimux.decisions.rate import RateLimit
from wasabimux.decisions.retry_window import (
    RetryLimits,
    ServiceRetryBudgets,
    WindowedRetryBudget,
)
from wasabimux.decisions.route_table import RouteTable, draw_weighted
from wasabimux.decisions.shared_bucket import (
    TOLERANCE_FRACTION,
    BucketUsage,
    RateTolerance,
    ReplicatedRateLimiter,
)
from wasabimux.decisions.stream_estimates import StreamEstimates
from wasabimux.decisions.upstream_choice import CallCandidate, choose_upstream
from wasabimux.decisions.upstream_health import FAILURES_BEFORE_BACKOFF, UpstreamHealth
from wasabimux.decisions.usage_sums import Usage, sum_usage
from wasabimux.ids import FailureDomainId, UpstreamId

STRICT = RateTolerance(1.0, 0.0, 0.0)
TOLERANT = RateTolerance(8.0, 0.1, 120_000.0)
MEMORY_TOKENS = 87_238


class PathRoute(NamedTuple):
    """A route of the route table."""

    name: str
    host: str
    path_prefix: str


class WeightedChoice(NamedTuple):
    """A choice of a weighted draw."""

    name: str
    weight: float


def test_longest_path_prefix_of_a_host_is_found() -> None:
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


def test_connected_replicas_share_one_limit() -> None:
    """Three relays that receive four times the rate charge it only once in total."""
    rules = RateLimit(1_000.0, 1_000.0)
    replicas = [ReplicatedRateLimiter(STRICT) for _ in range(3)]
    charged = 0.0
    for step in range(400):
        now = step * 0.05
        if step % 2 == 0:
            exchange_reports(replicas, rules, now)
        if reserve_and_run(replicas[step % 3], rules, 200.0, now):
            charged += 200.0
    assert charged <= rules.rate * 20.0 + rules.burst + 2 * 200.0
    assert charged >= 0.9 * rules.rate * 20.0


def test_partitioned_relays_do_not_each_grant_a_burst() -> None:
    """Regression: partitioned relays each admitted a full burst of the bucket."""
    rules = RateLimit(66_591.0, 66_591.0)
    replicas = [ReplicatedRateLimiter(TOLERANT) for _ in range(3)]
    for replica in replicas:
        replica.set_peers(2, 3, 0.0)
    charged = 0.0
    for step in range(800):
        for replica in replicas:
            if reserve_and_run(replica, rules, 2_000.0, step * 0.01):
                charged += 2_000.0
    within = rules.rate * TOLERANT.window_s + rules.burst
    assert charged <= within * (1 + TOLERANT.overage_share) + TOLERANT.slack_tokens


def test_workspace_without_keys_for_a_moment_keeps_its_charges() -> None:
    """Regression: a workspace that lost its last key came back with its full share."""
    rules = RateLimit(66_591.0, 66_591.0)
    buckets = ReplicatedRateLimiter(TOLERANT)
    charged = 0.0
    for step in range(120):
        now = step * 0.05
        if step % 10 == 0:
            buckets.retain_workspaces(set(), now)  # its last key is gone for a moment
        if reserve_and_run(buckets, rules, 8_000.0, now):
            charged += 8_000.0
    within = rules.rate * TOLERANT.window_s + rules.burst
    assert charged <= within * (1 + TOLERANT.overage_share) + TOLERANT.slack_tokens
    later_s = 6.0 + 2 * TOLERANT.window_s
    buckets.retain_workspaces(set(), later_s)
    assert buckets.local_usage(later_s) == {}


def test_tokens_of_requests_that_did_not_run_are_refunded() -> None:
    rules = RateLimit(100.0, 1_000.0)
    buckets = ReplicatedRateLimiter(STRICT)
    assert not buckets.reserve("ropes", rules, 400.0, 0.0).wait_s
    assert buckets.reserve("ropes", rules, 900.0, 0.0).wait_s > 0
    buckets.settle("ropes", 400.0, ran=False, now=0.0)
    assert buckets.local_usage(0.0) == {"ropes": BucketUsage(asked=1_300.0)}
    assert not buckets.reserve("ropes", rules, 400.0, 0.1).wait_s


def test_late_refunds_do_not_raise_the_limit_of_executed_requests() -> None:
    """Regression: a late refund lowered a window's sum after its charge had expired.

    Every second request is refused 3 s after it was admitted. A single replica sees all
    of them, so the executed requests in any window of 8 s stay within the fraction of
    the tolerance that is in use.
    """
    rules = RateLimit(16_659.0, 59_969.0)
    buckets = ReplicatedRateLimiter(TOLERANT)
    buckets.set_peers(0, 6, 0.0)
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
    allowed = TOLERANT.window_limit(rules, TOLERANCE_FRACTION)
    for since, _ in ran:
        in_window = sum(cost for at, cost in ran if since <= at < since + 8.0)
        assert in_window <= allowed


def test_refused_requests_do_not_count_in_the_window() -> None:
    """Regression: refunds were subtracted from the oldest charges, not their own.

    Thus a refused request counted in the window for 8 s.
    """
    rules = RateLimit(10_000.0, 10_000.0)
    buckets = ReplicatedRateLimiter(TOLERANT)
    allowed = TOLERANT.window_limit(rules, TOLERANCE_FRACTION)
    assert reserve_and_run(buckets, rules, 0.5 * allowed, 0.0)
    assert not buckets.reserve("ropes", rules, 0.5 * allowed, 4.0).wait_s
    buckets.settle("ropes", 0.5 * allowed, ran=False, now=5.0)
    assert reserve_and_run(buckets, rules, 0.5 * allowed, 5.0)
    assert reserve_and_run(buckets, rules, 0.5 * allowed, 9.0)


def test_reservations_of_peers_count_in_the_window() -> None:
    rules = RateLimit(10_000.0, 10_000.0)
    buckets = ReplicatedRateLimiter(TOLERANT)
    allowed = TOLERANT.window_limit(rules, TOLERANCE_FRACTION)
    use = BucketUsage(reserved=0.7 * allowed)
    buckets.on_others_usage("ropes", use, rules, 0.0)
    assert buckets.reserve("ropes", rules, 0.5 * allowed, 0.1).wait_s
    buckets.on_others_usage("ropes", BucketUsage(), rules, 0.2)
    assert not buckets.reserve("ropes", rules, 0.5 * allowed, 0.3).wait_s


@pytest.mark.parametrize("killed_s", [3.0, 5.0, 7.0])
def test_simultaneous_restart_does_not_admit_a_window_twice(killed_s: float) -> None:
    """Regression: relays that are all killed at once restarted with empty windows.

    They admitted 635,030 tokens in 8 s around the kill; 586,993 are allowed.
    """
    rules = RateLimit(45_958.0, 45_958.0)
    down_s = 1.3
    charged: list[tuple[float, float]] = []
    for start_s, end_s in ((-8.0, killed_s), (killed_s + down_s, 16.0)):
        buckets = ReplicatedRateLimiter(TOLERANT, start_s)
        buckets.set_peers(0, 4, 0.0)
        for step in range(int((end_s - start_s) / 0.02)):
            now = start_s + step * 0.02
            if reserve_and_run(buckets, rules, 2_000.0, now):
                charged.append((now, 2_000.0))
    within = rules.rate * TOLERANT.window_s + rules.burst
    allowed = within * (1 + TOLERANT.overage_share) + TOLERANT.slack_tokens
    for since, _ in charged:
        assert sum(c for at, c in charged if since <= at < since + 8.0) <= allowed


def test_assumed_past_use_does_not_refuse_requests_within_the_share() -> None:
    rules = RateLimit(45_958.0, 45_958.0)
    buckets = ReplicatedRateLimiter(TOLERANT, 0.0)
    buckets.set_peers(0, 4, 0.0)
    refused = [
        step
        for step in range(160)
        if not reserve_and_run(buckets, rules, rules.rate * 0.1, step * 0.1)
    ]
    assert refused == []


def test_requests_admitted_by_the_tolerance_are_marked_beyond_the_share() -> None:
    rules = RateLimit(1_000.0, 2_000.0)
    buckets = ReplicatedRateLimiter(TOLERANT)
    first = buckets.reserve("ropes", rules, 1_000.0, 0.0)
    second = buckets.reserve("ropes", rules, 1_000.0, 0.0)
    assert (first.beyond_share, second.beyond_share) == (False, True)


def test_repeated_reports_of_the_same_charges_count_once() -> None:
    rules = RateLimit(1_000.0, 10_000.0)
    buckets = ReplicatedRateLimiter(STRICT)
    buckets.on_others_usage("ropes", BucketUsage(100.0), rules, 0.0)
    level = buckets.level("ropes")
    buckets.on_others_usage("ropes", BucketUsage(100.0), rules, 0.0)
    buckets.on_others_usage("ropes", BucketUsage(400.0), rules, 0.0)
    assert buckets.level("ropes") == level - 300.0


def test_charges_of_a_lost_relay_stay_in_the_window() -> None:
    """Regression: a peer's charges before its first report were never counted.

    Its charges must not be forgotten either when its reports end.
    """
    rules = RateLimit(10_000.0, 10_000.0)
    buckets = ReplicatedRateLimiter(TOLERANT)
    allowed = TOLERANT.window_limit(rules, TOLERANCE_FRACTION)
    buckets.on_others_usage("ropes", BucketUsage(0.9 * allowed), rules, 0.0)
    buckets.on_others_usage("ropes", BucketUsage(), rules, 1.0)
    assert buckets.reserve("ropes", rules, 0.2 * allowed, 2.0).wait_s
    later_s = TOLERANT.window_s + 1.0
    assert not buckets.reserve("ropes", rules, 0.2 * allowed, later_s).wait_s


def test_charges_of_others_leave_the_window_as_at_the_others() -> None:
    """A steady load of two relays is counted once, however long it lasts."""
    rules = RateLimit(1_000.0, 1_000.0)
    first, second = (ReplicatedRateLimiter(TOLERANT) for _ in range(2))
    refused = 0
    for step in range(300):
        now = step * 0.1
        refused += not reserve_and_run(first, rules, 45.0, now)
        refused += not reserve_and_run(second, rules, 45.0, now)
        exchange_reports([first, second], rules, now)
    assert refused == 0


def test_retries_stay_within_the_ratio_and_the_relays_share() -> None:
    window = WindowedRetryBudget(RetryLimits(0.2, 30.0, 10.0))
    assert not window.try_spend(0.0)  # a starting relay does not know its share yet
    window.set_relay_count(3)
    for number in range(50):
        window.on_request(number * 0.1)
    allowed = sum(window.try_spend(5.0) for _ in range(100))
    assert allowed == 20
    assert window.try_spend(16.0)


def test_refused_prefills_count_against_the_retry_budget() -> None:
    """Regression: prefills that engines refused were not counted as retries."""
    window = WindowedRetryBudget(RetryLimits(0.0, 2.0, 10.0))
    window.set_relay_count(1)
    window.record_retry(0.0)
    assert [window.try_spend(1.0) for _ in range(2)] == [True, False]


@pytest.mark.parametrize(
    ("members", "report_steps"), [(6, 20), (23, 50), (29, 35), (68, 60)]
)
def test_delayed_reports_of_many_relays_stay_within_the_tolerance(
    members: int, report_steps: int
) -> None:
    """Regression: 23 relays, some slow, exceeded the limit.

    They learn of one another's charges up to 0.6 s late. The load is 7.2 times what the
    workspace may send.
    """
    rules = RateLimit(27_800.0, 27_800.0)
    replicas = [ReplicatedRateLimiter(TOLERANT) for _ in range(members)]
    for replica in replicas:
        replica.set_peers(0, members, report_steps * 0.01)
    charged = 0.0
    for step in range(800):
        now = step * 0.01
        if step % report_steps == 0:
            exchange_reports(replicas, rules, now)
        replica = replicas[step % members]
        if reserve_and_run(replica, rules, 2_000.0, now):
            charged += 2_000.0
    within = rules.rate * TOLERANT.window_s + rules.burst
    assert charged <= within * (1 + TOLERANT.overage_share) + TOLERANT.slack_tokens


def test_each_service_has_its_own_retry_budget() -> None:
    """Regression: retries of one service used up the budget of another."""
    retries = ServiceRetryBudgets(RetryLimits(0.2, 4.0, 10.0))
    retries.set_relay_count(2)
    assert [retries.for_service("engines").try_spend(0.0) for _ in range(3)].count(
        True
    ) == 2
    assert retries.for_service("desk").try_spend(0.0)


def test_a_failing_upstream_backs_off_and_its_failures_decay() -> None:
    health = UpstreamHealth()
    for _ in range(FAILURES_BEFORE_BACKOFF):
        health.on_failure(1.0)
    assert health.is_backing_off(1.1)
    assert not health.is_backing_off(2.0)
    assert health.failure_rate(20.0) < 0.1 * health.failure_rate(1.0)


def test_calls_go_to_the_least_loaded_healthy_upstream() -> None:
    def candidate(name: str, running: int, failure_rate: float) -> CallCandidate:
        return CallCandidate(UpstreamId(name), 6, running, 0.06, failure_rate, False)

    candidates = [
        candidate("busy", 5, 0.0),
        candidate("failing", 0, 0.4),
        candidate("healthy", 1, 0.0),
    ]
    assert choose_upstream(candidates, random.Random(1)).upstream == "healthy"


def test_a_stream_at_its_maximum_length_still_uses_memory() -> None:
    """Regression: its forecast was zero, so its engine ran out of memory."""
    state = StreamState(5_000, 10_010, 2_000.0, 10_010)
    assert forecast(state, 1_500.0)[0] == 15_010


def test_forecasts_grow_with_tokens_and_shrink_as_streams_end() -> None:
    young = forecast(StreamState(5_000, 0, 5_000.0, 10_010), 1_600.0)
    assert young[0] == 5_000
    assert young[2] > young[0]
    assert young[-1] < max(young)
    assert len(young) == len(HORIZONS_S)
    assert sum_forecasts([young, young])[0] == 10_000


def test_engines_are_not_filled_beyond_the_fill_fraction() -> None:
    stream = forecast(StreamState(5_000, 0, 5_000.0, 10_010), 1_600.0)
    used = ZERO_FORECAST
    count = 0
    while fits_in_memory(MEMORY_TOKENS, used, stream):
        used = sum_forecasts([used, stream])
        count += 1
    assert max(used) <= MAX_FILL_FRACTION * MEMORY_TOKENS
    assert count >= 8  # twice as many as if the maximum length were reserved


def test_streams_that_can_meet_their_target_latency_come_first() -> None:
    def waiting(number: int, latest_start_s: float, **flags: bool) -> WaitingStream:
        beyond_share = flags.get("beyond_share", False)
        is_client_retry = flags.get("is_client_retry", False)
        return WaitingStream(
            number, 1, beyond_share, is_client_retry, ZERO_FORECAST, latest_start_s
        )

    ordered = order_waiting(
        [
            waiting(1, 0.5),
            waiting(2, 0.5, is_client_retry=True),
            waiting(3, 2.0, beyond_share=True),
            waiting(4, 2.0),
        ],
        now=1.0,
    )
    assert [item.number for item in ordered] == [4, 3, 2, 1]


def test_full_engines_are_never_chosen() -> None:
    def engine(name: str, used: float, free_slots: int) -> EngineCapacity:
        upstream = UpstreamId(name)
        return EngineCapacity(
            upstream, 10_000, (used,) * len(HORIZONS_S), free_slots, False
        )

    stream = (1_000.0,) * len(HORIZONS_S)
    engines = [
        engine("full", 9_000.0, 4),
        engine("no-slots", 0.0, 0),
        engine("free", 0.0, 2),
    ]
    rng = random.Random(1)
    chosen = {choose_engine(engines, stream, rng) for _ in range(20)}
    assert {item.upstream for item in chosen if item} == {"free"}
    assert choose_engine(engines[:2], stream, rng) is None


@pytest.mark.parametrize(
    ("ahead", "running", "free_slots", "wait_s"),
    [(0, 50, 5, 0.0), (10, 50, 0, 0.66), (100, 50, 0, 6.06), (3, 0, 0, 3.0)],
)
def test_expected_wait(
    ahead: int, running: int, free_slots: int, wait_s: float
) -> None:
    assert expected_wait_s(ahead, running, 3.0, free_slots) == pytest.approx(wait_s)


def test_prefill_count_follows_the_cost_of_a_stream() -> None:
    assert target_prefill_count(9, StreamCost(0.1, 0.4)) == 2
    assert target_prefill_count(9, StreamCost(0.4, 0.1)) == 8
    assert target_prefill_count(1, StreamCost(0.4, 0.1)) == 0


def test_expected_length_is_more_accurate_than_the_client_estimate() -> None:
    """Lengths vary about their mean, and client estimates about the length."""
    rng = random.Random(1)
    estimates = StreamEstimates()
    estimate_errors, hint_errors = [], []
    for _ in range(2_000):
        length = min(10_010.0, rng.lognormvariate(math.log(4_600), 0.5))
        hint = length * rng.lognormvariate(0.0, 0.5)
        estimate = estimates.expected_tokens(int(hint), 10_010)
        estimate_errors.append(abs(math.log(estimate / length)))
        hint_errors.append(abs(math.log(hint / length)))
        estimates.on_stream_end(5_000, int(length), 3.0, 2.8)
    assert sum(estimate_errors) < 0.8 * sum(hint_errors)


def test_cached_prompts_do_not_change_the_prefill_speed() -> None:
    """Regression: prefills timed out after 0.2 s, as cached ones had taken 2 ms."""
    estimates = StreamEstimates()
    before_s = estimates.expected_prefill_s(5_000)
    for _ in range(50):
        estimates.on_prefill(5_000, 0.002)
    assert estimates.expected_prefill_s(5_000) == before_s
    for _ in range(200):
        estimates.on_prefill(5_000, 0.2)
    assert 0.15 < estimates.expected_prefill_s(5_000) <= 0.2


def test_phase_changes_converge_and_do_not_oscillate() -> None:
    """From any initial assignment, phase changes reach a stable one and stop."""
    cost = StreamCost(0.1, 0.4)
    for prefill_count in range(10):
        engines = [
            EngineAssignment(
                UpstreamId(f"e{number}"),
                FailureDomainId(f"d{number % 3}"),
                number < prefill_count,
                0,
            )
            for number in range(9)
        ]
        for _ in range(9):
            change = next_phase_change(engines, cost)
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
        assert next_phase_change(engines, cost) is None
        assert 1 <= sum(item.prefill for item in engines) <= 4


def reserve_and_run(
    buckets: ReplicatedRateLimiter, rules: RateLimit, tokens: float, now: float
) -> bool:
    """Reserves tokens and settles them as run; returns False if they are refused."""
    if buckets.reserve("ropes", rules, tokens, now).wait_s:
        return False
    buckets.settle("ropes", tokens, ran=True, now=now)
    return True


def exchange_reports(
    replicas: list[ReplicatedRateLimiter], rules: RateLimit, now: float
) -> None:
    """Reports the use of every replica to all others."""
    for replica in replicas:
        others = sum_usage(
            Usage(sender.local_usage(now))
            for sender in replicas
            if sender is not replica
        )
        for workspace, use in others.bucket_by_workspace.items():
            replica.on_others_usage(workspace, use, rules, now)
