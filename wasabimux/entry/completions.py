"""Serves completions: reserves a decode slot, prefills, transfers and decodes."""

from __future__ import annotations

import asyncio
import json
import math
import random
from collections.abc import AsyncGenerator, Callable
from contextlib import AsyncExitStack
from enum import Enum
from typing import Any, NamedTuple

from wasabimux._clock import loop_time
from wasabimux.adapters.http_server import HttpResponse
from wasabimux.decisions.placement import PlacementPolicy
from wasabimux.entry.attempts import AttemptRunner, no_upstream_error
from wasabimux.entry.context import RequestContext
from wasabimux.entry.pool import AgentPool, PooledAgent
from wasabimux.entry.reservation import Reservation, reserve_slot
from wasabimux.errors import ErrorCode, Ran, Refusal, RefusedError, refused
from wasabimux.json_documents import DocumentError, decode_document
from wasabimux.link.messages import EndStream, KvSource, OpenStream, Operation
from wasabimux.link.stream import LinkLost, LinkStream, StreamCancelled
from wasabimux.timeline import Timeline

#: Fraction of the first-token target, from the arrival of the request, by which the
#: waits for a decode slot, and then for a prefill, must end.
MAX_WAIT_FRACTION = {Operation.RESERVE: 0.75, Operation.PREFILL: 0.9}

#: Maximum number of decode agents that one attempt may ask for a slot.
MAX_DECODE_CANDIDATES = 4

#: Ends of a server-sent event: a blank line, with either kind of line end.
EVENT_ENDS = (b"\n\n", b"\r\n\r\n")
MAX_EVENT_END_BYTES = 4

PROMPT_FIELDS = ("prompt", "messages")


class CompletionRequest(NamedTuple):
    """A parsed completion request.

    Attributes:
        path: Path of the HTTP request.
        model: Name of the requested model.
        fields: All fields of the JSON body.
        prompt_bytes: Size of the prompt in bytes.
        stream: True if the client wants server-sent events.
    """

    path: str
    model: str
    fields: dict[str, Any]
    prompt_bytes: int
    stream: bool

    @property
    def max_tokens(self) -> int:
        """Maximum number of output tokens."""
        return int(self.fields["max_tokens"])

    def with_output_limit(self, max_output_tokens: int) -> CompletionRequest:
        """Returns the request with `max_tokens` set, by default to the maximum.

        Raises:
            RefusedError: The client asks for more than `max_output_tokens`.
        """
        requested = self.fields.get("max_tokens", max_output_tokens)
        if requested > max_output_tokens:
            raise refused(
                ErrorCode.BAD_REQUEST,
                f"$.max_tokens: expected at most {max_output_tokens}",
            )
        return self._replace(fields=self.fields | {"max_tokens": requested})

    def max_total_tokens(self, bytes_per_token: float) -> int:
        """Returns an upper bound of the prompt and output tokens of the request."""
        return math.ceil(self.prompt_bytes / bytes_per_token) + self.max_tokens

    def prefill_body(self) -> bytes:
        """Returns the body for the prefill engine."""
        return json.dumps(self.fields).encode()

    def decode_body(self) -> bytes:
        """Returns the body for the decode engine, which omits the prompt."""
        kept = {
            name: value
            for name, value in self.fields.items()
            if name not in PROMPT_FIELDS
        }
        return json.dumps(kept).encode()


def parse_completion(path: str, body: bytes) -> CompletionRequest:
    """Parses the body of a completion request.

    Raises:
        RefusedError: The body is not a valid request.
    """
    try:
        fields = decode_document(body)
    except DocumentError:
        raise refused(ErrorCode.BAD_REQUEST, "the request body is not JSON") from None
    if not isinstance(fields, dict):
        raise refused(ErrorCode.BAD_REQUEST, "the request body is not a JSON object")
    model = _get_field(fields, "model", str, None)
    stream = _get_field(fields, "stream", bool, False)
    max_tokens = _get_field(fields, "max_tokens", int, 1)
    if max_tokens < 1 or isinstance(fields.get("max_tokens"), bool):
        raise refused(
            ErrorCode.BAD_REQUEST, "$.max_tokens: expected a positive integer"
        )
    prompt_bytes = _prompt_bytes(fields, path.startswith("/v1/chat/"))
    return CompletionRequest(path, model, fields, prompt_bytes, stream)


def _get_field(
    fields: dict[str, Any], name: str, expected_type: type, default: Any
) -> Any:
    value = fields.get(name, default)
    if not isinstance(value, expected_type):
        text = f"$.{name}: expected {expected_type.__name__}"
        raise refused(ErrorCode.BAD_REQUEST, text)
    return value


def _prompt_bytes(fields: dict[str, Any], chat: bool) -> int:
    if not chat:
        return len(_get_field(fields, "prompt", str, None).encode())
    total = 0
    for index, message in enumerate(_get_field(fields, "messages", list, None)):
        if not isinstance(message, dict):
            text = f"$.messages[{index}]: expected an object"
            raise refused(ErrorCode.BAD_REQUEST, text)
        for name in ("role", "content"):
            if not isinstance(message.get(name), str):
                text = f"$.messages[{index}].{name}: expected str"
                raise refused(ErrorCode.BAD_REQUEST, text)
            total += len(message[name].encode()) + 2
    return total


class PrefillTiming(Enum):
    """When the prefill of a request starts.

    Attributes:
        AT_ONCE: Together with the request for a decode slot.
        WHEN_NEXT: When a decode agent reports that the request gets its next free
            slot, or on the grant.
        AFTER_GRANT: After a decode slot is granted.
    """

    AT_ONCE = "at_once"
    WHEN_NEXT = "when_next"
    AFTER_GRANT = "after_grant"


class CompletionHandler:
    """Serves completion requests through the prefill and decode pools.

    Args:
        pool: Links to agents.
        attempt_runner: Runs the attempts of a request.
        prefill_policy: Chooses the upstream for the prefill.
        decode_policy: Chooses upstreams for the decode.
        rng: Random number generator for the policies.
        timeline: Records events.
        prefill_timing: When prefills start.
    """

    def __init__(
        self,
        pool: AgentPool,
        attempt_runner: AttemptRunner,
        prefill_policy: PlacementPolicy,
        decode_policy: PlacementPolicy,
        rng: random.Random,
        timeline: Timeline,
        prefill_timing: PrefillTiming = PrefillTiming.AFTER_GRANT,
    ) -> None:
        self._prefill_timing = prefill_timing
        self._pool = pool
        self._attempt_runner = attempt_runner
        self._prefill_policy = prefill_policy
        self._decode_policy = decode_policy
        self._rng = rng
        self._timeline = timeline

    async def serve(
        self, context: RequestContext, request: CompletionRequest
    ) -> HttpResponse:
        """Serves a request.

        Returns:
            The response, whose body streams from the decode engine.

        Raises:
            RefusedError: The request was refused or failed.
        """
        response = await self._attempt_runner.run(
            context, lambda: self._attempt(context, request), repeatable=True
        )
        content_type = b"text/event-stream" if request.stream else b"application/json"
        headers = [
            (b"content-type", content_type),
            (b"x-request-id", context.request_id.encode()),
        ]
        if request.stream:
            headers.append((b"cache-control", b"no-store"))
        body = self._stream_body(context, request, response)
        return HttpResponse(200, headers, body)

    async def _attempt(
        self, context: RequestContext, request: CompletionRequest
    ) -> _DecodeResponse:
        """Makes one attempt; returns once the first bytes of the body have arrived."""
        async with AsyncExitStack() as stack:
            prefill_may_start = asyncio.Event()
            if self._prefill_timing is PrefillTiming.AT_ONCE:
                prefill_may_start.set()
            on_next_in_line = (
                prefill_may_start.set
                if self._prefill_timing is PrefillTiming.WHEN_NEXT
                else _ignore
            )
            reservation_task = asyncio.ensure_future(
                self._reserve(context, request, prefill_may_start, on_next_in_line)
            )
            stack.push_async_callback(_cancel_reservation, reservation_task)
            await prefill_may_start.wait()
            if reservation_task.done():
                reservation_task.result()  # raises if no agent granted a slot
            prefill_stream, prefill_agent = self._open_prefill(context, request, stack)
            prefill_task = asyncio.ensure_future(
                self._await_prefill(context, prefill_stream, prefill_agent)
            )
            stack.push_async_callback(_cancel_prefill_wait, prefill_task)
            try:
                reservation = await reservation_task
            except (RefusedError, LinkLost, StreamCancelled):
                context.record_ran(Ran.UNKNOWN)  # the prefill may have started
                raise
            decode_stream, decode_agent = reservation.stream, reservation.agent
            self._record(context, "slot_granted", decode_agent)
            decode_stream.send_kv_source(await prefill_task)
            decode_stream.send_end(EndStream())
            await self._receive_head(context, decode_stream, decode_agent)
            prefill_stream.send_end(EndStream())
            items = decode_stream.payloads()
            first = await anext(items)
            self._record(context, "first_token", decode_agent)
            return _DecodeResponse(first, items, stack.pop_all())

    async def _reserve(
        self,
        context: RequestContext,
        request: CompletionRequest,
        prefill_may_start: asyncio.Event,
        on_next_in_line: Callable[[], None],
    ) -> Reservation:
        """Reserves a decode slot.

        Sets `prefill_may_start` once the slot is granted or refused.
        """
        message = self._open_message(
            context,
            Operation.RESERVE,
            request,
            request.decode_body(),
            cost=request.max_tokens,
        )
        try:
            return await reserve_slot(
                self._choose_decode_agents(context),
                message,
                on_request=lambda agent: self._record(context, "sent_reserve", agent),
                on_failure=lambda agent: context.tried_upstreams.add(agent.id),
                on_next_in_line=on_next_in_line,
            )
        finally:
            prefill_may_start.set()

    def _open_prefill(
        self,
        context: RequestContext,
        request: CompletionRequest,
        stack: AsyncExitStack,
    ) -> tuple[LinkStream, PooledAgent]:
        body = request.prefill_body()
        agent = self._choose_prefill_agent(context, request)
        message = self._open_message(
            context, Operation.PREFILL, request, body, cost=request.prompt_bytes
        )
        context.engine_request_count += 1
        self._record(context, "sent_prefill", agent)
        return stack.enter_context(agent.open(message)), agent

    async def _await_prefill(
        self, context: RequestContext, prefill_stream: LinkStream, agent: PooledAgent
    ) -> KvSource:
        """Waits until the KV cache of the prompt is ready."""
        try:
            kv_source = await prefill_stream.receive_kv_source()
        except (RefusedError, LinkLost, StreamCancelled):
            context.tried_upstreams.add(agent.id)
            raise
        context.record_ran(Ran.YES)
        self._record(context, "prefilled", agent, cached=kv_source.cached_tokens)
        return kv_source

    async def _receive_head(
        self, context: RequestContext, stream: LinkStream, agent: PooledAgent
    ) -> None:
        try:
            await stream.receive_head()
        except (RefusedError, LinkLost, StreamCancelled):
            context.tried_upstreams.add(agent.id)
            raise

    async def _stream_body(
        self,
        context: RequestContext,
        request: CompletionRequest,
        response: _DecodeResponse,
    ) -> AsyncGenerator[bytes, None]:
        """Yields the body; after a failure sends an error event and breaks it off.

        The error event is sent only to clients that asked for server-sent events, and
        only after a whole event.
        """
        tail = b""
        async with response.stack:
            try:
                async with context.deadline_scope():
                    item: bytes | EndStream = response.first
                    while isinstance(item, bytes):
                        yield item
                        tail = (tail + item)[-MAX_EVENT_END_BYTES:]
                        item = await anext(response.items)
                context.used_tokens = item.prompt_tokens + item.output_tokens
                self._timeline.record(
                    "answered",
                    context.request_id,
                    context.workspace,
                    prompt_tokens=item.prompt_tokens,
                    output_tokens=item.output_tokens,
                )
                return
            except RefusedError as error:
                failure = error.refusal
            except (LinkLost, StreamCancelled):
                text = "the connection to the upstream was lost during the response"
                failure = Refusal(ErrorCode.UPSTREAM_LOST, text)
            except TimeoutError:
                failure = context.timeout_refusal()
            failure = failure.with_ran(Ran.YES)
            self._timeline.record(
                "answer_cut",
                context.request_id,
                context.workspace,
                code=failure.code.value,
            )
            if request.stream and (not tail or tail.endswith(EVENT_ENDS)):
                yield b"event: error\ndata: " + failure.to_json() + b"\n\n"
            raise RefusedError(failure)

    def _choose_decode_agents(self, context: RequestContext) -> list[PooledAgent]:
        """Returns the agents to ask for a slot, in order of preference."""
        group = context.route.decode_group or ""
        avoid = set(context.tried_upstreams)
        chosen: list[PooledAgent] = []
        while len(chosen) < MAX_DECODE_CANDIDATES:
            agent = self._pool.choose(group, self._decode_policy, self._rng, avoid)
            if agent is None or agent in chosen:
                break
            chosen.append(agent)
            avoid.add(agent.id)
        if not chosen:
            raise no_upstream_error(group)
        return chosen

    def _choose_prefill_agent(
        self, context: RequestContext, request: CompletionRequest
    ) -> PooledAgent:
        group = context.route.prefill_group or ""
        affinity = _prompt_prefix(request.fields)
        agent = self._pool.choose(
            group, self._prefill_policy, self._rng, context.tried_upstreams, affinity
        )
        if agent is None:
            raise no_upstream_error(group)
        return agent

    def _open_message(
        self,
        context: RequestContext,
        operation: Operation,
        request: CompletionRequest,
        body: bytes,
        cost: float,
    ) -> OpenStream:
        now = loop_time()
        return OpenStream(
            operation=operation,
            request_id=context.request_id,
            attempt=context.attempt,
            workspace=context.workspace,
            budget_ms=context.budget_ms(now),
            age_ms=context.age_ms(now),
            target=request.path,
            body=body,
            patient=context.settings.patient,
            weight=context.weight,
            cost=cost,
            slot_budget_ms=context.slot_budget_ms(now, MAX_WAIT_FRACTION[operation]),
        )

    def _record(
        self, context: RequestContext, name: str, agent: PooledAgent, **fields: object
    ) -> None:
        self._timeline.record(
            name,
            context.request_id,
            context.workspace,
            upstream=agent.id,
            attempt=context.attempt,
            **fields,
        )


class _DecodeResponse(NamedTuple):
    """A response whose first body item has arrived.

    Attributes:
        first: First item of the body.
        items: Iterator of the other items; the last one is the end.
        stack: Closes the streams of the attempt.
    """

    first: bytes | EndStream
    items: Any
    stack: AsyncExitStack


def _prompt_prefix(fields: dict[str, Any]) -> bytes:
    """Returns the first characters of the prompt, the key of prefix affinity."""
    if "prompt" in fields:
        return fields["prompt"][:1024].encode()
    return "".join(item["content"] for item in fields["messages"])[:1024].encode()


def _ignore() -> None:
    """Does nothing; callback for prefill timings that do not use the notice."""


async def _cancel_reservation(reservation_task: asyncio.Task[Reservation]) -> None:
    """Cancels a pending reservation, or releases the slot if it was granted."""
    reservation_task.cancel()
    await asyncio.wait({reservation_task})
    if not reservation_task.cancelled() and reservation_task.exception() is None:
        reservation_task.result().stack.close()


async def _cancel_prefill_wait(prefill_task: asyncio.Task[KvSource]) -> None:
    """Cancels the wait for a prefill whose result is no longer needed."""
    prefill_task.cancel()
    await asyncio.wait({prefill_task})
    if not prefill_task.cancelled():
        prefill_task.exception()
