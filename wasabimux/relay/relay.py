"""The relay: meets callers and passes their requests on unchanged."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from typing import Any

from wasabimux._clock import loop_time
from wasabimux.adapters.http_server import (
    HttpRequest,
    HttpResponse,
    HttpServer,
    refusal_response,
)
from wasabimux.adapters.relay_metrics import RelayMetrics
from wasabimux.decisions.retry_window import RetryLimits, ServiceRetryBudgets
from wasabimux.decisions.shared_bucket import (
    BucketUsage,
    RateTolerance,
    ReplicatedRateLimiter,
)
from wasabimux.decisions.stream_estimates import StreamEstimates
from wasabimux.entry.peers import PeerLinks
from wasabimux.errors import Ran, Refusal, RefusedError
from wasabimux.ids import FailureDomainId, RequestId, WorkspaceId, new_incarnation
from wasabimux.link.channels import connect_tcp
from wasabimux.link.link import Link, LinkTraffic
from wasabimux.link.messages import (
    Message,
    RelayUse,
    SlotAnswer,
    SlotAsk,
    UpstreamUse,
    WorkspaceUse,
)
from wasabimux.relay.admission import Admission
from wasabimux.relay.context import RelayRequest
from wasabimux.relay.duty import Duty
from wasabimux.relay.follower import Follower
from wasabimux.relay.generation import GenerationFlow
from wasabimux.relay.mesh import Mesh, hello_of
from wasabimux.relay.model import WorkspaceRules
from wasabimux.relay.moves import StreamMoves
from wasabimux.relay.owners import EngineOwners
from wasabimux.relay.phases import PhaseKeeper
from wasabimux.relay.placing import Placing
from wasabimux.relay.plain import PlainFlow
from wasabimux.relay.ports import Dialect, Documents, EngineDialect, ObjectStore
from wasabimux.relay.prefill import PrefillFlow
from wasabimux.relay.records import RequestRecords
from wasabimux.relay.registration import Registration
from wasabimux.relay.slots import SlotDesk
from wasabimux.relay.upstreams import UpstreamPool
from wasabimux.relay.view import FleetView
from wasabimux.settings.process import RelaySettings
from wasabimux.timeline import Timeline

#: Time between looks at what expires by itself.
EXPIRE_S = 0.2

#: Time before a task that failed starts anew.
RESTART_S = 0.5

#: Time after a start in which a relay may not yet know all others.
SETTLE_S = 2.0

#: Kind of a request that belongs to no route.
UNKNOWN_KIND = "unknown"


logger = logging.getLogger("wasabimux.relay")


class RelayPlatform:
    """What a relay needs of the platform that it runs on.

    Args:
        store: The platform's store.
        documents: Decodes its documents.
        dialect: Headers of requests and answers.
        engines: Calls of engines.
    """

    def __init__(
        self,
        store: ObjectStore,
        documents: Documents,
        dialect: Dialect,
        engines: EngineDialect,
    ) -> None:
        self.store = store
        self.documents = documents
        self.dialect = dialect
        self.engines = engines


class Relay:
    """Serves callers; a context manager that ends its links and connections.

    Args:
        settings: Settings of the process.
        platform: The platform that it runs on.
        timeline: Records events.
        metrics: Counts and times requests.
        rng: Source of random choices.
    """

    def __init__(
        self,
        settings: RelaySettings,
        platform: RelayPlatform,
        timeline: Timeline,
        metrics: RelayMetrics,
        rng: random.Random,
    ) -> None:
        self._metrics = metrics
        domain = FailureDomainId(settings.failure_domain)
        self.incarnation = new_incarnation()
        self.traffic = LinkTraffic()
        self.pool = UpstreamPool()
        self.view = FleetView(platform.documents, timeline, self._on_change)
        self.server: HttpServer | None = None
        self.settled = False
        self._started_s = 0.0
        self._settings = settings
        self._timeline = timeline
        self._dialect = platform.dialect
        self._buckets = ReplicatedRateLimiter(
            RateTolerance(
                settings.rate_window_s, settings.rate_overage, settings.rate_slack
            ),
            loop_time(),
        )
        self.retries = ServiceRetryBudgets(
            RetryLimits(
                settings.retry_ratio, settings.retry_extra, settings.retry_window_s
            )
        )
        self.links = PeerLinks(
            hello_of(settings.instance, self.incarnation),
            connect_tcp,
            timeline.clock,
            self.traffic,
            self._on_peer_message,
        )
        self.mesh = Mesh(
            settings.peers,
            self.links,
            self.view,
            self.use,
            self._on_peer_use,
            lambda life: self._buckets.remove_peer(str(life)),
            timeline,
        )
        self.placing = Placing(self.view, self.pool, domain, rng)
        self.placing.mesh = self.mesh
        self.owners = EngineOwners(settings.peers, self.mesh, self.view, self.placing)
        estimates = StreamEstimates()
        records = self._records = RequestRecords(timeline)
        self.slots = SlotDesk(
            self.placing,
            self.owners,
            platform.engines,
            timeline,
            estimates,
            metrics,
            rng,
            self.mesh.note_use,
        )
        self._admission = Admission(
            self.view, platform.dialect, self._buckets, timeline, rng
        )
        self._plain = PlainFlow(
            self.placing, platform.dialect, self.retries, records, metrics
        )
        self._moves = StreamMoves(self.placing, self.slots, platform.engines, records)
        self._generation = GenerationFlow(
            self.placing,
            self.slots,
            self._moves,
            PrefillFlow(
                self.placing,
                platform.dialect,
                platform.engines,
                self.retries,
                estimates,
                records,
                metrics,
            ),
            platform.dialect,
            self.retries,
            records,
            metrics,
        )
        kinds = platform.documents.kinds
        self._followers = [
            Follower(kind, platform.store, self.view, timeline, rng, self._in_touch)
            for kind in (kinds.desired_state, kinds.upstreams, kinds.evacuations)
        ]
        self._registration = Registration(
            kinds.relays,
            settings.instance,
            settings.peers,
            settings.seeds,
            platform.store,
            self.mesh,
            timeline,
            rng,
        )
        self.phases = PhaseKeeper(
            settings.peers,
            Duty(
                kinds.leases,
                "phases",
                f"{settings.instance}-{self.incarnation:x}",
                settings.order_lease_ms / 1000,
                platform.store,
                timeline,
            ),
            self.view,
            self.placing,
            estimates,
            self.mesh,
            platform.engines,
            timeline,
        )
        self._tasks: list[asyncio.Task[Any]] = []
        self._rules_by_workspace: dict[str, WorkspaceRules] = {}

    def __enter__(self) -> Relay:
        return self

    def __exit__(self, *exc_info: object) -> None:
        for task in self._tasks:
            task.cancel()
        self.links.__exit__()
        self.pool.__exit__()

    def start(self) -> None:
        """Starts to follow the platform and peers."""
        runs = [follower.run for follower in self._followers]
        runs += [self.mesh.run, self.slots.run, self._moves.run, self._registration.run]
        runs += [self.phases.run, self._expire]
        self._started_s = loop_time()
        self._tasks = [asyncio.ensure_future(self._keep_running(run)) for run in runs]

    @property
    def ready(self) -> bool:
        """True while new callers should come here."""
        return self.view.desired is not None and bool(self.pool.by_id)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Answers one request of a caller."""
        try:
            return await self._handle(request)
        except RefusedError as error:
            self._record_refusal(error, loop_time() - request.arrived_s)
            response = refusal_response(error.refusal)
            response.headers += self._dialect.own_headers(RequestId(error.request_id))
            return response

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        body = await request.body()
        now = loop_time()
        try:
            admitted = self._admission.admit(request, body, now)
        except RefusedError as error:
            self._count(UNKNOWN_KIND, error.refusal, request.arrived_s)
            raise
        self.retries.for_service(admitted.service.name).on_request(now)
        kind = admitted.route.repeat.value
        try:
            response = await self._serve(admitted)
        except RefusedError as error:
            self._count(kind, error.refusal, request.arrived_s)
            raise
        except asyncio.CancelledError:
            age_ms = round((loop_time() - request.arrived_s) * 1000)
            self._records.record(admitted, "caller_left", age_ms=age_ms)
            raise
        finally:
            self._admission.settle(admitted, loop_time())
        return self._counted(response, kind, request.arrived_s)

    def _counted(
        self, response: HttpResponse, kind: str, arrived_s: float
    ) -> HttpResponse:
        """Counts an answer once it has ended."""
        on_done = response.on_done

        def count(complete: bool) -> None:
            if on_done is not None:
                on_done(complete)
            outcome = "answered" if complete else "cut"
            reason = f"status_{response.status // 100}xx"
            self._metrics.on_request(kind, outcome, reason, loop_time() - arrived_s)

        response.on_done = count
        return response

    def _count(self, kind: str, refusal: Refusal, arrived_s: float) -> None:
        outcome = "refused" if refusal.ran is Ran.NO else "failed"
        duration_s = loop_time() - arrived_s
        self._metrics.on_request(kind, outcome, refusal.code.value, duration_s)

    async def _serve(self, request: RelayRequest) -> HttpResponse:
        if request.service.engine is not None:
            return await self._generation.serve(request)
        return await self._plain.serve(request)

    def use(self) -> RelayUse:
        """Returns what this relay uses, for its peers."""
        now = loop_time()
        return RelayUse(
            tuple(
                WorkspaceUse(workspace, *share)
                for workspace, share in self._buckets.local_usage().items()
            ),
            tuple(
                UpstreamUse(
                    item.id,
                    item.running,
                    item.memory(),
                    item.changing_until_s > now,
                    item.health.is_resting(now),
                )
                for item in self.pool.by_id.values()
                if item.running
                or item.changing_until_s > now
                or item.health.is_resting(now)
            ),
            (),
            self.slots.waiting,
            now - self._started_s,
            all(follower.reached for follower in self._followers)
            and not self.phases.unsure,
        )

    def _in_touch(self) -> int:
        """Returns the number of relays that hear one another, this one included."""
        return self.mesh.members() - self.mesh.silent(loop_time())

    def _on_change(self, now: float) -> None:
        """Takes a change of belief into use."""
        self.pool.apply(self.view.upstream_by_id.values(), now)
        desired = self.view.desired
        if desired is not None:
            rules = desired.workspace_by_key.values()
            self._rules_by_workspace = {item.id: item for item in rules}
            self._buckets.retain_workspaces(set(self._rules_by_workspace))
            if self.server is not None:
                self.server.limits = self.server.limits._replace(
                    max_body_bytes=desired.limits.max_body_bytes,
                    header_timeout_s=desired.limits.header_timeout_s,
                    idle_timeout_s=desired.limits.idle_timeout_s,
                )
        self.slots.wake()

    def _on_peer_message(self, link: Link, message: Message) -> None:
        if isinstance(message, SlotAsk):
            self.owners.on_ask(link, message)
        elif isinstance(message, SlotAnswer):
            self.owners.on_answer(message)
        else:
            self.mesh.on_message(link, message)

    def _on_peer_use(self, life: int, use: RelayUse) -> None:
        now = loop_time()
        window_s = self._settings.rate_window_s
        recent = use.age_s <= max(window_s, now - self._started_s)
        for workspace, *share in use.workspaces:
            rules = self._rules_by_workspace.get(WorkspaceId(workspace))
            if rules is not None and rules.rate is not None:
                self._buckets.on_peer_usage(
                    str(life), workspace, BucketUsage(*share), rules.rate, now, recent
                )
        self.slots.wake()

    async def _keep_running(self, run: Callable[[], Awaitable[None]]) -> None:
        """Runs a task until it ends; one that fails is recorded and starts anew."""
        while True:
            try:
                return await run()
            except Exception as error:
                logger.exception("event=task_failed")
                self._timeline.record("task_failed", error=repr(error))
                await asyncio.sleep(RESTART_S)

    async def _expire(self) -> None:
        started_s = loop_time()
        while True:
            began_s = loop_time()
            await asyncio.sleep(EXPIRE_S)
            now = loop_time()
            self._measure(now, now - began_s - EXPIRE_S)
            self.view.expire(now)
            members = self.mesh.members()
            heard_all = self._registration.done and not self.mesh.silent(now)
            self.settled = heard_all or now - started_s > SETTLE_S
            self.retries.set_relay_count(members if self.settled else 0)
            self._buckets.set_silent_peers(self.mesh.silent(now), members)

    def _measure(self, now: float, lag_s: float) -> None:
        """Sets the gauges."""
        for follower in self._followers:
            self._metrics.set_belief_age(follower.kind, now - follower.confirmed_s)
        self._metrics.set_state("loop_lag_seconds", max(0.0, lag_s))
        self._metrics.set_state("peers", len(self.mesh.peers_by_address))
        self._metrics.set_state("silent_peers", self.mesh.silent(now))
        self._metrics.set_state("waiting_streams", self.slots.waiting)

    def _record_refusal(self, error: RefusedError, age_s: float) -> None:
        refusal = error.refusal
        self._timeline.record(
            "refused_to_caller",
            error.request_id,
            code=refusal.code.value,
            ran=refusal.ran.value,
            reason=refusal.message,
            age_ms=round(age_s * 1000),
            retry_after_s=refusal.retry_after_s,
        )
