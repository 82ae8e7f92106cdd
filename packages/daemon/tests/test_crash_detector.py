"""Tests of which crashes are reported, and with which requests."""

import asyncio

import pytest

from bamboosill_common import clock as clock_lib
from bamboosilld import crash_detector

_SETTLE_S = 0.05


class _Upstream:
    """A server that accepts connections, and the detector that watches it."""

    def __init__(self):
        self.reports = []

    async def start(self):
        self._server = await asyncio.start_server(
            lambda reader, writer: writer.close(), "127.0.0.1", 0
        )
        port = self._server.sockets[0].getsockname()[1]
        self.target = crash_detector.Target("u1", 1, f"127.0.0.1:{port}")
        self.detector = crash_detector.CrashDetector(
            self._report, clock_lib.LoopClock(), _SETTLE_S
        )
        return self

    async def _report(self, crash):
        self.reports.append(crash.fingerprints)

    async def crash(self):
        self._server.close()
        await self._server.wait_closed()


@pytest.fixture
async def upstream():
    each = await _Upstream().start()
    yield each
    await each.detector.close()
    await each.crash()


@pytest.mark.parametrize(
    ("answered", "fingerprints"),
    [((), (b"a", b"b")), ((b"a",), (b"b",)), ((b"a", b"b"), ())],
)
async def test_a_request_that_was_answered_is_not_reported(
    upstream, answered, fingerprints
):
    """Guards against a popular request that is blamed for others' crashes."""
    for each in answered:
        upstream.detector.record_answer(each, 200)
    for each in (b"a", b"b", b"a"):
        upstream.detector.begin_exchange(upstream.target, each)
    await upstream.crash()
    numbers = list(upstream.detector._in_flight[upstream.target])
    check = upstream.detector.begin_check(upstream.target)
    for number in numbers:
        upstream.detector.end_exchange(upstream.target, number)
    assert await check
    assert upstream.reports == [fingerprints]
    assert upstream.detector.is_suspect(b"b") == (b"b" in fingerprints)
    upstream.detector.record_answer(b"b", 200)
    assert not upstream.detector.is_suspect(b"b")


@pytest.mark.parametrize(
    ("status", "is_cleared"),
    [
        (200, True),
        (404, True),
        (499, True),
        (500, False),
        (504, False),
        (599, False),
    ],
)
async def test_an_error_of_an_upstream_does_not_clear_a_request(
    upstream, status, is_cleared
):
    """Guards against a crashing request that a 504 at its deadline clears."""
    number = upstream.detector.begin_exchange(upstream.target, b"a")
    await upstream.crash()
    check = upstream.detector.begin_check(upstream.target)
    await asyncio.sleep(0)
    upstream.detector.end_exchange(upstream.target, number)
    assert await check
    upstream.detector.record_answer(b"a", status)
    assert upstream.detector.is_suspect(b"a") != is_cleared
    assert (b"a" in upstream.detector._sound) == is_cleared


async def test_an_exchange_that_continues_shows_that_there_was_no_crash(
    upstream,
):
    """Guards against probes of an upstream that resets when it is full."""
    first = upstream.detector.begin_exchange(upstream.target, b"a")
    upstream.detector.begin_exchange(upstream.target, b"b")
    # The upstream accepts no connection, so that a probe would show a crash.
    await upstream.crash()
    check = upstream.detector.begin_check(upstream.target)
    upstream.detector.end_exchange(upstream.target, first)
    assert not await check
    assert not upstream.reports


async def test_an_upstream_that_accepts_connections_has_not_crashed(upstream):
    """Guards against mistaking a broken connection for a crash."""
    number = upstream.detector.begin_exchange(upstream.target, b"a")
    check = upstream.detector.begin_check(upstream.target)
    upstream.detector.end_exchange(upstream.target, number)
    assert not await check
    assert not upstream.reports


async def test_what_is_remembered_is_bounded(upstream):
    """Guards against memory that grows with the number of requests."""
    detector = upstream.detector
    for number in range(crash_detector.MAX_SOUND_REQUESTS + 10):
        detector.record_answer(b"%d" % number, 200)
    assert len(detector._sound) == crash_detector.MAX_SOUND_REQUESTS
