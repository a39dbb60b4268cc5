"""Mutual TLS on links, with certificates of the fleet's own authority."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Sequence
from typing import Any
from urllib.parse import urlsplit

from wasabimux.adapters.certificates import IDENTITY_SCHEME
from wasabimux.settings.process import TlsSettings

#: Interval between checks for a renewed certificate, in s.
RELOAD_INTERVAL_S = 10.0


def create_client_context(settings: TlsSettings) -> ssl.SSLContext:
    """Creates the TLS context of a process that connects to peers.

    Args:
        settings: Paths of the process's certificate, private key and authority.

    Returns:
        Context that verifies the peer's certificate against the authority.
    """
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=str(settings.authority)
    )
    context.check_hostname = False  # instances are replaced and identified by role
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(settings.certificate, settings.private_key)
    return context


def create_server_context(settings: TlsSettings) -> ssl.SSLContext:
    """Creates the TLS context of a process that accepts links.

    Args:
        settings: Paths of the process's certificate, private key and authority.

    Returns:
        Context that requires a certificate of the authority from every peer.
    """
    context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=str(settings.authority)
    )
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(settings.certificate, settings.private_key)
    return context


class CertificateReloader:
    """Loads renewed certificates without interrupting connections.

    Open connections continue; new ones present the renewed certificate.

    Args:
        settings: Paths of the process's certificate, private key and authority.
        contexts: TLS contexts that present the certificate.
    """

    def __init__(
        self, settings: TlsSettings, contexts: Sequence[ssl.SSLContext]
    ) -> None:
        self._settings = settings
        self._contexts = contexts
        self._loaded_mtime_ns = self._certificate_mtime_ns()

    async def run(self) -> None:
        """Checks for renewed files periodically until cancelled."""
        while True:
            await asyncio.sleep(RELOAD_INTERVAL_S)
            self.reload_if_changed()

    def reload_if_changed(self) -> bool:
        """Loads the files if the certificate has changed; returns True if loaded."""
        mtime_ns = self._certificate_mtime_ns()
        if mtime_ns == self._loaded_mtime_ns:
            return False
        try:
            for context in self._contexts:
                context.load_cert_chain(
                    self._settings.certificate, self._settings.private_key
                )
        except ssl.SSLError:
            return False  # certificate and private key do not match yet
        self._loaded_mtime_ns = mtime_ns
        return True

    def _certificate_mtime_ns(self) -> int:
        return self._settings.certificate.stat().st_mtime_ns


def peer_role(connection: ssl.SSLObject) -> str | None:
    """Returns the role in the peer's certificate, or None if it holds no role."""
    certificate: dict[str, Any] = dict(connection.getpeercert() or {})
    for name_type, value in certificate.get("subjectAltName", ()):
        uri = urlsplit(value)
        if name_type == "URI" and uri.scheme == IDENTITY_SCHEME:
            return uri.netloc
    return None
