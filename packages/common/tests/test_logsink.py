"""Log lines when there are too many of them or nobody reads them."""

import json
import logging
import os
import time

import pytest

from bamboosill_common import logsink


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def _make_logger(descriptor):
    sink = logsink.Sink(descriptor)
    sink.setFormatter(logging.Formatter('{"message": "%(message)s"}'))
    logger = logging.Logger("test")
    logger.addHandler(sink)
    return logger, sink


def _read_messages(reader, sink):
    sink.flush_within(5.0)
    # The thread may still write what it has taken.
    time.sleep(0.05)
    lines = os.read(reader, 1 << 20).decode().splitlines()
    return [json.loads(line)["message"] for line in lines]


def test_a_reader_that_stands_still_delays_nobody(pipe):
    """Guards against requests that wait for a full pipe.

    Without the buffer, the write of the first lines that do not fit into the
    pipe would never return, and neither would this test.
    """
    logger, sink = _make_logger(pipe[1])
    for number in range(20_000):
        logger.error("%d %s", number, "x" * 200)
    assert len(sink._lines) <= 2000


def test_successes_do_not_leave_failures_out(pipe):
    """Guards against a failed request without a line while others succeed.

    One call writes the lines of both; on played days up to 56 lines a second
    were left out at one instance, failed requests among them.
    """
    logger, sink = _make_logger(pipe[1])
    for number in range(300):
        is_failure = number % 10 == 9
        logger.log(
            logging.WARNING if is_failure else logging.INFO,
            "failure" if is_failure else "success",
        )
    messages = _read_messages(pipe[0], sink)
    assert messages.count("failure") == 30
    assert 50 <= messages.count("success") <= 100


def test_left_out_lines_are_counted(pipe):
    """Guards against gaps in the logs that nobody can see."""
    logger, sink = _make_logger(pipe[1])
    for _ in range(1000):
        logger.info("success")
    # The count of the last ones goes with the next line.
    logger.error("end")
    messages = _read_messages(pipe[0], sink)
    written = messages.count("success")
    left_out = sum(
        int(each.split()[1]) for each in messages if each.startswith("log:")
    )
    assert written + left_out == 1000
