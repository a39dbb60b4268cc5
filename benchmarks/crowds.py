"""Crowds of clients that do not behave, against a relay on the smallest machine.

Each crowd meets a relay of its own, told of a machine of 128 MB and 4,100 descriptors,
and stays for some seconds, while one client sends ordinary calls. Memory is the private
memory of the process at its peak.

Usage: python -m benchmarks.crowds [CROWD ...]
"""

from __future__ import annotations

import asyncio
import contextlib
import os
import sys
import tempfile
from collections.abc import Awaitable, Callable, Iterator
from pathlib import Path
from typing import NamedTuple

from benchmarks.measure import Measurement
from tests.relay_fixtures import send_request
from tests.test_hostile_clients import (
    MAX_BODY_BYTES,
    ORDINARY_PATH,
    Door,
    batches_ahead,
    half_head,
    head,
    one_piece,
    send_and_stay,
    start_door,
    unread_answers,
)
from wasabimux.ports import UpstreamLost

#: Memory in MB and descriptors of the machine.
MACHINE_MB = 128
MACHINE_DESCRIPTORS = 4_100

#: Time in s for which a crowd stays, interval between ordinary calls, and between
#: checks of the process.
CROWD_S = 12.0
CALL_INTERVAL_S = 0.1
CHECK_INTERVAL_S = 0.01

#: Bytes that a slow sender has sent of its body.
SLOW_BYTES = 300_000

READY_PATH = "/v1/ready"


class Crowd(NamedTuple):
    """Clients that do the same.

    Attributes:
        size: Number of clients.
        pieces: Yields what a client sends, by the path and the client's number.
        port: Port of the relay that they come to.
    """

    size: int
    pieces: Callable[[str, int], Iterator[bytes]]
    port: str = "front"


def slow_sender(path: str, number: int) -> Iterator[bytes]:
    """Yields a part of a body."""
    yield head(path, f"content-length: {MAX_BODY_BYTES}", number=number)
    yield bytes(SLOW_BYTES)


CROWDS = {
    "bodies": Crowd(60, one_piece),
    "half_heads": Crowd(1_500, half_head),
    "slow_senders": Crowd(200, slow_sender),
    "ahead": Crowd(60, batches_ahead),
    "ahead_ready": Crowd(60, batches_ahead, "ready"),
    "unread_answers": Crowd(60, unread_answers),
}


async def play(crowd: Crowd) -> tuple[Door, list[bool]]:
    """Lets a crowd come to a relay; returns what the relay used, and ordinary calls.

    The calls are told by whether they were answered.
    """
    served: list[bool] = []
    with tempfile.TemporaryDirectory() as directory:
        async with start_door(Path(directory)) as door:
            address = door.address_by_port[crowd.port]
            path = READY_PATH if crowd.port == "ready" else ORDINARY_PATH
            clients = [
                asyncio.ensure_future(
                    _ignore_end(send_and_stay(address, crowd.pieces(path, number)))
                )
                for number in range(crowd.size)
            ]
            calls = asyncio.ensure_future(_call_often(door, served))
            ends_s = asyncio.get_running_loop().time() + CROWD_S
            while asyncio.get_running_loop().time() < ends_s:
                door.check()
                await asyncio.sleep(CHECK_INTERVAL_S)
            for task in [calls, *clients]:
                task.cancel()
            await asyncio.gather(calls, *clients, return_exceptions=True)
    return door, served


async def _call_often(door: Door, served: list[bool]) -> None:
    """Sends ordinary calls, one after the other."""
    while True:
        number = len(served)
        try:
            response = await send_request(
                door.process.http_address, ORDINARY_PATH, f"c{number}", "GET", b""
            )
            async with response:
                await response.body()
                served.append(response.status == 200)
        except UpstreamLost:
            served.append(False)
        await asyncio.sleep(CALL_INTERVAL_S)


async def _ignore_end(client: Awaitable[None]) -> None:
    with contextlib.suppress(OSError):
        await client


def measure(name: str) -> list[Measurement]:
    """Returns the measurements of a crowd."""
    door, served = asyncio.run(play(CROWDS[name]))
    left_out = served.count(False)
    return [
        Measurement(f"crowds.{name}.memory", door.peak_mb, "MB", MACHINE_MB),
        Measurement(
            f"crowds.{name}.descriptors", door.descriptors, "", MACHINE_DESCRIPTORS
        ),
        Measurement(f"crowds.{name}.calls_served", served.count(True), "calls"),
        Measurement(f"crowds.{name}.calls_not_served", left_out, "calls", 0),
    ]


def main(names: list[str]) -> int:
    """Prints the measurements; returns 1 if one misses its bound."""
    os.environ["RELAY_MEMORY_MB"] = str(MACHINE_MB)
    os.environ["RELAY_MAX_DESCRIPTORS"] = str(MACHINE_DESCRIPTORS)
    has_missed = False
    for name in names or CROWDS:
        for item in measure(name):
            print(item, flush=True)
            has_missed = has_missed or item.verdict == "NOT MET"
    return int(has_missed)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
