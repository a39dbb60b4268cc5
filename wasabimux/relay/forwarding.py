"""Passes platform objects on to relays that have not read them from the store."""

from __future__ import annotations

import json
import logging
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from wasabimux.ids import NO_REVISION, StoreRevision
from wasabimux.json_documents import DocumentError
from wasabimux.link.link import Link
from wasabimux.link.messages import (
    DesiredStateOffer,
    ForwardedObject,
    ForwardedObjects,
    KindRevision,
    Message,
)
from wasabimux.relay.object_cache import CachedObject
from wasabimux.relay.ports import ObjectChange, PlatformObject
from wasabimux.relay.view import FleetView
from wasabimux.texts import MAX_LOGGED_LENGTH, shorten

#: Time in s for which a peer may lag before newer objects are forwarded to it. Usually
#: the peer reads them from the store, or they are under way, within that time.
FORWARD_AFTER_LAG_S = 0.3

#: Longest time in s before objects are forwarded again; the time doubles each time, as
#: a peer behind a slow link may still be receiving them.
MAX_FORWARD_DELAY_S = 5.0

#: Name under which offers of the desired state are tracked, beside kinds of objects.
DESIRED_STATE_OFFER = "desired state offer"

#: Value of an object that the receiver has, in a message with the names of all.
PRESENT = b""

#: Value of an object that is not used, or was removed.
NO_DOCUMENT = b"null"

logger = logging.getLogger("wasabimux.relay")


@dataclass(slots=True)
class _Lag:
    """Objects of one kind that a peer lacks.

    Attributes:
        since_s: Loop time in s of the change that the peer was first found to lack, or
            at which the last message with it was seen to have left this process.
        delay_s: Time in s after `since_s` at which objects are forwarded.
        link: Link on which the last message with the objects was sent.
        message: That message, None before the first.
    """

    since_s: float
    delay_s: float = FORWARD_AFTER_LAG_S
    link: Link | None = None
    message: Message | None = None

    def is_due(self, link: Link, now: float) -> bool:
        """Returns whether objects are to be forwarded now."""
        if self.link is not None and self.link is not link:
            self.link, self.message = None, None  # lost with the link
            self.delay_s = FORWARD_AFTER_LAG_S
        if self.message is not None and link.is_queued(self.message):
            self.since_s = now
        return now - self.since_s >= self.delay_s

    def on_forward(self, link: Link, message: Message, now: float) -> None:
        """Records a message with the objects."""
        if self.message is not None:
            self.delay_s = min(MAX_FORWARD_DELAY_S, 2 * self.delay_s)
        self.link, self.message = link, message
        self.since_s = now


@dataclass(slots=True)
class _Receiver:
    """What a peer has of the platform's objects.

    Attributes:
        revision_by_kind: Revision up to which the peer has the objects of a kind, as it
            reported, or up to which they were pushed to it since.
        lag_by_kind: What the peer lacks, by kind of object.
    """

    revision_by_kind: dict[str, StoreRevision] = field(default_factory=dict)
    lag_by_kind: dict[str, _Lag] = field(default_factory=dict)


class _Encoded(NamedTuple):
    """An object's document as JSON, at a revision of the object."""

    revision: StoreRevision
    value: bytes


class ObjectForwarder:
    """Forwards objects of the view to peers, and applies those that peers forward.

    Args:
        view: Local view of the platform's objects.
    """

    def __init__(self, view: FleetView) -> None:
        self._view = view
        self._receiver_by_address: dict[str, _Receiver] = {}
        self._encoded_by_kind: dict[str, dict[str, _Encoded]] = {}
        self._offer = DesiredStateOffer(b"")
        self._offered_version = 0

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
        for kind in self._view.revision_by_kind:
            if self._view.is_partial(kind):
                continue  # with the last part
            known_revision = receiver.revision_by_kind.get(kind, NO_REVISION)
            if known_revision < self._view.changed_revision(kind):
                message = self._objects_since(kind, known_revision, now)
                link.send(0, message)
                receiver.revision_by_kind[kind] = self._view.revision_by_kind[kind]
                receiver.lag_by_kind[kind] = _Lag(now, link=link, message=message)

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
        for kind in self._view.revision_by_kind:
            known_revision = receiver.revision_by_kind.get(kind, NO_REVISION)
            if known_revision >= self._view.changed_revision(kind):
                receiver.lag_by_kind.pop(kind, None)
                continue
            changed_s = self._view.changed_s_by_kind[kind]
            lag = receiver.lag_by_kind.setdefault(kind, _Lag(changed_s))
            if lag.is_due(link, now):
                message = self._objects_since(kind, known_revision, now)
                link.send(0, message)
                lag.on_forward(link, message, now)

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
            receiver.lag_by_kind.pop(DESIRED_STATE_OFFER, None)
            return
        lag = receiver.lag_by_kind.setdefault(DESIRED_STATE_OFFER, _Lag(now))
        if lag.is_due(link, now):
            offer = self._desired_state_offer(desired.version)
            link.send(0, offer)
            lag.on_forward(link, offer, now)

    def apply(self, message: ForwardedObjects, now: float) -> None:
        """Applies objects that a peer has forwarded."""
        changes = [
            self._decode_change(message.kind, item)
            for item in message.objects
            if item.deleted or item.value != PRESENT
        ]
        present = None
        if message.is_snapshot:
            present = {item.name for item in message.objects if not item.deleted}
        keep_until_s_by_name = {
            item.name: now + item.keep_s for item in message.objects if item.keep_s
        }
        self._view.apply_forwarded(
            message.kind,
            changes,
            message.since,
            message.revision,
            now,
            present,
            keep_until_s_by_name,
        )

    def apply_offer(self, offer: DesiredStateOffer, now: float) -> None:
        """Applies a desired state that a peer has in force, if it is newer."""
        kinds = self._view.kinds
        document = self._decode(
            kinds.desired_state, kinds.desired_state_name, offer.document
        )
        self._view.offer_desired_state(document, now)

    def _objects_since(
        self, kind: str, revision: StoreRevision, now: float
    ) -> ForwardedObjects:
        """Returns the objects of a kind that have changed after a revision.

        If removals since then may be unknown, the names of the others are included.
        """
        is_snapshot = not self._view.knows_removals_since(kind, revision)
        objects = []
        for name, cached in self._view.objects(kind).items():
            value = PRESENT
            if cached.revision > revision and not cached.left_out:
                value = self._encode(kind, name, cached)
            elif cached.deleted or not is_snapshot:
                continue
            keep_until_s = self._view.kept_until_s(kind, name) or now
            keep_s = max(0.0, keep_until_s - now)
            objects.append(
                ForwardedObject(name, cached.revision, cached.deleted, value, keep_s)
            )
        complete_revision = self._view.revision_by_kind[kind]
        return ForwardedObjects(
            kind, complete_revision, is_snapshot, tuple(objects), since=revision
        )

    def _desired_state_offer(self, version: int) -> DesiredStateOffer:
        """Returns the offer of the desired state in force, the same for all peers."""
        if self._offered_version != version:
            document = json.dumps(self._view.desired_document).encode()
            self._offer = DesiredStateOffer(document)
            self._offered_version = version
        return self._offer

    def _encode(self, kind: str, name: str, cached: CachedObject) -> bytes:
        """Returns an object's document as JSON, the same bytes for all peers."""
        encoded_by_name = self._encoded_by_kind.setdefault(kind, {})
        if cached.value is None:
            encoded_by_name.pop(name, None)
            return NO_DOCUMENT
        encoded = encoded_by_name.get(name)
        if encoded is None or encoded.revision != cached.revision:
            value = json.dumps(cached.value).encode()
            encoded = encoded_by_name[name] = _Encoded(cached.revision, value)
        return encoded.value

    def _decode_change(self, kind: str, item: ForwardedObject) -> ObjectChange:
        value = None if item.deleted else self._decode(kind, item.name, item.value)
        changed = PlatformObject(item.name, item.revision, value)
        return ObjectChange(changed, item.deleted)

    def _decode(self, kind: str, name: str, document: bytes) -> Any:
        """Decodes a peer's document; None, which no reader accepts, if unreadable."""
        try:
            return self._view.read(kind, name, document)
        except DocumentError as error:
            logger.warning(
                "event=forwarded_unreadable name=%a error=%r",
                shorten(name, MAX_LOGGED_LENGTH),
                shorten(str(error), MAX_LOGGED_LENGTH),
            )
            return None
