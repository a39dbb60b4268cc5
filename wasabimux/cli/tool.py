"""Command line of the operators' tool."""

from __future__ import annotations

import datetime
import json
import sys
from pathlib import Path

from cyclopts import App, CycloptsError

from wasabimux.adapters.certificates import CertificateAuthority
from wasabimux.cli._shared import (
    ADMIN_ADDRESSES_VARIABLE,
    ADMIN_TOKEN_VARIABLE,
    EXIT_USAGE_ERROR,
    PLATFORM_ADDRESS_VARIABLE,
    PLATFORM_TOKEN_VARIABLE,
    admin_addresses,
    apply_change,
    exit_with_findings,
    fetch_admin_page,
    find_object_id,
    format_timestamp,
    print_table,
    read_json,
    read_settings,
    report_version,
    run_with_editor,
)
from wasabimux.operations import changes
from wasabimux.operations.explain import explain_request
from wasabimux.operations.names import display_name
from wasabimux.settings.check import check_fleet
from wasabimux.settings.findings import Finding
from wasabimux.settings.fleet import Branch, DomainState, UpstreamState
from wasabimux.settings.tree import effective_settings, resolve_setting

HELP = f"""Operates a wasabimux fleet.

{PLATFORM_ADDRESS_VARIABLE} holds the address of the platform's API.
{ADMIN_ADDRESSES_VARIABLE} holds the admin addresses of daemons, separated by commas.
{PLATFORM_TOKEN_VARIABLE} and {ADMIN_TOKEN_VARIABLE} hold the bearer tokens.
"""

app = App(name="wasabimux", help=HELP)
settings_app = App(name="settings", help="The settings tree.")
workspace_app = App(name="workspace", help="Workspaces.")
key_app = App(name="key", help="API keys.")
domain_app = App(name="domain", help="Failure domains.")
upstream_app = App(name="upstream", help="Upstreams.")
for command_group in (settings_app, workspace_app, key_app, domain_app, upstream_app):
    app.command(command_group)


@settings_app.command
def check(fleet: Path) -> None:
    """Validates a fleet's settings and prints all findings with their locations.

    Example: wasabimux settings check examples/brazos.json

    Args:
        fleet: JSON file with the settings of the fleet.
    """
    checked = check_fleet(read_json(fleet))
    if checked.is_error():
        exit_with_findings(checked.error)
    print(f"{fleet}: no findings")


@settings_app.command
def get(*, branch: str = "/", json_: bool = False) -> None:
    """Prints the effective settings at a branch.

    Example: wasabimux settings get --branch /large

    Args:
        branch: Path of the branch.
        json_: Print JSON instead of a table.
    """
    tree = Branch.model_validate(read_settings().document.get("tree", {}))
    try:
        values = effective_settings(tree, branch)
    except KeyError:
        exit_with_findings([Finding(branch, "nothing", "a branch")])
    rows = [
        [name, str(getattr(value, "value", value))] for name, value in values.items()
    ]
    print_table(["setting", "value"], rows, json_)


@settings_app.command(name="explain")
def explain_setting(name: str, *, branch: str = "/", json_: bool = False) -> None:
    """Prints which branch sets the value of a setting and which values it overrides.

    Example: wasabimux settings explain rate_tokens_per_s --branch /large

    Args:
        name: Name of the setting.
        branch: Path of the branch.
        json_: Print JSON instead of a table.
    """
    tree = Branch.model_validate(read_settings().document.get("tree", {}))
    try:
        resolved = resolve_setting(tree, branch, name)
    except KeyError as error:
        exit_with_findings(
            [Finding(str(error.args[0]), "nothing", "a branch or a setting")]
        )
    rows = [["in force", resolved.branch, str(resolved.value)]]
    rows += [
        ["overridden", overridden_branch, str(value)]
        for overridden_branch, value in resolved.overridden
    ]
    print_table(["", "branch", "value"], rows, json_)


@settings_app.command(name="set")
def set_setting(
    name: str, value: str, *, branch: str = "/", dry_run: bool = False
) -> None:
    """Sets the value of a setting at a branch.

    Example: wasabimux settings set rate_tokens_per_s 5000 --branch /field

    Args:
        name: Name of the setting.
        value: The value.
        branch: Path of the branch.
        dry_run: Only validate the change.
    """
    apply_change(
        lambda document: changes.set_value(document, branch, name, value), dry_run
    )


@settings_app.command
def unset(name: str, *, branch: str = "/", dry_run: bool = False) -> None:
    """Removes the value of a setting from a branch, which inherits it again.

    Example: wasabimux settings unset rate_tokens_per_s --branch /field

    Args:
        name: Name of the setting.
        branch: Path of the branch.
        dry_run: Only validate the change.
    """
    apply_change(lambda document: changes.unset_value(document, branch, name), dry_run)


@settings_app.command
def apply(fleet: Path, *, expected: int, dry_run: bool = False) -> None:
    """Replaces the settings with a file unless they have changed in the meantime.

    Example: wasabimux settings apply fleet.json --expected 7

    Args:
        fleet: JSON file with the new settings.
        expected: Version of the settings on which the file is based.
        dry_run: Only validate the change.
    """
    document = read_json(fleet)
    if dry_run:
        check(fleet)
        return
    report_version(run_with_editor(lambda editor: editor.apply(document, expected)))


@workspace_app.command(name="list")
def list_workspaces(*, scheme: str | None = None, json_: bool = False) -> None:
    """Lists the workspaces.

    Example: wasabimux workspace list --scheme urn

    Args:
        scheme: Naming scheme of the printed names; ids are printed without it.
        json_: Print JSON instead of a table.
    """
    rows = [
        [display_name(item, scheme), item["id"], item.get("branch", "/")]
        for item in read_settings().document.get("workspaces", [])
    ]
    print_table(["name", "id", "branch"], rows, json_)


@workspace_app.command(name="create")
def create_workspace(name: str, *, branch: str = "/", dry_run: bool = False) -> None:
    """Creates a workspace; its name must match exactly one naming scheme.

    Example: wasabimux workspace create urn:brazos:ws:dye-lab --branch /field

    Args:
        name: Name in any of the schemes.
        branch: Path of its branch in the settings tree.
        dry_run: Only validate the change.
    """
    apply_change(
        lambda document: changes.create_workspace(document, name, branch), dry_run
    )


@workspace_app.command(name="rename")
def rename_workspace(name: str, new: str, *, dry_run: bool = False) -> None:
    """Sets the name of a workspace in the naming scheme that the new name matches.

    Example: wasabimux workspace rename urn:brazos:ws:dye-lab ws/dye_lab

    Args:
        name: Current name in any scheme.
        new: The new name.
        dry_run: Only validate the change.
    """
    apply_change(
        lambda document: changes.rename_object(document, "workspaces", name, new),
        dry_run,
    )


@key_app.command(name="grant")
def grant_key(workspace: str) -> None:
    """Creates an API key for a workspace and prints it; it cannot be printed again.

    Example: wasabimux key grant ws/dye_lab

    Args:
        workspace: Name of the workspace in any scheme.
    """
    key = changes.generate_key()
    apply_change(
        lambda document: changes.grant_key(document, workspace, key), dry_run=False
    )
    print(key)


@key_app.command(name="list")
def list_keys(*, json_: bool = False) -> None:
    """Lists the digests of API keys with their workspaces.

    Example: wasabimux key list

    Args:
        json_: Print JSON instead of a table.
    """
    rows = [
        [key["digest"][:12], key["workspace"], key.get("state", "granted")]
        for key in read_settings().document.get("keys", [])
    ]
    print_table(["digest", "workspace", "state"], rows, json_)


@key_app.command(name="revoke")
def revoke_key(digest: str, *, dry_run: bool = False) -> None:
    """Withdraws an API key; its running requests are aborted within seconds.

    Example: wasabimux key revoke 3f5a9c01d2b4

    Args:
        digest: Prefix of the key's digest, as printed by `key list`.
        dry_run: Only validate the change.
    """
    apply_change(lambda document: changes.withdraw_key(document, digest), dry_run)


@domain_app.command(name="take-out")
def take_out(name: str, *, dry_run: bool = False) -> None:
    """Takes a failure domain out of service; running requests finish.

    Example: wasabimux domain take-out fd/tx_austin

    Args:
        name: Name in any scheme.
        dry_run: Only validate the change.
    """
    apply_change(
        lambda document: changes.set_domain_state(
            document, name, DomainState.OUT_OF_SERVICE
        ),
        dry_run,
    )


@domain_app.command(name="bring-back")
def bring_back(name: str, *, dry_run: bool = False) -> None:
    """Brings a failure domain back into service.

    Example: wasabimux domain bring-back fd/tx_austin

    Args:
        name: Name in any scheme.
        dry_run: Only validate the change.
    """
    state = DomainState.IN_SERVICE
    apply_change(
        lambda document: changes.set_domain_state(document, name, state), dry_run
    )


@domain_app.command(name="list")
def list_domains(*, scheme: str | None = None, json_: bool = False) -> None:
    """Lists the failure domains with their state.

    Example: wasabimux domain list --scheme lab

    Args:
        scheme: Naming scheme of the printed names; ids are printed without it.
        json_: Print JSON instead of a table.
    """
    rows = [
        [display_name(item, scheme), item.get("state", DomainState.IN_SERVICE.value)]
        for item in read_settings().document.get("failure_domains", [])
    ]
    print_table(["name", "state"], rows, json_)


@upstream_app.command
def drain(upstream: str, *, dry_run: bool = False) -> None:
    """Drains an upstream: it accepts no new requests.

    Example: wasabimux upstream drain decode-a1

    Args:
        upstream: Id of the upstream.
        dry_run: Only validate the change.
    """
    state = UpstreamState.DRAINING
    apply_change(
        lambda document: changes.set_upstream_state(document, upstream, state), dry_run
    )


@upstream_app.command
def resume(upstream: str, *, dry_run: bool = False) -> None:
    """Resumes a drained upstream: it accepts new requests again.

    Example: wasabimux upstream resume decode-a1

    Args:
        upstream: Id of the upstream.
        dry_run: Only validate the change.
    """
    state = UpstreamState.ACTIVE
    apply_change(
        lambda document: changes.set_upstream_state(document, upstream, state), dry_run
    )


@app.command
def status(*, json_: bool = False) -> None:
    """Prints the status of the daemons at the admin addresses.

    Example: wasabimux status

    Args:
        json_: Print JSON instead of a table.
    """
    statuses = [fetch_admin_page(address, "/status") for address in admin_addresses()]
    if json_:
        print(json.dumps(statuses))
        return
    rows = []
    for item in statuses:
        for group, agents in item.get("groups", {}).items():
            for agent in agents:
                accepting = "yes" if agent["accepting"] else "no"
                load = f"{agent['load']}/{agent['limit']}"
                rows.append(
                    [item["instance"], group, agent["upstream"], accepting, load]
                )
    print_table(["entry", "group", "upstream", "accepting", "load"], rows, json_)


@app.command
def timeline(
    *, request: str = "", workspace: str = "", since: float = 300.0, json_: bool = False
) -> None:
    """Prints a merged timeline of the events of the daemons at the admin addresses.

    Example: wasabimux timeline --workspace ws/rope_yard --since 60

    Args:
        request: Show only events of the request with this id.
        workspace: Show only events of the workspace with this name in any scheme.
        since: Show only events of this many past seconds.
        json_: Print JSON instead of a table.
    """
    if workspace:
        workspace = find_object_id("workspaces", workspace)
    now_ms = round(datetime.datetime.now().timestamp() * 1000)
    since_ms = now_ms - round(since * 1000)
    query = f"?request={request}&workspace={workspace}&since_ms={since_ms}"
    events = [
        event
        for address in admin_addresses()
        for event in fetch_admin_page(address, f"/timeline{query}")
    ]
    events.sort(key=lambda event: event["stamp"])
    if json_:
        print(json.dumps(events))
        return
    rows = [
        [
            format_timestamp(event["stamp"]),
            event["instance"],
            event["name"],
            event["request_id"],
            " ".join(f"{key}={value}" for key, value in event["fields"].items()),
        ]
        for event in events
    ]
    print_table(["time", "instance", "event", "request", "details"], rows, json_)


@app.command(name="explain-request")
def show_request(request_id: str, *logs: Path) -> None:
    """Shows the decisions on a request in all logs, with the state they were based on.

    Example: wasabimux explain-request 9c41d07be2a35f68 relay-1.log relay-2.log

    Args:
        request_id: Id of the request, as in a header of its response.
        logs: Log files, each with lines of one or more relays.
    """
    log_lines = (
        line for log in logs for line in log.read_text(errors="replace").split("\n")
    )
    lines = explain_request(request_id, log_lines)
    if not lines:
        exit_with_findings(
            [
                Finding(
                    "$",
                    f"no line about request {request_id}",
                    "logs with lines about it",
                )
            ]
        )
    for line in lines:
        print(line)


@app.command
def certificates(folder: Path, *names: str) -> None:
    """Issues certificates for processes; creates the authority if there is none.

    Example: wasabimux certificates pki entry/entry-1 agent/agent-decode-a1

    Args:
        folder: Directory of the certificates and private keys.
        names: Role and name of each process, as ROLE/NAME.
    """
    authority = CertificateAuthority(folder, datetime.datetime.now(datetime.UTC))
    print(authority.certificate_path)
    for process in names:
        role, _, name = process.partition("/")
        if role not in ("entry", "agent") or not name:
            print(f"{process}: expected entry/NAME or agent/NAME", file=sys.stderr)
            sys.exit(EXIT_USAGE_ERROR)
        for path in authority.issue(role, name):
            print(path)


def main() -> None:
    """Runs the command line; exits with EXIT_USAGE_ERROR on wrong arguments."""
    try:
        app(exit_on_error=False, print_error=True)
    except CycloptsError:
        sys.exit(EXIT_USAGE_ERROR)


if __name__ == "__main__":
    main()
