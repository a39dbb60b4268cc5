"""Helper functions of the commands of the operators' tool."""

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
from wasabimux.json_documents import DocumentError, decode_document
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

EXIT_FAILURE = 1
EXIT_USAGE_ERROR = 2

PLATFORM_ADDRESS_VARIABLE = "WASABIMUX_PLATFORM"
PLATFORM_TOKEN_VARIABLE = "WASABIMUX_PLATFORM_TOKEN"
ADMIN_ADDRESSES_VARIABLE = "WASABIMUX_ADMIN"
ADMIN_TOKEN_VARIABLE = "WASABIMUX_ADMIN_TOKEN"
DEFAULT_ADMIN_ADDRESS = "127.0.0.1:8081"
DEFAULT_PLATFORM_ADDRESS = "127.0.0.1:8082"

EditorResult = TypeVar("EditorResult")


def format_timestamp(timestamp: int) -> str:
    """Formats the wall-clock part of a hybrid logical timestamp as local time."""
    seconds = (timestamp >> 16) / 1000
    return datetime.datetime.fromtimestamp(seconds).isoformat(timespec="milliseconds")


def read_json(path: Path) -> Any:
    """Reads a JSON file; prints an error and exits if that fails."""
    try:
        return decode_document(path.read_bytes())
    except (OSError, ValueError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        sys.exit(EXIT_USAGE_ERROR)


def run_with_editor(
    operation: Callable[[SettingsEditor], Coroutine[Any, Any, EditorResult]],
) -> EditorResult:
    """Runs an operation on the settings in the platform's store.

    Prints an error and exits if the store is unavailable.
    """

    async def run() -> EditorResult:
        address = os.environ.get(PLATFORM_ADDRESS_VARIABLE, DEFAULT_PLATFORM_ADDRESS)
        token = os.environ.get(PLATFORM_TOKEN_VARIABLE)
        async with PlatformClient(*parse_address(address), token) as store:
            return await operation(SettingsEditor(store))

    try:
        return asyncio.run(run())
    except StoreUnavailable as error:
        print(f"the platform is unavailable: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILURE)


def read_settings() -> VersionedSettings:
    """Returns the current settings in the platform's store."""
    return run_with_editor(lambda editor: editor.read())


def find_object_id(field: str, name: str) -> str:
    """Returns the id of an object; prints findings and exits if there is none.

    Args:
        field: Name of the list in the settings, such as `workspaces`.
        name: Id, or name in any scheme.
    """
    try:
        return str(find_object(read_settings().document, field, name)["id"])
    except EditRefused as refusal:
        exit_with_findings(refusal.findings)


def apply_change(edit: Callable[[Document], None], dry_run: bool) -> None:
    """Edits the settings, or only validates the edit, and prints the result.

    Exits if there are findings.

    Args:
        edit: Changes a settings document in place; raises EditRefused.
        dry_run: True to validate only.
    """
    if not dry_run:
        report_version(run_with_editor(lambda editor: editor.edit(edit)))
        return
    document = read_settings().document
    try:
        edit(document)
    except EditRefused as refusal:
        exit_with_findings(refusal.findings)
    result = check_fleet(document)
    if result.is_error():
        exit_with_findings(result.error)
    print("the change would be accepted", file=sys.stderr)


def report_version(result: Any) -> None:
    """Prints the accepted version, or prints all findings and exits."""
    if result.is_error():
        exit_with_findings(result.error)
    print(f"accepted as version {result.ok.version}", file=sys.stderr)


def exit_with_findings(findings: list[Finding]) -> NoReturn:
    """Prints findings to standard error and exits with EXIT_FAILURE."""
    for finding in findings:
        print(finding, file=sys.stderr)
    sys.exit(EXIT_FAILURE)


def admin_addresses() -> list[str]:
    """Returns the admin addresses of the daemons to query."""
    return os.environ.get(ADMIN_ADDRESSES_VARIABLE, DEFAULT_ADMIN_ADDRESS).split(",")


def fetch_admin_page(address: str, target: str) -> Any:
    """Fetches JSON from a daemon's admin port; prints an error and exits on failure."""
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
            return decode_document(body)

    try:
        return asyncio.run(run())
    except (OSError, UpstreamLost, DocumentError) as error:
        print(f"{address}: {error}", file=sys.stderr)
        sys.exit(EXIT_FAILURE)


def print_table(columns: list[str], rows: list[list[str]], as_json: bool) -> None:
    """Prints rows as a table, or as a JSON list of objects."""
    if as_json:
        print(json.dumps([dict(zip(columns, row)) for row in rows]))
        return
    table = Table(*columns)
    for row in rows:
        table.add_row(*row)
    Console().print(table)
