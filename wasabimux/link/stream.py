"""One request's two-way stream on a link."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import AsyncIterator
from typing import TYPE_CHECKING, TypeVar, Union

from wasabimux.errors import ErrorCode, Ran, RefusedError, refused
from wasabimux.link.messages import (
    Cancel,
    Credit,
    Data,
    End,
    Head,
    KvSource,
    Message,
)

if TYPE_CHECKING:
    from wasabimux.link.link import Link

#: Bytes that a sender may have in flight on one stream.
WINDOW_BYTES = 256 * 1024

#: Largest payload of one data item.
MAX_PAYLOAD_BYTES = 64 * 1024

Received = Union[Head, Data, End, KvSource]
First = TypeVar("First", Head, KvSource)


class LinkLost(Exception):
    """The link was lost while the stream was open."""


class StreamCancelled(Exception):
    """The peer cancelled the stream."""


class LinkStream:
    """One stream; closing it cancels it at the peer unless both sides ended.

    Args:
        link: The link that carries the stream.
        stream_id: Number of the stream on the link.
        initiated: True on the side that opened the stream.
    """

    def __init__(self, link: Link, stream_id: int, initiated: bool) -> None:
        self.id = stream_id
        self._initiated = initiated
        self._link = link
        self._received: deque[Received] = deque()
        self._wake = asyncio.Event()
        self._send_window = WINDOW_BYTES
        self._window_open = asyncio.Event()
        self._next_sent = 0
        self._next_received = 0
        self._unreturned_bytes = 0
        self._failure: Exception | None = None
        self._sent_end = False
        self._received_end = False
        self._closed = asyncio.Event()

    def __enter__(self) -> LinkStream:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    async def receive(self) -> Received:
        """Returns the next item from the peer.

        Raises:
            LinkLost: The link was lost.
            StreamCancelled: The peer cancelled the stream.
        """
        while not self._received:
            if self._failure is not None:
                raise self._failure
            self._wake.clear()
            await self._wake.wait()
        item = self._received.popleft()
        if isinstance(item, Data):
            self._return_credit(len(item.payload))
        return item

    async def receive_head(self) -> Head:
        """Returns the head of the answer.

        Raises:
            RefusedError: The peer refused.
            LinkLost: The link was lost.
            StreamCancelled: The peer cancelled the stream.
        """
        return await self._receive_first(Head)

    async def receive_kv_source(self) -> KvSource:
        """Returns where a KV cache lies. Raises as `receive_head` does."""
        return await self._receive_first(KvSource)

    async def payloads(self) -> AsyncIterator[bytes | End]:
        """Yields the payloads of the body, and last the successful end.

        Raises:
            RefusedError: The stream ended with a failure.
            LinkLost: The link was lost before the end.
            StreamCancelled: The peer cancelled the stream.
        """
        while True:
            item = await self.receive()
            if isinstance(item, Data):
                yield item.payload
            elif isinstance(item, End):
                if item.refusal is not None:
                    raise RefusedError(item.refusal)
                yield item
                return

    def send_head(self, head: Head) -> None:
        """Sends the head of the answer."""
        self._send(head)

    def send_kv_source(self, source: KvSource) -> None:
        """Sends where a KV cache lies."""
        self._send(source)

    async def send_data(self, payload: bytes) -> None:
        """Sends a payload in pieces; waits while the peer's window is full.

        Raises:
            LinkLost: The link was lost.
            StreamCancelled: The peer cancelled the stream.
        """
        for start in range(0, len(payload), MAX_PAYLOAD_BYTES):
            piece = payload[start : start + MAX_PAYLOAD_BYTES]
            await self._wait_for_window()
            self._send_window -= len(piece)
            self._send(Data(self._next_sent, piece))
            self._next_sent += 1

    def send_end(self, end: End) -> None:
        """Ends this direction of the stream; does nothing on a failed one."""
        if self._sent_end or self._failure is not None:
            return
        self._sent_end = True
        self._send(end)

    async def wait_closed(self) -> None:
        """Waits until the peer cancels the stream or the link is lost."""
        await self._closed.wait()

    def close(self) -> None:
        """Drops the stream, and cancels it at the peer unless it has ended.

        The side that opened the stream cancels it unless both directions have
        ended, the other side unless it has ended its own.
        """
        finished = self._sent_end and (self._received_end or not self._initiated)
        if self._failure is None and not finished:
            self._link.send(self.id, Cancel())
        self._link.forget(self.id)
        self._fail(StreamCancelled())

    def on_message(self, message: Message) -> bool:
        """Takes a message that the link received for this stream.

        Returns:
            False if the message breaks the protocol.
        """
        if isinstance(message, Credit):
            self._send_window += message.size
            self._window_open.set()
            return True
        if isinstance(message, Cancel):
            self._fail(StreamCancelled())
            return True
        if self._received_end or not isinstance(message, (Head, Data, End, KvSource)):
            return False
        if isinstance(message, Data):
            if message.sequence != self._next_received:
                return False
            self._next_received += 1
        if isinstance(message, End):
            self._received_end = True
        self._received.append(message)
        self._wake.set()
        return True

    def on_link_lost(self) -> None:
        """Notes that the link is gone."""
        self._fail(LinkLost())

    async def _receive_first(self, kind: type[First]) -> First:
        item = await self.receive()
        if isinstance(item, kind):
            return item
        if isinstance(item, End) and item.refusal is not None:
            raise RefusedError(item.refusal)
        raise refused(ErrorCode.INTERNAL, "unexpected message", Ran.UNKNOWN)

    def _send(self, message: Message) -> None:
        if self._failure is not None:
            raise self._failure
        self._link.send(self.id, message)

    async def _wait_for_window(self) -> None:
        while self._send_window <= 0:
            if self._failure is not None:
                raise self._failure
            self._window_open.clear()
            await self._window_open.wait()

    def _return_credit(self, size: int) -> None:
        """Returns credit in large pieces, so that credits stay rare."""
        self._unreturned_bytes += size
        if self._unreturned_bytes >= WINDOW_BYTES // 4 and self._failure is None:
            self._link.send(self.id, Credit(self._unreturned_bytes))
            self._unreturned_bytes = 0

    def _fail(self, failure: Exception) -> None:
        if self._failure is None:
            self._failure = failure
        self._wake.set()
        self._window_open.set()
        self._closed.set()
