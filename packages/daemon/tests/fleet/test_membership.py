"""Changes of the membership of the control group by the leader."""

import pytest
from returns.result import Success

from bamboosill_common.generated import consensus as messages
from bamboosilld.consensus import memberships
from bamboosilld.fleet import membership as membership_lib


class _Node:
    """A consensus node with given members and silences of members."""

    def __init__(self, members, silences):
        self.membership = messages.Membership(tuple(members))
        self._silences = silences

    def get_seconds_since_reply(self, member):
        return self._silences.get(memberships.get_member_id(member), 0.0)

    async def _change(self, membership):
        self.membership = membership
        return Success(None)

    async def add_learner(self, member, deadline_s):
        return await self._change(
            memberships.put_member(self.membership, member)
        )

    async def promote(self, member, deadline_s):
        return await self._change(
            memberships.put_member(self.membership, member._replace(voter=True))
        )

    async def remove(self, member, deadline_s):
        key = memberships.get_member_id(member)
        return await self._change(
            memberships.remove_member(self.membership, key)
        )


def _make(name, voter=True, incarnation=0):
    return messages.Member(name, incarnation, f"{name}:1", voter)


def _list_voters(node):
    return {
        (each.instance, each.incarnation)
        for each in memberships.list_voters(node.membership)
    }


@pytest.mark.parametrize(
    ("members", "silences", "voters"),
    [
        # A healthy group is not changed.
        ("abc", {}, {("a", 0), ("b", 0), ("c", 0)}),
        # A short silence changes nothing.
        ("abc+d", {("c", 0): 1.0}, {("a", 0), ("b", 0), ("c", 0)}),
        # A failed voter is replaced by a live learner.
        ("abc+d", {("c", 0): 9.0}, {("a", 0), ("b", 0), ("d", 0)}),
        # Without a learner, a failed voter is kept.
        ("abc", {("c", 0): 9.0}, {("a", 0), ("b", 0), ("c", 0)}),
        # A silent learner is not promoted.
        (
            "abc+d",
            {("c", 0): 9.0, ("d", 0): 5.0},
            {("a", 0), ("b", 0), ("c", 0)},
        ),
        # Two voters and a learner become three voters.
        ("ab+d", {}, {("a", 0), ("b", 0), ("d", 0)}),
    ],
)
async def test_failed_voters_are_replaced_by_learners(
    members, silences, voters
):
    """Guards against a group that loses its majority by the next failure."""
    names, _, learners = members.partition("+")
    node = _Node(
        [_make(name) for name in names]
        + [_make(name, voter=False) for name in learners],
        {memberships.MemberId(*key): value for key, value in silences.items()},
    )
    manager = membership_lib.MembershipManager(node, None)
    for _ in range(4):
        await manager.tick()
    assert _list_voters(node) == voters


async def test_an_instance_that_lost_its_data_replaces_itself():
    """Guards against a voter that lost what it had acknowledged."""
    node = _Node(
        [_make("a"), _make("b"), _make("c")],
        {memberships.MemberId("c", 0): 1.5},
    )
    manager = membership_lib.MembershipManager(node, None)
    assert await manager.join(_make("c", voter=False, incarnation=7))
    for _ in range(3):
        await manager.tick()
    assert _list_voters(node) == {("a", 0), ("b", 0), ("c", 7)}


@pytest.mark.parametrize(
    ("silence_s", "voters"),
    [
        # The failed voter may still be live: nothing changes yet.
        (0.2, {("a", 0), ("b", 0), ("c", 0)}),
        (1.5, {("a", 0), ("b", 0), ("d", 0)}),
    ],
)
async def test_the_new_incarnation_of_a_voter_does_not_enlarge_the_group(
    silence_s, voters
):
    """Guards against a failed voter that is never removed.

    It happened when two learners were promoted at once, one of them the new
    incarnation of a voter: with five voters, none was removed.
    """
    node = _Node(
        [_make(name) for name in "abc"]
        + [_make("d", voter=False), _make("c", voter=False, incarnation=7)],
        {memberships.MemberId("c", 0): silence_s},
    )
    manager = membership_lib.MembershipManager(node, None)
    for _ in range(4):
        await manager.tick()
    assert _list_voters(node) == voters


async def test_a_large_group_without_learners_removes_a_failed_voter():
    """Guards against a failed voter of five that no learner can replace."""
    node = _Node(
        [_make(name) for name in "abcde"], {memberships.MemberId("e", 0): 9.0}
    )
    manager = membership_lib.MembershipManager(node, None)
    for _ in range(4):
        await manager.tick()
    assert _list_voters(node) == {(name, 0) for name in "abcd"}
