"""The fuzz with fixed seeds, short enough for every run."""

from __future__ import annotations

import pytest

from tests.fuzz import run_fuzz

STEPS = 250


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_fuzz_finds_nothing(seed: int) -> None:
    run_fuzz(seed, STEPS)
