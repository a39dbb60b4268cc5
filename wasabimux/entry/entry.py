"""The entry: serves the HTTP requests of clients through upstreams."""

from __future__ import annotations

import asyncio
import random
from typing import Any, NamedTuple

from wasabimux._clock import loop_time
from wasabimux.adapters.http_server import (
    HttpRequest,
    HttpResponse,
    json_response,
    refusal_response,
)
from wasabimux.decisions.placement import (
    PlacementPolicy,
    PowerOfTwoChoices,
    PrefixAffinity,
    rendezvous_top,
)
from wasabimux.decisions.rate import RateLimit
from wasabimux.decisions.retry import RetryBudget
from wasabimux.entry.active import ActiveRequests
from wasabimux.entry.attempts import AttemptRunner
from wasabimux.entry.calls import ServiceCall, ServiceCallHandler
from wasabimux.entry.claims import CLAIM_WINDOW_S, ClaimStore
from wasabimux.entry.completions import (
    CompletionHandler,
    PrefillTiming,
    parse_completion,
)
from wasabimux.entry.context import RequestContext
from wasabimux.entry.credentials import (
    ClientIdentity,
    authenticate,
    reject_key_in_request,
    strip_credential_headers,
    strip_query_keys,
)
from wasabimux.entry.feed import ANNOUNCE_INTERVAL_S, SettingsFeed
from wasabimux.entry.instances import InstanceList
from wasabimux.entry.keyed_calls import ClaimedCallSender
from wasabimux.entry.peers import PeerLinks
from wasabimux.entry.pool import AgentPool, Connect
from wasabimux.entry.rate_gate import RateLimiter
from wasabimux.entry.rate_shards import ShardManager
from wasabimux.errors import ErrorCode, Ran, RefusedError, refused
from wasabimux.headers import end_to_end_headers
from wasabimux.ids import (
    Incarnation,
    InstanceId,
    SettingsVersion,
    WorkspaceId,
    new_incarnation,
    new_request_id,
)
from wasabimux.link.link import Link, LinkTraffic, finish_links
from wasabimux.link.messages import (
    GrantReply,
    GrantRequest,
    Hello,
    Message,
    SettingsRequest,
    SettingsUpdate,
    ShardClaim,
    ShardClaimReply,
    ShardHolderHint,
    ShardHolderRequest,
)
from wasabimux.ports import Store, StoreUnavailable
from wasabimux.settings.fleet import Route
from wasabimux.settings.index import FleetIndex
from wasabimux.settings.views import UpstreamSettings
from wasabimux.timeline import Timeline, wall_clock_ms

#: Header by which a client names a call that it may repeat.
IDEMPOTENCY_KEY_HEADER = b"idempotency-key"

COMPLETION_PATHS = frozenset({"/v1/completions", "/v1/chat/completions"})
MODELS_PATH = "/v1/models"

#: Shard whose holder deletes expired claims.
CLAIM_SWEEP_SHARD = 0

#: Number of peers that an entry links to, besides the shard holders that it needs.
PEER_LINK_COUNT = 4

#: Share of the time for what is owed at the end that calls to the store may take.
STORE_SETTLE_SHARE = 0.7


class PlacementPolicies(NamedTuple):
    """Policies by which an entry chooses upstreams.

    Attributes:
        prefill: Policy for prefill engines.
        decode: Policy for decode engines.
        call: Policy for upstreams of other HTTP services.
        timing: Time at which prefills start.
    """

    prefill: PlacementPolicy
    decode: PlacementPolicy
    call: PlacementPolicy
    timing: PrefillTiming = PrefillTiming.AFTER_GRANT


def default_policies() -> PlacementPolicies:
    """Returns the policies that an entry uses if none are given."""
    return PlacementPolicies(PrefixAffinity(), PowerOfTwoChoices(), PowerOfTwoChoices())


class Entry:
    """Serves clients; a context manager that closes all links at its exit.

    Args:
        instance: Name of this entry.
        store: The platform's store.
        connect: Function that connects to the link address of an agent or entry.
        subset_size: Maximum number of agents of a group to link to.
        timeline: Timeline that records events.
        rng: Source of random choices.
        peer_address: Address for links from other entries, as `IP:PORT`.
        policies: Policies by which upstreams are chosen, None for the default.

    Attributes:
        incarnation: Incarnation of this entry.
        timeline: Timeline that records events.
        traffic: Byte counters of the entry's links.
        feed: Settings in force.
        pool: Links to agents.
        peers: Links to other entries.
        shard_manager: Shards of workspaces that this entry holds.
        rate_limiter: Rate limiter that charges requests.
    """

    def __init__(
        self,
        instance: InstanceId,
        store: Store,
        connect: Connect,
        subset_size: int,
        timeline: Timeline,
        rng: random.Random,
        peer_address: str,
        policies: PlacementPolicies | None = None,
    ) -> None:
        policies = policies or default_policies()
        self.incarnation: Incarnation = new_incarnation()
        self.timeline = timeline
        self.traffic = LinkTraffic()
        self.feed = SettingsFeed(store, self._on_settings, timeline, rng)
        self.pool = AgentPool(
            instance,
            self.incarnation,
            connect,
            subset_size,
            timeline,
            self.traffic,
            self._on_newer_settings,
        )
        self._instances = InstanceList(instance, store, self.pool.mark_leaving)
        self.peers = PeerLinks(
            Hello("entry", instance, self.incarnation),
            connect,
            timeline.clock,
            self.traffic,
            self._on_peer_message,
        )
        self.shard_manager = ShardManager(
            instance,
            self.incarnation,
            peer_address,
            store,
            self.peers,
            self._rate_limit_of,
            lambda: self._instances.other_entries,
            timeline,
            self._instances.unlisted_duration_s,
        )
        self.rate_limiter = RateLimiter(self.shard_manager, self.peers, store, rng)
        self._instance = instance
        self._active = ActiveRequests(self.rate_limiter, timeline)
        attempts = AttemptRunner(RetryBudget(), rng, timeline)
        self._completions = CompletionHandler(
            self.pool,
            attempts,
            policies.prefill,
            policies.decode,
            rng,
            timeline,
            policies.timing,
        )
        self._claims = ClaimStore(store)
        self._calls = ServiceCallHandler(
            self.pool,
            attempts,
            policies.call,
            rng,
            timeline,
            ClaimedCallSender(self._claims, self.pool),
        )
        self._store = store
        self._tasks: list[asyncio.Task[Any]] = []

    def __enter__(self) -> Entry:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._cancel_tasks()
        self.pool.__exit__()
        self.peers.__exit__()

    def start(self) -> None:
        """Starts the background tasks of the entry."""
        self._tasks = [
            asyncio.ensure_future(self.feed.run()),
            asyncio.ensure_future(self._instances.run()),
            asyncio.ensure_future(self._maintain_peer_links()),
            asyncio.ensure_future(self.shard_manager.run()),
            asyncio.ensure_future(self.rate_limiter.run()),
            asyncio.ensure_future(self._sweep_claims()),
        ]

    async def settle(self, timeout_s: float) -> None:
        """Settles what this entry owes to other entries, once no request runs.

        It ends the background tasks and the links to other entries.

        Args:
            timeout_s: Longest time in s that it takes.
        """
        until_s = loop_time() + timeout_s
        try:
            async with asyncio.timeout(STORE_SETTLE_SHARE * timeout_s):
                await self.rate_limiter.report_all()
                await self.release_shards()
        except TimeoutError:
            self.timeline.record("shards_not_released")
        self._cancel_tasks()  # they would link to peers again
        await finish_links(self.peers.links(), until_s - loop_time())

    async def release_shards(self) -> None:
        """Releases the shards that this entry holds, for a graceful shutdown."""
        await self.shard_manager.release_all()

    def _cancel_tasks(self) -> None:
        """Cancels the background tasks."""
        for task in self._tasks:
            task.cancel()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Returns the response to a client's request."""
        try:
            return await self._dispatch(request)
        except RefusedError as error:
            refusal = error.refusal
            if not error.request_id and request.header(IDEMPOTENCY_KEY_HEADER):
                # Nobody has looked whether this repeats a call that ran.
                refusal = refusal.with_ran(Ran.UNKNOWN)
            self.timeline.record(
                "refused_to_caller",
                error.request_id,
                code=refusal.code.value,
                ran=refusal.ran.value,
            )
            response = refusal_response(refusal)
            if error.request_id:
                response.headers.append((b"x-request-id", error.request_id.encode()))
            return response

    async def _dispatch(self, request: HttpRequest) -> HttpResponse:
        index = self.feed.current
        now = loop_time()
        if index is None or not self.feed.may_serve(
            now, bool(self._instances.other_entries)
        ):
            text = "the settings of this entry may be outdated"
            raise refused(ErrorCode.STALE_SETTINGS, text)
        client = authenticate(request.headers, index)
        if request.path == MODELS_PATH:
            return self._list_models(request, client, index)
        if request.path in COMPLETION_PATHS:
            return await self._complete(request, client, index)
        return await self._call_service(request, client, index)

    def _list_models(
        self, request: HttpRequest, client: ClientIdentity, index: FleetIndex
    ) -> HttpResponse:
        if request.method != "GET":
            raise refused(ErrorCode.NOT_FOUND, "only GET is allowed on this path")
        models = [
            {"id": route.model, "object": "model"}
            for route in index.completions_routes()
            if index.may_use_route(client.workspace, route)
        ]
        if client.workspace is None and not models:
            raise refused(ErrorCode.UNAUTHENTICATED, "an API key is required")
        return json_response(200, {"object": "list", "data": models})

    async def _complete(
        self, request: HttpRequest, client: ClientIdentity, index: FleetIndex
    ) -> HttpResponse:
        if request.method != "POST":
            raise refused(ErrorCode.NOT_FOUND, "only POST is allowed on this path")
        any_open = any(route.open for route in index.completions_routes())
        if client.workspace is None and not any_open:
            raise refused(ErrorCode.UNAUTHENTICATED, "an API key is required")
        body = await request.body()
        reject_key_in_request(request.target, body, client)
        completion = parse_completion(request.path, body)
        route = index.completions_route(completion.model)
        if route is None:
            raise refused(
                ErrorCode.NOT_FOUND, f"there is no model {completion.model!r}"
            )
        context = self._new_context(request, client, route, index)
        completion = completion.with_output_limit(context.settings.max_output_tokens)
        max_total_tokens = completion.max_total_tokens(
            index.bytes_per_token(completion.model)
        )
        return await self._active.serve(
            context,
            max_total_tokens,
            lambda: self._completions.serve(context, completion),
        )

    async def _call_service(
        self, request: HttpRequest, client: ClientIdentity, index: FleetIndex
    ) -> HttpResponse:
        route = index.service_route(request.path)
        if route is None:
            raise refused(
                ErrorCode.NOT_FOUND, f"no route serves the path {request.path}"
            )
        context = self._new_context(request, client, route, index)
        body = await request.body()
        target = strip_query_keys(request.target, index)
        reject_key_in_request(target, body, client)
        headers = end_to_end_headers(strip_credential_headers(request.headers, index))
        call = ServiceCall(
            request.method,
            target,
            [item for item in headers if item[0] not in (b"host", b"expect")],
            body,
            self._idempotency_key(request, client),
        )
        return await self._active.serve(
            context, 0, lambda: self._calls.serve(context, call)
        )

    def _idempotency_key(
        self, request: HttpRequest, client: ClientIdentity
    ) -> bytes | None:
        key = request.header(IDEMPOTENCY_KEY_HEADER)
        if key is not None and client.workspace is None:
            text = "an Idempotency-Key requires an API key in the Authorization header"
            raise refused(ErrorCode.BAD_REQUEST, text)
        return key

    async def _sweep_claims(self) -> None:
        """Deletes expired claims while this entry holds `CLAIM_SWEEP_SHARD`."""
        while True:
            await asyncio.sleep(CLAIM_WINDOW_S / 4)
            if self.shard_manager.holds(CLAIM_SWEEP_SHARD):
                try:
                    await self._claims.sweep(wall_clock_ms())
                except StoreUnavailable:
                    continue

    def _new_context(
        self,
        request: HttpRequest,
        client: ClientIdentity,
        route: Route,
        index: FleetIndex,
    ) -> RequestContext:
        """Checks that the client may use the route, and returns a new request context.

        Raises:
            RefusedError: The client may not use the route.
        """
        if not index.may_use_route(client.workspace, route):
            if client.workspace is None:
                raise refused(ErrorCode.UNAUTHENTICATED, "an API key is required")
            text = "the workspace of the API key may not use this route"
            raise refused(ErrorCode.FORBIDDEN, text)
        context = RequestContext(
            new_request_id(),
            client,
            route,
            index.route_settings(route),
            request.arrived_s,
            self._workspace_weight(client, index),
        )
        self.timeline.record(
            "accepted", context.request_id, context.workspace, route=route.id
        )
        return context

    def _workspace_weight(self, client: ClientIdentity, index: FleetIndex) -> float:
        if client.workspace is None:
            return 1.0
        return index.workspace_settings(client.workspace).weight

    def _on_settings(self, index: FleetIndex) -> None:
        now = loop_time()
        self.pool.apply(index)
        self.shard_manager.reconfigure(now)
        for link in self.peers.links():
            link.send(0, self.feed.announcement())
        self._active.abort_withdrawn(
            lambda digest: index.workspace_of_key(digest) is None
        )

    def _on_newer_settings(
        self, version: SettingsVersion, view: UpstreamSettings
    ) -> None:
        """Handles an agent's report of a settings version that may be newer.

        Aborts the requests of keys that the version withdraws.

        Args:
            version: Settings version that the agent has in force.
            view: The agent's view of that version.
        """
        self.feed.observe_version(version)
        self._active.abort_withdrawn(lambda digest: digest in view.withdrawn_keys)

    def _rate_limit_of(self, workspace: str) -> RateLimit:
        """Returns the rate limit of a workspace, zero for an unknown one."""
        index = self.feed.current
        if index is None or not index.has_workspace(workspace):
            return RateLimit(0.0, 0.0)
        settings = index.workspace_settings(WorkspaceId(workspace))
        return RateLimit(settings.rate_tokens_per_s, settings.burst_tokens)

    def _on_peer_message(self, link: Link, message: Message) -> None:
        now = loop_time()
        if isinstance(message, GrantRequest):
            self.shard_manager.apply_report(message.workspace, message.report, now)
            if message.correlation_id:
                decision = self.shard_manager.request_grant(
                    message.workspace, message.needed, message.wanted, now
                )
                link.send(0, GrantReply(message.correlation_id, decision))
        elif isinstance(message, GrantReply):
            self.rate_limiter.on_reply(message)
        elif isinstance(message, ShardHolderRequest):
            hint = self.rate_limiter.hint_for(message.shard)
            if hint is not None:
                link.send(0, hint)
        elif isinstance(message, ShardHolderHint):
            self.rate_limiter.on_hint(message)
        elif isinstance(message, ShardClaim):
            link.send(0, self.shard_manager.on_claim(message))
        elif isinstance(message, ShardClaimReply) and link.peer is not None:
            self.shard_manager.on_claim_reply(message, link.peer.incarnation, now)
        elif isinstance(message, (SettingsUpdate, SettingsRequest)):
            self.feed.on_message(link, message)

    async def _maintain_peer_links(self) -> None:
        """Links to a few peers and announces the settings version to them."""
        while True:
            chosen = rendezvous_top(
                self._instance.encode(), self._instances.other_entries, PEER_LINK_COUNT
            )
            entries = self._instances.other_entries
            addresses = [entries[InstanceId(name)] for name in chosen]
            await asyncio.gather(
                *(self._announce_settings(address) for address in addresses)
            )
            await asyncio.sleep(ANNOUNCE_INTERVAL_S)

    async def _announce_settings(self, address: str) -> None:
        try:
            link = await self.peers.link_to(address)
        except OSError:
            return
        link.send(0, self.feed.announcement())
