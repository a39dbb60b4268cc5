"""Which part of prompts crashes the engines that decode it.

Made for a load in which some requests share a part of their prompts on which each
engine crashes that begins to decode it. They arrive at any relay; other requests share
their workspaces and their other parts. Engines also crash for other reasons, with sound
requests that were about to begin.

A crash is a piece of evidence: the engine, and the parts of the prompts that were about
to begin on it. A part is cleared of it if a stream with that part has begun elsewhere.
A part that several crashes have in common, and that nothing clears, is quarantined.
Where several parts fit the same crashes, only prompts with all of them are refused, so
that others show which part it is.

Pieces of evidence only grow until they expire, so that relays can merge them in any
order.
"""

from __future__ import annotations

from collections import Counter, OrderedDict
from collections.abc import Iterable
from dataclasses import dataclass, field
from typing import NamedTuple

from wasabimux.ids import PromptPartId, UpstreamId

#: Crashes that a part must explain to be quarantined.
CRASHES_TO_QUARANTINE = 3

#: Crashes with a part in common after which a request that was lost in one of them is
#: not retried.
CRASHES_TO_SUSPECT = 2

#: Time in s for which a stream that has begun clears its parts of later crashes.
BEGUN_MEMORY_S = 60.0

#: Time in s for which a crash counts as evidence.
EVIDENCE_MEMORY_S = 14_400.0

#: Time in s without a further crash after which one request may try a quarantined part.
#: It doubles with each further crash, up to the maximum.
FIRST_TRIAL_S = 120.0
MAX_TRIAL_S = 3600.0

#: Most crashes that are remembered, and parts of each.
MAX_CRASHES = 64
MAX_SUSPECTS = 64

#: Most parts whose latest beginning is remembered.
MAX_BEGUN_PARTS = 4096


class CrashId(NamedTuple):
    """One incarnation of an engine, which can crash only once.

    Attributes:
        upstream: Identity of the engine.
        started_ms: Start of the incarnation, in ms since the epoch; 0 if unknown.
    """

    upstream: UpstreamId
    started_ms: int


class CrashEvidence(NamedTuple):
    """A crash as relays report it to one another.

    Attributes:
        crash: The incarnation that crashed.
        service: Service of the engine.
        age_s: Time in s since the crash.
        suspects: Parts of the prompts that were about to begin.
        cleared: Those of them that have begun elsewhere.
    """

    crash: CrashId
    service: str
    age_s: float
    suspects: frozenset[PromptPartId]
    cleared: frozenset[PromptPartId] = frozenset()


class Quarantine(NamedTuple):
    """Parts whose combination in a prompt is refused.

    Attributes:
        parts: The parts; a prompt is refused if it has all of them.
        crashes: The crashes that they explain.
        last_crash_s: Time in s of the latest of these crashes.
    """

    parts: frozenset[PromptPartId]
    crashes: tuple[CrashId, ...]
    last_crash_s: float

    @property
    def trial_delay_s(self) -> float:
        """Time in s after the latest crash at which one request may try the parts."""
        doublings = min(len(self.crashes) - CRASHES_TO_QUARANTINE, 16)
        return min(MAX_TRIAL_S, FIRST_TRIAL_S * 2**doublings)


@dataclass(slots=True)
class _Crash:
    """A crash as this relay knows it; fields as of CrashEvidence."""

    service: str
    crashed_s: float
    suspects: set[PromptPartId] = field(default_factory=set)
    cleared: set[PromptPartId] = field(default_factory=set)

    @property
    def candidates(self) -> set[PromptPartId]:
        """Parts that may have caused the crash."""
        return self.suspects - self.cleared


class CrashAttribution:
    """Crashes of engines, and the parts of prompts that explain them."""

    def __init__(self) -> None:
        self._crash_by_id: dict[CrashId, _Crash] = {}
        self._begun_s_by_part: OrderedDict[tuple[str, PromptPartId], float] = (
            OrderedDict()
        )
        self._quarantines_by_service: dict[str, list[Quarantine]] = {}

    def merge(self, evidence: CrashEvidence, now: float) -> CrashEvidence | None:
        """Adds evidence of this relay or of another one.

        Args:
            evidence: The evidence.
            now: Current time in s.

        Returns:
            What is known of the crash now, None if nothing of it is new.
        """
        if evidence.age_s >= EVIDENCE_MEMORY_S:
            return None
        known = self._crash_by_id.get(evidence.crash)
        if known is None:
            known = _Crash(evidence.service, now - evidence.age_s)
            self._crash_by_id[evidence.crash] = known
        before = (len(known.suspects), len(known.cleared))
        known.crashed_s = min(known.crashed_s, now - evidence.age_s)
        begun = self._recently_begun(known.service, evidence.suspects, now)
        cleared = begun | evidence.cleared
        added = sorted(
            evidence.suspects - known.suspects, key=lambda part: (part in cleared, part)
        )
        known.suspects.update(added[: MAX_SUSPECTS - len(known.suspects)])
        known.cleared |= cleared & known.suspects
        if before == (len(known.suspects), len(known.cleared)):
            return None
        self._drop_surplus()
        self._update_quarantines()
        return self._evidence(evidence.crash, known, now)

    def on_begun(
        self, service: str, parts: Iterable[PromptPartId], now: float
    ) -> list[CrashEvidence]:
        """Records that a stream has begun, which clears the parts of its prompt.

        Args:
            service: Service of the engine.
            parts: Parts of the prompt.
            now: Current time in s.

        Returns:
            Evidence that has changed by it.
        """
        parts = set(parts)
        for part in parts:
            self._begun_s_by_part[(service, part)] = now
            self._begun_s_by_part.move_to_end((service, part))
        while len(self._begun_s_by_part) > MAX_BEGUN_PARTS:
            self._begun_s_by_part.popitem(last=False)
        changed = []
        for crash_id, crash in self._crash_by_id.items():
            cleared = crash.candidates & parts if crash.service == service else set()
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

    def quarantines(self) -> dict[str, list[Quarantine]]:
        """Returns the quarantined parts by service."""
        return self._quarantines_by_service

    def quarantine_of(
        self, service: str, parts: Iterable[PromptPartId]
    ) -> Quarantine | None:
        """Returns the quarantine that refuses a prompt, None if there is none."""
        found = self._quarantines_by_service.get(service)
        if not found:
            return None
        prompt = set(parts)
        return next((item for item in found if item.parts <= prompt), None)

    def is_suspect(self, service: str, parts: Iterable[PromptPartId]) -> bool:
        """Returns whether a part of a prompt may have caused several crashes."""
        crashes = [
            crash.candidates
            for crash in self._crash_by_id.values()
            if crash.service == service
        ]
        counts = Counter(part for candidates in crashes for part in candidates)
        return any(counts[part] >= CRASHES_TO_SUSPECT for part in parts)

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
        while self._begun_s_by_part:
            key, begun_s = next(iter(self._begun_s_by_part.items()))
            if now - begun_s <= BEGUN_MEMORY_S:
                break
            del self._begun_s_by_part[key]

    def _recently_begun(
        self, service: str, parts: Iterable[PromptPartId], now: float
    ) -> set[PromptPartId]:
        return {
            part
            for part in parts
            if now - self._begun_s_by_part.get((service, part), -BEGUN_MEMORY_S * 2)
            <= BEGUN_MEMORY_S
        }

    def _drop_surplus(self) -> None:
        """Drops crashes above the maximum, those without candidates first."""
        while len(self._crash_by_id) > MAX_CRASHES:
            dropped = min(
                self._crash_by_id,
                key=lambda crash_id: (
                    bool(self._crash_by_id[crash_id].candidates),
                    self._crash_by_id[crash_id].crashed_s,
                ),
            )
            del self._crash_by_id[dropped]

    def _update_quarantines(self) -> None:
        services = {crash.service for crash in self._crash_by_id.values()}
        found = {service: self._explain(service) for service in services}
        self._quarantines_by_service = {
            service: items for service, items in found.items() if items
        }

    def _explain(self, service: str) -> list[Quarantine]:
        """Explains the crashes of a service by as few parts as possible."""
        unexplained = {
            crash_id: crash
            for crash_id, crash in self._crash_by_id.items()
            if crash.service == service and crash.candidates
        }
        quarantines: list[Quarantine] = []
        while True:
            counts = Counter(
                part for crash in unexplained.values() for part in crash.candidates
            )
            best = max(counts, key=lambda part: (counts[part], part), default=None)
            if best is None or counts[best] < CRASHES_TO_QUARANTINE:
                return quarantines
            crashes = {
                crash_id: crash
                for crash_id, crash in unexplained.items()
                if best in crash.candidates
            }
            parts = set.intersection(*(item.candidates for item in crashes.values()))
            last_crash_s = max(crash.crashed_s for crash in crashes.values())
            quarantines.append(
                Quarantine(frozenset(parts), tuple(sorted(crashes)), last_crash_s)
            )
            for crash_id in crashes:
                del unexplained[crash_id]

    @staticmethod
    def _evidence(crash_id: CrashId, crash: _Crash, now: float) -> CrashEvidence:
        return CrashEvidence(
            crash_id,
            crash.service,
            now - crash.crashed_s,
            frozenset(crash.suspects),
            frozenset(crash.cleared),
        )
