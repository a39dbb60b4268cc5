"""Sums of usage over relays, and the choice of the relays that aggregate it."""

from __future__ import annotations

import pytest

from wasabimux.decisions.aggregation import (
    SILENT_AFTER_S,
    USAGE_KEPT_S,
    FleetUsage,
    Scope,
    UsageReport,
    rank_aggregators,
)
from wasabimux.decisions.shared_bucket import BucketUsage
from wasabimux.decisions.usage_sums import (
    UpstreamLoad,
    Usage,
    subtract_usage,
    sum_usage,
)


def charges(charged: float, reserved: float = 0.0) -> Usage:
    """Returns the usage of one workspace."""
    return Usage({"ropes": BucketUsage(charged, reserved)})


def report(usage: Usage, scope: Scope = Scope.RELAY, **fields: int) -> UsageReport:
    """Returns a report."""
    return UsageReport(scope, usage, **fields)


@pytest.fixture
def aggregator() -> FleetUsage:
    """Usage as known to an aggregator of zone-a that has just started."""
    return FleetUsage("zone-a")


@pytest.fixture
def member() -> FleetUsage:
    """Usage as known to a relay of zone-a that has just started."""
    return FleetUsage("zone-a")


def charged_by_others(fleet: FleetUsage, now: float, leads: bool) -> float:
    """Returns the tokens that other relays have charged to the workspace."""
    buckets = fleet.others(leads, now).bucket_by_workspace
    return buckets.get("ropes", BucketUsage()).charged


def test_usage_is_summed_and_subtracted() -> None:
    first = Usage(
        {"ropes": BucketUsage(10.0, 5.0)},
        {"engine": UpstreamLoad(2, (3.0,) * 7, 1, 0, 3.0)},
        waiting=1,
    )
    second = Usage(
        {"ropes": BucketUsage(1.0, 1.0), "dyes": BucketUsage(7.0)},
        {"engine": UpstreamLoad(1, (9.0,) * 7, 0, 1, 9.0)},
        waiting=2,
    )
    total = sum_usage([first, second])
    assert total.bucket_by_workspace["ropes"] == BucketUsage(11.0, 6.0)
    assert total.load_by_upstream["engine"] == UpstreamLoad(3, (12.0,) * 7, 1, 1, 9.0)
    assert total.waiting == 3
    rest = subtract_usage(total, first)
    assert rest.bucket_by_workspace == second.bucket_by_workspace | {
        "dyes": BucketUsage(7.0)
    }
    assert rest.load_by_upstream["engine"] == UpstreamLoad(1, (9.0,) * 7, 0, 1, 9.0)


def test_relays_that_know_the_same_addresses_agree_on_the_aggregators() -> None:
    addresses = [f"10.0.0.{number}:7500" for number in range(14)]
    ranked = rank_aggregators("zone-a", addresses)
    assert sorted(ranked) == sorted(addresses)
    assert ranked == rank_aggregators("zone-a", addresses[::-1])
    assert ranked[1:] == rank_aggregators("zone-a", ranked[1:])
    assert ranked != rank_aggregators("zone-b", addresses)


def test_a_member_takes_its_own_part_off_the_sum(
    aggregator: FleetUsage, member: FleetUsage
) -> None:
    member.on_own_report(1, charges(50.0, reserved=5.0))
    member.on_own_report(2, charges(80.0, reserved=0.0))
    aggregator.on_report("m", 1, "zone-a", report(charges(50.0, 5.0), sequence=1), 0.1)
    domain = aggregator.domain_report(charges(20.0, 2.0), ["m"], 1, True, True, 0.2)
    fleet = aggregator.fleet_report(domain, 0.2)
    included = aggregator.member_sequence("m")
    assert included == 1
    member.on_report(
        "agg", 2, "zone-a", fleet._replace(included_sequence=included), 0.2
    )
    others = member.others(False, 0.2)
    assert others.bucket_by_workspace["ropes"] == BucketUsage(20.0, 2.0)
    assert member.counts(known=1, now=0.2) == (2, 0)


def test_use_in_another_domain_counts_once_whichever_aggregator_reports_it(
    aggregator: FleetUsage,
) -> None:
    for address in ("b1", "b2"):
        message = report(charges(30.0, 3.0), Scope.DOMAIN, relay_count=4)
        aggregator.on_report(address, 1, "zone-b", message, 0.1)
    message = report(charges(45.0, 1.0), Scope.DOMAIN, relay_count=4)
    aggregator.on_report("b2", 1, "zone-b", message, 0.2)
    others = aggregator.others(True, 0.2)
    assert others.bucket_by_workspace["ropes"] == BucketUsage(45.0, 1.0)


def test_a_lost_lead_leaves_no_gap(aggregator: FleetUsage) -> None:
    """The second aggregator of a domain goes on where the first one ended."""
    for address in ("b1", "b2"):
        message = report(charges(100.0), Scope.DOMAIN, relay_count=3)
        aggregator.on_report(address, 1, "zone-b", message, 0.5)
    silent_s = 0.5 + 2 * SILENT_AFTER_S
    message = report(charges(120.0), Scope.DOMAIN, relay_count=3)
    aggregator.on_report("b2", 1, "zone-b", message, silent_s)
    assert charged_by_others(aggregator, silent_s, True) == 120.0
    domain = aggregator.domain_report(Usage(), [], 1, True, True, silent_s)
    assert aggregator.fleet_report(domain, silent_s).silent_count == 0


def test_the_sum_that_misses_the_fewest_relays_is_used(aggregator: FleetUsage) -> None:
    """An aggregator that is cut off from its domain does not hide its relays."""
    whole = report(charges(100.0), Scope.DOMAIN, relay_count=3)
    aggregator.on_report("b2", 1, "zone-b", whole, 0.0)
    part = report(charges(10.0), Scope.DOMAIN, relay_count=3, silent_count=2)
    aggregator.on_report("b1", 1, "zone-b", part, 0.1)
    assert charged_by_others(aggregator, 0.1, True) == 100.0


def test_a_relay_that_starts_to_lead_knows_what_members_report(
    aggregator: FleetUsage, member: FleetUsage
) -> None:
    aggregator.on_report("m", 1, "zone-a", report(charges(0.0), sequence=1), 0.1)
    aggregator.on_report("n", 1, "zone-a", report(charges(70.0), sequence=1), 0.1)
    domain = aggregator.domain_report(charges(30.0), ["m", "n"], 1, True, True, 0.2)
    member.on_report("agg", 2, "zone-a", aggregator.fleet_report(domain, 0.2), 0.2)
    assert charged_by_others(member, 0.2, False) == 100.0
    member.on_report("n", 1, "zone-a", report(charges(70.0)), 0.3)
    member.on_report("agg", 2, "zone-a", report(charges(30.0)), 0.3)
    assert charged_by_others(member, 0.3, True) == 100.0


def test_silent_relays_are_counted_and_their_use_ends(aggregator: FleetUsage) -> None:
    aggregator.on_report("m", 1, "zone-a", report(charges(10.0, 4.0)), 0.0)
    message = report(charges(10.0, 6.0), Scope.DOMAIN, relay_count=3)
    aggregator.on_report("b1", 1, "zone-b", message, 0.0)
    silent_s = 1.1 * SILENT_AFTER_S
    domain = aggregator.domain_report(Usage(), ["m"], 1, True, True, silent_s)
    fleet = aggregator.fleet_report(domain, silent_s)
    assert (fleet.relay_count, fleet.silent_count) == (5, 4)
    assert fleet.usage.bucket_by_workspace["ropes"] == BucketUsage(20.0, 10.0)
    late_s = 1.1 * USAGE_KEPT_S
    assert aggregator.others(True, late_s) == Usage()


def test_a_relay_that_leaves_is_not_silent(aggregator: FleetUsage) -> None:
    aggregator.on_report("m", 1, "zone-a", report(charges(10.0)), 0.0)
    aggregator.on_leaving("m")
    later_s = 2 * SILENT_AFTER_S
    domain = aggregator.domain_report(Usage(), ["m"], 1, True, True, later_s)
    assert (domain.relay_count, domain.silent_count) == (1, 0)


def test_without_an_aggregator_all_others_count_as_silent(member: FleetUsage) -> None:
    assert member.counts(known=6, now=0.0) == (6, 5)


def test_a_restarted_member_replaces_its_former_process(aggregator: FleetUsage) -> None:
    aggregator.on_report("m", 1, "zone-a", report(charges(10.0)), 0.0)
    aggregator.on_report("m", 2, "zone-a", report(charges(3.0)), 0.5)
    assert charged_by_others(aggregator, 0.5, True) == 3.0


def test_growth_of_streams_is_no_change(aggregator: FleetUsage) -> None:
    def usage(running: int, memory: float) -> Usage:
        return Usage({}, {"engine": UpstreamLoad(running, (memory,) * 7)})

    def has_changed(number: int, sent: Usage) -> bool:
        return aggregator.on_report("m", 1, "zone-a", report(sent), number * 0.1)

    assert has_changed(1, usage(1, 100.0))
    assert not has_changed(2, usage(1, 120.0))
    assert has_changed(3, usage(2, 120.0))
    assert has_changed(4, Usage())
