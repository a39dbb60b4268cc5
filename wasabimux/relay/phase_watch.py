"""Keeps engines that change their phase out of use until the change is over.

An engine that is ordered to change first ends what it runs, and refuses everything else
meanwhile, also requests with a slot. Only the engine tells when that is over: in its
entry in the store, which ends the watch, or in its report.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

from wasabimux._clock import loop_time
from wasabimux.ids import UpstreamId
from wasabimux.ports import UpstreamLost
from wasabimux.relay.ports import EngineCodec, EngineReport
from wasabimux.relay.upstreams import Upstream
from wasabimux.timeline import Timeline

#: Interval between reports of an engine that is watched, in s.
REPORT_INTERVAL_S = 1.0

#: Time after an accepted order by which the engine's report shows it, in s.
REPORT_LAG_S = 2.0

#: Time by which the entry of an engine shows its new phase after its report does, in s.
ENTRY_LAG_S = 3.0

#: Time in s between two refusals in spite of a slot that an engine is asked about. One
#: alone may come of a slot that has lapsed.
REFUSALS_WITHIN_S = 5.0

#: Time without a report after which an engine is not watched any more, in s.
MAX_SILENCE_S = 5.0

#: Longest time in s for which an engine is taken for changing. It ends what it runs
#: within the longest timeout of a route, and changes within seconds.
MAX_CHANGE_S = 60.0


class PhaseChangeWatch:
    """Watches engines that may be changing their phase; a context manager.

    Args:
        engines: Encodes calls to engines.
        timeline: Records the beginning and the end of a change.
        on_marked: Called when an engine is marked as changing, for peers to know.
    """

    def __init__(
        self, engines: EngineCodec, timeline: Timeline, on_marked: Callable[[], None]
    ) -> None:
        self._engines = engines
        self._timeline = timeline
        self._on_marked = on_marked
        self._watch_by_id: dict[UpstreamId, asyncio.Task[None]] = {}
        self._refused_s_by_id: dict[UpstreamId, float] = {}

    def __enter__(self) -> PhaseChangeWatch:
        return self

    def __exit__(self, *exc_info: object) -> None:
        for watch in self._watch_by_id.values():
            watch.cancel()

    def on_ordered(self, engine: Upstream, max_delay_s: float) -> None:
        """Keeps an engine that was ordered to change out of use until it has.

        Args:
            engine: The engine.
            max_delay_s: Time in s by which its report shows the order if it carries it
                out at all.
        """
        self._start(engine, loop_time() + max_delay_s)

    def on_refused(self, engine: Upstream, now: float) -> None:
        """Looks whether an engine that refuses streams with a slot is changing.

        Args:
            engine: The engine.
            now: Current time in s.
        """
        refused_s_by_id = {
            item: refused_s
            for item, refused_s in self._refused_s_by_id.items()
            if now - refused_s <= REFUSALS_WITHIN_S
        }
        self._refused_s_by_id = refused_s_by_id | {engine.id: now}
        if engine.id in refused_s_by_id and engine.id not in self._watch_by_id:
            self._start(engine, None)

    async def fetch_report(self, engine: Upstream) -> EngineReport | None:
        """Fetches the load report of an engine, None if it is unavailable."""
        try:
            return self._engines.read_report(*await engine.call(self._engines.report()))
        except UpstreamLost as error:
            self._timeline.record("report_lost", upstream=engine.id, error=error)
            return None

    def _start(self, engine: Upstream, ordered_until_s: float | None) -> None:
        earlier = self._watch_by_id.pop(engine.id, None)
        if earlier is not None:
            earlier.cancel()
        watch = asyncio.ensure_future(self._watch(engine, ordered_until_s))
        self._watch_by_id[engine.id] = watch
        watch.add_done_callback(partial(self._forget, engine.id))

    def _forget(self, engine_id: UpstreamId, watch: asyncio.Task[None]) -> None:
        if self._watch_by_id.get(engine_id) is watch:
            del self._watch_by_id[engine_id]

    async def _watch(self, engine: Upstream, ordered_until_s: float | None) -> None:
        """Marks an engine for as long as it may be changing.

        Args:
            engine: The engine.
            ordered_until_s: Loop time until which it is taken for changing whatever its
                report says; None if it is not known to be ordered.
        """
        phase, began_s = engine.phase, loop_time()
        until_s = began_s if ordered_until_s is None else ordered_until_s
        latest_s = began_s + MAX_CHANGE_S
        is_marked = ordered_until_s is not None
        heard_s = began_s
        if is_marked:
            self._mark(engine)
        while True:
            report = await self.fetch_report(engine)
            now = loop_time()
            if report is not None:
                heard_s = now
                if report.busy:
                    until_s = max(until_s, now + ENTRY_LAG_S)
            if engine.phase is not phase:
                break
            if now >= min(until_s, latest_s) or now - heard_s > MAX_SILENCE_S:
                engine.phase_change_until_s = 0.0
                break
            is_marked = True
            self._mark(engine)
            await asyncio.sleep(REPORT_INTERVAL_S)
        if is_marked:
            self._timeline.record(
                "phase_change_over",
                upstream=engine.id,
                took_ms=round((loop_time() - began_s) * 1000),
                changed=engine.phase is not phase,
                heard_ms=round((loop_time() - heard_s) * 1000),
            )

    def _mark(self, engine: Upstream) -> None:
        """Marks an engine as changing until some time after the next report."""
        engine.phase_change_until_s = loop_time() + 2 * REPORT_INTERVAL_S + ENTRY_LAG_S
        self._on_marked()
