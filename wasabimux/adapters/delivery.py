"""Tells how much of what was written on a connection has not reached its peer."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios


def undelivered_bytes(writer: asyncio.StreamWriter) -> int:
    """Returns the bytes that this process or its system holds for a connection.

    The system holds what it has not sent, and what the peer has not acknowledged; an
    end that was sent counts as one byte. A connection that is closed holds nothing.
    """
    return writer.transport.get_write_buffer_size() + _unacknowledged_bytes(writer)


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
