"""Writes log lines to a file descriptor without ever waiting for its reader.

Lines go through a bounded buffer to a thread of their own. When the buffer is
full, lines of failures push out lines of lower levels; a line counts what was
left out.
"""

import collections
import logging
import os
import threading

from pythonjsonlogger.json import JsonFormatter

from bamboosill_common import metrics

# Lines that wait for a slow reader: about a second's worth at full load.
_MAX_LINES = 2000
# Most lines of one call site in one second; more of them say little.
_MAX_LINES_PER_SECOND = 50
_MAX_WRITE_BYTES = 64 * 1024


class Sink(logging.Handler):
    """A logging handler with a bounded buffer."""

    def __init__(self, descriptor: int) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._lines: collections.deque[tuple[int, bytes]] = collections.deque()
        self._dropped = 0
        self._second = 0
        self._counts: dict[tuple[str, int, int], int] = {}
        self._wake = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def emit(self, record: logging.LogRecord) -> None:
        """Queues a line."""
        second = int(record.created)
        if second != self._second:
            self._second = second
            self._counts.clear()
        # Levels count apart: successes must not leave failures out.
        site = (record.pathname, record.lineno, record.levelno)
        count = self._counts.get(site, 0) + 1
        self._counts[site] = count
        if count > _MAX_LINES_PER_SECOND and record.levelno < logging.ERROR:
            self._count_dropped()
            return
        if len(self._lines) >= _MAX_LINES:
            self._count_dropped()
            if record.levelno < logging.WARNING:
                return
            self._lines.popleft()
        line = self.format(record) + "\n"
        self._lines.append((record.levelno, line.encode("utf-8", "replace")))
        self._wake.set()

    def _count_dropped(self) -> None:
        self._dropped += 1
        metrics.log_lines_dropped.inc()

    def flush_within(self, seconds: float) -> None:
        """Waits until the buffer is written, or for the given time."""
        step_s = 0.02
        while self._lines and seconds > 0:
            self._wake.set()
            threading.Event().wait(step_s)
            seconds -= step_s

    def _run(self) -> None:
        while True:
            self._wake.wait()
            self._wake.clear()
            while self._lines:
                data = self._take()
                while data:
                    try:
                        data = data[os.write(self._descriptor, data) :]
                    except OSError:
                        # Nobody reads any more; there is no place to say so.
                        return

    def _take(self) -> bytes:
        parts = []
        size = 0
        while self._lines and size < _MAX_WRITE_BYTES:
            _, line = self._lines.popleft()
            parts.append(line)
            size += len(line)
        dropped, self._dropped = self._dropped, 0
        if dropped:
            parts.append(b'{"message": "log: %d lines left out."}\n' % dropped)
        return b"".join(parts)


def setup(level: str, **fields: str) -> Sink:
    """Writes JSON lines with the given fields to standard output."""
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
