"""A stand-in of the platform's runners: plain services and model engines."""

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
from wasabimux.platform import headers as names
from wasabimux.ports import Headers

#: Tokens in one event, and time between events.
TOKENS_PER_EVENT = 10
EVENT_S = 0.01


@dataclass(slots=True)
class RunRecord:
    """A request that has run.

    Attributes:
        request_id: Its identity.
        headers: Headers as they arrived.
        body: Its body.
        ended: True once its answer was whole.
    """

    request_id: str
    headers: dict[bytes, bytes]
    body: bytes
    completed: bool = False


@dataclass(slots=True)
class RunnerFaults:
    """What goes wrong at a runner.

    Attributes:
        full: True to refuse every request as not executed.
        status: Status of every answer.
        foreign_id: True to answer with another request's identity.
        cut_after: Events, or 0 for the head, after which answers are cut; None for
            whole answers.
        delay_s: Time before each answer.
        no_holds: True to refuse reservations.
        no_copies: True to stop streams that should move without copying their memory.
    """

    refuse_requests: bool = False
    status: int = 200
    wrong_request_id: bool = False
    cut_after_events: int | None = None
    delay_s: float = 0.0
    refuse_reservations: bool = False
    fail_kv_cache_copies: bool = False


@dataclass(slots=True)
class _State:
    runs: list[RunRecord] = field(default_factory=list)
    prefills: list[RunRecord] = field(default_factory=list)
    holds: set[str] = field(default_factory=set)
    handles: set[str] = field(default_factory=set)
    phase_change_commands: list[dict[str, Any]] = field(default_factory=list)


class StandInRunner:
    """One runner; a context manager.

    Args:
        runner_id: Its identity.
        service: Service that it belongs to.
        zone: Where it runs.
        phase: `prefill` or `decode` for an engine, None for a plain service.
        events: Events of each stream.
    """

    def __init__(
        self,
        runner_id: str,
        service: str,
        zone: str = "zone-a",
        phase: str | None = None,
        events: int = 5,
    ) -> None:
        self.id = runner_id
        self.service = service
        self.zone = zone
        self.phase = phase
        self.events = events
        self.address = ""
        self.faults = RunnerFaults()
        self.state = _State()
        self._broken_off: list[RunRecord] = []
        self._moved_off: list[RunRecord] = []
        self._numbers = itertools.count(1)
        self._server = HttpServer(self._handle)

    async def __aenter__(self) -> StandInRunner:
        host, port = await self._server.listen("127.0.0.1", 0)
        self.address = f"{host}:{port}"
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._server.close()

    @property
    def runs(self) -> list[RunRecord]:
        """Requests that have run, prefills not counted."""
        return self.state.runs

    def store_entry(self, state: str = "ready", **fields: Any) -> dict[str, Any]:
        """Returns what it writes into the platform's store."""
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 16,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
        }
        if self.phase is not None:
            entry["phase"] = self.phase
        return entry | fields

    def abort_streams(self) -> None:
        """Cuts the streams that run now, each within an event."""
        self._broken_off = self.state.runs[:]

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        body = await request.body()
        if request.path.startswith("/v1/"):
            return self._control(request, body)
        headers = dict(request.headers)
        expected = headers.get(names.EXPECT_INSTANCE, b"").decode()
        if expected != self.id:
            return json_response(421, {})
        if self.faults.refuse_requests:
            response = json_response(503, {})
            response.headers.append((names.NOT_EXECUTED, b"1"))
            return response
        return await self._run(headers, body)

    def _control(self, request: HttpRequest, body: bytes) -> HttpResponse:
        state = self.state
        if request.path == "/v1/hold-take":
            if self.faults.refuse_reservations or self.phase != "decode":
                return json_response(503, {})
            hold = f"hold-{next(self._numbers)}"
            state.holds.add(hold)
            return json_response(200, {"hold": hold})
        if request.path == "/v1/kv-move":
            return self._move(json.loads(body)["id"])
        if request.path == "/v1/order":
            state.phase_change_commands.append(json.loads(body))
            self.phase = state.phase_change_commands[-1]["phase"]
            return json_response(202, {})
        if request.path == "/v1/report":
            report = {"inFlight": 0, "queued": 0, "kvUsed": 0, "held": 0}
            report |= {"sequence": len(state.phase_change_commands), "busy": False}
            return json_response(200, report)
        kind, _, name = request.path.removeprefix("/v1/").partition("/")
        (state.holds if kind == "hold-drop" else state.handles).discard(name)
        return json_response(200, {})

    def _move(self, request_id: str) -> HttpResponse:
        """Stops a stream; its memory stays until it goes on."""
        for record in self.runs:
            if record.request_id == request_id and not record.completed:
                if record not in self._moved_off:
                    self._moved_off.append(record)
                    handle = f"handle-{next(self._numbers)}"
                    self.state.handles.add(handle)
                    status = 503 if self.faults.fail_kv_cache_copies else 200
                    return json_response(status, {"kvHandle": handle, "created": 0})
        return json_response(404, {})

    async def _run(self, headers: dict[bytes, bytes], body: bytes) -> HttpResponse:
        record = RunRecord(headers[names.REQUEST_ID].decode(), headers, body)
        if headers.get(names.STAGE) == b"prefill":
            return self._prefill(record)
        source = headers.get(names.KV_SOURCE)
        if source is not None:
            self.state.holds.discard(headers.get(names.KV_HOLD, b"").decode())
        self.runs.append(record)
        await asyncio.sleep(self.faults.delay_s)
        answer_id = (
            b"other" if self.faults.wrong_request_id else record.request_id.encode()
        )
        answer_headers: Headers = [
            (names.REQUEST_ID, answer_id),
            (names.SIGNATURE, f"sig-{self.id}".encode()),
        ]
        if self.phase is not None:
            after = int(headers.get(names.LAST_EVENT_ID, b"0"))
            answer_headers.append((b"content-type", b"text/event-stream"))
            return HttpResponse(200, answer_headers, self._stream(record, after))
        if self.faults.cut_after_events is not None:
            return HttpResponse(200, answer_headers, self._cut(), length=10)
        record.completed = True
        answer = f"answer of {self.id}".encode()
        return HttpResponse(self.faults.status, answer_headers, answer)

    def _prefill(self, record: RunRecord) -> HttpResponse:
        self.state.prefills.append(record)
        handle = f"handle-{next(self._numbers)}"
        self.state.handles.add(handle)
        return json_response(200, {"kvHandle": handle, "tokens": 1, "version": 1})

    async def _stream(
        self, record: RunRecord, after: int
    ) -> AsyncGenerator[bytes, None]:
        cut_after_events = self.faults.cut_after_events
        for number in range(after + 1, self.events + 1):
            cut = cut_after_events is not None and number - after > cut_after_events
            if cut or record in self._broken_off:
                yield b"id: 99\ndata: torn"
                raise refused(ErrorCode.CANCELLED, "the runner breaks off")
            if record in self._moved_off:
                raise refused(ErrorCode.CANCELLED, "the stream goes on elsewhere")
            yield f"id: {number}\ndata: token-{number}\n\n".encode()
            await asyncio.sleep(EVENT_S)
        record.completed = True

    async def _cut(self) -> AsyncGenerator[bytes, None]:
        yield b"half"
        raise refused(ErrorCode.CANCELLED, "the runner breaks off")
