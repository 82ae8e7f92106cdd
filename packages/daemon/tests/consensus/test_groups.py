"""Tests of consensus groups over real peer connections."""

import random

import pytest
from returns.result import Success

from bamboosill_common import auth
from bamboosill_common import clock
from bamboosill_common import errors
from bamboosill_common import events
from bamboosill_common import peer
from bamboosill_common.generated import consensus as messages
from bamboosill_common.generated import peer as peer_messages
from bamboosilld.consensus import groups as groups_lib
from bamboosilld.consensus import node as node_lib
from bamboosilld.storage import memory


class StubStateMachine:
    def apply(self, index, command):
        return index

    def snapshot(self):
        return b""

    def restore(self, data):
        pass


class Instance:
    """An instance with a peer server and one group member."""

    async def start(self, name):
        system_clock = clock.SystemClock()
        self.timeline = events.Timeline(system_clock, name)
        self.clock = system_clock
        context = peer.PeerContext(
            peer.Identity(name, 1, "z"),
            auth.Authenticator("", system_clock),
            system_clock,
            self.timeline,
        )
        handlers = peer.Handlers()
        self.groups = groups_lib.Groups(handlers)
        self.server = peer.Server(context, handlers)
        self.directory = peer.Directory(context)
        port = await self.server.start("127.0.0.1", 0)
        self.member = messages.Member(name, 1, f"127.0.0.1:{port}", True)

    async def start_node(self, founders):
        self.node = node_lib.Node(
            node_lib.GroupConfig("g", self.member, founders),
            memory.MemoryStorage(),
            groups_lib.PeerTransport(self.directory),
            StubStateMachine(),
            self.clock,
            random.Random(self.member.instance),
            self.timeline,
        )
        self.groups.add("g", self.node)
        await self.node.start()

    async def stop(self):
        await self.node.stop()
        await self.directory.close()
        await self.server.stop()


async def test_group_over_connections():
    """Guards against requests that are not dispatched to their group's node."""
    instances = [Instance() for _ in "abc"]
    for name, instance in zip("abc", instances, strict=True):
        await instance.start(name)
    founders = messages.Membership(tuple(each.member for each in instances))
    for instance in instances:
        await instance.start_node(founders)
    applied = instances[0].node.wait_applied(2, 20)
    assert isinstance(await applied, Success)
    leader = next(each.node for each in instances if each.node.is_leader)
    assert isinstance(await leader.propose(b"x", 20), Success)
    for instance in instances:
        await instance.stop()


@pytest.mark.parametrize(
    "group, sender, code",
    [("other", "a", "unknown_group"), ("g", "b", "refused")],
)
async def test_refusals(group, sender, code):
    """Guards against requests for unknown groups or with a forged sender."""
    handlers = peer.Handlers()
    groups_lib.Groups(handlers)
    request = messages.AppendEntries(
        group=group, leader=messages.Member(instance="a")
    )
    with pytest.raises(errors.HandlerError) as caught:
        await handlers.dispatch(request, peer_messages.Hello(instance=sender))
    assert caught.value.code == code
