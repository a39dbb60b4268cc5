"""An in-memory network between processes on one virtual clock, with faults."""

from __future__ import annotations

import asyncio
from collections import deque
from typing import Any

from wasabimux.link.channels import MemoryChannel
from wasabimux.ports import Channel

NETWORK_DELAY_S = 0.0005


class Network:
    """Carries frames between named processes, in order, with a delay.

    Args:
        delay_s: Time that a frame takes.
    """

    def __init__(self, delay_s: float = NETWORK_DELAY_S) -> None:
        self.delay_s = delay_s
        self.frame_count = 0
        self._accept_by_address: dict[str, Any] = {}
        self._name_by_address: dict[str, str] = {}
        self._cuts: set[frozenset[str]] = set()
        self._slow_s_by_name: dict[str, float] = {}
        self._ends: list[tuple[str, str, MemoryChannel]] = []

    def listen(self, name: str, address: str, accept: Any) -> None:
        """Lets a process accept connections at an address."""
        self._accept_by_address[address] = accept
        self._name_by_address[address] = name

    def connector(self, name: str) -> Any:
        """Returns what a process uses to connect."""

        async def connect(host: str, port: int) -> Channel:
            return await self._connect(name, f"{host}:{port}")

        return connect

    def cut(self, first: str, second: str) -> None:
        """Parts two processes; their connections are lost."""
        self._cuts.add(frozenset((first, second)))
        self._close_where(lambda pair: pair == frozenset((first, second)))

    def heal(self) -> None:
        """Ends all cuts and slowness."""
        self._cuts.clear()
        self._slow_s_by_name.clear()

    def delay_frames(self, name: str, delay_s: float) -> None:
        """Delays all frames to and from a process."""
        self._slow_s_by_name[name] = delay_s

    def reset_connections(self, name: str) -> None:
        """Loses all connections of a process."""
        self._close_where(lambda pair: name in pair)

    def remove_process(self, name: str) -> None:
        """Ends a process: its connections are lost and none are accepted."""
        for address in [a for a, n in self._name_by_address.items() if n == name]:
            del self._accept_by_address[address]
            del self._name_by_address[address]
        self.reset_connections(name)

    async def _connect(self, name: str, address: str) -> Channel:
        await asyncio.sleep(self.delay_s * 2)
        if address not in self._accept_by_address:
            raise ConnectionRefusedError(address)
        peer = self._name_by_address[address]
        if frozenset((name, peer)) in self._cuts:
            raise OSError("unreachable")
        lines = [_Line(self, name, peer), _Line(self, peer, name)]
        near, far = MemoryChannel(lines[0].carry), MemoryChannel(lines[1].carry)
        near.peer, far.peer = far, near
        self._ends = [end for end in self._ends if not end[2].closed]
        self._ends.append((name, peer, near))
        self._accept_by_address[address](far)
        return near

    def delay_between(self, sender: str, receiver: str) -> float:
        """Returns the delay of a frame sent now."""
        slow_s = self._slow_s_by_name
        return self.delay_s + max(slow_s.get(sender, 0.0), slow_s.get(receiver, 0.0))

    def _close_where(self, matches: Any) -> None:
        for first, second, channel in self._ends:
            if matches(frozenset((first, second))):
                channel.close()


class _Line:
    """One direction of a connection."""

    def __init__(self, network: Network, sender: str, receiver: str) -> None:
        self._network = network
        self._sender = sender
        self._receiver = receiver
        self._last_arrival_s = 0.0
        self._on_the_way: deque[bytes] = deque()

    async def carry(self, end: MemoryChannel, frame: bytes) -> None:
        """Delivers a frame after the delay, never before an earlier one."""
        loop = asyncio.get_running_loop()
        delay_s = self._network.delay_between(self._sender, self._receiver)
        self._last_arrival_s = max(loop.time() + delay_s, self._last_arrival_s)
        self._network.frame_count += 1
        assert end.peer is not None
        self._on_the_way.append(frame)
        loop.call_at(self._last_arrival_s, self._arrive, end.peer)

    def _arrive(self, end: MemoryChannel) -> None:
        """Delivers the oldest frame; timers of one moment come in any order."""
        frame = self._on_the_way.popleft()
        if not end.closed:
            end.incoming.put_nowait(frame)
