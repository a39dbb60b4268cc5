"""Links between entries."""

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

#: Longest wait for the first message of a peer.
HELLO_TIMEOUT_S = 1.0


class PeerLife(Enum):
    """What a probe tells of a process."""

    ALIVE = "alive"
    DEAD = "dead"
    UNKNOWN = "unknown"


class PeerLinks:
    """Keeps links to and from other entries; a context manager.

    Args:
        hello: What this entry says of itself.
        connect: Connects to an address.
        clock: Hybrid clock of the process.
        traffic: Byte counts of the process.
        on_message: Called with each message of a peer.
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
        self._connecting: dict[str, asyncio.Task[Link]] = {}
        self._accepted: set[Link] = set()

    def __enter__(self) -> PeerLinks:
        return self

    def __exit__(self, *exc_info: object) -> None:
        for task in self._connecting.values():
            task.cancel()
        for link in self.links():
            link.close()

    def links(self) -> list[Link]:
        """Returns all links that are up."""
        known = [*self._links_by_address.values(), *self._accepted]
        return [link for link in known if link.peer and not link.closed.is_set()]

    def on_channel(self, channel: Channel) -> None:
        """Takes a connection from a peer."""
        link = self._start(channel, initiator=False)
        self._accepted.add(link)
        lost = asyncio.ensure_future(link.closed.wait())
        lost.add_done_callback(lambda _: self._accepted.discard(link))

    async def link_to(self, address: str) -> Link:
        """Returns a link to a peer, connecting if there is none.

        Raises:
            OSError: The peer cannot be reached.
        """
        link = self._links_by_address.get(address)
        if link is not None and not link.closed.is_set():
            return link
        task = self._connecting.get(address)
        if task is None:
            task = asyncio.ensure_future(self._link(address))
            self._connecting[address] = task
            task.add_done_callback(lambda done: self._on_connected(address, done))
        return await asyncio.shield(task)

    async def probe(self, address: str, incarnation: int) -> PeerLife:
        """Finds out whether the process that had an address still lives.

        A refused connection proves that no process listens there, and another
        incarnation that the process was replaced. A paused process still
        accepts connections, so silence proves nothing.
        """
        try:
            link = await self.link_to(address)
        except ConnectionRefusedError:
            return PeerLife.DEAD
        except OSError:
            return PeerLife.UNKNOWN
        assert link.peer is not None
        if link.peer.incarnation != incarnation:
            return PeerLife.DEAD
        return PeerLife.ALIVE

    def _on_connected(self, address: str, done: asyncio.Task[Link]) -> None:
        """Forgets an attempt, whose waiters may all have given up."""
        self._connecting.pop(address, None)
        if not done.cancelled():
            done.exception()

    async def _link(self, address: str) -> Link:
        channel = await self._connect(*parse_address(address))
        link = self._start(channel, initiator=True)
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_S):
                await link.ready.wait()
        except TimeoutError:
            pass
        if link.peer is None:
            link.close()
            raise OSError("the peer is silent")
        self._links_by_address[address] = link
        return link

    def _start(self, channel: Channel, initiator: bool) -> Link:
        link = Link(
            channel, self._hello, self._clock, self._events, initiator, self._traffic
        )
        link.start()
        return link
