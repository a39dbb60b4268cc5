"""Reserves a decode slot, with a hedged request to a second agent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from dataclasses import dataclass

from wasabimux.entry.pool import PooledAgent
from wasabimux.errors import RefusedError
from wasabimux.link.messages import STATUS_FIRST_IN_QUEUE, OpenStream, ResponseHead
from wasabimux.link.stream import LinkLost, LinkStream, StreamCancelled

#: Wait for the reply of the first agent before a second one is asked too. Agents
#: with a free slot reply sooner.
HEDGE_DELAY_S = 0.02

#: Agents with a pending request at a time. Another agent is asked only after one
#: has failed.
MAX_PENDING_AGENTS = 2

FAILURES = (RefusedError, LinkLost, StreamCancelled)


@dataclass(slots=True)
class Reservation:
    """A reserved decode slot, released when its stack is closed.

    Attributes:
        agent: Agent that grants the slot.
        stream: Stream to the agent; the slot is reserved while it is open.
        stack: Closes the stream.
    """

    agent: PooledAgent
    stream: LinkStream
    stack: ExitStack


async def reserve_slot(
    agents: Sequence[PooledAgent],
    message: OpenStream,
    on_request: Callable[[PooledAgent], None],
    on_failure: Callable[[PooledAgent], None],
    on_next_in_line: Callable[[], None],
) -> Reservation:
    """Asks agents in order of preference and returns the first granted slot.

    Args:
        agents: Agents in order of preference, at least one.
        message: Request for a slot.
        on_request: Called with each agent before the request is sent to it.
        on_failure: Called with each agent that refuses, cancels or is lost.
        on_next_in_line: Called when an agent reports that the request gets its next
            free slot.

    Returns:
        The slot. Pending requests to other agents are cancelled.

    Raises:
        RefusedError: All agents failed, the last one refused.
        LinkLost: All agents failed, the link to the last one was lost.
        StreamCancelled: All agents failed, the last one cancelled the stream.
    """
    pending: dict[asyncio.Task[ResponseHead], Reservation] = {}
    remaining = list(agents)
    failure: Exception | None = None
    try:
        while pending or remaining:
            if remaining and len(pending) < MAX_PENDING_AGENTS:
                agent = remaining.pop(0)
                on_request(agent)
                try:
                    reservation = _open_reservation(agent, message)
                except LinkLost as error:
                    on_failure(agent)
                    failure = error
                    continue
                grant_task = asyncio.ensure_future(
                    _wait_for_grant(reservation.stream, on_next_in_line)
                )
                pending[grant_task] = reservation
            may_hedge = bool(remaining) and len(pending) < MAX_PENDING_AGENTS
            done, _ = await asyncio.wait(
                pending,
                timeout=HEDGE_DELAY_S if may_hedge else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for grant_task in done:
                finished = pending.pop(grant_task)
                try:
                    grant_task.result()
                    return finished
                except FAILURES as error:
                    finished.stack.close()
                    on_failure(finished.agent)
                    failure = error
    finally:
        for grant_task, reservation in pending.items():
            grant_task.cancel()
            reservation.stack.close()
    assert failure is not None
    raise failure


def _open_reservation(agent: PooledAgent, message: OpenStream) -> Reservation:
    with ExitStack() as stack:
        stream = stack.enter_context(agent.open(message))
        return Reservation(agent, stream, stack.pop_all())


async def _wait_for_grant(
    stream: LinkStream, on_next_in_line: Callable[[], None]
) -> ResponseHead:
    """Waits until the agent grants the slot."""
    head = await stream.receive_head()
    while head.status == STATUS_FIRST_IN_QUEUE:
        on_next_in_line()
        head = await stream.receive_head()
    return head
