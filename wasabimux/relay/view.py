"""What a relay believes of routes, upstreams and evacuated failure domains.

Objects come from the platform's store or from peers. Each carries its revision, and an
older one never replaces a newer one, so it does not matter which way is faster.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any, NamedTuple

from wasabimux.decisions.route_table import RouteTable
from wasabimux.ids import FailureDomainId, UpstreamId
from wasabimux.relay.model import DesiredState, RelayRoute, UpstreamRecord
from wasabimux.relay.ports import Documents, ObjectChange, PlatformObject
from wasabimux.timeline import Timeline


class KnownObject(NamedTuple):
    """The newest that is known of an object.

    Attributes:
        revision: Revision of its last change, or of its deletion.
        deleted: True once it was deleted.
        value: Its document.
    """

    revision: int
    deleted: bool
    value: Any


class FleetView:
    """Keeps the newest objects and what follows from them.

    Args:
        documents: Decodes documents.
        timeline: Records changes of belief.
        on_change: Called after each change.
    """

    def __init__(
        self,
        documents: Documents,
        timeline: Timeline,
        on_change: Callable[[float], None],
    ) -> None:
        self.desired_state: DesiredState | None = None
        self.routes: RouteTable[RelayRoute] = RouteTable(())
        self.upstream_by_id: dict[UpstreamId, UpstreamRecord] = {}
        self.evacuated_domains: set[FailureDomainId] = set()
        self.revision_by_kind: dict[str, int] = {}
        self._documents = documents
        self._timeline = timeline
        self._on_change = on_change
        self._objects_by_kind: dict[str, dict[str, KnownObject]] = {}
        self._lapsed_until_s: dict[str, float] = {}

    def objects(self, kind: str) -> dict[str, KnownObject]:
        """Returns what is known of a kind, by name."""
        return self._objects_by_kind.setdefault(kind, {})

    def apply_list(
        self,
        kind: str,
        objects: Iterable[PlatformObject],
        revision: int,
        now: float,
        keep_until_s: float | None = None,
    ) -> None:
        """Takes all objects of a kind as of a revision of the store.

        Args:
            kind: Kind of the objects.
            objects: All objects.
            revision: Revision of the store.
            now: Present time in s.
            keep_until_s: Until when upstreams are kept whose entries are gone, as they
                may only have lapsed while the store was away; None to drop them.
        """
        listed = {item.name: item for item in objects}
        changes = [ObjectChange(item, False) for item in listed.values()]
        for name, known in self.objects(kind).items():
            if name not in listed and not known.deleted and known.revision <= revision:
                gone = PlatformObject(name, revision, known.value)
                changes.append(ObjectChange(gone, True))
        self.apply_changes(kind, changes, revision, now, keep_until_s)

    def apply_changes(
        self,
        kind: str,
        changes: Iterable[ObjectChange],
        revision: int,
        now: float,
        keep_until_s: float | None = None,
    ) -> None:
        """Takes changes up to a revision of the store; arguments as above."""
        known = self.objects(kind)
        changed = False
        for found, deleted in changes:
            at = max(found.revision, revision) if deleted else found.revision
            before = known.get(found.name)
            if before is not None and (
                at < before.revision
                or (at == before.revision and deleted == before.deleted)
            ):
                continue
            known[found.name] = KnownObject(at, deleted, found.value)
            self._apply(kind, found.name, known[found.name], keep_until_s)
            changed = True
        self.revision_by_kind[kind] = max(self.revision_by_kind.get(kind, 0), revision)
        if changed:
            self._on_change(now)

    def drop_expired_upstreams(self, now: float) -> None:
        """Drops upstreams whose entries did not come back after an outage."""
        over = [name for name, at in self._lapsed_until_s.items() if at <= now]
        for name in over:
            del self._lapsed_until_s[name]
            self._drop_upstream(UpstreamId(name), "entry_lapsed")
        if over:
            self._on_change(now)

    def _apply(
        self, kind: str, name: str, known: KnownObject, keep_until_s: float | None
    ) -> None:
        kinds = self._documents.kinds
        if kind == kinds.desired_state and name == kinds.desired_state_name:
            self._apply_desired_state(known)
        elif kind == kinds.upstreams:
            self._apply_upstream(name, known, keep_until_s)
        elif kind == kinds.evacuations:
            self._apply_evacuation(FailureDomainId(name), known)

    def _apply_desired_state(self, known: KnownObject) -> None:
        if known.deleted:
            self._timeline.record("desired_state_deleted", kept=True)
            return
        decoded = self._documents.desired_state(known.value)
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
            revision=known.revision,
            routes=len(desired.routes),
        )

    def _apply_upstream(
        self, name: str, known: KnownObject, keep_until_s: float | None
    ) -> None:
        upstream = UpstreamId(name)
        if known.deleted:
            if keep_until_s is not None and upstream in self.upstream_by_id:
                self._lapsed_until_s.setdefault(name, keep_until_s)
                self._timeline.record("upstream_entry_missing", upstream=name)
            elif name not in self._lapsed_until_s:
                self._drop_upstream(upstream, "entry_removed")
            return
        self._lapsed_until_s.pop(name, None)
        decoded = self._documents.upstream(name, known.value)
        if decoded.is_error():
            for finding in decoded.error:
                self._timeline.record(
                    "upstream_refused", upstream=name, finding=finding
                )
            self._drop_upstream(upstream, "entry_unreadable")
            return
        record, before = decoded.ok, self.upstream_by_id.get(upstream)
        self.upstream_by_id[upstream] = record
        if before is None or before[:6] != record[:6] or before.phase != record.phase:
            self._timeline.record(
                "upstream_seen",
                upstream=name,
                service=record.service,
                address=record.address,
                draining=record.draining,
                phase=record.phase.value if record.phase else "",
                cold_s=record.cold_s,
                revision=known.revision,
            )

    def _drop_upstream(self, upstream: UpstreamId, reason: str) -> None:
        if self.upstream_by_id.pop(upstream, None) is not None:
            self._timeline.record("upstream_gone", upstream=upstream, reason=reason)

    def _apply_evacuation(self, domain: FailureDomainId, known: KnownObject) -> None:
        if known.deleted:
            self.evacuated_domains.discard(domain)
        else:
            self.evacuated_domains.add(domain)
        self._timeline.record(
            "domain_evacuated" if not known.deleted else "domain_taken_back",
            failure_domain=domain,
            revision=known.revision,
        )
