"""Settings of one process: its addresses, failure domain and platform."""

from __future__ import annotations

from enum import Enum
from pathlib import Path
from typing import Self

from pydantic import Field, model_validator

from wasabimux.settings.address import Address
from wasabimux.settings.fleet import Document


class Role(Enum):
    """What a daemon does."""

    ENTRY = "entry"
    AGENT = "agent"
    RELAY = "relay"


class UpstreamKind(Enum):
    """What stands beside an agent."""

    ENGINE = "engine"
    SERVICE = "service"


class TlsSettings(Document):
    """Files of a process's identity on links.

    Attributes:
        certificate: This process's certificate, PEM.
        private_key: Its key, PEM.
        authority: Certificate authority of the fleet, PEM.
    """

    certificate: Path
    private_key: Path
    authority: Path


class ProcessSettings(Document):
    """Fields that every role has.

    Attributes:
        instance: Name of the process, unique in the fleet.
        failure_domain: Id of the failure domain it runs in.
        admin: Address for operators, as `IP:PORT`.
        admin_token_env: Environment variable with the operators' credential.
        tls: Identity on links; None only where `plain_links` is true.
        plain_links: True where links run without TLS.
    """

    instance: str
    failure_domain: str
    admin: Address
    admin_token_env: str | None = None
    tls: TlsSettings | None = None
    plain_links: bool = False

    @model_validator(mode="after")
    def _check_links(self) -> Self:
        if (self.tls is None) != self.plain_links:
            raise ValueError("either tls, or plain_links true for links without TLS")
        return self


class EntrySettings(ProcessSettings):
    """Settings of an entry.

    Attributes:
        callers: Address for callers, as `IP:PORT`.
        peers: Address for links from other entries, as `IP:PORT`.
        platform: Address of the platform's API, as `IP:PORT`.
        platform_token_env: Environment variable with the platform credential.
        max_body_bytes: Largest body of a request.
        header_timeout_s: Longest time for the head of a request.
        body_timeout_s: Longest silence within the body of a request.
        subset_size: Most agents of a group that this entry links to.
    """

    callers: Address
    peers: Address
    platform: Address
    platform_token_env: str | None = None
    max_body_bytes: int = Field(default=4 * 1024 * 1024, ge=1)
    header_timeout_s: float = Field(default=10.0, gt=0)
    body_timeout_s: float = Field(default=10.0, gt=0)
    subset_size: int = Field(default=16, ge=1)


class AgentSettings(ProcessSettings):
    """Settings of an agent.

    Attributes:
        upstream_id: Id of the upstream in the fleet's settings.
        link: Address for links from entries, as `IP:PORT`.
        kind: Model engine or plain service.
        upstream: Address of the upstream, as `IP:PORT`.
    """

    upstream_id: str
    link: Address
    kind: UpstreamKind
    upstream: Address


class RelaySettings(ProcessSettings):
    """Settings of a relay.

    Attributes:
        callers: Address for callers, as `IP:PORT`.
        ready: Address on which a balancer asks for readiness.
        ready_path: Path of that question.
        peers: Address for links from other relays.
        seeds: Addresses of relays to link to when the store does not answer.
        platform: Address of the platform's store.
        grace_s: Time from SIGTERM until the process is killed.
        retry_ratio: Requests sent once more for each request of a caller.
        retry_extra: Requests sent once more beyond that, all relays together.
        retry_window_s: Window in which both are counted.
        rate_window_s: Window in which the limits of workspaces are judged.
        rate_overage: Part by which a workspace may exceed its limit in a window.
        rate_slack: Tokens by which it may exceed its limit beyond that.
        order_lease_ms: Time for which a holder that gave orders keeps the duty.
    """

    callers: Address
    ready: Address
    ready_path: str
    peers: Address
    seeds: list[Address] = Field(default_factory=list)
    platform: Address
    grace_s: float = Field(default=8.0, gt=0)
    retry_ratio: float = Field(default=0.2, ge=0)
    retry_extra: float = Field(default=10.0, ge=0)
    retry_window_s: float = Field(default=10.0, gt=0)
    rate_window_s: float = Field(default=1.0, gt=0)
    rate_overage: float = Field(default=0.0, ge=0)
    rate_slack: float = Field(default=0.0, ge=0)
    order_lease_ms: float = Field(default=3_000.0, gt=0)
