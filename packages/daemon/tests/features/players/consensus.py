"""Replays traces on a consensus group with in-memory disks."""

import asyncio
import pathlib

from returns.result import Success

TESTS = pathlib.Path(__file__).parents[2]


class Player:
    """Plays the steps of a trace on one consensus group.

    Steps name members, or `leader`, `first` and `second` by role: the first
    and second follower as of the last step `roles`.
    """

    uses_virtual_time = True

    def __init__(self, load_module):
        self.harness = load_module(TESTS / "consensus" / "conftest.py")
        self.faults = load_module(TESTS / "consensus" / "test_faults.py")
        self.names_by_role = {}
        self.term = 0
        self.checks = {
            "no acknowledged command is lost or applied twice": (
                self.check_commands
            ),
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

    def find_member_name(self, who):
        return self.names_by_role.get(who, who)

    # Steps.

    async def do_roles(self):
        """Names the leader `leader` and two others `first` and `second`."""
        leader = await self.cluster.wait_leader()
        others = self.faults.other_names(leader, self.cluster.names)
        self.names_by_role = {
            "leader": leader,
            "first": others[0],
            "second": others[1],
        }
        self.term = self.cluster.nodes[leader].term

    async def do_propose(self, name, count=1, to="", deadline_s=2):
        """Returns the number of acknowledged commands."""
        acknowledged = 0
        for number in range(count):
            command = f"{name}-{number}"
            if to:
                node = self.cluster.nodes[self.find_member_name(to)]
                result = await node.propose(command.encode(), deadline_s)
                if isinstance(result, Success):
                    self.cluster.acknowledged.append(command)
            else:
                await self.cluster.wait_leader()
                result = await self.cluster.propose(command, deadline_s)
            acknowledged += isinstance(result, Success)
        return acknowledged

    async def do_read(self, at, deadline_s=2):
        """Returns whether a linearizable read succeeds."""
        node = self.cluster.nodes[self.find_member_name(at)]
        return isinstance(await node.read_barrier(deadline_s), Success)

    async def do_leads(self, who):
        """Returns whether a member is leader or has a leader lease."""
        node = self.cluster.nodes[self.find_member_name(who)]
        return node.is_leader or node.has_leader_lease()

    async def do_undisturbed(self):
        """Returns whether leader and term are those of the last `roles`."""
        node = self.cluster.nodes[self.names_by_role["leader"]]
        terms = {each.term for each in self.cluster.nodes.values()}
        return node.is_leader and terms == {self.term}

    async def do_isolate(self, who):
        self.cluster.network.isolate(
            self.find_member_name(who), self.cluster.names
        )

    async def do_heal(self):
        self.cluster.network.heal()

    async def do_crash(self, who):
        await self.faults.crash(
            self.cluster, self.disks, self.find_member_name(who)
        )

    async def do_crash_all(self):
        for name in list(self.cluster.nodes):
            await self.faults.crash(self.cluster, self.disks, name)

    async def do_start(self, who):
        await self.cluster.start(self.find_member_name(who))

    async def do_start_all(self):
        for name in self.cluster.names:
            if name not in self.cluster.nodes:
                await self.cluster.start(name)
        await self.cluster.wait_leader()

    async def do_lose_disk(self, who):
        await self.do_crash(who)
        self.disks.lose(self.find_member_name(who))

    async def do_replace(self, who):
        """Replaces a member with a lost disk by one with a new incarnation."""
        name = self.find_member_name(who)
        old = self.cluster.make_member(name)
        if name in self.cluster.nodes:
            await self.cluster.stop(name)
        await self.cluster.retry_change(lambda node: node.remove(old, 2))
        self.disks.lose(name)
        self.disks.incarnations[name] += 1
        await self.cluster.join(name)

    async def do_fail_write(self, who, after, torn):
        files = self.disks.files[self.find_member_name(who)]
        files.fail_at, files.fail_torn = files.operations + after, torn

    async def do_fill_disk(self, who, space_bytes):
        self.disks.files[self.find_member_name(who)].space_bytes = space_bytes

    async def do_failed(self, who):
        """Returns whether a member stopped because of a disk failure."""
        return bool(self.cluster.nodes[self.find_member_name(who)].failure)

    async def do_has_leader(self, after_s):
        await asyncio.sleep(after_s)
        return self.cluster.get_leader() is not None

    async def do_settle(self):
        await self.cluster.wait_converged()

    # Checks over the whole replay.

    def check_commands(self):
        assert self.cluster.acknowledged, "nothing was acknowledged"
        self.cluster.check_history()

    def check_snapshot(self):
        assert self.cluster.network.calls.get("InstallSnapshot")
