"""Stand-in for the platform's object store, with fault injection."""

from __future__ import annotations

import asyncio
import copy
import json
from collections.abc import Iterator
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

#: Most objects of a page, and its size in bytes unless it has one object.
MAX_PAGE_ITEMS = 500
MAX_PAGE_BYTES = 1_000_000


class _Change(NamedTuple):
    """A change in the store's history.

    Attributes:
        kind: Kind of the object.
        revision: Revision of the store after the change.
        event: The change as watches return it.
    """

    kind: str
    revision: int
    event: dict[str, Any]


class StoreCopy(NamedTuple):
    """Copy of all objects of a store at a revision."""

    revision: int
    objects_by_kind: dict[str, dict[str, dict[str, Any]]]


class StandInStore:
    """Keeps objects in memory and serves them over HTTP; a context manager.

    Attributes:
        available: False to respond to every call with 503.
        refused_kinds: Kinds to whose calls the store responds with 503.
        withhold_watch_events: True to return no events to watches, which then wait
            until their timeout.
        drop_write_responses: True to execute writes and cut the connection without a
            response.
        raw_by_placeholder: Bytes that stand in responses in place of a string, for
            values that no JSON library writes.
        call_counts: Number of calls received, by method and kind.
        revision: Revision of the last change.
        era: Number of the history; it rises with each restore from a copy.
    """

    def __init__(self) -> None:
        self.available = True
        self.refused_kinds: set[str] = set()
        self.withhold_watch_events = False
        self.drop_write_responses = False
        self.raw_by_placeholder: dict[str, bytes] = {}
        self.call_counts: dict[tuple[str, str], int] = {}
        self.revision = 1
        self.era = 1
        self._objects_by_kind: dict[str, dict[str, dict[str, Any]]] = {}
        self._history: list[_Change] = []
        self._discarded_revision = 0
        self._changed = asyncio.Condition()
        self._server = HttpServer(self._handle)

    async def __aenter__(self) -> StandInStore:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._server.close()

    async def listen(self, host: str = "127.0.0.1", port: int = 0) -> str:
        """Starts to listen and returns the address, as `IP:PORT`."""
        bound_address = await self._server.listen(host, port)
        return f"{bound_address[0]}:{bound_address[1]}"

    async def put(self, kind: str, name: str, spec: Any) -> int:
        """Writes an object unconditionally and returns its revision."""
        return await self._write(kind, name, spec)

    async def remove(self, kind: str, name: str) -> None:
        """Removes an object unconditionally, if it exists."""
        stored = self._objects_by_kind.get(kind, {}).pop(name, None)
        if stored is not None:
            self.revision += 1
            await self._record_change(kind, stored, deleted=True)

    def discard_history(self) -> None:
        """Discards the history, so that watches from earlier revisions get 410."""
        self._discarded_revision = self.revision
        self._history.clear()

    def copy(self) -> StoreCopy:
        """Returns a copy of all objects, from which the store can be restored."""
        return StoreCopy(self.revision, copy.deepcopy(self._objects_by_kind))

    async def restore(self, saved: StoreCopy) -> None:
        """Restores a copy: later writes are lost and their revisions given out again.

        Watches that wait get 410, as do those from revisions that are lost.
        """
        self.era += 1
        self.revision = saved.revision
        self._objects_by_kind = copy.deepcopy(saved.objects_by_kind)
        self._history.clear()
        self._discarded_revision = saved.revision
        async with self._changed:
            self._changed.notify_all()

    def names(self, kind: str) -> list[str]:
        """Returns the names of all objects of a kind."""
        return list(self._objects_by_kind.get(kind, {}))

    def spec(self, kind: str, name: str) -> Any:
        """Returns the spec of an object, None if the object does not exist."""
        stored = self._objects_by_kind.get(kind, {}).get(name)
        return None if stored is None else stored["spec"]

    def status(self, kind: str, name: str) -> Any:
        """Returns the status of an object, None without an object or a status."""
        stored = self._objects_by_kind.get(kind, {}).get(name)
        return None if stored is None else stored["status"]

    async def _write(self, kind: str, name: str, spec: Any, status: Any = None) -> int:
        self.revision += 1
        metadata = {"name": name, "revision": self.revision, "finalizers": []}
        stored = {"metadata": metadata, "spec": spec, "status": status}
        self._objects_by_kind.setdefault(kind, {})[name] = stored
        await self._record_change(kind, stored, deleted=False)
        return self.revision

    async def _record_change(
        self, kind: str, stored: dict[str, Any], deleted: bool
    ) -> None:
        event = {"object": stored, "deleted": deleted}
        self._history.append(_Change(kind, self.revision, event))
        async with self._changed:
            self._changed.notify_all()

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        response = await self._respond(request)
        for placeholder, raw in self.raw_by_placeholder.items():
            assert isinstance(response.body, bytes)
            response.body = response.body.replace(f'"{placeholder}"'.encode(), raw)
        response.headers.append((b"store-era", str(self.era).encode()))
        return response

    async def _respond(self, request: HttpRequest) -> HttpResponse:
        kind, _, name = request.path.removeprefix(OBJECTS_PATH).partition("/")
        kind, name = unquote(kind), unquote(name)
        key = (request.method, kind)
        self.call_counts[key] = self.call_counts.get(key, 0) + 1
        body = await request.body()
        if not self.available or kind in self.refused_kinds:
            return json_response(503, {})
        if request.method == "GET":
            return await self._handle_read(kind, request.query)
        response = await self._handle_write(
            request, kind, name, json.loads(body or b"{}")
        )
        if self.drop_write_responses:
            raise refused(ErrorCode.CANCELLED, "the response is dropped")
        return response

    async def _handle_read(self, kind: str, query: dict[str, str]) -> HttpResponse:
        if "watch" in query:
            return await self._handle_watch(
                kind, int(query["watch"]), int(query["waitMs"])
            )
        objects = self._objects_by_kind.get(kind, {})
        names = sorted(name for name in objects if name > query.get("after", ""))
        items = list(_page([objects[name] for name in names]))
        return json_response(
            200,
            {
                "items": items,
                "more": len(items) < len(names),
                "storeRevision": self.revision,
            },
        )

    async def _handle_watch(
        self, kind: str, after_revision: int, wait_ms: int
    ) -> HttpResponse:
        era = self.era
        try:
            async with asyncio.timeout(wait_ms / 1000):
                while self.withhold_watch_events or not self._events_after(
                    kind, after_revision
                ):
                    is_lost = (
                        after_revision < self._discarded_revision or self.era != era
                    )
                    if is_lost and not self.withhold_watch_events:
                        break
                    async with self._changed:
                        await self._changed.wait()
        except TimeoutError:
            pass
        if after_revision < self._discarded_revision or after_revision > self.revision:
            return json_response(410, {})
        events = (
            []
            if self.withhold_watch_events
            else self._events_after(kind, after_revision)
        )
        revision = after_revision if self.withhold_watch_events else self.revision
        return json_response(200, {"events": events, "storeRevision": revision})

    def _events_after(self, kind: str, after_revision: int) -> list[dict[str, Any]]:
        return [
            change.event
            for change in self._history
            if change.kind == kind and change.revision > after_revision
        ]

    async def _handle_write(
        self, request: HttpRequest, kind: str, name: str, document: Any
    ) -> HttpResponse:
        objects = self._objects_by_kind.setdefault(kind, {})
        metadata = document.get("metadata", {})
        name, _, part = (name or metadata["name"]).partition("/")
        stored = objects.get(name)
        expected_revision = metadata.get("revision") or request.query.get("revision")
        if request.method == "POST" and stored is not None:
            return json_response(409, stored)
        if request.method != "POST" and stored is None:
            return json_response(404, {})
        if stored is not None and expected_revision is not None:
            if int(expected_revision) != stored["metadata"]["revision"]:
                return json_response(409, stored)
        if request.method == "DELETE":
            await self.remove(kind, name)
            return json_response(200, {"metadata": {"revision": self.revision}})
        spec, status = document.get("spec"), None
        if stored is not None:
            status = stored["status"]
        if part == "status" and stored is not None:
            spec, status = stored["spec"], document.get("status")
        await self._write(kind, name, spec, status)
        return json_response(200, objects[name])


def _page(objects: list[dict[str, Any]]) -> Iterator[dict[str, Any]]:
    """Yields the first objects that fit a page; one always does."""
    size = 0
    for number, stored in enumerate(objects[:MAX_PAGE_ITEMS]):
        size += len(json.dumps(stored))
        if number and size > MAX_PAGE_BYTES:
            return
        yield stored
