"""Links among relays: who is there, what each uses, and newer objects.

Every relay is linked with every other, up to MAX_PEERS; a larger fleet links to a
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
    Hello,
    KindRevision,
    Message,
    RelayLeaving,
    RelayMembers,
    RelayObject,
    RelayObjects,
    RelayUse,
)
from wasabimux.relay.ports import ObjectChange, PlatformObject
from wasabimux.relay.view import FleetView
from wasabimux.timeline import Timeline

#: Most peers that a relay links to.
MAX_PEERS = 32

#: Longest time between messages on use, time for which changes are gathered, and
#: time between attempts to reach peers.
USAGE_INTERVAL_S = 0.15
GATHER_S = 0.03

#: Longest wait until peers have been told that this relay ends.
LEAVE_S = 0.3
CONNECT_INTERVAL_S = 0.5

#: Time for which a peer may lag before objects are passed on to it. Most often it
#: hears of them from the store within that time.
LAG_S = 0.3

#: Time without a peer after which it counts as gone rather than cut off.
GONE_AFTER_S = 20.0


@dataclass(slots=True)
class Peer:
    """What is known of another relay.

    Attributes:
        address: Address for links.
        heard_s: When it was last heard, None if never.
        usage: What it last said of its use.
        incarnation: Its life.
        leaving: True once it said that it ends.
        lagging_since: When it was first seen behind, by kind.
        first_tried_s: When it was first tried.
    """

    address: str
    first_tried_s: float
    heard_s: float | None = None
    usage: RelayUse | None = None
    incarnation: int = 0
    leaving: bool = False
    lagging_since: dict[str, float] = field(default_factory=dict)


class Mesh:
    """Exchanges use and objects with peers; a context manager.

    Args:
        address: Address of this relay for links.
        links: Links to peers.
        view: What this relay believes.
        own_use: Returns what this relay uses.
        on_use: Called with a peer's life and what it uses.
        timeline: Records peers found and lost.
    """

    def __init__(
        self,
        address: str,
        links: PeerLinks,
        view: FleetView,
        own_use: Callable[[], RelayUse],
        on_use: Callable[[int, RelayUse], None],
        on_lost: Callable[[int], None],
        timeline: Timeline,
    ) -> None:
        self.peers_by_address: dict[str, Peer] = {}
        self._address = address
        self._links = links
        self._view = view
        self._own_use = own_use
        self._on_use = on_use
        self._on_lost = on_lost
        self._timeline = timeline
        self._address_by_link: dict[Link, str] = {}
        self._changed = asyncio.Event()
        self._connecting: set[asyncio.Task[None]] = set()

    def add(self, address: str) -> None:
        """Notes the address of a relay, and tells it to the peers linked already.

        Two relays that start together may each have read the store before the other
        had written its entry; a third one that knows both then brings them together.
        """
        if address == self._address or address in self.peers_by_address:
            return
        self.peers_by_address[address] = Peer(address, loop_time())
        for link in self._address_by_link:
            link.send(0, self._members())

    def remove(self, address: str) -> None:
        """Forgets a relay that is gone for good."""
        peer = self.peers_by_address.pop(address, None)
        if peer is not None and peer.incarnation:
            self._on_lost(peer.incarnation)

    def relay_count(self) -> int:
        """Returns the number of relays, this one included."""
        return 1 + len(self.peers_by_address)

    def silent_peer_count(self, now: float) -> int:
        """Returns the number of peers that may serve callers unheard."""
        return sum(
            1
            for peer in self.peers_by_address.values()
            if not peer.leaving
            and (peer.heard_s is None or now - peer.heard_s > 10 * USAGE_INTERVAL_S)
        )

    def live_addresses(self, now: float, store_reachable: bool = False) -> list[str]:
        """Returns the addresses of the relays that serve, this one first.

        Args:
            now: Present time in s.
            store_reachable: True for only those that the platform's store answers.
        """
        heard = [
            peer.address
            for peer in self.peers_by_address.values()
            if not peer.leaving
            and peer.heard_s is not None
            and now - peer.heard_s < 10 * USAGE_INTERVAL_S
            and not (
                store_reachable and peer.usage is not None and not peer.usage.in_touch
            )
        ]
        if store_reachable and not self._own_use().in_touch:
            return heard
        return [self._address, *heard]

    def send_to(self, address: str, message: Message) -> bool:
        """Sends a message to a peer; False without a link to it."""
        for link, found in self._address_by_link.items():
            if found == address and not link.lost.is_set():
                link.send(0, message)
                return True
        return False

    async def run(self) -> None:
        """Keeps links up and exchanges use until it is cancelled."""
        next_connect_s = 0.0
        while True:
            now = loop_time()
            if now >= next_connect_s:
                next_connect_s = now + CONNECT_INTERVAL_S
                self._connect_missing()
                self._forget_gone(now)
            self._send_use(now)
            await self._wait_for_use()

    def notify_usage_changed(self) -> None:
        """Tells peers soon, as the use has changed."""
        self._changed.set()

    async def _wait_for_use(self) -> None:
        """Waits until the use has changed, but not for long; then gathers changes."""
        try:
            async with asyncio.timeout(USAGE_INTERVAL_S):
                await self._changed.wait()
        except TimeoutError:
            return
        await asyncio.sleep(GATHER_S)
        self._changed.clear()

    async def announce_shutdown(self) -> None:
        """Tells peers that this relay ends; waits for none of them for long."""
        links = list(self._address_by_link)  # peers may come and go meanwhile
        for link in links:
            link.send(0, RelayLeaving())
        try:
            async with asyncio.timeout(LEAVE_S):
                await asyncio.gather(*(link.flush() for link in links))
        except TimeoutError:
            self._timeline.record("peers_not_told", peers=len(links))

    def on_message(self, link: Link, message: Message) -> None:
        """Takes a message of a peer."""
        if isinstance(message, RelayMembers):
            self._on_members(link, message)
        elif isinstance(message, RelayObjects):
            self._on_objects(message)
        elif isinstance(message, RelayUse):
            self._on_peer_use(link, message)
        elif isinstance(message, RelayLeaving):
            sender = self._address_by_link.get(link)
            if sender in self.peers_by_address:
                self.peers_by_address[sender].leaving = True

    def _on_members(self, link: Link, message: RelayMembers) -> None:
        for address in message.addresses:
            self.add(address)
        if message.addresses:
            self._on_introduced(link, message.addresses[0])
        if set(self._members().addresses) - set(message.addresses):
            link.send(0, self._members())  # the sender does not know all of them

    def _members(self) -> RelayMembers:
        """Returns the members known here, this relay first."""
        return RelayMembers((self._address, *self.peers_by_address))

    def _on_introduced(self, link: Link, address: str) -> None:
        peer = self.peers_by_address.get(address)
        if peer is None or link.peer is None:
            return
        if peer.incarnation and peer.incarnation != link.peer.incarnation:
            self._on_lost(peer.incarnation)
        peer.incarnation = link.peer.incarnation
        peer.leaving = False
        if address not in self._address_by_link.values():
            self._timeline.record("peer_found", peer=address)
        self._address_by_link[link] = address

    def _on_peer_use(self, link: Link, use: RelayUse) -> None:
        address = self._address_by_link.get(link)
        peer = self.peers_by_address.get(address) if address else None
        if peer is None:
            return
        peer.heard_s = loop_time()
        peer.usage = use
        self._on_use(peer.incarnation, use)
        self._pass_on(link, peer, loop_time())

    def _pass_on(self, link: Link, peer: Peer, now: float) -> None:
        """Sends objects to a peer that has been behind for a while."""
        assert peer.usage is not None
        theirs = {item.kind: item.revision for item in peer.usage.revisions}
        for kind, mine in self._view.revision_by_kind.items():
            since = theirs.get(kind, 0)
            if since >= mine:
                peer.lagging_since.pop(kind, None)
                continue
            first = peer.lagging_since.setdefault(kind, now)
            if now - first >= LAG_S:
                peer.lagging_since[kind] = now
                link.send(0, self._objects_since(kind, since, mine))

    def _objects_since(self, kind: str, since: int, mine: int) -> RelayObjects:
        objects = [
            RelayObject(
                name, known.revision, known.deleted, json.dumps(known.value).encode()
            )
            for name, known in self._view.objects(kind).items()
            if known.revision > since
        ]
        return RelayObjects(kind, mine, False, tuple(objects))

    def _on_objects(self, message: RelayObjects) -> None:
        changes = [
            ObjectChange(
                PlatformObject(item.name, item.revision, json.loads(item.value)),
                item.deleted,
            )
            for item in message.objects
        ]
        now = loop_time()
        for change in changes:
            self._view.apply_changes(message.kind, [change], change.found.revision, now)
        known = self._view.revision_by_kind
        known[message.kind] = max(known.get(message.kind, 0), message.revision)

    def _connect_missing(self) -> None:
        linked = {
            address
            for link, address in self._address_by_link.items()
            if not link.lost.is_set()
        }
        wanted = rendezvous_top(
            self._address.encode(), self.peers_by_address, MAX_PEERS
        )
        for address in wanted:
            if address not in linked:
                task = asyncio.ensure_future(self._introduce(address))
                self._connecting.add(task)
                task.add_done_callback(self._connecting.discard)

    async def _introduce(self, address: str) -> None:
        """Links to a peer and tells it the members known here, this one first."""
        try:
            link = await self._links.link_to(address)
        except OSError:
            return
        link.send(0, self._members())
        if link not in self._address_by_link:
            self._on_introduced(link, address)

    def _forget_gone(self, now: float) -> None:
        for link, address in list(self._address_by_link.items()):
            if link.lost.is_set():
                del self._address_by_link[link]
                if address not in self._address_by_link.values():
                    self._timeline.record("peer_lost", peer=address)
        for peer in list(self.peers_by_address.values()):
            last_s = peer.heard_s if peer.heard_s is not None else peer.first_tried_s
            if now - last_s > GONE_AFTER_S:
                self._timeline.record("peer_forgotten", peer=peer.address)
                self.remove(peer.address)

    def _send_use(self, now: float) -> None:
        use = self._own_use()
        revisions = tuple(
            KindRevision(kind, revision)
            for kind, revision in self._view.revision_by_kind.items()
        )
        message = use._replace(revisions=revisions)
        sent: set[str] = set()
        for link, address in self._address_by_link.items():
            if address not in sent and not link.lost.is_set():
                sent.add(address)
                link.send(0, message)


def hello_of(instance: str, incarnation: int) -> Hello:
    """Returns what a relay says of itself on links."""
    return Hello("relay", instance, incarnation)
