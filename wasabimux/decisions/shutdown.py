"""Which requests a process still takes while it shuts down.

Made for planned stops under load: callers and load balancers notice a stop late, and
bodies arrive slowly. A request that cannot end in time is refused while nothing of it
has run, so that its caller sends it elsewhere.
"""

from __future__ import annotations


def can_end_in_time(now: float, ends_s: float, expected_s: float) -> bool:
    """Returns whether a request can end before its process does.

    Args:
        now: Current time in s.
        ends_s: Time in s at which the last answers have to be complete.
        expected_s: Time in s for which the request may run: all that it has left if it
            must run at most once, the usual time if it may run again elsewhere.
    """
    return now + expected_s <= ends_s
