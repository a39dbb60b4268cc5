"""Sends requests to upstreams and receives the answers that belong to them.

Every answer of an upstream to a request of a client is received here, so that what it
says counts for that request alone.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from typing import NamedTuple

from wasabimux._clock import loop_time
from wasabimux.adapters.http_client import ClientResponse
from wasabimux.decisions.answers import (
    AnswerVerdict,
    ResponseMetadata,
    judge_answer,
)
from wasabimux.ports import UpstreamLost
from wasabimux.relay.context import RESPONSE_MARGIN_S, RelayRequest
from wasabimux.relay.model import SendOptions
from wasabimux.relay.ports import HeaderCodec
from wasabimux.relay.records import RequestEventRecorder
from wasabimux.relay.upstreams import Upstream

#: Most answers of other requests that are skipped for one request.
MAX_SKIPPED_ANSWERS = 4

#: Longest wait in s for the body of an answer whose head has said everything.
DRAIN_TIMEOUT_S = 0.1


class UpstreamAnswer(NamedTuple):
    """An answer that belongs to the request that waits for it.

    Attributes:
        response: The response, whose body is still to be read.
        metadata: Metadata in its headers.
        verdict: What it says of the request.
    """

    response: ClientResponse
    metadata: ResponseMetadata
    verdict: AnswerVerdict

    async def drain(self) -> None:
        """Reads the body of an answer whose head has said everything.

        Only the reuse of the connection depends on it.
        """
        async with self.response:
            with contextlib.suppress(UpstreamLost, TimeoutError):
                async with asyncio.timeout(DRAIN_TIMEOUT_S):
                    await self.response.drop_body()


class AnswerReceiver:
    """Sends requests to upstreams and receives their answers.

    Args:
        header_codec: Encodes and decodes headers of requests and responses.
        recorder: Records events of requests.
    """

    def __init__(
        self, header_codec: HeaderCodec, recorder: RequestEventRecorder
    ) -> None:
        self._header_codec = header_codec
        self._recorder = recorder

    async def send_run(
        self, request: RelayRequest, upstream: Upstream, options: SendOptions
    ) -> UpstreamAnswer:
        """Sends a request to be run, and keeps count of sends that may have run.

        Raises:
            UpstreamLost: No answer that belongs to the request; `sent` is True if it
                may have run.
        """
        request.on_send()
        try:
            answer = await self.send(request, upstream, options)
        except UpstreamLost as error:
            if not error.sent:
                request.on_not_run()
            raise
        if answer.verdict.proves_not_run:
            request.on_not_run()
        return answer

    async def send(
        self, request: RelayRequest, upstream: Upstream, options: SendOptions
    ) -> UpstreamAnswer:
        """Sends a request and returns the answer that belongs to it.

        The send is not counted as one that may have run, as for a prefill.

        Raises:
            UpstreamLost: There is none.
        """
        headers = self._header_codec.request_headers(request.headers, options)
        response = await upstream.send(
            request.method, request.target, headers, request.body
        )
        answer = await self._find_own(request, upstream, response)
        self._on_answer(request, upstream, answer)
        return answer

    async def _find_own(
        self, request: RelayRequest, upstream: Upstream, response: ClientResponse
    ) -> UpstreamAnswer:
        """Skips answers until one belongs to the request."""
        try:
            for skipped in itertools.count():
                metadata = self._header_codec.read_response(response.headers)
                verdict = judge_answer(request.metadata.id, response.status, metadata)
                if verdict.is_own:
                    return UpstreamAnswer(response, metadata, verdict)
                self._recorder.record_answer(
                    request, "answer_skipped", upstream, response.status, metadata
                )
                if skipped == MAX_SKIPPED_ANSWERS:
                    break
                response = await _next_response(request, response, verdict)
                upstream.on_any_response(response)
            raise UpstreamLost("too many answers of other requests", sent=True)
        except BaseException:
            response.close()
            raise

    def _on_answer(
        self, request: RelayRequest, upstream: Upstream, answer: UpstreamAnswer
    ) -> None:
        """Takes over what an answer says of its upstream."""
        names_limit = answer.metadata.rate_limit_per_s is not None
        is_authentic = answer.verdict is not AnswerVerdict.UNSIGNED
        if (names_limit or is_authentic) and upstream.on_response(answer.metadata):
            self._recorder.record_rate_limit(request, upstream)
        if answer.verdict is AnswerVerdict.RAN:
            upstream.on_accepted()
        if answer.verdict is AnswerVerdict.MISDIRECTED:
            upstream.on_misdirected(loop_time())
            status = answer.response.status
            self._recorder.record_answer(
                request, "misdirected", upstream, status, answer.metadata
            )


async def _next_response(
    request: RelayRequest, response: ClientResponse, verdict: AnswerVerdict
) -> ClientResponse:
    """Returns the response after one that does not belong to the request.

    The upstream may send none. A request that can be sent elsewhere does not wait for
    it longer than its target latency, nor at all if the answer bears no identity.
    """
    if request.route.idempotent and verdict is AnswerVerdict.ANONYMOUS:
        raise UpstreamLost("the answer bears no identity", sent=True)
    until_s = request.deadline_s - RESPONSE_MARGIN_S
    if request.route.idempotent:
        until_s = min(until_s, loop_time() + request.route.target_latency_s)
    try:
        async with asyncio.timeout_at(until_s):
            return await response.skip()
    except TimeoutError as error:
        text = "the answer belongs to another request, and no other came"
        raise UpstreamLost(text, sent=True) from error
