"""Calls of the plain HTTP service of an agent."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from wasabimux._clock import loop_time
from wasabimux._digest import digest_of
from wasabimux.agent.admission import AdmissionController, admission_request
from wasabimux.decisions.replies import CallAction, ReplyLimits, ReplyTable
from wasabimux.errors import (
    NOT_RUN_STATUSES,
    ErrorCode,
    Ran,
    Refusal,
    RefusedError,
    refused,
)
from wasabimux.headers import REQUEST_ID_HEADER, end_to_end_headers
from wasabimux.ids import RequestId
from wasabimux.link.messages import EndStream, OpenStream, ResponseHead
from wasabimux.link.stream import LinkStream
from wasabimux.ports import (
    Headers,
    PlainCall,
    PlainResponse,
    PlainUpstream,
    UpstreamLost,
)
from wasabimux.timeline import Timeline

#: Largest response body that is stored for a call that must not run twice.
MAX_STORED_REPLY_BYTES = 1024 * 1024


class CallOutcome(NamedTuple):
    """Outcome of a call: a response, or a refusal if the call failed."""

    status: int = 0
    headers: Headers = []
    body: bytes = b""
    refusal: Refusal | None = None


class CallWorker:
    """Serves calls; a reply table deduplicates those that must not run twice.

    Args:
        service: The plain service of the agent.
        admission: Admits requests to the service.
        timeline: Records events.
        limits: Bounds of the reply table.
    """

    def __init__(
        self,
        service: PlainUpstream,
        admission: AdmissionController,
        timeline: Timeline,
        limits: ReplyLimits = ReplyLimits(),
    ) -> None:
        self._service = service
        self._admission = admission
        self._timeline = timeline
        self._replies: ReplyTable[CallOutcome] = ReplyTable(limits)
        self._running_by_id: dict[RequestId, asyncio.Task[CallOutcome]] = {}

    @property
    def running_count(self) -> int:
        """Number of unfinished calls that must not run twice."""
        return len(self._running_by_id)

    def kill(self) -> None:
        """Cancels these calls at once, as if the process had been killed."""
        for task in self._running_by_id.values():
            task.cancel()

    async def call(self, stream: LinkStream, message: OpenStream) -> None:
        """Runs a call, joins a running one or replays a stored outcome.

        Raises:
            RefusedError: There is no response; the refusal says whether the call ran.
        """
        if message.repeatable:
            await self._call_repeatable(stream, message)
            return
        outcome = await self._call_at_most_once(message)
        if outcome.refusal is not None:
            raise RefusedError(outcome.refusal)
        stream.send_head(ResponseHead(outcome.status, outcome.headers))
        await stream.send_data(outcome.body)
        stream.send_end(EndStream())

    async def _call_repeatable(self, stream: LinkStream, message: OpenStream) -> None:
        remaining_s = message.budget_ms / 1000
        with await self._admission.acquire(admission_request(message)):
            try:
                async with (
                    asyncio.timeout(remaining_s),
                    self._service.call(_plain_call(message)) as response,
                ):
                    headers = end_to_end_headers(response.headers)
                    stream.send_head(ResponseHead(response.status, headers))
                    async for chunk in response.pieces():
                        await stream.send_data(chunk)
            except UpstreamLost as error:
                self._admission.on_cold_signal(loop_time())
                ran = Ran.UNKNOWN if error.sent else Ran.NO
                raise refused(ErrorCode.UPSTREAM_FAILED, str(error), ran)
            except TimeoutError:
                raise refused(
                    ErrorCode.DEADLINE,
                    "the call did not end before its deadline",
                    Ran.UNKNOWN,
                )
        self._admission.on_success(loop_time())
        stream.send_end(EndStream())

    async def _call_at_most_once(self, message: OpenStream) -> CallOutcome:
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
        if verdict is CallAction.REPLAY:
            record = self._replies.get(request_id)
            assert record is not None and record.reply is not None
            return record.reply
        if verdict is CallAction.RUN:
            task = asyncio.ensure_future(self._run_to_completion(request_id, message))
            self._running_by_id[request_id] = task
        return await asyncio.shield(self._running_by_id[request_id])

    async def _run_to_completion(
        self, request_id: RequestId, message: OpenStream
    ) -> CallOutcome:
        """Runs a call to completion, even if its stream has ended."""
        try:
            slot = await self._admission.acquire(admission_request(message))
        except RefusedError as error:
            self._replies.withdraw(request_id, loop_time())
            del self._running_by_id[request_id]
            return CallOutcome(refusal=error.refusal)
        with slot:
            outcome = await self._send(message)
        del self._running_by_id[request_id]
        if outcome.refusal is not None and outcome.refusal.ran is Ran.NO:
            self._replies.withdraw(request_id, loop_time())
        else:
            self._replies.finish(request_id, outcome, len(outcome.body), loop_time())
        return outcome

    async def _send(self, message: OpenStream) -> CallOutcome:
        remaining_s = message.budget_ms / 1000
        try:
            async with (
                asyncio.timeout(remaining_s),
                self._service.call(_plain_call(message)) as response,
            ):
                body = await _stored_body(response)
        except UpstreamLost as error:
            self._admission.on_cold_signal(loop_time())
            ran = Ran.UNKNOWN if error.sent else Ran.NO
            return CallOutcome(
                refusal=Refusal(ErrorCode.UPSTREAM_LOST, str(error), ran)
            )
        except TimeoutError:
            text = "the call did not end before its deadline"
            return CallOutcome(refusal=Refusal(ErrorCode.DEADLINE, text, Ran.UNKNOWN))
        if body is None:
            text = "the response is too large to be stored for retries"
            return CallOutcome(refusal=Refusal(ErrorCode.TOO_LARGE, text, Ran.YES))
        self._admission.on_success(loop_time())
        if response.status in NOT_RUN_STATUSES:
            text = f"the service answered {response.status}; it may have run the call"
            refusal = Refusal(ErrorCode.UPSTREAM_FAILED, text, Ran.UNKNOWN)
            return CallOutcome(refusal=refusal)
        return CallOutcome(response.status, end_to_end_headers(response.headers), body)


async def _stored_body(response: PlainResponse) -> bytes | None:
    """Returns the body of a response, None once it is too large to be stored.

    Raises:
        UpstreamLost: It ended early.
    """
    body = bytearray()
    async for chunk in response.pieces():
        body += chunk
        if len(body) > MAX_STORED_REPLY_BYTES:
            return None
    return bytes(body)


def _plain_call(message: OpenStream) -> PlainCall:
    headers = [
        *message.headers,
        (REQUEST_ID_HEADER, message.request_id.encode()),
        (b"x-workspace", message.workspace.encode()),
    ]
    return PlainCall(
        message.method, message.target, headers, message.body, message.repeatable
    )


def _fingerprint(message: OpenStream) -> int:
    digest = digest_of(message.method.encode(), message.target.encode(), message.body)
    return int(digest, 16)
