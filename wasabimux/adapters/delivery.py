"""Ends connections only once what was written on them has reached their peers.

What is written is held by this process, then by its system, until the peer has
acknowledged it. The end of the process or of its machine loses what they hold, and a
close loses it too if data of the peer is unread, as the system then resets the
connection. So the sending side is closed first, and the rest once all has arrived
(RFC 9112, 9.6).
"""

from __future__ import annotations

import asyncio
import contextlib
import fcntl
import socket
import struct
import termios
from collections.abc import Callable

from wasabimux._clock import loop_time
from wasabimux.errors import RefusedError

#: Interval in s between checks of what a peer has acknowledged; it doubles up to the
#: longest one.
MIN_CHECK_INTERVAL_S = 0.005
MAX_CHECK_INTERVAL_S = 0.1

#: Bytes of the peer that are read at once, to be dropped.
DROPPED_BYTES = 64 * 1024


def undelivered_bytes(writer: asyncio.StreamWriter) -> int:
    """Returns the bytes that this process or its system holds for a connection.

    The system holds what it has not sent, and what the peer has not acknowledged; an
    end that was sent counts as one byte. A connection that is closed holds nothing.
    """
    transport = writer.transport
    held = transport.get_write_buffer_size() + _unacknowledged_bytes(writer)
    below = _transport_below(transport)
    return held if below is None else held + below.get_write_buffer_size()


async def deliver(
    reader: asyncio.StreamReader, writer: asyncio.StreamWriter, stall_timeout_s: float
) -> bool:
    """Closes the sending side of a connection, and waits until all has arrived.

    What the peer sends meanwhile is dropped. The caller closes the connection.

    Args:
        reader: Reader of the connection, which nobody else reads.
        writer: Writer of the connection.
        stall_timeout_s: Longest time in s in which nothing arrives.

    Returns:
        False if the time was over; True if all has arrived or the connection was lost.
    """
    dropping = asyncio.ensure_future(_drop_received(reader))
    try:
        if writer.can_write_eof():
            writer.write_eof()
        return await wait_until_delivered(
            lambda: undelivered_bytes(writer), stall_timeout_s
        )
    except OSError:
        return True
    finally:
        dropping.cancel()
        await asyncio.wait({dropping})


async def linger(reader: asyncio.StreamReader, timeout_s: float) -> None:
    """Drops what a peer sends until it closes its sending side, for a bounded time.

    A close before that would reset the connection, which may cost the peer what it has
    not read. The caller closes the connection.

    Args:
        reader: Reader of the connection, which nobody else reads.
        timeout_s: Longest time in s that it takes.
    """
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(timeout_s):
            await _drop_received(reader)


async def wait_until_delivered(
    count_outstanding: Callable[[], int], stall_timeout_s: float
) -> bool:
    """Waits until a peer has all that it is to have.

    Args:
        count_outstanding: Returns the bytes that have not arrived.
        stall_timeout_s: Longest time in s in which nothing arrives.

    Returns:
        False if the time was over.
    """
    outstanding = count_outstanding()
    changed_s, interval_s = loop_time(), MIN_CHECK_INTERVAL_S
    while outstanding:
        await asyncio.sleep(interval_s)
        interval_s = min(2 * interval_s, MAX_CHECK_INTERVAL_S)
        before, outstanding = outstanding, count_outstanding()
        now = loop_time()
        if outstanding < before:
            changed_s = now
        elif now - changed_s >= stall_timeout_s:
            return False
    return True


async def _drop_received(reader: asyncio.StreamReader) -> None:
    """Reads and drops what a peer sends, until it closes its sending side.

    A reader whose wait was ended with an error reads nothing more.
    """
    with contextlib.suppress(OSError, RefusedError):
        while await reader.read(DROPPED_BYTES):
            pass


def _transport_below(transport: asyncio.WriteTransport) -> asyncio.Transport | None:
    """Returns the transport that carries one with TLS, None without TLS."""
    protocol = getattr(transport, "_ssl_protocol", None)
    return getattr(protocol, "_transport", None)


def _unacknowledged_bytes(writer: asyncio.StreamWriter) -> int:
    connection: socket.socket | None = writer.get_extra_info("socket")
    if connection is None or connection.fileno() < 0:
        return 0
    size = struct.pack("i", 0)
    try:
        size = fcntl.ioctl(connection.fileno(), termios.TIOCOUTQ, size)
    except OSError:
        return 0  # the connection was lost, or the system does not tell
    return int(struct.unpack("i", size)[0])
