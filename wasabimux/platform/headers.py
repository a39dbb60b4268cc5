"""The platform's HTTP headers, decoded and encoded in one place."""

from __future__ import annotations

from wasabimux.headers import end_to_end_headers
from wasabimux.ids import RequestId
from wasabimux.ports import Headers
from wasabimux.relay.model import RequestMetadata, ResponseMetadata, SendOptions

REQUEST_ID = b"wasabimux-request-id"
#: Time that is left, not a point in time.
DEADLINE_MS = b"wasabimux-deadline-ms"
#: Prompt tokens and most output tokens, separated by a comma.
TOKEN_COUNT = b"wasabimux-token-count"
#: Caller's estimate of the answer's tokens, right at the median and often far off.
LENGTH_HINT = b"wasabimux-length-hint"
LAST_EVENT_ID = b"last-event-id"
#: Digest of the answer, made by the upstream and passed on unchanged.
SIGNATURE = b"wasabimux-response-signature"
TENANT = b"wasabimux-tenant"
EXPECT_INSTANCE = b"wasabimux-expect-instance"
NOT_EXECUTED = b"wasabimux-not-executed"
#: Load of the upstream, for the relay alone.
SERVER_LOAD = b"wasabimux-server-load"
STAGE = b"wasabimux-stage"
KV_SOURCE = b"wasabimux-kv-source"
KV_HOLD = b"wasabimux-kv-hold"
AUTHORIZATION = b"authorization"

#: Headers that only the system sets; what a caller sends under them is dropped.
SYSTEM_HEADERS = frozenset(
    {
        DEADLINE_MS,
        TENANT,
        EXPECT_INSTANCE,
        STAGE,
        KV_SOURCE,
        KV_HOLD,
        LAST_EVENT_ID,
        b"wasabimux-pin-ms",
        b"wasabimux-kv-backup",
        b"wasabimux-request-priority",
        b"wasabimux-expect-version",
        b"kv-fetch",
        b"wasabimux-kv-fetch",
    }
)

BEARER = b"bearer "


class PlatformHeaderCodec:
    """Reads and writes the headers of requests and answers."""

    def read_request(self, headers: Headers) -> RequestMetadata:
        """Reads what a request says of itself; bad values count as missing."""
        by_name = dict(headers)
        prompt, output = _token_count(by_name.get(TOKEN_COUNT))
        left_ms = _number(by_name.get(DEADLINE_MS))
        return RequestMetadata(
            RequestId(by_name.get(REQUEST_ID, b"").decode("latin-1")),
            _key(by_name.get(AUTHORIZATION, b"")),
            None if left_ms is None else left_ms / 1000,
            prompt,
            output,
            _number(by_name.get(LAST_EVENT_ID)),
            _number(by_name.get(LENGTH_HINT)),
        )

    def request_headers(self, headers: Headers, options: SendOptions) -> Headers:
        """Returns the headers of a request that is passed on, without framing."""
        kept = [
            item
            for item in end_to_end_headers(headers)
            if item[0] not in SYSTEM_HEADERS
            and item[0] != b"expect"
            and not (item[0] == AUTHORIZATION and options.drop_key)
        ]
        left_ms = max(1, int(options.time_left_s * 1000))
        kept.append((DEADLINE_MS, str(left_ms).encode()))
        kept.append((EXPECT_INSTANCE, options.upstream.encode()))
        if options.workspace is not None:
            kept.append((TENANT, options.workspace.encode()))
        if options.prefill_only:
            kept.append((STAGE, b"prefill"))
        if options.kv_source is not None:
            kept.append((KV_SOURCE, options.kv_source.encode()))
        if options.reservation is not None:
            kept.append((KV_HOLD, options.reservation.encode()))
        if options.last_event_id is not None:
            kept.append((LAST_EVENT_ID, str(options.last_event_id).encode()))
        return kept

    def read_response(self, headers: Headers) -> ResponseMetadata:
        """Reads the head of an upstream's answer."""
        by_name = dict(headers)
        request_id = by_name.get(REQUEST_ID)
        return ResponseMetadata(
            None if request_id is None else request_id.decode("latin-1"),
            SIGNATURE in by_name,
            NOT_EXECUTED in by_name,
        )

    def response_headers(self, headers: Headers) -> Headers:
        """Returns the headers of an answer that is passed on, without framing."""
        return [item for item in end_to_end_headers(headers) if item[0] != SERVER_LOAD]

    def relay_response_headers(self, request_id: RequestId) -> Headers:
        """Returns the headers of an answer that the relay makes itself."""
        return [(REQUEST_ID, request_id.encode("latin-1"))] if request_id else []


def _key(authorization: bytes) -> str:
    if authorization[: len(BEARER)].lower() != BEARER:
        return ""
    return authorization[len(BEARER) :].strip().decode("latin-1")


def _token_count(value: bytes | None) -> tuple[int, int]:
    numbers = _numbers(value)
    return (numbers[0], numbers[1]) if len(numbers) == 2 else (0, 0)


def _numbers(value: bytes | None) -> list[int]:
    parts = [] if value is None else value.split(b",")
    if not all(part.strip().isdigit() for part in parts):
        return []
    return [int(part) for part in parts]


def _number(value: bytes | None) -> int | None:
    numbers = _numbers(value)
    return numbers[0] if len(numbers) == 1 else None
