"""A relay's local view of routes, upstreams and evacuated failure domains.

Objects come from the platform's store or from peers. Each has a revision, and an older
revision never replaces a newer one, so the order in which they arrive does not matter.

The store may be restored from a copy that lacks its latest writes. Those who wrote them
write them again; until then, what was known before holds where it is the safer belief.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from types import MappingProxyType
from typing import Any, NamedTuple

from wasabimux.decisions.log_sampling import LogSampler
from wasabimux.decisions.route_table import RouteTable
from wasabimux.ids import NO_REVISION, FailureDomainId, StoreRevision, UpstreamId
from wasabimux.relay.model import (
    DesiredState,
    RelayRoute,
    RolloutRecord,
    UpstreamRecord,
)
from wasabimux.relay.object_cache import CachedObject, ObjectCache
from wasabimux.relay.ports import (
    DocumentDecoder,
    ObjectChange,
    ObjectKinds,
    PlatformObject,
)
from wasabimux.settings.findings import Finding
from wasabimux.timeline import Timeline


class KnownRollout(NamedTuple):
    """The newest known state of a roll-out.

    Attributes:
        name: Name of its object.
        revision: Revision of the object, under which its status is written.
        record: The decoded object.
        is_withdrawn: True if the object was removed.
    """

    name: str
    revision: StoreRevision
    record: RolloutRecord
    is_withdrawn: bool = False


#: Time in s after a restore of the store within which objects that it lacks are written
#: again, if whoever wrote them still wants them.
REWRITE_GRACE_S = 2.2

#: Time in s for which the last entry of a removed upstream is remembered.
REMOVED_ENTRY_MEMORY_S = 60.0

#: Most removed upstreams whose last entry is remembered, and most withdrawn roll-outs
#: whose outcome is.
MAX_REMOVED_ENTRIES = 4_096
MAX_WITHDRAWN_ROLLOUTS = 256

#: Most events a second on objects that are not used.
MAX_UNUSED_EVENTS_PER_S = 50.0

#: Most findings in one document that are told.
MAX_FINDINGS = 3

#: Value of an object whose document is not read.
NO_CONTENT: dict[str, Any] = {}

NOTHING_KEPT: Mapping[str, float] = MappingProxyType({})


class _LastEntry(NamedTuple):
    """The newest known entry of an upstream, which may have been removed since.

    Attributes:
        record: The decoded entry.
        era: Era of the store in which an entry of the upstream was read last.
        removed_s: Time in s at which the upstream was dropped, None if it is in use.
    """

    record: UpstreamRecord
    era: int
    removed_s: float | None = None


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
        rollout_by_service: Roll-outs by their service.
        era: Era of the newest known revision.
        revision_by_kind: Revision up to which each kind of object is complete.
        last_change_by_kind: Revision of the last known change of each kind of object.
        listed_revision_by_kind: Revision of the last listing of each kind of object
            that brought news. Removals before it may be unknown.
        changed_s_by_kind: Time in s at which the last change or listing was known.
        cache: The newest known objects.
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
        self.rollout_by_service: dict[str, KnownRollout] = {}
        self.era = 0
        self.revision_by_kind: dict[str, StoreRevision] = {}
        self.last_change_by_kind: dict[str, StoreRevision] = {}
        self.listed_revision_by_kind: dict[str, StoreRevision] = {}
        self.changed_s_by_kind: dict[str, float] = {}
        self._documents = documents
        self._timeline = timeline
        self._on_change = on_change
        self.cache = ObjectCache()
        self._unused_sampler = LogSampler(MAX_UNUSED_EVENTS_PER_S)
        self._keep_until_s_by_name: dict[str, float] = {}
        self._keep_evacuated_until_s: dict[FailureDomainId, float] = {}
        self._last_entry_by_id: dict[UpstreamId, _LastEntry] = {}
        self._desired_document: Any = None
        self._partial_kinds: set[str] = set()
        self._has_untold_change = False  # on_change has not returned since a change

    def objects(self, kind: str) -> dict[str, CachedObject]:
        """Returns the cached objects of a kind by name, deleted ones included."""
        return self.cache.of_kind(kind)

    @property
    def kinds(self) -> ObjectKinds:
        """Names of the kinds of objects."""
        return self._documents.kinds

    def read(self, kind: str, name: str, document: bytes) -> Any:
        """Decodes what is read of an object's document as JSON.

        Raises:
            DocumentError: The document cannot be read.
        """
        return self._documents.read(kind, name, document)

    def end_listing(
        self,
        kind: str,
        names: Collection[str],
        revision: StoreRevision,
        now: float,
        keep_missing_until_s: float | None = None,
    ) -> None:
        """Ends a listing of all objects of a kind, which were applied in parts.

        Args:
            kind: Kind of the objects.
            names: Names of the listed objects, those at least that are known here.
            revision: Revision of the store at which they were listed.
            now: Current time in s.
            keep_missing_until_s: As for apply_changes.
        """
        missing = self._missing(kind, names, revision)
        self._on_listed(kind, revision, now)
        self.apply_changes(kind, missing, revision, now, keep_missing_until_s)

    def apply_changes(
        self,
        kind: str,
        changes: Iterable[ObjectChange],
        revision: StoreRevision,
        now: float,
        keep_missing_until_s: float | None = None,
        keep_until_s_by_name: Mapping[str, float] = NOTHING_KEPT,
        is_part: bool = False,
    ) -> None:
        """Applies changes of a kind up to a revision of the store.

        Args:
            kind: Kind of the objects.
            changes: All changes between the revision up to which this view was
                complete and `revision`, except those applied in parts before, and
                possibly others. Those older than the cached objects are ignored.
            revision: Revision of the store up to which the view is complete then.
            now: Current time in s.
            keep_missing_until_s: Time in s until which upstreams without an entry are
                kept, as the entry may only have expired during an outage of the store;
                None to drop them.
            keep_until_s_by_name: Time in s until which some removed objects are kept
                in any case, by their names.
            is_part: True if others up to the same revision may follow.
        """
        self._on_era(revision.era)
        for item, deleted in changes:
            if self._is_known(kind, item, deleted, revision):
                continue
            cached = self.objects(kind).get(item.name)
            keep_until_s = keep_until_s_by_name.get(item.name, keep_missing_until_s)
            if cached is not None and item.revision.era > cached.revision.era:
                keep_until_s = max(keep_until_s or 0.0, now + REWRITE_GRACE_S)
            self._has_untold_change = True
            self._apply_object(kind, item, deleted, keep_until_s, now)
            last_change = self.last_change_by_kind.get(kind, NO_REVISION)
            self.last_change_by_kind[kind] = max(last_change, item.revision)
            self.changed_s_by_kind[kind] = now
        if is_part:
            self._partial_kinds.add(kind)
        else:
            self._complete(kind, revision)
        if self._has_untold_change:
            self._on_change(now)
            self._has_untold_change = False

    def is_partial(self, kind: str) -> bool:
        """Returns whether changes of a kind were applied of which others may follow."""
        return kind in self._partial_kinds

    def wants_listing(self, kind: str) -> bool:
        """Returns whether there is room for objects of a kind that were left out."""
        return self.cache.has_left_out(kind) and self.cache.has_room(kind, "")

    def _is_known(
        self, kind: str, item: PlatformObject, deleted: bool, revision: StoreRevision
    ) -> bool:
        """Returns whether a change is ignored, as it is known or out of date.

        Args:
            kind: Kind of the object.
            item: The object.
            deleted: True if it was deleted.
            revision: Revision of the store up to which the news with it come.
        """
        kinds = self._documents.kinds
        if kind == kinds.desired_state and item.name != kinds.desired_state_name:
            return True  # never in force
        cached = self.objects(kind).get(item.name)
        if cached is None:
            return self.cache.is_forgotten(kind, item.revision, revision)
        if item.revision == cached.revision and not cached.left_out:
            return deleted == cached.deleted
        return item.revision < cached.revision

    def apply_forwarded(
        self,
        kind: str,
        changes: Iterable[ObjectChange],
        since: StoreRevision,
        revision: StoreRevision,
        now: float,
        present: Collection[str] | None = None,
        keep_until_s_by_name: Mapping[str, float] = NOTHING_KEPT,
    ) -> None:
        """Applies changes of a kind that a peer has forwarded.

        Args:
            kind: Kind of the objects.
            changes: All changes after `since` up to `revision`; without the removals
                that the peer has not heard of, if there may be some.
            since: Revision after which the changes are included. A view that is not
                complete up to it lacks others, and is not complete afterwards.
            revision: Revision up to which they are included.
            now: Current time in s.
            present: Names of all objects at `revision` if removals may be missing
                among the changes, None if not.
            keep_until_s_by_name: Time in s until which the peer keeps removed objects
                that may only have expired, by their names.
        """
        known_revision = self.revision_by_kind.get(kind, NO_REVISION)
        newer = [
            change
            for change in changes
            if change.platform_object.revision > known_revision
        ]  # an object from before that is not known here was removed since
        if present is not None and revision > known_revision:
            newer += self._missing(kind, present, revision)
        if since > known_revision:
            revision = known_revision
        elif present is not None:
            self._on_listed(kind, revision, now)
        self.apply_changes(
            kind, newer, revision, now, keep_until_s_by_name=keep_until_s_by_name
        )

    def kept_until_s(self, kind: str, name: str) -> float | None:
        """Returns the time in s until which a removed object is kept, None if it isn't.

        It may only have expired in an outage of the store, or a restore has lost it.
        """
        if kind == self._documents.kinds.upstreams:
            return self._keep_until_s_by_name.get(name)
        if kind == self._documents.kinds.evacuations:
            return self._keep_evacuated_until_s.get(FailureDomainId(name))
        return None

    def changed_revision(self, kind: str) -> StoreRevision:
        """Returns the revision from which a peer lacks nothing that is known here."""
        return max(
            self.last_change_by_kind.get(kind, NO_REVISION),
            self.listed_revision_by_kind.get(kind, NO_REVISION),
        )

    def knows_removals_since(self, kind: str, revision: StoreRevision) -> bool:
        """Returns whether all removals of objects after a revision are known."""
        return revision >= max(
            self.listed_revision_by_kind.get(kind, NO_REVISION),
            self.cache.forgotten_by_kind.get(kind, NO_REVISION),
        )

    def offer_desired_state(self, document: Any, now: float) -> None:
        """Applies a desired state that a peer has in force, if its version is higher.

        After a restore the store may hold an older version than relays know.
        """
        version = 0 if self.desired_state is None else self.desired_state.version
        self._apply_desired_state(CachedObject(NO_REVISION, False, document))
        if self.desired_state is not None and self.desired_state.version > version:
            self._on_change(now)

    @property
    def desired_document(self) -> Any:
        """Document of the desired state in force, None before the first one."""
        return self._desired_document

    def drop_expired(self, now: float) -> None:
        """Drops what was not written again after an outage or restore of the store."""
        for domain, until_s in list(self._keep_evacuated_until_s.items()):
            if until_s <= now:
                del self._keep_evacuated_until_s[domain]
                self._take_back(domain, NO_REVISION)
        self._last_entry_by_id = {
            upstream: entry
            for upstream, entry in self._last_entry_by_id.items()
            if entry.removed_s is None or now - entry.removed_s < REMOVED_ENTRY_MEMORY_S
        }
        expired = [
            name
            for name, until_s in self._keep_until_s_by_name.items()
            if until_s <= now
        ]
        for name in expired:
            del self._keep_until_s_by_name[name]
            self._drop_upstream(UpstreamId(name), "entry_lapsed", now)
        if expired:
            self._on_change(now)

    def _missing(
        self, kind: str, present: Collection[str], revision: StoreRevision
    ) -> list[ObjectChange]:
        """Returns the removals of known objects that are not there at a revision."""
        return [
            ObjectChange(PlatformObject(name, revision, None), True)
            for name, known in self.objects(kind).items()
            if name not in present and not known.deleted and known.revision <= revision
        ]

    def _complete(self, kind: str, revision: StoreRevision) -> None:
        """Notes that all changes of a kind up to a revision are known."""
        known_revision = self.revision_by_kind.get(kind, NO_REVISION)
        self.revision_by_kind[kind] = max(known_revision, revision)
        if kind in self._partial_kinds:
            self._partial_kinds.remove(kind)
            self._has_untold_change = True  # peers have not heard of the parts

    def _on_listed(self, kind: str, revision: StoreRevision, now: float) -> None:
        """Notes that removals before a revision may be unknown."""
        if revision > self.revision_by_kind.get(kind, NO_REVISION):
            self.listed_revision_by_kind[kind] = revision
            self.changed_s_by_kind[kind] = now
            self._has_untold_change = True

    def _on_era(self, era: int) -> None:
        if era <= self.era:
            return
        if self.revision_by_kind:
            self._timeline.record("store_restored", era=era, known_era=self.era)
        self.era = era

    def _apply_object(
        self,
        kind: str,
        item: PlatformObject,
        deleted: bool,
        keep_missing_until_s: float | None,
        now: float,
    ) -> None:
        """Applies a change, and keeps the document if the object is used."""
        kinds, name = self._documents.kinds, item.name
        latest = CachedObject(item.revision, deleted, None if deleted else item.value)
        is_used = not deleted
        if kind == kinds.desired_state:
            is_used = self._apply_desired_state(latest)
        elif not deleted and not self.cache.has_room(kind, name):
            latest, is_used = latest._replace(left_out=True), False
            self._record_unused("object_left_out", now, kind=kind, object=name)
        elif kind == kinds.upstreams:
            is_used = self._apply_upstream(name, latest, keep_missing_until_s, now)
        elif kind == kinds.evacuations:
            domain = FailureDomainId(name)
            self._apply_evacuation(domain, latest, keep_missing_until_s)
            latest = latest._replace(value=NO_CONTENT)
        elif kind == kinds.rollouts:
            is_used = self._apply_rollout(name, latest, now)
        if not is_used or deleted:
            latest = latest._replace(value=None)
        self.cache.put(kind, name, latest)

    def _record_unused(self, event: str, now: float, **fields: Any) -> None:
        """Records that an object is not used, unless there are too many events."""
        suppressed = self._unused_sampler.admit(now)
        if suppressed is not None:
            self._timeline.record(event, **fields, left_out=suppressed)

    def _record_findings(
        self, event: str, findings: list[Finding], now: float, **fields: Any
    ) -> None:
        """Records why an object is not used."""
        for finding in findings[:MAX_FINDINGS]:
            self._record_unused(event, now, **fields, finding=finding)

    def _apply_desired_state(self, cached: CachedObject) -> bool:
        """Applies a desired state; returns whether it can be read."""
        if cached.deleted:
            self._timeline.record("desired_state_deleted", kept=True)
            return False
        decoded = self._documents.desired_state(cached.value)
        if decoded.is_error():
            for finding in decoded.error:
                self._timeline.record("desired_state_refused", finding=finding)
            return False
        desired = decoded.ok
        if (
            self.desired_state is not None
            and desired.version <= self.desired_state.version
        ):
            return True
        self.desired_state = desired
        self._desired_document = cached.value
        self.routes = RouteTable(desired.routes)
        self._timeline.record(
            "desired_state_in_force",
            version=desired.version,
            revision=cached.revision,
            routes=len(desired.routes),
        )
        return True

    def _apply_rollout(self, name: str, cached: CachedObject, now: float) -> bool:
        """Applies an order; what a withdrawn one has reached is remembered.

        Returns:
            True if there is an order that can be read.
        """
        if cached.deleted:
            for service, known in self.rollout_by_service.items():
                if known.name == name:
                    withdrawn = known._replace(is_withdrawn=True)
                    self.rollout_by_service[service] = withdrawn
                    self._timeline.record("rollout_withdrawn", service=service)
            self._forget_withdrawn_rollouts()
            return False
        decoded = self._documents.rollout(cached.value)
        if decoded.is_error():
            self._record_findings("rollout_refused", decoded.error, now, rollout=name)
            return False
        record = decoded.ok
        known = KnownRollout(name, cached.revision, record)
        self.rollout_by_service[record.order.service] = known
        self._timeline.record(
            "rollout_seen",
            service=record.order.service,
            to=record.order.to,
            limit_s=record.order.limit_s,
            step=record.step.value if record.step else "",
            revision=cached.revision,
        )
        return True

    def _forget_withdrawn_rollouts(self) -> None:
        """Forgets the roll-outs that were withdrawn first, if there are too many."""
        known = self.rollout_by_service
        withdrawn = [service for service in known if known[service].is_withdrawn]
        for service in withdrawn[:-MAX_WITHDRAWN_ROLLOUTS]:
            del known[service]

    def _apply_upstream(
        self,
        name: str,
        cached: CachedObject,
        keep_missing_until_s: float | None,
        now: float,
    ) -> bool:
        """Applies an entry or its removal; returns whether the entry can be read."""
        upstream = UpstreamId(name)
        if cached.deleted:
            if keep_missing_until_s is not None and upstream in self.upstream_by_id:
                self._keep_until_s_by_name.setdefault(name, keep_missing_until_s)
                self._timeline.record("upstream_entry_missing", upstream=name)
            elif name not in self._keep_until_s_by_name:
                self._drop_upstream(upstream, "entry_removed", now)
            return False
        decoded = self._documents.upstream(name, cached.value)
        if decoded.is_error():
            self._record_findings("upstream_refused", decoded.error, now, upstream=name)
            self._drop_upstream(upstream, "entry_unreadable", now)
            return False
        record, previous = decoded.ok, self.upstream_by_id.get(upstream)
        if self._is_outdated(record, cached.revision.era):
            self._timeline.record("outdated_entry_ignored", upstream=name)
            return True
        self._keep_until_s_by_name.pop(name, None)
        self._last_entry_by_id[upstream] = _LastEntry(record, cached.revision.era)
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
                software=record.software,
                revision=cached.revision,
            )
        return True

    def _is_outdated(self, record: UpstreamRecord, era: int) -> bool:
        """Returns whether an entry is older than one that was known before.

        A restore may bring back the entry of an upstream that has left, or one from
        before its drain. An upstream that is alive writes its entry again. So only the
        first entry of an era is compared; later ones are newer, whatever they claim.
        """
        last = self._last_entry_by_id.get(record.id)
        if last is None or era <= last.era or not record.sequence:
            return False
        self._last_entry_by_id[record.id] = last._replace(era=era)
        age = (record.started_ms, record.sequence)
        last_age = (last.record.started_ms, last.record.sequence)
        return age < last_age or (age == last_age and last.removed_s is not None)

    def _drop_upstream(self, upstream: UpstreamId, reason: str, now: float) -> None:
        if self.upstream_by_id.pop(upstream, None) is not None:
            last = self._last_entry_by_id[upstream]
            del self._last_entry_by_id[upstream]  # removed entries come in their order
            self._last_entry_by_id[upstream] = last._replace(removed_s=now)
            self._forget_removed_entries()
            self._timeline.record("upstream_gone", upstream=upstream, reason=reason)

    def _forget_removed_entries(self) -> None:
        """Forgets the entries that were removed first, if there are too many."""
        removed_count = len(self._last_entry_by_id) - len(self.upstream_by_id)
        if removed_count <= 2 * MAX_REMOVED_ENTRIES:
            return
        entries = self._last_entry_by_id
        removed = [key for key in entries if entries[key].removed_s is not None]
        for upstream in removed[:-MAX_REMOVED_ENTRIES]:
            del entries[upstream]

    def _apply_evacuation(
        self,
        domain: FailureDomainId,
        cached: CachedObject,
        keep_missing_until_s: float | None,
    ) -> None:
        if not cached.deleted:
            self._keep_evacuated_until_s.pop(domain, None)
            self.evacuated_domains.add(domain)
            self._timeline.record(
                "domain_evacuated", failure_domain=domain, revision=cached.revision
            )
        elif keep_missing_until_s is not None and domain in self.evacuated_domains:
            self._keep_evacuated_until_s[domain] = keep_missing_until_s
        else:
            self._take_back(domain, cached.revision)

    def _take_back(self, domain: FailureDomainId, revision: StoreRevision) -> None:
        self.evacuated_domains.discard(domain)
        self._timeline.record(
            "domain_taken_back", failure_domain=domain, revision=revision
        )
