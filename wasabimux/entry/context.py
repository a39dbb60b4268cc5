"""State of a request while the entry serves it."""

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
    """State of one request.

    Attributes:
        request_id: Id of the request, the same for all attempts.
        client: Identity of the client.
        route: Route of the request.
        settings: Settings of the route.
        accepted_s: Loop time at which the request arrived.
        weight: Weight of the workspace in the fair queues of full upstreams.
        attempt: Number of the current attempt, from 0.
        ran: Whether the request ran on an upstream, over all attempts so far.
        tried_upstreams: Upstreams at which an attempt failed.
        client_retry_age_ms: Age of the first request that this request is a
            client's retry of, 0 if it is not a retry.
        engine_request_count: Messages sent to agents that may have started work
            at an engine.
        charged_tokens: Tokens charged to the workspace.
        used_tokens: Tokens used, None until known.
        abort_refusal: Refusal with which the request was aborted, None if it was
            not.
    """

    request_id: RequestId
    client: ClientIdentity
    route: Route
    settings: RouteSettings
    accepted_s: float
    weight: float = 1.0
    attempt: int = 0
    ran: Ran = Ran.NO
    tried_upstreams: set[UpstreamId] = field(default_factory=set)
    engine_request_count: int = 0
    client_retry_age_ms: int = 0
    charged_tokens: float = 0.0
    used_tokens: float | None = None
    abort_refusal: Refusal | None = None
    _timeout: asyncio.Timeout | None = None

    @property
    def workspace(self) -> str:
        """Workspace of the client, empty without a key."""
        return self.client.workspace or ""

    @property
    def deadline_s(self) -> float:
        """Loop time by which the response must be complete."""
        return self.accepted_s + self.settings.deadline_s

    def deadline_scope(self) -> asyncio.Timeout:
        """Returns a timeout that expires at the deadline or when `abort` is called."""
        timeout_at_s = (
            self.deadline_s if self.abort_refusal is None else self.accepted_s
        )
        self._timeout = asyncio.timeout_at(timeout_at_s)
        return self._timeout

    def abort(self, refusal: Refusal, now: float) -> None:
        """Aborts the request with a refusal.

        Args:
            refusal: Reason for the client.
            now: Current loop time in s.
        """
        self.abort_refusal = refusal
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(now)

    def timeout_refusal(self) -> Refusal:
        """Returns the refusal for an expired `deadline_scope`."""
        if self.abort_refusal is not None:
            return self.abort_refusal
        return Refusal(
            ErrorCode.DEADLINE, "the deadline of the request has passed", Ran.UNKNOWN
        )

    def budget_ms(self, now: float) -> int:
        """Returns the time remaining until the deadline."""
        return max(0, round((self.deadline_s - now) * 1000))

    def slot_budget_ms(self, now: float, fraction: float) -> int:
        """Returns the longest useful wait for a slot.

        Args:
            now: Current loop time in s.
            fraction: Fraction of the first-token target that waits may take.
        """
        if self.settings.patient:
            return self.budget_ms(now)
        target_s = self.settings.first_token_target_s * fraction
        remaining_ms = round((self.accepted_s + target_s - now) * 1000)
        return min(max(MIN_SLOT_BUDGET_MS, remaining_ms), self.budget_ms(now))

    def age_ms(self, now: float) -> int:
        """Returns the time since the request, or the one that it retries, arrived."""
        return max(0, round((now - self.accepted_s) * 1000)) + self.client_retry_age_ms

    def record_ran(self, ran: Ran) -> None:
        """Records whether a failed attempt ran on an upstream."""
        self.ran = max(self.ran, ran, key=RAN_ORDER.index)

    def final_refusal(self, refusal: Refusal) -> Refusal:
        """Returns a refusal whose `ran` covers all attempts."""
        self.record_ran(refusal.ran)
        return refusal.with_ran(self.ran)
