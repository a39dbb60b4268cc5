"""Encoders and decoders of the messages among relays."""

from __future__ import annotations

from typing import Any

from wasabimux.link.messages import (
    KindRevision,
    RelayMembers,
    RelayObject,
    RelayObjects,
    RelayUse,
    SlotAnswer,
    SlotAsk,
    UpstreamUse,
    WorkspaceUse,
)

RUNNING_MAX = 2**16 - 1
AGE_MS_MAX = 2**32 - 1


def encode_members(builder: Any, message: RelayMembers) -> None:
    """Writes the addresses of relays."""
    addresses = builder.init("relayMembers", len(message.addresses))
    for index, address in enumerate(message.addresses):
        addresses[index] = address


def encode_use(builder: Any, message: RelayUse) -> None:
    """Writes what a relay uses."""
    use = builder.init("relayUse")
    use.waiting = min(message.waiting, RUNNING_MAX)
    use.inTouch = message.in_touch
    use.ageMs = min(round(message.age_s * 1000), AGE_MS_MAX)
    workspaces = use.init("workspaces", len(message.workspaces))
    for target, share in zip(workspaces, message.workspaces):
        target.workspace, target.charged, target.reserved = share
    upstreams = use.init("upstreams", len(message.upstreams))
    for target, part in zip(upstreams, message.upstreams):
        upstream, running, tokens, target.changing, target.resting = part
        target.upstream = upstream
        target.running = min(running, RUNNING_MAX)
        target.tokens = [max(0, int(number)) for number in tokens]
    revisions = use.init("revisions", len(message.revisions))
    for target, (kind, revision) in zip(revisions, message.revisions):
        target.kind = kind
        target.revision = revision


def encode_slot_ask(builder: Any, message: SlotAsk) -> None:
    """Writes what a relay asks an owner for."""
    ask = builder.init("slotAsk")
    ask.number, ask.upstream, tokens = message
    ask.tokens = [max(0, int(number)) for number in tokens]


def encode_slot_answer(builder: Any, message: SlotAnswer) -> None:
    """Writes an owner's answer."""
    answer = builder.init("slotAnswer")
    answer.number, answer.granted = message


def decode_slot_ask(item: Any) -> SlotAsk:
    """Reads what a relay asks an owner for."""
    ask = item.slotAsk
    return SlotAsk(ask.number, ask.upstream, tuple(ask.tokens))


def decode_slot_answer(item: Any) -> SlotAnswer:
    """Reads an owner's answer."""
    answer = item.slotAnswer
    return SlotAnswer(answer.number, answer.granted)


def encode_objects(builder: Any, message: RelayObjects) -> None:
    """Writes objects that are passed on."""
    relayed = builder.init("relayObjects")
    relayed.kind = message.kind
    relayed.revision = message.revision
    relayed.whole = message.whole
    objects = relayed.init("objects", len(message.objects))
    for target, (name, revision, deleted, value) in zip(objects, message.objects):
        target.name = name
        target.revision = revision
        target.deleted = deleted
        target.value = value


def decode_use(item: Any) -> RelayUse:
    """Reads what a relay uses."""
    use = item.relayUse
    return RelayUse(
        tuple(
            WorkspaceUse(part.workspace, part.charged, part.reserved)
            for part in use.workspaces
        ),
        tuple(
            UpstreamUse(
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


def decode_objects(item: Any) -> RelayObjects:
    """Reads objects that are passed on."""
    relayed = item.relayObjects
    return RelayObjects(
        relayed.kind,
        relayed.revision,
        relayed.whole,
        tuple(
            RelayObject(part.name, part.revision, part.deleted, part.value)
            for part in relayed.objects
        ),
    )
