"""Which route a request belongs to, whose it is, and what it is charged."""

from __future__ import annotations

import random

from wasabimux.adapters.http_server import HttpRequest
from wasabimux.decisions.route_table import draw_weighted
from wasabimux.decisions.shared_bucket import ReplicatedRateLimiter
from wasabimux.errors import ErrorCode, Ran, Refusal, RefusedError
from wasabimux.ids import RequestId
from wasabimux.relay.context import RETURN_S, RelayRequest
from wasabimux.relay.model import (
    DesiredState,
    RelayRoute,
    RequestFacts,
    ServiceProfile,
    WorkspaceRules,
)
from wasabimux.relay.ports import Dialect
from wasabimux.relay.view import FleetView
from wasabimux.timeline import Timeline

#: When callers may come back to a relay that knows no desired state yet.
START_RETRY_S = 0.5

#: Longest wait that a refusal for a workspace's limit asks for.
MAX_RETRY_AFTER_S = 10.0


class Admission:
    """Admits requests, or refuses them before anything is sent.

    Args:
        view: What the relay believes.
        dialect: Headers of requests.
        buckets: Limits of workspaces.
        timeline: Records refusals with what decided them.
        rng: Source of random choices.
    """

    def __init__(
        self,
        view: FleetView,
        dialect: Dialect,
        buckets: ReplicatedRateLimiter,
        timeline: Timeline,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._dialect = dialect
        self._buckets = buckets
        self._timeline = timeline
        self._rng = rng

    def admit(self, request: HttpRequest, body: bytes, now: float) -> RelayRequest:
        """Admits a request.

        Raises:
            RefusedError: It must not or cannot be served.
        """
        facts = self._dialect.read_request(request.headers)
        desired = self._view.desired
        if desired is None:
            raise _refused(
                facts.id,
                ErrorCode.STALE_SETTINGS,
                "no desired state is known yet",
                START_RETRY_S,
            )
        route = self._route(request, facts)
        workspace = self._workspace(facts, route, desired)
        service = self._service(facts, route, desired)
        left_s = route.timeout_s
        if facts.time_left_s is not None:
            left_s = min(left_s, facts.time_left_s - RETURN_S)
        admitted = RelayRequest(
            facts,
            request.method,
            request.target,
            request.headers,
            body,
            route,
            service,
            workspace.id if workspace else None,
            desired.keys_needed,
            request.arrived_s,
            request.arrived_s + left_s,
        )
        if workspace is not None:
            self._reserve(admitted, workspace, now)
        return admitted

    def settle(self, request: RelayRequest, now: float) -> None:
        """Charges an admitted request if it ran or may have run."""
        if request.workspace is not None and request.reserved:
            ran = request.ran is not Ran.NO
            self._buckets.settle(request.workspace, request.reserved, ran, now)

    def _route(self, request: HttpRequest, facts: RequestFacts) -> RelayRoute:
        host = (request.header(b"host") or b"").decode("latin-1")
        route = self._view.routes.find(host, request.target.partition("?")[0])
        if route is None:
            raise _refused(facts.id, ErrorCode.NOT_FOUND, "no route leads there")
        return route

    def _workspace(
        self, facts: RequestFacts, route: RelayRoute, desired: DesiredState
    ) -> WorkspaceRules | None:
        workspace = desired.workspace_by_key.get(facts.key) if facts.key else None
        if workspace is None and desired.keys_needed and not route.public:
            raise _refused(facts.id, ErrorCode.UNAUTHENTICATED, "a key is needed")
        return workspace

    def _service(
        self, facts: RequestFacts, route: RelayRoute, desired: DesiredState
    ) -> ServiceProfile:
        name = draw_weighted(route.services, self._rng).service
        service = desired.service_by_name.get(name)
        if service is None:
            raise _refused(
                facts.id, ErrorCode.NO_UPSTREAM, "the route's service is not described"
            )
        return service

    def _reserve(
        self, request: RelayRequest, workspace: WorkspaceRules, now: float
    ) -> None:
        if workspace.rate is None:
            return
        facts = request.facts
        cost = 1.0
        if workspace.counts_tokens:
            cost = workspace.plain_cost
            if facts.counts_tokens:
                cost = float(facts.prompt_tokens + facts.output_tokens)
        reserved = self._buckets.reserve(workspace.id, workspace.rate, cost, now)
        if reserved.wait_s > 0:
            self._timeline.record(
                "share_used_up",
                facts.id,
                workspace.id,
                cost=cost,
                rate=workspace.rate.rate,
                burst=workspace.rate.burst,
                level=round(self._buckets.level(workspace.id)),
                used_here=round(self._buckets.local_usage()[workspace.id].total),
                wait_s=round(reserved.wait_s, 3),
            )
            raise _refused(
                facts.id,
                ErrorCode.RATE_LIMITED,
                "the workspace has used up its share",
                min(MAX_RETRY_AFTER_S, reserved.wait_s),
            )
        request.reserved = cost
        request.beyond_share = reserved.beyond_share


def _refused(
    request_id: RequestId,
    code: ErrorCode,
    message: str,
    retry_after_s: float | None = None,
) -> RefusedError:
    error = RefusedError(Refusal(code, message, retry_after_s=retry_after_s))
    error.request_id = request_id
    return error
