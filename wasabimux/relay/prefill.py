"""Sends prompts to prefill engines, which compute their KV caches."""

from __future__ import annotations

import asyncio
import random

from wasabimux._clock import loop_time
from wasabimux.adapters.http_client import MAX_DOCUMENT_BYTES
from wasabimux.adapters.relay_metrics import RelayMetrics
from wasabimux.decisions.prefill_choice import choose_prefill_engine
from wasabimux.decisions.retry_window import ServiceRetryBudgets
from wasabimux.decisions.stream_estimates import StreamEstimates
from wasabimux.ports import UpstreamLost
from wasabimux.relay.answers import AnswerReceiver, UpstreamAnswer
from wasabimux.relay.context import PrefilledKv, RelayRequest
from wasabimux.relay.model import Phase
from wasabimux.relay.placing import UpstreamSelector
from wasabimux.relay.ports import EngineCodec
from wasabimux.relay.quarantine import RequestQuarantine
from wasabimux.relay.records import RequestEventRecorder
from wasabimux.relay.rollouts import Rollouts
from wasabimux.relay.upstreams import Upstream

#: Timeout of a prefill: its expected duration times a factor, plus a margin.
PREFILL_TIMEOUT_FACTOR = 2.5
PREFILL_TIMEOUT_MARGIN_S = 0.5

#: Queued tokens at a prefill engine above which it gets no further prompts; the
#: decode engine then prefills the prompt itself.
MAX_QUEUED_TOKENS = 40_000

#: Fraction of an engine's KV cache retention time during which a prefilled KV cache
#: is used.
RETENTION_FRACTION = 0.6


class PrefillDispatcher:
    """Chooses prefill engines and sends them prompts.

    Args:
        selector: Lists engines that may take requests.
        quarantine: Keeps prompts off prefill engines that crash on them.
        rollouts: Divides requests between software versions.
        answers: Sends prompts and receives the answers.
        engine_codec: Decodes responses of engines.
        retries: Retry budgets.
        estimates: Expected durations of prefills.
        recorder: Records the results of prefills.
        metrics: Measures the durations of prefills.
        rng: Source of randomness.
    """

    def __init__(
        self,
        selector: UpstreamSelector,
        quarantine: RequestQuarantine,
        rollouts: Rollouts,
        answers: AnswerReceiver,
        engine_codec: EngineCodec,
        retries: ServiceRetryBudgets,
        estimates: StreamEstimates,
        recorder: RequestEventRecorder,
        metrics: RelayMetrics,
        rng: random.Random,
    ) -> None:
        self._rng = rng
        self._selector = selector
        self._quarantine = quarantine
        self._rollouts = rollouts
        self._answers = answers
        self._engine_codec = engine_codec
        self._retries = retries
        self._estimates = estimates
        self._recorder = recorder
        self._metrics = metrics

    def choose(self, request: RelayRequest) -> Upstream | None:
        """Returns an engine for the prefill of a prompt.

        Returns:
            The engine, or None if each one is over its queue limit or is cold and
            may not get another request now, or if such engines crash on the prompt.
        """
        if not self._quarantine.may_prefill(request):
            return None
        service, now = request.service, loop_time()
        avoid = self._rollouts.excluded(request, now, Phase.PREFILL)
        engine_by_id = {
            engine.id: engine
            for engine in self._selector.engines(
                service.name, Phase.PREFILL, now, avoid
            )
            if self._selector.may_send(engine, service)
        }
        queued_by_engine = {
            engine.id: self._queued_tokens(engine) for engine in engine_by_id.values()
        }
        chosen = choose_prefill_engine(queued_by_engine, MAX_QUEUED_TOKENS, self._rng)
        if chosen is None:
            return None
        self._selector.on_send(engine_by_id[chosen], service)
        return engine_by_id[chosen]

    async def run(self, request: RelayRequest, engine: Upstream) -> str | None:
        """Prefills the prompt of a request at an engine.

        Returns:
            Location of the KV cache, as `IP:PORT/HANDLE`; None if the prefill failed.
        """
        tokens = request.metadata.prompt_tokens
        started_s = loop_time()
        request.prefill_sent = True
        engine.running += 1
        engine.prefill_tokens += tokens
        try:
            answer, body = await self._send(request, engine)
        except (UpstreamLost, TimeoutError) as error:
            engine.health.back_off(loop_time())
            if isinstance(error, UpstreamLost) and error.sent:
                self._quarantine.on_prefill_lost(request, engine)
            took_ms = round((loop_time() - started_s) * 1000)
            self._recorder.record_lost(
                request, "prefill_lost", engine, str(error) or "silent", took_ms=took_ms
            )
            return None
        finally:
            engine.running -= 1
            engine.prefill_tokens -= tokens
        status, metadata = answer.response.status, answer.metadata
        handle = self._engine_codec.read_kv_cache_handle(status, body)
        if handle is None:
            engine.on_not_executed(status, loop_time())
            self._retries.for_service(request.service.name).record_retry(loop_time())
            self._recorder.record_answer(
                request, "prefill_refused", engine, status, metadata
            )
            return None
        took_s = loop_time() - started_s
        self._on_prefilled(request, engine, took_s)
        self._recorder.record_answer(
            request,
            "prefilled",
            engine,
            status,
            metadata,
            took_ms=round(took_s * 1000),
            handle=handle,
        )
        return self._store_location(request, f"{engine.record.address}/{handle}")

    async def _send(
        self, request: RelayRequest, engine: Upstream
    ) -> tuple[UpstreamAnswer, bytes]:
        """Sends the prefill; returns the answer and its body."""
        async with asyncio.timeout(self._timeout_s(engine)):
            options = request.send_options(engine.id, loop_time())
            answer = await self._answers.send(
                request, engine, options._replace(prefill_only=True)
            )
            async with answer.response:
                body = await answer.response.body(max_bytes=MAX_DOCUMENT_BYTES)
                return answer, body

    def _on_prefilled(
        self, request: RelayRequest, engine: Upstream, took_s: float
    ) -> None:
        engine.health.on_success(took_s, loop_time())
        self._quarantine.on_prefilled(request)
        if engine.prefill_tokens == 0:
            self._estimates.on_prefill(request.metadata.prompt_tokens, took_s)
        self._metrics.on_step("prefill", took_s)

    def _store_location(self, request: RelayRequest, kv_source: str) -> str:
        """Stores the location of the KV cache for use by later attempts."""
        assert request.service.engine is not None
        valid_s = RETENTION_FRACTION * request.service.engine.kv_cache_retention_s
        request.prefilled_kv = PrefilledKv(kv_source, loop_time() + valid_s)
        return kv_source

    def _queued_tokens(self, engine: Upstream) -> float:
        """Returns the tokens of prompts that all relays have queued at an engine."""
        return engine.prefill_tokens + self._selector.peer_load(engine.id).memory[0]

    def _timeout_s(self, engine: Upstream) -> float:
        """Returns the timeout in s of a prefill at an engine."""
        expected_s = self._estimates.expected_prefill_s(self._queued_tokens(engine))
        return PREFILL_TIMEOUT_MARGIN_S + PREFILL_TIMEOUT_FACTOR * expected_s
