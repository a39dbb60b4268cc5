"""Admission of requests: route, authentication and rate limit."""

from __future__ import annotations

import random

from wasabimux.adapters.http_server import HttpRequest
from wasabimux.decisions.route_table import draw_weighted
from wasabimux.decisions.shared_bucket import ReplicatedRateLimiter
from wasabimux.errors import ErrorCode, Ran, Refusal, RefusedError
from wasabimux.ids import RequestId
from wasabimux.relay.context import RESPONSE_MARGIN_S, RelayRequest
from wasabimux.relay.model import (
    DesiredState,
    RelayRoute,
    RequestMetadata,
    ServiceProfile,
    WorkspaceLimits,
)
from wasabimux.relay.ports import HeaderCodec
from wasabimux.relay.view import FleetView
from wasabimux.timeline import Timeline

#: Retry-After of refusals while the relay has no desired state yet.
STARTUP_RETRY_AFTER_S = 0.5

#: Upper bound of the Retry-After of refusals for a workspace's rate limit.
MAX_RETRY_AFTER_S = 10.0


class Admission:
    """Admits requests, or refuses them before anything is sent to an upstream.

    Args:
        view: The relay's local view of the fleet.
        header_codec: Decodes the headers of requests.
        rate_limiter: Rate limits of workspaces.
        timeline: Records refusals together with the values that led to them.
        rng: Source of randomness.
    """

    def __init__(
        self,
        view: FleetView,
        header_codec: HeaderCodec,
        rate_limiter: ReplicatedRateLimiter,
        timeline: Timeline,
        rng: random.Random,
    ) -> None:
        self._view = view
        self._header_codec = header_codec
        self._rate_limiter = rate_limiter
        self._timeline = timeline
        self._rng = rng

    def read_metadata(self, request: HttpRequest) -> RequestMetadata:
        """Returns what the head of a request says of it."""
        return self._header_codec.read_request(request.headers)

    def deadline_s(
        self, request: HttpRequest, metadata: RequestMetadata
    ) -> float | None:
        """Returns the deadline in s of a request by its head, None without a route."""
        route = self._find_route(request)
        return None if route is None else _deadline_s(request, route, metadata)

    def admit(
        self, request: HttpRequest, metadata: RequestMetadata, body: bytes, now: float
    ) -> RelayRequest:
        """Admits a request and reserves its cost in the workspace's rate limit.

        Args:
            request: Request of a client.
            metadata: What its head says of it.
            body: Complete body of the request.
            now: Current time in s.

        Raises:
            RefusedError: The request is not allowed or cannot be served.
        """
        desired = self._view.desired_state
        if desired is None:
            raise _refused(
                metadata.id,
                ErrorCode.STALE_SETTINGS,
                "no desired state is known yet",
                STARTUP_RETRY_AFTER_S,
            )
        route = self._route(request, metadata)
        workspace = self._workspace(metadata, route, desired)
        service = self._service(metadata, route, desired)
        if not metadata.id:
            text = "a request needs an identity"
            raise _refused(metadata.id, ErrorCode.BAD_REQUEST, text)
        admitted = RelayRequest(
            metadata,
            request.method,
            request.target,
            request.headers,
            body,
            route,
            service,
            workspace.id if workspace else None,
            desired.keys_required,
            request.arrived_s,
            _deadline_s(request, route, metadata),
        )
        admitted.priority = route.priority
        if workspace is not None and workspace.priority is not None:
            admitted.priority = workspace.priority
        if workspace is not None:
            self._reserve(admitted, workspace, now)
        return admitted

    def settle(self, request: RelayRequest, now: float) -> None:
        """Charges the reserved cost of a request that was or may have been executed."""
        if request.workspace is not None and request.reserved_cost:
            ran = request.ran is not Ran.NO
            self._rate_limiter.settle(
                request.workspace, request.reserved_cost, ran, now
            )

    def _route(self, request: HttpRequest, metadata: RequestMetadata) -> RelayRoute:
        route = self._find_route(request)
        if route is None:
            raise _refused(metadata.id, ErrorCode.NOT_FOUND, "no route leads there")
        return route

    def _find_route(self, request: HttpRequest) -> RelayRoute | None:
        host = (request.header(b"host") or b"").decode("latin-1")
        return self._view.routes.find(host, request.target.partition("?")[0])

    def _workspace(
        self, metadata: RequestMetadata, route: RelayRoute, desired: DesiredState
    ) -> WorkspaceLimits | None:
        workspace = desired.workspace_by_key.get(metadata.key) if metadata.key else None
        if workspace is None and desired.keys_required and not route.public:
            raise _refused(metadata.id, ErrorCode.UNAUTHENTICATED, "a key is needed")
        return workspace

    def _service(
        self, metadata: RequestMetadata, route: RelayRoute, desired: DesiredState
    ) -> ServiceProfile:
        name = draw_weighted(route.services, self._rng).service
        service = desired.service_by_name.get(name)
        if service is None:
            raise _refused(
                metadata.id,
                ErrorCode.NO_UPSTREAM,
                "the route's service is not described",
            )
        return service

    def _reserve(
        self, request: RelayRequest, workspace: WorkspaceLimits, now: float
    ) -> None:
        if workspace.rate_limit is None:
            return
        metadata = request.metadata
        cost = 1.0
        if workspace.limited_by_tokens:
            cost = workspace.default_cost_tokens
            if metadata.has_token_counts:
                cost = float(metadata.prompt_tokens + metadata.output_tokens)
        reservation = self._rate_limiter.reserve(
            workspace.id, workspace.rate_limit, cost, now, metadata.taken_up
        )
        if reservation.wait_s > 0:
            self._timeline.record(
                "share_used_up",
                metadata.id,
                workspace.id,
                cost=cost,
                rate=workspace.rate_limit.rate,
                burst=workspace.rate_limit.burst,
                level=round(self._rate_limiter.level(workspace.id)),
                used_here=round(
                    self._rate_limiter.local_usage(now)[workspace.id].total
                ),
                wait_s=round(reservation.wait_s, 3),
                resumes=metadata.resumes or "",
            )
            raise _refused(
                metadata.id,
                ErrorCode.RATE_LIMITED,
                "the workspace has used up its share",
                min(MAX_RETRY_AFTER_S, reservation.wait_s),
            )
        request.reserved_cost = cost
        request.beyond_share = reservation.beyond_share


def _deadline_s(
    request: HttpRequest, route: RelayRoute, metadata: RequestMetadata
) -> float:
    remaining_s = route.timeout_s
    if metadata.time_left_s is not None:
        remaining_s = min(remaining_s, metadata.time_left_s - RESPONSE_MARGIN_S)
    return request.arrived_s + remaining_s


def _refused(
    request_id: RequestId,
    code: ErrorCode,
    message: str,
    retry_after_s: float | None = None,
) -> RefusedError:
    error = RefusedError(Refusal(code, message, retry_after_s=retry_after_s))
    error.request_id = request_id
    return error
