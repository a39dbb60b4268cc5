"""Which requests crash the upstreams that run them.

Made for a load in which some requests crash each upstream that begins to run them. They
come again with the same content, or share a part of their prompts, and arrive at any
relay; other requests share their workspaces, paths and other parts. Upstreams also
crash for other reasons, with sound requests that were about to begin.

A crash is a piece of evidence: the upstream, and its suspects, which are the requests
that were about to begin on it and the parts of their prompts. A suspect is cleared if a
request with it has begun elsewhere. One that several crashes have in common, and that
nothing clears, is quarantined. Where several suspects fit the same crashes, only
requests with all of them are refused, so that others show which one it is.

Pieces of evidence only grow until they expire, so that relays can merge them in any
order.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from wasabimux.ids import SuspectId, UpstreamId

#: Crashes that a suspect must explain to be quarantined.
CRASHES_TO_QUARANTINE = 3

#: Crashes with a suspect in common after which a request that was lost in one of them
#: is not retried.
CRASHES_TO_SUSPECT = 2

#: Time in s for which a request that has begun clears its suspects of new crashes.
BEGUN_MEMORY_S = 60.0

#: Time in s for which a crash counts as evidence.
EVIDENCE_MEMORY_S = 14_400.0

#: Time in s without a further crash after which one request with the suspects may be
#: tried. It doubles with each further crash, up to the maximum.
FIRST_TRIAL_S = 120.0
MAX_TRIAL_S = 3600.0

#: Most crashes that are remembered, and suspects of each.
MAX_CRASHES = 64
MAX_SUSPECTS = 64

#: Most suspects whose latest beginning is remembered; enough for the time above at the
#: request rate of one relay of a large fleet.
MAX_BEGUN = 16_384


class CrashId(NamedTuple):
    """One incarnation of an upstream, which can crash only once.

    Attributes:
        upstream: Identity of the upstream.
        started_ms: Start of the incarnation, in ms since the epoch; 0 if unknown.
    """

    upstream: UpstreamId
    started_ms: int


class CrashEvidence(NamedTuple):
    """A crash as relays report it to one another.

    Attributes:
        crash: The incarnation that crashed.
        age_s: Time in s since the crash.
        suspects: What was about to begin on the upstream.
        cleared: Those of them that have begun elsewhere.
    """

    crash: CrashId
    age_s: float
    suspects: frozenset[SuspectId]
    cleared: frozenset[SuspectId] = frozenset()


class Quarantine(NamedTuple):
    """Suspects whose combination in a request is refused.

    Attributes:
        suspects: The suspects; a request is refused if it has all of them.
        crashes: The crashes that they explain.
        last_crash_s: Time in s of the latest of these crashes.
    """

    suspects: frozenset[SuspectId]
    crashes: tuple[CrashId, ...]
    last_crash_s: float

    @property
    def trial_delay_s(self) -> float:
        """Time in s after the latest crash at which one request is tried."""
        doublings = min(len(self.crashes) - CRASHES_TO_QUARANTINE, 16)
        return min(MAX_TRIAL_S, FIRST_TRIAL_S * 2**doublings)


@dataclass(slots=True)
class _Crash:
    """A crash as this relay knows it; fields as of CrashEvidence."""

    crashed_s: float
    suspects: set[SuspectId] = field(default_factory=set)
    cleared: set[SuspectId] = field(default_factory=set)

    @property
    def candidates(self) -> set[SuspectId]:
        """What may have caused the crash."""
        return self.suspects - self.cleared


class CrashAttribution:
    """Crashes of upstreams, and the suspects that explain them."""

    def __init__(self) -> None:
        self._crash_by_id: dict[CrashId, _Crash] = {}
        self._begun_s_by_suspect: OrderedDict[SuspectId, float] = OrderedDict()
        self._quarantines: list[Quarantine] = []

    def merge(self, evidence: CrashEvidence, now: float) -> CrashEvidence | None:
        """Adds evidence of this relay or of another one.

        Args:
            evidence: The evidence.
            now: Current time in s.

        Returns:
            What is known of the crash now, None if nothing of it is new or there is no
            room for it.
        """
        if evidence.age_s >= EVIDENCE_MEMORY_S:
            return None
        known = self._crash_by_id.get(evidence.crash)
        if known is None:
            known = _Crash(now - evidence.age_s)
            self._crash_by_id[evidence.crash] = known
        before = (len(known.suspects), len(known.cleared))
        known.crashed_s = min(known.crashed_s, now - evidence.age_s)
        begun = self._recently_begun(evidence.suspects, now)
        cleared = begun | evidence.cleared
        added = sorted(
            evidence.suspects - known.suspects, key=lambda item: (item in cleared, item)
        )
        known.suspects.update(added[: MAX_SUSPECTS - len(known.suspects)])
        known.cleared |= cleared & known.suspects
        if before == (len(known.suspects), len(known.cleared)):
            return None
        self._drop_surplus()
        self._update_quarantines()
        if evidence.crash not in self._crash_by_id:
            return None
        return self._evidence(evidence.crash, known, now)

    def on_begun(
        self, suspects: frozenset[SuspectId], now: float
    ) -> list[CrashEvidence]:
        """Records that an upstream has begun a request, which clears its suspects.

        Args:
            suspects: Suspects of the request.
            now: Current time in s.

        Returns:
            Evidence that has changed by it.
        """
        for suspect in suspects:
            self._begun_s_by_suspect[suspect] = now
            self._begun_s_by_suspect.move_to_end(suspect)
        while len(self._begun_s_by_suspect) > MAX_BEGUN:
            self._begun_s_by_suspect.popitem(last=False)
        changed = []
        for crash_id, crash in self._crash_by_id.items():
            cleared = crash.candidates & suspects
            if cleared:
                crash.cleared |= cleared
                changed.append(self._evidence(crash_id, crash, now))
        if changed:
            self._update_quarantines()
        return changed

    def evidence(self, now: float) -> list[CrashEvidence]:
        """Returns what is known of all crashes."""
        return [
            self._evidence(crash_id, crash, now)
            for crash_id, crash in self._crash_by_id.items()
        ]

    def quarantines(self) -> list[Quarantine]:
        """Returns the suspects that are quarantined."""
        return self._quarantines

    def quarantine_of(self, suspects: frozenset[SuspectId]) -> Quarantine | None:
        """Returns the quarantine that refuses a request, None if there is none."""
        return next(
            (item for item in self._quarantines if item.suspects <= suspects), None
        )

    def has_crashed_several(self, suspects: frozenset[SuspectId]) -> bool:
        """Returns whether a suspect of a request may have caused several crashes."""
        counts = Counter(
            suspect
            for crash in self._crash_by_id.values()
            for suspect in crash.candidates & suspects
        )
        return any(count >= CRASHES_TO_SUSPECT for count in counts.values())

    def expire(self, now: float) -> None:
        """Drops evidence and beginnings that are too old."""
        expired = [
            crash_id
            for crash_id, crash in self._crash_by_id.items()
            if now - crash.crashed_s >= EVIDENCE_MEMORY_S
        ]
        for crash_id in expired:
            del self._crash_by_id[crash_id]
        if expired:
            self._update_quarantines()
        while self._begun_s_by_suspect:
            suspect, begun_s = next(iter(self._begun_s_by_suspect.items()))
            if now - begun_s <= BEGUN_MEMORY_S:
                break
            del self._begun_s_by_suspect[suspect]

    def _recently_begun(
        self, suspects: Iterable[SuspectId], now: float
    ) -> set[SuspectId]:
        begun_s_by_suspect = self._begun_s_by_suspect
        return {
            suspect
            for suspect in suspects
            if suspect in begun_s_by_suspect
            and now - begun_s_by_suspect[suspect] <= BEGUN_MEMORY_S
        }

    def _drop_surplus(self) -> None:
        """Drops crashes above the maximum: those that share fewest suspects first."""
        while len(self._crash_by_id) > MAX_CRASHES:
            counts = self._count_candidates()
            dropped = min(
                self._crash_by_id,
                key=lambda crash_id: (
                    max(
                        (
                            counts[item]
                            for item in self._crash_by_id[crash_id].candidates
                        ),
                        default=0,
                    ),
                    self._crash_by_id[crash_id].crashed_s,
                    crash_id,
                ),
            )
            del self._crash_by_id[dropped]

    def _count_candidates(self) -> Counter[SuspectId]:
        """Returns the number of crashes that each suspect may have caused."""
        return Counter(
            suspect
            for crash in self._crash_by_id.values()
            for suspect in crash.candidates
        )

    def _update_quarantines(self) -> None:
        """Explains the crashes by as few suspects as possible."""
        unexplained = {
            crash_id: crash.candidates for crash_id, crash in self._crash_by_id.items()
        }
        self._quarantines = []
        while True:
            counts = Counter(
                suspect for candidates in unexplained.values() for suspect in candidates
            )
            best = max(counts, key=lambda item: (counts[item], item), default=None)
            if best is None or counts[best] < CRASHES_TO_QUARANTINE:
                return
            explained = {
                crash_id: candidates
                for crash_id, candidates in unexplained.items()
                if best in candidates
            }
            self._quarantines.append(
                Quarantine(
                    frozenset(set.intersection(*explained.values())),
                    tuple(sorted(explained)),
                    max(self._crash_by_id[item].crashed_s for item in explained),
                )
            )
            for crash_id in explained:
                del unexplained[crash_id]

    @staticmethod
    def _evidence(crash_id: CrashId, crash: _Crash, now: float) -> CrashEvidence:
        return CrashEvidence(
            crash_id,
            now - crash.crashed_s,
            frozenset(crash.suspects),
            frozenset(crash.cleared),
        )
