"""Simulates a network between processes in one event loop, with faults."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

from wasabimux.link.channels import MemoryChannel
from wasabimux.ports import Channel

#: Default one-way delay of a frame in s.
NETWORK_DELAY_S = 0.0005


class Network:
    """Delivers frames between named processes, in order, with a delay.

    Args:
        delay_s: One-way delay of a frame in s.

    Attributes:
        frame_count: Number of frames sent.
    """

    def __init__(self, delay_s: float = NETWORK_DELAY_S) -> None:
        self.delay_s = delay_s
        self.frame_count = 0
        self._accept_by_address: dict[str, Any] = {}
        self._name_by_address: dict[str, str] = {}
        self._partitioned_pairs: set[frozenset[str]] = set()
        self._extra_delay_s_by_name: dict[str, float] = {}
        self._connections: list[tuple[str, str, MemoryChannel]] = []

    def listen(self, name: str, address: str, accept: Any) -> None:
        """Registers the callback that accepts a process's connections at an address."""
        self._accept_by_address[address] = accept
        self._name_by_address[address] = name

    def connector(self, name: str) -> Any:
        """Returns the function with which a process opens connections."""

        async def connect(host: str, port: int) -> Channel:
            return await self._connect(name, f"{host}:{port}")

        return connect

    def cut(self, first: str, second: str) -> None:
        """Partitions two processes and closes the connections between them."""
        self._partitioned_pairs.add(frozenset((first, second)))
        self._close_where(lambda pair: pair == frozenset((first, second)))

    def heal(self) -> None:
        """Ends all partitions and extra delays."""
        self._partitioned_pairs.clear()
        self._extra_delay_s_by_name.clear()

    def delay_frames(self, name: str, delay_s: float) -> None:
        """Adds a delay in s to all frames to and from a process."""
        self._extra_delay_s_by_name[name] = delay_s

    def reset_connections(self, name: str) -> None:
        """Closes all connections of a process."""
        self._close_where(lambda pair: name in pair)

    def remove_process(self, name: str) -> None:
        """Removes a process: closes its connections and accepts no more."""
        for address in [a for a, n in self._name_by_address.items() if n == name]:
            del self._accept_by_address[address]
            del self._name_by_address[address]
        self.reset_connections(name)

    async def _connect(self, name: str, address: str) -> Channel:
        await asyncio.sleep(self.delay_s * 2)
        if address not in self._accept_by_address:
            raise ConnectionRefusedError(address)
        peer = self._name_by_address[address]
        if frozenset((name, peer)) in self._partitioned_pairs:
            raise OSError("unreachable")
        paths = [_OneWayPath(self, name, peer), _OneWayPath(self, peer, name)]
        local, remote = MemoryChannel(paths[0].send), MemoryChannel(paths[1].send)
        local.peer, remote.peer = remote, local
        self._connections = [item for item in self._connections if not item[2].closed]
        self._connections.append((name, peer, local))
        self._accept_by_address[address](remote)
        return local

    def delay_between(self, sender: str, receiver: str) -> float:
        """Returns the delay in s of a frame sent now."""
        extra_s = self._extra_delay_s_by_name
        return self.delay_s + max(extra_s.get(sender, 0.0), extra_s.get(receiver, 0.0))

    def _close_where(self, matches: Any) -> None:
        for first, second, channel in self._connections:
            if matches(frozenset((first, second))):
                channel.close()


class _OneWayPath:
    """Delivers the frames of one direction of a connection, in order."""

    def __init__(self, network: Network, sender: str, receiver: str) -> None:
        self._network = network
        self._sender = sender
        self._receiver = receiver
        self._last_arrival_s = 0.0
        self._in_flight: deque[bytes] = deque()

    async def send(self, channel: MemoryChannel, frame: bytes) -> None:
        """Schedules a frame after the delay, never before an earlier frame."""
        loop = asyncio.get_running_loop()
        delay_s = self._network.delay_between(self._sender, self._receiver)
        self._last_arrival_s = max(loop.time() + delay_s, self._last_arrival_s)
        self._network.frame_count += 1
        assert channel.peer is not None
        self._in_flight.append(frame)
        channel.frames_under_way += 1
        loop.call_at(self._last_arrival_s, self._deliver, channel, channel.peer)

    def _deliver(self, sender: MemoryChannel, receiver: MemoryChannel) -> None:
        """Delivers the oldest frame in flight.

        Timers that are due at the same time fire in any order, so a timer is not tied
        to a frame.
        """
        frame = self._in_flight.popleft()
        sender.frames_under_way -= 1
        if not receiver.closed:
            receiver.incoming.put_nowait(frame)
