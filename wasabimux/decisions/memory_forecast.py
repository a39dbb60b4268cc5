"""Forecast of the memory that an engine's streams will use over the next seconds.

Made for loads in which the memory of decode engines is the bottleneck. A stream uses
memory for its whole prompt at once and grows with each generated token, but few streams
reach their maximum length. Reserving the maximum for each would leave half of the
memory empty; counting only current use would overflow the memory while many streams are
young. So a stream is admitted if the expected use stays within the memory at each of a
few horizons.
"""

from __future__ import annotations

import bisect
import math
from collections.abc import Sequence
from typing import NamedTuple

#: Times from now, in s, at which memory use is forecast.
HORIZONS_S = (0.0, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0)

#: Fraction of an engine's memory that forecast use may fill.
MAX_FILL_FRACTION = 0.76

#: Standard deviation of ln(length / expected length) of a response.
LENGTH_LOG_DEVIATION = 0.36

#: Every response is expected to be at least this long.
MIN_LENGTH_TOKENS = 16.0

#: Lower bound of the survival probability at a stream's current length; below it, the
#: expected length tells nothing any more about when the stream ends.
MIN_SURVIVAL = 0.01

#: Memory use in tokens at each of HORIZONS_S.
MemoryForecast = tuple[float, ...]

ZERO_FORECAST: MemoryForecast = (0.0,) * len(HORIZONS_S)


class StreamState(NamedTuple):
    """Length of a stream that runs or is about to.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        generated_tokens: Tokens of the response so far.
        expected_tokens: Estimated median of the response's length.
        max_tokens: Maximum length of the response.
    """

    prompt_tokens: int
    generated_tokens: int
    expected_tokens: float
    max_tokens: int


def forecast(stream: StreamState, tokens_per_s: float) -> MemoryForecast:
    """Returns the memory that a stream is expected to use at each horizon.

    Args:
        stream: The stream.
        tokens_per_s: Tokens that the stream generates per second.
    """
    survival_now = _survival(stream, stream.generated_tokens)
    use = [float(stream.prompt_tokens + stream.generated_tokens)]
    for horizon_s in HORIZONS_S[1:]:
        generated = stream.generated_tokens + tokens_per_s * horizon_s
        survival = _survival(stream, generated) / max(MIN_SURVIVAL, survival_now)
        use.append(min(1.0, survival) * (stream.prompt_tokens + generated))
    return tuple(use)


def sum_forecasts(forecasts: Sequence[MemoryForecast]) -> MemoryForecast:
    """Returns the sum of forecasts per horizon."""
    if not forecasts:
        return ZERO_FORECAST
    return tuple(sum(values) for values in zip(*forecasts))


def max_forecast(first: MemoryForecast, second: MemoryForecast) -> MemoryForecast:
    """Returns the larger of two forecasts at each horizon."""
    return tuple(max(values) for values in zip(first, second))


def age_forecast(made: MemoryForecast, age_s: float) -> MemoryForecast:
    """Returns a forecast made some time ago as a forecast from now.

    Args:
        made: The forecast.
        age_s: Time in s since it was made.
    """
    return tuple(_interpolate(made, horizon_s + age_s) for horizon_s in HORIZONS_S)


def _interpolate(made: MemoryForecast, horizon_s: float) -> float:
    """Returns the value at any horizon; beyond the last one, the last value."""
    index = bisect.bisect_right(HORIZONS_S, horizon_s)
    if index == len(HORIZONS_S):
        return made[-1]
    start_s, end_s = HORIZONS_S[index - 1], HORIZONS_S[index]
    weight = (horizon_s - start_s) / (end_s - start_s)
    return made[index - 1] + weight * (made[index] - made[index - 1])


def free_memory(memory_tokens: int, used: MemoryForecast) -> float:
    """Returns the memory in tokens that is free at the horizon with the highest use."""
    return MAX_FILL_FRACTION * memory_tokens - max(used)


def fits_in_memory(
    memory_tokens: int, used: MemoryForecast, added: MemoryForecast
) -> bool:
    """Returns whether a stream fits into an engine's memory at every horizon.

    Args:
        memory_tokens: Memory of the engine in tokens.
        used: Memory that the engine's streams are expected to use.
        added: Memory that the added stream is expected to use.
    """
    limit = MAX_FILL_FRACTION * memory_tokens
    return all(before + more <= limit for before, more in zip(used, added))


def _survival(stream: StreamState, length: float) -> float:
    """Returns the probability that a response is longer than `length` tokens."""
    if length >= stream.max_tokens:
        return 0.0
    if length <= MIN_LENGTH_TOKENS:
        return 1.0
    z_score = math.log(length / max(1.0, stream.expected_tokens)) / LENGTH_LOG_DEVIATION
    return 0.5 * math.erfc(z_score / math.sqrt(2.0))
