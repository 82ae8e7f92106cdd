"""Log lines when there are too many of them or nobody reads them."""

import json
import logging
import os

import pytest

from bamboosill_common import logsink


@pytest.fixture
def make_logger():
    """Returns a logger, its sink and the end of a pipe that it writes to."""
    made = []

    def make():
        reader, writer = os.pipe()
        sink = logsink.Sink(writer)
        sink.setFormatter(logging.Formatter('{"message": "%(message)s"}'))
        logger = logging.Logger("test")
        logger.addHandler(sink)
        made.append((reader, writer, logger, sink))
        return logger, sink, reader

    yield make
    for reader, writer, logger, sink in made:
        # The sink's thread ends when nobody can read; until then it must not
        # write to a descriptor that another test has got.
        os.close(reader)
        logger.error("ends the thread")
        sink._thread.join()
        os.close(writer)


def _read_messages(reader, logger):
    """Returns all messages up to two last ones that are logged here."""
    data = b""
    # The count of lines left out follows the lines of one write: the first
    # marker belongs to that write at the latest, the second to a later one.
    for marker in ("end", "after the end"):
        logger.error(marker)
        while b'{"message": "%s"}\n' % marker.encode() not in data:
            data += os.read(reader, 1 << 16)
    return [json.loads(line)["message"] for line in data.splitlines()]


def test_a_reader_that_stands_still_delays_nobody(make_logger):
    """Guards against requests that wait for a full pipe.

    Without the buffer, the write of the first lines that do not fit into the
    pipe would never return, and neither would this test.
    """
    logger, sink, _ = make_logger()
    for number in range(20_000):
        logger.error("%d %s", number, "x" * 200)
    assert len(sink._lines) <= 2000


def test_successes_do_not_leave_failures_out(make_logger):
    """Guards against a failed request without a line while others succeed.

    One call writes the lines of both; on played days up to 56 lines a second
    were left out at one instance, failed requests among them.
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
    """Guards against gaps in the logs that nobody can see."""
    logger, _, reader = make_logger()
    for _ in range(1000):
        logger.info("success")
    messages = _read_messages(reader, logger)
    written = messages.count("success")
    left_out = sum(
        int(each.split()[1]) for each in messages if each.startswith("log:")
    )
    assert written + left_out == 1000
