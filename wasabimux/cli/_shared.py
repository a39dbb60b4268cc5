"""What the commands of the operators' tool share."""

from __future__ import annotations

import asyncio
import datetime
import json
import os
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, NoReturn, TypeVar

from rich.console import Console
from rich.table import Table

from wasabimux.adapters.http_client import HttpClient
from wasabimux.adapters.platform_client import PlatformClient
from wasabimux.operations.editor import (
    Document,
    EditRefused,
    SettingsEditor,
    VersionedSettings,
)
from wasabimux.operations.names import find_object
from wasabimux.ports import Headers, StoreUnavailable, UpstreamLost
from wasabimux.settings.address import parse_address
from wasabimux.settings.check import check_fleet
from wasabimux.settings.findings import Finding

EXIT_FAILED = 1
EXIT_MISUSED = 2

PLATFORM_VARIABLE = "WASABIMUX_PLATFORM"
PLATFORM_TOKEN_VARIABLE = "WASABIMUX_PLATFORM_TOKEN"
ADMIN_VARIABLE = "WASABIMUX_ADMIN"
ADMIN_TOKEN_VARIABLE = "WASABIMUX_ADMIN_TOKEN"
DEFAULT_ADMIN = "127.0.0.1:8081"
DEFAULT_PLATFORM = "127.0.0.1:8082"

Answer = TypeVar("Answer")


def clock_time(stamp: int) -> str:
    """Formats the wall clock of a stamp as local time."""
    seconds = (stamp >> 16) / 1000
    return datetime.datetime.fromtimestamp(seconds).isoformat(timespec="milliseconds")


def read_json(path: Path) -> Any:
    """Reads a JSON file, or says what is wrong and exits."""
    try:
        return json.loads(path.read_bytes())
    except (OSError, ValueError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        sys.exit(EXIT_MISUSED)


def with_editor(
    work: Callable[[SettingsEditor], Coroutine[Any, Any, Answer]],
) -> Answer:
    """Runs work on the settings in the platform's store."""

    async def run() -> Answer:
        address = os.environ.get(PLATFORM_VARIABLE, DEFAULT_PLATFORM)
        token = os.environ.get(PLATFORM_TOKEN_VARIABLE)
        async with PlatformClient(*parse_address(address), token) as store:
            return await work(SettingsEditor(store))

    try:
        return asyncio.run(run())
    except StoreUnavailable as error:
        print(f"the platform gave no answer: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)


def read_settings() -> VersionedSettings:
    """Reads the accepted settings."""
    return with_editor(lambda editor: editor.read())


def find_id(field: str, name: str) -> str:
    """Returns the id of the object of a list that has a name in any scheme."""
    try:
        return str(find_object(read_settings().document, field, name)["id"])
    except EditRefused as refusal:
        fail(refusal.findings)


def change(edit: Callable[[Document], None], dry_run: bool) -> None:
    """Makes a change, or only checks it, and says what came of it."""
    if not dry_run:
        report(with_editor(lambda editor: editor.edit(edit)))
        return
    document = read_settings().document
    try:
        edit(document)
    except EditRefused as refusal:
        fail(refusal.findings)
    checked = check_fleet(document)
    if checked.is_error():
        fail(checked.error)
    print("the change would be accepted", file=sys.stderr)


def report(result: Any) -> None:
    """Says which version was accepted, or prints all findings and exits."""
    if result.is_error():
        fail(result.error)
    print(f"accepted as version {result.ok.version}", file=sys.stderr)


def fail(findings: list[Finding]) -> NoReturn:
    """Prints findings and exits."""
    for finding in findings:
        print(finding, file=sys.stderr)
    sys.exit(EXIT_FAILED)


def admin_addresses() -> list[str]:
    """Returns the admin addresses of the daemons to ask."""
    return os.environ.get(ADMIN_VARIABLE, DEFAULT_ADMIN).split(",")


def admin_page(address: str, target: str) -> Any:
    """Reads a page of a daemon's admin port."""
    token = os.environ.get(ADMIN_TOKEN_VARIABLE)
    headers: Headers = []
    if token is not None:
        headers.append((b"authorization", f"Bearer {token}".encode()))

    async def run() -> Any:
        async with HttpClient(*parse_address(address)) as client:
            response = await client.request("GET", target, headers)
            async with response:
                body = await response.body()
            if response.status != 200:
                raise UpstreamLost(f"status {response.status}", sent=True)
            return json.loads(body)

    try:
        return asyncio.run(run())
    except (OSError, UpstreamLost) as error:
        print(f"{address}: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILED)


def print_rows(columns: list[str], rows: list[list[str]], as_json: bool) -> None:
    """Prints a table for people, or JSON for programs."""
    if as_json:
        print(json.dumps([dict(zip(columns, row)) for row in rows]))
        return
    table = Table(*columns)
    for row in rows:
        table.add_row(*row)
    Console().print(table)
