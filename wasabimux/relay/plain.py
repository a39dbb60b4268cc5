"""Calls of plain services: sent once, or again where that does no harm."""

from __future__ import annotations

import asyncio
from typing import NamedTuple

from wasabimux._clock import loop_time
from wasabimux.adapters.http_server import HttpResponse
from wasabimux.adapters.relay_metrics import RelayMetrics
from wasabimux.decisions.retry_window import ServiceRetryBudgets
from wasabimux.decisions.sampling import LineSampler
from wasabimux.errors import ErrorCode, Ran, RefusedError
from wasabimux.ports import Headers, UpstreamLost
from wasabimux.relay.context import RETURN_S, RelayRequest
from wasabimux.relay.model import AnswerFacts
from wasabimux.relay.placing import Placing
from wasabimux.relay.ports import Dialect
from wasabimux.relay.records import RequestRecords
from wasabimux.relay.upstreams import STATUS_MISDIRECTED, Upstream

STATUS_SERVER_ERROR = 500

#: A call that takes this many times the upstream's usual time is sent once more.
SLOW_FACTOR = 5.0

#: Bounds of the time after which a call is sent once more.
MIN_HEDGE_S = 0.12
MAX_HEDGE_PART = 0.6

#: When callers may come back after a refusal for lack of room.
RETRY_AFTER_S = 0.2

#: Ordinary answers that are logged in a second; the others are counted.
ANSWERED_LINES_PER_S = 10.0

#: Most connections to try for one call that was sent nowhere.
MAX_UNSENT = 4


class Answer(NamedTuple):
    """A whole answer of an upstream."""

    status: int
    headers: Headers
    body: bytes
    facts: AnswerFacts
    upstream: Upstream


class PlainFlow:
    """Takes calls to plain services.

    Args:
        placing: Finds upstreams.
        dialect: Headers of requests and answers.
        retries: Budget of requests sent once more.
        records: Records decisions.
        metrics: Times steps.
    """

    def __init__(
        self,
        placing: Placing,
        dialect: Dialect,
        retries: ServiceRetryBudgets,
        records: RequestRecords,
        metrics: RelayMetrics,
    ) -> None:
        self._records = records
        self._metrics = metrics
        self._sampler = LineSampler(ANSWERED_LINES_PER_S)
        self._placing = placing
        self._dialect = dialect
        self._retries = retries

    async def serve(self, request: RelayRequest) -> HttpResponse:
        """Serves a call.

        Raises:
            RefusedError: It was refused or failed.
        """
        async with request.scope():
            answer = await self._answer(request)
        headers = self._dialect.answer_headers(answer.headers)
        return HttpResponse(answer.status, headers, answer.body)

    async def _answer(self, request: RelayRequest) -> Answer:
        """Sends until there is an answer to pass on."""
        running: set[asyncio.Task[Answer]] = set()
        spare: Answer | None = None
        failure: RefusedError | None = None
        try:
            running.add(self._start(request))
            while True:
                if not running:
                    break
                hedge_s = self._hedge_after_s(request) if len(running) == 1 else None
                done, running = await asyncio.wait(
                    running, timeout=hedge_s, return_when=asyncio.FIRST_COMPLETED
                )
                if not done:
                    if self._may_repeat(request):
                        self._records.record(request, "hedged")
                        running.add(self._start(request))
                    else:
                        done, running = await asyncio.wait(
                            running, return_when=asyncio.FIRST_COMPLETED
                        )
                for task in done:
                    try:
                        answer = task.result()
                    except RefusedError as error:
                        failure = error
                        continue
                    if answer.status < STATUS_SERVER_ERROR:
                        return answer
                    spare = answer
                    if not request.route.idempotent:
                        return answer
                if done and not running and self._may_repeat(request):
                    running.add(self._start(request))
        finally:
            for task in running:
                task.cancel()
        if spare is not None:
            return spare
        assert failure is not None
        raise failure

    def _start(self, request: RelayRequest) -> asyncio.Task[Answer]:
        return asyncio.ensure_future(self._attempt(request))

    def _may_repeat(self, request: RelayRequest) -> bool:
        """Takes one more send from the request's and the relay's budget."""
        now = loop_time()
        if request.left_s(now) <= 2 * RETURN_S or not request.may_send():
            return False
        if request.ran is not Ran.NO and not request.route.idempotent:
            return False
        return self._retries.for_service(request.service.name).try_spend(now)

    def _hedge_after_s(self, request: RelayRequest) -> float | None:
        """Returns the time after which a call is sent once more, if it may be."""
        if not request.route.idempotent or not request.may_send():
            return None
        usual_s = [
            upstream.health.latency_s
            for upstream in self._placing.usable(request.service.name, loop_time(), [])
            if upstream.health.latency_s > 0
        ]
        usual = min(usual_s, default=request.route.target_s / SLOW_FACTOR)
        limit_s = MAX_HEDGE_PART * request.route.target_s
        return max(MIN_HEDGE_S, min(SLOW_FACTOR * usual, limit_s))

    async def _attempt(self, request: RelayRequest) -> Answer:
        """Sends to one upstream that takes it.

        Raises:
            RefusedError: There is no good answer; `ran` tells what is known.
        """
        for _ in range(MAX_UNSENT):
            upstream = self._choose(request)
            request.tried.append(upstream.id)
            answer = await self._send(request, upstream)
            if answer is None:
                request.tried.remove(upstream.id)
                continue  # it was sent nowhere, or to nobody who would run it
            if answer.facts.not_executed:
                self._records.record(
                    request, "not_executed", upstream, status=answer.status
                )
                raise request.refusal(
                    ErrorCode.OVERLOADED, "the upstream is full", RETRY_AFTER_S
                )
            return answer
        raise request.refusal(
            ErrorCode.NO_UPSTREAM, "no upstream can be reached", RETRY_AFTER_S
        )

    def _choose(self, request: RelayRequest) -> Upstream:
        now = loop_time()
        upstream = self._placing.choose_plain(request.service.name, now, request.tried)
        if upstream is None or not self._placing.may_send(
            upstream, request.service, now
        ):
            raise request.refusal(
                ErrorCode.NO_UPSTREAM, "no upstream takes work now", RETRY_AFTER_S
            )
        return upstream

    async def _send(self, request: RelayRequest, upstream: Upstream) -> Answer | None:
        """Sends once; returns None if the request reached nobody who would run it."""
        started_s = loop_time()
        options = request.send_options(upstream.id, started_s)
        headers = self._dialect.request_headers(request.headers, options)
        upstream.running += 1
        before, request.ran = request.ran, Ran.UNKNOWN
        try:
            response = await upstream.send(
                request.method, request.target, headers, request.body
            )
            async with response:
                body = await response.body()
        except UpstreamLost as error:
            self._on_lost(request, upstream, error)
            if not error.sent:
                request.ran = before
                return None
            raise request.refusal(
                ErrorCode.UPSTREAM_LOST, "the upstream gave no whole answer"
            ) from error
        finally:
            upstream.running -= 1
        now = loop_time()
        facts = self._dialect.read_answer(response.headers)
        if facts.not_executed or response.status == STATUS_MISDIRECTED:
            request.ran = before
        answer = Answer(response.status, response.headers, body, facts, upstream)
        return self._judge(request, answer, now - started_s, now)

    def _judge(
        self, request: RelayRequest, answer: Answer, latency_s: float, now: float
    ) -> Answer | None:
        """Learns from an answer and tells whether it may be passed on."""
        upstream, facts = answer.upstream, answer.facts
        if answer.status == STATUS_MISDIRECTED:
            upstream.leaving = True
            self._records.record(request, "misdirected", upstream)
            return None
        if facts.not_executed:
            upstream.health.on_failure(now)
            return answer
        if facts.id != request.facts.id or not facts.signed:
            upstream.health.on_failure(now)
            self._records.record(
                request, "answer_refused", upstream, status=answer.status
            )
            raise request.refusal(
                ErrorCode.UPSTREAM_FAILED, "the upstream's answer is not its own"
            )
        request.ran = Ran.YES
        if answer.status >= STATUS_SERVER_ERROR:
            upstream.health.on_failure(now)
            self._records.record(
                request, "upstream_failed", upstream, status=answer.status
            )
        else:
            upstream.health.on_answer(latency_s, now)
            self._metrics.on_step("call", latency_s)
            self._record_answered(request, upstream, latency_s, now)
        return answer

    def _record_answered(
        self, request: RelayRequest, upstream: Upstream, latency_s: float, now: float
    ) -> None:
        """Records an ordinary answer, unless there are many."""
        left_out = self._sampler.take(now)
        if left_out is not None:
            took_ms = round(latency_s * 1000)
            self._records.record(
                request, "answered", upstream, took_ms=took_ms, left_out=left_out
            )

    def _on_lost(
        self, request: RelayRequest, upstream: Upstream, error: UpstreamLost
    ) -> None:
        now = loop_time()
        if error.sent:
            upstream.health.on_failure(now)
        else:
            upstream.health.on_unreachable(now)
        self._records.record(
            request, "upstream_lost", upstream, sent=error.sent, error=error
        )
