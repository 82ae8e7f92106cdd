"""Tests of retries, hedging, key holders and outcomes of one request."""

import asyncio
import random

import pytest

from bamboosill_common import clock as clock_lib
from bamboosill_common import wire
from bamboosill_common.generated import fleet as fleet_messages
from bamboosilld.fleet import state as state_lib
from bamboosilld.gateway import budget as budget_lib
from bamboosilld.gateway import http_messages
from bamboosilld.gateway import latency as latency_lib
from bamboosilld.gateway import request_context
from bamboosilld.gateway import request_sender
from bamboosilld.gateway import upstream_connection as upstream_connection_lib
from bamboosilld.gateway import view as view_lib

from .conftest import NAMES
from .conftest import make_permit_client
from .conftest import make_response
from .conftest import make_send_context


async def _respond(server, headers, writer):
    writer.write(make_response(headers["x-id"]))


async def _reject(server, headers, writer):
    extra = "x-not-run: 1\r\n"
    status = "503 Full"
    writer.write(make_response(headers["x-id"], b"", status, extra))


async def _misdirect(server, headers, writer):
    writer.write(make_response(headers["x-id"], b"", "421 Misdirected"))


async def _fail(server, headers, writer):
    writer.write(make_response(headers["x-id"], b"no", "500 Error"))


async def _drop(server, headers, writer):
    writer.close()


async def _unsigned(server, headers, writer):
    data = make_response(headers["x-id"]).replace(b"x-signature", b"x-other")
    writer.write(data)


async def _encoded(server, headers, writer):
    extra = "Content-Encoding: gzip\r\n"
    writer.write(make_response(headers["x-id"], extra=extra))


async def _hang(server, headers, writer):
    await asyncio.sleep(60)


def _send_status(status):
    async def script(server, headers, writer):
        writer.write(make_response(headers["x-id"], status=f"{status} X"))

    return script


class _Fleet:
    """Upstreams of one service and the view of an entry instance."""

    def __init__(self, sharded=False):
        self.state = state_lib.FleetState()
        self.clock = clock_lib.LoopClock()
        self.view = view_lib.View(self.state, self.clock, NAMES.request_id)
        self._log_index = 0
        self._apply(
            fleet_messages.ChangeConfiguration(
                version=1,
                whole=True,
                services=(fleet_messages.ServiceItem("s", sharded=sharded),),
                has_limits=True,
            )
        )

    def _apply(self, command):
        self._log_index += 1
        self.state.apply(self._log_index, wire.pack(command))

    def add(self, name, server):
        item = fleet_messages.UpstreamItem(
            upstream=name, born_ms=1, address=server.address, service="s"
        )
        item = item._replace(zone="z1", slots=4)
        self._apply(fleet_messages.SetUpstreams(upstreams=(item,)))
        return self.view.list_upstreams("s")[-1]

    def grant(self, name):
        fence = self.state.keys["s"].find(0).fence
        keys = fleet_messages.KeyRange(0, 65535, fence, name, 1)
        self._apply(fleet_messages.SetKeys("s", (keys,)))

    def make_sender(
        self,
        idempotent=True,
        key=request_context.NO_KEY,
        retry_constant=100,
        **options,
    ):
        route = fleet_messages.RouteItem(
            name="r",
            idempotent=idempotent,
            timeout_ms=3000,
            target_latency_ms=1500,
            max_upstreams=2,
            service="s",
        )
        now_s = self.clock.monotonic()
        request = http_messages.Request(
            "POST", "/a?b=c", [(b"x-id", b"r1"), (b"X-A", b"1")], b"body", True
        )
        return request_sender.RequestSender(
            request_context.RoutedRequest(
                request,
                route,
                "s",
                key,
                b"r1",
                now_s,
                now_s + options.get("left_s", 2.0),
            ),
            make_send_context(
                self.view,
                self.clock,
                random.Random(1),
                make_permit_client(self.clock),
            ),
            budget_lib.RetryBudget(self.clock, 0.2, retry_constant, 10.0),
            options.get("latency", latency_lib.Latency()),
            1,
        )


async def _run(fleet, serve, scripts, **options):
    servers = []
    for number, script in enumerate(scripts):
        servers.append(await serve(script))
        fleet.add(f"u{number}", servers[-1])
    outcome = await fleet.make_sender(**options).run()
    return outcome, sum(len(server.requests) for server in servers)


@pytest.mark.parametrize(
    ("idempotent", "first", "sends", "status", "may_have_run"),
    [
        # A request that certainly did not run is retried.
        (True, _reject, 2, 200, True),
        (False, _reject, 2, 200, True),
        (False, _misdirect, 2, 200, True),
        # A request that may have run is retried only if it is idempotent.
        (True, _drop, 2, 200, True),
        (False, _drop, 1, None, True),
        (True, _unsigned, 2, 200, True),
        (False, _unsigned, 1, None, True),
        (False, _encoded, 1, None, True),
        # An error response is forwarded; an idempotent request is retried
        # first.
        (True, _fail, 2, 200, True),
        (False, _fail, 1, 500, True),
        # A status that no upstream may send is no response.
        (True, _send_status("000"), 2, 200, True),
        (False, _send_status("000"), 1, None, True),
        (True, _send_status("600"), 2, 200, True),
        (False, _send_status("600"), 1, None, True),
    ],
)
async def test_only_repeatable_requests_are_retried(
    serve, idempotent, first, sends, status, may_have_run
):
    """Guards against orders that run twice, and against avoidable errors."""
    scripts = [first, _respond]
    fleet = _Fleet()
    servers = [await serve(script) for script in scripts]
    fleet.add("u0", servers[0])
    task = asyncio.create_task(fleet.make_sender(idempotent=idempotent).run())
    await servers[0].wait_request()
    fleet.add("u1", servers[1])
    outcome = await task
    assert sum(len(server.requests) for server in servers) == sends
    assert outcome.may_have_run == may_have_run
    assert (
        outcome.upstream_response.status if outcome.upstream_response else None
    ) == status


@pytest.mark.parametrize(
    ("idempotent", "ends_in_s", "sends"),
    [(False, 0.5, 0), (False, 5.0, 1), (True, 0.5, 1)],
)
async def test_an_order_that_waits_when_the_stop_begins_is_not_sent(
    serve, idempotent, ends_in_s, sends
):
    """Guards against orders that the end of the grace period breaks off."""
    fleet = _Fleet(sharded=True)
    server = await serve(_respond)
    fleet.add("u0", server)
    sender = fleet.make_sender(key=1, idempotent=idempotent)
    task = asyncio.create_task(sender.run())
    await asyncio.sleep(0.01)
    sender._context.shutdown.abandon_s = fleet.clock.monotonic() + ends_in_s
    fleet.grant("u0")
    outcome = await task
    assert len(server.requests) == sends
    if not sends:
        assert not outcome.may_have_run
        assert outcome.retry_after_s < 0.2


async def test_no_upstream_means_not_run(serve):
    """Guards against "may have run" for a request that was never sent."""
    outcome, sends = await _run(_Fleet(), serve, [])
    assert outcome.upstream_response is None
    assert not outcome.may_have_run
    assert sends == 0


async def test_no_retry_without_budget(serve):
    """Guards against retries beyond the shared limit."""
    outcome, sends = await _run(
        _Fleet(), serve, [_reject] * 3, retry_constant=0
    )
    assert sends == 1
    assert not outcome.may_have_run


async def test_a_deadline_ends_a_request(serve):
    """Guards against a response long after the caller's deadline."""
    outcome, sends = await _run(
        _Fleet(), serve, [_hang], idempotent=False, left_s=0.2
    )
    assert (outcome.reason, outcome.may_have_run) == ("timeout", True)
    assert sends == 1


async def test_a_deadline_before_a_connection_means_not_run(serve, monkeypatch):
    """Guards against "may have run" for a request that was never written.

    Seen in sillon-norte inc-9537: with a zone unreachable, orders got 504
    although no connection was open, so their callers could not resend them.
    """

    async def hang(pool):
        await asyncio.sleep(60)

    monkeypatch.setattr(upstream_connection_lib.Pool, "acquire", hang)
    outcome, _ = await _run(
        _Fleet(), serve, [_respond], idempotent=False, left_s=0.2
    )
    assert not outcome.may_have_run


@pytest.mark.parametrize(("idempotent", "sends"), [(True, 2), (False, 1)])
async def test_a_slow_idempotent_request_is_hedged(serve, idempotent, sends):
    """Guards against deadlines missed because of one slow upstream."""
    latency = latency_lib.Latency()
    latency.add_sample(0.02, False)
    fleet = _Fleet()
    slow, quick = await serve(_hang), await serve(_respond)
    fleet.add("u0", slow)
    sender = fleet.make_sender(
        idempotent=idempotent, latency=latency, left_s=0.8
    )
    task = asyncio.create_task(sender.run())
    await slow.wait_request()
    fleet.add("u1", quick)
    outcome = await task
    assert len(slow.requests) + len(quick.requests) == sends
    assert (outcome.upstream_response is not None) == idempotent


async def test_the_request_is_passed_on_unchanged(serve):
    """Guards against a changed method, path, body or deadline."""
    fleet = _Fleet()
    server = await serve(_respond)
    fleet.add("u0", server)
    await fleet.make_sender().run()
    ((line, headers, body),) = server.requests
    assert line == "POST /a?b=c HTTP/1.1"
    assert body == b"body"
    assert headers["X-A"] == "1"
    assert headers["x-expected"] == "u0"
    assert 0 < int(headers["x-deadline"]) <= 2000


async def test_a_request_waits_for_the_new_holder_of_a_key(serve):
    """Guards against refusals while a key moves to another upstream."""
    fleet = _Fleet(sharded=True)
    old, new = await serve(_misdirect), await serve(_respond)
    fleet.add("u0", old)
    fleet.add("u1", new)
    fleet.grant("u0")
    task = asyncio.create_task(fleet.make_sender(idempotent=False, key=7).run())
    await old.wait_request()
    fleet.grant("u1")
    outcome = await task
    assert outcome.upstream_response is not None
    assert len(old.requests) == 1


async def test_requests_do_not_wait_for_a_holder_that_does_not_answer(serve):
    """Guards against requests held until their deadline for a lost holder.

    Seen in sillon-norte trouble-1: with a zone unreachable, each request
    tried to connect until it had no time left to be sent elsewhere.
    """
    fleet = _Fleet(sharded=True)
    server = await serve(_respond)
    upstream = fleet.add("u0", server)
    fleet.grant("u0")
    for _ in range(2):
        upstream.record_failure(no_response=True)
    outcome = await fleet.make_sender(idempotent=True, key=7).run()
    assert outcome.upstream_response is None
    assert not outcome.may_have_run
    assert not server.requests
    upstream.backoff_until_s = 0.0
    outcome = await fleet.make_sender(idempotent=True, key=7).run()
    assert outcome.upstream_response is not None


async def test_a_misdirected_response_starts_a_backoff(serve):
    """Guards against requests to an address now used by another upstream.

    Seen in sillon-norte trouble-1: until the new upstream had registered, a
    part of all requests was rejected there and used up the retry budget.
    """
    fleet = _Fleet()
    server = await serve(_misdirect)
    upstream = fleet.add("u0", server)
    await fleet.make_sender(idempotent=True).run()
    assert upstream.is_backing_off()


async def test_a_key_without_holder_is_not_run(serve):
    """Guards against sending to an upstream that does not hold the key."""
    outcome, sends = await _run(
        _Fleet(sharded=True), serve, [_respond], key=7, left_s=0.2
    )
    assert sends == 0
    assert not outcome.may_have_run
    assert outcome.reason == "key has no holder"


async def test_an_overdue_request_makes_an_upstream_look_slow_at_once(serve):
    """Guards against requests to a slow upstream until its first response.

    Seen in pca-pilon-grown trouble-2: upstreams that became twelve times
    slower got requests for four seconds, until the first ones timed out.
    """
    latency = latency_lib.Latency()
    latency.add_sample(0.02, False)
    fleet = _Fleet(sharded=True)
    server = await serve(_hang)
    upstream = fleet.add("u0", server)
    fleet.grant("u0")
    sender = fleet.make_sender(key=7, latency=latency, left_s=0.8)
    task = asyncio.create_task(sender.run())
    await server.wait_request()
    await asyncio.sleep(0.2)
    assert not task.done()
    relative_latency, baseline_s = upstream.pop_relative_latency()
    assert relative_latency >= 3.0
    assert baseline_s > 0.0
    await task


@pytest.mark.parametrize(
    ("load", "reason"),
    [(b"4,20,4", "upstream is full"), (b"4,5,4", "upstreams are too slow now")],
)
async def test_the_log_explains_a_refusal(serve, caplog, load, reason):
    """Guards against refusals whose cause is missing in the log."""
    caplog.set_level("INFO")
    latency = latency_lib.Latency()
    latency.add_sample(1.2, False)
    fleet = _Fleet(sharded=True)
    upstream = fleet.add("u0", await serve(_respond))
    fleet.grant("u0")
    upstream.update_load(load)
    outcome = await fleet.make_sender(key=7, latency=latency).run()
    assert outcome.reason == reason
    (record,) = [each for each in caplog.records if "not used" in each.msg]
    assert (record.upstream, record.slots) == ("u0", 4)
    assert record.load >= 9
    assert record.expected_ms > record.limit_ms


@pytest.mark.parametrize(
    ("has_report", "earliest_s", "latest_s"), [(True, 2.7, 3.4), (False, 0, 0)]
)
async def test_a_refused_caller_is_told_when_the_load_has_drained(
    serve, caplog, has_report, earliest_s, latest_s
):
    """Guards against a time that does not depend on the load.

    Without a report of the load, the caller is told the default time.
    """
    caplog.set_level("INFO")
    latency = latency_lib.Latency()
    latency.add_sample(1.2, False)
    fleet = _Fleet(sharded=True)
    upstream = fleet.add("u0", await serve(_respond))
    fleet.grant("u0")
    if has_report:
        upstream.update_load(b"4,9,4")
    else:
        upstream.in_flight = 13
    sender = fleet.make_sender(key=7, latency=latency)
    sender._context.return_times.record_latency("s", 1.2, False)
    outcome = await sender.run()
    assert outcome.reason == "upstreams are too slow now"
    assert earliest_s <= outcome.retry_after_s <= latest_s
    (record,) = [each for each in caplog.records if "told to" in each.msg]
    assert record.pool == "s/u0"
    assert outcome.reason in record.getMessage()


@pytest.mark.parametrize("is_sharded", [False, True])
async def test_an_old_rejection_is_not_taken_for_that_of_a_retry(
    serve, is_sharded
):
    """Guards against "not run" for an order that the upstream runs.

    A faulty upstream repeats its earlier rejection on a kept connection. The
    retry at the same upstream has the same request id.
    """
    runs = []

    async def script(server, headers, writer):
        if len(server.requests) == 1:
            await _reject(server, headers, writer)
            return
        if server.connections == 1:
            await _reject(server, headers, writer)
        runs.append(headers["x-id"])
        await _respond(server, headers, writer)

    fleet = _Fleet(sharded=is_sharded)
    server = await serve(script)
    fleet.add("u0", server)
    key = request_context.NO_KEY
    if is_sharded:
        key = 7
        fleet.grant("u0")
    task = asyncio.create_task(
        fleet.make_sender(idempotent=False, key=key).run()
    )
    await server.wait_request()
    if is_sharded:
        # The key is granted to the same upstream once more.
        await asyncio.sleep(0.1)
        fleet.grant("u0")
    outcome = await task
    assert runs == ["r1"]
    assert outcome.upstream_response is not None
    assert outcome.upstream_response.status == 200
