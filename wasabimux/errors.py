"""Refusals and failures as a caller sees them."""

from __future__ import annotations

import json
import math
from dataclasses import dataclass, replace
from enum import Enum


class Ran(Enum):
    """Whether a refused or failed request has run on an upstream."""

    NO = "no"
    YES = "yes"
    UNKNOWN = "unknown"


class ErrorCode(Enum):
    """Every reason for which a request is refused or fails."""

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
    ErrorCode.UPSTREAM_FAILED: 502,
    ErrorCode.UPSTREAM_LOST: 502,
    ErrorCode.RESULT_EXPIRED: 502,
    ErrorCode.KEY_WITHDRAWN: 401,
    ErrorCode.DEADLINE: 504,
    ErrorCode.CANCELLED: 499,
    ErrorCode.INTERNAL: 500,
}

#: Statuses whose answer always tells the caller when to come back.
RETRYABLE_STATUSES = frozenset({429, 503})

DEFAULT_RETRY_AFTER_S = 1.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """The final answer to a request that was not served.

    Attributes:
        code: Reason.
        message: Explanation for the caller. Holds no key and no prompt text.
        ran: Whether the request ran on an upstream.
        retry_after_s: Seconds after which the caller may come back.
    """

    code: ErrorCode
    message: str
    ran: Ran = Ran.NO
    retry_after_s: float | None = None

    @property
    def status(self) -> int:
        """HTTP status code of this refusal."""
        return STATUS_BY_CODE[self.code]

    @property
    def retry_after_header(self) -> str | None:
        """Whole seconds for the Retry-After header, if there is to be one."""
        wait_s = self.retry_after_s
        if wait_s is None:
            if self.status not in RETRYABLE_STATUSES:
                return None
            wait_s = DEFAULT_RETRY_AFTER_S
        return str(max(1, math.ceil(wait_s)))

    def with_ran(self, ran: Ran) -> Refusal:
        """Returns the same refusal with another statement on whether it ran."""
        return replace(self, ran=ran)

    def to_json(self) -> bytes:
        """Returns the body of the answer to the caller."""
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
    """Carries a refusal out of nested calls.

    Args:
        refusal: The refusal to give to the caller.

    Attributes:
        request_id: Identity of the refused request, empty before it has one.
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
    """Makes an exception from the parts of a refusal."""
    return RefusedError(Refusal(code, message, ran, retry_after_s))
