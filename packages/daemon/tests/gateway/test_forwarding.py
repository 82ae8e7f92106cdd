"""Tests of requests that entry instances forward to each other."""

import asyncio
import random

import pytest
from returns.result import Failure

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import state as state_lib
from bamboosilld.gateway import http_messages
from bamboosilld.gateway import listener as listener_lib
from bamboosilld.gateway import service as service_lib
from bamboosilld.gateway import view as view_lib

from .conftest import NAMES
from .conftest import make_response

_TIMEOUT_MS = 2000


class _Follower:
    """A state replica that the test fills; no leader is known."""

    entry_count = 2
    synced_s = 0.0
    is_synced = True

    def __init__(self):
        self.state = state_lib.FleetState()

    async def acquire_permits(self, request):
        return Failure(errors.PeerError("no_leader", "none known", False))


class _Entry:
    """An entry instance whose view has the upstreams that a test names."""

    def __init__(
        self,
        *upstream_addresses,
        version=1,
        retry_constant=50.0,
        health_path="/health",
    ):
        follower = _Follower()
        clock = clock_lib.LoopClock()
        self.view = view_lib.View(follower.state, clock, NAMES.request_id)
        self.service = service_lib.Service(
            service_lib.GatewaySettings(
                "e", "z1", "", NAMES, 0.0, retry_constant, 10.0
            ),
            follower,
            self.view,
            clock,
            random.Random(1),
        )
        # The instance has run for a window of the retry budget.
        self.service._started_s = float("-inf")
        self.reachability = self.service._context.reachability
        self.listener = listener_lib.Listener(self.service.handle_forwarded)
        items = tuple(
            messages.UpstreamItem(
                upstream=f"u{number}",
                born_ms=1,
                address=address,
                service="s",
                zone="z1",
                slots=4,
            )
            for number, address in enumerate(upstream_addresses)
        )
        self.view.state.apply(1, wire.pack(messages.SetUpstreams(items)))
        self.configure(version, health_path)

    def configure(self, version, health_path="/health"):
        """Puts a version of the configuration into force."""
        routes = tuple(
            messages.RouteItem(
                name=kind,
                host="a.example",
                path_prefix=f"/{kind}/",
                idempotent=kind == "safe",
                timeout_ms=_TIMEOUT_MS,
                target_latency_ms=1000,
                max_upstreams=2,
                service="s",
            )
            for kind in ("safe", "order")
        )
        change = messages.ChangeConfiguration(
            version=version,
            base=self.view.state.configuration.version,
            digest=b"%d" % version,
            whole=True,
            routes=routes,
            services=(messages.ServiceItem("s", health_path=health_path),),
            has_limits=True,
        )
        revision = self.view.state.revision + 1
        self.view.state.apply(revision, wire.pack(change))

    async def start(self):
        await self.listener.start("127.0.0.1", 0)
        port = self.listener._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    def cut_off(self, *others):
        """Lets the instance reach no upstream and know other instances."""
        self.reachability.is_cut_off = True
        addresses = [
            each if isinstance(each, str) else each.address for each in others
        ]
        self.service.update_instances(
            tuple(messages.EntryAddress(each, "z1") for each in addresses)
        )
        return self

    async def send(self, kind="order", deadline_ms=1500):
        headers = [
            (b"Host", b"a.example"),
            (b"x-id", b"r1"),
            (b"x-deadline", b"%d" % deadline_ms),
            (b"Bamboosill-Sends-Left", b"9"),
        ]
        request = http_messages.Request(
            "POST", f"/{kind}/?a=b", headers, b"body", True
        )
        return await self.service.handle(request)


async def _respond(server, headers, writer):
    # A probe has no request id.
    writer.write(make_response(headers.get("x-id", "")))


async def _reject(server, headers, writer):
    extra = "x-not-run: 1\r\n"
    writer.write(make_response(headers["x-id"], b"", "503 Full", extra))


async def _drop(server, headers, writer):
    writer.close()


async def _hang(server, headers, writer):
    await asyncio.sleep(60)


def _make_wait(seconds):
    async def acquire(upstream, timeout_s):
        await asyncio.sleep(seconds)
        return True

    return acquire


async def test_a_request_is_forwarded_unchanged(serve):
    """Guards against changed requests and headers that leak on either side."""
    upstream = await serve(_respond)
    other = await _Entry(upstream.address).start()
    response = await _Entry().cut_off(other).send()
    assert (response.status, response.body) == (200, b"whole")
    names = {name.lower() for name, _ in response.headers}
    assert b"x-signature" in names
    assert not any(each.startswith(b"bamboosill") for each in names)
    ((line, headers, body),) = upstream.requests
    assert (line, body) == ("POST /order/?a=b HTTP/1.1", b"body")
    assert not any(each.lower().startswith("bamboosill") for each in headers)
    assert 0 < int(headers["x-deadline"]) <= 1470


@pytest.mark.parametrize("kind", ["safe", "order"])
async def test_a_forward_whose_response_is_lost_is_not_sent_again(serve, kind):
    """Guards against a request that runs at a second upstream.

    The instance that did not respond may have sent it to as many as allowed.
    """
    lost, upstream = await serve(_drop), await serve(_respond)
    other = await _Entry(upstream.address).start()
    entry = _Entry().cut_off(lost.address)
    task = asyncio.create_task(entry.send(kind))
    await lost.wait_request()
    entry.cut_off(lost.address, other)
    assert (await task).status == 502
    assert not upstream.requests


@pytest.mark.parametrize(
    ("script", "status", "runs"), [(_drop, 502, 1), (_reject, 503, 0)]
)
async def test_the_caller_is_told_whether_an_order_ran(
    serve, script, status, runs
):
    """Guards against "not run" for an order that another instance sent on."""
    upstream = await serve(script)
    other = await _Entry(upstream.address, retry_constant=0.0).start()
    response = await _Entry().cut_off(other).send()
    assert response.status == status
    assert len(upstream.requests) == 1
    assert (b"Retry-After" in dict(response.headers)) == (status == 503)


async def test_instances_that_are_cut_off_do_not_forward_in_a_loop(serve):
    """Guards against requests that go round among cut-off instances."""
    first, second = await _Entry().start(), await _Entry().start()
    first.cut_off(second)
    second.cut_off(first)
    response = await first.send()
    assert response.status == 503
    assert first.service.in_flight == second.service.in_flight == 0
    # A request that is on the way when the other instance loses its links.
    second.reachability.is_cut_off = False
    task = asyncio.create_task(first.send("safe"))
    await asyncio.sleep(0)
    second.reachability.is_cut_off = True
    assert (await task).status == 503


@pytest.mark.parametrize("cause", ["stopping", "full", "older", "refused"])
async def test_another_instance_takes_what_one_does_not(
    serve, cause, monkeypatch
):
    """Guards against a refusal while another instance could serve."""
    upstream = await serve(_respond)
    version = 2 if cause == "older" else 1
    other = await _Entry(upstream.address).start()
    taker = await _Entry(upstream.address, version=version).start()
    entry = _Entry(version=version)
    entry.cut_off(other)
    if cause == "stopping":
        other.service.stop(0.0)
    elif cause == "full":
        other.service._forwarded_in_flight = 128
    elif cause == "refused":
        other.listener.stop_accepting()
    assert (await entry.send()).status == 503
    assert not upstream.requests
    entry.cut_off(other, taker)
    assert (await entry.send()).status == 200
    assert len(upstream.requests) == 1


@pytest.mark.parametrize(("script", "status"), [(None, 200), (_drop, 502)])
async def test_another_instance_takes_what_one_lost_its_links_for(
    serve, script, status
):
    """Guards against refusals because cuts are noticed one after the other."""
    upstream = await serve(_respond)
    address = (await serve(script)).address if script else "127.0.0.1:9"
    other = await _Entry(address).start()

    def record_failure(upstream, is_connect):
        other.reachability.is_cut_off = True

    other.reachability.record_failure = record_failure
    entry = _Entry().cut_off(other)
    taker = await _Entry(upstream.address).start()
    task = asyncio.create_task(entry.send())
    async with asyncio.timeout(5):
        while not other.service.in_flight:  # noqa: ASYNC110
            await asyncio.sleep(0)
    entry.cut_off(other, taker)
    assert (await task).status == status
    assert len(upstream.requests) == (status == 200)


async def test_instances_that_take_requests_again_are_asked_at_once(serve):
    """Guards against refusals for longer than all others are unavailable.

    A changed configuration reaches them later than the one that forwards.
    """
    upstream = await serve(_respond)
    others = [await _Entry(upstream.address).start() for _ in range(3)]
    entry = _Entry(version=2).cut_off(*others)
    assert (await entry.send()).status == 503
    others[0].configure(2)
    assert (await entry.send()).status == 200


async def test_an_instance_that_does_not_respond_delays_one_request_only(serve):
    """Guards against requests that wait for an instance that was lost."""
    lost = await serve(_hang)
    lost._server.close()
    entry = _Entry().cut_off(lost.address)
    asked = []
    for _ in range(2):
        assert (await entry.send()).status == 503
        (instance,) = entry.service._context.instances._by_address.values()
        asked.append(instance.pool.opened)
    assert asked == [1, 1]


async def test_a_stopping_instance_ends_the_requests_that_it_took(serve):
    """Guards against forwarded requests that a planned stop breaks off."""
    released = asyncio.Event()

    async def respond_late(server, headers, writer):
        await released.wait()
        await _respond(server, headers, writer)

    upstream = await serve(respond_late)
    other = await _Entry(upstream.address).start()
    task = asyncio.create_task(_Entry().cut_off(other).send())
    await upstream.wait_request()
    other.service.stop(0.0)
    assert other.service.in_flight == 1
    released.set()
    assert (await task).status == 200


async def test_another_instance_takes_an_order_that_a_stop_leaves_unsent(serve):
    """Guards against refusals of orders that others have the time for."""
    upstream = await serve(_respond)
    other = await _Entry(upstream.address).start()
    taker = await _Entry(upstream.address).start()
    other.service._context.permits.acquire = _make_wait(0.2)
    upstreams = other.view.list_upstreams("s")
    upstreams[0].rate_limit.observe([b"1"], False, 0.0)
    entry = _Entry().cut_off(other)
    task = asyncio.create_task(entry.send())
    async with asyncio.timeout(5):
        while not other.service.in_flight:  # noqa: ASYNC110
            await asyncio.sleep(0)
    entry.cut_off(other, taker)
    other.service.stop(0.0)
    assert (await task).status == 200
    assert other.service.in_flight == 0


async def test_a_caller_that_leaves_ends_the_request_at_the_upstream(serve):
    """Guards against work for callers that have left."""
    upstream = await serve(_hang)
    other = await _Entry(upstream.address).start()
    task = asyncio.create_task(_Entry().cut_off(other).send("safe"))
    await upstream.wait_request()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    async with asyncio.timeout(5):
        while other.service.in_flight:  # noqa: ASYNC110
            await asyncio.sleep(0.01)


async def test_the_deadline_holds_over_both_instances(serve):
    """Guards against requests that are held longer than their callers wait."""
    upstream = await serve(_hang)
    other = await _Entry(upstream.address).start()
    response = await _Entry().cut_off(other).send(deadline_ms=300)
    assert response.status == 504


async def test_both_instances_together_send_no_more_than_allowed(serve):
    """Guards against attempts that start anew at the other instance."""
    upstreams = [await serve(_drop) for _ in range(4)]
    other = await _Entry(*(each.address for each in upstreams)).start()
    entry = _Entry(upstreams[0].address)
    task = asyncio.create_task(entry.send("safe"))
    await upstreams[0].wait_request()
    entry.cut_off(other)
    assert (await task).status == 502
    sends = [
        headers
        for upstream in upstreams
        for _, headers, _ in upstream.requests
        if "x-id" in headers
    ]
    assert len(sends) == 2


async def test_requests_go_straight_to_upstreams_once_one_responds(serve):
    """Guards against an instance that forwards after its links are back."""
    upstream = await serve(_respond)
    entry = _Entry(upstream.address).cut_off()
    for number in range(2):
        entry.reachability.record_failure(f"u{number}", True)
    async with asyncio.timeout(5):
        while entry.reachability.is_cut_off:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    assert (await entry.send()).status == 200


@pytest.mark.parametrize(
    ("scripts", "is_cut_off"),
    [([None, None, None], True), ([None, None, _respond], False)],
)
async def test_an_instance_is_cut_off_only_if_no_upstream_responds(
    serve, scripts, is_cut_off
):
    """Guards against forwards because some upstreams have failed."""
    addresses = [
        (await serve(each)).address if each else "127.0.0.1:9"
        for each in scripts
    ]
    entry = _Entry(*addresses)
    for number in range(2):
        entry.reachability.record_failure(f"u{number}", True)
    await asyncio.sleep(0.3)
    assert entry.reachability.is_cut_off == is_cut_off


@pytest.mark.parametrize(
    "health_path", ["/salud/é", "/santé €", "/a b\r\nx: y"]
)
async def test_a_health_path_with_any_characters_does_not_prevent_probes(
    serve, health_path
):
    """Guards against an instance that never notices a cut, or its end."""
    upstream = await serve(_respond)
    entry = _Entry(upstream.address, health_path=health_path)
    entry.reachability.record_failure("u0", True)
    await upstream.wait_request()
    ((line, headers, _),) = upstream.requests
    assert line.isascii() and line.count(" ") == 2
    assert set(headers) == {"Host"}
    upstream._server.close()
    entry = _Entry("127.0.0.1:9", health_path=health_path)
    entry.reachability.record_failure("u0", True)
    await asyncio.sleep(0.3)
    assert entry.reachability.is_cut_off


async def test_an_error_in_a_probe_ends_a_cut(serve):
    """Guards against requests that are forwarded for ever."""
    upstream = await serve(_respond)
    entry = _Entry(upstream.address).cut_off()

    def fail(upstream):
        raise ValueError("not expected")

    entry.reachability._format_probe = fail
    entry.reachability.record_failure("u0", True)
    await asyncio.sleep(0.3)
    assert not entry.reachability.is_cut_off


@pytest.mark.parametrize(
    ("limited", "probed"), [([1], {0, 2}), ([0, 1, 2], {0, 1, 2})]
)
async def test_probes_spare_upstreams_with_a_rate_limit(serve, limited, probed):
    """Guards against probes that exceed the limit of an upstream in need."""
    upstreams = [await serve(_respond) for _ in range(3)]
    entry = _Entry(*(each.address for each in upstreams))
    for number, each in enumerate(entry.view.list_upstreams("s")):
        if number in limited:
            each.rate_limit.observe([b"1"], False, 0.0)
    entry.reachability.record_failure("u0", True)
    entry.reachability.record_failure("u1", True)
    await asyncio.sleep(0.3)
    opened = {
        number for number, each in enumerate(upstreams) if each.connections
    }
    assert opened == probed
