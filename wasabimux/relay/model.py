"""Routes, services, workspaces, upstreams and message metadata of a relay."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from wasabimux.decisions.rate import RateLimit
from wasabimux.decisions.rollout import RolloutOrder, RolloutStep
from wasabimux.decisions.told_load import ToldLoad
from wasabimux.ids import (
    FailureDomainId,
    PromptPartId,
    RequestId,
    SoftwareVersion,
    UpstreamId,
    WorkspaceId,
)

#: Most parts of a prompt in one log line.
MAX_LOGGED_PARTS = 8


class RequestKind(Enum):
    """Kind of a route's requests, which decides whether they may be retried.

    Attributes:
        SAFE: Requests that may be executed more than once.
        UNSAFE: Requests that must be executed at most once.
        STREAM: Streams; executed more than once only if the route is resumable.
    """

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Phase(Enum):
    """Phase of inference that a model engine runs."""

    PREFILL = "prefill"
    DECODE = "decode"


class WeightedService(NamedTuple):
    """Service that receives a fraction of a route's requests.

    Attributes:
        service: Name of the service.
        weight: Relative share of the requests.
    """

    service: str
    weight: float


class RelayRoute(NamedTuple):
    """A route by host and path prefix.

    Attributes:
        name: Name of the route.
        host: Value of the Host header, without a port.
        path_prefix: Prefix of the path, with a slash at both ends.
        request_kind: Kind of the requests, which decides about retries.
        services: Services that the requests are distributed to, by weight.
        timeout_s: Maximum duration of a request, in s.
        target_latency_s: Target time to the response, or to the first event of a
            stream, in s.
        target_gap_s: Target for the longest pause between events of a stream, in s.
        max_attempts: Maximum number of upstreams that one request may be sent to.
        priority: Priority of the route, 0 is the highest.
        public: True if requests need no API key.
        resumable: True if a stream may be resumed at another upstream.
        client_idle_timeout_s: Time without an event after which clients disconnect,
            in s.
    """

    name: str
    host: str
    path_prefix: str
    request_kind: RequestKind
    services: tuple[WeightedService, ...]
    timeout_s: float
    target_latency_s: float
    target_gap_s: float
    max_attempts: int
    priority: int
    public: bool
    resumable: bool
    client_idle_timeout_s: float

    @property
    def service_names(self) -> frozenset[str]:
        """Names of the services that the requests are distributed to."""
        return frozenset(item.service for item in self.services)

    @property
    def idempotent(self) -> bool:
        """True if a request may be executed more than once."""
        return self.request_kind is RequestKind.SAFE or (
            self.request_kind is RequestKind.STREAM and self.resumable
        )


class EngineProfile(NamedTuple):
    """Capacity and timing of the model engines of a service.

    Attributes:
        slots: Maximum number of requests that an engine runs concurrently.
        memory_tokens: Capacity of the KV cache memory, in tokens.
        kv_cache_retention_s: Time for which an engine keeps the KV cache of a
            prefill, in s.
        max_reservation_s: Time after which a slot reservation expires, in s.
        phase_change_s: Duration of a phase change, in s.
        tokens_per_event: Tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    kv_cache_retention_s: float
    max_reservation_s: float
    phase_change_s: float
    tokens_per_event: int


class ServiceProfile(NamedTuple):
    """A group of interchangeable upstreams.

    Attributes:
        name: Name of the service.
        max_connections: Maximum number of connections that one upstream accepts.
        cold_start_s: Time after its start during which an upstream is cold and can
            handle only a low request rate, in s.
        cold_per_s: Request rate that a cold upstream can handle, in requests per s;
            0 for no limit.
        engine: Profile of the model engines, None for a non-generation HTTP service.
    """

    name: str
    max_connections: int
    cold_start_s: float
    cold_per_s: float
    engine: EngineProfile | None


class WorkspaceLimits(NamedTuple):
    """Priority and rate limit of a workspace.

    Attributes:
        id: Name of the workspace.
        priority: Priority of the workspace, 0 is the highest; None to use the
            priority of the route.
        rate_limit: Rate limit, None for no limit.
        limited_by_tokens: True if the rate limit is in tokens, False if in requests.
        default_cost_tokens: Tokens charged for a request without token counts.
    """

    id: WorkspaceId
    priority: int | None
    rate_limit: RateLimit | None
    limited_by_tokens: bool
    default_cost_tokens: float


class ClientLimits(NamedTuple):
    """Limits on the size of client requests and on idle client connections."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class DesiredState(NamedTuple):
    """One version of the configuration that operators want to be in force.

    Attributes:
        version: Version number, which only increases.
        routes: All routes.
        service_by_name: All services by name.
        workspace_by_key: Workspaces by API key.
        limits: Limits on clients.
        keys_required: True if routes that are not public require an API key.
    """

    version: int
    routes: tuple[RelayRoute, ...]
    service_by_name: dict[str, ServiceProfile]
    workspace_by_key: dict[str, WorkspaceLimits]
    limits: ClientLimits
    keys_required: bool


class RolloutRecord(NamedTuple):
    """A roll-out that an operator has ordered.

    Attributes:
        order: The order.
        step: Step that it has reached, None if nothing was written yet.
        begun_ms: Time of day of the order in ms since the epoch, 0 if unknown.
    """

    order: RolloutOrder
    step: RolloutStep | None = None
    begun_ms: int = 0


class UpstreamRecord(NamedTuple):
    """Entry that an upstream has registered in the platform's store.

    Attributes:
        id: Identity of this incarnation of the upstream.
        service: Name of the service that the upstream belongs to.
        address: Address of the upstream, as `IP:PORT`.
        failure_domain: Failure domain in which the upstream runs.
        slots: Maximum number of requests that the upstream runs concurrently.
        draining: True once the upstream is shutting down.
        cold_s: Remaining time for which the upstream is cold, in s, as of the writing
            of the entry.
        phase: Phase of a model engine, None for a non-generation HTTP service.
        started_ms: Start of this incarnation, in ms since the epoch; 0 if unknown.
        sequence: Number of the entry, which rises with each write of this incarnation;
            0 if unknown.
        software: Version of its software, empty if unknown.
    """

    id: UpstreamId
    service: str
    address: str
    failure_domain: FailureDomainId
    slots: int
    draining: bool
    cold_s: float
    phase: Phase | None
    started_ms: int
    sequence: int = 0
    software: SoftwareVersion = SoftwareVersion("")


class RequestMetadata(NamedTuple):
    """Metadata that a client sends in the headers of a request.

    Attributes:
        id: Request identity given by the client.
        key: API key of the client, empty if there is none.
        time_left_s: Time for which the client will wait, in s; None if not given.
        prompt_tokens: Tokens of the prompt, 0 for a non-generation call.
        output_tokens: Maximum number of output tokens.
        last_event_id: Event after which a stream is resumed, None to start it.
        expected_tokens: Client's estimate of the number of output tokens, None if not
            given.
        shared_parts: Parts of the prompt that other prompts may share, in order.
        resumes: Identity of the request that began the stream, None if not given.
    """

    id: RequestId
    key: str
    time_left_s: float | None
    prompt_tokens: int
    output_tokens: int
    last_event_id: int | None
    expected_tokens: int | None = None
    shared_parts: tuple[PromptPartId, ...] = ()
    resumes: RequestId | None = None

    @property
    def has_token_counts(self) -> bool:
        """True if the request has token counts, which marks a generation request."""
        return self.prompt_tokens > 0 or self.output_tokens > 0

    @property
    def taken_up(self) -> RequestId | None:
        """The stream that the request takes up, None if it begins anew.

        A stream whose first request is not named is known by the identity of this one.
        """
        return None if self.last_event_id is None else self.resumes or self.id

    @property
    def parts_text(self) -> str:
        """The shared parts of the prompt as text for a log line."""
        return ",".join(self.shared_parts[:MAX_LOGGED_PARTS])


class SendOptions(NamedTuple):
    """Values that a relay sets in the headers of a forwarded request.

    Attributes:
        upstream: The only upstream that may execute the request.
        time_left_s: Time after which the upstream may abort the request, in s.
        workspace: Workspace of the API key, None on a public route without a key.
        drop_key: True to remove the API key, where keys are for wasabimux alone and
            must not reach an upstream.
        prefill_only: True to compute the KV cache and retain it.
        kv_source: Location of the KV cache, as `IP:PORT/HANDLE`.
        reservation: Reservation of a decode slot.
        last_event_id: Event after which the stream is resumed.
    """

    upstream: UpstreamId
    time_left_s: float
    workspace: WorkspaceId | None
    drop_key: bool = True
    prefill_only: bool = False
    kv_source: str | None = None
    reservation: str | None = None
    last_event_id: int | None = None


class UpstreamNotice(NamedTuple):
    """What a response says of its upstream, whichever request it belongs to.

    Attributes:
        leaving: True if the upstream is shutting down.
        pause_s: Time in s for which it wants no requests of this relay, None if it does
            not say so.
        load: Load that it tells, None if it does not say how slow its machine is.
    """

    leaving: bool = False
    pause_s: float | None = None
    load: ToldLoad | None = None
