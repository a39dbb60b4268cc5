"""A stand-in of the platform's store of objects, with its troubles."""

from __future__ import annotations

import asyncio
import json
from typing import Any, NamedTuple
from urllib.parse import unquote

from wasabimux.adapters.http_server import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    json_response,
)
from wasabimux.errors import ErrorCode, refused

OBJECTS_PATH = "/v1/objects/"
PAGE_ITEMS = 500


class _Change(NamedTuple):
    """A change in the store's history."""

    kind: str
    revision: int
    event: dict[str, Any]


class StandInStore:
    """Keeps objects in memory and serves them over HTTP; a context manager.

    Attributes:
        available: False to answer every call with 503.
        deaf: True to let watches hear nothing until their time is over.
        lose_writes: True to do writes and cut the connection without an answer.
        calls: Calls answered, by method and kind.
    """

    def __init__(self) -> None:
        self.available = True
        self.withhold_watch_events = False
        self.drop_write_responses = False
        self.calls: dict[tuple[str, str], int] = {}
        self.revision = 1
        self._objects_by_kind: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[_Change] = []
        self._forgotten = 0
        self._changed = asyncio.Condition()
        self._server = HttpServer(self._handle)

    async def __aenter__(self) -> StandInStore:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._server.close()

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Starts to listen; returns the address as `IP:PORT`."""
        bound = await self._server.listen(host, port)
        return f"{bound[0]}:{bound[1]}"

    async def put(self, kind: str, name: str, spec: Any) -> int:
        """Writes an object as its owner would; returns its revision."""
        return await self._write(kind, name, spec)

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object as its owner would."""
        found = self._objects_by_kind.get(kind, {}).pop(name, None)
        if found is not None:
            self.revision += 1
            await self._note(kind, found, deleted=True)

    def discard_history(self) -> None:
        """Drops the history, so that watches from before must list again."""
        self._forgotten = self.revision
        self._history.clear()

    def spec(self, kind: str, name: str) -> Any:
        """Returns what an object holds, None if there is none."""
        found = self._objects_by_kind.get(kind, {}).get(name)
        return None if found is None else found["spec"]

    async def _write(self, kind: str, name: str, spec: Any) -> int:
        self.revision += 1
        meta = {"name": name, "revision": self.revision, "finalizers": []}
        found = {"metadata": meta, "spec": spec, "status": None}
        self._objects_by_kind.setdefault(kind, {})[name] = found
        await self._note(kind, found, deleted=False)
        return self.revision

    async def _note(self, kind: str, found: dict[str, Any], deleted: bool) -> None:
        event = {"object": found, "deleted": deleted}
        self._history.append(_Change(kind, self.revision, event))
        async with self._changed:
            self._changed.notify_all()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        kind, _, name = request.path.removeprefix(OBJECTS_PATH).partition("/")
        kind, name = unquote(kind), unquote(name)
        key = (request.method, kind)
        self.calls[key] = self.calls.get(key, 0) + 1
        body = await request.body()
        if not self.available:
            return json_response(503, {})
        if request.method == "GET":
            return await self._read(kind, request.query)
        response = await self._change(request, kind, name, json.loads(body or b"{}"))
        if self.drop_write_responses:
            raise refused(ErrorCode.CANCELLED, "the answer is lost")
        return response

    async def _read(self, kind: str, query: dict[str, str]) -> HttpResponse:
        if "watch" in query:
            return await self._watch(kind, int(query["watch"]), int(query["waitMs"]))
        names = sorted(self._objects_by_kind.get(kind, {}))
        after = [name for name in names if name > query.get("after", "")]
        items = [self._objects_by_kind[kind][name] for name in after[:PAGE_ITEMS]]
        return json_response(
            200,
            {
                "items": items,
                "more": len(after) > PAGE_ITEMS,
                "storeRevision": self.revision,
            },
        )

    async def _watch(self, kind: str, since: int, wait_ms: int) -> HttpResponse:
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while self.withhold_watch_events or not self._events(kind, since):
                    if since < self._forgotten and not self.withhold_watch_events:
                        break
                    async with self._changed:
                        await self._changed.wait()
        except TimeoutError:
            pass
        if since < self._forgotten:
            return json_response(410, {})
        events = [] if self.withhold_watch_events else self._events(kind, since)
        revision = since if self.withhold_watch_events else self.revision
        return json_response(200, {"events": events, "storeRevision": revision})

    def _events(self, kind: str, since: int) -> list[dict[str, Any]]:
        return [
            change.event
            for change in self._history
            if change.kind == kind and change.revision > since
        ]

    async def _change(
        self, request: HttpRequest, kind: str, name: str, document: Any
    ) -> HttpResponse:
        objects = self._objects_by_kind.setdefault(kind, {})
        meta = document.get("metadata", {})
        name = name or meta["name"]
        found = objects.get(name)
        expected = meta.get("revision") or request.query.get("revision")
        if request.method == "POST" and found is not None:
            return json_response(409, found)
        if request.method != "POST" and found is None:
            return json_response(404, {})
        if found is not None and expected is not None:
            if int(expected) != found["metadata"]["revision"]:
                return json_response(409, found)
        if request.method == "DELETE":
            await self.remove(kind, name)
            return json_response(200, {"metadata": {"revision": self.revision}})
        await self._write(kind, name, document.get("spec"))
        return json_response(200, objects[name])
