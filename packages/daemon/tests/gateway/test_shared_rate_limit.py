"""Simulation of many entry instances and an upstream that limits its rate."""

import asyncio
import random

import pytest

from bamboosill_common import clock as clock_lib
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import state as state_lib
from bamboosilld.gateway import budget as budget_lib
from bamboosilld.gateway import http_messages
from bamboosilld.gateway import latency as latency_lib
from bamboosilld.gateway import request_context
from bamboosilld.gateway import request_sender
from bamboosilld.gateway import upstream_connection as upstream_connection_lib
from bamboosilld.gateway import view as view_lib

from .conftest import NAMES

_LINK_S = 0.002
_WORK_S = 0.15
# The contract with upstreams: after `_GRACE_S`, at most `_FACTOR` times the
# limit and `_SLACK` requests in any window.
_GRACE_S = 3.0
_WINDOW_S = 4.0
_FACTOR = 1.5
_SLACK = 5
_TIMEOUT_MS = 2000


class _Upstream:
    """An upstream whose limit follows a schedule of (time, header values)."""

    def __init__(self, name, rng, schedule=()):
        self.name = name
        self._rng = rng
        self._schedule = [(0.0, []), *schedule]
        self.arrivals = []

    def get_values(self, at_s):
        return [each for each in self._schedule if each[0] <= at_s][-1][1]

    def get_rate(self, at_s):
        rates = [float(each) for each in self.get_values(at_s)]
        return min(rates, default=float("inf"))

    async def exchange(self, request_id):
        await asyncio.sleep(_LINK_S)
        now_s = asyncio.get_running_loop().time()
        self.arrivals.append(now_s)
        headers = [(b"x-id", request_id), (b"x-signature", b"s")]
        status, kind = 200, self._rng.random()
        if kind < 0.05:
            status = 503
            headers.append((b"x-not-run", b"1"))
        else:
            await asyncio.sleep(_WORK_S * (10 if kind < 0.15 else 1))
        now_s = asyncio.get_running_loop().time()
        headers += [(b"x-rate-limit", v) for v in self.get_values(now_s)]
        await asyncio.sleep(_LINK_S)
        return upstream_connection_lib.UpstreamResponse(status, headers, b"")

    def find_excess(self, end_s):
        """Returns the windows with more arrivals than the limit allows."""
        starts = [at_s for at_s, _ in self._schedule]
        excess = []
        for first, start_s in enumerate(self.arrivals):
            since_s = max(each for each in starts if each <= start_s)
            if start_s - since_s < _GRACE_S or start_s + _WINDOW_S > end_s:
                continue
            window = [
                each
                for each in self.arrivals[first:]
                if each < start_s + _WINDOW_S
            ]
            rate = max(self.get_rate(start_s), self.get_rate(window[-1]))
            if len(window) > _FACTOR * _WINDOW_S * rate + _SLACK:
                excess.append((round(start_s, 2), len(window), rate))
        return excess

    def count_arrivals(self, first_s, last_s):
        return sum(first_s <= each < last_s for each in self.arrivals)


class _Pool:
    """Stands in for the connections from an instance to an upstream."""

    def __init__(self, upstream):
        self._upstream = upstream

    async def acquire(self):
        return self

    async def exchange(self, data, request_id):
        return await self._upstream.exchange(request_id)

    def release(self, connection):
        pass

    def close_idle(self):
        pass


class _Instance:
    """An entry instance with a constant rate of callers' requests."""

    def __init__(self, fleet, number):
        self._fleet = fleet
        self.name = f"e{number}"
        self._rng = random.Random(f"{fleet.seed}/{number}")
        self._clock = clock_lib.LoopClock()
        self.state = state_lib.FleetState()
        self.view = view_lib.View(self.state, self._clock, NAMES.request_id)
        for index, command in enumerate(fleet.commands, 1):
            self.state.apply(index, wire.pack(command))
        by_name = {each.name: each for each in fleet.upstreams}
        for each in self.view.list_upstreams("s"):
            each.pool = _Pool(by_name[each.item.upstream])
        self._budget = budget_lib.RetryBudget(self._clock, 0.2, 50, 10.0)
        self._latency = latency_lib.Latency()
        self.outcomes = []

    def make_context(self):
        return request_context.SendContext(
            "z1", NAMES, self.view, self._clock, self._rng
        )

    async def run(self, rate_per_s):
        tasks = set()
        try:
            while True:
                await asyncio.sleep(self._rng.expovariate(rate_per_s))
                task = asyncio.create_task(self._send())
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        finally:
            for task in tasks:
                task.cancel()

    async def _send(self):
        fleet, now_s = self._fleet, self._clock.monotonic()
        is_idempotent = self._rng.random() < 0.6
        request_id = b"%d" % self._rng.getrandbits(60)
        headers = [(b"x-id", request_id)]
        request = http_messages.Request("GET", "/", headers, b"", True)
        routed = request_context.RoutedRequest(
            request,
            fleet.route._replace(idempotent=is_idempotent),
            "s",
            0 if fleet.is_sharded else request_context.NO_KEY,
            request_id,
            now_s,
            now_s + _TIMEOUT_MS / 1000,
        )
        self._budget.count_request()
        sender = request_sender.RequestSender(
            routed,
            self.make_context(),
            self._budget,
            self._latency,
            len(fleet.instances),
        )
        outcome = await sender.run()
        ended_s = self._clock.monotonic()
        self.outcomes.append((now_s, ended_s - now_s, outcome))


class _Fleet:
    """Entry instances and the upstreams of one service.

    The first upstream limits its rate. It holds all keys if the service is
    sharded.
    """

    route = messages.RouteItem(
        name="r",
        timeout_ms=_TIMEOUT_MS,
        target_latency_ms=1500,
        max_upstreams=2,
        service="s",
    )

    def __init__(self, seed, instance_count, is_sharded, schedule):
        self.seed = seed
        self.rng = random.Random(seed)
        self.is_sharded = is_sharded
        self.upstreams = [_Upstream("u0", self.rng, schedule)] + [
            _Upstream(f"u{number}", self.rng) for number in range(1, 5)
        ]
        items = tuple(
            messages.UpstreamItem(
                upstream=each.name,
                born_ms=1,
                address="127.0.0.1:1",
                service="s",
                zone="z1",
                slots=64,
            )
            for each in self.upstreams
        )
        self.commands = [
            messages.ChangeConfiguration(
                version=1,
                whole=True,
                services=(messages.ServiceItem("s", sharded=is_sharded),),
                has_limits=True,
            ),
            messages.SetUpstreams(upstreams=items),
            messages.SetKeys(
                "s", (messages.KeyRange(0, 65535, 0, "u0", 1, ""),)
            ),
        ]
        self.instances = [
            _Instance(self, number) for number in range(instance_count)
        ]
        self.tasks = []

    @property
    def limited(self):
        return self.upstreams[0]

    async def run(self, seconds, total_rate_per_s):
        rate_per_s = total_rate_per_s / len(self.instances)
        self.tasks = [
            asyncio.create_task(each.run(rate_per_s)) for each in self.instances
        ]
        await asyncio.sleep(seconds)
        await self.stop()

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def list_outcomes(self):
        return [each for one in self.instances for each in one.outcomes]


@pytest.mark.looptime
@pytest.mark.parametrize("is_sharded", [False, True])
@pytest.mark.parametrize(
    ("instance_count", "rate", "seed"),
    [
        (8, b"1", 1),
        (8, b"1.6", 2),
        (91, b"1", 3),
        (91, b".2", 4),
        (91, b"20", 5),
    ],
)
async def test_instances_together_keep_the_rate_limit_of_an_upstream(
    is_sharded, instance_count, rate, seed
):
    """Guards against a limit that each instance ignores or keeps for itself."""
    fleet = _Fleet(seed, instance_count, is_sharded, [(5.0, [rate])])
    await fleet.run(40.0, 60.0)
    assert fleet.limited.find_excess(40.0) == []
