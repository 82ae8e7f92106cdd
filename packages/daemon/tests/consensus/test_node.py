"""Tests of a group, mostly without faults."""

import asyncio

import pytest
from returns.result import Failure
from returns.result import Success

from bamboosill_common.generated import consensus as messages


@pytest.mark.looptime
@pytest.mark.parametrize("names", ["a", "ab", "abc", "abcde"])
async def test_commands_reach_all_members(make_cluster, names):
    """Guards against a group that elects no leader or loses commands."""
    cluster = make_cluster(names)
    await cluster.start_all()
    await cluster.propose_many("x", 20)
    result = await cluster.propose("last")
    assert result.unwrap().value == 21
    await cluster.wait_converged()
    for machine in cluster.machines.values():
        assert machine.commands == cluster.acknowledged
    await cluster.stop_all()


@pytest.mark.looptime
async def test_membership_grows_and_shrinks(make_cluster):
    """Guards against membership changes that have no effect."""
    cluster = make_cluster("a", snapshot_entries=50, trailing_entries=5)
    await cluster.start_all()
    await cluster.propose_many("x", 120)
    for name in "bc":
        await cluster.join(name)
    await cluster.wait_converged()
    for name in "abc":
        assert cluster.machines[name].commands == cluster.acknowledged
    removed = cluster.make_member("a", voter=True)
    await cluster.retry_change(lambda node: node.remove(removed, 2))
    leader = await cluster.wait_leader(among="bc")
    assert isinstance(await cluster.propose("after", name=leader), Success)
    voters = {each.instance for each in cluster.nodes[leader].membership[0]}
    assert voters == {"b", "c"}
    await cluster.stop_all()


@pytest.mark.looptime
async def test_one_change_at_a_time(make_cluster):
    """Guards against two overlapping membership changes."""
    cluster = make_cluster("abc")
    leader = cluster.nodes[await cluster.start_all()]
    results = await asyncio.gather(
        *(
            leader.add_learner(messages.Member(name, 1, f"{name}:1"), 2)
            for name in "de"
        )
    )
    assert isinstance(results[0], Success)
    assert results[1].failure().code == "unavailable"
    await cluster.stop_all()


@pytest.mark.looptime
async def test_follower_refuses(make_cluster):
    """Guards against a member that accepts commands without leading."""
    cluster = make_cluster("abc")
    leader = await cluster.start_all()
    follower = next(name for name in "abc" if name != leader)
    node = cluster.nodes[follower]
    for result in [
        await node.propose(b"x", 1),
        await node.read_barrier(1),
        await node.remove(cluster.make_member("a"), 1),
    ]:
        assert isinstance(result, Failure)
        assert result.failure().code == "not_leader"
        assert not result.failure().applied_unknown
    assert node.leader.instance == leader
    await cluster.stop_all()


@pytest.mark.looptime
async def test_a_member_that_refuses_is_not_sent_the_whole_log(make_cluster):
    """Guards against repeatedly sending the log to a member that refuses it.

    A member restarted without its data under a new incarnation. The leader went
    on sending 200 entries ten times a second to the former incarnation, which
    the member refused.
    """
    cluster = make_cluster("abc")
    await cluster.start_all()
    leader = await cluster.wait_leader(among="ab")
    await cluster.propose_many("x", 100)
    await cluster.stop("c")
    cluster.incarnations["c"] = 7
    await cluster.start("c", bootstrap=False)
    sent = []
    call = cluster.network.call

    async def count(sender, member, request, deadline_s):
        if member.instance == "c" and member.incarnation == 1:
            sent.append(len(getattr(request, "entries", ())))
        return await call(sender, member, request, deadline_s)

    cluster.network.call = count
    await cluster.propose_many("y", 100)
    await asyncio.sleep(5.0)
    assert cluster.nodes[leader].is_leader
    assert sum(sent) < 200
    await cluster.stop_all()
