"""Requests to upstreams that state in their responses to take none."""

import asyncio

import pytest

from bamboosill_common.generated import fleet as messages
from bamboosilld.gateway import latency as latency_lib
from bamboosilld.gateway import load_balancing
from bamboosilld.gateway import request_context

from .conftest import make_response
from .test_request_sender import _Fleet

pytestmark = [pytest.mark.looptime(start=100.0)]

_DRAIN_S = load_balancing.DEFAULT_DRAIN_S


def _respond(*extra, status="200 OK"):
    """Returns a script that gives each response the next extra headers."""
    remaining = list(extra)

    async def script(server, headers, writer):
        lines = remaining.pop(0) if len(remaining) > 1 else remaining[0]
        state = "503 Busy" if "Retry-After" in lines else status
        writer.write(make_response(headers["x-id"], status=state, extra=lines))

    return script


async def _start(serve, *scripts, sharded=False):
    fleet = _Fleet(sharded)
    servers = [await serve(script) for script in scripts]
    for number, server in enumerate(servers):
        fleet.add(f"u{number}", server)
    if sharded:
        fleet.grant("u0")
    return fleet, servers


async def _send(fleet, **options):
    # Simulated time does not pass during an exchange.
    latency = latency_lib.Latency()
    latency.add_sample(0.1, False)
    return await fleet.make_sender(latency=latency, **options).run()


@pytest.mark.parametrize(
    ("header", "leaves"),
    [
        ("x-leaving: 1\r\n", True),
        ("x-leaving:  1 \r\n", True),
        ("x-leaving: 0\r\nx-leaving: 1\r\n", True),
        ("x-leaving: 1\r\nx-leaving: 1\r\n", True),
        ("x-leaving: 0\r\n", False),
        ("x-leaving: true\r\n", False),
        ("x-leaving: \r\n", False),
        ("", False),
    ],
)
@pytest.mark.parametrize("status", ["200 OK", "500 Error"])
async def test_a_leaving_upstream_gets_no_more_requests(
    serve, header, leaves, status
):
    """Guards against requests to an upstream that has said that it leaves."""
    fleet, servers = await _start(serve, _respond(header, status=status))
    await _send(fleet, idempotent=False)
    outcome = await _send(fleet, idempotent=False)
    assert len(servers[0].requests) == (1 if leaves else 2)
    if leaves:
        assert outcome.reason == "upstream leaves"
        assert not outcome.may_have_run


async def test_other_upstreams_serve_in_place_of_a_leaving_one(serve):
    """Guards against refusals while others have room."""
    fleet, servers = await _start(
        serve, _respond("x-leaving: 1\r\n"), _respond("")
    )
    for _ in range(20):
        outcome = await _send(fleet)
        assert outcome.upstream_response is not None
    assert len(servers[0].requests) <= 1


async def test_a_leaving_holder_serves_its_keys_for_a_while(serve):
    """Guards against keys unserved while they move, and against late requests.

    After that time the request is refused at once, not at its deadline.
    """
    fleet, servers = await _start(
        serve, _respond("x-leaving: 1\r\n"), sharded=True
    )
    started_s = fleet.clock.monotonic()
    while fleet.clock.monotonic() < started_s + _DRAIN_S:
        outcome = await _send(fleet, key=7)
        served_s = fleet.clock.monotonic() - started_s
        assert (outcome.upstream_response is None) == (served_s > 1.2)
        await asyncio.sleep(0.1)
    before_s = fleet.clock.monotonic()
    outcome = await _send(fleet, key=7)
    assert fleet.clock.monotonic() - before_s < 0.1
    assert not outcome.may_have_run
    assert len(servers[0].requests) < 15


@pytest.mark.parametrize(("born_ms", "serves"), [(1, False), (2, True)])
async def test_only_a_later_incarnation_takes_requests_again(
    serve, born_ms, serves
):
    """Guards against a changed announcement that ends the leaving."""
    fleet, servers = await _start(serve, _respond("x-leaving: 1\r\n"))
    later = await serve(_respond(""))
    await _send(fleet)
    item = messages.UpstreamItem(
        "u0", born_ms, later.address, "s", "z1", slots=4
    )
    fleet._apply(messages.SetUpstreams(upstreams=(item,)))
    outcome = await _send(fleet)
    assert (outcome.upstream_response is not None) == serves
    assert len(servers[0].requests) == 1


@pytest.mark.parametrize(
    ("value", "pause_s"),
    [
        ("2", 2.0),
        ("0.75", 0.75),
        (" 1.5 ", 1.5),
        ("1\r\nRetry-After: 3", 3.0),
        ("999999999", 3600.0),
        ("0", 0.0),
        ("-1", 0.0),
        ("1e3", 0.0),
        ("soon", 0.0),
        ("9" * 30, 0.0),
        ("Wed, 21 Oct 2015 07:28:00 GMT", 0.0),
    ],
)
@pytest.mark.parametrize("key", [request_context.NO_KEY, 7])
async def test_a_pause_that_an_upstream_asks_for_is_kept(
    serve, value, pause_s, key
):
    """Guards against requests to an upstream that wants none for a time.

    Refused requests have not run and are told the rest of the pause.
    """
    fleet, servers = await _start(
        serve,
        _respond(f"x-not-run: 1\r\nRetry-After: {value}\r\n", ""),
        sharded=key != request_context.NO_KEY,
    )
    await _send(fleet, idempotent=False, key=key)
    first = len(servers[0].requests)
    for passed in (0.1, 0.9):
        if not pause_s:
            break
        await asyncio.sleep(pause_s * passed - 0.01)
        outcome = await _send(fleet, idempotent=False, key=key)
        assert not outcome.may_have_run
        assert outcome.reason == "upstream asks for a pause"
        assert 0 < outcome.retry_after_s <= pause_s
    assert len(servers[0].requests) == first or not pause_s
    await asyncio.sleep(pause_s * 0.1)
    outcome = await _send(fleet, idempotent=False, key=key)
    assert outcome.upstream_response is not None


async def test_a_shorter_pause_ends_no_longer_one(serve):
    """Guards against a response on its way that ends a pause too early."""
    fleet, _ = await _start(serve, _respond(""))
    upstream = fleet.view.list_upstreams("s")[0]
    upstream.availability.observe(503, [], [b"5"])
    upstream.availability.observe(503, [], [b"1"])
    await asyncio.sleep(3.0)
    assert upstream.availability.find_obstacle() is not None


@pytest.mark.parametrize("status", [200, 429, 500])
async def test_only_a_busy_upstream_asks_for_a_pause(serve, status):
    """Guards against a pause after responses that name another time."""
    fleet, _ = await _start(serve, _respond(""))
    upstream = fleet.view.list_upstreams("s")[0]
    upstream.availability.observe(status, [], [b"5"])
    assert upstream.availability.find_obstacle() is None


async def test_others_serve_while_an_upstream_pauses(serve):
    """Guards against refusals while others have room."""
    fleet, servers = await _start(
        serve,
        _respond("x-not-run: 1\r\nRetry-After: 5\r\n"),
        _respond(""),
    )
    for _ in range(20):
        outcome = await _send(fleet)
        assert outcome.upstream_response is not None
    assert len(servers[0].requests) <= 1
