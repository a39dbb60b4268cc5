"""Decodes the platform's JSON documents into the relay's types."""

from __future__ import annotations

import re
from collections.abc import Mapping
from typing import Any, Literal

import msgspec
from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field
from pydantic.alias_generators import to_camel

from wasabimux.decisions.rate import RateLimit
from wasabimux.decisions.rollout import RolloutOrder, RolloutStep
from wasabimux.ids import (
    FailureDomainId,
    SoftwareVersion,
    UpstreamId,
    WorkspaceId,
)
from wasabimux.json_parts import members
from wasabimux.platform.shapes import NOTHING, DocumentShape
from wasabimux.relay.model import (
    ClientLimits,
    DesiredState,
    EngineProfile,
    Phase,
    RelayRoute,
    RequestKind,
    RolloutRecord,
    ServiceProfile,
    UpstreamRecord,
    WeightedService,
    WorkspaceLimits,
)
from wasabimux.relay.ports import ObjectKinds
from wasabimux.settings.address import RemoteAddress
from wasabimux.settings.fields import EpochMs, Label, Name
from wasabimux.settings.findings import Finding, check_document

#: Kind of the desired states, and name of the only one that is in force.
DESIRED_STATE_KIND = "config"
DESIRED_STATE_NAME = "main"
UPSTREAM_KIND = "servers"
#: Kind of the evacuations, each named by a failure domain that receives no requests.
EVACUATION_KIND = "evacuations"

#: Kind of the roll-outs that operators order, each named by its service.
ROLLOUT_KIND = "rollouts"

#: Kinds of the relays' own objects.
RELAY_KIND = "wasabimux-relays"
LEASE_KIND = "wasabimux-leases"
QUARANTINE_KIND = "wasabimux-quarantines"
STREAM_KIND = "wasabimux-streams"

#: Unit of a rate limit that counts tokens instead of requests.
TOKEN_UNIT = "token_stream"

#: Clients disconnect from a stream after a time without an event. It is the maximum of
#: this minimum and these multiples of the route's target latency and target gap.
MIN_CLIENT_IDLE_TIMEOUT_S = 2.0
IDLE_TIMEOUT_TARGET_LATENCIES = 4
IDLE_TIMEOUT_TARGET_GAPS = 8

#: Names of upstreams that a header can carry.
UPSTREAM_NAME = re.compile(r"[!-~]{1,256}")

#: Highest version of a desired state, which JSON of all languages can hold.
MAX_VERSION = 2**53

#: Bounds of the numbers in the entry of an upstream.
MAX_SLOTS = 10_000
MAX_COLD_MS = 86_400_000
MAX_SEQUENCE = 2**53

#: Longest time limit of a roll-out.
MAX_ROLLOUT_S = 86_400.0


class _Document(BaseModel):
    """Base class of the documents: camelCase in JSON, unknown fields are ignored."""

    model_config = ConfigDict(
        extra="ignore", frozen=True, alias_generator=to_camel, populate_by_name=True
    )


class _Split(_Document):
    """Service that receives a fraction of a route's requests."""

    service: str
    weight: float


class _Route(_Document):
    """A route by host and path prefix."""

    name: str
    host: str
    path_prefix: str
    kind: Literal["safe", "unsafe", "stream"]
    timeout_ms: float
    target_latency_ms: float = 1_000.0
    target_gap_ms: float = 0.0
    max_attempts: int = 1
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Split] = Field(default_factory=list)
    public: bool = False
    resumable: bool = False

    def to_route(self) -> RelayRoute:
        services = [
            WeightedService(split.service, split.weight) for split in self.traffic_split
        ]
        if self.service is not None:
            services = [WeightedService(self.service, 1.0)]
        return RelayRoute(
            self.name,
            self.host.lower(),
            self.path_prefix,
            RequestKind(self.kind),
            tuple(services),
            self.timeout_ms / 1000,
            self.target_latency_ms / 1000,
            self.target_gap_ms / 1000,
            self.max_attempts,
            self.priority,
            self.public,
            self.resumable,
            self._client_idle_timeout_s(),
        )

    def _client_idle_timeout_s(self) -> float:
        latencies_s = IDLE_TIMEOUT_TARGET_LATENCIES * self.target_latency_ms / 1000
        gaps_s = IDLE_TIMEOUT_TARGET_GAPS * self.target_gap_ms / 1000
        return max(MIN_CLIENT_IDLE_TIMEOUT_S, latencies_s, gaps_s)


class _Engine(_Document):
    """Capacity and timing of the model engines of a service."""

    slots: int
    kv_capacity_tokens: int
    kv_retention_s: float
    #: Duration of a phase change.
    role_switch_s: float = 0.0
    #: Time after which a slot reservation expires.
    hold_ms: float = 0.0
    #: Tokens in one event of a stream.
    stride: int = 1

    def to_profile(self) -> EngineProfile:
        return EngineProfile(
            self.slots,
            self.kv_capacity_tokens,
            self.kv_retention_s,
            self.hold_ms / 1000,
            self.role_switch_s,
            self.stride,
        )


class _Service(_Document):
    """A group of interchangeable upstreams."""

    name: str
    max_connections: int = 0
    cold_start_s: float = 0.0
    #: Request rate that a cold upstream can handle, 0 for no limit.
    cold_per_s: float = 0.0
    engine: _Engine | None = None

    def to_profile(self) -> ServiceProfile:
        return ServiceProfile(
            self.name,
            self.max_connections,
            self.cold_start_s,
            self.cold_per_s,
            self.engine.to_profile() if self.engine else None,
        )


class _Tenant(_Document):
    """API keys, priority and rate limit of a workspace."""

    name: str
    api_keys: list[str] = Field(default_factory=list)
    priority: int | None = None
    unit: str = ""
    #: Tokens charged for a request without token counts.
    uncached_tokens: float = 1.0
    rate_per_s: float = 0.0
    burst: float = 0.0

    def to_limits(self) -> WorkspaceLimits:
        rate_limit = (
            RateLimit(self.rate_per_s, self.burst) if self.rate_per_s > 0 else None
        )
        return WorkspaceLimits(
            WorkspaceId(self.name),
            self.priority,
            rate_limit,
            self.unit == TOKEN_UNIT,
            self.uncached_tokens,
        )


class _Limits(_Document):
    """Limits on client requests and on idle client connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _DesiredState(_Document):
    """One version of the configuration that operators want to be in force."""

    version: int = Field(strict=True, ge=0, le=MAX_VERSION)
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] = Field(default_factory=list)


class _Server(_Document):
    """Entry that an upstream, or another writer, has registered."""

    model_config = ConfigDict(strict=True)

    service: Name
    address: RemoteAddress
    zone: Name
    slots: int = Field(ge=1, le=MAX_SLOTS)
    state: Literal["ready", "draining"]
    cold_remaining_ms: float = Field(ge=0, le=MAX_COLD_MS)
    phase: Literal["prefill", "decode"] | None = None
    #: Start of this incarnation, in ms since the epoch; 0 if unknown.
    born: EpochMs = 0
    sequence: int = Field(ge=0, le=MAX_SEQUENCE)
    #: Version of the software, not of the weights.
    version: Label


class _Rollout(_Document):
    """Order to move a service to a software version."""

    model_config = ConfigDict(strict=True)

    service: Name
    to: Label = Field(min_length=1)
    duration_s: float = Field(gt=0, le=MAX_ROLLOUT_S)


class _RolloutStatus(_Document):
    """What this system last wrote of a roll-out; `state` is what operators read."""

    state: Literal["running", "completed", "rolled_back"]
    to: str
    #: Step of a roll-out whose state is `running`.
    step: str = RolloutStep.TRIAL.value
    #: Time of day of the order, in ms since the epoch; 0 if unknown.
    begun_ms: EpochMs = 0

    def to_step(self) -> RolloutStep:
        if self.state != "running":
            return RolloutStep(self.state)
        is_moving = self.step == RolloutStep.MOVING.value
        return RolloutStep.MOVING if is_moving else RolloutStep.TRIAL


class _Crash(msgspec.Struct):
    """A crash in the document of a quarantine."""

    upstream: str
    started_ms: int


class _Quarantine(msgspec.Struct):
    """Document of a quarantine."""

    parts: list[str]
    crashes: list[_Crash]


class _VersionStreams(msgspec.Struct):
    """A version and its streams in the document of a relay's streams."""

    service: str
    software: str
    streams: list[str]


class _StreamRecords(msgspec.Struct):
    """Document of a relay's streams."""

    address: str
    versions: list[_VersionStreams]


def _aliases(model: type[BaseModel]) -> tuple[str, ...]:
    """Returns the names of a model's fields in JSON."""
    return tuple(field.alias or name for name, field in model.model_fields.items())


#: What relays read of the documents of each kind. The bounds are above what a document
#: that can be used may have.
SHAPE_BY_KIND: dict[str, DocumentShape] = {
    UPSTREAM_KIND: DocumentShape(_aliases(_Server), max_bytes=16_384),
    EVACUATION_KIND: NOTHING,
    RELAY_KIND: DocumentShape(("address", "failure_domain"), max_bytes=4_096),
    LEASE_KIND: NOTHING,
    QUARANTINE_KIND: DocumentShape(("parts", "crashes"), 16_384, _Quarantine),
    STREAM_KIND: DocumentShape(("address", "versions"), 1_048_576, _StreamRecords),
}
DESIRED_STATE_SHAPE = DocumentShape(_aliases(_DesiredState), max_bytes=8_388_608)
ROLLOUT_SHAPE = DocumentShape(_aliases(_Rollout), max_bytes=4_096)
ROLLOUT_STATUS_SHAPE = DocumentShape(_aliases(_RolloutStatus), max_bytes=4_096)

#: Shape of the documents of any other kind.
OTHER_SHAPE = DocumentShape(None, max_bytes=65_536)


def read_document(kind: str, name: str, parts: Mapping[str, bytes]) -> Any:
    """Decodes what relays read of an object's document.

    Args:
        kind: Kind of the object.
        name: Name of the object.
        parts: The `spec` and `status` of the object as JSON.

    Returns:
        The decoded value, which has only fields that are read; None without a document.

    Raises:
        DocumentError: The document cannot be read.
    """
    if kind == ROLLOUT_KIND:
        shape_by_part = {"spec": ROLLOUT_SHAPE, "status": ROLLOUT_STATUS_SHAPE}
        return {
            part: shape.read(parts[part]) if part in parts else None
            for part, shape in shape_by_part.items()
        }
    shape = SHAPE_BY_KIND.get(kind, OTHER_SHAPE)
    if kind == DESIRED_STATE_KIND:
        shape = DESIRED_STATE_SHAPE if name == DESIRED_STATE_NAME else NOTHING
    return shape.read(parts["spec"]) if "spec" in parts else None


def decode_rollout(document: Any) -> Result[RolloutRecord, list[Finding]]:
    """Decodes a roll-out; a status that cannot be read, or of another order, is none.

    Args:
        document: Order and status, under `spec` and `status`.

    Returns:
        The roll-out, or all findings.
    """
    fields = document if isinstance(document, dict) else {}
    checked = check_document(_Rollout, fields.get("spec"))
    if checked.is_error():
        return Error(checked.error)
    rollout = checked.ok
    order = RolloutOrder(
        rollout.service, SoftwareVersion(rollout.to), rollout.duration_s
    )
    status = check_document(_RolloutStatus, fields.get("status"))
    if status.is_error() or status.ok.to != rollout.to:
        return Ok(RolloutRecord(order))
    return Ok(RolloutRecord(order, status.ok.to_step(), status.ok.begun_ms))


def encode_rollout_status(record: RolloutRecord, reason: str) -> dict[str, Any]:
    """Encodes the status of a roll-out.

    Args:
        record: The roll-out, whose step is set.
        reason: Why it is at this step, for operators.
    """
    assert record.step is not None
    state = record.step.value if record.step.is_final else "running"
    return {
        "state": state,
        "to": record.order.to,
        "step": record.step.value,
        "begunMs": record.begun_ms,
        "reason": reason,
    }


def decode_desired_state(document: Any) -> Result[DesiredState, list[Finding]]:
    """Decodes a desired state document.

    Returns:
        The desired state, or all findings.
    """
    checked = check_document(_DesiredState, document)
    if checked.is_error():
        return Error(checked.error)
    state = checked.ok
    workspace_by_key = {
        key: tenant.to_limits() for tenant in state.tenants for key in tenant.api_keys
    }
    limits = ClientLimits(
        state.limits.max_header_bytes,
        state.limits.max_body_bytes,
        state.limits.header_timeout_ms / 1000,
        state.limits.idle_timeout_ms / 1000,
    )
    return Ok(
        DesiredState(
            state.version,
            tuple(route.to_route() for route in state.routes),
            {service.name: service.to_profile() for service in state.services},
            workspace_by_key,
            limits,
            bool(state.tenants),
        )
    )


def decode_upstream(name: str, document: Any) -> Result[UpstreamRecord, list[Finding]]:
    """Decodes the entry of an upstream.

    Args:
        name: Name of the object, which is the identity of the upstream.
        document: Entry as written by the upstream.

    Returns:
        The record of the upstream, or all findings.
    """
    if not UPSTREAM_NAME.fullmatch(name):
        return Error([Finding("name", ascii(name[:80]), "a name for a header")])
    checked = check_document(_Server, document)
    if checked.is_error():
        return Error(checked.error)
    server = checked.ok
    return Ok(
        UpstreamRecord(
            UpstreamId(name),
            server.service,
            server.address,
            FailureDomainId(server.zone),
            server.slots,
            server.state == "draining",
            server.cold_remaining_ms / 1000,
            Phase(server.phase) if server.phase else None,
            server.born,
            server.sequence,
            SoftwareVersion(server.version),
        )
    )


class PlatformDocumentDecoder:
    """Decodes documents in the platform's store; implements `DocumentDecoder`."""

    kinds = ObjectKinds(
        desired_state=DESIRED_STATE_KIND,
        desired_state_name=DESIRED_STATE_NAME,
        upstreams=UPSTREAM_KIND,
        evacuations=EVACUATION_KIND,
        relays=RELAY_KIND,
        leases=LEASE_KIND,
        rollouts=ROLLOUT_KIND,
        quarantines=QUARANTINE_KIND,
        streams=STREAM_KIND,
    )

    def read(self, kind: str, name: str, document: bytes) -> Any:
        """Decodes what is read of a document that a peer has forwarded as JSON."""
        if kind == ROLLOUT_KIND:
            parts = members(document, "spec", "status")
            return read_document(kind, name, parts)
        return read_document(kind, name, {"spec": document})

    def desired_state(self, value: Any) -> Result[DesiredState, list[Finding]]:
        """Decodes a desired state."""
        return decode_desired_state(value)

    def rollout(self, value: Any) -> Result[RolloutRecord, list[Finding]]:
        """Decodes a roll-out."""
        return decode_rollout(value)

    def rollout_status(self, record: RolloutRecord, reason: str) -> dict[str, Any]:
        """Encodes the status of a roll-out."""
        return encode_rollout_status(record, reason)

    def upstream(self, name: str, value: Any) -> Result[UpstreamRecord, list[Finding]]:
        """Decodes the entry of an upstream."""
        return decode_upstream(name, value)
