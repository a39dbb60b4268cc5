"""Roll-outs: the decision, the exposure, and relays that carry them out."""

from __future__ import annotations

import asyncio
import contextlib
import random
from collections.abc import AsyncGenerator

import pytest
from hypothesis import given, settings, strategies as st

from benchmarks.rollout import CALLS_PER_S, LIMIT_S, LIMITS, VERSIONS, Version, play
from tests.relay_fixtures import RelayCluster, relay_cluster
from wasabimux.decisions.exposure import (
    BURST_INTERVAL_S,
    ExposureBudget,
    ExposureLimits,
    tried_upstreams,
)
from wasabimux.decisions.rollout import (
    Judgement,
    Progress,
    RolloutOrder,
    RolloutStep,
    Verdict,
    next_step,
)
from wasabimux.decisions.usage_sums import Usage, subtract_usage, sum_usage
from wasabimux.decisions.version_samples import (
    FAILED_ANSWER,
    AnswerSample,
    Measure,
    SampleKey,
)
from wasabimux.ids import SoftwareVersion, UpstreamId
from wasabimux.platform.documents import decode_rollout
from wasabimux.platform.standins.runner import StandInRunner

ORDER = RolloutOrder("desk", SoftwareVersion("v2"), 20.0)
MOST_EXPOSED = LIMITS.share * CALLS_PER_S * LIMIT_S + LIMITS.slack

#: Time limit in s of the roll-outs that relays carry out here, and requests per s.
SHORT_LIMIT_S = 10
REQUESTS_PER_S = 100.0


@pytest.mark.parametrize("version", VERSIONS, ids=lambda version: version.name)
def test_versions_end_as_they_should(version: Version) -> None:
    for seed in range(3):
        outcome = play(version, seed)
        if version.bad:
            assert outcome.step is RolloutStep.ROLLED_BACK
            assert outcome.exposed <= MOST_EXPOSED
            assert outcome.late == 0
        else:
            assert outcome.step is RolloutStep.COMPLETED


@settings(max_examples=12, deadline=None, derandomize=True)
@given(st.floats(0.2, 0.6), st.floats(0.0, 10.0), st.integers(0, 10_000))
def test_no_failing_version_is_completed(
    failures: float, from_s: float, seed: int
) -> None:
    outcome = play(Version("", True, failures=failures, from_s=from_s), seed)
    assert outcome.step is RolloutStep.ROLLED_BACK
    assert outcome.exposed <= MOST_EXPOSED


@settings(max_examples=12, deadline=None, derandomize=True)
@given(st.floats(3.0, 8.0), st.floats(0.0, 10.0), st.integers(0, 10_000))
def test_no_slow_version_is_completed(factor: float, from_s: float, seed: int) -> None:
    outcome = play(Version("", True, factor=factor, from_s=from_s), seed)
    assert outcome.step is RolloutStep.ROLLED_BACK
    assert outcome.exposed <= MOST_EXPOSED


@pytest.mark.parametrize(
    ("step", "elapsed_s", "old_running", "judgement", "expected"),
    [
        (RolloutStep.TRIAL, 1.0, 5, Judgement.GOOD, RolloutStep.TRIAL),
        (RolloutStep.TRIAL, 1.0, 5, Judgement.BAD, RolloutStep.ROLLED_BACK),
        (RolloutStep.TRIAL, 11.0, 5, Judgement.GOOD, RolloutStep.MOVING),
        (RolloutStep.TRIAL, 11.0, 5, Judgement.DOUBTFUL, RolloutStep.TRIAL),
        (RolloutStep.TRIAL, 16.0, 5, Judgement.LIKELY_GOOD, RolloutStep.MOVING),
        (RolloutStep.TRIAL, 16.0, 5, Judgement.DOUBTFUL, RolloutStep.ROLLED_BACK),
        (RolloutStep.MOVING, 16.0, 5, Judgement.GOOD, RolloutStep.MOVING),
        (RolloutStep.MOVING, 16.0, 0, Judgement.GOOD, RolloutStep.COMPLETED),
        (RolloutStep.MOVING, 16.0, 5, Judgement.BAD, RolloutStep.ROLLED_BACK),
        (RolloutStep.MOVING, 19.5, 5, Judgement.GOOD, RolloutStep.COMPLETED),
        (RolloutStep.COMPLETED, 19.5, 0, Judgement.BAD, RolloutStep.COMPLETED),
        (RolloutStep.ROLLED_BACK, 19.5, 0, Judgement.GOOD, RolloutStep.ROLLED_BACK),
    ],
)
def test_steps_follow_from_progress_and_answers(
    step: RolloutStep,
    elapsed_s: float,
    old_running: int,
    judgement: Judgement,
    expected: RolloutStep,
) -> None:
    progress = Progress(step, elapsed_s, old_running)
    assert next_step(ORDER, progress, Verdict(judgement, ""))[0] is expected


@pytest.mark.parametrize("relays", [1, 25, 771])
def test_relays_together_stay_within_the_share(relays: int) -> None:
    """No relay hears of another, and each has few requests."""
    rng = random.Random(relays)
    limits = ExposureLimits(0.1, 50.0)
    budgets = [ExposureBudget(limits, relays, rng) for _ in range(relays)]
    exposed = requests = 0
    for step in range(20_000):
        rng.choice(budgets).on_request()
        requests += 1
        exposed += rng.choice(budgets).try_take(step * 0.01)
        assert exposed <= limits.share * requests + limits.slack


def test_bursts_go_to_one_upstream_after_the_other() -> None:
    upstreams = [UpstreamId(f"new-{number}") for number in range(3)]
    tried = {
        upstream
        for burst in range(3)
        for upstream in tried_upstreams(upstreams, burst * BURST_INTERVAL_S)
    }
    assert tried == set(upstreams)


def test_samples_are_summed_and_subtracted() -> None:
    key = SampleKey("desk", "v2", "desk-3", "safe", Measure.ANSWER)
    own = Usage(samples={key: AnswerSample.of_time(0.1)})
    others = Usage(samples={key: FAILED_ANSWER.plus(FAILED_ANSWER)})
    total = sum_usage([own, others])
    assert total.samples[key].answers == 3
    assert subtract_usage(total, own).samples[key].failures == 2


@pytest.mark.parametrize(
    "document",
    [
        None,
        [],
        {"spec": None},
        {"spec": {"service": "desk"}},
        {"spec": {"service": "desk", "to": "", "durationS": 5}},
        {"spec": {"service": "desk", "to": "v2", "durationS": -1}},
        {"spec": {"service": "desk", "to": ["v2"], "durationS": 5}},
    ],
)
def test_orders_that_cannot_be_read_are_findings(document: object) -> None:
    assert decode_rollout(document).is_error()


def test_the_status_of_another_order_does_not_count() -> None:
    spec = {"service": "desk", "to": "v3", "durationS": 5}
    status = {"state": "rolled_back", "to": "v2"}
    assert decode_rollout({"spec": spec, "status": status}).ok.step is None


@contextlib.asynccontextmanager
async def cluster_with_new_version(
    status: int, relays: int = 2
) -> AsyncGenerator[tuple[RelayCluster, list[StandInRunner]], None]:
    """Runs relays before upstreams of two versions, and orders a roll-out.

    Args:
        status: Status of the answers of the new version.
        relays: Number of relays.
    """
    changes = {"exposure_share": 0.1, "exposure_slack": 50.0}
    async with relay_cluster(relays, **changes) as cluster:
        async with contextlib.AsyncExitStack() as stack:
            new = [StandInRunner(f"desk-{number}", "desk") for number in (3, 4)]
            spec = {"service": "desk", "to": "v2", "durationS": SHORT_LIMIT_S}
            await cluster.store.put("rollouts", "desk", spec)
            await cluster.wait_until(
                lambda: all(item.relay.rollouts.running for item in cluster.relays)
            )
            for runner in new:
                await stack.enter_async_context(runner)
                runner.software, runner.faults.status = "v2", status
                await cluster.store.put("servers", runner.id, runner.store_entry())
                cluster.runners[runner.id] = runner
            await cluster.wait_until_settled()
            yield cluster, new


async def send_until(cluster: RelayCluster, state: str) -> int:
    """Sends requests until the status of the roll-out has a state.

    Returns:
        The number of requests.
    """
    tasks: list[asyncio.Task[None]] = []

    async def send(number: int) -> None:
        response = await cluster.request(
            "/safe/1", f"q{number}", number % len(cluster.relays), "GET", b""
        )
        async with response:
            await response.body()

    def written() -> str:
        status = cluster.store.status("rollouts", "desk")
        return "" if status is None else str(status["state"])

    while written() != state:
        assert written() in ("", "running")
        tasks.append(asyncio.ensure_future(send(len(tasks))))
        await asyncio.sleep(1 / REQUESTS_PER_S)
    await asyncio.gather(*tasks)
    return len(tasks)


async def check_answered(cluster: RelayCluster, requests: int) -> None:
    """Checks that requests after the end of a roll-out are answered."""
    for number in range(requests):
        async with await cluster.request("/safe/1", f"later-{number}") as response:
            assert response.status == 200


async def test_bad_version_is_rolled_back_within_its_exposure() -> None:
    async with cluster_with_new_version(500) as (cluster, new):
        requests = await send_until(cluster, "rolled_back")
        exposed = sum(len(runner.runs) for runner in new)
        assert 0 < exposed <= 0.1 * requests + 50
        await check_answered(cluster, 50)
        assert sum(len(runner.runs) for runner in new) == exposed


async def test_good_version_is_completed_once_nothing_runs_at_the_old_one() -> None:
    async with cluster_with_new_version(200) as (cluster, _):
        await send_until(cluster, "completed")
        old = [cluster.runners["desk-1"], cluster.runners["desk-2"]]
        assert all(run.completed for runner in old for run in runner.runs)
        ran = sum(len(runner.runs) for runner in old)
        await check_answered(cluster, 20)
        assert sum(len(runner.runs) for runner in old) == ran


async def test_bad_version_gets_nothing_more_while_the_store_is_away() -> None:
    async with cluster_with_new_version(500) as (cluster, new):
        cluster.store.available = False

        def suspended() -> bool:
            states = [item.relay.rollouts.status["desk"] for item in cluster.relays]
            return all(state["suspended"] for state in states)

        number = 0
        while not suspended():
            number += 1
            async with await cluster.request("/safe/1", f"q{number}", number % 2):
                await asyncio.sleep(1 / REQUESTS_PER_S)
        exposed = sum(len(runner.runs) for runner in new)
        for later in range(200):
            async with await cluster.request("/safe/1", f"later-{later}", later % 2):
                pass
        assert sum(len(runner.runs) for runner in new) == exposed


async def test_another_relay_goes_on_where_the_writer_was_lost() -> None:
    async with cluster_with_new_version(500) as (cluster, _):
        await cluster.wait_until(
            lambda: cluster.store.status("rollouts", "desk") is not None
        )
        begun_ms = cluster.store.status("rollouts", "desk")["begunMs"]
        await cluster.start_relay(0)
        await cluster.wait_until_settled()
        await send_until(cluster, "rolled_back")
        assert cluster.store.status("rollouts", "desk")["begunMs"] == begun_ms
