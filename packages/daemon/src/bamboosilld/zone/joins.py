"""Membership of the zone group, changed by its leader one at a time."""

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common.generated import consensus
from bamboosill_common.generated import zone as messages
from bamboosilld.consensus import interfaces
from bamboosilld.zone import times

MAX_VOTERS = 5
MAX_MEMBERS = 256
# Entries that a learner may lack when it becomes a voter; it receives them
# within one round.
_CAUGHT_UP_ENTRIES = 64
_CHANGE_S = 2.0

_log = logs.get_logger("zone")


class Membership:
    """Adds, promotes and removes members."""

    def __init__(self, node: interfaces.Node, clock: clock_lib.Clock) -> None:
        self._node = node
        self._clock = clock
        self._applied: dict[tuple[str, int], int] = {}

    def note_applied(self, instance: str, incarnation: int, index: int) -> None:
        """Notes how far a member has applied the log."""
        self._applied[(instance, incarnation)] = index

    def is_member(self, instance: str, incarnation: int) -> bool:
        """Returns whether this incarnation belongs to the group."""
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
        await self._node.add_learner(member, _CHANGE_S)
        return self.is_member(message.instance, message.incarnation)

    async def adjust(self) -> None:
        """Makes at most one change."""
        members = self._node.membership.members
        gone = self._find_gone(members)
        if gone is not None:
            _log.info(
                "Member %s/%d is removed.", gone.instance, gone.incarnation
            )
            await self._node.remove(gone, _CHANGE_S)
            return
        learner = self._find_caught_up(members)
        if learner is not None:
            await self._node.promote(learner, _CHANGE_S)

    def _find_gone(
        self, members: tuple[consensus.Member, ...]
    ) -> consensus.Member | None:
        newest: dict[str, int] = {}
        for each in members:
            known = newest.get(each.instance, 0)
            newest[each.instance] = max(known, each.incarnation)
        for each in members:
            silence_s = self._node.get_silence_s(each)
            if silence_s < times.VOTER_LOST_S:
                continue
            if each.incarnation < newest[each.instance]:
                if not each.voter or self._may_remove(members, each):
                    return each
            elif each.voter:
                if self._may_remove(members, each):
                    return each
            elif silence_s > times.LEARNER_LOST_S:
                return each
        return None

    def _may_remove(
        self, members: tuple[consensus.Member, ...], voter: consensus.Member
    ) -> bool:
        """A majority of the present voters must answer without the voter."""
        voters = [each for each in members if each.voter]
        live = [
            each
            for each in voters
            if each != voter
            and self._node.get_silence_s(each) < times.VOTER_LOST_S
        ]
        return len(live) > len(voters) // 2

    def _find_caught_up(
        self, members: tuple[consensus.Member, ...]
    ) -> consensus.Member | None:
        if sum(each.voter for each in members) >= MAX_VOTERS:
            return None
        needed = self._node.commit_index - _CAUGHT_UP_ENTRIES
        for each in members:
            applied = self._applied.get((each.instance, each.incarnation), -1)
            if each.voter or applied < max(needed, 1):
                continue
            if self._node.get_silence_s(each) < times.VOTER_LOST_S:
                return each
        return None
