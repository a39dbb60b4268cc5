"""A relay's local view of routes, upstreams and evacuated failure domains.

Objects come from the platform's store or from peers. Each has a revision, and an older
revision never replaces a newer one, so the order in which they arrive does not matter.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from wasabimux.decisions.route_table import RouteTable
from wasabimux.ids import FailureDomainId, UpstreamId
from wasabimux.relay.model import DesiredState, RelayRoute, UpstreamRecord
from wasabimux.relay.ports import DocumentDecoder, ObjectChange, PlatformObject
from wasabimux.timeline import Timeline


class CachedObject(NamedTuple):
    """The newest known state of an object in the platform's store.

    Attributes:
        revision: Revision of the object's last change, or of its deletion.
        deleted: True if the object was deleted.
        value: The object's document.
    """

    revision: int
    deleted: bool
    value: Any


class FleetView:
    """Caches the newest known objects and the state decoded from them.

    Args:
        documents: Decodes the platform's documents.
        timeline: Records changes of the view.
        on_change: Called with the current time in s after changes.

    Attributes:
        desired_state: Desired state in force, None before the first one is known.
        routes: Table of the routes in the desired state.
        upstream_by_id: Entries of all upstreams.
        evacuated_domains: Failure domains that get no requests.
        revision_by_kind: Revision up to which each kind of object is complete.
        last_change_by_kind: Revision of the last known change of each kind of object.
        changed_s_by_kind: Time in s at which that change became known.
    """

    def __init__(
        self,
        documents: DocumentDecoder,
        timeline: Timeline,
        on_change: Callable[[float], None],
    ) -> None:
        self.desired_state: DesiredState | None = None
        self.routes: RouteTable[RelayRoute] = RouteTable(())
        self.upstream_by_id: dict[UpstreamId, UpstreamRecord] = {}
        self.evacuated_domains: set[FailureDomainId] = set()
        self.revision_by_kind: dict[str, int] = {}
        self.last_change_by_kind: dict[str, int] = {}
        self.changed_s_by_kind: dict[str, float] = {}
        self._documents = documents
        self._timeline = timeline
        self._on_change = on_change
        self._objects_by_kind: dict[str, dict[str, CachedObject]] = {}
        self._keep_until_s_by_name: dict[str, float] = {}

    def objects(self, kind: str) -> dict[str, CachedObject]:
        """Returns the cached objects of a kind by name, deleted ones included."""
        return self._objects_by_kind.setdefault(kind, {})

    def apply_listing(
        self,
        kind: str,
        objects: Iterable[PlatformObject],
        revision: int,
        now: float,
        keep_missing_until_s: float | None = None,
    ) -> None:
        """Applies a listing of all objects of a kind at a revision of the store.

        Args:
            kind: Kind of the objects.
            objects: All objects of the kind.
            revision: Revision of the store at which they were listed.
            now: Current time in s.
            keep_missing_until_s: Time in s until which upstreams without an entry are
                kept, as the entry may only have expired during an outage of the store;
                None to drop them.
        """
        listed = {item.name: item for item in objects}
        changes = [ObjectChange(item, False) for item in listed.values()]
        for name, known in self.objects(kind).items():
            if name not in listed and not known.deleted and known.revision <= revision:
                missing = PlatformObject(name, revision, known.value)
                changes.append(ObjectChange(missing, True))
        self.apply_changes(kind, changes, revision, now, keep_missing_until_s)

    def apply_changes(
        self,
        kind: str,
        changes: Iterable[ObjectChange],
        revision: int,
        now: float,
        keep_missing_until_s: float | None = None,
    ) -> None:
        """Applies changes of a kind up to a revision of the store.

        Args:
            kind: Kind of the objects.
            changes: Changes; those older than the cached objects are ignored.
            revision: Revision of the store up to which the changes are complete.
            now: Current time in s.
            keep_missing_until_s: As for apply_listing.
        """
        cache = self.objects(kind)
        changed = False
        for item, deleted in changes:
            item_revision = max(item.revision, revision) if deleted else item.revision
            cached = cache.get(item.name)
            if cached is not None and (
                item_revision < cached.revision
                or (item_revision == cached.revision and deleted == cached.deleted)
            ):
                continue
            cache[item.name] = CachedObject(item_revision, deleted, item.value)
            self._apply_object(kind, item.name, cache[item.name], keep_missing_until_s)
            last_change = max(self.last_change_by_kind.get(kind, 0), item_revision)
            self.last_change_by_kind[kind] = last_change
            self.changed_s_by_kind[kind] = now
            changed = True
        self.revision_by_kind[kind] = max(self.revision_by_kind.get(kind, 0), revision)
        if changed:
            self._on_change(now)

    def drop_expired_upstreams(self, now: float) -> None:
        """Drops upstreams whose entries were not written again after an outage."""
        expired = [
            name
            for name, until_s in self._keep_until_s_by_name.items()
            if until_s <= now
        ]
        for name in expired:
            del self._keep_until_s_by_name[name]
            self._drop_upstream(UpstreamId(name), "entry_lapsed")
        if expired:
            self._on_change(now)

    def _apply_object(
        self,
        kind: str,
        name: str,
        cached: CachedObject,
        keep_missing_until_s: float | None,
    ) -> None:
        kinds = self._documents.kinds
        if kind == kinds.desired_state and name == kinds.desired_state_name:
            self._apply_desired_state(cached)
        elif kind == kinds.upstreams:
            self._apply_upstream(name, cached, keep_missing_until_s)
        elif kind == kinds.evacuations:
            self._apply_evacuation(FailureDomainId(name), cached)

    def _apply_desired_state(self, cached: CachedObject) -> None:
        if cached.deleted:
            self._timeline.record("desired_state_deleted", kept=True)
            return
        decoded = self._documents.desired_state(cached.value)
        if decoded.is_error():
            for finding in decoded.error:
                self._timeline.record("desired_state_refused", finding=finding)
            return
        desired = decoded.ok
        if (
            self.desired_state is not None
            and desired.version <= self.desired_state.version
        ):
            return
        self.desired_state = desired
        self.routes = RouteTable(desired.routes)
        self._timeline.record(
            "desired_state_in_force",
            version=desired.version,
            revision=cached.revision,
            routes=len(desired.routes),
        )

    def _apply_upstream(
        self, name: str, cached: CachedObject, keep_missing_until_s: float | None
    ) -> None:
        upstream = UpstreamId(name)
        if cached.deleted:
            if keep_missing_until_s is not None and upstream in self.upstream_by_id:
                self._keep_until_s_by_name.setdefault(name, keep_missing_until_s)
                self._timeline.record("upstream_entry_missing", upstream=name)
            elif name not in self._keep_until_s_by_name:
                self._drop_upstream(upstream, "entry_removed")
            return
        self._keep_until_s_by_name.pop(name, None)
        decoded = self._documents.upstream(name, cached.value)
        if decoded.is_error():
            for finding in decoded.error:
                self._timeline.record(
                    "upstream_refused", upstream=name, finding=finding
                )
            self._drop_upstream(upstream, "entry_unreadable")
            return
        record, previous = decoded.ok, self.upstream_by_id.get(upstream)
        self.upstream_by_id[upstream] = record
        if (
            previous is None
            or previous[:6] != record[:6]
            or previous.phase != record.phase
        ):
            self._timeline.record(
                "upstream_seen",
                upstream=name,
                service=record.service,
                address=record.address,
                draining=record.draining,
                phase=record.phase.value if record.phase else "",
                cold_s=record.cold_s,
                revision=cached.revision,
            )

    def _drop_upstream(self, upstream: UpstreamId, reason: str) -> None:
        if self.upstream_by_id.pop(upstream, None) is not None:
            self._timeline.record("upstream_gone", upstream=upstream, reason=reason)

    def _apply_evacuation(self, domain: FailureDomainId, cached: CachedObject) -> None:
        if cached.deleted:
            self.evacuated_domains.discard(domain)
        else:
            self.evacuated_domains.add(domain)
        self._timeline.record(
            "domain_evacuated" if not cached.deleted else "domain_taken_back",
            failure_domain=domain,
            revision=cached.revision,
        )
