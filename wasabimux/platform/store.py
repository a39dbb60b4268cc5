"""Client of the platform's object store."""

from __future__ import annotations

import asyncio
import json
import logging
import math
import re
from collections.abc import Callable
from typing import Any, NamedTuple
from urllib.parse import quote, urlencode

from wasabimux._clock import loop_time
from wasabimux.adapters.http_client import HttpClient
from wasabimux.ids import NO_REVISION, StoreRevision
from wasabimux.json_documents import DocumentError, decode_collection
from wasabimux.platform.documents import ROLLOUT_KIND
from wasabimux.platform.objects import (
    date_removals,
    decode_changes,
    decode_objects,
    decode_revision_number,
)
from wasabimux.ports import (
    Headers,
    StoreChannelLost,
    StoreConflict,
    StoreUnavailable,
    UpstreamLost,
)
from wasabimux.relay.ports import (
    HistoryLost,
    ListedObjects,
    ObjectChanges,
    PlatformObject,
)

#: Timeout of a response in s, in addition to the time for which the call itself waits.
RESPONSE_TIMEOUT_S = 1.0

#: Header of every response with the number of the store's history.
ERA_HEADER = b"store-era"
ERA = re.compile(rb"[0-9]{1,9}")

#: Kinds whose objects are read with the status that this system writes.
KINDS_WITH_STATUS = frozenset({ROLLOUT_KIND})

JSON_HEADERS: Headers = [(b"content-type", b"application/json")]


logger = logging.getLogger("wasabimux.platform")


class _Answer(NamedTuple):
    """Response of the store.

    Attributes:
        status: HTTP status.
        content: Decoded body.
        era: Number of the store's history.
    """

    status: int
    content: Any
    era: int


class PlatformStoreClient:
    """Calls the platform's store over HTTP; implements `ObjectStore`.

    A context manager that closes its connections. Responses from before a restore of
    the store, which may have been under way, are dropped.

    Args:
        host: IP address of the store.
        port: Port of the store.
    """

    def __init__(self, host: str, port: int) -> None:
        self.on_call: Callable[[str, str], None] = lambda method, outcome: None
        self.era = 0
        self.answered_s = -math.inf
        self._http = HttpClient(host, port)

    async def __aenter__(self) -> PlatformStoreClient:
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._http.close()

    async def list(self, kind: str, allow_stale: bool = False) -> ListedObjects:
        """Lists all objects of a kind, one page per call.

        The returned revision is that of the first page.

        Raises:
            StoreUnavailable: No valid response, or the store was restored meanwhile.
        """
        parameters = {"allowStale": "1"} if allow_stale else {}
        objects: list[PlatformObject] = []
        first_revision = NO_REVISION
        while True:
            query = f"?{urlencode(parameters)}" if parameters else ""
            answer = await self._call("GET", _path(kind) + query)
            response = _check_response(answer)
            items = response.get("items") or []
            with_status = kind in KINDS_WITH_STATUS
            page = list(decode_objects(items, answer.era, with_status))
            objects.extend(page)
            if first_revision == NO_REVISION:
                first_revision = _store_revision(answer)
            elif first_revision.era != answer.era:
                raise StoreUnavailable("restored while it was listed")
            if not response.get("more") or not items:
                return ListedObjects(objects, first_revision)
            if not page or page[-1].name == parameters.get("after"):
                raise StoreUnavailable("a page has no name to go on from")
            parameters["after"] = page[-1].name

    async def watch(
        self, kind: str, after: StoreRevision, wait_s: float
    ) -> ObjectChanges:
        """Waits for changes after a revision, at most `wait_s`.

        Raises:
            HistoryLost: The store has no such history, or no longer.
        """
        if after.era < self.era:
            raise HistoryLost(kind)
        query = urlencode({"watch": after.number, "waitMs": int(wait_s * 1000)})
        answer = await self._call("GET", f"{_path(kind)}?{query}", wait_s)
        if answer.status == 410 or answer.era != after.era:
            raise HistoryLost(kind)
        response = _check_response(answer)
        events, with_status = response.get("events") or [], kind in KINDS_WITH_STATUS
        changes = list(decode_changes(events, answer.era, with_status))
        revision = _store_revision(answer)
        return ObjectChanges(date_removals(changes, revision), revision)

    async def create(self, kind: str, name: str, value: Any) -> StoreRevision:
        """Creates an object and returns its revision."""
        document = {"metadata": {"name": name}, "spec": value}
        return _decode_revision(await self._call("POST", _path(kind), 0.0, document))

    async def replace(
        self, kind: str, name: str, value: Any, revision: StoreRevision
    ) -> StoreRevision:
        """Replaces an object if it has the given revision; returns the new revision.

        Raises:
            StoreConflict: It has another revision, or the store was restored. The same
                number may then stand for another write, which may have been replaced.
        """
        self._check_era(revision)
        metadata = {"name": name, "revision": revision.number}
        document = {"metadata": metadata, "spec": value}
        answer = await self._call("PUT", _path(kind, name), 0.0, document)
        self._check_era(revision)
        return _decode_revision(answer)

    async def write_status(
        self, kind: str, name: str, status: Any, revision: StoreRevision
    ) -> StoreRevision:
        """Replaces the status of an object if it has the given revision.

        Raises:
            StoreConflict: It has another revision, or the store was restored.
        """
        self._check_era(revision)
        metadata = {"name": name, "revision": revision.number}
        document = {"metadata": metadata, "status": status}
        target = f"{_path(kind, name)}/status"
        answer = await self._call("PUT", target, 0.0, document)
        self._check_era(revision)
        return _decode_revision(answer)

    async def delete(self, kind: str, name: str, revision: StoreRevision) -> None:
        """Deletes an object if it exists and has the given revision."""
        self._check_era(revision)
        path = f"{_path(kind, name)}?{urlencode({'revision': revision.number})}"
        answer = await self._call("DELETE", path)
        if answer.status != 404:
            _decode_revision(answer)

    def _check_era(self, revision: StoreRevision) -> None:
        if revision.era < self.era:
            raise StoreConflict(0)

    async def _call(
        self, method: str, target: str, wait_s: float = 0.0, document: Any = None
    ) -> _Answer:
        """Calls the store and returns its response.

        Args:
            method: HTTP method.
            target: HTTP target.
            wait_s: Time for which the store may wait before it responds, in s.
            document: JSON value to send, None for no body.

        Raises:
            StoreUnavailable: The store sent no response, or one that is malformed or
                from before a restore.
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
            self._http.close()  # its other connections may be as silent
            self.on_call(method, "lost")
            raise _call_error(method, error) from error
        self.answered_s = loop_time()
        self.on_call(method, f"status_{response.status}")
        era = _read_era(response.headers, self.era)
        if era < self.era:
            raise StoreUnavailable(f"{method}: response from before a restore")
        self.era = era
        return _Answer(response.status, _decode_json(body_bytes), era)


def _path(kind: str, name: str | None = None) -> str:
    path = f"/v1/objects/{quote(kind, safe='')}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _call_error(method: str, error: UpstreamLost | TimeoutError) -> StoreUnavailable:
    """Returns the error of a call without a response."""
    message = f"{method}: {error or 'no response'}"
    if isinstance(error, UpstreamLost) and not error.sent:
        return StoreUnavailable(message)
    return StoreChannelLost(message)


def _decode_json(body: bytes) -> Any:
    """Decodes a JSON body; returns an empty object if the body is not JSON."""
    if not body:
        return {}
    try:
        return decode_collection(body)
    except DocumentError as error:
        logger.warning("event=store_response_unreadable error=%r", error)
        return {}


def _read_era(headers: Headers, known_era: int) -> int:
    """Returns the era in a response; the known one if the response has none."""
    text = next((value for name, value in headers if name == ERA_HEADER), None)
    if text is None:
        return known_era
    if not ERA.fullmatch(text):
        logger.warning("event=era_unreadable value=%r", text[:32])
        return known_era
    return int(text)


def _check_response(answer: _Answer) -> dict[str, Any]:
    """Returns the content of a successful read, raises StoreUnavailable otherwise."""
    content = answer.content
    if (
        answer.status != 200
        or not isinstance(content, dict)
        or decode_revision_number(content.get("storeRevision")) is None
    ):
        raise StoreUnavailable(f"status {answer.status}")
    return content


def _store_revision(answer: _Answer) -> StoreRevision:
    """Returns the revision of the store in a response that was checked."""
    return StoreRevision(answer.era, answer.content["storeRevision"])


def _decode_revision(answer: _Answer) -> StoreRevision:
    """Returns the object's revision after a write, number 0 if the response has none.

    Raises:
        StoreConflict: The object has another revision or exists already.
        StoreUnavailable: The status is not that of a successful write.
    """
    status, content, era = answer
    metadata = content.get("metadata") if isinstance(content, dict) else None
    found = metadata.get("revision") if isinstance(metadata, dict) else None
    number = decode_revision_number(found) or 0
    if status == 409:
        raise StoreConflict(number)
    if status not in (200, 201):
        raise StoreUnavailable(f"status {status}")
    return StoreRevision(era, number)
