"""Encodes and decodes the platform's HTTP headers."""

from __future__ import annotations

import re

from wasabimux.decisions.answers import ResponseMetadata
from wasabimux.decisions.told_load import MAX_SLOWNESS, MIN_SLOWNESS, ToldLoad
from wasabimux.headers import end_to_end_headers
from wasabimux.ids import PromptPartId, RequestId
from wasabimux.ports import Headers
from wasabimux.relay.model import RequestMetadata, SendOptions, UpstreamNotice

REQUEST_ID = b"wasabimux-request-id"
#: Time until the deadline, in ms; not a point in time.
DEADLINE_MS = b"wasabimux-deadline-ms"
#: Number of prompt tokens and maximum number of output tokens, separated by a comma.
TOKEN_COUNT = b"wasabimux-token-count"
#: Parts of the prompt in order, as comma-separated ID:TOKENS. Requests share parts; the
#: last one belongs to the request or its session.
PROMPT_PREFIX = b"wasabimux-prompt-prefix"
#: Client's estimate of the number of output tokens: correct at the median, but often
#: far off.
LENGTH_HINT = b"wasabimux-length-hint"
LAST_EVENT_ID = b"last-event-id"
#: Identity of the request that brought the first event of the stream taken up.
RESUMES = b"resumes"
#: Digest of the response, computed by the upstream and forwarded unchanged.
SIGNATURE = b"wasabimux-response-signature"
TENANT = b"wasabimux-tenant"
EXPECT_INSTANCE = b"wasabimux-expect-instance"
NOT_EXECUTED = b"wasabimux-not-executed"
#: Load of the upstream, sent to the relay and not forwarded to clients: the requests
#: that run, those that wait and the slots. Some add how long work takes on their
#: machine, in percent.
SERVER_LOAD = b"wasabimux-server-load"
#: Requests per s that the upstream takes from all relays together, a decimal number.
SERVER_LIMIT = b"server-limit"
#: `1` in all responses of an upstream that is shutting down.
SERVER_LEAVING = b"server-leaving"
RETRY_AFTER = b"retry-after"
STAGE = b"wasabimux-stage"
KV_SOURCE = b"wasabimux-kv-source"
KV_HOLD = b"wasabimux-kv-hold"
AUTHORIZATION = b"authorization"

#: Headers that only the system sets; if a client sends them, they are removed.
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

#: A number in a header of a client, which fits into any type of numbers.
INTEGER_PATTERN = re.compile(rb"[0-9]{1,15}")

STATUS_UNAVAILABLE = 503

#: Figures in a load with the slowness of the machine, and the highest of the others.
LOAD_FIGURES = 4
MAX_LOAD_FIGURE = 100_000

SECONDS_PATTERN = re.compile(rb"\d+(\.\d*)?|\.\d+")
RATE_PATTERN = re.compile(rb"\d{1,9}(\.\d{1,9})?")


class PlatformHeaderCodec:
    """Encodes and decodes the platform's headers; implements `HeaderCodec`."""

    def read_request(self, headers: Headers) -> RequestMetadata:
        """Decodes a client's request metadata; invalid values count as missing."""
        by_name = dict(headers)
        prompt_tokens, output_tokens = _token_counts(by_name.get(TOKEN_COUNT))
        remaining_ms = _integer(by_name.get(DEADLINE_MS))
        return RequestMetadata(
            RequestId(by_name.get(REQUEST_ID, b"").decode("latin-1")),
            _api_key(by_name.get(AUTHORIZATION, b"")),
            None if remaining_ms is None else remaining_ms / 1000,
            prompt_tokens,
            output_tokens,
            _integer(by_name.get(LAST_EVENT_ID)),
            _integer(by_name.get(LENGTH_HINT)),
            _shared_parts(by_name.get(PROMPT_PREFIX)),
            _request_id(by_name.get(RESUMES)),
        )

    def request_headers(self, headers: Headers, options: SendOptions) -> Headers:
        """Returns the headers for forwarding a request, without hop-by-hop headers."""
        forwarded = [
            item
            for item in end_to_end_headers(headers)
            if item[0] not in SYSTEM_HEADERS
            and item[0] != b"expect"
            and not (item[0] == AUTHORIZATION and options.drop_key)
        ]
        remaining_ms = max(1, int(options.time_left_s * 1000))
        forwarded.append((DEADLINE_MS, str(remaining_ms).encode()))
        forwarded.append((EXPECT_INSTANCE, options.upstream.encode()))
        if options.workspace is not None:
            forwarded.append((TENANT, options.workspace.encode()))
        if options.prefill_only:
            forwarded.append((STAGE, b"prefill"))
        if options.kv_source is not None:
            forwarded.append((KV_SOURCE, options.kv_source.encode()))
        if options.reservation is not None:
            forwarded.append((KV_HOLD, options.reservation.encode()))
        if options.last_event_id is not None:
            forwarded.append((LAST_EVENT_ID, str(options.last_event_id).encode()))
        return forwarded

    def read_response(self, headers: Headers) -> ResponseMetadata:
        """Decodes the metadata of an upstream's response."""
        by_name = dict(headers)
        request_id = by_name.get(REQUEST_ID)
        return ResponseMetadata(
            None if request_id is None else request_id.decode("latin-1"),
            SIGNATURE in by_name,
            NOT_EXECUTED in by_name,
            _rate(by_name.get(SERVER_LIMIT)),
        )

    def read_notice(self, status: int, headers: Headers) -> UpstreamNotice:
        """Decodes what a response says of its upstream."""
        leaving = any(
            name == SERVER_LEAVING and value.strip() == b"1" for name, value in headers
        )
        pause_s = _seconds(headers) if status == STATUS_UNAVAILABLE else None
        return UpstreamNotice(leaving, pause_s, _told_load(headers))

    def response_headers(self, headers: Headers) -> Headers:
        """Returns the headers for forwarding a response, without hop-by-hop headers."""
        return [item for item in end_to_end_headers(headers) if item[0] != SERVER_LOAD]

    def relay_response_headers(self, request_id: RequestId) -> Headers:
        """Returns the headers of a response that the relay itself generates."""
        return [(REQUEST_ID, request_id.encode("latin-1"))] if request_id else []


def _api_key(authorization: bytes) -> str:
    if authorization[: len(BEARER)].lower() != BEARER:
        return ""
    return authorization[len(BEARER) :].strip().decode("latin-1")


def _token_counts(value: bytes | None) -> tuple[int, int]:
    integers = _integers(value)
    return (integers[0], integers[1]) if len(integers) == 2 else (0, 0)


def _shared_parts(value: bytes | None) -> tuple[PromptPartId, ...]:
    """Returns the parts that other prompts may share: all but the last one."""
    entries = [] if value is None else value.decode("latin-1").split(",")
    ids = [entry.partition(":")[0].strip() for entry in entries]
    return tuple(PromptPartId(part) for part in ids[:-1] if part)


def _request_id(value: bytes | None) -> RequestId | None:
    return RequestId(value.strip().decode("latin-1")) if value else None


def _rate(value: bytes | None) -> float | None:
    """Returns a rate in requests per s, None if it is missing or is no such number."""
    if value is None or not RATE_PATTERN.fullmatch(value.strip()):
        return None
    return float(value)


def _told_load(headers: Headers) -> ToldLoad | None:
    """Returns the load in a response, None if it lacks a figure or is out of bounds."""
    value = next((value for name, value in headers if name == SERVER_LOAD), None)
    figures = _integers(value)
    if len(figures) != LOAD_FIGURES:
        return None
    running, waiting, slots, percent = figures
    slowness = percent / 100
    is_plausible = max(running, waiting, slots) <= MAX_LOAD_FIGURE and slots > 0
    if not is_plausible or not MIN_SLOWNESS <= slowness <= MAX_SLOWNESS:
        return None
    return ToldLoad(running, waiting, slots, slowness)


def _seconds(headers: Headers) -> float | None:
    """Returns the longest Retry-After in s, None without one.

    A date is none: the clocks of relay and upstream may differ.
    """
    values = [value.strip() for name, value in headers if name == RETRY_AFTER]
    return max(
        (float(value) for value in values if SECONDS_PATTERN.fullmatch(value)),
        default=None,
    )


def _integers(value: bytes | None) -> list[int]:
    parts = [] if value is None else value.split(b",")
    if not all(INTEGER_PATTERN.fullmatch(part.strip()) for part in parts):
        return []
    return [int(part) for part in parts]


def _integer(value: bytes | None) -> int | None:
    integers = _integers(value)
    return integers[0] if len(integers) == 1 else None
