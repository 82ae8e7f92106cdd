"""Handles a leader's entries and snapshots on a follower."""

from bamboosill_common import errors
from bamboosill_common.generated import consensus as messages
from bamboosilld.consensus import core as core_lib
from bamboosilld.consensus import election
from bamboosilld.consensus import interfaces


class Follower:
    """Handles AppendEntries and InstallSnapshot.

    A handler changes the log before it first awaits, so requests take effect
    in order of arrival. The reply waits until the change is durable.
    """

    def __init__(self, core: core_lib.Core) -> None:
        self._core = core
        self._snapshot_data = bytearray()
        self._snapshot_id = (0, 0, 0)

    async def handle_append(
        self, request: messages.AppendEntries
    ) -> messages.AppendReply:
        """Appends a leader's entries and replies when they are durable.

        Raises:
            errors.HandlerError: This member may not acknowledge.
            interfaces.StorageError: The entries could not be stored.
        """
        core = self._core
        if request.term < core.term:
            return messages.AppendReply(term=core.term, success=False)
        self._accept_leader(request.term, request.leader)
        if not self._has_matching_entry(request.prev_index, request.prev_term):
            match_hint = self._find_match_hint(request.prev_index)
            return messages.AppendReply(
                term=core.term, success=False, match_index=match_hint
            )
        missing = core.log.list_missing_entries(request.entries)
        if missing:
            if missing[0].index <= core.commit_index:
                core.fail(
                    f"entry {missing[0].index} contradicts a committed one"
                )
                core.raise_if_failed()
            core.append(missing)
        match_index = request.prev_index + len(request.entries)
        core.advance_commit(min(request.commit, match_index))
        return await self._acknowledge(request.term, match_index)

    async def handle_snapshot(
        self, request: messages.InstallSnapshot
    ) -> messages.AppendReply:
        """Collects the chunks of a snapshot and installs it after the last.

        Raises:
            errors.HandlerError: This member may not acknowledge.
            interfaces.StorageError: The snapshot could not be stored.
        """
        core = self._core
        if request.term < core.term:
            return messages.AppendReply(term=core.term, success=False)
        self._accept_leader(request.term, request.leader)
        snapshot_id = (request.term, request.last_index, request.last_term)
        if request.offset == 0:
            self._snapshot_id, self._snapshot_data = snapshot_id, bytearray()
        if (
            self._snapshot_id != snapshot_id
            or len(self._snapshot_data) != request.offset
        ):
            return messages.AppendReply(term=core.term, success=False)
        self._snapshot_data += request.data
        if request.done:
            data, self._snapshot_data = bytes(self._snapshot_data), bytearray()
            snapshot = interfaces.Snapshot(
                request.last_index, request.last_term, request.membership, data
            )
            if snapshot.last_index > core.commit_index:
                self._install_snapshot(snapshot)
        return await self._acknowledge(request.term, request.last_index)

    def _accept_leader(self, term: int, leader: messages.Member) -> None:
        core = self._core
        if core.is_freshly_bootstrapped and term > core_lib.BOOTSTRAP_TERM:
            raise errors.HandlerError("storage", election.LOST_STORAGE)
        if core.is_leader and term == core.term:
            raise errors.HandlerError("refused", "this member leads the term")
        core.observe_leader(term, leader)

    def _has_matching_entry(self, index: int, term: int) -> bool:
        log = self._core.log
        # Entries up to the base index are committed, so all logs agree on them.
        return index <= log.base_index or log.get_term(index) == term

    def _find_match_hint(self, index: int) -> int:
        """Returns the last index at which the logs may match.

        The leader continues after it. Skips a whole conflicting term at once.
        """
        log = self._core.log
        if index > log.last_index:
            return log.last_index
        return max(log.find_term_start(index) - 1, log.base_index)

    def _install_snapshot(self, snapshot: interfaces.Snapshot) -> None:
        core = self._core
        core.log.install(snapshot)
        core.journal.put_leader_snapshot(snapshot)
        core.context.machine.restore(snapshot.data)
        core.applied_index = snapshot.last_index
        core.fail_compacted_proposals(snapshot.last_index)
        core.advance_commit(snapshot.last_index)
        core.record("installed_snapshot", index=snapshot.last_index)
        core.on_membership_change()

    async def _acknowledge(
        self, term: int, match_index: int
    ) -> messages.AppendReply:
        core = self._core
        # A heartbeat for entries that are already durable is answered without
        # waiting for a running sync. Otherwise the leader would take a member
        # with a slow disk for unreachable.
        if core.journal.durable_index < match_index:
            await core.journal.flush()
        return messages.AppendReply(
            term=core.term,
            success=core.term == term,
            match_index=match_index,
        )
