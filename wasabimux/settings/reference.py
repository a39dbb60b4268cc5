"""Writes the operators' page on settings from the catalog.

Usage: python -m wasabimux.settings.reference > docs/operators/settings.md
"""

from __future__ import annotations

from enum import Enum

from wasabimux.settings.catalog import SETTINGS, Setting

PAGE_HEADER = """# Settings of the tree

Made by `python -m wasabimux.settings.reference`; a test compares it.

A branch inherits every setting from its parent unless it gives a value under `set`.
`unset` returns a setting to its default, `seal` forbids a change below. Workspaces take
the first three settings from their branch, routes the others.

| setting | type | unit | default | allowed | meaning |
|---|---|---|---|---|---|
"""


def render_reference() -> str:
    """Returns the page."""
    return PAGE_HEADER + "".join(_table_row(setting) for setting in SETTINGS)


def _table_row(setting: Setting) -> str:
    default = setting.default
    if isinstance(default, Enum):
        type_name, default = "text", default.value
        allowed = ", ".join(choice.value for choice in setting.type)
    else:
        type_name = "whole number" if setting.type is int else "number"
        allowed = f"{setting.minimum:g} to {setting.maximum:g}"
    cells = [
        f"`{setting.name}`",
        type_name,
        setting.unit,
        str(default),
        allowed,
        setting.description,
    ]
    return "| " + " | ".join(cells) + " |\n"


if __name__ == "__main__":
    print(render_reference(), end="")
