"""The Store port over the platform's HTTP API."""

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
    """Calls the platform; a context manager.

    Args:
        host: Address of the platform.
        port: Port of the platform.
        token: Credential, None where the platform asks for none.
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
        """Reads an object. Raises StoreUnavailable."""
        status, value = await self._call("GET", f"/v1/objects/{kind}/{name}")
        return None if status == 404 else _parse_object(value)

    async def put(self, kind: str, name: str, value: bytes, expected: int) -> int:
        """Writes an object whose version must be `expected`, 0 for a new one."""
        headers = [(b"if-match", str(expected).encode())]
        target = f"/v1/objects/{kind}/{name}"
        status, answer = await self._call("PUT", target, headers, value)
        if status == 412:
            raise StoreConflict(answer["current"])
        return int(answer["version"])

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object if it exists. Raises StoreUnavailable."""
        await self._call("DELETE", f"/v1/objects/{kind}/{name}")

    async def watch(self, kind: str, after: int, wait_s: float) -> list[StoredObject]:
        """Waits for objects of a kind changed after a version."""
        target = f"/v1/objects/{kind}?after={after}&wait_s={wait_s}"
        _, values = await self._call("GET", target, timeout_s=wait_s + CALL_TIMEOUT_S)
        return [_parse_object(value) for value in values]

    async def instances(self) -> list[InstanceRecord]:
        """Returns the platform's lagging list of instances."""
        _, answer = await self._call("GET", "/v1/instances")
        return [InstanceRecord(**item) for item in answer]

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
                sent = [*self._headers, *(headers or [])]
                response = await self._http.request(method, target, sent, body)
                async with response:
                    answer = await response.body()
        except (UpstreamLost, TimeoutError) as error:
            raise StoreUnavailable(str(error)) from error
        if response.status not in (200, 404, 412):
            raise StoreUnavailable(f"status {response.status}")
        return response.status, json.loads(answer)


def _parse_object(value: Any) -> StoredObject:
    return StoredObject(value["name"], value["version"], value["value"].encode())
