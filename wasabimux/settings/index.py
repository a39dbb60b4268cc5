"""Index of one version of the fleet's settings for lookups by requests."""

from __future__ import annotations

import hashlib
import sys
from typing import Any, NamedTuple

from wasabimux.ids import KeyDigest, SettingsVersion, WorkspaceId
from wasabimux.settings.catalog import RetryPolicy, Urgency
from wasabimux.settings.fleet import (
    FleetSettings,
    KeyState,
    Route,
    RouteKind,
    Upstream,
)
from wasabimux.settings.tree import effective_settings


class RouteSettings(NamedTuple):
    """Effective settings of a route.

    Attributes:
        deadline_s: Maximum time from the arrival of a request to the end of its
            response, in s.
        max_output_tokens: Default and maximum of a request's output token limit.
        patient: True if requests may wait behind interactive ones.
        retry_policy: Which requests may be sent to an upstream more than once.
        first_token_target_s: Target for the time to the first token, in s.
    """

    deadline_s: float
    max_output_tokens: int
    patient: bool
    retry_policy: RetryPolicy
    first_token_target_s: float


class WorkspaceSettings(NamedTuple):
    """Effective settings of a workspace.

    Attributes:
        rate_tokens_per_s: Rate limit over all instances together, in tokens per s.
        burst_tokens: Tokens that the workspace may use at once after being idle.
        weight: Weight in the fair queues of full upstreams.
    """

    rate_tokens_per_s: float
    burst_tokens: float
    weight: float


def key_digest(key: str) -> KeyDigest:
    """Returns the digest that the settings contain for an API key."""
    return KeyDigest(hashlib.sha256(key.encode()).hexdigest())


class FleetIndex:
    """Looks up routes, API keys and effective settings in one version of the settings.

    Args:
        version: Version of the settings.
        fleet: The validated settings. Of workspaces and keys, only compact lookup
            tables are kept.
    """

    def __init__(self, version: SettingsVersion, fleet: FleetSettings) -> None:
        self.version = version
        self.fleet = fleet.model_copy(update={"workspaces": [], "keys": []})
        self.withdrawn_keys = [
            key.digest for key in fleet.keys if key.state is KeyState.WITHDRAWN
        ]
        self.upstreams_by_group: dict[str, list[Upstream]] = {}
        for upstream in fleet.upstreams:
            self.upstreams_by_group.setdefault(upstream.group, []).append(upstream)
        # Each id and branch path is stored as one string object to save memory: 45,000
        # workspaces share few branches.
        workspace_ids = {item.id: WorkspaceId(item.id) for item in fleet.workspaces}
        self._workspace_by_key = {
            bytes.fromhex(key.digest): workspace_ids[key.workspace]
            for key in fleet.keys
            if key.state is KeyState.GRANTED
        }
        self._route_by_model = {
            route.model: route
            for route in fleet.routes
            if route.kind is RouteKind.COMPLETIONS
        }
        service_routes = [
            route for route in fleet.routes if route.kind is RouteKind.SERVICE
        ]
        self._service_routes = sorted(
            service_routes, key=lambda route: len(route.path_prefix or ""), reverse=True
        )
        self._branch_by_workspace = {
            workspace_ids[item.id]: sys.intern(item.branch) for item in fleet.workspaces
        }
        self._bytes_per_token_by_model = {
            model.name: model.bytes_per_token for model in fleet.models
        }
        self._settings_by_branch: dict[str, dict[str, Any]] = {}

    def workspace_of_key(self, digest: KeyDigest) -> WorkspaceId | None:
        """Returns the workspace of an API key, None if it is unknown or withdrawn."""
        return self._workspace_by_key.get(bytes.fromhex(digest))

    def completions_route(self, model: str) -> Route | None:
        """Returns the completions route of a model, None if it has none."""
        return self._route_by_model.get(model)

    def completions_routes(self) -> list[Route]:
        """Returns all completions routes."""
        return list(self._route_by_model.values())

    def service_route(self, path: str) -> Route | None:
        """Returns the service route with the longest prefix of whole path segments."""
        for route in self._service_routes:
            prefix = (route.path_prefix or "").rstrip("/")
            if path == prefix or path.startswith(prefix + "/"):
                return route
        return None

    def may_use_route(self, workspace: WorkspaceId | None, route: Route) -> bool:
        """Returns True if a workspace may use a route; None stands for no API key."""
        if workspace is None:
            return route.open
        return route.open or not route.workspaces or workspace in route.workspaces

    def bytes_per_token(self, model: str) -> float:
        """Returns the assumed length of a token of a model's prompts, in bytes."""
        return self._bytes_per_token_by_model[model]

    def route_settings(self, route: Route) -> RouteSettings:
        """Returns the effective settings of a route."""
        values = self._branch_settings(route.branch)
        return RouteSettings(
            values["deadline_s"],
            values["max_output_tokens"],
            values["urgency"] is Urgency.PATIENT,
            values["repeat"],
            values["first_token_target_s"],
        )

    def has_workspace(self, workspace: str) -> bool:
        """Returns True if a workspace exists."""
        return workspace in self._branch_by_workspace

    def workspace_settings(self, workspace: WorkspaceId) -> WorkspaceSettings:
        """Returns the effective settings of a workspace."""
        values = self._branch_settings(self._branch_by_workspace[workspace])
        return WorkspaceSettings(
            values["rate_tokens_per_s"], values["burst_tokens"], values["weight"]
        )

    def _branch_settings(self, branch: str) -> dict[str, Any]:
        values = self._settings_by_branch.get(branch)
        if values is None:
            values = effective_settings(self.fleet.tree, branch)
            self._settings_by_branch[branch] = values
        return values
