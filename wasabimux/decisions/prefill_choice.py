"""Choice of the engine that prefills a prompt.

Made for loads in which many relays send prompts at the same time and learn of one
another's prompts late. If each chose the engine with the shortest known queue, they
would all choose the same one until their reports arrive.
"""

from __future__ import annotations

import random
from collections.abc import Mapping

from wasabimux.ids import UpstreamId


def choose_prefill_engine(
    queued_by_engine: Mapping[UpstreamId, float],
    max_queued_tokens: float,
    rng: random.Random,
) -> UpstreamId | None:
    """Returns the less loaded of two engines that are drawn at random.

    Args:
        queued_by_engine: Known tokens of the prompts queued at each engine.
        max_queued_tokens: Queued tokens above which an engine gets no prompts.
        rng: Draws the engines.

    Returns:
        The engine, None if each one is over the limit.
    """
    open_engines = [
        engine
        for engine, queued in queued_by_engine.items()
        if queued <= max_queued_tokens
    ]
    drawn = rng.sample(open_engines, min(2, len(open_engines)))
    return min(drawn, key=lambda engine: queued_by_engine[engine], default=None)
