"""Upstreams that name the requests a second that they take from all relays together."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence

from tests.relay_fixtures import RelayCluster, relay_cluster
from wasabimux._clock import loop_time

LIMIT_PER_S = 5.0

#: Requests in some 4 s that an upstream may get, as the platform's rules state: one and
#: a half times what its limit allows, and 5.
WINDOW_S = 4.0
MAX_IN_WINDOW = 1.5 * LIMIT_PER_S * WINDOW_S + 5

#: Time in s until all relays must keep to the limit.
STABLE_WINDOW_S = 3.0


def most_in_window(sent_s: Sequence[float]) -> int:
    """Returns the most requests in any window."""
    return max(
        (sum(start <= at < start + WINDOW_S for at in sent_s) for start in sent_s),
        default=0,
    )


async def call_steadily(
    cluster: RelayCluster, upstream: str, per_s: float, duration_s: float
) -> list[float]:
    """Calls the plain service through each relay in turn.

    Args:
        cluster: The relays.
        upstream: Upstream whose calls are recorded.
        per_s: Calls per s.
        duration_s: Time for which calls are made, in s.

    Returns:
        The times in s after the first call at which the upstream got calls.
    """
    runner = cluster.runners[upstream]
    started_s = loop_time()
    arrived_s: list[float] = []
    for number in range(int(per_s * duration_s)):
        await asyncio.sleep(max(0.0, started_s + number / per_s - loop_time()))
        relay = number % len(cluster.relays)
        async with await cluster.request("/safe/1", f"r{number}", relay) as response:
            await response.body()
        new = len(runner.runs) - len(arrived_s)
        arrived_s += [loop_time() - started_s] * new
    return arrived_s


async def test_upstream_gets_no_more_than_the_rate_it_names_from_all_relays() -> None:
    async with relay_cluster(relays=3) as cluster:
        cluster.runners["desk-1"].faults.rate_limit_per_s = LIMIT_PER_S
        arrived_s = await call_steadily(cluster, "desk-1", 40.0, 8.0)
    later_s = [at for at in arrived_s if at >= STABLE_WINDOW_S]
    assert most_in_window(later_s) <= MAX_IN_WINDOW
