"""Simulation of many entry instances and upstreams that become cold."""

import asyncio

import pytest
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import cold_upstreams
from bamboosilld.fleet import permits
from bamboosilld.fleet import state as state_lib
from bamboosilld.gateway import view as view_lib

from . import limited_fleet
from .conftest import NAMES
from .conftest import make_permit_client

_WARMUP_S = 3.0
_RATE_PER_S = 4.2
# What a cold upstream survives in any second: `warmup_per_s` x 1.5 + 8.
_MAX_PER_S = 1.5 * _RATE_PER_S + 8
_COLD_S = 3.0
_INSTANCES = 84
_REASON = "rate limit of upstream"
# Longest time until an instance has a command.
_LAG_S = 0.35


class _Fleet(limited_fleet.Fleet):
    """Entry instances whose copies of the state lag behind the leader's.

    Attributes:
        cold_s: Times at which upstreams became cold, by id.
    """

    def __init__(self, seed, is_sharded=False):
        self._state = None
        super().__init__(seed, _INSTANCES, is_sharded, [])
        self.cold_s = {}
        self._revision = 10
        self._deliveries = set()
        service = messages.ServiceItem(
            "s",
            sharded=is_sharded,
            warmup_ms=int(_WARMUP_S * 1000),
            warmup_per_s=_RATE_PER_S,
        )
        self.commit(
            messages.ChangeConfiguration(
                version=2,
                base=1,
                digest=b"2",
                whole=True,
                services=(service,),
                has_limits=True,
            )
        )

    def make_leader(self):
        """Returns the permits of a leader that has followed the state."""
        clock = clock_lib.LoopClock()
        if self._state is None:
            self._state = state_lib.FleetState()
            for index, command in enumerate(self.commands, 1):
                self._state.apply(index, wire.pack(command))
            self._cold = cold_upstreams.ColdUpstreams(self._state, clock)
        return permits.PermitBroker(self._state, clock, self.rng, self._cold)

    def commit(self, command, max_delay_s=0.0):
        """Applies a command at the control group, and later at instances."""
        self._revision += 1
        data = wire.pack(command)
        self._state.apply(self._revision, data)
        for instance in self.instances:
            if max_delay_s:
                task = asyncio.create_task(
                    self._deliver(instance, self._revision, data, max_delay_s)
                )
                self._deliveries.add(task)
            else:
                instance.state.apply(self._revision, data)

    async def _deliver(self, instance, revision, data, max_delay_s):
        await asyncio.sleep(self.rng.uniform(0.01, max_delay_s))
        instance.state.apply(revision, data)
        for each in instance.view.list_all_upstreams():
            if not isinstance(each.pool, limited_fleet.Pool):
                each.pool = limited_fleet.Pool(
                    instance, self.by_name[each.item.upstream]
                )

    def make_cold(self, names, is_restart=False):
        """Lets upstreams be cold from now on, as their heartbeats report."""
        now_s = asyncio.get_running_loop().time()
        items = []
        for name in names:
            item = self.instances[0].state.upstreams[name]
            items.append(
                item._replace(
                    warmup_ms=int(_WARMUP_S * 1000),
                    born_ms=item.born_ms + is_restart,
                )
            )
            self.cold_s[name] = now_s
        self.commit(messages.SetUpstreams(upstreams=tuple(items)), _LAG_S)

    def count_most_per_s(self, name, since_s=_LAG_S):
        """Returns the most arrivals in any second while an upstream is cold.

        Args:
            name: Its id.
            since_s: Time until all instances know that it is cold.
        """
        first_s = self.cold_s[name] + since_s
        arrivals = self.list_cold_arrivals(name, first_s)
        return max(
            (
                sum(start_s <= each < start_s + 1.0 for each in arrivals)
                for start_s in arrivals
            ),
            default=0,
        )

    def list_cold_arrivals(self, name, first_s):
        end_s = self.cold_s[name] + _WARMUP_S
        return [
            each
            for each in self.by_name[name].arrivals
            if first_s <= each < end_s
        ]

    def list_ended(self, first_s, last_s):
        return [
            (took_s, outcome)
            for sent_s, took_s, outcome in self.list_outcomes()
            if first_s <= sent_s < last_s
        ]


async def _run_cold(fleet, names, rate_per_s, faults=None, is_restart=False):
    """Lets upstreams become cold under load, until shortly after that."""

    async def act(fleet):
        await asyncio.sleep(_COLD_S)
        fleet.make_cold(names, is_restart)
        if faults is not None:
            await faults(fleet)
        await asyncio.Event().wait()

    await fleet.run(_COLD_S + _WARMUP_S + 1.5, rate_per_s, act)


@pytest.mark.looptime
@pytest.mark.parametrize("seed", [1, 2, 3])
async def test_a_cold_holder_gets_nearly_its_permitted_rate(seed):
    """Guards against a crash of a cold holder, and against unused permits.

    Other callers are refused at once, and told a time at which it can serve.
    """
    fleet = _Fleet(seed, is_sharded=True)
    await _run_cold(fleet, ["u0"], 30.0)
    assert fleet.count_most_per_s("u0") <= _MAX_PER_S
    arrivals = fleet.list_cold_arrivals("u0", _COLD_S + _LAG_S)
    assert len(arrivals) >= 0.8 * _RATE_PER_S * (_WARMUP_S - _LAG_S)
    ended = fleet.list_ended(_COLD_S + 0.5, _COLD_S + _WARMUP_S - 0.5)
    refused = [
        (took_s, outcome)
        for took_s, outcome in ended
        if outcome.reason == _REASON and not outcome.upstream
    ]
    assert refused
    for took_s, outcome in refused:
        assert took_s < 0.3
        assert not outcome.may_have_run
        assert 0.0 < outcome.retry_after_s < 2 * _WARMUP_S


@pytest.mark.looptime
@pytest.mark.parametrize("seed", [1, 2])
async def test_the_warm_upstreams_serve_while_others_are_cold(seed):
    """Guards against refusals while upstreams without a limit have slots."""
    fleet = _Fleet(seed)
    names = ["u0", "u1", "u2"]
    await _run_cold(fleet, names, 60.0)
    ended = fleet.list_ended(_COLD_S + 0.5, _COLD_S + _WARMUP_S)
    for name in names:
        assert fleet.list_cold_arrivals(name, _COLD_S + _LAG_S) == []
    assert ended
    assert not [outcome for _, outcome in ended if outcome.reason == _REASON]


@pytest.mark.looptime
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("is_restart", [False, True])
async def test_cold_upstreams_together_are_used_up_to_their_rates(
    seed, is_restart
):
    """Guards against permits that end unused while callers are refused.

    The load is three times what the upstreams of an availability zone take when
    all of them return cold.
    """
    fleet = _Fleet(seed)
    await _run_cold(fleet, list(fleet.by_name), 60.0, is_restart=is_restart)
    for name in fleet.by_name:
        assert fleet.count_most_per_s(name) <= _MAX_PER_S
    total = sum(
        len(fleet.list_cold_arrivals(name, _COLD_S + _LAG_S))
        for name in fleet.by_name
    )
    assert total >= 0.8 * 5 * _RATE_PER_S * (_WARMUP_S - _LAG_S)


async def _fill_warm(fleet):
    """Lets the warm upstreams have full queues."""
    while True:
        for instance in fleet.instances:
            for each in instance.view.list_upstreams("s"):
                if each.item.upstream not in fleet.cold_s:
                    each.update_load(b"64,200,64")
        await asyncio.sleep(0.1)


@pytest.mark.looptime
@pytest.mark.parametrize("seed", [1, 2])
async def test_cold_upstreams_relieve_full_ones(seed):
    """Guards against cold upstreams that are spared at the callers' expense."""
    fleet = _Fleet(seed)
    names = ["u0", "u1", "u2"]
    await _run_cold(fleet, names, 40.0, _fill_warm)
    for name in names:
        assert fleet.count_most_per_s(name) <= _MAX_PER_S
        arrivals = fleet.list_cold_arrivals(name, _COLD_S + _LAG_S)
        assert len(arrivals) >= 0.8 * _RATE_PER_S * (_WARMUP_S - _LAG_S)


@pytest.mark.looptime
@pytest.mark.parametrize("seed", [1, 2])
async def test_the_replicated_item_alone_limits_a_cold_upstream(seed):
    """Guards against full load until a poll reply has the limit."""
    fleet = _Fleet(seed, is_sharded=True)
    for each in fleet.instances:
        each.view.update_limits = lambda limits: None
    await _run_cold(fleet, ["u0"], 100.0)
    assert fleet.count_most_per_s("u0") <= _MAX_PER_S


async def _lose_leader(fleet):
    """Loses the leader, and has a new one that knows the replicated state."""
    await asyncio.sleep(0.6)
    fleet.leader = None
    await asyncio.sleep(1.0)
    fleet.leader = fleet.make_leader()


async def _cut_off(fleet):
    """Cuts some instances off once they know of the cold upstream."""
    await asyncio.sleep(0.4)
    for number, each in enumerate(fleet.instances):
        each.is_cut_off = number % 3 == 0


@pytest.mark.looptime
@pytest.mark.parametrize("seed", [1, 2])
@pytest.mark.parametrize("faults", [_lose_leader, _cut_off])
async def test_faults_do_not_exceed_the_rate_of_a_cold_holder(seed, faults):
    """Guards against a limit that ends, or grows, without the leader."""
    fleet = _Fleet(seed, is_sharded=True)
    await _run_cold(fleet, ["u0"], 60.0, faults)
    assert fleet.count_most_per_s("u0") <= _MAX_PER_S
    arrivals = fleet.list_cold_arrivals("u0", _COLD_S + _LAG_S)
    assert len(arrivals) >= 0.4 * _RATE_PER_S * (_WARMUP_S - _LAG_S)


def _make_view():
    clock = clock_lib.LoopClock()
    state = state_lib.FleetState()
    view = view_lib.View(state, clock, NAMES.request_id)
    service = messages.ServiceItem("s", warmup_ms=3000, warmup_per_s=4.2)
    change = messages.ChangeConfiguration(
        version=1, whole=True, services=(service,), has_limits=True
    )
    item = messages.UpstreamItem(
        "u0", 1, "127.0.0.1:1", "s", "z1", slots=6, warmup_ms=3000
    )
    state.apply(1, wire.pack(change))
    state.apply(2, wire.pack(messages.SetUpstreams(upstreams=(item,))))
    return view, item


def _make_reply(item, granted=0, cold_ms=0):
    limit = messages.UpstreamLimit(
        item.upstream, item.born_ms, permits.NO_LIMIT, 0, cold_ms
    )
    return messages.AcquirePermitsReply(limit, granted)


@pytest.mark.looptime
async def test_an_upstream_is_limited_from_its_registration_until_warm():
    """Guards against a limit that starts late or outlasts the warm-up."""
    view, item = _make_view()
    (upstream,) = view.list_upstreams("s")
    assert upstream.rate_limit.rate_per_s == 4.2
    upstream.rate_limit.observe([b"2"], False, 0.0)
    assert upstream.rate_limit.rate_per_s == 2.0
    upstream.rate_limit.observe([b"9"], False, 0.0)
    assert upstream.rate_limit.rate_per_s == 4.2
    upstream.rate_limit.observe([], False, 0.1)
    await asyncio.sleep(2.5)
    view.update_limits((_make_reply(item, cold_ms=1000).limit,))
    await asyncio.sleep(0.9)
    assert upstream.rate_limit.rate_per_s == 4.2
    await asyncio.sleep(0.2)
    assert upstream.rate_limit.rate_per_s is None


@pytest.mark.looptime
async def test_the_first_reply_ends_the_limit_of_an_old_item():
    """Guards against refusals after a start from a snapshot."""
    view, item = _make_view()
    copy = state_lib.FleetState()
    other = view_lib.View(copy, clock_lib.LoopClock(), NAMES.request_id)
    copy.restore(view.state.snapshot())
    (upstream,) = other.list_upstreams("s")
    assert upstream.rate_limit.rate_per_s == 4.2

    async def ask(request):
        return Success(_make_reply(item))

    client = make_permit_client(clock_lib.LoopClock(), ask)
    assert await client.acquire(upstream, 1.0)
    assert upstream.rate_limit.rate_per_s is None


@pytest.mark.looptime
async def test_a_reply_from_before_an_upstream_was_cold_has_no_effect():
    """Guards against permits and limits of the time before."""
    view, item = _make_view()
    (upstream,) = view.list_upstreams("s")
    await asyncio.sleep(4.0)
    upstream.rate_limit.observe([b"9"], False, 4.0)

    async def ask(request):
        await asyncio.sleep(0.1)
        upstream.mark_cold(3.0)
        await asyncio.sleep(0.1)
        return Success(_make_reply(item, granted=3))

    client = make_permit_client(clock_lib.LoopClock(), ask)
    upstream.rate_limit.add_permits(1, 5.0)
    upstream.rate_limit.take_permit()
    assert not await client.acquire(upstream, 1.0)
    assert upstream.rate_limit.is_cold
    assert not upstream.rate_limit.has_permit()
    upstream.rate_limit.add_permits(1, 4.3)
    await asyncio.sleep(0.2)
    assert not upstream.rate_limit.has_permit()
