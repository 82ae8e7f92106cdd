"""Tests of the log sink with a slow reader or too many lines."""

import json
import logging
import os

import pytest

from bamboosill_common import logsink


@pytest.fixture
def make_logger():
    """Returns a logger, its sink and the read end of the sink's pipe."""
    created = []

    def make():
        reader, writer = os.pipe()
        sink = logsink.Sink(writer)
        sink.setFormatter(logging.Formatter('{"message": "%(message)s"}'))
        logger = logging.Logger("test")
        logger.addHandler(sink)
        created.append((reader, writer, logger, sink))
        return logger, sink, reader

    yield make
    for reader, writer, logger, sink in created:
        # The writer thread ends at the first write after the reader has closed.
        # Until then the descriptor must stay open, because another test could
        # reuse its number.
        os.close(reader)
        logger.error("ends the thread")
        sink._thread.join()
        os.close(writer)


def _read_messages(reader, logger):
    """Logs two end markers and returns all messages up to the second one."""
    data = b""
    # The count of dropped lines follows the lines of each write. The first
    # marker may be in the same write as the last lines, so their count is only
    # certain to precede the second marker.
    for marker in ("end", "after the end"):
        logger.error(marker)
        while b'{"message": "%s"}\n' % marker.encode() not in data:
            data += os.read(reader, 1 << 16)
    return [json.loads(line)["message"] for line in data.splitlines()]


def test_blocked_reader_does_not_block_callers(make_logger):
    """Guards against requests that block while the log pipe is full.

    Without the buffer, the first write that exceeds the capacity of the pipe
    would block forever.
    """
    logger, sink, _ = make_logger()
    for number in range(20_000):
        logger.error("%d %s", number, "x" * 200)
    assert len(sink._lines) <= 2000


def test_success_lines_do_not_suppress_failure_lines(make_logger):
    """Guards against dropping lines of failed requests while others succeed.

    Both come from one call site. In simulated days, one instance
    dropped up to 56 lines per second, lines of failed requests among them.
    """
    logger, _, reader = make_logger()
    for number in range(300):
        is_failure = number % 10 == 9
        logger.log(
            logging.WARNING if is_failure else logging.INFO,
            "failure" if is_failure else "success",
        )
    messages = _read_messages(reader, logger)
    assert messages.count("failure") == 30
    assert 50 <= messages.count("success") <= 100


def test_left_out_lines_are_counted(make_logger):
    """Guards against dropping lines without reporting their number."""
    logger, _, reader = make_logger()
    for _ in range(1000):
        logger.info("success")
    messages = _read_messages(reader, logger)
    written = messages.count("success")
    dropped_count = sum(
        int(each.split()[1]) for each in messages if each.startswith("log:")
    )
    assert written + dropped_count == 1000
