"""Deduplicates calls at the agent, so that each runs at most once.

A duplicate joins the running call or receives the stored reply, as with the server
shim of Aegean (section 4.1), which runs in front of each back end.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from enum import Enum
from typing import Generic, NamedTuple, TypeVar

from expression import Error, Ok, Result

from wasabimux.errors import ErrorCode, Ran, Refusal
from wasabimux.ids import RequestId

Reply = TypeVar("Reply")

#: Time in s for which a reply is stored after its call ended. Longer than any resend.
RETENTION_S = 600.0


class CallState(Enum):
    """State of a call in the reply table."""

    RUNNING = "running"
    DONE = "done"
    WITHDRAWN = "withdrawn"


@dataclass(slots=True)
class CallRecord(Generic[Reply]):
    """Entry of the reply table for one call.

    Attributes:
        state: State of the call.
        fingerprint: Digest of method, target and body.
        reply: Stored reply, once the call is done.
        reply_bytes: Size of the reply in bytes, counted against `max_reply_bytes`.
        ended_s: Time at which the call was done or withdrawn.
    """

    state: CallState
    fingerprint: int
    reply: Reply | None = None
    reply_bytes: int = 0
    ended_s: float = 0.0


class ReplyLimits(NamedTuple):
    """Size limits of the reply table.

    Attributes:
        max_calls: Maximum number of calls in the table.
        max_reply_bytes: Maximum total size of stored replies in bytes.
        retention_s: Time in s for which an ended call stays in the table.
    """

    max_calls: int = 20_000
    max_reply_bytes: int = 16 * 1024 * 1024
    retention_s: float = RETENTION_S


class CallAction(Enum):
    """Action for an incoming call: run it, join a running one, or replay a reply."""

    RUN = "run"
    JOIN = "join"
    REPLAY = "replay"


class ReplyTable(Generic[Reply]):
    """Table of calls and stored replies that detects duplicate calls by request ID.

    A call that is younger than the retention time and not in the table has not arrived
    since the agent started. Unknown calls that are older are refused. A full table
    refuses new calls instead of evicting recent ones.

    Args:
        limits: Size limits of the table.
    """

    def __init__(self, limits: ReplyLimits = ReplyLimits()) -> None:
        self._limits = limits
        self._records_by_id: dict[RequestId, CallRecord[Reply]] = {}
        self._ended_ids: OrderedDict[RequestId, None] = OrderedDict()
        self._reply_bytes = 0

    def __len__(self) -> int:
        return len(self._records_by_id)

    def get(self, request_id: RequestId) -> CallRecord[Reply] | None:
        """Returns the table entry of a call, or None."""
        return self._records_by_id.get(request_id)

    def admit(
        self, request_id: RequestId, fingerprint: int, age_s: float, now: float
    ) -> Result[CallAction, Refusal]:
        """Decides what to do with an incoming call and adds a new one to the table.

        Args:
            request_id: Identifier of the call, the same for all its attempts.
            fingerprint: Digest of method, target and body.
            age_s: Time in s since the call was first accepted.
            now: Current time in s.

        Returns:
            The action, or a refusal that states whether the call ran.
        """
        self._evict_expired(now)
        record = self._records_by_id.get(request_id)
        if record is not None:
            return self._admit_known(record, fingerprint)
        if age_s >= self._limits.retention_s:
            text = "the call is too old to determine whether it ran"
            return Error(Refusal(ErrorCode.UPSTREAM_LOST, text, Ran.UNKNOWN))
        is_full = len(self._records_by_id) >= self._limits.max_calls
        if is_full or self._reply_bytes >= self._limits.max_reply_bytes:
            return Error(Refusal(ErrorCode.TABLE_FULL, "the call table is full"))
        self._records_by_id[request_id] = CallRecord(CallState.RUNNING, fingerprint)
        return Ok(CallAction.RUN)

    def finish(
        self, request_id: RequestId, reply: Reply, reply_bytes: int, now: float
    ) -> None:
        """Stores the reply of a call that has run."""
        record = self._records_by_id[request_id]
        record.state = CallState.DONE
        record.reply = reply
        record.reply_bytes = reply_bytes
        record.ended_s = now
        self._reply_bytes += reply_bytes
        self._ended_ids[request_id] = None

    def withdraw(self, request_id: RequestId, now: float) -> None:
        """Marks an admitted call as never sent to the upstream."""
        record = self._records_by_id[request_id]
        record.state = CallState.WITHDRAWN
        record.ended_s = now
        self._ended_ids[request_id] = None

    def _admit_known(
        self, record: CallRecord[Reply], fingerprint: int
    ) -> Result[CallAction, Refusal]:
        if record.state is CallState.WITHDRAWN:
            return Error(
                Refusal(ErrorCode.CONFLICT, "the call was withdrawn before it ran")
            )
        if record.fingerprint != fingerprint:
            text = "the idempotency key was already used for another request"
            return Error(Refusal(ErrorCode.KEY_REUSED, text))
        if record.state is CallState.RUNNING:
            return Ok(CallAction.JOIN)
        return Ok(CallAction.REPLAY)

    def _evict_expired(self, now: float) -> None:
        while self._ended_ids:
            request_id = next(iter(self._ended_ids))
            record = self._records_by_id[request_id]
            if now - record.ended_s < self._limits.retention_s:
                return
            del self._ended_ids[request_id]
            del self._records_by_id[request_id]
            self._reply_bytes -= record.reply_bytes
