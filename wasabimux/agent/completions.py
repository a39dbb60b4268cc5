"""Prefill and decode at the engine of an agent."""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress

from pydantic import BaseModel, ConfigDict

from wasabimux._clock import loop_time
from wasabimux.agent.admission import AdmissionController, admission_request
from wasabimux.agent.run_canceller import RunCanceller
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
    TokenCount,
)
from wasabimux.link.stream import LinkLost, LinkStream, StreamCancelled
from wasabimux.ports import Engine, EngineRefused, UpstreamLost
from wasabimux.timeline import Timeline

#: Time after which a transfer of a KV cache counts as stalled.
KV_TRANSFER_TIMEOUT_S = 2.0

#: Longest wait of a request with a slot for an engine that may have turned cold. The
#: result of its prefill is not kept any longer.
MAX_EXECUTION_WAIT_S = 0.8

#: Number of last bytes of a response that are kept to read the token usage from.
USAGE_TAIL_BYTES = 1024

CHAT_PATH = "/v1/chat/completions"

#: Statuses of engines: a request that it does not take, a KV cache that it has dropped.
STATUS_BAD_REQUEST = 400
STATUS_GONE = 410


class TokenUsage(BaseModel):
    """Number of tokens in the prompt and in the output of a request."""

    model_config = ConfigDict(extra="ignore", frozen=True, strict=True)

    prompt_tokens: TokenCount = 0
    completion_tokens: TokenCount = 0


class CompletionWorker:
    """Serves reservations and prefills at the engine.

    Args:
        engine: The engine of the agent.
        admission: Admits requests to the engine.
        run_canceller: Cancels runs of requests that have ended early.
        timeline: Records events.
    """

    def __init__(
        self,
        engine: Engine,
        admission: AdmissionController,
        run_canceller: RunCanceller,
        timeline: Timeline,
    ) -> None:
        self._engine = engine
        self._admission = admission
        self._run_canceller = run_canceller
        self._timeline = timeline

    async def prefill(self, stream: LinkStream, message: OpenStream) -> None:
        """Prefills a prompt and keeps the KV cache until the stream ends.

        Raises:
            RefusedError: The prompt was not prefilled.
        """
        remaining_s = message.budget_ms / 1000
        run = engine_run_name(message)
        with await self._admission.acquire(admission_request(message)):
            source = await self._prefill(run, message, remaining_s)
        # The slot is already released: the next prompt can be prefilled while this KV
        # cache waits to be fetched.
        consumed = False
        try:
            stream.send_kv_source(source)
            stream.send_end(EndStream())
            consumed = await _peer_succeeded(stream)
        finally:
            if not consumed:
                await self._run_canceller.cancel(run)

    async def reserve(self, stream: LinkStream, message: OpenStream) -> None:
        """Grants a slot, imports the KV cache that the peer names, and decodes.

        Raises:
            RefusedError: The request was not decoded to completion.
        """
        run = engine_run_name(message)
        deadline_s = loop_time() + message.budget_ms / 1000

        def on_first_in_queue() -> None:
            # Called while another request releases its slot, which must not fail
            # because this stream has ended.
            with suppress(LinkLost, StreamCancelled):
                stream.send_head(ResponseHead(STATUS_FIRST_IN_QUEUE))

        with await self._admission.acquire(
            admission_request(message), on_first_in_queue
        ):
            stream.send_head(ResponseHead(STATUS_SLOT_GRANTED))
            source = await stream.receive_kv_source()
            with await self._admission.begin_execution(MAX_EXECUTION_WAIT_S):
                usage = await self._import_and_decode(
                    run, source, stream, message, deadline_s
                )
        self._admission.on_success(loop_time())
        stream.send_end(EndStream(None, usage.prompt_tokens, usage.completion_tokens))

    async def _import_and_decode(
        self,
        run: str,
        source: KvSource,
        stream: LinkStream,
        message: OpenStream,
        deadline_s: float,
    ) -> TokenUsage:
        finished = False
        try:
            await self._import(run, source)
            stream.send_head(ResponseHead(STATUS_OK))
            usage = await self._decode(run, stream, message, deadline_s)
            finished = True
            return usage
        finally:
            if not finished:
                await self._run_canceller.cancel(run)

    async def _prefill(
        self, run: str, message: OpenStream, remaining_s: float
    ) -> KvSource:
        finished = False
        try:
            async with asyncio.timeout(remaining_s):
                result = await self._engine.prefill(run, message.body, message.patient)
            finished = True
        except TimeoutError:
            raise refused(
                ErrorCode.DEADLINE,
                "the prefill did not end before the deadline",
                Ran.YES,
            )
        except EngineRefused as refusal:
            ran = Ran.NO if refusal.status == STATUS_BAD_REQUEST else Ran.UNKNOWN
            raise self._refusal_of_engine(refusal, ran)
        except (UpstreamLost, OSError) as error:
            self._admission.on_cold_signal(loop_time())
            raise refused(ErrorCode.UPSTREAM_FAILED, str(error), Ran.YES)
        finally:
            if not finished:
                await self._run_canceller.cancel(run)
        self._admission.on_success(loop_time())
        return KvSource(
            result.source, result.handle, result.prompt_tokens, result.cached_tokens
        )

    async def _import(self, run: str, source: KvSource) -> None:
        try:
            async with asyncio.timeout(KV_TRANSFER_TIMEOUT_S):
                await self._engine.import_kv(run, source.address, source.handle)
        except TimeoutError:
            raise refused(
                ErrorCode.RESULT_EXPIRED,
                "the transfer of the KV cache stalled",
                Ran.YES,
            )
        except EngineRefused as refusal:
            raise self._refusal_of_engine(refusal, Ran.YES)
        except (UpstreamLost, OSError) as error:
            self._admission.on_cold_signal(loop_time())
            raise refused(ErrorCode.UPSTREAM_FAILED, str(error), Ran.YES)

    async def _decode(
        self, run: str, stream: LinkStream, message: OpenStream, deadline_s: float
    ) -> TokenUsage:
        chat = message.target == CHAT_PATH
        chunks = self._engine.decode(run, message.body, chat)
        tail = b""
        last_chunk_s = loop_time()
        try:
            # There is no timeout between chunks: an unstreamed response arrives only
            # after decoding has ended, so silence until then is no sign of a failure.
            async with asyncio.timeout_at(deadline_s):
                while True:
                    chunk = await anext(chunks, None)
                    if chunk is None:
                        return read_usage(tail)
                    self._admission.on_token_interval(loop_time() - last_chunk_s)
                    tail = (tail + chunk)[-USAGE_TAIL_BYTES:]
                    await stream.send_data(chunk)
                    last_chunk_s = loop_time()
        except TimeoutError:
            raise refused(
                ErrorCode.DEADLINE,
                "the response did not end before the deadline",
                Ran.YES,
            )
        except EngineRefused as refusal:
            raise self._refusal_of_engine(refusal, Ran.YES)
        except (UpstreamLost, OSError) as error:
            self._admission.on_cold_signal(loop_time())
            raise refused(ErrorCode.UPSTREAM_FAILED, str(error), Ran.YES)
        finally:
            await chunks.aclose()

    def _refusal_of_engine(self, refusal: EngineRefused, ran: Ran) -> RefusedError:
        self._timeline.record("engine_refused", status=refusal.status)
        if refusal.status == STATUS_GONE:
            return refused(ErrorCode.RESULT_EXPIRED, refusal.message, ran)
        if refusal.status == STATUS_BAD_REQUEST:
            return refused(ErrorCode.BAD_REQUEST, refusal.message, ran)
        return refused(ErrorCode.UPSTREAM_FAILED, refusal.message, ran)


def engine_run_name(message: OpenStream) -> str:
    """Returns the name of the engine run, which is unique to one attempt."""
    return f"{message.request_id}.{message.attempt}"


def read_usage(tail: bytes) -> TokenUsage:
    """Parses the token usage from the end of a response, streamed or not."""
    start = tail.rfind(b'"usage":')
    if start < 0:
        return TokenUsage()
    text = tail[start + len(b'"usage":') :].decode(errors="replace").lstrip()
    try:
        usage, _ = json.JSONDecoder().raw_decode(text)
        return TokenUsage.model_validate(usage)
    except (ValueError, RecursionError):
        return TokenUsage()


async def _peer_succeeded(stream: LinkStream) -> bool:
    """Waits until the peer ends the stream; returns whether it reported success.

    Raises as `LinkStream.receive` does.
    """
    item = await stream.receive()
    while isinstance(item, Data):
        item = await stream.receive()
    return isinstance(item, EndStream) and item.refusal is None
