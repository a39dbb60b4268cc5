"""Mutation test: disables one mechanism at a time and checks that a test detects it.

Usage: python -m tests.mutations [NAME ...]
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import NamedTuple

ROOT = Path(__file__).parent.parent
TIMEOUT_S = 150
FUZZ = ["-m", "tests.fuzz"]
FUZZ_SEEDS = ("1", "2")
FUZZ_STEPS = "1000"
PYTEST = ["-m", "pytest", "-q", "-x", "-p", "no:cacheprovider"]


class Mutation(NamedTuple):
    """A source change that disables a mechanism.

    Attributes:
        name: Name of the mechanism.
        module: Path of the changed file within the package.
        old: Text to replace.
        new: Text that disables the mechanism.
        test: Arguments of pytest that select the tests that must fail.
    """

    name: str
    module: str
    old: str
    new: str
    test: str


MUTATIONS = (
    Mutation(
        "reply_table",
        "agent/calls.py",
        "        if verdict is CallAction.RUN:",
        "        if verdict is not None:",
        "tests/test_at_most_once.py",
    ),
    Mutation(
        "resend_to_same_life",
        "entry/calls.py",
        "            elif agent.incarnation is not None:\n                break",
        "            elif agent.incarnation is not None:\n"
        "                incarnation = agent.incarnation",
        "tests/test_at_most_once.py",
    ),
    Mutation(
        "claim_before_call",
        "entry/claims.py",
        "            found = await self.find(kind, name)\n"
        "            if found is not None:",
        "            found = StoredClaim(kind, name, 0, record, created=True)\n"
        "            if found is not None:",
        "tests/test_at_most_once.py",
    ),
    Mutation(
        "cancel_until_confirmed",
        "agent/run_canceller.py",
        "            self.cancel_retry_count += 1\n",
        "            return\n",
        "tests/test_promises.py -k memory_returns",
    ),
    Mutation(
        "cancel_when_stream_is_gone",
        "agent/completions.py",
        "            if not finished:\n"
        "                await self._run_canceller.cancel(run)",
        "            if not finished:\n                pass",
        "tests/test_promises.py -k memory_returns",
    ),
    Mutation(
        "grants_end",
        "decisions/rate.py",
        "        while self._grants and self._grants[0].expires_s <= now:",
        "        while False:",
        "tests/test_rate.py -k idle_periods",
    ),
    Mutation(
        "new_holder_starts_empty",
        "entry/rate_shards.py",
        "            initial_levels=dict(record.levels) if released else None,",
        "            initial_levels=dict(record.levels),",
        "tests/test_rate.py -k no_window",
    ),
    Mutation(
        "share_without_lease",
        "entry/rate_shards.py",
        "        return 1.0 if now <= held.lease_until_s else EXPIRED_LEASE_SHARE",
        "        return 1.0",
        "tests/test_rate.py -k no_window",
    ),
    Mutation(
        "remainder_for_taker",
        "entry/rate_shards.py",
        "            return 1.0 - EXPIRED_LEASE_SHARE",
        "            return 1.0",
        "tests/test_rate.py -k no_window",
    ),
    Mutation(
        "cold_limit",
        "decisions/cold_start.py",
        "        self._limit = cold_limit\n",
        "        self._limit = full_limit\n        self._needs_speed_check = False\n",
        "tests/test_promises.py -k cold",
    ),
    Mutation(
        "evidence_of_speed",
        "decisions/cold_start.py",
        "            return min(self._limit, self._cold_limit)",
        "            return self._limit",
        "tests/test_promises.py -k burst",
    ),
    Mutation(
        "newest_settings_win",
        "entry/feed.py",
        "        if self.current is not None and version <= self.current.version:",
        "        if self.current is not None and version == self.current.version:",
        "tests/test_promises.py -k late",
    ),
    Mutation(
        "agent_refuses_when_out",
        "settings/views.py",
        "        accepting=in_service and upstream.state is UpstreamState.ACTIVE,",
        "        accepting=True,",
        "tests/test_promises.py -k leaves",
    ),
    Mutation(
        "withdrawn_keys_cut_streams",
        "entry/active.py",
        "                context.abort(withdrawn, now)",
        "                pass",
        "tests/test_promises.py -k withdrawn",
    ),
)


def _run(folder: Path, arguments: list[str]) -> bool:
    """Runs a check in a mutated copy; returns True if the check fails in time."""
    try:
        process = subprocess.run(
            [sys.executable, *arguments],
            cwd=folder,
            env=os.environ | {"PYTHONPATH": str(folder)},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            timeout=TIMEOUT_S,
        )
    except subprocess.TimeoutExpired:
        return False
    return process.returncode != 0


def check(mutation: Mutation) -> str:
    """Applies a mutation to a copy and returns which checks detect it."""
    with tempfile.TemporaryDirectory() as name:
        folder = Path(name)
        for part in ("wasabimux", "tests", "examples"):
            shutil.copytree(ROOT / part, folder / part)
        shutil.copy(ROOT / "pyproject.toml", folder)
        file = folder / "wasabimux" / mutation.module
        text = file.read_text()
        if mutation.old not in text:
            return "the text to replace was not found in the module"
        file.write_text(text.replace(mutation.old, mutation.new, 1))
        found_by_test = _run(folder, [*PYTEST, *mutation.test.split()])
        found_by_fuzz = any(_run(folder, [*FUZZ, s, FUZZ_STEPS]) for s in FUZZ_SEEDS)
        return f"test={'found' if found_by_test else 'NOT FOUND'} " + (
            f"fuzz={'found' if found_by_fuzz else 'not found'}"
        )


def main(names: list[str]) -> int:
    """Checks the named mutations, or all; returns 1 if the tests miss any."""
    missed = 0
    for mutation in MUTATIONS:
        if names and mutation.name not in names:
            continue
        result = check(mutation)
        print(f"{mutation.name}: {result}", flush=True)
        missed += "test=found" not in result
    return 1 if missed else 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
