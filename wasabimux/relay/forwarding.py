"""Passes platform objects on to relays that have not read them from the store."""

from __future__ import annotations

import json
from collections.abc import Iterable
from dataclasses import dataclass, field

from wasabimux.ids import NO_REVISION, StoreRevision
from wasabimux.link.link import Link
from wasabimux.link.messages import (
    DesiredStateOffer,
    ForwardedObject,
    ForwardedObjects,
    KindRevision,
)
from wasabimux.relay.ports import ObjectChange, PlatformObject
from wasabimux.relay.view import FleetView

#: Time in s for which a peer may lag before newer objects are forwarded to it. Usually
#: the peer reads them from the store, or they are under way, within that time.
FORWARD_AFTER_LAG_S = 0.3


@dataclass(slots=True)
class _Receiver:
    """What a peer has of the platform's objects.

    Attributes:
        revision_by_kind: Revision up to which the peer has the objects of a kind, as it
            reported, or up to which they were pushed to it since.
        outdated_since_s: Loop time in s since which its desired state is outdated, or
            at which the newer one was last offered; None if it is not outdated.
        lagging_since_s: Loop time in s of the change that the peer was first found to
            lack, or at which objects were last forwarded to it, by kind of object.
    """

    revision_by_kind: dict[str, StoreRevision] = field(default_factory=dict)
    outdated_since_s: float | None = None
    lagging_since_s: dict[str, float] = field(default_factory=dict)


class ObjectForwarder:
    """Forwards objects of the view to peers, and applies those that peers forward.

    Args:
        view: Local view of the platform's objects.
    """

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._receiver_by_address: dict[str, _Receiver] = {}

    def forget(self, address: str) -> None:
        """Drops what is known of a peer whose process has ended."""
        self._receiver_by_address.pop(address, None)

    def push(self, address: str, link: Link, now: float) -> None:
        """Sends a peer the objects that it lacks, without waiting for it to lag.

        Args:
            address: Address of the peer, which has reported its revisions before.
            link: Link to the peer.
            now: Current time in s.
        """
        receiver = self._receiver_by_address.get(address)
        if receiver is None:
            return
        for kind, changed_revision in self._view.last_change_by_kind.items():
            known_revision = receiver.revision_by_kind.get(kind, NO_REVISION)
            if known_revision < changed_revision:
                link.send(0, self._objects_since(kind, known_revision))
                receiver.revision_by_kind[kind] = self._view.revision_by_kind[kind]
                receiver.lagging_since_s[kind] = now

    def on_peer_revisions(
        self, address: str, link: Link, revisions: Iterable[KindRevision], now: float
    ) -> None:
        """Records the revisions of a peer, and forwards objects if it lags for long.

        Args:
            address: Address of the peer.
            link: Link to the peer.
            revisions: Revisions up to which the peer has observed objects.
            now: Current time in s.
        """
        receiver = self._receiver_by_address.setdefault(address, _Receiver())
        receiver.revision_by_kind = {item.kind: item.revision for item in revisions}
        for kind, changed_revision in self._view.last_change_by_kind.items():
            if receiver.revision_by_kind.get(kind, NO_REVISION) >= changed_revision:
                receiver.lagging_since_s.pop(kind, None)
                continue
            changed_s = self._view.changed_s_by_kind[kind]
            lagging_since_s = receiver.lagging_since_s.setdefault(kind, changed_s)
            if now - lagging_since_s >= FORWARD_AFTER_LAG_S:
                receiver.lagging_since_s[kind] = now
                known_revision = receiver.revision_by_kind.get(kind, NO_REVISION)
                link.send(0, self._objects_since(kind, known_revision))

    def on_peer_desired_version(
        self, address: str, link: Link, version: int, now: float
    ) -> None:
        """Offers the desired state in force to a peer that has an older one for long.

        The revisions do not tell if a peer has read an older version from a store that
        was restored.

        Args:
            address: Address of the peer.
            link: Link to the peer.
            version: Version of the desired state that the peer has in force.
            now: Current time in s.
        """
        receiver = self._receiver_by_address.setdefault(address, _Receiver())
        desired = self._view.desired_state
        if desired is None or version >= desired.version:
            receiver.outdated_since_s = None
            return
        if receiver.outdated_since_s is None:
            receiver.outdated_since_s = now
        if now - receiver.outdated_since_s >= FORWARD_AFTER_LAG_S:
            receiver.outdated_since_s = now
            document = json.dumps(self._view.desired_document).encode()
            link.send(0, DesiredStateOffer(document))

    def apply(self, message: ForwardedObjects, now: float) -> None:
        """Applies objects that a peer has forwarded."""
        for item in message.objects:
            platform_object = PlatformObject(
                item.name, item.revision, json.loads(item.value)
            )
            change = ObjectChange(platform_object, item.deleted)
            self._view.apply_changes(message.kind, [change], item.revision, now)
        revisions = self._view.revision_by_kind
        revisions[message.kind] = max(
            revisions.get(message.kind, NO_REVISION), message.revision
        )

    def _objects_since(self, kind: str, revision: StoreRevision) -> ForwardedObjects:
        """Returns the objects of a kind that have changed after a revision."""
        objects = [
            ForwardedObject(
                name, cached.revision, cached.deleted, json.dumps(cached.value).encode()
            )
            for name, cached in self._view.objects(kind).items()
            if cached.revision > revision
        ]
        complete_revision = self._view.revision_by_kind[kind]
        return ForwardedObjects(kind, complete_revision, False, tuple(objects))
