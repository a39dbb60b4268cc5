"""Prometheus metrics common to all process roles."""

from __future__ import annotations

from aioprometheus import REGISTRY, Counter, Gauge
from aioprometheus.collectors import Registry

from wasabimux.link.link import LinkTraffic


class ProcessMetrics:
    """Link traffic and timeline event metrics of a process.

    Args:
        registry: Registry to which the metrics are added.
    """

    def __init__(self, registry: Registry = REGISTRY) -> None:
        self._request_bytes = Gauge(
            "wasabimux_link_request_bytes",
            "Bytes sent on links for requests since the start.",
            registry=registry,
        )
        self._periodic_bytes = Gauge(
            "wasabimux_link_periodic_bytes",
            "Bytes sent on links for control since the start.",
            registry=registry,
        )
        self._events = Counter(
            "wasabimux_events_total",
            "Events of the time line by name.",
            registry=registry,
        )

    def on_event(self, name: str) -> None:
        """Counts a timeline event."""
        self._events.inc({"event": name})

    def update_traffic(self, traffic: LinkTraffic) -> None:
        """Updates the byte counts of the links."""
        self._request_bytes.set({}, traffic.request_bytes)
        self._periodic_bytes.set({}, traffic.periodic_bytes)
