"""Runs the ordinary command line with small send buffers on its HTTP listeners.

Usage: python -m tests.small_buffers BYTES ARGUMENTS...

What a client has not read then stays in the process, as on a long way to the client.
"""

from __future__ import annotations

import socket
import sys

from wasabimux.adapters.http_server import HttpServer
from wasabimux.cli.daemon import main

_listen = HttpServer.listen


def limit_send_buffers(buffer_bytes: int) -> None:
    """Sets the send buffer of each HTTP listener that is opened from now on."""

    async def listen(server: HttpServer, host: str, port: int) -> tuple[str, int]:
        address = await _listen(server, host, port)
        assert server._server is not None
        for listener in server._server.sockets:
            listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, buffer_bytes)
        return address

    HttpServer.listen = listen  # type: ignore[method-assign]


if __name__ == "__main__":
    limit_send_buffers(int(sys.argv.pop(1)))
    main()
