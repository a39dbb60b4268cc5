"""Links among relays, which exchange usage and newer platform objects.

Each relay links to the aggregators of its failure domain, and aggregators link to those
of the other domains; see `wasabimux.decisions.aggregation`.
"""

from __future__ import annotations

import asyncio
import json
from collections.abc import Callable
from dataclasses import dataclass, field

from wasabimux._clock import loop_time
from wasabimux.decisions.aggregation import (
    AGGREGATORS_PER_DOMAIN,
    GONE_AFTER_S,
    SILENT_AFTER_S,
    FleetUsage,
    RelayCounts,
    Scope,
    UsageReport,
    rank_aggregators,
)
from wasabimux.decisions.usage_sums import NO_USAGE, Usage
from wasabimux.entry.peers import PeerLinks
from wasabimux.link.link import Link
from wasabimux.link.messages import (
    DesiredStateOffer,
    ForwardedObjects,
    Hello,
    KindRevision,
    Message,
    RelayIdentity,
    RelayLeaving,
    RelayReport,
)
from wasabimux.relay.forwarding import ObjectForwarder
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

#: Time in s without a message of the leading aggregator after which the next one leads.
LEAD_SILENT_AFTER_S = 0.7

#: Time in s for which an aggregator must have reported for its relays to rely on it.
RELIED_REPORT_AGE_S = 0.9

#: Time in s for which a relay must have been taken for gone before others may delete
#: its entry in the platform's store.
DELETE_AFTER_S = 40.0

#: Longest wait in s for the shutdown notice to be sent to all peers.
SHUTDOWN_NOTICE_TIMEOUT_S = 0.3

#: Time in s between attempts to connect to peers without a link.
CONNECT_INTERVAL_S = 0.5


@dataclass(slots=True)
class Peer:
    """State of another relay.

    Attributes:
        address: Address on which the peer accepts links.
        failure_domain: Failure domain of the peer, empty if unknown.
        added_s: Loop time in s at which the address became known.
        wanted_since_s: Loop time in s since which this relay wants reports of the peer,
            None if it does not.
        heard_s: Loop time in s of the last message, None before the first.
        aggregated_s: Loop time in s of the last sum that the peer sent as an
            aggregator, None before the first.
        sent_s_by_scope: Loop time in s of the last report sent to the peer.
        incarnation: Incarnation of the peer's process, 0 if unknown.
        shutting_down: True if the peer has announced its shutdown.
        store_reachable: True if the platform's store answers the peer.
        forgotten_s: Loop time in s at which the peer was taken for gone, None if not.
    """

    address: str
    failure_domain: str
    added_s: float
    wanted_since_s: float | None = None
    heard_s: float | None = None
    aggregated_s: float | None = None
    sent_s_by_scope: dict[Scope, float] = field(default_factory=dict)
    incarnation: int = 0
    shutting_down: bool = False
    store_reachable: bool = True
    forgotten_s: float | None = None

    def is_usable(self, now: float) -> bool:
        """Returns whether the peer may be an aggregator: it reports, or may soon."""
        if self.shutting_down or self.forgotten_s is not None:
            return False
        if self.wanted_since_s is None:
            return True
        last_s = max(self.wanted_since_s, self.aggregated_s or self.wanted_since_s)
        return now - last_s <= SILENT_AFTER_S

    def aggregates(self, now: float, within_s: float = SILENT_AFTER_S) -> bool:
        """Returns whether the peer has reported as an aggregator a short time ago."""
        return (
            self.aggregated_s is not None
            and now - self.aggregated_s <= within_s
            and not self.shutting_down
        )


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
        peer_by_address: Known peers, those that are not linked included.
        others: Usage of the other relays.
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
        self.peer_by_address: dict[str, Peer] = {}
        self.others: Usage = NO_USAGE
        self._identity = RelayIdentity(address, failure_domain)
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
        self._shutting_down = False
        self._address_by_link: dict[Link, str] = {}
        self._usage_changed = asyncio.Event()
        self._changed_scopes: set[Scope] = set()
        self._counts = RelayCounts(1, 0)
        self._aggregator_since_s: float | None = None
        self._others_updated_s = 0.0
        self._next_connect_s = 0.0
        self._connecting: set[asyncio.Task[None]] = set()

    @property
    def address(self) -> str:
        """Address on which this relay accepts links."""
        return self._identity.address

    def add_peer(self, address: str, failure_domain: str = "") -> None:
        """Adds a relay that was found; one that is taken for gone stays so."""
        if address == self.address:
            return
        peer = self.peer_by_address.get(address)
        if peer is None:
            peer = Peer(address, failure_domain, loop_time())
            self.peer_by_address[address] = peer
            self._next_connect_s = 0.0
            self._usage_changed.set()
        peer.failure_domain = failure_domain or peer.failure_domain

    def is_gone(self, address: str, now: float) -> bool:
        """Returns whether a relay of this failure domain is gone for good.

        Only an aggregator can tell, as all relays of its domain report to it.
        """
        peer = self.peer_by_address.get(address)
        return (
            peer is not None
            and peer.failure_domain == self._identity.failure_domain
            and peer.forgotten_s is not None
            and now - peer.forgotten_s > DELETE_AFTER_S
            and self.is_aggregator(now)
        )

    def aggregators(self, now: float, failure_domain: str | None = None) -> list[str]:
        """Returns the aggregators of a failure domain, the leading one first.

        Args:
            now: Current time in s.
            failure_domain: The failure domain, by default that of this relay.
        """
        ranked = self._ranked(failure_domain or self._identity.failure_domain)
        usable = [address for address in ranked if self._is_usable(address, now)]
        return usable[:AGGREGATORS_PER_DOMAIN]

    def is_aggregator(self, now: float) -> bool:
        """Returns whether this relay is an aggregator of its failure domain."""
        return self.address in self.aggregators(now)

    def live_aggregators(self, now: float, store_reachable: bool = False) -> list[str]:
        """Returns the aggregators of all failure domains that this relay hears.

        Relays agree on them while all aggregators hear one another.

        Args:
            now: Current time in s.
            store_reachable: True for only those that reach the platform's store.
        """
        live = [
            peer.address
            for peer in self.peer_by_address.values()
            if peer.aggregates(now) and (peer.store_reachable or not store_reachable)
        ]
        if self.is_aggregator(now) and (self._store_reachable() or not store_reachable):
            live.append(self.address)
        return live

    def is_informed_by_peer(self, now: float) -> bool:
        """Returns whether an aggregator tells this relay of changes in the store."""
        if self.is_aggregator(now):
            return False
        return any(
            peer.aggregates(now, RELIED_REPORT_AGE_S) and peer.store_reachable
            for peer in map(self.peer_by_address.get, self.aggregators(now))
            if peer is not None
        )

    def hears_aggregator(self, now: float) -> bool:
        """Returns whether an aggregator of the own failure domain reports."""
        return any(
            peer.aggregates(now)
            for peer in self.peer_by_address.values()
            if peer.failure_domain == self._identity.failure_domain
        )

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
        self._shutting_down = True
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
        if isinstance(message, RelayIdentity):
            self._on_identity(link, message)
            return
        peer = self.peer_by_address.get(self._address_by_link.get(link, ""))
        if peer is None:
            return
        now = loop_time()
        peer.heard_s = now
        peer.forgotten_s = None
        if isinstance(message, ForwardedObjects):
            self._forwarder.apply(message, now)
        elif isinstance(message, DesiredStateOffer):
            self._view.offer_desired_state(json.loads(message.document), now)
        elif isinstance(message, RelayReport):
            self._on_report(link, peer, message, now)
        elif isinstance(message, RelayLeaving):
            peer.shutting_down = True
            self._fleet_usage.on_leaving(peer.address, now)

    def on_view_changed(self) -> None:
        """Passes changes of the view on to the relays that rely on this one."""
        now = loop_time()
        if not self.is_aggregator(now):
            return
        for address in self._fleet_usage.heard_members(now):
            link = self._link_to(address)
            if link is not None:
                self._forwarder.push(address, link, now)

    def _is_usable(self, address: str, now: float) -> bool:
        peer = self.peer_by_address.get(address)
        return peer is None or peer.is_usable(now)

    @property
    def report_delay_s(self) -> float:
        """Longest time in s until this relay knows what others use, over three hops."""
        return MAX_REPORT_HOPS * self._report_interval_s()

    def _report_interval_s(self) -> float:
        """Returns the shortest time in s between reports."""
        interval_s = REPORT_INTERVAL_S_PER_RELAY * len(self.peer_by_address)
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
        peer = self.peer_by_address[identity.address]
        if peer.incarnation != link.peer.incarnation:
            self._fleet_usage.forget(peer.address)
            self._forwarder.forget(peer.address)
            self._on_link_lost(peer.address)
            peer.shutting_down = False
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

    def _on_report(
        self, link: Link, peer: Peer, message: RelayReport, now: float
    ) -> None:
        report = message.report
        peer.store_reachable = report.store_reachable
        if report.scope is not Scope.RELAY:
            peer.aggregated_s = now
        for address in message.aggregators:
            self._on_aggregator_named(address, peer.failure_domain)
        has_changed = self._fleet_usage.on_report(
            peer.address, peer.incarnation, peer.failure_domain, report, now
        )
        self._forwarder.on_peer_revisions(peer.address, link, message.revisions, now)
        self._forwarder.on_peer_desired_version(
            peer.address, link, message.desired_version, now
        )
        leads = self.leads(now)
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

    def _on_aggregator_named(self, address: str, failure_domain: str) -> None:
        """Adds an aggregator that another relay of its failure domain reports to."""
        self.add_peer(address, failure_domain)
        peer = self.peer_by_address.get(address)
        if peer is not None and peer.forgotten_s is not None:
            peer.forgotten_s = None
            peer.added_s = loop_time()

    def _update_others(self, leads: bool, now: float) -> None:
        """Updates the usage and the numbers of the other relays."""
        self._others_updated_s = now
        self.others = self._fleet_usage.others(leads, now)
        if not leads:
            found = [
                peer
                for peer in self.peer_by_address.values()
                if peer.forgotten_s is None and not peer.shutting_down
            ]
            self._counts = self._fleet_usage.counts(1 + len(found), now)
        self._on_others_changed()

    def _connect_missing(self, now: float) -> None:
        wanted = self._wanted(now)
        for peer in self.peer_by_address.values():
            if peer.address not in wanted:
                peer.wanted_since_s = None
        for address in wanted:
            peer = self.peer_by_address[address]
            if peer.wanted_since_s is None:
                peer.wanted_since_s = now
            if self._link_to(address) is None:
                task = asyncio.ensure_future(self._connect(address))
                self._connecting.add(task)
                task.add_done_callback(self._connecting.discard)

    def _wanted(self, now: float) -> list[str]:
        """Returns the peers that this relay exchanges reports with as a sender.

        Relays that are silent but would be aggregators if they were heard are included.
        """
        domains = {self._identity.failure_domain}
        if self.is_aggregator(now):
            peers = self.peer_by_address.values()
            domains |= {peer.failure_domain for peer in peers}
        wanted = []
        for domain in sorted(domains):
            usable_count = 0
            for address in self._ranked(domain):
                if usable_count == AGGREGATORS_PER_DOMAIN:
                    break
                usable_count += self._is_usable(address, now)
                if address != self.address:
                    wanted.append(address)
        return wanted

    def _ranked(self, failure_domain: str) -> list[str]:
        """Returns the relays that may aggregate a failure domain, in their order."""
        addresses = [
            peer.address
            for peer in self.peer_by_address.values()
            if peer.failure_domain == failure_domain
            and not peer.shutting_down
            and peer.forgotten_s is None
        ]
        if failure_domain == self._identity.failure_domain and not self._shutting_down:
            addresses.append(self.address)
        return rank_aggregators(failure_domain, addresses)

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
        if not self.is_aggregator(now):
            self._aggregator_since_s = None
        elif self._aggregator_since_s is None:
            self._aggregator_since_s = now
        for peer in self.peer_by_address.values():
            expected_since_s = self._expected_since_s(peer)
            if expected_since_s is None or peer.forgotten_s is not None:
                continue
            if now - max(expected_since_s, peer.heard_s or 0.0) > GONE_AFTER_S:
                peer.forgotten_s = now
                peer.wanted_since_s = None
                self._fleet_usage.forget(peer.address)
                self._forwarder.forget(peer.address)
                self._timeline.record("peer_forgotten", peer=peer.address)

    def _expected_since_s(self, peer: Peer) -> float | None:
        """Returns the time in s since which a peer should report; None if it need not.

        Relays report to the aggregators of their failure domain.
        """
        is_own_domain = peer.failure_domain == self._identity.failure_domain
        if is_own_domain and self._aggregator_since_s is not None:
            return max(peer.added_s, self._aggregator_since_s)
        return peer.wanted_since_s

    def _send_reports(self, now: float) -> None:
        """Sends the reports that are due."""
        usage = self._local_usage()
        self._sequence += 1
        self._fleet_usage.on_own_report(self._sequence, usage)
        wanted = [self.peer_by_address[address] for address in self._wanted(now)]
        aggregators = self.aggregators(now)
        leads = self.leads(now)
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
        leads = self.leads(now)
        domain_report = self._domain_report(usage, now)
        message = self._report_message(domain_report, aggregators)
        for peer in wanted:
            if peer.failure_domain != self._identity.failure_domain:
                is_lead = peer.address == self._lead(peer.failure_domain, now)
                self._send_paced(peer, message, leads and is_lead, now)
        fleet_report = self._fleet_usage.fleet_report(domain_report, now)
        self._counts = RelayCounts(fleet_report.relay_count, fleet_report.silent_count)
        for address in self._fleet_usage.heard_members(now):
            included = self._fleet_usage.member_sequence(address)
            report = fleet_report._replace(included_sequence=included)
            message = self._report_message(report, aggregators)
            self._send_paced(self.peer_by_address[address], message, leads, now)

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

    def leads(self, now: float) -> bool:
        """Returns whether this relay is the leading aggregator of its domain."""
        return self._lead(self._identity.failure_domain, now) == self.address

    def _lead(self, failure_domain: str, now: float) -> str | None:
        """Returns the first aggregator of a failure domain that is heard."""
        aggregators = self.aggregators(now, failure_domain)
        for address in aggregators:
            peer = self.peer_by_address.get(address)
            if peer is None or (
                peer.aggregated_s is not None
                and peer.heard_s is not None
                and now - peer.heard_s <= LEAD_SILENT_AFTER_S
            ):
                return address
        return aggregators[0] if aggregators else None

    def _domain_report(self, usage: Usage, now: float) -> UsageReport:
        own_domain = self._identity.failure_domain
        addresses = [
            peer.address
            for peer in self.peer_by_address.values()
            if peer.failure_domain == own_domain and peer.forgotten_s is None
        ]
        return self._fleet_usage.domain_report(
            usage,
            addresses,
            self._sequence,
            self._store_reachable(),
            self.leads(now),
            now,
        )


def relay_hello(instance: str, incarnation: int) -> Hello:
    """Returns the first message of a relay on each link."""
    return Hello("relay", instance, incarnation)
