"""Tests of single protocol rules that random faults rarely exercise."""

import asyncio
import random

import pytest
from returns.result import Failure
from returns.result import Success

from bamboosill_common import events
from bamboosill_common import wire
from bamboosill_common.generated import consensus as messages
from bamboosill_dev import memory_network
from bamboosilld.consensus import core as core_lib
from bamboosilld.consensus import interfaces
from bamboosilld.storage import memory

NAMES = "abc"


class HangingStorage(memory.MemoryStorage):
    """A storage whose writes can hang, optionally with earlier content."""

    def __init__(self, stored=None):
        self.stored = stored
        self.hangs = False
        self.hangs_for_vote = ""

    async def load(self):
        return self.stored or await super().load()

    async def write(self, hard_state, entries):
        voted_for = hard_state is not None and hard_state.voted_for
        if self.hangs or (voted_for and voted_for == self.hangs_for_vote):
            await asyncio.Event().wait()


@pytest.mark.looptime
@pytest.mark.parametrize("hung", [["first", "second"], ["leader", "first"]])
async def test_commit_needs_synced_majority(make_cluster, hung):
    """Guards against committing entries before a majority has synced them."""
    storages = {name: HangingStorage() for name in NAMES}
    cluster = make_cluster(
        NAMES, storages={name: lambda n=name: storages[n] for name in NAMES}
    )
    leader = await cluster.start_all()
    first, second = [name for name in NAMES if name != leader]
    roles = {"leader": leader, "first": first, "second": second}
    await cluster.propose("x")
    for role in hung:
        storages[roles[role]].hangs = True
    result = await cluster.propose("y", 2, leader)
    assert result.failure().code == "unknown"
    assert cluster.machines[leader].commands == ["x"]
    await cluster.stop_all()


@pytest.mark.looptime
async def test_candidate_syncs_its_vote_first(make_cluster):
    """Guards against a candidate whose vote for itself is not durable."""
    storage = HangingStorage()
    storage.hangs_for_vote = "a/1"
    cluster = make_cluster(
        NAMES, storages={"a": lambda: storage}, election_min_s=0.4
    )
    for name in NAMES:
        await cluster.start(name)
        # "b" and "c" start later, so that "a" starts an election first.
        if name == "a":
            await asyncio.sleep(0.39)
    vote_requesters = []
    deliver = cluster.network.call

    async def record_vote_requests(sender, member, request, deadline_s):
        if isinstance(request, messages.RequestVote) and not request.pre_vote:
            vote_requesters.append(sender)
        return await deliver(sender, member, request, deadline_s)

    cluster.network.call = record_vote_requests
    await asyncio.sleep(3)
    assert cluster.nodes["a"].term >= 2
    assert "a" not in vote_requesters
    await cluster.stop_all()


@pytest.mark.looptime
async def test_founding_needs_all_members(make_cluster):
    """Guards against a second bootstrap by members that lost their disks."""
    cluster = make_cluster(NAMES)
    for name in "ab":
        await cluster.start(name)
    await asyncio.sleep(5)
    assert cluster.get_leader() is None
    await cluster.start("c")
    await cluster.wait_leader()
    await cluster.stop_all()


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("unheard_s", "refuses_s"), [(None, 0.41), (0.3, 0.11)]
)
async def test_restarted_member_refuses_votes_at_first(
    make_cluster, unheard_s, refuses_s
):
    """Guards against a vote while a leader's lease may still be valid."""
    membership = messages.Membership(
        tuple(messages.Member(name, 1, f"{name}:1", True) for name in NAMES)
    )
    snapshot = interfaces.Snapshot(5, 2, membership, b"[]")
    stored = interfaces.StoredState(messages.HardState(2, "b/1"), snapshot, ())
    cluster = make_cluster(
        NAMES, storages={"a": lambda: HangingStorage(stored)}
    )
    if unheard_s is not None:
        now_s = asyncio.get_running_loop().time()
        cluster.settings["no_leader_contact_since_s"] = now_s - unheard_s
    node = await cluster.start("a")
    request = messages.RequestVote(
        group="g",
        term=9,
        candidate=cluster.make_member("c"),
        last_index=5,
        last_term=2,
        target=cluster.make_member("a"),
    )
    assert not (await node.handle(request)).granted
    await asyncio.sleep(refuses_s)
    assert (await node.handle(request)).granted
    await cluster.stop_all()


@pytest.mark.looptime
async def test_lease_counts_from_sending(make_cluster):
    """Guards against a lease that is counted from the reply's arrival."""
    cluster = make_cluster(NAMES)
    leader = await cluster.start_all()
    node = cluster.nodes[leader]
    cluster.network.delay_s, cluster.network.jitter = 0.14, 0
    await asyncio.sleep(1)
    for _ in range(100):
        await asyncio.sleep(0.01)
        # A round trip takes 280 ms, which exceeds the lease of 200 ms.
        assert node.is_leader
        assert not node.has_leader_lease()
    await cluster.stop_all()


@pytest.mark.looptime
@pytest.mark.parametrize("stored_index, committed", [(3, 0), (4, 4)])
async def test_commit_needs_entry_of_own_term(stored_index, committed):
    """Guards against committing an entry that can still be replaced."""
    clock = memory_network.PausableClock()
    member, *others = (
        messages.Member(name, 1, f"{name}:1", True) for name in NAMES
    )
    context = core_lib.Context(
        core_lib.GroupConfig("g", member),
        memory.MemoryStorage(),
        None,
        None,
        clock,
        random.Random(1),
        events.Timeline(clock, "a"),
    )
    core = core_lib.Core(
        context,
        interfaces.StoredState(messages.HardState(2, ""), None, ()),
        restarted=False,
    )
    membership = messages.Membership((member, *others))
    core.append(
        [
            messages.LogEntry(1, 1, "membership", wire.encode(membership)),
            messages.LogEntry(2, 2, "command", b""),
            messages.LogEntry(3, 2, "command", b""),
        ]
    )
    core.set_hard_state(4, "a/1")
    core.get_match_index = lambda member_id: stored_index
    core.become_leader()
    core.update_commit()
    assert core.commit_index == committed


@pytest.mark.looptime
async def test_proposal_after_failure_is_refused(make_cluster):
    """Guards against a stopped member that accepts a command."""
    cluster = make_cluster("a")
    await cluster.start_all()
    node = cluster.nodes["a"]
    assert isinstance(await node.propose(b"x", 1), Success)
    await node.stop()
    result = await node.propose(b"y", 1)
    assert isinstance(result, Failure)
    assert result.failure().code == "storage"
    assert not result.failure().applied_unknown
    await cluster.stop_all()
