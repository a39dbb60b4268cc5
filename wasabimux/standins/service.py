"""A stand-in for an HTTP service that counts the calls it ran."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field

from wasabimux.adapters.http_server import HttpRequest, HttpResponse, json_response
from wasabimux.headers import REQUEST_ID_HEADER


@dataclass(slots=True)
class ServiceFaults:
    """Faults injected into the service.

    Attributes:
        delay_s: Duration of a call in s.
        fail_after_run: True if the connection breaks after a call has run.
        status: Status of the response to a call that has run.
    """

    delay_s: float = 0.0
    fail_after_run: bool = False
    status: int = 200


@dataclass(slots=True)
class PlainService:
    """Runs any call, counts it, and echoes the request in the response.

    Attributes:
        faults: Faults injected now.
        runs_by_request: Number of calls by request id.
        headers_seen: Headers of all calls, as `name: value`.
        runs_by_target: Number of calls by HTTP target.
        running: Calls that are running now.
    """

    faults: ServiceFaults = field(default_factory=ServiceFaults)
    runs_by_request: dict[str, int] = field(default_factory=dict)
    headers_seen: set[str] = field(default_factory=set)
    runs_by_target: dict[str, int] = field(default_factory=dict)
    running: int = 0

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handles an HTTP request: a call, or one that reads state or sets faults."""
        if request.path == "/_standin/faults":
            for name, value in json.loads(await request.body()).items():
                setattr(self.faults, name, value)
            return json_response(200, {})
        if request.path == "/_standin/state":
            return json_response(200, self.state())
        body = await request.body()
        for name, value in request.headers:
            self.headers_seen.add(f"{name.decode()}: {value.decode('latin-1')}")
        request_id = (request.header(REQUEST_ID_HEADER) or b"").decode()
        self.runs_by_request[request_id] = self.runs_by_request.get(request_id, 0) + 1
        previous_runs = self.runs_by_target.get(request.target, 0)
        self.runs_by_target[request.target] = previous_runs + 1
        self.running += 1
        try:
            await asyncio.sleep(self.faults.delay_s)
        finally:
            self.running -= 1
        if self.faults.fail_after_run:
            raise ConnectionResetError("fault: connection broken after the run")
        response = json_response(
            self.faults.status,
            {
                "request_id": request_id,
                "method": request.method,
                "target": request.target,
                "body_bytes": len(body),
            },
        )
        response.headers.append((REQUEST_ID_HEADER, request_id.encode()))
        return response

    def state(self) -> dict[str, object]:
        """Returns the counters and headers that tests check."""
        return {
            "runs": self.runs_by_request,
            "runs_by_target": self.runs_by_target,
            "headers": sorted(self.headers_seen),
            "running": self.running,
        }
