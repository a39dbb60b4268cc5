"""The last lines of the log of a process that stops."""

from __future__ import annotations

import fcntl
import logging
import os
import subprocess
import sys
import time
from pathlib import Path

from wasabimux.adapters.log_writer import written_logs

#: Longest time in s until a process has ended whose log nobody reads.
MAX_EXIT_S = 5.0

LINES = 400
LINE = "event=last number=%d filler=" + 100 * "x"
REMAINING_LINE = b"event=log_lines_dropped total="


def log_and_exit() -> None:
    """Logs at once, and ends as the daemon does."""
    with written_logs(sys.stdout):
        for number in range(LINES):
            logging.info(LINE, number)
    logging.shutdown()
    sys.exit(0)


def start() -> subprocess.Popen[bytes]:
    """Starts a process that logs and ends; its log is a pipe of the smallest size."""
    process = subprocess.Popen(
        [sys.executable, "-m", __name__],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        cwd=Path(__file__).parent.parent,
        env=os.environ | {"PYTHONDONTWRITEBYTECODE": "1"},
    )
    assert process.stdout is not None
    fcntl.fcntl(process.stdout.fileno(), fcntl.F_SETPIPE_SZ, 4096)
    return process


def test_last_lines_of_a_process_that_ends_are_all_written() -> None:
    output, errors = start().communicate(timeout=MAX_EXIT_S)
    assert output.count(b"event=last") == LINES
    assert errors == b""


def test_process_whose_log_nobody_reads_ends_in_time_and_counts_lost_lines() -> None:
    """Regression: lines were lost at the end that nobody counted."""
    process = start()
    started_s = time.monotonic()
    assert process.wait(timeout=MAX_EXIT_S) == 0
    assert time.monotonic() - started_s < MAX_EXIT_S
    output, errors = process.communicate()
    written = output.count(b"\n")
    assert errors.strip().endswith(REMAINING_LINE + str(LINES - written).encode())


if __name__ == "__main__":
    log_and_exit()
