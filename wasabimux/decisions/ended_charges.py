"""Charges of relays that have ended, which count until they leave the window.

Made for fleets whose relays restart in turn while a workspace uses all of its rate
limit. An aggregator hears when each relay of its failure domain charges tokens. Once a
relay has ended, the aggregator goes on counting them in the domain's sum; without them,
each restart would let the others charge as much again.
"""

from __future__ import annotations

from collections.abc import Iterable, Iterator, Mapping
from typing import NamedTuple

from wasabimux.decisions.charge_window import BIN_WIDTH_S, ReportedCharges
from wasabimux.decisions.shared_bucket import BucketUsage


class EndedCharge(NamedTuple):
    """Tokens of a workspace that relays charged at about the same time.

    Attributes:
        workspace: Workspace that the tokens were used for.
        age_s: Time in s since they were charged.
        tokens: Number of tokens.
    """

    workspace: str
    age_s: float
    tokens: float


class MemberCharges:
    """When one relay charged its tokens, as learned from its reports.

    Args:
        window_s: Time in s for which charges count.
    """

    __slots__ = ("_window_s", "_charges_by_workspace", "_applied_s")

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._charges_by_workspace: dict[str, ReportedCharges] = {}
        self._applied_s: float | None = None

    def on_report(self, buckets: Mapping[str, BucketUsage], now: float) -> None:
        """Records the usage that a relay reports, once for each bin."""
        if self._applied_s is None or now - self._applied_s >= BIN_WIDTH_S:
            self._apply(buckets, now)

    def end(self, last: Mapping[str, BucketUsage], heard_s: float) -> None:
        """Records the last report; what was reserved then may have run."""
        self._apply(last, heard_s)
        for workspace, bucket in last.items():
            charges = self._charges_by_workspace.setdefault(
                workspace, ReportedCharges()
            )
            charges.add_ended(bucket.reserved, heard_s)

    def buckets(self, now: float) -> dict[str, BucketUsage]:
        """Returns the sum of the charges that still count, by workspace."""
        tokens_by_workspace = {
            workspace: charges.sum(self._window_s, now)
            for workspace, charges in self._charges_by_workspace.items()
        }
        return {
            workspace: BucketUsage(tokens)
            for workspace, tokens in tokens_by_workspace.items()
            if tokens
        }

    def charges(self, now: float) -> Iterator[EndedCharge]:
        """Returns the charges by their time."""
        for workspace, charges in self._charges_by_workspace.items():
            for start_s, tokens in charges.bins():
                yield EndedCharge(workspace, now - start_s, tokens)

    def _apply(self, buckets: Mapping[str, BucketUsage], now: float) -> None:
        self._applied_s = now
        for workspace, bucket in buckets.items():
            charges = self._charges_by_workspace.get(workspace)
            if charges is None:
                if not bucket.charged:
                    continue
                charges = self._charges_by_workspace[workspace] = ReportedCharges()
            charges.add_reported(bucket.charged, self._window_s, now)


class EndedCharges:
    """Charges of the ended relays of a failure domain.

    Args:
        window_s: Time in s for which charges count.
    """

    def __init__(self, window_s: float) -> None:
        self._window_s = window_s
        self._tokens_by_bin_by_workspace: dict[str, dict[int, float]] = {}

    def add(self, charges: Iterable[EndedCharge], now: float) -> None:
        """Adds the charges of a relay that has ended."""
        for workspace, age_s, tokens in charges:
            bins = self._tokens_by_bin_by_workspace.setdefault(workspace, {})
            number = _bin_number(now - age_s)
            bins[number] = bins.get(number, 0.0) + tokens

    def merge(self, charges: Iterable[EndedCharge], now: float) -> None:
        """Takes over what another aggregator knows, which may be known already."""
        for workspace, age_s, tokens in charges:
            bins = self._tokens_by_bin_by_workspace.setdefault(workspace, {})
            number = _bin_number(now - age_s)
            bins[number] = max(bins.get(number, 0.0), tokens)

    def charges(self, now: float) -> list[EndedCharge]:
        """Returns the charges that still count."""
        self._drop_expired(now)
        return [
            EndedCharge(workspace, max(0.0, now - number * BIN_WIDTH_S), tokens)
            for workspace, bins in self._tokens_by_bin_by_workspace.items()
            for number, tokens in bins.items()
        ]

    def buckets(self, now: float) -> dict[str, BucketUsage]:
        """Returns the sum of the charges that still count, by workspace."""
        self._drop_expired(now)
        return {
            workspace: BucketUsage(sum(bins.values()))
            for workspace, bins in self._tokens_by_bin_by_workspace.items()
        }

    def _drop_expired(self, now: float) -> None:
        oldest = _bin_number(now - self._window_s - BIN_WIDTH_S)
        kept: dict[str, dict[int, float]] = {}
        for workspace, bins in self._tokens_by_bin_by_workspace.items():
            left = {number: item for number, item in bins.items() if number > oldest}
            if left:
                kept[workspace] = left
        self._tokens_by_bin_by_workspace = kept


def _bin_number(charged_s: float) -> int:
    return int(charged_s // BIN_WIDTH_S)
