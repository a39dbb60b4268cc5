"""Inheritance and validation of the settings tree."""

from __future__ import annotations

from typing import Any, Iterator, NamedTuple

from wasabimux.settings.catalog import SETTINGS, SETTINGS_BY_NAME
from wasabimux.settings.findings import Finding, member_path
from wasabimux.settings.fleet import Branch

ROOT_PATH = "/"


class ResolvedSetting(NamedTuple):
    """The effective value of a setting at a branch and where it comes from.

    Attributes:
        value: The effective value.
        branch: Path of the branch that sets or unsets it, or `default`.
        overridden: Branch paths and values that it overrides, nearest ancestor first.
    """

    value: Any
    branch: str
    overridden: tuple[tuple[str, Any], ...]


def split_path(path: str) -> list[str]:
    """Splits the path of a branch, such as `/orders/field`, into branch names."""
    return [name for name in path.split("/") if name]


def branches_on_path(root: Branch, path: str) -> list[tuple[str, Branch]] | None:
    """Returns the branches from the root to a path, with their paths.

    Args:
        root: Root of the tree.
        path: Path of the last branch.

    Returns:
        Paths and branches, the root first; None if the path does not exist.
    """
    branches = [(ROOT_PATH, root)]
    branch = root
    branch_path = ""
    for name in split_path(path):
        child = branch.children.get(name)
        if child is None:
            return None
        branch = child
        branch_path = f"{branch_path}/{name}"
        branches.append((branch_path, branch))
    return branches


def resolve_setting(root: Branch, path: str, name: str) -> ResolvedSetting:
    """Resolves the effective value of a setting at a branch.

    Args:
        root: Root of the tree.
        path: Path of the branch.
        name: Name of the setting.

    Returns:
        The value, its origin and the values that it overrides.

    Raises:
        KeyError: The branch or the setting does not exist.
    """
    setting = SETTINGS_BY_NAME[name]
    branches = branches_on_path(root, path)
    if branches is None:
        raise KeyError(path)
    assignments: list[tuple[str, Any]] = [("default", setting.default)]
    for branch_path, branch in branches:
        if name in branch.unset:
            assignments.append((branch_path, setting.default))
        elif name in branch.set:
            assignments.append((branch_path, setting.parse(branch.set[name])))
        if name in branch.seal:
            break
    origin, value = assignments.pop()
    return ResolvedSetting(value, origin, tuple(reversed(assignments)))


def effective_settings(root: Branch, path: str) -> dict[str, Any]:
    """Returns the effective values of all settings at a branch, by name."""
    return {
        setting.name: resolve_setting(root, path, setting.name).value
        for setting in SETTINGS
    }


def check_tree(root: Branch) -> list[Finding]:
    """Checks setting names, values, seals and branch names of the whole tree."""
    return list(_check_branch(root, "$.tree", frozenset()))


def _check_branch(
    branch: Branch, location: str, sealed: frozenset[str]
) -> Iterator[Finding]:
    for name, value in branch.set.items():
        yield from _check_value(
            member_path(f"{location}.set", name), name, value, sealed
        )
    for field, names in (("unset", branch.unset), ("seal", branch.seal)):
        for index, name in enumerate(names):
            item_location = f"{location}.{field}[{index}]"
            if name not in SETTINGS_BY_NAME:
                yield Finding(item_location, repr(name), "the name of a setting")
            elif field == "unset" and name in sealed:
                yield Finding(
                    item_location,
                    repr(name),
                    "no change to a setting that an ancestor seals",
                )
            elif field == "unset" and name in branch.set:
                yield Finding(
                    item_location, repr(name), "either set or unset, not both"
                )
    sealed_for_children = sealed | frozenset(branch.seal)
    for name, child in branch.children.items():
        if not name or "/" in name:
            yield Finding(f"{location}.children", repr(name), "a name without '/'")
        yield from _check_branch(
            child, member_path(f"{location}.children", name), sealed_for_children
        )


def _check_value(
    location: str, name: str, value: Any, sealed: frozenset[str]
) -> Iterator[Finding]:
    setting = SETTINGS_BY_NAME.get(name)
    if setting is None:
        yield Finding(location, "an unknown setting", "the name of a setting")
        return
    if name in sealed:
        yield Finding(
            location, repr(value), "no change to a setting that an ancestor seals"
        )
    try:
        setting.parse(value)
    except ValueError as error:
        yield Finding(location, repr(value), str(error))
