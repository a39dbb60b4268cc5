"""What streams take, learned from those that have ended."""

from __future__ import annotations

import math

from wasabimux.decisions.memory_forecast import MAX_FILL_FRACTION
from wasabimux.decisions.phase_plan import StreamCost

#: Weight of one stream in the moving averages.
STREAM_WEIGHT = 0.1

#: What is expected before any stream was seen.
FIRST_STREAM_S = 3.5
FIRST_TOKENS_PER_S = 1_600.0
FIRST_MEMORY_TOKENS = 8_000.0
FIRST_PROMPT_TOKENS = 5_000.0
FIRST_ANSWER_TOKENS = 4_500.0

#: Weight of a caller's estimate of the length against the usual length.
HINT_WEIGHT = 0.5
FIRST_PREFILL_TOKENS_PER_S = 50_000.0

#: Weights of a prefill that was faster or slower than expected, and the factor of the
#: expected speed above which its prompt must have been cached.
FASTER_WEIGHT = 0.2
SLOWER_WEIGHT = 0.02
CACHED_FACTOR = 2.0


class StreamEstimates:
    """Moving averages of what streams take.

    Attributes:
        mean_stream_s: Time for which a stream holds its slot.
        tokens_per_s: Tokens that a stream makes in a second.
    """

    def __init__(self) -> None:
        self.mean_stream_s = FIRST_STREAM_S
        self.tokens_per_s = FIRST_TOKENS_PER_S
        self._memory_tokens = FIRST_MEMORY_TOKENS
        self._log_tokens = math.log(FIRST_ANSWER_TOKENS)
        self._prompt_tokens = FIRST_PROMPT_TOKENS
        self._prefill_tokens_per_s = FIRST_PREFILL_TOKENS_PER_S

    def on_stream_end(
        self, prompt_tokens: int, generated_tokens: int, held_s: float, making_s: float
    ) -> None:
        """Notes a stream that has ended in good order.

        Args:
            prompt_tokens: Tokens of its prompt.
            made_tokens: Tokens of its answer.
            held_s: Time for which it held its slot.
            making_s: Time from its first event to its end.
        """
        memory = prompt_tokens + generated_tokens / 2
        self._memory_tokens += STREAM_WEIGHT * (memory - self._memory_tokens)
        self.mean_stream_s += STREAM_WEIGHT * (held_s - self.mean_stream_s)
        if generated_tokens > 0:
            difference = math.log(generated_tokens) - self._log_tokens
            self._log_tokens += STREAM_WEIGHT * difference
        if making_s > 0 and generated_tokens > 0:
            speed = generated_tokens / making_s
            self.tokens_per_s += STREAM_WEIGHT * (speed - self.tokens_per_s)

    def expected_tokens(self, hint: int | None, max_tokens: int) -> float:
        """Returns the expected length of an answer.

        A caller's estimate and the usual length are both off by about the same factor,
        so the best guess lies between them.

        Args:
            hint: Caller's estimate in tokens, None without one.
            max_tokens: Most tokens of the answer.
        """
        usual = math.exp(self._log_tokens)
        if hint is not None and hint > 0:
            usual = hint**HINT_WEIGHT * usual ** (1 - HINT_WEIGHT)
        return min(usual, float(max_tokens))

    def on_prefill(self, tokens: int, took_s: float) -> None:
        """Notes a prefill.

        Most wait behind others and so seem slower than their engine; the estimate
        follows faster ones more. One whose prompt was cached says nothing.
        """
        self._prompt_tokens += STREAM_WEIGHT * (tokens - self._prompt_tokens)
        speed = tokens / max(1e-3, took_s)
        expected = self._prefill_tokens_per_s
        if speed < CACHED_FACTOR * expected:
            weight = FASTER_WEIGHT if speed > expected else SLOWER_WEIGHT
            self._prefill_tokens_per_s += weight * (speed - expected)

    def expected_prefill_s(self, tokens: float) -> float:
        """Returns the time that a prefill engine takes to read some tokens."""
        return tokens / self._prefill_tokens_per_s

    def stream_cost(self, memory_tokens: int, slots: int) -> StreamCost:
        """Returns what a stream takes of a prefill and of a decode engine.

        Args:
            memory_tokens: Memory of an engine.
            slots: Slots of an engine.
        """
        together = MAX_FILL_FRACTION * memory_tokens / max(1.0, self._memory_tokens)
        together = min(together, float(slots))
        return StreamCost(
            self.expected_prefill_s(self._prompt_tokens), self.mean_stream_s / together
        )
