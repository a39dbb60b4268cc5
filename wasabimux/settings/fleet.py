"""The fleet's settings document: what the platform keeps for all instances."""

from __future__ import annotations

from enum import Enum
from typing import Any

from pydantic import BaseModel, ConfigDict, Field

from wasabimux.settings.address import Address

NamesByScheme = dict[str, str]


class SettingsModel(BaseModel):
    """Base of all settings: immutable, and unknown fields are findings."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class DomainState(Enum):
    """Whether a failure domain takes new work."""

    IN_SERVICE = "in_service"
    OUT_OF_SERVICE = "out"


class UpstreamState(Enum):
    """Whether an upstream takes new work."""

    ACTIVE = "active"
    DRAINING = "draining"


class KeyState(Enum):
    """Whether a key opens its workspace."""

    GRANTED = "granted"
    WITHDRAWN = "withdrawn"


class GroupRole(Enum):
    """What the upstreams of a group do."""

    PREFILL = "prefill"
    DECODE = "decode"
    SERVICE = "service"


class RouteKind(Enum):
    """What a route leads to."""

    COMPLETIONS = "completions"
    SERVICE = "service"


class NamingScheme(SettingsModel):
    """A naming scheme, declared by the grammar of its names.

    Attributes:
        service: Regular expression that the names of groups and routes match.
        workspace: Regular expression for workspaces.
        failure_domain: Regular expression for failure domains.
    """

    service: str
    workspace: str
    failure_domain: str


class Branch(SettingsModel):
    """One branch of the tree.

    Attributes:
        set: Values that this branch gives, by name of the setting.
        unset: Settings that return to their default here.
        seal: Settings that no branch below may change.
        children: Branches below, by name.
    """

    set: dict[str, Any] = Field(default_factory=dict)
    unset: list[str] = Field(default_factory=list)
    seal: list[str] = Field(default_factory=list)
    children: dict[str, Branch] = Field(default_factory=dict)


class FailureDomain(SettingsModel):
    """A set of instances that fail together."""

    id: str
    names: NamesByScheme = Field(default_factory=dict)
    state: DomainState = DomainState.IN_SERVICE


class Model(SettingsModel):
    """A model that routes offer to callers."""

    name: str
    bytes_per_token: float = Field(default=4.0, gt=0)


class Group(SettingsModel):
    """Upstreams of one kind that can stand in for each other."""

    id: str
    names: NamesByScheme = Field(default_factory=dict)
    role: GroupRole


class Upstream(SettingsModel):
    """One back end and the address of the agent beside it.

    Attributes:
        agent: Address of the agent's link port, as `IP:PORT`.
        max_requests: Most requests the upstream may run at a time.
        cold_requests: Requests the upstream can bear while it is cold.
        warm_up_s: Seconds after which a cold upstream that copes is warm.
    """

    id: str
    group: str
    failure_domain: str
    agent: Address
    state: UpstreamState = UpstreamState.ACTIVE
    max_requests: int = Field(default=8, ge=1, le=65_535)
    cold_requests: int = Field(default=1, ge=1, le=65_535)
    warm_up_s: float = Field(default=20.0, ge=0)


class Workspace(SettingsModel):
    """A customer of the operators, with its place in the tree."""

    id: str
    names: NamesByScheme = Field(default_factory=dict)
    branch: str = "/"


class Key(SettingsModel):
    """A caller's key, kept as the SHA-256 digest of its text in hex."""

    digest: str = Field(pattern="^[0-9a-f]{64}$")
    workspace: str
    state: KeyState = KeyState.GRANTED


class Route(SettingsModel):
    """A way from callers to upstreams.

    Attributes:
        kind: Completions at engines, or calls of a plain service.
        model: Model of a completions route.
        prefill_group: Group that prefills, for completions.
        decode_group: Group that decodes, for completions.
        path_prefix: Prefix of the path, for a plain service.
        group: Group of a plain service.
        open: True where callers need no key.
        workspaces: Workspaces that may use the route; empty for all.
        branch: Place in the tree, for the settings of the route.
    """

    id: str
    names: NamesByScheme = Field(default_factory=dict)
    kind: RouteKind
    model: str | None = None
    prefill_group: str | None = None
    decode_group: str | None = None
    path_prefix: str | None = None
    group: str | None = None
    open: bool = False
    workspaces: list[str] = Field(default_factory=list)
    branch: str = "/"


class FleetSettings(SettingsModel):
    """The whole document."""

    schemes: dict[str, NamingScheme] = Field(default_factory=dict)
    tree: Branch = Field(default_factory=Branch)
    failure_domains: list[FailureDomain] = Field(default_factory=list)
    models: list[Model] = Field(default_factory=list)
    groups: list[Group] = Field(default_factory=list)
    upstreams: list[Upstream] = Field(default_factory=list)
    workspaces: list[Workspace] = Field(default_factory=list)
    keys: list[Key] = Field(default_factory=list)
    routes: list[Route] = Field(default_factory=list)
