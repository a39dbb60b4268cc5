"""Inheritance in the tree of settings."""

from __future__ import annotations

from typing import Any, Iterator, NamedTuple

from wasabimux.settings.catalog import SETTINGS, SETTINGS_BY_NAME
from wasabimux.settings.findings import Finding, member
from wasabimux.settings.fleet import Branch

ROOT_PATH = "/"


class Explanation(NamedTuple):
    """Why a setting has its value.

    Attributes:
        value: The value in force.
        branch: Path of the branch that gave it, or `default`.
        overridden: Paths and values that it overrides, nearest first.
    """

    value: Any
    branch: str
    overridden: tuple[tuple[str, Any], ...]


def split_path(path: str) -> list[str]:
    """Splits the path of a branch, such as `/orders/field`, into names."""
    return [name for name in path.split("/") if name]


def branches_along(root: Branch, path: str) -> list[tuple[str, Branch]] | None:
    """Returns the branches from the root to a path, or None if it is missing."""
    found = [(ROOT_PATH, root)]
    branch = root
    place = ""
    for name in split_path(path):
        child = branch.children.get(name)
        if child is None:
            return None
        branch = child
        place = f"{place}/{name}"
        found.append((place, branch))
    return found


def explain(root: Branch, path: str, name: str) -> Explanation:
    """Finds the value of a setting at a branch and what it overrides.

    Args:
        root: Root of the tree.
        path: Path of the branch.
        name: Name of the setting.

    Returns:
        The value with its origin.

    Raises:
        KeyError: If the branch or the setting does not exist.
    """
    setting = SETTINGS_BY_NAME[name]
    along = branches_along(root, path)
    if along is None:
        raise KeyError(path)
    given: list[tuple[str, Any]] = [("default", setting.default)]
    for place, branch in along:
        if name in branch.unset:
            given.append((place, setting.default))
        elif name in branch.set:
            given.append((place, setting.parse(branch.set[name])))
        if name in branch.seal:
            break
    origin, value = given.pop()
    return Explanation(value, origin, tuple(reversed(given)))


def effective(root: Branch, path: str) -> dict[str, Any]:
    """Returns the value of every setting at a branch."""
    return {
        setting.name: explain(root, path, setting.name).value for setting in SETTINGS
    }


def check_tree(root: Branch) -> list[Finding]:
    """Checks names, values and seals of the whole tree."""
    return list(_check_branch(root, "$.tree", frozenset()))


def _check_branch(
    branch: Branch, place: str, sealed: frozenset[str]
) -> Iterator[Finding]:
    for name, value in branch.set.items():
        yield from _check_value(member(f"{place}.set", name), name, value, sealed)
    for field, names in (("unset", branch.unset), ("seal", branch.seal)):
        for index, name in enumerate(names):
            here = f"{place}.{field}[{index}]"
            if name not in SETTINGS_BY_NAME:
                yield Finding(here, repr(name), "the name of a setting")
            elif field == "unset" and name in sealed:
                yield Finding(here, repr(name), "no change below a seal")
            elif field == "unset" and name in branch.set:
                yield Finding(here, repr(name), "either set or unset, not both")
    below = sealed | frozenset(branch.seal)
    for name, child in branch.children.items():
        if not name or "/" in name:
            yield Finding(f"{place}.children", repr(name), "a name without '/'")
        yield from _check_branch(child, member(f"{place}.children", name), below)


def _check_value(
    place: str, name: str, value: Any, sealed: frozenset[str]
) -> Iterator[Finding]:
    setting = SETTINGS_BY_NAME.get(name)
    if setting is None:
        yield Finding(place, "an unknown setting", "the name of a setting")
        return
    if name in sealed:
        yield Finding(place, repr(value), "no change below a seal")
    try:
        setting.parse(value)
    except ValueError as error:
        yield Finding(place, repr(value), str(error))
