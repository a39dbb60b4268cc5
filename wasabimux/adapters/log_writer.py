"""Writes log lines to standard output without ever blocking the loop."""

from __future__ import annotations

import logging
import sys
import threading
import time
from collections import deque
from types import TracebackType

#: Lines that may wait for the writer; further ones are dropped and counted.
MAX_WAITING_LINES = 5_000

#: Lines a second, and lines at once, beyond which lines are dropped and counted.
MAX_LINES_PER_S = 300.0
MAX_LINES_AT_ONCE = 1_500.0

#: Time for which lines are gathered into one write.
GATHER_S = 0.1

LINE_FORMAT = "time=%(asctime)s.%(msecs)03dZ level=%(levelname)s %(message)s"
TIME_FORMAT = "%Y-%m-%dT%H:%M:%S"


class LogWriter(logging.Handler):
    """A log handler with a bounded queue and a thread that writes.

    A reader that stops reading standard output blocks only the thread; lines then
    are dropped and counted. Use as a context manager, which writes what is left.
    """

    def __init__(self) -> None:
        super().__init__()
        formatter = logging.Formatter(LINE_FORMAT, TIME_FORMAT)
        formatter.converter = time.gmtime
        self.setFormatter(formatter)
        self.dropped_line_count = 0
        self._reported = 0
        self._waiting: deque[str] = deque()
        self._wake = threading.Event()
        self._ended = False
        self._allowance = MAX_LINES_AT_ONCE
        self._allowed_s = time.monotonic()
        self._thread = threading.Thread(target=self._write_all, daemon=True)

    def __enter__(self) -> LogWriter:
        self._thread.start()
        return self

    def __exit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        self._ended = True
        self._wake.set()
        self._thread.join(timeout=1.0)

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a line, or drops it when there are too many."""
        now = time.monotonic()
        gained = (now - self._allowed_s) * MAX_LINES_PER_S
        self._allowance = min(MAX_LINES_AT_ONCE, self._allowance + gained)
        self._allowed_s = now
        if self._allowance < 1.0 or len(self._waiting) >= MAX_WAITING_LINES:
            self.dropped_line_count += 1
            return
        self._allowance -= 1.0
        self._waiting.append(self.format(record))
        self._wake.set()

    def _write_all(self) -> None:
        while True:
            self._wake.wait()
            if not self._ended:
                time.sleep(GATHER_S)
            self._wake.clear()
            lines = []
            while self._waiting:
                lines.append(self._waiting.popleft())
            if self.dropped_line_count > self._reported:
                lines.append(f"event=log_lines_dropped total={self.dropped_line_count}")
                self._reported = self.dropped_line_count
            if lines:
                sys.stdout.write("\n".join(lines) + "\n")
                sys.stdout.flush()
            if self._ended and not self._waiting:
                return


def install_log_writer(writer: LogWriter, level: str = "INFO") -> None:
    """Sends all log lines of the process to a writer."""
    logging.basicConfig(level=level, handlers=[writer], force=True)
