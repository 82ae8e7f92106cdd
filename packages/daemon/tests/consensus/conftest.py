"""A consensus group on an in-memory network, for tests."""

import asyncio
import json
import random

import pytest
from returns.result import Success

from bamboosill_common import events
from bamboosill_common.generated import consensus as messages
from bamboosill_dev import memory_network
from bamboosilld.consensus import node as node_lib
from bamboosilld.storage import memory


class RecordingStateMachine:
    """A state machine whose state is the list of applied commands."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append(command.decode())
        return len(self.commands)

    def snapshot(self):
        return json.dumps(self.commands).encode()

    def restore(self, data):
        self.commands = json.loads(data)


class Cluster:
    """The nodes of a group by instance name, and the acknowledged commands."""

    def __init__(self, names, seed=1, storages=None, **settings):
        self.rng = random.Random(seed)
        self.network = memory_network.Network(self.rng)
        self.names = list(names)
        self.settings = settings
        self.storages = storages or {}
        self.incarnations = dict.fromkeys(names, 1)
        self.nodes = {}
        self.machines = {}
        self.clocks = {}
        self.acknowledged = []
        self.leaders_by_term = {}
        self.founders = messages.Membership(
            tuple(self.make_member(name, voter=True) for name in names)
        )

    def make_member(self, name, voter=False):
        incarnation = self.incarnations.setdefault(name, 1)
        return messages.Member(name, incarnation, f"{name}:1", voter)

    def make_storage(self, name):
        make = self.storages.get(name)
        return make() if make else memory.MemoryStorage()

    async def start(self, name, bootstrap=True):
        clock = self.clocks.setdefault(name, memory_network.PausableClock())
        machine = self.machines[name] = RecordingStateMachine()
        config = node_lib.GroupConfig(
            "g",
            self.make_member(name),
            self.founders if bootstrap else None,
            **self.settings,
        )
        node = node_lib.Node(
            config,
            self.make_storage(name),
            memory_network.NetworkTransport(self.network, name),
            machine,
            clock,
            random.Random(self.rng.random()),
            events.Timeline(clock, name),
        )

        def check_one_leader_per_term(is_leader):
            # Election safety: at most one leader per term.
            if is_leader:
                known_leader = self.leaders_by_term.setdefault(node.term, name)
                assert known_leader == name

        node.add_leadership_listener(check_one_leader_per_term)
        await node.start()
        self.nodes[name] = node
        self.network.nodes[f"{name}:1"] = node
        return node

    async def start_all(self):
        for name in self.names:
            await self.start(name)
        return await self.wait_leader()

    async def stop(self, name):
        self.network.nodes.pop(f"{name}:1", None)
        await self.nodes.pop(name).stop()

    async def stop_all(self):
        for name in list(self.nodes):
            await self.stop(name)

    def get_leader(self):
        leaders = [each for each in self.nodes.values() if each.is_leader]
        return max(leaders, key=lambda each: each.term, default=None)

    async def wait_leader(self, among=None, seconds=20):
        """Waits until a leader holds a lease and returns its name."""
        for _ in range(int(seconds / 0.05)):
            for name, node in self.nodes.items():
                if node.has_leader_lease() and (not among or name in among):
                    return name
            await asyncio.sleep(0.05)
        raise AssertionError("no leader")

    async def propose(self, command, seconds=5, name=None):
        node = self.nodes[name] if name else self.get_leader()
        result = await node.propose(command.encode(), seconds)
        if isinstance(result, Success):
            self.acknowledged.append(command)
        return result

    async def propose_many(self, prefix, count):
        for number in range(count):
            assert isinstance(await self.propose(f"{prefix}{number}"), Success)

    async def join(self, name, new_incarnation=True):
        """Starts a member, adds it as a learner and promotes it to voter."""
        if new_incarnation:
            self.incarnations[name] = self.incarnations.get(name, 0) + 1
        await self.start(name, bootstrap=False)
        member = self.make_member(name)
        await self.retry_change(lambda node: node.add_learner(member, 2))
        await self.retry_change(lambda node: node.promote(member, 2))

    async def retry_change(self, change, seconds=20):
        for _ in range(int(seconds / 0.1)):
            node = self.get_leader()
            if node and isinstance(await change(node), Success):
                return
            await asyncio.sleep(0.1)
        raise AssertionError("change not accepted")

    async def wait_converged(self, seconds=20):
        """Waits until all running nodes have applied all that is committed."""
        await self.wait_leader(seconds=seconds)
        for _ in range(int(seconds / 0.05)):
            leader = self.get_leader()
            if leader and all(
                each.applied_index >= leader.commit_index
                and each.commit_index == leader.commit_index
                for each in self.nodes.values()
            ):
                return
            await asyncio.sleep(0.05)
        raise AssertionError("nodes did not catch up")

    def check_history(self):
        """Checks that no acknowledged command is lost, doubled or reordered."""
        histories = [each.commands for each in self.machines.values()]
        longest = max(histories, key=len)
        for commands in histories:
            assert commands == longest[: len(commands)]
        for command in self.acknowledged:
            assert longest.count(command) == 1


@pytest.fixture
def make_cluster():
    """Returns the `Cluster` class."""
    return Cluster
