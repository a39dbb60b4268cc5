"""Cancels runs at the engine and retries until the engine confirms."""

from __future__ import annotations

import asyncio
import logging

from wasabimux.ports import Engine, EngineRefused, UpstreamLost

CANCEL_TIMEOUT_S = 1.0
FIRST_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 1.0

logger = logging.getLogger("wasabimux.agent")


class RunCanceller:
    """Frees the engine memory of requests that have ended early.

    Args:
        engine: The engine of the agent.

    Attributes:
        cancel_count: Number of cancel requests sent to the engine.
        cancel_retry_count: Number of cancel requests that failed.
    """

    def __init__(self, engine: Engine) -> None:
        self._engine = engine
        self.cancel_count = 0
        self.cancel_retry_count = 0
        self._tasks: set[asyncio.Task[None]] = set()

    def kill(self) -> None:
        """Stops retrying, as if the process had been killed."""
        for task in list(self._tasks):
            task.cancel()

    async def cancel(self, run: str) -> None:
        """Cancels a run and returns once the engine holds no memory for it.

        The retries continue even if the calling task is cancelled.
        """
        task = asyncio.ensure_future(self._cancel_until_confirmed(run))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        await asyncio.shield(task)

    async def _cancel_until_confirmed(self, run: str) -> None:
        delay_s = FIRST_RETRY_DELAY_S
        while True:
            self.cancel_count += 1
            try:
                async with asyncio.timeout(CANCEL_TIMEOUT_S):
                    await self._engine.cancel(run)
                return
            except (UpstreamLost, EngineRefused, OSError, TimeoutError) as error:
                logger.info('event=cancel_retry run=%s error="%s"', run, error)
            self.cancel_retry_count += 1
            await asyncio.sleep(delay_s)
            delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)

    async def cancel_all(self) -> None:
        """Cancels every run at the engine; called when an agent starts.

        All requests to an engine pass through its agent, so a run that exists before
        the agent accepts requests belongs to an earlier incarnation of the agent.
        """
        for run in await self._list_runs():
            await self.cancel(run)

    async def _list_runs(self) -> list[str]:
        while True:
            try:
                async with asyncio.timeout(CANCEL_TIMEOUT_S):
                    return await self._engine.runs()
            except (UpstreamLost, EngineRefused, OSError, TimeoutError):
                await asyncio.sleep(MAX_RETRY_DELAY_S)
