"""Validation of a fleet's settings across objects."""

from __future__ import annotations

import re
from collections.abc import Iterable, Iterator, Sequence
from typing import Any, Protocol

from expression import Error, Result

from wasabimux.settings.findings import Finding, check_document, member_path
from wasabimux.settings.fleet import (
    FleetSettings,
    GroupRole,
    NamesByScheme,
    NamingScheme,
    Route,
    RouteKind,
)
from wasabimux.settings.tree import branches_on_path, check_tree


class NamedObject(Protocol):
    """An object with an id and a name in each of some naming schemes."""

    @property
    def id(self) -> str: ...

    @property
    def names(self) -> NamesByScheme: ...


def check_fleet(document: Any) -> Result[FleetSettings, list[Finding]]:
    """Validates a fleet's settings document.

    Args:
        document: The decoded JSON document.

    Returns:
        The settings, or all findings. References between objects are checked only if
        the document matches the model.
    """
    result = check_document(FleetSettings, document)
    if result.is_error():
        return result
    findings = list(_check_consistency(result.ok))
    return Error(findings) if findings else result


def _check_consistency(fleet: FleetSettings) -> Iterator[Finding]:
    yield from check_tree(fleet.tree)
    yield from _check_schemes(fleet)
    yield from _check_names(fleet)
    yield from _check_upstreams(fleet)
    yield from _check_branches(fleet)
    yield from _check_keys(fleet)
    for index, route in enumerate(fleet.routes):
        yield from _check_route(fleet, route, f"$.routes[{index}]")
    yield from _check_duplicate_targets(fleet)


def _check_schemes(fleet: FleetSettings) -> Iterator[Finding]:
    for name, scheme in fleet.schemes.items():
        for field in ("service", "workspace", "failure_domain"):
            try:
                re.compile(getattr(scheme, field))
            except re.error as error:
                yield Finding(
                    member_path(member_path("$.schemes", name), field),
                    str(error),
                    "a regular expression",
                )


def _check_names(fleet: FleetSettings) -> Iterator[Finding]:
    """Checks that names match their scheme and that each names only one object."""
    kinds: list[tuple[str, Sequence[tuple[str, Sequence[NamedObject]]]]] = [
        ("service", [("groups", fleet.groups), ("routes", fleet.routes)]),
        ("workspace", [("workspaces", fleet.workspaces)]),
        ("failure_domain", [("failure_domains", fleet.failure_domains)]),
    ]
    for kind, object_lists in kinds:
        for field, objects in object_lists:
            yield from _check_object_names(fleet.schemes, kind, field, objects)


def _check_object_names(
    schemes: dict[str, NamingScheme],
    kind: str,
    field: str,
    objects: Iterable[NamedObject],
) -> Iterator[Finding]:
    object_id_by_name: dict[str, str] = {}
    for index, item in enumerate(objects):
        location = f"$.{field}[{index}]"
        if item.id in object_id_by_name:
            yield Finding(
                f"{location}.id", repr(item.id), "no id or name of another object"
            )
        object_id_by_name[item.id] = item.id
        for scheme, name in item.names.items():
            item_location = member_path(f"{location}.names", scheme)
            if scheme not in schemes:
                yield Finding(item_location, repr(scheme), "a declared naming scheme")
                continue
            if not _fully_matches(getattr(schemes[scheme], kind), name):
                yield Finding(
                    item_location, repr(name), f"a {kind} name of scheme {scheme}"
                )
            if object_id_by_name.setdefault(name, item.id) != item.id:
                yield Finding(
                    item_location, repr(name), "no id or name of another object"
                )


def _fully_matches(pattern: str, name: str) -> bool:
    try:
        return re.fullmatch(pattern, name) is not None
    except re.error:
        return True  # `_check_schemes` reports the invalid pattern


def _check_upstreams(fleet: FleetSettings) -> Iterator[Finding]:
    groups = {group.id for group in fleet.groups}
    domains = {domain.id for domain in fleet.failure_domains}
    seen: set[str] = set()
    for index, upstream in enumerate(fleet.upstreams):
        location = f"$.upstreams[{index}]"
        if upstream.id in seen:
            yield Finding(f"{location}.id", repr(upstream.id), "a unique id")
        seen.add(upstream.id)
        if upstream.group not in groups:
            yield Finding(
                f"{location}.group", repr(upstream.group), "the id of a group"
            )
        if upstream.failure_domain not in domains:
            yield Finding(
                f"{location}.failure_domain",
                repr(upstream.failure_domain),
                "the id of a failure domain",
            )
        if upstream.cold_requests > upstream.max_requests:
            yield Finding(
                f"{location}.cold_requests",
                str(upstream.cold_requests),
                f"at most max_requests ({upstream.max_requests})",
            )


def _check_branches(fleet: FleetSettings) -> Iterator[Finding]:
    branches_by_field = {
        "workspaces": [workspace.branch for workspace in fleet.workspaces],
        "routes": [route.branch for route in fleet.routes],
    }
    for field, branches in branches_by_field.items():
        for index, branch in enumerate(branches):
            if branches_on_path(fleet.tree, branch) is None:
                yield Finding(
                    f"$.{field}[{index}].branch",
                    repr(branch),
                    "the path of a branch in $.tree",
                )


def _check_keys(fleet: FleetSettings) -> Iterator[Finding]:
    workspaces = {workspace.id for workspace in fleet.workspaces}
    digests: set[str] = set()
    for index, key in enumerate(fleet.keys):
        if key.workspace not in workspaces:
            yield Finding(
                f"$.keys[{index}].workspace",
                repr(key.workspace),
                "the id of a workspace",
            )
        if key.digest in digests:
            yield Finding(
                f"$.keys[{index}].digest", "a duplicate digest", "a unique digest"
            )
        digests.add(key.digest)


def _check_route(
    fleet: FleetSettings, route: Route, location: str
) -> Iterator[Finding]:
    if route.kind is RouteKind.COMPLETIONS:
        required_roles = {
            "prefill_group": GroupRole.PREFILL,
            "decode_group": GroupRole.DECODE,
        }
        if route.model not in {model.name for model in fleet.models}:
            yield Finding(f"{location}.model", repr(route.model), "the name of a model")
    else:
        required_roles = {"group": GroupRole.SERVICE}
        if not route.path_prefix or not route.path_prefix.startswith("/"):
            yield Finding(
                f"{location}.path_prefix",
                repr(route.path_prefix),
                "a path that starts with '/'",
            )
    role_by_group = {group.id: group.role for group in fleet.groups}
    for field, role in required_roles.items():
        group = getattr(route, field)
        if role_by_group.get(group) is not role:
            yield Finding(
                f"{location}.{field}",
                repr(group),
                f"the id of a group with role {role.value}",
            )
    workspaces = {workspace.id for workspace in fleet.workspaces}
    for index, workspace in enumerate(route.workspaces):
        if workspace not in workspaces:
            yield Finding(
                f"{location}.workspaces[{index}]",
                repr(workspace),
                "the id of a workspace",
            )


def _check_duplicate_targets(fleet: FleetSettings) -> Iterator[Finding]:
    route_id_by_target: dict[str, str] = {}
    for index, route in enumerate(fleet.routes):
        field = "model" if route.kind is RouteKind.COMPLETIONS else "path_prefix"
        target = f"{field} {getattr(route, field)}"
        if route_id_by_target.setdefault(target, route.id) != route.id:
            yield Finding(
                f"$.routes[{index}].{field}",
                repr(getattr(route, field)),
                "a value that no other route has",
            )
