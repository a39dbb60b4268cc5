"""Calls whose caller may retry them with an idempotency key."""

from __future__ import annotations

from wasabimux.entry.calls import CallResponse, ServiceCall, ServiceCallHandler
from wasabimux.entry.claims import ClaimRecord, ClaimStore, StoredClaim, claim_name
from wasabimux.entry.context import RequestContext
from wasabimux.entry.pool import AgentPool, PooledAgent
from wasabimux.errors import ErrorCode, Ran, Refusal, RefusedError, refused
from wasabimux.ids import RequestId, UpstreamId
from wasabimux.ports import StoreConflict, StoreUnavailable
from wasabimux.timeline import wall_clock_ms

#: Moves of a claim to another upstream, within one attempt of a caller.
MAX_MOVES = 4

#: Added to the age of a claim, for clocks of entries that differ.
CLOCK_SKEW_MS = 5_000

NO_CLAIM = Refusal(
    ErrorCode.OVERLOADED, "the idempotency key cannot be recorded now", Ran.NO
)


class ClaimedCallSender:
    """Sends a call only where its claim in the store says.

    Args:
        claims: Claims in the platform's store.
        pool: Links to agents.
    """

    def __init__(self, claims: ClaimStore, pool: AgentPool) -> None:
        self._claims = claims
        self._pool = pool

    async def attempt(
        self, flow: ServiceCallHandler, context: RequestContext, call: ServiceCall
    ) -> CallResponse:
        """Claims the key, or finds its claim, and sends the call there.

        Raises:
            RefusedError: There is no answer; the refusal says whether it ran.
        """
        held = await self._claim(flow, context, call)
        if held.record.fingerprint != call.fingerprint():
            text = "the idempotency key came before with another request"
            raise refused(ErrorCode.KEY_REUSED, text)
        for _ in range(MAX_MOVES):
            context.request_id = RequestId(held.record.request_id)
            try:
                return await self._follow(flow, context, call, held)
            except RefusedError as error:
                if not _may_move(error.refusal):
                    raise
            held = await self._move(flow, context, call, held)
        raise refused(ErrorCode.OVERLOADED, "no upstream takes the call now")

    async def _claim(
        self, flow: ServiceCallHandler, context: RequestContext, call: ServiceCall
    ) -> StoredClaim:
        name = claim_name(
            context.workspace, context.route.id, call.idempotency_key or b""
        )
        record = self._record(flow.choose(context), context, call)
        try:
            return await self._claims.claim(name, record)
        except (StoreUnavailable, StoreConflict) as error:
            raise RefusedError(NO_CLAIM) from error

    async def _follow(
        self,
        flow: ServiceCallHandler,
        context: RequestContext,
        call: ServiceCall,
        held: StoredClaim,
    ) -> CallResponse:
        """Sends the call where the claim says."""
        if not held.created:
            age_ms = wall_clock_ms() - held.record.claimed_ms + CLOCK_SKEW_MS
            context.extra_age_ms = max(0, age_ms)
        agent = self._pool.agent(UpstreamId(held.record.upstream))
        if agent is None:
            text = "the upstream that may have run the call is gone"
            raise refused(ErrorCode.UPSTREAM_LOST, text, Ran.UNKNOWN)
        return await flow.send_to_incarnation(
            context, call, agent, held.record.incarnation
        )

    async def _move(
        self,
        flow: ServiceCallHandler,
        context: RequestContext,
        call: ServiceCall,
        held: StoredClaim,
    ) -> StoredClaim:
        """Points the claim to another upstream, as the former never ran it."""
        record = self._record(flow.choose(context), context, call)
        record = record.model_copy(update={"request_id": held.record.request_id})
        try:
            return await self._claims.move(held, record)
        except StoreUnavailable as error:
            raise RefusedError(NO_CLAIM) from error

    def _record(
        self, agent: PooledAgent, context: RequestContext, call: ServiceCall
    ) -> ClaimRecord:
        return ClaimRecord(
            request_id=context.request_id,
            fingerprint=call.fingerprint(),
            upstream=agent.id,
            incarnation=agent.incarnation or 0,
            claimed_ms=wall_clock_ms(),
        )


def _may_move(refusal: Refusal) -> bool:
    """Tells whether an upstream's refusal proves that it will never run the call."""
    codes = (ErrorCode.DRAINING, ErrorCode.OVERLOADED, ErrorCode.CONFLICT)
    return refusal.ran is Ran.NO and refusal.code in codes
