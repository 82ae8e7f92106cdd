"""Log replication from the leader to the other members.

The leader runs one task for each other member. From the replies, it computes
the commit index, its lease and the confirmation of linearizable reads.
"""

import asyncio
from collections.abc import Sequence
from typing import Any

from returns.result import Failure
from returns.result import Success

from bamboosill_common.generated import consensus as messages
from bamboosilld.consensus import core as core_lib
from bamboosilld.consensus import interfaces
from bamboosilld.consensus import memberships

_NEVER_S = float("-inf")
# Upper bound of the backoff after refusals. A member that restarted under a new
# incarnation refuses requests until its former incarnation is removed from the
# group.
_MAX_BACKOFF_S = 1.0
# Error codes of calls that got no reply. They need no backoff, because such a
# call has already taken time; a refusal arrives at once.
_NO_REPLY_CODES = frozenset(("timeout", "unreachable"))


class Peer:
    """A leader's replication state for another member, and its task.

    Attributes:
        match_index: Last index up to which the member's stored log is known
            to match.
        acked_read_round: Latest read round of which the member answered a
            message.
        acked_sent_s: Send time of the latest answered message.
        last_reply_s: When the member last answered.
    """

    def __init__(self, core: core_lib.Core, member: messages.Member) -> None:
        self._core = core
        self._config = core.config
        self._context = core.context
        self._term = core.term
        self.member = member
        self.match_index = 0
        self.acked_read_round = 0
        self.acked_sent_s = _NEVER_S
        self.last_reply_s = core.context.clock.monotonic()
        # Starts at the last entry, so that at least one entry is sent: only a
        # message with entries finds where the member's log differs.
        self._next_index = core.log.last_index
        # While probing for the index up to which the logs match, one message
        # with entries is sent at a time; afterwards messages are pipelined.
        self._probing = True
        self._sending_snapshot = False
        self._sent_read_round = 0
        self._sent_commit_index = 0
        self._sent_s = _NEVER_S
        # Exponential backoff for entries after the member refused a message.
        self._backoff_end_s = _NEVER_S
        self._backoff_s = core.config.heartbeat_s
        self._was_refused = False
        self._pending_calls: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Makes the task check for messages to send."""
        self._wake.set()

    async def run(self) -> None:
        """Sends entries, commit indexes and heartbeats until cancelled."""
        try:
            while True:
                self._send_pending()
                try:
                    async with asyncio.timeout(
                        max(self._get_heartbeat_wait_s(), 0)
                    ):
                        await self._wake.wait()
                except TimeoutError:
                    pass
                self._wake.clear()
        finally:
            for call in self._pending_calls:
                call.cancel()

    def _send_pending(self) -> None:
        log = self._core.log
        has_entries = self._next_index <= log.last_index
        limit = 1 if self._probing else self._config.max_in_flight_messages
        may_send = (
            len(self._pending_calls) < limit
            and not self._sending_snapshot
            and not self._is_backing_off()
        )
        is_due = self._get_heartbeat_wait_s() < core_lib.MIN_WAIT_S
        if has_entries and may_send:
            if self._next_index <= log.base_index:
                self._start_call(self._send_snapshot())
            else:
                while self._next_index <= log.last_index and (
                    len(self._pending_calls) < limit
                ):
                    self._send_entries()
        elif (
            is_due
            or self._sent_read_round < self._core.read_round
            or (may_send and self._sent_commit_index < self._core.commit_index)
        ):
            self._send_heartbeat()

    def _get_heartbeat_wait_s(self) -> float:
        """Returns the seconds until the next heartbeat."""
        due_s = self._sent_s + self._config.heartbeat_s
        return due_s - self._context.clock.monotonic()

    def _send_entries(self) -> None:
        # After a refusal, one entry tests whether the member accepts again.
        limit = 1 if self._was_refused else self._config.max_batch_entries
        entries = self._core.log.list_entries(
            self._next_index, limit, self._config.max_batch_bytes
        )
        previous = self._next_index - 1
        self._next_index += len(entries)
        self._send_append(previous, entries)

    def _send_heartbeat(self) -> None:
        # The member has stored everything up to the match index, so it answers
        # at once even while it stores further entries.
        previous = self.match_index
        if self._core.log.get_term(previous) is None:
            previous = 0
        self._send_append(previous, ())

    def _send_append(
        self, previous: int, entries: Sequence[messages.LogEntry]
    ) -> None:
        core = self._core
        previous_term = core.log.get_term(previous) if previous else 0
        assert previous_term is not None
        request = messages.AppendEntries(
            group=self._config.group,
            term=self._term,
            leader=self._config.member,
            prev_index=previous,
            prev_term=previous_term,
            commit=core.commit_index,
            entries=tuple(entries),
            target=self.member,
        )
        self._sent_commit_index = core.commit_index
        self._start_call(self._call_append(request))

    def _start_call(self, call: Any) -> None:
        # Set before the call runs, so that `run` does not send twice.
        self._sent_s = self._context.clock.monotonic()
        self._sent_read_round = self._core.read_round
        task = asyncio.create_task(call)
        self._pending_calls.add(task)
        task.add_done_callback(self._finish_call)

    def _finish_call(self, task: asyncio.Task[None]) -> None:
        self._pending_calls.discard(task)
        self._wake.set()
        if not task.cancelled() and task.exception() is not None:
            core_lib.log.error(
                "Replication call failed.", exc_info=task.exception()
            )

    async def _call_append(self, request: messages.AppendEntries) -> None:
        reply = await self._call(request, self._config.election_min_s)
        if reply is None:
            if request.entries:
                self._restart_probing(self.match_index)
            return
        if reply.success:
            self._probing = self._probing and not request.entries
            self._advance_match(reply.match_index)
        else:
            self._restart_probing(reply.match_index)

    async def _send_snapshot(self) -> None:
        """Sends the latest snapshot chunk by chunk."""
        snapshot = self._core.log.snapshot
        assert snapshot is not None
        self._sending_snapshot = True
        self._core.record("send_snapshot", member=self.member.instance)
        try:
            size = self._config.snapshot_chunk_bytes
            for offset in range(0, max(len(snapshot.data), 1), size):
                reply = await self._call(
                    self._make_snapshot_request(snapshot, offset, size),
                    self._config.snapshot_timeout_s,
                )
                if reply is None or not reply.success:
                    return
            self._advance_match(snapshot.last_index)
            self._next_index = self.match_index + 1
        finally:
            self._sending_snapshot = False

    def _is_backing_off(self) -> bool:
        left_s = self._backoff_end_s - self._context.clock.monotonic()
        return left_s > core_lib.MIN_WAIT_S

    def _back_off(self) -> None:
        """Delays further entries after a refusal; doubles the next delay."""
        self._was_refused = True
        self._backoff_end_s = self._sent_s + self._backoff_s
        self._backoff_s = min(_MAX_BACKOFF_S, 2 * self._backoff_s)

    def _make_snapshot_request(
        self, snapshot: interfaces.Snapshot, offset: int, size: int
    ) -> messages.InstallSnapshot:
        return messages.InstallSnapshot(
            group=self._config.group,
            term=self._term,
            leader=self._config.member,
            last_index=snapshot.last_index,
            last_term=snapshot.last_term,
            membership=snapshot.membership,
            offset=offset,
            data=snapshot.data[offset : offset + size],
            done=offset + size >= len(snapshot.data),
            target=self.member,
        )

    async def _call(
        self, request: Any, deadline_s: float
    ) -> messages.AppendReply | None:
        """Returns the member's reply, or None on failure or a later term."""
        core = self._core
        clock = self._context.clock
        sent_s = clock.monotonic()
        # The reply confirms leadership only for read rounds that had started
        # when the request was sent; see `Core.read_round`.
        read_round_at_send = self._sent_read_round = core.read_round
        result = await self._context.transport.call(
            self.member,
            request,
            messages.AppendReply,
            deadline_s,
        )
        match result:
            case Success(reply):
                if reply.term > self._term:
                    core.observe_term(reply.term)
                    return None
                self._backoff_s = self._config.heartbeat_s
                self._was_refused = False
                self.last_reply_s = clock.monotonic()
                self.acked_sent_s = max(self.acked_sent_s, sent_s)
                self.acked_read_round = max(
                    self.acked_read_round, read_round_at_send
                )
                core.changed.notify()
                return reply
            case Failure(error) if error.code not in _NO_REPLY_CODES:
                self._back_off()
        return None

    def _advance_match(self, index: int) -> None:
        if index > self.match_index:
            self.match_index = index
            self._core.update_commit()
        self._next_index = max(self._next_index, self.match_index + 1)

    def _restart_probing(self, index: int) -> None:
        self._probing = True
        self._next_index = max(
            min(self._next_index, index + 1), self.match_index + 1
        )


class Replication:
    """Sends the leader's log to its peers and evaluates their replies."""

    def __init__(self, core: core_lib.Core) -> None:
        self._core = core
        self._peers: dict[memberships.MemberId, Peer] = {}
        self._tasks: dict[memberships.MemberId, asyncio.Task[None]] = {}
        core.on_membership_change = self.update_peers
        core.on_log_advance = self.wake_peers
        core.get_match_index = self._get_match_index

    def update_peers(self) -> None:
        """Starts and stops tasks to match the role and the membership."""
        core = self._core
        wanted = {}
        if core.is_leader:
            wanted = {
                memberships.get_member_id(each): each
                for each in core.log.membership.members
                if memberships.get_member_id(each) != core.member_id
            }
        for member_id in list(self._peers):
            if wanted.get(member_id) != self._peers[member_id].member:
                self._update_or_remove_peer(member_id, wanted.get(member_id))
        for member_id, member in wanted.items():
            if member_id not in self._peers:
                peer = self._peers[member_id] = Peer(core, member)
                self._tasks[member_id] = asyncio.create_task(peer.run())

    def _update_or_remove_peer(
        self, member_id: memberships.MemberId, member: messages.Member | None
    ) -> None:
        # If only the vote or address changed, the replication state is kept.
        if member is not None:
            self._peers[member_id].member = member
            return
        del self._peers[member_id]
        self._tasks.pop(member_id).cancel()

    def wake_peers(self) -> None:
        """Makes all tasks check for messages to send."""
        for peer in self._peers.values():
            peer.wake()

    def get_peer(self, member_id: memberships.MemberId) -> Peer | None:
        """Returns the replication state of a member, or None."""
        return self._peers.get(member_id)

    def can_reach_majority(self, membership: messages.Membership) -> bool:
        """Returns whether a majority of a membership answered recently."""
        now_s = self._core.context.clock.monotonic()
        sent_s = memberships.find_majority_value(membership, self._get_sent_s)
        return now_s - sent_s < self._core.config.election_min_s

    def has_quorum_contact(self) -> bool:
        """Returns whether a majority answered recently (check-quorum)."""
        sent_s = max(self._find_majority_sent_s(), self._core.elected_at_s)
        silence_s = self._core.context.clock.monotonic() - sent_s
        return silence_s < self._core.config.election_min_s

    def has_lease(self) -> bool:
        """Returns whether the leader lease is valid.

        While it is, no other member can have been elected.
        """
        now_s = self._core.context.clock.monotonic()
        end_s = self._find_majority_sent_s() + self._core.config.lease_s
        return now_s < end_s

    async def confirm_leadership(self, deadline_s: float) -> bool:
        """Starts a read round and waits until a majority has answered it.

        Returns whether this member is still the leader of the same term.
        """
        core = self._core
        term = core.term
        # Rounds are numbered instead of timed: a reply must count only if its
        # request was sent after this call, even if the process was paused in
        # between.
        core.read_round += 1
        awaited_read_round = core.read_round
        self.wake_peers()

        def is_decided() -> bool:
            return (
                not core.is_leader
                or core.term != term
                or self._find_majority_read_round() >= awaited_read_round
            )

        await core.changed.wait_until(is_decided, deadline_s)
        return (
            core.is_leader
            and core.term == term
            and self._find_majority_read_round() >= awaited_read_round
        )

    def _find_majority_sent_s(self) -> float:
        return memberships.find_majority_value(
            self._core.log.membership, self._get_sent_s
        )

    def _get_sent_s(self, member_id: memberships.MemberId) -> float:
        if member_id == self._core.member_id:
            return self._core.context.clock.monotonic()
        peer = self._peers.get(member_id)
        return peer.acked_sent_s if peer else _NEVER_S

    def _find_majority_read_round(self) -> float:
        def get_acked_read_round(member_id: memberships.MemberId) -> float:
            if member_id == self._core.member_id:
                return float("inf")
            peer = self._peers.get(member_id)
            return peer.acked_read_round if peer else 0

        return memberships.find_majority_value(
            self._core.log.membership, get_acked_read_round
        )

    def _get_match_index(self, member_id: memberships.MemberId) -> int:
        peer = self._peers.get(member_id)
        return peer.match_index if peer else 0
