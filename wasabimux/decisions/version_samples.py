"""What the answers of a software version show, summed over relays and upstreams."""

from __future__ import annotations

import math
from collections.abc import Mapping
from enum import Enum
from typing import NamedTuple

#: Shortest time in s that is told apart; the logarithm of 0 is undefined.
MIN_TIME_S = 1e-4


class Measure(Enum):
    """Which time of an answer a sample holds.

    Attributes:
        ANSWER: Time to a whole response, or to the first event of a stream.
        PACE: Time between two events of a stream.
    """

    ANSWER = 0
    PACE = 1


class SampleKey(NamedTuple):
    """What the answers of a sample have in common.

    Attributes:
        service: Name of the service.
        software: Software version of the upstreams.
        upstream: Id of the upstream; empty where versions are not told apart by it.
        route: Name of the route.
        measure: Which time the sample holds.
    """

    service: str
    software: str
    upstream: str
    route: str
    measure: Measure


class AnswerSample(NamedTuple):
    """Counts of answers, and moments of the logarithm of their times.

    Attributes:
        answers: Answers, failures included.
        failures: Answers that were failures, or were lost.
        log_time: Sum of the logarithms of the times in s of answers without failure.
        log_time_squared: Sum of the squares of these logarithms.
    """

    answers: int = 0
    failures: int = 0
    log_time: float = 0.0
    log_time_squared: float = 0.0

    @classmethod
    def of_time(cls, time_s: float) -> AnswerSample:
        """Returns the sample of one answer without failure."""
        log_time = math.log(max(MIN_TIME_S, time_s))
        return cls(1, 0, log_time, log_time * log_time)

    @property
    def timed(self) -> int:
        """Number of answers with a time."""
        return self.answers - self.failures

    @property
    def mean_log_time(self) -> float:
        """Mean of the logarithms of the times."""
        return self.log_time / max(1, self.timed)

    @property
    def log_time_variance(self) -> float:
        """Variance of the logarithms of the times."""
        mean = self.mean_log_time
        return max(0.0, self.log_time_squared / max(1, self.timed) - mean * mean)

    @property
    def failure_rate(self) -> float:
        """Fraction of the answers that were failures."""
        return self.failures / max(1, self.answers)

    def plus(self, other: AnswerSample) -> AnswerSample:
        """Returns the sum of two samples."""
        return AnswerSample(
            self.answers + other.answers,
            self.failures + other.failures,
            self.log_time + other.log_time,
            self.log_time_squared + other.log_time_squared,
        )

    def minus(self, earlier: AnswerSample) -> AnswerSample:
        """Returns what was added since an earlier sum; nothing if it has shrunk.

        It shrinks when a relay that counted in it has ended.
        """
        if earlier.answers > self.answers or earlier.failures > self.failures:
            return NO_ANSWERS
        return AnswerSample(
            self.answers - earlier.answers,
            self.failures - earlier.failures,
            self.log_time - earlier.log_time,
            self.log_time_squared - earlier.log_time_squared,
        )


NO_ANSWERS = AnswerSample()
#: Answer without a time: a failure, or one that was lost.
FAILED_ANSWER = AnswerSample(1, 1)

Samples = Mapping[SampleKey, AnswerSample]


def add_samples(total: dict[SampleKey, AnswerSample], part: Samples) -> None:
    """Adds samples to a sum."""
    for key, sample in part.items():
        total[key] = total.get(key, NO_ANSWERS).plus(sample)


def subtract_samples(total: Samples, part: Samples) -> dict[SampleKey, AnswerSample]:
    """Returns a sum without one of its parts."""
    return {
        key: sample.minus(part.get(key, NO_ANSWERS)) for key, sample in total.items()
    }
