"""Simulated upstreams that take keys by calls, and the network to them."""

import asyncio
import random
from typing import NamedTuple

from bamboosill_common import clock as clock_lib
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosill_dev.fleetsoak import held_keys
from bamboosilld.fleet import authority as authority_lib
from bamboosilld.fleet import state as state_lib
from bamboosilld.fleet import upstream_calls

from .conftest import Node
from .conftest import make_configuration
from .conftest import make_item

HEARTBEAT_S = 1.0
LEASE_S = 4.0
_TICK_S = 0.2
_LINK_S = 0.001
_CHECK_S = 0.05
# The clock with which upstreams count leases runs 2% slow.
_SLOW_CLOCK = 1.02


class Fate(NamedTuple):
    """What happens to a call.

    Attributes:
        is_lost: Whether it never arrives.
        travel_s: Time until it arrives.
        late_s: Time from its arrival until it is carried out.
        is_answered: Whether a response comes back.
        status: Status with which it is answered in place of being carried out.
    """

    is_lost: bool = False
    travel_s: float = _LINK_S
    late_s: float = 0.0
    is_answered: bool = True
    status: int = 0


GOOD = Fate()
LOST = Fate(is_lost=True)
UNANSWERED = Fate(is_answered=False)


class Run(NamedTuple):
    """A request that an upstream works on."""

    key: int
    end_s: float
    lease_end_s: float


class Upstream:
    """One incarnation of an upstream, with the requests that it runs."""

    def __init__(self, item):
        self.item = item
        self.keys = held_keys.HeldKeys()
        self.runs = []
        self.is_up = True

    def holds(self, key):
        return self.is_up and self.keys.holds(key, _now_s())

    def list_held(self):
        return [each for each in self.keys.ranges if _now_s() < each.end_s]

    def begin_run(self, key, duration_s):
        if self.holds(key):
            self.runs.append(Run(key, _now_s() + duration_s, 0.0))
            self.list_busy()

    async def wait_for_runs(self, first, last):
        ends_s = [run.end_s for run in self.runs if first <= run.key <= last]
        await asyncio.sleep(max([*ends_s, _now_s()]) - _now_s())

    def list_busy(self):
        """Returns keys with a run; one that outlasts its lease is ended."""
        self.runs = [
            run._replace(lease_end_s=self._get_lease_end_s(run))
            for run in self.runs
        ]
        self.runs = [
            run
            for run in self.runs
            if _now_s() < min(run.end_s, run.lease_end_s)
        ]
        return [run.key for run in self.runs]

    def _get_lease_end_s(self, run):
        return max(
            [run.lease_end_s]
            + [
                each.end_s
                for each in self.list_held()
                if each.first <= run.key <= each.last
            ]
        )


class CallNetwork:
    """Carries calls to upstreams; each call's fate is chosen by a function.

    Attributes:
        calls: Names, upstreams and ranges of the calls that were sent.
    """

    def __init__(self, choose_fate):
        self._choose_fate = choose_fate
        self.upstreams = {}
        self.calls = []
        self._tasks = set()

    async def grant(self, upstream, grant, lease_s, may_send):
        if not may_send():
            return upstream_calls.Result(upstream_calls.Outcome.UNSENT, "")
        return await self._call(
            "grant", upstream, grant, upstream_calls.GRANT_TIMEOUT_S, lease_s
        )

    async def release(self, upstream, part, timeout_s, may_send):
        if not may_send():
            return upstream_calls.Result(upstream_calls.Outcome.UNSENT, "")
        return await self._call("release", upstream, part, timeout_s, 0.0)

    def retain(self, kept):
        pass

    async def _call(self, name, item, part, timeout_s, lease_s):
        self.calls.append((name, item.upstream, part))
        response = asyncio.get_running_loop().create_future()
        # Goes on when the caller times out or is cancelled.
        task = asyncio.create_task(
            self._carry(name, item, part, lease_s, response)
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        try:
            async with asyncio.timeout(timeout_s):
                return await asyncio.shield(response)
        except TimeoutError:
            return upstream_calls.Result(
                upstream_calls.Outcome.UNKNOWN, "timeout"
            )

    async def _carry(self, name, item, part, lease_s, response):
        fate = self._choose_fate(name, item, part)
        if fate.is_lost:
            return
        await asyncio.sleep(fate.travel_s)
        arrived_s = _now_s()
        # Whatever process has the address now gets the call.
        upstream = self.upstreams.get(item.address)
        if upstream is None or not upstream.is_up:
            return
        await asyncio.sleep(fate.late_s)
        status = fate.status or await self._carry_out(
            name, upstream, part, arrived_s + lease_s * _SLOW_CLOCK
        )
        await asyncio.sleep(_LINK_S)
        if fate.is_answered and upstream.is_up and not response.done():
            outcome = {
                200: upstream_calls.Outcome.DONE,
                409: upstream_calls.Outcome.REFUSED,
            }.get(status, upstream_calls.Outcome.UNKNOWN)
            response.set_result(
                upstream_calls.Result(outcome, str(status), "handover")
            )

    async def _carry_out(self, name, upstream, part, end_s):
        if name == "grant":
            new = held_keys.HeldRange(part.first, part.last, part.fence, end_s)
            return 200 if upstream.keys.grant(new) else 409
        upstream.keys.release(part.first, part.last, part.fence)
        await upstream.wait_for_runs(part.first, part.last)
        return 200


class CallFleet:
    """A leader, its network and its upstreams, in virtual time.

    Attributes:
        violations: Keys that two upstreams held or worked on at a time.
    """

    grants = "rpc"

    def __init__(self, choose_fate=lambda name, item, part: GOOD, **service):
        self.network = CallNetwork(choose_fate)
        self.state = state_lib.FleetState()
        self.node = Node(self.state)
        self.node.elected_at_s = _now_s() + 1.0
        self.authority = authority_lib.Authority(
            self.node,
            self.state,
            clock_lib.LoopClock(),
            LEASE_S,
            HEARTBEAT_S,
            self.network,
            random.Random(1),
        )
        configuration = make_configuration(
            services=(
                messages.ServiceItem(
                    name="keyed", sharded=True, grants=self.grants, **service
                ),
                messages.ServiceItem(name="plain", **service),
            )
        )
        self.state.apply(0, wire.pack(configuration))
        assert self.authority.is_active_leader()
        self.upstreams = {}
        self.violations = []
        self.sequence = 0
        self._tasks = [
            asyncio.create_task(self._run_ticks()),
            asyncio.create_task(self._run_checks()),
        ]

    def start_upstream(self, name, born_ms=1, **changes):
        """Starts an upstream, which sends heartbeats until it is crashed."""
        item = make_item(name, born_ms, **changes)
        upstream = self.upstreams[name] = Upstream(item)
        self.network.upstreams[item.address] = upstream
        self._tasks.append(asyncio.create_task(self._run_heartbeats(upstream)))
        return upstream

    def elect(self):
        """Makes the leader forget all that is not replicated."""
        self.node.elected_at_s += 1.0

    async def stop(self):
        """Ends all tasks; raises the first error of one."""
        for task in self._tasks:
            task.cancel()
        for result in await asyncio.gather(
            *self._tasks, return_exceptions=True
        ):
            if isinstance(result, Exception):
                raise result

    def list_keys_without_holder(self):
        """Returns sampled keys that no upstream holds."""
        return [
            key
            for key in range(0, 65536, 97)
            if not any(each.holds(key) for each in self.upstreams.values())
        ]

    async def _run_ticks(self):
        while True:
            await asyncio.sleep(_TICK_S)
            if self.authority.is_active_leader():
                await self.authority.tick()

    async def _run_heartbeats(self, upstream):
        while upstream.is_up:
            self.sequence += 1
            await self.authority.handle_report(
                messages.UpstreamReport(upstream.item, self.sequence)
            )
            await asyncio.sleep(HEARTBEAT_S)

    async def _run_checks(self):
        while True:
            await asyncio.sleep(_CHECK_S)
            self._check()

    def _check(self):
        up = [each for each in self.upstreams.values() if each.is_up]
        for one in up:
            busy = one.list_busy()
            for other in up:
                if other is one:
                    continue
                for held in other.list_held():
                    if any(
                        mine.first <= held.last and held.first <= mine.last
                        for mine in one.list_held()
                    ):
                        self._report(f"{one.item.upstream} holds {held}")
                    if any(held.first <= key <= held.last for key in busy):
                        self._report(f"{one.item.upstream} works on {held}")

    def _report(self, text):
        self.violations.append(f"{_now_s():.2f} s: {text}")


def _now_s():
    return asyncio.get_running_loop().time()
