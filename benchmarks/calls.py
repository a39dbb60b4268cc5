"""Calls of a plain service under load, with its line and sent at once, side by side.

Plays the decisions on a virtual clock: 3 upstreams of 6 slots, each 2.5 times as slow
for 15% of the time; callers that give up at their deadline and come back when refused,
a quarter of them at once. A fifth of the calls are more urgent. One workspace of 16
sends 8 times as much as each other one. Urgent calls and the worst share are those of
the other workspaces; the share is that of calls on time, of those asked for or of an
equal part of the capacity, whichever is less.

Usage: python -m benchmarks.calls [SEED] [SECONDS]
"""

from __future__ import annotations

import heapq
import itertools
import random
import sys
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from wasabimux.decisions.call_line import (
    CallLine,
    LineCall,
    UpstreamRoom,
)
from wasabimux.decisions.upstream_choice import CallCandidate, choose_upstream
from wasabimux.ids import PeerRequestId, UpstreamId
from wasabimux.relay.call_lines import (
    BUSY_KEPT_S,
    BUSY_WAITING_PER_SLOT,
    SERVE_INTERVAL_S,
)

UPSTREAMS = 3
SLOTS = 6
#: Calls that an upstream keeps waiting before it sheds others.
QUEUE = 24

#: Mean time of a call in s, and the target latency and deadline of its caller.
MEAN_CALL_S = 0.06
TARGET_S = 0.31
DEADLINE_S = 3.0

#: Slow times of an upstream: factor, fraction of the time, and length in s of each.
SLOW_FACTOR = 2.5
SLOW_FRACTION = 0.15
SLOW_S = 0.5

#: Time in s for a message between relays, and for a report of usage to be known.
HOP_S = 0.003
REPORT_S = 0.15

URGENT_FRACTION = 0.2
WORKSPACES = 16
HOT_FACTOR = 8.0
RETURNING_AT_ONCE = 0.25
WARM_UP_S = 2.0

CAPACITY_PER_S = (
    UPSTREAMS * SLOTS / MEAN_CALL_S / (1 + SLOW_FRACTION * (SLOW_FACTOR - 1))
)


@dataclass
class Call:
    """A call of a caller.

    Attributes:
        number: Number of the call.
        workspace: Workspace of the caller, 0 for the one that sends too much.
        urgent: True if it is of the more urgent kind.
        begun_s: Time in s of the first attempt.
        tries: Attempts that were refused.
    """

    number: int
    workspace: int
    urgent: bool
    begun_s: float
    tries: int = 0


@dataclass
class Upstream:
    """An upstream with its slots and its own queue.

    Attributes:
        id: Identity.
        running: Calls that run.
        queue: Calls that wait, and what is called at their end.
        slow: True while its machine is slow.
    """

    id: UpstreamId
    running: int = 0
    queue: list[tuple[Call, Callable[[bool], None]]] = field(default_factory=list)
    slow: bool = False

    @property
    def slowness(self) -> float:
        return SLOW_FACTOR if self.slow else 1.0


@dataclass
class Result:
    """What the callers of one play got.

    Attributes:
        on_time: Calls answered within the target, by kind.
        answered: Calls answered at all.
        asked: Calls, by kind.
        sent: Sends to upstreams.
        shed: Sends that an upstream turned away.
        times_s: Times from the first attempt to the answer.
        within_asked: Calls of workspaces that send no more than others, by kind.
        within_on_time: Those of them on time.
        on_time_by_workspace: Calls on time by workspace.
        asked_by_workspace: Calls by workspace.
    """

    on_time: Counter[str] = field(default_factory=Counter)
    answered: int = 0
    asked: Counter[str] = field(default_factory=Counter)
    sent: int = 0
    shed: int = 0
    within_asked: Counter[str] = field(default_factory=Counter)
    within_on_time: Counter[str] = field(default_factory=Counter)
    times_s: list[float] = field(default_factory=list)
    on_time_by_workspace: Counter[int] = field(default_factory=Counter)
    asked_by_workspace: Counter[int] = field(default_factory=Counter)

    @property
    def total_on_time(self) -> int:
        return sum(self.on_time.values())

    def worst_share(self, seconds: float) -> float:
        """Returns the least fraction on time of what a workspace may expect.

        Args:
            seconds: Length in s of the measured time.
        """
        share = CAPACITY_PER_S * seconds / WORKSPACES
        return min(
            self.on_time_by_workspace[workspace] / max(1.0, min(asked, share))
            for workspace, asked in self.asked_by_workspace.items()
            if workspace
        )

    def quantile_s(self, fraction: float) -> float:
        """Returns a quantile of the times."""
        ordered = sorted(self.times_s)
        return ordered[int(fraction * (len(ordered) - 1))] if ordered else 0.0


class Play:
    """One play of a load.

    Args:
        load: Load relative to the capacity.
        with_line: True to serve calls in one line, False to send them at once.
        seed: Seed of all randomness.
        seconds: Length in s of the measured time.
    """

    def __init__(self, load: float, with_line: bool, seed: int, seconds: float) -> None:
        self.result = Result()
        self._rng = random.Random(seed)
        self._with_line = with_line
        self._end_s = WARM_UP_S + seconds
        self._per_s = load * CAPACITY_PER_S
        self._line = CallLine()
        self._upstreams = {
            UpstreamId(f"u{number}"): Upstream(UpstreamId(f"u{number}"))
            for number in range(UPSTREAMS)
        }
        self._known_running = dict.fromkeys(self._upstreams, 0)
        self._call_by_id: dict[PeerRequestId, tuple[Call, float]] = {}
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._order = itertools.count()
        self._now = 0.0
        self._busy_until_s = 0.0

    def run(self) -> Result:
        """Plays the load and returns what callers got."""
        self._at(0.0, self._arrive)
        self._at(REPORT_S, self._report)
        self._at(SERVE_INTERVAL_S, self._refuse_hopeless)
        for upstream in self._upstreams.values():
            self._at(self._rng.random(), lambda item=upstream: self._turn_slow(item))
        while self._events:
            self._now, _, step = heapq.heappop(self._events)
            step()
        return self.result

    def _at(self, delay_s: float, step: Callable[[], None]) -> None:
        entry = (self._now + delay_s, next(self._order), step)
        heapq.heappush(self._events, entry)

    def _turn_slow(self, upstream: Upstream) -> None:
        upstream.slow = not upstream.slow
        length_s = SLOW_S
        if not upstream.slow:
            length_s *= (1 - SLOW_FRACTION) / SLOW_FRACTION
        if self._now < self._end_s:
            self._at(length_s, lambda: self._turn_slow(upstream))

    def _report(self) -> None:
        for upstream in self._upstreams.values():
            self._known_running[upstream.id] = upstream.running + len(upstream.queue)
        if self._now < self._end_s:
            self._at(REPORT_S, self._report)

    def _arrive(self) -> None:
        weights = [HOT_FACTOR] + [1.0] * (WORKSPACES - 1)
        workspace = self._rng.choices(range(WORKSPACES), weights)[0]
        number = next(self._order)
        call = Call(number, workspace, self._rng.random() < URGENT_FRACTION, self._now)
        if self._is_measured(call):
            self.result.asked[_kind(call)] += 1
            if workspace:
                self.result.within_asked[_kind(call)] += 1
            self.result.asked_by_workspace[workspace] += 1
        self._try(call)
        if self._now < self._end_s:
            self._at(self._rng.expovariate(self._per_s), self._arrive)

    def _is_measured(self, call: Call) -> bool:
        return WARM_UP_S <= call.begun_s < self._end_s

    def _try(self, call: Call) -> None:
        waiting = min(self._known_running.values()) - SLOTS
        if waiting >= BUSY_WAITING_PER_SLOT * SLOTS:
            self._busy_until_s = self._now + BUSY_KEPT_S
        busy = self._now < self._busy_until_s
        if self._with_line and (busy or self._line.waiting):
            self._at(2 * HOP_S, lambda: self._enter(call))
        else:
            self._send_at_once(call)

    def _send_at_once(self, call: Call) -> None:
        candidates = [
            CallCandidate(item.id, SLOTS, self._known_running[item.id], 0.0, 0.0, True)
            for item in self._upstreams.values()
        ]
        chosen = choose_upstream(candidates, self._rng).upstream
        self._known_running[chosen] += 1
        self._send(call, chosen, lambda done: None)

    def _enter(self, call: Call) -> None:
        call_id = PeerRequestId("r", next(self._order))
        line_call = LineCall(
            call_id,
            str(call.workspace),
            0 if call.urgent else 2,
            call.workspace == 0,
            call.tries > 0,
            call.begun_s + TARGET_S - self._line.mean_s,
            call.begun_s + DEADLINE_S - self._line.mean_s,
        )
        refused = self._line.add(line_call, self._rooms(), self._now)
        if refused is not None:
            self._refuse(call, refused.retry_after_s)
            return
        self._call_by_id[call_id] = (call, self._now)
        self._serve()

    def _rooms(self) -> list[UpstreamRoom]:
        return [
            UpstreamRoom(item.id, SLOTS, len(item.queue), item.slowness)
            for item in self._upstreams.values()
        ]

    def _serve(self) -> None:
        places, refusals = self._line.serve(self._rooms(), self._now)
        for place in places:
            call, _ = self._call_by_id[place.call]
            self._at(
                2 * HOP_S, lambda item=place, call=call: self._send_placed(call, item)
            )
        for refusal in refusals:
            call, _ = self._call_by_id.pop(refusal.call)
            self._refuse(call, refusal.retry_after_s)

    def _refuse_hopeless(self) -> None:
        for refusal in self._line.refuse_hopeless(self._rooms(), self._now):
            call, _ = self._call_by_id.pop(refusal.call)
            self._refuse(call, refusal.retry_after_s)
        if self._now < self._end_s:
            self._at(SERVE_INTERVAL_S, self._refuse_hopeless)

    def _send_placed(self, call: Call, place: object) -> None:
        call_id, upstream = place  # type: ignore[misc]

        def leave(served: bool) -> None:
            del self._call_by_id[call_id]
            if served:
                slowness = self._upstreams[upstream].slowness
                self._line.on_served(call_id, slowness, self._now)
            self._line.remove(call_id)
            self._serve()

        def done(served: bool) -> None:
            self._at(2 * HOP_S, lambda: leave(served))

        self._send(call, upstream, done)

    def _send(
        self, call: Call, chosen: UpstreamId, done: Callable[[bool], None]
    ) -> None:
        upstream = self._upstreams[chosen]
        self.result.sent += 1
        if upstream.running < SLOTS:
            self._begin(upstream, call, done)
        elif len(upstream.queue) < QUEUE:
            upstream.queue.append((call, done))
        else:
            self.result.shed += 1
            done(False)
            self._refuse(call, 0.2)

    def _begin(
        self, upstream: Upstream, call: Call, done: Callable[[bool], None]
    ) -> None:
        upstream.running += 1
        work_s = self._rng.expovariate(1 / MEAN_CALL_S) * upstream.slowness
        self._at(work_s, lambda: self._end(upstream, call, done))

    def _end(
        self, upstream: Upstream, call: Call, done: Callable[[bool], None]
    ) -> None:
        upstream.running -= 1
        took_s = self._now - call.begun_s
        if self._is_measured(call) and took_s <= DEADLINE_S:
            self.result.answered += 1
            self.result.times_s.append(took_s)
            if took_s <= TARGET_S:
                self.result.on_time[_kind(call)] += 1
                if call.workspace:
                    self.result.within_on_time[_kind(call)] += 1
                self.result.on_time_by_workspace[call.workspace] += 1
        done(True)
        if upstream.queue and upstream.running < SLOTS:
            self._begin(upstream, *upstream.queue.pop(0))

    def _refuse(self, call: Call, retry_after_s: float) -> None:
        call.tries += 1
        at_once = self._rng.random() < RETURNING_AT_ONCE
        delay_s = 0.02 if at_once else retry_after_s
        if call.tries < 3 and self._now + delay_s < call.begun_s + DEADLINE_S:
            self._at(delay_s, lambda: self._try(call))


def _kind(call: Call) -> str:
    return "urgent" if call.urgent else "other"


def main(seed: int, seconds: float) -> None:
    """Prints both ways for each load."""
    print(f"capacity {CAPACITY_PER_S:.0f} calls/s")
    for load in (0.7, 1.0, 1.5, 2.0, 3.0):
        for with_line in (False, True):
            result = Play(load, with_line, seed, seconds).run()
            asked = sum(result.asked.values())
            urgent = result.within_on_time["urgent"]
            urgent /= max(1, result.within_asked["urgent"])
            print(
                f"load {load:.1f} {'line   ' if with_line else 'at once'}"
                f" on time {result.total_on_time / seconds:6.1f}/s"
                f" ({result.total_on_time / asked:.3f}), urgent {urgent:.3f},"
                f" worst share {result.worst_share(seconds):.3f},"
                f" answered {result.answered / asked:.3f},"
                f" shed {result.shed / max(1, result.sent):.4f},"
                f" p50 {1000 * result.quantile_s(0.5):.1f} ms,"
                f" p99 {1000 * result.quantile_s(0.99):.1f} ms"
            )


if __name__ == "__main__":
    main(
        int(sys.argv[1]) if len(sys.argv) > 1 else 1,
        float(sys.argv[2]) if len(sys.argv) > 2 else 30.0,
    )
