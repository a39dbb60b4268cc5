"""A stand-in for a plain service that counts what it ran."""

from __future__ import annotations

import asyncio
import json
from dataclasses import dataclass, field

from wasabimux.adapters.http_server import HttpRequest, HttpResponse, json_response


@dataclass(slots=True)
class ServiceFaults:
    """What is wrong with the service now.

    Attributes:
        delay_s: Time that a call takes.
        fail_after_run: Calls run, but their connection breaks.
    """

    delay_s: float = 0.0
    fail_after_run: bool = False


@dataclass(slots=True)
class PlainService:
    """Runs any call, remembers it, and answers with what it got."""

    faults: ServiceFaults = field(default_factory=ServiceFaults)
    runs_by_request: dict[str, int] = field(default_factory=dict)
    headers_seen: set[str] = field(default_factory=set)
    runs_by_target: dict[str, int] = field(default_factory=dict)
    running: int = 0

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answers one call."""
        if request.path == "/_standin/faults":
            for name, value in json.loads(await request.body()).items():
                setattr(self.faults, name, value)
            return json_response(200, {})
        if request.path == "/_standin/state":
            return json_response(200, self.state())
        body = await request.body()
        for name, value in request.headers:
            self.headers_seen.add(f"{name.decode()}: {value.decode('latin-1')}")
        request_id = (request.header(b"x-request-id") or b"").decode()
        self.runs_by_request[request_id] = self.runs_by_request.get(request_id, 0) + 1
        earlier = self.runs_by_target.get(request.target, 0)
        self.runs_by_target[request.target] = earlier + 1
        self.running += 1
        try:
            await asyncio.sleep(self.faults.delay_s)
        finally:
            self.running -= 1
        if self.faults.fail_after_run:
            raise ConnectionResetError("fault: connection broken after the run")
        return json_response(
            200,
            {
                "request_id": request_id,
                "method": request.method,
                "target": request.target,
                "body_bytes": len(body),
            },
        )

    def state(self) -> dict[str, object]:
        """Returns what a test may look at."""
        return {
            "runs": self.runs_by_request,
            "runs_by_target": self.runs_by_target,
            "headers": sorted(self.headers_seen),
            "running": self.running,
        }
