"""One member of a consensus group (Raft).

Source: Ongaro and Ousterhout, "In Search of an Understandable Consensus
Algorithm", 2014; pre-vote and membership changes as in Ongaro, "Consensus:
Bridging Theory and Practice", 2014.
"""

import asyncio
from collections.abc import Callable
import random
from typing import Any

from returns.result import Result
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import events
from bamboosill_common import wire
from bamboosill_common.generated import consensus as messages
from bamboosilld.consensus import applier as applier_lib
from bamboosilld.consensus import core as core_lib
from bamboosilld.consensus import election as election_lib
from bamboosilld.consensus import follower as follower_lib
from bamboosilld.consensus import interfaces
from bamboosilld.consensus import memberships
from bamboosilld.consensus import replication as replication_lib

GroupConfig = core_lib.GroupConfig
AppliedCommand = core_lib.AppliedCommand

# A learner may become a voter once it lags behind the leader's commit index by
# at most this many entries.
_MAX_PROMOTION_LAG_ENTRIES = 64

_NOT_LEADER = core_lib.make_propose_failure(
    "not_leader", "this member does not lead"
)


class Node:
    """A group member: takes proposals, handles requests and applies entries."""

    def __init__(
        self,
        config: GroupConfig,
        storage: interfaces.Storage,
        transport: interfaces.Transport,
        machine: interfaces.StateMachine,
        clock: clock_lib.Clock,
        rng: random.Random,
        timeline: events.Timeline,
    ) -> None:
        self._context = core_lib.Context(
            config, storage, transport, machine, clock, rng, timeline
        )
        self._config = config
        self._leadership_listeners: list[Callable[[bool], None]] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._core: core_lib.Core | None = None

    async def start(self) -> None:
        """Loads the stored state and starts the member's tasks.

        Raises:
            interfaces.StorageError: The storage is damaged or fails.
        """
        stored = await self._context.storage.load()
        core = core_lib.Core(
            self._context, stored, restarted=not stored.is_empty
        )
        core.leadership_listeners = self._leadership_listeners
        self._replication = replication_lib.Replication(core)
        self._election = election_lib.Election(
            core, self._replication.has_quorum_contact
        )
        self._follower = follower_lib.Follower(core)
        self._core = core
        if stored.is_empty and self._config.bootstrap is not None:
            _append_bootstrap_entry(core, self._config.bootstrap)
        applier = applier_lib.Applier(core)
        for run in (core.journal.run, self._election.run, applier.run):
            self._tasks.append(asyncio.create_task(run()))

    async def stop(self) -> None:
        """Stops the tasks; the outcome of pending proposals is unknown."""
        core = self._core
        if core is None:
            return
        core.stop("stopped")
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        core.journal.close()
        await self._context.storage.close()

    @property
    def is_leader(self) -> bool:
        """Whether this member believes that it leads."""
        return self._core is not None and self._core.is_leader

    @property
    def leader(self) -> messages.Member | None:
        """The leader, or None if unknown."""
        return self._core.leader if self._core else None

    @property
    def term(self) -> int:
        """The current term."""
        return self._core.term if self._core else 0

    @property
    def commit_index(self) -> int:
        """Index of the last entry known to be committed."""
        return self._core.commit_index if self._core else 0

    @property
    def applied_index(self) -> int:
        """Index of the last entry that was applied."""
        return self._core.applied_index if self._core else 0

    @property
    def elected_at_s(self) -> float:
        """Monotonic time at which this member last became leader."""
        return self._core.elected_at_s if self._core else float("-inf")

    @property
    def membership(self) -> messages.Membership:
        """The latest membership in the log, committed or not."""
        return (
            self._core.log.membership if self._core else messages.Membership()
        )

    @property
    def failure(self) -> str:
        """Why this member stopped, or an empty string."""
        return self._core.failure if self._core else ""

    def has_leader_lease(self) -> bool:
        """Returns whether this member leads and no other member can."""
        return (
            self._core is not None
            and self._core.is_leader
            and self._replication.has_lease()
        )

    def has_applied_earlier_terms(self) -> bool:
        """Returns whether all entries of earlier leaders are applied here."""
        core = self._core
        return core is not None and core.applied_index >= core.barrier_index

    def get_seconds_since_reply(self, member: messages.Member) -> float:
        """Returns, on a leader, the seconds since a member's last reply."""
        member_id = memberships.get_member_id(member)
        if self._core is None or member_id == self._core.member_id:
            return 0.0
        peer = self._replication.get_peer(member_id)
        if peer is None:
            return float("inf")
        return self._context.clock.monotonic() - peer.last_reply_s

    def add_leadership_listener(self, listener: Callable[[bool], None]) -> None:
        """Calls `listener(is_leader)` at each change of leadership."""
        self._leadership_listeners.append(listener)

    async def propose(
        self, command: bytes, deadline_s: float
    ) -> Result[AppliedCommand, errors.ProposeError]:
        """Appends a command to the log and waits until it is applied.

        Args:
            command: Input for the state machine of each member.
            deadline_s: Timeout in seconds.
        """
        if len(command) > self._config.max_command_bytes:
            return core_lib.make_propose_failure(
                "unavailable", "command is too large"
            )
        return await self._propose("command", command, deadline_s)

    async def read_barrier(
        self, deadline_s: float
    ) -> Result[int, errors.ProposeError]:
        """Waits until all entries committed before the call are applied.

        Reads of the state machine after the return are linearizable.

        Returns:
            The applied index.
        """
        core = self._core
        if core is None or not core.is_leader:
            return _NOT_LEADER
        # Until an entry of its own term is committed, a leader does not know
        # which entries its predecessor committed.
        index = max(core.commit_index, core.barrier_index)
        clock = self._context.clock
        end_s = clock.monotonic() + deadline_s
        if not await self._replication.confirm_leadership(deadline_s):
            if core.is_leader:
                return core_lib.make_propose_failure(
                    "timeout", "no majority answered"
                )
            return _NOT_LEADER
        return await self.wait_applied(index, end_s - clock.monotonic())

    async def wait_applied(
        self, index: int, deadline_s: float
    ) -> Result[int, errors.ProposeError]:
        """Waits until an entry is applied and returns the applied index."""
        core = self._core
        if core is None:
            return core_lib.make_propose_failure("unavailable", "not started")
        await core.changed.wait_until(
            lambda: core.applied_index >= index or bool(core.failure),
            deadline_s,
        )
        if core.applied_index >= index:
            return Success(core.applied_index)
        if core.failure:
            return core_lib.make_propose_failure("storage", core.failure)
        return core_lib.make_propose_failure(
            "timeout", f"index {index} not applied"
        )

    async def add_learner(
        self, member: messages.Member, deadline_s: float
    ) -> Result[AppliedCommand, errors.ProposeError]:
        """Adds a member as a learner, or changes a member's address."""
        old = memberships.find_member(
            self.membership, memberships.get_member_id(member)
        )
        member = member._replace(voter=old is not None and old.voter)
        return await self._change_membership(
            lambda current: memberships.put_member(current, member), deadline_s
        )

    async def promote(
        self, member: messages.Member, deadline_s: float
    ) -> Result[AppliedCommand, errors.ProposeError]:
        """Makes a learner a voter; refused while the learner lags behind."""
        member_id = memberships.get_member_id(member)
        peer = self._replication.get_peer(member_id) if self.is_leader else None
        if peer is None:
            if not self.is_leader:
                return _NOT_LEADER
            return core_lib.make_propose_failure(
                "unavailable", "no such learner"
            )
        silence_s = self.get_seconds_since_reply(member)
        lag = self.commit_index - peer.match_index
        if (
            peer.match_index == 0
            or lag > _MAX_PROMOTION_LAG_ENTRIES
            or silence_s > self._config.election_min_s
        ):
            detail = f"learner is {lag} entries behind"
            return core_lib.make_propose_failure("unavailable", detail)
        voter = peer.member._replace(voter=True)
        return await self._change_membership(
            lambda current: memberships.put_member(current, voter), deadline_s
        )

    async def remove(
        self, member: messages.Member, deadline_s: float
    ) -> Result[AppliedCommand, errors.ProposeError]:
        """Removes a member from the group."""
        member_id = memberships.get_member_id(member)
        return await self._change_membership(
            lambda current: memberships.remove_member(current, member_id),
            deadline_s,
        )

    async def handle(self, request: Any) -> Any:
        """Handles RequestVote, AppendEntries and InstallSnapshot.

        Raises:
            errors.HandlerError: The request is for another member, or this
                member may not answer.
        """
        core = self._core
        if core is None:
            raise errors.HandlerError("unavailable", "not started")
        core.raise_if_failed()
        # A member that lost its log restarts with a new incarnation at the same
        # address. It must not acknowledge entries for the former incarnation.
        if memberships.get_member_id(request.target) != core.member_id:
            raise errors.HandlerError("wrong_member", core.name)
        try:
            match request:
                case messages.RequestVote():
                    return await self._election.handle_vote(request)
                case messages.AppendEntries():
                    return await self._follower.handle_append(request)
                case messages.InstallSnapshot():
                    return await self._follower.handle_snapshot(request)
        except interfaces.StorageError as error:
            raise errors.HandlerError("storage", str(error)) from error
        raise errors.HandlerError("unhandled", type(request).__name__)

    async def _change_membership(
        self,
        change: Callable[[messages.Membership], messages.Membership],
        deadline_s: float,
    ) -> Result[AppliedCommand, errors.ProposeError]:
        core = self._core
        if core is None or not core.is_leader:
            return _NOT_LEADER
        # Before an entry of the leader's own term is committed, a change could
        # overlap with an earlier leader's uncommitted change.
        await core.changed.wait_until(
            lambda: (
                not core.is_leader or core.commit_index >= core.barrier_index
            ),
            deadline_s,
        )
        if not core.is_leader:
            return _NOT_LEADER
        if core.commit_index < max(
            core.log.membership_index, core.barrier_index
        ):
            return core_lib.make_propose_failure(
                "unavailable", "another change is in progress"
            )
        membership = change(core.log.membership)
        if not memberships.list_voters(membership):
            return core_lib.make_propose_failure(
                "unavailable", "no voter would remain"
            )
        # A majority of the new membership must commit the change. If too few of
        # its voters are reachable, the group could neither commit nor undo it.
        if not self._replication.can_reach_majority(membership):
            return core_lib.make_propose_failure(
                "unavailable", "no majority of the changed group answers"
            )
        return await self._propose(
            "membership", wire.encode(membership), deadline_s
        )

    async def _propose(
        self, kind: str, data: bytes, deadline_s: float
    ) -> Result[AppliedCommand, errors.ProposeError]:
        core = self._core
        if core is None:
            return _NOT_LEADER
        if core.failure:
            return core_lib.make_propose_failure("storage", core.failure)
        if not core.is_leader:
            return _NOT_LEADER
        if core.log.last_index - core.commit_index >= (
            self._config.max_uncommitted
        ):
            return core_lib.make_propose_failure(
                "unavailable", "too many proposals"
            )
        future: asyncio.Future[core_lib.ProposeResult] = (
            asyncio.get_running_loop().create_future()
        )
        index = core.log.last_index + 1
        core.proposals[index] = core_lib.Proposal(core.term, future)
        core.append_as_leader(kind, data)
        try:
            async with asyncio.timeout(deadline_s):
                return await future
        except TimeoutError:
            return core_lib.make_propose_failure(
                "unknown", "not committed by the deadline", True
            )
        finally:
            proposal = core.proposals.get(index)
            if proposal is not None and proposal.future is future:
                del core.proposals[index]


def _append_bootstrap_entry(
    core: core_lib.Core, membership: messages.Membership
) -> None:
    """Appends the bootstrap entry, identical on every founding member."""
    core.set_hard_state(core_lib.BOOTSTRAP_TERM, "")
    core.append(
        [
            messages.LogEntry(
                index=core_lib.BOOTSTRAP_INDEX,
                term=core_lib.BOOTSTRAP_TERM,
                kind="membership",
                data=wire.encode(membership),
            )
        ]
    )
