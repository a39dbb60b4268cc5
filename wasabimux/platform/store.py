"""Client of the platform's object store."""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import math
import re
from collections.abc import AsyncIterator, Callable, Iterator, Sequence
from typing import Any, NamedTuple, TypeVar
from urllib.parse import quote, urlencode

from wasabimux._clock import loop_time
from wasabimux.adapters.http_client import MAX_WHOLE_BODY_BYTES, HttpClient
from wasabimux.adapters.memory_ledger import HeldBytes, LedgerLimits, MemoryLedger
from wasabimux.ids import NO_REVISION, StoreRevision
from wasabimux.json_depth import emptied_below
from wasabimux.json_documents import (
    MAX_DEPTH,
    DocumentError,
    decode_document,
)
from wasabimux.json_parts import elements, is_too_deep, members
from wasabimux.platform.objects import (
    date_removals,
    decode_changes,
    decode_objects,
    decode_revision_number,
)
from wasabimux.ports import (
    AnswerTooLarge,
    Headers,
    ResponseTooLarge,
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
from wasabimux.texts import MAX_LOGGED_LENGTH, shorten

#: Timeout of a response in s, in addition to the time for which the call itself waits.
RESPONSE_TIMEOUT_S = 1.0

#: Header of every response with the number of the store's history.
ERA_HEADER = b"store-era"
ERA = re.compile(rb"[0-9]{1,9}")

#: Most bytes of all answers that are read at the same time. A page of a listing has
#: some 1 MB, or one object.
MAX_ANSWERS_BYTES = 16 * 1024 * 1024

#: Most bytes of the changes that a watch returns. Beyond them a listing costs no more,
#: and comes in pages.
MAX_WATCH_BYTES = 4 * 1024 * 1024

#: Size in bytes from which on an answer that does not end in time is too large.
LARGE_ANSWER_BYTES = 256 * 1024

#: Bytes of an answer that are decoded before others get their turn.
MAX_TURN_BYTES = 256 * 1024

#: Members of answers that are read, and most bytes of one that is a number.
ANSWER_FIELDS = ("items", "events", "more", "storeRevision", "metadata")
MAX_SCALAR_BYTES = 64

JSON_HEADERS: Headers = [(b"content-type", b"application/json")]


T = TypeVar("T")

logger = logging.getLogger("wasabimux.platform")


class _Answer(NamedTuple):
    """Response of the store.

    Attributes:
        status: HTTP status.
        fields: Members of the body that are read, as JSON.
        era: Number of the store's history.
    """

    status: int
    fields: dict[str, bytes]
    era: int

    def scalar(self, name: str) -> Any:
        """Returns a number or truth value in the body; None if there is none."""
        return _decode_scalar(self.fields.get(name, b"null"))

    def elements(self, name: str) -> list[bytes]:
        """Returns the elements of a list in the body as JSON, none if it is missing.

        Raises:
            StoreUnavailable: There is something else in its place.
        """
        raw = self.fields.get(name, b"null")
        if raw == b"null":
            return []
        try:
            return elements(raw)
        except DocumentError as error:
            raise StoreUnavailable("a response without a list") from error


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
        self._ledger = MemoryLedger(LedgerLimits(MAX_ANSWERS_BYTES))

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
        objects: list[PlatformObject] = []
        revision = NO_REVISION
        async for page in self.pages(kind, allow_stale):
            objects.extend(page.objects)
            revision = page.revision
        return ListedObjects(objects, revision)

    async def pages(
        self, kind: str, allow_stale: bool = False
    ) -> AsyncIterator[ListedObjects]:
        """Lists all objects of a kind and yields them in pages, one per call.

        The revision of each page is that of the first one.

        Raises:
            StoreUnavailable: No valid response, or the store was restored meanwhile.
        """
        parameters = {"allowStale": "1"} if allow_stale else {}
        revision = NO_REVISION
        while True:
            query = f"?{urlencode(parameters)}" if parameters else ""
            answer = _check_response(await self._call("GET", _path(kind) + query))
            items = answer.elements("items")
            page = await _decode_in_turns(decode_objects, kind, items, answer.era)
            if revision == NO_REVISION:
                revision = _store_revision(answer)
            elif revision.era != answer.era:
                raise StoreUnavailable("restored while it was listed")
            is_last = not answer.scalar("more") or not items
            after = page[-1].name if page else None
            yield ListedObjects(page, revision)
            if is_last:
                return
            if after is None or after == parameters.get("after"):
                raise StoreUnavailable("a page has no name to go on from")
            parameters["after"] = after

    async def watch(
        self, kind: str, after: StoreRevision, wait_s: float
    ) -> ObjectChanges:
        """Waits for changes after a revision, at most `wait_s`.

        Raises:
            HistoryLost: The store has no such history, or no longer.
            AnswerTooLarge: There are too many changes for one answer.
        """
        if after.era < self.era:
            raise HistoryLost(kind)
        query = urlencode({"watch": after.number, "waitMs": int(wait_s * 1000)})
        answer = await self._call(
            "GET", f"{_path(kind)}?{query}", wait_s, max_bytes=MAX_WATCH_BYTES
        )
        if answer.status == 410 or answer.era != after.era:
            raise HistoryLost(kind)
        _check_response(answer)
        events = answer.elements("events")
        changes = await _decode_in_turns(decode_changes, kind, events, answer.era)
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
        self,
        method: str,
        target: str,
        wait_s: float = 0.0,
        document: Any = None,
        max_bytes: int = MAX_WHOLE_BODY_BYTES,
    ) -> _Answer:
        """Calls the store and returns its response.

        Args:
            method: HTTP method.
            target: HTTP target.
            wait_s: Time for which the store may wait before it responds, in s.
            document: JSON value to send, None for no body.
            max_bytes: Most bytes of the response's body.

        Raises:
            StoreUnavailable: The store sent no response, or one that is malformed or
                from before a restore.
            AnswerTooLarge: The body is too large, for its bound, for the memory or for
                the time.
        """
        body = b"" if document is None else json.dumps(document).encode()
        headers = [] if document is None else JSON_HEADERS
        with HeldBytes(self._ledger) as held:
            try:
                async with asyncio.timeout(wait_s + RESPONSE_TIMEOUT_S):
                    response = await self._http.request(
                        method, target, headers, body, idempotent=method == "GET"
                    )
                    async with response:
                        content = await response.body(held.add, max_bytes)
            except (UpstreamLost, TimeoutError) as error:
                raise self._on_lost(method, error, held.size) from error
            fields = _decode_fields(await _within_depth(content))
            del content
            await asyncio.sleep(0)  # what follows may take as long
        self.answered_s = loop_time()
        self.on_call(method, f"status_{response.status}")
        era = _read_era(response.headers, self.era)
        if era < self.era:
            raise StoreUnavailable(f"{method}: response from before a restore")
        self.era = era
        return _Answer(response.status, fields, era)

    def _on_lost(
        self, method: str, error: UpstreamLost | TimeoutError, size: int
    ) -> StoreUnavailable:
        """Returns the error of a call without a whole response.

        Args:
            method: HTTP method.
            error: What ended the response.
            size: Bytes that had been received of its body.
        """
        is_slow = isinstance(error, TimeoutError) and size >= LARGE_ANSWER_BYTES
        if is_slow or isinstance(error, ResponseTooLarge):
            self.answered_s = loop_time()
            self.on_call(method, "too_large")
            return AnswerTooLarge(f"{method}: {error or 'not whole in time'}")
        self._http.close()  # its other connections may be as silent
        self.on_call(method, "lost")
        return _call_error(method, error)


async def _decode_in_turns(
    decode: Callable[[str, Sequence[bytes], int], list[T]],
    kind: str,
    parts: Sequence[bytes],
    era: int,
) -> list[T]:
    """Decodes the elements of an answer, and gives others their turn in between.

    Args:
        decode: Decodes some elements; its arguments are the following ones.
        kind: Kind of the objects.
        parts: Elements as JSON.
        era: Era of the store.
    """
    decoded: list[T] = []
    for batch in _batches(parts):
        await asyncio.sleep(0)
        decoded += decode(kind, batch, era)
    return decoded


def _batches(parts: Sequence[bytes]) -> Iterator[Sequence[bytes]]:
    """Yields the parts in batches of at most MAX_TURN_BYTES, or of one part."""
    start = size = 0
    for index, part in enumerate(parts):
        size += len(part)
        if size > MAX_TURN_BYTES and index > start:
            yield parts[start:index]
            start, size = index, len(part)
    if parts:
        yield parts[start:]


def _path(kind: str, name: str | None = None) -> str:
    path = f"/v1/objects/{quote(kind, safe='')}"
    return path if name is None else f"{path}/{quote(name, safe='')}"


def _call_error(method: str, error: UpstreamLost | TimeoutError) -> StoreUnavailable:
    """Returns the error of a call without a response."""
    message = f"{method}: {error or 'no response'}"
    if isinstance(error, UpstreamLost) and not error.sent:
        return StoreUnavailable(message)
    return StoreChannelLost(message)


async def _within_depth(body: bytes) -> bytes:
    """Empties what nests too deeply in an answer, and gives others turns meanwhile.

    Documents lie some levels deep in an answer, so they are within the bound as well.
    """
    if not is_too_deep(body):
        return body
    kept = []
    for part in emptied_below(MAX_DEPTH, body):
        kept.append(part)
        await asyncio.sleep(0)
    return b"".join(kept)


def _decode_fields(body: bytes) -> dict[str, bytes]:
    """Returns the members of a body that are read, none if it is no JSON object."""
    if not body:
        return {}
    try:
        return members(body, *ANSWER_FIELDS)
    except DocumentError as error:
        text = shorten(str(error), MAX_LOGGED_LENGTH)
        logger.warning("event=store_response_unreadable error=%r", text)
        return {}


def _decode_scalar(raw: bytes) -> Any:
    """Decodes a number or truth value; returns None for anything else."""
    if len(raw) > MAX_SCALAR_BYTES:
        return None
    try:
        return decode_document(raw)
    except DocumentError:
        return None


def _read_era(headers: Headers, known_era: int) -> int:
    """Returns the era in a response; the known one if the response has none."""
    text = next((value for name, value in headers if name == ERA_HEADER), None)
    if text is None:
        return known_era
    if not ERA.fullmatch(text):
        logger.warning("event=era_unreadable value=%r", text[:32])
        return known_era
    return int(text)


def _check_response(answer: _Answer) -> _Answer:
    """Returns the answer to a successful read, raises StoreUnavailable otherwise."""
    revision = decode_revision_number(answer.scalar("storeRevision"))
    if answer.status != 200 or revision is None:
        raise StoreUnavailable(f"status {answer.status}")
    return answer


def _store_revision(answer: _Answer) -> StoreRevision:
    """Returns the revision of the store in a response that was checked."""
    return StoreRevision(answer.era, answer.scalar("storeRevision"))


def _decode_revision(answer: _Answer) -> StoreRevision:
    """Returns the object's revision after a write, number 0 if the response has none.

    Raises:
        StoreConflict: The object has another revision or exists already.
        StoreUnavailable: The status is not that of a successful write.
    """
    metadata = answer.fields.get("metadata", b"null")
    number = 0
    with contextlib.suppress(DocumentError):
        found = members(metadata, "revision").get("revision", b"null")
        number = decode_revision_number(_decode_scalar(found)) or 0
    if answer.status == 409:
        raise StoreConflict(number)
    if answer.status not in (200, 201):
        raise StoreUnavailable(f"status {answer.status}")
    return StoreRevision(answer.era, number)
