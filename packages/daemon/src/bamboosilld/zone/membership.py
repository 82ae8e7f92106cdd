"""Enters and leaves the zone group that the control group names."""

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

_JOIN_CALL_S = 2.5
_ASK_CALL_S = 0.25
_RETRY_S = 0.1
# Rounds of asking all instances before control is asked again for the group.
_JOIN_ROUNDS = 20

_log = logs.get_logger("zone")


class NodeSpec(NamedTuple):
    """What the consensus node of a group is made of."""

    group: str
    member: consensus.Member
    bootstrap: consensus.Membership | None
    state: state_lib.ZoneState
    directory: peer.Directory
    clock: clock_lib.Clock
    rng: random.Random
    timeline: events.Timeline


MakeNode = Callable[[NodeSpec], interfaces.Node]


class Parts(NamedTuple):
    """What a membership is made of."""

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
    """The group that this instance is in, if any.

    Attributes:
        state: Replicated state of the group.
        node: Consensus node of the group.
        member: This instance as a member.
        group: Name of the group.
    """

    def __init__(self, parts: Parts) -> None:
        self._parts = parts
        self.state: state_lib.ZoneState | None = None
        self.node: interfaces.Node | None = None
        self.member = consensus.Member()
        self.group = ""
        self._founded: set[int] = set()
        # A member that was removed comes back as a new one: it forgot its
        # votes, and an old identity must not vote twice.
        self._incarnation = parts.identity.incarnation

    async def enter(self) -> None:
        """Founds or joins the group that control names."""
        while True:
            reply = await self._parts.registrar.register()
            if reply.zone.group_epoch and await self._try_enter(reply):
                return
            await self._parts.clock.sleep(_RETRY_S)

    async def leave(self) -> None:
        """Stops the node; its state is not used again."""
        node, self.node, self.state = self.node, None, None
        if node is not None:
            self._parts.groups.remove(self.group)
            await node.stop()
        self._incarnation += 1

    async def is_obsolete(self, renewal: messages.RenewLease) -> bool:
        """Asks control and the other instances whether to enter again.

        An instance that was removed while it was cut off hears from no
        leader any more; another member tells it who leads.
        """
        reply = await self._parts.registrar.register_once()
        if reply is None or self.state is None:
            return False
        if reply.zone.group_epoch > self.state.group_epoch:
            return True
        for address in self._list_others(reply.instances):
            result = await self._call(address, renewal)
            match result:
                case Success(found) if found.leader_address:
                    result = await self._call(found.leader_address, renewal)
            match result:
                case Failure(error) if error.code == "not_member":
                    return True
        return False

    async def _call(
        self, address: str, renewal: messages.RenewLease
    ) -> Result[messages.LeaseReply, errors.PeerError]:
        return await self._parts.directory.call(
            address, renewal, messages.LeaseReply, _ASK_CALL_S
        )

    def _list_others(
        self, instances: tuple[control.InstanceItem, ...]
    ) -> list[str]:
        identity = self._parts.identity
        return [
            item.peer_address
            for item in instances
            if item.zone == identity.zone and item.instance != identity.instance
        ]

    async def _try_enter(self, reply: control.RegisterReply) -> bool:
        parts = self._parts
        epoch = reply.zone.group_epoch
        founds = (
            reply.zone.founder == parts.identity.instance
            and reply.zone.founder_incarnation == parts.identity.incarnation
            and epoch not in self._founded
        )
        self._start_state(epoch, founds)
        node = self.node
        if node is None or self.state is None:
            raise AssertionError("the node was made just now")
        parts.on_enter(self.state, node)
        await node.start()
        parts.groups.add(self.group, node)
        if founds:
            self._founded.add(epoch)
            return True
        if await self._join(reply.instances):
            return True
        await self.leave()
        return False

    def _start_state(self, epoch: int, founds: bool) -> None:
        parts = self._parts
        self.group = group_lib.format_group(parts.identity.zone, epoch)
        self.state = state_lib.ZoneState(parts.identity.zone, epoch)
        self.member = consensus.Member(
            parts.identity.instance,
            self._incarnation,
            parts.item.peer_address,
            founds,
        )
        bootstrap = None
        if founds:
            bootstrap = consensus.Membership(members=(self.member,))
        self.node = parts.make_node(
            NodeSpec(
                self.group,
                self.member,
                bootstrap,
                self.state,
                parts.directory,
                parts.clock,
                parts.rng,
                parts.timeline,
            )
        )

    async def _join(self, instances: tuple[control.InstanceItem, ...]) -> bool:
        known = self._list_others(instances)
        for _ in range(_JOIN_ROUNDS):
            addresses = list(known)
            while addresses:
                reply = await self._ask(addresses.pop(0))
                if reply is None:
                    continue
                if reply.accepted:
                    return True
                hint = reply.leader_address
                if hint and hint not in known and len(known) < 256:
                    known.append(hint)
                    addresses.append(hint)
            await self._parts.clock.sleep(_RETRY_S)
        return False

    async def _ask(self, address: str) -> messages.JoinReply | None:
        message = messages.Join(
            self.group,
            self.member.instance,
            self.member.incarnation,
            self.member.address,
        )
        result = await self._parts.directory.call(
            address, message, messages.JoinReply, _JOIN_CALL_S
        )
        match result:
            case Success(reply):
                return reply
        return None


def make_node(spec: NodeSpec) -> interfaces.Node:
    """Returns a consensus node without a disk."""
    return consensus_node.Node(
        consensus_core.GroupConfig(spec.group, spec.member, spec.bootstrap),
        memory.MemoryStorage(),
        consensus_groups.PeerTransport(spec.directory),
        spec.state,
        spec.clock,
        spec.rng,
        spec.timeline,
    )
