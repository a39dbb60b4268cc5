"""Reads HTTP/1.1 events from a connection, fairly to others and at a bounded cost."""

from __future__ import annotations

import asyncio
from typing import Any

import h11

from wasabimux.adapters.turns import Turn

READ_BYTES = 64 * 1024

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
    """

    def __init__(
        self, http: h11.Connection, reader: asyncio.StreamReader, turn: Turn
    ) -> None:
        self._http = http
        self._reader = reader
        self._turn = turn
        self._time = asyncio.get_running_loop().time
        self._next: Any = h11.NEED_DATA  # event or error found behind joined pieces

    async def next_event(self) -> Any:
        """Returns the next event; one with data has joined small pieces at hand.

        Raises:
            OSError: The connection was lost.
            h11.RemoteProtocolError: The peer has broken the protocol.
        """
        while True:
            if self._turn.is_over:
                await self._turn.hand_over()
            event = self.event_at_hand()
            if event is not h11.NEED_DATA:
                return event
            self._http.receive_data(await self._reader.read(READ_BYTES))

    def event_at_hand(self) -> Any:
        """Returns the next event, NEED_DATA if it has not arrived.

        Raises:
            h11.RemoteProtocolError: The peer has broken the protocol.
        """
        started_s = self._time()
        event, self._next = self._next, h11.NEED_DATA
        if isinstance(event, h11.RemoteProtocolError):
            raise event
        if event is h11.NEED_DATA:
            event = self._http.next_event()
        if event is h11.NEED_DATA:
            return event
        pieces = [event.data] if isinstance(event, h11.Data) else []
        if pieces and len(event.data) < LARGE_PIECE_BYTES:
            self._take_pieces(pieces)
        if len(pieces) > 1:
            event = h11.Data(data=b"".join(pieces))
        size = len(event.data) if pieces else 0
        self._turn.add(max(1, len(pieces)), size, self._time() - started_s)
        return event

    def _take_pieces(self, pieces: list[bytes]) -> None:
        """Takes further pieces that are at hand, as many as the turn allows."""
        room = self._turn.pieces_left
        while len(pieces) < room:
            try:
                event = self._http.next_event()
            except h11.RemoteProtocolError as error:
                self._next = error
                return
            if not isinstance(event, h11.Data):
                self._next = event
                return
            pieces.append(event.data)
