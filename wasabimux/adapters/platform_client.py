"""Implementation of the Store port over the platform's HTTP API."""

from __future__ import annotations

import asyncio
import logging
from typing import TypeVar

import msgspec

from wasabimux.adapters.http_client import HttpClient
from wasabimux.ids import InstanceId
from wasabimux.json_documents import DocumentError
from wasabimux.json_parts import elements
from wasabimux.ports import (
    Headers,
    InstanceRecord,
    StoreConflict,
    StoredObject,
    StoreUnavailable,
    UpstreamLost,
)

CALL_TIMEOUT_S = 2.0

logger = logging.getLogger("wasabimux.platform")

Answer = TypeVar("Answer")


class _Object(msgspec.Struct):
    """An object in an answer, as JSON."""

    name: str
    version: int
    value: str


class _Instance(msgspec.Struct):
    """An instance in an answer, as JSON."""

    instance: str
    role: str
    address: str
    leaving: bool


class _WriteAnswer(msgspec.Struct):
    """Answer to a write: the version written, or the one that stands in the way."""

    version: int | None = None
    current: int | None = None


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
        status, body = await self._call("GET", f"/v1/objects/{kind}/{name}")
        if status == 404:
            return None
        stored = _parse(_Object, body)
        if stored is None:
            raise StoreUnavailable("an object that cannot be read")
        return _stored_object(stored)

    async def put(self, kind: str, name: str, value: bytes, expected: int) -> int:
        """Writes an object if its version is `expected`, 0 for a new object."""
        headers = [(b"if-match", str(expected).encode())]
        target = f"/v1/objects/{kind}/{name}"
        status, body = await self._call("PUT", target, headers, value)
        answer = _parse(_WriteAnswer, body) or _WriteAnswer()
        version = answer.current if status == 412 else answer.version
        if version is None:
            raise StoreUnavailable("a response without a version")
        if status == 412:
            raise StoreConflict(version)
        return version

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object if it exists. Raises StoreUnavailable."""
        await self._call("DELETE", f"/v1/objects/{kind}/{name}")

    async def watch(self, kind: str, after: int, wait_s: float) -> list[StoredObject]:
        """Waits up to `wait_s` for objects of a kind that changed after a version."""
        target = f"/v1/objects/{kind}?after={after}&wait_s={wait_s}"
        _, body = await self._call("GET", target, timeout_s=wait_s + CALL_TIMEOUT_S)
        return list(map(_stored_object, _parse_list(_Object, body)))

    async def instances(self) -> list[InstanceRecord]:
        """Returns the platform's list of instances, which may lag behind."""
        _, body = await self._call("GET", "/v1/instances")
        return [
            InstanceRecord(
                InstanceId(item.instance), item.role, item.address, item.leaving
            )
            for item in _parse_list(_Instance, body)
        ]

    async def _call(
        self,
        method: str,
        target: str,
        headers: Headers | None = None,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> tuple[int, bytes]:
        """Returns the status and the body of an answer. Raises StoreUnavailable."""
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
        return response.status, content


def _parse(answer_type: type[Answer], body: bytes) -> Answer | None:
    """Returns an answer or a part of one, None if it cannot be read.

    What has other types takes no memory.
    """
    try:
        return msgspec.json.decode(body, type=answer_type)
    except (msgspec.DecodeError, UnicodeError, RecursionError):
        return None


def _parse_list(item_type: type[Answer], body: bytes) -> list[Answer]:
    """Returns the items of a list, except those that cannot be read.

    Raises:
        StoreUnavailable: The body is no list.
    """
    try:
        parts = elements(body)
    except DocumentError as error:
        raise StoreUnavailable("a response without a list") from error
    parsed = [_parse(item_type, part) for part in parts]
    found = [item for item in parsed if item is not None]
    if len(found) < len(parsed):
        logger.warning("event=object_unreadable count=%d", len(parsed) - len(found))
    return found


def _stored_object(found: _Object) -> StoredObject:
    return StoredObject(found.name, found.version, found.value.encode())
