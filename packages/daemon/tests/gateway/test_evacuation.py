"""Requests to the upstreams of an evacuated availability zone."""

import asyncio

import pytest

from bamboosill_common import clock as clock_lib
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import state as state_lib
from bamboosilld.gateway import latency as latency_lib
from bamboosilld.gateway import request_context
from bamboosilld.gateway import view as view_lib

from .conftest import NAMES
from .conftest import make_permit_client
from .conftest import make_response
from .conftest import make_send_context
from .test_request_sender import _Fleet

pytestmark = [pytest.mark.looptime(start=100.0)]

_BOUND_S = 5.0


async def _respond(server, headers, writer):
    writer.write(make_response(headers["x-id"]))


async def _hang(server, headers, writer):
    await asyncio.sleep(1.0)
    writer.write(make_response(headers["x-id"]))


async def _misdirect(server, headers, writer):
    writer.write(make_response(headers["x-id"], b"", "421 Misdirected"))


def _order(fleet, is_evacuated=True, zone="z2"):
    fleet._apply(messages.SetEvacuation(zone, is_evacuated))


async def _start(serve, zones, sharded=False, scripts=()):
    """Starts an upstream in each zone; the first one holds all keys."""
    fleet = _Fleet(sharded)
    servers = []
    for number, zone in enumerate(zones):
        script = scripts[number] if scripts else _respond
        servers.append(await serve(script))
        item = messages.UpstreamItem(
            f"u{number}", 1, servers[-1].address, "s", zone, slots=4
        )
        fleet._apply(messages.SetUpstreams(upstreams=(item,)))
    if sharded:
        fleet.grant("u0")
    return fleet, servers


def _make_sender(fleet, **options):
    latency = latency_lib.Latency()
    latency.add_sample(0.1, False)
    return fleet.make_sender(latency=latency, **options)


def _delay_open(upstream, delay_s):
    """Makes each connection to an upstream take a while."""
    open_now = upstream.pool.open

    async def open_late():
        connection = await open_now()
        await asyncio.sleep(delay_s)
        return connection

    upstream.pool.open = open_late


async def test_others_serve_in_place_of_an_evacuated_zone(serve):
    """Guards against requests into the zone, and against refusals instead."""
    fleet, servers = await _start(serve, ["z2", "z1"])
    _order(fleet)
    for _ in range(10):
        outcome = await _make_sender(fleet).run()
        assert outcome.upstream_response is not None
    assert servers[0].requests == []
    _order(fleet, False)
    _order(fleet, zone="z1")
    await _make_sender(fleet).run()
    assert len(servers[0].requests) == 1


@pytest.mark.parametrize("key", [request_context.NO_KEY, 7])
async def test_callers_are_refused_at_once_if_all_zones_are_evacuated(
    serve, key
):
    """Guards against callers that wait for a key that nobody may hold."""
    sharded = key != request_context.NO_KEY
    fleet, servers = await _start(serve, ["z2", "z2"], sharded)
    _order(fleet)
    await asyncio.sleep(_BOUND_S)
    before_s = fleet.clock.monotonic()
    outcome = await _make_sender(fleet, key=key).run()
    assert fleet.clock.monotonic() == before_s
    assert outcome.reason == "availability zone is evacuated"
    assert not outcome.may_have_run
    assert [each.requests for each in servers] == [[], []]


async def test_a_holder_serves_its_keys_for_a_part_of_the_bound(serve):
    """Guards against keys unserved while they move, and late requests.

    After that, callers wait for the next holder instead of being refused.
    """
    fleet, servers = await _start(serve, ["z2", "z1"], sharded=True)
    started_s = fleet.clock.monotonic()
    _order(fleet)
    served_s = []
    while fleet.clock.monotonic() < started_s + _BOUND_S:
        outcome = await _make_sender(fleet, key=7).run()
        if outcome.upstream_response is not None:
            served_s.append(fleet.clock.monotonic() - started_s)
        await asyncio.sleep(0.1)
    assert 2.8 < served_s[-1] < 3.0
    waiting = asyncio.create_task(_make_sender(fleet, key=7).run())
    await asyncio.sleep(0.3)
    assert not waiting.done()
    fleet.grant("u1")
    assert (await waiting).upstream_response is not None
    assert len(servers[0].requests) == len(served_s)


@pytest.mark.parametrize("key", [request_context.NO_KEY, 7])
async def test_a_request_is_not_sent_once_its_connection_is_late(serve, key):
    """Guards against a request that was under way to the zone at the order.

    It goes to another upstream; without one, it was not run.
    """
    sharded = key != request_context.NO_KEY
    fleet, servers = await _start(serve, ["z2", "z1"], sharded)
    fleet.view.list_upstreams("s")[1].in_flight = 2
    _delay_open(fleet.view.list_upstreams("s")[0], 0.4)
    if sharded:
        _order(fleet)
        await asyncio.sleep(_BOUND_S * 0.6 - 0.2)
    sending = asyncio.create_task(_make_sender(fleet, key=key).run())
    await asyncio.sleep(0.2)
    _order(fleet)
    await asyncio.sleep(0.3)
    if sharded:
        fleet.grant("u1")
    outcome = await sending
    assert outcome.upstream_response is not None
    assert outcome.upstream == "u1"
    assert servers[0].requests == []
    assert len(servers[1].requests) == 1


@pytest.mark.parametrize("is_during_hedge", [False, True])
async def test_hedges_and_retries_stay_out_of_an_evacuated_zone(
    serve, is_during_hedge
):
    """Guards against a second attempt that follows an order of its own."""
    first = _hang if is_during_hedge else _misdirect
    fleet, servers = await _start(
        serve, ["z1", "z2"], scripts=[first, _respond]
    )
    others = fleet.view.list_upstreams("s")[1]
    others.in_flight = 2
    _delay_open(others, 0.1)
    sending = asyncio.create_task(_make_sender(fleet).run())
    # A hedge follows after 0.25 s, a retry at once.
    await asyncio.sleep(0.3 if is_during_hedge else 0.05)
    _order(fleet)
    await sending
    assert servers[0].requests
    assert servers[1].requests == []


async def test_probes_spare_evacuated_zones(serve):
    """Guards against probes into the zone, and a cut that is not noticed.

    One upstream is left that gets requests: its failures alone have to start
    probes.
    """
    fleet, servers = await _start(serve, ["z1", "z2", "z2"])
    context = make_send_context(
        fleet.view, fleet.clock, _Rng(), make_permit_client(fleet.clock)
    )
    for each in fleet.view.list_upstreams("s")[1:]:
        _delay_open(each, 0.1)
    _order(fleet)
    context.reachability.record_failure("u0", is_connect=False)
    await asyncio.sleep(0.5)
    assert len(servers[0].requests) == 1
    assert servers[1].requests == servers[2].requests == []


async def test_a_probe_is_not_sent_after_an_order(serve):
    """Guards against a probe whose connection was opened before the order."""
    fleet, servers = await _start(serve, ["z2", "z2"])
    context = make_send_context(
        fleet.view, fleet.clock, _Rng(), make_permit_client(fleet.clock)
    )
    for each in fleet.view.list_upstreams("s"):
        _delay_open(each, 0.1)
        context.reachability.record_failure(each.item.upstream, False)
    await asyncio.sleep(0.05)
    _order(fleet)
    await asyncio.sleep(0.5)
    assert servers[0].requests == servers[1].requests == []


class _Rng:
    """A source of randomness that changes no order."""

    def shuffle(self, items):
        pass


class _Replica:
    """The view of an instance that knows when it last heard of the leader."""

    def __init__(self):
        self.last_sync_s = float("-inf")
        self.state = state_lib.FleetState()
        self.view = view_lib.View(
            self.state,
            clock_lib.LoopClock(),
            NAMES.request_id,
            evacuation_s=_BOUND_S,
            get_last_sync_s=lambda: self.last_sync_s,
        )

    def is_served(self):
        (upstream,) = self.view.list_all_upstreams()
        return upstream.availability.find_obstacle(is_holder=True) is None


def _make_leader_state(*commands):
    state = state_lib.FleetState()
    item = messages.UpstreamItem("u0", 1, "10.0.0.1:80", "s", "z2")
    service = messages.ServiceItem("s", warmup_ms=3000)
    configuration = messages.ChangeConfiguration(
        version=1, whole=True, services=(service,), has_limits=True
    )
    commands = (
        configuration,
        messages.SetUpstreams(upstreams=(item,)),
        *commands,
    )
    for index, command in enumerate(commands, 1):
        state.apply(index, wire.pack(command))
    return state


@pytest.mark.parametrize(
    ("synced_s_ago", "served_s"),
    [(0.3, 2.7), (2.0, 1.0), (3.5, 0.0), (float("inf"), 0.0)],
)
@pytest.mark.parametrize("is_snapshot", [False, True])
async def test_the_bound_counts_from_when_the_order_can_have_been_given(
    synced_s_ago, served_s, is_snapshot
):
    """Guards against an instance that was cut off, or starts, and is late.

    An order that it learns of in its first reply may be in force for long.
    """
    replica = _Replica()
    replica.state.restore(_make_leader_state().snapshot())
    now_s = replica.view._clock.monotonic()
    replica.last_sync_s = now_s - synced_s_ago
    order = messages.SetEvacuation("z2", True)
    if is_snapshot:
        replica.state.restore(_make_leader_state(order).snapshot())
    else:
        replica.state.apply(3, wire.pack(order))
    assert replica.is_served() == (served_s > 0)
    # Sent again, or with another change, it begins no new time.
    replica.last_sync_s = now_s
    replica.state.apply(4, wire.pack(order))
    await asyncio.sleep(max(0.0, served_s - 0.1))
    assert replica.is_served() == (served_s > 0)
    await asyncio.sleep(0.2)
    assert not replica.is_served()


@pytest.mark.parametrize("is_snapshot", [False, True])
async def test_upstreams_of_a_zone_count_as_cold_from_its_withdrawal(
    monkeypatch, is_snapshot
):
    """Guards against full load on upstreams that started while evacuated."""
    replica = _Replica()
    order = messages.SetEvacuation("z2", True)
    withdrawal = messages.SetEvacuation("z2", False)
    replica.state.restore(_make_leader_state(order).snapshot())
    cold = []
    monkeypatch.setattr(
        "bamboosilld.gateway.load_balancing.Upstream.mark_cold",
        lambda upstream, duration_s: cold.append(
            (upstream.item.upstream, duration_s)
        ),
    )
    if is_snapshot:
        state = _make_leader_state(order, withdrawal)
        replica.state.restore(state.snapshot())
    else:
        replica.state.apply(4, wire.pack(withdrawal))
        replica.state.apply(5, wire.pack(withdrawal))
    assert cold == [("u0", 3.0)]
    assert replica.is_served()
