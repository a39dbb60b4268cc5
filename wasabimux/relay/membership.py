"""Other relays as one relay knows them, and which of them aggregate usage."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

from wasabimux.decisions.aggregation import (
    AGGREGATORS_PER_DOMAIN,
    GONE_AFTER_S,
    SILENT_AFTER_S,
    Scope,
    rank_aggregators,
)
from wasabimux.link.messages import RelayIdentity

#: Time in s without a message of the leading aggregator after which the next one leads.
LEAD_SILENT_AFTER_S = 0.7

#: Time in s for which an aggregator that was away must have aggregated before it leads
#: again. Until then not all relays of its domain may have found it.
LEAD_SETTLE_S = 2.0

#: Time in s for which an aggregator must have reported for its relays to rely on it.
RELIED_REPORT_AGE_S = 0.9

#: Time in s for which a relay must have been taken for gone before others may delete
#: its entry in the platform's store.
DELETE_AFTER_S = 40.0


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
        aggregates_since_s: Loop time in s since which it has sent sums without a gap.
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
    aggregates_since_s: float = 0.0
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

    def on_sum(self, now: float) -> None:
        """Records a sum that the peer sent as an aggregator."""
        if not self.aggregates(now):
            self.aggregates_since_s = now
        self.aggregated_s = now

    def on_restarted(self) -> None:
        """Records that another process has taken the peer's place."""
        self.aggregated_s = None
        self.shutting_down = False

    def is_heard_as_aggregator(self, now: float) -> bool:
        """Returns whether the peer aggregates and was heard a moment ago."""
        return (
            self.aggregated_s is not None
            and self.heard_s is not None
            and now - self.heard_s <= LEAD_SILENT_AFTER_S
        )

    def aggregates(self, now: float, within_s: float = SILENT_AFTER_S) -> bool:
        """Returns whether the peer has reported as an aggregator a short time ago."""
        return (
            self.aggregated_s is not None
            and now - self.aggregated_s <= within_s
            and not self.shutting_down
        )


class Membership:
    """The relays that one relay has found, and their part in aggregation.

    Args:
        identity: Address and failure domain of this relay.

    Attributes:
        peer_by_address: The other relays, those that are not linked included.
        shutting_down: True once this relay shuts down and aggregates no longer.
    """

    def __init__(self, identity: RelayIdentity) -> None:
        self.peer_by_address: dict[str, Peer] = {}
        self.shutting_down = False
        self._identity = identity
        self._aggregator_since_s: float | None = None

    def add(self, address: str, failure_domain: str, now: float) -> bool:
        """Adds a relay that was found; one that is taken for gone stays so.

        Args:
            address: Address of the relay.
            failure_domain: Its failure domain, empty if unknown.
            now: Current time in s.

        Returns:
            True if the relay was not known.
        """
        if address == self._identity.address:
            return False
        peer = self.peer_by_address.get(address)
        if peer is None:
            self.peer_by_address[address] = Peer(address, failure_domain, now)
            return True
        peer.failure_domain = failure_domain or peer.failure_domain
        return False

    def add_aggregator(self, address: str, failure_domain: str, now: float) -> None:
        """Adds an aggregator that another relay of its failure domain reports to."""
        self.add(address, failure_domain, now)
        peer = self.peer_by_address.get(address)
        if peer is not None and peer.forgotten_s is not None:
            peer.forgotten_s = None
            peer.added_s = now

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
        return self._identity.address in self.aggregators(now)

    def leads(self, now: float) -> bool:
        """Returns whether this relay is the leading aggregator of its domain."""
        return self.lead(self._identity.failure_domain, now) == self._identity.address

    def lead(self, failure_domain: str, now: float) -> str | None:
        """Returns the first aggregator of a failure domain that is heard.

        One that has just come back leads only if there is no other.
        """
        aggregators = self.aggregators(now, failure_domain)
        heard = [item for item in aggregators if self._is_heard(item, now)]
        settled = [item for item in heard if self._is_settled(item, now)]
        return next(iter(settled or heard or aggregators), None)

    def _is_heard(self, address: str, now: float) -> bool:
        peer = self.peer_by_address.get(address)
        return peer is None or peer.is_heard_as_aggregator(now)

    def _is_settled(self, address: str, now: float) -> bool:
        """Returns whether an aggregator has aggregated for some time."""
        peer = self.peer_by_address.get(address)
        since_s = self._aggregator_since_s if peer is None else peer.aggregates_since_s
        return since_s is not None and now - since_s >= LEAD_SETTLE_S

    def heard_aggregators(self, now: float, store_reachable: bool) -> list[str]:
        """Returns the peers that are heard as aggregators of any failure domain.

        Args:
            now: Current time in s.
            store_reachable: True for only those that reach the platform's store.
        """
        return [
            peer.address
            for peer in self.peer_by_address.values()
            if peer.aggregates(now) and (peer.store_reachable or not store_reachable)
        ]

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

    def wanted(self, now: float) -> list[str]:
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
                if address != self._identity.address:
                    wanted.append(address)
        return wanted

    def update_wanted(self, now: float) -> list[Peer]:
        """Returns the wanted peers, and records since when each of them is wanted."""
        wanted = self.wanted(now)
        for peer in self.peer_by_address.values():
            if peer.address not in wanted:
                peer.wanted_since_s = None
            elif peer.wanted_since_s is None:
                peer.wanted_since_s = now
        return [self.peer_by_address[address] for address in wanted]

    def take_for_gone(self, now: float) -> list[Peer]:
        """Returns the peers that were silent for so long that they are gone now."""
        if not self.is_aggregator(now):
            self._aggregator_since_s = None
        elif self._aggregator_since_s is None:
            self._aggregator_since_s = now
        gone = [
            peer for peer in self.peer_by_address.values() if self._is_gone(peer, now)
        ]
        for peer in gone:
            peer.forgotten_s = now
            peer.wanted_since_s = None
        return gone

    def _is_gone(self, peer: Peer, now: float) -> bool:
        expected_since_s = self._expected_since_s(peer)
        if expected_since_s is None or peer.forgotten_s is not None:
            return False
        return now - max(expected_since_s, peer.heard_s or 0.0) > GONE_AFTER_S

    def in_own_domain(self) -> Iterable[Peer]:
        """Returns the peers of this relay's failure domain that are not gone."""
        return [
            peer
            for peer in self.peer_by_address.values()
            if peer.failure_domain == self._identity.failure_domain
            and peer.forgotten_s is None
        ]

    def _ranked(self, failure_domain: str) -> list[str]:
        """Returns the relays that may aggregate a failure domain, in their order."""
        addresses = [
            peer.address
            for peer in self.peer_by_address.values()
            if peer.failure_domain == failure_domain
            and not peer.shutting_down
            and peer.forgotten_s is None
        ]
        if failure_domain == self._identity.failure_domain and not self.shutting_down:
            addresses.append(self._identity.address)
        return rank_aggregators(failure_domain, addresses)

    def _is_usable(self, address: str, now: float) -> bool:
        peer = self.peer_by_address.get(address)
        return peer is None or peer.is_usable(now)

    def _expected_since_s(self, peer: Peer) -> float | None:
        """Returns the time in s since which a peer should report; None if it need not.

        Relays report to the aggregators of their failure domain.
        """
        is_own_domain = peer.failure_domain == self._identity.failure_domain
        if is_own_domain and self._aggregator_since_s is not None:
            return max(peer.added_s, self._aggregator_since_s)
        return peer.wanted_since_s
