"""The platform's JSON documents, decoded into the relay's types."""

from __future__ import annotations

from typing import Any, Literal

from expression import Error, Ok, Result
from pydantic import BaseModel, ConfigDict, Field
from pydantic.alias_generators import to_camel

from wasabimux.decisions.rate import RateLimit
from wasabimux.ids import FailureDomainId, UpstreamId, WorkspaceId
from wasabimux.relay.model import (
    CallerLimits,
    DesiredState,
    EngineProfile,
    Phase,
    RelayRoute,
    Repeat,
    ServiceProfile,
    UpstreamRecord,
    WeightedService,
    WorkspaceRules,
)
from wasabimux.relay.ports import Kinds
from wasabimux.settings.address import Address
from wasabimux.settings.findings import Finding, check_document

#: Objects that hold desired states; only the one of this name counts.
DESIRED_STATE_KIND = "config"
DESIRED_STATE_NAME = "main"
UPSTREAM_KIND = "servers"
#: Each object is named by the failure domain that gets nothing.
EVACUATION_KIND = "evacuations"

TOKEN_UNIT = "token_stream"

#: Callers leave a stream after the longest of these without an event.
MIN_PATIENCE_S = 2.0
PATIENCE_TARGETS = 4
PATIENCE_GAPS = 8


class _Document(BaseModel):
    """Fields under the platform's names; unknown ones are ignored."""

    model_config = ConfigDict(
        extra="ignore", frozen=True, alias_generator=to_camel, populate_by_name=True
    )


class _Split(_Document):
    service: str
    weight: float


class _Route(_Document):
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
        split = [
            WeightedService(part.service, part.weight) for part in self.traffic_split
        ]
        if self.service is not None:
            split = [WeightedService(self.service, 1.0)]
        return RelayRoute(
            self.name,
            self.host.lower(),
            self.path_prefix,
            Repeat(self.kind),
            tuple(split),
            self.timeout_ms / 1000,
            self.target_latency_ms / 1000,
            self.target_gap_ms / 1000,
            self.max_attempts,
            self.priority,
            self.public,
            self.resumable,
            self._patience_s(),
        )

    def _patience_s(self) -> float:
        targets_s = PATIENCE_TARGETS * self.target_latency_ms / 1000
        gaps_s = PATIENCE_GAPS * self.target_gap_ms / 1000
        return max(MIN_PATIENCE_S, targets_s, gaps_s)


class _Engine(_Document):
    slots: int
    kv_capacity_tokens: int
    kv_retention_s: float
    role_switch_s: float = 0.0
    hold_ms: float = 0.0
    #: Tokens in one event.
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
    name: str
    max_connections: int = 0
    cold_start_s: float = 0.0
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
    name: str
    api_keys: list[str] = Field(default_factory=list)
    priority: int | None = None
    unit: str = ""
    #: What a request without token counts is charged, in tokens.
    uncached_tokens: float = 1.0
    rate_per_s: float = 0.0
    burst: float = 0.0

    def to_rules(self) -> WorkspaceRules:
        rate = RateLimit(self.rate_per_s, self.burst) if self.rate_per_s > 0 else None
        return WorkspaceRules(
            WorkspaceId(self.name),
            self.priority,
            rate,
            self.unit == TOKEN_UNIT,
            self.uncached_tokens,
        )


class _Limits(_Document):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _DesiredState(_Document):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] = Field(default_factory=list)


class _Server(_Document):
    service: str
    address: Address
    zone: str
    slots: int = 1
    state: Literal["ready", "draining"]
    cold_remaining_ms: float = 0.0
    phase: Literal["prefill", "decode"] | None = None
    born: int = 0


def decode_desired_state(document: Any) -> Result[DesiredState, list[Finding]]:
    """Decodes a desired state, or returns all findings."""
    checked = check_document(_DesiredState, document)
    if checked.is_error():
        return Error(checked.error)
    found = checked.ok
    by_key = {
        key: tenant.to_rules() for tenant in found.tenants for key in tenant.api_keys
    }
    limits = CallerLimits(
        found.limits.max_header_bytes,
        found.limits.max_body_bytes,
        found.limits.header_timeout_ms / 1000,
        found.limits.idle_timeout_ms / 1000,
    )
    return Ok(
        DesiredState(
            found.version,
            tuple(route.to_route() for route in found.routes),
            {service.name: service.to_profile() for service in found.services},
            by_key,
            limits,
            bool(found.tenants),
        )
    )


def decode_upstream(name: str, document: Any) -> Result[UpstreamRecord, list[Finding]]:
    """Decodes the entry of an upstream, or returns all findings.

    Args:
        name: Name of the object, which is the identity of the upstream.
        document: What the upstream wrote.
    """
    checked = check_document(_Server, document)
    if checked.is_error():
        return Error(checked.error)
    found = checked.ok
    return Ok(
        UpstreamRecord(
            UpstreamId(name),
            found.service,
            found.address,
            FailureDomainId(found.zone),
            found.slots,
            found.state == "draining",
            found.cold_remaining_ms / 1000,
            Phase(found.phase) if found.phase else None,
            found.born,
        )
    )


class PlatformDocuments:
    """Decodes the platform's documents and names its kinds of objects."""

    kinds = Kinds(
        desired_state=DESIRED_STATE_KIND,
        desired_state_name=DESIRED_STATE_NAME,
        upstreams=UPSTREAM_KIND,
        evacuations=EVACUATION_KIND,
        relays="wasabimux-relays",
        leases="wasabimux-leases",
    )

    def desired_state(self, value: Any) -> Result[DesiredState, list[Finding]]:
        """Decodes a desired state."""
        return decode_desired_state(value)

    def upstream(self, name: str, value: Any) -> Result[UpstreamRecord, list[Finding]]:
        """Decodes the entry of an upstream."""
        return decode_upstream(name, value)
