"""Channels that carry the frames of links: TCP with or without TLS, and in memory."""

from __future__ import annotations

import asyncio
import contextlib
import ssl
import struct
from collections.abc import Awaitable, Callable

from wasabimux.adapters.delivery import undelivered_bytes, wait_until_delivered
from wasabimux.adapters.tls import peer_role
from wasabimux.ports import Channel

#: Size of the length prefix of a frame on TCP.
LENGTH_PREFIX_BYTES = 4

#: Maximum size of a frame; a connection with a longer frame counts as lost.
MAX_FRAME_BYTES = 16 * 1024 * 1024

#: Timeout for establishing a TCP connection, including the TLS handshake.
CONNECT_TIMEOUT_S = 2.0

#: Time after a close until a connection with unsent data is aborted.
CLOSE_LINGER_S = 1.0


class TcpChannel:
    """Sends frames over TCP, each prefixed with its length as 4 bytes, big-endian.

    Args:
        reader: Reader of the connection.
        writer: Writer of the connection.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._sent_bytes = 0

    async def send(self, frame: bytes) -> None:
        """Sends a frame; waits while the connection's write buffer is full."""
        data = struct.pack(">I", len(frame)) + frame
        self._sent_bytes += len(data)
        self._writer.write(data)
        await self._writer.drain()

    async def receive(self) -> bytes | None:
        """Returns the next frame, or None once the connection is lost."""
        try:
            prefix = await self._reader.readexactly(LENGTH_PREFIX_BYTES)
            (length,) = struct.unpack(">I", prefix)
            if length > MAX_FRAME_BYTES:
                return None
            return await self._reader.readexactly(length)
        except (asyncio.IncompleteReadError, OSError):
            return None

    def peer_has_role(self, role: str) -> bool:
        """Returns whether the peer's certificate names a role; True without TLS."""
        connection = self._writer.get_extra_info("ssl_object")
        return connection is None or peer_role(connection) == role

    async def flush(self, stall_timeout_s: float) -> bool:
        """Waits until the peer has acknowledged all frames sent so far.

        Args:
            stall_timeout_s: Longest time in s in which nothing arrives.

        Returns:
            False if that time was over; True also if the connection was lost.
        """
        sent_bytes = self._sent_bytes

        def count_outstanding() -> int:
            later_bytes = self._sent_bytes - sent_bytes
            return max(0, undelivered_bytes(self._writer) - later_bytes)

        return await wait_until_delivered(count_outstanding, stall_timeout_s)

    async def end(self, stall_timeout_s: float) -> bool:
        """Ends the sending side once the peer has all; waits as `flush` does."""
        if not self._writer.can_write_eof():
            has_arrived = await self.flush(stall_timeout_s)
            self._writer.close()  # starts the end of TLS, which the peer answers
            return has_arrived
        with contextlib.suppress(OSError):  # the connection was lost
            self._writer.write_eof()
        return await self.flush(stall_timeout_s)

    def close(self) -> None:
        """Closes the connection; unsent data is sent for up to CLOSE_LINGER_S."""
        transport = self._writer.transport
        transport.close()
        asyncio.get_running_loop().call_later(CLOSE_LINGER_S, transport.abort)


async def connect_tcp(
    host: str, port: int, tls: ssl.SSLContext | None = None
) -> TcpChannel:
    """Connects to a peer.

    Args:
        host: Host name or IP address of the peer.
        port: TCP port of the peer.
        tls: TLS context, None for plain TCP.

    Raises:
        OSError: The peer cannot be reached within CONNECT_TIMEOUT_S.
    """
    connecting = asyncio.open_connection(host, port, ssl=tls)
    try:
        reader, writer = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
    except TimeoutError as error:
        raise OSError("connecting to the peer timed out") from error
    return TcpChannel(reader, writer)


async def listen_tcp(
    host: str,
    port: int,
    on_channel: Callable[[Channel], None],
    tls: ssl.SSLContext | None = None,
) -> asyncio.Server:
    """Listens for connections of peers and passes each to `on_channel`."""

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        on_channel(TcpChannel(reader, writer))

    return await asyncio.start_server(accept, host, port, ssl=tls)


class MemoryChannel:
    """One end of an in-memory connection, for tests on a virtual clock.

    Args:
        deliver: Called with this end and each frame sent; may drop or delay the frame.

    Attributes:
        frames_under_way: Number of frames sent that `deliver` delays now.
    """

    def __init__(
        self, deliver: Callable[[MemoryChannel, bytes], Awaitable[None]]
    ) -> None:
        self.peer: MemoryChannel | None = None
        self.incoming: asyncio.Queue[bytes | None] = asyncio.Queue()
        self.closed = False
        self.frames_under_way = 0
        self._deliver = deliver

    async def send(self, frame: bytes) -> None:
        """Sends a frame to the other end."""
        if self.closed:
            raise ConnectionResetError("the in-memory connection is closed")
        await self._deliver(self, frame)

    async def receive(self) -> bytes | None:
        """Returns the next frame, or None once the connection is closed."""
        if self.closed:
            return None
        return await self.incoming.get()

    def peer_has_role(self, role: str) -> bool:
        """Returns True, as both ends belong to the same process."""
        return True

    async def flush(self, stall_timeout_s: float) -> bool:
        """Waits until the other end has all frames, as `TcpChannel` does."""
        return await wait_until_delivered(
            lambda: 0 if self.closed else self.frames_under_way, stall_timeout_s
        )

    async def end(self, stall_timeout_s: float) -> bool:
        """Closes both ends once the other one has all; waits as `flush` does."""
        has_arrived = await self.flush(stall_timeout_s)
        self.close()
        return has_arrived

    def close(self) -> None:
        """Closes both ends."""
        for end in (self, self.peer):
            if end is not None and not end.closed:
                end.closed = True
                end.incoming.put_nowait(None)


async def deliver_immediately(sender: MemoryChannel, frame: bytes) -> None:
    """Delivers a frame to the other end without loss or delay."""
    if sender.peer is not None:
        sender.peer.incoming.put_nowait(frame)


def memory_channel_pair(
    deliver: Callable[[MemoryChannel, bytes], Awaitable[None]] = deliver_immediately,
) -> tuple[MemoryChannel, MemoryChannel]:
    """Creates the two connected ends of an in-memory connection."""
    left, right = MemoryChannel(deliver), MemoryChannel(deliver)
    left.peer, right.peer = right, left
    return left, right
