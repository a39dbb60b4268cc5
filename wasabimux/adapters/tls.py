"""Mutual TLS on links, with certificates made by the fleet's own authority."""

from __future__ import annotations

import ssl

from wasabimux.settings.process import TlsSettings


def client_context(settings: TlsSettings) -> ssl.SSLContext:
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


def server_context(settings: TlsSettings) -> ssl.SSLContext:
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
