"""Has prompts read at prefill engines."""

from __future__ import annotations

import asyncio

from wasabimux._clock import loop_time
from wasabimux.adapters.relay_metrics import RelayMetrics
from wasabimux.decisions.retry_window import ServiceRetryBudgets
from wasabimux.decisions.stream_estimates import StreamEstimates
from wasabimux.ports import UpstreamLost
from wasabimux.relay.context import Prefilled, RelayRequest
from wasabimux.relay.model import Phase
from wasabimux.relay.placing import NOTHING_ELSEWHERE, Placing
from wasabimux.relay.ports import Dialect, EngineDialect
from wasabimux.relay.records import RequestRecords
from wasabimux.relay.upstreams import Upstream

#: Longest wait for a prefill: what it should take times a factor, and a bit more.
PREFILL_FACTOR = 2.5
PREFILL_SLACK_S = 0.5

#: Tokens ahead at a prefill engine beyond which the decode engine reads by itself.
MAX_AHEAD_TOKENS = 40_000

#: Part of the time for which a KV cache is kept in which it is used.
HANDLE_PART = 0.6


class PrefillFlow:
    """Chooses prefill engines and asks them.

    Args:
        placing: Finds engines.
        dialect: Headers of requests.
        engines: Reads answers of engines.
        retries: Budget of requests sent once more.
        estimates: What prefills take.
        records: Records decisions.
        metrics: Times prefills.
    """

    def __init__(
        self,
        placing: Placing,
        dialect: Dialect,
        engines: EngineDialect,
        retries: ServiceRetryBudgets,
        estimates: StreamEstimates,
        records: RequestRecords,
        metrics: RelayMetrics,
    ) -> None:
        self._placing = placing
        self._dialect = dialect
        self._engines = engines
        self._retries = retries
        self._estimates = estimates
        self._records = records
        self._metrics = metrics

    def choose(self, request: RelayRequest) -> Upstream | None:
        """Returns the engine with the fewest tokens ahead, None if none is free."""
        now = loop_time()
        service = request.service
        engines = self._placing.engines(service.name, Phase.PREFILL, now, [])
        ahead_by_id = {engine.id: self._ahead_tokens(engine) for engine in engines}
        for engine in sorted(engines, key=lambda item: ahead_by_id[item.id]):
            if ahead_by_id[engine.id] > MAX_AHEAD_TOKENS:
                break
            if self._placing.may_send(engine, service, now):
                return engine
        return None

    async def run(self, request: RelayRequest, engine: Upstream) -> str | None:
        """Asks an engine to read the prompt.

        Returns:
            Where the KV cache is, as `IP:PORT/HANDLE`; None if there is none.
        """
        tokens = request.facts.prompt_tokens
        started_s = loop_time()
        request.prefill_sent = True
        engine.running += 1
        engine.prefill_tokens += tokens
        try:
            status, body = await self._ask(request, engine)
        except (UpstreamLost, TimeoutError) as error:
            engine.health.rest(loop_time())
            self._records.record(
                request,
                "prefill_lost",
                engine,
                error=str(error) or "silent",
                took_ms=round((loop_time() - started_s) * 1000),
            )
            return None
        finally:
            engine.running -= 1
            engine.prefill_tokens -= tokens
        handle = self._engines.read_handle(status, body)
        if handle is None:
            engine.on_not_taken(status, loop_time())
            self._retries.for_service(request.service.name).record_retry(loop_time())
            self._records.record(request, "prefill_refused", engine, status=status)
            return None
        self._on_prefilled(request, engine, loop_time() - started_s)
        return self._keep(request, f"{engine.record.address}/{handle}")

    async def _ask(self, request: RelayRequest, engine: Upstream) -> tuple[int, bytes]:
        async with asyncio.timeout(self._limit_s(engine)):
            options = request.send_options(engine.id, loop_time())
            headers = self._dialect.request_headers(
                request.headers, options._replace(prefill_only=True)
            )
            response = await engine.send(
                request.method, request.target, headers, request.body
            )
            async with response:
                return response.status, await response.body()

    def _on_prefilled(
        self, request: RelayRequest, engine: Upstream, took_s: float
    ) -> None:
        engine.health.on_answer(took_s, loop_time())
        if engine.prefill_tokens == 0:
            self._estimates.on_prefill(request.facts.prompt_tokens, took_s)
        self._metrics.on_step("prefill", took_s)
        took_ms = round(took_s * 1000)
        self._records.record(request, "prefilled", engine, took_ms=took_ms)

    def _keep(self, request: RelayRequest, source: str) -> str:
        """Notes where the KV cache is, for a further attempt."""
        assert request.service.engine is not None
        kept_s = HANDLE_PART * request.service.engine.handle_s
        request.prefilled = Prefilled(source, loop_time() + kept_s)
        return source

    def _ahead_tokens(self, engine: Upstream) -> float:
        """Returns the tokens that all relays have waiting at an engine."""
        elsewhere = self._placing.running_elsewhere()
        peers = elsewhere.get(engine.id, NOTHING_ELSEWHERE)
        return engine.prefill_tokens + peers.memory[0]

    def _limit_s(self, engine: Upstream) -> float:
        """Returns how long a prefill may take before its engine counts as silent."""
        expected_s = self._estimates.prefill_s(self._ahead_tokens(engine))
        return PREFILL_SLACK_S + PREFILL_FACTOR * expected_s
