"""A member that joins a running consensus group."""

from typing import Any

from bamboosill_common import errors
from bamboosilld.consensus import election
from bamboosilld.consensus import node as node_lib


class JoiningNode(node_lib.Node):
    """A node that starts with empty storage and joins a running group."""

    async def handle(self, request: Any) -> Any:
        """Handles the requests of other members.

        Raises:
            errors.HandlerError: The group has this member as a voter although
                its storage is empty, so it lost its data folder.
        """
        if request.target.voter and not self.membership.members:
            raise errors.HandlerError("storage", election.LOST_STORAGE)
        return await super().handle(request)
