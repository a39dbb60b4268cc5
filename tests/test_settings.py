"""Tests of the settings tree, naming schemes, findings and the settings editor."""

from __future__ import annotations

import ast
import json
import re
from pathlib import Path
from typing import Any

from hypothesis import given, settings as hypothesis_settings, strategies as st
from testtools.assertions import assert_that
from testtools.matchers import Contains, Equals

from wasabimux.operations import changes
from wasabimux.operations.editor import EditRefused, SettingsEditor
from wasabimux.operations.names import display_name, find_object
from wasabimux.settings.catalog import SETTINGS_BY_NAME
from wasabimux.settings.check import check_fleet
from wasabimux.settings.fleet import Branch
from wasabimux.settings.reference import render_reference
from wasabimux.settings.tree import resolve_setting
from wasabimux.standins.platform import MemoryPlatform
from wasabimux.standins.virtual_fleet import run_in_virtual_time

SETTING_NAMES = ["rate_tokens_per_s", "burst_tokens"]
BRANCH_NAMES = ["a", "b"]
LOCATION_PARTS = re.compile(r'\.([\w-]+)|\[(\d+)\]|\[("(?:[^"\\]|\\.)*")\]')

branch_documents = st.recursive(
    st.fixed_dictionaries(
        {
            "set": st.dictionaries(st.sampled_from(SETTING_NAMES), st.integers(1, 99)),
            "seal": st.lists(st.sampled_from(SETTING_NAMES), max_size=1),
        }
    ),
    lambda inner: st.fixed_dictionaries(
        {
            "set": st.dictionaries(st.sampled_from(SETTING_NAMES), st.integers(1, 99)),
            "unset": st.lists(st.sampled_from(SETTING_NAMES), max_size=1),
            "children": st.dictionaries(st.sampled_from(BRANCH_NAMES), inner),
        }
    ),
    max_leaves=8,
)


def expected_value(
    branch: dict[str, Any], path: list[str], name: str, value: Any
) -> Any:
    """Returns the effective value of a setting by recursion over the branches."""
    if name in branch.get("unset", []):
        value = SETTINGS_BY_NAME[name].default
    elif name in branch.get("set", {}):
        value = branch["set"][name]
    if name in branch.get("seal", []) or not path:
        return value
    return expected_value(branch["children"][path[0]], path[1:], name, value)


def branch_paths(branch: dict[str, Any]) -> list[list[str]]:
    """Returns the paths of a branch and its descendants, as lists of names."""
    paths: list[list[str]] = [[]]
    for name, child in branch.get("children", {}).items():
        paths += [[name, *rest] for rest in branch_paths(child)]
    return paths


@hypothesis_settings(derandomize=True, max_examples=100, deadline=None)
@given(tree=branch_documents)
def test_inheritance_matches_a_recursive_model(tree: dict[str, Any]) -> None:
    root = Branch.model_validate(tree)
    for path in branch_paths(tree):
        for name in SETTING_NAMES:
            default = SETTINGS_BY_NAME[name].default
            resolved = resolve_setting(root, "/" + "/".join(path), name)
            assert_that(
                resolved.value, Equals(expected_value(tree, path, name, default))
            )


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=6,
)


def parent_exists(document: Any, location: str) -> bool:
    """Returns True if the parent of a location exists in a document."""
    for unquoted, index, quoted in LOCATION_PARTS.findall(location)[:-1]:
        key = int(index) if index else unquoted or json.loads(quoted)
        try:
            document = document[key]
        except (KeyError, IndexError, TypeError):
            return False
    return True


@hypothesis_settings(derandomize=True, max_examples=200, deadline=None)
@given(data=st.data())
def test_findings_on_any_input_have_existing_locations(data: st.DataObject) -> None:
    document = json.loads(open("examples/brazos.json").read())
    field = data.draw(st.sampled_from(sorted(document)))
    target = document[field]
    if isinstance(target, list) and data.draw(st.booleans()):
        index = data.draw(st.integers(0, len(target) - 1))
        key = data.draw(st.sampled_from([*sorted(target[index]), "unknown"]))
        target[index][key] = data.draw(json_values)
    else:
        document[field] = data.draw(json_values)
    checked = check_fleet(document)
    if checked.is_error():
        for finding in checked.error:
            assert parent_exists(document, finding.location), finding


def test_all_findings_are_reported_together(brazos_document: dict[str, Any]) -> None:
    brazos_document["routes"][0]["decode_group"] = "nowhere"
    brazos_document["upstreams"][1]["failure_domain"] = "nowhere"
    brazos_document["tree"]["set"]["rate_tokens_per_s"] = "much"
    brazos_document["workspaces"][0]["names"]["lab"] = "ROPE"
    locations = [finding.location for finding in check_fleet(brazos_document).error]
    for location in (
        "$.routes[0].decode_group",
        "$.upstreams[1].failure_domain",
        "$.tree.set.rate_tokens_per_s",
        "$.workspaces[0].names.lab",
    ):
        assert_that(locations, Contains(location))


def test_a_change_of_a_sealed_setting_is_a_finding(
    brazos_document: dict[str, Any],
) -> None:
    large = brazos_document["tree"]["children"]["large"]
    large["children"] = {"below": {"set": {"weight": 1}}}
    locations = [finding.location for finding in check_fleet(brazos_document).error]
    assert_that(locations, Equals(["$.tree.children.large.children.below.set.weight"]))


def test_an_object_keeps_its_id_in_all_schemes(
    brazos_document: dict[str, Any],
) -> None:
    changes.create_workspace(brazos_document, "urn:brazos:ws:dye-lab", "/field")
    changes.rename_object(
        brazos_document, "workspaces", "urn:brazos:ws:dye-lab", "WS-DYE.LAB"
    )
    by_urn = find_object(brazos_document, "workspaces", "urn:brazos:ws:dye-lab")
    by_floor = find_object(brazos_document, "workspaces", "WS-DYE.LAB")
    assert_that(by_urn["id"], Equals(by_floor["id"]))
    assert_that(display_name(by_urn, "floor"), Equals("WS-DYE.LAB"))
    assert_that(check_fleet(brazos_document).is_ok(), Equals(True))


def test_the_second_of_two_concurrent_edits_is_rejected(
    brazos_document: dict[str, Any],
) -> None:
    async def edit_concurrently() -> None:
        platform = MemoryPlatform()
        editor = SettingsEditor(platform)
        first = (await editor.apply(brazos_document, 0)).ok
        changed_document = json.loads(json.dumps(brazos_document))
        changed_document["tree"]["set"]["rate_tokens_per_s"] = 7
        assert_that(
            (await editor.apply(changed_document, first.version)).is_ok(), Equals(True)
        )
        rejected = await editor.apply(brazos_document, first.version)
        assert_that(rejected.error[0].location, Equals("$"))

    run_in_virtual_time(edit_concurrently())


def test_an_edit_with_a_lost_response_is_read_back(
    brazos_document: dict[str, Any],
) -> None:
    async def lose_response() -> None:
        platform = MemoryPlatform()
        editor = SettingsEditor(platform)
        platform.faults.lose_answers = True
        accepted = await editor.apply(brazos_document, 0)
        assert_that(accepted.is_ok(), Equals(True))

    run_in_virtual_time(lose_response())


def test_a_name_that_matches_no_scheme_is_rejected(
    brazos_document: dict[str, Any],
) -> None:
    try:
        changes.create_workspace(brazos_document, "dye lab", "/")
    except EditRefused as refusal:
        assert_that(refusal.findings[0].location, Equals("$.workspaces"))
    else:
        raise AssertionError("the name was accepted")


def test_the_settings_page_is_up_to_date() -> None:
    with open("docs/operators/settings.md") as page:
        assert_that(page.read(), Equals(render_reference()))


def test_decisions_import_neither_asyncio_nor_adapters() -> None:
    for module in Path("wasabimux/decisions").glob("*.py"):
        for node in ast.walk(ast.parse(module.read_text())):
            names = [alias.name for alias in getattr(node, "names", [])]
            if isinstance(node, ast.ImportFrom):
                names.append(node.module or "")
            for name in names:
                assert_that(name.startswith("asyncio"), Equals(False))
                assert_that("adapters" in name, Equals(False))
