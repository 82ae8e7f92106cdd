"""Plays traces on a consensus group with disks in memory."""

import asyncio
import pathlib

from returns.result import Success

TESTS = pathlib.Path(__file__).parents[2]


class Player:
    """One group; `leader`, `first` and `second` name members by role."""

    virtual = True

    def __init__(self, load_module):
        self.harness = load_module(TESTS / "consensus" / "conftest.py")
        self.faults = load_module(TESTS / "consensus" / "test_faults.py")
        self.names = {}
        self.term = 0
        self.checks = {
            "no acknowledged command is lost or doubled": self.check_commands,
            "a snapshot was used to catch up": self.check_snapshot,
        }

    async def start(self, members="abc", seed=1, **settings):
        self.disks = self.faults.Disks(members, seed)
        self.cluster = self.harness.Cluster(
            members, seed, self.disks.get_makers(), **settings
        )
        await self.cluster.start_all()
        await self.do_roles()

    async def stop(self):
        for name in list(self.cluster.nodes):
            await self.cluster.stop(name)

    def find(self, who):
        return self.names.get(who, who)

    # Steps.

    async def do_roles(self):
        """Gives the names of roles anew."""
        leader = await self.cluster.wait_leader()
        others = self.faults.other_names(leader, self.cluster.names)
        self.names = {"leader": leader, "first": others[0], "second": others[1]}
        self.term = self.cluster.nodes[leader].term

    async def do_propose(self, name, count=1, to="", deadline_s=2):
        """Returns how many commands were acknowledged."""
        done = 0
        for number in range(count):
            command = f"{name}-{number}"
            if to:
                node = self.cluster.nodes[self.find(to)]
                result = await node.propose(command.encode(), deadline_s)
                if isinstance(result, Success):
                    self.cluster.acknowledged.append(command)
            else:
                await self.cluster.wait_leader()
                result = await self.cluster.propose(command, deadline_s)
            done += isinstance(result, Success)
        return done

    async def do_read(self, at, deadline_s=2):
        """Returns whether a linearizable read is answered."""
        node = self.cluster.nodes[self.find(at)]
        return isinstance(await node.read_barrier(deadline_s), Success)

    async def do_leads(self, who):
        """Returns whether a member acts as leader."""
        node = self.cluster.nodes[self.find(who)]
        return node.is_leader or node.has_leader_lease()

    async def do_undisturbed(self):
        """Returns whether leader and term are those of the last roles."""
        node = self.cluster.nodes[self.names["leader"]]
        terms = {each.term for each in self.cluster.nodes.values()}
        return node.is_leader and terms == {self.term}

    async def do_isolate(self, who):
        self.cluster.network.isolate(self.find(who), self.cluster.names)

    async def do_heal(self):
        self.cluster.network.heal()

    async def do_crash(self, who):
        await self.faults.crash(self.cluster, self.disks, self.find(who))

    async def do_crash_all(self):
        for name in list(self.cluster.nodes):
            await self.faults.crash(self.cluster, self.disks, name)

    async def do_start(self, who):
        await self.cluster.start(self.find(who))

    async def do_start_all(self):
        for name in self.cluster.names:
            if name not in self.cluster.nodes:
                await self.cluster.start(name)
        await self.cluster.wait_leader()

    async def do_lose_disk(self, who):
        await self.do_crash(who)
        self.disks.lose(self.find(who))

    async def do_replace(self, who):
        """Repairs a member whose disk is lost, under a new incarnation."""
        name = self.find(who)
        old = self.cluster.make_member(name)
        if name in self.cluster.nodes:
            await self.cluster.stop(name)
        await self.cluster.retry_change(lambda node: node.remove(old, 2))
        self.disks.lose(name)
        self.disks.incarnations[name] += 1
        await self.cluster.join(name)

    async def do_fail_write(self, who, after, torn):
        files = self.disks.files[self.find(who)]
        files.fail_at, files.fail_torn = files.operations + after, torn

    async def do_fill_disk(self, who, space_bytes):
        self.disks.files[self.find(who)].space_bytes = space_bytes

    async def do_failed(self, who):
        """Returns whether a member has stopped because of its disk."""
        return bool(self.cluster.nodes[self.find(who)].failure)

    async def do_has_leader(self, after_s):
        await asyncio.sleep(after_s)
        return self.cluster.get_leader() is not None

    async def do_settle(self):
        await self.cluster.wait_converged()

    # What holds for the whole replay.

    def check_commands(self):
        assert self.cluster.acknowledged, "nothing was acknowledged"
        self.cluster.check_history()

    def check_snapshot(self):
        assert self.cluster.network.calls.get("InstallSnapshot")
