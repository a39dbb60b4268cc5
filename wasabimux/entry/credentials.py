"""Clients' API keys: authenticates requests and keeps keys away from upstreams."""

from __future__ import annotations

from typing import NamedTuple
from urllib.parse import parse_qsl, unquote, urlencode, urlsplit, urlunsplit

from wasabimux.errors import ErrorCode, refused
from wasabimux.ids import KeyDigest, WorkspaceId
from wasabimux.ports import Headers
from wasabimux.settings.index import FleetIndex, key_digest

CREDENTIAL_HEADERS = frozenset({b"authorization", b"proxy-authorization"})
BEARER = "bearer"


class ClientIdentity(NamedTuple):
    """Identity of the client that sent a request.

    Attributes:
        workspace: Workspace of the API key, None without a key.
        digest: Digest of the key, None without a key.
        key: The key in clear text, None without a key; never leaves the entry.
    """

    workspace: WorkspaceId | None = None
    digest: KeyDigest | None = None
    key: str | None = None


def authenticate(headers: Headers, index: FleetIndex) -> ClientIdentity:
    """Returns the identity of the client by the API key of a request.

    Args:
        headers: Headers of the request, with names in lower case.
        index: Current settings.

    Returns:
        The identity, without a workspace if the request has no key.

    Raises:
        RefusedError: The key is malformed, unknown or withdrawn.
    """
    values = [value for name, value in headers if name == b"authorization"]
    if not values:
        return ClientIdentity()
    scheme, _, key = values[0].decode("latin-1").partition(" ")
    key = key.strip()
    if len(values) > 1 or scheme.lower() != BEARER or not key:
        text = "send the API key as 'Authorization: Bearer KEY'"
        raise refused(ErrorCode.UNAUTHENTICATED, text)
    digest = key_digest(key)
    workspace = index.workspace_of_key(digest)
    if workspace is None:
        raise refused(ErrorCode.UNAUTHENTICATED, "the API key is not valid")
    return ClientIdentity(workspace, digest, key)


def strip_credential_headers(headers: Headers, index: FleetIndex) -> Headers:
    """Removes credential headers and all headers that contain a valid key."""
    return [
        (name, value)
        for name, value in headers
        if name not in CREDENTIAL_HEADERS and not _contains_valid_key(value, index)
    ]


def strip_query_keys(target: str, index: FleetIndex) -> str:
    """Removes the query parameters of a target whose value is a valid key."""
    parts = urlsplit(target)
    if not parts.query:
        return target
    pairs = parse_qsl(parts.query, keep_blank_values=True)
    kept = [
        pair for pair in pairs if index.workspace_of_key(key_digest(pair[1])) is None
    ]
    if len(kept) == len(pairs):
        return target
    return urlunsplit(parts._replace(query=urlencode(kept)))


def reject_key_in_request(target: str, body: bytes, client: ClientIdentity) -> None:
    """Rejects a request whose target or body contains the client's own key.

    Raises:
        RefusedError: The target or the body contains the key.
    """
    if client.key is None:
        return
    if client.key.encode() in body or client.key in unquote(target):
        text = "the API key must be sent in the Authorization header only"
        raise refused(ErrorCode.BAD_REQUEST, text)


def _contains_valid_key(value: bytes, index: FleetIndex) -> bool:
    words = value.decode("latin-1").replace(";", " ").replace("=", " ").split()
    return any(index.workspace_of_key(key_digest(word)) is not None for word in words)
