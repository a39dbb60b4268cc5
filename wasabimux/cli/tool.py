"""The operators' command line."""

from __future__ import annotations

import asyncio
import datetime
import json
import os
import sys
from collections.abc import Callable, Coroutine
from pathlib import Path
from typing import Any, NoReturn, TypeVar

from cyclopts import App, CycloptsError
from rich.console import Console
from rich.table import Table

from wasabimux.adapters.certificates import Authority
from wasabimux.adapters.http_client import HttpClient
from wasabimux.adapters.platform_client import PlatformClient
from wasabimux.operations import changes
from wasabimux.operations.editor import Document, EditRefused, SettingsEditor, Version
from wasabimux.operations.names import find, shown_name
from wasabimux.ports import Headers, StoreUnavailable, UpstreamLost
from wasabimux.settings.address import parse_address
from wasabimux.settings.check import check_fleet
from wasabimux.settings.findings import Finding
from wasabimux.settings.fleet import Branch, DomainState, UpstreamState
from wasabimux.settings.tree import effective, explain

EXIT_FAILED = 1
EXIT_MISUSED = 2

PLATFORM_VARIABLE = "WASABIMUX_PLATFORM"
PLATFORM_TOKEN_VARIABLE = "WASABIMUX_PLATFORM_TOKEN"
ADMIN_VARIABLE = "WASABIMUX_ADMIN"
ADMIN_TOKEN_VARIABLE = "WASABIMUX_ADMIN_TOKEN"
DEFAULT_ADMIN = "127.0.0.1:8081"
DEFAULT_PLATFORM = "127.0.0.1:8082"

Answer = TypeVar("Answer")

HELP = f"""Operates a wasabimux fleet.

{PLATFORM_VARIABLE} holds the address of the platform's API and {ADMIN_VARIABLE} the
admin addresses of daemons, separated by commas. Credentials come from
{PLATFORM_TOKEN_VARIABLE} and {ADMIN_TOKEN_VARIABLE}.
"""

app = App(name="wasabimux", help=HELP)
settings_app = App(name="settings", help="The tree of settings.")
workspace_app = App(name="workspace", help="Workspaces.")
key_app = App(name="key", help="Callers' keys.")
domain_app = App(name="domain", help="Failure domains.")
upstream_app = App(name="upstream", help="Upstreams.")
for part in (settings_app, workspace_app, key_app, domain_app, upstream_app):
    app.command(part)


@settings_app.command
def check(fleet: Path) -> None:
    """Checks a fleet's settings and prints every finding with its place.

    Example: wasabimux settings check examples/brazos.json

    Args:
        fleet: Settings of the fleet, a JSON file.
    """
    checked = check_fleet(_read_json(fleet))
    if checked.is_error():
        _fail(checked.error)
    print(f"{fleet}: no findings")


@settings_app.command
def get(*, branch: str = "/", json_: bool = False) -> None:
    """Prints the settings in force at a branch.

    Example: wasabimux settings get --branch /large

    Args:
        branch: Path of the branch.
        json_: Print JSON.
    """
    tree = Branch.model_validate(_read().document.get("tree", {}))
    try:
        values = effective(tree, branch)
    except KeyError:
        _fail([Finding(branch, "nothing", "a branch")])
    rows = [
        [name, str(getattr(value, "value", value))] for name, value in values.items()
    ]
    _print_rows(["setting", "value"], rows, json_)


@settings_app.command(name="explain")
def explain_setting(name: str, *, branch: str = "/", json_: bool = False) -> None:
    """Prints which branch gave a setting its value, and what that overrides.

    Example: wasabimux settings explain rate_tokens_per_s --branch /large

    Args:
        name: Name of the setting.
        branch: Path of the branch.
        json_: Print JSON.
    """
    tree = Branch.model_validate(_read().document.get("tree", {}))
    try:
        found = explain(tree, branch, name)
    except KeyError as error:
        _fail([Finding(str(error.args[0]), "nothing", "a branch or a setting")])
    rows = [["in force", found.branch, str(found.value)]]
    rows += [["overridden", place, str(value)] for place, value in found.overridden]
    _print_rows(["", "branch", "value"], rows, json_)


@settings_app.command(name="set")
def set_setting(
    name: str, value: str, *, branch: str = "/", dry_run: bool = False
) -> None:
    """Gives a setting a value at a branch.

    Example: wasabimux settings set rate_tokens_per_s 5000 --branch /field

    Args:
        name: Name of the setting.
        value: The value.
        branch: Path of the branch.
        dry_run: Check only.
    """
    _change(lambda doc: changes.set_value(doc, branch, name, value), dry_run)


@settings_app.command
def unset(name: str, *, branch: str = "/", dry_run: bool = False) -> None:
    """Lets a branch inherit a setting again.

    Example: wasabimux settings unset rate_tokens_per_s --branch /field

    Args:
        name: Name of the setting.
        branch: Path of the branch.
        dry_run: Check only.
    """
    _change(lambda doc: changes.unset_value(doc, branch, name), dry_run)


@settings_app.command
def apply(fleet: Path, *, expected: int, dry_run: bool = False) -> None:
    """Replaces the settings by a file, unless they have changed since.

    Example: wasabimux settings apply fleet.json --expected 7

    Args:
        fleet: The new settings, a JSON file.
        expected: Version that the file was made from.
        dry_run: Check only.
    """
    document = _read_json(fleet)
    if dry_run:
        check(fleet)
        return
    _report(_with_editor(lambda editor: editor.apply(document, expected)))


@workspace_app.command(name="list")
def list_workspaces(*, scheme: str | None = None, json_: bool = False) -> None:
    """Lists the workspaces.

    Example: wasabimux workspace list --scheme urn

    Args:
        scheme: Naming scheme to print names in.
        json_: Print JSON.
    """
    rows = [
        [shown_name(item, scheme), item["id"], item.get("branch", "/")]
        for item in _read().document.get("workspaces", [])
    ]
    _print_rows(["name", "id", "branch"], rows, json_)


@workspace_app.command(name="create")
def create_workspace(name: str, *, branch: str = "/", dry_run: bool = False) -> None:
    """Creates a workspace under the scheme that its name fits.

    Example: wasabimux workspace create urn:brazos:ws:dye-lab --branch /field

    Args:
        name: Name in any of the schemes.
        branch: Place in the tree of settings.
        dry_run: Check only.
    """
    _change(lambda doc: changes.create_workspace(doc, name, branch), dry_run)


@workspace_app.command(name="rename")
def rename_workspace(name: str, new: str, *, dry_run: bool = False) -> None:
    """Gives a workspace a name under the scheme that the new name fits.

    Example: wasabimux workspace rename urn:brazos:ws:dye-lab ws/dye_lab

    Args:
        name: A name that the workspace has.
        new: The new name.
        dry_run: Check only.
    """
    _change(lambda doc: changes.rename(doc, "workspaces", name, new), dry_run)


@key_app.command(name="grant")
def grant_key(workspace: str) -> None:
    """Creates a key for a workspace and prints it, this once.

    Example: wasabimux key grant ws/dye_lab

    Args:
        workspace: Name of the workspace in any scheme.
    """
    key = changes.new_key()
    _change(lambda doc: changes.grant_key(doc, workspace, key), dry_run=False)
    print(key)


@key_app.command(name="list")
def list_keys(*, json_: bool = False) -> None:
    """Lists the digests of keys with their workspaces.

    Example: wasabimux key list

    Args:
        json_: Print JSON.
    """
    rows = [
        [key["digest"][:12], key["workspace"], key.get("state", "granted")]
        for key in _read().document.get("keys", [])
    ]
    _print_rows(["digest", "workspace", "state"], rows, json_)


@key_app.command(name="revoke")
def revoke_key(digest: str, *, dry_run: bool = False) -> None:
    """Withdraws a key; its running requests end within seconds.

    Example: wasabimux key revoke 3f5a9c01d2b4

    Args:
        digest: Start of the key's digest, as `key list` prints it.
        dry_run: Check only.
    """
    _change(lambda doc: changes.withdraw_key(doc, digest), dry_run)


@domain_app.command(name="take-out")
def take_out(name: str, *, dry_run: bool = False) -> None:
    """Takes a failure domain out of service; running work ends in peace.

    Example: wasabimux domain take-out fd/tx_austin

    Args:
        name: Name in any scheme.
        dry_run: Check only.
    """
    _change(lambda doc: changes.set_domain_state(doc, name, DomainState.OUT), dry_run)


@domain_app.command(name="bring-back")
def bring_back(name: str, *, dry_run: bool = False) -> None:
    """Brings a failure domain back into service.

    Example: wasabimux domain bring-back fd/tx_austin

    Args:
        name: Name in any scheme.
        dry_run: Check only.
    """
    state = DomainState.IN_SERVICE
    _change(lambda doc: changes.set_domain_state(doc, name, state), dry_run)


@domain_app.command(name="list")
def list_domains(*, scheme: str | None = None, json_: bool = False) -> None:
    """Lists the failure domains with their state.

    Example: wasabimux domain list --scheme lab

    Args:
        scheme: Naming scheme to print names in.
        json_: Print JSON.
    """
    rows = [
        [shown_name(item, scheme), item.get("state", DomainState.IN_SERVICE.value)]
        for item in _read().document.get("failure_domains", [])
    ]
    _print_rows(["name", "state"], rows, json_)


@upstream_app.command
def drain(upstream: str, *, dry_run: bool = False) -> None:
    """Lets an upstream take no new work.

    Example: wasabimux upstream drain decode-a1

    Args:
        upstream: Id of the upstream.
        dry_run: Check only.
    """
    state = UpstreamState.DRAINING
    _change(lambda doc: changes.set_upstream_state(doc, upstream, state), dry_run)


@upstream_app.command
def resume(upstream: str, *, dry_run: bool = False) -> None:
    """Lets a drained upstream take work again.

    Example: wasabimux upstream resume decode-a1

    Args:
        upstream: Id of the upstream.
        dry_run: Check only.
    """
    state = UpstreamState.ACTIVE
    _change(lambda doc: changes.set_upstream_state(doc, upstream, state), dry_run)


@app.command
def status(*, json_: bool = False) -> None:
    """Prints the state of each daemon that the admin addresses name.

    Example: wasabimux status

    Args:
        json_: Print JSON.
    """
    found = [_admin(address, "/status") for address in _admin_addresses()]
    if json_:
        print(json.dumps(found))
        return
    rows = []
    for item in found:
        for group, agents in item.get("groups", {}).items():
            for agent in agents:
                accepting = "yes" if agent["accepting"] else "no"
                load = f"{agent['load']}/{agent['limit']}"
                rows.append(
                    [item["instance"], group, agent["upstream"], accepting, load]
                )
    _print_rows(["entry", "group", "upstream", "accepting", "load"], rows, json_)


@app.command
def timeline(
    *, request: str = "", workspace: str = "", since: float = 300.0, json_: bool = False
) -> None:
    """Prints one time line of events over the daemons of the admin addresses.

    Example: wasabimux timeline --workspace ws/rope_yard --since 60

    Args:
        request: Show this request only.
        workspace: Show this workspace only, by its name in any scheme.
        since: Seconds to look back.
        json_: Print JSON.
    """
    if workspace:
        workspace = _find_id("workspaces", workspace)
    now_ms = round(datetime.datetime.now().timestamp() * 1000)
    since_ms = now_ms - round(since * 1000)
    query = f"?request={request}&workspace={workspace}&since_ms={since_ms}"
    events = [
        event
        for address in _admin_addresses()
        for event in _admin(address, f"/timeline{query}")
    ]
    events.sort(key=lambda event: event["stamp"])
    if json_:
        print(json.dumps(events))
        return
    rows = [
        [
            _clock_time(event["stamp"]),
            event["instance"],
            event["name"],
            event["request_id"],
            " ".join(f"{key}={value}" for key, value in event["fields"].items()),
        ]
        for event in events
    ]
    _print_rows(["time", "instance", "event", "request", "details"], rows, json_)


@app.command
def certificates(folder: Path, *names: str) -> None:
    """Makes an authority, if there is none, and identities for processes.

    Example: wasabimux certificates pki entry/entry-1 agent/agent-decode-a1

    Args:
        folder: Where the files go.
        names: Role and name of each process, as ROLE/NAME.
    """
    authority = Authority(folder, datetime.datetime.now(datetime.UTC))
    print(authority.certificate_path)
    for text in names:
        role, _, name = text.partition("/")
        if role not in ("entry", "agent") or not name:
            print(f"{text}: expected entry/NAME or agent/NAME", file=sys.stderr)
            sys.exit(EXIT_MISUSED)
        for path in authority.issue(role, name):
            print(path)


def _clock_time(stamp: int) -> str:
    seconds = (stamp >> 16) / 1000
    return datetime.datetime.fromtimestamp(seconds).isoformat(timespec="milliseconds")


def _read_json(path: Path) -> Any:
    try:
        return json.loads(path.read_bytes())
    except (OSError, ValueError) as error:
        print(f"{path}: {error}", file=sys.stderr)
        sys.exit(EXIT_MISUSED)


def _with_editor(
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


def _read() -> Version:
    return _with_editor(lambda editor: editor.read())


def _find_id(field: str, name: str) -> str:
    try:
        return str(find(_read().document, field, name)["id"])
    except EditRefused as refusal:
        _fail(refusal.findings)


def _change(edit: Callable[[Document], None], dry_run: bool) -> None:
    """Makes a change, or only checks it, and says what came of it."""
    if not dry_run:
        _report(_with_editor(lambda editor: editor.edit(edit)))
        return
    document = _read().document
    try:
        edit(document)
    except EditRefused as refusal:
        _fail(refusal.findings)
    checked = check_fleet(document)
    if checked.is_error():
        _fail(checked.error)
    print("the change would be accepted", file=sys.stderr)


def _report(result: Any) -> None:
    if result.is_error():
        _fail(result.error)
    print(f"accepted as version {result.ok.number}", file=sys.stderr)


def _fail(findings: list[Finding]) -> NoReturn:
    for finding in findings:
        print(finding, file=sys.stderr)
    sys.exit(EXIT_FAILED)


def _admin_addresses() -> list[str]:
    return os.environ.get(ADMIN_VARIABLE, DEFAULT_ADMIN).split(",")


def _admin(address: str, target: str) -> Any:
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


def _print_rows(columns: list[str], rows: list[list[str]], as_json: bool) -> None:
    if as_json:
        print(json.dumps([dict(zip(columns, row)) for row in rows]))
        return
    table = Table(*columns)
    for row in rows:
        table.add_row(*row)
    Console().print(table)


def main() -> None:
    """Runs the command line; exits with 2 when it is misused."""
    try:
        app(exit_on_error=False, print_error=True)
    except CycloptsError:
        sys.exit(EXIT_MISUSED)


if __name__ == "__main__":
    main()
