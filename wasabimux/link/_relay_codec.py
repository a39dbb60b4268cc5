"""Encoders and decoders of messages among relays, for the Cap'n Proto frames."""

from __future__ import annotations

from typing import Any

from wasabimux.link.messages import (
    ForwardedObject,
    ForwardedObjects,
    KindRevision,
    RelayAddresses,
    RelayUsage,
    SlotGrantReply,
    SlotGrantRequest,
    UpstreamUsage,
    WorkspaceUsage,
)

MAX_UINT16 = 2**16 - 1
MAX_UINT32 = 2**32 - 1


def encode_relay_addresses(builder: Any, message: RelayAddresses) -> None:
    """Encodes the addresses of relays."""
    addresses = builder.init("relayMembers", len(message.addresses))
    for index, address in enumerate(message.addresses):
        addresses[index] = address


def encode_relay_usage(builder: Any, message: RelayUsage) -> None:
    """Encodes the usage of a relay."""
    usage = builder.init("relayUse")
    usage.waiting = min(message.waiting, MAX_UINT16)
    usage.inTouch = message.store_reachable
    usage.ageMs = min(round(message.age_s * 1000), MAX_UINT32)
    workspaces = usage.init("workspaces", len(message.workspaces))
    for target, workspace_usage in zip(workspaces, message.workspaces):
        target.workspace, target.charged, target.reserved = workspace_usage
    upstreams = usage.init("upstreams", len(message.upstreams))
    for target, upstream_usage in zip(upstreams, message.upstreams):
        upstream, running, forecast, target.changing, target.resting = upstream_usage
        target.upstream = upstream
        target.running = min(running, MAX_UINT16)
        target.tokens = [max(0, int(tokens)) for tokens in forecast]
    revisions = usage.init("revisions", len(message.revisions))
    for target, (kind, revision) in zip(revisions, message.revisions):
        target.kind = kind
        target.revision = revision


def encode_slot_grant_request(builder: Any, message: SlotGrantRequest) -> None:
    """Encodes a relay's request for a slot to the owner of an engine."""
    request = builder.init("slotAsk")
    request.number, request.upstream, forecast = message
    request.tokens = [max(0, int(tokens)) for tokens in forecast]


def encode_slot_grant_reply(builder: Any, message: SlotGrantReply) -> None:
    """Encodes the owner's reply to a slot request."""
    reply = builder.init("slotAnswer")
    reply.number, reply.granted = message


def decode_slot_grant_request(item: Any) -> SlotGrantRequest:
    """Decodes a relay's request for a slot to the owner of an engine."""
    request = item.slotAsk
    return SlotGrantRequest(request.number, request.upstream, tuple(request.tokens))


def decode_slot_grant_reply(item: Any) -> SlotGrantReply:
    """Decodes the owner's reply to a slot request."""
    reply = item.slotAnswer
    return SlotGrantReply(reply.number, reply.granted)


def encode_forwarded_objects(builder: Any, message: ForwardedObjects) -> None:
    """Encodes forwarded platform objects."""
    forwarded = builder.init("relayObjects")
    forwarded.kind = message.kind
    forwarded.revision = message.revision
    forwarded.whole = message.is_snapshot
    objects = forwarded.init("objects", len(message.objects))
    for target, (name, revision, deleted, value) in zip(objects, message.objects):
        target.name = name
        target.revision = revision
        target.deleted = deleted
        target.value = value


def decode_relay_usage(item: Any) -> RelayUsage:
    """Decodes the usage of a relay."""
    usage = item.relayUse
    return RelayUsage(
        tuple(
            WorkspaceUsage(source.workspace, source.charged, source.reserved)
            for source in usage.workspaces
        ),
        tuple(
            UpstreamUsage(
                source.upstream,
                source.running,
                tuple(source.tokens),
                source.changing,
                source.resting,
            )
            for source in usage.upstreams
        ),
        tuple(KindRevision(source.kind, source.revision) for source in usage.revisions),
        usage.waiting,
        usage.ageMs / 1000,
        usage.inTouch,
    )


def decode_forwarded_objects(item: Any) -> ForwardedObjects:
    """Decodes forwarded platform objects."""
    forwarded = item.relayObjects
    return ForwardedObjects(
        forwarded.kind,
        forwarded.revision,
        forwarded.whole,
        tuple(
            ForwardedObject(source.name, source.revision, source.deleted, source.value)
            for source in forwarded.objects
        ),
    )
