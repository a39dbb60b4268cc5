"""Calls of plain services."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import ExitStack
from functools import partial
from typing import NamedTuple, Protocol

from wasabimux._clock import loop_time
from wasabimux._digest import digest_of
from wasabimux.adapters.http_server import HttpResponse
from wasabimux.decisions.placement import PlacementPolicy
from wasabimux.entry.attempts import Attempts, no_upstream
from wasabimux.entry.context import RequestContext
from wasabimux.entry.pool import AgentPool, PooledAgent
from wasabimux.errors import ErrorCode, Ran, RefusedError, refused
from wasabimux.headers import end_to_end_headers
from wasabimux.link.messages import EndStream, OpenStream, Operation, ResponseHead
from wasabimux.link.stream import LinkLost, LinkStream, StreamCancelled
from wasabimux.ports import Headers
from wasabimux.settings.catalog import Repeat
from wasabimux.timeline import Timeline

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})

#: Longest wait for the link to an agent that may have run a call.
RESEND_WAIT_S = 5.0
RESEND_POLL_S = 0.05


class ServiceCall(NamedTuple):
    """A call of a plain service, without keys.

    Attributes:
        method: HTTP method.
        target: HTTP target.
        headers: Headers for the service.
        body: Whole body.
        idempotency_key: The caller's key for retries, None without one.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    idempotency_key: bytes | None = None

    def fingerprint(self) -> str:
        """Returns a digest of what is called."""
        return digest_of(self.method.encode(), self.target.encode(), self.body)


class KeyedCalls(Protocol):
    """Sends calls that carry an idempotency key."""

    async def attempt(
        self, flow: CallFlow, context: RequestContext, call: ServiceCall
    ) -> CallAnswer:
        """Makes one attempt at a call."""


class CallFlow:
    """Takes calls to plain services.

    Args:
        pool: Links to agents.
        attempts: Runs attempts.
        policy: Chooses the upstream.
        rng: Source of random choices.
        timeline: Records events.
        keyed: Sends calls that carry an idempotency key.
    """

    def __init__(
        self,
        pool: AgentPool,
        attempts: Attempts,
        policy: PlacementPolicy,
        rng: random.Random,
        timeline: Timeline,
        keyed: KeyedCalls,
    ) -> None:
        self._keyed = keyed
        self._pool = pool
        self._attempts = attempts
        self._policy = policy
        self._rng = rng
        self._timeline = timeline

    async def serve(self, context: RequestContext, call: ServiceCall) -> HttpResponse:
        """Serves a call.

        Raises:
            RefusedError: The call was refused or failed; says whether it ran.
        """
        repeatable = is_repeatable(context.settings.repeat, call.method)
        attempt: Callable[[], Awaitable[CallAnswer]]
        if repeatable:
            attempt = partial(self._attempt_repeatable, context, call)
        elif call.idempotency_key is not None:
            attempt = partial(self._keyed.attempt, self, context, call)
        else:
            attempt = partial(self._attempt_once, context, call)
        answer = await self._attempts.run(context, attempt, repeatable)
        headers = [
            *end_to_end_headers(answer.head.headers),
            (b"x-request-id", context.request_id.encode()),
        ]
        return HttpResponse(answer.head.status, headers, self._body(context, answer))

    async def _attempt_repeatable(
        self, context: RequestContext, call: ServiceCall
    ) -> CallAnswer:
        agent = self.choose(context)
        try:
            return await self.send(context, call, agent, 0, repeatable=True)
        except (RefusedError, LinkLost, StreamCancelled):
            context.tried.add(agent.id)
            raise

    async def _attempt_once(
        self, context: RequestContext, call: ServiceCall
    ) -> CallAnswer:
        agent = self.choose(context)
        incarnation = agent.incarnation or 0
        return await self.send_to_one_life(context, call, agent, incarnation)

    async def send_to_one_life(
        self,
        context: RequestContext,
        call: ServiceCall,
        agent: PooledAgent,
        incarnation: int,
    ) -> CallAnswer:
        """Sends a call to one life of an agent, again if the link is lost.

        Raises:
            RefusedError: There is no answer; the refusal says whether it ran.
        """
        loop = asyncio.get_running_loop()
        give_up_s = min(context.deadline_s, loop.time() + RESEND_WAIT_S)
        while loop.time() < give_up_s:
            if agent.incarnation == incarnation:
                try:
                    return await self.send(context, call, agent, incarnation, False)
                except RefusedError:
                    context.tried.add(agent.id)
                    raise
                except (LinkLost, StreamCancelled):
                    context.attempt += 1
            elif agent.incarnation is not None:
                break
            await asyncio.sleep(RESEND_POLL_S)
        context.tried.add(agent.id)
        text = "the upstream was lost; it may have run the call"
        raise refused(ErrorCode.UPSTREAM_LOST, text, Ran.UNKNOWN)

    async def send(
        self,
        context: RequestContext,
        call: ServiceCall,
        agent: PooledAgent,
        incarnation: int,
        repeatable: bool,
    ) -> CallAnswer:
        """Sends a call; returns once its answer has begun."""
        now = loop_time()
        message = OpenStream(
            operation=Operation.CALL,
            request_id=context.request_id,
            attempt=context.attempt,
            workspace=context.workspace,
            budget_ms=context.budget_ms(now),
            age_ms=context.age_ms(now),
            incarnation=incarnation,
            method=call.method,
            target=call.target,
            headers=call.headers,
            body=call.body,
            patient=context.settings.patient,
            repeatable=repeatable,
        )
        self._timeline.record(
            "sent_call",
            context.request_id,
            context.workspace,
            upstream=agent.id,
            attempt=context.attempt,
        )
        with ExitStack() as stack:
            stream = stack.enter_context(agent.open(message))
            stream.send_end(EndStream())
            head = await stream.receive_head()
            return CallAnswer(head, stream, stack.pop_all())

    async def _body(
        self, context: RequestContext, answer: CallAnswer
    ) -> AsyncGenerator[bytes, None]:
        with answer.stack:
            try:
                async with context.scope():
                    async for piece in answer.stream.payloads():
                        if isinstance(piece, bytes):
                            yield piece
            except TimeoutError:
                raise RefusedError(context.timeout_refusal()) from None
        self._timeline.record("answered", context.request_id, context.workspace)

    def choose(self, context: RequestContext) -> PooledAgent:
        """Chooses an upstream. Raises RefusedError if there is none."""
        group = context.route.group or ""
        agent = self._pool.choose(group, self._policy, self._rng, context.tried)
        if agent is None:
            raise no_upstream(group)
        return agent


class CallAnswer(NamedTuple):
    """An answer that has begun."""

    head: ResponseHead
    stream: LinkStream
    stack: ExitStack


def is_repeatable(repeat: Repeat, method: str) -> bool:
    """Tells whether a call may be sent to an upstream more than once."""
    if repeat is Repeat.SAFE_METHODS:
        return method in SAFE_METHODS
    return repeat is Repeat.ALWAYS
