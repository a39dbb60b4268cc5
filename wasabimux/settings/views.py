"""Parts of the settings that one process needs."""

from __future__ import annotations

from wasabimux.settings.fleet import (
    DomainState,
    FleetSettings,
    SettingsModel,
    Upstream,
    UpstreamState,
)

#: Withdrawn keys that agents are told, the last ones of the settings.
MAX_WITHDRAWN_KEYS = 100


class UpstreamSettings(SettingsModel):
    """What an agent needs to know; entries send it over their links.

    Attributes:
        accepting: False while the upstream drains or its domain is out.
        max_requests: Most requests the upstream may run at a time.
        cold_requests: Requests that it can bear while cold.
        warm_up_s: Time without a sign of cold until it may get more.
        withdrawn_keys: Digests of withdrawn keys. Agents pass them on to entries
            that are cut off from the platform and from all peers.
    """

    accepting: bool
    max_requests: int
    cold_requests: int
    warm_up_s: float
    withdrawn_keys: list[str] = []


def build_upstream_settings(
    fleet: FleetSettings, upstream: Upstream, withdrawn_keys: list[str]
) -> UpstreamSettings:
    """Extracts what the agent of an upstream needs.

    Args:
        fleet: The settings.
        upstream: The agent's upstream.
        withdrawn_keys: Digests of withdrawn keys, the last one at the end.
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
