"""Ordinary clients that send orders on kept channels, and what becomes of these."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
from collections.abc import AsyncGenerator, Sequence

from review.second.deployment import (
    API_KEY,
    BROKEN,
    HELD,
    Record,
    RelayMachine,
    head,
    read_answer,
)
from wasabimux.platform.standins.runner import StandInRunner

#: Clients of each machine, time in s that an order takes at its runner, and pause in s
#: of a client between two orders.
CLIENTS = 8
WORK_S = 0.3
PAUSE_S = 0.05

#: Time in s that a client allows for an order, and for a new channel.
TIME_LIMIT_S = 1.5
CONNECT_S = 1.0

#: Orders of one machine that may be passed on and end without an answer.
MOST_LOST = 3


class Orders:
    """Clients of some machines; counts orders that were passed on and not answered.

    Args:
        machines: The machines.
        runners: Runners that may have got the orders.
        record: Record of the case.
    """

    def __init__(
        self,
        machines: Sequence[RelayMachine],
        runners: Sequence[StandInRunner],
        record: Record,
    ) -> None:
        self._machines = machines
        self._runners = runners
        self._record = record
        self._numbers = itertools.count(1)
        self._cut: dict[str, list[str]] = {item.name: [] for item in machines}
        self._first_cut: dict[str, int] = {item.name: 0 for item in machines}
        self._answers: dict[str, dict[int, int]] = {item.name: {} for item in machines}
        for runner in runners:
            runner.faults.delay_s = WORK_S

    @contextlib.asynccontextmanager
    async def coming(self) -> AsyncGenerator[None, None]:
        """Lets the clients send orders within the context."""
        clients = [
            asyncio.ensure_future(self._client(machine))
            for machine in self._machines
            for _ in range(CLIENTS)
        ]
        try:
            yield
        finally:
            for client in clients:
                client.cancel()
            await asyncio.gather(*clients, return_exceptions=True)

    def judge(self) -> int:
        """Judges the rule `LOST` at any time; a process that ends by itself counts."""
        run = {item.request_id for runner in self._runners for item in runner.runs}
        result = HELD
        for name, cut in self._cut.items():
            lost = [order for order in cut if order in run]
            self._record.line(
                f"{name}: orders of ordinary clients by status {self._answers[name]};"
                f" {len(cut)} whose kept channel closed without an answer,"
                f" {len(lost)} of them had been passed on and run: {' '.join(lost)};"
                f" {self._first_cut[name]} more were the first on their channel"
            )
            if len(lost) > MOST_LOST:
                result = BROKEN
        self._record.line(f"rule LOST: {'broken' if result == BROKEN else 'held'}")
        return result

    async def _client(self, machine: RelayMachine) -> None:
        while True:
            try:
                async with asyncio.timeout(CONNECT_S):
                    reader, writer = await asyncio.open_connection(*machine.front)
            except (OSError, TimeoutError):
                await asyncio.sleep(0.2)
                continue
            try:
                await self._send_orders(machine, reader, writer)
            finally:
                writer.close()

    async def _send_orders(
        self,
        machine: RelayMachine,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Sends orders on one channel until it ends.

        It is a kept one once it has brought an answer.
        """
        is_kept = False
        while True:
            order = f"{next(self._numbers):016x}"
            headers = {
                "Wasabimux-Request-Id": order,
                "Wasabimux-Deadline-Ms": str(int(TIME_LIMIT_S * 1000)),
                "Authorization": f"Bearer {API_KEY}",
            }
            try:
                writer.write(head("POST", "/orders/1", headers, 80) + b"x" * 80)
                async with asyncio.timeout(TIME_LIMIT_S):
                    answer = await read_answer(reader)
            except TimeoutError:
                return  # the client gives up, as it may
            except (OSError, EOFError):
                if is_kept:
                    self._cut[machine.name].append(order)
                else:
                    self._first_cut[machine.name] += 1
                return
            is_kept = True
            answers = self._answers[machine.name]
            answers[answer.status] = answers.get(answer.status, 0) + 1
            if answer.headers.get("connection", "").lower() == "close":
                return
            await asyncio.sleep(PAUSE_S)
