"""How much of an engine's memory its streams will take over the next seconds.

Answers the load in which the memory of decode engines is what binds. A stream takes
its prompt at once and grows with each token, and few are as long as they may be. To
reserve the longest for each would leave half of the memory empty, and to reserve only
what is used now would overflow while many streams are young. So a stream is admitted
if the expected use stays below the memory at each of a few points in time.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from typing import NamedTuple

#: Points in time from now, in s, at which use is forecast.
HORIZONS_S = (0.0, 0.5, 1.0, 1.5, 2.0, 3.0, 4.0)

#: Part of an engine's memory that forecasts may fill.
MAX_FILL_FRACTION = 0.76

#: Spread of lengths about the caller's estimate, as the deviation of the logarithm.
LENGTH_SPREAD = 0.36

#: No stream is expected to be shorter than this.
MIN_LENGTH_TOKENS = 16.0

#: Part of streams of a length below which the estimate says nothing any more.
MIN_SURVIVAL = 0.01

MemoryForecast = tuple[float, ...]

ZERO_FORECAST: MemoryForecast = (0.0,) * len(HORIZONS_S)


class StreamState(NamedTuple):
    """A stream that runs or is about to.

    Attributes:
        prompt_tokens: Tokens of the prompt.
        made_tokens: Tokens of the answer so far.
        expected_tokens: Estimate of the answer's length, right at the median.
        max_tokens: Most tokens of the answer.
    """

    prompt_tokens: int
    generated_tokens: int
    expected_tokens: float
    max_tokens: int


def forecast(stream: StreamState, tokens_per_s: float) -> MemoryForecast:
    """Returns the memory that a stream is expected to take at each horizon.

    Args:
        stream: The stream.
        tokens_per_s: Tokens that it makes in a second.
    """
    alive_now = _survival(stream, stream.generated_tokens)
    use = [float(stream.prompt_tokens + stream.generated_tokens)]
    for horizon_s in HORIZONS_S[1:]:
        made = stream.generated_tokens + tokens_per_s * horizon_s
        alive = _survival(stream, made) / max(MIN_SURVIVAL, alive_now)
        use.append(min(1.0, alive) * (stream.prompt_tokens + made))
    return tuple(use)


def sum_forecasts(forecasts: Sequence[MemoryForecast]) -> MemoryForecast:
    """Returns the sum of forecasts."""
    if not forecasts:
        return ZERO_FORECAST
    return tuple(sum(values) for values in zip(*forecasts))


def free_memory(memory_tokens: int, used: MemoryForecast) -> float:
    """Returns the memory that is free at the fullest horizon."""
    return MAX_FILL_FRACTION * memory_tokens - max(used)


def fits_in_memory(
    memory_tokens: int, used: MemoryForecast, added: MemoryForecast
) -> bool:
    """Tells whether a stream may be added to what an engine is expected to run."""
    limit = MAX_FILL_FRACTION * memory_tokens
    return all(before + more <= limit for before, more in zip(used, added))


def _survival(stream: StreamState, made: float) -> float:
    """Returns the part of such streams that are longer than `made` tokens."""
    if made >= stream.max_tokens:
        return 0.0
    if made <= MIN_LENGTH_TOKENS:
        return 1.0
    deviations = math.log(made / max(1.0, stream.expected_tokens)) / LENGTH_SPREAD
    return 0.5 * math.erfc(deviations / math.sqrt(2.0))
