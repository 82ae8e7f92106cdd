"""Tests of groups under network, disk and process faults."""
# ruff: noqa: ASYNC110

import asyncio
import pathlib
import random

import pytest
from returns.result import Failure
from returns.result import Success

from bamboosill_common import errors
from bamboosill_common.generated import consensus as messages
from bamboosill_dev import memory_files
from bamboosilld.storage import disk
from bamboosilld.storage import memory

NAMES = "abc"


def other_names(name, names=NAMES):
    return [each for each in names if each != name]


class Disks:
    """The disks of a cluster; each start of a member opens a new storage."""

    def __init__(self, names, seed=1):
        rng = random.Random(seed)
        self.files = {
            name: memory_files.MemoryFiles(random.Random(rng.random()))
            for name in names
        }
        self.incarnations = dict.fromkeys(names, 1)

    def open(self, name):
        identity = messages.StorageIdentity("g", name, self.incarnations[name])
        return disk.DiskStorage(
            pathlib.Path("/data"), identity, self.files[name], 4000, False
        )

    def get_makers(self):
        return {name: lambda name=name: self.open(name) for name in self.files}

    def lose(self, name):
        """Replaces a disk with an empty one."""
        self.files[name] = memory_files.MemoryFiles(random.Random(name))


async def crash(cluster, disks, name):
    """Ends a process and loses its unsynced data."""
    await cluster.stop(name)
    disks.files[name].crash()


@pytest.mark.looptime
async def test_isolated_leader(make_cluster):
    """Guards against an isolated leader that goes on acting as leader."""
    cluster = make_cluster(NAMES)
    old = await cluster.start_all()
    await cluster.propose_many("x", 5)
    node = cluster.nodes[old]
    cluster.network.isolate(old, NAMES)
    proposal = asyncio.create_task(node.propose(b"lost", 3))
    read = asyncio.create_task(node.read_barrier(3))
    await asyncio.sleep(0.3)
    assert not node.has_leader_lease()
    await asyncio.sleep(0.3)
    assert not node.is_leader
    new = await cluster.wait_leader(among=other_names(old))
    await cluster.propose("y", name=new)
    result = await proposal
    assert result.failure().code == "unknown"
    assert result.failure().applied_unknown
    assert isinstance(await read, Failure)
    cluster.network.heal()
    await cluster.wait_converged()
    assert all(
        "lost" not in each.commands for each in cluster.machines.values()
    )
    cluster.check_history()
    await cluster.stop_all()


@pytest.mark.looptime
async def test_lease_ends_before_another_leader(make_cluster):
    """Guards against two members that hold a leader lease at once."""
    cluster = make_cluster(NAMES)
    leader = await cluster.start_all()
    for _ in range(4):
        cluster.network.isolate(leader, NAMES)
        old = cluster.nodes[leader]
        while not any(
            cluster.nodes[name].is_leader for name in other_names(leader)
        ):
            await asyncio.sleep(0.001)
        assert not old.has_leader_lease()
        cluster.network.heal()
        await asyncio.sleep(1)
        leader = await cluster.wait_leader()
    await cluster.stop_all()


@pytest.mark.looptime
@pytest.mark.parametrize("one_way", ["", "in", "out"])
async def test_returning_member_keeps_term_and_leader(make_cluster, one_way):
    """Guards against a term or leader that changes when a member returns."""
    cluster = make_cluster(NAMES)
    leader = await cluster.start_all()
    term = cluster.nodes[leader].term
    name = other_names(leader)[0]
    cluster.network.isolate(name, NAMES)
    for other in other_names(name):
        if one_way == "in":
            cluster.network.cuts.discard((name, other))
        if one_way == "out":
            cluster.network.cuts.discard((other, name))
    await cluster.propose_many("x", 5)
    await asyncio.sleep(20)
    assert cluster.nodes[name].term == term
    cluster.network.heal()
    await cluster.wait_converged()
    assert cluster.nodes[leader].is_leader
    assert {each.term for each in cluster.nodes.values()} == {term}
    cluster.check_history()
    await cluster.stop_all()


@pytest.mark.looptime
@pytest.mark.parametrize("direction", ["in", "out", "partial"])
async def test_leader_cut_one_way(make_cluster, direction):
    """Guards against a partly connected leader that blocks the group."""
    cluster = make_cluster(NAMES)
    old = await cluster.start_all()
    term = cluster.nodes[old].term
    first, second = other_names(old)
    if direction == "partial":
        cluster.network.isolate(first, [old])
    for other in (first, second):
        if direction == "in":
            cluster.network.cut(other, old)
        if direction == "out":
            cluster.network.cut(old, other)
    await asyncio.sleep(5)
    # A leader without a majority is replaced, one with a majority is not.
    assert cluster.nodes[old].is_leader == (direction == "partial")
    if direction == "partial":
        assert cluster.nodes[old].term == term
    assert isinstance(await cluster.propose("x"), Success)
    cluster.network.heal()
    await cluster.wait_converged()
    cluster.check_history()
    await cluster.stop_all()


@pytest.mark.looptime
async def test_later_term_is_ignored_while_leader_is_heard(make_cluster):
    """Guards against a candidate that deposes a reachable leader."""
    cluster = make_cluster(NAMES)
    leader = await cluster.start_all()
    term = cluster.nodes[leader].term
    for name in NAMES:
        request = messages.RequestVote(
            group="g",
            term=term + 7,
            candidate=cluster.make_member("d"),
            last_index=10**6,
            last_term=10**6,
            target=cluster.make_member(name),
        )
        reply = await cluster.nodes[name].handle(request)
        assert reply == messages.VoteReply(term, False)
    assert cluster.nodes[leader].is_leader
    await cluster.stop_all()


@pytest.mark.looptime
async def test_removed_member_keeps_term_and_leader(make_cluster):
    """Guards against a removed member that forces elections."""
    cluster = make_cluster(NAMES)
    leader = await cluster.start_all()
    term = cluster.nodes[leader].term
    name = other_names(leader)[0]
    member = cluster.make_member(name)
    result = await cluster.nodes[leader].remove(member, 5)
    assert isinstance(result, Success)
    await asyncio.sleep(10)
    assert cluster.nodes[leader].is_leader
    assert cluster.nodes[leader].term == term
    assert not cluster.nodes[name].is_leader
    await cluster.stop_all()


@pytest.mark.looptime
async def test_paused_leader(make_cluster):
    """Guards against a paused process that acts on a lease or a stale read."""
    cluster = make_cluster(NAMES)
    old = await cluster.start_all()
    await cluster.propose("x")
    node = cluster.nodes[old]
    cluster.clocks[old].pause()
    cluster.network.isolate(old, NAMES)
    new = await cluster.wait_leader(among=other_names(old))
    await cluster.propose("y", name=new)
    assert node.is_leader
    cluster.clocks[old].resume()
    assert not node.has_leader_lease()
    read = asyncio.create_task(node.read_barrier(1))
    proposal = asyncio.create_task(node.propose(b"z", 1))
    await asyncio.sleep(0)
    cluster.network.heal()
    assert isinstance(await read, Failure)
    assert isinstance(await proposal, Failure)
    await cluster.wait_converged()
    cluster.check_history()
    await cluster.stop_all()


@pytest.mark.looptime
async def test_read_needs_answers_to_a_later_round(make_cluster):
    """Guards against a read confirmed by replies to earlier heartbeats."""
    cluster = make_cluster(NAMES)
    leader = await cluster.start_all()
    node = cluster.nodes[leader]
    await cluster.propose("x")
    cluster.network.delay_s = 0.05
    await asyncio.sleep(0.2)
    # Replies to heartbeats are still in flight when the cut begins.
    for name in other_names(leader):
        cluster.network.cut(leader, name)
    assert isinstance(await node.read_barrier(0.3), Failure)
    await cluster.stop_all()


@pytest.mark.looptime
async def test_read_includes_what_predecessor_committed(make_cluster):
    """Guards against a read by a new leader that does not know all commits."""
    cluster = make_cluster(NAMES)
    old = await cluster.start_all()
    reads = []

    async def read(name):
        node = cluster.nodes[name]
        if isinstance(await node.read_barrier(5), Success):
            reads.append(list(cluster.machines[name].commands))

    for name in other_names(old):
        cluster.nodes[name].add_leadership_listener(
            lambda is_leader, name=name: (
                is_leader and asyncio.ensure_future(read(name))
            )
        )
    await cluster.propose("x")
    # The followers have "x" but have not heard that it is committed.
    cluster.network.isolate(old, NAMES)
    await cluster.wait_leader(among=other_names(old))
    await asyncio.sleep(1)
    assert reads and all(each == ["x"] for each in reads)
    await cluster.stop_all()


@pytest.mark.looptime
async def test_command_replaced_after_leadership_loss(make_cluster):
    """Guards against "unknown" for a command that certainly did not run."""
    cluster = make_cluster(NAMES, election_max_s=0.5)
    old = await cluster.start_all()
    cluster.network.isolate(old, NAMES)
    node = cluster.nodes[old]
    proposal = asyncio.create_task(node.propose(b"lost", 5))
    new = await cluster.wait_leader(among=other_names(old))
    await cluster.propose("y", name=new)
    cluster.network.heal()
    result = await proposal
    assert result.failure().code == "not_leader"
    assert not result.failure().applied_unknown
    await cluster.stop_all()


@pytest.mark.looptime
async def test_request_for_former_incarnation(make_cluster):
    """Guards against a new incarnation that acknowledges for the former one."""
    cluster = make_cluster(NAMES)
    leader = await cluster.start_all()
    name = other_names(leader)[0]
    await cluster.stop(name)
    old = cluster.make_member(name)
    cluster.incarnations[name] += 1
    node = await cluster.start(name, bootstrap=False)
    request = messages.AppendEntries(
        group="g",
        term=9,
        leader=cluster.make_member(leader),
        target=old,
    )
    with pytest.raises(errors.HandlerError) as caught:
        await node.handle(request)
    assert caught.value.code == "wrong_member"
    await cluster.propose_many("x", 3)
    assert node.term == 0
    await cluster.stop_all()


@pytest.mark.looptime
async def test_leader_lost_right_after_a_member_was_replaced(make_cluster):
    """Guards against a replacement that leaves data on too few members."""
    cluster = make_cluster(NAMES, snapshot_entries=40, trailing_entries=5)
    for round_number in range(4):
        if not cluster.nodes:
            await cluster.start_all()
        await cluster.propose_many(f"r{round_number}-", 50)
        leader = await cluster.wait_leader()
        lost = other_names(leader)[round_number % 2]
        old = cluster.make_member(lost)
        await cluster.stop(lost)
        await cluster.retry_change(lambda node, old=old: node.remove(old, 2))
        await cluster.join(lost)
        # The leader is lost right after the replacement is acknowledged.
        old = cluster.make_member(leader)
        await cluster.stop(leader)
        await cluster.wait_leader()
        await cluster.retry_change(lambda node, old=old: node.remove(old, 2))
        await cluster.join(leader)
        await cluster.wait_converged()
        cluster.check_history()
    await cluster.stop_all()


@pytest.mark.looptime
async def test_promotion_needs_caught_up_learner(make_cluster):
    """Guards against a voter with an empty log that stalls the group."""
    cluster = make_cluster("a", snapshot_entries=10**6)
    await cluster.start_all()
    await cluster.propose_many("x", 100)
    await cluster.start("b", bootstrap=False)
    cluster.network.isolate("b", "a")
    node = cluster.nodes["a"]
    learner = cluster.make_member("b")
    assert isinstance(await node.add_learner(learner, 2), Success)
    result = await node.promote(learner, 2)
    assert result.failure().code == "unavailable"
    assert isinstance(await cluster.propose("y"), Success)
    cluster.network.heal()
    await cluster.wait_converged()
    assert isinstance(await node.promote(learner, 2), Success)
    await cluster.stop_all()


@pytest.mark.looptime
async def test_all_processes_lost(make_cluster):
    """Guards against losing acknowledged commands when all processes crash."""
    disks = Disks(NAMES)
    cluster = make_cluster(
        NAMES, storages=disks.get_makers(), snapshot_entries=30
    )
    await cluster.start_all()
    for number in range(5):
        await cluster.propose_many(f"r{number}-", 20)
        term = max(each.term for each in cluster.nodes.values())
        for name in NAMES:
            await crash(cluster, disks, name)
        await cluster.start_all()
        assert max(each.term for each in cluster.nodes.values()) > term
        await cluster.wait_converged()
        cluster.check_history()
    await cluster.stop_all()


@pytest.mark.looptime
@pytest.mark.parametrize("names, count", [("abc", 1), ("abcde", 2)])
async def test_minority_of_disks_lost(make_cluster, names, count):
    """Guards against a member with an empty disk that acknowledges or votes.

    The members start with the settings that founded the group.
    """
    disks = Disks(names)
    cluster = make_cluster(names, storages=disks.get_makers())
    leader = await cluster.start_all()
    behind = other_names(leader, names)[-1]
    cluster.network.isolate(behind, names)
    await cluster.propose_many("x", 20)
    lost = other_names(leader, names)[:count]
    for name in lost:
        await crash(cluster, disks, name)
        disks.lose(name)
    await crash(cluster, disks, leader)
    cluster.network.heal()
    # Only members that lost their disk or lag behind are running now; they
    # must not elect a leader that lacks the commands.
    for name in lost:
        await cluster.start(name)
    await asyncio.sleep(20)
    assert cluster.get_leader() is None or count == 2
    await cluster.start(leader)
    await cluster.wait_leader()
    for name in lost:
        old = cluster.make_member(name)
        await cluster.stop(name)
        await cluster.retry_change(lambda node, old=old: node.remove(old, 2))
        disks.lose(name)
        disks.incarnations[name] += 1
        await cluster.join(name)
    await cluster.wait_converged()
    cluster.check_history()
    await cluster.stop_all()


@pytest.mark.looptime
async def test_restart_catches_up_by_snapshot(make_cluster):
    """Guards against a member that cannot catch up after log compaction."""
    disks = Disks(NAMES)
    cluster = make_cluster(
        NAMES,
        storages=disks.get_makers(),
        snapshot_entries=100,
        trailing_entries=10,
        snapshot_chunk_bytes=100,
    )
    leader = await cluster.start_all()
    name = other_names(leader)[0]
    await crash(cluster, disks, name)
    await cluster.propose_many("x", 400)
    calls = cluster.network.calls
    calls.clear()
    await cluster.start(name)
    await cluster.wait_converged()
    assert calls["InstallSnapshot"] > 10
    assert cluster.machines[name].commands == cluster.acknowledged
    await crash(cluster, disks, name)
    await cluster.start(name)
    await cluster.wait_converged()
    cluster.check_history()
    await cluster.stop_all()


@pytest.mark.looptime
async def test_full_disk(make_cluster):
    """Guards against a member that votes or acknowledges with a full disk."""
    disks = Disks(NAMES)
    cluster = make_cluster(
        NAMES, storages=disks.get_makers(), snapshot_entries=50
    )
    leader = await cluster.start_all()
    disks.files[leader].space_bytes = 5000
    while not cluster.nodes[leader].failure:
        await cluster.propose("x" + str(len(cluster.acknowledged)), 1)
    node = cluster.nodes[leader]
    assert not node.is_leader
    assert (await node.propose(b"x", 1)).failure().code == "storage"
    request = messages.RequestVote(
        group="g",
        term=node.term + 1,
        candidate=cluster.make_member("b"),
        last_index=10**6,
        last_term=10**6,
        target=cluster.make_member(leader),
    )
    with pytest.raises(errors.HandlerError) as caught:
        await node.handle(request)
    assert caught.value.code == "storage"
    new = await cluster.wait_leader(among=other_names(leader))
    await cluster.propose("y", name=new)
    await crash(cluster, disks, leader)
    await cluster.start(leader)
    await cluster.wait_converged()
    cluster.check_history()
    await cluster.stop_all()


@pytest.mark.looptime
@pytest.mark.parametrize("torn", [False, True])
async def test_failure_at_each_write(make_cluster, torn):
    """Guards against an acknowledged command lost by a failed write.

    Each operation of the disk of one member fails once; then the member and
    another one crash, so that the commands must be on the disk of this one.
    """
    for fail_after in range(0, 75, 3):
        disks = Disks(NAMES, seed=fail_after)
        cluster = make_cluster(
            NAMES,
            seed=fail_after,
            storages=disks.get_makers(),
            snapshot_entries=8,
            trailing_entries=2,
        )
        leader = await cluster.start_all()
        name = leader if fail_after % 2 else other_names(leader)[0]
        files = disks.files[name]
        files.fail_at, files.fail_torn = files.operations + fail_after, torn
        for number in range(20):
            if cluster.get_leader() is None:
                await cluster.wait_leader()
            await cluster.propose(f"x{number}", 1)
        for each in [name, other_names(name)[0]]:
            await crash(cluster, disks, each)
        await cluster.start(name)
        await cluster.wait_leader()
        await cluster.start(other_names(name)[0])
        await cluster.wait_converged()
        cluster.check_history()
        await cluster.stop_all()


@pytest.mark.looptime
async def test_lossy_network(make_cluster):
    """Guards against pipelined entries that are lost or applied twice."""
    cluster = make_cluster(NAMES, snapshot_entries=100, trailing_entries=10)
    await cluster.start_all()
    cluster.network.drop_rate = 0.1
    cluster.network.delay_s = 0.01
    for number in range(40):
        names = [f"{number}-{each}" for each in range(10)]
        if cluster.get_leader() is None:
            await cluster.wait_leader()
        await asyncio.gather(*(cluster.propose(name) for name in names))
    cluster.network.heal()
    await cluster.wait_converged()
    assert len(cluster.acknowledged) > 200
    cluster.check_history()
    await cluster.stop_all()


@pytest.mark.looptime
async def test_propose_takes_one_round_trip(make_cluster):
    """Guards against a proposal that waits for the reply to an earlier one."""
    cluster = make_cluster(NAMES)
    await cluster.start_all()
    cluster.network.delay_s = 0.01
    await cluster.propose_many("w", 2)
    cluster.network.jitter = 0
    loop = asyncio.get_running_loop()

    async def propose_after(delay_s):
        await asyncio.sleep(delay_s)
        sent_s = loop.time()
        assert isinstance(await cluster.propose(f"{delay_s}"), Success)
        return loop.time() - sent_s

    durations_s = await asyncio.gather(
        *(propose_after(number * 0.005) for number in range(8))
    )
    # Virtual time: one round trip takes 20 ms.
    assert max(durations_s) <= 0.021
    await cluster.stop_all()


@pytest.mark.looptime
async def test_removal_that_leaves_no_majority(make_cluster):
    """Guards against a removal that leaves the group without a majority."""
    cluster = make_cluster(NAMES)
    leader = await cluster.start_all()
    lost, running = other_names(leader)
    await cluster.stop(lost)
    await asyncio.sleep(0.5)
    node = cluster.nodes[leader]
    result = await node.remove(cluster.make_member(running), 1)
    assert result.failure().code == "unavailable"
    assert isinstance(await node.remove(cluster.make_member(lost), 1), Success)
    assert isinstance(await cluster.propose("x"), Success)
    await cluster.stop_all()


@pytest.mark.looptime
async def test_election_during_removal_of_leader(make_cluster):
    """Guards against a group stuck on a leader's uncommitted removal.

    Only the leader's log is recent enough to win an election, although its own
    latest membership no longer includes it.
    """
    cluster = make_cluster("abcd")
    leader = await cluster.start_all()
    await cluster.stop(other_names(leader, "abcd")[0])
    cluster.network.isolate(leader, "abcd")
    node = cluster.nodes[leader]
    result = await node.remove(cluster.make_member(leader), 3)
    assert isinstance(result, Failure)
    cluster.network.heal()
    # The removal is committed by the leader itself, which then steps down.
    await cluster.wait_leader(among=other_names(leader, "abcd"))
    assert isinstance(await cluster.propose("x"), Success)
    assert leader not in {each.instance for each in node.membership.members}
    await cluster.stop_all()


class SlowStorage(memory.MemoryStorage):
    """A storage whose writes take longer than the election timeout."""

    async def write(self, hard_state, entries):
        await asyncio.sleep(1.0 if entries else 0)


@pytest.mark.looptime
async def test_slow_disks_cause_no_election(make_cluster):
    """Guards against elections caused by slow syncs."""
    cluster = make_cluster(NAMES, storages=dict.fromkeys(NAMES, SlowStorage))
    leader = await cluster.start_all()
    term = cluster.nodes[leader].term
    await cluster.propose_many("x", 5)
    await cluster.wait_converged()
    assert cluster.nodes[leader].is_leader
    assert cluster.nodes[leader].term == term
    cluster.check_history()
    await cluster.stop_all()


@pytest.mark.looptime
@pytest.mark.parametrize("restart", [False, True])
async def test_one_vote_in_a_term(make_cluster, restart):
    """Guards against two votes in a term, also across a crash."""
    disks = Disks(NAMES)
    cluster = make_cluster(NAMES, storages=disks.get_makers())
    await cluster.start("a")
    granted = []
    for candidate in ["b", "c", "b"]:
        request = messages.RequestVote(
            group="g",
            term=5,
            candidate=cluster.make_member(candidate),
            last_index=1,
            last_term=1,
            target=cluster.make_member("a"),
        )
        reply = await cluster.nodes["a"].handle(request)
        granted.append(reply.granted)
        if restart:
            await crash(cluster, disks, "a")
            await cluster.start("a")
            await asyncio.sleep(0.5)
    assert granted == [True, False, True]
    await cluster.stop_all()


@pytest.mark.looptime
@pytest.mark.parametrize("last", [(1, 1), (1, 4), (30, 1)])
async def test_no_vote_for_older_log(make_cluster, last):
    """Guards against a leader whose log lacks committed entries."""
    disks = Disks(NAMES)
    cluster = make_cluster(NAMES, storages=disks.get_makers())
    leader = await cluster.start_all()
    await cluster.propose_many("x", 5)
    await cluster.wait_converged()
    name = other_names(leader)[0]
    node = cluster.nodes[name]
    cluster.network.isolate(name, NAMES)
    await asyncio.sleep(1)
    request = messages.RequestVote(
        group="g",
        term=node.term + 1,
        candidate=cluster.make_member("d"),
        last_index=last[0],
        last_term=1 if last[1] == 1 else node.term,
        target=cluster.make_member(name),
    )
    for pre_vote in (True, False):
        reply = await node.handle(request._replace(pre_vote=pre_vote))
        assert not reply.granted
    await cluster.stop_all()
