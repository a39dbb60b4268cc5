"""Identifier types shared by every module."""

from __future__ import annotations

import secrets
from typing import NewType

RequestId = NewType("RequestId", str)
WorkspaceId = NewType("WorkspaceId", str)
UpstreamId = NewType("UpstreamId", str)
GroupId = NewType("GroupId", str)
RouteId = NewType("RouteId", str)
FailureDomainId = NewType("FailureDomainId", str)
InstanceId = NewType("InstanceId", str)
KeyDigest = NewType("KeyDigest", str)
ModelName = NewType("ModelName", str)

#: Number that tells two lives of one process apart. Never zero.
Incarnation = NewType("Incarnation", int)

#: Version of the accepted settings. Only ever increases.
SettingsVersion = NewType("SettingsVersion", int)

REQUEST_ID_BYTES = 12
INCARNATION_BITS = 63


def new_request_id() -> RequestId:
    """Makes an identifier that no other request has."""
    return RequestId(secrets.token_hex(REQUEST_ID_BYTES))


def new_incarnation() -> Incarnation:
    """Makes the incarnation number of a process that starts."""
    return Incarnation(secrets.randbits(INCARNATION_BITS) | 1)
