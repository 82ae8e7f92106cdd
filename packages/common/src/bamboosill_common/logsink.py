"""Log handler that never blocks the caller on a slow log reader.

Lines go through a bounded buffer to a writer thread. When the buffer is full,
a line of level WARNING or above evicts the oldest line, and a line of a lower
level is dropped. The number of dropped lines is logged and counted in a
metric.
"""

import collections
import logging
import os
import threading

from pythonjsonlogger.json import JsonFormatter

from bamboosill_common import metrics

# About one second of log output at full load.
_MAX_BUFFERED_LINES = 2000
# Limit for each call site and level, because repeated lines add little
# information. Errors are not limited.
_MAX_LINES_PER_SITE_AND_SECOND = 50
_MAX_WRITE_BYTES = 64 * 1024


class Sink(logging.Handler):
    """Logging handler with a bounded buffer and a writer thread."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: collections.deque[tuple[int, bytes]] = collections.deque()
        self._dropped_count = 0
        self._current_second = 0
        self._counts_by_site: dict[tuple[str, int, int], int] = {}
        self._lines_available = threading.Event()
        self._thread = threading.Thread(
            target=self._write_buffered_lines, daemon=True
        )
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Buffers the formatted line, or drops it when a limit is exceeded."""
        second = int(record.created)
        if second != self._current_second:
            self._current_second = second
            self._counts_by_site.clear()
        # Counted by level, so that frequent lines about successes do not
        # suppress lines about failures from the same call site.
        call_site = (record.pathname, record.lineno, record.levelno)
        count = self._counts_by_site.get(call_site, 0) + 1
        self._counts_by_site[call_site] = count
        if (
            count > _MAX_LINES_PER_SITE_AND_SECOND
            and record.levelno < logging.ERROR
        ):
            self._count_dropped()
            return
        if len(self._lines) >= _MAX_BUFFERED_LINES:
            self._count_dropped()
            if record.levelno < logging.WARNING:
                return
            self._lines.popleft()
        line = self.format(record) + "\n"
        self._lines.append((record.levelno, line.encode("utf-8", "replace")))
        self._lines_available.set()

    def _count_dropped(self) -> None:
        self._dropped_count += 1
        metrics.log_lines_dropped.inc()

    def flush_within(self, seconds: float) -> None:
        """Waits until the buffer is empty, or at most the given time."""
        poll_interval_s = 0.02
        while self._lines and seconds > 0:
            self._lines_available.set()
            threading.Event().wait(poll_interval_s)
            seconds -= poll_interval_s

    def _write_buffered_lines(self) -> None:
        while True:
            self._lines_available.wait()
            self._lines_available.clear()
            while self._lines:
                data = self._take_batch()
                while data:
                    try:
                        data = data[os.write(self._descriptor, data) :]
                    except OSError:
                        # The reader has closed the pipe, and the error cannot
                        # be logged.
                        return

    def _take_batch(self) -> bytes:
        parts = []
        size = 0
        while self._lines and size < _MAX_WRITE_BYTES:
            _, line = self._lines.popleft()
            parts.append(line)
            size += len(line)
        dropped, self._dropped_count = self._dropped_count, 0
        if dropped:
            parts.append(b'{"message": "log: %d lines left out."}\n' % dropped)
        return b"".join(parts)


def setup(level: str, **fields: str) -> Sink:
    """Configures JSON logging to standard output with the given fields."""
    sink = Sink(1)
    sink.setFormatter(
        JsonFormatter(
            "%(created)f %(levelname)s %(message)s",
            rename_fields={"created": "time", "levelname": "level"},
            static_fields=dict(fields),
        )
    )
    root = logging.getLogger()
    root.handlers[:] = [sink]
    root.setLevel(level.upper())
    return sink
