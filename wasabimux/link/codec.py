"""Encodes and decodes the messages of a link as Cap'n Proto frames."""

from __future__ import annotations

from collections.abc import Sequence
from pathlib import Path
from typing import Any, Callable, NamedTuple

import capnp

from wasabimux.decisions.rate import GrantDecision, GrantOutcome, GrantReport, Spent
from wasabimux.link._relay_codec import (
    decode_ended_charges,
    decode_engine_crashes,
    decode_forwarded_objects,
    decode_place_release,
    decode_place_reply,
    decode_place_request,
    decode_relay_identity,
    decode_relay_report,
    decode_slot_grant_reply,
    decode_slot_grant_request,
    decode_versions_seen,
    encode_desired_state_offer,
    encode_ended_charges,
    encode_engine_crashes,
    encode_forwarded_objects,
    encode_place_release,
    encode_place_reply,
    encode_place_request,
    encode_relay_identity,
    encode_relay_report,
    encode_slot_grant_reply,
    encode_slot_grant_request,
    encode_slot_release,
    encode_versions_seen,
)
from wasabimux.link.messages import (
    Cancel,
    Credit,
    Data,
    DesiredStateOffer,
    EndedCharges,
    EndStream,
    EngineCrashes,
    ForwardedObjects,
    FrameItem,
    GrantReply,
    GrantRequest,
    Hello,
    KvSource,
    LoadReport,
    Message,
    OpenStream,
    Operation,
    Ping,
    PlaceRelease,
    PlaceReply,
    PlaceRequest,
    RelayIdentity,
    RelayLeaving,
    RelayReport,
    ResponseHead,
    SettingsRequest,
    SettingsUpdate,
    ShardClaim,
    ShardClaimReply,
    ShardHolderHint,
    ShardHolderRequest,
    SlotGrantReply,
    SlotGrantRequest,
    SlotRelease,
    VersionsSeen,
    refusal_from_wire,
)
from wasabimux.ports import Headers

capnp.remove_import_hook()
_schema = capnp.load(str(Path(__file__).with_name("wire.capnp")))

MAX_UINT32 = 2**32 - 1

#: Errors of values that the schema cannot hold.
ENCODING_ERRORS = (capnp.KjException, ValueError, OverflowError, TypeError)


class CodecError(Exception):
    """A received frame cannot be decoded, or a message cannot be encoded."""


class Frame(NamedTuple):
    """The messages of one frame.

    Attributes:
        clock: Hybrid logical clock of the sender.
        items: Messages with their streams, in the order sent.
    """

    clock: int
    items: list[FrameItem]


def encode_frame(clock: int, items: Sequence[FrameItem]) -> bytes:
    """Encodes items as the body of one frame, without the length prefix.

    Raises:
        CodecError: The schema cannot hold a value of a message.
    """
    frame = _schema.Frame.new_message()
    frame.clock = clock
    builders = frame.init("items", len(items))
    for builder, item in zip(builders, items):
        builder.stream = item.stream_id
        try:
            _ENCODERS[type(item.message)](builder, item.message)
        except ENCODING_ERRORS as error:
            raise CodecError(f"{type(item.message).__name__}: {error}") from error
    return frame.to_bytes()


def decode_frame(body: bytes) -> Frame:
    """Decodes the body of a frame.

    Raises:
        CodecError: The body is not a frame of this protocol.
    """
    try:
        with _schema.Frame.from_bytes(body) as frame:
            items = [
                FrameItem(item.stream, _decode_message(item)) for item in frame.items
            ]
            return Frame(frame.clock, items)
    except (capnp.KjException, KeyError, ValueError) as error:
        raise CodecError(str(error)) from error


def _encode_hello(builder: Any, message: Hello) -> None:
    hello = builder.init("hello")
    hello.protocol = message.protocol
    hello.role = message.role
    hello.name = message.name
    hello.incarnation = message.incarnation


def _encode_open(builder: Any, message: OpenStream) -> None:
    open_ = builder.init("open")
    open_.operation = message.operation.value
    open_.requestId = message.request_id
    open_.attempt = message.attempt
    open_.workspace = message.workspace
    open_.budgetMs = min(max(message.budget_ms, 0), MAX_UINT32)
    open_.ageMs = min(max(message.age_ms, 0), MAX_UINT32)
    open_.incarnation = message.incarnation
    open_.method = message.method
    open_.target = message.target
    _encode_headers(open_, message.headers)
    open_.body = message.body
    open_.patient = message.patient
    open_.repeatable = message.repeatable
    open_.weight = message.weight
    open_.cost = message.cost
    open_.slotBudgetMs = min(max(message.slot_budget_ms, 0), MAX_UINT32)


def _encode_head(builder: Any, message: ResponseHead) -> None:
    head = builder.init("head")
    head.status = message.status
    _encode_headers(head, message.headers)
    head.body = message.body


def _encode_headers(builder: Any, headers: Headers) -> None:
    if not headers:
        return
    for target, (name, value) in zip(builder.init("headers", len(headers)), headers):
        target.name = name
        target.value = value


def _encode_data(builder: Any, message: Data) -> None:
    data = builder.init("data")
    data.sequence = message.sequence
    data.payload = message.payload


def _encode_end(builder: Any, message: EndStream) -> None:
    end = builder.init("end")
    end.promptTokens = message.prompt_tokens
    end.outputTokens = message.output_tokens
    end.ok = message.refusal is None
    if message.refusal is not None:
        end.code = message.refusal.code.value
        end.message = message.refusal.message
        end.ran = message.refusal.ran.value
        end.retryAfterMs = round((message.refusal.retry_after_s or 0) * 1000)


def _encode_credit(builder: Any, message: Credit) -> None:
    builder.credit = message.size


def _encode_cancel(builder: Any, message: Cancel) -> None:
    builder.cancel = None


def _encode_ping(builder: Any, message: Ping) -> None:
    builder.ping = None


def _encode_settings(builder: Any, message: SettingsUpdate) -> None:
    settings = builder.init("settings")
    settings.version = message.version
    settings.value = message.value
    settings.ageMs = min(message.age_ms, MAX_UINT32)


def _encode_load(builder: Any, message: LoadReport) -> None:
    load = builder.init("load")
    load.limit = message.limit
    load.running = message.running
    load.waiting = message.waiting
    load.accepting = message.accepting


def _encode_kv_source(builder: Any, message: KvSource) -> None:
    source = builder.init("kvSource")
    source.address = message.address
    source.handle = message.handle
    source.promptTokens = message.prompt_tokens
    source.cachedTokens = message.cached_tokens


def _encode_settings_request(builder: Any, message: SettingsRequest) -> None:
    builder.settingsWanted = None


def _encode_grant_request(builder: Any, message: GrantRequest) -> None:
    request = builder.init("grantAsk")
    request.askId = message.correlation_id
    request.workspace = message.workspace
    request.needed = message.needed
    request.wanted = message.wanted
    request.refunded = message.report.refunded
    spent = message.report.spent
    for target, (grant, tokens) in zip(request.init("spent", len(spent)), spent):
        target.grant = grant
        target.tokens = tokens


def _encode_grant_reply(builder: Any, message: GrantReply) -> None:
    reply = builder.init("grantReply")
    reply.askId = message.correlation_id
    reply.outcome = message.decision.outcome.value
    reply.tokens = message.decision.tokens
    reply.grant = message.decision.grant
    reply.retryAfterMs = min(round(message.decision.retry_after_s * 1000), MAX_UINT32)


def _encode_shard_claim(builder: Any, message: ShardClaim) -> None:
    claim = builder.init("claim")
    claim.shard = message.shard
    claim.epoch = message.epoch


def _encode_shard_claim_reply(builder: Any, message: ShardClaimReply) -> None:
    reply = builder.init("claimReply")
    reply.shard = message.shard
    reply.epoch = message.epoch


def _encode_shard_holder_request(builder: Any, message: ShardHolderRequest) -> None:
    builder.holderWanted = message.shard


def _encode_shard_holder_hint(builder: Any, message: ShardHolderHint) -> None:
    hint = builder.init("holderHint")
    hint.shard = message.shard
    hint.name = message.name
    hint.incarnation = message.incarnation
    hint.address = message.address


def _encode_relay_leaving(builder: Any, message: RelayLeaving) -> None:
    builder.relayLeaving = None


_ENCODERS: dict[type, Callable[[Any, Any], None]] = {
    Hello: _encode_hello,
    OpenStream: _encode_open,
    ResponseHead: _encode_head,
    Data: _encode_data,
    EndStream: _encode_end,
    Credit: _encode_credit,
    Cancel: _encode_cancel,
    Ping: _encode_ping,
    SettingsUpdate: _encode_settings,
    LoadReport: _encode_load,
    KvSource: _encode_kv_source,
    SettingsRequest: _encode_settings_request,
    GrantRequest: _encode_grant_request,
    GrantReply: _encode_grant_reply,
    ShardClaim: _encode_shard_claim,
    ShardClaimReply: _encode_shard_claim_reply,
    ShardHolderRequest: _encode_shard_holder_request,
    ShardHolderHint: _encode_shard_holder_hint,
    RelayIdentity: encode_relay_identity,
    RelayReport: encode_relay_report,
    ForwardedObjects: encode_forwarded_objects,
    SlotGrantRequest: encode_slot_grant_request,
    SlotGrantReply: encode_slot_grant_reply,
    SlotRelease: encode_slot_release,
    DesiredStateOffer: encode_desired_state_offer,
    EngineCrashes: encode_engine_crashes,
    VersionsSeen: encode_versions_seen,
    EndedCharges: encode_ended_charges,
    PlaceRequest: encode_place_request,
    PlaceReply: encode_place_reply,
    PlaceRelease: encode_place_release,
    RelayLeaving: _encode_relay_leaving,
}


def _decode_message(item: Any) -> Message:
    message_kind = str(item.which())
    if message_kind == "data":  # checked first, as nearly all messages are data
        return Data(item.data.sequence, item.data.payload)
    return _DECODERS[message_kind](item)


def _decode_headers(headers: Any) -> Headers:
    return [(header.name, header.value) for header in headers]


def _decode_hello(item: Any) -> Hello:
    hello = item.hello
    return Hello(hello.role, hello.name, hello.incarnation, hello.protocol)


def _decode_open(item: Any) -> OpenStream:
    open_ = item.open
    return OpenStream(
        operation=Operation(str(open_.operation)),
        request_id=open_.requestId,
        attempt=open_.attempt,
        workspace=open_.workspace,
        budget_ms=open_.budgetMs,
        age_ms=open_.ageMs,
        incarnation=open_.incarnation,
        method=open_.method,
        target=open_.target,
        headers=_decode_headers(open_.headers),
        body=open_.body,
        patient=open_.patient,
        repeatable=open_.repeatable,
        weight=open_.weight,
        cost=open_.cost,
        slot_budget_ms=open_.slotBudgetMs,
    )


def _decode_head(item: Any) -> ResponseHead:
    head = item.head
    return ResponseHead(head.status, _decode_headers(head.headers), head.body)


def _decode_end(item: Any) -> EndStream:
    end = item.end
    refusal = None
    if not end.ok:
        refusal = refusal_from_wire(end.code, end.message, end.ran, end.retryAfterMs)
    return EndStream(refusal, end.promptTokens, end.outputTokens)


def _decode_settings(item: Any) -> SettingsUpdate:
    settings = item.settings
    return SettingsUpdate(settings.version, settings.value, settings.ageMs)


def _decode_load(item: Any) -> LoadReport:
    load = item.load
    return LoadReport(load.limit, load.running, load.waiting, load.accepting)


def _decode_kv_source(item: Any) -> KvSource:
    source = item.kvSource
    return KvSource(
        source.address, source.handle, source.promptTokens, source.cachedTokens
    )


def _decode_grant_request(item: Any) -> GrantRequest:
    request = item.grantAsk
    spent = [Spent(item.grant, item.tokens) for item in request.spent]
    report = GrantReport(spent, request.refunded)
    return GrantRequest(
        request.askId, request.workspace, request.needed, request.wanted, report
    )


def _decode_grant_reply(item: Any) -> GrantReply:
    reply = item.grantReply
    decision = GrantDecision(
        GrantOutcome(reply.outcome),
        reply.tokens,
        reply.grant,
        reply.retryAfterMs / 1000,
    )
    return GrantReply(reply.askId, decision)


def _decode_shard_holder_hint(item: Any) -> ShardHolderHint:
    hint = item.holderHint
    return ShardHolderHint(hint.shard, hint.name, hint.incarnation, hint.address)


_DECODERS: dict[str, Callable[[Any], Message]] = {
    "hello": _decode_hello,
    "open": _decode_open,
    "head": _decode_head,
    "end": _decode_end,
    "credit": lambda item: Credit(item.credit),
    "cancel": lambda item: Cancel(),
    "ping": lambda item: Ping(),
    "settings": _decode_settings,
    "load": _decode_load,
    "kvSource": _decode_kv_source,
    "settingsWanted": lambda item: SettingsRequest(),
    "grantAsk": _decode_grant_request,
    "grantReply": _decode_grant_reply,
    "holderWanted": lambda item: ShardHolderRequest(item.holderWanted),
    "holderHint": _decode_shard_holder_hint,
    "relayIdentity": decode_relay_identity,
    "relayReport": decode_relay_report,
    "relayObjects": decode_forwarded_objects,
    "slotAsk": decode_slot_grant_request,
    "slotAnswer": decode_slot_grant_reply,
    "engineCrashes": decode_engine_crashes,
    "versionsSeen": decode_versions_seen,
    "endedCharges": decode_ended_charges,
    "placeAsk": decode_place_request,
    "placeAnswer": decode_place_reply,
    "placeRelease": decode_place_release,
    "desiredOffer": lambda item: DesiredStateOffer(item.desiredOffer),
    "slotRelease": lambda item: SlotRelease(item.slotRelease),
    "relayLeaving": lambda item: RelayLeaving(),
    "claim": lambda item: ShardClaim(item.claim.shard, item.claim.epoch),
    "claimReply": lambda item: ShardClaimReply(
        item.claimReply.shard, item.claimReply.epoch
    ),
}
