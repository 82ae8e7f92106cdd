"""Tests of joining, leaving and replacing instances of a zone group."""

import asyncio

import pytest


def count_voters(simulation, name):
    node = simulation.members[name]._membership.node
    return sum(each.voter for each in node.membership.members)


def find_leader(simulation):
    for name, member in simulation.members.items():
        node = member._membership.node
        if node is not None and node.is_leader and node.has_leader_lease():
            return name
    return None


async def start_zone(simulation, count):
    for number in range(count):
        await simulation.add_member(f"i{number}")
        await asyncio.sleep(0.05)
    await simulation.wait(
        lambda: all(m.is_ready()[0] for m in simulation.members.values())
    )


@pytest.mark.looptime(noop_cycles=0)
async def test_up_to_five_voters(make_simulation):
    """Guards against a group losing its state with one instance."""
    simulation = make_simulation()
    simulation.control.add_contract("a", "shop", 16)
    await start_zone(simulation, 7)
    await simulation.wait(lambda: count_voters(simulation, "i0") == 5)
    await asyncio.sleep(3)
    assert count_voters(simulation, "i0") == 5
    members = simulation.members["i6"]._membership.node.membership.members
    assert len(members) == 7


@pytest.mark.looptime(noop_cycles=0)
async def test_lost_voter_is_replaced(make_simulation):
    """Guards against lost voters still counting for the majority."""
    simulation = make_simulation()
    simulation.control.add_contract("a", "shop", 16)
    simulation.add_upstream("u")
    await start_zone(simulation, 3)
    await simulation.wait(lambda: count_voters(simulation, "i0") == 3)
    await simulation.kill_member("i2")
    await simulation.wait(lambda: count_voters(simulation, "i0") == 2)
    await simulation.add_member("i2", 2)
    await simulation.wait(lambda: count_voters(simulation, "i0") == 3)
    await simulation.wait(
        lambda: simulation.all_local(simulation.members["i2"])
    )


@pytest.mark.looptime(noop_cycles=0)
async def test_beats_state_the_voters(make_simulation):
    """Guards against founding a second group beside one with a quorum."""
    simulation = make_simulation()
    simulation.control.add_contract("a", "shop", 16)
    await start_zone(simulation, 6)

    def is_stated(expected):
        beat = simulation.control.heartbeats[-1]
        stated = zip(beat.voters, beat.voter_incarnations, strict=True)
        return sorted(stated) == expected

    first = [(f"i{number}", 1) for number in range(5)]
    await simulation.wait(lambda: is_stated(first))
    await simulation.kill_member("i2")
    await simulation.wait(
        lambda: is_stated([*first[:2], *first[3:], ("i5", 1)])
    )
    await simulation.kill_member("i1")
    await simulation.add_member("i1", 2)
    after = [("i0", 1), ("i1", 2), ("i3", 1), ("i4", 1), ("i5", 1)]
    await simulation.wait(lambda: is_stated(after))


@pytest.mark.looptime(noop_cycles=0)
async def test_leader_lost(make_simulation):
    """Guards against a zone losing its assignments with its leader."""
    simulation = make_simulation()
    simulation.control.add_contract("a", "shop", 16)
    for name in ("u", "v"):
        simulation.add_upstream(name)
    await start_zone(simulation, 3)
    await simulation.wait(lambda: count_voters(simulation, "i0") == 3)
    survivor = simulation.members["i1"]
    await simulation.wait(lambda: simulation.all_local(survivor))
    before = simulation.find_owners(survivor, "a")
    await simulation.kill_member(find_leader(simulation))
    await asyncio.sleep(0.5)
    await simulation.wait(lambda: find_leader(simulation) is not None)
    await simulation.wait(lambda: simulation.all_local(survivor))
    assert simulation.find_owners(survivor, "a") == before


@pytest.mark.looptime(noop_cycles=0)
@pytest.mark.parametrize("fault", ["pause", "isolate", "leader changes"])
async def test_member_that_was_removed_enters_again(make_simulation, fault):
    """Guards against an instance never rejoining after a partition."""
    simulation = make_simulation()
    simulation.control.add_contract("a", "shop", 16)
    simulation.add_upstream("u")
    await start_zone(simulation, 5)
    await simulation.wait(lambda: count_voters(simulation, "i0") == 5)
    name = next(n for n in simulation.members if n != find_leader(simulation))
    survivor = next(
        n
        for n in simulation.members
        if n not in (name, find_leader(simulation))
    )
    if fault == "pause":
        simulation.processes[name].clock.pause()
    else:
        simulation.network.isolate(name)
    await asyncio.sleep(3)
    assert count_voters(simulation, survivor) == 4
    if fault == "leader changes":
        # The isolated instance knows only the former leader.
        await simulation.kill_member(find_leader(simulation))
    await asyncio.sleep(3)
    assert not simulation.members[name].is_ready()[0]
    simulation.network.heal()
    simulation.processes[name].clock.resume()
    await simulation.wait(lambda: simulation.members[name].is_ready()[0])
    await simulation.wait(lambda: count_voters(simulation, survivor) >= 4)
    member = simulation.members[name]._membership.member
    assert member.incarnation == 2, "an old identity could vote twice"


@pytest.mark.looptime(noop_cycles=0)
async def test_next_group_epoch(make_simulation):
    """Guards against instances staying in a replaced group."""
    simulation = make_simulation()
    keyspace = simulation.control.add_contract("a", "shop", 16)
    simulation.add_upstream("u")
    await start_zone(simulation, 3)
    await simulation.wait(
        lambda: simulation.all_local(simulation.members["i1"])
    )
    first = simulation.members["i1"].route("a", "shop", "key1").fence
    seen = []
    simulation.members["i0"].add_contract_listener(
        lambda *each: seen.append(each)
    )
    simulation.control.found_group(2, simulation.processes["i1"].identity)
    simulation.control.delegate(keyspace, 16, epoch=2)

    def is_moved():
        assert simulation.members["i0"].find_contract("a") is not None
        return all(
            member.route("a", "shop", "key1").fence > first
            for member in simulation.members.values()
        )

    await simulation.wait(is_moved)
    groups = {m._membership.group for m in simulation.members.values()}
    assert groups == {"zone/north/2"}
    assert all(contract is not None for _, contract in seen)
    assert simulation.members["i1"].route("a", "shop", "key1").fence >> 40 == 2
