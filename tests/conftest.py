"""Shared fixtures."""

from __future__ import annotations

import json
from pathlib import Path
from typing import Any

import pytest

from wasabimux.settings.check import check_fleet
from wasabimux.settings.fleet import FleetSettings

EXAMPLES = Path(__file__).parent.parent / "examples"


@pytest.fixture
def brazos_document() -> dict[str, Any]:
    """The example fleet of Brazos as decoded JSON."""
    return json.loads((EXAMPLES / "brazos.json").read_bytes())


@pytest.fixture
def brazos(brazos_document: dict[str, Any]) -> FleetSettings:
    """The example fleet of Brazos."""
    return check_fleet(brazos_document).ok
