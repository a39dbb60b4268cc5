"""Reserves a decode slot, asking a second agent when the first one is slow."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from contextlib import ExitStack
from dataclasses import dataclass

from wasabimux.entry.pool import PooledAgent
from wasabimux.errors import RefusedError
from wasabimux.link.messages import STATUS_FIRST_IN_QUEUE, OpenStream, ResponseHead
from wasabimux.link.stream import LinkLost, LinkStream, StreamCancelled

#: Wait for the first agent before the second one is asked too. Agents with a free
#: slot answer sooner.
SECOND_ASK_S = 0.02

#: Agents that are asked at a time. A further one is asked when one has refused.
MAX_ASKED = 2

FAILURES = (RefusedError, LinkLost, StreamCancelled)


@dataclass(slots=True)
class Reservation:
    """A decode slot, held until its stack is closed.

    Attributes:
        agent: Agent that granted it.
        stream: Stream that holds it.
        stack: Closes the stream.
    """

    agent: PooledAgent
    stream: LinkStream
    stack: ExitStack


async def reserve_slot(
    agents: Sequence[PooledAgent],
    message: OpenStream,
    on_ask: Callable[[PooledAgent], None],
    on_failure: Callable[[PooledAgent], None],
    on_next: Callable[[], None],
) -> Reservation:
    """Asks agents in turn, and takes the first slot that is granted.

    Args:
        agents: Agents in order of preference, at least one.
        message: Asks for a slot.
        on_ask: Called with each agent that is asked.
        on_failure: Called with each agent that refuses or is lost.
        on_next: Called when an agent expects to grant its next free slot.

    Returns:
        The slot. What other agents grant is given back.

    Raises:
        RefusedError: All agents that were asked refused.
        LinkLost: The last one was lost.
        StreamCancelled: The last one gave up.
    """
    asked: dict[asyncio.Task[ResponseHead], Reservation] = {}
    waiting = list(agents)
    failure: Exception | None = None
    try:
        while asked or waiting:
            if waiting and len(asked) < MAX_ASKED:
                agent = waiting.pop(0)
                on_ask(agent)
                try:
                    reservation = _ask(agent, message)
                except LinkLost as error:
                    on_failure(agent)
                    failure = error
                    continue
                head = asyncio.ensure_future(_grant(reservation.stream, on_next))
                asked[head] = reservation
            may_ask_more = bool(waiting) and len(asked) < MAX_ASKED
            done, _ = await asyncio.wait(
                asked,
                timeout=SECOND_ASK_S if may_ask_more else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            for head in done:
                granted = asked.pop(head)
                try:
                    head.result()
                    return granted
                except FAILURES as error:
                    granted.stack.close()
                    on_failure(granted.agent)
                    failure = error
    finally:
        for head, reservation in asked.items():
            head.cancel()
            reservation.stack.close()
    assert failure is not None
    raise failure


def _ask(agent: PooledAgent, message: OpenStream) -> Reservation:
    with ExitStack() as stack:
        stream = stack.enter_context(agent.open(message))
        return Reservation(agent, stream, stack.pop_all())


async def _grant(stream: LinkStream, on_next: Callable[[], None]) -> ResponseHead:
    """Waits for the grant of a slot."""
    head = await stream.receive_head()
    while head.status == STATUS_FIRST_IN_QUEUE:
        on_next()
        head = await stream.receive_head()
    return head
