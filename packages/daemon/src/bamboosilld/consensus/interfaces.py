"""Interfaces between a consensus node and the rest of the program."""

from collections.abc import Callable
from collections.abc import Sequence
from typing import Any
from typing import NamedTuple
from typing import Protocol
from typing import TypeVar

from returns.result import Result

from bamboosill_common import errors
from bamboosill_common.generated import consensus as messages

Reply = TypeVar("Reply", bound=NamedTuple)


class StorageError(Exception):
    """A read, write or sync failed; the member must stop acknowledging."""


class Snapshot(NamedTuple):
    """State of the group up to and including `last_index`."""

    last_index: int
    last_term: int
    membership: messages.Membership
    data: bytes


class StoredState(NamedTuple):
    """Content of a storage when it is opened.

    Attributes:
        hard_state: Term and vote; term 0 if the storage is empty.
        snapshot: Latest snapshot, or None.
        entries: Log entries after the snapshot, without gaps.
    """

    hard_state: messages.HardState
    snapshot: Snapshot | None
    entries: Sequence[messages.LogEntry]

    @property
    def is_empty(self) -> bool:
        """Whether nothing was ever written."""
        return (
            not self.entries
            and self.snapshot is None
            and self.hard_state.term == 0
        )


class StateMachine(Protocol):
    """Application state that commands change. Its methods must not raise."""

    def apply(self, index: int, command: bytes) -> object:
        """Applies a committed command and returns the proposer's result."""

    def snapshot(self) -> bytes:
        """Returns the whole state, serialized."""

    def restore(self, data: bytes) -> None:
        """Replaces the whole state by a snapshot."""


class Storage(Protocol):
    """Durable state of a member. Calls are never concurrent."""

    async def load(self) -> StoredState:
        """Opens the storage and returns its content.

        Raises:
            StorageError: The content cannot be read or is damaged.
        """

    async def write(
        self,
        hard_state: messages.HardState | None,
        entries: Sequence[messages.LogEntry],
    ) -> None:
        """Stores a hard state and entries; both are durable on return.

        An entry whose index is already stored replaces it and all entries
        after it.

        Raises:
            StorageError: The write or sync failed.
        """

    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Stores a snapshot, durable on return, and drops what it covers.

        Entries after the snapshot are kept only if the entry at its last
        index has its last term.

        Raises:
            StorageError: The write or sync failed.
        """

    async def close(self) -> None:
        """Closes the storage."""


class Transport(Protocol):
    """Sends requests to other members."""

    async def call(
        self,
        member: messages.Member,
        request: Any,
        reply_type: type[Reply],
        deadline_s: float,
    ) -> Result[Reply, errors.PeerError]:
        """Sends a request and returns the reply or an error.

        A call without a reply fails after `deadline_s`.
        """


class Node(Protocol):
    """A member of a consensus group."""

    @property
    def is_leader(self) -> bool:
        """Whether this member leads the group."""

    @property
    def leader(self) -> messages.Member | None:
        """The leader, or None if unknown."""

    @property
    def elected_at_s(self) -> float:
        """Monotonic time at which this member last became leader."""

    @property
    def membership(self) -> messages.Membership:
        """The members of the group."""

    @property
    def commit_index(self) -> int:
        """Index of the last committed entry known."""

    @property
    def applied_index(self) -> int:
        """Index of the last applied entry."""

    @property
    def term(self) -> int:
        """Current term."""

    def has_leader_lease(self) -> bool:
        """Returns whether this member leads and no other member can."""

    def has_applied_earlier_terms(self) -> bool:
        """Returns whether all entries of earlier leaders are applied here."""

    def get_seconds_since_reply(self, member: messages.Member) -> float:
        """Returns the seconds since the member's last reply."""

    def add_leadership_listener(self, listener: Callable[[bool], None]) -> None:
        """Calls `listener(is_leader)` when this member's leadership changes."""

    async def start(self) -> None:
        """Starts the member's tasks."""

    async def stop(self) -> None:
        """Stops the member's tasks."""

    async def propose(
        self, command: bytes, deadline_s: float
    ) -> Result[Any, errors.ProposeError]:
        """Commits a command and returns `AppliedCommand`."""

    async def read_barrier(
        self, deadline_s: float
    ) -> Result[Any, errors.ProposeError]:
        """Waits until all commands acknowledged before are applied here."""

    async def add_learner(
        self, member: messages.Member, deadline_s: float
    ) -> Result[Any, errors.ProposeError]:
        """Adds a member as a learner (without a vote)."""

    async def promote(
        self, member: messages.Member, deadline_s: float
    ) -> Result[Any, errors.ProposeError]:
        """Makes a learner a voter."""

    async def remove(
        self, member: messages.Member, deadline_s: float
    ) -> Result[Any, errors.ProposeError]:
        """Removes a member from the group."""
