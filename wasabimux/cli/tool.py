"""The operators' command line."""

from __future__ import annotations

import datetime
import json
import sys
from pathlib import Path

from cyclopts import App, CycloptsError

from wasabimux.adapters.certificates import CertificateAuthority
from wasabimux.cli._shared import (
    ADMIN_TOKEN_VARIABLE,
    ADMIN_VARIABLE,
    EXIT_MISUSED,
    PLATFORM_TOKEN_VARIABLE,
    PLATFORM_VARIABLE,
    admin_addresses,
    admin_page,
    change,
    clock_time,
    fail,
    find_id,
    print_rows,
    read_json,
    read_settings,
    report,
    with_editor,
)
from wasabimux.operations import changes
from wasabimux.operations.explain import explain_request
from wasabimux.operations.names import display_name
from wasabimux.settings.check import check_fleet
from wasabimux.settings.findings import Finding
from wasabimux.settings.fleet import Branch, DomainState, UpstreamState
from wasabimux.settings.tree import effective, explain

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
    checked = check_fleet(read_json(fleet))
    if checked.is_error():
        fail(checked.error)
    print(f"{fleet}: no findings")


@settings_app.command
def get(*, branch: str = "/", json_: bool = False) -> None:
    """Prints the settings in force at a branch.

    Example: wasabimux settings get --branch /large

    Args:
        branch: Path of the branch.
        json_: Print JSON.
    """
    tree = Branch.model_validate(read_settings().document.get("tree", {}))
    try:
        values = effective(tree, branch)
    except KeyError:
        fail([Finding(branch, "nothing", "a branch")])
    rows = [
        [name, str(getattr(value, "value", value))] for name, value in values.items()
    ]
    print_rows(["setting", "value"], rows, json_)


@settings_app.command(name="explain")
def explain_setting(name: str, *, branch: str = "/", json_: bool = False) -> None:
    """Prints which branch gave a setting its value, and what that overrides.

    Example: wasabimux settings explain rate_tokens_per_s --branch /large

    Args:
        name: Name of the setting.
        branch: Path of the branch.
        json_: Print JSON.
    """
    tree = Branch.model_validate(read_settings().document.get("tree", {}))
    try:
        found = explain(tree, branch, name)
    except KeyError as error:
        fail([Finding(str(error.args[0]), "nothing", "a branch or a setting")])
    rows = [["in force", found.branch, str(found.value)]]
    rows += [["overridden", place, str(value)] for place, value in found.overridden]
    print_rows(["", "branch", "value"], rows, json_)


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
    change(lambda doc: changes.set_value(doc, branch, name, value), dry_run)


@settings_app.command
def unset(name: str, *, branch: str = "/", dry_run: bool = False) -> None:
    """Lets a branch inherit a setting again.

    Example: wasabimux settings unset rate_tokens_per_s --branch /field

    Args:
        name: Name of the setting.
        branch: Path of the branch.
        dry_run: Check only.
    """
    change(lambda doc: changes.unset_value(doc, branch, name), dry_run)


@settings_app.command
def apply(fleet: Path, *, expected: int, dry_run: bool = False) -> None:
    """Replaces the settings by a file, unless they have changed since.

    Example: wasabimux settings apply fleet.json --expected 7

    Args:
        fleet: The new settings, a JSON file.
        expected: Version that the file was made from.
        dry_run: Check only.
    """
    document = read_json(fleet)
    if dry_run:
        check(fleet)
        return
    report(with_editor(lambda editor: editor.apply(document, expected)))


@workspace_app.command(name="list")
def list_workspaces(*, scheme: str | None = None, json_: bool = False) -> None:
    """Lists the workspaces.

    Example: wasabimux workspace list --scheme urn

    Args:
        scheme: Naming scheme to print names in.
        json_: Print JSON.
    """
    rows = [
        [display_name(item, scheme), item["id"], item.get("branch", "/")]
        for item in read_settings().document.get("workspaces", [])
    ]
    print_rows(["name", "id", "branch"], rows, json_)


@workspace_app.command(name="create")
def create_workspace(name: str, *, branch: str = "/", dry_run: bool = False) -> None:
    """Creates a workspace under the scheme that its name fits.

    Example: wasabimux workspace create urn:brazos:ws:dye-lab --branch /field

    Args:
        name: Name in any of the schemes.
        branch: Place in the tree of settings.
        dry_run: Check only.
    """
    change(lambda doc: changes.create_workspace(doc, name, branch), dry_run)


@workspace_app.command(name="rename")
def rename_workspace(name: str, new: str, *, dry_run: bool = False) -> None:
    """Gives a workspace a name under the scheme that the new name fits.

    Example: wasabimux workspace rename urn:brazos:ws:dye-lab ws/dye_lab

    Args:
        name: A name that the workspace has.
        new: The new name.
        dry_run: Check only.
    """
    change(lambda doc: changes.rename_object(doc, "workspaces", name, new), dry_run)


@key_app.command(name="grant")
def grant_key(workspace: str) -> None:
    """Creates a key for a workspace and prints it, this once.

    Example: wasabimux key grant ws/dye_lab

    Args:
        workspace: Name of the workspace in any scheme.
    """
    key = changes.generate_key()
    change(lambda doc: changes.grant_key(doc, workspace, key), dry_run=False)
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
        for key in read_settings().document.get("keys", [])
    ]
    print_rows(["digest", "workspace", "state"], rows, json_)


@key_app.command(name="revoke")
def revoke_key(digest: str, *, dry_run: bool = False) -> None:
    """Withdraws a key; its running requests end within seconds.

    Example: wasabimux key revoke 3f5a9c01d2b4

    Args:
        digest: Start of the key's digest, as `key list` prints it.
        dry_run: Check only.
    """
    change(lambda doc: changes.withdraw_key(doc, digest), dry_run)


@domain_app.command(name="take-out")
def take_out(name: str, *, dry_run: bool = False) -> None:
    """Takes a failure domain out of service; running work ends in peace.

    Example: wasabimux domain take-out fd/tx_austin

    Args:
        name: Name in any scheme.
        dry_run: Check only.
    """
    change(lambda doc: changes.set_domain_state(doc, name, DomainState.OUT), dry_run)


@domain_app.command(name="bring-back")
def bring_back(name: str, *, dry_run: bool = False) -> None:
    """Brings a failure domain back into service.

    Example: wasabimux domain bring-back fd/tx_austin

    Args:
        name: Name in any scheme.
        dry_run: Check only.
    """
    state = DomainState.IN_SERVICE
    change(lambda doc: changes.set_domain_state(doc, name, state), dry_run)


@domain_app.command(name="list")
def list_domains(*, scheme: str | None = None, json_: bool = False) -> None:
    """Lists the failure domains with their state.

    Example: wasabimux domain list --scheme lab

    Args:
        scheme: Naming scheme to print names in.
        json_: Print JSON.
    """
    rows = [
        [display_name(item, scheme), item.get("state", DomainState.IN_SERVICE.value)]
        for item in read_settings().document.get("failure_domains", [])
    ]
    print_rows(["name", "state"], rows, json_)


@upstream_app.command
def drain(upstream: str, *, dry_run: bool = False) -> None:
    """Lets an upstream take no new work.

    Example: wasabimux upstream drain decode-a1

    Args:
        upstream: Id of the upstream.
        dry_run: Check only.
    """
    state = UpstreamState.DRAINING
    change(lambda doc: changes.set_upstream_state(doc, upstream, state), dry_run)


@upstream_app.command
def resume(upstream: str, *, dry_run: bool = False) -> None:
    """Lets a drained upstream take work again.

    Example: wasabimux upstream resume decode-a1

    Args:
        upstream: Id of the upstream.
        dry_run: Check only.
    """
    state = UpstreamState.ACTIVE
    change(lambda doc: changes.set_upstream_state(doc, upstream, state), dry_run)


@app.command
def status(*, json_: bool = False) -> None:
    """Prints the state of each daemon that the admin addresses name.

    Example: wasabimux status

    Args:
        json_: Print JSON.
    """
    found = [admin_page(address, "/status") for address in admin_addresses()]
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
    print_rows(["entry", "group", "upstream", "accepting", "load"], rows, json_)


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
        workspace = find_id("workspaces", workspace)
    now_ms = round(datetime.datetime.now().timestamp() * 1000)
    since_ms = now_ms - round(since * 1000)
    query = f"?request={request}&workspace={workspace}&since_ms={since_ms}"
    events = [
        event
        for address in admin_addresses()
        for event in admin_page(address, f"/timeline{query}")
    ]
    events.sort(key=lambda event: event["stamp"])
    if json_:
        print(json.dumps(events))
        return
    rows = [
        [
            clock_time(event["stamp"]),
            event["instance"],
            event["name"],
            event["request_id"],
            " ".join(f"{key}={value}" for key, value in event["fields"].items()),
        ]
        for event in events
    ]
    print_rows(["time", "instance", "event", "request", "details"], rows, json_)


@app.command(name="explain-request")
def show_request(request_id: str, *logs: Path) -> None:
    """Shows what all processes decided for a request, and what they believed then.

    Example: wasabimux explain-request 9c41d07be2a35f68 relay-1.log relay-2.log

    Args:
        request_id: Identity of the request, as in its answer's header.
        logs: Log files of relays, each holding what one or more of them wrote.
    """
    texts = (
        line for log in logs for line in log.read_text(errors="replace").split("\n")
    )
    lines = explain_request(request_id, texts)
    if not lines:
        fail([Finding("$", f"no line about {request_id}", "logs that name it")])
    for line in lines:
        print(line)


@app.command
def certificates(folder: Path, *names: str) -> None:
    """Makes an authority, if there is none, and identities for processes.

    Example: wasabimux certificates pki entry/entry-1 agent/agent-decode-a1

    Args:
        folder: Where the files go.
        names: Role and name of each process, as ROLE/NAME.
    """
    authority = CertificateAuthority(folder, datetime.datetime.now(datetime.UTC))
    print(authority.certificate_path)
    for text in names:
        role, _, name = text.partition("/")
        if role not in ("entry", "agent") or not name:
            print(f"{text}: expected entry/NAME or agent/NAME", file=sys.stderr)
            sys.exit(EXIT_MISUSED)
        for path in authority.issue(role, name):
            print(path)


def main() -> None:
    """Runs the command line; exits with 2 when it is misused."""
    try:
        app(exit_on_error=False, print_error=True)
    except CycloptsError:
        sys.exit(EXIT_MISUSED)


if __name__ == "__main__":
    main()
