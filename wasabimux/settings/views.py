"""The settings of one upstream that entries send to its agent."""

from __future__ import annotations

from wasabimux.settings.fleet import (
    DomainState,
    FleetSettings,
    SettingsModel,
    Upstream,
    UpstreamState,
)

#: Maximum number of withdrawn keys sent to agents: the last ones in the settings.
MAX_WITHDRAWN_KEYS = 100


class UpstreamSettings(SettingsModel):
    """Settings of one upstream for its agent; entries send them over links.

    Attributes:
        accepting: False while the upstream is draining or its failure domain is out of
            service.
        max_requests: Maximum number of concurrent requests.
        cold_requests: Maximum number of concurrent requests while the upstream is
            cold.
        warm_up_s: Time in s after the last sign of a cold upstream until the limit of
            concurrent requests may grow.
        withdrawn_keys: Digests of withdrawn API keys. Agents forward them to entries
            that are disconnected from the platform and from all peers.
    """

    accepting: bool
    max_requests: int
    cold_requests: int
    warm_up_s: float
    withdrawn_keys: list[str] = []


def build_upstream_settings(
    fleet: FleetSettings, upstream: Upstream, withdrawn_keys: list[str]
) -> UpstreamSettings:
    """Builds the settings that the agent of an upstream gets.

    Args:
        fleet: Settings of the fleet.
        upstream: The upstream.
        withdrawn_keys: Digests of withdrawn API keys, in the order of the settings.
    """
    in_service = any(
        domain.id == upstream.failure_domain and domain.state is DomainState.IN_SERVICE
        for domain in fleet.failure_domains
    )
    return UpstreamSettings(
        accepting=in_service and upstream.state is UpstreamState.ACTIVE,
        max_requests=upstream.max_requests,
        cold_requests=upstream.cold_requests,
        warm_up_s=upstream.warm_up_s,
        withdrawn_keys=withdrawn_keys[-MAX_WITHDRAWN_KEYS:],
    )
