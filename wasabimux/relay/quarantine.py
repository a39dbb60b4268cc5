"""Refuses requests on which upstreams crash, at all relays together.

Each relay reports the crashes that it has seen, and the requests that have begun, to
the relays that it is linked to, which pass on what is new to them. Quarantines are kept
in the platform's store as well, for the case that all relays restart.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Iterable

from wasabimux._clock import loop_time
from wasabimux.decisions.crash_attribution import (
    CrashAttribution,
    CrashEvidence,
    CrashId,
    Quarantine,
)
from wasabimux.decisions.placement import rendezvous_top
from wasabimux.errors import ErrorCode, RefusedError
from wasabimux.ids import SuspectId
from wasabimux.link.link import Link
from wasabimux.link.messages import EngineCrashes
from wasabimux.relay.context import RelayRequest
from wasabimux.relay.mesh import Mesh
from wasabimux.relay.quarantine_store import QuarantineStore
from wasabimux.relay.suspects import prefill_suspects, run_suspects
from wasabimux.relay.upstreams import ListenerState, Upstream, UpstreamPool
from wasabimux.timeline import Timeline

#: Time in s between checks whether an upstream that cut a response has ended, and for
#: how long it is checked. One whose host is silent is gone once its entry lapses.
CHECK_ENDED_INTERVAL_S = 0.05
CHECK_ENDED_S = 5.0

#: Time in s after its start for which a relay that has heard neither the store nor a
#: peer refuses requests, as it does not know which are in quarantine.
STARTUP_REFUSAL_S = 2.0

#: Delay before clients may retry while the quarantine is not known.
STARTUP_RETRY_AFTER_S = 0.5

#: Bounds of the Retry-After of requests in quarantine.
MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0

#: Time in s after which a trial that has shown nothing may be repeated.
TRIAL_TIMEOUT_S = 30.0

#: Time in s between expiries, and between writes to the store.
CHECK_INTERVAL_S = 0.5


class RequestQuarantine:
    """Learns which requests crash upstreams, and refuses them.

    Args:
        pool: Upstreams that are registered.
        mesh: Links to the other relays.
        store: Keeps quarantines over a restart of all relays.
        timeline: Records crashes and quarantines.
        on_change: Called after a quarantine has begun.
    """

    def __init__(
        self,
        pool: UpstreamPool,
        mesh: Mesh,
        store: QuarantineStore,
        timeline: Timeline,
        on_change: Callable[[], None],
    ) -> None:
        self._pool = pool
        self._mesh = mesh
        self._store = store
        self._timeline = timeline
        self._on_change = on_change
        self._attribution = CrashAttribution()
        self._is_synced = False  # knows quarantines from before its start
        self._started_s = loop_time()
        self._unconfirmed_by_upstream: dict[Upstream, set[SuspectId]] = {}
        self._checks: set[asyncio.Task[None]] = set()
        self._quarantined: frozenset[frozenset[SuspectId]] = frozenset()
        self._trial_s_by_suspects: dict[frozenset[SuspectId], float] = {}

    def __enter__(self) -> RequestQuarantine:
        return self

    def __exit__(self, *exc_info: object) -> None:
        for check in self._checks:
            check.cancel()

    @property
    def count(self) -> int:
        """Number of quarantines."""
        return len(self._quarantined)

    def check(self, request: RelayRequest) -> None:
        """Checks that a request may be sent to an upstream.

        Raises:
            RefusedError: The request is in quarantine.
        """
        refusal = self.refusal_of(request)
        if refusal is not None:
            raise refusal

    def refusal_of(self, request: RelayRequest) -> RefusedError | None:
        """Returns the error that refuses a request in quarantine, None if it is not.

        One request at a time may try the suspects again, after some time.
        """
        now = loop_time()
        if not self._is_synced and now - self._started_s < STARTUP_REFUSAL_S:
            return request.refusal_error(
                ErrorCode.STALE_SETTINGS,
                "it is not known yet which requests are in quarantine",
                STARTUP_RETRY_AFTER_S,
            )
        found = self._attribution.quarantine_of(run_suspects(request))
        if found is None or request.trial_of == found.suspects:
            return None
        if self._try_again(found, now):
            request.trial_of = found.suspects
            return None
        is_prompt = request.service.engine is not None
        code = (
            ErrorCode.PROMPT_QUARANTINED if is_prompt else ErrorCode.REQUEST_QUARANTINED
        )
        wait_s = found.last_crash_s + found.trial_delay_s - now
        return request.refusal_error(
            code,
            "upstreams crash on this request",
            max(MIN_RETRY_AFTER_S, min(MAX_RETRY_AFTER_S, wait_s)),
        )

    def may_prefill(self, request: RelayRequest) -> bool:
        """Returns whether a prompt may be sent to a prefill engine.

        A decode engine may bear a prompt on which prefill engines crash.
        """
        suspects = prefill_suspects(request)
        found = self._attribution.quarantine_of(suspects)
        if found is not None:
            return self._try_again(found, loop_time())
        is_retry = request.prefill_sent
        return not (is_retry and self._attribution.has_crashed_several(suspects))

    def may_retry(self, request: RelayRequest) -> bool:
        """Returns whether a request that was sent may be sent to another upstream."""
        return not self._attribution.has_crashed_several(run_suspects(request))

    def on_run_lost(self, request: RelayRequest, upstream: Upstream) -> None:
        """Records that an upstream cut a request that was about to begin."""
        self._on_lost(run_suspects(request), upstream)

    def on_run_begun(self, request: RelayRequest) -> None:
        """Records that an upstream has begun a request and bears it."""
        self._on_begun(run_suspects(request))

    def on_prefill_lost(self, request: RelayRequest, engine: Upstream) -> None:
        """Records that a prefill engine cut a prompt."""
        self._on_lost(prefill_suspects(request), engine)

    def on_prefilled(self, request: RelayRequest) -> None:
        """Records that a prefill engine bears a prompt."""
        self._on_begun(prefill_suspects(request))

    def on_linked(self, link: Link) -> None:
        """Tells a peer all that is known, once a link to it is established."""
        evidence = tuple(self._attribution.evidence(loop_time()))
        link.send(0, EngineCrashes(self._is_synced, evidence))

    def on_peer_evidence(self, message: EngineCrashes) -> None:
        """Merges the evidence of a peer."""
        self._is_synced = self._is_synced or message.complete
        self._merge(message.crashes)

    async def run(self) -> None:
        """Reads and writes quarantines in the store until it is cancelled."""
        while True:
            if not self._store.loaded:
                self._merge(await self._store.load())
                self._is_synced = self._is_synced or self._store.loaded
            await asyncio.sleep(CHECK_INTERVAL_S)
            self._attribution.expire(loop_time())
            self._note_changes()
            if self._store.loaded:
                await self._store.update(self._attribution.quarantines())

    def _on_lost(self, suspects: frozenset[SuspectId], upstream: Upstream) -> None:
        is_current = self._pool.by_id.get(upstream.id) is upstream
        if not is_current or upstream.leaving:
            return
        unconfirmed = self._unconfirmed_by_upstream.get(upstream)
        if unconfirmed is not None:
            unconfirmed.update(suspects)
            return
        self._unconfirmed_by_upstream[upstream] = set(suspects)
        check = asyncio.ensure_future(self._check_ended(upstream))
        self._checks.add(check)
        check.add_done_callback(self._checks.discard)

    def _on_begun(self, suspects: frozenset[SuspectId]) -> None:
        now = loop_time()
        self._share(self._attribution.on_begun(suspects, now), now)

    async def _check_ended(self, upstream: Upstream) -> None:
        """Records a crash once it is known that the upstream's process has ended.

        A connection may also be lost while the process lives, which is no evidence.
        """
        try:
            until_s = loop_time() + CHECK_ENDED_S
            while loop_time() < until_s:
                await asyncio.sleep(CHECK_ENDED_INTERVAL_S)
                is_gone = self._pool.by_id.get(upstream.id) is not upstream
                state = await upstream.probe()
                if is_gone or state is ListenerState.REFUSING:
                    self._on_crash(upstream)
                    return
                if state is ListenerState.LISTENING:
                    return
        finally:
            del self._unconfirmed_by_upstream[upstream]

    def _on_crash(self, upstream: Upstream) -> None:
        suspects = frozenset(self._unconfirmed_by_upstream[upstream])
        crash_id = CrashId(upstream.id, upstream.record.started_ms)
        self._merge([CrashEvidence(crash_id, 0.0, suspects)])

    def _merge(self, crashes: Iterable[CrashEvidence]) -> None:
        now = loop_time()
        merged = [self._attribution.merge(evidence, now) for evidence in crashes]
        changed = [evidence for evidence in merged if evidence is not None]
        for evidence in changed:
            self._timeline.record(
                "engine_crashed",
                upstream=evidence.crash.upstream,
                age_s=round(evidence.age_s, 1),
                suspects=_text(evidence.suspects),
                cleared=_text(evidence.cleared),
            )
        self._share(changed, now)

    def _share(self, changed: list[CrashEvidence], now: float) -> None:
        """Passes evidence that was new to this relay on to the others."""
        if changed:
            self._mesh.broadcast(EngineCrashes(self._is_synced, tuple(changed)))
            self._note_changes()

    def _note_changes(self) -> None:
        """Records quarantines that have begun or ended."""
        crashes_by_suspects = {
            item.suspects: len(item.crashes) for item in self._attribution.quarantines()
        }
        before, self._quarantined = self._quarantined, frozenset(crashes_by_suspects)
        for suspects in self._quarantined - before:
            self._timeline.record(
                "prompt_quarantined",
                parts=_text(suspects),
                crashes=crashes_by_suspects[suspects],
            )
        for suspects in before - self._quarantined:
            self._timeline.record("prompt_released", parts=_text(suspects))
            self._trial_s_by_suspects.pop(suspects, None)
        if self._quarantined - before:
            self._on_change()

    def _try_again(self, quarantine: Quarantine, now: float) -> bool:
        """Returns whether a request may try suspects again, and notes the trial."""
        if now - quarantine.last_crash_s < quarantine.trial_delay_s:
            return False
        tried_s = self._trial_s_by_suspects.get(quarantine.suspects)
        if tried_s is not None and now - tried_s < TRIAL_TIMEOUT_S:
            return False
        if not self._owns(quarantine, now):
            return False
        self._trial_s_by_suspects[quarantine.suspects] = now
        self._timeline.record("quarantine_tried", parts=_text(quarantine.suspects))
        return True

    def _owns(self, quarantine: Quarantine, now: float) -> bool:
        """Returns whether this relay is the one that may try suspects again."""
        aggregators = self._mesh.live_aggregators(now)
        key = _text(quarantine.suspects).encode()
        return not aggregators or (
            rendezvous_top(key, aggregators, 1)[0] == self._mesh.address
        )


def _text(suspects: Iterable[SuspectId]) -> str:
    """Returns suspects in a fixed order, as text for a log line or a hash."""
    return ",".join(sorted(suspects))
