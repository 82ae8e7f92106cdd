"""What the control role needs of the consensus node."""

from collections.abc import Callable
from typing import Any
from typing import Protocol

from returns.result import Result

from bamboosill_common import errors
from bamboosill_common.generated import consensus


class Node(Protocol):
    """The member of the control group on this instance."""

    @property
    def is_leader(self) -> bool:
        """Whether this member leads the group."""

    @property
    def leader(self) -> consensus.Member | None:
        """The member believed to lead."""

    @property
    def elected_at_s(self) -> float:
        """Monotonic time of this member's last election as leader."""

    @property
    def membership(self) -> consensus.Membership:
        """All members."""

    def has_leader_lease(self) -> bool:
        """Returns whether no other member can be leader now."""

    async def propose(
        self, command: bytes, deadline_s: float
    ) -> Result[Any, errors.ProposeError]:
        """Commits and applies a command; the success has its `value`."""

    async def read_barrier(
        self, deadline_s: float
    ) -> Result[Any, errors.ProposeError]:
        """Waits until all that was acknowledged before is applied here."""

    async def add_learner(
        self, member: consensus.Member, deadline_s: float
    ) -> Result[Any, errors.ProposeError]:
        """Adds a member without a vote."""

    async def promote(
        self, member: consensus.Member, deadline_s: float
    ) -> Result[Any, errors.ProposeError]:
        """Gives a member a vote."""

    async def remove(
        self, member: consensus.Member, deadline_s: float
    ) -> Result[Any, errors.ProposeError]:
        """Removes a member."""

    def add_leadership_listener(
        self, listener: Callable[[bool], None]
    ) -> object:
        """Calls the listener when leadership changes."""
