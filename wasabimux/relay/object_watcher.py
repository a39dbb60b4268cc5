"""Follows kinds of the platform's objects: a list once, then watches."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Callable

from wasabimux._clock import loop_time
from wasabimux.ports import StoreUnavailable
from wasabimux.relay.ports import HistoryLost, ObjectStore
from wasabimux.relay.view import FleetView
from wasabimux.timeline import Timeline

#: Lengths of a watch. A watch may be cut off without a word, so its length bounds for
#: how long a change stays unnoticed; relays take turns, as each tells its peers.
#: Lengths are drawn from the least to the longest, so that relays fall out of step.
WATCH_S_A_RELAY = 0.45
MIN_WATCH_S = 0.8
MIN_LONGEST_S = 1.0
MAX_LONGEST_S = 5.0

#: Waits between calls while the store does not answer, with jitter below.
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 1.2

#: Time after the store's return in which a missing entry may be one that lapsed while
#: the store was away, and by which such entries are back if their upstreams live.
STORE_RECOVERY_S = 0.6
LAPSED_GRACE_S = 2.2


class ObjectWatcher:
    """Follows one kind.

    Args:
        kind: Kind of the objects.
        store: The platform's store.
        view: Takes what is found.
        timeline: Records losses and returns of the store.
        rng: Source of jitter.
        members: Returns the number of relays that hear one another.
    """

    def __init__(
        self,
        kind: str,
        store: ObjectStore,
        view: FleetView,
        timeline: Timeline,
        rng: random.Random,
        members: Callable[[], int],
    ) -> None:
        self.kind = kind
        self.last_answer_s = 0.0
        self._members = members
        self._store = store
        self._view = view
        self._timeline = timeline
        self._rng = rng
        self._reached = False
        self._lost_s: float | None = None
        self._returned_s = -STORE_RECOVERY_S

    @property
    def store_reachable(self) -> bool:
        """True if the store answered the last call."""
        return self._reached

    async def run(self) -> None:
        """Follows until it is cancelled."""
        retry_s = FIRST_RETRY_S
        revision = 0
        while True:
            try:
                revision = await self._step(revision)
                retry_s = FIRST_RETRY_S
            except HistoryLost:
                self._timeline.record("history_lost", kind=self.kind, revision=revision)
                revision = 0
            except StoreUnavailable as error:
                self._on_lost(error)
                await asyncio.sleep(self._rng.uniform(retry_s / 2, retry_s))
                retry_s = min(MAX_RETRY_S, retry_s * 2)

    async def _step(self, revision: int) -> int:
        """Makes one call and returns the revision to go on from."""
        if revision == 0:
            listed = await self._store.list(self.kind)
            keep_until_s = self._on_answer()
            self._view.apply_list(
                self.kind, listed.objects, listed.revision, loop_time(), keep_until_s
            )
            return listed.revision
        found = await self._store.watch(self.kind, revision, self.next_watch_s())
        keep_until_s = self._on_answer()
        self._view.apply_changes(
            self.kind, found.changes, found.revision, loop_time(), keep_until_s
        )
        return found.revision

    def next_watch_s(self) -> float:
        """Returns the length of the next watch."""
        longest_s = max(MIN_LONGEST_S, WATCH_S_A_RELAY * self._members())
        return self._rng.uniform(MIN_WATCH_S, min(MAX_LONGEST_S, longest_s))

    def _on_answer(self) -> float | None:
        """Notes an answer.

        Returns:
            Until when missing upstreams are kept, None if the store was not away.
        """
        now = loop_time()
        self.last_answer_s = now
        if not self._reached:
            away_s = 0.0 if self._lost_s is None else now - self._lost_s
            self._timeline.record(
                "store_regained", kind=self.kind, away_s=round(away_s, 3)
            )
            if self._lost_s is not None:
                self._returned_s = now
            self._lost_s = None
        self._reached = True
        if now - self._returned_s >= STORE_RECOVERY_S:
            return None
        return self._returned_s + LAPSED_GRACE_S

    def _on_lost(self, error: StoreUnavailable) -> None:
        if self._lost_s is None:
            self._lost_s = loop_time()
        if self._reached:
            self._timeline.record("store_lost", kind=self.kind, error=error)
        self._reached = False
