"""Links to peers: between entries and between relays."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum

from wasabimux.entry.pool import Connect
from wasabimux.link.link import Link, LinkCallbacks, LinkTraffic
from wasabimux.link.messages import Hello, Message
from wasabimux.ports import Channel
from wasabimux.settings.address import parse_address
from wasabimux.timeline import HybridClock

#: Longest time to wait for a peer's Hello message on a new link.
HELLO_TIMEOUT_S = 1.0


class PeerLiveness(Enum):
    """Result of a probe of a peer's process."""

    ALIVE = "alive"
    DEAD = "dead"
    UNKNOWN = "unknown"


class PeerLinks:
    """Links to and from peers; a context manager that closes them at its exit.

    Args:
        hello: First message on each link, which identifies this process.
        connect: Function that connects to an address.
        clock: Hybrid clock of the process.
        traffic: Byte counters of the process.
        on_message: Called with each message from a peer.
    """

    def __init__(
        self,
        hello: Hello,
        connect: Connect,
        clock: HybridClock,
        traffic: LinkTraffic,
        on_message: Callable[[Link, Message], None],
    ) -> None:
        self._hello = hello
        self._connect = connect
        self._clock = clock
        self._traffic = traffic
        self._events = LinkCallbacks(on_control=on_message)
        self._links_by_address: dict[str, Link] = {}
        self._connecting_by_address: dict[str, asyncio.Task[Link]] = {}
        self._accepted_links: set[Link] = set()

    def __enter__(self) -> PeerLinks:
        return self

    def __exit__(self, *exc_info: object) -> None:
        for task in self._connecting_by_address.values():
            task.cancel()
        for link in self.links():
            link.close()

    def links(self) -> list[Link]:
        """Returns all links that are established and not lost."""
        all_links = [*self._links_by_address.values(), *self._accepted_links]
        return [link for link in all_links if link.peer and not link.closed.is_set()]

    def on_channel(self, channel: Channel) -> None:
        """Starts a link on a connection that a peer opened."""
        link = self._start_link(channel, initiator=False)
        self._accepted_links.add(link)
        lost = asyncio.ensure_future(link.closed.wait())
        lost.add_done_callback(lambda _: self._accepted_links.discard(link))

    async def link_to(self, address: str) -> Link:
        """Returns the link to a peer, and connects if there is none.

        Raises:
            OSError: The peer cannot be reached.
        """
        link = self._links_by_address.get(address)
        if link is not None and not link.closed.is_set():
            return link
        task = self._connecting_by_address.get(address)
        if task is None:
            task = asyncio.ensure_future(self._open_link(address))
            self._connecting_by_address[address] = task
            task.add_done_callback(lambda done: self._on_connected(address, done))
        return await asyncio.shield(task)

    async def probe(self, address: str, incarnation: int) -> PeerLiveness:
        """Determines whether one incarnation of the process at an address is alive.

        A refused connection proves that no process listens at the address, and a
        different incarnation proves that the process was replaced. The connections of
        a paused process are still accepted, so a missing response proves nothing.

        Args:
            address: Address of the process.
            incarnation: Incarnation of the process.
        """
        try:
            link = await self.link_to(address)
        except ConnectionRefusedError:
            return PeerLiveness.DEAD
        except OSError:
            return PeerLiveness.UNKNOWN
        assert link.peer is not None
        if link.peer.incarnation != incarnation:
            return PeerLiveness.DEAD
        return PeerLiveness.ALIVE

    def _on_connected(self, address: str, done: asyncio.Task[Link]) -> None:
        """Removes a finished attempt to connect.

        Retrieves its exception, as all tasks that waited for the link may have been
        cancelled.
        """
        self._connecting_by_address.pop(address, None)
        if not done.cancelled():
            done.exception()

    async def _open_link(self, address: str) -> Link:
        channel = await self._connect(*parse_address(address))
        link = self._start_link(channel, initiator=True)
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                await link.ready.wait()
        except TimeoutError:
            pass
        if link.peer is None:
            link.close()
            raise OSError("the peer sent no first message in time")
        self._links_by_address[address] = link
        return link

    def _start_link(self, channel: Channel, initiator: bool) -> Link:
        link = Link(
            channel, self._hello, self._clock, self._events, initiator, self._traffic
        )
        link.start()
        return link
