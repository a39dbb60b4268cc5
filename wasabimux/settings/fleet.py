"""Models of the fleet's settings document, which the platform stores."""

from __future__ import annotations

from enum import Enum
from typing import Any

from pydantic import BaseModel, ConfigDict, Field

from wasabimux.settings.address import Address

NamesByScheme = dict[str, str]


class SettingsModel(BaseModel):
    """Base class of settings: immutable, and rejects unknown fields."""

    model_config = ConfigDict(extra="forbid", frozen=True)


class DomainState(Enum):
    """Whether the upstreams of a failure domain accept new requests."""

    IN_SERVICE = "in_service"
    OUT_OF_SERVICE = "out"


class UpstreamState(Enum):
    """Whether an upstream accepts new requests."""

    ACTIVE = "active"
    DRAINING = "draining"


class KeyState(Enum):
    """Whether an API key is valid."""

    GRANTED = "granted"
    WITHDRAWN = "withdrawn"


class GroupRole(Enum):
    """Kind of requests that the upstreams of a group serve."""

    PREFILL = "prefill"
    DECODE = "decode"
    SERVICE = "service"


class RouteKind(Enum):
    """Kind of requests that a route matches.

    Attributes:
        COMPLETIONS: Completions of a model.
        SERVICE: Requests of a non-generation HTTP service.
    """

    COMPLETIONS = "completions"
    SERVICE = "service"


class NamingScheme(SettingsModel):
    """A naming scheme, defined by regular expressions for whole names.

    Attributes:
        service: Regular expression for the names of groups and routes.
        workspace: Regular expression for the names of workspaces.
        failure_domain: Regular expression for the names of failure domains.
    """

    service: str
    workspace: str
    failure_domain: str


class Branch(SettingsModel):
    """A branch of the settings tree.

    Attributes:
        set: Values that this branch sets, by the name of the setting.
        unset: Settings that this branch resets to their default.
        seal: Settings that descendants of this branch must not set or unset.
        children: Child branches by name.
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
    """A model that clients can request.

    Attributes:
        name: Name of the model in requests.
        bytes_per_token: Assumed length of a token of prompts, in bytes.
    """

    name: str
    bytes_per_token: float = Field(default=4.0, gt=0)


class Group(SettingsModel):
    """A pool of interchangeable upstreams with the same role."""

    id: str
    names: NamesByScheme = Field(default_factory=dict)
    role: GroupRole


class Upstream(SettingsModel):
    """An upstream and the address of its agent.

    Attributes:
        group: Id of the group.
        failure_domain: Id of the failure domain.
        agent: Address for links to the agent, as `IP:PORT`.
        state: Whether the upstream accepts new requests.
        max_requests: Maximum number of concurrent requests.
        cold_requests: Maximum number of concurrent requests while the upstream is
            cold.
        warm_up_s: Time in s after the last sign of a cold upstream until the limit of
            concurrent requests may grow.
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
    """A workspace and the path of its branch in the settings tree."""

    id: str
    names: NamesByScheme = Field(default_factory=dict)
    branch: str = "/"


class Key(SettingsModel):
    """An API key of a workspace, stored as its SHA-256 digest in hexadecimal."""

    digest: str = Field(pattern="^[0-9a-f]{64}$")
    workspace: str
    state: KeyState = KeyState.GRANTED


class Route(SettingsModel):
    """A rule that assigns requests to groups of upstreams.

    Attributes:
        kind: Kind of requests.
        model: Name of the model (only kind COMPLETIONS).
        prefill_group: Id of the group for prefill (only kind COMPLETIONS).
        decode_group: Id of the group for decode (only kind COMPLETIONS).
        path_prefix: Prefix of request paths (only kind SERVICE).
        group: Id of the group of the service (only kind SERVICE).
        open: True if clients need no API key.
        workspaces: Ids of the workspaces that may use the route; empty for all.
        branch: Path of the branch with the settings of the route.
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
    """The settings document of a fleet."""

    schemes: dict[str, NamingScheme] = Field(default_factory=dict)
    tree: Branch = Field(default_factory=Branch)
    failure_domains: list[FailureDomain] = Field(default_factory=list)
    models: list[Model] = Field(default_factory=list)
    groups: list[Group] = Field(default_factory=list)
    upstreams: list[Upstream] = Field(default_factory=list)
    workspaces: list[Workspace] = Field(default_factory=list)
    keys: list[Key] = Field(default_factory=list)
    routes: list[Route] = Field(default_factory=list)
