"""Runs a fleet as separate local processes, for examples and tests.

The router itself starts no processes. This module does so in place of the platform.
"""

from __future__ import annotations

import datetime
import json
import os
import random
import socket
import subprocess
import sys
from pathlib import Path
from signal import Signals
from typing import Any, NamedTuple

from wasabimux.adapters.certificates import CertificateAuthority
from wasabimux.entry.instances import ENTRY_ROLE
from wasabimux.ids import InstanceId
from wasabimux.ports import InstanceRecord
from wasabimux.settings.fleet import FleetSettings, GroupRole, Upstream
from wasabimux.settings.process import (
    AgentSettings,
    EntrySettings,
    TlsSettings,
    UpstreamKind,
)

LOOPBACK = "127.0.0.1"

#: Longest time in s to wait for a process to exit.
STOP_TIMEOUT_S = 10.0

#: Range from which the first port of a search for free ports is drawn. It lies below
#: the ports that the system uses for outgoing connections.
FREE_PORT_SEARCH_RANGE = (12_000, 30_000)
#: Name of the platform's process, and of the command that runs its stand-in.
PLATFORM = "platform"


class Command(NamedTuple):
    """A process to start.

    Attributes:
        name: Name of the process, unique in the layout.
        arguments: Arguments of the Python interpreter.
    """

    name: str
    arguments: list[str]


class AddressAllocator:
    """Allocates loopback addresses with consecutive ports, or with free ports.

    Free ports are searched below the range from which the system takes the ports of
    outgoing connections, so that no such connection takes a port before its use.

    Args:
        first: First of the consecutive ports, or None to search for free ports.
    """

    def __init__(self, first: int | None) -> None:
        self._searches_free_ports = first is None
        self._next = (
            random.randrange(*FREE_PORT_SEARCH_RANGE) if first is None else first
        )

    def allocate(self) -> str:
        """Returns an address, as `IP:PORT`, that was not returned before."""
        while self._searches_free_ports and not _is_free(self._next):
            self._next += 1
        self._next += 1
        return f"{LOOPBACK}:{self._next - 1}"


def _is_free(port: int) -> bool:
    with socket.socket() as test_socket:
        try:
            test_socket.bind((LOOPBACK, port))
        except OSError:
            return False
    return True


class Layout:
    """Writes the settings files of a fleet and lists its processes.

    Args:
        fleet: Settings of the fleet; addresses of agents are replaced.
        folder: Folder for the files.
        ports: Allocates the addresses of the processes.
        entries: Number of entries.
        engine_parameters: Engine parameters that differ from the defaults.
        tls: True for links with TLS; certificates go into the folder too.

    Attributes:
        entry_addresses: Addresses of the entries for clients, as `IP:PORT`.
        admin_address_by_name: Addresses for operators by the name of the process.
        standin_address_by_upstream: Addresses of stand-ins by the id of the upstream.
        platform: Address of the platform's API.
        commands: Processes in the order in which to start them.
    """

    def __init__(
        self,
        fleet: FleetSettings,
        folder: Path,
        ports: AddressAllocator,
        entries: int = 2,
        engine_parameters: dict[str, Any] | None = None,
        tls: bool = False,
    ) -> None:
        self._authority: CertificateAuthority | None = None
        if tls:
            now = datetime.datetime.now(datetime.UTC)
            self._authority = CertificateAuthority(folder / "pki", now)
        self.entry_addresses: list[str] = []
        self.admin_address_by_name: dict[str, str] = {}
        self.standin_address_by_upstream: dict[str, str] = {}
        self.platform = ports.allocate()
        self.commands: list[Command] = []
        self._fleet = fleet
        self.folder = folder
        self._ports = ports
        self._engine_parameters = engine_parameters or {}
        self._instances: list[InstanceRecord] = []
        self._write_all(entries)

    def _write_all(self, entries: int) -> None:
        self.folder.mkdir(parents=True, exist_ok=True)
        document = self._fleet.model_dump(mode="json")
        daemons = [
            self._write_upstream(upstream, upstream_document)
            for upstream, upstream_document in zip(
                self._fleet.upstreams, document["upstreams"]
            )
        ]
        self._write_json("fleet.json", document)
        fleet_file = str(self.folder / "fleet.json")
        instances_file = str(self.folder / "instances.json")
        arguments = [PLATFORM, self.platform, "--fleet", fleet_file]
        self._add_standin_command(PLATFORM, [*arguments, "--instances", instances_file])
        for number in range(1, entries + 1):
            daemons.append(self._write_entry(f"entry-{number}"))
        self._write_json("instances.json", [item._asdict() for item in self._instances])
        self.commands.extend(daemons)

    def _write_upstream(self, upstream: Upstream, document: dict[str, Any]) -> Command:
        """Writes an agent's settings, and adds the command of its stand-in.

        Args:
            upstream: The agent's upstream.
            document: The upstream in the fleet settings; gets the agent's address.

        Returns:
            The command of the agent.
        """
        role = next(
            group.role for group in self._fleet.groups if group.id == upstream.group
        )
        kind = UpstreamKind.ENGINE
        if role is GroupRole.SERVICE:
            kind = UpstreamKind.SERVICE
        standin, link = self._ports.allocate(), self._ports.allocate()
        document["agent"] = link
        self.standin_address_by_upstream[upstream.id] = standin
        name = f"agent-{upstream.id}"
        settings = AgentSettings(
            instance=name,
            failure_domain=upstream.failure_domain,
            admin=self._allocate_admin_address(name),
            tls=self._issue_certificate("agent", name),
            plain_links=self._authority is None,
            upstream_id=upstream.id,
            link=link,
            kind=kind,
            upstream=standin,
        )
        self._write_json(f"{name}.json", settings.model_dump(mode="json"))
        arguments = [kind.value, standin]
        if kind is UpstreamKind.ENGINE and self._engine_parameters:
            arguments += ["--parameters", json.dumps(self._engine_parameters)]
        self._add_standin_command(upstream.id, arguments)
        return self._daemon_command("agent", name)

    def _write_entry(self, name: str) -> Command:
        http_address, peers = self._ports.allocate(), self._ports.allocate()
        self.entry_addresses.append(http_address)
        record = InstanceRecord(InstanceId(name), ENTRY_ROLE, peers, leaving=False)
        self._instances.append(record)
        settings = EntrySettings(
            instance=name,
            failure_domain=self._fleet.failure_domains[0].id,
            admin=self._allocate_admin_address(name),
            callers=http_address,
            peers=peers,
            platform=self.platform,
            tls=self._issue_certificate("entry", name),
            plain_links=self._authority is None,
        )
        self._write_json(f"{name}.json", settings.model_dump(mode="json"))
        return self._daemon_command("entry", name)

    def _issue_certificate(self, role: str, name: str) -> TlsSettings | None:
        """Issues the certificate and key of a process; None for plain links."""
        if self._authority is None:
            return None
        certificate, key = self._authority.issue(role, name)
        return TlsSettings(
            certificate=certificate,
            private_key=key,
            authority=self._authority.certificate_path,
        )

    def _allocate_admin_address(self, name: str) -> str:
        address = self._ports.allocate()
        self.admin_address_by_name[name] = address
        return address

    def _daemon_command(self, role: str, name: str) -> Command:
        file = str(self.folder / f"{name}.json")
        return Command(name, ["-m", "wasabimux.cli.daemon", role, file])

    def _add_standin_command(self, name: str, arguments: list[str]) -> None:
        command = Command(name, ["-m", "wasabimux.standins", *arguments])
        self.commands.append(command)

    def _write_json(self, name: str, value: Any) -> None:
        (self.folder / name).write_text(json.dumps(value, indent=2) + "\n")


class LocalFleet:
    """Runs the processes of a layout; a context manager that kills them on exit.

    Args:
        layout: Processes to run.
    """

    def __init__(self, layout: Layout) -> None:
        self.layout = layout
        self._process_by_name: dict[str, subprocess.Popen[bytes]] = {}

    def __enter__(self) -> LocalFleet:
        for command in self.layout.commands:
            self.start(command.name)
        return self

    def __exit__(self, *exc_info: object) -> None:
        for name in list(self._process_by_name):
            self.kill(name)

    def start(self, name: str) -> None:
        """Starts a process of the layout."""
        command = next(item for item in self.layout.commands if item.name == name)
        log = self._log_file(name)
        with log.open("ab") as output:
            self._process_by_name[name] = subprocess.Popen(
                [sys.executable, *command.arguments],
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
                env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"},
            )

    def pid(self, name: str) -> int:
        """Returns the process id of a process."""
        return self._process_by_name[name].pid

    def signal(self, name: str, number: Signals) -> None:
        """Sends a signal to a process."""
        self._process_by_name[name].send_signal(number)

    def kill(self, name: str) -> None:
        """Kills a process."""
        process = self._process_by_name.pop(name)
        process.kill()
        process.wait(STOP_TIMEOUT_S)

    def stop(self, name: str) -> int:
        """Terminates a process gracefully; returns its exit code."""
        process = self._process_by_name.pop(name)
        process.terminate()
        return process.wait(STOP_TIMEOUT_S)

    def log(self, name: str) -> str:
        """Returns the log of a process."""
        return self._log_file(name).read_text()

    def _log_file(self, name: str) -> Path:
        return self.layout.folder / f"{name}.log"
