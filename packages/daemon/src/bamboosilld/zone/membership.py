"""Membership of this instance in the consensus group of its zone.

The control group says which epoch of the zone's group is current and which
instance founds it. The instance founds that group or joins it, and enters again
when it was removed or the group was replaced.
"""

from collections.abc import Callable
import random
from typing import Any
from typing import NamedTuple

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import events
from bamboosill_common import logs
from bamboosill_common import peer
from bamboosill_common.generated import consensus
from bamboosill_common.generated import control
from bamboosill_common.generated import zone as messages
from bamboosilld.consensus import core as consensus_core
from bamboosilld.consensus import groups as consensus_groups
from bamboosilld.consensus import interfaces
from bamboosilld.consensus import node as consensus_node
from bamboosilld.storage import memory
from bamboosilld.zone import group as group_lib
from bamboosilld.zone import registration
from bamboosilld.zone import state as state_lib

_JOIN_TIMEOUT_S = 2.5
_LEADER_QUERY_TIMEOUT_S = 0.25
_RETRY_INTERVAL_S = 0.1
# Rounds of join requests to all instances before the instance registers again
# to learn the current group.
_JOIN_ROUNDS = 20

_log = logs.get_logger("zone")


class NodeSpec(NamedTuple):
    """Parameters of the consensus node of a group."""

    group: str
    member: consensus.Member
    bootstrap: consensus.Membership | None
    state: state_lib.ZoneState
    directory: peer.Directory
    clock: clock_lib.Clock
    rng: random.Random
    timeline: events.Timeline


MakeNode = Callable[[NodeSpec], interfaces.Node]


class Dependencies(NamedTuple):
    """Dependencies of a `Membership`."""

    identity: peer.Identity
    item: control.InstanceItem
    directory: peer.Directory
    groups: Any
    clock: clock_lib.Clock
    rng: random.Random
    timeline: events.Timeline
    registrar: registration.Registrar
    make_node: MakeNode
    on_enter: Callable[[state_lib.ZoneState, interfaces.Node], None]


class Membership:
    """The group that this instance is a member of, if any.

    Attributes:
        state: Replicated state of the group.
        node: Consensus node of the group.
        member: This instance as a member.
        group: Name of the group.
    """

    def __init__(self, deps: Dependencies) -> None:
        self._deps = deps
        self.state: state_lib.ZoneState | None = None
        self.node: interfaces.Node | None = None
        self.member = consensus.Member()
        self.group = ""
        self._founded_epochs: set[int] = set()
        # Raised each time the group is left. The node has no disk, so a member
        # that returns has lost its votes; under its old identity it could vote
        # twice in one term.
        self._incarnation = deps.identity.incarnation

    async def enter(self) -> None:
        """Founds or joins the current group; retries until that succeeds."""
        while True:
            reply = await self._deps.registrar.register()
            if reply.zone.group_epoch and await self._try_enter(reply):
                return
            await self._deps.clock.sleep(_RETRY_INTERVAL_S)

    async def leave(self) -> None:
        """Stops the node and drops its state."""
        node, self.node, self.state = self.node, None, None
        if node is not None:
            self._deps.groups.remove(self.group)
            await node.stop()
        self._incarnation += 1

    async def must_rejoin(self, renewal: messages.RenewLease) -> bool:
        """Returns whether this instance was removed or its group replaced.

        Asks the control group and the other instances: a member that was
        removed while it was cut off gets no messages from the leader any more
        and learns from another member who leads.
        """
        reply = await self._deps.registrar.register_once()
        if reply is None or self.state is None:
            return False
        if reply.zone.group_epoch > self.state.group_epoch:
            return True
        for address in self._list_peer_addresses(reply.instances):
            result = await self._send_renewal(address, renewal)
            match result:
                case Success(answer) if answer.leader_address:
                    result = await self._send_renewal(
                        answer.leader_address, renewal
                    )
            match result:
                case Failure(error) if error.code == "not_member":
                    return True
        return False

    async def _send_renewal(
        self, address: str, renewal: messages.RenewLease
    ) -> Result[messages.LeaseReply, errors.PeerError]:
        return await self._deps.directory.call(
            address, renewal, messages.LeaseReply, _LEADER_QUERY_TIMEOUT_S
        )

    def _list_peer_addresses(
        self, instances: tuple[control.InstanceItem, ...]
    ) -> list[str]:
        identity = self._deps.identity
        return [
            item.peer_address
            for item in instances
            if item.zone == identity.zone and item.instance != identity.instance
        ]

    async def _try_enter(self, reply: control.RegisterReply) -> bool:
        deps = self._deps
        epoch = reply.zone.group_epoch
        is_founder = (
            reply.zone.founder == deps.identity.instance
            and reply.zone.founder_incarnation == deps.identity.incarnation
            and epoch not in self._founded_epochs
        )
        self._start_state(epoch, is_founder)
        node = self.node
        if node is None or self.state is None:
            raise AssertionError("_start_state did not set the node and state")
        deps.on_enter(self.state, node)
        await node.start()
        deps.groups.add(self.group, node)
        if is_founder:
            self._founded_epochs.add(epoch)
            return True
        if await self._join(reply.instances):
            return True
        await self.leave()
        return False

    def _start_state(self, epoch: int, is_founder: bool) -> None:
        deps = self._deps
        self.group = group_lib.format_group(deps.identity.zone, epoch)
        self.state = state_lib.ZoneState(deps.identity.zone, epoch)
        self.member = consensus.Member(
            deps.identity.instance,
            self._incarnation,
            deps.item.peer_address,
            is_founder,
        )
        bootstrap = None
        if is_founder:
            bootstrap = consensus.Membership(members=(self.member,))
        self.node = deps.make_node(
            NodeSpec(
                self.group,
                self.member,
                bootstrap,
                self.state,
                deps.directory,
                deps.clock,
                deps.rng,
                deps.timeline,
            )
        )

    async def _join(self, instances: tuple[control.InstanceItem, ...]) -> bool:
        known_addresses = self._list_peer_addresses(instances)
        for _ in range(_JOIN_ROUNDS):
            addresses = list(known_addresses)
            while addresses:
                reply = await self._request_join(addresses.pop(0))
                if reply is None:
                    continue
                if reply.accepted:
                    return True
                leader_hint = reply.leader_address
                if (
                    leader_hint
                    and leader_hint not in known_addresses
                    and len(known_addresses) < 256
                ):
                    known_addresses.append(leader_hint)
                    addresses.append(leader_hint)
            await self._deps.clock.sleep(_RETRY_INTERVAL_S)
        return False

    async def _request_join(self, address: str) -> messages.JoinReply | None:
        message = messages.Join(
            self.group,
            self.member.instance,
            self.member.incarnation,
            self.member.address,
        )
        result = await self._deps.directory.call(
            address, message, messages.JoinReply, _JOIN_TIMEOUT_S
        )
        match result:
            case Success(reply):
                return reply
        return None


def make_node(spec: NodeSpec) -> interfaces.Node:
    """Returns a consensus node that stores its log in memory."""
    return consensus_node.Node(
        consensus_core.GroupConfig(spec.group, spec.member, spec.bootstrap),
        memory.MemoryStorage(),
        consensus_groups.PeerTransport(spec.directory),
        spec.state,
        spec.clock,
        spec.rng,
        spec.timeline,
    )
