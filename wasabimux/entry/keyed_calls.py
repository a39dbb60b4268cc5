"""Sends calls with an idempotency key, which clients may retry."""

from __future__ import annotations

from wasabimux.entry.calls import CallResponse, ServiceCall, ServiceCallHandler
from wasabimux.entry.claims import (
    CLOCK_SKEW_MS,
    ClaimRecord,
    ClaimStore,
    StoredClaim,
    claim_name,
)
from wasabimux.entry.context import RequestContext
from wasabimux.entry.pool import AgentPool, PooledAgent
from wasabimux.errors import ErrorCode, Ran, Refusal, RefusedError, refused
from wasabimux.ids import RequestId, UpstreamId
from wasabimux.ports import StoreConflict, StoreUnavailable
from wasabimux.timeline import wall_clock_ms

#: Maximum number of reassignments of a claim within one attempt.
MAX_REASSIGNMENTS = 4

CLAIM_UNAVAILABLE = Refusal(
    ErrorCode.OVERLOADED,
    "the idempotency key cannot be recorded; try again later",
    Ran.NO,
)


class ClaimedCallSender:
    """Sends a call only to the upstream that its claim in the store names.

    Args:
        claims: Claims in the platform's store.
        pool: Links to agents.
    """

    def __init__(self, claims: ClaimStore, pool: AgentPool) -> None:
        self._claims = claims
        self._pool = pool

    async def attempt(
        self, handler: ServiceCallHandler, context: RequestContext, call: ServiceCall
    ) -> CallResponse:
        """Claims the key, or reads its claim, and sends the call to the upstream.

        Raises:
            RefusedError: There is no response; the refusal says whether the call
                ran.
        """
        context.ran = Ran.UNKNOWN  # the call may be a repeat, until its key is known
        claim = await self._claim(handler, context, call)
        context.ran = Ran.NO
        if claim.record.fingerprint != call.fingerprint():
            text = "the idempotency key was used before with a different request"
            raise refused(ErrorCode.KEY_REUSED, text)
        for _ in range(MAX_REASSIGNMENTS):
            context.request_id = RequestId(claim.record.request_id)
            try:
                return await self._send_to_claimed_upstream(
                    handler, context, call, claim
                )
            except RefusedError as error:
                if not _may_reassign(error.refusal):
                    raise
            claim = await self._reassign(handler, context, call, claim)
        raise refused(ErrorCode.OVERLOADED, "no upstream accepts the call at this time")

    async def _claim(
        self, handler: ServiceCallHandler, context: RequestContext, call: ServiceCall
    ) -> StoredClaim:
        name = claim_name(
            context.workspace, context.route.id, call.idempotency_key or b""
        )
        try:
            agent = handler.choose_agent(context)
        except RefusedError:
            claim = await self._find_claim(name)
            if claim is not None:
                return claim
            context.ran = Ran.NO
            raise
        record = self._new_record(agent, context, call)
        try:
            return await self._claims.claim(name, record)
        except (StoreUnavailable, StoreConflict) as error:
            raise RefusedError(CLAIM_UNAVAILABLE) from error

    async def _find_claim(self, name: str) -> StoredClaim | None:
        try:
            return await self._claims.find_current(name, wall_clock_ms())
        except StoreUnavailable as error:
            raise RefusedError(CLAIM_UNAVAILABLE) from error

    async def _send_to_claimed_upstream(
        self,
        handler: ServiceCallHandler,
        context: RequestContext,
        call: ServiceCall,
        claim: StoredClaim,
    ) -> CallResponse:
        """Sends the call to the upstream of its claim."""
        if not claim.created:
            age_ms = wall_clock_ms() - claim.record.claimed_ms + CLOCK_SKEW_MS
            context.client_retry_age_ms = max(0, age_ms)
        agent = self._pool.agent(UpstreamId(claim.record.upstream))
        if agent is None:
            text = "the upstream that may have run the call no longer exists"
            raise refused(ErrorCode.UPSTREAM_LOST, text, Ran.UNKNOWN)
        return await handler.send_to_incarnation(
            context, call, agent, claim.record.incarnation
        )

    async def _reassign(
        self,
        handler: ServiceCallHandler,
        context: RequestContext,
        call: ServiceCall,
        claim: StoredClaim,
    ) -> StoredClaim:
        """Reassigns the claim to another upstream, as the previous one never ran it."""
        record = self._new_record(handler.choose_agent(context), context, call)
        record = record.model_copy(update={"request_id": claim.record.request_id})
        try:
            return await self._claims.reassign(claim, record)
        except StoreUnavailable as error:
            context.record_ran(Ran.UNKNOWN)  # another entry may have reassigned it
            raise RefusedError(CLAIM_UNAVAILABLE) from error

    def _new_record(
        self, agent: PooledAgent, context: RequestContext, call: ServiceCall
    ) -> ClaimRecord:
        return ClaimRecord(
            request_id=context.request_id,
            fingerprint=call.fingerprint(),
            upstream=agent.id,
            incarnation=agent.incarnation or 0,
            claimed_ms=wall_clock_ms(),
        )


def _may_reassign(refusal: Refusal) -> bool:
    """Returns True if the refusal proves that the upstream will never run the call."""
    codes = (ErrorCode.DRAINING, ErrorCode.OVERLOADED, ErrorCode.CONFLICT)
    return refusal.ran is Ran.NO and refusal.code in codes
