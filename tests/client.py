"""HTTP client helpers for tests, based on the project's own HttpClient."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from wasabimux.adapters.http_client import ClientResponse, HttpClient
from wasabimux.ports import Headers

MODEL = "twine-large"


class Response(NamedTuple):
    """HTTP response with its complete body."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def json(self) -> Any:
        """Body, decoded from JSON."""
        return json.loads(self.body)


def authorization(workspace: str) -> Headers:
    """Returns the Authorization header with the example API key of a workspace."""
    return [(b"authorization", f"Bearer example-{workspace}".encode())]


def completion_body(prompt: str = "x" * 100, **fields: Any) -> bytes:
    """Returns the JSON body of a completion request; `fields` add or override."""
    fields = {"model": MODEL, "prompt": prompt, "max_tokens": 4} | fields
    return json.dumps(fields).encode()


async def send(
    client: HttpClient, method: str, target: str, headers: Headers, body: bytes = b""
) -> Response:
    """Sends a request and returns the complete response."""
    response: ClientResponse = await client.request(method, target, headers, body)
    async with response:
        response_body = await response.body()
    return Response(response.status, dict(response.headers), response_body)
