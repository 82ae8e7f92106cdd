"""Manages the members of the zone group, on its leader.

Adds joining instances as learners, promotes learners that have caught up to
voters, and removes lost members. Makes one change at a time.
"""

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common.generated import consensus
from bamboosill_common.generated import zone as messages
from bamboosilld.consensus import interfaces
from bamboosilld.zone import times

MAX_VOTERS = 5
MAX_MEMBERS = 256
# Log entries that a learner may still lack when it is promoted to voter; it
# receives them within one round of replication.
_CAUGHT_UP_ENTRIES = 64
_CHANGE_TIMEOUT_S = 2.0

_log = logs.get_logger("zone")


class MembershipManager:
    """Adds, promotes and removes members of the group."""

    def __init__(self, node: interfaces.Node, clock: clock_lib.Clock) -> None:
        self._node = node
        self._clock = clock
        self._applied_indexes: dict[tuple[str, int], int] = {}

    def record_applied_index(
        self, instance: str, incarnation: int, index: int
    ) -> None:
        """Records how far a member has applied the log."""
        self._applied_indexes[(instance, incarnation)] = index

    def is_member(self, instance: str, incarnation: int) -> bool:
        """Returns whether this incarnation is in the group."""
        return any(
            (each.instance, each.incarnation) == (instance, incarnation)
            for each in self._node.membership.members
        )

    async def add(self, message: messages.Join) -> bool:
        """Adds a learner; returns whether it is a member now."""
        if self.is_member(message.instance, message.incarnation):
            return True
        members = self._node.membership.members
        if len(members) >= MAX_MEMBERS or any(
            each.instance == message.instance
            and each.incarnation > message.incarnation
            for each in members
        ):
            return False
        member = consensus.Member(
            message.instance, message.incarnation, message.address
        )
        await self._node.add_learner(member, _CHANGE_TIMEOUT_S)
        return self.is_member(message.instance, message.incarnation)

    async def reconcile(self) -> None:
        """Removes one lost member or promotes one learner, if there is one."""
        members = self._node.membership.members
        lost_member = self._find_lost_member(members)
        if lost_member is not None:
            _log.info(
                "Removing lost member %s/%d from the zone group.",
                lost_member.instance,
                lost_member.incarnation,
            )
            await self._node.remove(lost_member, _CHANGE_TIMEOUT_S)
            return
        learner = self._find_caught_up(members)
        if learner is not None:
            await self._node.promote(learner, _CHANGE_TIMEOUT_S)

    def _find_lost_member(
        self, members: tuple[consensus.Member, ...]
    ) -> consensus.Member | None:
        newest_incarnations: dict[str, int] = {}
        for each in members:
            known_incarnation = newest_incarnations.get(each.instance, 0)
            newest_incarnations[each.instance] = max(
                known_incarnation, each.incarnation
            )
        for each in members:
            silence_s = self._node.get_seconds_since_reply(each)
            if silence_s < times.VOTER_LOST_AFTER_S:
                continue
            if each.incarnation < newest_incarnations[each.instance]:
                if not each.voter or self._can_remove_voter(members, each):
                    return each
            elif each.voter:
                if self._can_remove_voter(members, each):
                    return each
            elif silence_s > times.LEARNER_LOST_AFTER_S:
                return each
        return None

    def _can_remove_voter(
        self, members: tuple[consensus.Member, ...], voter: consensus.Member
    ) -> bool:
        """Returns whether a majority of voters is live without this one."""
        voters = [each for each in members if each.voter]
        live = [
            each
            for each in voters
            if each != voter
            and self._node.get_seconds_since_reply(each)
            < times.VOTER_LOST_AFTER_S
        ]
        return len(live) > len(voters) // 2

    def _find_caught_up(
        self, members: tuple[consensus.Member, ...]
    ) -> consensus.Member | None:
        if sum(each.voter for each in members) >= MAX_VOTERS:
            return None
        needed = self._node.commit_index - _CAUGHT_UP_ENTRIES
        for each in members:
            applied = self._applied_indexes.get(
                (each.instance, each.incarnation), -1
            )
            if each.voter or applied < max(needed, 1):
                continue
            if (
                self._node.get_seconds_since_reply(each)
                < times.VOTER_LOST_AFTER_S
            ):
                return each
        return None
