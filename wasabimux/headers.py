"""HTTP headers that end at each connection."""

from __future__ import annotations

from wasabimux.ports import Headers

HOP_BY_HOP_HEADERS = frozenset(
    {
        b"connection",
        b"content-length",
        b"keep-alive",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)


def end_to_end_headers(headers: Headers) -> Headers:
    """Drops the headers that concern one connection only."""
    return [item for item in headers if item[0] not in HOP_BY_HOP_HEADERS]
