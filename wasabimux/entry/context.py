"""What an entry knows of one request while it serves it."""

from __future__ import annotations

from dataclasses import dataclass, field

from wasabimux.entry.credentials import Caller
from wasabimux.errors import Ran, Refusal
from wasabimux.ids import RequestId, UpstreamId
from wasabimux.settings.fleet import Route
from wasabimux.settings.index import RouteSettings

RAN_ORDER = (Ran.NO, Ran.UNKNOWN, Ran.YES)


@dataclass(slots=True)
class RequestContext:
    """One request.

    Attributes:
        request_id: Identity, the same for all attempts.
        caller: Who sent it.
        route: Where it goes.
        settings: Settings of the route.
        accepted_s: Loop time of its arrival.
        attempt: Number of the present attempt, from 0.
        ran: What is known of all attempts so far.
        tried: Upstreams that have failed it.
    """

    request_id: RequestId
    caller: Caller
    route: Route
    settings: RouteSettings
    accepted_s: float
    attempt: int = 0
    ran: Ran = Ran.NO
    tried: set[UpstreamId] = field(default_factory=set)

    @property
    def workspace(self) -> str:
        """Workspace of the caller, empty without a key."""
        return self.caller.workspace or ""

    @property
    def deadline_s(self) -> float:
        """Loop time at which the answer must have ended."""
        return self.accepted_s + self.settings.deadline_s

    def budget_ms(self, now: float) -> int:
        """Time left until the deadline."""
        return max(0, round((self.deadline_s - now) * 1000))

    def age_ms(self, now: float) -> int:
        """Time since the arrival."""
        return max(0, round((now - self.accepted_s) * 1000))

    def note_ran(self, ran: Ran) -> None:
        """Adds what a failed attempt says on whether it ran."""
        self.ran = max(self.ran, ran, key=RAN_ORDER.index)

    def final(self, refusal: Refusal) -> Refusal:
        """Returns a refusal that is true for all attempts together."""
        self.note_ran(refusal.ran)
        return refusal.with_ran(self.ran)
