"""Bidirectional stream of one request on a link."""

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
    EndStream,
    KvSource,
    Message,
    ResponseHead,
)

if TYPE_CHECKING:
    from wasabimux.link.link import Link

#: Flow-control window: bytes of payload in flight on one stream in one direction.
WINDOW_BYTES = 256 * 1024

#: Maximum payload of one Data message.
MAX_PAYLOAD_BYTES = 64 * 1024

ReceivedMessage = Union[ResponseHead, Data, EndStream, KvSource]
FirstMessage = TypeVar("FirstMessage", ResponseHead, KvSource)


class LinkLost(Exception):
    """The link was lost while the stream was open."""


class StreamCancelled(Exception):
    """The peer cancelled the stream."""


class LinkStream:
    """One stream; a context manager that closes it, see `close`.

    Args:
        link: The link that carries the stream.
        stream_id: Id of the stream on the link.
        is_initiator: True on the side that opened the stream.
    """

    def __init__(self, link: Link, stream_id: int, is_initiator: bool) -> None:
        self.id = stream_id
        self._is_initiator = is_initiator
        self._link = link
        self._received: deque[ReceivedMessage] = deque()
        self._receive_ready = asyncio.Event()
        self._send_window_bytes = WINDOW_BYTES
        self._window_changed = asyncio.Event()
        self._next_sent_sequence = 0
        self._next_received_sequence = 0
        self._uncredited_bytes = 0
        self._failure: Exception | None = None
        self._end_sent = False
        self._end_received = False
        self._closed = asyncio.Event()

    def __enter__(self) -> LinkStream:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    async def receive(self) -> ReceivedMessage:
        """Returns the next message from the peer.

        Raises:
            LinkLost: The link was lost.
            StreamCancelled: The peer cancelled the stream.
        """
        while not self._received:
            if self._failure is not None:
                raise self._failure
            self._receive_ready.clear()
            await self._receive_ready.wait()
        item = self._received.popleft()
        if isinstance(item, Data):
            self._return_credit(len(item.payload))
        return item

    async def receive_head(self) -> ResponseHead:
        """Returns the head of the response.

        Raises:
            RefusedError: The peer refused the request.
            LinkLost: The link was lost.
            StreamCancelled: The peer cancelled the stream.
        """
        return await self._receive_first(ResponseHead)

    async def receive_kv_source(self) -> KvSource:
        """Returns the location of a KV cache. Raises as `receive_head` does."""
        return await self._receive_first(KvSource)

    async def payloads(self) -> AsyncIterator[bytes | EndStream]:
        """Yields the payloads of the body, then the EndStream of a successful stream.

        Raises:
            RefusedError: The stream ended with a failure.
            LinkLost: The link was lost before the end.
            StreamCancelled: The peer cancelled the stream.
        """
        while True:
            item = await self.receive()
            if isinstance(item, Data):
                yield item.payload
            elif isinstance(item, EndStream):
                if item.refusal is not None:
                    raise RefusedError(item.refusal)
                yield item
                return

    def send_head(self, head: ResponseHead) -> None:
        """Sends the head of the response."""
        self._send(head)

    def send_kv_source(self, source: KvSource) -> None:
        """Sends the location of a KV cache."""
        self._send(source)

    async def send_data(self, payload: bytes) -> None:
        """Sends a payload in chunks; waits while the flow-control window is full.

        Raises:
            LinkLost: The link was lost.
            StreamCancelled: The peer cancelled the stream.
        """
        for start in range(0, len(payload), MAX_PAYLOAD_BYTES):
            chunk = payload[start : start + MAX_PAYLOAD_BYTES]
            await self._wait_for_window()
            self._send_window_bytes -= len(chunk)
            self._send(Data(self._next_sent_sequence, chunk))
            self._next_sent_sequence += 1

    def send_end(self, end: EndStream) -> None:
        """Ends this direction of the stream; does nothing if it has ended or failed."""
        if self._end_sent or self._failure is not None:
            return
        self._end_sent = True
        self._send(end)

    async def wait_closed(self) -> None:
        """Waits until the peer cancels the stream or the link is lost."""
        await self._closed.wait()

    def close(self) -> None:
        """Closes the stream, and cancels it at the peer unless it has ended.

        The side that opened the stream cancels it unless both directions have ended;
        the other side cancels it unless its own direction has ended.
        """
        finished = self._end_sent and (self._end_received or not self._is_initiator)
        if self._failure is None and not finished:
            self._link.send(self.id, Cancel())
        self._link.remove_stream(self.id)
        self._fail(StreamCancelled())

    def on_message(self, message: Message) -> bool:
        """Handles a message that the link has received for this stream.

        Returns:
            False if the message violates the protocol.
        """
        if isinstance(message, Credit):
            self._send_window_bytes += message.size
            self._window_changed.set()
            return True
        if isinstance(message, Cancel):
            self._fail(StreamCancelled())
            return True
        if self._end_received or not isinstance(
            message, (ResponseHead, Data, EndStream, KvSource)
        ):
            return False
        if isinstance(message, Data):
            if message.sequence != self._next_received_sequence:
                return False
            self._next_received_sequence += 1
        if isinstance(message, EndStream):
            self._end_received = True
        self._received.append(message)
        self._receive_ready.set()
        return True

    def on_link_lost(self) -> None:
        """Fails the stream with LinkLost."""
        self._fail(LinkLost())

    async def _receive_first(self, kind: type[FirstMessage]) -> FirstMessage:
        item = await self.receive()
        if isinstance(item, kind):
            return item
        if isinstance(item, EndStream) and item.refusal is not None:
            raise RefusedError(item.refusal)
        raise refused(
            ErrorCode.INTERNAL,
            "the peer sent an unexpected message on the stream",
            Ran.UNKNOWN,
        )

    def _send(self, message: Message) -> None:
        if self._failure is not None:
            raise self._failure
        self._link.send(self.id, message)

    async def _wait_for_window(self) -> None:
        while self._send_window_bytes <= 0:
            if self._failure is not None:
                raise self._failure
            self._window_changed.clear()
            await self._window_changed.wait()

    def _return_credit(self, size: int) -> None:
        """Returns credit to the sender in large steps, to send few Credit messages."""
        self._uncredited_bytes += size
        if self._uncredited_bytes >= WINDOW_BYTES // 4 and self._failure is None:
            self._link.send(self.id, Credit(self._uncredited_bytes))
            self._uncredited_bytes = 0

    def _fail(self, failure: Exception) -> None:
        if self._failure is None:
            self._failure = failure
        self._receive_ready.set()
        self._window_changed.set()
        self._closed.set()
