"""Assembles the platform adapter for a relay."""

from __future__ import annotations

from wasabimux.platform.documents import PlatformDocumentDecoder
from wasabimux.platform.engine import PlatformEngineCodec
from wasabimux.platform.headers import PlatformHeaderCodec
from wasabimux.platform.store import PlatformStoreClient
from wasabimux.relay.relay import RelayPlatform
from wasabimux.settings.address import parse_address


def relay_platform(address: str) -> RelayPlatform:
    """Returns the platform adapter for the store at an address.

    Args:
        address: Address of the platform's store, as `IP:PORT`.
    """
    return RelayPlatform(
        PlatformStoreClient(*parse_address(address)),
        PlatformDocumentDecoder(),
        PlatformHeaderCodec(),
        PlatformEngineCodec(),
    )
