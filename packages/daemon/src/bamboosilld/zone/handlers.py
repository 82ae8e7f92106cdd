"""Handlers of messages from members of a zone group to its leader."""

from collections.abc import Callable
from typing import Any

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import errors
from bamboosill_common import peer
from bamboosill_common import wire
from bamboosill_common.generated import peer as peer_messages
from bamboosill_common.generated import zone as messages
from bamboosilld.zone import authority as authority_lib
from bamboosilld.zone import membership as membership_lib

GetAuthority = Callable[[], authority_lib.Authority | None]

_NOT_LEADER_REPLIES: dict[type[Any], Callable[[str], Any]] = {
    messages.Join: lambda to: messages.JoinReply(leader_address=to),
    messages.RenewLease: lambda to: messages.LeaseReply(leader_address=to),
    messages.UpstreamBeat: lambda to: messages.UpstreamBeatReply(
        "not_leader", leader_address=to
    ),
    messages.ProposeCommand: lambda to: messages.ProposeReply(
        code="not_leader", leader_address=to
    ),
}


def register(
    handlers: peer.Handlers,
    membership: membership_lib.Membership,
    get_authority: GetAuthority,
) -> None:
    """Registers the message handlers of a member."""

    async def handle(message: Any, hello: peer_messages.Hello) -> Any:
        del hello
        group = getattr(message, "group", membership.group)
        if group != membership.group or membership.node is None:
            raise errors.HandlerError("unknown_group", group)
        return await handle_message(message, membership, get_authority())

    for message_type in (*_NOT_LEADER_REPLIES, messages.Explain):
        handlers.register(message_type)(handle)


async def handle_message(
    message: Any,
    membership: membership_lib.Membership,
    authority: authority_lib.Authority | None,
) -> Any:
    """Returns this member's reply; without leadership it names the leader.

    Raises:
        errors.HandlerError: The request is refused.
    """
    leader_address = get_leader_address(membership)
    if authority is None:
        reply = _NOT_LEADER_REPLIES.get(type(message))
        if reply is None:
            raise errors.HandlerError("not_leader", leader_address)
        return reply(leader_address)
    match message:
        case messages.Join():
            return await authority.join(message)
        case messages.RenewLease():
            return authority.renew_serve_lease(message)
        case messages.UpstreamBeat():
            return authority.renew_grant_lease(message)
        case messages.Explain():
            return authority.explain(message)
        case messages.ProposeCommand():
            try:
                command = wire.unpack(message.command)
            except wire.DecodeError as error:
                raise errors.HandlerError("bad_message", str(error)) from error
            return authority_lib.encode_result(
                await authority.propose(command), leader_address
            )
    raise errors.HandlerError("unhandled", type(message).__name__)


def get_leader_address(membership: membership_lib.Membership) -> str:
    """Returns the leader's peer address, or an empty string."""
    leader = membership.node.leader if membership.node is not None else None
    return leader.address if leader is not None else ""


async def call_leader(
    message: Any,
    reply_type: type[Any],
    deadline_s: float,
    membership: membership_lib.Membership,
    directory: peer.Directory,
    authority: authority_lib.Authority | None,
) -> Result[Any, errors.PeerError]:
    """Sends a message to the leader, which may be this member."""
    if authority is not None:
        try:
            return Success(await handle_message(message, membership, authority))
        except errors.HandlerError as error:
            return Failure(errors.PeerError(error.code, str(error), True))
    address = get_leader_address(membership)
    if not address or address == membership.member.address:
        return Failure(
            errors.PeerError("unreachable", "no zone leader is known", False)
        )
    return await directory.call(address, message, reply_type, deadline_s)
