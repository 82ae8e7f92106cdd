"""What a member does with the entries and snapshots of a leader."""

from bamboosill_common import errors
from bamboosill_common.generated import consensus as messages
from bamboosilld.consensus import core as core_lib
from bamboosilld.consensus import election
from bamboosilld.consensus import interfaces


class Following:
    """Answers AppendEntries and InstallSnapshot.

    The log changes before the first wait, so that messages take effect in
    the order in which they arrive; the answer waits until they are durable.
    """

    def __init__(self, core: core_lib.Core) -> None:
        self._core = core
        self._chunks = bytearray()
        self._chunks_of = (0, 0, 0)

    async def handle_append(
        self, request: messages.AppendEntries
    ) -> messages.AppendReply:
        """Stores a leader's entries.

        Raises:
            errors.HandlerError: This member may not acknowledge.
            interfaces.StorageError: The entries could not be stored.
        """
        core = self._core
        if request.term < core.term:
            return messages.AppendReply(term=core.term, success=False)
        self._follow(request.term, request.leader)
        if not self._matches(request.prev_index, request.prev_term):
            hint = self._find_hint(request.prev_index)
            return messages.AppendReply(
                term=core.term, success=False, match_index=hint
            )
        new = core.log.find_conflict(request.entries)
        if new:
            if new[0].index <= core.commit_index:
                core.fail(f"entry {new[0].index} contradicts a committed one")
                core.check_alive()
            core.append(new)
        match_index = request.prev_index + len(request.entries)
        core.advance_commit(min(request.commit, match_index))
        return await self._acknowledge(request.term, match_index)

    async def handle_snapshot(
        self, request: messages.InstallSnapshot
    ) -> messages.AppendReply:
        """Collects the chunks of a snapshot and installs it.

        Raises:
            errors.HandlerError: This member may not acknowledge.
            interfaces.StorageError: The snapshot could not be stored.
        """
        core = self._core
        if request.term < core.term:
            return messages.AppendReply(term=core.term, success=False)
        self._follow(request.term, request.leader)
        source = (request.term, request.last_index, request.last_term)
        if request.offset == 0:
            self._chunks_of, self._chunks = source, bytearray()
        if self._chunks_of != source or len(self._chunks) != request.offset:
            return messages.AppendReply(term=core.term, success=False)
        self._chunks += request.data
        if request.done:
            data, self._chunks = bytes(self._chunks), bytearray()
            snapshot = interfaces.Snapshot(
                request.last_index, request.last_term, request.membership, data
            )
            if snapshot.last_index > core.commit_index:
                self._install(snapshot)
        return await self._acknowledge(request.term, request.last_index)

    def _follow(self, term: int, leader: messages.Member) -> None:
        core = self._core
        if core.is_unused and term > core_lib.FOUNDING_TERM:
            raise errors.HandlerError("storage", election.LOST_STORAGE)
        if core.is_leader and term == core.term:
            raise errors.HandlerError("refused", "this member leads the term")
        core.observe_leader(term, leader)

    def _matches(self, index: int, term: int) -> bool:
        log = self._core.log
        # Entries up to the base are committed, hence the same everywhere.
        return index <= log.base_index or log.get_term(index) == term

    def _find_hint(self, index: int) -> int:
        """Returns the last index from which the leader should try."""
        log = self._core.log
        if index > log.last_index:
            return log.last_index
        return max(log.find_term_start(index) - 1, log.base_index)

    def _install(self, snapshot: interfaces.Snapshot) -> None:
        core = self._core
        core.log.install(snapshot)
        core.journal.put_installed(snapshot)
        core.context.machine.restore(snapshot.data)
        core.applied_index = snapshot.last_index
        core.drop_proposals(snapshot.last_index)
        core.advance_commit(snapshot.last_index)
        core.record("installed_snapshot", index=snapshot.last_index)
        core.on_membership()

    async def _acknowledge(
        self, term: int, match_index: int
    ) -> messages.AppendReply:
        core = self._core
        # A heartbeat is answered at once also while a slow sync runs;
        # otherwise a slow disk would look like a lost member.
        if core.journal.durable_index < match_index:
            await core.journal.flush()
        return messages.AppendReply(
            term=core.term,
            success=core.term == term,
            match_index=match_index,
        )
