"""Number of prefill engines of a service, and the next engine to change its phase.

Made for loads in which either the prompts or the responses of the current mix need more
engine time than the engines of their phase have. A change takes an engine out of
service for seconds, so engines change one at a time, and not for a small gain.
"""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from wasabimux.ids import FailureDomainId, UpstreamId

#: Minimum relative gain of throughput for a change, divided by the number of engines;
#: prevents engines from changing back and forth.
HYSTERESIS = 0.25

#: Highest planned utilization of prefill engines; below 1 as prompts arrive in bursts.
PREFILL_UTILIZATION = 0.75


class EngineAssignment(NamedTuple):
    """An engine and the phase that it runs now.

    Attributes:
        upstream: Id of the engine.
        failure_domain: Failure domain of the engine.
        prefill: True if the engine prefills, False if it decodes.
        running: Requests that run at the engine.
    """

    upstream: UpstreamId
    failure_domain: FailureDomainId
    prefill: bool
    running: int


class StreamCost(NamedTuple):
    """Engine time that one stream takes.

    Attributes:
        prefill_s: Time of a prefill engine in s.
        decode_s: Time of a decode engine in s: duration of the stream over the number
            of streams that one engine runs concurrently.
    """

    prefill_s: float
    decode_s: float


class PhaseChange(NamedTuple):
    """A change of one engine's phase."""

    upstream: UpstreamId
    to_prefill: bool


def target_prefill_count(engines: int, cost: StreamCost) -> int:
    """Returns the number of engines that should prefill.

    Args:
        engines: Number of available engines.
        cost: Engine time that one stream takes.
    """
    if engines <= 1:
        return 0
    prefill_s = cost.prefill_s / PREFILL_UTILIZATION
    exact = engines * prefill_s / (prefill_s + cost.decode_s)
    return min(engines - 1, max(1, round(exact)))


def next_phase_change(
    engines: Sequence[EngineAssignment], cost: StreamCost
) -> PhaseChange | None:
    """Returns the next phase change, None if no change is worthwhile.

    Args:
        engines: Available engines.
        cost: Engine time that one stream takes.
    """
    prefill = [engine for engine in engines if engine.prefill]
    decode = [engine for engine in engines if not engine.prefill]
    target = target_prefill_count(len(engines), cost)
    if len(prefill) > target and _is_worthwhile(len(engines), len(prefill), -1, cost):
        return PhaseChange(_engine_to_change(prefill).upstream, False)
    if len(prefill) < target and _is_worthwhile(len(engines), len(prefill), 1, cost):
        return PhaseChange(_engine_to_change(decode).upstream, True)
    return None


def _is_worthwhile(
    engines: int, prefill: int, prefill_change: int, cost: StreamCost
) -> bool:
    """Returns whether changing the number of prefill engines raises throughput enough.

    Args:
        engines: Number of available engines.
        prefill: Number of prefill engines now.
        prefill_change: Number of prefill engines to add, negative to remove some.
        cost: Engine time that one stream takes.
    """
    before = _max_streams_per_s(engines, prefill, cost)
    after = _max_streams_per_s(engines, prefill + prefill_change, cost)
    return before == 0.0 or after / before > 1.0 + HYSTERESIS / engines


def _max_streams_per_s(engines: int, prefill: int, cost: StreamCost) -> float:
    """Returns the streams per second that both pools can sustain."""
    prefill_per_s = prefill * PREFILL_UTILIZATION / cost.prefill_s
    decode_per_s = (engines - prefill) / cost.decode_s
    return min(prefill_per_s, decode_per_s)


def _engine_to_change(engines: Sequence[EngineAssignment]) -> EngineAssignment:
    """Returns the least busy engine of the failure domain with the most engines."""
    domains = [engine.failure_domain for engine in engines]
    return min(
        engines,
        key=lambda engine: (
            -domains.count(engine.failure_domain),
            engine.running,
            engine.upstream,
        ),
    )
