"""State of one client request while a relay serves it."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, NamedTuple

from wasabimux._digest import digest_of
from wasabimux.adapters.memory_ledger import HeldBytes
from wasabimux.errors import (
    NOT_RUN_STATUSES,
    STATUS_BY_CODE,
    ErrorCode,
    Ran,
    Refusal,
    RefusedError,
)
from wasabimux.ids import SoftwareVersion, SuspectId, UpstreamId, WorkspaceId
from wasabimux.ports import Headers
from wasabimux.relay.model import (
    RelayRoute,
    RequestMetadata,
    SendOptions,
    ServiceProfile,
)

if TYPE_CHECKING:
    from wasabimux.relay.standby import StandbySlot

#: Time reserved for returning the response to the client; taken off the client's
#: deadline.
RESPONSE_MARGIN_S = 0.03

#: A request whose client allows less than this fraction of the route's timeout is
#: taken for a client retry.
CLIENT_RETRY_TIMEOUT_FRACTION = 0.95


class PrefilledKv(NamedTuple):
    """The KV cache of a prompt, retained at a prefill engine and not yet fetched.

    Attributes:
        kv_source: Location of the KV cache, as `IP:PORT/HANDLE`.
        valid_until_s: Loop time until which a decode engine may fetch it.
    """

    kv_source: str
    valid_until_s: float


@dataclass(slots=True, eq=False)
class RelayRequest:
    """An admitted client request and the state of serving it.

    Attributes:
        metadata: What the request's headers say of it.
        method: HTTP method.
        target: HTTP target as received.
        headers: Headers as received.
        body: Whole body.
        route: Route that matched the request.
        service: Service that the request is sent to.
        workspace: Workspace of the request's key, None where no key is needed.
        drop_key: True where no upstream may see the Authorization header.
        arrived_s: Loop time of arrival.
        deadline_s: Loop time by which the request must have ended.
        reserved_cost: Tokens or requests reserved from the workspace's rate limit.
        beyond_share: True if the workspace has used up its rate limit and the
            request was admitted only within the limit's tolerance.
        tried_upstreams: Upstreams that the request was sent to, in order.
        refused_resumptions: Sends of a stream that has begun which its next engine did
            not run.
        unsettled_sends: Sends to upstreams of which it is not known whether they ran,
            those under way included.
        has_run: True once an upstream has responded that it ran the request.
        prefilled_kv: KV cache of the prompt, None if there is none to fetch.
        prefill_sent: True once a prefill was sent for the request; only the first
            one is not charged to the retry budget.
        retry_charged: True if the next retry is already charged to the retry budget.
        response_started: True once a part of the response was passed to the client.
        software: Software version at which the stream may go on, None before it begins.
        trial_of: Quarantined suspects that this request may try.
        held_answers: What the process holds of answers of plain services.
        priority: Priority of the workspace, else of the route; 0 is the highest.
        is_in_line: True while it waits for a place at an upstream.
        is_on_trial: True if its first attempt goes to a new software version.
        standby: Slot for which a stream leaves a silent engine, None for a call.
    """

    metadata: RequestMetadata
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
    refused_resumptions: int = 0
    unsettled_sends: int = 0
    has_run: bool = False
    prefilled_kv: PrefilledKv | None = None
    prefill_sent: bool = False
    retry_charged: bool = False
    response_started: bool = False
    software: SoftwareVersion | None = None
    trial_of: frozenset[SuspectId] | None = None
    held_answers: list[HeldBytes] = field(default_factory=list)
    priority: int = 0
    is_in_line: bool = False
    is_on_trial: bool = False
    standby: StandbySlot | None = None
    _content_digest: str = ""
    _timeout: asyncio.Timeout | None = None

    @property
    def content_digest(self) -> str:
        """Digest of caller, method, target and body; a client's repeats share it."""
        if not self._content_digest:
            self._content_digest = digest_of(
                (self.workspace or "").encode(),
                self.route.host.encode(),
                self.method.encode(),
                self.target.encode(),
                self.body,
            )
        return self._content_digest

    @property
    def is_client_retry(self) -> bool:
        """True if the client appears to retry a request that was refused before.

        Clients allow the route's timeout for a request as a whole, so that a retry
        arrives with less time left.
        """
        time_left_s = self.metadata.time_left_s
        return (
            time_left_s is not None
            and time_left_s < CLIENT_RETRY_TIMEOUT_FRACTION * self.route.timeout_s
        )

    @property
    def ran(self) -> Ran:
        """Whether the request ran on an upstream, as far as is known."""
        if self.has_run:
            return Ran.YES
        return Ran.UNKNOWN if self.unsettled_sends else Ran.NO

    def on_send(self) -> None:
        """Records that the request is sent to an upstream."""
        self.unsettled_sends += 1

    def on_not_run(self) -> None:
        """Records that an upstream to which it was sent has not run it."""
        self.unsettled_sends -= 1

    def remaining_s(self, now: float) -> float:
        """Returns the time in s until the deadline."""
        return self.deadline_s - now

    def send_options(self, upstream: UpstreamId, now: float) -> SendOptions:
        """Returns the options that every attempt at an upstream has in common."""
        return SendOptions(
            upstream, self.remaining_s(now), self.workspace, self.drop_key
        )

    def kv_source(self, now: float) -> str | None:
        """Returns the location of the prefilled KV cache, None if none is valid."""
        if self.prefilled_kv is None or self.prefilled_kv.valid_until_s <= now:
            return None
        return self.prefilled_kv.kv_source

    def has_attempts_left(self) -> bool:
        """Tells whether the route allows sending the request once more.

        A stream that has begun uses no attempt where it is refused, as it would be cut.
        """
        attempts = len(self.tried_upstreams) - self.refused_resumptions
        return attempts < self.route.max_attempts

    def may_be_sent_to(self, upstream: UpstreamId) -> bool:
        """Tells whether the next attempt may go to an upstream.

        It goes to another one than those before; once it was sent to as many as the
        route allows, to one of them.
        """
        tried = set(self.tried_upstreams)
        return (upstream in tried) == (len(tried) >= self.route.max_attempts)

    def refusal_error(
        self, code: ErrorCode, message: str, retry_after_s: float | None = None
    ) -> RefusedError:
        """Returns the error that ends the request, with what is known of its run.

        Clients take some statuses as a promise that the request has not run. They are
        used only where that is known; otherwise the code becomes UPSTREAM_LOST.
        """
        if STATUS_BY_CODE[code] in NOT_RUN_STATUSES and self.ran is not Ran.NO:
            code = ErrorCode.UPSTREAM_LOST
        error = RefusedError(Refusal(code, message, self.ran, retry_after_s))
        error.request_id = self.metadata.id
        return error

    @asynccontextmanager
    async def deadline_scope(self) -> AsyncGenerator[None, None]:
        """Cancels the enclosed code at the request's deadline.

        Raises:
            RefusedError: The deadline has passed.
        """
        try:
            async with asyncio.timeout_at(self.deadline_s) as self._timeout:
                yield
        except TimeoutError:
            raise self.refusal_error(
                ErrorCode.DEADLINE, "the request's deadline was exceeded"
            ) from None
        finally:
            self._timeout = None

    def end_by(self, latest_s: float) -> None:
        """Moves the deadline forward if it is later than a time in s."""
        if latest_s >= self.deadline_s:
            return
        self.deadline_s = latest_s
        if self._timeout is not None and not self._timeout.expired():
            self._timeout.reschedule(latest_s)
