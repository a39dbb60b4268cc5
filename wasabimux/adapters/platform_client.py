"""Implementation of the Store port over the platform's HTTP API."""

from __future__ import annotations

import asyncio
import json
from typing import Any

from wasabimux.adapters.http_client import HttpClient
from wasabimux.ports import (
    Headers,
    InstanceRecord,
    StoreConflict,
    StoredObject,
    StoreUnavailable,
    UpstreamLost,
)

CALL_TIMEOUT_S = 2.0


class PlatformClient:
    """HTTP client of the platform; a context manager.

    Args:
        host: Address of the platform.
        port: Port of the platform.
        token: Bearer token, None if the platform requires none.
    """

    def __init__(self, host: str, port: int, token: str | None = None) -> None:
        self._http = HttpClient(host, port)
        self._headers: Headers = []
        if token is not None:
            self._headers.append((b"authorization", f"Bearer {token}".encode()))

    async def __aenter__(self) -> PlatformClient:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._http.close()

    async def get(self, kind: str, name: str) -> StoredObject | None:
        """Returns an object, or None if it does not exist. Raises StoreUnavailable."""
        status, item = await self._call("GET", f"/v1/objects/{kind}/{name}")
        return None if status == 404 else _parse_object(item)

    async def put(self, kind: str, name: str, value: bytes, expected: int) -> int:
        """Writes an object if its version is `expected`, 0 for a new object."""
        headers = [(b"if-match", str(expected).encode())]
        target = f"/v1/objects/{kind}/{name}"
        status, result = await self._call("PUT", target, headers, value)
        if status == 412:
            raise StoreConflict(result["current"])
        return int(result["version"])

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object if it exists. Raises StoreUnavailable."""
        await self._call("DELETE", f"/v1/objects/{kind}/{name}")

    async def watch(self, kind: str, after: int, wait_s: float) -> list[StoredObject]:
        """Waits up to `wait_s` for objects of a kind that changed after a version."""
        target = f"/v1/objects/{kind}?after={after}&wait_s={wait_s}"
        _, items = await self._call("GET", target, timeout_s=wait_s + CALL_TIMEOUT_S)
        return [_parse_object(item) for item in items]

    async def instances(self) -> list[InstanceRecord]:
        """Returns the platform's list of instances, which may lag behind."""
        _, items = await self._call("GET", "/v1/instances")
        return [InstanceRecord(**item) for item in items]

    async def _call(
        self,
        method: str,
        target: str,
        headers: Headers | None = None,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, Any]:
        try:
            async with asyncio.timeout(timeout_s):
                all_headers = [*self._headers, *(headers or [])]
                response = await self._http.request(method, target, all_headers, body)
                async with response:
                    content = await response.body()
        except (UpstreamLost, TimeoutError) as error:
            raise StoreUnavailable(str(error)) from error
        if response.status not in (200, 404, 412):
            raise StoreUnavailable(f"HTTP status {response.status}")
        return response.status, json.loads(content)


def _parse_object(item: Any) -> StoredObject:
    return StoredObject(item["name"], item["version"], item["value"].encode())
