"""Links among relays, which exchange usage and newer platform objects.

Each relay links to the aggregators of its failure domain, and aggregators link to those
of the other domains; see `wasabimux.decisions.aggregation`.
"""

from __future__ import annotations

import asyncio
import math
from collections.abc import Callable

from wasabimux._clock import boot_time_s, loop_time
from wasabimux.decisions.aggregation import (
    FleetUsage,
    RelayCounts,
    Scope,
    UsageReport,
)
from wasabimux.decisions.placement import rendezvous_top
from wasabimux.decisions.usage_sums import NO_USAGE, Usage
from wasabimux.entry.peers import PeerLinks
from wasabimux.link.link import Link
from wasabimux.link.messages import (
    DesiredStateOffer,
    EndedCharges,
    ForwardedObjects,
    Hello,
    KindRevision,
    Message,
    RelayIdentity,
    RelayLeaving,
    RelayReport,
)
from wasabimux.relay.forwarding import ObjectForwarder
from wasabimux.relay.membership import Membership, Peer
from wasabimux.relay.view import FleetView
from wasabimux.timeline import Timeline

#: Shortest time in s between reports while usage changes: a minimum, and an addition
#: for each known relay, within a maximum. Reports of a large fleet are longer, and more
#: of them arrive.
MIN_REPORT_INTERVAL_S = 0.03
REPORT_INTERVAL_S_PER_RELAY = 0.0025
MAX_REPORT_INTERVAL_S = 0.2

#: Hops of a report from one relay to another of a different failure domain.
MAX_REPORT_HOPS = 3

#: Longest time in s between reports while usage does not change.
IDLE_REPORT_INTERVAL_S = 0.3

#: Time in s between reports of an aggregator while another one leads, and between
#: reports to a silent aggregator.
STANDBY_REPORT_INTERVAL_S = 1.0

#: Longest wait in s for the shutdown notice to be sent to all peers.
SHUTDOWN_NOTICE_TIMEOUT_S = 0.3

#: Time in s between attempts to connect to peers without a link.
CONNECT_INTERVAL_S = 0.5


class Mesh:
    """Exchanges usage and platform objects with other relays.

    Args:
        address: Address on which this relay accepts links.
        failure_domain: Failure domain of this relay.
        links: Opens and keeps links to peers.
        view: Local view of the platform's objects.
        fleet_usage: Usage of the other relays.
        local_usage: Returns the current usage of this relay.
        store_reachable: Tells whether the platform's store answers this relay.
        on_others_changed: Called after the usage of the other relays has changed.
        on_link_lost: Called with the address of a peer whose link is lost, or whose
            process was replaced.
        timeline: Records peers found and lost.

    Attributes:
        membership: The relays found, and their part in aggregation.
        others: Usage of the other relays.
        informed_boot_s: Time since boot in s of the last report of an aggregator that
            reaches the store.
        on_linked: Called with each link on which a peer has told who it is.
    """

    def __init__(
        self,
        address: str,
        failure_domain: str,
        links: PeerLinks,
        view: FleetView,
        fleet_usage: FleetUsage,
        local_usage: Callable[[], Usage],
        store_reachable: Callable[[], bool],
        on_others_changed: Callable[[], None],
        on_link_lost: Callable[[str], None],
        timeline: Timeline,
    ) -> None:
        self.others: Usage = NO_USAGE
        self.informed_boot_s = -math.inf
        self.on_linked: Callable[[Link], None] = lambda link: None
        self._identity = RelayIdentity(address, failure_domain)
        self.membership = Membership(self._identity)
        self._links = links
        self._view = view
        self._forwarder = ObjectForwarder(view)
        self._fleet_usage = fleet_usage
        self._local_usage = local_usage
        self._store_reachable = store_reachable
        self._on_others_changed = on_others_changed
        self._on_link_lost = on_link_lost
        self._timeline = timeline
        self._sequence = 0
        self._address_by_link: dict[Link, str] = {}
        self._usage_changed = asyncio.Event()
        self._changed_scopes: set[Scope] = set()
        self._counts = RelayCounts(1, 0)
        self._others_updated_s = 0.0
        self._next_connect_s = 0.0
        self._connecting: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Address on which this relay accepts links."""
        return self._identity.address

    def add_peer(self, address: str, failure_domain: str = "") -> None:
        """Adds a relay that was found, and connects to it if it aggregates usage."""
        if self.membership.add(address, failure_domain, loop_time()):
            self._next_connect_s = 0.0
            self._usage_changed.set()

    def live_aggregators(self, now: float, store_reachable: bool = False) -> list[str]:
        """Returns the aggregators of all failure domains that this relay hears.

        Relays agree on them while all aggregators hear one another.

        Args:
            now: Current time in s.
            store_reachable: True for only those that reach the platform's store.
        """
        live = self.membership.heard_aggregators(now, store_reachable)
        if self.membership.is_aggregator(now):
            if self._store_reachable() or not store_reachable:
                live.append(self.address)
        return live

    def is_first_to_act(self, key: str, now: float) -> bool:
        """Returns whether this relay is the one that acts for all in some matter.

        It is one of the aggregators that reach the platform's store, which agree on it
        while they hear one another.

        Args:
            key: Name of the matter.
            now: Current time in s.
        """
        candidates = self.live_aggregators(now, store_reachable=True)
        return rendezvous_top(key.encode(), candidates, 1) == [self.address]

    def relay_counts(self) -> RelayCounts:
        """Returns the numbers of known and of silent relays of the whole fleet."""
        return self._counts

    def send_to(self, address: str, message: Message) -> bool:
        """Sends a message to a peer; returns False if there is no link to the peer."""
        link = self._link_to(address)
        if link is None:
            return False
        link.send(0, message)
        return True

    def broadcast(self, message: Message) -> None:
        """Sends a message to all relays that this one is linked to."""
        for link in self._address_by_link:
            link.send(0, message)

    def address_of(self, link: Link) -> str | None:
        """Returns the address of the peer at the other end of a link, if known."""
        return self._address_by_link.get(link)

    async def run(self) -> None:
        """Connects to peers and sends them reports until it is cancelled."""
        while True:
            now = loop_time()
            if now >= self._next_connect_s:
                self._next_connect_s = now + CONNECT_INTERVAL_S
                self._remove_lost(now)
                self._connect_missing(now)
            self._send_reports(now)
            await self._wait_for_change()

    def notify_usage_changed(self) -> None:
        """Schedules reports to the peers, as the usage of this relay has changed."""
        self._schedule(Scope.RELAY, Scope.DOMAIN, Scope.FLEET)

    async def announce_shutdown(self) -> None:
        """Tells peers that this relay shuts down; the wait for them is bounded."""
        self.membership.shutting_down = True
        links = list(self._address_by_link)  # peers may change during the wait
        for link in links:
            link.send(0, RelayLeaving())
        try:
            async with asyncio.timeout(SHUTDOWN_NOTICE_TIMEOUT_S):
                await asyncio.gather(*(link.flush() for link in links))
        except TimeoutError:
            self._timeline.record("peers_not_told", peers=len(links))

    def report_last_usage(self) -> None:
        """Reports what this relay has used up to now, as its process ends."""
        self.notify_usage_changed()
        self._send_reports(loop_time())

    def on_message(self, link: Link, message: Message) -> None:
        """Handles a message from a peer."""
        if isinstance(message, RelayIdentity):
            self._on_identity(link, message)
            return
        peer = self.membership.peer_by_address.get(self._address_by_link.get(link, ""))
        if peer is None:
            return
        now = loop_time()
        peer.heard_s = now
        peer.forgotten_s = None
        if isinstance(message, ForwardedObjects):
            self._forwarder.apply(message, now)
        elif isinstance(message, DesiredStateOffer):
            self._forwarder.apply_offer(message, now)
        elif isinstance(message, RelayReport):
            self._on_report(link, peer, message, now)
        elif isinstance(message, EndedCharges):
            if peer.failure_domain == self._identity.failure_domain:
                self._fleet_usage.on_ended_charges(message.charges, now)
        elif isinstance(message, RelayLeaving):
            peer.shutting_down = True
            self._fleet_usage.on_leaving(peer.address)

    def on_view_changed(self) -> None:
        """Passes changes of the view on to the relays that rely on this one."""
        now = loop_time()
        if not self.membership.is_aggregator(now):
            return
        for address in self._fleet_usage.heard_members(now):
            link = self._link_to(address)
            if link is not None:
                self._forwarder.push(address, link, now)

    @property
    def report_delay_s(self) -> float:
        """Longest time in s until this relay knows what others use, over three hops."""
        return MAX_REPORT_HOPS * self._report_interval_s()

    def news_age_s(self, now: float) -> float:
        """Returns the age in s of what this relay knows of the others' usage."""
        if self.membership.leads(now):
            return 0.0
        return self._fleet_usage.news_age_s(now)

    def _report_interval_s(self) -> float:
        """Returns the shortest time in s between reports."""
        interval_s = REPORT_INTERVAL_S_PER_RELAY * len(self.membership.peer_by_address)
        return min(MAX_REPORT_INTERVAL_S, MIN_REPORT_INTERVAL_S + interval_s)

    async def _wait_for_change(self) -> None:
        """Waits for a change of the usage and collects more, or for the interval."""
        try:
            async with asyncio.timeout(IDLE_REPORT_INTERVAL_S):
                await self._usage_changed.wait()
        except TimeoutError:
            return
        await asyncio.sleep(self._report_interval_s())
        self._usage_changed.clear()

    def _on_identity(self, link: Link, identity: RelayIdentity) -> None:
        """Assigns a link to the peer at its other end, and answers."""
        if link.peer is None or identity.address == self.address:
            return
        is_answer = link in self._address_by_link
        self.add_peer(identity.address, identity.failure_domain)
        peer = self.membership.peer_by_address[identity.address]
        if peer.incarnation != link.peer.incarnation:
            self._fleet_usage.forget(peer.address, loop_time())
            self._forwarder.forget(peer.address)
            self._on_link_lost(peer.address)
            peer.on_restarted()
        peer.incarnation = link.peer.incarnation
        peer.forgotten_s = None
        peer.heard_s = loop_time()
        if self._link_to(peer.address) is None:
            self._timeline.record("peer_found", peer=peer.address)
        self._address_by_link[link] = peer.address
        if not is_answer:
            link.send(0, self._identity)
        peer.sent_s_by_scope.clear()
        self._usage_changed.set()
        self._send_ended_charges(peer, link)
        self.on_linked(link)

    def _send_ended_charges(self, peer: Peer, link: Link) -> None:
        """Tells a relay of this domain, which may aggregate now, what ended ones used.

        A relay that has just started has not heard of them.
        """
        now = loop_time()
        is_in_domain = peer.failure_domain == self._identity.failure_domain
        if is_in_domain and self.membership.is_aggregator(now):
            charges = self._fleet_usage.ended_charges(now)
            if charges:
                link.send(0, EndedCharges(tuple(charges)))

    def _on_report(
        self, link: Link, peer: Peer, message: RelayReport, now: float
    ) -> None:
        report = message.report
        peer.store_reachable = report.store_reachable
        if report.scope is not Scope.RELAY:
            peer.on_sum(now)
            if report.store_reachable:
                self.informed_boot_s = boot_time_s()
        for address in message.aggregators:
            self.membership.add_aggregator(address, peer.failure_domain, now)
        has_changed = self._fleet_usage.on_report(
            peer.address, peer.incarnation, peer.failure_domain, report, now
        )
        self._forwarder.on_peer_revisions(peer.address, link, message.revisions, now)
        self._forwarder.on_peer_desired_version(
            peer.address, link, message.desired_version, now
        )
        leads = self.membership.leads(now)
        if has_changed and leads and report.scope is Scope.RELAY:
            self._schedule(Scope.DOMAIN, Scope.FLEET)
        elif has_changed and leads and report.scope is Scope.DOMAIN:
            self._schedule(Scope.FLEET)
        if now - self._others_updated_s >= MIN_REPORT_INTERVAL_S:
            self._update_others(leads, now)

    def _schedule(self, *scopes: Scope) -> None:
        """Schedules reports of the given scopes."""
        self._changed_scopes.update(scopes)
        self._usage_changed.set()

    def _update_others(self, leads: bool, now: float) -> None:
        """Updates the usage and the numbers of the other relays."""
        self._others_updated_s = now
        self.others = self._fleet_usage.others(leads, now)
        if not leads:
            found = [
                peer
                for peer in self.membership.peer_by_address.values()
                if peer.forgotten_s is None and not peer.shutting_down
            ]
            self._counts = self._fleet_usage.counts(1 + len(found), now)
        self._on_others_changed()

    def _connect_missing(self, now: float) -> None:
        for peer in self.membership.update_wanted(now):
            if self._link_to(peer.address) is None:
                task = asyncio.ensure_future(self._connect(peer.address))
                self._connecting.add(task)
                task.add_done_callback(self._connecting.discard)

    async def _connect(self, address: str) -> None:
        """Links to a peer and tells it who this relay is."""
        try:
            link = await self._links.link_to(address)
        except OSError:
            return
        if link not in self._address_by_link and link.peer is not None:
            self._address_by_link[link] = address
            link.send(0, self._identity)

    def _link_to(self, address: str) -> Link | None:
        for link, peer_address in self._address_by_link.items():
            if peer_address == address and not link.closed.is_set():
                return link
        return None

    def _remove_lost(self, now: float) -> None:
        """Removes lost links, and peers that are gone."""
        for link, address in list(self._address_by_link.items()):
            if link.closed.is_set():
                del self._address_by_link[link]
                if self._link_to(address) is None:
                    self._timeline.record("peer_lost", peer=address)
                    self._on_link_lost(address)
        for peer in self.membership.take_for_gone(now):
            self._fleet_usage.forget(peer.address, now)
            self._forwarder.forget(peer.address)
            self._timeline.record("peer_forgotten", peer=peer.address)

    def _send_reports(self, now: float) -> None:
        """Sends the reports that are due."""
        usage = self._local_usage()
        self._sequence += 1
        self._fleet_usage.on_own_report(self._sequence, usage)
        peers = self.membership.peer_by_address
        wanted = [peers[address] for address in self.membership.wanted(now)]
        aggregators = self.membership.aggregators(now)
        leads = self.membership.leads(now)
        self._send_own_report(usage, aggregators, wanted, now)
        if self.address in aggregators:
            self._send_sums(usage, aggregators, wanted, now)
        self._changed_scopes.clear()
        self._update_others(leads, now)

    def _send_own_report(
        self, usage: Usage, aggregators: list[str], wanted: list[Peer], now: float
    ) -> None:
        """Reports the usage of this relay to the aggregators of its failure domain."""
        report = UsageReport(
            Scope.RELAY, usage, self._sequence, store_reachable=self._store_reachable()
        )
        message = self._report_message(report, aggregators)
        for peer in wanted:
            if peer.failure_domain == self._identity.failure_domain:
                self._send_paced(peer, message, peer.is_usable(now), now)

    def _send_sums(
        self, usage: Usage, aggregators: list[str], wanted: list[Peer], now: float
    ) -> None:
        """Reports the sum of this domain to others, and that of the fleet in it.

        Only leading aggregators exchange sums as often as usage changes.
        """
        leads = self.membership.leads(now)
        domain_report = self._domain_report(usage, now)
        message = self._report_message(domain_report, aggregators)
        for peer in wanted:
            if peer.failure_domain != self._identity.failure_domain:
                is_lead = peer.address == self.membership.lead(peer.failure_domain, now)
                self._send_paced(peer, message, leads and is_lead, now)
        fleet_report = self._fleet_usage.fleet_report(domain_report, now)
        self._counts = RelayCounts(fleet_report.relay_count, fleet_report.silent_count)
        for address in self._fleet_usage.heard_members(now):
            included = self._fleet_usage.member_sequence(address)
            report = fleet_report._replace(included_sequence=included)
            message = self._report_message(report, aggregators)
            self._send_paced(
                self.membership.peer_by_address[address], message, leads, now
            )

    def _report_message(
        self, report: UsageReport, aggregators: list[str]
    ) -> RelayReport:
        revisions = tuple(
            KindRevision(kind, revision)
            for kind, revision in self._view.revision_by_kind.items()
        )
        desired = self._view.desired_state
        version = 0 if desired is None else desired.version
        return RelayReport(report, revisions, tuple(aggregators), version)

    def _send_paced(
        self, peer: Peer, message: RelayReport, is_active: bool, now: float
    ) -> None:
        """Sends a report to a peer if usage has changed, or its interval is over."""
        scope = message.report.scope
        interval_s = STANDBY_REPORT_INTERVAL_S
        if is_active:
            has_changed = scope in self._changed_scopes
            interval_s = 0.0 if has_changed else IDLE_REPORT_INTERVAL_S
        sent_s = peer.sent_s_by_scope.get(scope)
        if sent_s is not None and now - sent_s < interval_s:
            return
        if self.send_to(peer.address, message):
            peer.sent_s_by_scope[scope] = now

    def _domain_report(self, usage: Usage, now: float) -> UsageReport:
        addresses = [peer.address for peer in self.membership.in_own_domain()]
        return self._fleet_usage.domain_report(
            usage,
            addresses,
            self._sequence,
            self._store_reachable(),
            self.membership.leads(now),
            now,
        )


def relay_hello(instance: str, incarnation: int) -> Hello:
    """Returns the first message of a relay on each link."""
    return Hello("relay", instance, incarnation)
