"""Prometheus metrics of a relay.

Labels have few values: kinds of requests, outcomes and reasons from fixed lists, and
kinds of the platform's objects. The number of label values does not grow with the
number of clients, workspaces or upstreams.
"""

from __future__ import annotations

from aioprometheus import Counter, Gauge, Histogram
from aioprometheus.collectors import Registry

#: Upper bounds of the latency buckets, in s.
LATENCY_BUCKETS_S = [0.005, 0.025, 0.1, 0.3, 0.6, 0.9, 1.5, 3.0, 6.0, 14.0]


class RelayMetrics:
    """Metrics of a relay's requests, store calls and state.

    Args:
        registry: Registry to which the metrics are added.
    """

    def __init__(self, registry: Registry) -> None:
        self._requests = Counter(
            "wasabimux_requests_total",
            "Requests of callers by kind of route, outcome and reason.",
            registry=registry,
        )
        self._request_seconds = Histogram(
            "wasabimux_request_seconds",
            "Time from a request's arrival to the end of its answer.",
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._step_seconds = Histogram(
            "wasabimux_step_seconds",
            "Times of steps: slot_wait, place_wait, prefill, first_event, call.",
            registry=registry,
            buckets=LATENCY_BUCKETS_S,
        )
        self._store_calls = Counter(
            "wasabimux_store_calls_total",
            "Calls to the platform's store by method and outcome.",
            registry=registry,
        )
        self._cached_state_age = Gauge(
            "wasabimux_belief_age_seconds",
            "Time since the store or a peer confirmed a kind of object.",
            registry=registry,
        )
        self._state = Gauge(
            "wasabimux_relay_state",
            "State: peers, silent_peers, waiting_streams, quarantined_prompts, "
            "limited_upstreams, leaving_upstreams, paused_upstreams, "
            "log_lines_dropped, loop_lag_seconds, rollouts_running, "
            "waiting_calls, given_places, held_bytes, ended_clients, refused_bodies, "
            "object_bytes, unused_object_bytes, left_out_objects.",
            registry=registry,
        )

    def on_request(
        self, kind: str, outcome: str, reason: str, duration_s: float
    ) -> None:
        """Records the outcome and duration of a completed request."""
        self._requests.inc({"kind": kind, "outcome": outcome, "reason": reason})
        self._request_seconds.observe({"kind": kind, "outcome": outcome}, duration_s)

    def on_step(self, step: str, duration_s: float) -> None:
        """Records the duration of a step of a request."""
        self._step_seconds.observe({"step": step}, duration_s)

    def on_store_call(self, method: str, outcome: str) -> None:
        """Counts a call to the platform's store."""
        self._store_calls.inc({"method": method, "outcome": outcome})

    def set_cached_state_age(self, kind: str, age_s: float) -> None:
        """Sets the age of the cached state of a kind of object."""
        self._cached_state_age.set({"kind": kind}, age_s)

    def set_state(self, name: str, value: float) -> None:
        """Sets one value of the relay's state."""
        self._state.set({"name": name}, value)
