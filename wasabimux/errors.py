"""Errors that are returned to clients: codes, HTTP statuses and refusals."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass, replace
from enum import Enum


class Ran(Enum):
    """Whether a refused or failed request was executed on an upstream."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorCode(Enum):
    """Reason why a request was refused or failed."""

    BAD_REQUEST = "bad_request"
    UNAUTHENTICATED = "unauthenticated"
    FORBIDDEN = "forbidden"
    NOT_FOUND = "not_found"
    CONFLICT = "conflict"
    TOO_LARGE = "too_large"
    KEY_REUSED = "idempotency_key_reused"
    RATE_LIMITED = "rate_limited"
    OVERLOADED = "overloaded"
    TABLE_FULL = "call_table_full"
    NO_UPSTREAM = "no_upstream"
    DRAINING = "draining"
    STALE_SETTINGS = "stale_settings"
    PROMPT_QUARANTINED = "prompt_quarantined"
    REQUEST_QUARANTINED = "request_quarantined"
    VERSION_UNAVAILABLE = "version_unavailable"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_LOST = "upstream_lost"
    RESULT_EXPIRED = "result_expired"
    KEY_WITHDRAWN = "key_withdrawn"
    DEADLINE = "deadline_exceeded"
    CANCELLED = "cancelled"
    INTERNAL = "internal"


STATUS_BY_CODE: dict[ErrorCode, int] = {
    ErrorCode.BAD_REQUEST: 400,
    ErrorCode.UNAUTHENTICATED: 401,
    ErrorCode.FORBIDDEN: 403,
    ErrorCode.NOT_FOUND: 404,
    ErrorCode.CONFLICT: 409,
    ErrorCode.TOO_LARGE: 413,
    ErrorCode.KEY_REUSED: 422,
    ErrorCode.RATE_LIMITED: 429,
    ErrorCode.OVERLOADED: 503,
    ErrorCode.TABLE_FULL: 503,
    ErrorCode.NO_UPSTREAM: 503,
    ErrorCode.DRAINING: 503,
    ErrorCode.STALE_SETTINGS: 503,
    ErrorCode.PROMPT_QUARANTINED: 503,
    ErrorCode.REQUEST_QUARANTINED: 503,
    ErrorCode.VERSION_UNAVAILABLE: 503,
    ErrorCode.UPSTREAM_FAILED: 502,
    ErrorCode.UPSTREAM_LOST: 502,
    ErrorCode.RESULT_EXPIRED: 502,
    ErrorCode.KEY_WITHDRAWN: 401,
    ErrorCode.DEADLINE: 504,
    ErrorCode.CANCELLED: 499,
    ErrorCode.INTERNAL: 500,
}

#: HTTP statuses by which clients learn that a request has not run and never will.
NOT_RUN_STATUSES = frozenset({408, 421, 429, 503})

#: HTTP status in place of these, for requests that may have run.
MAY_HAVE_RUN_STATUS = 502

#: HTTP statuses whose responses always carry a Retry-After header.
RETRYABLE_STATUSES = frozenset({429, 503})

DEFAULT_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """Error response to a request that was not served.

    Attributes:
        code: Reason for the refusal.
        message: Explanation for the client. Contains neither keys nor prompt text.
        ran: Whether the request was executed on an upstream.
        retry_after_s: Time in s after which the client may retry.
    """

    code: ErrorCode
    message: str
    ran: Ran = Ran.NO
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """HTTP status code of this refusal; none that promises what is not known."""
        status = STATUS_BY_CODE[self.code]
        if status in NOT_RUN_STATUSES and self.ran is not Ran.NO:
            return MAY_HAVE_RUN_STATUS
        return status

    @property
    def retry_after_header(self) -> str | None:
        """Value of the Retry-After header in whole seconds, or None for no header."""
        if self.ran is not Ran.NO:
            return None
        wait_s = self.retry_after_s
        if wait_s is None:
            if self.status not in RETRYABLE_STATUSES:
                return None
            wait_s = DEFAULT_RETRY_AFTER_S
        return str(max(1, math.ceil(wait_s)))

    def with_ran(self, ran: Ran) -> Refusal:
        """Returns a copy of this refusal with another value of `ran`."""
        return replace(self, ran=ran)

    def to_json(self) -> bytes:
        """Returns the JSON body of the response to the client."""
        return json.dumps(
            {
                "error": {
                    "code": self.code.value,
                    "message": self.message,
                    "ran": self.ran.value,
                }
            }
        ).encode()


class RefusedError(Exception):
    """Raised to refuse a request; carries the response to the client.

    Args:
        refusal: Refusal to return to the client.

    Attributes:
        refusal: Refusal to return to the client.
        request_id: ID of the refused request, empty if none is assigned yet.
    """

    def __init__(self, refusal: Refusal) -> None:
        super().__init__(f"{refusal.code.value}: {refusal.message}")
        self.refusal = refusal
        self.request_id = ""


def refused(
    code: ErrorCode,
    message: str,
    ran: Ran = Ran.NO,
    retry_after_s: float | None = None,
) -> RefusedError:
    """Returns a RefusedError with a refusal of the given fields."""
    return RefusedError(Refusal(code, message, ran, retry_after_s))
