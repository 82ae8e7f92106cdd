"""Keeps the control group at an odd number of voters that answer."""

import asyncio

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common.generated import consensus as messages
from bamboosilld.consensus import memberships
from bamboosilld.consensus import node as node_lib

# A voter that is silent for longer makes room for a learner. Short enough to
# be over before the next loss counts.
_REPLACE_AFTER_S = 2.5
# A learner that is silent for longer is not promoted.
_FRESH_S = 1.0
# A learner that is silent for longer is removed; it joins again by itself.
_FORGET_AFTER_S = 30.0
_CHANGE_TIMEOUT_S = 1.0
# Voters that a group keeps even if one of them is silent: one loss is
# tolerated.
_MIN_VOTERS = 3

_log = logs.get_logger("membership")


class Keeper:
    """Changes the membership one step at a time while this member leads."""

    def __init__(self, node: node_lib.Node, clock: clock_lib.Clock) -> None:
        self._node = node
        self._clock = clock
        self._lock = asyncio.Lock()

    async def join(self, member: messages.Member) -> bool:
        """Adds a member as learner; returns whether it is one now."""
        async with self._lock:
            key = memberships.get_key(member)
            found = memberships.find_member(self._node.membership, key)
            if found is not None and found.address == member.address:
                return True
            _log.info("Instance %s joins.", memberships.format_key(member))
            await self._node.add_learner(member, _CHANGE_TIMEOUT_S)
            found = memberships.find_member(self._node.membership, key)
            return found is not None

    async def tick(self) -> None:
        """Makes the most urgent change, if there is one."""
        async with self._lock:
            members = self._node.membership.members
            learners = [
                each
                for each in members
                if not each.voter and self._node.get_silence_s(each) < _FRESH_S
            ]
            voters = [each for each in members if each.voter]
            dead = self._find_dead(voters, members)
            # Without a learner, a larger group does with one voter less.
            is_surplus = len(voters) % 2 == 0 or (
                not learners and len(voters) > _MIN_VOTERS
            )
            replaced = sum(_is_replaced(each, members) for each in voters)
            if dead is not None and is_surplus:
                _log.info("Removing voter %s.", memberships.format_key(dead))
                await self._node.remove(dead, _CHANGE_TIMEOUT_S)
            elif (
                learners and (dead is not None or len(learners) > 1 + replaced)
            ) or (len(voters) % 2 == 0 and learners):
                _log.info("Promoting %s.", memberships.format_key(learners[0]))
                await self._node.promote(learners[0], _CHANGE_TIMEOUT_S)
            else:
                await self._remove_silent_learner(members)

    def _find_dead(
        self,
        voters: list[messages.Member],
        members: tuple[messages.Member, ...],
    ) -> messages.Member | None:
        for voter in voters:
            silence_s = self._node.get_silence_s(voter)
            if _is_replaced(voter, members) and silence_s > _FRESH_S:
                return voter
        silent = [
            each
            for each in voters
            if self._node.get_silence_s(each) > _REPLACE_AFTER_S
        ]
        return silent[0] if silent else None

    async def _remove_silent_learner(
        self, members: tuple[messages.Member, ...]
    ) -> None:
        for each in members:
            is_silent = self._node.get_silence_s(each) > _FORGET_AFTER_S
            if not each.voter and is_silent:
                await self._node.remove(each, _CHANGE_TIMEOUT_S)
                return


def _is_replaced(
    voter: messages.Member, members: tuple[messages.Member, ...]
) -> bool:
    """Returns whether the same instance is back without its data."""
    return any(
        each.instance == voter.instance
        and each.incarnation != voter.incarnation
        for each in members
    )
