"""How many engines of a service prefill, and which one changes next.

Answers the load in which either the prompts or the answers of a mix take more of the
engines' time than their phases give them. A change takes an engine out for seconds, so
there is one at a time, and none for a small gain.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from wasabimux.ids import FailureDomainId, UpstreamId

#: Utilization that one kind of engine may exceed the other by before a change.
HYSTERESIS = 0.25

#: Prefill engines stay below this utilization, as prompts come in bunches.
PREFILL_UTILIZATION = 0.75


class EngineAssignment(NamedTuple):
    """An engine that may change its phase.

    Attributes:
        upstream: Its identity.
        failure_domain: Where it runs.
        prefill: True if it prefills now.
        running: Requests there.
    """

    upstream: UpstreamId
    failure_domain: FailureDomainId
    prefill: bool
    running: int


class StreamCost(NamedTuple):
    """What one stream takes.

    Attributes:
        prefill_s: Time of a prefill engine.
        decode_s: Time of a decode engine: its length over the streams that one
            engine runs at once.
    """

    prefill_s: float
    decode_s: float


class PhaseChange(NamedTuple):
    """A change of one engine's phase."""

    upstream: UpstreamId
    to_prefill: bool


def target_prefill_count(engines: int, cost: StreamCost) -> int:
    """Returns how many engines should prefill.

    Args:
        engines: Engines that can work.
        cost: What one stream takes.
    """
    if engines <= 1:
        return 0
    prefill_s = cost.prefill_s / PREFILL_UTILIZATION
    exact = engines * prefill_s / (prefill_s + cost.decode_s)
    return min(engines - 1, max(1, round(exact)))


def next_phase_change(
    engines: Sequence[EngineAssignment], cost: StreamCost
) -> PhaseChange | None:
    """Returns the next change of phase, None if all is as it should be.

    Args:
        engines: Engines that can work.
        cost: What one stream takes.
    """
    prefill = [engine for engine in engines if engine.prefill]
    decode = [engine for engine in engines if not engine.prefill]
    wanted = target_prefill_count(len(engines), cost)
    if len(prefill) > wanted and _worth_it(len(engines), len(prefill), -1, cost):
        return PhaseChange(_most_crowded(prefill).upstream, False)
    if len(prefill) < wanted and _worth_it(len(engines), len(prefill), 1, cost):
        return PhaseChange(_most_crowded(decode).upstream, True)
    return None


def _worth_it(engines: int, prefill: int, step: int, cost: StreamCost) -> bool:
    """Tells whether a step lets the pools carry clearly more streams."""
    before = _carried(engines, prefill, cost)
    after = _carried(engines, prefill + step, cost)
    return before == 0.0 or after / before > 1.0 + HYSTERESIS / engines


def _carried(engines: int, prefill: int, cost: StreamCost) -> float:
    """Returns the streams a second that both pools can carry."""
    prefilled = prefill * PREFILL_UTILIZATION / cost.prefill_s
    decoded = (engines - prefill) / cost.decode_s
    return min(prefilled, decoded)


def _most_crowded(engines: Sequence[EngineAssignment]) -> EngineAssignment:
    """Returns an engine of the domain that has most of them, the idlest first."""
    domains = [engine.failure_domain for engine in engines]
    return min(
        engines,
        key=lambda engine: (
            -domains.count(engine.failure_domain),
            engine.running,
            engine.upstream,
        ),
    )
