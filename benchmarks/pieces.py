"""Measures what a received byte costs, by the size of pieces and by what waits already.

Times are processor times of this process. Usage: python -m benchmarks.pieces
"""

from __future__ import annotations

import asyncio
import sys
import time
from collections.abc import Awaitable, Callable

import h11

from benchmarks.measure import Measurement
from wasabimux.adapters.http_client import ClientConnection
from wasabimux.relay._events import SseSplitter

HEAD = b"HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n"

#: Sizes of pieces in bytes, and bytes of a body in each of them.
BODY_BYTES_BY_PIECE_SIZE = {1: 100_000, 64: 1_000_000, 1_400: 4_000_000}
BODY_BYTES_BY_PIECE_SIZE[65_536] = 8_000_000

#: Bytes of an unfinished event that wait while more are received.
WAITING_BYTES = (0, 100_000, 900_000)
FED_BYTES = 64_000

#: Most that a byte may cost while much waits, as a multiple of the cost while nothing
#: does. A cost that grows with what waits would be hundreds of times as high.
MAX_COST_RATIO = 4.0

REPEATS = 5


def in_chunks(size: int, body_bytes: int) -> bytes:
    """Returns a response with a body in chunks of a size."""
    chunk = b"%x\r\n%b\r\n" % (size, b"x" * size)
    return HEAD + chunk * (body_bytes // size) + b"0\r\n\r\n"


async def read_response(data: bytes) -> None:
    """Reads a response that has arrived, as the HTTP client does."""
    reader = asyncio.StreamReader()
    reader.feed_data(data)
    reader.feed_eof()
    connection = ClientConnection(reader, _NoWriter())  # type: ignore[arg-type]
    await connection.send_request("GET", "/", [(b"host", b"a")], b"")
    while not isinstance(await connection.next_event(), h11.EndOfMessage):
        pass


class _NoWriter:
    """Stands for the writer of a connection; what is written is dropped."""

    def write(self, data: bytes) -> None:
        """Drops bytes."""

    def get_extra_info(self, name: str) -> None:
        """Returns None, as there is no connection."""


def feed_while_waiting(waiting: int) -> None:
    """Feeds pieces of 64 bytes to an event of which some bytes wait."""
    splitter = SseSplitter()
    splitter.feed(b"x" * waiting)
    for _ in range(FED_BYTES // 64):
        splitter.feed(b"x" * 64)


async def lowest_cost_ns(size: int, run: Callable[[], Awaitable[None]]) -> float:
    """Returns the processor time in ns of each byte, the lowest of some runs."""
    costs = []
    for _ in range(REPEATS):
        started_s = time.process_time()
        await run()
        costs.append((time.process_time() - started_s) / size * 1e9)
    return min(costs)


async def measure() -> list[Measurement]:
    """Returns the measurements."""
    found = []
    for size, body_bytes in BODY_BYTES_BY_PIECE_SIZE.items():
        data = in_chunks(size, body_bytes)
        cost = await lowest_cost_ns(body_bytes, lambda: read_response(data))
        found.append(Measurement(f"pieces.http.{size}", cost, "ns/B"))
    cost_by_waiting = {}
    for waiting in WAITING_BYTES:

        async def feed() -> None:
            feed_while_waiting(waiting)

        cost = cost_by_waiting[waiting] = await lowest_cost_ns(FED_BYTES, feed)
        found.append(Measurement(f"pieces.event.waiting_{waiting}", cost, "ns/B"))
    ratio = cost_by_waiting[WAITING_BYTES[-1]] / cost_by_waiting[WAITING_BYTES[0]]
    found.append(Measurement("pieces.event.ratio", ratio, "x", MAX_COST_RATIO))
    return found


def main() -> int:
    """Prints the measurements; returns 1 if one misses its bound."""
    found = asyncio.run(measure())
    for item in found:
        print(item)
    return int(any(item.verdict == "NOT MET" for item in found))


if __name__ == "__main__":
    sys.exit(main())
