"""Simulated entry instances, and upstreams that limit their rate."""

import asyncio
import random

from returns.result import Failure
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import permits
from bamboosilld.fleet import state as state_lib
from bamboosilld.gateway import budget as budget_lib
from bamboosilld.gateway import http_messages
from bamboosilld.gateway import latency as latency_lib
from bamboosilld.gateway import permit_client
from bamboosilld.gateway import request_context
from bamboosilld.gateway import request_sender
from bamboosilld.gateway import upstream_connection as upstream_connection_lib
from bamboosilld.gateway import view as view_lib

from .conftest import NAMES
from .conftest import make_send_context

_LINK_S = 0.002
_WORK_S = 0.15
# The contract with upstreams: after `_GRACE_S`, at most `_FACTOR` times the
# limit and `_SLACK` requests in any window, from instances that got a response
# with the limit `_TELL_S` before or earlier.
_TELL_S = 0.5
_GRACE_S = 3.0
_WINDOW_S = 4.0
_FACTOR = 1.5
_SLACK = 5
_TIMEOUT_MS = 2000


class Upstream:
    """An upstream whose limit follows a schedule of (time, header values)."""

    def __init__(self, name, rng, schedule=()):
        self.name = name
        self._rng = rng
        self._schedule = [(0.0, []), *schedule]
        self.arrivals = []
        self.arrivals_if_told = []
        self._told_s = {}

    def get_values(self, at_s):
        return [each for each in self._schedule if each[0] <= at_s][-1][1]

    def get_rate(self, at_s):
        """Returns the last valid limit; a malformed one changes nothing."""
        valid = [
            values
            for start_s, values in self._schedule
            if start_s <= at_s and values != [b"soon"]
        ]
        return min(map(float, valid[-1]), default=float("inf"))

    async def exchange(self, sender, request_id):
        await asyncio.sleep(_LINK_S)
        now_s = asyncio.get_running_loop().time()
        told_s = self._told_s.get(sender, float("inf"))
        self.arrivals.append(now_s)
        if told_s + _TELL_S <= now_s:
            self.arrivals_if_told.append(now_s)
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
        if self.get_values(now_s):
            self._told_s.setdefault(sender, now_s + _LINK_S)
        return upstream_connection_lib.UpstreamResponse(status, headers, b"")

    def find_excess(self, end_s, arrivals=None):
        """Returns the windows with more arrivals than the limit allows."""
        arrivals = self.arrivals if arrivals is None else arrivals
        starts = [at_s for at_s, _ in self._schedule]
        excess = []
        for first, start_s in enumerate(arrivals):
            since_s = max(each for each in starts if each <= start_s)
            if start_s - since_s < _GRACE_S or start_s + _WINDOW_S > end_s:
                continue
            window = [
                each for each in arrivals[first:] if each < start_s + _WINDOW_S
            ]
            rate = max(self.get_rate(start_s), self.get_rate(window[-1]))
            if len(window) > _FACTOR * _WINDOW_S * rate + _SLACK:
                excess.append((round(start_s, 2), len(window), rate))
        return excess

    def count_arrivals(self, first_s, last_s):
        return sum(first_s <= each < last_s for each in self.arrivals)


class Pool:
    """Stands in for the connections from an instance to an upstream."""

    def __init__(self, instance, upstream):
        self._instance = instance
        self._upstream = upstream

    async def acquire(self):
        return self

    async def exchange(self, data, request_id, *_):
        return await self._upstream.exchange(self._instance, request_id)

    def release(self, connection):
        pass

    def close_idle(self):
        pass


class Instance:
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
        for each in self.view.list_upstreams("s"):
            each.pool = Pool(self, fleet.by_name[each.item.upstream])
        self._budget = budget_lib.RetryBudget(self._clock, 0.2, 50, 10.0)
        self._latency = latency_lib.Latency()
        self._permits = permit_client.PermitClient(
            self.name,
            self._ask,
            lambda: len(fleet.instances),
            self._clock,
            self._rng,
        )
        self._context = make_send_context(
            self.view, self._clock, self._rng, self._permits
        )
        self.is_cut_off = False
        self.outcomes = []

    async def run_updates(self):
        """Receives limits of other instances, as with the replies to polls."""
        while True:
            leader = self._fleet.leader
            if leader is not None and not self.is_cut_off:
                self.view.update_limits(leader.list_limits())
            await asyncio.sleep(self._rng.uniform(0.3, 0.6))

    async def _ask(self, request):
        """Asks the leader over a link with a random delay."""
        leader = self._fleet.leader
        if leader is None or self.is_cut_off:
            await asyncio.sleep(0.25)
            return Failure(errors.PeerError("timeout", "leader", True))
        await asyncio.sleep(self._rng.uniform(0.0005, 0.005))
        reply = leader.acquire(request)
        await asyncio.sleep(self._rng.uniform(0.0005, 0.005))
        return Success(reply)

    def report_limits(self):
        """Lets all instances know the limits in force."""
        for each in self.view.list_upstreams("s"):
            upstream = self._fleet.by_name[each.item.upstream]
            values = upstream.get_values(self._clock.monotonic())
            if each.rate_limit.observe(values, False, 0.0):
                self._permits.report(each)

    async def run(self, rate_per_s):
        updates = asyncio.create_task(self.run_updates())
        tasks = {updates}
        try:
            while True:
                await asyncio.sleep(self._rng.expovariate(rate_per_s))
                task = asyncio.create_task(self.send())
                tasks.add(task)
                task.add_done_callback(tasks.discard)
        finally:
            for task in tasks:
                task.cancel()

    async def send(self):
        """Sends a request; returns the outcome."""
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
            self._context,
            self._budget,
            self._latency,
            len(fleet.instances),
        )
        outcome = await sender.run()
        ended_s = self._clock.monotonic()
        self.outcomes.append((now_s, ended_s - now_s, outcome))
        return outcome


class Fleet:
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

    def __init__(
        self, seed, instance_count, is_sharded, schedule, limits_all=False
    ):
        self.seed = seed
        self.rng = random.Random(seed)
        self.is_sharded = is_sharded
        self.upstreams = [Upstream("u0", self.rng, schedule)] + [
            Upstream(f"u{number}", self.rng, schedule if limits_all else ())
            for number in range(1, 5)
        ]
        self.by_name = {each.name: each for each in self.upstreams}
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
        self.leader = self.make_leader()
        self.instances = [
            Instance(self, number) for number in range(instance_count)
        ]
        self.tasks = []

    def make_leader(self):
        """Returns the permits of a leader that knows nothing yet."""
        state = state_lib.FleetState()
        for index, command in enumerate(self.commands, 1):
            state.apply(index, wire.pack(command))
        return permits.PermitBroker(state, clock_lib.LoopClock(), self.rng)

    @property
    def limited(self):
        return self.upstreams[0]

    async def run(self, seconds, total_rate_per_s, faults=None):
        self._rate_per_s = total_rate_per_s / len(self.instances)
        self.tasks = [self._start(each) for each in self.instances]
        if faults is not None:
            self.tasks.append(asyncio.create_task(faults(self)))
        await asyncio.sleep(seconds)
        for task in self.tasks:
            task.cancel()
        results = await asyncio.gather(*self.tasks, return_exceptions=True)
        for each in results:
            if not isinstance(each, asyncio.CancelledError):
                raise each

    def _start(self, instance):
        return asyncio.create_task(instance.run(self._rate_per_s))

    async def inject_faults(self):
        """Stops, freezes and cuts off instances, and loses the leader."""
        while True:
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))
            fault = self.rng.choice(("restart", "freeze", "cut", "leader"))
            number = self.rng.randrange(len(self.instances))
            if fault == "leader":
                self.leader = None
                await asyncio.sleep(self.rng.choice((0.0, 1.5, 6.0)))
                self.leader = self.make_leader()
            elif fault == "cut":
                for each in self.instances:
                    each.is_cut_off = self.rng.random() < 0.3
            else:
                self.tasks[number].cancel()
                await asyncio.sleep(self.rng.uniform(0.0, 2.0))
                if fault == "restart":
                    self.instances[number] = Instance(self, number)
                self.tasks[number] = self._start(self.instances[number])

    def list_outcomes(self):
        return [each for one in self.instances for each in one.outcomes]
