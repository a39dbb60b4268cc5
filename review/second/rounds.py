"""Rounds in which a crowd of clients comes to each machine of a deployment."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

from review.second.deployment import (
    Deployment,
    RelayMachine,
    judge_ends,
    order_is_served,
)
from review.second.orders import Orders

#: Rounds, after each of which the machine has to be ready again.
ROUNDS = 3

#: Longest time in s for which a crowd stays.
CROWD_S = 9.0

#: Sends the crowd to a machine and returns what it has seen, as text.
Crowd = Callable[[RelayMachine], Awaitable[str]]


async def judge_rounds(found: Deployment, crowd: Crowd) -> int:
    """Lets a crowd come to all machines, some times in a row, beside ordinary clients.

    It judges `LOST`, and records whether `Fault` is broken as well.
    """
    orders = Orders(found.machines, found.runners, found.record)
    async with orders.coming():
        runs = [_come(found, machine, crowd) for machine in found.machines]
        await asyncio.gather(*runs)
    judge_ends(found.machines, found.record)
    return orders.judge()


async def _come(found: Deployment, machine: RelayMachine, crowd: Crowd) -> None:
    for number in range(1, ROUNDS + 1):
        await machine.wait_until_ready()
        served = await order_is_served(machine, number)
        found.record.line(
            f"{machine.name}: round {number}, an ordinary order is"
            f" {'served' if served else 'not served'} before the crowd"
        )
        ends = machine.memory_ends + machine.other_ends
        coming = asyncio.ensure_future(crowd(machine))
        try:
            async with asyncio.timeout(CROWD_S):
                while not coming.done():
                    if machine.memory_ends + machine.other_ends > ends:
                        break
                    await asyncio.sleep(0.02)
        except TimeoutError:
            pass
        if not coming.done():
            coming.cancel()
        results = await asyncio.gather(coming, return_exceptions=True)
        if isinstance(results[0], str):
            found.record.line(f"{machine.name}: {results[0]}")
        await asyncio.sleep(1.5)
    await machine.wait_until_ready()
    served = await order_is_served(machine, 0)
    found.record.line(
        f"{machine.name}: an ordinary order is {'served' if served else 'not served'}"
        " at the end"
    )
