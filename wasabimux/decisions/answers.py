"""What an upstream's answer says of the request that waits for it.

An upstream may write an answer twice, the second time where the next answer is due. So
an answer counts only for the request whose identity it bears.
"""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

#: Status of a process that is not the requested upstream, or no longer in its phase.
STATUS_MISDIRECTED = 421


#: Statuses from which a response is a failure of the upstream.
STATUS_SERVER_ERROR = 500


class AnswerVerdict(Enum):
    """What an answer says of a request.

    Attributes:
        FOREIGN: Nothing; it belongs to another request.
        ANONYMOUS: Nothing; it bears no identity.
        NOT_RUN: The upstream has not run the request and never will.
        MISDIRECTED: The same, as the request is for another process or phase.
        RAN: The upstream has run the request; the status tells how that ended.
        UNSIGNED: It belongs to the request, but not to a run of it.
    """

    FOREIGN = "foreign"
    ANONYMOUS = "anonymous"
    NOT_RUN = "not_run"
    MISDIRECTED = "misdirected"
    RAN = "ran"
    UNSIGNED = "unsigned"

    @property
    def is_own(self) -> bool:
        """True if the answer belongs to the request."""
        return self not in (AnswerVerdict.FOREIGN, AnswerVerdict.ANONYMOUS)

    @property
    def proves_not_run(self) -> bool:
        """True if the upstream has not run the request and never will."""
        return self in (AnswerVerdict.NOT_RUN, AnswerVerdict.MISDIRECTED)


class ResponseMetadata(NamedTuple):
    """Metadata in the headers of an upstream's response.

    Attributes:
        id: Identity of the request that the response belongs to, None if not given.
        signed: True if the response carries an upstream's signature.
        not_executed: True if the request was not and will not be executed.
        rate_limit_per_s: Requests per s that the upstream takes from all relays
            together, None if it names no limit.
    """

    id: str | None
    signed: bool
    not_executed: bool
    rate_limit_per_s: float | None = None


def judge_answer(
    request_id: str, status: int, metadata: ResponseMetadata
) -> AnswerVerdict:
    """Returns what an answer says of the request that waits for it.

    Args:
        request_id: Identity of the request.
        status: HTTP status of the answer.
        metadata: Metadata of the answer.
    """
    if metadata.id is None:
        return AnswerVerdict.ANONYMOUS
    if metadata.id != request_id:
        return AnswerVerdict.FOREIGN
    if metadata.not_executed:
        is_misdirected = status == STATUS_MISDIRECTED
        return AnswerVerdict.MISDIRECTED if is_misdirected else AnswerVerdict.NOT_RUN
    if metadata.signed:
        return AnswerVerdict.RAN
    if status == STATUS_MISDIRECTED:
        return AnswerVerdict.MISDIRECTED
    return AnswerVerdict.UNSIGNED
