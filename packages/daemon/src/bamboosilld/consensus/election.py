"""Elections: timeouts, pre-vote, votes and check-quorum of one member."""

import asyncio
from collections.abc import Callable

from returns.result import Success

from bamboosill_common import errors
from bamboosill_common.generated import consensus as messages
from bamboosilld.consensus import core as core_lib
from bamboosilld.consensus import interfaces
from bamboosilld.consensus import memberships

LOST_STORAGE = (
    "the storage of this member was lost; remove it from the group and add it"
    " again under a new incarnation"
)


class Election:
    """Campaigns when no leader is heard, and answers campaigns of others."""

    def __init__(
        self, core: core_lib.Core, has_quorum_contact: Callable[[], bool]
    ) -> None:
        self._core = core
        self._config = core.config
        self._context = core.context
        self._has_quorum_contact = has_quorum_contact

    async def run(self) -> None:
        """Watches for silence of the leader or, as leader, of the quorum."""
        try:
            await self._run()
        except interfaces.StorageError:
            pass  # The core has recorded the failure and stopped.

    async def _run(self) -> None:
        core = self._core
        while not core.failure:
            timeout_s = self._context.rng.uniform(
                self._config.election_min_s, self._config.election_max_s
            )
            # Alone, a member need not wait for a leader it cannot have.
            if self._is_only_voter() and not core.is_leader:
                timeout_s = 0.0
            await self._wait_silence(timeout_s)
            if self._may_campaign():
                await self._campaign()
                if not core.is_leader:
                    await self._context.clock.sleep(self._config.heartbeat_s)
            else:
                core.timer_s = self._context.clock.monotonic()

    async def handle_vote(
        self, request: messages.RequestVote
    ) -> messages.VoteReply:
        """Answers a request for a vote or pre-vote.

        Raises:
            errors.HandlerError: This member may not vote.
            interfaces.StorageError: The vote could not be stored.
        """
        core = self._core
        if request.term < core.term or self._is_leader_present():
            # The term of the request is ignored while a leader is present,
            # so that a member that was removed or cut off disturbs no one.
            return messages.VoteReply(term=core.term, granted=False)
        if core.is_unused and request.last_term > core_lib.FOUNDING_TERM:
            raise errors.HandlerError("storage", LOST_STORAGE)
        up_to_date = (request.last_term, request.last_index) >= (
            core.log.last_term,
            core.log.last_index,
        )
        if request.pre_vote:
            granted = up_to_date and request.term > core.term
            return messages.VoteReply(term=core.term, granted=granted)
        core.observe_term(request.term)
        name = memberships.format_key(request.candidate)
        granted = up_to_date and core.hard_state.voted_for in ("", name)
        if granted:
            core.set_hard_state(request.term, name)
            core.timer_s = self._context.clock.monotonic()
        await core.journal.flush()
        return messages.VoteReply(term=core.term, granted=granted)

    def _is_leader_present(self) -> bool:
        core = self._core
        if core.is_leader:
            return self._has_quorum_contact()
        silence_s = self._context.clock.monotonic() - core.heard_leader_s
        return silence_s < self._config.election_min_s

    def _may_campaign(self) -> bool:
        """Returns whether this member is a voter, or was one just before.

        While its removal is not committed, a removed member may be the only
        one whose log is recent enough to win (Ongaro 2014, section 4.2.2).
        """
        core = self._core
        committed = core.log.get_membership(core.commit_index)
        return memberships.is_voter(
            core.log.membership, core.key
        ) or memberships.is_voter(committed, core.key)

    def _is_only_voter(self) -> bool:
        voters = memberships.list_voters(self._core.log.membership)
        return [memberships.get_key(each) for each in voters] == [
            self._core.key
        ]

    async def _wait_silence(self, timeout_s: float) -> None:
        core = self._core
        clock = self._context.clock
        while not core.failure:
            if core.is_leader:
                if not self._has_quorum_contact():
                    core.step_down("no contact to a majority")
                await clock.sleep(self._config.heartbeat_s)
                continue
            left_s = core.timer_s + timeout_s - clock.monotonic()
            if left_s < core_lib.SHORTEST_WAIT_S:
                return
            # Sleeping in steps bounds the time to notice a lost leadership
            # and to react after the clock jumped.
            await clock.sleep(min(left_s, self._config.election_min_s))

    async def _campaign(self) -> None:
        core = self._core
        core.timer_s = self._context.clock.monotonic()
        term = core.term + 1
        if not await self._collect(term, pre_vote=True):
            return
        if core.term != term - 1 or (
            self._is_leader_present() and not self._is_only_voter()
        ):
            return
        core.set_hard_state(term, core.name)
        core.leader = None
        core.record("campaign", term=term)
        await core.journal.flush()
        if not await self._collect(term, pre_vote=False):
            return
        # The vote was for this log in this term; both may have changed.
        if core.term == term and core.leader is None and not core.failure:
            core.become_leader()

    async def _collect(self, term: int, pre_vote: bool) -> bool:
        """Returns whether enough voters, this one included, said yes."""
        core = self._core
        voters = memberships.list_voters(core.log.membership)
        needed = memberships.count_majority(core.log.membership)
        if core.holds_founding_only:
            # See `Core.is_unused`.
            needed = len(voters)
        granted = int(memberships.is_voter(core.log.membership, core.key))
        pending = {
            asyncio.create_task(self._ask(each, term, pre_vote))
            for each in voters
            if memberships.get_key(each) != core.key
        }
        try:
            while pending and granted < needed and core.term <= term:
                finished, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                granted += sum(task.result() for task in finished)
        finally:
            for task in pending:
                task.cancel()
        return granted >= needed

    async def _ask(
        self, voter: messages.Member, term: int, pre_vote: bool
    ) -> bool:
        core = self._core
        request = messages.RequestVote(
            group=self._config.group,
            term=term,
            candidate=self._config.member,
            last_index=core.log.last_index,
            last_term=core.log.last_term,
            pre_vote=pre_vote,
            target=voter,
        )
        result = await self._context.transport.call(
            voter, request, messages.VoteReply, self._config.election_min_s
        )
        match result:
            case Success(reply):
                if reply.term > term and not core.is_unused:
                    core.observe_term(reply.term)
                return bool(reply.granted)
        return False
