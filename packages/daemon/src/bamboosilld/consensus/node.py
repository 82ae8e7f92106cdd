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
from bamboosilld.consensus import following as following_lib
from bamboosilld.consensus import interfaces
from bamboosilld.consensus import memberships
from bamboosilld.consensus import replication as replication_lib

GroupConfig = core_lib.GroupConfig
Applied = core_lib.Applied

# A learner this close to the leader's commit position may become a voter.
_CAUGHT_UP_ENTRIES = 64

_NOT_LEADER = core_lib.fail_propose("not_leader", "this member does not lead")


class Node:
    """One member: takes proposals, answers other members, applies the log."""

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
        self._listeners: list[Callable[[bool], None]] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._core: core_lib.Core | None = None

    async def start(self) -> None:
        """Loads the storage and starts the tasks.

        Raises:
            interfaces.StorageError: The storage is damaged or fails.
        """
        stored = await self._context.storage.load()
        core = core_lib.Core(
            self._context, stored, restarted=not stored.is_empty
        )
        core.leadership_listeners = self._listeners
        self._replication = replication_lib.Replication(core)
        self._election = election_lib.Election(
            core, self._replication.has_quorum_contact
        )
        self._following = following_lib.Following(core)
        self._core = core
        if stored.is_empty and self._config.bootstrap is not None:
            _found_group(core, self._config.bootstrap)
        applier = applier_lib.Applier(core)
        for run in (core.journal.run, self._election.run, applier.run):
            self._tasks.append(asyncio.create_task(run()))

    async def stop(self) -> None:
        """Stops the tasks; proposals in progress end as unknown."""
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
        """The leader as far as known."""
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
        """Monotonic time of the election of this member, if it leads."""
        return self._core.elected_at_s if self._core else float("-inf")

    @property
    def membership(self) -> messages.Membership:
        """The latest membership in the log, committed or not."""
        return (
            self._core.log.membership if self._core else messages.Membership()
        )

    @property
    def failure(self) -> str:
        """Why this member stopped, or an empty text."""
        return self._core.failure if self._core else ""

    def has_leader_lease(self) -> bool:
        """Returns whether no other member can lead now."""
        return (
            self._core is not None
            and self._core.is_leader
            and self._replication.has_lease()
        )

    def has_applied_barrier(self) -> bool:
        """Returns whether a leader's state includes all of earlier leaders."""
        core = self._core
        return core is not None and core.applied_index >= core.barrier_index

    def get_silence_s(self, member: messages.Member) -> float:
        """Returns, on a leader, the seconds since a member last answered."""
        key = memberships.get_key(member)
        if self._core is None or key == self._core.key:
            return 0.0
        peer = self._replication.get_peer(key)
        if peer is None:
            return float("inf")
        return self._context.clock.monotonic() - peer.heard_s

    def add_leadership_listener(self, listener: Callable[[bool], None]) -> None:
        """Calls `listener(is_leader)` at each change of leadership."""
        self._listeners.append(listener)

    async def propose(
        self, command: bytes, deadline_s: float
    ) -> Result[Applied, errors.ProposeError]:
        """Appends a command to the log and waits until it is applied.

        Args:
            command: Given to the state machine of each member.
            deadline_s: Longest time to wait in seconds.
        """
        if len(command) > self._config.max_command_bytes:
            return core_lib.fail_propose("unavailable", "command is too large")
        return await self._propose("command", command, deadline_s)

    async def read_barrier(
        self, deadline_s: float
    ) -> Result[int, errors.ProposeError]:
        """Waits until the state includes all that was committed before.

        Returns:
            An index; reads of the state machine are linearizable now.
        """
        core = self._core
        if core is None or not core.is_leader:
            return _NOT_LEADER
        # Until an entry of its own term is committed, a leader does not know
        # what its predecessor committed.
        index = max(core.commit_index, core.barrier_index)
        clock = self._context.clock
        end_s = clock.monotonic() + deadline_s
        if not await self._replication.confirm_leadership(deadline_s):
            if core.is_leader:
                return core_lib.fail_propose("timeout", "no majority answered")
            return _NOT_LEADER
        return await self.wait_applied(index, end_s - clock.monotonic())

    async def wait_applied(
        self, index: int, deadline_s: float
    ) -> Result[int, errors.ProposeError]:
        """Waits until an index is applied and returns the applied index."""
        core = self._core
        if core is None:
            return core_lib.fail_propose("unavailable", "not started")
        await core.changed.wait_until(
            lambda: core.applied_index >= index or bool(core.failure),
            deadline_s,
        )
        if core.applied_index >= index:
            return Success(core.applied_index)
        if core.failure:
            return core_lib.fail_propose("storage", core.failure)
        return core_lib.fail_propose("timeout", f"index {index} not applied")

    async def add_learner(
        self, member: messages.Member, deadline_s: float
    ) -> Result[Applied, errors.ProposeError]:
        """Adds a member without a vote, or changes a member's address."""
        old = memberships.find_member(
            self.membership, memberships.get_key(member)
        )
        member = member._replace(voter=old is not None and old.voter)
        return await self._change(
            lambda now: memberships.put_member(now, member), deadline_s
        )

    async def promote(
        self, member: messages.Member, deadline_s: float
    ) -> Result[Applied, errors.ProposeError]:
        """Gives a learner a vote; refused while it is not caught up."""
        key = memberships.get_key(member)
        peer = self._replication.get_peer(key) if self.is_leader else None
        if peer is None:
            if not self.is_leader:
                return _NOT_LEADER
            return core_lib.fail_propose("unavailable", "no such learner")
        silence_s = self.get_silence_s(member)
        lag = self.commit_index - peer.match_index
        if (
            peer.match_index == 0
            or lag > _CAUGHT_UP_ENTRIES
            or silence_s > self._config.election_min_s
        ):
            detail = f"learner is {lag} entries behind"
            return core_lib.fail_propose("unavailable", detail)
        voter = peer.member._replace(voter=True)
        return await self._change(
            lambda now: memberships.put_member(now, voter), deadline_s
        )

    async def remove(
        self, member: messages.Member, deadline_s: float
    ) -> Result[Applied, errors.ProposeError]:
        """Removes a member."""
        key = memberships.get_key(member)
        return await self._change(
            lambda now: memberships.remove_member(now, key), deadline_s
        )

    async def handle(self, request: Any) -> Any:
        """Answers RequestVote, AppendEntries and InstallSnapshot.

        Raises:
            errors.HandlerError: The request is for another member, or this
                member may not answer.
        """
        core = self._core
        if core is None:
            raise errors.HandlerError("unavailable", "not started")
        core.check_alive()
        # The address of a member that restarted without its log reaches its
        # successor, which must not acknowledge in its name.
        if memberships.get_key(request.target) != core.key:
            raise errors.HandlerError("wrong_member", core.name)
        try:
            match request:
                case messages.RequestVote():
                    return await self._election.handle_vote(request)
                case messages.AppendEntries():
                    return await self._following.handle_append(request)
                case messages.InstallSnapshot():
                    return await self._following.handle_snapshot(request)
        except interfaces.StorageError as error:
            raise errors.HandlerError("storage", str(error)) from error
        raise errors.HandlerError("unhandled", type(request).__name__)

    async def _change(
        self,
        change: Callable[[messages.Membership], messages.Membership],
        deadline_s: float,
    ) -> Result[Applied, errors.ProposeError]:
        core = self._core
        if core is None or not core.is_leader:
            return _NOT_LEADER
        # A change before an entry of the own term is committed could
        # overlap an uncommitted change of an earlier leader.
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
            return core_lib.fail_propose(
                "unavailable", "another change is in progress"
            )
        membership = change(core.log.membership)
        if not memberships.list_voters(membership):
            return core_lib.fail_propose("unavailable", "no voter would remain")
        # The change itself is committed by the new majority; without one the
        # group could neither commit nor undo it.
        if not self._replication.can_reach_majority(membership):
            return core_lib.fail_propose(
                "unavailable", "no majority of the changed group answers"
            )
        return await self._propose(
            "membership", wire.encode(membership), deadline_s
        )

    async def _propose(
        self, kind: str, data: bytes, deadline_s: float
    ) -> Result[Applied, errors.ProposeError]:
        core = self._core
        if core is None:
            return _NOT_LEADER
        if core.failure:
            return core_lib.fail_propose("storage", core.failure)
        if not core.is_leader:
            return _NOT_LEADER
        if core.log.last_index - core.commit_index >= (
            self._config.max_uncommitted
        ):
            return core_lib.fail_propose("unavailable", "too many proposals")
        future: asyncio.Future[core_lib.ProposeResult] = (
            asyncio.get_running_loop().create_future()
        )
        index = core.log.last_index + 1
        core.proposals[index] = core_lib.Proposal(core.term, future)
        core.append_own(kind, data)
        try:
            async with asyncio.timeout(deadline_s):
                return await future
        except TimeoutError:
            return core_lib.fail_propose(
                "unknown", "not committed by the deadline", True
            )
        finally:
            proposal = core.proposals.get(index)
            if proposal is not None and proposal.future is future:
                del core.proposals[index]


def _found_group(core: core_lib.Core, membership: messages.Membership) -> None:
    """Writes the first entry, the same one at each founding member."""
    core.set_hard_state(core_lib.FOUNDING_TERM, "")
    core.append(
        [
            messages.LogEntry(
                index=core_lib.FOUNDING_INDEX,
                term=core_lib.FOUNDING_TERM,
                kind="membership",
                data=wire.encode(membership),
            )
        ]
    )
