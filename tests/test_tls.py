"""Tests of mutual TLS on links."""

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

from tests.stopping_process import connect_slowly, shrink_send_buffers
from wasabimux.adapters.certificates import CertificateAuthority
from wasabimux.adapters.delivery import _transport_below, undelivered_bytes
from wasabimux.adapters.tls import (
    CertificateReloader,
    create_client_context,
    create_server_context,
)
from wasabimux.link.channels import TcpChannel, connect_tcp, listen_tcp
from wasabimux.link.link import Link, LinkCallbacks, finish_links
from wasabimux.link.messages import Hello, SettingsUpdate
from wasabimux.ports import Channel
from wasabimux.settings.process import TlsSettings
from wasabimux.timeline import HybridClock

NOW = datetime.datetime.now(datetime.UTC)

#: Size of a message that fits into a write buffer, and time in s without progress.
MESSAGE_BYTES = 60_000
STALL_TIMEOUT_S = 0.4


def issue_credentials(folder: Path, role: str, name: str) -> TlsSettings:
    """Issues certificate and key of a process from the authority in a folder."""
    authority = CertificateAuthority(folder, NOW)
    certificate, key = authority.issue(role, name)
    return TlsSettings(
        certificate=certificate,
        private_key=key,
        authority=authority.certificate_path,
    )


def start_link(channel: Channel, role: str, initiator: bool) -> Link:
    """Starts a link whose first message names a role."""
    link = Link(
        channel, Hello(role, role, 1), HybridClock(), LinkCallbacks(), initiator
    )
    link.start()
    return link


@pytest_asyncio.fixture
async def agent_port(tmp_path: Path) -> AsyncGenerator[int, None]:
    """Runs an agent's link server with a certificate of the fleet; yields its port."""
    context = create_server_context(
        issue_credentials(tmp_path / "fleet", "agent", "agent-1")
    )

    def accept(channel: Channel) -> None:
        start_link(channel, "agent", initiator=False)

    server = await listen_tcp("127.0.0.1", 0, accept, context)
    async with server:
        yield server.sockets[0].getsockname()[1]


async def connect_link(port: int, settings: TlsSettings, role: str) -> Link:
    """Connects with a certificate and a claimed role; waits for the agent's Hello."""
    channel = await connect_tcp("127.0.0.1", port, create_client_context(settings))
    link = start_link(channel, role, initiator=True)
    await link.ready.wait()
    return link


async def test_entry_and_agent_of_one_fleet(agent_port: int, tmp_path: Path) -> None:
    settings = issue_credentials(tmp_path / "fleet", "entry", "entry-1")
    with await connect_link(agent_port, settings, "entry") as link:
        assert_that(link.peer, Not(Is(None)))
        await asyncio.sleep(0.05)
        assert_that(link.closed.is_set(), Equals(False))


async def test_a_role_that_the_certificate_lacks(
    agent_port: int, tmp_path: Path
) -> None:
    settings = issue_credentials(tmp_path / "fleet", "agent", "agent-2")
    link = await connect_link(agent_port, settings, "entry")
    async with asyncio.timeout(5):
        await link.closed.wait()


async def test_another_authority(agent_port: int, tmp_path: Path) -> None:
    settings = issue_credentials(tmp_path / "stranger", "entry", "entry-1")
    with pytest.raises(ssl.SSLError):
        await connect_link(agent_port, settings, "entry")


async def test_no_certificate(agent_port: int) -> None:
    context = ssl.create_default_context()
    context.check_hostname = False
    context.verify_mode = ssl.CERT_NONE
    channel = await connect_tcp("127.0.0.1", agent_port, context)
    link = start_link(channel, "entry", initiator=True)
    async with asyncio.timeout(5):
        await link.closed.wait()
    assert_that(link.peer, Is(None))


async def test_renewed_certificate_keeps_running_links(
    agent_port: int, tmp_path: Path
) -> None:
    settings = issue_credentials(tmp_path / "fleet", "entry", "entry-1")
    context = create_client_context(settings)
    reloader = CertificateReloader(settings, [context])
    channel = await connect_tcp("127.0.0.1", agent_port, context)
    with start_link(channel, "entry", initiator=True) as link:
        await link.ready.wait()
        assert_that(reloader.reload_if_changed(), Equals(False))
        CertificateAuthority(tmp_path / "fleet", NOW).issue("entry", "entry-1")
        assert_that(reloader.reload_if_changed(), Equals(True))
        second_channel = await connect_tcp("127.0.0.1", agent_port, context)
        with start_link(second_channel, "entry", initiator=True) as second_link:
            await second_link.ready.wait()
            assert_that(second_link.peer, Not(Is(None)))
        assert_that(link.closed.is_set(), Equals(False))


@pytest_asyncio.fixture
async def slow_channels(
    tmp_path: Path,
) -> AsyncGenerator[tuple[Channel, Channel], None]:
    """Yields the ends of a connection whose second end reads slowly."""
    agent = issue_credentials(tmp_path / "fleet", "agent", "agent-1")
    entry = issue_credentials(tmp_path / "fleet", "entry", "entry-1")
    accepted: asyncio.Queue[Channel] = asyncio.Queue()
    server = await listen_tcp(
        "127.0.0.1", 0, accepted.put_nowait, create_server_context(agent)
    )
    shrink_send_buffers(server)
    async with server:
        port = server.sockets[0].getsockname()[1]
        peer = await connect_slowly(port, create_client_context(entry))
        yield await accepted.get(), peer


async def test_last_message_under_tls_reaches_a_slow_peer(
    slow_channels: tuple[Channel, Channel],
) -> None:
    channel, peer = slow_channels
    link = start_link(channel, "agent", initiator=False)
    link.send(0, SettingsUpdate(1, b"x" * MESSAGE_BYTES))
    receiving = asyncio.ensure_future(receive_all(peer))
    assert await finish_links([link], timeout_s=10.0)
    assert sum(map(len, await receiving)) > MESSAGE_BYTES


async def test_bytes_that_the_transport_below_tls_holds_are_not_delivered(
    slow_channels: tuple[Channel, Channel],
) -> None:
    channel, peer = slow_channels
    assert isinstance(channel, TcpChannel) and isinstance(peer, TcpChannel)
    below = _transport_below(peer._writer.transport)
    assert below is not None
    below.pause_reading()
    await channel.send(b"x" * MESSAGE_BYTES)
    await asyncio.sleep(0.2)
    assert undelivered_bytes(channel._writer) > MESSAGE_BYTES / 2
    assert not await channel.flush(STALL_TIMEOUT_S)
    below.resume_reading()
    assert await channel.flush(STALL_TIMEOUT_S)
    assert undelivered_bytes(channel._writer) == 0


async def receive_all(channel: Channel) -> list[bytes]:
    """Returns the frames until the peer ends the connection, and closes it."""
    frames = []
    while (frame := await channel.receive()) is not None:
        frames.append(frame)
    channel.close()
    return frames
