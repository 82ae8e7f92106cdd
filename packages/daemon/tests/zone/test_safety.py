"""Tests that a shard never has two owners under injected faults."""

import asyncio
import collections

import pytest

SHARDS = 24
KEYS = 60


async def send_load(simulation, name):
    """Sends requests through one entry instance until it ends."""
    while name in simulation.members:
        member = simulation.members[name]
        key = f"key{simulation.rng.randrange(KEYS)}"
        duration_s = simulation.rng.choice([0.005, 0.05, 0.4, 1.5])
        task = asyncio.create_task(simulation.request(member, key, duration_s))
        simulation.tasks.append(task)
        await asyncio.sleep(0.01)


async def pause(simulation, clock, seconds):
    clock.pause()
    await asyncio.sleep(seconds)
    clock.resume()


def find_leader(simulation):
    for name, member in simulation.members.items():
        node = member._membership.node
        if node is not None and node.is_leader:
            return name
    return None


async def inject_fault(simulation, fault, incarnations):
    """Injects one fault and waits a short time."""
    rng = simulation.rng
    names = sorted(simulation.members)
    upstreams = [u for u in simulation.upstreams.values() if u.alive]
    seconds = rng.choice([0.4, 1.2, 2.5, 5.0])
    match fault:
        case "pause entry":
            await pause(
                simulation,
                simulation.processes[rng.choice(names)].clock,
                seconds,
            )
        case "pause leader":
            leader = find_leader(simulation) or names[0]
            await pause(simulation, simulation.processes[leader].clock, seconds)
        case "pause upstream":
            await pause(simulation, rng.choice(upstreams).clock, seconds)
        case "isolate":
            simulation.network.isolate(rng.choice(names))
            await asyncio.sleep(seconds)
            simulation.network.heal()
        case "restart upstream":
            old = rng.choice(upstreams)
            old.die()
            await asyncio.sleep(rng.choice([0.05, 2.0]))
            incarnations[old.id] += 1
            simulation.add_upstream(
                old.id, incarnations[old.id], old.checks_fences
            )
        case "drain":
            old = rng.choice(upstreams)
            old.state = "draining"
            await asyncio.sleep(3)
            old.die()
            incarnations[old.id] += 1
            simulation.add_upstream(
                old.id, incarnations[old.id], old.checks_fences
            )
        case "restart instance":
            name = rng.choice(names)
            incarnation = simulation.processes[name].identity.incarnation
            await simulation.kill_member(name)
            await asyncio.sleep(rng.choice([0.2, 1.5]))
            await simulation.add_member(name, incarnation + 1)
            simulation.load_tasks.append(
                asyncio.create_task(send_load(simulation, name))
            )
        case "deaf upstream":
            upstream = rng.choice(upstreams)
            upstream.accepts_notices = False
            upstream.state = "draining"
            await asyncio.sleep(seconds)
            upstream.accepts_notices = True
    await asyncio.sleep(rng.choice([0.1, 0.8, 2.5]))


FAULTS = (
    "pause entry",
    "pause leader",
    "isolate",
    "restart upstream",
    "drain",
    "restart instance",
)
# Only for upstreams that check fences: one that does not would, after a pause,
# execute the requests in its socket buffer. Section 2.5 of the design states
# this limitation.
FENCED_FAULTS = (*FAULTS, "pause upstream", "deaf upstream")


@pytest.mark.looptime(noop_cycles=0)
# 7 loses the quorum of the group for good; 8 is listed in KNOWN-RED.txt.
@pytest.mark.parametrize("seed", [0, 1, 2, 7, 8])
@pytest.mark.parametrize("checks_fences", [True, False])
async def test_one_owner_under_faults(make_simulation, checks_fences, seed):
    """Guards against two owners of a key, as seen by the upstreams."""
    simulation = make_simulation(seed=seed)
    simulation.control.add_contract("a", "shop", SHARDS)
    incarnations = {"u": 1, "v": 1, "w": 1}
    for name in incarnations:
        simulation.add_upstream(name, 1, checks_fences)
    for number in range(4):
        await simulation.add_member(f"i{number}")
    await simulation.wait(
        lambda: all(
            simulation.all_local(m) for m in simulation.members.values()
        )
    )
    # Waits until all four are voters: with three, the loss of two would require
    # a new group epoch.
    await asyncio.sleep(4)
    simulation.load_tasks += [
        asyncio.create_task(send_load(simulation, name))
        for name in simulation.members
    ]
    faults = FENCED_FAULTS if checks_fences else FAULTS
    for _ in range(10):
        await inject_fault(
            simulation, simulation.rng.choice(faults), incarnations
        )
    await simulation.wait(
        lambda: all(
            simulation.all_local(m) for m in simulation.members.values()
        ),
        90,
    )
    count = len(simulation.runs)
    await asyncio.sleep(2)
    assert len(simulation.runs) > count, "nothing is served after the faults"
    simulation.check_single_owner()
    assert len({run.fence for run in simulation.runs}) > 3, "nothing moved"
    fences = collections.defaultdict(set)
    for run in simulation.runs:
        fences[run.shard].add(run.fence)
    moved = [shard for shard, each in fences.items() if len(each) > 1]
    assert len(moved) >= SHARDS // 2, "too few shards have moved"
