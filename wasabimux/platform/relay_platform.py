"""Puts the adapter's parts together for a relay."""

from __future__ import annotations

from wasabimux.platform.documents import PlatformDocuments
from wasabimux.platform.engine import PlatformEngines
from wasabimux.platform.headers import HeaderDialect
from wasabimux.platform.store import PlatformStore
from wasabimux.relay.relay import RelayPlatform
from wasabimux.settings.address import parse_address


def relay_platform(address: str) -> RelayPlatform:
    """Returns the platform whose store has an address."""
    return RelayPlatform(
        PlatformStore(*parse_address(address)),
        PlatformDocuments(),
        HeaderDialect(),
        PlatformEngines(),
    )
