"""Functions that query and change a group's membership."""

from collections.abc import Callable
from typing import NamedTuple

from bamboosill_common.generated import consensus as messages


class MemberId(NamedTuple):
    """Identity of a member; unlike its address, it never changes."""

    instance: str
    incarnation: int


def get_member_id(member: messages.Member) -> MemberId:
    """Returns the identity of a member."""
    return MemberId(member.instance, member.incarnation)


def format_member_id(member: messages.Member) -> str:
    """Returns the identity of a member as text."""
    return f"{member.instance}/{member.incarnation}"


def find_member(
    membership: messages.Membership, member_id: MemberId
) -> messages.Member | None:
    """Returns the member with the given identity, or None."""
    for member in membership.members:
        if get_member_id(member) == member_id:
            return member
    return None


def list_voters(membership: messages.Membership) -> list[messages.Member]:
    """Returns the voters of a membership."""
    return [member for member in membership.members if member.voter]


def is_voter(membership: messages.Membership, member_id: MemberId) -> bool:
    """Returns whether a member is a voter."""
    member = find_member(membership, member_id)
    return member is not None and member.voter


def count_majority(membership: messages.Membership) -> int:
    """Returns the number of voters that make a majority."""
    return len(list_voters(membership)) // 2 + 1


def find_majority_value(
    membership: messages.Membership, get_value: Callable[[MemberId], float]
) -> float:
    """Returns the largest value that a majority of voters has reached.

    Returns negative infinity if there are no voters.
    """
    values = sorted(
        (get_value(get_member_id(voter)) for voter in list_voters(membership)),
        reverse=True,
    )
    if not values:
        return float("-inf")
    return values[count_majority(membership) - 1]


def put_member(
    membership: messages.Membership, member: messages.Member
) -> messages.Membership:
    """Returns the membership with a member added or replaced."""
    others = remove_member(membership, get_member_id(member)).members
    return messages.Membership(members=(*others, member))


def remove_member(
    membership: messages.Membership, member_id: MemberId
) -> messages.Membership:
    """Returns the membership without the given member."""
    return messages.Membership(
        members=tuple(
            member
            for member in membership.members
            if get_member_id(member) != member_id
        )
    )
