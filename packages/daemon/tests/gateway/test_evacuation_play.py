"""Simulation of an evacuation: a leader, upstreams, instances and callers."""

import asyncio
import random
from typing import NamedTuple

import pytest

from bamboosill_common import clock as clock_lib
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import evacuation
from bamboosilld.fleet import state as state_lib
from bamboosilld.gateway import budget as budget_lib
from bamboosilld.gateway import http_messages
from bamboosilld.gateway import latency as latency_lib
from bamboosilld.gateway import request_context
from bamboosilld.gateway import request_sender
from bamboosilld.gateway import upstream_connection as upstream_connection_lib
from bamboosilld.gateway import view as view_lib

from ..fleet import call_network
from ..fleet import heartbeat_network
from .conftest import NAMES
from .conftest import make_permit_client
from .conftest import make_send_context

pytestmark = [pytest.mark.looptime(start=100.0)]
_LEADERS = pytest.mark.parametrize(
    "make_leader", [call_network.CallFleet, heartbeat_network.HeartbeatFleet]
)

_BOUND_S = 5.0
_LINK_S = 0.002
_WORK_S = 0.05
_POLL_S = 0.4
_REQUEST_INTERVAL_S = 0.02
_TIMEOUT_MS = 2000


class _Arrival(NamedTuple):
    """A request that an upstream did not answer with 421."""

    at_s: float
    zone: str
    service: str


class _Outcome(NamedTuple):
    """What a caller got, and when it sent its request."""

    sent_s: float
    took_s: float
    service: str
    outcome: request_context.Outcome


class _Pool:
    """Stands in for the connections from an instance to an upstream."""

    has_idle = True

    def __init__(self, play, item):
        self._play = play
        self._item = item

    async def acquire(self):
        return self

    open = acquire

    async def exchange(self, head, request_id, *_):
        await asyncio.sleep(_LINK_S)
        upstream = self._play.leader.upstreams[self._item.upstream]
        headers = [(b"x-id", request_id), (b"x-signature", b"s")]
        service = upstream.item.service
        key = int(request_id.rpartition(b"/")[2])
        if service == "keyed" and not upstream.holds(key):
            return upstream_connection_lib.UpstreamResponse(421, headers, b"")
        arrival = _Arrival(_now_s(), upstream.item.zone, service)
        self._play.arrivals.append(arrival)
        upstream.begin_run(key, _WORK_S)
        await asyncio.sleep(_WORK_S + _LINK_S)
        return upstream_connection_lib.UpstreamResponse(200, headers, b"")

    def release(self, connection):
        pass

    def close_idle(self):
        pass


class _Instance:
    """An entry instance that polls the leader and sends requests."""

    def __init__(self, play, number):
        self._play = play
        self._rng = random.Random(number)
        clock = clock_lib.LoopClock()
        self.synced_s = self._previous_sync_s = float("-inf")
        self.state = state_lib.FleetState()
        self.view = view_lib.View(
            self.state,
            clock,
            NAMES.request_id,
            evacuation_s=_BOUND_S,
            get_last_sync_s=lambda: self._previous_sync_s,
        )
        # Called after the view has made the upstreams.
        self.state.add_listener(lambda command: self._replace_pools())
        self.is_cut_off = False
        self._clock = clock
        self._budget = budget_lib.RetryBudget(clock, 0.2, 50, 10.0)
        self._latencies = {
            "keyed": latency_lib.Latency(),
            "plain": latency_lib.Latency(),
        }
        self._context = make_send_context(
            self.view, clock, self._rng, make_permit_client(clock)
        )._replace(zone=f"z{number % 3 + 1}")

    def poll(self):
        """Applies what the leader has committed."""
        leader = self._play.leader
        self._previous_sync_s, self.synced_s = self.synced_s, _now_s()
        if not self.state.configuration.version:
            self.state.restore(leader.state.snapshot())
        for each in leader.state.list_commands(self.state.revision):
            self.state.apply(each.revision, each.command)

    async def run(self):
        """Polls; the requests go on while the instance is cut off."""
        while True:
            if not self.is_cut_off:
                self.poll()
            await asyncio.sleep(self._rng.uniform(0.1, _POLL_S))

    async def send(self, service):
        """Sends one request and records what its caller gets."""
        number = next(self._play.numbers)
        key = self._rng.randrange(65536)
        sent_s = _now_s()
        route = messages.RouteItem(
            name=service,
            idempotent=number % 2 == 0,
            timeout_ms=_TIMEOUT_MS,
            target_latency_ms=1500,
            max_upstreams=2,
            service=service,
        )
        request_id = b"%d/%d" % (number, key)
        request = http_messages.Request(
            "GET", "/", [(b"x-id", request_id)], b"", True
        )
        routed = request_context.RoutedRequest(
            request,
            route,
            service,
            key if service == "keyed" else request_context.NO_KEY,
            request_id,
            sent_s,
            sent_s + _TIMEOUT_MS / 1000,
        )
        self._budget.count_request()
        sender = request_sender.RequestSender(
            routed,
            self._context,
            self._budget,
            self._latencies[service],
            len(self._play.instances),
        )
        outcome = await sender.run()
        self._play.outcomes.append(
            _Outcome(sent_s, _now_s() - sent_s, service, outcome)
        )

    def _replace_pools(self):
        for each in self.view.list_all_upstreams():
            each.pool = _Pool(self._play, each.item)


class _Play:
    """Three zones with two upstreams of each service, and three instances."""

    def __init__(self, make_leader):
        self.arrivals = []
        self.outcomes = []
        self.numbers = iter(range(1, 1_000_000))
        self.leader = make_leader(warmup_ms=3000)
        self.instances = []

    async def start(self):
        for number in range(6):
            zone = f"z{number % 3 + 1}"
            self.leader.start_upstream(f"u{number}", zone=zone)
            self.leader.start_upstream(f"a{number}", zone=zone, service="plain")
            # Their heartbeats come at different times.
            await asyncio.sleep(0.17)
        await asyncio.sleep(6.0)
        self.instances = [_Instance(self, number) for number in range(3)]
        tasks = [asyncio.create_task(each.run()) for each in self.instances]
        self._tasks = {*tasks, asyncio.create_task(self._run_callers())}
        await asyncio.sleep(3.0)

    async def stop(self):
        for task in self._tasks:
            task.cancel()
        for each in await asyncio.gather(*self._tasks, return_exceptions=True):
            if not isinstance(each, asyncio.CancelledError | None):
                raise each
        await self.leader.stop()
        assert self.leader.violations == []

    async def order(self, zone, is_evacuated):
        """Orders an evacuation; returns when it was acknowledged."""
        leader = self.leader
        message = messages.ChangeEvacuation(zone, is_evacuated)
        await evacuation.change(message, leader.node, leader.state, 1.0)
        return _now_s()

    def count_arrivals(self, zone, service, first_s, last_s=float("inf")):
        return sum(
            each.zone == zone
            and each.service == service
            and first_s <= each.at_s < last_s
            for each in self.arrivals
        )

    def list_outcomes(self, service, first_s, last_s=float("inf")):
        return [
            each
            for each in self.outcomes
            if each.service == service and first_s <= each.sent_s < last_s
        ]

    async def _run_callers(self):
        while True:
            await asyncio.sleep(_REQUEST_INTERVAL_S)
            for service in ("keyed", "plain"):
                instance = self.instances[next(self.numbers) % 3]
                task = asyncio.create_task(instance.send(service))
                self._tasks.add(task)
                task.add_done_callback(self._discard)

    def _discard(self, task):
        if task.cancelled() or task.exception() is None:
            self._tasks.discard(task)


def _now_s():
    return asyncio.get_running_loop().time()


async def _start(make_leader):
    play = _Play(make_leader)
    await play.start()
    return play


def _get_served_share(outcomes):
    served = [each.outcome.upstream_response for each in outcomes]
    return sum(each is not None for each in served) / len(served)


@_LEADERS
async def test_a_zone_gets_no_requests_until_its_withdrawal(make_leader):
    """Guards against requests into the zone, and callers refused for it.

    Keys are served by their old holders until they move, so few callers see
    the evacuation. Afterwards the zone is used again, as cold.
    """
    play = await _start(make_leader)
    assert play.count_arrivals("z2", "plain", 0.0)
    assert play.count_arrivals("z2", "keyed", 0.0)
    # Neither at a tick of the leader nor at a heartbeat of a holder.
    await asyncio.sleep(0.4)
    ordered_s = await play.order("z2", True)
    await asyncio.sleep(12.0)
    learned_s = ordered_s + _POLL_S + _LINK_S
    assert play.count_arrivals("z2", "plain", learned_s) == 0
    assert play.count_arrivals("z2", "keyed", ordered_s, ordered_s + 1.0)
    assert play.count_arrivals("z2", "keyed", ordered_s + _BOUND_S) == 0
    for service, share in (("plain", 1.0), ("keyed", 0.95)):
        outcomes = play.list_outcomes(service, ordered_s, _now_s() - 2.0)
        assert _get_served_share(outcomes) >= share
        assert not any(
            each.outcome.may_have_run
            for each in outcomes
            if each.outcome.upstream_response is None
        )
    withdrawn_s = await play.order("z2", False)
    await asyncio.sleep(6.0)
    assert play.count_arrivals("z2", "plain", withdrawn_s)
    await play.stop()


@_LEADERS
async def test_all_zones_can_be_evacuated_and_come_back(make_leader):
    """Guards against callers that wait for nothing, and keys lost for good."""
    play = await _start(make_leader)
    for zone in ("z1", "z2", "z3"):
        ordered_s = await play.order(zone, True)
    await asyncio.sleep(8.0)
    late_s = ordered_s + _BOUND_S
    assert not [each for each in play.arrivals if each.at_s > late_s]
    for service in ("keyed", "plain"):
        outcomes = play.list_outcomes(service, late_s)
        assert _get_served_share(outcomes) == 0.0
        assert max(each.took_s for each in outcomes) == 0.0
        assert not any(each.outcome.may_have_run for each in outcomes)
    withdrawn_s = await play.order("z3", False)
    await asyncio.sleep(8.0)
    for service in ("keyed", "plain"):
        outcomes = play.list_outcomes(
            service, withdrawn_s + 4.0, _now_s() - 2.0
        )
        assert _get_served_share(outcomes) == 1.0
    await play.stop()


@_LEADERS
async def test_late_instances_and_leaders_keep_the_bound(make_leader):
    """Guards against requests into the zone by those that missed the order.

    An instance that was cut off learns of it late, one starts from a snapshot,
    and the leader changes right after the commit.
    """
    play = await _start(make_leader)
    cut_off = play.instances[0]
    cut_off.is_cut_off = True
    ordered_s = await play.order("z2", True)
    play.leader.elect()
    play.instances[1] = _Instance(play, 9)
    play.instances[1].poll()
    await asyncio.sleep(_BOUND_S + 1.0)
    cut_off.is_cut_off = False
    cut_off.poll()
    learned_s = _now_s() + _LINK_S
    await asyncio.sleep(9.0)
    for service in ("keyed", "plain"):
        assert play.count_arrivals("z2", service, learned_s) == 0
    assert _get_served_share(play.list_outcomes("keyed", _now_s() - 4.0)) > 0.9
    assert play.leader.list_keys_without_holder() == []
    assert ordered_s < learned_s
    await play.stop()
