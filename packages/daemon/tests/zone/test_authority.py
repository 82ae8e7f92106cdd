"""Tests of how a zone leader handles commands and upstream states."""

import asyncio
import random

import pytest

from bamboosill_common import requestid
from bamboosill_common.generated import zone as messages


def find_leader(simulation):
    for name, member in simulation.members.items():
        node = member._membership.node
        if node is not None and node.is_leader and node.has_leader_lease():
            return name
    return None


async def make_zone(make_simulation):
    simulation = make_simulation()
    simulation.control.add_contract("a", "shop", 8)
    for name in ("u", "v"):
        simulation.add_upstream(name)
    for number in range(3):
        await simulation.add_member(f"i{number}")
    await simulation.wait(
        lambda: all(
            simulation.all_local(m) for m in simulation.members.values()
        )
    )
    # Long enough for all members to become voters and for the leader to know
    # the serve lease of each.
    await asyncio.sleep(4)
    follower = next(
        n for n in simulation.members if n != find_leader(simulation)
    )
    return (
        simulation,
        simulation.members[follower],
        simulation.processes[follower].clock,
    )


def make_begin(clock, request_id, shift_ms=0):
    return messages.BeginRequest(
        id=request_id,
        customer="a",
        fingerprint=b"f",
        keyspace="shop/hold/all",
        shard=1,
        instance="i1",
        incarnation=1,
        now_ms=clock.wall_ms() + shift_ms,
    )


@pytest.mark.looptime(noop_cycles=0)
async def test_record_is_seen_by_all_instances(make_simulation):
    """Guards against a second execution through another instance."""
    simulation, follower, clock = await make_zone(make_simulation)
    request_id = requestid.make_request_id(clock.wall_ms(), random.Random(1))
    begin = make_begin(clock, request_id)
    statuses = [
        (await member.propose(begin, 1.0)).unwrap().status
        for member in (follower, *simulation.members.values())
    ]
    assert statuses == ["new", "in_progress", "in_progress", "in_progress"]
    abandon = messages.AbandonRequest(request_id, "a", b"f")
    assert (await follower.propose(abandon, 1.0)).unwrap().ok
    leader = simulation.members[find_leader(simulation)]
    assert (await leader.propose(begin, 1.0)).unwrap().status == "new"
    # A repeated command must not remove the record of the later attempt.
    assert not (await follower.propose(abandon, 1.0)).unwrap().ok
    # The record survives the loss of the leader.
    await simulation.kill_member(leader.name)
    found = (await follower.propose(begin, 5.0)).unwrap()
    assert found.status == "in_progress"


@pytest.mark.looptime(noop_cycles=0)
@pytest.mark.parametrize(
    ("shift_ms", "code"),
    [(0, ""), (1_500, ""), (5_000, "clock"), (-5_000, "clock")],
)
async def test_wrong_clock_begins_no_request(make_simulation, shift_ms, code):
    """Guards against a wrong clock expiring the records of others."""
    _, follower, clock = await make_zone(make_simulation)
    request_id = requestid.make_request_id(clock.wall_ms(), random.Random(1))
    result = await follower.propose(make_begin(clock, request_id, shift_ms), 1)
    if code:
        assert result.failure().code == code
        assert not result.failure().applied_unknown
    else:
        assert result.unwrap().status == "new"


@pytest.mark.looptime(noop_cycles=0)
@pytest.mark.parametrize(
    "command",
    [
        messages.BeginMove("shop/hold/all", (1,), "u", 1),
        messages.FinishMove("shop/hold/all", (1,), 1),
        messages.ApplyFeed(99, True, ()),
        messages.DropUpstream("u", 1),
    ],
)
async def test_members_cannot_send_leader_commands(make_simulation, command):
    """Guards against moves that bypass the waits of the leader."""
    simulation, follower, _ = await make_zone(make_simulation)
    before = simulation.find_owners(follower, "a")
    result = await follower.propose(command, 1.0)
    assert result.failure().code == "forbidden"
    assert simulation.find_owners(follower, "a") == before


@pytest.mark.looptime(noop_cycles=0)
async def test_drained_upstream_stays_drained(make_simulation):
    """Guards against heartbeats or announcements undoing a drain."""
    simulation, follower, _ = await make_zone(make_simulation)
    assert (await follower.drain_upstream("u")).unwrap().ok
    await asyncio.sleep(2)
    upstream = next(u for u in simulation.upstreams.values() if u.id == "u")
    await follower.register_upstream(upstream.message)
    await asyncio.sleep(2)
    assert set(simulation.find_owners(follower, "a").values()) == {"v"}
    states = {each.id: each.state for each in follower.list_upstreams()}
    assert states == {"u": "draining", "v": "warm"}


@pytest.mark.looptime(noop_cycles=0)
async def test_quarantine_is_seen_by_all_instances(make_simulation):
    """Guards against a quarantined request passing another instance."""
    simulation, follower, clock = await make_zone(make_simulation)
    for incarnation in (1, 2):
        report = messages.ReportCrash(
            "u", incarnation, (b"f",), clock.wall_ms()
        )
        await follower.propose(report, 1.0)
    await asyncio.sleep(0.5)
    for member in simulation.members.values():
        found = member.find_quarantine(b"f")
        assert [each[:2] for each in found.crashes] == [("u", 1), ("u", 2)]
        assert member.find_quarantine(b"g") is None


@pytest.mark.looptime(noop_cycles=0)
async def test_explain_names_owner_and_waits(make_simulation):
    """Guards against a key not being served for no visible reason."""
    simulation, follower, _ = await make_zone(make_simulation)
    owner = follower.route("a", "shop", "key1").upstream.id
    document = (await follower.explain_key("a", "shop", "key1")).unwrap()
    assert document["status"] == "owned"
    assert document["owner"]["id"] == owner
    long_request = asyncio.create_task(
        simulation.request(follower, "key1", 1.5)
    )
    await asyncio.sleep(0.1)
    await follower.drain_upstream(owner)
    await asyncio.sleep(0.8)
    document = (await follower.explain_key("a", "shop", "key1")).unwrap()
    assert document["status"] == "moving"
    assert document["waits"] == [f"{follower.name} has not drained"]
    await long_request
