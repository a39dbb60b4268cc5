"""Tests of the deployment template, pinned requirements and the adapter's boundary."""

from __future__ import annotations

import json
import re
import tomllib
from pathlib import Path

from wasabimux.platform import documents, headers
from wasabimux.settings.findings import check_document
from wasabimux.settings.process import RelaySettings

ROOT = Path(__file__).parent.parent
TEMPLATE_VALUES = {
    "node": "front-a-1",
    "zone": "zone-a",
    "ip": "10.1.0.3",
    "listen.front": "10.1.0.3:8360",
    "listen.ready": "10.1.0.3:8365",
    "internalPorts.0": "7500",
    "platform.address": "10.200.1.7:8361",
    "bounds.graceS": "8",
    "bounds.retryBudgetRatio": "0.2",
    "bounds.budgetExtra": "58",
    "bounds.budgetWindowS": "10",
    "bounds.quotaWindowS": "8",
    "bounds.quotaOverage": "0.1",
    "bounds.quotaSlack": "120000",
    "bounds.leaseMs": "3000",
}


def test_template_renders_valid_settings() -> None:
    role = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"][
        "relay"
    ]
    template = (ROOT / role["template"]).read_text()
    rendered = re.sub(
        r"{{([^}]+)}}", lambda match: TEMPLATE_VALUES[match.group(1)], template
    )
    checked = check_document(RelaySettings, json.loads(rendered))
    assert checked.is_ok(), checked.error
    assert checked.ok.callers == TEMPLATE_VALUES["listen.front"]
    port = int(role["metrics"].partition("/")[0])
    assert checked.ok.admin == f"{TEMPLATE_VALUES['ip']}:{port}"


def test_all_requirements_are_pinned() -> None:
    pinned = set((ROOT / "constraints.txt").read_text().split())
    assert set((ROOT / "requirements.txt").read_text().split()) <= pinned


def test_wire_names_occur_only_in_the_adapter() -> None:
    names = {
        value.decode()
        for value in vars(headers).values()
        if isinstance(value, bytes) and value.startswith(b"wasabimux-")
    }
    names |= {name.decode() for name in headers.SYSTEM_HEADERS} - {"last-event-id"}
    names |= {
        field
        for model in vars(documents).values()
        if isinstance(model, type) and issubclass(model, documents._Document)
        for field in (info.alias for info in model.model_fields.values())
        if field and field != field.lower()
    }
    assert "wasabimux-tenant" in names and "maxAttempts" in names
    leaks = [
        f"{path.relative_to(ROOT)}: {name}"
        for path in (ROOT / "wasabimux").rglob("*.py")
        if "platform" not in path.relative_to(ROOT / "wasabimux").parts
        for name in names
        if name in path.read_text()
    ]
    assert leaks == []


def test_adapter_is_under_a_fifth_of_the_code() -> None:
    def count_lines(folder: Path) -> int:
        return sum(len(path.read_text().splitlines()) for path in folder.rglob("*.py"))

    all_lines = count_lines(ROOT / "wasabimux")
    assert count_lines(ROOT / "wasabimux" / "platform") < all_lines / 5
