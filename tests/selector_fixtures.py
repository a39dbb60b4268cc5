"""Selectors of many relays without a network, for tests of shared rates."""

from __future__ import annotations

import random
from typing import Any

from wasabimux._clock import loop_time
from wasabimux.decisions.aggregation import RelayCounts
from wasabimux.decisions.usage_sums import NO_USAGE
from wasabimux.ids import FailureDomainId, UpstreamId
from wasabimux.platform.documents import PlatformDocumentDecoder
from wasabimux.relay.model import UpstreamRecord
from wasabimux.relay.placing import UpstreamSelector
from wasabimux.relay.upstreams import UpstreamPool
from wasabimux.relay.view import FleetView
from wasabimux.timeline import Timeline

FAILURE_DOMAIN = FailureDomainId("zone-a")


class StubMesh:
    """A mesh that knows the number of relays only."""

    def __init__(self, relays: int) -> None:
        self.others = NO_USAGE
        self._counts = RelayCounts(relays, 0)

    def relay_counts(self) -> RelayCounts:
        """Returns the numbers of relays."""
        return self._counts


def upstream_record(name: str, cold_s: float = 0.0) -> UpstreamRecord:
    """Returns the entry of an upstream of a plain service."""
    return UpstreamRecord(
        UpstreamId(name),
        "desk",
        "10.9.0.1:80",
        FAILURE_DOMAIN,
        6,
        False,
        cold_s,
        None,
        1,
    )


def relay_selector(
    relays: int, number: int, *records: UpstreamRecord
) -> UpstreamSelector:
    """Returns the selector of one of many relays.

    Args:
        relays: Number of relays.
        number: Number of this relay, the seed of its random choices.
        *records: Entries of the upstreams.
    """
    timeline = Timeline(f"relay-{number}")
    view = FleetView(PlatformDocumentDecoder(), timeline, lambda now: None)
    pool = UpstreamPool()
    pool.apply(records, loop_time())
    found = UpstreamSelector(view, pool, FAILURE_DOMAIN, random.Random(number))
    mesh: Any = StubMesh(relays)
    found.mesh = mesh
    return found
