"""Reads HTTP/1.1 events from a connection, fairly to others and at a bounded cost."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import Any

import h11

from wasabimux.adapters.turns import Turn
from wasabimux.texts import shorten

READ_BYTES = 64 * 1024

#: Bytes that a transport reads at once unless told otherwise.
DEFAULT_TRANSPORT_READ_BYTES = 256 * 1024

#: Most fields of one head.
MAX_FIELDS = 512

#: Bytes that MAX_FIELDS fields have at least, and the end of a head.
MIN_CHECKED_BYTES = 4 * MAX_FIELDS
HEAD_END = b"\r\n\r\n"

#: Size in bytes from which a piece is not joined with others.
LARGE_PIECE_BYTES = 4096


class HttpReceiver:
    """Reads the events of one h11 connection.

    Pieces of a body that are at hand are joined, so that what follows handles a few
    large ones. Other connections get their turn in between.

    Args:
        http: The h11 connection.
        reader: Reader of the TCP connection.
        turn: Turn of the TCP connection.
        max_fields: Most fields of a head; each costs far more memory than its bytes.
    """

    def __init__(
        self,
        http: h11.Connection,
        reader: asyncio.StreamReader,
        turn: Turn,
        max_fields: int = MAX_FIELDS,
    ) -> None:
        self._max_fields = max_fields
        self._http = http
        self._reader = reader
        self._turn = turn
        self._time = asyncio.get_running_loop().time
        self._next: Any = None  # what was found behind joined pieces

    async def next_event(
        self,
        read_bytes: int = READ_BYTES,
        before_read: Callable[[], None] = lambda: None,
    ) -> Any:
        """Returns the next event; one with data has joined small pieces at hand.

        Args:
            read_bytes: Most bytes that are read at once.
            before_read: Called before it waits for further data.

        Raises:
            OSError: The connection was lost.
            h11.RemoteProtocolError: The peer has broken the protocol.
        """
        while True:
            if self._turn.is_over:
                await self._turn.hand_over()
            if self._next is not h11.NEED_DATA:
                event = self.event_at_hand()
                if event is not h11.NEED_DATA:
                    return event
            self._next = None
            before_read()
            self._http.receive_data(await self._reader.read(read_bytes))

    def event_at_hand(self) -> Any:
        """Returns the next event, NEED_DATA if it has not arrived.

        Raises:
            h11.RemoteProtocolError: The peer has broken the protocol.
        """
        event, self._next = self._next, None
        if isinstance(event, h11.RemoteProtocolError):
            raise event
        started_s = self._time()
        if event is None:
            self._check_fields()
            event = self._parse()
        if isinstance(event, h11.Data):
            return self._join_pieces(event, started_s)
        if event is not h11.NEED_DATA:
            self._turn.add(1, 0, self._time() - started_s)
        return event

    def _parse(self) -> Any:
        """Returns the next event of the parser.

        Raises:
            h11.RemoteProtocolError: The peer has broken the protocol. The parser's text
                may repeat all that it cannot read; here it is cut.
        """
        try:
            return self._http.next_event()
        except h11.RemoteProtocolError as error:
            text, status = shorten(str(error)), error.error_status_hint
        raise h11.RemoteProtocolError(text, error_status_hint=status)

    def _check_fields(self) -> None:
        """Checks the number of fields of a head before it is parsed.

        Raises:
            h11.RemoteProtocolError: There are too many.
        """
        if self._http.their_state is h11.SEND_BODY:
            return
        received = self._http.trailing_data[0]
        if len(received) < MIN_CHECKED_BYTES:
            return
        if received.partition(HEAD_END)[0].count(b"\n") > self._max_fields:
            text = "too many fields in the head"
            raise h11.RemoteProtocolError(text, error_status_hint=431)

    def _join_pieces(self, first: h11.Data, started_s: float) -> h11.Data:
        """Returns data joined with small pieces at hand, as many as the turn allows.

        Args:
            first: The first piece.
            started_s: Loop time in s at which its parsing began.
        """
        pieces = [first.data]
        if len(first.data) < LARGE_PIECE_BYTES:
            self._take_pieces(pieces)
        if len(pieces) > 1:
            first = h11.Data(data=b"".join(pieces))
        self._turn.add(len(pieces), len(first.data), self._time() - started_s)
        return first

    def _take_pieces(self, pieces: list[bytes]) -> None:
        """Takes further pieces that are at hand, as many as the turn allows."""
        while len(pieces) < self._turn.pieces_left:
            try:
                self._next = self._parse()
            except h11.RemoteProtocolError as error:
                self._next = error
            if not isinstance(self._next, h11.Data):
                return
            pieces.append(self._next.data)
        self._next = None


def limit_reads(transport: asyncio.BaseTransport, size: int) -> None:
    """Makes a transport read so many bytes at once at most, if it is one of TCP.

    A reader pauses its transport only after a read, so its buffer is bounded by this.
    """
    if hasattr(transport, "max_size"):
        transport.max_size = size
