"""One line of calls before the upstreams of a plain service, for all relays.

Made for loads in which calls come faster than a few upstreams can work: sent at once,
they fill the upstreams' own queues, and then every call is late. One relay owns the
line of a service. It lets an upstream have as many calls as it can work on and a few
more; the others wait here, in one order for all relays, or are refused at once where
they cannot be served before they end.

Calls that can still be on time come first, so that a line that has grown does not make
all of them late. Among these, workspaces within their rate limit come before others,
then the more urgent, then callers that were refused and came back as told, then the
workspaces that had least of the upstreams lately.
"""

from __future__ import annotations

import math
from collections import Counter, deque
from collections.abc import Collection, Sequence
from dataclasses import dataclass, field
from typing import NamedTuple

from wasabimux.decisions.fair_queue import FairQueueTags
from wasabimux.ids import PeerRequestId, UpstreamId

#: Time in s from the end of a call until the next one arrives at the upstream, over up
#: to four relays of which each may be late. For so long an upstream needs calls beyond
#: its slots.
TURN_S = 0.04

#: Time in s after which a place at an upstream is free although its end was not told.
MAX_PLACE_S = 10.0

#: Most calls in one line. A longer one is longer than any of its calls may wait.
MAX_WAITING = 2_000

#: Bounds in s of the delay after which a refused caller is to come back.
MIN_RETURN_S = 0.2
MAX_RETURN_S = 3.0

#: Weight in the moving average of the time that a call takes.
TIME_WEIGHT = 0.05

#: Time in s over which it is counted how many calls come.
ARRIVAL_PERIOD_S = 1.0

#: Least fraction of the upstreams' capacity that is left for calls which are late, as
#: calls that come now may be refused as well.
MIN_LEFT_FRACTION = 0.5


class LineCall(NamedTuple):
    """A call that asks for a place at an upstream.

    Attributes:
        id: Identity of the call.
        workspace: Workspace of the call, empty without one.
        priority: Priority of its workspace or route, 0 first.
        beyond_share: True if its workspace has used up its rate limit.
        came_back: True if its caller was refused before.
        on_time_s: Latest time in s at which a place lets it be on time.
        end_s: Latest time in s at which a place is of use.
        avoid: Upstreams to exclude.
    """

    id: PeerRequestId
    workspace: str
    priority: int
    beyond_share: bool
    came_back: bool
    on_time_s: float
    end_s: float
    avoid: frozenset[UpstreamId] = frozenset()


class UpstreamRoom(NamedTuple):
    """What an upstream can work on.

    Attributes:
        upstream: Id of the upstream.
        slots: Calls that it runs at the same time.
        waiting: Calls that wait at it, as it told a moment ago.
        slowness: How long work takes on its machine now, 1 as usual.
    """

    upstream: UpstreamId
    slots: int
    waiting: int
    slowness: float


class Place(NamedTuple):
    """A place at an upstream that a call has got."""

    call: PeerRequestId
    upstream: UpstreamId


class Refused(NamedTuple):
    """A call that cannot be served in time, and when its caller may come back."""

    call: PeerRequestId
    retry_after_s: float


@dataclass(slots=True)
class _Waiting:
    call: LineCall
    tag: float

    def rank(self, now: float) -> tuple[bool, bool, int, bool, float]:
        """Returns what the order of the line follows from."""
        call = self.call
        return (
            now > call.on_time_s,
            call.beyond_share,
            call.priority,
            not call.came_back,
            self.tag,
        )


@dataclass(slots=True)
class _Held:
    upstream: UpstreamId
    since_s: float


@dataclass
class CallLine:
    """The line of one service at the relay that owns it.

    Attributes:
        mean_s: Moving average of the time in s for which a call holds its place, at
            an upstream of the usual speed; 0 before the first.
    """

    mean_s: float = 0.0
    _waiting_by_id: dict[PeerRequestId, _Waiting] = field(default_factory=dict)
    _held_by_id: dict[PeerRequestId, _Held] = field(default_factory=dict)
    _tags: FairQueueTags = field(default_factory=FairQueueTags)
    _next_return_s: float = 0.0
    _arrivals_s: deque[float] = field(default_factory=deque)

    @property
    def waiting(self) -> int:
        """Number of calls that wait."""
        return len(self._waiting_by_id)

    @property
    def held(self) -> int:
        """Number of places that calls hold."""
        return len(self._held_by_id)

    def add(
        self, call: LineCall, rooms: Sequence[UpstreamRoom], now: float
    ) -> Refused | None:
        """Puts a call into the line, unless it cannot be served before it ends.

        Args:
            call: The call.
            rooms: Upstreams that take calls.
            now: Current time in s.

        Returns:
            The refusal, None if the call waits now.
        """
        if call.on_time_s > now:
            self._arrivals_s.append(now)
        waiting = _Waiting(call, self._tags.start_tag(call.workspace, 1.0, 1.0))
        if self._is_too_long_for(waiting, rooms, now):
            self._tags.on_abandoned(call.workspace, 1.0, 1.0)
            return Refused(call.id, self._return_after_s(rooms, now))
        self._waiting_by_id[call.id] = waiting
        return None

    def is_waiting(self, call: PeerRequestId) -> bool:
        """Returns whether a call waits."""
        return call in self._waiting_by_id

    def has(self, call: PeerRequestId) -> bool:
        """Returns whether a call waits or holds a place."""
        return call in self._waiting_by_id or call in self._held_by_id

    def remove(self, call: PeerRequestId) -> UpstreamId | None:
        """Ends a call's wait, or its hold of a place.

        Returns:
            The upstream of its place, None without one.
        """
        waiting = self._waiting_by_id.pop(call, None)
        if waiting is not None:
            self._tags.on_abandoned(waiting.call.workspace, 1.0, 1.0)
        held = self._held_by_id.pop(call, None)
        return None if held is None else held.upstream

    def on_served(self, call: PeerRequestId, slowness: float, now: float) -> None:
        """Learns from the time for which a call that was served held its place.

        Args:
            call: Identity of the call.
            slowness: How long work took on the machine, 1 as usual.
            now: Current time in s.
        """
        held = self._held_by_id.get(call)
        if held is None:
            return
        usual_s = (now - held.since_s) / max(1.0, slowness)
        if not self.mean_s:
            self.mean_s = usual_s
        self.mean_s += TIME_WEIGHT * (usual_s - self.mean_s)

    def remove_relay(self, relay: str) -> None:
        """Ends all calls of a relay that is gone."""
        for call in [*self._waiting_by_id, *self._held_by_id]:
            if call.relay == relay:
                self.remove(call)

    def serve(
        self, rooms: Sequence[UpstreamRoom], now: float
    ) -> tuple[list[Place], list[Refused]]:
        """Gives free places to the first calls, and refuses those that have ended.

        Args:
            rooms: Upstreams that take calls.
            now: Current time in s.

        Returns:
            The places given, and the calls refused.
        """
        refused = self._refuse_ended(rooms, now)
        free = self._free_places(rooms, now)
        places: list[Place] = []
        if not any(count > 0 for count in free.values()):
            return places, refused
        room_by_id = {room.upstream: room for room in rooms}
        for waiting in sorted(
            self._waiting_by_id.values(), key=lambda item: item.rank(now)
        ):
            call = waiting.call
            found = [
                upstream
                for upstream, count in free.items()
                if count > 0 and upstream not in call.avoid
            ]
            if not found:
                continue
            upstream = min(
                found, key=lambda item: self._cost(room_by_id[item], free[item])
            )
            free[upstream] -= 1
            del self._waiting_by_id[call.id]
            self._held_by_id[call.id] = _Held(upstream, now)
            self._tags.on_grant(waiting.tag)
            places.append(Place(call.id, upstream))
        return places, refused

    def _is_too_long_for(
        self, waiting: _Waiting, rooms: Sequence[UpstreamRoom], now: float
    ) -> bool:
        """Returns whether a call would end before it gets a place."""
        others = self._waiting_by_id.values()
        if len(others) >= MAX_WAITING:
            return True
        call, rank = waiting.call, waiting.rank(now)
        if now + self._wait_s(len(others), rooms) <= min(call.on_time_s, call.end_s):
            return False
        ahead = sum(other.rank(now) < rank for other in others)
        if now + self._wait_s(ahead, rooms) <= min(call.on_time_s, call.end_s):
            return False
        return now + len(others) / self._left_per_s(rooms, now) > call.end_s

    def refuse_hopeless(
        self, rooms: Sequence[UpstreamRoom], now: float
    ) -> list[Refused]:
        """Refuses late calls that will not get a place before they end.

        They get what the calls that come meanwhile leave, which go before them.
        """
        late = sorted(
            (item for item in self._waiting_by_id.values() if item.rank(now)[0]),
            key=lambda item: item.rank(now),
        )
        ahead = len(self._waiting_by_id) - len(late)
        left_per_s = self._left_per_s(rooms, now) if late else 1.0
        refused = []
        for item in late:
            ahead += 1
            if now + ahead / left_per_s > item.call.end_s:
                ahead -= 1
                self.remove(item.call.id)
                delay_s = self._return_after_s(rooms, now)
                refused.append(Refused(item.call.id, delay_s))
        return refused

    def _left_per_s(self, rooms: Collection[UpstreamRoom], now: float) -> float:
        """Returns the calls per s that get a place beside those that come."""
        while self._arrivals_s and self._arrivals_s[0] <= now - ARRIVAL_PERIOD_S:
            self._arrivals_s.popleft()
        per_s = self._calls_per_s(rooms)
        if not per_s:
            return math.inf
        left_per_s = per_s - len(self._arrivals_s) / ARRIVAL_PERIOD_S
        return max(MIN_LEFT_FRACTION * per_s, left_per_s)

    def _refuse_ended(self, rooms: Sequence[UpstreamRoom], now: float) -> list[Refused]:
        ended = [
            item.call for item in self._waiting_by_id.values() if item.call.end_s < now
        ]
        for call in ended:
            self.remove(call.id)
        return [Refused(call.id, self._return_after_s(rooms, now)) for call in ended]

    def _free_places(
        self, rooms: Sequence[UpstreamRoom], now: float
    ) -> dict[UpstreamId, int]:
        """Returns the places that are free at each upstream.

        Where more calls wait at it than should, some were sent without a place.
        """
        self._held_by_id = {
            call: held
            for call, held in self._held_by_id.items()
            if now - held.since_s < MAX_PLACE_S
        }
        given = Counter(held.upstream for held in self._held_by_id.values())
        return {
            room.upstream: self.limit(room)
            - given[room.upstream]
            - max(0, room.waiting - (self.limit(room) - room.slots))
            for room in rooms
        }

    def limit(self, room: UpstreamRoom) -> int:
        """Returns how many calls an upstream may have at the same time."""
        if not self.mean_s:
            return room.slots + 1
        beyond = math.ceil(room.slots * TURN_S / self.mean_s)
        return room.slots + min(room.slots, 1 + beyond)

    def _wait_s(self, ahead: int, rooms: Collection[UpstreamRoom]) -> float:
        """Returns the expected wait in s behind a number of calls."""
        per_s = self._calls_per_s(rooms)
        return ahead / per_s if per_s else 0.0

    def _calls_per_s(self, rooms: Collection[UpstreamRoom]) -> float:
        """Returns the calls per s that the upstreams work off; 0 if unknown."""
        if not self.mean_s:
            return 0.0
        return sum(self.limit(room) / (room.slowness * self.mean_s) for room in rooms)

    def _return_after_s(self, rooms: Collection[UpstreamRoom], now: float) -> float:
        """Returns the delay in s after which a refused caller finds room.

        Returns are dealt out at the pace at which places come free, so that callers
        do not come back together.
        """
        per_s = self._calls_per_s(rooms) or 1.0
        earliest_s = now + self._wait_s(len(self._waiting_by_id), rooms)
        self._next_return_s = max(self._next_return_s, earliest_s) + 1.0 / per_s
        delay_s = self._next_return_s - now
        if delay_s > MAX_RETURN_S:
            self._next_return_s = now + MAX_RETURN_S
        return min(MAX_RETURN_S, max(MIN_RETURN_S, delay_s))

    def _cost(self, room: UpstreamRoom, free: int) -> tuple[float, int]:
        """Returns how long a call takes at an upstream, as far as places tell.

        Args:
            room: The upstream.
            free: Its free places, those beyond its slots included.
        """
        given_beyond = self.limit(room) - room.slots - free + 1
        beyond_slots = max(0, given_beyond, room.waiting)
        return room.slowness * (1.0 + beyond_slots / room.slots), -free
