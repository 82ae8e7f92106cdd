"""Replication of the fleet's state to entry instances: feed and follower."""

import asyncio
import logging

import pytest
from returns.result import Failure
from returns.result import Success

from bamboosill_common import errors
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.consensus import change_notifier
from bamboosilld.fleet import follower as follower_lib
from bamboosilld.fleet import replication_feed as replication_feed_lib
from bamboosilld.fleet import state as state_lib

from .conftest import Clock
from .conftest import make_configuration
from .conftest import make_item


class _Directory:
    """Control instances by address.

    A feed answers polls; a string is the address of the leader that the
    instance names; an instance that is missing does not answer.
    """

    def __init__(self, members):
        self.members = members
        self.asked = []

    async def call(self, address, request, reply_type, *timeouts_s):
        self.asked.append(address)
        await asyncio.sleep(0)
        member = self.members.get(address)
        if member is None:
            return Failure(errors.PeerError("timeout", address, True))
        if isinstance(member, str):
            return Failure(
                errors.PeerError("not_leader", f"not_leader: {member}", True)
            )
        return Success(await member.answer(request))


def _make_leader(*commands):
    state = state_lib.FleetState()
    for index, command in enumerate(commands, 1):
        state.apply(index, wire.pack(command))
    return state, _make_feed(state, Clock())


def _make_feed(state, clock):
    return replication_feed_lib.Feed(
        state,
        change_notifier.ChangeNotifier(),
        clock,
        lambda: replication_feed_lib.EncodedStats(state.revision, b"l", b"p"),
    )


def _make_follower(directory):
    return follower_lib.Follower(
        "e1",
        directory,
        Clock(),
        lambda: ("c1", "c2", "c3"),
        follower_lib.Measurements,
        lambda loads: None,
    )


async def _run_until(follower, predicate):
    task = asyncio.create_task(follower.run())
    try:
        async with asyncio.timeout(10):
            for _ in range(10_000):
                if predicate():
                    return
                await asyncio.sleep(0.001)
        raise AssertionError(
            "the follower did not reach the expected state in time"
        )
    finally:
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)


@pytest.mark.parametrize(
    "others", [{"c2": "c1", "c3": "c1"}, {"c2": "c3", "c3": "c1"}, {}]
)
async def test_the_leader_is_found_from_any_member(others):
    """Guards against an entry instance that finds no leader."""
    state, feed = _make_leader(make_configuration())
    follower = _make_follower(_Directory({"c1": feed, **others}))
    await _run_until(follower, lambda: follower.is_synced)
    assert follower.state.snapshot() == state.snapshot()


async def test_a_configuration_in_force_is_logged_with_how_it_came(caplog):
    """Guards against a late configuration that no log line explains."""
    caplog.set_level(logging.INFO)
    state, feed = _make_leader(make_configuration())
    follower = _make_follower(_Directory({"c1": feed}))
    await _run_until(follower, lambda: follower.is_synced)
    state.apply(2, wire.pack(make_configuration(2, 1)))
    await _run_until(follower, lambda: follower.state.revision == 2)
    lines = [each for each in caplog.records if hasattr(each, "poll_ms")]
    assert [each.args for each in lines] == [(1, 0), (2, 1)]
    assert [each.content for each in lines] == ["snapshot", "packed"]


async def test_the_reason_for_leaving_a_leader_is_logged(caplog):
    """Guards against taking a slow leader for one that was replaced."""
    caplog.set_level(logging.INFO)
    _, feed = _make_leader(make_configuration())
    directory = _Directory({"c1": feed})
    follower = _make_follower(directory)
    await _run_until(follower, lambda: follower.is_synced)
    directory.members = {}
    await _run_until(follower, lambda: "does not answer" in caplog.text)
    assert "Reason: timeout." in caplog.text


async def test_a_copy_does_not_revert_to_an_older_revision():
    """Guards against a copy that reverts to an older state of a member."""
    _, old = _make_leader(make_configuration())
    state, new = _make_leader(
        make_configuration(),
        make_configuration(2, 1),
        messages.SetUpstreams(upstreams=(make_item("u1"),)),
    )
    directory = _Directory({"c1": new, "c2": "c1", "c3": "c1"})
    follower = _make_follower(directory)
    await _run_until(follower, lambda: follower.state.revision == 3)
    directory.members = {"c1": old, "c2": old, "c3": old}
    directory.asked.clear()
    await _run_until(follower, lambda: len(directory.asked) > 2)
    assert follower.state.snapshot() == state.snapshot()


async def test_changes_arrive_as_commands():
    """Guards against sending a whole snapshot for each change."""
    state, feed = _make_leader(make_configuration())
    follower = _make_follower(_Directory({"c1": feed}))
    await _run_until(follower, lambda: follower.is_synced)
    change = messages.SetUpstreams(upstreams=(make_item("u1"),))
    state.apply(2, wire.pack(change))
    reply = await feed.answer(messages.Follow(revision=1, instance="e1"))
    assert not reply.snapshot
    assert [each.revision for each in reply.commands] == [2]
    assert reply.entry_count == 1


async def test_a_copy_far_behind_gets_a_snapshot():
    """Guards against a poll for commands that the feed no longer keeps."""
    state, feed = _make_leader(make_configuration())
    for index in range(2, 700):
        item = make_item("u1", slots=index)
        change = messages.SetUpstreams(upstreams=(item,))
        state.apply(index, wire.pack(change))
    reply = await feed.answer(messages.Follow(revision=1, instance="e1"))
    assert reply.snapshot
    assert not reply.commands


@pytest.mark.parametrize("takes_packed", [True, False])
async def test_commands_are_sent_packed_or_plain(takes_packed):
    """Guards against sending compressed commands to older entry instances."""
    state, feed = _make_leader(make_configuration())
    items = tuple(make_item(f"u{number}") for number in range(9))
    state.apply(2, wire.pack(messages.SetUpstreams(upstreams=items)))
    reply = await feed.answer(
        messages.Follow(revision=1, instance="e1", takes_packed=takes_packed)
    )
    assert bool(reply.packed) == takes_packed
    commands = reply.commands
    if reply.packed:
        size = sum(len(each.command) for each in state.list_commands(1))
        assert len(reply.packed) < size / 2
        commands = replication_feed_lib.unpack_commands(reply.packed)
    assert [each.revision for each in commands] == [2]
    assert commands[0].command == state.list_commands(1)[0].command


@pytest.mark.parametrize("data", [b"", b"junk", b"x\x9c\x01"])
def test_bad_packed_commands_are_refused(data):
    """Guards against bad bytes that end the task of the follower."""
    with pytest.raises(wire.DecodeError):
        replication_feed_lib.unpack_commands(data)


async def test_loads_and_relative_latencies_are_sent_at_intervals():
    """Guards against links saturated by loads that have hardly changed.

    It happened when each of 77 entry instances got the loads of all 335
    upstreams with each change of a key range.
    """
    state, _ = _make_leader(make_configuration())
    clock = Clock()
    feed = _make_feed(state, clock)
    sent = []
    for _ in range(10):
        reply = await feed.answer(messages.Follow(instance="e1"))
        sent.append(bool(reply.loads))
        clock.now_s += 0.1
    assert sent[0]
    assert 2 <= sum(sent) <= 3


@pytest.mark.parametrize(("entries", "answers"), [(1, 10), (100, 2)])
async def test_many_instances_get_changes_together(entries, answers):
    """Guards against links saturated by a reply for each change.

    It happened with 77 entry instances that got 19 replies a second each: the
    feed caused 44 of 57 MB of traffic between zones.
    """
    state, _ = _make_leader(make_configuration())
    clock = Clock()
    feed = _make_feed(state, clock)
    for number in range(entries):
        await feed.answer(messages.Follow(instance=f"e{number}"))
    count, revision, begun_s = 0, 1, clock.now_s
    while state.revision < 21:
        # One change every 20 ms.
        due = int((clock.now_s - begun_s) / 0.02) + 2
        for index in range(state.revision + 1, due + 1):
            state.apply(index, wire.pack(messages.SetUpstreams()))
        if state.revision > revision:
            reply = await feed.answer(
                messages.Follow(revision=revision, instance="e0")
            )
            assert reply.revision == state.revision
            revision = reply.revision
            count += 1
        clock.now_s += 0.02
    assert count >= answers
    assert count <= answers * 2


async def test_a_new_leader_does_not_enlarge_the_parts_of_shared_limits():
    """Guards against limits that each instance takes for its own.

    A new leader counts the entry instances from one: the others poll it later.
    """
    state, old = _make_leader(make_configuration())
    directory = _Directory({"c1": old})
    follower = _make_follower(directory)
    for number in range(7):
        await old.answer(messages.Follow(state.revision - 1, f"e{number + 2}"))
    await _run_until(follower, lambda: follower.entry_count == 8)
    polls = len(directory.asked)
    _, new = _make_leader(make_configuration())
    directory.members = {"c1": "c2", "c2": new}
    await _run_until(follower, lambda: directory.asked[polls:].count("c2") > 1)
    assert follower.entry_count == 8
    follower._clock.now_s += 20.0
    await _run_until(follower, lambda: follower.entry_count == 1)


async def test_a_poll_that_fails_ends_no_following():
    """Guards against an instance whose copy stops at one odd measurement."""
    _, feed = _make_leader(make_configuration())
    directory = _Directory({"c1": feed, "c2": feed, "c3": feed})
    failures = [ValueError("value out of range"), TypeError("no number")]

    def pop_measurements():
        if failures:
            raise failures.pop()
        return follower_lib.Measurements()

    follower = follower_lib.Follower(
        "e1",
        directory,
        Clock(),
        lambda: ("c1", "c2", "c3"),
        pop_measurements,
        lambda loads: None,
    )
    await _run_until(follower, lambda: follower.state.revision == 1)
    assert not failures
