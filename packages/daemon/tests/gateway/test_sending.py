"""Which requests are sent again, and what their callers may be told."""

import asyncio
import random

import pytest

from bamboosill_common import clock as clock_lib
from bamboosill_common import wire
from bamboosill_common.generated import fleet as fleet_messages
from bamboosilld.fleet import state as state_lib
from bamboosilld.gateway import budget as budget_lib
from bamboosilld.gateway import latency as latency_lib
from bamboosilld.gateway import messages
from bamboosilld.gateway import sending
from bamboosilld.gateway import tasks
from bamboosilld.gateway import upstream as upstream_lib
from bamboosilld.gateway import view as view_lib

from .conftest import NAMES
from .conftest import make_answer


async def _answer(server, headers, writer):
    writer.write(make_answer(headers["x-id"]))


async def _reject(server, headers, writer):
    extra = "x-not-run: 1\r\n"
    status = "503 Full"
    writer.write(make_answer(headers["x-id"], b"", status, extra))


async def _misdirect(server, headers, writer):
    writer.write(make_answer(headers["x-id"], b"", "421 Misdirected"))


async def _fail(server, headers, writer):
    writer.write(make_answer(headers["x-id"], b"no", "500 Error"))


async def _drop(server, headers, writer):
    writer.close()


async def _unsigned(server, headers, writer):
    data = make_answer(headers["x-id"]).replace(b"x-signature", b"x-other")
    writer.write(data)


async def _encoded(server, headers, writer):
    extra = "Content-Encoding: gzip\r\n"
    writer.write(make_answer(headers["x-id"], extra=extra))


async def _hang(server, headers, writer):
    await asyncio.sleep(60)


class _Fleet:
    """Upstreams of one service and the view of an entry instance."""

    def __init__(self, sharded=False):
        self.state = state_lib.FleetState()
        self.clock = clock_lib.LoopClock()
        self.view = view_lib.View(self.state, self.clock, NAMES.request_id)
        self._index = 0
        self._apply(
            fleet_messages.ChangeConfiguration(
                version=1,
                whole=True,
                services=(fleet_messages.ServiceItem("s", sharded=sharded),),
                has_limits=True,
            )
        )

    def _apply(self, command):
        self._index += 1
        self.state.apply(self._index, wire.pack(command))

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

    def make(self, idempotent=True, key=tasks.NO_KEY, budget=100, **task):
        route = fleet_messages.RouteItem(
            name="r",
            idempotent=idempotent,
            timeout_ms=3000,
            target_latency_ms=1500,
            max_upstreams=2,
            service="s",
        )
        now_s = self.clock.monotonic()
        request = messages.Request(
            "POST", "/a?b=c", [(b"x-id", b"r1"), (b"X-A", b"1")], b"body", True
        )
        return sending.Sending(
            tasks.Task(
                request,
                route,
                "s",
                key,
                b"r1",
                now_s,
                now_s + task.get("left_s", 2.0),
            ),
            tasks.Tools("z1", NAMES, self.view, self.clock, random.Random(1)),
            budget_lib.Budget(self.clock, 0.2, budget, 10.0),
            task.get("latency", latency_lib.Latency()),
            1,
        )


async def _run(fleet, serve, scripts, **task):
    servers = []
    for number, script in enumerate(scripts):
        servers.append(await serve(script))
        fleet.add(f"u{number}", servers[-1])
    outcome = await fleet.make(**task).run()
    return outcome, sum(len(server.requests) for server in servers)


@pytest.mark.parametrize(
    ("idempotent", "first", "sends", "status", "may_have_run"),
    [
        # What certainly did not run is sent again, whatever it is.
        (True, _reject, 2, 200, True),
        (False, _reject, 2, 200, True),
        (False, _misdirect, 2, 200, True),
        # What may have run is sent again only if it may run twice.
        (True, _drop, 2, 200, True),
        (False, _drop, 1, None, True),
        (True, _unsigned, 2, 200, True),
        (False, _unsigned, 1, None, True),
        (False, _encoded, 1, None, True),
        # An error is the upstream's answer, unless another can do better.
        (True, _fail, 2, 200, True),
        (False, _fail, 1, 500, True),
    ],
)
async def test_only_what_may_run_again_is_sent_again(
    serve, idempotent, first, sends, status, may_have_run
):
    """Guards against an order that runs twice, and against needless errors."""
    scripts = [first, _answer]
    fleet = _Fleet()
    servers = [await serve(script) for script in scripts]
    fleet.add("u0", servers[0])
    task = asyncio.create_task(fleet.make(idempotent=idempotent).run())
    await servers[0].wait_request()
    fleet.add("u1", servers[1])
    outcome = await task
    assert sum(len(server.requests) for server in servers) == sends
    assert outcome.may_have_run == may_have_run
    assert (outcome.answer.status if outcome.answer else None) == status


async def test_no_upstream_means_not_run(serve):
    """Guards against "may have run" for a request that was never sent."""
    outcome, sends = await _run(_Fleet(), serve, [])
    assert outcome.answer is None
    assert not outcome.may_have_run
    assert sends == 0


async def test_without_budget_nothing_is_sent_again(serve):
    """Guards against retries beyond the shared limit."""
    outcome, sends = await _run(_Fleet(), serve, [_reject] * 3, budget=0)
    assert sends == 1
    assert not outcome.may_have_run


async def test_a_deadline_ends_a_request(serve):
    """Guards against an answer long after its caller gave up."""
    outcome, sends = await _run(
        _Fleet(), serve, [_hang], idempotent=False, left_s=0.2
    )
    assert (outcome.reason, outcome.may_have_run) == ("timeout", True)
    assert sends == 1


async def test_a_deadline_before_a_connection_means_not_run(serve, monkeypatch):
    """Guards against "may have run" for a request that was never written.

    Found by sillon-norte inc-9537: orders got 504 behind a cut zone although
    no connection was open, so their callers could not send them again.
    """

    async def hang(pool):
        await asyncio.sleep(60)

    monkeypatch.setattr(upstream_lib.Pool, "acquire", hang)
    outcome, _ = await _run(
        _Fleet(), serve, [_answer], idempotent=False, left_s=0.2
    )
    assert not outcome.may_have_run


@pytest.mark.parametrize(("idempotent", "sends"), [(True, 2), (False, 1)])
async def test_a_slow_request_is_also_sent_to_another(serve, idempotent, sends):
    """Guards against a slow upstream that makes its callers late."""
    latency = latency_lib.Latency()
    latency.take(0.02, False)
    fleet = _Fleet()
    slow, quick = await serve(_hang), await serve(_answer)
    fleet.add("u0", slow)
    sender = fleet.make(idempotent=idempotent, latency=latency, left_s=0.8)
    task = asyncio.create_task(sender.run())
    await slow.wait_request()
    fleet.add("u1", quick)
    outcome = await task
    assert len(slow.requests) + len(quick.requests) == sends
    assert (outcome.answer is not None) == idempotent


async def test_the_request_is_passed_on_unchanged(serve):
    """Guards against another method, path, body or time than the caller's."""
    fleet = _Fleet()
    server = await serve(_answer)
    fleet.add("u0", server)
    await fleet.make().run()
    ((line, headers, body),) = server.requests
    assert line == "POST /a?b=c HTTP/1.1"
    assert body == b"body"
    assert headers["X-A"] == "1"
    assert headers["x-expected"] == "u0"
    assert 0 < int(headers["x-deadline"]) <= 2000


async def test_a_moved_key_is_waited_for(serve):
    """Guards against refusals while a key changes hands."""
    fleet = _Fleet(sharded=True)
    old, new = await serve(_misdirect), await serve(_answer)
    fleet.add("u0", old)
    fleet.add("u1", new)
    fleet.grant("u0")
    task = asyncio.create_task(fleet.make(idempotent=False, key=7).run())
    await old.wait_request()
    fleet.grant("u1")
    outcome = await task
    assert outcome.answer is not None
    assert len(old.requests) == 1


async def test_requests_do_not_wait_for_a_holder_that_does_not_answer(serve):
    """Guards against requests held until their deadline for a lost holder.

    Found by sillon-norte trouble-1: behind a cut zone, each request tried to
    connect until it had no time left to be sent elsewhere.
    """
    fleet = _Fleet(sharded=True)
    server = await serve(_answer)
    upstream = fleet.add("u0", server)
    fleet.grant("u0")
    for _ in range(2):
        upstream.take_failure(is_silent=True)
    outcome = await fleet.make(idempotent=True, key=7).run()
    assert outcome.answer is None
    assert not outcome.may_have_run
    assert not server.requests
    upstream.rests_until_s = 0.0
    outcome = await fleet.make(idempotent=True, key=7).run()
    assert outcome.answer is not None


async def test_an_upstream_that_is_another_one_now_is_left_alone(serve):
    """Guards against sends to an address that belongs to another service.

    Found by sillon-norte trouble-1: until the new one had registered, a part
    of all requests was rejected there and used up the retry budget.
    """
    fleet = _Fleet()
    server = await serve(_misdirect)
    upstream = fleet.add("u0", server)
    await fleet.make(idempotent=True).run()
    assert upstream.is_resting()


async def test_a_key_without_holder_is_not_run(serve):
    """Guards against a request that goes to an upstream without its key."""
    outcome, sends = await _run(
        _Fleet(sharded=True), serve, [_answer], key=7, left_s=0.2
    )
    assert sends == 0
    assert not outcome.may_have_run
    assert outcome.reason == "key has no holder"


async def test_an_overdue_request_makes_an_upstream_look_slow_at_once(serve):
    """Guards against requests sent to a slow upstream until its first answer.

    Found by pca-pilon-grown trouble-2: upstreams that were twelve times slower
    got requests for four seconds, until the first ones had timed out.
    """
    latency = latency_lib.Latency()
    latency.take(0.02, False)
    fleet = _Fleet(sharded=True)
    server = await serve(_hang)
    upstream = fleet.add("u0", server)
    fleet.grant("u0")
    sender = fleet.make(key=7, latency=latency, left_s=0.8)
    task = asyncio.create_task(sender.run())
    await server.wait_request()
    await asyncio.sleep(0.2)
    assert not task.done()
    pace, usual_s = upstream.take_answers()
    assert pace >= 3.0
    assert usual_s > 0.0
    await task


@pytest.mark.parametrize(
    ("load", "reason"),
    [(b"4,20,4", "upstream is full"), (b"4,5,4", "upstreams are too slow now")],
)
async def test_a_refusal_names_what_decided_it(serve, caplog, load, reason):
    """Guards against refusals that the logs do not explain."""
    caplog.set_level("INFO")
    latency = latency_lib.Latency()
    latency.take(1.2, False)
    fleet = _Fleet(sharded=True)
    upstream = fleet.add("u0", await serve(_answer))
    fleet.grant("u0")
    upstream.take_load(load)
    outcome = await fleet.make(key=7, latency=latency).run()
    assert outcome.reason == reason
    (record,) = [each for each in caplog.records if "not used" in each.msg]
    assert (record.upstream, record.slots) == ("u0", 4)
    assert record.load >= 9
    assert record.expected_ms > record.limit_ms
