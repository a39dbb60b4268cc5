"""Connections to upstreams and what their answers tell."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass

from wasabimux._clock import loop_time
from wasabimux.adapters.http_client import ClientConnection, ClientResponse
from wasabimux.decisions.memory_forecast import (
    HORIZONS_S,
    MemoryForecast,
    StreamState,
    forecast,
    sum_forecasts,
)
from wasabimux.decisions.upstream_health import UpstreamHealth
from wasabimux.ids import UpstreamId
from wasabimux.ports import Headers, UpstreamLost
from wasabimux.relay.model import Phase, UpstreamRecord
from wasabimux.relay.ports import EngineCall
from wasabimux.settings.address import parse_address

#: Another upstream has the address, or this one does something else.
STATUS_MISDIRECTED = 421

#: Longest wait for a connection. A call that waits longer is better off elsewhere.
CONNECT_TIMEOUT_S = 0.25

#: Idle connections kept to one upstream.
MAX_IDLE = 8

#: Age at which an idle connection is no longer used for a request; upstreams close
#: idle connections without notice.
MAX_IDLE_S = 4.0

#: Longest wait for the answer of a call that is not a request.
CALL_TIMEOUT_S = 1.0


@dataclass(slots=True, eq=False)
class RunningStream:
    """A stream of this relay that has a slot.

    Attributes:
        state: Its length so far and expected.
        tokens_per_s: Tokens that it makes in a second.
    """

    state: StreamState
    tokens_per_s: float

    def on_made(self, tokens: int) -> None:
        """Notes the tokens that it has made so far."""
        self.state = self.state._replace(generated_tokens=tokens)

    def forecast(self) -> MemoryForecast:
        """Returns the memory that it takes now and later."""
        return forecast(self.state, self.tokens_per_s)


class Upstream:
    """One upstream as this relay sees it.

    Args:
        record: What it says of itself.
        now: Present time in s.
    """

    def __init__(self, record: UpstreamRecord, now: float) -> None:
        self.record = record
        self.health = UpstreamHealth()
        self.running = 0
        self.prefill_tokens = 0
        self.streams: set[RunningStream] = set()
        self.leaving = False
        self.cold_until_s = now + record.cold_s
        self.full_until_s = 0.0
        self.changing_until_s = 0.0
        self._cold_sends: deque[float] = deque()
        self._idle: deque[tuple[float, ClientConnection]] = deque()
        self._host, self._port = parse_address(record.address)

    @property
    def id(self) -> UpstreamId:
        """Identity of this life of the upstream."""
        return self.record.id

    def memory(self) -> MemoryForecast:
        """Returns the memory that this relay's requests take now and later."""
        if self.prefill_tokens:
            return (float(self.prefill_tokens),) * len(HORIZONS_S)
        return sum_forecasts([stream.forecast() for stream in self.streams])

    @property
    def phase(self) -> Phase | None:
        """What the engine does, None for a plain service."""
        return self.record.phase

    def update(self, record: UpstreamRecord, now: float) -> None:
        """Takes a newer entry."""
        if record.cold_s > 0 and record.cold_s != self.record.cold_s:
            self.cold_until_s = now + record.cold_s
        if record.phase is not self.record.phase:
            self.changing_until_s = 0.0
        if record.address != self.record.address:
            self.close()
            self._host, self._port = parse_address(record.address)
        self.record = record

    def on_not_taken(self, status: int, now: float) -> None:
        """Notes that it did not run a request that it should have taken."""
        if status == STATUS_MISDIRECTED:
            self.leaving = True
        else:
            # It granted a reservation and yet runs nothing, as while its phase changes.
            self.health.back_off(now)

    def may_send_cold(self, per_s: float, now: float) -> bool:
        """Notes a send to an upstream that may be cold; False if it is too many.

        Args:
            per_s: Requests that this relay may send in one second.
            now: Present time in s.
        """
        while self._cold_sends and self._cold_sends[0] <= now - 1.0:
            self._cold_sends.popleft()
        if now < self.cold_until_s and len(self._cold_sends) + 1 > max(1.0, per_s):
            return False
        self._cold_sends.append(now)
        return True

    async def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
    ) -> ClientResponse:
        """Sends a request and returns its answer once the head is there.

        Args:
            method: HTTP method.
            target: HTTP target.
            headers: Headers without framing.
            body: Whole body.

        Raises:
            UpstreamLost: No answer; `sent` tells whether it may have run.
        """
        connection = await self._take_idle()
        if connection is None:
            connection = await ClientConnection.connect(
                self._host, self._port, CONNECT_TIMEOUT_S
            )
        framed = [*headers]
        if body or method not in ("GET", "HEAD", "DELETE"):
            framed.append((b"content-length", str(len(body)).encode()))
        try:
            head = await connection.exchange_heads(method, target, framed, body)
        except BaseException:
            connection.close()
            raise
        return ClientResponse(self, connection, head)

    async def call(self, call: EngineCall) -> tuple[int, bytes]:
        """Makes a call that is not a request of a caller.

        Returns:
            Status and body of the answer.

        Raises:
            UpstreamLost: No answer in time.
        """
        headers = [(b"host", self.record.address.encode()), *call.headers]
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                answer = await self.send(call.method, call.target, headers, call.body)
                async with answer:
                    return answer.status, await answer.body()
        except TimeoutError as error:
            raise UpstreamLost("no answer in time", sent=True) from error

    def release(self, connection: ClientConnection, complete: bool) -> None:
        """Keeps a connection whose answer is complete."""
        if complete and connection.start_next_cycle() and len(self._idle) < MAX_IDLE:
            connection.watch_while_idle()
            self._idle.append((loop_time(), connection))
        else:
            connection.close()

    def close(self) -> None:
        """Closes the idle connections."""
        while self._idle:
            self._idle.pop()[1].close()

    async def _take_idle(self) -> ClientConnection | None:
        now = loop_time()
        while self._idle:
            since, connection = self._idle.pop()
            if now - since <= MAX_IDLE_S and await connection.take_from_idle():
                return connection
            connection.close()
        return None


class UpstreamPool:
    """All upstreams by identity; a context manager that closes connections."""

    def __init__(self) -> None:
        self.by_id: dict[UpstreamId, Upstream] = {}

    def __enter__(self) -> UpstreamPool:
        return self

    def __exit__(self, *exc_info: object) -> None:
        for upstream in self.by_id.values():
            upstream.close()

    def apply(self, records: Iterable[UpstreamRecord], now: float) -> None:
        """Takes the upstreams that exist now."""
        found = {record.id: record for record in records}
        for gone in set(self.by_id) - set(found):
            self.by_id.pop(gone).close()
        for upstream_id, record in found.items():
            upstream = self.by_id.get(upstream_id)
            if upstream is None or upstream.record.born_ms != record.born_ms:
                self.by_id[upstream_id] = Upstream(record, now)
            else:
                upstream.update(record, now)

    def of_service(self, service: str) -> list[Upstream]:
        """Returns the upstreams of a service."""
        return [
            upstream
            for upstream in self.by_id.values()
            if upstream.record.service == service
        ]
