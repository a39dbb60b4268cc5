"""Identifier types shared by all modules."""

from __future__ import annotations

import secrets
from typing import NamedTuple, NewType

RequestId = NewType("RequestId", str)
WorkspaceId = NewType("WorkspaceId", str)
UpstreamId = NewType("UpstreamId", str)
GroupId = NewType("GroupId", str)
RouteId = NewType("RouteId", str)
FailureDomainId = NewType("FailureDomainId", str)
InstanceId = NewType("InstanceId", str)
KeyDigest = NewType("KeyDigest", str)
ModelName = NewType("ModelName", str)

#: Part of a prompt, which prompts with the same text share.
PromptPartId = NewType("PromptPartId", str)

#: What may cause crashes: a part of prompts at the engines of one service and phase, or
#: a whole request at any upstream. Two that differ in kind never have the same id.
SuspectId = NewType("SuspectId", str)

#: Version of the software that an upstream runs, not of a model's weights.
SoftwareVersion = NewType("SoftwareVersion", str)

#: Number that distinguishes restarts of one process. Never zero.
Incarnation = NewType("Incarnation", int)

#: Version of the accepted settings; increases monotonically.
SettingsVersion = NewType("SettingsVersion", int)

REQUEST_ID_BYTES = 12
INCARNATION_BITS = 63


def new_request_id() -> RequestId:
    """Returns a random request ID that is unique in practice."""
    return RequestId(secrets.token_hex(REQUEST_ID_BYTES))


def new_incarnation() -> Incarnation:
    """Returns a random incarnation number for a process that starts."""
    return Incarnation(secrets.randbits(INCARNATION_BITS) | 1)


class PeerRequestId(NamedTuple):
    """Identity of what one relay has requested of another.

    Attributes:
        relay: Address of the relay that requests.
        number: Number of the request, unique at that relay.
    """

    relay: str
    number: int


class StoreRevision(NamedTuple):
    """Revision of the platform's store; revisions compare by era first.

    A store that is restored from a copy loses its latest writes and gives their
    revisions out again, so a revision alone does not tell which write is newer.

    Attributes:
        era: Number of the store's history; it rises with each restore.
        number: Revision in that history.
    """

    era: int = 0
    number: int = 0

    def __str__(self) -> str:
        return f"{self.era}.{self.number}"


NO_REVISION = StoreRevision()
