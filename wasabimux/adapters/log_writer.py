"""Log handler that writes to standard output without blocking the event loop."""

from __future__ import annotations

import logging
import sys
import threading
import time
from collections import deque
from types import TracebackType

#: Maximum number of queued lines; further lines are dropped and counted.
MAX_QUEUED_LINES = 5_000

#: Rate and burst size above which lines are dropped and counted.
MAX_LINES_PER_S = 300.0
MAX_BURST_LINES = 1_500.0

#: Time for which lines are collected into one write, in s.
BATCH_DELAY_S = 0.1

LINE_FORMAT = "time=%(asctime)s.%(msecs)03dZ level=%(levelname)s %(message)s"
TIME_FORMAT = "%Y-%m-%dT%H:%M:%S"


class LogWriter(logging.Handler):
    """Log handler with a bounded queue and a writer thread.

    If the reader of standard output stops reading, only the writer thread blocks;
    lines are then dropped and counted. Use as a context manager, which writes the
    queued lines on exit.

    Attributes:
        dropped_line_count: Number of lines dropped so far.
    """

    def __init__(self) -> None:
        super().__init__()
        formatter = logging.Formatter(LINE_FORMAT, TIME_FORMAT)
        formatter.converter = time.gmtime
        self.setFormatter(formatter)
        self.dropped_line_count = 0
        self._reported_drop_count = 0
        self._queue: deque[str] = deque()
        self._wake_event = threading.Event()
        self._is_closing = False
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
        self._is_closing = True
        self._wake_event.set()
        self._thread.join(timeout=1.0)

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a line, or drops it above the rate limit or queue limit."""
        now = time.monotonic()
        refill = (now - self._refilled_s) * MAX_LINES_PER_S
        self._tokens = min(MAX_BURST_LINES, self._tokens + refill)
        self._refilled_s = now
        if self._tokens < 1.0 or len(self._queue) >= MAX_QUEUED_LINES:
            self.dropped_line_count += 1
            return
        self._tokens -= 1.0
        self._queue.append(self.format(record))
        self._wake_event.set()

    def _write_until_closed(self) -> None:
        while True:
            self._wake_event.wait()
            if not self._is_closing:
                time.sleep(BATCH_DELAY_S)
            self._wake_event.clear()
            lines = []
            while self._queue:
                lines.append(self._queue.popleft())
            if self.dropped_line_count > self._reported_drop_count:
                lines.append(f"event=log_lines_dropped total={self.dropped_line_count}")
                self._reported_drop_count = self.dropped_line_count
            if lines:
                sys.stdout.write("\n".join(lines) + "\n")
                sys.stdout.flush()
            if self._is_closing and not self._queue:
                return


def install_log_writer(writer: LogWriter, level: str = "INFO") -> None:
    """Sends all log lines of the process to a log writer."""
    logging.basicConfig(level=level, handlers=[writer], force=True)
