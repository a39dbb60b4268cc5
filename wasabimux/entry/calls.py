"""Serves calls of plain services (HTTP services other than generation)."""

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
from wasabimux.entry.attempts import AttemptRunner, no_upstream_error
from wasabimux.entry.context import RequestContext
from wasabimux.entry.pool import AgentPool, PooledAgent
from wasabimux.errors import ErrorCode, Ran, RefusedError, refused
from wasabimux.headers import REQUEST_ID_HEADER, end_to_end_headers
from wasabimux.link.messages import EndStream, OpenStream, Operation, ResponseHead
from wasabimux.link.stream import LinkLost, LinkStream, StreamCancelled
from wasabimux.ports import Headers
from wasabimux.settings.catalog import RetryPolicy
from wasabimux.timeline import Timeline

SAFE_METHODS = frozenset({"GET", "HEAD", "OPTIONS"})

#: Time limit for resending a call to an agent whose link was lost and that may
#: have run the call.
RESEND_TIMEOUT_S = 5.0

#: Interval of the checks whether the agent is linked again.
RESEND_POLL_INTERVAL_S = 0.05


class ServiceCall(NamedTuple):
    """A call of a plain service, without the client's API key.

    Attributes:
        method: HTTP method.
        target: HTTP request target.
        headers: HTTP headers to forward to the service.
        body: Complete request body.
        idempotency_key: Value of the Idempotency-Key header, None without one.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    idempotency_key: bytes | None = None

    def fingerprint(self) -> str:
        """Returns a digest of method, target and body."""
        return digest_of(self.method.encode(), self.target.encode(), self.body)


class IdempotentCallSender(Protocol):
    """Sends calls that have an idempotency key."""

    async def attempt(
        self, handler: ServiceCallHandler, context: RequestContext, call: ServiceCall
    ) -> CallResponse:
        """Makes one attempt at a call; returns once its response has begun."""


class ServiceCallHandler:
    """Serves calls of plain services.

    Args:
        pool: Links to agents.
        attempt_runner: Runs the attempts of a call.
        policy: Chooses the upstream.
        rng: Random number generator for the policy.
        timeline: Records events.
        idempotent_sender: Sends calls that have an idempotency key.
    """

    def __init__(
        self,
        pool: AgentPool,
        attempt_runner: AttemptRunner,
        policy: PlacementPolicy,
        rng: random.Random,
        timeline: Timeline,
        idempotent_sender: IdempotentCallSender,
    ) -> None:
        self._idempotent_sender = idempotent_sender
        self._pool = pool
        self._attempt_runner = attempt_runner
        self._policy = policy
        self._rng = rng
        self._timeline = timeline

    async def serve(self, context: RequestContext, call: ServiceCall) -> HttpResponse:
        """Serves a call.

        Returns:
            The response, whose body streams from the upstream.

        Raises:
            RefusedError: The call was refused or failed; the refusal says whether
                it ran.
        """
        repeatable = is_repeatable(context.settings.retry_policy, call.method)
        attempt: Callable[[], Awaitable[CallResponse]]
        if repeatable:
            attempt = partial(self._attempt_repeatable, context, call)
        elif call.idempotency_key is not None:
            attempt = partial(self._idempotent_sender.attempt, self, context, call)
        else:
            attempt = partial(self._attempt_once, context, call)
        response = await self._attempt_runner.run(context, attempt, repeatable)
        own_id = (REQUEST_ID_HEADER, context.request_id.encode())
        headers = end_to_end_headers(response.head.headers)
        headers = [*(item for item in headers if item != own_id), own_id]
        return HttpResponse(
            response.head.status, headers, self._stream_body(context, response)
        )

    async def _attempt_repeatable(
        self, context: RequestContext, call: ServiceCall
    ) -> CallResponse:
        agent = self.choose_agent(context)
        try:
            return await self.send(context, call, agent, 0, repeatable=True)
        except (RefusedError, LinkLost, StreamCancelled):
            context.tried_upstreams.add(agent.id)
            raise

    async def _attempt_once(
        self, context: RequestContext, call: ServiceCall
    ) -> CallResponse:
        agent = self.choose_agent(context)
        incarnation = agent.incarnation or 0
        return await self.send_to_incarnation(context, call, agent, incarnation)

    async def send_to_incarnation(
        self,
        context: RequestContext,
        call: ServiceCall,
        agent: PooledAgent,
        incarnation: int,
    ) -> CallResponse:
        """Sends a call to one incarnation of an agent; resends it if the link is lost.

        Raises:
            RefusedError: There is no response; the refusal says whether the call
                ran.
        """
        loop = asyncio.get_running_loop()
        resend_until_s = min(context.deadline_s, loop.time() + RESEND_TIMEOUT_S)
        is_resend = False
        while loop.time() < resend_until_s:
            if agent.incarnation == incarnation:
                try:
                    return await self.send(context, call, agent, incarnation, False)
                except RefusedError as error:
                    context.tried_upstreams.add(agent.id)
                    raise _error_of_resend(error) if is_resend else error
                except (LinkLost, StreamCancelled):
                    is_resend = True
                    context.attempt += 1
            elif agent.incarnation is not None:
                break
            await asyncio.sleep(RESEND_POLL_INTERVAL_S)
        context.tried_upstreams.add(agent.id)
        text = "the connection to the upstream was lost; it may have run the call"
        raise refused(ErrorCode.UPSTREAM_LOST, text, Ran.UNKNOWN)

    async def send(
        self,
        context: RequestContext,
        call: ServiceCall,
        agent: PooledAgent,
        incarnation: int,
        repeatable: bool,
    ) -> CallResponse:
        """Sends a call; returns once its response has begun.

        Args:
            context: Context of the request.
            call: The call.
            agent: Agent of the upstream.
            incarnation: Incarnation of the agent that must run the call, 0 for any.
            repeatable: True if the call may run more than once.

        Raises:
            RefusedError: The agent refused the call.
            LinkLost: The link to the agent was lost.
            StreamCancelled: The agent cancelled the stream.
        """
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
            return CallResponse(head, stream, stack.pop_all())

    async def _stream_body(
        self, context: RequestContext, response: CallResponse
    ) -> AsyncGenerator[bytes, None]:
        with response.stack:
            try:
                async with context.deadline_scope():
                    async for item in response.stream.payloads():
                        if isinstance(item, bytes):
                            yield item
            except TimeoutError:
                raise RefusedError(context.timeout_refusal()) from None
        self._timeline.record("answered", context.request_id, context.workspace)

    def choose_agent(self, context: RequestContext) -> PooledAgent:
        """Returns the agent of an upstream. Raises RefusedError if none is usable."""
        group = context.route.group or ""
        agent = self._pool.choose(
            group, self._policy, self._rng, context.tried_upstreams
        )
        if agent is None:
            raise no_upstream_error(group)
        return agent


class CallResponse(NamedTuple):
    """A response whose head has arrived.

    Attributes:
        head: Status and headers.
        stream: Stream of the body.
        stack: Closes the stream.
    """

    head: ResponseHead
    stream: LinkStream
    stack: ExitStack


def is_repeatable(repeat: RetryPolicy, method: str) -> bool:
    """Returns True if a call may be sent to upstreams more than once."""
    if repeat is RetryPolicy.SAFE_METHODS:
        return method in SAFE_METHODS
    return repeat is RetryPolicy.ALWAYS


def _error_of_resend(error: RefusedError) -> RefusedError:
    """Returns the error of a send that follows one whose link was lost.

    The first send may arrive yet. An agent with a full table keeps no record of the
    refusal that would bar it.
    """
    if error.refusal.code is not ErrorCode.TABLE_FULL:
        return error
    return RefusedError(error.refusal.with_ran(Ran.UNKNOWN))
