"""Estimates of the time and memory that streams take, learned from ended streams."""

from __future__ import annotations

import math

from wasabimux.decisions.memory_forecast import MAX_FILL_FRACTION
from wasabimux.decisions.phase_plan import StreamCost

#: Weight of one stream in the moving averages.
STREAM_WEIGHT = 0.1

#: Initial values of the estimates, used until streams have ended.
INITIAL_STREAM_S = 3.5
INITIAL_TOKENS_PER_S = 1_600.0
INITIAL_MEMORY_TOKENS = 8_000.0
INITIAL_PROMPT_TOKENS = 5_000.0
INITIAL_RESPONSE_TOKENS = 4_500.0

#: Weight of a client's length estimate against the mean length of responses.
HINT_WEIGHT = 0.5

#: Initial estimate of an engine's prefill speed.
INITIAL_PREFILL_TOKENS_PER_S = 50_000.0

#: Weights of a prefill that was faster or slower than expected, and the multiple of the
#: expected speed above which its prompt must have been cached.
FASTER_WEIGHT = 0.2
SLOWER_WEIGHT = 0.02
CACHED_FACTOR = 2.0


class StreamEstimates:
    """Moving averages of the time and memory that streams take.

    Attributes:
        mean_stream_s: Time in s for which a stream holds its slot.
        tokens_per_s: Tokens that a stream generates per second.
    """

    def __init__(self) -> None:
        self.mean_stream_s = INITIAL_STREAM_S
        self.tokens_per_s = INITIAL_TOKENS_PER_S
        self._mean_memory_tokens = INITIAL_MEMORY_TOKENS
        self._mean_log_tokens = math.log(INITIAL_RESPONSE_TOKENS)
        self._mean_prompt_tokens = INITIAL_PROMPT_TOKENS
        self._prefill_tokens_per_s = INITIAL_PREFILL_TOKENS_PER_S

    def on_stream_end(
        self,
        prompt_tokens: int,
        generated_tokens: int,
        slot_s: float,
        generation_s: float,
    ) -> None:
        """Records a stream that has ended normally.

        Args:
            prompt_tokens: Tokens of the prompt.
            generated_tokens: Tokens of the response.
            slot_s: Time in s for which the stream held its slot.
            generation_s: Time in s from the first event of the stream to its end.
        """
        memory = prompt_tokens + generated_tokens / 2
        self._mean_memory_tokens += STREAM_WEIGHT * (memory - self._mean_memory_tokens)
        self.mean_stream_s += STREAM_WEIGHT * (slot_s - self.mean_stream_s)
        if generated_tokens > 0:
            difference = math.log(generated_tokens) - self._mean_log_tokens
            self._mean_log_tokens += STREAM_WEIGHT * difference
        if generation_s > 0 and generated_tokens > 0:
            tokens_per_s = generated_tokens / generation_s
            self.tokens_per_s += STREAM_WEIGHT * (tokens_per_s - self.tokens_per_s)

    def expected_tokens(self, hint: int | None, max_tokens: int) -> float:
        """Returns the expected length of a response in tokens.

        The client's estimate and the mean length are both off by about the same
        factor, so the best estimate lies between them: their weighted geometric mean.

        Args:
            hint: The client's estimate in tokens, None if it gave none.
            max_tokens: Maximum length of the response.
        """
        expected = math.exp(self._mean_log_tokens)
        if hint is not None and hint > 0:
            expected = hint**HINT_WEIGHT * expected ** (1 - HINT_WEIGHT)
        return min(expected, float(max_tokens))

    def on_prefill(self, tokens: int, took_s: float) -> None:
        """Records a prefill.

        Most prefills wait behind others, and so seem slower than their engine is; hence
        a faster one gets more weight. One whose prompt was cached is ignored for the
        speed.

        Args:
            tokens: Tokens of the prompt.
            took_s: Time in s from the request to the end of the prefill.
        """
        self._mean_prompt_tokens += STREAM_WEIGHT * (tokens - self._mean_prompt_tokens)
        tokens_per_s = tokens / max(1e-3, took_s)
        expected = self._prefill_tokens_per_s
        if tokens_per_s < CACHED_FACTOR * expected:
            weight = FASTER_WEIGHT if tokens_per_s > expected else SLOWER_WEIGHT
            self._prefill_tokens_per_s += weight * (tokens_per_s - expected)

    def expected_prefill_s(self, tokens: float) -> float:
        """Returns the time in s that a prefill engine takes for a number of tokens."""
        return tokens / self._prefill_tokens_per_s

    def stream_cost(self, memory_tokens: int, slots: int) -> StreamCost:
        """Returns the prefill and decode engine time that one stream takes.

        Args:
            memory_tokens: Memory of an engine in tokens.
            slots: Slots of an engine.
        """
        concurrency = (
            MAX_FILL_FRACTION * memory_tokens / max(1.0, self._mean_memory_tokens)
        )
        concurrency = min(concurrency, float(slots))
        return StreamCost(
            self.expected_prefill_s(self._mean_prompt_tokens),
            self.mean_stream_s / concurrency,
        )
