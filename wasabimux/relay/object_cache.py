"""Newest known states of the platform's objects, within a bound on their memory.

Any writer may put objects into the store, as many as it likes. Of an object that is
not used just the name and the revision are kept, and the oldest of these are forgotten
first. Over the bound, objects that are new are left out; those known before, their
changes and their removals hold.
"""

from __future__ import annotations

from typing import Any, NamedTuple

from wasabimux.ids import NO_REVISION, StoreRevision

#: Bytes that an object in use takes with all that a relay keeps of it, and bytes that
#: one takes of which the name and the revision are kept; without the name.
OBJECT_BYTES = 3_000
UNUSED_OBJECT_BYTES = 400

#: Bound in bytes where the memory of the machine is not known, and for small machines;
#: large machines use a fraction of their memory.
MIN_BOUND_BYTES = 20_000_000
MEMORY_FRACTION = 0.1
BYTES_PER_MB = 1_000_000

#: Fraction of the bound that objects which are not used may take.
UNUSED_FRACTION = 0.1


class CachedObject(NamedTuple):
    """The newest known state of an object in the platform's store.

    Attributes:
        revision: Revision of the object's last change, or of its deletion.
        deleted: True if the object was deleted.
        value: The object's document, None if it is not used.
        left_out: True if it could be used, but there was no room for it.
    """

    revision: StoreRevision
    deleted: bool
    value: Any
    left_out: bool = False


def cache_bound(memory_mb: float | None) -> int:
    """Returns the bound in bytes on cached objects.

    Args:
        memory_mb: Memory of the machine in MB, None if unknown.
    """
    fraction = MEMORY_FRACTION * (memory_mb or 0.0) * BYTES_PER_MB
    return max(MIN_BOUND_BYTES, int(fraction))


class ObjectCache:
    """Objects of all kinds by their names.

    Attributes:
        bound_bytes: Most bytes that they take.
        used_bytes: Bytes that objects in use take.
        unused_bytes: Bytes that the others take.
        forgotten_by_kind: Revision of the last object that was forgotten.
    """

    def __init__(self) -> None:
        self.bound_bytes = MIN_BOUND_BYTES
        self.used_bytes = 0
        self.unused_bytes = 0
        self.forgotten_by_kind: dict[str, StoreRevision] = {}
        self._by_kind: dict[str, dict[str, CachedObject]] = {}
        self._left_out: set[tuple[str, str]] = set()
        self._unused: dict[tuple[str, str], None] = {}  # the oldest comes first

    @property
    def left_out_count(self) -> int:
        """Number of known objects that were left out."""
        return len(self._left_out)

    def of_kind(self, kind: str) -> dict[str, CachedObject]:
        """Returns the objects of a kind by name, deleted ones included."""
        return self._by_kind.setdefault(kind, {})

    def has_room(self, kind: str, name: str) -> bool:
        """Returns whether an object may be used; one in use always may."""
        cached = self.of_kind(kind).get(name)
        if cached is not None and cached.value is not None:
            return True
        most_bytes = (1.0 - UNUSED_FRACTION) * self.bound_bytes
        return self.used_bytes + OBJECT_BYTES + len(name) <= most_bytes

    def has_left_out(self, kind: str) -> bool:
        """Returns whether objects of a kind were left out."""
        return any(item_kind == kind for item_kind, _ in self._left_out)

    def put(self, kind: str, name: str, latest: CachedObject) -> None:
        """Keeps the newest state of an object; forgets others that are not used."""
        self._remove(kind, name)
        self.of_kind(kind)[name] = latest
        if latest.value is not None:
            self.used_bytes += OBJECT_BYTES + len(name)
            return
        self.unused_bytes += UNUSED_OBJECT_BYTES + len(name)
        self._unused[kind, name] = None
        if latest.left_out:
            self._left_out.add((kind, name))
        while self.unused_bytes > UNUSED_FRACTION * self.bound_bytes:
            self._forget_oldest()

    def is_forgotten(
        self, kind: str, revision: StoreRevision, answer_revision: StoreRevision
    ) -> bool:
        """Returns whether an unknown object may be one that was removed since.

        Args:
            kind: Kind of the object.
            revision: Revision of the object.
            answer_revision: Revision up to which the news with it are complete.
        """
        forgotten = self.forgotten_by_kind.get(kind, NO_REVISION)
        return answer_revision < forgotten and revision <= forgotten

    def _remove(self, kind: str, name: str) -> CachedObject | None:
        cached = self.of_kind(kind).pop(name, None)
        if cached is None:
            return None
        if cached.value is not None:
            self.used_bytes -= OBJECT_BYTES + len(name)
        else:
            self.unused_bytes -= UNUSED_OBJECT_BYTES + len(name)
            del self._unused[kind, name]
            self._left_out.discard((kind, name))
        return cached

    def _forget_oldest(self) -> None:
        kind, name = next(iter(self._unused))
        cached = self._remove(kind, name)
        assert cached is not None
        known = self.forgotten_by_kind.get(kind, NO_REVISION)
        self.forgotten_by_kind[kind] = max(known, cached.revision)
