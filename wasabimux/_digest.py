"""Digests that identify the content of requests."""

from __future__ import annotations

import xxhash

LENGTH_PREFIX_BYTES = 8


def digest_of(*parts: bytes) -> str:
    """Returns the hex digest of several parts, each prefixed with its length."""
    digest = xxhash.xxh3_128()
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_PREFIX_BYTES, "big"))
        digest.update(part)
    return digest.hexdigest()
