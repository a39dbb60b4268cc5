"""One engine's stream is bytes without end; its relay answers nothing else meanwhile.

Two relays, three engines and a plain service. Each relay gets orders all the time, and
a few streams. One decode engine answers them with a proper head and a chunked body in
which no event ever ends.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
from contextlib import AsyncExitStack
from pathlib import Path

import h11

from review.harness import Answer, Deployment, Load, Record, desired_state, run_case

#: Timeout in s of the orders' route, and the time after it until an answer is due.
ROUTE_TIMEOUT_S = 0.8
ANSWER_DUE_S = 0.5

#: Time in s for which the clients of orders wait.
CLIENT_TIMEOUT_S = 1.5

#: Fewest requests without an answer in time for which the rule is judged.
MIN_REQUESTS = 8

ORDER_INTERVAL_S = 0.05
STREAMS_PER_RELAY = 2
RUN_S = 8.0

#: A piece of the body: 64 bytes that are no event, as one chunk.
PIECE = b"40\r\n" + b"\xa5" * 64 + b"\r\n"
PIECES_PER_WRITE = 200


class Engine:
    """A decode engine, which may send bytes without end in the bodies of its streams.

    Args:
        record: Record of the case.
        faulty: True to send bytes without end.
    """

    def __init__(self, record: Record, faulty: bool) -> None:
        self.address = ""
        self._record = record
        self._faulty = faulty
        self._holds = 0
        self._server: asyncio.Server | None = None

    async def __aenter__(self) -> Engine:
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self._server.sockets[0].getsockname()[1]
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._server is not None
        self._server.close()

    def store_entry(self) -> dict[str, object]:
        """Returns the entry of the engine in the store."""
        entry = {"service": "engines", "address": self.address, "zone": "a"}
        entry |= {"version": "v1", "slots": 16, "state": "ready", "phase": "decode"}
        return entry | {"coldRemainingMs": 0, "sequence": 1, "born": 1_780_000_000_000}

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        http = h11.Connection(h11.SERVER)
        with contextlib.suppress(OSError, h11.ProtocolError, asyncio.CancelledError):
            while (request := await self._read(http, reader)) is not None:
                if request.target.startswith(b"/v1/"):
                    writer.write(self._control(http, request))
                    http.start_next_cycle()
                else:
                    await self._stream(request, writer)
                    break
        writer.transport.abort()

    async def _read(
        self, http: h11.Connection, reader: asyncio.StreamReader
    ) -> h11.Request | None:
        """Returns the next request once its body has arrived, None at the end."""
        request = None
        while True:
            event = http.next_event()
            if event is h11.NEED_DATA:
                http.receive_data(await reader.read(65536))
            elif isinstance(event, h11.Request):
                request = event
            elif isinstance(event, h11.EndOfMessage):
                return request
            elif isinstance(event, h11.ConnectionClosed):
                return None

    def _control(self, http: h11.Connection, request: h11.Request) -> bytes:
        """Returns the response to a control call."""
        answer: dict[str, object] = {}
        if request.target == b"/v1/hold-take":
            self._holds += 1
            answer = {"hold": f"hold-{self._holds}"}
        elif request.target == b"/v1/report":
            answer = {"inFlight": 0, "queued": 0, "kvUsed": 0, "held": 0}
            answer |= {"sequence": 0, "busy": False}
        body = json.dumps(answer).encode()
        headers = [("content-length", str(len(body)))]
        events = [
            h11.Response(status_code=200, headers=headers),
            h11.Data(data=body),
            h11.EndOfMessage(),
        ]
        return b"".join(http.send(event) or b"" for event in events)

    async def _stream(self, request: h11.Request, writer: asyncio.StreamWriter) -> None:
        request_id = dict(request.headers)[b"wasabimux-request-id"]
        self._record.write(f"run runner=dec-a1 request={request_id.decode()}")
        writer.write(
            b"HTTP/1.1 200 OK\r\nWasabimux-Request-Id: " + request_id + b"\r\n"
            b"Wasabimux-Response-Signature: sig-dec-a1\r\n"
            b"Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )
        if not self._faulty:
            for number in range(1, 6):
                event = b"id: %d\ndata: token\n\n" % number
                writer.write(b"%x\r\n%b\r\n" % (len(event), event))
            writer.write(b"0\r\n\r\n")
            await writer.drain()
            return
        while True:
            writer.write(PIECE * PIECES_PER_WRITE)
            await writer.drain()


async def case(deployment: Deployment, trouble: bool) -> bool:
    """Returns whether the rule held."""
    record, store = deployment.record, deployment.store
    await store.put("config", "main", desired_state())
    for zone in "ab":
        await deployment.add_runner(f"desk-{zone}", "desk", zone)
    await deployment.add_runner("pre-b", "engines", "b", phase="prefill")
    await deployment.add_runner("dec-b", "engines", "b", phase="decode")
    relays = [await deployment.add_relay(f"front-{i}", "ab"[i % 2]) for i in (1, 2)]
    async with AsyncExitStack() as stack:
        engine = await stack.enter_async_context(Engine(record, faulty=trouble))
        await store.put("servers", "dec-a1", engine.store_entry())
        await deployment.start()
        loads = [
            await stack.enter_async_context(
                Load(deployment, relay, ORDER_INTERVAL_S, timeout_s=CLIENT_TIMEOUT_S)
            )
            for relay in relays
        ]
        await asyncio.sleep(2.0)
        streams = [
            asyncio.ensure_future(
                deployment.send(
                    relay,
                    "/once/1",
                    "POST",
                    b"prompt",
                    timeout_s=14.0,
                    Wasabimux_Token_Count="1000,50",
                )
            )
            for relay in relays
            for _ in range(STREAMS_PER_RELAY)
        ]
        await asyncio.sleep(RUN_S)
        for stream in streams:
            stream.cancel()
        await asyncio.gather(*streams, return_exceptions=True)
    return all([judge(record, load) for load in loads])


def judge(record: Record, load: Load) -> bool:
    """Returns whether one relay has answered its orders in time."""
    answers = [answer for answer in load.answers.values() if answer.ended_s]
    late = [item for item in answers if took_s(item) > ROUTE_TIMEOUT_S]
    unanswered = [
        item for item in late if took_s(item) > ROUTE_TIMEOUT_S + ANSWER_DUE_S
    ]
    never = [item for item in answers if not item.complete]
    record.write(
        f"{load.relay.name}: orders={len(answers)}"
        f" unanswered at the timeout={len(late)}"
        f" half a second later={len(unanswered)} never={len(never)}"
    )
    return len(late) < MIN_REQUESTS or len(unanswered) <= len(late) / 2


def took_s(answer: Answer) -> float:
    """Returns the time in s until the answer, or until the client gave up."""
    return answer.ended_s - answer.sent_s


if __name__ == "__main__":
    run_case(case, Path(__file__).parent)
