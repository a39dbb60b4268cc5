"""The relay: accepts requests of clients and forwards them unchanged to upstreams."""

from __future__ import annotations

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable
from typing import Any

from wasabimux._clock import loop_time
from wasabimux.adapters.http_server import (
    ConnectionEnded,
    HttpRequest,
    HttpResponse,
    HttpServer,
    ResponseEnd,
    refusal_response,
)
from wasabimux.adapters.memory_ledger import process_ledger
from wasabimux.adapters.relay_metrics import RelayMetrics
from wasabimux.decisions.aggregation import FleetUsage
from wasabimux.decisions.exposure import ExposureLimits
from wasabimux.decisions.retry_window import RetryLimits, ServiceRetryBudgets
from wasabimux.decisions.shared_bucket import RateTolerance, ReplicatedRateLimiter
from wasabimux.decisions.shutdown import ShutdownDemand, can_end_in_time
from wasabimux.decisions.stream_estimates import StreamEstimates
from wasabimux.decisions.usage_sums import UpstreamLoad, Usage
from wasabimux.entry.peers import PeerLinks
from wasabimux.errors import ErrorCode, Ran, Refusal, RefusedError, refused
from wasabimux.ids import FailureDomainId, RequestId, WorkspaceId, new_incarnation
from wasabimux.link.channels import connect_tcp
from wasabimux.link.link import Link, LinkTraffic, finish_links
from wasabimux.link.messages import (
    EngineCrashes,
    Message,
    PlaceRelease,
    PlaceReply,
    PlaceRequest,
    RelayIdentity,
    SlotGrantReply,
    SlotGrantRequest,
    SlotRelease,
    VersionsSeen,
)
from wasabimux.relay.admission import Admission
from wasabimux.relay.answers import AnswerReceiver
from wasabimux.relay.call_lines import CallLines
from wasabimux.relay.context import RelayRequest
from wasabimux.relay.generation import GenerationHandler
from wasabimux.relay.leader_lease import LeaderLease
from wasabimux.relay.mesh import Mesh, relay_hello
from wasabimux.relay.model import RequestMetadata, WorkspaceLimits
from wasabimux.relay.moves import StreamMigrator
from wasabimux.relay.notices import NoticeRecorder
from wasabimux.relay.object_watcher import ObjectWatcher
from wasabimux.relay.owners import SlotArbiter
from wasabimux.relay.phase_watch import PhaseChangeWatch
from wasabimux.relay.phases import PhaseController
from wasabimux.relay.placing import UpstreamSelector
from wasabimux.relay.plain import PlainCallHandler
from wasabimux.relay.ports import DocumentDecoder, EngineCodec, HeaderCodec, ObjectStore
from wasabimux.relay.prefill import PrefillDispatcher
from wasabimux.relay.quarantine import RequestQuarantine
from wasabimux.relay.quarantine_store import QuarantineStore
from wasabimux.relay.records import RequestEventRecorder
from wasabimux.relay.registration import Registration
from wasabimux.relay.rollouts import Rollouts
from wasabimux.relay.slots import SlotScheduler
from wasabimux.relay.stream_records import StreamRecords
from wasabimux.relay.upstreams import Upstream, UpstreamPool
from wasabimux.relay.view import FleetView
from wasabimux.settings.process import RelaySettings
from wasabimux.timeline import Timeline

#: Time in s between periodic checks of expired entries, membership and gauges.
CHECK_INTERVAL_S = 0.2

#: Delay in s before a failed background task is restarted.
TASK_RESTART_DELAY_S = 0.5

#: Time in s after a start within which a relay may not yet know all others.
MEMBERSHIP_SETTLE_S = 2.0

#: Kind label in the metrics of a request that no route was found for.
UNKNOWN_KIND = "unknown"

#: Delay in s before a request that a relay refuses as it shuts down may be repeated;
#: load balancers notice the shutdown meanwhile.
SHUTDOWN_RETRY_AFTER_S = 0.5

#: Share of the time for what is owed at the end that calls to upstreams may take.
UPSTREAM_SETTLE_SHARE = 0.5

logger = logging.getLogger("wasabimux.relay")


class RelayPlatform:
    """The interfaces through which a relay uses the platform that it runs on.

    Args:
        store: The platform's store.
        document_decoder: Decodes the platform's documents.
        header_codec: Encodes and decodes the headers of requests and responses.
        engine_codec: Encodes calls to engines and decodes their responses.
    """

    def __init__(
        self,
        store: ObjectStore,
        document_decoder: DocumentDecoder,
        header_codec: HeaderCodec,
        engine_codec: EngineCodec,
    ) -> None:
        self.store = store
        self.document_decoder = document_decoder
        self.header_codec = header_codec
        self.engine_codec = engine_codec


class Relay:
    """Serves clients; a context manager that closes its links and connections.

    Args:
        settings: Settings of the process.
        platform: The platform that the relay runs on.
        timeline: Records events.
        metrics: Counts and times requests.
        rng: Source of random choices.

    Attributes:
        incarnation: Identity of this run of the process.
        view: Local view of the platform's objects.
        pool: Upstreams in the view, with their connections.
        http_server: Server whose limits follow the desired state, None if unset.
        quarantine: Requests on which upstreams crash.
        stream_records: Software versions of streams.
        rollouts: Roll-outs of new software versions.
        call_lines: Lines of calls before busy upstreams.
        membership_settled: True once the relay can be taken to know all others.
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
        failure_domain = FailureDomainId(settings.failure_domain)
        self.incarnation = new_incarnation()
        self.traffic = LinkTraffic()
        notices = NoticeRecorder(platform.header_codec, timeline)
        self.pool = UpstreamPool(notices.on_any_response)
        self.view = FleetView(platform.document_decoder, timeline, self._on_view_change)
        self.http_server: HttpServer | None = None
        self.membership_settled = False
        self._started_s = 0.0
        self._settings = settings
        self._timeline = timeline
        self._header_codec = platform.header_codec
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
            relay_hello(settings.instance, self.incarnation),
            connect_tcp,
            timeline.clock,
            self.traffic,
            self._on_peer_message,
        )
        self.mesh = Mesh(
            settings.peers,
            settings.failure_domain,
            self.links,
            self.view,
            FleetUsage(settings.failure_domain, self._buckets.counted_s),
            self.usage,
            self._is_store_reachable,
            self._on_others_changed,
            self._on_peer_link_lost,
            timeline,
        )
        self.selector = UpstreamSelector(self.view, self.pool, failure_domain, rng)
        self.selector.mesh = self.mesh
        self.slot_arbiter = SlotArbiter(self.mesh, self.view, self.selector, timeline)
        estimates = self._estimates = StreamEstimates()
        self._active: set[RelayRequest] = set()
        self._ends_s: float | None = None
        records = self._records = RequestEventRecorder(timeline)
        self.rollouts = Rollouts(
            ExposureLimits(settings.exposure_share, settings.exposure_slack),
            self.view,
            self.selector,
            self.mesh,
            platform.store,
            platform.document_decoder,
            timeline,
            rng,
        )
        self.slots = SlotScheduler(
            self.selector,
            self.slot_arbiter,
            self.rollouts,
            platform.engine_codec,
            timeline,
            estimates,
            metrics,
            rng,
            self.mesh.notify_usage_changed,
        )
        self.quarantine = RequestQuarantine(
            self.pool,
            self.mesh,
            QuarantineStore(
                platform.document_decoder.kinds.quarantines,
                platform.store,
                self.mesh,
                timeline,
            ),
            timeline,
            lambda: self.slots.refuse_where(self.quarantine.refusal_of),
        )
        self.stream_records = StreamRecords(
            platform.document_decoder.kinds.streams,
            settings.instance,
            self.pool,
            platform.store,
            self.mesh,
            timeline,
        )
        self.mesh.on_linked = self._on_linked
        self._admission = Admission(
            self.view, platform.header_codec, self._buckets, timeline, rng
        )
        answers = AnswerReceiver(platform.header_codec, records)
        self.call_lines = CallLines(self.mesh, self.selector, metrics)
        self._plain_handler = PlainCallHandler(
            self.selector,
            self.quarantine,
            self.rollouts,
            self.call_lines,
            answers,
            platform.header_codec,
            self.retries,
            records,
            metrics,
        )
        self._stream_migrator = StreamMigrator(
            self.selector, self.slots, platform.engine_codec, records
        )
        self._phase_watch = PhaseChangeWatch(
            platform.engine_codec, timeline, self.mesh.notify_usage_changed
        )
        self._generation_handler = GenerationHandler(
            self.selector,
            self.slots,
            self._stream_migrator,
            self._phase_watch,
            self.quarantine,
            self.rollouts,
            self.stream_records,
            PrefillDispatcher(
                self.selector,
                self.quarantine,
                self.rollouts,
                answers,
                platform.engine_codec,
                self.retries,
                estimates,
                records,
                metrics,
                rng,
            ),
            answers,
            platform.header_codec,
            self.retries,
            records,
            metrics,
        )
        kinds = platform.document_decoder.kinds
        watched = [kinds.desired_state, kinds.upstreams, kinds.evacuations]
        if settings.exposure_share > 0:
            watched.append(kinds.rollouts)
        self._watchers = [
            ObjectWatcher(
                kind,
                platform.store,
                self.view,
                timeline,
                rng,
                self._watcher_count,
                lambda: self.mesh.membership.is_informed_by_peer(loop_time()),
                lambda: platform.store.answered_s,
            )
            for kind in watched
        ]
        self._registration = Registration(
            kinds.relays,
            settings.instance,
            RelayIdentity(settings.peers, settings.failure_domain),
            settings.seeds,
            platform.store,
            self.mesh,
            self.view,
            timeline,
            rng,
        )
        self.phases = PhaseController(
            LeaderLease(
                kinds.leases,
                "phases",
                f"{settings.instance}-{self.incarnation:x}",
                settings.order_lease_ms / 1000,
                platform.store,
                timeline,
                lambda: self.view.era,
            ),
            self.view,
            self.selector,
            estimates,
            self.mesh,
            platform.engine_codec,
            self._phase_watch,
            timeline,
        )
        self._tasks: list[asyncio.Task[Any]] = []
        self._limits_by_workspace: dict[str, WorkspaceLimits] = {}

    def __enter__(self) -> Relay:
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._cancel_tasks()
        self._phase_watch.__exit__()
        self.quarantine.__exit__()
        self.stream_records.__exit__()
        self.links.__exit__()
        self.pool.__exit__()

    def start(self) -> None:
        """Starts the background tasks."""
        runs = [watcher.run for watcher in self._watchers]
        runs += [
            self.mesh.run,
            self.slots.run,
            self.call_lines.run,
            self._stream_migrator.run,
            self._registration.run,
            self.quarantine.run,
            self.stream_records.run,
        ]
        runs += [self.phases.run, self._check_periodically]
        self._started_s = loop_time()
        self._tasks = [
            asyncio.ensure_future(self._run_with_restarts(run)) for run in runs
        ]

    @property
    def ready(self) -> bool:
        """True while load balancers should send new requests to this relay."""
        return self.view.desired_state is not None and bool(self.pool.by_id)

    async def handle(self, request: HttpRequest) -> HttpResponse:
        """Serves one request of a client."""
        try:
            return await self._handle(request)
        except RefusedError as error:
            self._record_refusal(error, loop_time() - request.arrived_s)
            response = refusal_response(error.refusal)
            response.headers += self._header_codec.relay_response_headers(
                RequestId(error.request_id)
            )
            return response

    async def _handle(self, request: HttpRequest) -> HttpResponse:
        metadata = self._admission.read_metadata(request)
        request.request_id = metadata.id
        try:
            body = await self._read_body(request, metadata)
            now = loop_time()
            admitted = self._admission.admit(request, metadata, body, now)
        except RefusedError as error:
            self._count_refusal(UNKNOWN_KIND, error.refusal, request.arrived_s)
            raise
        except (asyncio.CancelledError, ConnectionEnded):
            self._record_not_admitted(metadata.id, request.arrived_s)
            raise
        kind = admitted.route.request_kind.value
        self.retries.for_service(admitted.service.name).on_request(now)
        self.rollouts.on_request(admitted)
        self._active.add(admitted)
        try:
            self._check_shutdown(admitted, now)
            response = await self._serve(admitted)
        except RefusedError as error:
            self._count_refusal(kind, error.refusal, request.arrived_s)
            raise
        except asyncio.CancelledError:
            self._record_cancelled(admitted)
            raise
        finally:
            self._active.discard(admitted)
            self._admission.settle(admitted, loop_time())
        return self._count_when_done(response, admitted)

    def begin_shutdown(self, ends_s: float) -> None:
        """Lets all answers be complete by a time in s, as the process ends then."""
        self._ends_s = ends_s
        for request in self._active:
            request.end_by(ends_s)

    async def settle(self, timeout_s: float) -> None:
        """Settles what this relay owes to upstreams and peers, once no request runs.

        It ends the background tasks and the links.

        Args:
            timeout_s: Longest time in s that it takes.
        """
        until_s = loop_time() + timeout_s
        are_freed = await self.slots.settle(UPSTREAM_SETTLE_SHARE * timeout_s)
        self._cancel_tasks()  # they would link to peers again
        self.mesh.report_last_usage()
        are_told = await finish_links(self.links.links(), until_s - loop_time())
        if not (are_freed and are_told):
            self._timeline.record("not_settled", freed=are_freed, told=are_told)

    def _check_shutdown(self, request: RelayRequest, now: float) -> None:
        """Checks that a request can end before this process does.

        Raises:
            RefusedError: It may not.
        """
        if self._ends_s is None:
            return
        is_stream = request.service.engine is not None
        demand = ShutdownDemand(
            request.remaining_s(now),
            request.route.target_latency_s,
            self._estimates.mean_stream_s if is_stream else None,
            request.route.idempotent,
        )
        if not can_end_in_time(demand, now, self._ends_s):
            raise request.refusal_error(
                ErrorCode.DRAINING, "this relay shuts down", SHUTDOWN_RETRY_AFTER_S
            )
        request.end_by(self._ends_s)

    async def _read_body(
        self, request: HttpRequest, metadata: RequestMetadata
    ) -> bytes:
        """Returns the body of a request, for which its deadline holds as well.

        Raises:
            RefusedError: The body is malformed, too large or did not arrive in time.
        """
        deadline_s = self._admission.deadline_s(request, metadata)
        try:
            async with asyncio.timeout_at(deadline_s):
                return await request.body()
        except RefusedError as error:
            error.request_id = metadata.id
            raise
        except TimeoutError:
            text = "the request's body did not arrive before its deadline"
            late = refused(ErrorCode.DEADLINE, text)
            late.request_id = metadata.id
            raise late from None

    def _record_cancelled(self, request: RelayRequest) -> None:
        """Records a request whose caller left, or that the end of the process cut."""
        age_ms = _age_ms(request.arrived_s)
        if self._is_http_closed():
            self._records.record(request, "cut_by_stop", age_ms=age_ms)
        else:
            self._records.record(request, "caller_left", age_ms=age_ms)

    def _record_not_admitted(self, request_id: RequestId, arrived_s: float) -> None:
        """Records a request that ended in the same ways before it was admitted."""
        age_ms = _age_ms(arrived_s)
        if self._is_http_closed():
            self._timeline.record("cut_by_stop", request_id, age_ms=age_ms)
        else:
            self._timeline.record("caller_left", request_id, age_ms=age_ms)

    def _is_http_closed(self) -> bool:
        """Returns whether all connections of clients were aborted."""
        return self.http_server is not None and self.http_server.closed

    def _count_when_done(
        self, response: HttpResponse, request: RelayRequest
    ) -> HttpResponse:
        """Returns the response, which is counted once it has ended."""
        on_done = response.on_done
        kind = request.route.request_kind.value

        def count(end: ResponseEnd) -> None:
            if on_done is not None:
                on_done(end)
            if end is not ResponseEnd.COMPLETE:
                self._records.record(request, "answer_incomplete", why=end.value)
            outcome = "answered" if end is ResponseEnd.COMPLETE else "cut"
            reason = f"status_{response.status // 100}xx"
            duration_s = loop_time() - request.arrived_s
            self._metrics.on_request(kind, outcome, reason, duration_s)

        response.on_done = count
        response.request_id = request.metadata.id
        return response

    def _count_refusal(self, kind: str, refusal: Refusal, arrived_s: float) -> None:
        outcome = "refused" if refusal.ran is Ran.NO else "failed"
        duration_s = loop_time() - arrived_s
        self._metrics.on_request(kind, outcome, refusal.code.value, duration_s)

    async def _serve(self, request: RelayRequest) -> HttpResponse:
        if request.service.engine is not None:
            return await self._generation_handler.serve(request)
        return await self._plain_handler.serve(request)

    def usage(self) -> Usage:
        """Returns the current usage of this relay, as its peers receive it."""
        now = loop_time()
        load_by_upstream: dict[str, UpstreamLoad] = {
            upstream.id: _load_of(upstream, now)
            for upstream in self.pool.by_id.values()
            if upstream.running
            or upstream.phase_change_until_s > now
            or upstream.health.is_backing_off(now)
        }
        return Usage(
            self._buckets.local_usage(now),
            load_by_upstream,
            self.slots.waiting,
            self.rollouts.samples(),
        )

    def _is_store_reachable(self) -> bool:
        """Returns whether the store answers this relay, also calls for the lease."""
        return (
            all(watcher.store_reachable for watcher in self._watchers)
            and not self.phases.lease_uncertain
        )

    def _watcher_count(self) -> int:
        """Returns the number of relays that watch the store and inform one another."""
        return max(1, len(self.mesh.live_aggregators(loop_time())))

    def _on_view_change(self, now: float) -> None:
        """Applies a change of the local view to the pool, rate limits and server."""
        self.pool.apply(self.view.upstream_by_id.values(), now)
        desired = self.view.desired_state
        if desired is not None:
            workspaces = desired.workspace_by_key.values()
            self._limits_by_workspace = {item.id: item for item in workspaces}
            self._buckets.retain_workspaces(set(self._limits_by_workspace), now)
            if self.http_server is not None:
                self.http_server.limits = self.http_server.limits._replace(
                    max_body_bytes=desired.limits.max_body_bytes,
                    header_timeout_s=desired.limits.header_timeout_s,
                    idle_timeout_s=desired.limits.idle_timeout_s,
                )
        self.rollouts.on_view_changed(now)
        self.mesh.on_view_changed()
        self.slots.wake()

    def _on_peer_message(self, link: Link, message: Message) -> None:
        if isinstance(message, SlotGrantRequest):
            self.slot_arbiter.on_slot_ask(link, message)
        elif isinstance(message, SlotGrantReply):
            self.slot_arbiter.on_slot_answer(message)
        elif isinstance(message, SlotRelease):
            self.slot_arbiter.on_slot_release(link, message)
        elif isinstance(message, PlaceRequest):
            self.call_lines.on_place_request(link, message)
        elif isinstance(message, PlaceReply):
            self.call_lines.on_place_reply(message)
        elif isinstance(message, PlaceRelease):
            self.call_lines.on_place_release(link, message)
        elif isinstance(message, EngineCrashes):
            self.quarantine.on_peer_evidence(message)
        elif isinstance(message, VersionsSeen):
            self.stream_records.on_peer_versions(message)
        else:
            self.mesh.on_message(link, message)

    def _on_linked(self, link: Link) -> None:
        """Tells a peer what is not in reports, once a link to it is established."""
        self.quarantine.on_linked(link)
        self.stream_records.on_linked(link)

    def _on_peer_link_lost(self, address: str) -> None:
        self.slot_arbiter.on_relay_lost(address)
        self.call_lines.on_relay_lost(address)

    def _on_others_changed(self) -> None:
        """Charges the usage of the other relays to the workspaces' rate limits."""
        now = loop_time()
        for workspace, usage in self.mesh.others.bucket_by_workspace.items():
            workspace_limits = self._limits_by_workspace.get(WorkspaceId(workspace))
            if workspace_limits is not None and workspace_limits.rate_limit is not None:
                self._buckets.on_others_usage(
                    workspace, usage, workspace_limits.rate_limit, now
                )
        self.slots.wake()

    def _cancel_tasks(self) -> None:
        """Cancels the background tasks."""
        for task in self._tasks:
            task.cancel()

    async def _run_with_restarts(self, run: Callable[[], Awaitable[None]]) -> None:
        """Runs a background task until it returns; restarts it when it fails."""
        while True:
            try:
                return await run()
            except Exception as error:
                logger.exception("event=task_failed")
                self._timeline.record("task_failed", error=repr(error))
                await asyncio.sleep(TASK_RESTART_DELAY_S)

    async def _check_periodically(self) -> None:
        """Updates gauges, expired entries and membership until it is cancelled."""
        started_s = loop_time()
        while True:
            check_started_s = loop_time()
            await asyncio.sleep(CHECK_INTERVAL_S)
            now = loop_time()
            await self.rollouts.check(now)
            self._update_gauges(now, now - check_started_s - CHECK_INTERVAL_S)
            self.view.drop_expired(now)
            relay_count, silent_count = self.mesh.relay_counts()
            all_heard = self._registration.done and not silent_count
            self.membership_settled = all_heard or now - started_s > MEMBERSHIP_SETTLE_S
            self.retries.set_relay_count(relay_count if self.membership_settled else 0)
            self._buckets.set_peers(
                silent_count,
                relay_count,
                self.mesh.report_delay_s,
                self.mesh.news_age_s(now),
            )

    def _update_gauges(self, now: float, lag_s: float) -> None:
        """Updates the gauges.

        Args:
            now: Current time in s.
            lag_s: Time in s by which the event loop was late for the periodic check.
        """
        for watcher in self._watchers:
            self._metrics.set_cached_state_age(
                watcher.kind, now - watcher.last_answer_s
            )
        self._metrics.set_state("loop_lag_seconds", max(0.0, lag_s))
        counts = self.mesh.relay_counts()
        self._metrics.set_state("peers", counts.known - 1)
        self._metrics.set_state("silent_peers", counts.silent)
        self._metrics.set_state("waiting_streams", self.slots.waiting)
        self._metrics.set_state("quarantined_prompts", self.quarantine.count)
        limits = [item.rate_limit_per_s for item in self.pool.by_id.values()]
        self._metrics.set_state("limited_upstreams", len(limits) - limits.count(None))
        upstreams = self.pool.by_id.values()
        leaving = sum(item.leaving for item in upstreams)
        paused = sum(item.pause.is_active(now) for item in upstreams)
        self._metrics.set_state("paused_upstreams", paused)
        ledger = process_ledger()
        self._metrics.set_state("held_bytes", ledger.held)
        self._metrics.set_state("ended_clients", ledger.ended)
        self._metrics.set_state("refused_bodies", ledger.refused)
        cache = self.view.cache
        self._metrics.set_state("object_bytes", cache.used_bytes)
        self._metrics.set_state("unused_object_bytes", cache.unused_bytes)
        self._metrics.set_state("left_out_objects", cache.left_out_count)
        self._metrics.set_state("waiting_calls", self.call_lines.waiting)
        self._metrics.set_state("given_places", self.call_lines.held)
        self._metrics.set_state("rollouts_running", self.rollouts.running)
        self._metrics.set_state("leaving_upstreams", leaving)

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


def _age_ms(arrived_s: float) -> int:
    """Returns the time in ms since a loop time in s."""
    return round((loop_time() - arrived_s) * 1000)


def _load_of(upstream: Upstream, now: float) -> UpstreamLoad:
    """Returns the load that this relay has on an upstream."""
    memory = upstream.memory()
    return UpstreamLoad(
        upstream.running,
        memory,
        int(upstream.phase_change_until_s > now),
        int(upstream.health.is_backing_off(now)),
        memory[0],
    )
