"""Checks the history of a group under random schedules of faults."""

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


class ScheduleRun:
    """Runs one schedule of steps on a cluster.

    Attributes:
        reads: For each linearizable read, the commands acknowledged before it
            and the commands that it returned.
    """

    def __init__(self, cluster, durable):
        self.cluster = cluster
        self.durable = durable
        self.files = {}
        self.count = 0
        self.reads = []
        self.tasks = []
        self.histories = {}
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

    async def do(self, step, argument):
        """Executes one step; a step that is not possible now does nothing."""
        running = sorted(self.cluster.nodes)
        name = running[argument % len(running)] if running else ""
        await getattr(self, f"do_{step}")(name, argument)
        self.check_histories()

    async def do_propose(self, name, argument, seconds=0.3):
        """Proposes a command through a member that claims leadership."""
        self.count += 1
        command = f"c{self.count}"
        for each in list(self.cluster.nodes.values()):
            if each.is_leader:
                result = await each.propose(command.encode(), seconds)
                if isinstance(result, Success):
                    self.cluster.acknowledged.append(command)
                return

    async def do_burst(self, name, argument):
        """Starts proposals that continue while other steps are executed."""
        for _ in range(10):
            self.tasks.append(
                asyncio.create_task(self.do_propose(name, argument, 2))
            )

    async def do_read(self, name, argument):
        """Reads through every member that claims leadership."""
        for each, node in list(self.cluster.nodes.items()):
            before = list(self.cluster.acknowledged)
            if isinstance(await node.read_barrier(0.3), Success):
                self.reads.append(
                    (before, list(self.cluster.machines[each].commands))
                )

    async def do_crash(self, name, argument):
        """Crashes a member; without disks, only if the group survives it."""
        if not name or (not self.durable and not self.survives_loss_of(name)):
            return
        await self.cluster.stop(name)
        if self.durable:
            self.files[name].crash()

    def survives_loss_of(self, name):
        """Returns whether the group survives the loss of a member's state.

        Checked in the membership that each running member knows, because a
        removal may not have reached all of them. A voter that restarted under
        a new incarnation, without its state, counts as lost.
        """
        for node in self.cluster.nodes.values():
            voters = [each for each in node.membership.members if each.voter]
            remaining = [
                each
                for each in voters
                if each.instance != name
                and each.instance in self.cluster.nodes
                and each.incarnation == self.cluster.incarnations[each.instance]
            ]
            if len(remaining) <= len(voters) // 2:
                return False
        return True

    async def do_restart(self, name, argument):
        """Restarts a stopped member."""
        down = [
            each
            for each in sorted(self.cluster.machines)
            if each not in self.cluster.nodes
        ]
        if not down:
            return
        each = down[argument % len(down)]
        if not self.durable:
            self.cluster.incarnations[each] += 1
        is_founder = self.durable and each in NAMES
        self.cluster.clocks[each].resume()
        await self.cluster.start(each, bootstrap=is_founder)

    async def do_isolate(self, name, argument):
        """Isolates a member."""
        self.cluster.network.isolate(name, list(NAMES + SPARES))

    async def do_cut(self, name, argument):
        """Drops messages between two members in one direction."""
        other = (NAMES + SPARES)[argument]
        self.cluster.network.cut(name, other)

    async def do_heal(self, name, argument):
        """Ends all network faults."""
        self.cluster.network.heal()

    async def do_drop(self, name, argument):
        """Drops messages at random."""
        self.cluster.network.drop_rate = argument * 0.1

    async def do_pause(self, name, argument):
        """Stops a member's clock and isolates it, like a suspended process."""
        if name:
            self.cluster.clocks[name].pause()
            self.cluster.network.isolate(name, list(NAMES + SPARES))

    async def do_resume(self, name, argument):
        """Resumes all clocks; those that were paused jump ahead."""
        for clock in self.cluster.clocks.values():
            clock.resume()

    async def do_add(self, name, argument):
        """Adds a spare or an existing member as a learner."""
        each = (NAMES + SPARES)[argument]
        if each not in self.cluster.nodes and each in SPARES:
            await self.cluster.start(each, bootstrap=False)
        member = self.cluster.make_member(each)
        await self.change(lambda node: node.add_learner(member, 0.3))

    async def do_promote(self, name, argument):
        """Promotes a learner."""
        member = self.cluster.make_member((NAMES + SPARES)[argument])
        await self.change(lambda node: node.promote(member, 0.3))

    async def do_remove(self, name, argument):
        """Removes a member if the group has more than three members."""
        for node in self.cluster.nodes.values():
            members = node.membership.members
            if node.is_leader and len(members) > 3:
                await node.remove(members[argument % len(members)], 0.3)
                return

    async def do_wait(self, name, argument):
        """Lets time pass."""
        await asyncio.sleep(0.2 * (argument + 1))

    async def change(self, change):
        """Changes the membership through a leader."""
        for node in list(self.cluster.nodes.values()):
            if node.is_leader:
                await change(node)
                return

    def check_histories(self):
        """Checks that each history is a prefix of the longest seen so far."""
        longest = self.histories.get("", [])
        for machine in self.cluster.machines.values():
            commands = machine.commands
            shared = min(len(commands), len(longest))
            assert commands[:shared] == longest[:shared]
            if len(commands) > len(longest):
                longest = list(commands)
        self.histories[""] = longest

    async def finish(self):
        """Ends all faults and checks the whole history."""
        await self.do_heal("", 0)
        await self.do_resume("", 0)
        await asyncio.gather(*self.tasks)
        for name in sorted(self.cluster.machines):
            if name not in self.cluster.nodes and self.durable:
                await self.do_restart("", 0)
        await self.cluster.wait_leader()
        await self.cluster.propose("last")
        await asyncio.sleep(2)
        self.check_histories()
        longest = self.histories[""]
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
        schedule = ScheduleRun(cluster, durable)
        await cluster.start_all()
        for step, argument in steps:
            await schedule.do(step, argument)
        await schedule.finish()

    loop = looptime.new_event_loop()
    try:
        loop.run_until_complete(run())
    finally:
        loop.close()
