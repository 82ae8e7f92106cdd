"""The in-memory copy of a member's replicated log."""

from collections.abc import Sequence

from bamboosill_common import wire
from bamboosill_common.generated import consensus as messages
from bamboosilld.consensus import interfaces


class Log:
    """Entries after a base index, and the memberships that they contain.

    Attributes:
        base_index: Index before the first entry in memory; earlier entries
            are covered by a snapshot.
        base_term: Term of the entry at `base_index`.
        snapshot: Latest snapshot; its index is at or after `base_index`.
    """

    def __init__(self, stored: interfaces.StoredState) -> None:
        self.snapshot = stored.snapshot
        self.base_index = self.snapshot.last_index if self.snapshot else 0
        self.base_term = self.snapshot.last_term if self.snapshot else 0
        self._entries: list[messages.LogEntry] = []
        self._memberships: list[tuple[int, messages.Membership]] = [
            (
                self.base_index,
                self.snapshot.membership
                if self.snapshot
                else messages.Membership(),
            )
        ]
        self.append(stored.entries)

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.base_index + len(self._entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self._entries[-1].term if self._entries else self.base_term

    @property
    def membership(self) -> messages.Membership:
        """The latest membership, committed or not."""
        return self._memberships[-1][1]

    @property
    def membership_index(self) -> int:
        """Index of the entry with the latest membership."""
        return self._memberships[-1][0]

    def get_membership(self, index: int) -> messages.Membership:
        """Returns the membership as of an index."""
        return next(
            membership
            for first_index, membership in reversed(self._memberships)
            if first_index <= index
        )

    def get_term(self, index: int) -> int | None:
        """Returns the term of an entry, or None if it is not in memory."""
        if index == self.base_index:
            return self.base_term
        if not self.base_index < index <= self.last_index:
            return None
        return self._entries[index - self.base_index - 1].term

    def get_entry(self, index: int) -> messages.LogEntry:
        """Returns an entry that is in memory."""
        return self._entries[index - self.base_index - 1]

    def list_entries(
        self, first_index: int, max_entries: int, max_bytes: int
    ) -> tuple[messages.LogEntry, ...]:
        """Returns a batch that starts at `first_index`.

        The batch has at least one entry, if any exists, even if that entry
        exceeds `max_bytes`.
        """
        offset = first_index - self.base_index - 1
        batch: list[messages.LogEntry] = []
        size = 0
        for entry in self._entries[offset : offset + max_entries]:
            size += len(entry.data)
            if batch and size > max_bytes:
                break
            batch.append(entry)
        return tuple(batch)

    def append(self, entries: Sequence[messages.LogEntry]) -> None:
        """Appends entries.

        An entry whose index exists already replaces that entry and all after
        it.
        """
        for entry in entries:
            if entry.index <= self.last_index:
                self._truncate(entry.index)
            self._entries.append(entry)
            if entry.kind == "membership":
                membership = wire.decode(messages.Membership, entry.data)
                self._memberships.append((entry.index, membership))

    def list_missing_entries(
        self, entries: Sequence[messages.LogEntry]
    ) -> Sequence[messages.LogEntry]:
        """Returns the given entries from the first that is not in the log."""
        for position, entry in enumerate(entries):
            if entry.index <= self.base_index:
                continue
            if self.get_term(entry.index) != entry.term:
                return entries[position:]
        return ()

    def find_term_start(self, index: int) -> int:
        """Returns the first index in memory with the same term as `index`."""
        term = self.get_term(index)
        while index > self.base_index and self.get_term(index - 1) == term:
            index -= 1
        return index

    def compact(self, snapshot: interfaces.Snapshot, base_index: int) -> None:
        """Drops entries up to `base_index`, which the snapshot covers."""
        self.snapshot = snapshot
        base_index = max(base_index, self.base_index)
        base_term = self.get_term(base_index)
        assert base_term is not None
        membership = self.get_membership(base_index)
        del self._entries[: base_index - self.base_index]
        self.base_index = base_index
        self.base_term = base_term
        self._memberships = [(base_index, membership)] + [
            each for each in self._memberships if each[0] > base_index
        ]

    def install(self, snapshot: interfaces.Snapshot) -> None:
        """Installs a leader's snapshot.

        Entries after it are kept only if the log matches the snapshot's last
        entry.
        """
        if self.get_term(snapshot.last_index) == snapshot.last_term:
            self.compact(snapshot, snapshot.last_index)
            return
        self.__init__(  # type: ignore[misc]
            interfaces.StoredState(messages.HardState(), snapshot, ())
        )

    def _truncate(self, index: int) -> None:
        del self._entries[index - self.base_index - 1 :]
        self._memberships = [
            each for each in self._memberships if each[0] < index
        ]
