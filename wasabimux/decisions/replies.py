"""The agent's table of calls: each runs at most once, its reply is kept.

Duplicates are joined to the running call or answered from the kept reply, as
the server shim of Aegean (section 4.1) does at the back end's door.
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

#: Time for which a reply is kept after its call ended. Longer than any resend.
RETENTION_S = 600.0


class CallState(Enum):
    """What the table knows of a call."""

    RUNNING = "running"
    DONE = "done"
    WITHDRAWN = "withdrawn"


@dataclass(slots=True)
class CallRecord(Generic[Reply]):
    """One call.

    Attributes:
        state: Where the call stands.
        fingerprint: Digest of method, target and body.
        reply: The reply once the call is done.
        reply_bytes: Memory that the reply counts for.
        ended_s: Time at which the call was done or withdrawn.
    """

    state: CallState
    fingerprint: int
    reply: Reply | None = None
    reply_bytes: int = 0
    ended_s: float = 0.0


class ReplyLimits(NamedTuple):
    """Bounds of the table.

    Attributes:
        max_calls: Most calls known at a time.
        max_reply_bytes: Most bytes of kept replies.
        retention_s: Time for which an ended call is kept.
    """

    max_calls: int = 20_000
    max_reply_bytes: int = 16 * 1024 * 1024
    retention_s: float = RETENTION_S


class CallAction(Enum):
    """What to do with a call that arrives."""

    RUN = "run"
    JOIN = "join"
    REPLAY = "replay"


class ReplyTable(Generic[Reply]):
    """Decides whether a call runs, joins a running one, or is replayed.

    A call that is not in the table has never arrived in this life of the
    agent, provided that it is younger than the retention time; an older one
    is refused. A full table refuses new calls rather than forget young ones.

    Args:
        limits: Bounds of the table.
    """

    def __init__(self, limits: ReplyLimits = ReplyLimits()) -> None:
        self._limits = limits
        self._records_by_id: dict[RequestId, CallRecord[Reply]] = {}
        self._ended: OrderedDict[RequestId, None] = OrderedDict()
        self._reply_bytes = 0

    def __len__(self) -> int:
        return len(self._records_by_id)

    def get(self, request_id: RequestId) -> CallRecord[Reply] | None:
        """Returns what is known of a call."""
        return self._records_by_id.get(request_id)

    def admit(
        self, request_id: RequestId, fingerprint: int, age_s: float, now: float
    ) -> Result[CallAction, Refusal]:
        """Decides on a call that arrives.

        Args:
            request_id: Identity of the call, the same for all its attempts.
            fingerprint: Digest of what is called.
            age_s: Time since the call was first accepted.
            now: Present time in s.

        Returns:
            What to do, or a refusal that tells truly whether the call ran.
        """
        self._forget_old(now)
        record = self._records_by_id.get(request_id)
        if record is not None:
            return self._admit_known(record, fingerprint)
        if age_s >= self._limits.retention_s:
            text = "too old to know whether it ran"
            return Error(Refusal(ErrorCode.UPSTREAM_LOST, text, Ran.UNKNOWN))
        full = len(self._records_by_id) >= self._limits.max_calls
        if full or self._reply_bytes >= self._limits.max_reply_bytes:
            return Error(Refusal(ErrorCode.TABLE_FULL, "the table of calls is full"))
        self._records_by_id[request_id] = CallRecord(CallState.RUNNING, fingerprint)
        return Ok(CallAction.RUN)

    def finish(
        self, request_id: RequestId, reply: Reply, reply_bytes: int, now: float
    ) -> None:
        """Keeps the reply of a call that has run."""
        record = self._records_by_id[request_id]
        record.state = CallState.DONE
        record.reply = reply
        record.reply_bytes = reply_bytes
        record.ended_s = now
        self._reply_bytes += reply_bytes
        self._ended[request_id] = None

    def withdraw(self, request_id: RequestId, now: float) -> None:
        """Notes that an admitted call was never sent to the upstream."""
        record = self._records_by_id[request_id]
        record.state = CallState.WITHDRAWN
        record.ended_s = now
        self._ended[request_id] = None

    def _admit_known(
        self, record: CallRecord[Reply], fingerprint: int
    ) -> Result[CallAction, Refusal]:
        if record.state is CallState.WITHDRAWN:
            return Error(Refusal(ErrorCode.CONFLICT, "given up before it ran"))
        if record.fingerprint != fingerprint:
            text = "the same key came with another request"
            return Error(Refusal(ErrorCode.KEY_REUSED, text))
        if record.state is CallState.RUNNING:
            return Ok(CallAction.JOIN)
        return Ok(CallAction.REPLAY)

    def _forget_old(self, now: float) -> None:
        while self._ended:
            request_id = next(iter(self._ended))
            record = self._records_by_id[request_id]
            if now - record.ended_s < self._limits.retention_s:
                return
            del self._ended[request_id]
            del self._records_by_id[request_id]
            self._reply_bytes -= record.reply_bytes
