"""What of a request may crash the upstream that runs it.

A part of a prompt is suspected only at the engines of its service, which run the same
model. A whole request is suspected at any upstream, as its route may lead to another
service later.
"""

from __future__ import annotations

from wasabimux.ids import SuspectId
from wasabimux.relay.context import RelayRequest


def run_suspects(request: RelayRequest) -> frozenset[SuspectId]:
    """Returns what of a request may crash an upstream that runs it."""
    return _suspects(request, "")


def prefill_suspects(request: RelayRequest) -> frozenset[SuspectId]:
    """Returns what of a request may crash an engine that only prefills its prompt."""
    return _suspects(request, "prefill-")


def _suspects(request: RelayRequest, prefix: str) -> frozenset[SuspectId]:
    service = request.service.name
    names = [f"{prefix}request:{request.content_digest}"]
    names += [
        f"{prefix}part:{service}/{part}" for part in request.metadata.shared_parts
    ]
    return frozenset(map(SuspectId, names))
