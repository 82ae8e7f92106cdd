"""Tests of how requests wait for a configuration, and how they are logged."""

import asyncio
import random

import pytest
from returns.result import Failure

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import wire
from bamboosill_common.generated import fleet as fleet_messages
from bamboosilld.fleet import state as state_lib
from bamboosilld.gateway import http_messages
from bamboosilld.gateway import service as service_lib
from bamboosilld.gateway import view as view_lib

from .conftest import NAMES
from .conftest import make_response


class _Follower:
    """A state replica that the test fills."""

    entry_count = 1
    synced_s = 0.0

    def __init__(self):
        self.state = state_lib.FleetState()

    @property
    def is_synced(self):
        return self.state.configuration.version > 0

    async def acquire_permits(self, request):
        return Failure(errors.PeerError("no_leader", "none known", False))


def _make_service(follower):
    clock = clock_lib.LoopClock()
    view = view_lib.View(follower.state, clock, NAMES.request_id)
    settings = service_lib.GatewaySettings(
        "e1", "z1", "", NAMES, 0.2, 10.0, 10.0
    )
    return service_lib.Service(
        settings, follower, view, clock, random.Random(1)
    )


def _configure(follower, upstream_address, is_idempotent=True):
    """Gives the follower one route and one upstream."""
    route = fleet_messages.RouteItem(
        name="r",
        host="a.example",
        path_prefix="/",
        idempotent=is_idempotent,
        timeout_ms=3000,
        target_latency_ms=1000,
        max_upstreams=2,
        service="s",
    )
    change = fleet_messages.ChangeConfiguration(
        version=1,
        whole=True,
        routes=(route,),
        services=(fleet_messages.ServiceItem("s"),),
        has_limits=True,
    )
    item = fleet_messages.UpstreamItem(
        upstream="u0",
        born_ms=1,
        address=upstream_address,
        service="s",
        slots=4,
    )
    commands = (change, fleet_messages.SetUpstreams(upstreams=(item,)))
    for index, command in enumerate(commands, 1):
        follower.state.apply(index, wire.pack(command))


def _make_request(deadline_ms):
    headers = [(b"Host", b"a.example"), (b"x-deadline", b"%d" % deadline_ms)]
    return http_messages.Request("GET", "/none/", headers, b"", True)


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("synced_after_s", "status"),
    # The configuration has no route for the request, hence 404 once it is
    # known.
    [(0.1, 404), (5.0, 503)],
)
async def test_a_request_waits_for_the_first_configuration(
    synced_after_s, status
):
    """Guards against refusals by an instance that is still syncing.

    Seen in sillon-norte trouble-1: after a power loss, callers used up their
    one retry in the second until the leader's first response.
    """
    follower = _Follower()
    service = _make_service(follower)
    task = asyncio.create_task(service.handle(_make_request(1000)))
    await asyncio.sleep(synced_after_s)
    change = fleet_messages.ChangeConfiguration(
        version=1, whole=True, has_limits=True
    )
    follower.state.apply(1, wire.pack(change))
    response = await task
    assert response.status == status
    if status == 503:
        assert b"Retry-After" in dict(response.headers)


@pytest.mark.looptime
async def test_the_wait_leaves_most_of_the_deadline():
    """Guards against requests held until their deadline."""
    service = _make_service(_Follower())
    started_s = asyncio.get_running_loop().time()
    await service.handle(_make_request(1000))
    assert asyncio.get_running_loop().time() - started_s <= 0.3


async def _hang(server, headers, writer):
    await asyncio.sleep(30)


async def test_a_disconnect_of_the_caller_is_logged(serve, caplog):
    """Guards against a cancelled request without a final log line.

    Without that line, the log does not show why the request ended.
    """
    caplog.set_level("INFO")
    follower = _Follower()
    service = _make_service(follower)
    server = await serve(_hang)
    _configure(follower, server.address)
    task = asyncio.create_task(service.handle(_make_request(2000)))
    await server.wait_request()
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    (record,) = [
        each for each in caplog.records if "Caller disconnected" in each.msg
    ]
    assert record.route == "r"
    assert record.took_ms >= 0


@pytest.mark.parametrize(
    ("kind", "ends_in_s", "status"),
    [("order", 0.5, 503), ("order", 5.0, 200), ("safe", 0.5, 200)],
)
async def test_a_stopping_instance_begins_no_order_that_it_may_cut(
    serve, kind, ends_in_s, status
):
    """Guards against orders that the end of the grace period breaks off.

    Their callers cannot send them again, but a refused order can be sent to
    another instance.
    """

    async def respond(server, headers, writer):
        writer.write(make_response(headers["x-id"]))

    follower = _Follower()
    service = _make_service(follower)
    server = await serve(respond)
    _configure(follower, server.address, is_idempotent=kind == "safe")
    service.stop(asyncio.get_running_loop().time() + ends_in_s)
    headers = [
        (b"Host", b"a.example"),
        (b"x-id", b"r1"),
        (b"x-deadline", b"2000"),
    ]
    response = await service.handle(
        http_messages.Request("POST", "/", headers, b"", True)
    )
    assert response.status == status
    assert len(server.requests) == (status == 200)
    if status == 503:
        assert response.close
        assert float(dict(response.headers)[b"Retry-After"]) < 0.2


@pytest.mark.parametrize("status", ["000", "099", "600", "999"])
async def test_a_status_that_no_upstream_may_send_becomes_an_error_of_ours(
    serve, status
):
    """Guards against callers that get status 000 as an answer."""

    async def respond(server, headers, writer):
        writer.write(make_response(headers["x-id"], status=f"{status} X"))

    follower = _Follower()
    service = _make_service(follower)
    server = await serve(respond)
    _configure(follower, server.address, is_idempotent=False)
    headers = [(b"Host", b"a.example"), (b"x-id", b"r1")]
    async with asyncio.timeout(2.0):
        response = await service.handle(
            http_messages.Request("POST", "/", headers, b"", True)
        )
    assert response.status == 502
    assert len(server.requests) == 1


@pytest.mark.looptime
async def test_the_deadline_includes_the_wait_for_a_configuration(monkeypatch):
    """Guards against upstreams that get more time than the caller has left."""
    follower = _Follower()
    service = _make_service(follower)
    sent = []

    async def send(routed):
        sent.append(routed)
        return http_messages.Response(200, [], b""), b"answer"

    monkeypatch.setattr(service, "_send", send)
    started_s = asyncio.get_running_loop().time()
    task = asyncio.create_task(service.handle(_make_request(1000)))
    await asyncio.sleep(0.1)
    _configure(follower, "127.0.0.1:1")
    response = await task
    assert response.status == 200
    assert sent[0].deadline_s - started_s == pytest.approx(1.0)
