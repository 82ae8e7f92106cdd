"""Leader election: timeouts, pre-vote, votes and check-quorum."""

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
    """Starts elections after a timeout and answers vote requests."""

    def __init__(
        self, core: core_lib.Core, has_quorum_contact: Callable[[], bool]
    ) -> None:
        self._core = core
        self._config = core.config
        self._context = core.context
        self._has_quorum_contact = has_quorum_contact

    async def run(self) -> None:
        """Starts an election after each timeout until the member fails.

        As leader, checks that a majority still answers.
        """
        try:
            await self._run()
        except interfaces.StorageError:
            pass  # The core has already recorded the failure and stopped.

    async def _run(self) -> None:
        core = self._core
        while not core.failure:
            timeout_s = self._context.rng.uniform(
                self._config.election_min_s, self._config.election_max_s
            )
            # The only voter has no other leader to wait for.
            if self._is_only_voter() and not core.is_leader:
                timeout_s = 0.0
            await self._wait_election_timeout(timeout_s)
            if self._may_start_election():
                await self._run_election()
                if not core.is_leader:
                    await self._context.clock.sleep(self._config.heartbeat_s)
            else:
                core.election_timer_start_s = self._context.clock.monotonic()

    async def handle_vote(
        self, request: messages.RequestVote
    ) -> messages.VoteReply:
        """Answers a vote or pre-vote request.

        Raises:
            errors.HandlerError: This member may not vote.
            interfaces.StorageError: The vote could not be stored.
        """
        core = self._core
        if request.term < core.term or self._has_recent_leader_contact():
            # While there is a leader, the term of the request is ignored, so
            # that a removed or isolated member cannot depose the leader.
            return messages.VoteReply(term=core.term, granted=False)
        if (
            core.is_freshly_bootstrapped
            and request.last_term > core_lib.BOOTSTRAP_TERM
        ):
            raise errors.HandlerError("storage", LOST_STORAGE)
        is_log_up_to_date = (request.last_term, request.last_index) >= (
            core.log.last_term,
            core.log.last_index,
        )
        if request.pre_vote:
            granted = is_log_up_to_date and request.term > core.term
            return messages.VoteReply(term=core.term, granted=granted)
        core.observe_term(request.term)
        name = memberships.format_member_id(request.candidate)
        granted = is_log_up_to_date and core.hard_state.voted_for in ("", name)
        if granted:
            core.set_hard_state(request.term, name)
            core.election_timer_start_s = self._context.clock.monotonic()
        await core.journal.flush()
        return messages.VoteReply(term=core.term, granted=granted)

    def _has_recent_leader_contact(self) -> bool:
        core = self._core
        if core.is_leader:
            return self._has_quorum_contact()
        silence_s = self._context.clock.monotonic() - core.leader_contact_s
        return silence_s < self._config.election_min_s

    def _may_start_election(self) -> bool:
        """Returns whether this member is a voter or its removal is uncommitted.

        Until its removal is committed, a removed member may be the only one
        whose log is recent enough to win (Ongaro 2014, section 4.2.2).
        """
        core = self._core
        committed = core.log.get_membership(core.commit_index)
        return memberships.is_voter(
            core.log.membership, core.member_id
        ) or memberships.is_voter(committed, core.member_id)

    def _is_only_voter(self) -> bool:
        voters = memberships.list_voters(self._core.log.membership)
        return [memberships.get_member_id(each) for each in voters] == [
            self._core.member_id
        ]

    async def _wait_election_timeout(self, timeout_s: float) -> None:
        core = self._core
        clock = self._context.clock
        while not core.failure:
            if core.is_leader:
                if not self._has_quorum_contact():
                    core.step_down("no contact to a majority")
                await clock.sleep(self._config.heartbeat_s)
                continue
            left_s = core.election_timer_start_s + timeout_s - clock.monotonic()
            if left_s < core_lib.MIN_WAIT_S:
                return
            # Sleeping in steps bounds the delay after this member steps down
            # or its clock jumps.
            await clock.sleep(min(left_s, self._config.election_min_s))

    async def _run_election(self) -> None:
        core = self._core
        core.election_timer_start_s = self._context.clock.monotonic()
        term = core.term + 1
        if not await self._collect_votes(term, pre_vote=True):
            return
        if core.term != term - 1 or (
            self._has_recent_leader_contact() and not self._is_only_voter()
        ):
            return
        core.set_hard_state(term, core.name)
        core.leader = None
        core.record("campaign", term=term)
        await core.journal.flush()
        if not await self._collect_votes(term, pre_vote=False):
            return
        # The term may have changed, or another leader may have been
        # observed, while the votes were collected.
        if core.term == term and core.leader is None and not core.failure:
            core.become_leader()

    async def _collect_votes(self, term: int, pre_vote: bool) -> bool:
        """Returns whether enough voters, including this one, granted a vote."""
        core = self._core
        voters = memberships.list_voters(core.log.membership)
        needed = memberships.count_majority(core.log.membership)
        if core.has_only_bootstrap_entry:
            # See `Core.is_freshly_bootstrapped`.
            needed = len(voters)
        granted = int(memberships.is_voter(core.log.membership, core.member_id))
        pending = {
            asyncio.create_task(self._request_vote(each, term, pre_vote))
            for each in voters
            if memberships.get_member_id(each) != core.member_id
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

    async def _request_vote(
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
                if reply.term > term and not core.is_freshly_bootstrapped:
                    core.observe_term(reply.term)
                return bool(reply.granted)
        return False
