"""Encodes calls to the control API of the platform's model engines."""

from __future__ import annotations

import json
import re
from typing import Any

from wasabimux.ids import RequestId
from wasabimux.json_documents import DocumentError, decode_document
from wasabimux.platform.headers import EXPECT_INSTANCE, REQUEST_ID
from wasabimux.ports import Headers
from wasabimux.relay.ports import (
    EngineCall,
    EngineReport,
    PhaseChangeCommand,
    StoppedStream,
)

JSON_HEADERS: Headers = [(b"content-type", b"application/json")]

#: Identities that engines give, which targets and headers can carry.
TOKEN = re.compile(r"[!-~]{1,256}")

#: Highest count in a report, which JSON of all languages can hold.
MAX_COUNT = 2**53

STATUS_OK = 200
STATUS_UNAVAILABLE = 503


class PlatformEngineCodec:
    """Encodes calls to engines and decodes the responses; implements `EngineCodec`."""

    def reserve_slot(self, tokens: int, ttl_s: float) -> EngineCall:
        """Encodes the reservation of a slot and KV cache memory."""
        return _post("/v1/hold-take", {"tokens": tokens, "ttlMs": int(ttl_s * 1000)})

    def read_reservation(self, status: int, body: bytes) -> str | None:
        """Returns the identity of the reservation, None if it was refused."""
        return _token(_successful_object(status, body).get("hold"))

    def release_reservation(self, reservation: str) -> EngineCall:
        """Encodes the release of a reservation."""
        return _delete(f"/v1/hold-drop/{reservation}")

    def read_kv_cache_handle(self, status: int, body: bytes) -> str | None:
        """Returns the KV cache handle in a prefill response, None without one."""
        return _token(_successful_object(status, body).get("kvHandle"))

    def free_kv_cache(self, handle: str) -> EngineCall:
        """Encodes the deletion of a retained KV cache."""
        return _delete(f"/v1/kv-handle/{handle}")

    def migrate_stream(self, request: RequestId, to: str) -> EngineCall:
        """Encodes a call that stops a stream and copies its KV cache to an engine."""
        call = _post("/v1/kv-move", {"id": request, "to": to, "last": True})
        return call._replace(needs_new_connection=True)

    def read_migration(self, status: int, body: bytes) -> StoppedStream | None:
        """Returns the stopped stream, None if it still runs or has ended.

        An engine that could not copy the KV cache has stopped the stream nevertheless,
        as the handle in its response shows.
        """
        if status not in (STATUS_OK, STATUS_UNAVAILABLE):
            return None
        handle = _token(_decode_object(body).get("kvHandle"))
        if handle is None:
            return None
        return StoppedStream(handle, status == STATUS_OK)

    def phase_change(self, command: PhaseChangeCommand) -> EngineCall:
        """Encodes a command to change the phase of an engine."""
        call = _post(
            "/v1/order",
            {
                "op": "phase",
                "phase": "prefill" if command.to_prefill else "decode",
                "holder": command.lease_holder,
                "fence": command.fencing_token,
                "expected": command.expected_command_count,
            },
        )
        expected_instance = (EXPECT_INSTANCE, command.upstream.encode())
        return call._replace(
            headers=[*call.headers, expected_instance], needs_new_connection=True
        )

    def report(self) -> EngineCall:
        """Encodes the request for a load report."""
        return EngineCall("GET", "/v1/report", [], b"", REQUEST_ID, True)

    def read_report(self, status: int, body: bytes) -> EngineReport | None:
        """Decodes a load report, None if the response has none."""
        report = _successful_object(status, body)
        numbers = [
            report.get(name, 0)
            for name in ("inFlight", "queued", "kvUsed", "held", "sequence")
        ]
        if not report or not all(map(_is_count, numbers)):
            return None
        running, waiting, used_tokens, held_tokens, command_count = numbers
        busy = bool(report.get("busy"))
        return EngineReport(
            running, waiting, used_tokens, held_tokens, busy, command_count
        )


def _post(target: str, document: dict[str, Any]) -> EngineCall:
    body = json.dumps(document).encode()
    return EngineCall("POST", target, JSON_HEADERS, body, REQUEST_ID)


def _delete(target: str) -> EngineCall:
    return EngineCall("DELETE", target, [], b"", REQUEST_ID)


def _token(value: Any) -> str | None:
    """Returns an identity that an engine gave, None if it cannot be sent back."""
    return value if isinstance(value, str) and TOKEN.fullmatch(value) else None


def _is_count(value: Any) -> bool:
    return type(value) is int and 0 <= value <= MAX_COUNT


def _successful_object(status: int, body: bytes) -> dict[str, Any]:
    """Returns the JSON object in a response with status 200, else an empty one."""
    return _decode_object(body) if status == STATUS_OK else {}


def _decode_object(body: bytes) -> dict[str, Any]:
    """Decodes a JSON object; returns an empty one if the body is anything else."""
    try:
        value = decode_document(body)
    except DocumentError:
        return {}
    return value if isinstance(value, dict) else {}
