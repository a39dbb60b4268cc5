"""Encoders and decoders of messages among relays, for the Cap'n Proto frames."""

from __future__ import annotations

import math
from typing import Any

from wasabimux.decisions.aggregation import Scope, UsageReport
from wasabimux.decisions.crash_attribution import CrashEvidence, CrashId
from wasabimux.decisions.ended_charges import EndedCharge
from wasabimux.decisions.memory_forecast import ZERO_FORECAST
from wasabimux.decisions.shared_bucket import BucketUsage
from wasabimux.decisions.stream_versions import StreamVersion
from wasabimux.decisions.told_load import MAX_SLOWNESS, MIN_SLOWNESS, ToldLoad
from wasabimux.decisions.usage_sums import UpstreamLoad, Usage
from wasabimux.decisions.version_samples import AnswerSample, Measure, SampleKey
from wasabimux.ids import SoftwareVersion, StoreRevision, SuspectId, UpstreamId
from wasabimux.link.messages import (
    DesiredStateOffer,
    EndedCharges,
    EngineCrashes,
    ForwardedObject,
    ForwardedObjects,
    KindRevision,
    PlaceRelease,
    PlaceReply,
    PlaceRequest,
    PlaceState,
    RelayIdentity,
    RelayReport,
    SlotGrantReply,
    SlotGrantRequest,
    SlotRelease,
    VersionsSeen,
)

#: Values of the measures that this version knows.
MEASURES = frozenset(measure.value for measure in Measure)

#: Values of the states of a call in a line.
PLACE_STATES = frozenset(state.value for state in PlaceState)

#: Longest time in s that a call can be told to have taken.
MAX_TOOK_S = 3_600.0

MAX_UINT16 = 2**16 - 1
MAX_UINT32 = 2**32 - 1


def encode_relay_identity(builder: Any, message: RelayIdentity) -> None:
    """Encodes the identity of a relay."""
    identity = builder.init("relayIdentity")
    identity.address, identity.domain = message


def decode_relay_identity(item: Any) -> RelayIdentity:
    """Decodes the identity of a relay."""
    return RelayIdentity(item.relayIdentity.address, item.relayIdentity.domain)


def encode_relay_report(builder: Any, message: RelayReport) -> None:
    """Encodes a report of usage."""
    target = builder.init("relayReport")
    report = message.report
    target.scope = report.scope.value
    target.sequence = report.sequence
    target.included = report.included_sequence
    target.relays = report.relay_count
    target.silent = report.silent_count
    target.inTouch = report.store_reachable
    target.leads = report.leads
    _encode_usage(target, report.usage)
    revisions = target.init("revisions", len(message.revisions))
    for item, (kind, revision) in zip(revisions, message.revisions):
        item.kind = kind
        item.era, item.revision = revision
    target.aggregators = list(message.aggregators)
    target.desiredVersion = message.desired_version


def _encode_usage(target: Any, usage: Usage) -> None:
    target.waiting = min(usage.waiting, MAX_UINT32)
    samples = target.init("samples", len(usage.samples))
    for item, (key, sample) in zip(samples, usage.samples.items()):
        item.service, item.software, item.upstream, item.route = key[:4]
        item.measure = key.measure.value
        item.answers, item.failures, item.logTime, item.logTimeSquared = sample
    workspaces = target.init("workspaces", len(usage.bucket_by_workspace))
    for item, (workspace, bucket) in zip(workspaces, usage.bucket_by_workspace.items()):
        item.workspace = workspace
        item.charged, item.reserved, item.asked, item.returning = bucket
    upstreams = target.init("upstreams", len(usage.load_by_upstream))
    for item, (upstream, load) in zip(upstreams, usage.load_by_upstream.items()):
        item.upstream = upstream
        item.running = min(load.running, MAX_UINT32)
        item.tokens = list(map(_to_uint32, load.memory))
        item.changing = min(load.changing_phase, MAX_UINT16)
        item.backingOff = min(load.backing_off, MAX_UINT16)
        item.largest = _to_uint32(load.largest_memory)


def decode_relay_report(item: Any) -> RelayReport:
    """Decodes a report of usage."""
    source = item.relayReport
    report = UsageReport(
        Scope(source.scope.raw),
        _decode_usage(source),
        source.sequence,
        source.included,
        source.relays,
        source.silent,
        source.inTouch,
        source.leads,
    )
    return RelayReport(
        report,
        tuple(
            KindRevision(entry.kind, _decode_revision(entry))
            for entry in source.revisions
        ),
        tuple(source.aggregators),
        source.desiredVersion,
    )


def _decode_usage(source: Any) -> Usage:
    return Usage(
        {
            item.workspace: BucketUsage(
                item.charged, item.reserved, item.asked, item.returning
            )
            for item in source.workspaces
        },
        {item.upstream: _decode_load(item) for item in source.upstreams},
        source.waiting,
        dict(filter(None, map(_decode_sample, source.samples))),
    )


def _decode_sample(item: Any) -> tuple[SampleKey, AnswerSample] | None:
    """Decodes a sample; None if it is of another version, or holds no numbers."""
    sample = AnswerSample(
        item.answers,
        min(item.failures, item.answers),
        item.logTime,
        item.logTimeSquared,
    )
    if item.measure not in MEASURES or not all(map(math.isfinite, sample)):
        return None
    names = (item.service, item.software, item.upstream, item.route)
    return SampleKey(*names, Measure(item.measure)), sample


def _decode_load(item: Any) -> UpstreamLoad:
    memory = tuple(float(tokens) for tokens in item.tokens)
    if len(memory) != len(ZERO_FORECAST):
        memory = ZERO_FORECAST  # a sender of another version has other horizons
    return UpstreamLoad(
        item.running, memory, item.changing, item.backingOff, float(item.largest)
    )


def encode_slot_grant_request(builder: Any, message: SlotGrantRequest) -> None:
    """Encodes a relay's request for a slot to the owner of an engine."""
    request = builder.init("slotAsk")
    request.number, request.upstream, forecast = message
    request.tokens = list(map(_to_uint32, forecast))


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
    forwarded.era, forwarded.revision = message.revision
    forwarded.whole = message.is_snapshot
    forwarded.sinceEra, forwarded.sinceRevision = message.since
    objects = forwarded.init("objects", len(message.objects))
    for target, item in zip(objects, message.objects):
        target.name = item.name
        target.era, target.revision = item.revision
        target.deleted = item.deleted
        target.value = item.value
        target.keepMs = _to_uint32(item.keep_s * 1000)


def encode_desired_state_offer(builder: Any, message: DesiredStateOffer) -> None:
    """Encodes an offer of a desired state."""
    builder.desiredOffer = message.document


def encode_engine_crashes(builder: Any, message: EngineCrashes) -> None:
    """Encodes what a relay knows of crashes of upstreams."""
    target = builder.init("engineCrashes")
    target.complete = message.complete
    crashes = target.init("crashes", len(message.crashes))
    for item, evidence in zip(crashes, message.crashes):
        item.upstream, item.startedMs = evidence.crash
        item.ageMs = min(int(evidence.age_s * 1000), MAX_UINT32)
        item.suspects = sorted(evidence.suspects)
        item.cleared = sorted(evidence.cleared)


def decode_engine_crashes(item: Any) -> EngineCrashes:
    """Decodes what a relay knows of crashes of upstreams."""
    source = item.engineCrashes
    return EngineCrashes(
        source.complete,
        tuple(
            CrashEvidence(
                CrashId(UpstreamId(crash.upstream), crash.startedMs),
                crash.ageMs / 1000,
                frozenset(map(SuspectId, crash.suspects)),
                frozenset(map(SuspectId, crash.cleared)),
            )
            for crash in source.crashes
        ),
    )


def encode_versions_seen(builder: Any, message: VersionsSeen) -> None:
    """Encodes the software versions that may have begun streams."""
    target = builder.init("versionsSeen")
    versions = target.init("versions", len(message.versions))
    for item, version in zip(versions, message.versions):
        item.service, item.software = version


def decode_versions_seen(item: Any) -> VersionsSeen:
    """Decodes the software versions that may have begun streams."""
    return VersionsSeen(
        tuple(
            StreamVersion(entry.service, SoftwareVersion(entry.software))
            for entry in item.versionsSeen.versions
        )
    )


def encode_slot_release(builder: Any, message: SlotRelease) -> None:
    """Encodes the release of a slot."""
    builder.slotRelease = message.correlation_id


def decode_forwarded_objects(item: Any) -> ForwardedObjects:
    """Decodes forwarded platform objects."""
    forwarded = item.relayObjects
    return ForwardedObjects(
        forwarded.kind,
        _decode_revision(forwarded),
        forwarded.whole,
        tuple(
            ForwardedObject(
                source.name,
                _decode_revision(source),
                source.deleted,
                source.value,
                source.keepMs / 1000,
            )
            for source in forwarded.objects
        ),
        StoreRevision(forwarded.sinceEra, forwarded.sinceRevision),
    )


def _decode_revision(source: Any) -> StoreRevision:
    return StoreRevision(source.era, source.revision)


def _to_uint32(number: float) -> int:
    """Returns the nearest whole number that the schema can hold."""
    return int(min(max(0.0, number), MAX_UINT32))


def encode_ended_charges(builder: Any, message: EndedCharges) -> None:
    """Encodes charges of relays that have ended."""
    target = builder.init("endedCharges", len(message.charges))
    for item, charge in zip(target, message.charges):
        item.workspace = charge.workspace
        item.ageMs = min(int(charge.age_s * 1000), MAX_UINT32)
        item.tokens = charge.tokens


def decode_ended_charges(item: Any) -> EndedCharges:
    """Decodes charges of relays that have ended; tokens below 0 count as none."""
    return EndedCharges(
        tuple(
            EndedCharge(entry.workspace, entry.ageMs / 1000, max(0.0, entry.tokens))
            for entry in item.endedCharges
        )
    )


def encode_place_request(builder: Any, message: PlaceRequest) -> None:
    """Encodes a request for a place at an upstream."""
    target = builder.init("placeAsk")
    target.number, target.service = message.correlation_id, message.service
    target.workspace = message.workspace
    target.priority = message.priority
    target.beyondShare = message.beyond_share
    target.cameBack = message.came_back
    target.onTimeMs = int(1000 * message.on_time_s)
    target.endMs = max(0, int(1000 * message.end_s))
    target.avoid = list(message.avoid)


def decode_place_request(item: Any) -> PlaceRequest:
    """Decodes a request for a place at an upstream."""
    source = item.placeAsk
    return PlaceRequest(
        source.number,
        source.service,
        source.workspace,
        source.priority,
        source.beyondShare,
        source.cameBack,
        source.onTimeMs / 1000,
        source.endMs / 1000,
        tuple(source.avoid),
    )


def encode_place_reply(builder: Any, message: PlaceReply) -> None:
    """Encodes the reply to a request for a place."""
    target = builder.init("placeAnswer")
    target.number, target.state = message.correlation_id, message.state.value
    target.upstream = message.upstream
    target.retryMs = int(1000 * message.retry_after_s)


def decode_place_reply(item: Any) -> PlaceReply:
    """Decodes the reply to a request for a place; an unknown state is a wait."""
    source = item.placeAnswer
    known = source.state in PLACE_STATES
    state = PlaceState(source.state) if known else PlaceState.WAITS
    return PlaceReply(source.number, state, source.upstream, source.retryMs / 1000)


def encode_place_release(builder: Any, message: PlaceRelease) -> None:
    """Encodes the release of a place."""
    target = builder.init("placeRelease")
    target.number, target.tookMs = message.correlation_id, 1000 * message.took_s
    if message.load is not None:
        target.running, target.waiting, target.slots, target.slowness = message.load


def decode_place_release(item: Any) -> PlaceRelease:
    """Decodes the release of a place; a time that is no time counts as none."""
    source = item.placeRelease
    took_s = source.tookMs / 1000
    if not 0.0 <= took_s <= MAX_TOOK_S:
        took_s = 0.0
    load = None
    if source.slots and MIN_SLOWNESS <= source.slowness <= MAX_SLOWNESS:
        load = ToldLoad(source.running, source.waiting, source.slots, source.slowness)
    return PlaceRelease(source.number, took_s, load)
