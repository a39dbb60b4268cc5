"""Implementation of the PlainUpstream port over HTTP."""

from __future__ import annotations

from collections.abc import AsyncGenerator
from contextlib import asynccontextmanager

from wasabimux.adapters.http_client import EchoedHeader, HttpClient
from wasabimux.headers import REQUEST_ID_HEADER
from wasabimux.ports import PlainCall, PlainResponse


class ServiceClient:
    """HTTP client of an agent's plain service; a context manager.

    Args:
        host: Address of the service.
        port: Port of the service.
    """

    def __init__(self, host: str, port: int) -> None:
        self._http = HttpClient(host, port)

    async def __aenter__(self) -> ServiceClient:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._http.close()

    @asynccontextmanager
    async def call(self, call: PlainCall) -> AsyncGenerator[PlainResponse, None]:
        """Sends a call. Entering raises UpstreamLost if there is no response."""
        request_ids = [v for name, v in call.headers if name == REQUEST_ID_HEADER]
        # Beside an id of the caller's own, a service may repeat that one.
        may_reuse = call.repeatable and len(request_ids) == 1
        response = await self._http.request(
            call.method,
            call.target,
            call.headers,
            call.body,
            may_reuse,
            EchoedHeader(REQUEST_ID_HEADER, request_ids[-1]),
        )
        async with response:
            yield response
