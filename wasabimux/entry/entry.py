"""The entry: meets callers and takes their requests to upstreams."""

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
from wasabimux.entry.feed import ANNOUNCE_S, SettingsFeed
from wasabimux.entry.instances import InstanceList
from wasabimux.entry.keyed_calls import ClaimedCallSender
from wasabimux.entry.peers import PeerLinks
from wasabimux.entry.pool import AgentPool, Connect
from wasabimux.entry.rate_gate import RateGate
from wasabimux.entry.rate_shards import ShardKeeper
from wasabimux.errors import ErrorCode, RefusedError, refused
from wasabimux.headers import end_to_end_headers
from wasabimux.ids import (
    Incarnation,
    InstanceId,
    SettingsVersion,
    WorkspaceId,
    new_incarnation,
    new_request_id,
)
from wasabimux.link.link import Link, LinkTraffic
from wasabimux.link.messages import (
    Claim,
    ClaimReply,
    GrantAsk,
    GrantReply,
    Hello,
    HolderHint,
    HolderWanted,
    Message,
    SettingsUpdate,
    SettingsWanted,
)
from wasabimux.ports import Store, StoreUnavailable
from wasabimux.settings.fleet import Route
from wasabimux.settings.index import FleetIndex
from wasabimux.settings.views import UpstreamSettings
from wasabimux.timeline import Timeline, wall_clock_ms

COMPLETION_PATHS = frozenset({"/v1/completions", "/v1/chat/completions"})
MODELS_PATH = "/v1/models"

#: The holder of this shard deletes old claims.
FIRST_SHARD = 0

#: Peers that an entry links to, besides the holders it asks.
PEER_LINKS = 4


class PlacementPolicies(NamedTuple):
    """How an entry chooses upstreams."""

    prefill: PlacementPolicy
    decode: PlacementPolicy
    call: PlacementPolicy
    timing: PrefillTiming = PrefillTiming.AFTER_GRANT


def default_policies() -> PlacementPolicies:
    """Returns the policies that daemons use."""
    return PlacementPolicies(PrefixAffinity(), PowerOfTwoChoices(), PowerOfTwoChoices())


class Entry:
    """Serves callers; a context manager that ends its links.

    Args:
        instance: Name of this entry.
        store: The platform's store.
        connect: Connects to the link port of an agent.
        subset_size: Most agents of a group to link to.
        timeline: Records events.
        rng: Source of random choices.
        peer_address: Address for links from other entries, as `IP:PORT`.
        policies: How upstreams are chosen, None for the default.
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
        self.keeper = ShardKeeper(
            instance,
            self.incarnation,
            peer_address,
            store,
            self.peers,
            self._rules_of,
            lambda: self._instances.other_entries,
            timeline,
            self._instances.unlisted_for,
        )
        self.gate = RateGate(self.keeper, self.peers, store, rng)
        self._instance = instance
        self._active = ActiveRequests(self.gate, timeline)
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
        for task in self._tasks:
            task.cancel()
        self.pool.__exit__()
        self.peers.__exit__()

    def start(self) -> None:
        """Starts to follow the settings and the list of instances."""
        self._tasks = [
            asyncio.ensure_future(self.feed.run()),
            asyncio.ensure_future(self._instances.run()),
            asyncio.ensure_future(self._keep_peers()),
            asyncio.ensure_future(self.keeper.run()),
            asyncio.ensure_future(self.gate.run()),
            asyncio.ensure_future(self._sweep_claims()),
        ]

    async def release(self) -> None:
        """Hands over what this entry holds for others, for an orderly end."""
        await self.keeper.release_all()

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answers one request of a caller."""
        try:
            return await self._handle(request)
        except RefusedError as error:
            refusal = error.refusal
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

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        index = self.feed.current
        now = loop_time()
        if index is None or not self.feed.may_serve(
            now, bool(self._instances.other_entries)
        ):
            text = "this entry cannot tell whether its settings are in force"
            raise refused(ErrorCode.STALE_SETTINGS, text)
        caller = authenticate(request.headers, index)
        if request.path == MODELS_PATH:
            return self._list_models(request, caller, index)
        if request.path in COMPLETION_PATHS:
            return await self._complete(request, caller, index)
        return await self._call(request, caller, index)

    def _list_models(
        self, request: HttpRequest, caller: ClientIdentity, index: FleetIndex
    ) -> HttpResponse:
        if request.method != "GET":
            raise refused(ErrorCode.NOT_FOUND, "use GET")
        models = [
            {"id": route.model, "object": "model"}
            for route in index.completions_routes()
            if index.may_use_route(caller.workspace, route)
        ]
        if caller.workspace is None and not models:
            raise refused(ErrorCode.UNAUTHENTICATED, "a key is needed")
        return json_response(200, {"object": "list", "data": models})

    async def _complete(
        self, request: HttpRequest, caller: ClientIdentity, index: FleetIndex
    ) -> HttpResponse:
        if request.method != "POST":
            raise refused(ErrorCode.NOT_FOUND, "use POST")
        any_open = any(route.open for route in index.completions_routes())
        if caller.workspace is None and not any_open:
            raise refused(ErrorCode.UNAUTHENTICATED, "a key is needed")
        body = await request.body()
        reject_key_in_request(request.target, body, caller)
        completion = parse_completion(request.path, body)
        route = index.completions_route(completion.model)
        if route is None:
            raise refused(ErrorCode.NOT_FOUND, f"no model {completion.model!r}")
        context = self._context(request, caller, route, index)
        completion = completion.with_output_limit(context.settings.max_output_tokens)
        worst = completion.max_total_tokens(index.bytes_per_token(completion.model))
        return await self._active.serve(
            context, worst, lambda: self._completions.serve(context, completion)
        )

    async def _call(
        self, request: HttpRequest, caller: ClientIdentity, index: FleetIndex
    ) -> HttpResponse:
        route = index.service_route(request.path)
        if route is None:
            raise refused(ErrorCode.NOT_FOUND, f"nothing at {request.path}")
        context = self._context(request, caller, route, index)
        body = await request.body()
        target = strip_query_keys(request.target, index)
        reject_key_in_request(target, body, caller)
        headers = end_to_end_headers(strip_credential_headers(request.headers, index))
        call = ServiceCall(
            request.method,
            target,
            [item for item in headers if item[0] not in (b"host", b"expect")],
            body,
            self._idempotency_key(request, caller),
        )
        return await self._active.serve(
            context, 0, lambda: self._calls.serve(context, call)
        )

    def _idempotency_key(
        self, request: HttpRequest, caller: ClientIdentity
    ) -> bytes | None:
        key = request.header(b"idempotency-key")
        if key is not None and caller.workspace is None:
            text = "an Idempotency-Key needs a key in the Authorization header"
            raise refused(ErrorCode.BAD_REQUEST, text)
        return key

    async def _sweep_claims(self) -> None:
        """Deletes old claims, at the one entry that holds the first shard."""
        while True:
            await asyncio.sleep(CLAIM_WINDOW_S / 4)
            if self.keeper.holds(FIRST_SHARD):
                try:
                    await self._claims.sweep(wall_clock_ms())
                except StoreUnavailable:
                    continue

    def _context(
        self,
        request: HttpRequest,
        caller: ClientIdentity,
        route: Route,
        index: FleetIndex,
    ) -> RequestContext:
        """Checks that the caller may use the route, and starts the request."""
        if not index.may_use_route(caller.workspace, route):
            if caller.workspace is None:
                raise refused(ErrorCode.UNAUTHENTICATED, "a key is needed")
            text = "the key's workspace may not use this route"
            raise refused(ErrorCode.FORBIDDEN, text)
        context = RequestContext(
            new_request_id(),
            caller,
            route,
            index.route_settings(route),
            request.arrived_s,
            self._weight_of(caller, index),
        )
        self.timeline.record(
            "accepted", context.request_id, context.workspace, route=route.id
        )
        return context

    def _weight_of(self, caller: ClientIdentity, index: FleetIndex) -> float:
        if caller.workspace is None:
            return 1.0
        return index.workspace_settings(caller.workspace).weight

    def _on_settings(self, index: FleetIndex) -> None:
        now = loop_time()
        self.pool.apply(index)
        self.keeper.reconfigure(now)
        for link in self.peers.links():
            link.send(0, self.feed.announcement())
        self._active.abort_withdrawn(
            lambda digest: index.workspace_of_key(digest) is None
        )

    def _on_newer_settings(
        self, version: SettingsVersion, view: UpstreamSettings
    ) -> None:
        """Takes what an agent passes on of settings that may be newer."""
        self.feed.note_version(version)
        self._active.abort_withdrawn(lambda digest: digest in view.withdrawn_keys)

    def _rules_of(self, workspace: str) -> RateLimit:
        """Returns the limits of a workspace; an unknown one gets nothing."""
        index = self.feed.current
        if index is None or not index.has_workspace(workspace):
            return RateLimit(0.0, 0.0)
        settings = index.workspace_settings(WorkspaceId(workspace))
        return RateLimit(settings.rate_tokens_per_s, settings.burst_tokens)

    def _on_peer_message(self, link: Link, message: Message) -> None:
        now = loop_time()
        if isinstance(message, GrantAsk):
            self.keeper.settle(message.workspace, message.report, now)
            if message.ask_id:
                decision = self.keeper.ask(
                    message.workspace, message.needed, message.wanted, now
                )
                link.send(0, GrantReply(message.ask_id, decision))
        elif isinstance(message, GrantReply):
            self.gate.on_reply(message)
        elif isinstance(message, HolderWanted):
            hint = self.gate.hint_for(message.shard)
            if hint is not None:
                link.send(0, hint)
        elif isinstance(message, HolderHint):
            self.gate.on_hint(message)
        elif isinstance(message, Claim):
            link.send(0, self.keeper.on_claim(message))
        elif isinstance(message, ClaimReply) and link.peer is not None:
            self.keeper.on_claim_reply(message, link.peer.incarnation, now)
        elif isinstance(message, (SettingsUpdate, SettingsWanted)):
            self.feed.on_message(link, message)

    async def _keep_peers(self) -> None:
        """Links to a few peers and tells them the version of the settings."""
        while True:
            chosen = rendezvous_top(
                self._instance.encode(), self._instances.other_entries, PEER_LINKS
            )
            entries = self._instances.other_entries
            addresses = [entries[InstanceId(name)] for name in chosen]
            await asyncio.gather(*(self._announce(address) for address in addresses))
            await asyncio.sleep(ANNOUNCE_S)

    async def _announce(self, address: str) -> None:
        try:
            link = await self.peers.link_to(address)
        except OSError:
            return
        link.send(0, self.feed.announcement())
