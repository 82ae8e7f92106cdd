"""A member of a consensus group that is added while the group runs."""

from typing import Any

from bamboosill_common import errors
from bamboosilld.consensus import election
from bamboosilld.consensus import node as node_lib


class JoiningNode(node_lib.Node):
    """A member that is added to a group that runs."""

    async def handle(self, request: Any) -> Any:
        """Answers other members.

        Raises:
            errors.HandlerError: The group counts on the vote of this member,
                which has nothing stored: it lost its data folder.
        """
        if request.target.voter and not self.membership.members:
            raise errors.HandlerError("storage", election.LOST_STORAGE)
        return await super().handle(request)
