"""Two relays of a zone lose the store as an evacuation begins; others never hear of it.

Zone `a` has four relays and zone `b` two. The two relays of zone `a` that pass news of
the store on to the other two are cut off from the store. Then zone `a` is evacuated,
and right after it zone `c` is taken back.
"""

from __future__ import annotations

import asyncio
from contextlib import AsyncExitStack
from pathlib import Path

from review.harness import Deployment, Load, desired_state, run_case
from wasabimux.decisions.aggregation import AGGREGATORS_PER_DOMAIN, rank_aggregators

EVACUATION_S = 5.0

#: Time in s for which zone `a` stays evacuated.
EVACUATED_S = 9.0

#: Time in s from the cut until the change, and between the two writes of the operator.
CUT_BEFORE_S = 0.2
BETWEEN_WRITES_S = 0.05

#: Time in s that a runner takes for a request.
WORK_S = 0.06

#: Time in s between two requests to one relay.
REQUEST_INTERVAL_S = 0.025


async def case(deployment: Deployment, trouble: bool) -> bool:
    """Returns whether the rule held."""
    record, store = deployment.record, deployment.store
    await store.put("config", "main", desired_state())
    for zone in "abc":
        for index in (1, 2):
            name = f"desk-{zone}{index}"
            runner = await deployment.add_runner(name, "desk", zone)
            runner.faults.delay_s = WORK_S
    in_a = [await deployment.add_relay(f"front-a-{i}", "a") for i in range(1, 5)]
    for index in (1, 2):
        await deployment.add_relay(f"front-b-{index}", "b")
    await deployment.start()

    ranked = rank_aggregators("a", [relay.peers for relay in in_a])
    cut_off = [r for r in in_a if r.peers in ranked[:AGGREGATORS_PER_DOMAIN]]
    in_touch = [relay for relay in in_a if relay not in cut_off]
    record.write(f"in touch all the time: {[relay.name for relay in in_touch]}")
    await store.put("evacuations", "c", {})
    record.write("store acknowledged the evacuation of c")
    await asyncio.sleep(6.0)

    async with AsyncExitStack() as stack:
        loads = [
            await stack.enter_async_context(Load(deployment, relay, REQUEST_INTERVAL_S))
            for relay in in_touch
        ]
        await asyncio.sleep(2.0)
        if trouble:
            for relay in cut_off:
                record.write(f"cut {relay.name} from the store")
                relay.proxy.cut = True
        await asyncio.sleep(CUT_BEFORE_S)
        await store.put("evacuations", "a", {})
        acked_s = record.now()
        record.write("store acknowledged the evacuation of a")
        await asyncio.sleep(BETWEEN_WRITES_S)
        await store.remove("evacuations", "c")
        record.write("store removed the evacuation of c")
        await asyncio.sleep(EVACUATED_S)

    late = 0
    for runner in deployment.runners.values():
        for arrived_s, request_id in runner.arrivals:
            is_late = (
                runner.failure_domain == "a" and arrived_s > acked_s + EVACUATION_S
            )
            for load in loads if is_late else []:
                if request_id in load.answers:
                    late += 1
                    record.write(
                        f"LATE request={request_id} by={load.relay.name}"
                        f" runner={runner.id}"
                        f" {arrived_s - acked_s:.3f} s after the ack",
                        arrived_s,
                    )
    record.write(f"requests={sum(len(load.answers) for load in loads)} late={late}")
    return late == 0


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
