"""Which requests a process still takes while it shuts down.

Made for planned stops under load: callers and load balancers notice a stop late, and
bodies arrive slowly. A request that cannot end in time is refused while nothing of it
has run, so that its caller sends it elsewhere.
"""

from __future__ import annotations

from typing import NamedTuple

#: Length of a long stream, as a multiple of the mean one.
LONG_STREAM_FACTOR = 2.0


class ShutdownDemand(NamedTuple):
    """How long a request may run that arrives while its process shuts down.

    Attributes:
        left_s: Time in s until its deadline.
        target_latency_s: Time in s in which it usually ends.
        mean_stream_s: Mean length in s of a stream, None if it is no stream.
        idempotent: True if it may run again elsewhere.
    """

    left_s: float
    target_latency_s: float
    mean_stream_s: float | None
    idempotent: bool

    @property
    def expected_s(self) -> float:
        """Time in s for which to expect it to run.

        A call that must run once may take all that it has left.
        """
        if self.mean_stream_s is not None:
            return min(self.left_s, LONG_STREAM_FACTOR * self.mean_stream_s)
        if self.idempotent:
            return min(self.left_s, self.target_latency_s)
        return self.left_s


def can_end_in_time(demand: ShutdownDemand, now: float, ends_s: float) -> bool:
    """Returns whether a request can end before its process does.

    Args:
        demand: How long the request may run.
        now: Current time in s.
        ends_s: Time in s at which the last answers have to be complete.
    """
    return now + demand.expected_s <= ends_s
