"""Which relay owns a thing that all relays share, and requests on the way to it.

The owner is chosen by rendezvous hashing over the aggregators that hear one another.
Relays send their requests to an aggregator of their own failure domain, which passes
them on. Relays may disagree on the owner for a short time.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import NamedTuple

from wasabimux._clock import loop_time
from wasabimux.decisions.placement import rendezvous_top
from wasabimux.ids import PeerRequestId
from wasabimux.relay.mesh import Mesh


class PassedRequest(NamedTuple):
    """A request of another relay that was passed on to an owner.

    Attributes:
        number: Number under which it was passed on.
        request: Its identity at the relay that it has come from.
        owner: Address of the owner.
    """

    number: int
    request: PeerRequestId
    owner: str


class PassedRequests:
    """Requests of other relays that this one has passed on, until they are released."""

    def __init__(self) -> None:
        self._passed_by_number: dict[int, PassedRequest] = {}
        self._passed_by_request: dict[PeerRequestId, PassedRequest] = {}

    def add(self, passed: PassedRequest) -> None:
        """Remembers a request that was passed on."""
        self._passed_by_number[passed.number] = passed
        self._passed_by_request[passed.request] = passed

    def by_number(self, number: int) -> PassedRequest | None:
        """Returns the request passed on under a number, None if there is none."""
        return self._passed_by_number.get(number)

    def take(self, request: PeerRequestId) -> PassedRequest | None:
        """Forgets a request and returns how it was passed on, None if it was not."""
        passed = self._passed_by_request.pop(request, None)
        if passed is not None:
            del self._passed_by_number[passed.number]
        return passed

    def take_from(self, relay: str) -> list[PassedRequest]:
        """Forgets and returns all requests of a relay."""
        return self._take_where(lambda passed: passed.request.relay == relay)

    def take_to(self, owner: str) -> list[PassedRequest]:
        """Forgets and returns all requests that were passed on to an owner."""
        return self._take_where(lambda passed: passed.owner == owner)

    def _take_where(
        self, matches: Callable[[PassedRequest], bool]
    ) -> list[PassedRequest]:
        found = [item for item in self._passed_by_number.values() if matches(item)]
        for passed in found:
            self.take(passed.request)
        return found


class OwnerDirectory:
    """Owners as one relay knows them.

    Args:
        mesh: Links to the other relays.
    """

    def __init__(self, mesh: Mesh) -> None:
        self._mesh = mesh

    def owner(self, key: str) -> str:
        """Returns the address of the owner; this relay's without any aggregator.

        Args:
            key: Name of what is owned.
        """
        aggregators = self._mesh.live_aggregators(loop_time())
        if not aggregators:
            return self._mesh.address
        return rendezvous_top(key.encode(), aggregators, 1)[0]

    def next_hop(self, key: str) -> str:
        """Returns the relay to send a request to: the owner, or one that knows it."""
        aggregators = self._mesh.membership.aggregators(loop_time())
        if self._mesh.address in aggregators:
            return self.owner(key)
        return aggregators[0] if aggregators else self._mesh.address

    def may_pass_on(self, sender: str, owner: str) -> bool:
        """Returns whether a request is to be passed on; those of aggregators are not.

        Args:
            sender: Address of the relay that the request has come from.
            owner: Address of the owner.
        """
        if sender in self._mesh.live_aggregators(loop_time()):
            return False
        return owner not in (self._mesh.address, sender)
