"""Tests of requests that crash the upstreams that run them."""

import asyncio
import random
import socket
import struct

import pytest

from bamboosill_common import clock as clock_lib
from bamboosill_common import wire
from bamboosill_common.generated import fleet as fleet_messages
from bamboosilld import crash_detector
from bamboosilld.fleet import state as state_lib
from bamboosilld.gateway import budget
from bamboosilld.gateway import crash_reports
from bamboosilld.gateway import fingerprint
from bamboosilld.gateway import forwarding
from bamboosilld.gateway import http_messages
from bamboosilld.gateway import latency
from bamboosilld.gateway import request_context
from bamboosilld.gateway import request_sender
from bamboosilld.gateway import view as view_lib

from .conftest import NAMES
from .conftest import make_permit_client
from .conftest import make_response
from .conftest import make_send_context

_REQUEST = http_messages.Request(
    method="POST",
    target="/a?b=c",
    headers=[(b"x-id", b"r1"), (b"Host", b"h")],
    body=b"x",
    keep_alive=True,
)
_RESET = struct.pack("ii", 1, 0)


def _break(data, is_reset, stops_listening):
    """Returns a script that breaks the connection after some bytes."""

    async def script(server, headers, writer):
        if stops_listening:
            server._server.close()
        writer.write(data)
        await writer.drain()
        await asyncio.sleep(0.02)
        if is_reset:
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET)
            writer.transport.abort()
        writer.close()

    return script


async def _answer(server, headers, writer):
    writer.write(make_response(headers["x-id"]))


async def _reject(server, headers, writer):
    status, extra = "503 Full", "x-not-run: 1\r\n"
    writer.write(make_response(headers["x-id"], b"", status, extra))


async def _answer_late(server, headers, writer):
    writer.write(make_response(headers["x-id"], b"", "504 Late"))


async def _answer_encoded(server, headers, writer):
    extra = "Content-Encoding: gzip\r\n"
    writer.write(make_response(headers["x-id"], extra=extra))


class _Gateway:
    """The request path of one entry instance."""

    def __init__(self):
        self.reports = []
        self.state = state_lib.FleetState()
        self.clock = clock_lib.LoopClock()
        self._view = view_lib.View(self.state, self.clock, NAMES.request_id)
        reporter = crash_reports.CrashReporter(self)
        self.detector = crash_detector.CrashDetector(
            self._report, self.clock, 0.05, reporter.report_answer
        )
        self._index = 0
        self._apply(
            fleet_messages.ChangeConfiguration(
                version=1,
                whole=True,
                services=(fleet_messages.ServiceItem("s"),),
                has_limits=True,
            )
        )

    async def _report(self, crash):
        self.reports.append((crash.target.upstream, crash.fingerprints))

    async def report_answered(self, fingerprint):
        self._apply(fleet_messages.RecordCrashes(answered=(fingerprint,)))
        return True

    def _apply(self, command):
        self._index += 1
        self.state.apply(self._index, wire.pack(command))

    def add(self, server):
        item = fleet_messages.UpstreamItem(
            "u1", 1, server.address, "s", "z1", slots=4
        )
        self._apply(fleet_messages.SetUpstreams((item,)))

    def record_crash(self, number, at_ms, *fingerprints):
        crash = fleet_messages.UpstreamCrash(
            f"c{number}", 1, at_ms, fingerprints
        )
        self._apply(fleet_messages.RecordCrashes((crash,)))

    async def send(self, request=_REQUEST):
        now_s = self.clock.monotonic()
        context = make_send_context(
            self._view,
            self.clock,
            random.Random(1),
            make_permit_client(self.clock),
        )
        routed = request_context.RoutedRequest(
            request,
            fleet_messages.RouteItem(
                "r", timeout_ms=3000, target_latency_ms=1500, max_upstreams=2
            ),
            "s",
            request_context.NO_KEY,
            b"r1",
            now_s,
            now_s + 2.0,
            fingerprint=fingerprint.compute_fingerprint(request, NAMES),
        )
        outcome = await request_sender.RequestSender(
            routed,
            context._replace(crash_detector=self.detector),
            budget.RetryBudget(self.clock, 0.2, 100, 10.0),
            latency.Latency(),
            1,
        ).run()
        await asyncio.gather(*self.detector._probes.values())
        return outcome


_PART = make_response("r1")[:-2]


@pytest.mark.parametrize("data", [b"", b"HTTP/1.1 2", _PART])
@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("has_crashed", [False, True])
async def test_a_crash_is_reported_with_the_request(
    serve, data, is_reset, has_crashed
):
    """Guards against a request that crashes one upstream after the other.

    Seen in review/4: each of twelve late retries reached an upstream.
    """
    gateway = _Gateway()
    gateway.add(await serve(_break(data, is_reset, has_crashed)))
    outcome = await gateway.send()
    assert outcome.may_have_run
    expected = fingerprint.compute_fingerprint(_REQUEST, NAMES)
    reports = [("u1", (expected,))] if has_crashed else []
    assert gateway.reports == reports


@pytest.mark.parametrize(
    ("script", "is_sound"),
    [
        (_answer, True),
        (_reject, False),
        (_answer_late, False),
        (_answer_encoded, False),
    ],
)
async def test_only_an_answer_shows_that_a_request_is_sound(
    serve, script, is_sound
):
    """Guards against a crashing request that a rejection or a 504 clears."""
    gateway = _Gateway()
    gateway.add(await serve(script))
    await gateway.send()
    expected = fingerprint.compute_fingerprint(_REQUEST, NAMES)
    assert (expected in gateway.detector._sound) == is_sound


@pytest.mark.parametrize(
    ("crashes", "is_sent"),
    [
        ([], True),
        ([(1, b"x")], True),
        ([(1, b"x"), (2, b"x")], False),
        ([(1, b"x", b"a"), (2, b"x", b"b")], True),
        ([(1, b"x", b"a"), (2, b"x", b"b"), (3, b"x", b"c")], False),
        # Reports of two instances on one crash.
        ([(1, b"x"), (1, b"x", b"a"), (2, b"x")], True),
    ],
)
async def test_a_request_that_crashes_upstreams_is_refused(
    serve, crashes, is_sent
):
    """Guards against retries that crash further upstreams."""
    server = await serve(_answer)
    gateway = _Gateway()
    gateway.add(server)
    crashing = fingerprint.compute_fingerprint(_REQUEST, NAMES)
    now_ms = gateway.clock.wall_ms()
    for number, *names in crashes:
        each = (crashing if name == b"x" else name for name in names)
        gateway.record_crash(number, now_ms, *each)
    outcome = await gateway.send()
    assert (outcome.upstream_response is not None) == is_sent
    assert len(server.requests) == is_sent
    if not is_sent:
        assert not outcome.may_have_run
        assert 500 < outcome.retry_after_s <= 600
    other = await gateway.send(_REQUEST._replace(body=b"other"))
    assert other.upstream_response is not None


@pytest.mark.parametrize(
    ("script", "statuses"),
    [
        (_answer, [200, 200, 200, 200]),
        # The caller is refused by the instance.
        (_answer_late, [504, 504, None, None]),
    ],
)
async def test_answers_keep_a_harmless_request_from_being_refused(
    serve, script, statuses
):
    """Guards against refusing a request that was in flight at each crash.

    Without reports of answers, it was refused from the third crash on.
    """
    gateway = _Gateway()
    gateway.add(await serve(script))
    harmless = fingerprint.compute_fingerprint(_REQUEST, NAMES)
    seen = []
    for number in range(4):
        gateway.record_crash(
            number, gateway.clock.wall_ms(), harmless, b"crashing"
        )
        response = (await gateway.send()).upstream_response
        seen.append(response.status if response is not None else None)
        await asyncio.sleep(0)
    assert seen == statuses
    now_ms = gateway.clock.wall_ms()
    assert gateway.state.quarantine.find(b"crashing", now_ms)


async def test_a_quarantine_ends(serve):
    """Guards against requests that are refused for good."""
    gateway = _Gateway()
    gateway.add(await serve(_answer))
    crashing = fingerprint.compute_fingerprint(_REQUEST, NAMES)
    long_ago_ms = gateway.clock.wall_ms() - 600_000
    for number in (1, 2, 3):
        gateway.record_crash(number, long_ago_ms, crashing)
    assert (await gateway.send()).upstream_response is not None


@pytest.mark.parametrize(
    ("change", "is_same"),
    [
        ({"headers": [(b"x-id", b"r2"), (b"Host", b"h")]}, True),
        ({"headers": [(b"Host", b"h"), (b"x-deadline", b"9")]}, True),
        ({"keep_alive": False}, True),
        ({"method": "PUT"}, False),
        ({"target": "/a?b=d"}, False),
        ({"body": b"y"}, False),
        ({"headers": [(b"Host", b"i")]}, False),
        ({"headers": [(b"Host", b"h"), (b"X-Key", b"1")]}, False),
        ({"headers": [(b"Host", b"h"), (b"Authorization", b"1")]}, False),
        ({"headers": [(b"Host", b"h"), (b"Cookie", b"1")]}, False),
    ],
)
def test_a_request_that_comes_again_has_the_same_fingerprint(change, is_same):
    """Guards against retries that pass, and against refusing other callers."""
    changed = fingerprint.compute_fingerprint(
        _REQUEST._replace(**change), NAMES
    )
    first = fingerprint.compute_fingerprint(_REQUEST, NAMES)
    assert (changed == first) == is_same


def test_a_forwarded_request_keeps_its_fingerprint():
    """Guards against a crashing request that passes at another instance."""
    data = forwarding.format_head(_REQUEST, NAMES, forwarding.Limits(2, 1), 1.0)
    head = data.removesuffix(b"\r\n\r\n")
    headers = [tuple(line.split(b": ", 1)) for line in head.split(b"\r\n")[1:]]
    received = _REQUEST._replace(headers=headers)
    parsed, _ = forwarding.parse_request(received)
    assert fingerprint.compute_fingerprint(
        parsed, NAMES
    ) == fingerprint.compute_fingerprint(_REQUEST, NAMES)
