"""Raft state of one group member.

Election, replication, the follower's request handlers and the public `Node`
all work on one `Core`, which holds the term, vote, log, role and commit index.
"""

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
from bamboosilld.consensus import change_notifier
from bamboosilld.consensus import interfaces
from bamboosilld.consensus import journal as journal_lib
from bamboosilld.consensus import log as log_lib
from bamboosilld.consensus import memberships

log = logs.get_logger("consensus")

# Subtracted from the shortest election timeout to get the leader lease. Covers
# clock drift over one lease and scheduling delay after the lease was checked.
_LEASE_MARGIN_S = 0.2
# A remaining wait below this counts as elapsed. Floating-point rounding can
# leave a remainder so short that the event loop's clock does not advance past
# it.
MIN_WAIT_S = 0.001
# Term and index of the bootstrap entry, which holds the initial membership.
# Every founding member writes the same entry, so their logs match.
BOOTSTRAP_TERM = 1
BOOTSTRAP_INDEX = 1


class GroupConfig(NamedTuple):
    """Settings of one member of a group.

    Attributes:
        group: Name of the group.
        member: This member.
        bootstrap: Initial membership of a new group; used only if the
            storage is empty. None for a member that joins a running group.
        heartbeat_s: Longest time between two messages to a member.
        election_min_s: Shortest election timeout. A member also refuses votes
            for this long after its last contact with a leader.
        election_max_s: Longest election timeout; each one is chosen at random
            between the two bounds.
        snapshot_entries: Number of applied entries after which a snapshot is
            taken.
        trailing_entries: Number of entries kept in memory after a snapshot
            covers them, so that a member that lags slightly can catch up from
            the log.
        max_batch_entries: Most entries in one message.
        max_batch_bytes: Most bytes of entries in one message, unless one
            entry alone is larger.
        max_command_bytes: Largest command that is accepted.
        max_in_flight_messages: Most unanswered messages with entries to one
            member.
        max_uncommitted: Most uncommitted entries in a leader's log; further
            proposals are refused.
        snapshot_chunk_bytes: Size of a chunk of a snapshot.
        snapshot_timeout_s: Timeout for one chunk of a snapshot; the last
            chunk includes storing the snapshot.
        no_leader_contact_since_s: Monotonic time since which this member is
            known to have had no contact with a leader. None if unknown: the
            member assumes that it had contact until it started.
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
    max_in_flight_messages: int = 8
    max_uncommitted: int = 10_000
    snapshot_chunk_bytes: int = 256 * 1024
    snapshot_timeout_s: float = 2.0
    no_leader_contact_since_s: float | None = None

    @property
    def lease_s(self) -> float:
        """Length of the leader lease in seconds."""
        margin_s = min(_LEASE_MARGIN_S, self.election_min_s / 2)
        return self.election_min_s - margin_s


class AppliedCommand(NamedTuple):
    """Result of an applied command.

    Attributes:
        index: Index of its entry.
        term: Term of its entry.
        value: Return value of the state machine.
    """

    # Overrides `tuple.index`, which is not used here.
    index: int  # type: ignore[assignment]
    term: int
    value: object


ProposeResult = Result[AppliedCommand, errors.ProposeError]


class Proposal(NamedTuple):
    """A log entry whose proposer waits for the result."""

    term: int
    future: asyncio.Future[ProposeResult]


class Context(NamedTuple):
    """Dependencies of a node."""

    config: GroupConfig
    storage: interfaces.Storage
    transport: interfaces.Transport
    machine: interfaces.StateMachine
    clock: clock_lib.Clock
    rng: random.Random
    timeline: events.Timeline


class Core:
    """Log, term, role and commit index of a member.

    Methods are synchronous, so other tasks never see a partial change.
    Records that must be durable are queued in the journal; code that replies
    to another member flushes the journal first.

    Attributes:
        failure: Why this member stopped, or an empty string.
        leader_contact_s: When this member last had contact with a leader.
        election_timer_start_s: When the election timer was last reset.
        elected_at_s: When this member last became leader.
        read_round: Number of the latest round of messages that a linearizable
            read started to confirm this member's leadership.
        barrier_index: Index of the barrier entry, which a new leader appends
            first in its term.
        changed: Notified when the role, commit index or applied index
            changes.
    """

    def __init__(
        self, context: Context, stored: interfaces.StoredState, restarted: bool
    ) -> None:
        self.context = context
        self.config = context.config
        self.member_id = memberships.get_member_id(context.config.member)
        self.name = memberships.format_member_id(context.config.member)
        self.log = log_lib.Log(stored)
        self.hard_state = stored.hard_state
        self.journal = journal_lib.Journal(
            context.storage,
            self.log.last_index,
            self._handle_durable_entries,
            self.fail,
        )
        self.is_leader = False
        self.leader: messages.Member | None = None
        self.failure = ""
        now_s = context.clock.monotonic()
        # A restarted member does not know when it last had contact with a
        # leader. That leader's lease relies on this member refusing votes for
        # `election_min_s`, so the latest possible time is assumed.
        contact_s = context.config.no_leader_contact_since_s
        if contact_s is None:
            contact_s = now_s
        self.leader_contact_s = contact_s if restarted else float("-inf")
        # Time before the start counts only up to `election_min_s`. The random
        # part of the first timeout remains, so that members that restart
        # together do not start elections together.
        self.election_timer_start_s = now_s
        if restarted:
            earliest_s = now_s - context.config.election_min_s
            self.election_timer_start_s = max(contact_s, earliest_s)
        self.elected_at_s = float("-inf")
        self.read_round = 0
        self.barrier_index = 0
        self.commit_index = self.log.base_index
        self.applied_index = self.log.base_index
        self.changed = change_notifier.ChangeNotifier()
        self.proposals: dict[int, Proposal] = {}
        self.leadership_listeners: list[Callable[[bool], None]] = []
        self.on_membership_change: Callable[[], None] = lambda: None
        self.on_log_advance: Callable[[], None] = lambda: None
        self.get_match_index: Callable[[memberships.MemberId], int] = (
            lambda member_id: 0
        )
        if self.log.snapshot is not None:
            context.machine.restore(self.log.snapshot.data)

    @property
    def term(self) -> int:
        """The current term."""
        return self.hard_state.term

    @property
    def has_only_bootstrap_entry(self) -> bool:
        """Whether the log holds only the bootstrap entry."""
        return (
            self.log.last_index == BOOTSTRAP_INDEX
            and self.log.last_term == BOOTSTRAP_TERM
        )

    @property
    def is_freshly_bootstrapped(self) -> bool:
        """Whether this member bootstrapped and never took part in an election.

        The first election needs the votes of all members. If a leader exists
        although this member has not voted, the member lost its storage and
        bootstrapped again.
        """
        return self.has_only_bootstrap_entry and self.term == BOOTSTRAP_TERM

    def raise_if_failed(self) -> None:
        """Refuses a request if this member has stopped.

        Raises:
            errors.HandlerError: This member has stopped.
        """
        if self.failure:
            raise errors.HandlerError("storage", self.failure)

    def record(self, name: str, **fields: str | int | float | bool) -> None:
        """Records an event of this group on the timeline."""
        self.context.timeline.record(
            "consensus", name, group=self.config.group, **fields
        )

    def set_hard_state(self, term: int, voted_for: str) -> None:
        """Sets term and vote and queues them for storage if they changed."""
        state = messages.HardState(term=term, voted_for=voted_for)
        if state != self.hard_state:
            self.hard_state = state
            self.journal.put([state])

    def observe_term(self, term: int) -> None:
        """Adopts a later term and steps down as leader of an earlier one."""
        if term > self.term:
            self.step_down("later term")
            self.leader = None
            self.set_hard_state(term, "")

    def observe_leader(self, term: int, leader: messages.Member) -> None:
        """Adopts the leader of the current or a later term.

        Resets the election timer.
        """
        self.observe_term(term)
        if self.leader != leader:
            self.leader = leader
            self.record("follow", leader=leader.instance, term=term)
            self.changed.notify()
        self.leader_contact_s = self.context.clock.monotonic()
        self.election_timer_start_s = self.leader_contact_s

    def become_leader(self) -> None:
        """Makes this member leader and appends the barrier entry."""
        self.is_leader = True
        self.leader = self.config.member
        self.elected_at_s = self.context.clock.monotonic()
        self.record("elected", term=self.term)
        log.info(
            "Group %s: elected leader of term %d.", self.config.group, self.term
        )
        self.barrier_index = self.append_as_leader("barrier", b"")
        self.on_membership_change()
        self._notify_leadership_listeners(True)

    def step_down(self, reason: str) -> None:
        """Ends this member's leadership, if it is leader."""
        if not self.is_leader:
            return
        self.is_leader = False
        self.leader = None
        self.election_timer_start_s = self.context.clock.monotonic()
        self.record("stepped_down", term=self.term, reason=reason)
        log.info(
            "Group %s: stepped down as leader: %s.", self.config.group, reason
        )
        self.on_membership_change()
        # The next leader's log usually shows whether a pending command was
        # committed. Proposals fail as "unknown" only after an election timeout.
        asyncio.get_running_loop().call_later(
            self.config.election_max_s,
            self._fail_undecided_proposals,
            dict(self.proposals),
        )
        self._notify_leadership_listeners(False)

    def fail(self, detail: str) -> None:
        """Stops this member permanently after an internal failure.

        It no longer votes, acknowledges entries or leads.
        """
        if self.failure:
            return
        self.record("failed", detail=detail)
        log.error("Group %s: stopped: %s.", self.config.group, detail)
        self.stop(detail)

    def stop(self, detail: str) -> None:
        """Stops this member and fails its pending proposals."""
        self.failure = self.failure or detail
        self.step_down(detail)
        self.leader = None
        proposals, self.proposals = self.proposals, {}
        for proposal in proposals.values():
            _resolve(proposal, make_propose_failure("storage", detail, True))
        self.changed.notify()

    def append_as_leader(self, kind: str, data: bytes) -> int:
        """Appends an entry of the current term as leader; returns its index."""
        entry = messages.LogEntry(
            index=self.log.last_index + 1, term=self.term, kind=kind, data=data
        )
        self.append([entry])
        self.on_log_advance()
        return entry.index

    def append(self, entries: Sequence[messages.LogEntry]) -> None:
        """Appends entries to the log and queues them for storage."""
        old_membership = self.log.membership
        self.log.append(entries)
        self.journal.put(entries)
        if self.log.membership != old_membership:
            self.on_membership_change()

    def advance_commit(self, index: int) -> None:
        """Raises the commit index to `index` if it is lower."""
        if index > self.commit_index:
            self.commit_index = index
            self.changed.notify()

    def update_commit(self) -> None:
        """Commits, as leader, the entries that a majority of voters stored."""
        if not self.is_leader:
            return
        index = int(
            memberships.find_majority_value(
                self.log.membership, self._get_stored_index
            )
        )
        # An entry of an earlier term can still be replaced even if a majority
        # stored it (Ongaro and Ousterhout 2014, section 5.4.2).
        if index > self.commit_index and self.log.get_term(index) == self.term:
            self.advance_commit(index)
            self.on_log_advance()
            self._step_down_if_removed()

    def resolve_proposal(self, index: int, term: int, value: object) -> None:
        """Resolves the proposal at the index of an applied entry.

        It fails if another leader's entry was committed at this index.
        """
        proposal = self.proposals.pop(index, None)
        if proposal is None:
            return
        if proposal.term == term:
            _resolve(proposal, Success(AppliedCommand(index, term, value)))
            return
        _resolve(
            proposal, make_propose_failure("not_leader", "command replaced")
        )

    def fail_compacted_proposals(self, index: int) -> None:
        """Fails proposals up to an index that an installed snapshot covers.

        Their outcome is unknown: the snapshot does not show single commands.
        """
        compacted = [each for each in self.proposals if each <= index]
        for each in compacted:
            detail = "covered by a snapshot of another leader"
            _resolve(
                self.proposals.pop(each),
                make_propose_failure("unknown", detail, True),
            )

    def _get_stored_index(self, member_id: memberships.MemberId) -> int:
        if member_id == self.member_id:
            return self.journal.durable_index
        return self.get_match_index(member_id)

    def _step_down_if_removed(self) -> None:
        if self.commit_index >= self.log.membership_index and (
            not memberships.is_voter(self.log.membership, self.member_id)
        ):
            self.step_down("removed from the group")

    def _handle_durable_entries(self) -> None:
        self.update_commit()
        self.changed.notify()

    def _fail_undecided_proposals(self, proposals: dict[int, Proposal]) -> None:
        for index, proposal in proposals.items():
            if self.proposals.get(index) is proposal:
                del self.proposals[index]
            _resolve(
                proposal,
                make_propose_failure("unknown", "leadership was lost", True),
            )

    def _notify_leadership_listeners(self, is_leader: bool) -> None:
        for listener in self.leadership_listeners:
            listener(is_leader)
        self.changed.notify()


def make_propose_failure(
    code: str, detail: str, applied_unknown: bool = False
) -> Failure[errors.ProposeError]:
    """Returns the failed result of a proposal."""
    return Failure(errors.ProposeError(code, detail, applied_unknown))


def _resolve(proposal: Proposal, result: ProposeResult) -> None:
    if not proposal.future.done():
        proposal.future.set_result(result)
