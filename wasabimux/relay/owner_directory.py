"""Which relay owns a thing that all relays share, and the way to it.

The owner is chosen by rendezvous hashing over the aggregators that hear one another.
Relays send their requests to an aggregator of their own failure domain, which passes
them on. Relays may disagree on the owner for a short time.
"""

from __future__ import annotations

from wasabimux._clock import loop_time
from wasabimux.decisions.placement import rendezvous_top
from wasabimux.relay.mesh import Mesh


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
