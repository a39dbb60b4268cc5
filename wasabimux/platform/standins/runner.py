"""Stand-in for a runner of the platform: a model engine or another HTTP service."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import AsyncGenerator
from dataclasses import dataclass, field
from typing import Any

from wasabimux.adapters.http_server import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    json_response,
)
from wasabimux.errors import ErrorCode, refused
from wasabimux.platform import headers as header_names
from wasabimux.ports import Headers
from wasabimux.settings.address import parse_address

#: Time in s between the comments of a stalled stream.
COMMENT_INTERVAL_S = 0.25

#: Header of a request that asks for a large answer.
LARGE_ANSWER = b"x-large"

#: Tokens in one event of a stream, and time between events in s.
TOKENS_PER_EVENT = 10
EVENT_INTERVAL_S = 0.01


@dataclass(slots=True)
class RunRecord:
    """A request that the runner has executed or is executing.

    Attributes:
        request_id: Identity of the request.
        headers: Headers as received.
        body: Body of the request.
        completed: True once the response is complete.
    """

    request_id: str
    headers: dict[bytes, bytes]
    body: bytes
    completed: bool = False

    def contains(self, text: bytes) -> bool:
        """Returns whether the body holds a text, which may be empty for none."""
        return bool(text) and text in self.body


@dataclass(slots=True)
class RunnerFaults:
    """Faults that a runner injects.

    Attributes:
        refuse_requests: True to refuse every request with 503 as not executed.
        status: Status of the responses of non-generation HTTP services.
        wrong_request_id: True to respond with the identity of another request.
        cut_after_events: Number of events after which responses are cut, 0 to cut them
            after the headers; None for complete responses.
        delay_s: Delay before each response, in s.
        control_delay_s: Delay before each answer to a control call, in s.
        refuse_reservations: True to refuse slot reservations.
        phase_change_s: Time in s that a change of phase takes, in which the runner
            refuses requests, also those with a reservation.
        stall_after_events: Number of events after which responses send only comments;
            None for complete responses.
        stall_s: Time in s after which a stalled response goes on; None for never.
        fail_kv_cache_copies: True to stop a stream for migration without copying its
            KV cache.
        crashing_part: Part of a prompt on which the runner crashes as it begins to
            decode; empty for none.
        crashing_body: Text in a request's body on which the runner crashes as it begins
            to run it; empty for none.
        crashing_prefill: Text in a request's body on which the runner crashes as it
            prefills it; empty for none.
        freezing_body: Text in a request's body on which the runner stops to answer
            anything as it begins to run it; empty for none.
        rate_limit_per_s: Requests per s that the runner says it takes from all relays
            together; None to name no limit.
        leaving: True to state in every response that the runner leaves.
        large_answer_bytes: Size of the answers to requests with LARGE_ANSWER.
        pause_s: Retry-After in s of the refusals of requests and reservations; None to
            add none.
    """

    refuse_requests: bool = False
    status: int = 200
    wrong_request_id: bool = False
    cut_after_events: int | None = None
    stall_after_events: int | None = None
    stall_s: float | None = None
    delay_s: float = 0.0
    control_delay_s: float = 0.0
    refuse_reservations: bool = False
    phase_change_s: float = 0.0
    fail_kv_cache_copies: bool = False
    crashing_part: str = ""
    crashing_body: bytes = b""
    crashing_prefill: bytes = b""
    freezing_body: bytes = b""
    rate_limit_per_s: float | None = None
    leaving: bool = False
    pause_s: float | None = None
    large_answer_bytes: int = 0


@dataclass(slots=True)
class _RunnerState:
    """Requests that a runner has received, and resources that it retains.

    Attributes:
        runs: Requests other than prefills.
        prefills: Prefill requests.
        reservations: Slot reservations that are neither used nor released.
        kv_cache_handles: Handles of retained KV caches.
        phase_change_commands: Phase change commands in order of arrival.
        phase_changes: Changes of phase that go on.
    """

    runs: list[RunRecord] = field(default_factory=list)
    prefills: list[RunRecord] = field(default_factory=list)
    reservations: set[str] = field(default_factory=set)
    kv_cache_handles: set[str] = field(default_factory=set)
    phase_change_commands: list[dict[str, Any]] = field(default_factory=list)
    phase_changes: set[asyncio.Task[None]] = field(default_factory=set)


class StandInRunner:
    """One runner, which is an upstream; a context manager that serves on a free port.

    Args:
        runner_id: Identity of the upstream.
        service: Name of the service that the upstream belongs to.
        failure_domain: Failure domain in which the upstream runs.
        phase: `prefill` or `decode` for a model engine, None for a
            non-generation HTTP service.
        events: Number of events in each stream.

    Attributes:
        address: Address that the runner serves on, as `IP:PORT`; empty before it
            is entered.
        faults: Faults to inject.
        software: Version of its software.
        received: Number of requests and control calls received.
        refused: Number of requests refused with 503.
        state: Requests received, and reservations and KV caches retained.
        crashed: True after a crash, until the runner is restarted.
        frozen: True while it answers nothing, until it is restarted.
    """

    def __init__(
        self,
        runner_id: str,
        service: str,
        failure_domain: str = "zone-a",
        phase: str | None = None,
        events: int = 5,
    ) -> None:
        self.id = runner_id
        self.service = service
        self.failure_domain = failure_domain
        self.phase = phase
        self.events = events
        self.address = ""
        self.faults = RunnerFaults()
        self.software = "v1"
        self.received = 0
        self.refused = 0
        self.state = _RunnerState()
        self.crashed = False
        self.frozen = False
        self._aborted_runs: list[RunRecord] = []
        self._migrated_runs: list[RunRecord] = []
        self._numbers = itertools.count(1)
        self._server = HttpServer(self._handle)

    async def __aenter__(self) -> StandInRunner:
        host, port = await self._server.listen("127.0.0.1", 0)
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._server.close()
        for change in self.state.phase_changes:
            change.cancel()

    @property
    def is_changing_phase(self) -> bool:
        """True while a change of phase goes on."""
        return bool(self.state.phase_changes)

    @property
    def runs(self) -> list[RunRecord]:
        """Requests executed or being executed, without prefills."""
        return self.state.runs

    def store_entry(self, state: str = "ready", **fields: Any) -> dict[str, Any]:
        """Returns the entry of the upstream in the platform's store.

        Args:
            state: `ready` or `draining`.
            **fields: Further fields, which replace the default ones.
        """
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.failure_domain,
            "version": self.software,
            "slots": 16,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
        }
        if self.phase is not None:
            entry["phase"] = self.phase
        return entry | fields

    def crash(self) -> None:
        """Resets all connections and refuses new ones."""
        self.crashed = True
        self._server.close()

    async def restart(self, runner_id: str) -> None:
        """Starts again at the same address, as another incarnation.

        Args:
            runner_id: Identity of the new incarnation.
        """
        self.id = runner_id
        self._server = HttpServer(self._handle)
        await self._server.listen(*parse_address(self.address))
        self.crashed = False
        self.frozen = False

    def abort_streams(self) -> None:
        """Cuts every stream that runs now in the middle of an event."""
        self._aborted_runs = self.state.runs[:]

    def begin_phase_change(self, phase: str) -> None:
        """Begins to change the phase, as ordered by a relay."""
        if self.faults.phase_change_s == 0.0:
            self.phase = phase
            return
        change = asyncio.ensure_future(self._change_phase(phase))
        self.state.phase_changes.add(change)
        change.add_done_callback(self.state.phase_changes.discard)

    async def _change_phase(self, phase: str) -> None:
        await asyncio.sleep(self.faults.phase_change_s)
        self.phase = phase

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        response = await self._respond(request)
        if self.faults.leaving:
            response.headers.append((header_names.SERVER_LEAVING, b"1"))
        if self.faults.pause_s is not None and response.status == 503:
            pause = str(self.faults.pause_s).encode()
            response.headers.append((b"retry-after", pause))
        return response

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        self.received += 1
        body = await request.body()
        await self._wait_until_restarted()
        if request.path.startswith("/v1/"):
            await asyncio.sleep(self.faults.control_delay_s)
            return self._handle_control(request, body)
        headers = dict(request.headers)
        expected = headers.get(header_names.EXPECT_INSTANCE, b"").decode()
        if expected != self.id:
            return _not_executed(421, headers)
        if self.faults.refuse_requests or self.is_changing_phase:
            self.refused += 1
            await asyncio.sleep(self.faults.delay_s)
            return _not_executed(503, headers)
        return await self._run(headers, body)

    def _handle_control(self, request: HttpRequest, body: bytes) -> HttpResponse:
        state = self.state
        if request.path == "/v1/hold-take":
            if self.faults.refuse_reservations or self.phase != "decode":
                return json_response(503, {})
            reservation = f"hold-{next(self._numbers)}"
            state.reservations.add(reservation)
            return json_response(200, {"hold": reservation})
        if request.path == "/v1/kv-move":
            return self._migrate(json.loads(body)["id"])
        if request.path == "/v1/order":
            state.phase_change_commands.append(json.loads(body))
            self.begin_phase_change(state.phase_change_commands[-1]["phase"])
            return json_response(202, {})
        if request.path == "/v1/report":
            report = {"inFlight": 0, "queued": 0, "kvUsed": 0, "held": 0}
            report |= {"sequence": len(state.phase_change_commands)}
            report |= {"busy": self.is_changing_phase}
            return json_response(200, report)
        resource, _, name = request.path.removeprefix("/v1/").partition("/")
        (
            state.reservations if resource == "hold-drop" else state.kv_cache_handles
        ).discard(name)
        return json_response(200, {})

    def _migrate(self, request_id: str) -> HttpResponse:
        """Stops a stream and retains its KV cache under a handle."""
        for record in self.runs:
            if record.request_id == request_id and not record.completed:
                if record not in self._migrated_runs:
                    self._migrated_runs.append(record)
                    handle = f"handle-{next(self._numbers)}"
                    self.state.kv_cache_handles.add(handle)
                    status = 503 if self.faults.fail_kv_cache_copies else 200
                    return json_response(status, {"kvHandle": handle, "created": 0})
        return json_response(404, {})

    async def _run(self, headers: dict[bytes, bytes], body: bytes) -> HttpResponse:
        record = RunRecord(headers[header_names.REQUEST_ID].decode(), headers, body)
        if headers.get(header_names.STAGE) == b"prefill":
            return self._prefill(record)
        kv_source = headers.get(header_names.KV_SOURCE)
        if kv_source is not None:
            self.state.reservations.discard(
                headers.get(header_names.KV_HOLD, b"").decode()
            )
        self.runs.append(record)
        await asyncio.sleep(self.faults.delay_s)
        if record.contains(self.faults.freezing_body):
            self.frozen = True
            await self._wait_until_restarted()
        if self._is_crashing(record):
            self.crash()
            raise refused(ErrorCode.CANCELLED, "the runner crashes")
        response_id = (
            b"other" if self.faults.wrong_request_id else record.request_id.encode()
        )
        response_headers: Headers = [
            (header_names.REQUEST_ID, response_id),
            (header_names.SIGNATURE, f"sig-{self.id}".encode()),
        ]
        if self.faults.rate_limit_per_s is not None:
            limit = str(self.faults.rate_limit_per_s).encode()
            response_headers.append((header_names.SERVER_LIMIT, limit))
        if self.phase is not None:
            last_event_id = int(headers.get(header_names.LAST_EVENT_ID, b"0"))
            response_headers.append((b"content-type", b"text/event-stream"))
            return HttpResponse(
                200, response_headers, self._stream(record, last_event_id)
            )
        if self.faults.cut_after_events is not None:
            return HttpResponse(
                200, response_headers, self._truncated_body(), length=10
            )
        record.completed = True
        response_body = f"answer of {self.id}".encode()
        if LARGE_ANSWER in record.headers:
            response_body = bytes(self.faults.large_answer_bytes)
        return HttpResponse(self.faults.status, response_headers, response_body)

    async def _wait_until_restarted(self) -> None:
        """Waits while the runner is frozen."""
        while self.frozen:
            await asyncio.sleep(EVENT_INTERVAL_S)

    def _is_crashing(self, record: RunRecord) -> bool:
        """Returns whether a request is one on which the runner crashes."""
        if record.contains(self.faults.crashing_body):
            return True
        crashing_part = self.faults.crashing_part
        prompt = record.headers.get(header_names.PROMPT_PREFIX, b"").decode()
        parts = [part.partition(":")[0] for part in prompt.split(",")]
        return bool(crashing_part) and crashing_part in parts

    def _prefill(self, record: RunRecord) -> HttpResponse:
        self.state.prefills.append(record)
        if record.contains(self.faults.crashing_prefill):
            self.crash()
            raise refused(ErrorCode.CANCELLED, "the runner crashes")
        handle = f"handle-{next(self._numbers)}"
        self.state.kv_cache_handles.add(handle)
        response = json_response(200, {"kvHandle": handle, "tokens": 1, "version": 1})
        response.headers.append((header_names.REQUEST_ID, record.request_id.encode()))
        return response

    async def _stream(
        self, record: RunRecord, last_event_id: int
    ) -> AsyncGenerator[bytes, None]:
        cut_after_events = self.faults.cut_after_events
        stall_after_events, stall_s = (
            self.faults.stall_after_events,
            self.faults.stall_s,
        )
        stalled_s = 0.0
        for number in range(last_event_id + 1, self.events + 1):
            while (
                stall_after_events is not None
                and number - last_event_id > stall_after_events
                and (stall_s is None or stalled_s < stall_s)
            ):
                yield b": still here\n\n"
                await asyncio.sleep(COMMENT_INTERVAL_S)
                stalled_s += COMMENT_INTERVAL_S
            is_cut = (
                cut_after_events is not None
                and number - last_event_id > cut_after_events
            )
            if is_cut or record in self._aborted_runs:
                yield b"id: 99\ndata: torn"
                raise refused(ErrorCode.CANCELLED, "the runner aborts the response")
            if record in self._migrated_runs:
                raise refused(
                    ErrorCode.CANCELLED, "the stream migrates to another engine"
                )
            record.completed = number == self.events  # no run is left to stop
            yield f"id: {number}\ndata: token-{number}\n\n".encode()
            await asyncio.sleep(EVENT_INTERVAL_S)
        record.completed = True

    async def _truncated_body(self) -> AsyncGenerator[bytes, None]:
        yield b"half"
        raise refused(ErrorCode.CANCELLED, "the runner aborts the response")


def _not_executed(status: int, headers: dict[bytes, bytes]) -> HttpResponse:
    """Returns the response to a request that the runner does not run."""
    response = json_response(status, {})
    response.headers.append((header_names.NOT_EXECUTED, b"1"))
    request_id = headers.get(header_names.REQUEST_ID, b"")
    response.headers.append((header_names.REQUEST_ID, request_id))
    return response
