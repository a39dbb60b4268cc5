"""Completions: decode slot first, then prefill, transfer and decode."""

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
from wasabimux.entry.attempts import Attempts, no_upstream
from wasabimux.entry.context import RequestContext
from wasabimux.entry.pool import AgentPool, PooledAgent
from wasabimux.entry.reservation import Reservation, reserve_slot
from wasabimux.errors import ErrorCode, Ran, Refusal, RefusedError, refused
from wasabimux.link.messages import EndStream, KvSource, OpenStream, Operation
from wasabimux.link.stream import LinkLost, LinkStream, StreamCancelled
from wasabimux.timeline import Timeline

#: Part of the target for the first token that the waits for a decode slot, and
#: then for a prefill, may take together.
SLOT_SHARE = {Operation.RESERVE: 0.75, Operation.PREFILL: 0.9}

#: Decode agents that one attempt may ask for a slot.
DECODE_CANDIDATES = 4

PROMPT_FIELDS = ("prompt", "messages")


class CompletionRequest(NamedTuple):
    """A parsed completion request.

    Attributes:
        path: Path that the caller used.
        model: Model asked for.
        fields: All fields.
        prompt_bytes: Length of the prompt.
        stream: True if the caller wants server-sent events.
    """

    path: str
    model: str
    fields: dict[str, Any]
    prompt_bytes: int
    stream: bool

    @property
    def max_tokens(self) -> int:
        """Most output tokens."""
        return int(self.fields["max_tokens"])

    def bounded(self, max_output_tokens: int) -> CompletionRequest:
        """Returns the request with its limit on output tokens within a bound."""
        wanted = self.fields.get("max_tokens") or max_output_tokens
        limit = min(wanted, max_output_tokens)
        return self._replace(fields=self.fields | {"max_tokens": limit})

    def worst_tokens(self, bytes_per_token: float) -> int:
        """Returns the most tokens that the request can use."""
        return math.ceil(self.prompt_bytes / bytes_per_token) + self.max_tokens

    def prefill_body(self) -> bytes:
        """Returns the body for the prefill engine."""
        return json.dumps(self.fields).encode()

    def decode_body(self) -> bytes:
        """Returns the body for the decode engine, without the prompt."""
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
        fields = json.loads(body)
    except (ValueError, RecursionError):
        raise refused(ErrorCode.BAD_REQUEST, "the body is not JSON") from None
    if not isinstance(fields, dict):
        raise refused(ErrorCode.BAD_REQUEST, "the body is not a JSON object")
    model = _field(fields, "model", str, None)
    stream = _field(fields, "stream", bool, False)
    max_tokens = _field(fields, "max_tokens", int, 0)
    if max_tokens < 0 or isinstance(fields.get("max_tokens"), bool):
        raise refused(ErrorCode.BAD_REQUEST, "$.max_tokens: expected 1 or more")
    prompt_bytes = _prompt_bytes(fields, path.startswith("/v1/chat/"))
    return CompletionRequest(path, model, fields, prompt_bytes, stream)


def _field(fields: dict[str, Any], name: str, kind: type, default: Any) -> Any:
    value = fields.get(name, default)
    if not isinstance(value, kind):
        text = f"$.{name}: expected {kind.__name__}"
        raise refused(ErrorCode.BAD_REQUEST, text)
    return value


def _prompt_bytes(fields: dict[str, Any], chat: bool) -> int:
    if not chat:
        return len(_field(fields, "prompt", str, None).encode())
    total = 0
    for index, message in enumerate(_field(fields, "messages", list, None)):
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
    """When the prefill of a request starts."""

    AT_ONCE = "at_once"
    WHEN_NEXT = "when_next"
    AFTER_GRANT = "after_grant"


class CompletionFlow:
    """Takes completion requests through the pools.

    Args:
        pool: Links to agents.
        attempts: Runs attempts.
        prefill_policy: Chooses where to prefill.
        decode_policy: Chooses where to decode.
        rng: Source of random choices.
        timeline: Records events.
        timing: When prefills start.
    """

    def __init__(
        self,
        pool: AgentPool,
        attempts: Attempts,
        prefill_policy: PlacementPolicy,
        decode_policy: PlacementPolicy,
        rng: random.Random,
        timeline: Timeline,
        timing: PrefillTiming = PrefillTiming.AFTER_GRANT,
    ) -> None:
        self._timing = timing
        self._pool = pool
        self._attempts = attempts
        self._prefill_policy = prefill_policy
        self._decode_policy = decode_policy
        self._rng = rng
        self._timeline = timeline

    async def serve(
        self, context: RequestContext, request: CompletionRequest
    ) -> HttpResponse:
        """Serves a request.

        Returns:
            The answer, whose body streams from the decode engine.

        Raises:
            RefusedError: The request was refused or failed.
        """
        answer = await self._attempts.run(
            context, lambda: self._attempt(context, request), repeatable=True
        )
        kind = b"text/event-stream" if request.stream else b"application/json"
        headers = [
            (b"content-type", kind),
            (b"x-request-id", context.request_id.encode()),
        ]
        if request.stream:
            headers.append((b"cache-control", b"no-store"))
        body = self._body(context, request, answer)
        return HttpResponse(200, headers, body)

    async def _attempt(
        self, context: RequestContext, request: CompletionRequest
    ) -> _DecodeAnswer:
        """Makes one attempt; returns once the first byte of the answer is here."""
        async with AsyncExitStack() as stack:
            due = asyncio.Event()
            if self._timing is PrefillTiming.AT_ONCE:
                due.set()
            on_next = due.set if self._timing is PrefillTiming.WHEN_NEXT else _ignore
            reserving = asyncio.ensure_future(
                self._reserve(context, request, due, on_next)
            )
            stack.push_async_callback(_give_up, reserving)
            await due.wait()
            if reserving.done():
                reserving.result()  # raises if there is no slot
            prefill, prefill_agent = self._open_prefill(context, request, stack)
            source = asyncio.ensure_future(
                self._prefilled(context, prefill, prefill_agent)
            )
            stack.push_async_callback(_drop, source)
            try:
                reservation = await reserving
            except (RefusedError, LinkLost, StreamCancelled):
                context.note_ran(Ran.UNKNOWN)  # the prefill may have begun
                raise
            decode, decode_agent = reservation.stream, reservation.agent
            self._record(context, "slot_granted", decode_agent)
            decode.send_kv_source(await source)
            decode.send_end(EndStream())
            await self._head(context, decode, decode_agent)
            prefill.send_end(EndStream())
            pieces = decode.payloads()
            first = await anext(pieces)
            self._record(context, "first_token", decode_agent)
            return _DecodeAnswer(first, pieces, stack.pop_all())

    async def _reserve(
        self,
        context: RequestContext,
        request: CompletionRequest,
        due: asyncio.Event,
        on_next: Callable[[], None],
    ) -> Reservation:
        """Reserves a decode slot; sets `due` once it is granted or refused."""
        message = self._open_message(
            context,
            Operation.RESERVE,
            request,
            request.decode_body(),
            cost=request.max_tokens,
        )
        try:
            return await reserve_slot(
                self._choose_decode(context),
                message,
                on_ask=lambda agent: self._record(context, "sent_reserve", agent),
                on_failure=lambda agent: context.tried.add(agent.id),
                on_next=on_next,
            )
        finally:
            due.set()

    def _open_prefill(
        self,
        context: RequestContext,
        request: CompletionRequest,
        stack: AsyncExitStack,
    ) -> tuple[LinkStream, PooledAgent]:
        body = request.prefill_body()
        agent = self._choose_prefill(context, request)
        message = self._open_message(
            context, Operation.PREFILL, request, body, cost=request.prompt_bytes
        )
        context.sent += 1
        self._record(context, "sent_prefill", agent)
        return stack.enter_context(agent.open(message)), agent

    async def _prefilled(
        self, context: RequestContext, prefill: LinkStream, agent: PooledAgent
    ) -> KvSource:
        """Waits for the KV cache of the prompt."""
        try:
            source = await prefill.receive_kv_source()
        except (RefusedError, LinkLost, StreamCancelled):
            context.tried.add(agent.id)
            raise
        self._record(context, "prefilled", agent, cached=source.cached_tokens)
        return source

    async def _head(
        self, context: RequestContext, stream: LinkStream, agent: PooledAgent
    ) -> None:
        try:
            await stream.receive_head()
        except (RefusedError, LinkLost, StreamCancelled):
            context.tried.add(agent.id)
            raise

    async def _body(
        self,
        context: RequestContext,
        request: CompletionRequest,
        answer: _DecodeAnswer,
    ) -> AsyncGenerator[bytes, None]:
        """Yields the answer; a failure becomes an error event and a cut."""
        async with answer.stack:
            try:
                async with context.scope():
                    piece: bytes | EndStream = answer.first
                    while isinstance(piece, bytes):
                        yield piece
                        piece = await anext(answer.pieces)
                context.used = piece.prompt_tokens + piece.output_tokens
                self._timeline.record(
                    "answered",
                    context.request_id,
                    context.workspace,
                    prompt_tokens=piece.prompt_tokens,
                    output_tokens=piece.output_tokens,
                )
                return
            except RefusedError as error:
                failure = error.refusal
            except (LinkLost, StreamCancelled):
                text = "the upstream was lost within the answer"
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
            if request.stream:
                yield b"event: error\ndata: " + failure.to_json() + b"\n\n"
            raise RefusedError(failure)

    def _choose_decode(self, context: RequestContext) -> list[PooledAgent]:
        """Chooses the agents to ask for a slot, in order of preference."""
        group = context.route.decode_group or ""
        avoid = set(context.tried)
        chosen: list[PooledAgent] = []
        while len(chosen) < DECODE_CANDIDATES:
            agent = self._pool.choose(group, self._decode_policy, self._rng, avoid)
            if agent is None or agent in chosen:
                break
            chosen.append(agent)
            avoid.add(agent.id)
        if not chosen:
            raise no_upstream(group)
        return chosen

    def _choose_prefill(
        self, context: RequestContext, request: CompletionRequest
    ) -> PooledAgent:
        group = context.route.prefill_group or ""
        affinity = _prefix(request.fields)
        agent = self._pool.choose(
            group, self._prefill_policy, self._rng, context.tried, affinity
        )
        if agent is None:
            raise no_upstream(group)
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
            slot_budget_ms=context.slot_budget_ms(now, SLOT_SHARE[operation]),
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


class _DecodeAnswer(NamedTuple):
    """An answer that has begun."""

    first: bytes | EndStream
    pieces: Any
    stack: AsyncExitStack


def _prefix(fields: dict[str, Any]) -> bytes:
    """Returns the start of the prompt, which requests with one prefix share."""
    if "prompt" in fields:
        return fields["prompt"][:1024].encode()
    return "".join(item["content"] for item in fields["messages"])[:1024].encode()


def _ignore() -> None:
    """Takes a notice that the timing makes no use of."""


async def _give_up(reserving: asyncio.Task[Reservation]) -> None:
    """Ends a reservation, or gives its slot back."""
    reserving.cancel()
    await asyncio.wait({reserving})
    if not reserving.cancelled() and reserving.exception() is None:
        reserving.result().stack.close()


async def _drop(source: asyncio.Task[KvSource]) -> None:
    """Ends the wait for a prefill whose result is not needed any more."""
    source.cancel()
    await asyncio.wait({source})
    if not source.cancelled():
        source.exception()
