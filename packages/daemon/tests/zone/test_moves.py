"""Tests of moves between upstreams, and of what they must wait for."""

import asyncio

import pytest
from returns.result import Success

from bamboosill_common import sharding
from bamboosill_common.generated import zone as messages
from bamboosilld.zone import assignments
from bamboosilld.zone import optional
from bamboosilld.zone import times

SHARDS = 16


def get_state(world, name="i0"):
    return world.members[name]._membership.state


def find_leader(world):
    for name, member in world.members.items():
        node = member._membership.node
        if node is not None and node.is_leader and node.has_leader_lease():
            return name
    return None


def count_moves(world):
    """Returns how many moves were started, from the timeline events."""
    return sum(
        event.fields["shards"]
        for member in world.members.values()
        for event in member._timeline.list_events()
        if event.name == "begin_move"
    )


async def make_zone(make_world, upstreams=("u", "v"), count=3, **options):
    """Returns a zone in which all shards have owners."""
    checks_fences = options.pop("checks_fences", True)
    zone_loss = options.pop("zone_loss", "hold")
    world = make_world(**options)
    world.control.add_contract("a", "shop", SHARDS, zone_loss)
    for name in upstreams:
        world.add_upstream(name, 1, checks_fences)
    for number in range(count):
        await world.add_member(f"i{number}")
    await wait_all_local(world)
    # Waits until the new leader may start optional moves.
    await asyncio.sleep(optional.AVERAGING_S + 8)
    return world


async def wait_all_local(world, limit_s=30.0):
    return await world.wait(
        lambda: all(world.all_local(m) for m in world.members.values()),
        limit_s,
    )


async def wait_owned_by(world, name):
    """Waits until one upstream owns all shards; returns the time."""
    return await world.wait(
        lambda: all(
            world.all_local(member)
            and set(world.find_owners(member, "a").values()) == {name}
            for member in world.members.values()
        )
    )


def find_key(world, upstream, member):
    """Returns a key that an upstream owns."""
    return next(
        f"key{number}"
        for number in range(200)
        if member.route("a", "shop", f"key{number}").upstream.id == upstream
    )


def get_upstream(world, name):
    return next(u for u in world.upstreams.values() if u.id == name)


async def start_draining(world, name):
    get_upstream(world, name).state = "draining"


@pytest.mark.looptime(noop_cycles=0)
async def test_leaving_upstream_gets_no_new_work(make_world):
    """Guards against new work for, and aborted work at, a draining upstream."""
    world = await make_zone(make_world)
    entry = world.members["i1"]
    key = find_key(world, "u", entry)
    route = entry.route("a", "shop", key)
    long_request = asyncio.create_task(world.request(entry, key, 6.0, 8.0))
    await asyncio.sleep(0.2)
    await start_draining(world, "u")
    await asyncio.sleep(3)
    for member in world.members.values():
        owners = set(world.find_owners(member, "a").values())
        assert owners == {"v"}, "new work reaches the leaving upstream"
    assert entry.route("a", "shop", key).status == "moving"
    assert entry.begin_dispatch(route, 1.0) is None
    assert await long_request == "done", "a request in flight was interrupted"
    await wait_all_local(world)
    world.check_single_owner()


@pytest.mark.looptime(noop_cycles=0)
@pytest.mark.parametrize("count", [1, 3])
async def test_lost_upstream_is_replaced_within_3_s(make_world, count):
    """Guards against keys that stay without an owner."""
    world = await make_zone(make_world, count=count)
    get_upstream(world, "u").die()
    lost_s = world.now()
    assert await wait_owned_by(world, "v") - lost_s <= 3.0
    await world.wait(lambda: get_state(world).upstreams.find("u") is None)


@pytest.mark.looptime(noop_cycles=0)
async def test_frozen_upstream_starts_anew(make_world):
    """Guards against an upstream using old grants after a pause."""
    world = await make_zone(make_world)
    upstream = get_upstream(world, "u")
    before = dict(upstream.grants)
    upstream.clock.pause()
    await asyncio.sleep(4)
    for keyspace, shard, _ in before:
        value = get_state(world).assignments.find(
            assignments.AssignmentKey(keyspace, shard)
        )
        assert value.owner.id == "v"
        assert value.fence > before[(keyspace, shard, "")]
    fences = list(before.items())
    upstream.clock.resume()
    (keyspace, shard, _), fence = fences[0]
    assert not await upstream.run(keyspace, shard, fence, 0.0)
    announced = upstream.announced
    await world.wait(lambda: upstream.announced > announced)


@pytest.mark.looptime(noop_cycles=0)
async def test_entry_instance_that_lags_delays_the_move(make_world):
    """Guards against an instance dispatching by an outdated assignment."""
    world = await make_zone(make_world, checks_fences=False)
    entry = world.members["i2"]
    key = find_key(world, "u", entry)
    route = entry.route("a", "shop", key)
    world.network.isolate("i2")
    # Stops heartbeats through the isolated instance.
    for upstream in world.upstreams.values():
        upstream.members = ["i0", "i1"]
    await start_draining(world, "u")
    cut_s = world.now()
    refused_s = await world.wait(
        lambda: entry.begin_dispatch(route, 2.0) is None
    )
    assert refused_s - cut_s <= times.SERVE_LEASE_S
    other = world.members["i0"]
    assert other.route("a", "shop", key).status == "moving"
    # Its last request may run for the longest deadline of 2 s.
    await world.wait(lambda: other.route("a", "shop", key).status == "local")
    assert world.now() - refused_s >= 2.0


@pytest.mark.looptime(noop_cycles=0)
async def test_new_leader_waits_for_leases_it_does_not_know(make_world):
    """Guards against a move completing before old serve leases expired."""
    world = await make_zone(make_world, checks_fences=False)
    get_upstream(world, "u").die()
    old = find_leader(world)
    await world.kill_member(old)
    for upstream in world.upstreams.values():
        upstream.members = sorted(world.members)
    await world.wait(lambda: find_leader(world) is not None)
    node = world.members[find_leader(world)]._membership.node
    elected_s = node.elected_at_s
    await wait_owned_by(world, "v")
    wait_s = times.SERVE_LEASE_S + times.MARGIN_S + 2.0
    assert world.now() - elected_s >= wait_s


@pytest.mark.looptime(noop_cycles=0)
async def test_new_leader_waits_for_grants_it_does_not_know(make_world):
    """Guards against a new owner while an unknown grant is still valid."""
    world = await make_zone(make_world)
    old = get_upstream(world, "u")
    await world.wait(lambda: old.lease_expires_s - world.now() > 1.45)
    # The upstream still runs, but sends no more heartbeats.
    old.task.cancel()
    await world.kill_member(find_leader(world))
    await world.wait(lambda: find_leader(world) is not None)
    for upstream in world.upstreams.values():
        upstream.members = sorted(world.members)
    world.add_upstream("u", 2)
    states = [member._membership.state for member in world.members.values()]
    await world.wait(lambda: states[0].upstreams.find("u").incarnation == 2)
    assert world.now() < old.lease_expires_s, "too late to show anything"
    places = [key[:2] for key in old.grants]

    def is_reassigned():
        found = (
            states[0].assignments.resolve(*place, "")[1] for place in places
        )
        return any(each.owner != ("u", 1) for each in found)

    await world.wait(is_reassigned)
    assert world.now() >= old.lease_expires_s


@pytest.mark.looptime(noop_cycles=0)
async def test_unconfirmed_revocation_waits_for_the_grant(make_world):
    """Guards against a move while the former owner's grant is valid."""
    world = await make_zone(make_world)
    upstream = get_upstream(world, "u")
    upstream.accepts_notices = False
    grants = list(upstream.grants)
    await start_draining(world, "u")
    state = get_state(world)

    def list_moved_grants():
        return [
            place
            for place in grants
            if (value := state.assignments.find(place)) is not None
            and value.owner.id == "v"
        ]

    await world.wait(list_moved_grants)
    for keyspace, shard, _ in list_moved_grants():
        held = upstream.grants.get((keyspace, shard, ""))
        assert (
            held is None
            or upstream.clock.monotonic() > upstream.lease_expires_s
        )
    # Heartbeats delivered the new grants before its lease expired.
    await wait_all_local(world)


@pytest.mark.looptime(noop_cycles=0)
@pytest.mark.parametrize("pause_s", [0.5, 1.2, 10.0])
async def test_dispatch_is_refused_after_a_pause(make_world, pause_s):
    """Guards against a resumed instance using an expired lease."""
    world = await make_zone(make_world, count=1)
    entry = world.members["i0"]
    route = entry.route("a", "shop", "key1")
    dispatch = entry.begin_dispatch(route, 2.0)
    assert entry.check_dispatch(dispatch)
    # Simulates a pause: the clock advances and nothing else happens.
    world.processes["i0"].clock.offset_s += pause_s
    expected = pause_s < 0.7
    assert entry.check_dispatch(dispatch) == expected
    assert (entry.begin_dispatch(route, 2.0) is not None) == expected


@pytest.mark.looptime(noop_cycles=0)
@pytest.mark.parametrize(
    ("zone_loss", "serves"), [("hold", True), ("lapse", False)]
)
async def test_zone_that_is_cut_off(make_world, zone_loss, serves):
    """Guards against two zones serving a shard of a `lapse` keyspace."""
    world = await make_zone(make_world, zone_loss=zone_loss)
    entry = world.members["i1"]
    assert await world.request(entry, "key1") == "done"
    world.network.isolate("control")
    cut_s = world.now()
    route = entry.route("a", "shop", "key1")
    upstream = get_upstream(world, route.upstream.id)
    last_s = cut_s
    while world.now() < cut_s + 4:
        dispatch = entry.begin_dispatch(route, 2.0)
        if dispatch is not None:
            entry.end_dispatch(dispatch)
            last_s = world.now()
        if await upstream.run(route.keyspace, route.shard, route.fence, 0):
            last_s = world.now()
        await asyncio.sleep(0.02)
    assert (last_s > cut_s + 3.9) == serves
    if not serves:
        assert last_s <= cut_s + 1.5
        assert entry.route("a", "shop", "key1").status == "moving"
    world.network.heal()
    await wait_all_local(world)


@pytest.mark.looptime(noop_cycles=0)
async def test_silent_connection_moves_no_keys(make_world):
    """Guards against mistaking a broken connection for a dead upstream."""
    world = await make_zone(make_world)
    before = world.find_owners(world.members["i0"], "a")
    moves = count_moves(world)
    failing = messages.UpstreamView("u", 3, 0.0, 0, 0, 500)
    member = world.members["i1"]
    member.set_reporter(
        lambda: type(member._renewal.reporter())(upstreams=(failing,))
    )
    other = next(n for n in ("i1", "i2") if n != find_leader(world))
    world.network.isolate(other)
    for upstream in world.upstreams.values():
        upstream.members = sorted(set(world.members) - {other})
    await asyncio.sleep(8)
    assert count_moves(world) == moves
    found = world.find_owners(world.members[find_leader(world)], "a")
    assert found == before


@pytest.mark.looptime(noop_cycles=0)
@pytest.mark.parametrize("pause_s", [1.0, 3.0])
async def test_paused_leader_declares_no_upstream_lost(make_world, pause_s):
    """Guards against moves caused by a pause of the leader itself."""
    world = await make_zone(make_world, count=1)
    moves = count_moves(world)
    clock = world.processes["i0"].clock
    clock.pause()
    await asyncio.sleep(pause_s)
    clock.resume()
    await asyncio.sleep(2)
    assert count_moves(world) == moves
    assert get_state(world).upstreams.find("u") is not None


@pytest.mark.looptime(noop_cycles=0)
@pytest.mark.parametrize("fault", ["restart", "freeze"])
async def test_flapping_upstream_does_not_cause_endless_moves(
    make_world, fault
):
    """Guards against moving shards each time an upstream flaps."""
    world = await make_zone(make_world, ("u", "v", "w"))
    counts = []
    for incarnation in range(2, 14):
        before = count_moves(world)
        upstream = get_upstream(world, "u")
        if fault == "freeze":
            upstream.clock.pause()
        else:
            upstream.die()
        await asyncio.sleep(2.5)
        if fault == "freeze":
            upstream.clock.resume()
        else:
            world.upstreams.pop(f"u/{incarnation - 1}")
            world.add_upstream("u", incarnation)
        await asyncio.sleep(3.5)
        counts.append(count_moves(world) - before)
    assert sum(counts[-6:]) == 0, counts


@pytest.mark.looptime(noop_cycles=0)
async def test_control_gets_shards_back(make_world):
    """Guards against releasing a shard that an upstream still owns."""
    world = await make_zone(make_world)
    keyspace = sharding.format_keyspace("shop", "hold", ())
    entry = world.members["i0"]
    long_request = asyncio.create_task(world.request(entry, "key1", 1.5, 2.0))
    await asyncio.sleep(0.1)
    shard = entry.route("a", "shop", "key1").shard
    world.control.delegate(keyspace, SHARDS, releasing=True)
    began_s = world.now()

    def is_released():
        return shard in {e.shard for e in world.control.heartbeats[-1].released}

    await world.wait(is_released)
    assert world.now() - began_s > 1.3, "a request was in flight"
    assert await long_request == "done"
    await world.wait(
        lambda: len(world.control.heartbeats[-1].released) == SHARDS
    )
    assert not get_upstream(world, "u").grants or await world.wait(
        lambda: not get_upstream(world, "u").grants
    )
    world.control.delegate(keyspace, SHARDS, epoch=2)
    await wait_all_local(world)
    assert entry.route("a", "shop", "key1").fence >> 40 == 2


@pytest.mark.looptime(noop_cycles=0)
async def test_hot_key_moves_alone(make_world):
    """Guards against a hot key having two owners during its move."""
    world = await make_zone(make_world)
    entry = world.members["i1"]
    key = find_key(world, "u", entry)
    route = entry.route("a", "shop", key)
    dispatch = entry.begin_dispatch(route, 2.0)
    authority = world.members[find_leader(world)]._authority
    hot = assignments.AssignmentKey(route.keyspace, route.shard, route.key)
    authority._planner._hot_key_chooser.choose = lambda *args: {tuple(hot): 1.0}
    begin = messages.BeginMove(*hot[:1], (hot.shard,), "v", 1, "", hot.key)
    result = await authority._commit(begin)
    assert isinstance(result, Success)
    await asyncio.sleep(1)
    assert entry.route("a", "shop", key).status == "moving"
    entry.end_dispatch(dispatch)
    await world.wait(lambda: entry.route("a", "shop", key).status == "local")
    assert entry.route("a", "shop", key).upstream.id == "v"
    value = get_state(world).assignments.find(hot._replace(key=""))
    assert value.owner.id == "u"


@pytest.mark.looptime(noop_cycles=0)
async def test_hot_key_waits_for_lost_instance(make_world):
    """Guards against ignoring requests that a lost instance sent.

    The former owner still runs them: its grant of the whole shard covers the
    hot key.
    """
    world = await make_zone(make_world)
    lost = next(n for n in world.members if n != find_leader(world))
    entry = world.members[lost]
    key = find_key(world, "u", entry)
    route = entry.route("a", "shop", key)
    world.network.isolate(lost)
    for upstream in world.upstreams.values():
        upstream.members = sorted(set(world.members) - {lost})
    refused_s = await world.wait(
        lambda: entry.begin_dispatch(route, 2.0) is None
    )
    authority = world.members[find_leader(world)]._authority
    hot = assignments.AssignmentKey(route.keyspace, route.shard, route.key)
    authority._planner._hot_key_chooser.choose = lambda *args: {tuple(hot): 1.0}
    begin = messages.BeginMove(*hot[:1], (hot.shard,), "v", 1, "", hot.key)
    await authority._commit(begin)
    other = world.members[find_leader(world)]
    assert other.route("a", "shop", key).status == "moving"
    await world.wait(lambda: other.route("a", "shop", key).status == "local")
    assert world.now() - refused_s >= 2.0


async def replace_leader(world):
    """Kills the leader; returns the time at which the next was elected."""
    await world.kill_member(find_leader(world))
    for upstream in world.upstreams.values():
        upstream.members = sorted(world.members)
    await world.wait(lambda: find_leader(world) is not None)
    return world.members[find_leader(world)]._membership.node.elected_at_s


async def wait_key_owned_by(world, key, owner):
    """Waits until all members route a key to an upstream."""

    def is_there(member):
        route = member.route("a", "shop", key)
        return route.status == "local" and route.upstream.id == owner

    await world.wait(lambda: all(map(is_there, world.members.values())))


@pytest.mark.looptime(noop_cycles=0)
async def test_new_leader_keeps_hot_keys(make_world):
    """Guards against a new leader removing hot keys for lack of rates."""
    world = await make_zone(make_world)
    entry = world.members["i1"]
    key = find_key(world, "u", entry)
    route = entry.route("a", "shop", key)
    hot = assignments.AssignmentKey(route.keyspace, route.shard, route.key)
    authority = world.members[find_leader(world)]._authority
    authority._planner._hot_key_chooser.choose = lambda *args: {tuple(hot): 1.0}
    begin = messages.BeginMove(*hot[:1], (hot.shard,), "v", 1, "", hot.key)
    await authority._commit(begin)
    await wait_key_owned_by(world, key, "v")
    elected_s = await replace_leader(world)
    state = world.members[find_leader(world)]._membership.state
    other = world.members[find_leader(world)]

    def is_moving():
        return other.route("a", "shop", key).status == "moving"

    await world.wait(lambda: not is_moving())
    # There are no requests for the key, so it is no longer hot.
    began_s = await world.wait(is_moving, 60.0)
    assert began_s - elected_s >= optional.AVERAGING_S
    ended_s = await world.wait(lambda: not is_moving())
    assert ended_s - began_s < 1.0, "the move had to wait"
    assert state.assignments.find(hot) is None


@pytest.mark.parametrize("checks_fences", [True, False])
@pytest.mark.looptime(noop_cycles=0)
async def test_new_leader_makes_only_necessary_moves(make_world, checks_fences):
    """Guards against optional moves that wait for unknown leases."""
    world = await make_zone(make_world, checks_fences=checks_fences)
    elected_s = await replace_leader(world)
    world.add_upstream("w", 1, checks_fences)
    await start_draining(world, "u")
    member = world.members[find_leader(world)]
    count = count_moves(world)
    await world.wait(lambda: count_moves(world) > count, 2.0)
    await world.wait(
        lambda: (
            "u" not in world.find_owners(member, "a").values()
            and world.all_local(member)
        )
    )
    world.add_upstream("x", 1, checks_fences)
    count = count_moves(world)
    began_s = await world.wait(lambda: count_moves(world) > count, 90.0)
    assert began_s - elected_s >= optional.AVERAGING_S


@pytest.mark.parametrize("event", ["draining", "lost"])
@pytest.mark.looptime(noop_cycles=0)
async def test_beats_count_usable_slots(make_world, event):
    """Guards against reporting slots of draining or lost upstreams."""
    world = await make_zone(make_world)
    assert world.control.heartbeats[-1].services[0].slots == 16
    if event == "draining":
        await start_draining(world, "u")
    else:
        get_upstream(world, "u").die()
    began_s = world.now()
    stated_s = await world.wait(
        lambda: world.control.heartbeats[-1].services[0].slots == 8
    )
    assert world.control.heartbeats[-1].services[0].upstreams == 1
    assert stated_s - began_s < 2.5
    # It stays in the table of upstreams for longer.
    assert get_state(world).upstreams.find("u") is not None
