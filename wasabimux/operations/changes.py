"""Changes to workspaces, API keys, failure domains, upstreams and settings."""

from __future__ import annotations

import secrets
from typing import Any

from wasabimux.operations.editor import Document, EditRefused
from wasabimux.operations.names import find_object, match_scheme
from wasabimux.settings.catalog import SETTINGS_BY_NAME
from wasabimux.settings.findings import Finding
from wasabimux.settings.fleet import DomainState, KeyState, UpstreamState
from wasabimux.settings.index import key_digest
from wasabimux.settings.tree import split_path

API_KEY_BYTES = 32
WORKSPACE_ID_BYTES = 6


def generate_key() -> str:
    """Returns a new API key, which is shown once and never stored."""
    return secrets.token_urlsafe(API_KEY_BYTES)


def create_workspace(document: Document, name: str, branch: str) -> None:
    """Adds a workspace with a name under the scheme that the name matches.

    The generated id does not change when the workspace is renamed.
    """
    scheme = match_scheme(document, "workspaces", name)
    for item in document.get("workspaces", []):
        if name in item.get("names", {}).values():
            raise EditRefused([Finding("$.workspaces", repr(name), "an unused name")])
    item = {
        "id": f"w-{secrets.token_hex(WORKSPACE_ID_BYTES)}",
        "names": {scheme: name},
        "branch": branch,
    }
    document.setdefault("workspaces", []).append(item)


def rename_object(
    document: Document, list_name: str, old_name: str, new_name: str
) -> None:
    """Sets an object's name under the scheme that the new name matches."""
    item = find_object(document, list_name, old_name)
    item.setdefault("names", {})[match_scheme(document, list_name, new_name)] = new_name


def grant_key(document: Document, workspace: str, key: str) -> None:
    """Grants an API key access to a workspace."""
    item = find_object(document, "workspaces", workspace)
    key_entry = {"digest": key_digest(key), "workspace": item["id"]}
    document.setdefault("keys", []).append(key_entry)


def withdraw_key(document: Document, digest_prefix: str) -> None:
    """Withdraws the API key whose digest starts with a prefix."""
    matching = [
        key
        for key in document.get("keys", [])
        if key["digest"].startswith(digest_prefix)
    ]
    if len(matching) != 1:
        found = f"{len(matching)} keys whose digests start with {digest_prefix!r}"
        raise EditRefused(
            [Finding("$.keys", found, "the prefix of exactly one digest")]
        )
    key = matching[0]
    key["state"] = KeyState.WITHDRAWN.value
    # Moved to the end: agents pass on only the last withdrawn keys of the list.
    document["keys"].remove(key)
    document["keys"].append(key)


def set_domain_state(document: Document, name: str, state: DomainState) -> None:
    """Takes a failure domain out of service, or returns it to service."""
    find_object(document, "failure_domains", name)["state"] = state.value


def set_upstream_state(
    document: Document, upstream_id: str, state: UpstreamState
) -> None:
    """Drains an upstream, or returns it to service."""
    for upstream in document.get("upstreams", []):
        if upstream["id"] == upstream_id:
            upstream["state"] = state.value
            return
    place, found = "$.upstreams", repr(upstream_id)
    raise EditRefused([Finding(place, found, "the id of an upstream")])


def find_branch(document: Document, path: str) -> dict[str, Any]:
    """Returns a branch of the settings tree.

    Raises:
        EditRefused: The branch does not exist.
    """
    branch: dict[str, Any] = document.setdefault("tree", {})
    place = "$.tree"
    for name in split_path(path):
        place += f".children.{name}"
        if name not in branch.get("children", {}):
            raise EditRefused([Finding(place, "nothing", "a branch")])
        branch = branch["children"][name]
    return branch


def set_value(document: Document, path: str, name: str, text: str) -> None:
    """Sets the value of a setting at a branch."""
    setting = SETTINGS_BY_NAME.get(name)
    if setting is None:
        raise EditRefused(
            [Finding(name, "an unknown setting", "a setting of the catalog")]
        )
    branch = find_branch(document, path)
    value: Any = text
    if setting.type in (int, float):
        try:
            value = setting.type(text)
        except ValueError:
            findings = [
                Finding(f"{path} {name}", repr(text), f"a number {setting.unit}")
            ]
            raise EditRefused(findings) from None
    branch.setdefault("set", {})[name] = value
    branch["unset"] = [item for item in branch.get("unset", []) if item != name]


def unset_value(document: Document, path: str, name: str) -> None:
    """Removes a setting's value at a branch, which then inherits the setting."""
    find_branch(document, path).get("set", {}).pop(name, None)
