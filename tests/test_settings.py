"""The tree of settings, names and findings."""

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
from wasabimux.settings.reference import reference
from wasabimux.settings.tree import explain
from wasabimux.standins.platform import MemoryPlatform
from wasabimux.standins.virtual_fleet import run_virtual

NAMES = ["rate_tokens_per_s", "burst_tokens"]
CHILDREN = ["a", "b"]
PLACE_PARTS = re.compile(r'\.([\w-]+)|\[(\d+)\]|\[("(?:[^"\\]|\\.)*")\]')

branches = st.recursive(
    st.fixed_dictionaries(
        {
            "set": st.dictionaries(st.sampled_from(NAMES), st.integers(1, 99)),
            "seal": st.lists(st.sampled_from(NAMES), max_size=1),
        }
    ),
    lambda inner: st.fixed_dictionaries(
        {
            "set": st.dictionaries(st.sampled_from(NAMES), st.integers(1, 99)),
            "unset": st.lists(st.sampled_from(NAMES), max_size=1),
            "children": st.dictionaries(st.sampled_from(CHILDREN), inner),
        }
    ),
    max_leaves=8,
)


def oracle(branch: dict[str, Any], path: list[str], name: str, value: Any) -> Any:
    """Inheritance as a simple recursion."""
    if name in branch.get("unset", []):
        value = SETTINGS_BY_NAME[name].default
    elif name in branch.get("set", {}):
        value = branch["set"][name]
    if name in branch.get("seal", []) or not path:
        return value
    return oracle(branch["children"][path[0]], path[1:], name, value)


def paths(branch: dict[str, Any]) -> list[list[str]]:
    """Returns the paths of all branches."""
    found: list[list[str]] = [[]]
    for name, child in branch.get("children", {}).items():
        found += [[name, *rest] for rest in paths(child)]
    return found


@hypothesis_settings(derandomize=True, max_examples=100, deadline=None)
@given(tree=branches)
def test_inheritance_equals_a_recursion(tree: dict[str, Any]) -> None:
    root = Branch.model_validate(tree)
    for path in paths(tree):
        for name in NAMES:
            default = SETTINGS_BY_NAME[name].default
            found = explain(root, "/" + "/".join(path), name)
            assert_that(found.value, Equals(oracle(tree, path, name, default)))


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: st.lists(inner, max_size=3)
    | st.dictionaries(st.text(max_size=5), inner, max_size=3),
    max_leaves=6,
)


def exists(document: Any, place: str) -> bool:
    """Tells whether the parent of a place exists in a document."""
    for plain, index, quoted in PLACE_PARTS.findall(place)[:-1]:
        key = int(index) if index else plain or json.loads(quoted)
        try:
            document = document[key]
        except (KeyError, IndexError, TypeError):
            return False
    return True


@hypothesis_settings(derandomize=True, max_examples=200, deadline=None)
@given(data=st.data())
def test_any_input_gets_findings_at_places_that_exist(data: st.DataObject) -> None:
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
            assert exists(document, finding.place), finding


def test_all_findings_come_together(brazos_document: dict[str, Any]) -> None:
    brazos_document["routes"][0]["decode_group"] = "nowhere"
    brazos_document["upstreams"][1]["failure_domain"] = "nowhere"
    brazos_document["tree"]["set"]["rate_tokens_per_s"] = "much"
    brazos_document["workspaces"][0]["names"]["lab"] = "ROPE"
    places = [finding.place for finding in check_fleet(brazos_document).error]
    for place in (
        "$.routes[0].decode_group",
        "$.upstreams[1].failure_domain",
        "$.tree.set.rate_tokens_per_s",
        "$.workspaces[0].names.lab",
    ):
        assert_that(places, Contains(place))


def test_a_change_below_a_seal_is_a_finding(brazos_document: dict[str, Any]) -> None:
    large = brazos_document["tree"]["children"]["large"]
    large["children"] = {"below": {"set": {"weight": 1}}}
    places = [finding.place for finding in check_fleet(brazos_document).error]
    assert_that(places, Equals(["$.tree.children.large.children.below.set.weight"]))


def test_an_object_keeps_its_identity_in_all_schemes(
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


def test_two_operators_race(brazos_document: dict[str, Any]) -> None:
    async def race() -> None:
        platform = MemoryPlatform()
        editor = SettingsEditor(platform)
        first = (await editor.apply(brazos_document, 0)).ok
        mine = json.loads(json.dumps(brazos_document))
        mine["tree"]["set"]["rate_tokens_per_s"] = 7
        assert_that((await editor.apply(mine, first.version)).is_ok(), Equals(True))
        late = await editor.apply(brazos_document, first.version)
        assert_that(late.error[0].place, Equals("$"))

    run_virtual(race())


def test_a_lost_answer_is_read_back(brazos_document: dict[str, Any]) -> None:
    async def lose() -> None:
        platform = MemoryPlatform()
        editor = SettingsEditor(platform)
        platform.faults.lose_answers = True
        accepted = await editor.apply(brazos_document, 0)
        assert_that(accepted.is_ok(), Equals(True))

    run_virtual(lose())


def test_a_name_that_fits_no_scheme_is_refused(
    brazos_document: dict[str, Any],
) -> None:
    try:
        changes.create_workspace(brazos_document, "dye lab", "/")
    except EditRefused as refusal:
        assert_that(refusal.findings[0].place, Equals("$.workspaces"))
    else:
        raise AssertionError("the name was accepted")


def test_the_page_on_settings_is_up_to_date() -> None:
    with open("docs/operators/settings.md") as page:
        assert_that(page.read(), Equals(reference()))


def test_decisions_know_neither_asyncio_nor_adapters() -> None:
    for module in Path("wasabimux/decisions").glob("*.py"):
        for node in ast.walk(ast.parse(module.read_text())):
            names = [alias.name for alias in getattr(node, "names", [])]
            if isinstance(node, ast.ImportFrom):
                names.append(node.module or "")
            for name in names:
                assert_that(name.startswith("asyncio"), Equals(False))
                assert_that("adapters" in name, Equals(False))
