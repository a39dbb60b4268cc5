"""Client of the platform's store of objects."""

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

#: Longest wait for an answer, beyond what the call itself waits for.
ANSWER_TIMEOUT_S = 1.0

JSON_HEADERS: Headers = [(b"content-type", b"application/json")]


logger = logging.getLogger("wasabimux.platform")


class PlatformStoreClient:
    """Calls the platform's store over HTTP; a context manager.

    Args:
        host: Address of the store.
        port: Port of the store.
    """

    def __init__(self, host: str, port: int) -> None:
        self.on_call: Callable[[str, str], None] = lambda method, outcome: None
        self._http = HttpClient(host, port)

    async def __aenter__(self) -> PlatformStoreClient:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._http.close()

    async def list(self, kind: str) -> ListedObjects:
        """Lists all objects of a kind, page by page."""
        objects: list[PlatformObject] = []
        after = ""
        first_revision = None
        while True:
            query = f"?{urlencode({'after': after})}" if after else ""
            found = _expect_200(*await self._call("GET", _path(kind) + query))
            page = found.get("items", [])
            objects.extend(_readable(page))
            if first_revision is None:
                first_revision = int(found["storeRevision"])
            if not found.get("more") or not page:
                return ListedObjects(objects, first_revision)
            after = str(page[-1]["metadata"]["name"])

    async def watch(self, kind: str, after: int, wait_s: float) -> ObjectChanges:
        """Waits for changes after a revision."""
        query = urlencode({"watch": after, "waitMs": int(wait_s * 1000)})
        status, found = await self._call("GET", f"{_path(kind)}?{query}", wait_s)
        if status == 410:
            raise HistoryLost(kind)
        found = _expect_200(status, found)
        changes = [
            ObjectChange(changed, bool(event.get("deleted")))
            for event in found.get("events", [])
            for changed in _readable([event.get("object")])
        ]
        return ObjectChanges(changes, int(found["storeRevision"]))

    async def create(self, kind: str, name: str, value: Any) -> int:
        """Creates an object; returns its revision."""
        document = {"metadata": {"name": name}, "spec": value}
        return _revision(*await self._call("POST", _path(kind), 0.0, document))

    async def replace(self, kind: str, name: str, value: Any, revision: int) -> int:
        """Replaces an object that has a revision; returns the new one."""
        document = {"metadata": {"name": name, "revision": revision}, "spec": value}
        path = _path(kind, name)
        return _revision(*await self._call("PUT", path, 0.0, document))

    async def delete(self, kind: str, name: str, revision: int) -> None:
        """Deletes an object that has a revision."""
        path = f"{_path(kind, name)}?{urlencode({'revision': revision})}"
        status, found = await self._call("DELETE", path)
        if status != 404:
            _revision(status, found)

    async def _call(
        self, method: str, target: str, wait_s: float = 0.0, document: Any = None
    ) -> tuple[int, Any]:
        """Makes a call and returns its status and decoded body.

        Raises:
            StoreUnavailable: No answer, or one that is not understood.
        """
        body = b"" if document is None else json.dumps(document).encode()
        headers = [] if document is None else JSON_HEADERS
        try:
            async with asyncio.timeout(wait_s + ANSWER_TIMEOUT_S):
                answer = await self._http.request(
                    method, target, headers, body, idempotent=method == "GET"
                )
                async with answer:
                    content = await answer.body()
        except (UpstreamLost, TimeoutError) as error:
            self.on_call(method, "lost")
            raise StoreUnavailable(f"{method}: {error or 'no answer'}") from error
        self.on_call(method, f"status_{answer.status}")
        return answer.status, _decoded(content)


def _path(kind: str, name: str | None = None) -> str:
    path = f"/v1/objects/{quote(kind, safe='')}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _decoded(content: bytes) -> Any:
    """Decodes a body; bytes that are no text stand for one unreadable value."""
    try:
        return json.loads(content.decode("utf-8", "replace")) if content else {}
    except ValueError:
        return {}


def _expect_200(status: int, found: Any) -> Any:
    if status != 200 or not isinstance(found, dict) or "storeRevision" not in found:
        raise StoreUnavailable(f"status {status}")
    return found


def _readable(items: list[Any]) -> Iterator[PlatformObject]:
    """Yields the objects that have a name and a revision; values may be anything."""
    for item in items:
        try:
            meta = item["metadata"]
            found = PlatformObject(meta["name"], int(meta["revision"]), item["spec"])
        except (KeyError, TypeError, ValueError) as error:
            logger.warning("event=object_unreadable error=%r", error)
        else:
            yield found


def _revision(status: int, found: Any) -> int:
    meta = found.get("metadata", {}) if isinstance(found, dict) else {}
    revision = int(meta.get("revision", 0)) if isinstance(meta, dict) else 0
    if status == 409:
        raise StoreConflict(revision)
    if status not in (200, 201):
        raise StoreUnavailable(f"status {status}")
    return revision
