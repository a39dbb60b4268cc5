"""Measures slopes and prints figures with their bounds."""

from __future__ import annotations

import gc
import os
import time
import tracemalloc
from collections.abc import Callable
from typing import Any, NamedTuple

PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
BYTES_PER_MB = 1024 * 1024


class Measurement(NamedTuple):
    """A measured figure.

    Attributes:
        name: What was measured.
        value: The figure.
        unit: Its unit.
        bound: Largest value that meets the target, None without a target.
        at_least: True if the bound is the smallest value instead.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    at_least: bool = False

    @property
    def verdict(self) -> str:
        """Whether the figure meets its bound."""
        if self.bound is None:
            return "-"
        met = self.value >= self.bound if self.at_least else self.value <= self.bound
        return "met" if met else "NOT MET"

    def __str__(self) -> str:
        bound = "-" if self.bound is None else f"{self.bound:g}"
        return f"{self.name} {self.value:.4g} {self.unit} {bound} {self.verdict}"


def resident_bytes() -> int:
    """Returns the resident memory of this process."""
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


def seconds_per_call(work: Callable[[], Any], calls: int) -> float:
    """Returns the processor time of one call, the least of three rounds."""
    rounds = []
    for _ in range(3):
        start = time.process_time()
        for _ in range(calls):
            work()
        rounds.append((time.process_time() - start) / calls)
    return min(rounds)


def bytes_each(make: Callable[[int], Any], count: int) -> float:
    """Returns the memory that one of many objects adds, as Python allocates it."""
    gc.collect()
    tracemalloc.start()
    kept = make(count)
    gc.collect()
    grown, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return grown / count
