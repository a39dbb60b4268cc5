"""When a new software version of a service gets all of its requests, or none.

Made for versions that may be bad: some of their answers are failures, or take several
times as long, at once or later, only under load or only on one route. While a roll-out
is on trial, the new version gets a small share of the requests. Its answers are
compared with those of the old versions on the same route in the same time, in several
windows. An upstream may be in trouble of its own, so the worst upstream of the new
version is left out where it has several.

The tests are sequential: they are made again with every report, and their bounds are
high enough for that. See docs/design/roll-outs.md.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable, Collection
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from wasabimux.decisions.version_samples import (
    NO_ANSWERS,
    AnswerSample,
    Measure,
    Samples,
    subtract_samples,
)
from wasabimux.ids import SoftwareVersion

#: Lengths in s of the windows that answers are compared in, besides the whole trial. A
#: version that turns bad late shows in the short ones.
WINDOWS_S = (4.0, 12.0)

#: Time in s between kept sums, which bounds how far a window may be off.
SUM_INTERVAL_S = 0.5

#: Log likelihood ratio of two failure rates to a common one from which a version fails
#: more often than the old ones.
MAX_FAILURE_LLR = 8.0

#: Bounds of the failure rate of the old versions; few answers show no lower one.
MIN_FAILURE_RATE = 0.01
MAX_FAILURE_RATE = 0.9

#: Factor by which the times of a bad version exceed those of the old ones at least, and
#: the number of standard errors by which this must be shown.
SLOW_FACTOR = 1.6
SLOW_STANDARD_ERRORS = 4.0

#: Least variance of the logarithm of a time, where few answers show none.
MIN_LOG_TIME_VARIANCE = 0.05

#: Fewest answers with a time that show a slow version.
MIN_TIMED_ANSWERS = 12

#: Fewest answers of the old versions on a route with enough traffic to be compared.
MIN_OLD_ANSWERS = 20

#: Excess failure rate of a good version at most, and the number of standard errors by
#: which it must be shown before the trial has to end.
GOOD_EXCESS_RATE = 0.08
GOOD_STANDARD_ERRORS = 2.5

#: Fewest answers of the new version without which a trial fails at its end, and the
#: excess failure rate that must then be less likely than none.
MIN_TRIAL_ANSWERS = 8
DOUBTFUL_EXCESS_RATE = 0.2

#: Fractions of the time limit: before the first, no version passes its trial, as some
#: turn bad later; at the second, the trial ends by what is known.
MIN_TRIAL_FRACTION = 0.5
MAX_TRIAL_FRACTION = 0.75

#: Fraction of the time limit by which the roll-out is completed or rolled back.
END_FRACTION = 0.95


class RolloutStep(Enum):
    """Step of a roll-out.

    Attributes:
        TRIAL: The new version gets a small share of the requests.
        MOVING: It gets all new requests; those at the old versions end.
        COMPLETED: The old versions are stopped.
        ROLLED_BACK: The new version gets no requests.
    """

    TRIAL = "trial"
    MOVING = "moving"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """True if the roll-out has ended."""
        return self in (RolloutStep.COMPLETED, RolloutStep.ROLLED_BACK)


class RolloutOrder(NamedTuple):
    """An operator's order to move a service to a software version.

    Attributes:
        service: Name of the service.
        to: The new version.
        limit_s: Time in s within which the roll-out must have ended.
    """

    service: str
    to: SoftwareVersion
    limit_s: float


class Judgement(Enum):
    """What the answers of a version show.

    Attributes:
        BAD: It is worse than the old versions.
        DOUBTFUL: It is rather worse, or has too few answers.
        LIKELY_GOOD: It is rather not worse.
        GOOD: It is not worse.
    """

    BAD = "bad"
    DOUBTFUL = "doubtful"
    LIKELY_GOOD = "likely_good"
    GOOD = "good"


class Verdict(NamedTuple):
    """What the answers of a version show, and why, for operators."""

    judgement: Judgement
    reason: str


class Progress(NamedTuple):
    """How far a roll-out is.

    Attributes:
        step: Its present step.
        elapsed_s: Time in s since the order.
        old_running: Requests that run at upstreams of the old versions.
    """

    step: RolloutStep
    elapsed_s: float
    old_running: int


def next_step(
    order: RolloutOrder, progress: Progress, verdict: Verdict
) -> tuple[RolloutStep, str]:
    """Returns the step that a roll-out goes on with, and why.

    Args:
        order: The order.
        progress: How far the roll-out is.
        verdict: What the answers show.
    """
    step, elapsed_s, old_running = progress
    if step.is_final:
        return step, ""
    if verdict.judgement is Judgement.BAD:
        return RolloutStep.ROLLED_BACK, verdict.reason
    if step is RolloutStep.MOVING:
        if not old_running:
            return RolloutStep.COMPLETED, "no request runs at an old version"
        if elapsed_s >= END_FRACTION * order.limit_s:
            return RolloutStep.COMPLETED, "the time limit is near"
        return step, ""
    if elapsed_s < MIN_TRIAL_FRACTION * order.limit_s:
        return step, ""
    if verdict.judgement is Judgement.GOOD:
        return RolloutStep.MOVING, verdict.reason
    if elapsed_s < MAX_TRIAL_FRACTION * order.limit_s:
        return step, ""
    if verdict.judgement is Judgement.LIKELY_GOOD:
        return RolloutStep.MOVING, verdict.reason
    return RolloutStep.ROLLED_BACK, verdict.reason


class RolloutEvidence:
    """Answers of the versions of one service since an order.

    Args:
        order: The order.
    """

    def __init__(self, order: RolloutOrder) -> None:
        self._order = order
        self._sums: deque[tuple[float, Samples]] = deque()
        self._latest: Samples = {}
        self._upstream_count = 1

    def on_sums(self, samples: Samples, upstream_count: int, now: float) -> None:
        """Records the sums of all relays' answers since the order.

        Args:
            samples: The sums.
            upstream_count: Number of upstreams of the new version.
            now: Current time in s.
        """
        service = self._order.service
        self._upstream_count = upstream_count
        self._latest = {
            key: sample for key, sample in samples.items() if key.service == service
        }
        if not self._sums or now - self._sums[-1][0] >= SUM_INTERVAL_S:
            self._sums.append((now, self._latest))
        while len(self._sums) > 1 and self._sums[1][0] <= now - max(WINDOWS_S):
            self._sums.popleft()

    def verdict(self, now: float) -> Verdict:
        """Returns what the answers show by now."""
        windows = [self._since(now - length_s) for length_s in WINDOWS_S]
        if self._has_tried_enough():
            for samples in (*windows, self._latest):
                compared = self._comparisons(samples)
                reasons = [item.fault() for item in compared] + [_slow_on_all(compared)]
                for reason in filter(None, reasons):
                    return Verdict(Judgement.BAD, reason)
        comparisons = self._comparisons(self._latest)
        if sum(item.new_answers for item in comparisons) < MIN_TRIAL_ANSWERS:
            return Verdict(Judgement.DOUBTFUL, "too few answers of the new version")
        for item in comparisons:
            if item.is_doubtful:
                text = f"route {item.route}: the new version is rather worse"
                return Verdict(Judgement.DOUBTFUL, text)
        if all(item.is_good for item in comparisons if item.is_wanted):
            return Verdict(Judgement.GOOD, "the answers are as good as those before")
        return Verdict(
            Judgement.LIKELY_GOOD, "nothing shows that the answers are worse"
        )

    def _has_tried_enough(self) -> bool:
        """Returns whether a fault cannot be that of one upstream alone."""
        return len(self._new_by_upstream()) >= min(2, self._upstream_count)

    def _new_by_upstream(self) -> dict[str, AnswerSample]:
        """Returns the answers of each upstream of the new version."""
        by_upstream: dict[str, AnswerSample] = {}
        for key, sample in self._latest.items():
            if key.software == self._order.to and sample.answers:
                known = by_upstream.get(key.upstream, NO_ANSWERS)
                by_upstream[key.upstream] = known.plus(sample)
        return by_upstream

    def _worst(self, badness: Callable[[AnswerSample], float]) -> str | None:
        """Returns the worst upstream of the new version, None if it has only one."""
        by_upstream = self._new_by_upstream()
        if len(by_upstream) < 2:
            return None
        return max(by_upstream, key=lambda upstream: badness(by_upstream[upstream]))

    def _since(self, begin_s: float) -> Samples:
        earlier: Samples = {}
        for taken_s, samples in self._sums:
            if taken_s > begin_s:
                break
            earlier = samples
        return subtract_samples(self._latest, earlier)

    def _comparisons(self, samples: Samples) -> Collection[_Comparison]:
        most_failing, slowest = self._worst(_failure_rate), self._worst(_mean_time)
        by_group: dict[tuple[str, Measure], _Comparison] = {}
        for key, sample in samples.items():
            group = (key.route, key.measure)
            if group not in by_group:
                by_group[group] = _Comparison(key.route, key.measure)
            comparison = by_group[group]
            if key.software != self._order.to:
                comparison.old = comparison.old.plus(sample)
                continue
            comparison.new_answers += sample.answers
            if key.upstream != most_failing:
                comparison.failing = comparison.failing.plus(sample)
            if key.upstream != slowest:
                comparison.slow = comparison.slow.plus(sample)
        return by_group.values()


@dataclass(slots=True)
class _Comparison:
    """Answers of the old and the new version on one route.

    Attributes:
        route: Name of the route.
        measure: Which times are compared.
        old: Answers of the old versions.
        failing: Answers of the new one, without its most failing upstream.
        slow: Answers of the new one, without its slowest upstream.
        new_answers: Answers of the new version, of all its upstreams.
    """

    route: str
    measure: Measure
    old: AnswerSample = NO_ANSWERS
    failing: AnswerSample = NO_ANSWERS
    slow: AnswerSample = NO_ANSWERS
    new_answers: int = 0

    @property
    def is_wanted(self) -> bool:
        """True if the route has enough traffic to expect answers of the new version."""
        is_answer = self.measure is Measure.ANSWER
        return is_answer and self.old.answers >= MIN_OLD_ANSWERS

    def fault(self) -> str:
        """Returns what is wrong with the new version, empty if nothing shows."""
        failing = self.failing
        if self._failure_llr(failing) > MAX_FAILURE_LLR:
            return (
                f"route {self.route}: {failing.failures} of {failing.answers} answers"
                f" failed, {self.old.failures} of {self.old.answers} at old versions"
            )
        margin = SLOW_STANDARD_ERRORS * self.standard_error
        enough = min(self.slow.timed, self.old.timed) >= MIN_TIMED_ANSWERS
        if enough and self.log_ratio - margin > math.log(SLOW_FACTOR):
            factor = math.exp(self.log_ratio)
            return f"route {self.route}: answers take {factor:.1f} times as long"
        return ""

    @property
    def is_doubtful(self) -> bool:
        """True if the new version is rather worse than not."""
        if self._llr(self.failing, DOUBTFUL_EXCESS_RATE) > 0:
            return True
        return self.slow.timed > 0 and self.log_ratio > math.log(SLOW_FACTOR)

    @property
    def is_good(self) -> bool:
        """True if the new version is shown to be about as good as the old ones."""
        excess = _smoothed_rate(self.failing) - self.old.failure_rate
        error = math.sqrt(
            sum(
                _rate_variance(sample) / max(1, sample.answers)
                for sample in (self.failing, self.old)
            )
        )
        if excess + GOOD_STANDARD_ERRORS * error > GOOD_EXCESS_RATE:
            return False
        margin = GOOD_STANDARD_ERRORS * self.standard_error
        return self.log_ratio + margin < math.log(SLOW_FACTOR)

    def _failure_llr(self, new: AnswerSample) -> float:
        """Returns the log likelihood ratio of two failure rates to a common one.

        0 unless the new version fails more often.
        """
        if new.failure_rate <= self.old.failure_rate:
            return 0.0
        common_rate = new.plus(self.old).failure_rate
        return sum(
            _surprise(sample.failures, sample.answers * common_rate)
            + _surprise(sample.timed, sample.answers * (1.0 - common_rate))
            for sample in (new, self.old)
        )

    def _llr(self, new: AnswerSample, excess: float) -> float:
        """Returns the log likelihood ratio of one excess failure rate to none."""
        error = math.sqrt(_rate_variance(self.old) / max(1, self.old.answers))
        old_rate = self.old.failure_rate + error
        old_rate = min(MAX_FAILURE_RATE, max(MIN_FAILURE_RATE, old_rate))
        rate = min(0.5 * (1.0 + old_rate), old_rate + excess)
        failed = new.failures * math.log(rate / old_rate)
        return failed + new.timed * math.log((1.0 - rate) / (1.0 - old_rate))

    @property
    def log_ratio(self) -> float:
        """Logarithm of the ratio of the new version's times to those before."""
        return self.slow.mean_log_time - self.old.mean_log_time

    @property
    def standard_error(self) -> float:
        """Standard error of `log_ratio`."""
        return math.sqrt(
            sum(
                max(MIN_LOG_TIME_VARIANCE, sample.log_time_variance)
                / max(1, sample.timed)
                for sample in (self.slow, self.old)
            )
        )


def _slow_on_all(compared: Collection[_Comparison]) -> str:
    """Returns that the new version is slow on all routes together, else nothing.

    Each route counts by how exactly its ratio of times is known.
    """
    timed = [
        item
        for item in compared
        if item.measure is Measure.ANSWER and item.slow.timed and item.old.timed
    ]
    if sum(item.slow.timed for item in timed) < MIN_TIMED_ANSWERS:
        return ""
    weights = [item.standard_error**-2 for item in timed]
    ratio = sum(item.log_ratio * weight for item, weight in zip(timed, weights))
    ratio /= sum(weights)
    margin = SLOW_STANDARD_ERRORS / math.sqrt(sum(weights))
    if ratio - margin <= math.log(SLOW_FACTOR):
        return ""
    return f"answers of all routes take {math.exp(ratio):.1f} times as long"


def _failure_rate(sample: AnswerSample) -> float:
    return sample.failure_rate


def _mean_time(sample: AnswerSample) -> float:
    return sample.mean_log_time if sample.timed else -math.inf


def _surprise(count: int, expected: float) -> float:
    """Returns the part of a log likelihood ratio that a count contributes."""
    return count * math.log(count / expected) if count else 0.0


def _smoothed_rate(sample: AnswerSample) -> float:
    """Returns a failure rate that is never 0 or 1."""
    return (sample.failures + 1) / (sample.answers + 2)


def _rate_variance(sample: AnswerSample) -> float:
    """Returns the variance of one answer's failure."""
    rate = _smoothed_rate(sample)
    return rate * (1.0 - rate)
