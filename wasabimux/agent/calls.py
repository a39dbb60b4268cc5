"""Calls of the plain service beside an agent."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from wasabimux._clock import loop_time
from wasabimux._digest import digest_of
from wasabimux.agent.capacity import Capacity, slot_ask
from wasabimux.decisions.replies import ReplyLimits, ReplyTable, Verdict
from wasabimux.errors import ErrorCode, Ran, Refusal, RefusedError, refused
from wasabimux.headers import end_to_end_headers
from wasabimux.ids import RequestId
from wasabimux.link.messages import EndStream, OpenStream, ResponseHead
from wasabimux.link.stream import LinkStream
from wasabimux.ports import Headers, PlainCall, PlainUpstream, UpstreamLost
from wasabimux.timeline import Timeline

#: Largest answer that is kept for a call that must not run twice.
MAX_KEPT_REPLY_BYTES = 1024 * 1024


class Reply(NamedTuple):
    """The outcome of a call: an answer, or how it failed."""

    status: int = 0
    headers: Headers = []
    body: bytes = b""
    refusal: Refusal | None = None


class CallWorker:
    """Serves calls; those that must not run twice go through a reply table.

    Args:
        service: The plain service beside the agent.
        capacity: Slots of the service.
        timeline: Records events.
        limits: Bounds of the reply table.
    """

    def __init__(
        self,
        service: PlainUpstream,
        capacity: Capacity,
        timeline: Timeline,
        limits: ReplyLimits = ReplyLimits(),
    ) -> None:
        self._service = service
        self._capacity = capacity
        self._timeline = timeline
        self._replies: ReplyTable[Reply] = ReplyTable(limits)
        self._running_by_id: dict[RequestId, asyncio.Task[Reply]] = {}

    @property
    def running(self) -> int:
        """Calls that must not run twice and have not ended."""
        return len(self._running_by_id)

    def kill(self) -> None:
        """Ends all calls at once, as the death of the process would."""
        for task in self._running_by_id.values():
            task.cancel()

    async def call(self, stream: LinkStream, message: OpenStream) -> None:
        """Runs, joins or replays a call.

        Raises:
            RefusedError: There is no answer; the refusal says whether it ran.
        """
        if message.repeatable:
            await self._call_repeatable(stream, message)
            return
        reply = await self._call_once(message)
        if reply.refusal is not None:
            raise RefusedError(reply.refusal)
        stream.send_head(ResponseHead(reply.status, reply.headers))
        await stream.send_data(reply.body)
        stream.send_end(EndStream())

    async def _call_repeatable(self, stream: LinkStream, message: OpenStream) -> None:
        budget_s = message.budget_ms / 1000
        with await self._capacity.acquire(slot_ask(message)):
            try:
                async with (
                    asyncio.timeout(budget_s),
                    self._service.call(_plain_call(message)) as answer,
                ):
                    headers = end_to_end_headers(answer.headers)
                    stream.send_head(ResponseHead(answer.status, headers))
                    async for piece in answer.pieces():
                        await stream.send_data(piece)
            except UpstreamLost as error:
                self._capacity.on_cold(loop_time())
                ran = Ran.UNKNOWN if error.sent else Ran.NO
                raise refused(ErrorCode.UPSTREAM_FAILED, str(error), ran)
            except TimeoutError:
                raise refused(ErrorCode.DEADLINE, "the call took too long", Ran.UNKNOWN)
        self._capacity.on_success(loop_time())
        stream.send_end(EndStream())

    async def _call_once(self, message: OpenStream) -> Reply:
        request_id = RequestId(message.request_id)
        admitted = self._replies.admit(
            request_id, _fingerprint(message), message.age_ms / 1000, loop_time()
        )
        if admitted.is_error():
            raise RefusedError(admitted.error)
        verdict = admitted.ok
        self._timeline.record(
            "call_admitted",
            message.request_id,
            message.workspace,
            verdict=verdict.value,
            attempt=message.attempt,
        )
        if verdict is Verdict.REPLAY:
            record = self._replies.record(request_id)
            assert record is not None and record.reply is not None
            return record.reply
        if verdict is Verdict.RUN:
            run = asyncio.ensure_future(self._run_to_end(request_id, message))
            self._running_by_id[request_id] = run
        return await asyncio.shield(self._running_by_id[request_id])

    async def _run_to_end(self, request_id: RequestId, message: OpenStream) -> Reply:
        """Runs a call to its end, whether or not anyone still waits for it."""
        try:
            lease = await self._capacity.acquire(slot_ask(message))
        except RefusedError as error:
            self._replies.withdraw(request_id, loop_time())
            del self._running_by_id[request_id]
            return Reply(refusal=error.refusal)
        with lease:
            reply = await self._send(message)
        del self._running_by_id[request_id]
        if reply.refusal is not None and reply.refusal.ran is Ran.NO:
            self._replies.withdraw(request_id, loop_time())
        else:
            self._replies.finish(request_id, reply, len(reply.body), loop_time())
        return reply

    async def _send(self, message: OpenStream) -> Reply:
        budget_s = message.budget_ms / 1000
        try:
            async with (
                asyncio.timeout(budget_s),
                self._service.call(_plain_call(message)) as answer,
            ):
                body = b"".join([piece async for piece in answer.pieces()])
        except UpstreamLost as error:
            self._capacity.on_cold(loop_time())
            ran = Ran.UNKNOWN if error.sent else Ran.NO
            return Reply(refusal=Refusal(ErrorCode.UPSTREAM_LOST, str(error), ran))
        except TimeoutError:
            text = "the call took too long"
            return Reply(refusal=Refusal(ErrorCode.DEADLINE, text, Ran.UNKNOWN))
        if len(body) > MAX_KEPT_REPLY_BYTES:
            text = "the answer is too large to be kept"
            return Reply(refusal=Refusal(ErrorCode.TOO_LARGE, text, Ran.YES))
        self._capacity.on_success(loop_time())
        return Reply(answer.status, end_to_end_headers(answer.headers), body)


def _plain_call(message: OpenStream) -> PlainCall:
    headers = [
        *message.headers,
        (b"x-request-id", message.request_id.encode()),
        (b"x-workspace", message.workspace.encode()),
    ]
    return PlainCall(
        message.method, message.target, headers, message.body, message.repeatable
    )


def _fingerprint(message: OpenStream) -> int:
    digest = digest_of(message.method.encode(), message.target.encode(), message.body)
    return int(digest, 16)
