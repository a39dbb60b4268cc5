"""Prefill and decode at the engine beside an agent."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import NamedTuple

from wasabimux._clock import loop_time
from wasabimux.agent.capacity import Capacity, slot_ask
from wasabimux.agent.reaper import Reaper
from wasabimux.errors import ErrorCode, Ran, RefusedError, refused
from wasabimux.link.messages import (
    STATUS_FIRST_IN_QUEUE,
    STATUS_OK,
    STATUS_SLOT_GRANTED,
    Data,
    EndStream,
    KvSource,
    OpenStream,
    ResponseHead,
)
from wasabimux.link.stream import LinkLost, LinkStream, StreamCancelled
from wasabimux.ports import Engine, EngineRefused, UpstreamLost
from wasabimux.timeline import Timeline

#: Longest time for a KV transfer before it counts as stalled.
TRANSFER_TIMEOUT_S = 2.0

#: Longest wait of a granted request for an engine that may have turned cold. The
#: result of its prefill lives no longer.
WORK_WAIT_S = 0.8

#: End of an answer that is kept to read its usage from.
TAIL_BYTES = 1024

CHAT_PATH = "/v1/chat/completions"


class Usage(NamedTuple):
    """Tokens that a request used."""

    prompt_tokens: int = 0
    output_tokens: int = 0


class CompletionWorker:
    """Serves reservations and prefills.

    Args:
        engine: The engine beside the agent.
        capacity: Slots of the engine.
        reaper: Cancels runs that are gone.
        timeline: Records events.
    """

    def __init__(
        self, engine: Engine, capacity: Capacity, reaper: Reaper, timeline: Timeline
    ) -> None:
        self._engine = engine
        self._capacity = capacity
        self._reaper = reaper
        self._timeline = timeline

    async def prefill(self, stream: LinkStream, message: OpenStream) -> None:
        """Prefills a prompt, then keeps the result until the stream ends.

        Raises:
            RefusedError: The prompt was not prefilled.
        """
        budget_s = message.budget_ms / 1000
        run = run_name(message)
        with await self._capacity.acquire(slot_ask(message)):
            source = await self._prefill(run, message, budget_s)
        # The slot is free for the next prompt while this result waits to be fetched.
        consumed = False
        try:
            stream.send_kv_source(source)
            stream.send_end(EndStream())
            consumed = await _ended_well(stream)
        finally:
            if not consumed:
                await self._reaper.cancel(run)

    async def reserve(self, stream: LinkStream, message: OpenStream) -> None:
        """Grants a slot, imports the KV cache named on the stream, and decodes.

        Raises:
            RefusedError: The request was not decoded to its end.
        """
        run = run_name(message)
        deadline_s = loop_time() + message.budget_ms / 1000

        def on_next() -> None:
            # Another request's release leads here, which must not fail for this one.
            with suppress(LinkLost, StreamCancelled):
                stream.send_head(ResponseHead(STATUS_FIRST_IN_QUEUE))

        with await self._capacity.acquire(slot_ask(message), on_next):
            stream.send_head(ResponseHead(STATUS_SLOT_GRANTED))
            source = await stream.receive_kv_source()
            with await self._capacity.begin_work(WORK_WAIT_S):
                usage = await self._import_and_decode(
                    run, source, stream, message, deadline_s
                )
        self._capacity.on_success(loop_time())
        stream.send_end(EndStream(None, usage.prompt_tokens, usage.output_tokens))

    async def _import_and_decode(
        self,
        run: str,
        source: KvSource,
        stream: LinkStream,
        message: OpenStream,
        deadline_s: float,
    ) -> Usage:
        finished = False
        try:
            await self._import(run, source)
            stream.send_head(ResponseHead(STATUS_OK))
            usage = await self._decode(run, stream, message, deadline_s)
            finished = True
            return usage
        finally:
            if not finished:
                await self._reaper.cancel(run)

    async def _prefill(
        self, run: str, message: OpenStream, budget_s: float
    ) -> KvSource:
        finished = False
        try:
            async with asyncio.timeout(budget_s):
                result = await self._engine.prefill(run, message.body, message.patient)
            finished = True
        except TimeoutError:
            raise refused(ErrorCode.DEADLINE, "prefill took too long", Ran.YES)
        except EngineRefused as refusal:
            raise self._refusal_from(refusal, Ran.NO)
        except (UpstreamLost, OSError) as error:
            self._capacity.on_cold(loop_time())
            raise refused(ErrorCode.UPSTREAM_FAILED, str(error), Ran.YES)
        finally:
            if not finished:
                await self._reaper.cancel(run)
        self._capacity.on_success(loop_time())
        return KvSource(
            result.source, result.handle, result.prompt_tokens, result.cached_tokens
        )

    async def _import(self, run: str, source: KvSource) -> None:
        try:
            async with asyncio.timeout(TRANSFER_TIMEOUT_S):
                await self._engine.import_kv(run, source.address, source.handle)
        except TimeoutError:
            raise refused(ErrorCode.RESULT_EXPIRED, "the transfer stalled", Ran.YES)
        except EngineRefused as refusal:
            raise self._refusal_from(refusal, Ran.YES)
        except (UpstreamLost, OSError) as error:
            self._capacity.on_cold(loop_time())
            raise refused(ErrorCode.UPSTREAM_FAILED, str(error), Ran.YES)

    async def _decode(
        self, run: str, stream: LinkStream, message: OpenStream, deadline_s: float
    ) -> Usage:
        chat = message.target == CHAT_PATH
        pieces = self._engine.decode(run, message.body, chat)
        tail = b""
        last_s = loop_time()
        try:
            # An answer that is not streamed comes at its end, so silence before the
            # request's deadline says nothing about the engine.
            async with asyncio.timeout_at(deadline_s):
                while True:
                    piece = await anext(pieces, None)
                    if piece is None:
                        return read_usage(tail)
                    self._capacity.on_step(loop_time() - last_s)
                    tail = (tail + piece)[-TAIL_BYTES:]
                    await stream.send_data(piece)
                    last_s = loop_time()
        except TimeoutError:
            raise refused(ErrorCode.DEADLINE, "the answer took too long", Ran.YES)
        except EngineRefused as refusal:
            raise self._refusal_from(refusal, Ran.YES)
        except (UpstreamLost, OSError) as error:
            self._capacity.on_cold(loop_time())
            raise refused(ErrorCode.UPSTREAM_FAILED, str(error), Ran.YES)
        finally:
            await pieces.aclose()

    def _refusal_from(self, refusal: EngineRefused, ran: Ran) -> RefusedError:
        self._timeline.record("engine_refused", status=refusal.status)
        if refusal.status == 410:
            return refused(ErrorCode.RESULT_EXPIRED, refusal.message, ran)
        if refusal.status == 400:
            return refused(ErrorCode.BAD_REQUEST, refusal.message, ran)
        return refused(ErrorCode.UPSTREAM_FAILED, refusal.message, ran)


def run_name(message: OpenStream) -> str:
    """Names the run of one attempt, so that attempts never meet."""
    return f"{message.request_id}.{message.attempt}"


def read_usage(tail: bytes) -> Usage:
    """Reads the usage from the end of an answer, streamed or whole."""
    start = tail.rfind(b'"usage":')
    if start < 0:
        return Usage()
    text = tail[start + len(b'"usage":') :].decode(errors="replace").lstrip()
    try:
        usage, _ = json.JSONDecoder().raw_decode(text)
        return Usage(int(usage["prompt_tokens"]), int(usage["completion_tokens"]))
    except (ValueError, KeyError, TypeError):
        return Usage()


async def _ended_well(stream: LinkStream) -> bool:
    """Waits for the peer's end; False if it cancels or the link is lost."""
    item = await stream.receive()
    while isinstance(item, Data):
        item = await stream.receive()
    return isinstance(item, EndStream) and item.refusal is None
