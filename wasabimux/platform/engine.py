"""Calls to the platform's model engines."""

from __future__ import annotations

import json
from typing import Any

from wasabimux.ids import RequestId
from wasabimux.platform.headers import EXPECT_INSTANCE
from wasabimux.ports import Headers
from wasabimux.relay.ports import (
    EngineCall,
    EngineReport,
    PhaseChangeCommand,
    StoppedStream,
)

JSON_HEADERS: Headers = [(b"content-type", b"application/json")]

STATUS_OK = 200
STATUS_NO_ROOM = 503


class PlatformEngineCodec:
    """Encodes calls to engines and decodes their answers."""

    def reserve_slot(self, tokens: int, ttl_s: float) -> EngineCall:
        """Reserves a slot and memory."""
        return _post("/v1/hold-take", {"tokens": tokens, "ttlMs": int(ttl_s * 1000)})

    def read_reservation(self, status: int, body: bytes) -> str | None:
        """Returns the reservation, None if there is no room."""
        value = _object(status, body).get("hold")
        return value if isinstance(value, str) else None

    def release_reservation(self, hold: str) -> EngineCall:
        """Gives a reservation back."""
        return EngineCall("DELETE", f"/v1/hold-drop/{hold}", [], b"")

    def read_kv_cache_handle(self, status: int, body: bytes) -> str | None:
        """Returns the handle of a prefill, None if there is none."""
        value = _object(status, body).get("kvHandle")
        return value if isinstance(value, str) else None

    def free_kv_cache(self, handle: str) -> EngineCall:
        """Frees the KV cache of a prefill."""
        return EngineCall("DELETE", f"/v1/kv-handle/{handle}", [], b"")

    def migrate_stream(self, request: RequestId, to: str) -> EngineCall:
        """Stops a running stream and copies its memory to another engine."""
        return _post("/v1/kv-move", {"id": request, "to": to, "last": True})

    def read_migration(self, status: int, body: bytes) -> StoppedStream | None:
        """Returns the stopped stream, None if it runs on or has ended.

        An engine that could not copy the memory has stopped the stream all the same,
        and says so by a handle.
        """
        if status not in (STATUS_OK, STATUS_NO_ROOM):
            return None
        handle = _json_object(body).get("kvHandle")
        if not isinstance(handle, str):
            return None
        return StoppedStream(handle, status == STATUS_OK)

    def phase_change(self, phase_change: PhaseChangeCommand) -> EngineCall:
        """Orders an engine to change its phase."""
        call = _post(
            "/v1/order",
            {
                "op": "phase",
                "phase": "prefill" if phase_change.to_prefill else "decode",
                "holder": phase_change.lease_holder,
                "fence": phase_change.fencing_token,
                "expected": phase_change.expected_command_count,
            },
        )
        expect = (EXPECT_INSTANCE, phase_change.upstream.encode())
        return call._replace(headers=[*call.headers, expect])

    def report(self) -> EngineCall:
        """Asks for a report."""
        return EngineCall("GET", "/v1/report", [], b"")

    def read_report(self, status: int, body: bytes) -> EngineReport | None:
        """Reads a report, None if there is none."""
        found = _object(status, body)
        numbers = [
            found.get(name, 0)
            for name in ("inFlight", "queued", "kvUsed", "held", "sequence")
        ]
        if not found or not all(isinstance(number, int) for number in numbers):
            return None
        running, waiting, used, held, orders = numbers
        busy = bool(found.get("busy"))
        return EngineReport(running, waiting, used, held, busy, orders)


def _post(target: str, value: dict[str, Any]) -> EngineCall:
    return EngineCall("POST", target, JSON_HEADERS, json.dumps(value).encode())


def _object(status: int, body: bytes) -> dict[str, Any]:
    """Returns the JSON object of a good answer, else an empty one."""
    return _json_object(body) if status == STATUS_OK else {}


def _json_object(body: bytes) -> dict[str, Any]:
    """Returns a JSON object, an empty one where there is none."""
    try:
        value = json.loads(body)
    except ValueError:
        return {}
    return value if isinstance(value, dict) else {}
