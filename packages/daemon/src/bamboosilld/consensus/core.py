"""State of a member that its elections, replication and API share."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import random
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import events
from bamboosill_common import logs
from bamboosill_common.generated import consensus as messages
from bamboosilld.consensus import interfaces
from bamboosilld.consensus import journal as journal_lib
from bamboosilld.consensus import log as log_lib
from bamboosilld.consensus import memberships
from bamboosilld.consensus import signals

log = logs.get_logger("consensus")

# Bound on clock drift over one lease and on scheduling delay after a check.
_LEASE_MARGIN_S = 0.2
# Waits shorter than this count as over; rounding of times could otherwise
# leave a wait too short for the event loop to pass.
SHORTEST_WAIT_S = 0.001
# The term and index of the entry that founds a group. All founding members
# write the same one, so that their logs agree.
FOUNDING_TERM = 1
FOUNDING_INDEX = 1


class GroupConfig(NamedTuple):
    """Settings of one member of a group.

    Attributes:
        group: Name of the group.
        member: This member.
        bootstrap: Members that found the group; used only with an empty
            storage. None for a member that joins.
        heartbeat_s: Longest time between two messages to a member.
        election_min_s: Shortest silence of a leader before an election, and
            the time for which a member refuses votes after it heard a leader.
        election_max_s: Longest random election timeout.
        snapshot_entries: Applied entries after which a snapshot is taken.
        trailing_entries: Entries kept in memory before a snapshot, so that a
            member slightly behind needs none.
        max_batch_entries: Most entries in one message.
        max_batch_bytes: Most bytes of entries in one message, unless one
            entry alone is larger.
        max_command_bytes: Largest command that is accepted.
        max_in_flight: Most unanswered messages to one member.
        max_uncommitted: Most entries of a leader that are not yet committed.
        snapshot_chunk_bytes: Size of a chunk of a snapshot.
        snapshot_timeout_s: Longest time for a member to take a chunk; the
            last one includes storing the snapshot.
        unheard_since_s: Since when this member certainly has heard no leader,
            on its clock, or None if that is not known: it may have heard one
            until now.
    """

    group: str
    member: messages.Member
    bootstrap: messages.Membership | None = None
    heartbeat_s: float = 0.075
    election_min_s: float = 0.4
    election_max_s: float = 0.8
    snapshot_entries: int = 1000
    trailing_entries: int = 200
    max_batch_entries: int = 512
    max_batch_bytes: int = 1024 * 1024
    max_command_bytes: int = 8 * 1024 * 1024
    max_in_flight: int = 8
    max_uncommitted: int = 10_000
    snapshot_chunk_bytes: int = 256 * 1024
    snapshot_timeout_s: float = 2.0
    unheard_since_s: float | None = None

    @property
    def lease_s(self) -> float:
        """Length of the leader lease in seconds."""
        margin_s = min(_LEASE_MARGIN_S, self.election_min_s / 2)
        return self.election_min_s - margin_s


class Applied(NamedTuple):
    """A command that was applied.

    Attributes:
        index: Index of its entry.
        term: Term of its entry.
        value: What the state machine returned.
    """

    # The name hides a method of tuple that nothing here uses.
    index: int  # type: ignore[assignment]
    term: int
    value: object


ProposeResult = Result[Applied, errors.ProposeError]


class Proposal(NamedTuple):
    """An entry whose proposer waits."""

    term: int
    future: asyncio.Future[ProposeResult]


class Context(NamedTuple):
    """What a node is made of."""

    config: GroupConfig
    storage: interfaces.Storage
    transport: interfaces.Transport
    machine: interfaces.StateMachine
    clock: clock_lib.Clock
    rng: random.Random
    timeline: events.Timeline


class Core:
    """Log, term, role and commit position of a member.

    Methods are synchronous, so that each change is complete before another
    task sees it. What must be durable is queued in the journal; whoever
    answers another member flushes the journal first.

    Attributes:
        failure: Why this member stopped, or an empty text.
        heard_leader_s: When a leader was last heard.
        timer_s: When the election timeout last began.
        elected_at_s: When this member's leadership began.
        round: Number of the latest round of messages that a read asked for.
        barrier_index: Index of the first entry of this member's leadership.
        changed: Notified when the role, commit or applied position changes.
    """

    def __init__(
        self, context: Context, stored: interfaces.Stored, restarted: bool
    ) -> None:
        self.context = context
        self.config = context.config
        self.key = memberships.get_key(context.config.member)
        self.name = memberships.format_key(context.config.member)
        self.log = log_lib.Log(stored)
        self.hard_state = stored.hard_state
        self.journal = journal_lib.Journal(
            context.storage,
            self.log.last_index,
            self._advance_commit_as_leader,
            self.fail,
        )
        self.is_leader = False
        self.leader: messages.Member | None = None
        self.failure = ""
        now_s = context.clock.monotonic()
        # A member that restarts no longer knows when it last heard a leader,
        # whose lease relies on this member refusing votes for a while.
        unheard_s = context.config.unheard_since_s
        if unheard_s is None:
            unheard_s = now_s
        self.heard_leader_s = unheard_s if restarted else float("-inf")
        # The random part of the first timeout stays whole, so that members
        # that restart together do not campaign together.
        self.timer_s = now_s
        if restarted:
            earliest_s = now_s - context.config.election_min_s
            self.timer_s = max(unheard_s, earliest_s)
        self.elected_at_s = float("-inf")
        self.round = 0
        self.barrier_index = 0
        self.commit_index = self.log.base_index
        self.applied_index = self.log.base_index
        self.changed = signals.Signal()
        self.proposals: dict[int, Proposal] = {}
        self.leadership_listeners: list[Callable[[bool], None]] = []
        self.on_membership: Callable[[], None] = lambda: None
        self.on_entries: Callable[[], None] = lambda: None
        self.get_match_index: Callable[[memberships.Key], int] = lambda key: 0
        if self.log.snapshot is not None:
            context.machine.restore(self.log.snapshot.data)

    @property
    def term(self) -> int:
        """The current term."""
        return self.hard_state.term

    @property
    def holds_founding_only(self) -> bool:
        """Whether the log has nothing but the entry that founds the group."""
        return (
            self.log.last_index == FOUNDING_INDEX
            and self.log.last_term == FOUNDING_TERM
        )

    @property
    def is_unused(self) -> bool:
        """Whether this founding member has taken part in no election.

        The founding election needs the votes of all members, so a leader
        that sends entries to an unused member shows that it lost its storage.
        """
        return self.holds_founding_only and self.term == FOUNDING_TERM

    def check_alive(self) -> None:
        """Refuses a request after a storage failure.

        Raises:
            errors.HandlerError: This member has stopped.
        """
        if self.failure:
            raise errors.HandlerError("storage", self.failure)

    def record(self, name: str, **fields: str | int | float | bool) -> None:
        """Records an event of this group."""
        self.context.timeline.record(
            "consensus", name, group=self.config.group, **fields
        )

    def set_hard_state(self, term: int, voted_for: str) -> None:
        """Changes term and vote and queues them for storage."""
        state = messages.HardState(term=term, voted_for=voted_for)
        if state != self.hard_state:
            self.hard_state = state
            self.journal.put([state])

    def observe_term(self, term: int) -> None:
        """Takes over a later term and gives up leadership of an earlier."""
        if term > self.term:
            self.step_down("later term")
            self.leader = None
            self.set_hard_state(term, "")

    def observe_leader(self, term: int, leader: messages.Member) -> None:
        """Follows the leader of the current or a later term."""
        self.observe_term(term)
        if self.leader != leader:
            self.leader = leader
            self.record("follow", leader=leader.instance, term=term)
            self.changed.notify()
        self.heard_leader_s = self.context.clock.monotonic()
        self.timer_s = self.heard_leader_s

    def become_leader(self) -> None:
        """Begins this member's leadership with an entry of its term."""
        self.is_leader = True
        self.leader = self.config.member
        self.elected_at_s = self.context.clock.monotonic()
        self.record("elected", term=self.term)
        log.info("Group %s: leader of term %d.", self.config.group, self.term)
        self.barrier_index = self.append_own("barrier", b"")
        self.on_membership()
        self._tell_listeners(True)

    def step_down(self, reason: str) -> None:
        """Ends this member's leadership, if it leads."""
        if not self.is_leader:
            return
        self.is_leader = False
        self.leader = None
        self.timer_s = self.context.clock.monotonic()
        self.record("stepped_down", term=self.term, reason=reason)
        log.info("Group %s: stepped down: %s.", self.config.group, reason)
        self.on_membership()
        # The next leader's entries often decide what became of a command, so
        # proposers are told "unknown" only after another election.
        asyncio.get_running_loop().call_later(
            self.config.election_max_s, self._give_up, dict(self.proposals)
        )
        self._tell_listeners(False)

    def fail(self, detail: str) -> None:
        """Stops voting, acknowledging and leading for good."""
        if self.failure:
            return
        self.record("failed", detail=detail)
        log.error("Group %s: stopped: %s.", self.config.group, detail)
        self.stop(detail)

    def stop(self, detail: str) -> None:
        """Ends this member's part in the group."""
        self.failure = self.failure or detail
        self.step_down(detail)
        self.leader = None
        proposals, self.proposals = self.proposals, {}
        for proposal in proposals.values():
            _resolve(proposal, fail_propose("storage", detail, True))
        self.changed.notify()

    def append_own(self, kind: str, data: bytes) -> int:
        """Appends an entry as leader and returns its index."""
        entry = messages.LogEntry(
            index=self.log.last_index + 1, term=self.term, kind=kind, data=data
        )
        self.append([entry])
        self.on_entries()
        return entry.index

    def append(self, entries: Sequence[messages.LogEntry]) -> None:
        """Appends entries to the log and queues them for storage."""
        before = self.log.membership
        self.log.append(entries)
        self.journal.put(entries)
        if self.log.membership != before:
            self.on_membership()

    def advance_commit(self, index: int) -> None:
        """Marks entries as committed."""
        if index > self.commit_index:
            self.commit_index = index
            self.changed.notify()

    def update_commit(self) -> None:
        """Commits, as leader, what a majority of voters has stored."""
        if not self.is_leader:
            return
        index = int(
            memberships.find_majority_value(
                self.log.membership, self._get_stored_index
            )
        )
        # An entry of an earlier term can still be replaced although a
        # majority has it (Ongaro and Ousterhout 2014, section 5.4.2).
        if index > self.commit_index and self.log.get_term(index) == self.term:
            self.advance_commit(index)
            self.on_entries()
            self._step_down_if_removed()

    def finish_proposal(self, index: int, term: int, value: object) -> None:
        """Tells a proposer that an entry was committed at its index."""
        proposal = self.proposals.pop(index, None)
        if proposal is None:
            return
        if proposal.term == term:
            _resolve(proposal, Success(Applied(index, term, value)))
            return
        _resolve(proposal, fail_propose("not_leader", "command replaced"))

    def drop_proposals(self, index: int) -> None:
        """Gives up proposals up to an index that a snapshot covers."""
        covered = [each for each in self.proposals if each <= index]
        for each in covered:
            detail = "covered by a snapshot of another leader"
            _resolve(
                self.proposals.pop(each), fail_propose("unknown", detail, True)
            )

    def _get_stored_index(self, key: memberships.Key) -> int:
        if key == self.key:
            return self.journal.durable_index
        return self.get_match_index(key)

    def _step_down_if_removed(self) -> None:
        if self.commit_index >= self.log.membership_index and (
            not memberships.is_voter(self.log.membership, self.key)
        ):
            self.step_down("removed from the group")

    def _advance_commit_as_leader(self) -> None:
        self.update_commit()
        self.changed.notify()

    def _give_up(self, proposals: dict[int, Proposal]) -> None:
        for index, proposal in proposals.items():
            if self.proposals.get(index) is proposal:
                del self.proposals[index]
            _resolve(
                proposal, fail_propose("unknown", "leadership was lost", True)
            )

    def _tell_listeners(self, is_leader: bool) -> None:
        for listener in self.leadership_listeners:
            listener(is_leader)
        self.changed.notify()


def fail_propose(
    code: str, detail: str, applied_unknown: bool = False
) -> Failure[errors.ProposeError]:
    """Returns a failed result of a proposal."""
    return Failure(errors.ProposeError(code, detail, applied_unknown))


def _resolve(proposal: Proposal, result: ProposeResult) -> None:
    if not proposal.future.done():
        proposal.future.set_result(result)
