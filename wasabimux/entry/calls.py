"""Calls of plain services."""

from __future__ import annotations

import asyncio
import random
from collections.abc import AsyncGenerator
from contextlib import ExitStack
from typing import NamedTuple

from wasabimux.adapters.http_server import HttpResponse
from wasabimux.agent.calls import end_to_end_headers
from wasabimux.decisions.placement import PlacementPolicy
from wasabimux.entry.attempts import Attempts, no_upstream
from wasabimux.entry.context import RequestContext
from wasabimux.entry.pool import AgentPool, PooledAgent
from wasabimux.errors import ErrorCode, Ran, RefusedError, refused
from wasabimux.link.messages import End, Head, Open, Operation
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
    """

    method: str
    target: str
    headers: Headers
    body: bytes


class CallFlow:
    """Takes calls to plain services.

    Args:
        pool: Links to agents.
        attempts: Runs attempts.
        policy: Chooses the upstream.
        rng: Source of random choices.
        timeline: Records events.
    """

    def __init__(
        self,
        pool: AgentPool,
        attempts: Attempts,
        policy: PlacementPolicy,
        rng: random.Random,
        timeline: Timeline,
    ) -> None:
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
        answer = await self._attempts.run(
            context, lambda: self._attempt(context, call, repeatable), repeatable
        )
        headers = [
            *end_to_end_headers(answer.head.headers),
            (b"x-request-id", context.request_id.encode()),
        ]
        return HttpResponse(answer.head.status, headers, self._body(context, answer))

    async def _attempt(
        self, context: RequestContext, call: ServiceCall, repeatable: bool
    ) -> _CallAnswer:
        agent = self._choose(context)
        incarnation = 0 if repeatable else agent.incarnation or 0
        try:
            return await self._send(context, call, agent, incarnation, repeatable)
        except RefusedError:
            context.tried.add(agent.id)
            raise
        except (LinkLost, StreamCancelled):
            context.tried.add(agent.id)
            if repeatable:
                raise
        return await self._resend(context, call, agent, incarnation)

    async def _resend(
        self,
        context: RequestContext,
        call: ServiceCall,
        agent: PooledAgent,
        incarnation: int,
    ) -> _CallAnswer:
        """Sends a call again to the life of the agent that may have run it."""
        loop = asyncio.get_running_loop()
        give_up_s = min(context.deadline_s, loop.time() + RESEND_WAIT_S)
        while loop.time() < give_up_s:
            if agent.incarnation == incarnation:
                context.attempt += 1
                try:
                    return await self._send(context, call, agent, incarnation, False)
                except (LinkLost, StreamCancelled):
                    pass
            elif agent.incarnation is not None:
                break
            await asyncio.sleep(RESEND_POLL_S)
        text = "the upstream was lost; it may have run the call"
        raise refused(ErrorCode.UPSTREAM_LOST, text, Ran.UNKNOWN)

    async def _send(
        self,
        context: RequestContext,
        call: ServiceCall,
        agent: PooledAgent,
        incarnation: int,
        repeatable: bool,
    ) -> _CallAnswer:
        now = asyncio.get_running_loop().time()
        message = Open(
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
            stream.send_end(End())
            head = await stream.receive_head()
            return _CallAnswer(head, stream, stack.pop_all())

    async def _body(
        self, context: RequestContext, answer: _CallAnswer
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

    def _choose(self, context: RequestContext) -> PooledAgent:
        usable = self._pool.usable(context.route.group or "")
        if not usable:
            raise no_upstream(context.route.group)
        untried = [agent for agent in usable if agent.id not in context.tried]
        agents = {agent.id: agent for agent in untried or usable}
        candidates = [agent.candidate() for agent in agents.values()]
        return agents[self._policy.choose(candidates, b"", self._rng).upstream]


class _CallAnswer(NamedTuple):
    """An answer that has begun."""

    head: Head
    stream: LinkStream
    stack: ExitStack


def is_repeatable(repeat: Repeat, method: str) -> bool:
    """Tells whether a call may be sent to an upstream more than once."""
    if repeat is Repeat.SAFE_METHODS:
        return method in SAFE_METHODS
    return repeat is Repeat.ALWAYS
