"""Client of the platform's object store."""

from __future__ import annotations

import asyncio
import json
import logging
from collections.abc import Callable, Iterator
from typing import Any
from urllib.parse import quote, urlencode

from wasabimux.adapters.http_client import HttpClient
from wasabimux.ports import Headers, StoreConflict, StoreUnavailable, UpstreamLost
from wasabimux.relay.ports import (
    HistoryLost,
    ListedObjects,
    ObjectChange,
    ObjectChanges,
    PlatformObject,
)

#: Timeout of a response in s, in addition to the time for which the call itself waits.
RESPONSE_TIMEOUT_S = 1.0

JSON_HEADERS: Headers = [(b"content-type", b"application/json")]


logger = logging.getLogger("wasabimux.platform")


class PlatformStoreClient:
    """Calls the platform's store over HTTP; implements `ObjectStore`.

    A context manager that closes its connections.

    Args:
        host: IP address of the store.
        port: Port of the store.
    """

    def __init__(self, host: str, port: int) -> None:
        self.on_call: Callable[[str, str], None] = lambda method, outcome: None
        self._http = HttpClient(host, port)

    async def __aenter__(self) -> PlatformStoreClient:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._http.close()

    async def list(self, kind: str, allow_stale: bool = False) -> ListedObjects:
        """Lists all objects of a kind, one page per call.

        The returned revision is that of the first page.
        """
        parameters = {"allowStale": "1"} if allow_stale else {}
        objects: list[PlatformObject] = []
        first_revision = None
        while True:
            query = f"?{urlencode(parameters)}" if parameters else ""
            response = _check_response(*await self._call("GET", _path(kind) + query))
            page = response.get("items", [])
            objects.extend(_decode_objects(page))
            if first_revision is None:
                first_revision = int(response["storeRevision"])
            if not response.get("more") or not page:
                return ListedObjects(objects, first_revision)
            parameters["after"] = str(page[-1]["metadata"]["name"])

    async def watch(self, kind: str, after: int, wait_s: float) -> ObjectChanges:
        """Waits for changes after a revision, at most `wait_s`."""
        query = urlencode({"watch": after, "waitMs": int(wait_s * 1000)})
        status, content = await self._call("GET", f"{_path(kind)}?{query}", wait_s)
        if status == 410:
            raise HistoryLost(kind)
        response = _check_response(status, content)
        changes = [
            ObjectChange(platform_object, bool(event.get("deleted")))
            for event in response.get("events", [])
            for platform_object in _decode_objects([event.get("object")])
        ]
        return ObjectChanges(changes, int(response["storeRevision"]))

    async def create(self, kind: str, name: str, value: Any) -> int:
        """Creates an object and returns its revision."""
        document = {"metadata": {"name": name}, "spec": value}
        return _decode_revision(*await self._call("POST", _path(kind), 0.0, document))

    async def replace(self, kind: str, name: str, value: Any, revision: int) -> int:
        """Replaces an object if it has the given revision; returns the new revision."""
        document = {"metadata": {"name": name, "revision": revision}, "spec": value}
        path = _path(kind, name)
        return _decode_revision(*await self._call("PUT", path, 0.0, document))

    async def delete(self, kind: str, name: str, revision: int) -> None:
        """Deletes an object if it exists and has the given revision."""
        path = f"{_path(kind, name)}?{urlencode({'revision': revision})}"
        status, content = await self._call("DELETE", path)
        if status != 404:
            _decode_revision(status, content)

    async def _call(
        self, method: str, target: str, wait_s: float = 0.0, document: Any = None
    ) -> tuple[int, Any]:
        """Calls the store and returns the status and the decoded body of the response.

        Args:
            method: HTTP method.
            target: HTTP target.
            wait_s: Time for which the store may wait before it responds, in s.
            document: JSON value to send, None for no body.

        Raises:
            StoreUnavailable: The store sent no response, or a malformed one.
        """
        body = b"" if document is None else json.dumps(document).encode()
        headers = [] if document is None else JSON_HEADERS
        try:
            async with asyncio.timeout(wait_s + RESPONSE_TIMEOUT_S):
                response = await self._http.request(
                    method, target, headers, body, idempotent=method == "GET"
                )
                async with response:
                    body_bytes = await response.body()
        except (UpstreamLost, TimeoutError) as error:
            self.on_call(method, "lost")
            raise StoreUnavailable(f"{method}: {error or 'no response'}") from error
        self.on_call(method, f"status_{response.status}")
        return response.status, _decode_json(body_bytes)


def _path(kind: str, name: str | None = None) -> str:
    path = f"/v1/objects/{quote(kind, safe='')}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _decode_json(body: bytes) -> Any:
    """Decodes a JSON body; returns an empty object if the body is not JSON.

    Invalid UTF-8 is replaced, so it affects only the values that contain it.
    """
    try:
        return json.loads(body.decode("utf-8", "replace")) if body else {}
    except ValueError:
        return {}


def _check_response(status: int, content: Any) -> Any:
    """Returns the content of a successful read, raises StoreUnavailable otherwise."""
    if status != 200 or not isinstance(content, dict) or "storeRevision" not in content:
        raise StoreUnavailable(f"status {status}")
    return content


def _decode_objects(items: list[Any]) -> Iterator[PlatformObject]:
    """Yields the objects with a name, a revision and any value; skips invalid ones."""
    for item in items:
        try:
            metadata = item["metadata"]
            platform_object = PlatformObject(
                metadata["name"], int(metadata["revision"]), item["spec"]
            )
        except (KeyError, TypeError, ValueError) as error:
            logger.warning("event=object_unreadable error=%r", error)
        else:
            yield platform_object


def _decode_revision(status: int, content: Any) -> int:
    """Returns the object's revision after a write, 0 if the response has none.

    Raises:
        StoreConflict: The object has another revision or exists already.
        StoreUnavailable: The status is not that of a successful write.
    """
    metadata = content.get("metadata", {}) if isinstance(content, dict) else {}
    revision = int(metadata.get("revision", 0)) if isinstance(metadata, dict) else 0
    if status == 409:
        raise StoreConflict(revision)
    if status not in (200, 201):
        raise StoreUnavailable(f"status {status}")
    return revision
