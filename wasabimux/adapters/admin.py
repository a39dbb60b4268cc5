"""Request handler of a process's admin port."""

from __future__ import annotations

import hmac
from collections.abc import Callable, Sequence
from typing import Any

from aioprometheus import REGISTRY, render
from aioprometheus.collectors import Registry

from wasabimux.adapters.http_server import HttpRequest, HttpResponse, json_response
from wasabimux.timeline import Timeline


class AdminHandler:
    """Serves health, status, timeline and metrics to operators.

    Args:
        get_status: Returns the status of the process as JSON values.
        is_ready: Returns whether the process accepts work.
        timelines: Timelines of the process and of others on the same event loop.
        token: Bearer token of operators; None disables authorization.
        registry: Registry of the process's metrics.
    """

    def __init__(
        self,
        get_status: Callable[[], dict[str, Any]],
        is_ready: Callable[[], bool],
        timelines: Sequence[Timeline],
        token: str | None = None,
        registry: Registry = REGISTRY,
    ) -> None:
        self._get_status = get_status
        self._is_ready = is_ready
        self._timelines = timelines
        self._token = token
        self._registry = registry

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Handles one request of an operator."""
        if request.path == "/healthz":
            return json_response(200, {"healthy": True})
        if request.path == "/readyz":
            ready = self._is_ready()
            return json_response(200 if ready else 503, {"ready": ready})
        if not self._is_authorized(request):
            return json_response(401, {"error": "missing or invalid bearer token"})
        if request.path == "/status":
            return json_response(200, self._get_status())
        if request.path == "/timeline":
            return json_response(200, self._query_events(request.query))
        if request.path == "/metrics":
            accept_headers = [(request.header(b"accept") or b"").decode()]
            content, headers = render(self._registry, accept_headers)
            encoded_headers = [
                (name.encode(), value.encode()) for name, value in headers.items()
            ]
            return HttpResponse(200, encoded_headers, content)
        return json_response(404, {"error": "unknown path"})

    def _is_authorized(self, request: HttpRequest) -> bool:
        if self._token is None:
            return True
        credential = request.header(b"authorization") or b""
        return hmac.compare_digest(credential, f"Bearer {self._token}".encode())

    def _query_events(self, query: dict[str, str]) -> list[dict[str, Any]]:
        request, workspace = query.get("request", ""), query.get("workspace", "")
        since_ms = int(query.get("since_ms", "0") or "0")
        events = [
            event
            for timeline in self._timelines
            for event in timeline.events(request, workspace, since_ms)
        ]
        return [event._asdict() for event in sorted(events)]
