"""Upstreams as seen by one relay: connections, load, health and calls."""

from __future__ import annotations

import asyncio
from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from enum import Enum
from typing import NamedTuple

from wasabimux._clock import loop_time
from wasabimux.adapters.http_client import (
    MAX_DOCUMENT_BYTES,
    ClientConnection,
    ClientResponse,
)
from wasabimux.decisions.answers import STATUS_MISDIRECTED, ResponseMetadata
from wasabimux.decisions.memory_forecast import (
    HORIZONS_S,
    MemoryForecast,
    StreamState,
    forecast,
    sum_forecasts,
)
from wasabimux.decisions.shared_pace import SharedPace
from wasabimux.decisions.told_load import TOLD_LOAD_VALID_S, ToldLoad
from wasabimux.decisions.upstream_health import UpstreamHealth
from wasabimux.decisions.upstream_pause import UpstreamPause
from wasabimux.ids import UpstreamId
from wasabimux.ports import Headers, UpstreamLost
from wasabimux.relay.model import Phase, UpstreamNotice, UpstreamRecord
from wasabimux.relay.ports import EngineCall
from wasabimux.settings.address import parse_address

#: Connect timeout. A call that waits longer is better sent to another upstream.
CONNECT_TIMEOUT_S = 0.25

#: Maximum number of idle connections per upstream.
MAX_IDLE_CONNECTIONS = 8

#: Idle time after which a connection is not reused; upstreams close idle connections
#: without notice.
MAX_IDLE_S = 4.0

#: Timeout of calls to the control API of an upstream.
CALL_TIMEOUT_S = 1.0

#: Time for which it is remembered what a removed upstream said of itself. Its entry may
#: only have expired, and be written again.
REMOVED_UPSTREAM_MEMORY_S = 60.0


#: Time in s for which an upstream gets no requests after it called one misdirected; it
#: doubles each time in a row up to the maximum. Another process may have its address,
#: or its entry may have been late.
FIRST_MISDIRECTED_S = 0.5
MAX_MISDIRECTED_S = 8.0


@dataclass(slots=True)
class Misdirection:
    """Answers of an upstream that a request was misdirected.

    Attributes:
        count: Number of them since a request was accepted.
        until_s: Time in s until which the upstream gets no requests.
    """

    count: int = 0
    until_s: float = 0.0

    def on_answer(self, now: float) -> None:
        """Records such an answer."""
        pause_s = min(MAX_MISDIRECTED_S, FIRST_MISDIRECTED_S * 2**self.count)
        self.until_s = now + pause_s
        self.count += 1

    def is_active(self, now: float) -> bool:
        """Returns whether the upstream gets no requests now."""
        return now < self.until_s


class ListenerState(Enum):
    """Whether a process listens at an address.

    Attributes:
        LISTENING: It accepts connections.
        REFUSING: Its host refuses connections, as no process listens.
        UNKNOWN: The host does not reply, or cannot be reached.
    """

    LISTENING = "listening"
    REFUSING = "refusing"
    UNKNOWN = "unknown"


class CallAnswer(NamedTuple):
    """Status and body of the answer to a control call."""

    status: int
    body: bytes


@dataclass(slots=True, eq=False)
class RunningStream:
    """A stream of this relay that occupies a decode slot.

    Attributes:
        state: Prompt, generated and expected tokens of the stream.
        tokens_per_s: Output tokens per s.
    """

    state: StreamState
    tokens_per_s: float

    def on_generated(self, tokens: int) -> None:
        """Records the number of tokens generated so far."""
        self.state = self.state._replace(generated_tokens=tokens)

    def forecast(self) -> MemoryForecast:
        """Returns the stream's expected KV cache memory at each horizon, in tokens."""
        return forecast(self.state, self.tokens_per_s)


#: Learns of each response of an upstream.
ResponseListener = Callable[["Upstream", ClientResponse], None]


def ignore_response(upstream: Upstream, response: ClientResponse) -> None:
    """Ignores a response."""


class Upstream:
    """State of one upstream at this relay.

    Args:
        record: Entry of the upstream in the platform's store.
        now: Current time in s.
        on_any_response: Called with each response, to requests and to control calls.

    Attributes:
        record: Latest entry of the upstream.
        health: Failures and latency of recent responses.
        running: Requests of this relay that run at the upstream.
        prefill_tokens: Prompt tokens of this relay's running prefills.
        streams: Streams of this relay that occupy a decode slot.
        leaving: True once its entry or a response has said that it leaves. It gets no
            new requests, also if its entry changes again; streams there go on.
        pause: Time for which it has asked this relay to send it nothing.
        cold_until_s: Time until which the upstream is cold.
        pace: Turns of this relay while the upstream bears few requests; None while it
            bears any.
        full_until_s: Time until which this relay requests no slot, after a refusal.
        phase_change_until_s: Time until which this relay's phase change of the engine
            may take.
        rate_limit_per_s: Requests per s that the upstream takes from all relays
            together, as of its last response; None if it names no limit.
        told_load: Load that its last response told, None if it tells none.
        told_s: Time of that response in s.
    """

    def __init__(
        self,
        record: UpstreamRecord,
        now: float,
        on_any_response: ResponseListener = ignore_response,
    ) -> None:
        self.record = record
        self.health = UpstreamHealth()
        self.running = 0
        self.prefill_tokens = 0
        self.streams: set[RunningStream] = set()
        self.leaving = record.draining
        self.pause = UpstreamPause()
        self._misdirection = Misdirection()
        self.cold_until_s = now + record.cold_s
        self.pace: SharedPace | None = None
        self.full_until_s = 0.0
        self.phase_change_until_s = 0.0
        self.rate_limit_per_s: float | None = None
        self.told_load: ToldLoad | None = None
        self.told_s = 0.0
        self._on_any_response = on_any_response
        self._idle: deque[tuple[float, ClientConnection]] = deque()
        self._is_retired = False
        self._host, self._port = parse_address(record.address)

    @property
    def id(self) -> UpstreamId:
        """Identity of this incarnation of the upstream."""
        return self.record.id

    def memory(self) -> MemoryForecast:
        """Returns the expected KV cache memory of this relay's requests, in tokens."""
        if self.prefill_tokens:
            return (float(self.prefill_tokens),) * len(HORIZONS_S)
        return sum_forecasts([stream.forecast() for stream in self.streams])

    @property
    def phase(self) -> Phase | None:
        """Phase of the engine, None for a non-generation HTTP service."""
        return self.record.phase

    def update(self, record: UpstreamRecord, now: float) -> None:
        """Replaces the upstream's entry by a newer one."""
        if record.cold_s > 0 and record.cold_s != self.record.cold_s:
            self.cold_until_s = now + record.cold_s
            self.pace = None
        if record.phase is not self.record.phase:
            self.phase_change_until_s = 0.0
            self._misdirection = Misdirection()
        if record.address != self.record.address:
            self.close()
            self._host, self._port = parse_address(record.address)
        self.leaving = self.leaving or record.draining
        self.record = record

    def take_over(self, earlier: Upstream) -> None:
        """Takes over what the same start of the upstream said before its removal."""
        self.leaving = self.leaving or earlier.leaving
        self.pause = earlier.pause

    def on_notice(self, notice: UpstreamNotice, now: float) -> bool:
        """Takes over what a response says of the upstream.

        Args:
            notice: What it says.
            now: Current time in s.

        Returns:
            True if it was not known before that the upstream leaves.
        """
        is_news = notice.leaving and not self.leaving
        self.leaving = self.leaving or notice.leaving
        if notice.pause_s is not None:
            self.pause.on_asked(notice.pause_s, now)
        if notice.load is not None:
            self.on_told_load(notice.load, now)
        return is_news

    def on_told_load(self, load: ToldLoad, now: float) -> None:
        """Takes over the load that the upstream told this relay or another one."""
        self.told_load = load
        self.told_s = now

    def fresh_load(self, now: float) -> ToldLoad | None:
        """Returns the load that the upstream told a moment ago, None without one."""
        return self.told_load if now - self.told_s <= TOLD_LOAD_VALID_S else None

    @property
    def misdirected(self) -> bool:
        """True while the upstream gets no requests, as it called one misdirected.

        An engine gets none until its phase changes.
        """
        if self.phase is not None:
            return self._misdirection.count > 0
        return self._misdirection.is_active(loop_time())

    def on_accepted(self) -> None:
        """Records that the upstream has run a request, which it takes for its own.

        An engine may still end what it began before its phase changed.
        """
        if self._misdirection.count and self.phase is None:
            self._misdirection = Misdirection()

    def on_misdirected(self, now: float) -> None:
        """Records that the upstream responded that a request was misdirected."""
        self._misdirection.on_answer(now)

    def on_response(self, metadata: ResponseMetadata) -> bool:
        """Takes over the rate limit of a valid response.

        Returns:
            True if the limit has changed.
        """
        before = self.rate_limit_per_s
        self.rate_limit_per_s = metadata.rate_limit_per_s
        return self.rate_limit_per_s != before

    def on_not_executed(self, status: int, now: float) -> None:
        """Records that the upstream did not execute a request.

        Args:
            status: HTTP status of the response.
            now: Current time in s.
        """
        if status == STATUS_MISDIRECTED:
            self.on_misdirected(now)
        else:
            # It rejected a request despite a reservation, as during a phase change.
            self.health.back_off(now)

    async def send(
        self,
        method: str,
        target: str,
        headers: Headers,
        body: bytes,
        needs_new_connection: bool = False,
    ) -> ClientResponse:
        """Sends a request and returns the response once its head has arrived.

        Args:
            method: HTTP method.
            target: HTTP target.
            headers: Headers without framing headers.
            body: Complete body.
            needs_new_connection: True to use no kept connection.

        Raises:
            UpstreamLost: No response; `sent` tells whether the request may have been
                executed.
        """
        connection = None if needs_new_connection else await self._take_idle()
        if connection is None:
            connection = await ClientConnection.connect(
                self._host, self._port, CONNECT_TIMEOUT_S
            )
        framed = [*headers]
        if body or method not in ("GET", "HEAD", "DELETE"):
            framed.append((b"content-length", str(len(body)).encode()))
        try:
            head = await connection.send_request(method, target, framed, body)
        except BaseException:
            connection.close()
            raise
        response = ClientResponse(self, connection, head)
        self.on_any_response(response)
        return response

    def on_any_response(self, response: ClientResponse) -> None:
        """Takes over what a response says of the upstream, whoever it belongs to."""
        self._on_any_response(self, response)

    async def call(
        self,
        call: EngineCall,
        name_in: Callable[[CallAnswer], str | None] | None = None,
    ) -> CallAnswer:
        """Makes a call to the control API of the upstream.

        Args:
            call: The call.
            name_in: Returns what an answer alone names, by which it is known if it
                comes once more, None if it names nothing; None if no answer does. The
                connection of an answer that names nothing is not used again.

        Returns:
            The first answer that is neither a request's nor a repeated one.

        Raises:
            UpstreamLost: There was none within the timeout, or the upstream wants no
                calls now.
        """
        if self.pause.is_active(loop_time()):
            raise UpstreamLost("the upstream has asked for a pause", sent=False)
        headers = [(b"host", self.record.address.encode()), *call.headers]
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                response = await self.send(
                    call.method,
                    call.target,
                    headers,
                    call.body,
                    call.needs_new_connection,
                )
                while True:
                    async with response:
                        if not response.has_header(call.identity_header):
                            body = await response.body(max_bytes=MAX_DOCUMENT_BYTES)
                            answer = CallAnswer(response.status, body)
                            name = None if name_in is None else name_in(answer)
                            if response.is_first(name):
                                if name_in is not None and name is None:
                                    response.discard_connection()
                                return answer
                        response = await response.skip()
                        self.on_any_response(response)
        except TimeoutError as error:
            raise UpstreamLost(
                "no response before the call timeout", sent=True
            ) from error

    async def probe(self) -> ListenerState:
        """Returns whether a process listens at the upstream's address."""
        try:
            connection = await ClientConnection.connect(
                self._host, self._port, CONNECT_TIMEOUT_S
            )
        except UpstreamLost as error:
            if isinstance(error.__cause__, ConnectionRefusedError):
                return ListenerState.REFUSING
            return ListenerState.UNKNOWN
        connection.close()
        return ListenerState.LISTENING

    def release(self, connection: ClientConnection, complete: bool) -> None:
        """Keeps a connection for reuse if its response is complete, else closes it."""
        if (
            complete
            and not self._is_retired
            and connection.start_next_cycle()
            and len(self._idle) < MAX_IDLE_CONNECTIONS
        ):
            connection.start_idle_watch()
            self._idle.append((loop_time(), connection))
        else:
            connection.close()

    def retire(self) -> None:
        """Closes all idle connections, and keeps none from now on."""
        self._is_retired = True
        self.close()

    def close(self) -> None:
        """Closes all idle connections."""
        while self._idle:
            self._idle.pop()[1].close()

    async def _take_idle(self) -> ClientConnection | None:
        now = loop_time()
        while self._idle:
            idle_since_s, connection = self._idle.pop()
            if now - idle_since_s <= MAX_IDLE_S and await connection.stop_idle_watch():
                return connection
            connection.close()
        return None


class _RemovedUpstream(NamedTuple):
    """An upstream without an entry, and the time in s at which it was removed."""

    upstream: Upstream
    removed_s: float


class UpstreamPool:
    """All upstreams by identity; a context manager that closes their connections.

    Args:
        on_any_response: Called with each response of an upstream.
    """

    def __init__(self, on_any_response: ResponseListener = ignore_response) -> None:
        self.by_id: dict[UpstreamId, Upstream] = {}
        self._removed_by_id: dict[UpstreamId, _RemovedUpstream] = {}
        self._on_any_response = on_any_response

    def __enter__(self) -> UpstreamPool:
        return self

    def __exit__(self, *exc_info: object) -> None:
        for upstream in self.by_id.values():
            upstream.close()

    def apply(self, records: Iterable[UpstreamRecord], now: float) -> None:
        """Replaces the set of upstreams by the given entries.

        Args:
            records: Entries of all upstreams that exist now.
            now: Current time in s.
        """
        record_by_id = {record.id: record for record in records}
        for removed_id in set(self.by_id) - set(record_by_id):
            self._remove(removed_id, now)
        self._removed_by_id = {
            removed_id: removed
            for removed_id, removed in self._removed_by_id.items()
            if now - removed.removed_s < REMOVED_UPSTREAM_MEMORY_S
        }
        for upstream_id, record in record_by_id.items():
            upstream = self.by_id.get(upstream_id)
            if upstream is None or upstream.record.started_ms != record.started_ms:
                self.by_id[upstream_id] = self._added(record, now)
            else:
                upstream.update(record, now)

    def _remove(self, upstream_id: UpstreamId, now: float) -> None:
        upstream = self.by_id.pop(upstream_id)
        upstream.retire()
        self._removed_by_id[upstream_id] = _RemovedUpstream(upstream, now)

    def _added(self, record: UpstreamRecord, now: float) -> Upstream:
        """Returns a new upstream, which knows what the same start of it said before.

        Without a known start, an entry that was removed and is written again belongs to
        a new one.
        """
        upstream = Upstream(record, now, self._on_response)
        removed = self._removed_by_id.pop(record.id, None)
        if removed is not None and _is_same_start(upstream, removed.upstream):
            upstream.take_over(removed.upstream)
        return upstream

    def _on_response(self, upstream: Upstream, response: ClientResponse) -> None:
        """Passes a response on, and what it says to the newest state of its upstream.

        The upstream's entry may have lapsed and come back since the request was sent.
        """
        self._on_any_response(upstream, response)
        newest = self.by_id.get(upstream.id, upstream)
        if newest is not upstream and _is_same_start(newest, upstream):
            newest.take_over(upstream)

    def of_service(self, service: str) -> list[Upstream]:
        """Returns the upstreams of a service by its name."""
        return [
            upstream
            for upstream in self.by_id.values()
            if upstream.record.service == service
        ]


def _is_same_start(upstream: Upstream, other: Upstream) -> bool:
    """Returns whether two states are known to be of the same start of an upstream."""
    started_ms = upstream.record.started_ms
    return started_ms != 0 and started_ms == other.record.started_ms
