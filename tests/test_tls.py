"""Mutual TLS on links."""

from __future__ import annotations

import asyncio
import datetime
import ssl
from collections.abc import AsyncGenerator
from pathlib import Path

import pytest
import pytest_asyncio
from testtools.assertions import assert_that
from testtools.matchers import Equals, Is, Not

from wasabimux.adapters.certificates import CertificateAuthority
from wasabimux.adapters.tls import (
    CertificateReloader,
    create_client_context,
    create_server_context,
)
from wasabimux.link.channels import connect_tcp, listen_tcp
from wasabimux.link.link import Link, LinkEvents
from wasabimux.link.messages import Hello
from wasabimux.ports import Channel
from wasabimux.settings.process import TlsSettings
from wasabimux.timeline import HybridClock

NOW = datetime.datetime.now(datetime.UTC)


def identity(folder: Path, role: str, name: str) -> TlsSettings:
    """Makes the identity of a process in a folder with its authority."""
    authority = CertificateAuthority(folder, NOW)
    certificate, key = authority.issue(role, name)
    return TlsSettings(
        certificate=certificate,
        private_key=key,
        authority=authority.certificate_path,
    )


def start_link(channel: Channel, role: str, initiator: bool) -> Link:
    """Starts a link that says it has a role."""
    link = Link(channel, Hello(role, role, 1), HybridClock(), LinkEvents(), initiator)
    link.start()
    return link


@pytest_asyncio.fixture
async def agent_port(tmp_path: Path) -> AsyncGenerator[int, None]:
    """The link port of an agent of the fleet."""
    context = create_server_context(identity(tmp_path / "fleet", "agent", "agent-1"))

    def accept(channel: Channel) -> None:
        start_link(channel, "agent", initiator=False)

    server = await listen_tcp("127.0.0.1", 0, accept, context)
    async with server:
        yield server.sockets[0].getsockname()[1]


async def link_as(port: int, settings: TlsSettings, role: str) -> Link:
    """Connects with an identity, and waits for the agent's first message."""
    channel = await connect_tcp("127.0.0.1", port, create_client_context(settings))
    link = start_link(channel, role, initiator=True)
    await link.ready.wait()
    return link


async def test_entry_and_agent_of_one_fleet(agent_port: int, tmp_path: Path) -> None:
    settings = identity(tmp_path / "fleet", "entry", "entry-1")
    with await link_as(agent_port, settings, "entry") as link:
        assert_that(link.peer, Not(Is(None)))
        await asyncio.sleep(0.05)
        assert_that(link.lost.is_set(), Equals(False))


async def test_a_role_that_the_certificate_lacks(
    agent_port: int, tmp_path: Path
) -> None:
    settings = identity(tmp_path / "fleet", "agent", "agent-2")
    link = await link_as(agent_port, settings, "entry")
    async with asyncio.timeout(5):
        await link.lost.wait()


async def test_another_authority(agent_port: int, tmp_path: Path) -> None:
    settings = identity(tmp_path / "stranger", "entry", "entry-1")
    with pytest.raises(ssl.SSLError):
        await link_as(agent_port, settings, "entry")


async def test_no_certificate(agent_port: int) -> None:
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    channel = await connect_tcp("127.0.0.1", agent_port, context)
    link = start_link(channel, "entry", initiator=True)
    async with asyncio.timeout(5):
        await link.lost.wait()
    assert_that(link.peer, Is(None))


async def test_renewed_certificate_without_a_cut(
    agent_port: int, tmp_path: Path
) -> None:
    settings = identity(tmp_path / "fleet", "entry", "entry-1")
    context = create_client_context(settings)
    reloader = CertificateReloader(settings, [context])
    channel = await connect_tcp("127.0.0.1", agent_port, context)
    with start_link(channel, "entry", initiator=True) as link:
        await link.ready.wait()
        assert_that(reloader.reload_if_changed(), Equals(False))
        CertificateAuthority(tmp_path / "fleet", NOW).issue("entry", "entry-1")
        assert_that(reloader.reload_if_changed(), Equals(True))
        again = await connect_tcp("127.0.0.1", agent_port, context)
        with start_link(again, "entry", initiator=True) as second:
            await second.ready.wait()
            assert_that(second.peer, Not(Is(None)))
        assert_that(link.lost.is_set(), Equals(False))
