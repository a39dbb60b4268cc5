"""Encoders and decoders of the messages among relays."""

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
    """Writes the addresses of relays."""
    addresses = builder.init("relayMembers", len(message.addresses))
    for index, address in enumerate(message.addresses):
        addresses[index] = address


def encode_relay_usage(builder: Any, message: RelayUsage) -> None:
    """Writes what a relay uses."""
    use = builder.init("relayUse")
    use.waiting = min(message.waiting, MAX_UINT16)
    use.inTouch = message.store_reachable
    use.ageMs = min(round(message.age_s * 1000), MAX_UINT32)
    workspaces = use.init("workspaces", len(message.workspaces))
    for target, share in zip(workspaces, message.workspaces):
        target.workspace, target.charged, target.reserved = share
    upstreams = use.init("upstreams", len(message.upstreams))
    for target, part in zip(upstreams, message.upstreams):
        upstream, running, tokens, target.changing, target.resting = part
        target.upstream = upstream
        target.running = min(running, MAX_UINT16)
        target.tokens = [max(0, int(number)) for number in tokens]
    revisions = use.init("revisions", len(message.revisions))
    for target, (kind, revision) in zip(revisions, message.revisions):
        target.kind = kind
        target.revision = revision


def encode_slot_grant_request(builder: Any, message: SlotGrantRequest) -> None:
    """Writes what a relay asks an owner for."""
    request = builder.init("slotAsk")
    request.number, request.upstream, tokens = message
    request.tokens = [max(0, int(number)) for number in tokens]


def encode_slot_grant_reply(builder: Any, message: SlotGrantReply) -> None:
    """Writes an owner's reply."""
    reply = builder.init("slotAnswer")
    reply.number, reply.granted = message


def decode_slot_grant_request(item: Any) -> SlotGrantRequest:
    """Reads what a relay asks an owner for."""
    request = item.slotAsk
    return SlotGrantRequest(request.number, request.upstream, tuple(request.tokens))


def decode_slot_grant_reply(item: Any) -> SlotGrantReply:
    """Reads an owner's reply."""
    reply = item.slotAnswer
    return SlotGrantReply(reply.number, reply.granted)


def encode_forwarded_objects(builder: Any, message: ForwardedObjects) -> None:
    """Writes objects that are passed on."""
    relayed = builder.init("relayObjects")
    relayed.kind = message.kind
    relayed.revision = message.revision
    relayed.whole = message.is_snapshot
    objects = relayed.init("objects", len(message.objects))
    for target, (name, revision, deleted, value) in zip(objects, message.objects):
        target.name = name
        target.revision = revision
        target.deleted = deleted
        target.value = value


def decode_relay_usage(item: Any) -> RelayUsage:
    """Reads what a relay uses."""
    use = item.relayUse
    return RelayUsage(
        tuple(
            WorkspaceUsage(part.workspace, part.charged, part.reserved)
            for part in use.workspaces
        ),
        tuple(
            UpstreamUsage(
                part.upstream,
                part.running,
                tuple(part.tokens),
                part.changing,
                part.resting,
            )
            for part in use.upstreams
        ),
        tuple(KindRevision(part.kind, part.revision) for part in use.revisions),
        use.waiting,
        use.ageMs / 1000,
        use.inTouch,
    )


def decode_forwarded_objects(item: Any) -> ForwardedObjects:
    """Reads objects that are passed on."""
    relayed = item.relayObjects
    return ForwardedObjects(
        relayed.kind,
        relayed.revision,
        relayed.whole,
        tuple(
            ForwardedObject(part.name, part.revision, part.deleted, part.value)
            for part in relayed.objects
        ),
    )
