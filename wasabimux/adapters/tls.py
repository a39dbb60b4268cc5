"""Mutual TLS on links, with certificates made by the fleet's own authority."""

from __future__ import annotations

import asyncio
import ssl
from collections.abc import Sequence
from typing import Any
from urllib.parse import urlsplit

from wasabimux.adapters.certificates import IDENTITY_SCHEME
from wasabimux.settings.process import TlsSettings

#: Time between two looks at whether the certificate was renewed.
RELOAD_S = 10.0


def create_client_context(settings: TlsSettings) -> ssl.SSLContext:
    """Makes the context of a process that connects to peers.

    Args:
        settings: Files of the process's identity.

    Returns:
        A context that checks the peer's certificate against the authority.
    """
    context = ssl.create_default_context(
        ssl.Purpose.SERVER_AUTH, cafile=str(settings.authority)
    )
    context.check_hostname = False  # instances are replaced and known by role
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(settings.certificate, settings.private_key)
    return context


def create_server_context(settings: TlsSettings) -> ssl.SSLContext:
    """Makes the context of a process that accepts links.

    Args:
        settings: Files of the process's identity.

    Returns:
        A context that asks every peer for a certificate of the authority.
    """
    context = ssl.create_default_context(
        ssl.Purpose.CLIENT_AUTH, cafile=str(settings.authority)
    )
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_3
    context.load_cert_chain(settings.certificate, settings.private_key)
    return context


class CertificateReloader:
    """Takes renewed certificates into use without a cut.

    Running connections go on; new ones show the new certificate.

    Args:
        settings: Files of the process's identity.
        contexts: Contexts that show it.
    """

    def __init__(
        self, settings: TlsSettings, contexts: Sequence[ssl.SSLContext]
    ) -> None:
        self._settings = settings
        self._contexts = contexts
        self._seen_ns = self._changed_ns()

    async def run(self) -> None:
        """Looks for renewed files until it is cancelled."""
        while True:
            await asyncio.sleep(RELOAD_S)
            self.reload_if_changed()

    def reload_if_changed(self) -> bool:
        """Reloads the files if they have changed; returns True if so."""
        changed_ns = self._changed_ns()
        if changed_ns == self._seen_ns:
            return False
        try:
            for context in self._contexts:
                context.load_cert_chain(
                    self._settings.certificate, self._settings.private_key
                )
        except ssl.SSLError:
            return False  # the two files do not belong together yet
        self._seen_ns = changed_ns
        return True

    def _changed_ns(self) -> int:
        return self._settings.certificate.stat().st_mtime_ns


def peer_role(connection: ssl.SSLObject) -> str | None:
    """Returns the role in the certificate of a connection's peer."""
    certificate: dict[str, Any] = dict(connection.getpeercert() or {})
    for kind, value in certificate.get("subjectAltName", ()):
        parts = urlsplit(value)
        if kind == "URI" and parts.scheme == IDENTITY_SCHEME:
            return parts.netloc
    return None
