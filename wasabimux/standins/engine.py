"""A stand-in for a model engine that can prefill and decode.

It simulates the timing of an engine with continuous batching: a decode step takes
longer the more requests are in the batch, prefills run one at a time, memory fits few
requests, the result of a prefill is kept for less than a second, and full load during
cold start crashes the engine.
"""

from __future__ import annotations

import asyncio
import json
import math
from collections import OrderedDict
from collections.abc import AsyncGenerator, Awaitable, Callable
from dataclasses import dataclass, field

from wasabimux._clock import loop_time
from wasabimux.ports import EngineRefused, PrefillResult

#: Characters of a prompt that one block of the prefix cache covers.
PREFIX_BLOCK_CHARS = 256

#: Factor by which prefill and decode steps take longer during cold start.
COLD_START_SLOWDOWN = 3.0

#: Bytes that are missing at the end of an event in which a stream breaks.
TORN_BYTES = 3


@dataclass(slots=True)
class EngineParameters:
    """Capacity and timing of an engine.

    Attributes:
        slots: Decode requests that fit into memory.
        bytes_per_token: Characters of a prompt per token.
        prefill_tokens_per_s: Prompt tokens that are prefilled per second.
        prefill_base_s: Fixed part of the duration of a prefill in s.
        step_base_s: Duration of a decode step with one request in s.
        step_per_request_s: Added duration of a step per further request in s.
        kv_bytes_per_token: Size of the KV cache of one token in bytes.
        link_bytes_per_s: Bandwidth for KV cache exports in bytes per second.
        result_lifetime_s: Time in s for which the result of a prefill is kept.
        prefix_blocks: Capacity of the prefix cache in blocks.
        cold_s: Duration of a cold start in s.
        cold_limit: Requests started during cold start that the engine can run at once;
            one more crashes it.
        load_lag_s: Age in s of the load that the engine reports.
        enforces_fencing: True if commands with an old fencing token are refused.
    """

    slots: int = 8
    bytes_per_token: float = 4.0
    prefill_tokens_per_s: float = 8_000.0
    prefill_base_s: float = 0.01
    step_base_s: float = 0.02
    step_per_request_s: float = 0.001
    kv_bytes_per_token: int = 160_000
    link_bytes_per_s: float = 5e9
    result_lifetime_s: float = 0.8
    prefix_blocks: int = 4_096
    cold_s: float = 0.0
    cold_limit: int = 1
    load_lag_s: float = 0.5
    enforces_fencing: bool = True


@dataclass(slots=True)
class EngineFaults:
    """Faults injected into the engine.

    Attributes:
        lose_cancels: Number of cancels to ignore; the connection breaks instead.
        stall_exports: True if KV cache exports stall.
        break_decodes_after: Tokens after which a decode stream breaks, 0 for never.
        break_within_event: True if it breaks after a part of the next token's event.
        fail_prefills: True to answer prefills that have run with 503.
    """

    lose_cancels: int = 0
    stall_exports: bool = False
    break_decodes_after: int = 0
    break_within_event: bool = False
    fail_prefills: bool = False


@dataclass(slots=True)
class _PrefillOutput:
    run: str
    tokens: int
    expires_s: float


@dataclass(slots=True)
class _DecodeSlot:
    tokens: int


#: Fetches the KV cache with (source, handle); returns its length in tokens.
FetchKv = Callable[[str, str], Awaitable[int]]


@dataclass(slots=True)
class EngineModel:
    """Simulated engine; implements the Engine protocol in memory.

    Attributes:
        address: Address from which other engines fetch KV caches, as `IP:PORT`.
        parameters: Capacity and timing.
        fetch_kv: Fetches a KV cache from another engine.
        faults: Faults injected now.
        cold_until_s: Loop time in s at which the cold start ends.
        crashes: Number of crashes.
        crashed: True until the restart after a crash.
        prefilled_tokens: Prompt tokens computed, without those in the prefix cache.
        wasted_tokens: Tokens of prefill results that were cancelled or expired.
        decoded_tokens: Output tokens generated.
        runs_by_request: Number of prefills and KV cache imports by request id.
        highest_concurrency: Most requests in memory at the same time.
        fencing_token: Fencing token of the last accepted command.
    """

    address: str
    parameters: EngineParameters = field(default_factory=EngineParameters)
    fetch_kv: FetchKv | None = None
    faults: EngineFaults = field(default_factory=EngineFaults)
    cold_until_s: float = 0.0
    crashes: int = 0
    crashed: bool = False
    prefilled_tokens: int = 0
    wasted_tokens: int = 0
    decoded_tokens: int = 0
    runs_by_request: dict[str, int] = field(default_factory=dict)
    highest_concurrency: int = 0
    fencing_token: int = 0
    _slots_by_run: dict[str, _DecodeSlot] = field(default_factory=dict)
    _prefilling_runs: set[str] = field(default_factory=set)
    _outputs_by_handle: dict[str, _PrefillOutput] = field(default_factory=dict)
    _prefix_cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    _prefill_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    _link_lock: asyncio.Lock = field(default_factory=asyncio.Lock)
    _cancelled_runs: set[str] = field(default_factory=set)
    _cold_start_runs: set[str] = field(default_factory=set)

    def begin_cold_start(self) -> None:
        """Starts a cold start now, without notifying the agent."""
        self.cold_until_s = loop_time() + self.parameters.cold_s
        self._cold_start_runs.clear()

    async def prefill(self, run: str, body: bytes, patient: bool) -> PrefillResult:
        """Computes the KV cache of a prompt."""
        prompt = extract_prompt(json.loads(body))
        tokens = max(1, math.ceil(len(prompt) / self.parameters.bytes_per_token))
        self._count_run(run)
        self._prefilling_runs.add(run)
        try:
            self._check_load(run)
            cached = self._cached_tokens(prompt)
            async with self._prefill_lock:
                work_s = (tokens - cached) / self.parameters.prefill_tokens_per_s
                work_s += self.parameters.prefill_base_s
                await asyncio.sleep(work_s * self._slowdown())
            self._check_alive()
        finally:
            self._prefilling_runs.discard(run)
        self._cache_prefixes(prompt)
        self.prefilled_tokens += tokens - cached
        if self.faults.fail_prefills:
            raise EngineRefused(503, "fault: failed after the run")
        handle = f"kv-{run}"
        expires_s = loop_time() + self.parameters.result_lifetime_s
        self._outputs_by_handle[handle] = _PrefillOutput(run, tokens, expires_s)
        return PrefillResult(self.address, handle, tokens, cached)

    async def export(self, handle: str) -> int:
        """Exports a KV cache over the engine's link; returns its length in tokens."""
        self._expire_outputs()
        output = self._outputs_by_handle.pop(handle, None)
        if output is None:
            raise EngineRefused(410, "the KV cache has expired or was already exported")
        while self.faults.stall_exports:
            await asyncio.sleep(0.1)
        async with self._link_lock:
            size_bytes = output.tokens * self.parameters.kv_bytes_per_token
            await asyncio.sleep(size_bytes / self.parameters.link_bytes_per_s)
        return output.tokens

    async def import_kv(self, run: str, source: str, handle: str) -> None:
        """Fetches a KV cache from another engine into a decode slot."""
        assert self.fetch_kv is not None
        self._count_run(run)
        self._check_load(run)
        if len(self._slots_by_run) >= self.parameters.slots:
            raise EngineRefused(503, "no free decode slot")
        self._slots_by_run[run] = _DecodeSlot(0)
        running = len(self._slots_by_run) + len(self._prefilling_runs)
        self.highest_concurrency = max(self.highest_concurrency, running)
        try:
            tokens = await self.fetch_kv(source, handle)
        except Exception:
            self._slots_by_run.pop(run, None)
            raise
        if run in self._cancelled_runs or self.crashed:
            self._slots_by_run.pop(run, None)
            raise EngineRefused(409, "cancelled")
        self._slots_by_run[run].tokens = tokens

    async def decode(
        self, run: str, body: bytes, chat: bool
    ) -> AsyncGenerator[bytes, None]:
        """Streams the response for an imported prompt.

        A lost stream can be resumed, so its slot stays occupied until the run completes
        or is cancelled.
        """
        slot = self._slots_by_run.get(run)
        if slot is None:
            raise EngineRefused(409, "no KV cache was imported for this run")
        request = json.loads(body)
        output_tokens = int(request.get("max_tokens", 16))
        formatter = _ResponseFormatter(
            run, str(request.get("model", "")), chat, slot.tokens
        )
        for index in range(output_tokens):
            await asyncio.sleep(self._step_s())
            self._check_alive()
            if self._slots_by_run.get(run) is not slot:
                raise EngineRefused(409, "cancelled")
            if 0 < self.faults.break_decodes_after <= index:
                if self.faults.break_within_event:
                    yield formatter.token_event(index)[:-TORN_BYTES]
                raise ConnectionResetError("fault: stream broken")
            self.decoded_tokens += 1
            if request.get("stream"):
                yield formatter.token_event(index)
        del self._slots_by_run[run]
        if request.get("stream"):
            yield formatter.usage_event(output_tokens) + b"data: [DONE]\n\n"
        else:
            yield formatter.full_response(output_tokens)

    async def cancel(self, run: str) -> None:
        """Ends a run and frees its memory."""
        if self.faults.lose_cancels > 0:
            self.faults.lose_cancels -= 1
            raise ConnectionResetError("fault: cancel ignored")
        self._cancelled_runs.add(run)
        self._slots_by_run.pop(run, None)
        self._prefilling_runs.discard(run)
        output = self._outputs_by_handle.pop(f"kv-{run}", None)
        if output is not None:
            self.wasted_tokens += output.tokens

    async def runs(self) -> list[str]:
        """Returns the ids of the runs that occupy memory."""
        self._expire_outputs()
        outputs = [output.run for output in self._outputs_by_handle.values()]
        return [*self._slots_by_run, *self._prefilling_runs, *outputs]

    async def is_cold(self) -> bool:
        """Returns whether the engine reports cold start; it stops `load_lag_s` late."""
        return loop_time() - self.parameters.load_lag_s < self.cold_until_s

    async def accept_command(self, fencing_token: int) -> None:
        """Accepts a command unless its fencing token is old."""
        if fencing_token < self.fencing_token and self.parameters.enforces_fencing:
            raise EngineRefused(409, "the fencing token is old")
        self.fencing_token = fencing_token

    def crash(self) -> None:
        """Crashes: loses all memory; runs end without a response."""
        self.crashes += 1
        self.crashed = True
        self._slots_by_run.clear()
        self._prefilling_runs.clear()
        self._outputs_by_handle.clear()
        self._prefix_cache.clear()

    def restart(self) -> None:
        """Restarts after a crash, with a cold start."""
        self.crashed = False
        self.begin_cold_start()

    def state(self) -> dict[str, object]:
        """Returns the state and counters that tests check."""
        self._expire_outputs()
        return {
            "memory": sorted([*self._slots_by_run, *self._prefilling_runs]),
            "results": sorted(self._outputs_by_handle),
            "runs": self.runs_by_request,
            "prefilled_tokens": self.prefilled_tokens,
            "wasted_tokens": self.wasted_tokens,
            "decoded_tokens": self.decoded_tokens,
            "crashes": self.crashes,
            "highest_concurrency": self.highest_concurrency,
            "fence": self.fencing_token,
        }

    def _count_run(self, run: str) -> None:
        self._check_alive()
        request_id = run.partition(".")[0]
        self.runs_by_request[request_id] = self.runs_by_request.get(request_id, 0) + 1

    def _check_alive(self) -> None:
        if self.crashed:
            raise ConnectionResetError("the engine has crashed")

    def _check_load(self, run: str) -> None:
        """Crashes if too many runs that started during cold start are active."""
        if loop_time() >= self.cold_until_s:
            self._cold_start_runs.clear()
            return
        self._cold_start_runs.add(run)
        active = self._cold_start_runs & {
            *self._slots_by_run,
            *self._prefilling_runs,
            run,
        }
        if len(active) > self.parameters.cold_limit:
            self.crash()
            raise ConnectionResetError("the engine crashed during cold start")

    def _step_s(self) -> float:
        further_requests = max(0, len(self._slots_by_run) - 1)
        batch_s = further_requests * self.parameters.step_per_request_s
        return (self.parameters.step_base_s + batch_s) * self._slowdown()

    def _slowdown(self) -> float:
        return COLD_START_SLOWDOWN if loop_time() < self.cold_until_s else 1.0

    def _expire_outputs(self) -> None:
        now = loop_time()
        for handle, output in list(self._outputs_by_handle.items()):
            if output.expires_s <= now:
                del self._outputs_by_handle[handle]
                self.wasted_tokens += output.tokens

    def _cached_tokens(self, prompt: str) -> int:
        cached_chars = 0
        for prefix in _prefixes(prompt):
            if prefix not in self._prefix_cache:
                break
            self._prefix_cache.move_to_end(prefix)
            cached_chars = len(prefix)
        return int(cached_chars / self.parameters.bytes_per_token)

    def _cache_prefixes(self, prompt: str) -> None:
        for prefix in _prefixes(prompt):
            self._prefix_cache[prefix] = None
            self._prefix_cache.move_to_end(prefix)
        while len(self._prefix_cache) > self.parameters.prefix_blocks:
            self._prefix_cache.popitem(last=False)


def extract_prompt(request: dict[str, object]) -> str:
    """Returns the prompt of a completion or chat request as one string."""
    if "messages" not in request:
        return str(request.get("prompt", ""))
    messages = request["messages"]
    assert isinstance(messages, list)
    return "\n".join(f"{item.get('role')}: {item.get('content')}" for item in messages)


def _prefixes(prompt: str) -> list[str]:
    ends = range(PREFIX_BLOCK_CHARS, len(prompt) + 1, PREFIX_BLOCK_CHARS)
    return [prompt[:end] for end in ends]


@dataclass(frozen=True, slots=True)
class _ResponseFormatter:
    """Formats the completion or chat response of one run."""

    run: str
    model: str
    chat: bool
    prompt_tokens: int

    def token_event(self, index: int) -> bytes:
        choice: dict[str, object] = {"index": 0, "finish_reason": None}
        if self.chat:
            choice["delta"] = {"content": _token_text(index)}
        else:
            choice["text"] = _token_text(index)
        return _sse_event({"id": self.run, "model": self.model, "choices": [choice]})

    def usage_event(self, output_tokens: int) -> bytes:
        usage = self._usage(output_tokens)
        return _sse_event({"model": self.model, "choices": [], "usage": usage})

    def full_response(self, output_tokens: int) -> bytes:
        text = "".join(_token_text(index) for index in range(output_tokens))
        choice: dict[str, object] = {"index": 0, "finish_reason": "length"}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        response = {
            "id": self.run,
            "model": self.model,
            "choices": [choice],
            "usage": self._usage(output_tokens),
        }
        return json.dumps(response).encode()

    def _usage(self, output_tokens: int) -> dict[str, int]:
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": output_tokens,
        }


def _token_text(index: int) -> str:
    return f"w{index} "


def _sse_event(value: dict[str, object]) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"
