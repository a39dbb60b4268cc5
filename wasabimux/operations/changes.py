"""The changes that operators make to workspaces, keys, domains and upstreams."""

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

KEY_BYTES = 32
ID_BYTES = 6


def generate_key() -> str:
    """Makes the text of a key, which is shown once and never kept."""
    return secrets.token_urlsafe(KEY_BYTES)


def create_workspace(document: Document, name: str, branch: str) -> None:
    """Adds a workspace that bears a name under the scheme it fits.

    The id is made here and stays through every renaming.
    """
    scheme = match_scheme(document, "workspaces", name)
    for item in document.get("workspaces", []):
        if name in item.get("names", {}).values():
            raise EditRefused([Finding("$.workspaces", repr(name), "a new name")])
    item = {
        "id": f"w-{secrets.token_hex(ID_BYTES)}",
        "names": {scheme: name},
        "branch": branch,
    }
    document.setdefault("workspaces", []).append(item)


def rename_object(document: Document, field: str, old: str, new: str) -> None:
    """Gives an object a name under the scheme that the new name fits."""
    item = find_object(document, field, old)
    item.setdefault("names", {})[match_scheme(document, field, new)] = new


def grant_key(document: Document, workspace: str, key: str) -> None:
    """Lets a key open a workspace."""
    item = find_object(document, "workspaces", workspace)
    entry = {"digest": key_digest(key), "workspace": item["id"]}
    document.setdefault("keys", []).append(entry)


def withdraw_key(document: Document, digest_start: str) -> None:
    """Withdraws the key whose digest starts with a text."""
    matching = [
        key
        for key in document.get("keys", [])
        if key["digest"].startswith(digest_start)
    ]
    if len(matching) != 1:
        found = f"{len(matching)} keys with {digest_start!r}"
        raise EditRefused([Finding("$.keys", found, "the start of one digest")])
    key = matching[0]
    key["state"] = KeyState.WITHDRAWN.value
    # The last keys of the list are those that agents pass on.
    document["keys"].remove(key)
    document["keys"].append(key)


def set_domain_state(document: Document, name: str, state: DomainState) -> None:
    """Takes a failure domain out of service, or brings it back."""
    find_object(document, "failure_domains", name)["state"] = state.value


def set_upstream_state(
    document: Document, upstream_id: str, state: UpstreamState
) -> None:
    """Drains an upstream, or resumes it."""
    for upstream in document.get("upstreams", []):
        if upstream["id"] == upstream_id:
            upstream["state"] = state.value
            return
    place, found = "$.upstreams", repr(upstream_id)
    raise EditRefused([Finding(place, found, "the id of an upstream")])


def find_branch(document: Document, path: str) -> dict[str, Any]:
    """Returns a branch of the tree.

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
    """Gives a setting a value at a branch."""
    setting = SETTINGS_BY_NAME.get(name)
    if setting is None:
        raise EditRefused([Finding(name, "an unknown setting", "one of the catalog")])
    branch = find_branch(document, path)
    value: Any = text
    if setting.type in (int, float):
        try:
            value = setting.type(text)
        except ValueError:
            found = [Finding(f"{path} {name}", repr(text), f"a number {setting.unit}")]
            raise EditRefused(found) from None
    branch.setdefault("set", {})[name] = value
    branch["unset"] = [item for item in branch.get("unset", []) if item != name]


def unset_value(document: Document, path: str, name: str) -> None:
    """Lets a branch inherit a setting again."""
    find_branch(document, path).get("set", {}).pop(name, None)
