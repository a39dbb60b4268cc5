"""Measures time and memory, and formats measurements with their bounds."""

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
    """A measured value with the bound that it must meet.

    Attributes:
        name: Name of the measured quantity.
        value: Measured value.
        unit: Unit of the value and the bound.
        bound: Largest value that meets the target, None without a target.
        at_least: True if the bound is the smallest value that meets the target.
    """

    name: str
    value: float
    unit: str
    bound: float | None = None
    at_least: bool = False

    @property
    def verdict(self) -> str:
        """Whether the value meets its bound: `met`, `NOT MET`, or `-` without one."""
        if self.bound is None:
            return "-"
        met = self.value >= self.bound if self.at_least else self.value <= self.bound
        return "met" if met else "NOT MET"

    def __str__(self) -> str:
        bound = "-" if self.bound is None else f"{self.bound:g}"
        return f"{self.name} {self.value:.4g} {self.unit} {bound} {self.verdict}"


def resident_bytes() -> int:
    """Returns the resident memory of this process in bytes."""
    with open("/proc/self/statm") as statm:
        return int(statm.read().split()[1]) * PAGE_BYTES


def seconds_per_call(function: Callable[[], Any], calls: int) -> float:
    """Returns the CPU time in s of one call, the least of three rounds."""
    rounds = []
    for _ in range(3):
        start = time.process_time()
        for _ in range(calls):
            function()
        rounds.append((time.process_time() - start) / calls)
    return min(rounds)


def bytes_each(create: Callable[[int], Any], count: int) -> float:
    """Returns the bytes that Python allocates per object, over many objects.

    Args:
        create: Creates a number of objects and returns them.
        count: Number of objects.
    """
    gc.collect()
    tracemalloc.start()
    objects = create(count)
    gc.collect()
    allocated_bytes, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del objects
    return allocated_bytes / count
