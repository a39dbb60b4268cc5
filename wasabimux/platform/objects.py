"""Decodes objects, events and revisions in responses of the platform's store.

Objects may come from other writers. One that cannot be read hides no other.
"""

from __future__ import annotations

import logging
from collections.abc import Iterable, Sequence
from typing import Any

from wasabimux.ids import StoreRevision
from wasabimux.json_documents import DocumentError, decode_document
from wasabimux.json_parts import members
from wasabimux.platform.documents import read_document
from wasabimux.relay.ports import ObjectChange, PlatformObject
from wasabimux.texts import MAX_LOGGED_LENGTH, shorten

#: Highest number of a revision, which JSON of all languages can hold.
MAX_REVISION_NUMBER = 2**53

#: Longest name of an object that relays use or write.
MAX_NAME_LENGTH = 512

#: Most bytes of an object's metadata.
MAX_METADATA_BYTES = 16_384

logger = logging.getLogger("wasabimux.platform")


def decode_revision_number(value: Any) -> int | None:
    """Returns the number of a revision, None if the value is no such number."""
    if type(value) is int and 0 <= value <= MAX_REVISION_NUMBER:
        return value
    return None


class _Unreadable:
    """Objects of one answer that cannot be read, for a single log line.

    Args:
        kind: Kind of the objects.
    """

    def __init__(self, kind: str) -> None:
        self._kind = kind
        self._count = 0
        self._first = ("", "")

    def add(self, name: str, reason: str) -> None:
        """Counts an object.

        Args:
            name: Name of the object, empty if it has none.
            reason: Why it cannot be read.
        """
        if not self._count:
            self._first = (
                shorten(name, MAX_LOGGED_LENGTH),
                shorten(reason, MAX_LOGGED_LENGTH),
            )
        self._count += 1

    def log(self) -> None:
        """Logs how many there are, and the first of them."""
        if self._count:
            logger.warning(
                "event=object_unreadable kind=%s count=%d name=%a reason=%a",
                self._kind,
                self._count,
                *self._first,
            )


def decode_objects(kind: str, items: Iterable[bytes], era: int) -> list[PlatformObject]:
    """Returns the objects in a list, except items without a name and a revision.

    Args:
        kind: Kind of the objects.
        items: Items as JSON, each of which may be anything.
        era: Era of the store.
    """
    unreadable = _Unreadable(kind)
    decoded = (_decode_object(kind, item, era, unreadable) for item in items)
    objects = [item for item in decoded if item is not None]
    unreadable.log()
    return objects


def decode_changes(kind: str, events: Iterable[bytes], era: int) -> list[ObjectChange]:
    """Returns the changes in the events of a watch, except those without an object.

    Args:
        kind: Kind of the objects.
        events: Events as JSON, each of which may be anything.
        era: Era of the store.
    """
    unreadable = _Unreadable(kind)
    changes = []
    for event in events:
        fields = _members_of(event, "object", "deleted")
        item = _decode_object(kind, fields.get("object", b""), era, unreadable)
        if item is not None:
            deleted = fields.get("deleted", b"false").strip() == b"true"
            changes.append(ObjectChange(item, deleted))
    unreadable.log()
    return changes


def date_removals(
    changes: Sequence[ObjectChange], revision: StoreRevision
) -> list[ObjectChange]:
    """Returns changes in which the revision of a removed object is that of its removal.

    The store names the last change of the object before. The removal is dated as late
    as it may have been, but before any later change in the same answer, among which the
    object may have been created again.

    Args:
        changes: Changes in the order of the store.
        revision: Revision up to which they are complete.
    """
    dated: list[ObjectChange] = []
    latest = revision
    for item, deleted in reversed(changes):
        if deleted:
            item = item._replace(revision=max(item.revision, latest))
        else:
            latest = min(
                latest, item.revision._replace(number=item.revision.number - 1)
            )
        dated.append(ObjectChange(item, deleted))
    return dated[::-1]


def _members_of(item: bytes, *names: str) -> dict[str, bytes]:
    """Returns members of an object as JSON, none if it is no object."""
    try:
        return members(item, *names)
    except DocumentError:
        return {}


def _decode_object(
    kind: str, item: bytes, era: int, unreadable: _Unreadable
) -> PlatformObject | None:
    """Returns an object; None if the item has no name or no revision.

    An object without a value, or with one that cannot be read, has None as its value,
    which no reader accepts.
    """
    parts = _members_of(item, "metadata", "spec", "status")
    metadata = _decode_metadata(parts.pop("metadata", b""))
    name = metadata.get("name")
    number = decode_revision_number(metadata.get("revision"))
    if not isinstance(name, str) or not 0 < len(name) <= MAX_NAME_LENGTH:
        unreadable.add("", "name")
        return None
    if number is None:
        unreadable.add(name, "revision")
        return None
    value = None
    try:
        value = read_document(kind, name, parts)
    except DocumentError as error:
        unreadable.add(name, str(error))
    return PlatformObject(name, StoreRevision(era, number), value)


def _decode_metadata(metadata: bytes) -> dict[str, Any]:
    """Returns an object's metadata, nothing if it cannot be read."""
    if len(metadata) > MAX_METADATA_BYTES:
        return {}
    try:
        value = decode_document(metadata)
    except DocumentError:
        return {}
    return value if isinstance(value, dict) else {}
