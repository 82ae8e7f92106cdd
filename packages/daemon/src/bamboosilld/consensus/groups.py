"""Connects an instance's consensus groups to its peer connections."""

from typing import Any

from returns.result import Result

from bamboosill_common import errors
from bamboosill_common import peer as peer_lib
from bamboosill_common.generated import consensus as messages
from bamboosill_common.generated import peer as peer_messages
from bamboosilld.consensus import interfaces
from bamboosilld.consensus import node as node_lib


class Groups:
    """The consensus nodes of this instance, by group name.

    Dispatches peer requests to the node of their group.
    """

    def __init__(self, handlers: peer_lib.Handlers) -> None:
        self._nodes: dict[str, node_lib.Node] = {}
        handlers.register(messages.RequestVote)(self._handle_vote)
        handlers.register(messages.AppendEntries)(self._handle_leader)
        handlers.register(messages.InstallSnapshot)(self._handle_leader)

    def add(self, group: str, node: node_lib.Node) -> None:
        """Dispatches requests for a group to a node from now on."""
        self._nodes[group] = node

    def remove(self, group: str) -> None:
        """Refuses requests for a group from now on."""
        self._nodes.pop(group, None)

    def get(self, group: str) -> node_lib.Node | None:
        """Returns the node of a group, or None."""
        return self._nodes.get(group)

    def list_nodes(self) -> list[tuple[str, node_lib.Node]]:
        """Returns all group names with their nodes."""
        return list(self._nodes.items())

    async def _handle_vote(
        self, request: messages.RequestVote, hello: peer_messages.Hello
    ) -> Any:
        return await self._handle(request, request.candidate, hello)

    async def _handle_leader(
        self,
        request: messages.AppendEntries | messages.InstallSnapshot,
        hello: peer_messages.Hello,
    ) -> Any:
        return await self._handle(request, request.leader, hello)

    async def _handle(
        self,
        request: Any,
        sender: messages.Member,
        hello: peer_messages.Hello,
    ) -> Any:
        if sender.instance != hello.instance:
            raise errors.HandlerError(
                "refused",
                f"{hello.instance} sent as {sender.instance}",
            )
        node = self._nodes.get(request.group)
        if node is None:
            raise errors.HandlerError("unknown_group", request.group)
        return await node.handle(request)


class PeerTransport:
    """Sends requests of consensus nodes over peer connections."""

    def __init__(self, directory: peer_lib.Directory) -> None:
        self._directory = directory

    async def call(
        self,
        member: messages.Member,
        request: Any,
        reply_type: type[interfaces.Reply],
        deadline_s: float,
    ) -> Result[interfaces.Reply, errors.PeerError]:
        """Sends a request to a member's address."""
        return await self._directory.call(
            member.address, request, reply_type, deadline_s
        )
