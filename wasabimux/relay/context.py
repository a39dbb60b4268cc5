"""One request on its way through a relay."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import NamedTuple

from wasabimux.errors import (
    RETRYABLE_STATUSES,
    STATUS_BY_CODE,
    ErrorCode,
    Ran,
    Refusal,
    RefusedError,
)
from wasabimux.ids import UpstreamId, WorkspaceId
from wasabimux.ports import Headers
from wasabimux.relay.model import (
    RelayRoute,
    RequestFacts,
    SendOptions,
    ServiceProfile,
)

#: Time taken off what is left, for the way back to the caller.
RESPONSE_MARGIN_S = 0.03

#: Part of the route's time below which a request is one that has come back.
LAST_CHANCE_PART = 0.95


class Prefilled(NamedTuple):
    """A KV cache that nobody has taken yet.

    Attributes:
        source: Where it is, as `IP:PORT/HANDLE`.
        kept_until_s: Loop time until which it may be used.
    """

    source: str
    kept_until_s: float


@dataclass(slots=True)
class RelayRequest:
    """A request with what was decided for it.

    Attributes:
        facts: What it says of itself.
        method: HTTP method.
        target: HTTP target as received.
        headers: Headers as received.
        body: Whole body.
        route: Its route.
        service: Service that it goes to.
        workspace: Workspace of its key, None where none is needed.
        drop_key: True where no upstream may see the Authorization header.
        arrived_s: Loop time of its arrival.
        deadline_s: Loop time at which it ends.
        reserved: Tokens reserved of the workspace's share.
        beyond_share: True if the workspace has used up its share, and only the
            tolerance of its limit let the request in.
        tried: Upstreams that it was sent to.
        ran: Whether it has run, as far as is known.
        prefilled: Its KV cache, if one waits to be taken.
        prefill_sent: True once an engine was asked to read its prompt; only the
            first such call is free of the budget of retries.
        paid_retry: True if its next retry is taken from the budget already.
        answering: True once its caller has got a part of the answer.
    """

    metadata: RequestFacts
    method: str
    target: str
    headers: Headers
    body: bytes
    route: RelayRoute
    service: ServiceProfile
    workspace: WorkspaceId | None
    drop_key: bool
    arrived_s: float
    deadline_s: float
    reserved_cost: float = 0.0
    beyond_share: bool = False
    tried_upstreams: list[UpstreamId] = field(default_factory=list)
    ran: Ran = Ran.NO
    prefilled: Prefilled | None = None
    prefill_sent: bool = False
    paid_retry: bool = False
    response_started: bool = False

    @property
    def is_client_retry(self) -> bool:
        """True if the caller has waited before, so that it comes back from a refusal.

        Callers give a request the time of its route; one that comes back has less.
        """
        left_s = self.metadata.time_left_s
        return left_s is not None and left_s < LAST_CHANCE_PART * self.route.timeout_s

    def left_s(self, now: float) -> float:
        """Returns the time until its end."""
        return self.deadline_s - now

    def send_options(self, upstream: UpstreamId, now: float) -> SendOptions:
        """Returns what every send of the request to an upstream says."""
        return SendOptions(upstream, self.left_s(now), self.workspace, self.drop_key)

    def kv_source(self, now: float) -> str | None:
        """Returns where its KV cache is, if it can still be taken."""
        if self.prefilled is None or self.prefilled.kept_until_s <= now:
            return None
        return self.prefilled.source

    def may_send(self) -> bool:
        """True while it may be sent to a further upstream."""
        return len(self.tried_upstreams) < self.route.max_attempts

    def refusal_error(
        self, code: ErrorCode, message: str, retry_after_s: float | None = None
    ) -> RefusedError:
        """Returns a final refusal that tells the truth on whether it ran.

        Statuses that callers take for a promise that nothing has run are given only
        where that is known.
        """
        if STATUS_BY_CODE[code] in RETRYABLE_STATUSES and self.ran is not Ran.NO:
            code = ErrorCode.UPSTREAM_LOST
        error = RefusedError(Refusal(code, message, self.ran, retry_after_s))
        error.request_id = self.metadata.id
        return error

    @asynccontextmanager
    async def scope(self) -> AsyncGenerator[None, None]:
        """Runs steps until the request's time is over.

        Raises:
            RefusedError: It is over.
        """
        try:
            async with asyncio.timeout_at(self.deadline_s):
                yield
        except TimeoutError:
            raise self.refusal_error(
                ErrorCode.DEADLINE, "the time of the request is over"
            ) from None
