"""Entries of another writer among those of the runners, within the store's limit."""

from __future__ import annotations

import asyncio
import json
from pathlib import Path
from typing import Any

from review.second.deployment import (
    Deployment,
    Record,
    RelayMachine,
    deployment,
    desired_state,
    judge_ends,
    order_is_served,
    run_case,
)
from review.second.orders import Orders
from review.second.paged_store import PagedStore
from wasabimux.platform.standins.runner import StandInRunner

#: Entries of the other writer, time in s between them, and `valueBytes` of the store.
ENTRIES = 8
GAP_S = 0.25
VALUE_BYTES = 1_048_576

#: Time in s for which the entries stay, and that the relays then have to come back.
STAY_S = 14.0
RECOVERY_S = 4.0


def entry(number: int, with_trouble: bool) -> dict[str, Any]:
    """Returns an entry with fields missing and fields of another type."""
    places = 345_000 if with_trouble else 3
    found = {"service": number, "state": "ready", "address": [[]] * places}
    size = len(json.dumps(found, separators=(",", ":")))
    assert size < VALUE_BYTES, size
    return found


async def case(record: Record, with_trouble: bool) -> int:
    runners = [StandInRunner("desk-1", "yard-desk"), StandInRunner("desk-2", "yard-desk")]
    async with deployment(
        record, runners, desired_state(), memory_mb=150, make_store=PagedStore
    ) as found:
        orders = Orders(found.machines, runners, record)
        asking = [
            asyncio.ensure_future(ask(found, machine)) for machine in found.machines
        ]
        async with orders.coming():
            await asyncio.sleep(1.0)
            size = len(json.dumps(entry(0, with_trouble), separators=(",", ":")))
            for number in range(ENTRIES):
                name = f"i-other-{number}"
                await found.store.put("servers", name, entry(number, with_trouble))
                record.line(f"another writer: servers/{name}, {size} bytes")
                await asyncio.sleep(GAP_S)
            await asyncio.sleep(STAY_S)
        orders.judge()
        result = judge_ends(found.machines, record)
        for number in range(ENTRIES):
            await found.store.remove("servers", f"i-other-{number}")
        record.line("another writer: its entries are removed")
        await asyncio.sleep(RECOVERY_S)
        for task in asking:
            task.cancel()
        await asyncio.gather(*asking, return_exceptions=True)
        for machine in found.machines:
            served = await order_is_served(machine, 0)
            record.line(f"{machine.name}: an order at the end is served: {served}")
        return result


async def ask(found: Deployment, machine: RelayMachine) -> None:
    """Sends an ordinary order each half second; records when service ends or returns."""
    was_served = True
    for number in range(1, 1_000):
        served = await order_is_served(machine, number)
        if served is not was_served:
            found.record.line(
                f"{machine.name}: orders are {'served again' if served else 'not served'}"
            )
        was_served = served
        await asyncio.sleep(0.5)


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
