"""Replication: one task for each other member while this one leads."""

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
# Longest pause after refusals: a member that is back under another identity
# goes on refusing until its former one has been removed.
_MAX_PAUSE_S = 1.0
# Failed calls that took a while already; a refusal comes at once.
_NOT_ANSWERED = frozenset(("timeout", "unreachable"))


class Peer:
    """What a leader knows of another member, and the task that feeds it.

    Attributes:
        match_index: Last index known to be stored by the member.
        acked_round: Latest round of the leader that the member answered.
        acked_sent_s: When the latest answered message was sent.
        heard_s: When the member last answered.
    """

    def __init__(self, core: core_lib.Core, member: messages.Member) -> None:
        self._core = core
        self._config = core.config
        self._context = core.context
        self._term = core.term
        self.member = member
        self.match_index = 0
        self.acked_round = 0
        self.acked_sent_s = _NEVER_S
        self.heard_s = core.context.clock.monotonic()
        # The last entry is always sent, because only entries show from where
        # on the member's log differs.
        self._next_index = core.log.last_index
        # Until the member's log is known to match, one message with entries
        # is sent at a time; after that they are pipelined.
        self._probing = True
        self._installing = False
        self._sent_round = 0
        self._sent_commit = 0
        self._sent_s = _NEVER_S
        # A member that refuses at once is not sent entries again at once.
        self._resume_s = _NEVER_S
        self._pause_s = core.config.heartbeat_s
        self._has_refused = False
        self._calls: set[asyncio.Task[None]] = set()
        self._wake = asyncio.Event()

    def wake(self) -> None:
        """Lets the task look for something to send."""
        self._wake.set()

    async def run(self) -> None:
        """Sends entries, commit positions and heartbeats until cancelled."""
        try:
            while True:
                self._send_due()
                try:
                    async with asyncio.timeout(max(self._get_wait_s(), 0)):
                        await self._wake.wait()
                except TimeoutError:
                    pass
                self._wake.clear()
        finally:
            for call in self._calls:
                call.cancel()

    def _send_due(self) -> None:
        log = self._core.log
        has_entries = self._next_index <= log.last_index
        limit = 1 if self._probing else self._config.max_in_flight
        may_send = (
            len(self._calls) < limit
            and not self._installing
            and not self._is_paused()
        )
        is_due = self._get_wait_s() < core_lib.SHORTEST_WAIT_S
        if has_entries and may_send:
            if self._next_index <= log.base_index:
                self._start(self._install())
            else:
                while self._next_index <= log.last_index and (
                    len(self._calls) < limit
                ):
                    self._send_entries()
        elif (
            is_due
            or self._sent_round < self._core.round
            or (may_send and self._sent_commit < self._core.commit_index)
        ):
            self._send_heartbeat()

    def _get_wait_s(self) -> float:
        """Returns the seconds until the next heartbeat."""
        due_s = self._sent_s + self._config.heartbeat_s
        return due_s - self._context.clock.monotonic()

    def _send_entries(self) -> None:
        # One entry shows whether a member takes them again after a refusal.
        limit = 1 if self._has_refused else self._config.max_batch_entries
        entries = self._core.log.list_entries(
            self._next_index, limit, self._config.max_batch_bytes
        )
        previous = self._next_index - 1
        self._next_index += len(entries)
        self._send_append(previous, entries)

    def _send_heartbeat(self) -> None:
        # The member has stored all up to the position known to match, so it
        # answers at once, also while it stores entries on their way.
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
        self._sent_commit = core.commit_index
        self._start(self._append(request))

    def _start(self, call: Any) -> None:
        # Set before the call runs, so that the loop does not send twice.
        self._sent_s = self._context.clock.monotonic()
        self._sent_round = self._core.round
        task = asyncio.create_task(call)
        self._calls.add(task)
        task.add_done_callback(self._finish_call)

    def _finish_call(self, task: asyncio.Task[None]) -> None:
        self._calls.discard(task)
        self._wake.set()
        if not task.cancelled() and task.exception() is not None:
            core_lib.log.error(
                "Replication call failed.", exc_info=task.exception()
            )

    async def _append(self, request: messages.AppendEntries) -> None:
        reply = await self._call(request, self._config.election_min_s)
        if reply is None:
            if request.entries:
                self._restart_probing(self.match_index)
            return
        if reply.success:
            self._probing = self._probing and not request.entries
            self._take_match(reply.match_index)
        else:
            self._restart_probing(reply.match_index)

    async def _install(self) -> None:
        """Sends the latest snapshot, one chunk after the other."""
        snapshot = self._core.log.snapshot
        assert snapshot is not None
        self._installing = True
        self._core.record("send_snapshot", member=self.member.instance)
        try:
            size = self._config.snapshot_chunk_bytes
            for offset in range(0, max(len(snapshot.data), 1), size):
                reply = await self._call(
                    self._make_chunk(snapshot, offset, size),
                    self._config.snapshot_timeout_s,
                )
                if reply is None or not reply.success:
                    return
            self._take_match(snapshot.last_index)
            self._next_index = self.match_index + 1
        finally:
            self._installing = False

    def _is_paused(self) -> bool:
        left_s = self._resume_s - self._context.clock.monotonic()
        return left_s > core_lib.SHORTEST_WAIT_S

    def _pause(self) -> None:
        """Waits after a refusal, twice as long after each further one."""
        self._has_refused = True
        self._resume_s = self._sent_s + self._pause_s
        self._pause_s = min(_MAX_PAUSE_S, 2 * self._pause_s)

    def _make_chunk(
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
        """Returns the member's reply in this term, or None."""
        core = self._core
        clock = self._context.clock
        sent_s = clock.monotonic()
        sent_round = self._sent_round = core.round
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
                self._pause_s = self._config.heartbeat_s
                self._has_refused = False
                self.heard_s = clock.monotonic()
                self.acked_sent_s = max(self.acked_sent_s, sent_s)
                self.acked_round = max(self.acked_round, sent_round)
                core.changed.notify()
                return reply
            case Failure(error) if error.code not in _NOT_ANSWERED:
                self._pause()
        return None

    def _take_match(self, index: int) -> None:
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
    """All peers of a leader, and what a majority of them has answered."""

    def __init__(self, core: core_lib.Core) -> None:
        self._core = core
        self._peers: dict[memberships.Key, Peer] = {}
        self._tasks: dict[memberships.Key, asyncio.Task[None]] = {}
        core.on_membership = self.update_peers
        core.on_entries = self.wake_peers
        core.get_match_index = self._get_match_index

    def update_peers(self) -> None:
        """Starts and stops tasks so that they fit role and membership."""
        core = self._core
        wanted = {}
        if core.is_leader:
            wanted = {
                memberships.get_key(each): each
                for each in core.log.membership.members
                if memberships.get_key(each) != core.key
            }
        for key in list(self._peers):
            if wanted.get(key) != self._peers[key].member:
                self._replace_member(key, wanted.get(key))
        for key, member in wanted.items():
            if key not in self._peers:
                peer = self._peers[key] = Peer(core, member)
                self._tasks[key] = asyncio.create_task(peer.run())

    def _replace_member(
        self, key: memberships.Key, member: messages.Member | None
    ) -> None:
        # A change of vote or address keeps what is known of the member.
        if member is not None:
            self._peers[key].member = member
            return
        del self._peers[key]
        self._tasks.pop(key).cancel()

    def wake_peers(self) -> None:
        """Lets all tasks look for something to send."""
        for peer in self._peers.values():
            peer.wake()

    def get_peer(self, key: memberships.Key) -> Peer | None:
        """Returns what is known of a member."""
        return self._peers.get(key)

    def can_reach_majority(self, membership: messages.Membership) -> bool:
        """Returns whether a majority of a new membership answers lately."""
        now_s = self._core.context.clock.monotonic()
        sent_s = memberships.find_majority_value(membership, self._get_sent_s)
        return now_s - sent_s < self._core.config.election_min_s

    def has_quorum_contact(self) -> bool:
        """Returns whether a majority answered lately (check-quorum)."""
        sent_s = max(self._find_majority_sent_s(), self._core.elected_at_s)
        silence_s = self._core.context.clock.monotonic() - sent_s
        return silence_s < self._core.config.election_min_s

    def has_lease(self) -> bool:
        """Returns whether no other member can have been elected."""
        now_s = self._core.context.clock.monotonic()
        end_s = self._find_majority_sent_s() + self._core.config.lease_s
        return now_s < end_s

    async def confirm_leadership(self, deadline_s: float) -> bool:
        """Sends a round now and waits for a majority's answers to it."""
        core = self._core
        term = core.term
        # A number, not a time: an answer counts only if its request was sent
        # after this call, also when the process was paused in between.
        core.round += 1
        waited_round = core.round
        self.wake_peers()

        def is_decided() -> bool:
            return (
                not core.is_leader
                or core.term != term
                or self._find_majority_round() >= waited_round
            )

        await core.changed.wait_until(is_decided, deadline_s)
        return (
            core.is_leader
            and core.term == term
            and self._find_majority_round() >= waited_round
        )

    def _find_majority_sent_s(self) -> float:
        return memberships.find_majority_value(
            self._core.log.membership, self._get_sent_s
        )

    def _get_sent_s(self, key: memberships.Key) -> float:
        if key == self._core.key:
            return self._core.context.clock.monotonic()
        peer = self._peers.get(key)
        return peer.acked_sent_s if peer else _NEVER_S

    def _find_majority_round(self) -> float:
        def get_round(key: memberships.Key) -> float:
            if key == self._core.key:
                return float("inf")
            peer = self._peers.get(key)
            return peer.acked_round if peer else 0

        return memberships.find_majority_value(
            self._core.log.membership, get_round
        )

    def _get_match_index(self, key: memberships.Key) -> int:
        peer = self._peers.get(key)
        return peer.match_index if peer else 0
