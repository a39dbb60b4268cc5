"""What an entry knows of one request while it serves it."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

from wasabimux.entry.credentials import ClientIdentity
from wasabimux.errors import ErrorCode, Ran, Refusal
from wasabimux.ids import RequestId, UpstreamId
from wasabimux.settings.fleet import Route
from wasabimux.settings.index import RouteSettings

MIN_SLOT_BUDGET_MS = 1

RAN_ORDER = (Ran.NO, Ran.UNKNOWN, Ran.YES)


@dataclass(slots=True, eq=False)
class RequestContext:
    """One request.

    Attributes:
        request_id: Identity, the same for all attempts.
        caller: Who sent it.
        route: Where it goes.
        settings: Settings of the route.
        accepted_s: Loop time of its arrival.
        weight: Share of the workspace when upstreams are full.
        attempt: Number of the present attempt, from 0.
        ran: What is known of all attempts so far.
        tried: Upstreams that have failed it.
        extra_age_ms: Age of the first attempt that a retry of the caller repeats.
        sent: Messages sent to agents that may have made an engine work.
        charged: Tokens charged to the workspace.
        used: Tokens used, once known.
        cut: Why the request was cut short, if it was.
    """

    request_id: RequestId
    caller: ClientIdentity
    route: Route
    settings: RouteSettings
    accepted_s: float
    weight: float = 1.0
    attempt: int = 0
    ran: Ran = Ran.NO
    tried: set[UpstreamId] = field(default_factory=set)
    sent: int = 0
    extra_age_ms: int = 0
    charged: float = 0.0
    used: float | None = None
    cut: Refusal | None = None
    _scope: asyncio.Timeout | None = None

    @property
    def workspace(self) -> str:
        """Workspace of the caller, empty without a key."""
        return self.caller.workspace or ""

    @property
    def deadline_s(self) -> float:
        """Loop time at which the answer must have ended."""
        return self.accepted_s + self.settings.deadline_s

    def scope(self) -> asyncio.Timeout:
        """Returns a timeout that ends at the deadline, or when cut off."""
        until_s = self.deadline_s if self.cut is None else self.accepted_s
        self._scope = asyncio.timeout_at(until_s)
        return self._scope

    def abort(self, refusal: Refusal, now: float) -> None:
        """Ends the request at once with a refusal."""
        self.cut = refusal
        if self._scope is not None and not self._scope.expired():
            self._scope.reschedule(now)

    def timeout_refusal(self) -> Refusal:
        """Returns why the scope has ended."""
        if self.cut is not None:
            return self.cut
        return Refusal(ErrorCode.DEADLINE, "not done in time", Ran.UNKNOWN)

    def budget_ms(self, now: float) -> int:
        """Time left until the deadline."""
        return max(0, round((self.deadline_s - now) * 1000))

    def slot_budget_ms(self, now: float, share: float) -> int:
        """Time for which a wait for a slot is useful.

        Args:
            now: Present time in s.
            share: Part of the target for the first token that waits may take.
        """
        if self.settings.patient:
            return self.budget_ms(now)
        target_s = self.settings.first_token_target_s * share
        left_ms = round((self.accepted_s + target_s - now) * 1000)
        return min(max(MIN_SLOT_BUDGET_MS, left_ms), self.budget_ms(now))

    def age_ms(self, now: float) -> int:
        """Time since the arrival."""
        return max(0, round((now - self.accepted_s) * 1000)) + self.extra_age_ms

    def note_ran(self, ran: Ran) -> None:
        """Adds what a failed attempt says on whether it ran."""
        self.ran = max(self.ran, ran, key=RAN_ORDER.index)

    def final(self, refusal: Refusal) -> Refusal:
        """Returns a refusal that is true for all attempts together."""
        self.note_ran(refusal.ran)
        return refusal.with_ran(self.ran)
