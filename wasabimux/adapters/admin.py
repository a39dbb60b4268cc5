"""The admin port of a process."""

from __future__ import annotations

import hmac
from collections.abc import Callable, Sequence
from typing import Any

from aioprometheus import REGISTRY, render
from aioprometheus.collectors import Registry

from wasabimux.adapters.http_server import HttpRequest, HttpResponse, json_response
from wasabimux.timeline import Timeline


class AdminHandler:
    """Answers operators.

    Args:
        status: Returns the state of the process as JSON values.
        ready: Tells whether the process takes work.
        timelines: Events of the process, and of others on the same loop.
        token: Operators' credential, None where none is asked for.
        registry: Metrics of the process.
    """

    def __init__(
        self,
        status: Callable[[], dict[str, Any]],
        ready: Callable[[], bool],
        timelines: Sequence[Timeline],
        token: str | None = None,
        registry: Registry = REGISTRY,
    ) -> None:
        self._status = status
        self._ready = ready
        self._timelines = timelines
        self._token = token
        self._registry = registry

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answers one request of an operator."""
        if request.path == "/healthz":
            return json_response(200, {"healthy": True})
        if request.path == "/readyz":
            ready = self._ready()
            return json_response(200 if ready else 503, {"ready": ready})
        if not self._allowed(request):
            return json_response(401, {"error": "a credential is needed"})
        if request.path == "/status":
            return json_response(200, self._status())
        if request.path == "/timeline":
            return json_response(200, self._events(request.query))
        if request.path == "/metrics":
            accepts = [(request.header(b"accept") or b"").decode()]
            content, headers = render(self._registry, accepts)
            pairs = [(name.encode(), value.encode()) for name, value in headers.items()]
            return HttpResponse(200, pairs, content)
        return json_response(404, {"error": "no such page"})

    def _allowed(self, request: HttpRequest) -> bool:
        if self._token is None:
            return True
        given = request.header(b"authorization") or b""
        return hmac.compare_digest(given, f"Bearer {self._token}".encode())

    def _events(self, query: dict[str, str]) -> list[dict[str, Any]]:
        request, workspace = query.get("request", ""), query.get("workspace", "")
        since_ms = int(query.get("since_ms", "0") or "0")
        events = [
            event
            for timeline in self._timelines
            for event in timeline.events(request, workspace, since_ms)
        ]
        return [event._asdict() for event in sorted(events)]
