"""Digests that tell requests apart."""

from __future__ import annotations

import xxhash

LENGTH_BYTES = 8


def digest_of(*parts: bytes) -> str:
    """Returns a digest of several parts, each with its length, as hex."""
    digest = xxhash.xxh3_128()
    for part in parts:
        digest.update(len(part).to_bytes(LENGTH_BYTES, "big"))
        digest.update(part)
    return digest.hexdigest()
