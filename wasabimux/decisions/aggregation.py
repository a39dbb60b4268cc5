"""Which relays aggregate the usage of a failure domain, and what the fleet uses.

Made for fleets of hundreds of relays. Each relay reports its usage to the aggregators
of its failure domain. They exchange the sums of their domains and return the sum of the
fleet to the relays of their own. A relay thus hears a few others, whatever the size of
the fleet, and messages take three hops at most.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import Enum
from typing import NamedTuple

from wasabimux.decisions.ended_charges import (
    EndedCharge,
    EndedCharges,
    MemberCharges,
)
from wasabimux.decisions.memory_forecast import ZERO_FORECAST
from wasabimux.decisions.placement import rendezvous_top
from wasabimux.decisions.usage_sums import NO_USAGE, Usage, subtract_usage, sum_usage

#: Aggregators of each failure domain. With two, one may fail without a gap.
AGGREGATORS_PER_DOMAIN = 2

#: Time in s without a report after which a relay counts as silent. The second
#: aggregator of a domain reports once a second.
SILENT_AFTER_S = 1.6

#: Time in s for which the reported usage of a silent relay still counts, about as long
#: as a stream runs on after its relay was lost. Its charges count for their window.
USAGE_KEPT_S = 5.0

#: Time in s without a report after which a relay counts as gone rather than silent.
GONE_AFTER_S = 20.0

#: Own reports that are kept to find the one that an aggregator's sum includes.
MAX_KEPT_REPORTS = 128


class Scope(Enum):
    """Whose usage a report sums up."""

    RELAY = 0
    DOMAIN = 1
    FLEET = 2


class UsageReport(NamedTuple):
    """Usage of a relay, of a failure domain or of the fleet.

    Attributes:
        scope: Whose usage it is.
        usage: The usage.
        sequence: Number of the sender's report of its own usage.
        included_sequence: Number of the receiver's last report that the sum includes,
            0 if none.
        relay_count: Relays that the sum covers, silent ones included.
        silent_count: Relays among them that are silent.
        store_reachable: True if the platform's store answers the sender.
        leads: True if the sender leads its failure domain; other aggregators hear of
            changes later.
    """

    scope: Scope
    usage: Usage
    sequence: int = 0
    included_sequence: int = 0
    relay_count: int = 1
    silent_count: int = 0
    store_reachable: bool = True
    leads: bool = False


def rank_aggregators(domain: str, addresses: Collection[str]) -> list[str]:
    """Returns the relays of a failure domain in the order in which they aggregate it.

    The first AGGREGATORS_PER_DOMAIN usable ones are its aggregators. Relays that know
    the same addresses agree on the order.

    Args:
        domain: The failure domain.
        addresses: Addresses of its relays.
    """
    return rendezvous_top(domain.encode(), addresses, len(addresses))


@dataclass(slots=True)
class _Heard:
    """The last report of a relay.

    Attributes:
        incarnation: Incarnation of the relay's process.
        report: The report.
        heard_s: Time in s at which it arrived.
        leaving: True if the relay has announced its shutdown.
    """

    incarnation: int
    report: UsageReport
    heard_s: float
    leaving: bool = False

    def is_silent(self, now: float) -> bool:
        """Returns whether the relay is silent."""
        return now - self.heard_s > SILENT_AFTER_S

    def usage(self, now: float) -> Usage:
        """Returns the usage, none after the relay has been silent for long."""
        return self.report.usage if now - self.heard_s <= USAGE_KEPT_S else NO_USAGE


@dataclass(slots=True)
class _Member(_Heard):
    """The last report of a relay of the own failure domain.

    Attributes:
        charges: When it charged its tokens.
    """

    charges: MemberCharges = field(default_factory=lambda: MemberCharges(0.0))

    def usage(self, now: float) -> Usage:
        """Returns the usage, only the charges after the relay was silent for long."""
        if now - self.heard_s <= USAGE_KEPT_S:
            return self.report.usage
        return Usage(self.charges.buckets(now))


class RelayCounts(NamedTuple):
    """Numbers of relays.

    Attributes:
        known: All relays, silent ones included.
        silent: Relays that are silent but may still serve clients.
    """

    known: int
    silent: int


class FleetUsage:
    """Usage of the other relays as one relay knows it.

    Args:
        domain: Failure domain of the relay.
        charges_window_s: Time in s for which the charges of a relay count after it has
            ended.
    """

    def __init__(self, domain: str, charges_window_s: float = 0.0) -> None:
        self._domain = domain
        self._charges_window_s = charges_window_s
        self._member_by_address: dict[str, _Member] = {}
        self._ended = EndedCharges(charges_window_s)
        self._sources_by_domain: dict[str, dict[str, _Heard]] = {}
        self._fleet_by_address: dict[str, _Heard] = {}
        self._own_reports: deque[tuple[int, Usage]] = deque(maxlen=MAX_KEPT_REPORTS)

    def on_own_report(self, sequence: int, usage: Usage) -> None:
        """Remembers a report of this relay, to take it off the sums that include it."""
        self._own_reports.append((sequence, usage))

    def on_report(
        self,
        address: str,
        incarnation: int,
        domain: str,
        report: UsageReport,
        now: float,
    ) -> bool:
        """Applies a report of another relay.

        Args:
            address: Address of the relay.
            incarnation: Incarnation of its process.
            domain: Its failure domain.
            report: The report.
            now: Current time in s.

        Returns:
            True if the relay's usage has changed, apart from the growth of streams.
        """
        if report.scope is Scope.RELAY:
            before = self._on_member_report(address, incarnation, report, now)
        else:
            sources = self._fleet_by_address
            if report.scope is Scope.DOMAIN:
                sources = self._sources_by_domain.setdefault(domain, {})
            before = sources.get(address)
            sources[address] = _Heard(incarnation, report, now)
        return before is None or _has_changed(before.report.usage, report.usage)

    def on_leaving(self, address: str) -> None:
        """Records that a relay has announced its shutdown."""
        member = self._member_by_address.get(address)
        if member is not None:
            member.leaving = True
        for sources in self._sources_by_domain.values():
            sources.pop(address, None)
        self._fleet_by_address.pop(address, None)

    def forget(self, address: str, now: float) -> None:
        """Drops what a relay that is gone has reported, except its charges."""
        member = self._member_by_address.pop(address, None)
        if member is not None:
            self._on_ended(member, now)
        self._fleet_by_address.pop(address, None)

    def ended_charges(self, now: float) -> list[EndedCharge]:
        """Returns the charges of ended relays, for another aggregator of the domain."""
        return self._ended.charges(now)

    def on_ended_charges(self, charges: Iterable[EndedCharge], now: float) -> None:
        """Takes over what another aggregator knows of relays that have ended."""
        self._ended.merge(charges, now)

    def heard_members(self, now: float) -> list[str]:
        """Returns the relays that report to this one and are not silent."""
        return [
            address
            for address, member in self._member_by_address.items()
            if not member.is_silent(now)
        ]

    def member_sequence(self, address: str) -> int:
        """Returns the number of a member's last report, 0 without one."""
        member = self._member_by_address.get(address)
        return 0 if member is None else member.report.sequence

    def domain_report(
        self,
        local_usage: Usage,
        addresses: Iterable[str],
        sequence: int,
        store_reachable: bool,
        leads: bool,
        now: float,
    ) -> UsageReport:
        """Returns the sum of this failure domain, as one of its aggregators.

        Args:
            local_usage: Usage of this relay.
            addresses: Addresses of the other relays of the domain.
            sequence: Number of the report.
            store_reachable: True if the platform's store answers this relay.
            leads: True if this relay leads its failure domain.
            now: Current time in s.
        """
        counts = self._domain_counts(addresses, now)
        return UsageReport(
            Scope.DOMAIN,
            sum_usage([self._members_usage(now), local_usage]),
            sequence,
            0,
            counts.known,
            counts.silent,
            store_reachable,
            leads,
        )

    def fleet_report(self, domain_report: UsageReport, now: float) -> UsageReport:
        """Returns the sum of the fleet, as an aggregator.

        Args:
            domain_report: Sum of this failure domain.
            now: Current time in s.
        """
        relay_count, silent = domain_report.relay_count, domain_report.silent_count
        for heard in self._other_domains(now):
            relay_count += heard.report.relay_count
            if heard.is_silent(now):
                silent += heard.report.relay_count
            else:
                silent += heard.report.silent_count
        return domain_report._replace(
            scope=Scope.FLEET,
            usage=sum_usage([domain_report.usage, self._other_domains_usage(now)]),
            relay_count=relay_count,
            silent_count=silent,
        )

    def others(self, leads: bool, now: float) -> Usage:
        """Returns the usage of all other relays.

        Args:
            leads: True if this relay leads its failure domain: it sums up the reports
                of others itself, while the other relays get the sum from it.
            now: Current time in s.
        """
        if leads:
            return sum_usage([self._members_usage(now), self._other_domains_usage(now)])
        heard = _best(self._fleet_by_address.values(), now)
        if heard is None or now - heard.heard_s > USAGE_KEPT_S:
            return NO_USAGE
        return self._without_own(heard.report)

    def news_age_s(self, now: float) -> float:
        """Returns the age in s of the sum of the fleet that a member uses."""
        heard = _best(self._fleet_by_address.values(), now)
        return GONE_AFTER_S if heard is None else now - heard.heard_s

    def counts(self, known: int, now: float) -> RelayCounts:
        """Returns the numbers of relays of the fleet, as its aggregators tell them.

        Args:
            known: Number of relays that this relay has found, itself included. Without
                an aggregator all others count as silent.
            now: Current time in s.
        """
        heard = _best(self._fleet_by_address.values(), now)
        if heard is None or heard.is_silent(now):
            return RelayCounts(known, known - 1)
        return RelayCounts(heard.report.relay_count, heard.report.silent_count)

    def _on_member_report(
        self, address: str, incarnation: int, report: UsageReport, now: float
    ) -> _Heard | None:
        before = self._member_by_address.get(address)
        charges, is_leaving = MemberCharges(self._charges_window_s), False
        if before is not None and before.incarnation == incarnation:
            charges, is_leaving = before.charges, before.leaving
        elif before is not None:
            self._on_ended(before, now)
        charges.on_report(report.usage.bucket_by_workspace, now)
        self._member_by_address[address] = _Member(
            incarnation, report, now, is_leaving, charges
        )
        return before

    def _on_ended(self, member: _Member, now: float) -> None:
        if self._charges_window_s > 0:
            buckets = member.report.usage.bucket_by_workspace
            member.charges.end(buckets, member.heard_s)
            self._ended.add(member.charges.charges(now), now)

    def _without_own(self, report: UsageReport) -> Usage:
        """Returns a sum without the part that this relay itself has reported."""
        own = NO_USAGE
        for sequence, usage in self._own_reports:
            if sequence > report.included_sequence:
                break
            own = usage
        return subtract_usage(report.usage, own)

    def _members_usage(self, now: float) -> Usage:
        """Returns the usage of the other relays of this domain, ended ones included."""
        members = self._member_by_address.values()
        usages = [member.usage(now) for member in members]
        return sum_usage([*usages, Usage(self._ended.buckets(now))])

    def _other_domains_usage(self, now: float) -> Usage:
        """Returns the usage of the other failure domains."""
        return sum_usage(heard.usage(now) for heard in self._other_domains(now))

    def _other_domains(self, now: float) -> list[_Heard]:
        """Returns the report to use of each other failure domain."""
        reports = [
            _best(sources.values(), now)
            for domain, sources in self._sources_by_domain.items()
            if domain != self._domain
        ]
        return [heard for heard in reports if heard is not None]

    def _domain_counts(self, addresses: Iterable[str], now: float) -> RelayCounts:
        known, silent = 1, 0
        for address in addresses:
            member = self._member_by_address.get(address)
            if member is not None and member.leaving:
                continue
            known += 1
            silent += member is None or member.is_silent(now)
        return RelayCounts(known, silent)


def _best(heard: Iterable[_Heard], now: float) -> _Heard | None:
    """Returns the report that misses the fewest relays, of these the lead's latest."""
    return max(
        (item for item in heard if now - item.heard_s <= GONE_AFTER_S),
        key=lambda item: (
            not item.is_silent(now),
            -item.report.silent_count,
            item.report.leads,
            item.heard_s,
        ),
        default=None,
    )


def _has_changed(before: Usage, usage: Usage) -> bool:
    """Returns whether usage has changed, apart from demand and growth of streams."""
    if before.bucket_by_workspace.keys() != usage.bucket_by_workspace.keys():
        return True
    if any(
        bucket._replace(asked=0.0)
        != usage.bucket_by_workspace[workspace]._replace(asked=0.0)
        for workspace, bucket in before.bucket_by_workspace.items()
    ):
        return True
    if before.load_by_upstream.keys() != usage.load_by_upstream.keys():
        return True
    return any(
        load._replace(memory=ZERO_FORECAST, largest_memory=0.0)
        != usage.load_by_upstream[upstream]._replace(
            memory=ZERO_FORECAST, largest_memory=0.0
        )
        for upstream, load in before.load_by_upstream.items()
    )
