"""Finds objects by their name in any scheme, and names them in one."""

from __future__ import annotations

import re
from typing import Any

from wasabimux.operations.editor import Document, EditRefused
from wasabimux.settings.findings import Finding

#: Kind of name that the objects of each list bear.
KIND_BY_LIST = {
    "workspaces": "workspace",
    "failure_domains": "failure_domain",
    "groups": "service",
    "routes": "service",
}


def find_object(document: Document, field: str, name: str) -> dict[str, Any]:
    """Returns the object of a list that has a name or an id.

    Args:
        document: Settings of the fleet.
        field: Name of the list, such as `workspaces`.
        name: Id, or name in any scheme.

    Raises:
        EditRefused: No object has the name.
    """
    for item in document.get(field, []):
        if item["id"] == name or name in item.get("names", {}).values():
            return item
    raise EditRefused([Finding(f"$.{field}", repr(name), "a name or id in this list")])


def match_scheme(document: Document, field: str, name: str) -> str:
    """Returns the scheme whose grammar a new name matches.

    Raises:
        EditRefused: No scheme, or more than one, fits the name.
    """
    kind = KIND_BY_LIST[field]
    schemes: dict[str, Any] = document.get("schemes", {})
    fitting = [key for key, item in schemes.items() if re.fullmatch(item[kind], name)]
    if len(fitting) == 1:
        return fitting[0]
    found = f"{name!r}, which fits {', '.join(fitting) or 'no scheme'}"
    place = f"$.{field}"
    raise EditRefused([Finding(place, found, f"a {kind} name of one scheme")])


def display_name(item: dict[str, Any], scheme: str | None) -> str:
    """Returns an object's name in a scheme, or its id."""
    return str(item.get("names", {}).get(scheme, item["id"]))
