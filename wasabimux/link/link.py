"""Multiplexing of streams over one channel between two processes, with heartbeats."""

from __future__ import annotations

import asyncio
import contextlib
import logging
from collections.abc import Callable, Sequence
from typing import NamedTuple

from wasabimux._clock import loop_time
from wasabimux.link.codec import CodecError, decode_frame, encode_frame
from wasabimux.link.messages import (
    PROTOCOL_VERSION,
    Cancel,
    FrameItem,
    Hello,
    Message,
    OpenStream,
    Ping,
)
from wasabimux.link.stream import LinkStream
from wasabimux.ports import Channel
from wasabimux.timeline import HybridClock

#: Time without a frame to the peer after which a heartbeat is sent.
HEARTBEAT_INTERVAL_S = 1.0

#: Time without a frame from the peer after which the link is closed. The slots of the
#: peer's streams are then released.
PEER_TIMEOUT_S = 3.0

#: Longest time in s for which a link that has ended waits until the peer closes it.
END_TIMEOUT_S = 1.0

#: Maximum number of items in one frame; keeps frames smaller than MAX_FRAME_BYTES.
MAX_ITEMS_PER_FRAME = 64

#: Messages of one link that are handled before others get their turn.
MAX_ITEMS_PER_TURN = 256

logger = logging.getLogger("wasabimux.link")


class LinkCallbacks(NamedTuple):
    """Callbacks of a link to its owner.

    Attributes:
        on_open: Called when the peer opens a stream.
        on_control: Called with each message of the peer that belongs to no stream,
            except Hello and Ping.
    """

    on_open: Callable[[Link, LinkStream, OpenStream], None] | None = None
    on_control: Callable[[Link, Message], None] | None = None


class LinkTraffic:
    """Counts the bytes sent on all links of a process.

    Attributes:
        request_bytes: Bytes of frames with at least one message of a stream.
        periodic_bytes: Bytes of frames without messages of streams, such as heartbeats
            and reports.
    """

    def __init__(self) -> None:
        self.request_bytes = 0
        self.periodic_bytes = 0


class Link:
    """Multiplexes streams over a channel; a context manager that closes the channel.

    Args:
        channel: Carries the frames.
        hello: First message to the peer; identifies this process.
        clock: Hybrid logical clock of the process.
        callbacks: Callbacks to the owner of the link.
        initiator: True on the side that connected.
        traffic: Byte counters of the process.

    Attributes:
        peer: The peer's first message, None until it arrives.
        ready: Set once the peer's first message has arrived or the link is closed.
        closed: Set once the link is closed, by this side or after a failure.
    """

    def __init__(
        self,
        channel: Channel,
        hello: Hello,
        clock: HybridClock,
        callbacks: LinkCallbacks,
        initiator: bool,
        traffic: LinkTraffic | None = None,
    ) -> None:
        self.peer: Hello | None = None
        self.closed = asyncio.Event()
        self.ready = asyncio.Event()
        self._channel = channel
        self._clock = clock
        self._callbacks = callbacks
        self._initiator = initiator
        self._next_stream_id = 1 if initiator else 2
        self._streams_by_id: dict[int, LinkStream] = {}
        self._outgoing: list[FrameItem] = [FrameItem(0, hello)]
        self._has_outgoing = asyncio.Event()
        self._has_outgoing.set()
        self._last_received_s = 0.0
        self._last_sent_s = 0.0
        self._is_sending = False
        self._has_ended = False
        self._traffic = traffic or LinkTraffic()
        self._tasks: list[asyncio.Task[None]] = []

    def __enter__(self) -> Link:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.close()

    def start(self) -> None:
        """Starts the tasks that send, receive and check the heartbeats."""
        loop = asyncio.get_running_loop()
        self._last_received_s = loop.time()
        self._tasks = [
            loop.create_task(self._send_frames()),
            loop.create_task(self._receive_frames()),
            loop.create_task(self._run_heartbeat()),
        ]

    def open(self, message: OpenStream) -> LinkStream:
        """Opens a stream to the peer; the stream has failed if the link is closed."""
        stream = LinkStream(self, self._next_stream_id, is_initiator=True)
        self._next_stream_id += 2
        if self.closed.is_set():
            stream.on_link_lost()
            return stream
        self._streams_by_id[stream.id] = stream
        self.send(stream.id, message)
        return stream

    def send(self, stream_id: int, message: Message) -> None:
        """Queues a message; messages of one event loop iteration share a frame."""
        if self.closed.is_set() or self._has_ended:
            return
        self._outgoing.append(FrameItem(stream_id, message))
        self._has_outgoing.set()

    def is_queued(self, message: Message) -> bool:
        """Returns whether a message has not been sent to the channel yet."""
        return any(item.message is message for item in self._outgoing)

    def remove_stream(self, stream_id: int) -> None:
        """Removes a stream that is closed on this side."""
        self._streams_by_id.pop(stream_id, None)

    def close(self) -> None:
        """Closes the channel and fails all open streams."""
        if self.closed.is_set():
            return
        self.closed.set()
        self.ready.set()
        self._channel.close()
        current = _current_task()
        for task in self._tasks:
            if task is not current:
                task.cancel()
        for stream in list(self._streams_by_id.values()):
            stream.on_link_lost()
        self._streams_by_id.clear()

    async def flush(self) -> bool:
        """Waits until the peer has all queued messages, or the link is closed.

        Returns:
            False if nothing has arrived for PEER_TIMEOUT_S.
        """
        if not await self._send_queued():
            return False
        return await self._channel.flush(PEER_TIMEOUT_S)

    async def finish(self, timeout_s: float) -> bool:
        """Sends all queued messages, and closes the link once the peer has done so.

        The peer closes it once it has handled all. A connection that is closed earlier
        fails as the peer sends, and what the peer has not read is lost.

        Args:
            timeout_s: Longest time in s that it takes.

        Returns:
            False if the peer does not have all, and the link was not lost.
        """
        until_s = loop_time() + timeout_s
        self._has_ended = True
        has_arrived = False
        with self, contextlib.suppress(TimeoutError):
            async with asyncio.timeout_at(until_s):
                has_arrived = await self._send_end()
            if has_arrived:
                until_s = min(until_s, loop_time() + END_TIMEOUT_S)
                async with asyncio.timeout_at(until_s):
                    await self.closed.wait()
        return has_arrived

    async def _send_end(self) -> bool:
        """Sends all queued messages and the end; returns False if they stall."""
        if not await self._send_queued():
            return False
        return self.closed.is_set() or await self._channel.end(PEER_TIMEOUT_S)

    async def _send_queued(self) -> bool:
        """Waits until the channel has all messages; returns False if they stall."""
        while self._outgoing and not self.closed.is_set():
            await asyncio.sleep(0)
            if self._is_sending and not await self._channel.flush(PEER_TIMEOUT_S):
                return False
        return True

    async def _send_frames(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await self._has_outgoing.wait()
            items = self._outgoing[:MAX_ITEMS_PER_FRAME]
            try:
                frame = self._encode(items)
            except CodecError:
                self.close()
                return
            self._count_bytes(items, len(frame))
            self._is_sending = True
            try:
                await self._channel.send(frame)
            except OSError:
                self.close()
                return
            self._is_sending = False
            del self._outgoing[: len(items)]
            if not self._outgoing:
                self._has_outgoing.clear()
            self._last_sent_s = loop.time()

    def _encode(self, items: list[FrameItem]) -> bytes:
        """Encodes items as one frame, without messages that cannot be encoded.

        Raises:
            CodecError: One of them belongs to a stream, which cannot go on without it.
        """
        stamp = self._clock.tick()
        try:
            return encode_frame(stamp, items)
        except CodecError:
            return encode_frame(stamp, list(filter(_is_encodable, items)))

    async def _receive_frames(self) -> None:
        loop = asyncio.get_running_loop()
        items = 0
        while True:
            if items >= MAX_ITEMS_PER_TURN:
                items = 0
                await asyncio.sleep(0)
            body = await self._channel.receive()
            if body is None:
                break
            self._last_received_s = loop.time()
            try:
                frame = decode_frame(body)
            except CodecError as error:
                logger.warning('event=bad_frame error="%s"', error)
                break
            self._clock.merge(frame.clock)
            items += max(1, len(frame.items))
            if not all(self._dispatch(item) for item in frame.items):
                logger.warning("event=protocol_violation peer=%s", self.peer)
                break
        self.close()

    def _dispatch(self, item: FrameItem) -> bool:
        """Handles one message; returns False if it violates the protocol."""
        if item.stream_id:
            return self._dispatch_to_stream(item)
        message = item.message
        if isinstance(message, Hello):
            if message.protocol != PROTOCOL_VERSION:
                return False
            if not self._channel.peer_has_role(message.role):
                return False
            self.peer = message
            self.ready.set()
        elif not isinstance(message, Ping):
            self._handle_control(message)
        return True

    def _handle_control(self, message: Message) -> None:
        """Passes a message to the owner; an error in its handling ends nothing else."""
        if self._callbacks.on_control is None:
            return
        try:
            self._callbacks.on_control(self, message)
        except Exception:
            name = type(message).__name__
            logger.exception("event=message_failed message=%s", name)

    def _dispatch_to_stream(self, item: FrameItem) -> bool:
        stream = self._streams_by_id.get(item.stream_id)
        if isinstance(item.message, OpenStream):
            if stream is not None or self._callbacks.on_open is None or not self.peer:
                return False
            if item.stream_id % 2 == self._next_stream_id % 2:
                return False  # only this side may open streams with such an id
            stream = LinkStream(self, item.stream_id, is_initiator=False)
            self._streams_by_id[item.stream_id] = stream
            self._callbacks.on_open(self, stream, item.message)
            return True
        if stream is None:
            return True  # late message of a stream that this side has closed
        if isinstance(item.message, Cancel):
            self.remove_stream(item.stream_id)
        return stream.on_message(item.message)

    async def _run_heartbeat(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(HEARTBEAT_INTERVAL_S / 2)
            now = loop.time()
            if now - self._last_received_s > PEER_TIMEOUT_S:
                logger.info("event=link_silent peer=%s", self.peer)
                self.close()
                return
            if now - self._last_sent_s >= HEARTBEAT_INTERVAL_S:
                self.send(0, Ping())

    def _count_bytes(self, items: list[FrameItem], size: int) -> None:
        if any(item.stream_id for item in items):
            self._traffic.request_bytes += size
        else:
            self._traffic.periodic_bytes += size


async def finish_links(links: Sequence[Link], timeout_s: float) -> bool:
    """Closes links once their peers have all queued messages.

    Args:
        links: The links.
        timeout_s: Longest time in s that it takes.

    Returns:
        False if a peer does not have all, and its link was not lost.
    """
    arrived = await asyncio.gather(*(link.finish(timeout_s) for link in links))
    return all(arrived)


def _is_encodable(item: FrameItem) -> bool:
    """Returns whether a message of no stream can be encoded; logs one that cannot."""
    if item.stream_id:
        return True
    try:
        encode_frame(0, [item])
    except CodecError as error:
        name = type(item.message).__name__
        logger.error("event=message_not_encoded message=%s error=%r", name, error)
        return False
    return True


def _current_task() -> asyncio.Task[None] | None:
    try:
        return asyncio.current_task()
    except RuntimeError:
        return None
