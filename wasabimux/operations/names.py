"""Names of objects in naming schemes, and lookup of objects by name."""

from __future__ import annotations

import re
from typing import Any

from wasabimux.operations.editor import Document, EditRefused
from wasabimux.settings.findings import Finding

#: Kind of name of the objects in each list.
NAME_KIND_BY_LIST = {
    "workspaces": "workspace",
    "failure_domains": "failure_domain",
    "groups": "service",
    "routes": "service",
}


def find_object(document: Document, list_name: str, name: str) -> dict[str, Any]:
    """Returns the object of a list that has the given name or id.

    Args:
        document: Settings of the fleet.
        list_name: Name of the list, such as `workspaces`.
        name: Id, or name in any scheme.

    Raises:
        EditRefused: No object has the name.
    """
    for item in document.get(list_name, []):
        if item["id"] == name or name in item.get("names", {}).values():
            return item
    raise EditRefused(
        [Finding(f"$.{list_name}", repr(name), "a name or id in this list")]
    )


def match_scheme(document: Document, list_name: str, name: str) -> str:
    """Returns the scheme whose pattern a new name matches.

    Raises:
        EditRefused: The name matches no scheme or more than one.
    """
    kind = NAME_KIND_BY_LIST[list_name]
    schemes: dict[str, Any] = document.get("schemes", {})
    matching = [
        key for key, patterns in schemes.items() if re.fullmatch(patterns[kind], name)
    ]
    if len(matching) == 1:
        return matching[0]
    found = f"{name!r}, which matches {', '.join(matching) or 'no scheme'}"
    place = f"$.{list_name}"
    raise EditRefused(
        [Finding(place, found, f"a {kind} name that matches exactly one scheme")]
    )


def display_name(item: dict[str, Any], scheme: str | None) -> str:
    """Returns an object's name in a scheme, or its id if it has none."""
    return str(item.get("names", {}).get(scheme, item["id"]))
