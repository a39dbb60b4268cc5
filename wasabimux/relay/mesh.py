"""Links among relays, which exchange membership, usage and newer platform objects.

Every relay links to every other, up to MAX_PEERS; with more relays, each links to a
stable subset of that size.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field

from wasabimux._clock import loop_time
from wasabimux.decisions.placement import rendezvous_top
from wasabimux.entry.peers import PeerLinks
from wasabimux.link.link import Link
from wasabimux.link.messages import (
    ForwardedObject,
    ForwardedObjects,
    Hello,
    KindRevision,
    Message,
    RelayAddresses,
    RelayLeaving,
    RelayUsage,
)
from wasabimux.relay.ports import ObjectChange, PlatformObject
from wasabimux.relay.view import FleetView
from wasabimux.timeline import Timeline

#: Maximum number of peers that a relay links to.
MAX_PEERS = 32

#: Longest time in s between usage messages, and time for which changes of the usage are
#: collected into one message.
USAGE_INTERVAL_S = 0.15
USAGE_BATCH_S = 0.03

#: Longest wait in s for the shutdown notice to be sent to all peers.
SHUTDOWN_NOTICE_TIMEOUT_S = 0.3

#: Time in s between attempts to connect to peers without a link.
CONNECT_INTERVAL_S = 0.5

#: Time in s for which a peer may lag before newer objects are forwarded to it. Usually
#: the peer reads them from the store within that time.
FORWARD_AFTER_LAG_S = 0.3

#: Time in s without a message from a peer after which the peer counts as gone rather
#: than unreachable.
PEER_GONE_AFTER_S = 20.0


@dataclass(slots=True)
class Peer:
    """State of another relay.

    Attributes:
        address: Address on which the peer accepts links.
        added_s: Loop time in s at which the address became known.
        last_heard_s: Loop time in s of the last usage message, None before the first.
        usage: The last usage message, None before the first.
        incarnation: Incarnation of the peer's process, 0 if unknown.
        shutting_down: True if the peer has announced its shutdown.
        lagging_since_s: Loop time in s at which the peer was first found to lag, or
            at which objects were last forwarded to it, by kind of object.
    """

    address: str
    added_s: float
    last_heard_s: float | None = None
    usage: RelayUsage | None = None
    incarnation: int = 0
    shutting_down: bool = False
    lagging_since_s: dict[str, float] = field(default_factory=dict)


class Mesh:
    """Exchanges membership, usage and platform objects with the peers of this relay.

    Args:
        address: Address on which this relay accepts links.
        links: Opens and keeps links to peers.
        view: Local view of the platform's objects.
        local_usage: Returns the current usage of this relay.
        on_usage: Called with a peer's incarnation and its usage.
        on_lost: Called with the incarnation of a peer that is gone or was replaced.
        timeline: Records peers found and lost.

    Attributes:
        peers_by_address: Known peers, those that are not linked included.
    """

    def __init__(
        self,
        address: str,
        links: PeerLinks,
        view: FleetView,
        local_usage: Callable[[], RelayUsage],
        on_usage: Callable[[int, RelayUsage], None],
        on_lost: Callable[[int], None],
        timeline: Timeline,
    ) -> None:
        self.peers_by_address: dict[str, Peer] = {}
        self._address = address
        self._links = links
        self._view = view
        self._local_usage = local_usage
        self._on_usage = on_usage
        self._on_lost = on_lost
        self._timeline = timeline
        self._address_by_link: dict[Link, str] = {}
        self._usage_changed = asyncio.Event()
        self._connecting: set[asyncio.Task[None]] = set()

    def add_peer(self, address: str) -> None:
        """Adds a relay and announces its address to the linked peers.

        Two relays that start at the same time may each read the store before the other
        writes its entry; a third relay that knows both then introduces them.
        """
        if address == self._address or address in self.peers_by_address:
            return
        self.peers_by_address[address] = Peer(address, loop_time())
        for link in self._address_by_link:
            link.send(0, self._known_members())

    def remove_peer(self, address: str) -> None:
        """Removes a relay that is gone."""
        peer = self.peers_by_address.pop(address, None)
        if peer is not None and peer.incarnation:
            self._on_lost(peer.incarnation)

    def relay_count(self) -> int:
        """Returns the number of known relays, this one included."""
        return 1 + len(self.peers_by_address)

    def silent_peer_count(self, now: float) -> int:
        """Returns the number of silent peers that may still serve clients."""
        return sum(
            1
            for peer in self.peers_by_address.values()
            if not peer.shutting_down
            and (
                peer.last_heard_s is None
                or now - peer.last_heard_s > 10 * USAGE_INTERVAL_S
            )
        )

    def live_addresses(self, now: float, store_reachable: bool = False) -> list[str]:
        """Returns the addresses of the relays that serve clients, this one first.

        Args:
            now: Current time in s.
            store_reachable: True for only those relays that reach the platform's store.
        """
        live = [
            peer.address
            for peer in self.peers_by_address.values()
            if not peer.shutting_down
            and peer.last_heard_s is not None
            and now - peer.last_heard_s < 10 * USAGE_INTERVAL_S
            and not (
                store_reachable
                and peer.usage is not None
                and not peer.usage.store_reachable
            )
        ]
        if store_reachable and not self._local_usage().store_reachable:
            return live
        return [self._address, *live]

    def send_to(self, address: str, message: Message) -> bool:
        """Sends a message to a peer; returns False if there is no link to the peer."""
        for link, peer_address in self._address_by_link.items():
            if peer_address == address and not link.closed.is_set():
                link.send(0, message)
                return True
        return False

    async def run(self) -> None:
        """Connects to peers and sends them the usage until it is cancelled."""
        next_connect_s = 0.0
        while True:
            now = loop_time()
            if now >= next_connect_s:
                next_connect_s = now + CONNECT_INTERVAL_S
                self._connect_missing()
                self._remove_lost(now)
            self._send_usage(now)
            await self._wait_for_usage_change()

    def notify_usage_changed(self) -> None:
        """Schedules a usage message to the peers, as the usage has changed."""
        self._usage_changed.set()

    async def _wait_for_usage_change(self) -> None:
        """Waits for a change of the usage and collects more, or for the interval."""
        try:
            async with asyncio.timeout(USAGE_INTERVAL_S):
                await self._usage_changed.wait()
        except TimeoutError:
            return
        await asyncio.sleep(USAGE_BATCH_S)
        self._usage_changed.clear()

    async def announce_shutdown(self) -> None:
        """Tells peers that this relay shuts down; the wait for them is bounded."""
        links = list(self._address_by_link)  # peers may change during the wait
        for link in links:
            link.send(0, RelayLeaving())
        try:
            async with asyncio.timeout(SHUTDOWN_NOTICE_TIMEOUT_S):
                await asyncio.gather(*(link.flush() for link in links))
        except TimeoutError:
            self._timeline.record("peers_not_told", peers=len(links))

    def on_message(self, link: Link, message: Message) -> None:
        """Handles a message from a peer."""
        if isinstance(message, RelayAddresses):
            self._on_members(link, message)
        elif isinstance(message, ForwardedObjects):
            self._on_objects(message)
        elif isinstance(message, RelayUsage):
            self._on_peer_usage(link, message)
        elif isinstance(message, RelayLeaving):
            sender = self._address_by_link.get(link)
            if sender in self.peers_by_address:
                self.peers_by_address[sender].shutting_down = True

    def _on_members(self, link: Link, message: RelayAddresses) -> None:
        for address in message.addresses:
            self.add_peer(address)
        if message.addresses:
            self._on_identified(link, message.addresses[0])
        if set(self._known_members().addresses) - set(message.addresses):
            link.send(0, self._known_members())  # the sender does not know all relays

    def _known_members(self) -> RelayAddresses:
        """Returns the addresses of the known relays, this one first."""
        return RelayAddresses((self._address, *self.peers_by_address))

    def _on_identified(self, link: Link, address: str) -> None:
        """Assigns a link to the peer that has an address."""
        peer = self.peers_by_address.get(address)
        if peer is None or link.peer is None:
            return
        if peer.incarnation and peer.incarnation != link.peer.incarnation:
            self._on_lost(peer.incarnation)
        peer.incarnation = link.peer.incarnation
        peer.shutting_down = False
        if address not in self._address_by_link.values():
            self._timeline.record("peer_found", peer=address)
        self._address_by_link[link] = address

    def _on_peer_usage(self, link: Link, usage: RelayUsage) -> None:
        address = self._address_by_link.get(link)
        peer = self.peers_by_address.get(address) if address else None
        if peer is None:
            return
        peer.last_heard_s = loop_time()
        peer.usage = usage
        self._on_usage(peer.incarnation, usage)
        self._forward_objects(link, peer, loop_time())

    def _forward_objects(self, link: Link, peer: Peer, now: float) -> None:
        """Sends newer objects to a peer that has lagged for FORWARD_AFTER_LAG_S."""
        assert peer.usage is not None
        peer_revisions = {item.kind: item.revision for item in peer.usage.revisions}
        for kind, local_revision in self._view.revision_by_kind.items():
            peer_revision = peer_revisions.get(kind, 0)
            if peer_revision >= local_revision:
                peer.lagging_since_s.pop(kind, None)
                continue
            lagging_since_s = peer.lagging_since_s.setdefault(kind, now)
            if now - lagging_since_s >= FORWARD_AFTER_LAG_S:
                peer.lagging_since_s[kind] = now
                link.send(0, self._objects_since(kind, peer_revision, local_revision))

    def _objects_since(
        self, kind: str, peer_revision: int, local_revision: int
    ) -> ForwardedObjects:
        objects = [
            ForwardedObject(
                name, cached.revision, cached.deleted, json.dumps(cached.value).encode()
            )
            for name, cached in self._view.objects(kind).items()
            if cached.revision > peer_revision
        ]
        return ForwardedObjects(kind, local_revision, False, tuple(objects))

    def _on_objects(self, message: ForwardedObjects) -> None:
        changes = [
            ObjectChange(
                PlatformObject(item.name, item.revision, json.loads(item.value)),
                item.deleted,
            )
            for item in message.objects
        ]
        now = loop_time()
        for change in changes:
            self._view.apply_changes(
                message.kind, [change], change.platform_object.revision, now
            )
        revisions = self._view.revision_by_kind
        revisions[message.kind] = max(revisions.get(message.kind, 0), message.revision)

    def _connect_missing(self) -> None:
        linked_addresses = {
            address
            for link, address in self._address_by_link.items()
            if not link.closed.is_set()
        }
        wanted_addresses = rendezvous_top(
            self._address.encode(), self.peers_by_address, MAX_PEERS
        )
        for address in wanted_addresses:
            if address not in linked_addresses:
                task = asyncio.ensure_future(self._connect(address))
                self._connecting.add(task)
                task.add_done_callback(self._connecting.discard)

    async def _connect(self, address: str) -> None:
        """Links to a peer and sends it the addresses of the known relays."""
        try:
            link = await self._links.link_to(address)
        except OSError:
            return
        link.send(0, self._known_members())
        if link not in self._address_by_link:
            self._on_identified(link, address)

    def _remove_lost(self, now: float) -> None:
        """Removes lost links, and peers that are gone."""
        for link, address in list(self._address_by_link.items()):
            if link.closed.is_set():
                del self._address_by_link[link]
                if address not in self._address_by_link.values():
                    self._timeline.record("peer_lost", peer=address)
        for peer in list(self.peers_by_address.values()):
            last_s = (
                peer.last_heard_s if peer.last_heard_s is not None else peer.added_s
            )
            if now - last_s > PEER_GONE_AFTER_S:
                self._timeline.record("peer_forgotten", peer=peer.address)
                self.remove_peer(peer.address)

    def _send_usage(self, now: float) -> None:
        usage = self._local_usage()
        revisions = tuple(
            KindRevision(kind, revision)
            for kind, revision in self._view.revision_by_kind.items()
        )
        message = usage._replace(revisions=revisions)
        sent_addresses: set[str] = set()
        for link, address in self._address_by_link.items():
            if address not in sent_addresses and not link.closed.is_set():
                sent_addresses.add(address)
                link.send(0, message)


def relay_hello(instance: str, incarnation: int) -> Hello:
    """Returns the first message of a relay on each link."""
    return Hello("relay", instance, incarnation)
