"""Which members of the control group the leader keeps."""

import pytest
from returns.result import Success

from bamboosill_common.generated import consensus as messages
from bamboosilld.consensus import memberships
from bamboosilld.fleet import membership as membership_lib


class _Node:
    """Membership and silences that a test states."""

    def __init__(self, members, silences):
        self.membership = messages.Membership(tuple(members))
        self._silences = silences

    def get_silence_s(self, member):
        return self._silences.get(memberships.get_key(member), 0.0)

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
        key = memberships.get_key(member)
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
        # A steady group stays as it is.
        ("abc", {}, {("a", 0), ("b", 0), ("c", 0)}),
        # A short silence changes nothing.
        ("abc+d", {("c", 0): 1.0}, {("a", 0), ("b", 0), ("c", 0)}),
        # A lost voter is replaced by a learner that answers.
        ("abc+d", {("c", 0): 9.0}, {("a", 0), ("b", 0), ("d", 0)}),
        # Nobody can take its place.
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
async def test_lost_voters_make_room_for_learners(members, silences, voters):
    """Guards against a group that the next loss stops."""
    names, _, learners = members.partition("+")
    node = _Node(
        [_make(name) for name in names]
        + [_make(name, voter=False) for name in learners],
        {memberships.Key(*key): value for key, value in silences.items()},
    )
    manager = membership_lib.MembershipManager(node, None)
    for _ in range(4):
        await manager.tick()
    assert _list_voters(node) == voters


async def test_an_instance_that_lost_its_data_replaces_itself():
    """Guards against a vote that forgot what it had acknowledged."""
    node = _Node(
        [_make("a"), _make("b"), _make("c")], {memberships.Key("c", 0): 1.5}
    )
    manager = membership_lib.MembershipManager(node, None)
    assert await manager.join(_make("c", voter=False, incarnation=7))
    for _ in range(3):
        await manager.tick()
    assert _list_voters(node) == {("a", 0), ("b", 0), ("c", 7)}


@pytest.mark.parametrize(
    ("silence_s", "voters"),
    [
        # The lost voter may still answer: nothing changes yet.
        (0.2, {("a", 0), ("b", 0), ("c", 0)}),
        (1.5, {("a", 0), ("b", 0), ("d", 0)}),
    ],
)
async def test_the_new_identity_of_a_voter_does_not_enlarge_the_group(
    silence_s, voters
):
    """Guards against a dead voter that stays for good.

    Found by pca-pilon trouble-2: two learners were promoted at once, one of
    them the new identity of a voter; with five voters, none was removed.
    """
    node = _Node(
        [_make(name) for name in "abc"]
        + [_make("d", voter=False), _make("c", voter=False, incarnation=7)],
        {memberships.Key("c", 0): silence_s},
    )
    manager = membership_lib.MembershipManager(node, None)
    for _ in range(4):
        await manager.tick()
    assert _list_voters(node) == voters


async def test_a_large_group_does_with_a_voter_less():
    """Guards against a dead voter among five for which nobody can stand in."""
    node = _Node(
        [_make(name) for name in "abcde"], {memberships.Key("e", 0): 9.0}
    )
    manager = membership_lib.MembershipManager(node, None)
    for _ in range(4):
        await manager.tick()
    assert _list_voters(node) == {(name, 0) for name in "abcd"}
