"""A slot at another engine, for a stream whose own engine is silent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Coroutine
from typing import Any, NamedTuple

from wasabimux.errors import RefusedError
from wasabimux.relay.context import RelayRequest
from wasabimux.relay.records import RequestEventRecorder
from wasabimux.relay.slots import DecodeSlot


class ReadySlot(NamedTuple):
    """A slot at which a stream can start at once.

    Attributes:
        slot: The slot.
        kv_source: Location of the prompt's KV cache, None if the engine of the slot
            prefills the prompt itself.
    """

    slot: DecodeSlot
    kv_source: str | None


class StandbySlot:
    """Gets a slot elsewhere while a silent engine may still go on.

    A context manager that frees what nobody has taken.

    Args:
        request: Request of the stream.
        prepare: Gets a slot at another engine, with the prompt prefilled; raises
            RefusedError if there is none.
        release: Frees a slot.
        recorder: Records that there is none.
    """

    def __init__(
        self,
        request: RelayRequest,
        prepare: Callable[[], Coroutine[Any, Any, ReadySlot]],
        release: Callable[[DecodeSlot], None],
        recorder: RequestEventRecorder,
    ) -> None:
        self._request = request
        self._prepare = prepare
        self._release = release
        self._recorder = recorder
        self._preparing: asyncio.Task[ReadySlot] | None = None

    def __enter__(self) -> StandbySlot:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.drop()

    async def is_ready_before(self, step: asyncio.Task[Any]) -> bool:
        """Waits until the silent engine goes on, or a slot elsewhere is ready.

        Args:
            step: What the silent engine is waited for.

        Returns:
            True if the slot is ready first; False if the step is done, or no slot is
            to be had.
        """
        if self._preparing is None:
            self._preparing = asyncio.ensure_future(self._prepare_or_record())
        await asyncio.wait({step, self._preparing}, return_when=asyncio.FIRST_COMPLETED)
        return not step.done() and _has_succeeded(self._preparing)

    async def take(self) -> ReadySlot | None:
        """Returns the slot, which its taker frees, once it is ready.

        Returns:
            The slot; None if none was asked for, or none is to be had.
        """
        preparing = self._preparing
        if preparing is None:
            return None
        await asyncio.wait({preparing})
        self._preparing = None
        return preparing.result() if _has_succeeded(preparing) else None

    def drop(self) -> None:
        """Frees the slot, or ends the wait for it."""
        preparing, self._preparing = self._preparing, None
        if preparing is not None:
            preparing.cancel()
            preparing.add_done_callback(self._free)

    async def _prepare_or_record(self) -> ReadySlot:
        try:
            return await self._prepare()
        except RefusedError as error:
            request, reason = self._request, error.refusal.message
            self._recorder.record(request, "standby_refused", reason=reason)
            raise

    def _free(self, preparing: asyncio.Task[ReadySlot]) -> None:
        if _has_succeeded(preparing):
            self._release(preparing.result().slot)


def _has_succeeded(task: asyncio.Task[ReadySlot]) -> bool:
    """Returns whether a task that is done has a result."""
    return not task.cancelled() and task.exception() is None
