"""What the zone group needs from its consensus node."""

from collections.abc import Callable
from typing import Any
from typing import Protocol

from returns.result import Result

from bamboosill_common import errors
from bamboosill_common import wire
from bamboosill_common.generated import consensus


class Applied(Protocol):
    """A command that was applied, and what the state machine returned."""

    @property
    def index(self) -> int:
        """Log index of the command."""

    @property
    def value(self) -> object:
        """Result of the command."""


class Node(Protocol):
    """A member of a consensus group."""

    @property
    def is_leader(self) -> bool:
        """Whether this member leads the group."""

    @property
    def leader(self) -> consensus.Member | None:
        """The leader as far as known."""

    @property
    def elected_at_s(self) -> float:
        """When this member was elected, on its monotonic clock."""

    @property
    def membership(self) -> consensus.Membership:
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
        """Returns whether no other member can lead now."""

    def get_silence_s(self, member: consensus.Member) -> float:
        """Returns the seconds since the member last answered."""

    def add_leadership_listener(self, listener: Callable[[bool], None]) -> None:
        """Calls `listener` when this member begins or ends to lead."""

    async def start(self) -> None:
        """Starts the member's tasks."""

    async def stop(self) -> None:
        """Stops the member's tasks."""

    async def propose(
        self, command: bytes, deadline_s: float
    ) -> Result[Any, errors.ProposeError]:
        """Commits a command and returns `Applied`."""

    async def add_learner(
        self, member: consensus.Member, deadline_s: float
    ) -> Result[Any, errors.ProposeError]:
        """Adds a member without a vote."""

    async def promote(
        self, member: consensus.Member, deadline_s: float
    ) -> Result[Any, errors.ProposeError]:
        """Gives a learner a vote."""

    async def remove(
        self, member: consensus.Member, deadline_s: float
    ) -> Result[Any, errors.ProposeError]:
        """Removes a member."""


async def propose(
    node: Node, message: Any, deadline_s: float
) -> Result[Any, errors.ProposeError]:
    """Commits a message on this leader and returns the result message."""
    result = await node.propose(wire.pack(message), deadline_s)
    return result.map(lambda applied: applied.value)


def format_group(zone: str, group_epoch: int) -> str:
    """Returns the name of an availability zone's group."""
    return f"zone/{zone}/{group_epoch}"
