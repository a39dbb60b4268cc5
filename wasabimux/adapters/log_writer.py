"""Log handler that writes to an output without blocking the event loop."""

from __future__ import annotations

import contextlib
import logging
import math
import os
import select
import sys
import threading
import time
from collections import deque
from collections.abc import Generator
from contextlib import contextmanager
from types import TracebackType
from typing import TextIO

from wasabimux.texts import shorten

#: Maximum number of queued lines; further lines are dropped and counted.
MAX_QUEUED_LINES = 5_000

#: Longest line in characters, and most characters of all queued lines.
MAX_LINE_LENGTH = 16_000
MAX_QUEUED_LENGTH = 4_000_000

#: Rate and burst size above which lines are dropped and counted.
MAX_LINES_PER_S = 300.0
MAX_BURST_LINES = 1_500.0

#: Time for which lines are collected into one write, in s.
BATCH_DELAY_S = 0.1

#: Longest time in s for which the last lines are written as the process ends.
CLOSE_TIMEOUT_S = 1.0

#: Time in s between checks of whether the process ends, while nobody reads the lines.
WRITE_CHECK_INTERVAL_S = 0.1

STDERR = 2

LINE_FORMAT = "time=%(asctime)s.%(msecs)03dZ level=%(levelname)s %(message)s"
TIME_FORMAT = "%Y-%m-%dT%H:%M:%S"

logger = logging.getLogger("wasabimux")


class LogWriter(logging.Handler):
    """Log handler with a bounded queue and a writer thread.

    If the reader of the output stops reading, only the writer thread waits; lines are
    then dropped and counted. Use as a context manager: on exit it writes the queued
    lines for up to CLOSE_TIMEOUT_S, and names those that remain on standard error.

    Args:
        output: Standard output or standard error. Its buffer is passed by, so that it
            keeps nothing that is not taken.
    """

    def __init__(self, output: TextIO) -> None:
        super().__init__()
        self._file_number = output.fileno()
        formatter = logging.Formatter(LINE_FORMAT, TIME_FORMAT)
        formatter.converter = time.gmtime
        self.setFormatter(formatter)
        self._refused_line_count = 0
        self._unwritten_line_count = 0
        self._reported_drop_count = 0
        self._queue: deque[str] = deque()
        self._queued_length = 0  # in all, and what its thread has taken of it
        self._taken_length = 0
        self._wake_event = threading.Event()
        self._closes_s = math.inf
        self._tokens = MAX_BURST_LINES
        self._refilled_s = time.monotonic()
        self._thread = threading.Thread(target=self._write_until_closed, daemon=True)

    def __enter__(self) -> LogWriter:
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._closes_s = time.monotonic() + CLOSE_TIMEOUT_S
        self._wake_event.set()
        self._thread.join(timeout=CLOSE_TIMEOUT_S + 2 * WRITE_CHECK_INTERVAL_S)
        if self.dropped_line_count > self._reported_drop_count:
            _write_if_ready(STDERR, f"{self._drop_report()}\n".encode())

    @property
    def dropped_line_count(self) -> int:
        """Number of lines dropped so far."""
        return self._refused_line_count + self._unwritten_line_count

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a line, or drops it above the rate limit or queue limit."""
        now = time.monotonic()
        refill = (now - self._refilled_s) * MAX_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + refill)
        self._refilled_s = now
        if self._tokens < 1.0 or self._is_full:
            self._refused_line_count += 1
            return
        self._tokens -= 1.0
        line = shorten(self.format(record), MAX_LINE_LENGTH)
        self._queued_length += len(line)
        self._queue.append(line)
        self._wake_event.set()

    @property
    def _is_full(self) -> bool:
        waiting = self._queued_length - self._taken_length
        return len(self._queue) >= MAX_QUEUED_LINES or waiting >= MAX_QUEUED_LENGTH

    def _write_until_closed(self) -> None:
        while True:
            self._wake_event.wait()
            if not self._is_closing:
                time.sleep(BATCH_DELAY_S)
            self._wake_event.clear()
            lines = []
            while self._queue:
                lines.append(self._queue.popleft())
            self._write_lines(lines)
            self._taken_length += sum(map(len, lines))
            if self.dropped_line_count > self._reported_drop_count:
                self._report_drops()
            if self._is_closing and not self._queue:
                return

    @property
    def _is_closing(self) -> bool:
        return self._closes_s < math.inf

    def _report_drops(self) -> None:
        count = self.dropped_line_count
        if self._write(f"{self._drop_report()}\n".encode()) == 0:
            self._reported_drop_count = count

    def _drop_report(self) -> str:
        return f"event=log_lines_dropped total={self.dropped_line_count}"

    def _write_lines(self, lines: list[str]) -> None:
        """Writes lines, and counts those of which the end was not written."""
        if lines:
            data = ("\n".join(lines) + "\n").encode(errors="backslashreplace")
            unwritten = self._write(data)
            self._unwritten_line_count += data.count(b"\n", len(data) - unwritten)

    def _write(self, data: bytes) -> int:
        """Writes as its reader reads; returns the bytes that were not written."""
        left = memoryview(data)
        try:
            while left and self._wait_until_writable():
                left = left[os.write(self._file_number, left[: select.PIPE_BUF]) :]
        except OSError:
            pass  # nobody can read it any more
        return len(left)

    def _wait_until_writable(self) -> bool:
        """Returns whether PIPE_BUF bytes can be written before the writer closes."""
        while True:
            if select.select([], [self._file_number], [], WRITE_CHECK_INTERVAL_S)[1]:
                return True
            if time.monotonic() >= self._closes_s:
                return False


def _write_if_ready(descriptor: int, data: bytes) -> None:
    """Writes some bytes, unless that would block."""
    with contextlib.suppress(OSError):
        if select.select([], [descriptor], [], 0.0)[1]:
            os.write(descriptor, data)


@contextmanager
def written_logs(
    output: TextIO, level: str = "INFO"
) -> Generator[LogWriter, None, None]:
    """Writes all log lines of the process to an output until the context exits.

    Errors that the interpreter would write to standard error itself are logged too.

    Args:
        output: Standard output or standard error.
        level: Least level of a line that is written.
    """
    with LogWriter(output) as writer:
        logging.basicConfig(level=level, handlers=[writer], force=True)
        sys.unraisablehook = _log_unraisable
        yield writer


def _log_unraisable(found: sys.UnraisableHookArgs) -> None:
    logger.error(
        "event=error_ignored object=%r error=%r", found.object, found.exc_value
    )
