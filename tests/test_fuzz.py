"""Short runs of the stateful fuzz test with fixed seeds."""

from __future__ import annotations

import pytest

from tests.fuzz import run_fuzz

STEP_COUNT = 250


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_fuzz_finds_no_violation(seed: int) -> None:
    run_fuzz(seed, STEP_COUNT)
