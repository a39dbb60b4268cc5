"""How many requests of a service may go to a software version on trial.

Made for bad versions, of which a stated share of all requests is the most that may be
lost. Each relay earns a fraction of a request of its own with every request that it
serves, so the share holds for their sum, whatever they know of each other, and a relay
that hears nothing earns nothing. Earned requests are spent in bursts that all relays
begin at about the same time: upstreams of the new version then get as much in a short
time as the others get, and a version that fails only under load shows it.
"""

from __future__ import annotations

import math
import random
from collections.abc import Collection
from typing import NamedTuple

from wasabimux.decisions.placement import rendezvous_top
from wasabimux.ids import UpstreamId

#: Fraction of the allowed share that relays use; retries elsewhere count as well.
SHARE_FRACTION = 0.75

#: Fraction of the allowed slack that relays start with, together.
SLACK_FRACTION = 0.3

#: Most requests that a relay saves for a burst.
MAX_SAVED_REQUESTS = 3.0

#: Time in s between the starts of two bursts, and length in s of a burst.
BURST_INTERVAL_S = 3.0
BURST_S = 1.0

#: Fraction of the new version's upstreams that get requests in one burst, and the most
#: of them in a trial.
TRIED_FRACTION = 0.35
MAX_TRIED_UPSTREAMS = 8


class ExposureLimits(NamedTuple):
    """How many requests a bad version may get.

    Attributes:
        share: Fraction of all requests of the service.
        slack: Requests in addition.
    """

    share: float = 0.0
    slack: float = 0.0


class ExposureBudget:
    """Requests that one relay may send to a version on trial.

    Args:
        limits: How many requests all relays together may send.
        relay_count: Number of relays.
        rng: Source of randomness.
    """

    def __init__(
        self, limits: ExposureLimits, relay_count: int, rng: random.Random
    ) -> None:
        self._share = SHARE_FRACTION * limits.share
        first = SLACK_FRACTION * limits.slack / max(1, relay_count)
        self._saved = min(MAX_SAVED_REQUESTS, 2 * first * rng.random())

    def on_request(self) -> None:
        """Records a request of the service."""
        self._saved = min(MAX_SAVED_REQUESTS, self._saved + self._share)

    def try_take(self, wall_s: float) -> bool:
        """Takes a request for the new version, if one is earned and a burst is on.

        Args:
            wall_s: Time of day in s, on which the relays about agree.
        """
        if self._saved < 1.0 or wall_s % BURST_INTERVAL_S >= BURST_S:
            return False
        self._saved -= 1.0
        return True


def tried_upstreams(
    upstreams: Collection[UpstreamId], wall_s: float
) -> frozenset[UpstreamId]:
    """Returns the upstreams of the new version that get requests in a burst.

    Relays agree on them. The next burst goes to others, as one may be in trouble of its
    own.

    Args:
        upstreams: Upstreams of the new version that take requests.
        wall_s: Time of day in s.
    """
    ranked = rendezvous_top(b"trial", upstreams, MAX_TRIED_UPSTREAMS)
    count = max(1, math.ceil(TRIED_FRACTION * len(ranked)))
    begin = int(wall_s // BURST_INTERVAL_S) * count
    return frozenset(
        UpstreamId(ranked[(begin + index) % len(ranked)])
        for index in range(min(count, len(ranked)))
    )
