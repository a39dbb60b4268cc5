"""Decodes objects, events and revisions in responses of the platform's store.

Objects may come from other writers. One that cannot be read hides no other.
"""

from __future__ import annotations

import logging
from collections.abc import Iterator, Sequence
from typing import Any

from wasabimux.ids import StoreRevision
from wasabimux.json_documents import is_within_bounds
from wasabimux.ports import StoreUnavailable
from wasabimux.relay.ports import ObjectChange, PlatformObject

#: Highest number of a revision, which JSON of all languages can hold.
MAX_REVISION_NUMBER = 2**53

logger = logging.getLogger("wasabimux.platform")


def decode_revision_number(value: Any) -> int | None:
    """Returns the number of a revision, None if the value is no such number."""
    if type(value) is int and 0 <= value <= MAX_REVISION_NUMBER:
        return value
    return None


def decode_objects(
    items: Any, era: int, with_status: bool = False
) -> Iterator[PlatformObject]:
    """Yields the objects in a list, except items without a name and a revision.

    Args:
        items: Items of a decoded list, each of which may be any value.
        era: Era of the store.
        with_status: True for values with the `spec` and `status` of an object.

    Raises:
        StoreUnavailable: The items are no list.
    """
    for item in _check_list(items):
        platform_object = _decode_object(item, era, with_status)
        if platform_object is not None:
            yield platform_object


def decode_changes(
    events: Any, era: int, with_status: bool = False
) -> Iterator[ObjectChange]:
    """Yields the changes in the events of a watch, except those without an object.

    Args:
        events: Decoded events, each of which may be any value.
        era: Era of the store.
        with_status: As for decode_objects.

    Raises:
        StoreUnavailable: The events are no list.
    """
    for event in _check_list(events):
        item = event.get("object") if isinstance(event, dict) else event
        platform_object = _decode_object(item, era, with_status)
        if platform_object is not None:
            yield ObjectChange(platform_object, bool(event.get("deleted")))


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


def _check_list(value: Any) -> list[Any]:
    if not isinstance(value, list):
        raise StoreUnavailable("a response without a list")
    return value


def _decode_object(item: Any, era: int, with_status: bool) -> PlatformObject | None:
    """Returns an object; None if the item has no name or no revision.

    An object without a value, or with one out of bounds, has None as its value, which
    no reader accepts.
    """
    metadata = item.get("metadata") if isinstance(item, dict) else None
    fields = metadata if isinstance(metadata, dict) else {}
    name, number = fields.get("name"), decode_revision_number(fields.get("revision"))
    if not isinstance(name, str) or not name or not is_within_bounds(name):
        logger.warning("event=object_unreadable reason=name")
        return None
    if number is None:
        logger.warning("event=object_unreadable reason=revision name=%a", name)
        return None
    value = item.get("spec")
    if with_status:
        value = {"spec": value, "status": item.get("status")}
    if not is_within_bounds(value):
        logger.warning("event=object_unreadable reason=value name=%a", name)
        value = None
    return PlatformObject(name, StoreRevision(era, number), value)
