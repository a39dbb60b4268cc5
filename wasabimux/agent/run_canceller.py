"""Cancels runs at the engine until the engine has confirmed it."""

from __future__ import annotations

import asyncio
import logging

from wasabimux.ports import Engine, EngineRefused, UpstreamLost

CANCEL_TIMEOUT_S = 1.0
FIRST_RETRY_S = 0.05
MAX_RETRY_S = 1.0

logger = logging.getLogger("wasabimux.agent")


class RunCanceller:
    """Frees engine memory of requests that are gone.

    Args:
        engine: The engine beside the agent.
    """

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self.cancels = 0
        self.cancel_retry_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def kill(self) -> None:
        """Gives up, as the death of the process would."""
        for task in list(self._tasks):
            task.cancel()

    async def cancel(self, run: str) -> None:
        """Returns once the engine holds no memory for a run.

        The cancel goes on although the caller of this method is cancelled.
        """
        task = asyncio.ensure_future(self._cancel(run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.shield(task)

    async def _cancel(self, run: str) -> None:
        wait_s = FIRST_RETRY_S
        while True:
            self.cancels += 1
            try:
                async with asyncio.timeout(CANCEL_TIMEOUT_S):
                    await self._engine.cancel(run)
                return
            except (UpstreamLost, EngineRefused, OSError, TimeoutError) as error:
                logger.info('event=cancel_retry run=%s error="%s"', run, error)
            self.cancel_retry_count += 1
            await asyncio.sleep(wait_s)
            wait_s = min(MAX_RETRY_S, wait_s * 2)

    async def cancel_all(self) -> None:
        """Cancels every run at the engine; for the start of an agent.

        The agent is the only way to its engine, so whatever runs before the
        agent has taken any work belongs to an earlier life.
        """
        for run in await self._list_runs():
            await self.cancel(run)

    async def _list_runs(self) -> list[str]:
        while True:
            try:
                async with asyncio.timeout(CANCEL_TIMEOUT_S):
                    return await self._engine.runs()
            except (UpstreamLost, EngineRefused, OSError, TimeoutError):
                await asyncio.sleep(MAX_RETRY_S)
