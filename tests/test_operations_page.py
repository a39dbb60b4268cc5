"""The operators' page names every event that a relay records."""

from __future__ import annotations

import re
from pathlib import Path

ROOT = Path(__file__).parent.parent
RECORDED = re.compile(
    r'(?:_record|\.record|_record_order)\(\s*(?:\w+,\s*)?"([a-z_]+)"', re.MULTILINE
)
CONDITIONAL = re.compile(r'"(domain_[a-z_]+)" if .* else "(domain_[a-z_]+)"')

#: Not of relays: written by the log writer.
OF_THE_WRITER = {"log_lines_dropped"}


def recorded_events() -> set[str]:
    """Returns the events in the relay's code."""
    found: set[str] = set()
    for path in (ROOT / "wasabimux" / "relay").glob("*.py"):
        text = path.read_text()
        found.update(RECORDED.findall(text))
        for pair in CONDITIONAL.findall(text):
            found.update(pair)
    return found


def documented_events() -> set[str]:
    """Returns the events in the first column of the page's table."""
    page = (ROOT / "docs" / "OPERATIONS.md").read_text()
    table = page.split("## Events")[1].split("## Metrics")[0]
    rows = [line for line in table.splitlines() if line.startswith("| `")]
    return {
        event for row in rows for event in re.findall(r"`(\w+)`", row.split("|")[1])
    }


def test_every_event_is_documented() -> None:
    assert len(recorded_events()) > 40
    assert recorded_events() - documented_events() == set()


def test_every_documented_event_exists() -> None:
    assert documented_events() - recorded_events() == OF_THE_WRITER
