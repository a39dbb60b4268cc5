"""Some fixed seeds of the soak of stops."""

from __future__ import annotations

import pytest

from tests.soak_stops import check, play, report


@pytest.mark.parametrize("seed", [2, 5, 6])
async def test_no_answer_is_lost_in_stops_beside_slow_readers(seed: int) -> None:
    played = await play(seed)
    findings = check(played)
    report(played, findings)
    assert findings == []
