"""The entry: meets callers and takes their requests to upstreams."""

from __future__ import annotations

import asyncio
import json
import random
from typing import Any

from wasabimux.adapters.http_server import HttpRequest, HttpResponse, refusal_response
from wasabimux.agent.calls import end_to_end_headers
from wasabimux.decisions.placement import PowerOfTwoChoices, PrefixAffinity
from wasabimux.decisions.retry import RetryBudget
from wasabimux.entry.attempts import Attempts
from wasabimux.entry.calls import CallFlow, ServiceCall
from wasabimux.entry.completions import CompletionFlow, parse_completion
from wasabimux.entry.context import RequestContext
from wasabimux.entry.credentials import (
    Caller,
    identify,
    refuse_key_in,
    strip_headers,
    strip_query,
)
from wasabimux.entry.feed import SettingsFeed
from wasabimux.entry.pool import AgentPool, Connect
from wasabimux.errors import ErrorCode, RefusedError, refused
from wasabimux.ids import Incarnation, InstanceId, new_incarnation, new_request_id
from wasabimux.link.link import LinkTraffic
from wasabimux.ports import Store, StoreUnavailable
from wasabimux.settings.fleet import Route
from wasabimux.settings.index import FleetIndex
from wasabimux.timeline import Timeline

COMPLETION_PATHS = frozenset({"/v1/completions", "/v1/chat/completions"})
MODELS_PATH = "/v1/models"

#: Time between two looks at the platform's list of instances.
INSTANCES_POLL_S = 1.0


class Entry:
    """Serves callers; a context manager that ends its links.

    Args:
        instance: Name of this entry.
        store: The platform's store.
        connect: Connects to the link port of an agent.
        subset_size: Most agents of a group to link to.
        timeline: Records events.
        rng: Source of random choices.
    """

    def __init__(
        self,
        instance: InstanceId,
        store: Store,
        connect: Connect,
        subset_size: int,
        timeline: Timeline,
        rng: random.Random,
    ) -> None:
        self.incarnation: Incarnation = new_incarnation()
        self.timeline = timeline
        self.traffic = LinkTraffic()
        self.feed = SettingsFeed(store, self._on_settings, timeline)
        self.pool = AgentPool(
            instance, self.incarnation, connect, subset_size, timeline, self.traffic
        )
        attempts = Attempts(RetryBudget(), rng, timeline)
        self._completions = CompletionFlow(
            self.pool, attempts, PrefixAffinity(), PowerOfTwoChoices(), rng, timeline
        )
        self._calls = CallFlow(self.pool, attempts, PowerOfTwoChoices(), rng, timeline)
        self._store = store
        self._tasks: list[asyncio.Task[Any]] = []

    def __enter__(self) -> Entry:
        return self

    def __exit__(self, *exc_info: object) -> None:
        for task in self._tasks:
            task.cancel()
        self.pool.__exit__()

    def start(self) -> None:
        """Starts to follow the settings and the list of instances."""
        self._tasks = [
            asyncio.ensure_future(self.feed.run()),
            asyncio.ensure_future(self._follow_instances()),
        ]

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answers one request of a caller."""
        try:
            return await self._handle(request)
        except RefusedError as error:
            refusal = error.refusal
            self.timeline.record(
                "refused_to_caller", code=refusal.code.value, ran=refusal.ran.value
            )
            return refusal_response(refusal)

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        index = self.feed.current
        if index is None:
            raise refused(ErrorCode.STALE_SETTINGS, "no settings yet")
        caller = identify(request.headers, index)
        if request.path == MODELS_PATH:
            return self._list_models(request, caller, index)
        if request.path in COMPLETION_PATHS:
            return await self._complete(request, caller, index)
        return await self._call(request, caller, index)

    def _list_models(
        self, request: HttpRequest, caller: Caller, index: FleetIndex
    ) -> HttpResponse:
        if request.method != "GET":
            raise refused(ErrorCode.NOT_FOUND, "use GET")
        models = [
            {"id": route.model, "object": "model"}
            for route in index.completions_routes()
            if index.may_use(caller.workspace, route)
        ]
        if caller.workspace is None and not models:
            raise refused(ErrorCode.UNAUTHENTICATED, "a key is needed")
        body = json.dumps({"object": "list", "data": models}).encode()
        return HttpResponse(200, [(b"content-type", b"application/json")], body)

    async def _complete(
        self, request: HttpRequest, caller: Caller, index: FleetIndex
    ) -> HttpResponse:
        if request.method != "POST":
            raise refused(ErrorCode.NOT_FOUND, "use POST")
        any_open = any(route.open for route in index.completions_routes())
        if caller.workspace is None and not any_open:
            raise refused(ErrorCode.UNAUTHENTICATED, "a key is needed")
        body = await request.body()
        refuse_key_in(request.target, body, caller)
        completion = parse_completion(request.path, body)
        route = index.completions_route(completion.model)
        if route is None:
            raise refused(ErrorCode.NOT_FOUND, f"no model {completion.model!r}")
        context = self._context(request, caller, route, index)
        completion = completion.bounded(context.settings.max_output_tokens)
        return await self._completions.serve(context, completion)

    async def _call(
        self, request: HttpRequest, caller: Caller, index: FleetIndex
    ) -> HttpResponse:
        route = index.service_route(request.path)
        if route is None:
            raise refused(ErrorCode.NOT_FOUND, f"nothing at {request.path}")
        context = self._context(request, caller, route, index)
        body = await request.body()
        refuse_key_in(strip_query(request.target, index), body, caller)
        headers = end_to_end_headers(strip_headers(request.headers, index))
        call = ServiceCall(
            request.method,
            strip_query(request.target, index),
            [item for item in headers if item[0] not in (b"host", b"expect")],
            body,
        )
        return await self._calls.serve(context, call)

    def _context(
        self, request: HttpRequest, caller: Caller, route: Route, index: FleetIndex
    ) -> RequestContext:
        """Checks that the caller may use the route, and starts the request."""
        if not index.may_use(caller.workspace, route):
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
        )
        self.timeline.record(
            "accepted", context.request_id, context.workspace, route=route.id
        )
        return context

    def _on_settings(self, index: FleetIndex) -> None:
        self.pool.apply(index)

    async def _follow_instances(self) -> None:
        while True:
            try:
                records = await self._store.instances()
            except StoreUnavailable:
                records = None
            if records is not None:
                leaving = frozenset(item.instance for item in records if item.leaving)
                self.pool.note_leaving(leaving)
            await asyncio.sleep(INSTANCES_POLL_S)
