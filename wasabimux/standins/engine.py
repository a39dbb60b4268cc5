"""A stand-in for a model engine: prefill, decode or both.

Time passes as in a continuously batching engine: a decode step takes longer
the more requests are in the batch, prefills take turns, memory holds few
requests, the result of a prefill lasts under a second, and full load during
cold start makes the engine fall over.
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

#: How much slower a cold engine is.
COLD_FACTOR = 3.0


@dataclass(slots=True)
class EngineParameters:
    """Capacities of an engine.

    Attributes:
        slots: Requests that fit into memory.
        bytes_per_token: Length of a token of a prompt.
        prefill_tokens_per_s: Speed of prefill.
        prefill_base_s: Fixed time of a prefill.
        step_base_s: Time of a decode step with one request.
        step_per_request_s: Further time of a step for each further request.
        kv_bytes_per_token: Size of a token's KV cache.
        link_bytes_per_s: Rate of the link over which KV cache is exported.
        result_lifetime_s: Time for which a prefill's result is kept.
        prefix_blocks: Blocks that the prefix cache holds.
        cold_s: Length of a cold start.
        cold_limit: Requests that a cold engine can bear.
        load_lag_s: Age of the load that the engine reports.
        enforces_fencing: True if orders with an old number are refused.
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
    """What is wrong with the engine now.

    Attributes:
        lose_cancels: Number of cancels to ignore, with their answers lost.
        stall_exports: KV exports never end.
        break_decodes_after: Tokens after which every stream breaks, 0 for never.
    """

    lose_cancels: int = 0
    stall_exports: bool = False
    break_decodes_after: int = 0


@dataclass(slots=True)
class _PrefillOutput:
    run: str
    tokens: int
    expires_s: float


@dataclass(slots=True)
class _Slot:
    tokens: int


Export = Callable[[str, str], Awaitable[int]]


@dataclass(slots=True)
class EngineModel:
    """State and timing of one engine; implements the Engine port in memory.

    Attributes:
        address: Address under which other engines fetch KV cache.
        parameters: Capacities.
        fetch_kv: Fetches the cache behind (source, handle); returns tokens.
    """

    address: str
    parameters: EngineParameters = field(default_factory=EngineParameters)
    fetch_kv: Export | None = None
    faults: EngineFaults = field(default_factory=EngineFaults)
    cold_until_s: float = 0.0
    crashes: int = 0
    crashed: bool = False
    prefilled_tokens: int = 0
    wasted_tokens: int = 0
    decoded_tokens: int = 0
    runs_by_request: dict[str, int] = field(default_factory=dict)
    highest_concurrency: int = 0
    fence: int = 0
    _slots_by_run: dict[str, _Slot] = field(default_factory=dict)
    _prefills: set[str] = field(default_factory=set)
    _outputs_by_handle: dict[str, _PrefillOutput] = field(default_factory=dict)
    _prefix_cache: OrderedDict[str, None] = field(default_factory=OrderedDict)
    _prefill_turn: asyncio.Lock = field(default_factory=asyncio.Lock)
    _link_turn: asyncio.Lock = field(default_factory=asyncio.Lock)
    _cancelled: set[str] = field(default_factory=set)
    _begun_cold: set[str] = field(default_factory=set)

    def begin_cold_start(self) -> None:
        """Starts a cold start now, without telling anyone."""
        self.cold_until_s = loop_time() + self.parameters.cold_s
        self._begun_cold.clear()

    async def prefill(self, run: str, body: bytes, patient: bool) -> PrefillResult:
        """Computes the KV cache of a prompt."""
        prompt = extract_prompt(json.loads(body))
        tokens = max(1, math.ceil(len(prompt) / self.parameters.bytes_per_token))
        self._begin(run)
        self._prefills.add(run)
        try:
            self._check_load(run)
            cached = self._cached_tokens(prompt)
            async with self._prefill_turn:
                work_s = (tokens - cached) / self.parameters.prefill_tokens_per_s
                work_s += self.parameters.prefill_base_s
                await asyncio.sleep(work_s * self._cold_factor())
            self._check_alive()
        finally:
            self._prefills.discard(run)
        self._remember_prefix(prompt)
        self.prefilled_tokens += tokens - cached
        handle = f"kv-{run}"
        expires_s = loop_time() + self.parameters.result_lifetime_s
        self._outputs_by_handle[handle] = _PrefillOutput(run, tokens, expires_s)
        return PrefillResult(self.address, handle, tokens, cached)

    async def export(self, handle: str) -> int:
        """Sends a KV cache over the engine's link; returns its tokens."""
        self._expire_outputs()
        output = self._outputs_by_handle.pop(handle, None)
        if output is None:
            raise EngineRefused(410, "the result of the prefill is gone")
        while self.faults.stall_exports:
            await asyncio.sleep(0.1)
        async with self._link_turn:
            size = output.tokens * self.parameters.kv_bytes_per_token
            await asyncio.sleep(size / self.parameters.link_bytes_per_s)
        return output.tokens

    async def import_kv(self, run: str, source: str, handle: str) -> None:
        """Fetches a KV cache from another engine into a slot."""
        assert self.fetch_kv is not None
        self._begin(run)
        self._check_load(run)
        if len(self._slots_by_run) >= self.parameters.slots:
            raise EngineRefused(503, "no memory")
        self._slots_by_run[run] = _Slot(0)
        running = len(self._slots_by_run) + len(self._prefills)
        self.highest_concurrency = max(self.highest_concurrency, running)
        try:
            tokens = await self.fetch_kv(source, handle)
        except Exception:
            self._slots_by_run.pop(run, None)
            raise
        if run in self._cancelled or self.crashed:
            self._slots_by_run.pop(run, None)
            raise EngineRefused(409, "cancelled")
        self._slots_by_run[run].tokens = tokens

    async def decode(
        self, run: str, body: bytes, chat: bool
    ) -> AsyncGenerator[bytes, None]:
        """Streams the answer for an imported prompt.

        A stream that is lost can be resumed, so its slot stays held until the run
        ends or is cancelled.
        """
        slot = self._slots_by_run.get(run)
        if slot is None:
            raise EngineRefused(409, "no imported prompt")
        request = json.loads(body)
        wanted = int(request.get("max_tokens", 16))
        answer = _Answer(run, str(request.get("model", "")), chat, slot.tokens)
        for index in range(wanted):
            await asyncio.sleep(self._step_s())
            self._check_alive()
            if self._slots_by_run.get(run) is not slot:
                raise EngineRefused(409, "cancelled")
            if 0 < self.faults.break_decodes_after <= index:
                raise ConnectionResetError("fault: stream broken")
            self.decoded_tokens += 1
            if request.get("stream"):
                yield answer.token_event(index)
        del self._slots_by_run[run]
        if request.get("stream"):
            yield answer.usage_event(wanted) + b"data: [DONE]\n\n"
        else:
            yield answer.whole(wanted)

    async def cancel(self, run: str) -> None:
        """Ends a run and frees its memory."""
        if self.faults.lose_cancels > 0:
            self.faults.lose_cancels -= 1
            raise ConnectionResetError("fault: cancel lost")
        self._cancelled.add(run)
        self._slots_by_run.pop(run, None)
        self._prefills.discard(run)
        output = self._outputs_by_handle.pop(f"kv-{run}", None)
        if output is not None:
            self.wasted_tokens += output.tokens

    async def runs(self) -> list[str]:
        """Lists the runs that hold memory."""
        self._expire_outputs()
        outputs = [output.run for output in self._outputs_by_handle.values()]
        return [*self._slots_by_run, *self._prefills, *outputs]

    async def is_cold(self) -> bool:
        """Tells whether the engine reports cold start, with the lag of reports."""
        return loop_time() - self.parameters.load_lag_s < self.cold_until_s

    async def order(self, fence: int) -> None:
        """Takes an order with a fencing number."""
        if fence < self.fence and self.parameters.enforces_fencing:
            raise EngineRefused(409, "old fencing number")
        self.fence = fence

    def crash(self) -> None:
        """Loses all memory; runs end without an answer."""
        self.crashes += 1
        self.crashed = True
        self._slots_by_run.clear()
        self._prefills.clear()
        self._outputs_by_handle.clear()
        self._prefix_cache.clear()

    def restart(self) -> None:
        """Comes back after a crash, cold."""
        self.crashed = False
        self.begin_cold_start()

    def state(self) -> dict[str, object]:
        """Returns what a test may look at."""
        self._expire_outputs()
        return {
            "memory": sorted([*self._slots_by_run, *self._prefills]),
            "results": sorted(self._outputs_by_handle),
            "runs": self.runs_by_request,
            "prefilled_tokens": self.prefilled_tokens,
            "wasted_tokens": self.wasted_tokens,
            "decoded_tokens": self.decoded_tokens,
            "crashes": self.crashes,
            "highest_concurrency": self.highest_concurrency,
            "fence": self.fence,
        }

    def _begin(self, run: str) -> None:
        self._check_alive()
        request_id = run.partition(".")[0]
        self.runs_by_request[request_id] = self.runs_by_request.get(request_id, 0) + 1

    def _check_alive(self) -> None:
        if self.crashed:
            raise ConnectionResetError("the engine has crashed")

    def _check_load(self, run: str) -> None:
        """Falls over when a cold engine begins more than it can bear."""
        if loop_time() >= self.cold_until_s:
            self._begun_cold.clear()
            return
        self._begun_cold.add(run)
        active = self._begun_cold & {*self._slots_by_run, *self._prefills, run}
        if len(active) > self.parameters.cold_limit:
            self.crash()
            raise ConnectionResetError("fell over in cold start")

    def _step_s(self) -> float:
        others = max(0, len(self._slots_by_run) - 1)
        batch_s = others * self.parameters.step_per_request_s
        return (self.parameters.step_base_s + batch_s) * self._cold_factor()

    def _cold_factor(self) -> float:
        return COLD_FACTOR if loop_time() < self.cold_until_s else 1.0

    def _expire_outputs(self) -> None:
        now = loop_time()
        for handle, output in list(self._outputs_by_handle.items()):
            if output.expires_s <= now:
                del self._outputs_by_handle[handle]
                self.wasted_tokens += output.tokens

    def _cached_tokens(self, prompt: str) -> int:
        covered = 0
        for prefix in _prefixes(prompt):
            if prefix not in self._prefix_cache:
                break
            self._prefix_cache.move_to_end(prefix)
            covered = len(prefix)
        return int(covered / self.parameters.bytes_per_token)

    def _remember_prefix(self, prompt: str) -> None:
        for prefix in _prefixes(prompt):
            self._prefix_cache[prefix] = None
            self._prefix_cache.move_to_end(prefix)
        while len(self._prefix_cache) > self.parameters.prefix_blocks:
            self._prefix_cache.popitem(last=False)


def extract_prompt(request: dict[str, object]) -> str:
    """Returns the prompt of a completion or chat request as one text."""
    if "messages" not in request:
        return str(request.get("prompt", ""))
    messages = request["messages"]
    assert isinstance(messages, list)
    return "\n".join(f"{item.get('role')}: {item.get('content')}" for item in messages)


def _prefixes(prompt: str) -> list[str]:
    ends = range(PREFIX_BLOCK_CHARS, len(prompt) + 1, PREFIX_BLOCK_CHARS)
    return [prompt[:end] for end in ends]


@dataclass(frozen=True, slots=True)
class _Answer:
    """Formats the answer of one run."""

    run: str
    model: str
    chat: bool
    prompt_tokens: int

    def token_event(self, index: int) -> bytes:
        choice: dict[str, object] = {"index": 0, "finish_reason": None}
        if self.chat:
            choice["delta"] = {"content": _word(index)}
        else:
            choice["text"] = _word(index)
        return _event({"id": self.run, "model": self.model, "choices": [choice]})

    def usage_event(self, output_tokens: int) -> bytes:
        usage = self._usage(output_tokens)
        return _event({"model": self.model, "choices": [], "usage": usage})

    def whole(self, output_tokens: int) -> bytes:
        text = "".join(_word(index) for index in range(output_tokens))
        choice: dict[str, object] = {"index": 0, "finish_reason": "stop"}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        answer = {
            "id": self.run,
            "model": self.model,
            "choices": [choice],
            "usage": self._usage(output_tokens),
        }
        return json.dumps(answer).encode()

    def _usage(self, output_tokens: int) -> dict[str, int]:
        return {
            "prompt_tokens": self.prompt_tokens,
            "completion_tokens": output_tokens,
        }


def _word(index: int) -> str:
    return f"w{index} "


def _event(value: dict[str, object]) -> bytes:
    return b"data: " + json.dumps(value).encode() + b"\n\n"
