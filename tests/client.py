"""A caller for tests, on the library's own HTTP client."""

from __future__ import annotations

import json
from typing import Any, NamedTuple

from wasabimux.adapters.http_client import ClientResponse, HttpClient
from wasabimux.ports import Headers

MODEL = "twine-large"


class Response(NamedTuple):
    """A whole answer."""

    status: int
    headers: dict[bytes, bytes]
    body: bytes

    @property
    def json(self) -> Any:
        """The body as JSON."""
        return json.loads(self.body)


def authorization(workspace: str) -> Headers:
    """Returns the header with the example key of a workspace."""
    return [(b"authorization", f"Bearer example-{workspace}".encode())]


def completion_body(prompt: str = "x" * 100, **fields: Any) -> bytes:
    """Returns the body of a completion request."""
    fields = {"model": MODEL, "prompt": prompt, "max_tokens": 4} | fields
    return json.dumps(fields).encode()


async def send(
    client: HttpClient, method: str, target: str, headers: Headers, body: bytes = b""
) -> Response:
    """Sends a request and reads the whole answer."""
    response: ClientResponse = await client.request(method, target, headers, body)
    async with response:
        whole = await response.body()
    return Response(response.status, dict(response.headers), whole)
