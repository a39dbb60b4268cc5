"""Keeps the local view up to date with one kind of the platform's objects.

The objects are listed once and then watched for changes.
"""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from wasabimux._clock import loop_time
from wasabimux.ids import NO_REVISION, StoreRevision
from wasabimux.ports import AnswerTooLarge, StoreChannelLost, StoreUnavailable
from wasabimux.relay.ports import HistoryLost, ObjectChange, ObjectStore
from wasabimux.relay.view import FleetView
from wasabimux.timeline import Timeline

#: Length of a watch in s. A watch may lose its connection without an error, so its
#: length bounds how long a change goes unnoticed. Any one relay that notices a change
#: passes it on to its peers, so the longest length grows with the number of relays that
#: watch, within two limits. Each length is drawn at random from MIN_WATCH_S up, so that
#: they do not watch in step.
WATCH_S_PER_WATCHER = 0.45
MIN_WATCH_S = 0.8
MIN_LONGEST_WATCH_S = 1.0
MAX_LONGEST_WATCH_S = 5.0

#: Longest delay in s before the first retry of an unanswered call, and before any
#: later one; it doubles in between. Jitter shortens a delay by up to half.
FIRST_RETRY_S = 0.1
MAX_RETRY_S = 1.2

#: Time in s between checks whether a peer still passes changes on.
INFORMED_CHECK_S = 0.2

#: Time in s after an outage of the store in which a missing entry may have expired
#: during the outage, and time after which such an entry has been written again if its
#: upstream is alive.
STORE_RECOVERY_S = 0.6
EXPIRED_ENTRY_GRACE_S = 2.2

#: Longest time in s without an answer in which no entry expires: two heartbeat
#: intervals of upstreams, of which three have to be missed.
MAX_HARMLESS_SILENCE_S = 2.4

#: Length in s of the first watch after a channel was lost.
PROBE_WATCH_S = 0.1

#: Time in s after a listing at which objects that were left out are listed again.
LEFT_OUT_INTERVAL_S = 5.0

#: Time in s after which a listing in pages asks for the changes since it began, and the
#: length in s of that watch.
LISTING_WATCH_INTERVAL_S = 0.3
LISTING_WATCH_S = 0.01

#: Most changes that are applied before others get their turn.
MAX_CHANGES_PER_TURN = 200

logger = logging.getLogger("wasabimux.relay")


@dataclass(slots=True)
class _ChangesWhileListing:
    """Changes that are heard while objects are listed.

    Attributes:
        heard_s: Time in s at which the listing began or changes were heard last.
        revision: Revision up to which they were heard, at least that of the listing.
        is_too_large: True if one answer does not hold them.
    """

    heard_s: float
    revision: StoreRevision = NO_REVISION
    is_too_large: bool = False

    def is_due(self, now: float) -> bool:
        """Returns whether to ask for further ones."""
        return not self.is_too_large and now - self.heard_s >= LISTING_WATCH_INTERVAL_S


class ObjectWatcher:
    """Lists and watches the objects of one kind.

    Args:
        kind: Kind of the objects.
        store: The platform's store.
        view: Local view that receives the objects.
        timeline: Records the start and end of outages of the store.
        rng: Source of jitter.
        watcher_count: Returns the number of relays that watch the store and inform one
            another, this one included.
        is_informed: Returns whether a peer passes changes on, so that this relay need
            not watch the store itself.
        answered_s: Returns the loop time in s of the store's last answer to any call of
            this relay.

    Attributes:
        last_answer_s: Loop time in s of the store's last answer.
    """

    def __init__(
        self,
        kind: str,
        store: ObjectStore,
        view: FleetView,
        timeline: Timeline,
        rng: random.Random,
        watcher_count: Callable[[], int],
        is_informed: Callable[[], bool] = lambda: False,
        answered_s: Callable[[], float] = lambda: 0.0,
    ) -> None:
        self.kind = kind
        self.last_answer_s = 0.0
        self._watcher_count = watcher_count
        self._is_informed = is_informed
        self._answered_s = answered_s
        self._store = store
        self._view = view
        self._timeline = timeline
        self._rng = rng
        self._store_reachable = False
        self._unheard_since_s: float | None = None
        self._outage_start_s: float | None = None
        self._outage_end_s = -STORE_RECOVERY_S
        self._listed_s = 0.0

    @property
    def store_reachable(self) -> bool:
        """True if the store answered the last call."""
        return self._store_reachable

    async def run(self) -> None:
        """Lists and watches until it is cancelled, whatever the handling raises."""
        retry_s = FIRST_RETRY_S
        revision = NO_REVISION
        while True:
            if revision != NO_REVISION and self._is_informed():
                await asyncio.sleep(INFORMED_CHECK_S)
                known_revision = self._view.revision_by_kind.get(self.kind, revision)
                revision = max(revision, known_revision)
                self.last_answer_s = loop_time()
                continue
            try:
                revision = await self._fetch(revision)
            except HistoryLost:
                self._timeline.record("history_lost", kind=self.kind, revision=revision)
                revision = NO_REVISION
                continue
            except StoreUnavailable as error:
                self._on_unavailable(error)
            except Exception as error:
                logger.exception("event=watch_failed kind=%s", self.kind)
                self._timeline.record("watch_failed", kind=self.kind, error=repr(error))
                revision = NO_REVISION
            else:
                retry_s = FIRST_RETRY_S
                continue
            await asyncio.sleep(self._rng.uniform(retry_s / 2, retry_s))
            retry_s = min(MAX_RETRY_S, retry_s * 2)

    async def _fetch(self, revision: StoreRevision) -> StoreRevision:
        """Lists the objects, or their changes since a revision.

        Args:
            revision: Revision up to which the view is complete; NO_REVISION to list all
                objects.

        Returns:
            The revision up to which the view is complete now.
        """
        if revision == NO_REVISION or self._should_list_left_out():
            return await self._list()
        wait_s = PROBE_WATCH_S if self._is_channel_lost else self.next_watch_s()
        try:
            found = await self._store.watch(self.kind, revision, wait_s)
        except AnswerTooLarge as error:
            self._record_too_large(revision, error)
            return await self._list()
        await self._apply(found.changes, found.revision, self._on_answer())
        return found.revision

    def _record_too_large(self, revision: StoreRevision, error: AnswerTooLarge) -> None:
        self._timeline.record(
            "answer_too_large", kind=self.kind, revision=revision, error=error
        )

    def _should_list_left_out(self) -> bool:
        """Returns whether to list again, as there is room for what was left out."""
        return (
            self._view.wants_listing(self.kind)
            and loop_time() - self._listed_s >= LEFT_OUT_INTERVAL_S
        )

    async def _list(self) -> StoreRevision:
        """Lists the objects; returns the revision up to which the view is complete.

        Changes are heard between the pages too, as there may be many of them.
        """
        self._listed_s = loop_time()
        known: set[str] = set()
        revision, keep_missing_until_s = NO_REVISION, None
        changes = _ChangesWhileListing(self._listed_s)
        async for page in self._store.pages(self.kind):
            revision, keep_missing_until_s = page.revision, self._on_answer()
            listed = [ObjectChange(item, False) for item in page.objects]
            await self._apply(listed, revision, keep_missing_until_s, is_part=True)
            objects = self._view.objects(self.kind)
            known.update(item.name for item in page.objects if item.name in objects)
            changes.revision = max(changes.revision, revision)
            if changes.is_due(loop_time()):
                await self._watch_while_listing(changes)
        self._view.end_listing(
            self.kind, known, revision, loop_time(), keep_missing_until_s
        )
        self._view.apply_changes(self.kind, (), changes.revision, loop_time())
        return changes.revision

    async def _watch_while_listing(self, changes: _ChangesWhileListing) -> None:
        """Applies the changes since the listing began, or since the last such call."""
        revision = changes.revision
        try:
            found = await self._store.watch(self.kind, revision, LISTING_WATCH_S)
        except AnswerTooLarge as error:
            self._record_too_large(revision, error)
            changes.is_too_large = True
            return
        keep_missing_until_s = self._on_answer()
        await self._apply(
            found.changes, found.revision, keep_missing_until_s, is_part=True
        )
        changes.revision, changes.heard_s = found.revision, loop_time()

    async def _apply(
        self,
        changes: Sequence[ObjectChange],
        revision: StoreRevision,
        keep_missing_until_s: float | None,
        is_part: bool = False,
    ) -> None:
        """Applies changes, and gives others their turn in between.

        Args:
            changes: The changes.
            revision: Revision of the store up to which they come.
            keep_missing_until_s: As for FleetView.apply_changes.
            is_part: As for FleetView.apply_changes.
        """
        starts = range(0, max(1, len(changes)), MAX_CHANGES_PER_TURN)
        for start in starts:
            is_last = start == starts[-1]
            self._view.apply_changes(
                self.kind,
                changes[start : start + MAX_CHANGES_PER_TURN],
                revision,
                loop_time(),
                keep_missing_until_s,
                is_part=is_part or not is_last,
            )
            if not is_last:
                await asyncio.sleep(0)

    def next_watch_s(self) -> float:
        """Returns a random length in s for the next watch."""
        longest_s = max(
            MIN_LONGEST_WATCH_S, WATCH_S_PER_WATCHER * self._watcher_count()
        )
        return self._rng.uniform(MIN_WATCH_S, min(MAX_LONGEST_WATCH_S, longest_s))

    @property
    def _is_channel_lost(self) -> bool:
        """True if a channel was lost, and no call since shows if the store answers."""
        is_outage = self._outage_start_s is not None
        return self._unheard_since_s is not None and not is_outage

    def _on_answer(self) -> float | None:
        """Records that the store answered.

        A lost channel is no outage, unless no call was answered for so long that
        entries may have expired.

        Returns:
            Loop time in s until which upstreams without an entry are kept, None if no
            outage of the store ended recently.
        """
        now = loop_time()
        self.last_answer_s = now
        unheard_since_s, self._unheard_since_s = self._unheard_since_s, None
        if self._outage_start_s is None and unheard_since_s is not None:
            if now - unheard_since_s > MAX_HARMLESS_SILENCE_S:
                self._outage_start_s = unheard_since_s
        if not self._store_reachable:
            outage_s = (
                0.0 if self._outage_start_s is None else now - self._outage_start_s
            )
            self._timeline.record(
                "store_regained", kind=self.kind, away_s=round(outage_s, 3)
            )
            if self._outage_start_s is not None:
                self._outage_end_s = now
            self._outage_start_s = None
        self._store_reachable = True
        if now - self._outage_end_s >= STORE_RECOVERY_S:
            return None
        return self._outage_end_s + EXPIRED_ENTRY_GRACE_S

    def _on_unavailable(self, error: StoreUnavailable) -> None:
        """Records a call without an answer that can be read.

        One that is too large is no outage. After the first lost channel, the next call
        shows if there is an outage.
        """
        if isinstance(error, AnswerTooLarge):
            self._record_too_large(NO_REVISION, error)
            self._on_answer()
            return
        is_outage = not (self._store_reachable and isinstance(error, StoreChannelLost))
        if is_outage and self._outage_start_s is None:
            self._outage_start_s = loop_time()
        if self._store_reachable:
            self._unheard_since_s = max(self.last_answer_s, self._answered_s())
            self._timeline.record("store_lost", kind=self.kind, error=error)
        self._store_reachable = False
