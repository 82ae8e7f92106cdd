"""Random schedules of faults against the history of a group."""

import asyncio
import pathlib
import random

import hypothesis
from hypothesis import strategies
import looptime
import pytest
from returns.result import Success

from bamboosill_common.generated import consensus as messages
from bamboosill_dev import memory_files
from bamboosilld.storage import disk

NAMES = "abc"
SPARES = "de"

STEPS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(
            [
                "propose",
                "propose",
                "burst",
                "read",
                "crash",
                "restart",
                "isolate",
                "cut",
                "heal",
                "drop",
                "pause",
                "resume",
                "add",
                "promote",
                "remove",
                "wait",
            ]
        ),
        strategies.integers(0, 4),
    ),
    min_size=10,
    max_size=60,
)


class Run:
    """One schedule on a cluster.

    Attributes:
        reads: For each linearizable read, what was acknowledged before it
            and what it saw.
    """

    def __init__(self, cluster, durable):
        self.cluster = cluster
        self.durable = durable
        self.files = {}
        self.count = 0
        self.reads = []
        self.tasks = []
        self.sequences = {}
        if durable:
            for name in NAMES + SPARES:
                self.files[name] = memory_files.MemoryFiles(random.Random(name))
                cluster.storages[name] = lambda name=name: self.open_disk(name)

    def open_disk(self, name):
        """Opens the disk of a member."""
        incarnation = self.cluster.incarnations[name]
        identity = messages.StorageIdentity("g", name, incarnation)
        return disk.DiskStorage(
            pathlib.Path("/data"), identity, self.files[name], 4000, False
        )

    async def do(self, step, number):
        """Takes one step; a step that does not fit does nothing."""
        running = sorted(self.cluster.nodes)
        name = running[number % len(running)] if running else ""
        await getattr(self, f"do_{step}")(name, number)
        self.check_sequences()

    async def do_propose(self, name, number, seconds=0.3):
        """Proposes through any member that believes to lead."""
        self.count += 1
        command = f"c{self.count}"
        for each in list(self.cluster.nodes.values()):
            if each.is_leader:
                result = await each.propose(command.encode(), seconds)
                if isinstance(result, Success):
                    self.cluster.acknowledged.append(command)
                return

    async def do_burst(self, name, number):
        """Proposes at once what goes on while other steps are taken."""
        for _ in range(10):
            self.tasks.append(
                asyncio.create_task(self.do_propose(name, number, 2))
            )

    async def do_read(self, name, number):
        """Reads through every member that believes to lead."""
        for each, node in list(self.cluster.nodes.items()):
            before = list(self.cluster.acknowledged)
            if isinstance(await node.read_barrier(0.3), Success):
                self.reads.append(
                    (before, list(self.cluster.machines[each].commands))
                )

    async def do_crash(self, name, number):
        """Ends a process; without disks only while a majority remains."""
        if not name or (not self.durable and not self.may_lose(name)):
            return
        await self.cluster.stop(name)
        if self.durable:
            self.files[name].crash()

    def may_lose(self, name):
        """Whether the group survives the loss of a member's memory.

        Removed members are forgotten only by what runs; a member that lost
        its memory counts as lost in each membership that is known.
        """
        for node in self.cluster.nodes.values():
            voters = [each for each in node.membership.members if each.voter]
            left = [
                each
                for each in voters
                if each.instance != name
                and each.instance in self.cluster.nodes
                and each.incarnation == self.cluster.incarnations[each.instance]
            ]
            if len(left) <= len(voters) // 2:
                return False
        return True

    async def do_restart(self, name, number):
        """Starts a member that is down."""
        down = [
            each
            for each in sorted(self.cluster.machines)
            if each not in self.cluster.nodes
        ]
        if not down:
            return
        each = down[number % len(down)]
        if not self.durable:
            self.cluster.incarnations[each] += 1
        founded = self.durable and each in NAMES
        self.cluster.clocks[each].resume()
        await self.cluster.start(each, bootstrap=founded)

    async def do_isolate(self, name, number):
        """Cuts a member off."""
        self.cluster.network.isolate(name, list(NAMES + SPARES))

    async def do_cut(self, name, number):
        """Cuts one direction between two members."""
        other = (NAMES + SPARES)[number]
        self.cluster.network.cut(name, other)

    async def do_heal(self, name, number):
        """Ends all faults of the network."""
        self.cluster.network.heal()

    async def do_drop(self, name, number):
        """Loses a part of all messages."""
        self.cluster.network.drop_rate = number * 0.1

    async def do_pause(self, name, number):
        """Stops the clock of a member and cuts it off."""
        if name:
            self.cluster.clocks[name].pause()
            self.cluster.network.isolate(name, list(NAMES + SPARES))

    async def do_resume(self, name, number):
        """Lets all clocks jump."""
        for clock in self.cluster.clocks.values():
            clock.resume()

    async def do_add(self, name, number):
        """Adds a spare, or a member again, as a learner."""
        each = (NAMES + SPARES)[number]
        if each not in self.cluster.nodes and each in SPARES:
            await self.cluster.start(each, bootstrap=False)
        member = self.cluster.make_member(each)
        await self.change(lambda node: node.add_learner(member, 0.3))

    async def do_promote(self, name, number):
        """Promotes a learner."""
        member = self.cluster.make_member((NAMES + SPARES)[number])
        await self.change(lambda node: node.promote(member, 0.3))

    async def do_remove(self, name, number):
        """Removes a member if three voters are left."""
        for node in self.cluster.nodes.values():
            members = node.membership.members
            if node.is_leader and len(members) > 3:
                await node.remove(members[number % len(members)], 0.3)
                return

    async def do_wait(self, name, number):
        """Lets time pass."""
        await asyncio.sleep(0.2 * (number + 1))

    async def change(self, change):
        """Changes the membership through a leader."""
        for node in list(self.cluster.nodes.values()):
            if node.is_leader:
                await change(node)
                return

    def check_sequences(self):
        """All applied sequences are prefixes of the longest ever seen."""
        longest = self.sequences.get("", [])
        for machine in self.cluster.machines.values():
            commands = machine.commands
            shared = min(len(commands), len(longest))
            assert commands[:shared] == longest[:shared]
            if len(commands) > len(longest):
                longest = list(commands)
        self.sequences[""] = longest

    async def finish(self):
        """Ends all faults, and checks the whole history."""
        await self.do_heal("", 0)
        await self.do_resume("", 0)
        await asyncio.gather(*self.tasks)
        for name in sorted(self.cluster.machines):
            if name not in self.cluster.nodes and self.durable:
                await self.do_restart("", 0)
        await self.cluster.wait_leader()
        await self.cluster.propose("last")
        await asyncio.sleep(2)
        self.check_sequences()
        longest = self.sequences[""]
        leader = self.cluster.get_leader()
        machine = next(
            self.cluster.machines[name]
            for name, node in self.cluster.nodes.items()
            if node is leader
        )
        assert machine.commands == longest
        for command in self.cluster.acknowledged:
            assert longest.count(command) == 1
        for before, seen in self.reads:
            assert set(before) <= set(seen)
            assert seen == longest[: len(seen)]
        await self.cluster.stop_all()


@pytest.mark.parametrize("durable", [True, False])
@hypothesis.settings(
    max_examples=40,
    # Shrinking takes minutes; the steps of a failure are short enough.
    phases=[hypothesis.Phase.generate],
    suppress_health_check=list(hypothesis.HealthCheck),
)
@hypothesis.given(steps=STEPS, seed=strategies.integers(0, 1000))
def test_random_schedules(make_cluster, durable, steps, seed):
    """Guards against lost, doubled or reordered commands and stale reads."""

    async def run():
        cluster = make_cluster(
            NAMES,
            seed=seed,
            storages={},
            snapshot_entries=15,
            trailing_entries=3,
            snapshot_chunk_bytes=50,
        )
        schedule = Run(cluster, durable)
        await cluster.start_all()
        for step, number in steps:
            await schedule.do(step, number)
        await schedule.finish()

    loop = looptime.new_event_loop()
    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
