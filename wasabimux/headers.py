"""Names of HTTP headers, and filtering of hop-by-hop ones."""

from __future__ import annotations

from wasabimux.ports import Headers

#: Header with the id of a request. Services may repeat it in their responses.
REQUEST_ID_HEADER = b"x-request-id"

#: Header with the id of one call of an engine, which the engine may repeat.
CALL_ID_HEADER = b"x-call-id"

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
    """Returns the headers without the hop-by-hop ones."""
    return [item for item in headers if item[0] not in HOP_BY_HOP_HEADERS]
