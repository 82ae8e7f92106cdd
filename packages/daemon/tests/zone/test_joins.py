"""Tests of joining, leaving and replacing instances of a zone group."""

import asyncio

import pytest


def count_voters(world, name):
    node = world.members[name]._membership.node
    return sum(each.voter for each in node.membership.members)


def find_leader(world):
    for name, member in world.members.items():
        node = member._membership.node
        if node is not None and node.is_leader and node.has_leader_lease():
            return name
    return None


async def start_zone(world, count):
    for number in range(count):
        await world.add_member(f"i{number}")
        await asyncio.sleep(0.05)
    await world.wait(
        lambda: all(m.is_ready()[0] for m in world.members.values())
    )


@pytest.mark.looptime(noop_cycles=0)
async def test_up_to_five_voters(make_world):
    """Guards against a group losing its state with one instance."""
    world = make_world()
    world.control.add_contract("a", "shop", 16)
    await start_zone(world, 7)
    await world.wait(lambda: count_voters(world, "i0") == 5)
    await asyncio.sleep(3)
    assert count_voters(world, "i0") == 5
    members = world.members["i6"]._membership.node.membership.members
    assert len(members) == 7


@pytest.mark.looptime(noop_cycles=0)
async def test_lost_voter_is_replaced(make_world):
    """Guards against lost voters still counting for the majority."""
    world = make_world()
    world.control.add_contract("a", "shop", 16)
    world.add_upstream("u")
    await start_zone(world, 3)
    await world.wait(lambda: count_voters(world, "i0") == 3)
    await world.kill_member("i2")
    await world.wait(lambda: count_voters(world, "i0") == 2)
    await world.add_member("i2", 2)
    await world.wait(lambda: count_voters(world, "i0") == 3)
    await world.wait(lambda: world.all_local(world.members["i2"]))


@pytest.mark.looptime(noop_cycles=0)
async def test_beats_state_the_voters(make_world):
    """Guards against founding a second group beside one with a quorum."""
    world = make_world()
    world.control.add_contract("a", "shop", 16)
    await start_zone(world, 6)

    def is_stated(expected):
        beat = world.control.heartbeats[-1]
        stated = zip(beat.voters, beat.voter_incarnations, strict=True)
        return sorted(stated) == expected

    first = [(f"i{number}", 1) for number in range(5)]
    await world.wait(lambda: is_stated(first))
    await world.kill_member("i2")
    await world.wait(lambda: is_stated([*first[:2], *first[3:], ("i5", 1)]))
    await world.kill_member("i1")
    await world.add_member("i1", 2)
    after = [("i0", 1), ("i1", 2), ("i3", 1), ("i4", 1), ("i5", 1)]
    await world.wait(lambda: is_stated(after))


@pytest.mark.looptime(noop_cycles=0)
async def test_leader_lost(make_world):
    """Guards against a zone losing its assignments with its leader."""
    world = make_world()
    world.control.add_contract("a", "shop", 16)
    for name in ("u", "v"):
        world.add_upstream(name)
    await start_zone(world, 3)
    await world.wait(lambda: count_voters(world, "i0") == 3)
    survivor = world.members["i1"]
    await world.wait(lambda: world.all_local(survivor))
    before = world.find_owners(survivor, "a")
    await world.kill_member(find_leader(world))
    await asyncio.sleep(0.5)
    await world.wait(lambda: find_leader(world) is not None)
    await world.wait(lambda: world.all_local(survivor))
    assert world.find_owners(survivor, "a") == before


@pytest.mark.looptime(noop_cycles=0)
@pytest.mark.parametrize("fault", ["pause", "isolate", "leader changes"])
async def test_member_that_was_removed_enters_again(make_world, fault):
    """Guards against an instance never rejoining after a partition."""
    world = make_world()
    world.control.add_contract("a", "shop", 16)
    world.add_upstream("u")
    await start_zone(world, 5)
    await world.wait(lambda: count_voters(world, "i0") == 5)
    name = next(n for n in world.members if n != find_leader(world))
    survivor = next(
        n for n in world.members if n not in (name, find_leader(world))
    )
    if fault == "pause":
        world.processes[name].clock.pause()
    else:
        world.network.isolate(name)
    await asyncio.sleep(3)
    assert count_voters(world, survivor) == 4
    if fault == "leader changes":
        # The isolated instance knows only the former leader.
        await world.kill_member(find_leader(world))
    await asyncio.sleep(3)
    assert not world.members[name].is_ready()[0]
    world.network.heal()
    world.processes[name].clock.resume()
    await world.wait(lambda: world.members[name].is_ready()[0])
    await world.wait(lambda: count_voters(world, survivor) >= 4)
    member = world.members[name]._membership.member
    assert member.incarnation == 2, "an old identity could vote twice"


@pytest.mark.looptime(noop_cycles=0)
async def test_next_group_epoch(make_world):
    """Guards against instances staying in a replaced group."""
    world = make_world()
    keyspace = world.control.add_contract("a", "shop", 16)
    world.add_upstream("u")
    await start_zone(world, 3)
    await world.wait(lambda: world.all_local(world.members["i1"]))
    first = world.members["i1"].route("a", "shop", "key1").fence
    seen = []
    world.members["i0"].add_contract_listener(lambda *each: seen.append(each))
    world.control.found_group(2, world.processes["i1"].identity)
    world.control.delegate(keyspace, 16, epoch=2)

    def is_moved():
        assert world.members["i0"].find_contract("a") is not None
        return all(
            member.route("a", "shop", "key1").fence > first
            for member in world.members.values()
        )

    await world.wait(is_moved)
    groups = {m._membership.group for m in world.members.values()}
    assert groups == {"zone/north/2"}
    assert all(contract is not None for _, contract in seen)
    assert world.members["i1"].route("a", "shop", "key1").fence >> 40 == 2
