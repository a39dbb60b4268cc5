"""Serves calls of plain services, with retries and hedging where these are safe."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from wasabimux._clock import loop_time
from wasabimux.adapters.http_server import HttpResponse
from wasabimux.adapters.memory_ledger import HeldBytes, process_ledger
from wasabimux.adapters.relay_metrics import RelayMetrics
from wasabimux.decisions.answers import (
    STATUS_SERVER_ERROR,
    AnswerVerdict,
    ResponseMetadata,
)
from wasabimux.decisions.log_sampling import LogSampler
from wasabimux.decisions.retry_window import ServiceRetryBudgets
from wasabimux.errors import NOT_RUN_STATUSES, ErrorCode, Ran, RefusedError
from wasabimux.ids import UpstreamId
from wasabimux.ports import Headers, UpstreamLost
from wasabimux.relay.answers import AnswerReceiver, UpstreamAnswer
from wasabimux.relay.call_lines import CallLines, CallPlace
from wasabimux.relay.context import RESPONSE_MARGIN_S, RelayRequest
from wasabimux.relay.placing import ALL_PAUSE_TEXT, UpstreamSelector
from wasabimux.relay.ports import HeaderCodec
from wasabimux.relay.quarantine import RequestQuarantine
from wasabimux.relay.records import RequestEventRecorder
from wasabimux.relay.rollouts import Rollouts
from wasabimux.relay.upstreams import Upstream

#: A call is hedged once it takes this many times the mean latency of the fastest
#: upstream.
HEDGE_LATENCY_FACTOR = 5.0

#: Bounds of the delay before a call is hedged: in s, and as a fraction of the route's
#: target time.
MIN_HEDGE_DELAY_S = 0.12
MAX_HEDGE_DELAY_FRACTION = 0.6

#: Bounds of the Retry-After when no upstream can take the request.
RETRY_AFTER_S = 0.2
MAX_RETRY_AFTER_S = 3.0

#: Longest wait for a turn at an upstream that bears few requests, as a fraction of the
#: target latency.
MAX_TURN_WAIT_FRACTION = 0.5

#: Most `answered` events recorded per second; further ones are only counted.
MAX_ANSWERED_EVENTS_PER_S = 10.0

#: Most upstreams to try in one attempt while none has received the request or accepted
#: it as addressed to itself.
MAX_UNDELIVERED_SENDS = 4


class UpstreamResponse(NamedTuple):
    """A complete response of an upstream."""

    status: int
    headers: Headers
    body: bytes
    metadata: ResponseMetadata
    verdict: AnswerVerdict
    upstream: Upstream
    held: HeldBytes


class PlainCallHandler:
    """Serves calls of plain services.

    Args:
        selector: Chooses upstreams.
        quarantine: Refuses calls on which upstreams crash.
        rollouts: Divides calls between software versions.
        lines: Gives places at upstreams while these are busy.
        answers: Sends calls and receives their answers.
        header_codec: Encodes the headers of responses.
        retries: Retry budgets.
        recorder: Records events of requests.
        metrics: Measures the durations of calls.
    """

    def __init__(
        self,
        selector: UpstreamSelector,
        quarantine: RequestQuarantine,
        rollouts: Rollouts,
        lines: CallLines,
        answers: AnswerReceiver,
        header_codec: HeaderCodec,
        retries: ServiceRetryBudgets,
        recorder: RequestEventRecorder,
        metrics: RelayMetrics,
    ) -> None:
        self._recorder = recorder
        self._metrics = metrics
        self._sampler = LogSampler(MAX_ANSWERED_EVENTS_PER_S)
        self._selector = selector
        self._quarantine = quarantine
        self._rollouts = rollouts
        self._lines = lines
        self._answers = answers
        self._header_codec = header_codec
        self._retries = retries

    async def serve(self, request: RelayRequest) -> HttpResponse:
        """Serves a call.

        Raises:
            RefusedError: The call was refused or failed.
        """
        passed_on: HeldBytes | None = None
        try:
            async with request.deadline_scope():
                response = await self._fetch_response(request)
            passed_on = response.held
        finally:
            for held in request.held_answers:
                if held is not passed_on:
                    held.free()
        headers = self._header_codec.response_headers(response.headers)
        return HttpResponse(response.status, headers, response.body, held=response.held)

    async def _fetch_response(self, request: RelayRequest) -> UpstreamResponse:
        """Sends, hedges and retries a call until there is a response to pass on.

        A server error is passed on only if no other attempt succeeds.
        """
        attempts: set[asyncio.Task[UpstreamResponse]] = set()
        server_error: UpstreamResponse | None = None
        failure: RefusedError | None = None
        try:
            attempts.add(self._start_attempt(request))
            while True:
                if not attempts:
                    break
                hedge_s = self._hedge_delay_s(request) if len(attempts) == 1 else None
                done, attempts = await asyncio.wait(
                    attempts, timeout=hedge_s, return_when=asyncio.FIRST_COMPLETED
                )
                if not done and request.is_in_line:
                    continue  # it was not sent yet
                if not done:
                    if self._may_retry(request):
                        self._recorder.record(request, "hedged")
                        attempts.add(self._start_attempt(request))
                    else:
                        done, attempts = await asyncio.wait(
                            attempts, return_when=asyncio.FIRST_COMPLETED
                        )
                for task in done:
                    try:
                        response = task.result()
                    except RefusedError as error:
                        failure = error
                        continue
                    if response.status < STATUS_SERVER_ERROR:
                        return response
                    server_error = response
                    if not request.route.idempotent:
                        return response
                if done and not attempts and self._may_retry(request):
                    attempts.add(self._start_attempt(request))
        finally:
            for task in attempts:
                task.cancel()
        if server_error is not None:
            return server_error
        assert failure is not None
        raise failure

    def _start_attempt(self, request: RelayRequest) -> asyncio.Task[UpstreamResponse]:
        return asyncio.ensure_future(self._attempt(request))

    def _may_retry(self, request: RelayRequest) -> bool:
        """Tells whether a retry or hedge is allowed; charges it to the retry budget."""
        now = loop_time()
        if (
            request.remaining_s(now) <= 2 * RESPONSE_MARGIN_S
            or not request.has_attempts_left()
        ):
            return False
        if request.ran is not Ran.NO and not request.route.idempotent:
            return False
        if not self._quarantine.may_retry(request):
            return False
        return self._retries.for_service(request.service.name).try_spend(now)

    def _hedge_delay_s(self, request: RelayRequest) -> float | None:
        """Returns the delay in s before a call is hedged, None if it must not be."""
        if not request.route.idempotent or not request.has_attempts_left():
            return None
        now = loop_time()
        usable = self._selector.usable(request.service.name, now, [])
        known_s = (upstream.health.latency_s(now) for upstream in usable)
        latencies_s = [latency_s for latency_s in known_s if latency_s > 0]
        fastest_s = min(
            latencies_s, default=request.route.target_latency_s / HEDGE_LATENCY_FACTOR
        )
        limit_s = MAX_HEDGE_DELAY_FRACTION * request.route.target_latency_s
        return max(MIN_HEDGE_DELAY_S, min(HEDGE_LATENCY_FACTOR * fastest_s, limit_s))

    async def _attempt(self, request: RelayRequest) -> UpstreamResponse:
        """Sends the call to upstreams until one of them accepts it.

        Raises:
            RefusedError: No valid response; `ran` tells whether the call ran.
        """
        for _ in range(MAX_UNDELIVERED_SENDS):
            self._quarantine.check(request)
            place = await self._lines.enter(
                request, self._avoided(request, loop_time())
            )
            response = await self._send_in_place(request, place)
            if response is None:
                continue  # not delivered, or rejected as misdirected
            if response.verdict is AnswerVerdict.NOT_RUN:
                self._recorder.record_answer(
                    request,
                    "not_executed",
                    response.upstream,
                    response.status,
                    response.metadata,
                )
                raise request.refusal_error(
                    ErrorCode.OVERLOADED,
                    "the upstream is overloaded",
                    self._pause_left_s(request, loop_time()) or RETRY_AFTER_S,
                )
            return response
        raise request.refusal_error(
            ErrorCode.NO_UPSTREAM, "no upstream could be reached", RETRY_AFTER_S
        )

    async def _send_in_place(
        self, request: RelayRequest, place: CallPlace | None
    ) -> UpstreamResponse | None:
        """Sends the call to the upstream of its place, else to one chosen now.

        Returns:
            The response; None if the call was not delivered or was rejected as
            misdirected.
        """
        sent_s, took_s = loop_time(), 0.0
        try:
            upstream = place.upstream if place else await self._choose_upstream(request)
            self._quarantine.check(request)  # it may have waited
            request.tried_upstreams.append(upstream.id)
            response = await self._send(request, upstream)
            if response is None:
                request.tried_upstreams.remove(upstream.id)
            elif response.verdict is AnswerVerdict.RAN:
                took_s = loop_time() - sent_s
            return response
        finally:
            if place is not None:
                self._lines.leave(place, took_s, loop_time())

    async def _choose_upstream(self, request: RelayRequest) -> Upstream:
        """Returns an upstream that may get the call now.

        Where all upstreams bear few requests, the call waits for a turn of this relay.

        Raises:
            RefusedError: No upstream takes the call, or none in time.
        """
        now = loop_time()
        service, avoid = request.service, self._avoided(request, now)
        upstream = self._selector.choose_plain(service, now, avoid)
        if upstream is not None:
            self._selector.on_send(upstream, service)
            return upstream
        max_wait_s = MAX_TURN_WAIT_FRACTION * request.route.target_latency_s
        latest_s = min(now + max_wait_s, request.deadline_s)
        turn = self._selector.claim_turn(service, now, latest_s, avoid)
        if turn is None:
            raise self._no_upstream_error(request, now)
        await asyncio.sleep(turn.at_s - now)
        now = loop_time()
        if not self._selector.accepts_requests(turn.upstream, now):
            raise self._no_upstream_error(request, now)
        return turn.upstream

    def _avoided(self, request: RelayRequest, now: float) -> list[UpstreamId]:
        """Returns the upstreams that a call must not be sent to."""
        return [*request.tried_upstreams, *self._rollouts.excluded(request, now)]

    def _pause_left_s(self, request: RelayRequest, now: float) -> float | None:
        return self._selector.pause_left_s(request.service.name, now)

    def _no_upstream_error(self, request: RelayRequest, now: float) -> RefusedError:
        """Returns the refusal of a call; it tells when an upstream takes calls."""
        pause_left_s = self._pause_left_s(request, now)
        if pause_left_s is not None:
            return request.refusal_error(
                ErrorCode.NO_UPSTREAM, ALL_PAUSE_TEXT, pause_left_s
            )
        avoid = self._avoided(request, now)
        wait_s = self._selector.turn_wait_s(request.service, now, avoid)
        retry_after_s = max(RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, wait_s or 0.0))
        return request.refusal_error(
            ErrorCode.NO_UPSTREAM,
            "no upstream can take the request now",
            retry_after_s,
        )

    async def _send(
        self, request: RelayRequest, upstream: Upstream
    ) -> UpstreamResponse | None:
        """Sends the call once.

        Returns:
            The response; None if the call was not delivered or was rejected as
            misdirected.

        Raises:
            RefusedError: The connection was lost after sending, or the response is
                not valid.
        """
        held = HeldBytes(process_ledger())
        request.held_answers.append(held)
        try:
            return await self._receive(request, upstream, held)
        except BaseException:
            held.free()
            raise

    async def _receive(
        self, request: RelayRequest, upstream: Upstream, held: HeldBytes
    ) -> UpstreamResponse | None:
        """Sends the call once; see _send."""
        started_s = loop_time()
        options = request.send_options(upstream.id, started_s)
        upstream.running += 1
        try:
            answer = await self._answers.send_run(request, upstream, options)
            body = await _whole_body(answer, held)
        except UpstreamLost as error:
            self._on_lost(request, upstream, error)
            if not error.sent:
                return None
            raise request.refusal_error(
                ErrorCode.UPSTREAM_LOST, "no complete response from the upstream"
            ) from error
        finally:
            upstream.running -= 1
        now = loop_time()
        received = UpstreamResponse(
            answer.response.status,
            answer.response.headers,
            body,
            answer.metadata,
            answer.verdict,
            upstream,
            held,
        )
        return self._check_response(request, received, now - started_s, now)

    def _check_response(
        self,
        request: RelayRequest,
        response: UpstreamResponse,
        latency_s: float,
        now: float,
    ) -> UpstreamResponse | None:
        """Updates the upstream's health by a response and checks the response.

        Returns:
            The response; None if the upstream rejected the call as misdirected.

        Raises:
            RefusedError: The response is unsigned, or its status would tell the client
                that the call has not run.
        """
        upstream, metadata = response.upstream, response.metadata
        if response.verdict is AnswerVerdict.MISDIRECTED:
            return None
        if response.verdict is AnswerVerdict.NOT_RUN:
            upstream.health.on_failure(now)
            return response
        if response.verdict is not AnswerVerdict.RAN:
            upstream.health.on_failure(now)
            self._rollouts.on_lost(request, upstream)
            self._recorder.record_answer(
                request, "answer_refused", upstream, response.status, metadata
            )
            raise request.refusal_error(
                ErrorCode.UPSTREAM_FAILED,
                "the upstream's response is unsigned",
            )
        request.has_run = True
        self._quarantine.on_run_begun(request)
        self._rollouts.on_answer(request, upstream, response.status, latency_s)
        if response.status in NOT_RUN_STATUSES or (
            response.status >= STATUS_SERVER_ERROR
        ):
            upstream.health.on_failure(now)
            self._recorder.record_answer(
                request, "upstream_failed", upstream, response.status, metadata
            )
            if response.status in NOT_RUN_STATUSES:
                raise request.refusal_error(
                    ErrorCode.UPSTREAM_FAILED, "the upstream ran the call and failed"
                )
        else:
            upstream.health.on_success(latency_s, now)
            self._metrics.on_step("call", latency_s)
            self._record_answered(request, upstream, latency_s, now)
        return response

    def _record_answered(
        self, request: RelayRequest, upstream: Upstream, latency_s: float, now: float
    ) -> None:
        """Records a successful call, subject to sampling."""
        left_out = self._sampler.admit(now)
        if left_out is not None:
            took_ms = round(latency_s * 1000)
            self._recorder.record(
                request, "answered", upstream, took_ms=took_ms, left_out=left_out
            )

    def _on_lost(
        self, request: RelayRequest, upstream: Upstream, error: UpstreamLost
    ) -> None:
        now = loop_time()
        if error.sent:
            upstream.health.on_failure(now)
            self._quarantine.on_run_lost(request, upstream)
            self._rollouts.on_lost(request, upstream)
        else:
            upstream.health.on_unreachable(now)
        self._recorder.record(
            request,
            "upstream_lost",
            upstream,
            sent=error.sent,
            error=error,
            content=request.content_digest,
        )


async def _whole_body(answer: UpstreamAnswer, held: HeldBytes) -> bytes:
    """Returns the body of an answer, which does not count unless the call has run.

    Raises:
        UpstreamLost: It broke off, or there is no memory for it.
    """
    if answer.verdict.proves_not_run:
        await answer.drain()
        return b""
    async with answer.response:
        return await answer.response.body(lambda size: held.add(size, must=True))
