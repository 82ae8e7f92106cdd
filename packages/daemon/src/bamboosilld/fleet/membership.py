"""Maintains the membership of the control group.

The leader replaces failed voters by learners and keeps the number of voters
odd, so that the group survives the next failure.
"""

import asyncio

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common.generated import consensus as messages
from bamboosilld.consensus import memberships
from bamboosilld.consensus import node as node_lib

# A voter that is silent for longer is replaced by a learner. Short, so that the
# group is complete again before another voter fails.
_REPLACE_VOTER_AFTER_S = 2.5
# A learner that is silent for longer is not promoted, and a voter whose
# instance is back under a new incarnation counts as failed.
_MAX_LIVE_SILENCE_S = 1.0
# A learner that is silent for longer is removed; it asks to join again when it
# is back.
_REMOVE_LEARNER_AFTER_S = 30.0
_CHANGE_TIMEOUT_S = 1.0
# Without a learner to replace it, a silent voter is removed only from larger
# groups: three voters tolerate one failure.
_MIN_VOTERS = 3

_log = logs.get_logger("membership")


class MembershipManager:
    """Changes the membership by one step at a time.

    To be called only while this member leads.
    """

    def __init__(self, node: node_lib.Node, clock: clock_lib.Clock) -> None:
        self._node = node
        self._clock = clock
        self._lock = asyncio.Lock()

    async def join(self, member: messages.Member) -> bool:
        """Adds a member as learner; returns whether it is one now."""
        async with self._lock:
            member_id = memberships.get_member_id(member)
            found = memberships.find_member(self._node.membership, member_id)
            if found is not None and found.address == member.address:
                return True
            _log.info(
                "Adding instance %s as a learner.",
                memberships.format_member_id(member),
            )
            await self._node.add_learner(member, _CHANGE_TIMEOUT_S)
            found = memberships.find_member(self._node.membership, member_id)
            return found is not None

    async def tick(self) -> None:
        """Makes the most urgent change of the membership, if any."""
        async with self._lock:
            members = self._node.membership.members
            learners = [
                each
                for each in members
                if not each.voter
                and self._node.get_seconds_since_reply(each)
                < _MAX_LIVE_SILENCE_S
            ]
            voters = [each for each in members if each.voter]
            failed = self._find_failed(voters, members)
            # One failed voter is removed without replacement if the number of
            # voters is even, or if there is no learner to replace it and the
            # group has more than the minimum number of voters.
            is_surplus = len(voters) % 2 == 0 or (
                not learners and len(voters) > _MIN_VOTERS
            )
            replaced = sum(
                _has_other_incarnation(each, members) for each in voters
            )
            if failed is not None and is_surplus:
                _log.info(
                    "Removing voter %s.", memberships.format_member_id(failed)
                )
                await self._node.remove(failed, _CHANGE_TIMEOUT_S)
            elif (
                learners
                and (failed is not None or len(learners) > 1 + replaced)
            ) or (len(voters) % 2 == 0 and learners):
                _log.info(
                    "Promoting learner %s to voter.",
                    memberships.format_member_id(learners[0]),
                )
                await self._node.promote(learners[0], _CHANGE_TIMEOUT_S)
            else:
                await self._remove_silent_learner(members)

    def _find_failed(
        self,
        voters: list[messages.Member],
        members: tuple[messages.Member, ...],
    ) -> messages.Member | None:
        for voter in voters:
            silence_s = self._node.get_seconds_since_reply(voter)
            if (
                _has_other_incarnation(voter, members)
                and silence_s > _MAX_LIVE_SILENCE_S
            ):
                return voter
        silent = [
            each
            for each in voters
            if self._node.get_seconds_since_reply(each) > _REPLACE_VOTER_AFTER_S
        ]
        return silent[0] if silent else None

    async def _remove_silent_learner(
        self, members: tuple[messages.Member, ...]
    ) -> None:
        for each in members:
            is_silent = (
                self._node.get_seconds_since_reply(each)
                > _REMOVE_LEARNER_AFTER_S
            )
            if not each.voter and is_silent:
                await self._node.remove(each, _CHANGE_TIMEOUT_S)
                return


def _has_other_incarnation(
    voter: messages.Member, members: tuple[messages.Member, ...]
) -> bool:
    """Returns whether the instance of a voter came back without its data."""
    return any(
        each.instance == voter.instance
        and each.incarnation != voter.incarnation
        for each in members
    )
