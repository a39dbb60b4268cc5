"""Settings of a process: addresses, failure domain, credentials and limits."""

from __future__ import annotations

from collections.abc import Mapping
from enum import Enum
from pathlib import Path
from typing import Self

from pydantic import Field, model_validator

from wasabimux.settings.address import Address
from wasabimux.settings.fleet import SettingsModel

#: Fields of a relay's settings that environment variables can give as well. A field of
#: the settings file goes before its variable.
FIELD_BY_VARIABLE = {
    "RELAY_EXPOSURE_SHARE": "exposure_share",
    "RELAY_EXPOSURE_SLACK": "exposure_slack",
    "RELAY_MEMORY_MB": "memory_mb",
    "RELAY_MAX_DESCRIPTORS": "max_descriptors",
}


class Role(Enum):
    """Role of a daemon process."""

    ENTRY = "entry"
    AGENT = "agent"
    RELAY = "relay"


class UpstreamKind(Enum):
    """Kind of the upstream that an agent serves.

    Attributes:
        ENGINE: A model engine.
        SERVICE: A non-generation HTTP service.
    """

    ENGINE = "engine"
    SERVICE = "service"


class TlsSettings(SettingsModel):
    """Files for mutual TLS on links between processes, in PEM format.

    Attributes:
        certificate: Certificate of this process.
        private_key: Private key of the certificate.
        authority: Certificate of the fleet's certificate authority.
    """

    certificate: Path
    private_key: Path
    authority: Path


class ProcessSettings(SettingsModel):
    """Settings that all roles have in common.

    Attributes:
        instance: Name of the process, unique in the fleet.
        failure_domain: Failure domain in which the process runs.
        admin: Address on which it serves operators, as `IP:PORT`.
        admin_token_env: Environment variable that contains the credential of operators;
            None to require none.
        tls: Files for TLS on links, None exactly if `plain_links` is true.
        plain_links: True to use links without TLS.
    """

    instance: str
    failure_domain: str
    admin: Address
    admin_token_env: str | None = None
    tls: TlsSettings | None = None
    plain_links: bool = False

    @model_validator(mode="after")
    def _check_link_tls(self) -> Self:
        if (self.tls is None) != self.plain_links:
            raise ValueError("either tls, or plain_links: true for links without TLS")
        return self


class EntrySettings(ProcessSettings):
    """Settings of an entry.

    Attributes:
        callers: Address on which the entry serves clients, as `IP:PORT`.
        peers: Address for links from other entries, as `IP:PORT`.
        platform: Address of the platform's API, as `IP:PORT`.
        platform_token_env: Environment variable that contains the credential for the
            platform's API; None to send none.
        max_body_bytes: Maximum size of a request body, in bytes.
        header_timeout_s: Maximum time to receive the headers of a request, in s.
        body_timeout_s: Maximum pause between two pieces of a request body, in s.
        subset_size: Maximum number of agents of a group that the entry links to.
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
        upstream_id: Identity of the upstream in the fleet's settings.
        link: Address for links from entries, as `IP:PORT`.
        kind: Kind of the upstream.
        upstream: Address of the upstream, as `IP:PORT`.
    """

    upstream_id: str
    link: Address
    kind: UpstreamKind
    upstream: Address


class RelaySettings(ProcessSettings):
    """Settings of a relay.

    Attributes:
        callers: Address on which the relay serves clients, as `IP:PORT`.
        ready: Address of the readiness check for load balancers, as `IP:PORT`.
        ready_path: Path of the readiness check.
        peers: Address for links from other relays, as `IP:PORT`.
        seeds: Addresses of relays to link to even while the store does not respond.
        platform: Address of the platform's store, as `IP:PORT`.
        grace_s: Time from SIGTERM until the process is killed, in s.
        retry_ratio: Maximum number of retries per client request, for each service.
        retry_extra: Number of retries of all relays together in excess of
            `retry_ratio`, for each service.
        retry_window_s: Length of the sliding window of the retry budget, in s.
        rate_window_s: Length of the window over which the usage of workspaces is
            compared with their rate limits, in s.
        rate_overage: Fraction by which a workspace may exceed its limit in a window.
        rate_slack: Tokens by which a workspace may exceed its limit in addition.
        order_lease_ms: Length of the leader lease for phase change commands, in ms.
        exposure_share: Fraction of a service's requests that a bad software version may
            get during a roll-out; 0 to take no roll-outs.
        exposure_slack: Requests that it may get in addition.
        memory_mb: Memory of the machine that the process may use, in MB; None if
            unknown.
        max_descriptors: Descriptors that the process may open; None if unknown.
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
    exposure_share: float = Field(default=0.0, ge=0, le=1)
    exposure_slack: float = Field(default=0.0, ge=0)
    memory_mb: float | None = Field(default=None, gt=0)
    max_descriptors: int | None = Field(default=None, gt=0)


def relay_environment(environment: Mapping[str, str]) -> dict[str, str]:
    """Returns the fields of a relay's settings that the environment gives.

    Args:
        environment: Environment variables; empty ones count as unset.
    """
    return {
        field: environment[variable]
        for variable, field in FIELD_BY_VARIABLE.items()
        if environment.get(variable)
    }
