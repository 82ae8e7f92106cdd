"""Tests of moves between upstreams, and of what they must wait for."""

import asyncio

import pytest
from returns.result import Success

from bamboosill_common import sharding
from bamboosill_common.generated import zone as messages
from bamboosilld.zone import assignments
from bamboosilld.zone import optional_moves
from bamboosilld.zone import times

SHARDS = 16


def get_state(simulation, name="i0"):
    return simulation.members[name]._membership.state


def find_leader(simulation):
    for name, member in simulation.members.items():
        node = member._membership.node
        if node is not None and node.is_leader and node.has_leader_lease():
            return name
    return None


def count_moves(simulation):
    """Returns how many moves were started, from the timeline events."""
    return sum(
        event.fields["shards"]
        for member in simulation.members.values()
        for event in member._timeline.list_events()
        if event.name == "begin_move"
    )


async def make_zone(make_simulation, upstreams=("u", "v"), count=3, **options):
    """Returns a zone in which all shards have owners."""
    checks_fences = options.pop("checks_fences", True)
    zone_loss = options.pop("zone_loss", "hold")
    simulation = make_simulation(**options)
    simulation.control.add_contract("a", "shop", SHARDS, zone_loss)
    for name in upstreams:
        simulation.add_upstream(name, 1, checks_fences)
    for number in range(count):
        await simulation.add_member(f"i{number}")
    await wait_all_local(simulation)
    # Waits until the new leader may start optional moves.
    await asyncio.sleep(optional_moves.AVERAGING_S + 8)
    return simulation


async def wait_all_local(simulation, limit_s=30.0):
    return await simulation.wait(
        lambda: all(
            simulation.all_local(m) for m in simulation.members.values()
        ),
        limit_s,
    )


async def wait_owned_by(simulation, name):
    """Waits until one upstream owns all shards; returns the virtual time."""
    return await simulation.wait(
        lambda: all(
            simulation.all_local(member)
            and set(simulation.find_owners(member, "a").values()) == {name}
            for member in simulation.members.values()
        )
    )


def find_key(simulation, upstream, member):
    """Returns a key that an upstream owns."""
    return next(
        f"key{number}"
        for number in range(200)
        if member.route("a", "shop", f"key{number}").upstream.id == upstream
    )


def get_upstream(simulation, name):
    return next(u for u in simulation.upstreams.values() if u.id == name)


async def start_draining(simulation, name):
    get_upstream(simulation, name).state = "draining"


@pytest.mark.looptime(noop_cycles=0)
async def test_leaving_upstream_gets_no_new_work(make_simulation):
    """Guards against new work for, and aborted work at, a draining upstream."""
    simulation = await make_zone(make_simulation)
    entry = simulation.members["i1"]
    key = find_key(simulation, "u", entry)
    route = entry.route("a", "shop", key)
    long_request = asyncio.create_task(simulation.request(entry, key, 6.0, 8.0))
    await asyncio.sleep(0.2)
    await start_draining(simulation, "u")
    await asyncio.sleep(3)
    for member in simulation.members.values():
        owners = set(simulation.find_owners(member, "a").values())
        assert owners == {"v"}, "new work reaches the leaving upstream"
    assert entry.route("a", "shop", key).status == "moving"
    assert entry.begin_dispatch(route, 1.0) is None
    assert await long_request == "done", "a request in flight was interrupted"
    await wait_all_local(simulation)
    simulation.check_single_owner()


@pytest.mark.looptime(noop_cycles=0)
@pytest.mark.parametrize("count", [1, 3])
async def test_lost_upstream_is_replaced_within_3_s(make_simulation, count):
    """Guards against keys that stay without an owner."""
    simulation = await make_zone(make_simulation, count=count)
    get_upstream(simulation, "u").die()
    lost_s = simulation.now()
    assert await wait_owned_by(simulation, "v") - lost_s <= 3.0
    await simulation.wait(
        lambda: get_state(simulation).upstreams.find("u") is None
    )


@pytest.mark.looptime(noop_cycles=0)
async def test_frozen_upstream_starts_anew(make_simulation):
    """Guards against an upstream using old grants after a pause."""
    simulation = await make_zone(make_simulation)
    upstream = get_upstream(simulation, "u")
    before = dict(upstream.grants)
    upstream.clock.pause()
    await asyncio.sleep(4)
    for keyspace, shard, _ in before:
        value = get_state(simulation).assignments.find(
            assignments.AssignmentKey(keyspace, shard)
        )
        assert value.owner.id == "v"
        assert value.fence > before[(keyspace, shard, "")]
    fences = list(before.items())
    upstream.clock.resume()
    (keyspace, shard, _), fence = fences[0]
    assert not await upstream.run(keyspace, shard, fence, 0.0)
    announced = upstream.announced
    await simulation.wait(lambda: upstream.announced > announced)


@pytest.mark.looptime(noop_cycles=0)
async def test_entry_instance_that_lags_delays_the_move(make_simulation):
    """Guards against an instance dispatching by an outdated assignment."""
    simulation = await make_zone(make_simulation, checks_fences=False)
    entry = simulation.members["i2"]
    key = find_key(simulation, "u", entry)
    route = entry.route("a", "shop", key)
    simulation.network.isolate("i2")
    # Stops heartbeats through the isolated instance.
    for upstream in simulation.upstreams.values():
        upstream.members = ["i0", "i1"]
    await start_draining(simulation, "u")
    cut_s = simulation.now()
    refused_s = await simulation.wait(
        lambda: entry.begin_dispatch(route, 2.0) is None
    )
    assert refused_s - cut_s <= times.SERVE_LEASE_S
    other = simulation.members["i0"]
    assert other.route("a", "shop", key).status == "moving"
    # Its last request may run for the longest deadline of 2 s.
    await simulation.wait(
        lambda: other.route("a", "shop", key).status == "local"
    )
    assert simulation.now() - refused_s >= 2.0


@pytest.mark.looptime(noop_cycles=0)
async def test_new_leader_waits_for_leases_it_does_not_know(make_simulation):
    """Guards against a move completing before old serve leases expired."""
    simulation = await make_zone(make_simulation, checks_fences=False)
    get_upstream(simulation, "u").die()
    old = find_leader(simulation)
    await simulation.kill_member(old)
    for upstream in simulation.upstreams.values():
        upstream.members = sorted(simulation.members)
    await simulation.wait(lambda: find_leader(simulation) is not None)
    node = simulation.members[find_leader(simulation)]._membership.node
    elected_s = node.elected_at_s
    await wait_owned_by(simulation, "v")
    wait_s = times.SERVE_LEASE_S + times.MARGIN_S + 2.0
    assert simulation.now() - elected_s >= wait_s


@pytest.mark.looptime(noop_cycles=0)
async def test_new_leader_waits_for_grants_it_does_not_know(make_simulation):
    """Guards against a new owner while an unknown grant is still valid."""
    simulation = await make_zone(make_simulation)
    old = get_upstream(simulation, "u")
    await simulation.wait(lambda: old.lease_expires_s - simulation.now() > 1.45)
    # The upstream still runs, but sends no more heartbeats.
    old.task.cancel()
    await simulation.kill_member(find_leader(simulation))
    await simulation.wait(lambda: find_leader(simulation) is not None)
    for upstream in simulation.upstreams.values():
        upstream.members = sorted(simulation.members)
    simulation.add_upstream("u", 2)
    states = [
        member._membership.state for member in simulation.members.values()
    ]
    await simulation.wait(
        lambda: states[0].upstreams.find("u").incarnation == 2
    )
    assert simulation.now() < old.lease_expires_s, "too late to show anything"
    places = [key[:2] for key in old.grants]

    def is_reassigned():
        found = (
            states[0].assignments.resolve(*place, "")[1] for place in places
        )
        return any(each.owner != ("u", 1) for each in found)

    await simulation.wait(is_reassigned)
    assert simulation.now() >= old.lease_expires_s


@pytest.mark.looptime(noop_cycles=0)
async def test_unconfirmed_revocation_waits_for_the_grant(make_simulation):
    """Guards against a move while the former owner's grant is valid."""
    simulation = await make_zone(make_simulation)
    upstream = get_upstream(simulation, "u")
    upstream.accepts_notices = False
    grants = list(upstream.grants)
    await start_draining(simulation, "u")
    state = get_state(simulation)

    def list_moved_grants():
        return [
            place
            for place in grants
            if (value := state.assignments.find(place)) is not None
            and value.owner.id == "v"
        ]

    await simulation.wait(list_moved_grants)
    for keyspace, shard, _ in list_moved_grants():
        held = upstream.grants.get((keyspace, shard, ""))
        assert (
            held is None
            or upstream.clock.monotonic() > upstream.lease_expires_s
        )
    # The former owner learned from heartbeat replies that its grants had moved,
    # before its lease expired.
    await wait_all_local(simulation)


@pytest.mark.looptime(noop_cycles=0)
@pytest.mark.parametrize("pause_s", [0.5, 1.2, 10.0])
async def test_dispatch_is_refused_after_a_pause(make_simulation, pause_s):
    """Guards against a resumed instance using an expired lease."""
    simulation = await make_zone(make_simulation, count=1)
    entry = simulation.members["i0"]
    route = entry.route("a", "shop", "key1")
    dispatch = entry.begin_dispatch(route, 2.0)
    assert entry.check_dispatch(dispatch)
    # Simulates a pause: the clock advances and nothing else happens.
    simulation.processes["i0"].clock.offset_s += pause_s
    expected = pause_s < 0.7
    assert entry.check_dispatch(dispatch) == expected
    assert (entry.begin_dispatch(route, 2.0) is not None) == expected


@pytest.mark.looptime(noop_cycles=0)
@pytest.mark.parametrize(
    ("zone_loss", "serves"), [("hold", True), ("lapse", False)]
)
async def test_zone_that_is_cut_off(make_simulation, zone_loss, serves):
    """Guards against two zones serving a shard of a `lapse` keyspace."""
    simulation = await make_zone(make_simulation, zone_loss=zone_loss)
    entry = simulation.members["i1"]
    assert await simulation.request(entry, "key1") == "done"
    simulation.network.isolate("control")
    cut_s = simulation.now()
    route = entry.route("a", "shop", "key1")
    upstream = get_upstream(simulation, route.upstream.id)
    last_s = cut_s
    while simulation.now() < cut_s + 4:
        dispatch = entry.begin_dispatch(route, 2.0)
        if dispatch is not None:
            entry.end_dispatch(dispatch)
            last_s = simulation.now()
        if await upstream.run(route.keyspace, route.shard, route.fence, 0):
            last_s = simulation.now()
        await asyncio.sleep(0.02)
    assert (last_s > cut_s + 3.9) == serves
    if not serves:
        assert last_s <= cut_s + 1.5
        assert entry.route("a", "shop", "key1").status == "moving"
    simulation.network.heal()
    await wait_all_local(simulation)


@pytest.mark.looptime(noop_cycles=0)
async def test_silent_connection_moves_no_keys(make_simulation):
    """Guards against mistaking a broken connection for a dead upstream."""
    simulation = await make_zone(make_simulation)
    before = simulation.find_owners(simulation.members["i0"], "a")
    moves = count_moves(simulation)
    failing = messages.UpstreamView("u", 3, 0.0, 0, 0, 500)
    member = simulation.members["i1"]
    member.set_load_reporter(
        lambda: type(member._renewal.reporter())(upstreams=(failing,))
    )
    other = next(n for n in ("i1", "i2") if n != find_leader(simulation))
    simulation.network.isolate(other)
    for upstream in simulation.upstreams.values():
        upstream.members = sorted(set(simulation.members) - {other})
    await asyncio.sleep(8)
    assert count_moves(simulation) == moves
    found = simulation.find_owners(
        simulation.members[find_leader(simulation)], "a"
    )
    assert found == before


@pytest.mark.looptime(noop_cycles=0)
@pytest.mark.parametrize("pause_s", [1.0, 3.0])
async def test_paused_leader_declares_no_upstream_lost(
    make_simulation, pause_s
):
    """Guards against moves caused by a pause of the leader itself."""
    simulation = await make_zone(make_simulation, count=1)
    moves = count_moves(simulation)
    clock = simulation.processes["i0"].clock
    clock.pause()
    await asyncio.sleep(pause_s)
    clock.resume()
    await asyncio.sleep(2)
    assert count_moves(simulation) == moves
    assert get_state(simulation).upstreams.find("u") is not None


@pytest.mark.looptime(noop_cycles=0)
@pytest.mark.parametrize("fault", ["restart", "freeze"])
async def test_flapping_upstream_does_not_cause_endless_moves(
    make_simulation, fault
):
    """Guards against moving shards each time an upstream flaps."""
    simulation = await make_zone(make_simulation, ("u", "v", "w"))
    counts = []
    for incarnation in range(2, 14):
        before = count_moves(simulation)
        upstream = get_upstream(simulation, "u")
        if fault == "freeze":
            upstream.clock.pause()
        else:
            upstream.die()
        await asyncio.sleep(2.5)
        if fault == "freeze":
            upstream.clock.resume()
        else:
            simulation.upstreams.pop(f"u/{incarnation - 1}")
            simulation.add_upstream("u", incarnation)
        await asyncio.sleep(3.5)
        counts.append(count_moves(simulation) - before)
    assert sum(counts[-6:]) == 0, counts


@pytest.mark.looptime(noop_cycles=0)
async def test_control_gets_shards_back(make_simulation):
    """Guards against releasing a shard that an upstream still owns."""
    simulation = await make_zone(make_simulation)
    keyspace = sharding.format_keyspace("shop", "hold", ())
    entry = simulation.members["i0"]
    long_request = asyncio.create_task(
        simulation.request(entry, "key1", 1.5, 2.0)
    )
    await asyncio.sleep(0.1)
    shard = entry.route("a", "shop", "key1").shard
    simulation.control.delegate(keyspace, SHARDS, releasing=True)
    began_s = simulation.now()

    def is_released():
        return shard in {
            e.shard for e in simulation.control.heartbeats[-1].released
        }

    await simulation.wait(is_released)
    assert simulation.now() - began_s > 1.3, "a request was in flight"
    assert await long_request == "done"
    await simulation.wait(
        lambda: len(simulation.control.heartbeats[-1].released) == SHARDS
    )
    assert not get_upstream(simulation, "u").grants or await simulation.wait(
        lambda: not get_upstream(simulation, "u").grants
    )
    simulation.control.delegate(keyspace, SHARDS, epoch=2)
    await wait_all_local(simulation)
    assert entry.route("a", "shop", "key1").fence >> 40 == 2


@pytest.mark.looptime(noop_cycles=0)
async def test_hot_key_moves_alone(make_simulation):
    """Guards against a hot key having two owners during its move."""
    simulation = await make_zone(make_simulation)
    entry = simulation.members["i1"]
    key = find_key(simulation, "u", entry)
    route = entry.route("a", "shop", key)
    dispatch = entry.begin_dispatch(route, 2.0)
    authority = simulation.members[find_leader(simulation)]._authority
    hot_assignment_key = assignments.AssignmentKey(
        route.keyspace, route.shard, route.key
    )
    authority._planner._hot_key_selector.choose = lambda *args: {
        tuple(hot_assignment_key): 1.0
    }
    begin = messages.BeginMove(
        *hot_assignment_key[:1],
        (hot_assignment_key.shard,),
        "v",
        1,
        "",
        hot_assignment_key.key,
    )
    result = await authority._commit(begin)
    assert isinstance(result, Success)
    await asyncio.sleep(1)
    assert entry.route("a", "shop", key).status == "moving"
    entry.end_dispatch(dispatch)
    await simulation.wait(
        lambda: entry.route("a", "shop", key).status == "local"
    )
    assert entry.route("a", "shop", key).upstream.id == "v"
    shard_assignment = get_state(simulation).assignments.find(
        hot_assignment_key._replace(key="")
    )
    assert shard_assignment.owner.id == "u"


@pytest.mark.looptime(noop_cycles=0)
async def test_hot_key_waits_for_lost_instance(make_simulation):
    """Guards against ignoring requests that a lost instance sent.

    The former owner still runs them: its grant of the whole shard covers the
    hot key.
    """
    simulation = await make_zone(make_simulation)
    lost = next(n for n in simulation.members if n != find_leader(simulation))
    entry = simulation.members[lost]
    key = find_key(simulation, "u", entry)
    route = entry.route("a", "shop", key)
    simulation.network.isolate(lost)
    for upstream in simulation.upstreams.values():
        upstream.members = sorted(set(simulation.members) - {lost})
    refused_s = await simulation.wait(
        lambda: entry.begin_dispatch(route, 2.0) is None
    )
    authority = simulation.members[find_leader(simulation)]._authority
    hot_assignment_key = assignments.AssignmentKey(
        route.keyspace, route.shard, route.key
    )
    authority._planner._hot_key_selector.choose = lambda *args: {
        tuple(hot_assignment_key): 1.0
    }
    begin = messages.BeginMove(
        *hot_assignment_key[:1],
        (hot_assignment_key.shard,),
        "v",
        1,
        "",
        hot_assignment_key.key,
    )
    await authority._commit(begin)
    other = simulation.members[find_leader(simulation)]
    assert other.route("a", "shop", key).status == "moving"
    await simulation.wait(
        lambda: other.route("a", "shop", key).status == "local"
    )
    assert simulation.now() - refused_s >= 2.0


async def replace_leader(simulation):
    """Kills the leader; returns the time at which the next was elected."""
    await simulation.kill_member(find_leader(simulation))
    for upstream in simulation.upstreams.values():
        upstream.members = sorted(simulation.members)
    await simulation.wait(lambda: find_leader(simulation) is not None)
    return simulation.members[
        find_leader(simulation)
    ]._membership.node.elected_at_s


async def wait_key_owned_by(simulation, key, owner):
    """Waits until all members route a key to an upstream."""

    def is_there(member):
        route = member.route("a", "shop", key)
        return route.status == "local" and route.upstream.id == owner

    await simulation.wait(
        lambda: all(map(is_there, simulation.members.values()))
    )


@pytest.mark.looptime(noop_cycles=0)
async def test_new_leader_keeps_hot_keys(make_simulation):
    """Guards against a new leader removing hot keys for lack of rates."""
    simulation = await make_zone(make_simulation)
    entry = simulation.members["i1"]
    key = find_key(simulation, "u", entry)
    route = entry.route("a", "shop", key)
    hot_assignment_key = assignments.AssignmentKey(
        route.keyspace, route.shard, route.key
    )
    authority = simulation.members[find_leader(simulation)]._authority
    authority._planner._hot_key_selector.choose = lambda *args: {
        tuple(hot_assignment_key): 1.0
    }
    begin = messages.BeginMove(
        *hot_assignment_key[:1],
        (hot_assignment_key.shard,),
        "v",
        1,
        "",
        hot_assignment_key.key,
    )
    await authority._commit(begin)
    await wait_key_owned_by(simulation, key, "v")
    elected_s = await replace_leader(simulation)
    state = simulation.members[find_leader(simulation)]._membership.state
    other = simulation.members[find_leader(simulation)]

    def is_moving():
        return other.route("a", "shop", key).status == "moving"

    await simulation.wait(lambda: not is_moving())
    # There are no requests for the key, so it is no longer hot.
    began_s = await simulation.wait(is_moving, 60.0)
    assert began_s - elected_s >= optional_moves.AVERAGING_S
    ended_s = await simulation.wait(lambda: not is_moving())
    assert ended_s - began_s < 1.0, "the move had to wait"
    assert state.assignments.find(hot_assignment_key) is None


@pytest.mark.parametrize("checks_fences", [True, False])
@pytest.mark.looptime(noop_cycles=0)
async def test_new_leader_makes_only_necessary_moves(
    make_simulation, checks_fences
):
    """Guards against rebalancing before a new leader knows leases and loads."""
    simulation = await make_zone(make_simulation, checks_fences=checks_fences)
    elected_s = await replace_leader(simulation)
    simulation.add_upstream("w", 1, checks_fences)
    await start_draining(simulation, "u")
    member = simulation.members[find_leader(simulation)]
    count = count_moves(simulation)
    await simulation.wait(lambda: count_moves(simulation) > count, 2.0)
    await simulation.wait(
        lambda: (
            "u" not in simulation.find_owners(member, "a").values()
            and simulation.all_local(member)
        )
    )
    simulation.add_upstream("x", 1, checks_fences)
    count = count_moves(simulation)
    began_s = await simulation.wait(
        lambda: count_moves(simulation) > count, 90.0
    )
    assert began_s - elected_s >= optional_moves.AVERAGING_S


@pytest.mark.parametrize("event", ["draining", "lost"])
@pytest.mark.looptime(noop_cycles=0)
async def test_beats_count_usable_slots(make_simulation, event):
    """Guards against reporting slots of draining or lost upstreams."""
    simulation = await make_zone(make_simulation)
    assert simulation.control.heartbeats[-1].services[0].slots == 16
    if event == "draining":
        await start_draining(simulation, "u")
    else:
        get_upstream(simulation, "u").die()
    began_s = simulation.now()
    stated_s = await simulation.wait(
        lambda: simulation.control.heartbeats[-1].services[0].slots == 8
    )
    assert simulation.control.heartbeats[-1].services[0].upstreams == 1
    assert stated_s - began_s < 2.5
    # It stays in the table of upstreams for longer.
    assert get_state(simulation).upstreams.find("u") is not None
