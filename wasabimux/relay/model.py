"""What a relay knows of routes, services, workspaces and upstreams."""

from __future__ import annotations

from enum import Enum
from typing import NamedTuple

from wasabimux.decisions.rate import RateLimit
from wasabimux.ids import FailureDomainId, RequestId, UpstreamId, WorkspaceId


class Repeat(Enum):
    """What may be sent more than once on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Phase(Enum):
    """What a model engine does."""

    PREFILL = "prefill"
    DECODE = "decode"


class WeightedService(NamedTuple):
    """A service that gets a part of a route's requests."""

    service: str
    weight: float


class RelayRoute(NamedTuple):
    """A route by host and path prefix.

    Attributes:
        name: Name of the route.
        host: Value of the Host header, without a port.
        path_prefix: Start of the path, with a slash at both ends.
        repeat: What may be sent more than once.
        services: Where requests go, by weight.
        timeout_s: Longest time that a request may take.
        target_s: Time to the answer, or to the first event of a stream.
        target_gap_s: Longest pause between the events of a stream.
        max_attempts: Most upstreams that one request may be sent to.
        priority: Rank of the route, 0 first.
        public: True if no key is needed.
        resumable: True if a stream may go on at another upstream.
        patience_s: Time without an event after which callers leave.
    """

    name: str
    host: str
    path_prefix: str
    repeat: Repeat
    services: tuple[WeightedService, ...]
    timeout_s: float
    target_s: float
    target_gap_s: float
    max_attempts: int
    priority: int
    public: bool
    resumable: bool
    patience_s: float

    @property
    def idempotent(self) -> bool:
        """True if a request may run more than once."""
        return self.repeat is Repeat.SAFE or (
            self.repeat is Repeat.STREAM and self.resumable
        )


class EngineProfile(NamedTuple):
    """Sizes of the model engines of a service.

    Attributes:
        slots: Requests that an engine runs at once.
        memory_tokens: Tokens that fit into its memory.
        handle_s: Time for which the KV cache of a prefill is kept.
        hold_s: Longest reservation of a slot.
        switch_s: Time that a change of phase takes.
        tokens_per_event: Tokens in one event of a stream.
    """

    slots: int
    memory_tokens: int
    handle_s: float
    hold_s: float
    switch_s: float
    tokens_per_event: int


class ServiceProfile(NamedTuple):
    """A group of equal upstreams.

    Attributes:
        name: Name of the service.
        max_connections: Connections that one upstream accepts from all callers.
        cold_start_s: Time for which an upstream that starts bears little load.
        cold_per_s: Requests a second that a cold upstream bears.
        engine: Sizes of a model engine, None for a plain service.
    """

    name: str
    max_connections: int
    cold_start_s: float
    cold_per_s: float
    engine: EngineProfile | None


class WorkspaceRules(NamedTuple):
    """A workspace with its keys and limits.

    Attributes:
        id: Name of the workspace.
        priority: Rank of the workspace, 0 first; None if routes decide.
        rate: Limits, None for no limit.
        counts_tokens: True if the limits are in tokens, else in requests.
        plain_cost: Tokens that a request without token counts is charged.
    """

    id: WorkspaceId
    priority: int | None
    rate: RateLimit | None
    counts_tokens: bool
    plain_cost: float


class CallerLimits(NamedTuple):
    """Limits on what callers may send and how long they may stay idle."""

    max_header_bytes: int
    max_body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


class DesiredState(NamedTuple):
    """One version of what operators want.

    Attributes:
        version: Number of the version; only ever increases.
        routes: All routes.
        service_by_name: All services.
        workspace_by_key: Workspaces by their keys.
        limits: Limits on callers.
        keys_needed: True if routes that are not public need a key.
    """

    version: int
    routes: tuple[RelayRoute, ...]
    service_by_name: dict[str, ServiceProfile]
    workspace_by_key: dict[str, WorkspaceRules]
    limits: CallerLimits
    keys_needed: bool


class UpstreamRecord(NamedTuple):
    """What an upstream says of itself in the platform's store.

    Attributes:
        id: Identity of this life of the upstream.
        service: Service that it belongs to.
        address: Its address, as `IP:PORT`.
        failure_domain: Where it runs.
        slots: Requests that it runs at once.
        draining: True once it is about to leave.
        cold_s: Time for which it bears little load, as of the entry's writing.
        phase: What an engine does, None for a plain service.
        born_ms: Start of this life, ms since the epoch; 0 if it does not say.
    """

    id: UpstreamId
    service: str
    address: str
    failure_domain: FailureDomainId
    slots: int
    draining: bool
    cold_s: float
    phase: Phase | None
    born_ms: int


class RequestFacts(NamedTuple):
    """What a request says of itself.

    Attributes:
        id: Identity given by the caller.
        key: Key of the caller, empty if there is none.
        time_left_s: How long the caller waits, None if it does not say.
        prompt_tokens: Tokens of the prompt, 0 for a plain call.
        output_tokens: Most tokens of the answer.
        last_event_id: Event after which a stream goes on, None from the start.
        expected_tokens: Caller's estimate of the answer's length, None without one.
    """

    id: RequestId
    key: str
    time_left_s: float | None
    prompt_tokens: int
    output_tokens: int
    last_event_id: int | None
    expected_tokens: int | None = None

    @property
    def counts_tokens(self) -> bool:
        """True for a request to a model."""
        return self.prompt_tokens > 0 or self.output_tokens > 0


class SendOptions(NamedTuple):
    """What a relay adds to a request that it passes on.

    Attributes:
        upstream: The only upstream that may run it.
        time_left_s: Time after which the upstream may stop.
        workspace: Workspace of the key, None on a public route without a key.
        drop_key: True where keys belong to wasabimux and no upstream may see one.
        prefill_only: True to compute the KV cache and keep it.
        kv_source: Where the KV cache is, as `IP:PORT/HANDLE`.
        hold: Reservation of a slot.
        last_event_id: Event after which a resumed stream goes on.
    """

    upstream: UpstreamId
    time_left_s: float
    workspace: WorkspaceId | None
    drop_key: bool = True
    prefill_only: bool = False
    kv_source: str | None = None
    hold: str | None = None
    last_event_id: int | None = None


class AnswerFacts(NamedTuple):
    """What the head of an answer says.

    Attributes:
        id: Identity of the request that it answers, None if it does not say.
        signed: True if an upstream made the answer.
        not_executed: True if the request has not run and will not.
    """

    id: str | None
    signed: bool
    not_executed: bool
