"""Plays traces on a control group, one whole zone and one that only beats.

The zone `north` has instances and upstreams. The zone `south` stands for the
rest: it beats, gives shards back when it is asked, and owns what control
delegates to it.
"""

import asyncio
import itertools
import pathlib

from bamboosill_common import contract as contract_lib
from bamboosill_common.generated import control as messages
from bamboosilld.control import delegation
from bamboosilld.control import timing
from bamboosilld.zone import membership

TESTS = pathlib.Path(__file__).parents[2]
CUSTOMERS = {"hold": "a", "lapse": "b"}
SETTLED_S = 4.0
KEYS = 200


class Recorder:
    """Passes messages to control and keeps its answers to beats."""

    def __init__(self, handlers):
        self._handlers = handlers
        self.feeds = []

    async def dispatch(self, message, hello):
        reply = await self._handlers.dispatch(message, hello)
        if isinstance(message, messages.ZoneBeat) and reply.items:
            self.feeds.append((reply.full, len(reply.items)))
        return reply


class Player:
    """A control group and two zones on one virtual clock."""

    virtual = True

    def __init__(self, load_module):
        self.control = load_module(TESTS / "control" / "conftest.py")
        self.zones = load_module(TESTS / "zone" / "conftest.py")
        self.accepted = {}
        self.commands = {}
        self.seen = {}
        self.refusals = set()
        self.wrong_runs = []
        self.runs = 0
        self.moved = []
        self.healed = False
        self.reverted = []
        self.checks = {
            "no request ran in a zone that does not own its key": (
                self.check_owner
            ),
            "no accepted contract is lost or reverted": self.check_contracts,
            "no more keys moved in a second than the stated rate": (
                self.check_storm
            ),
            "all refusals inside say that nothing ran": self.check_refusals,
        }

    async def start(self, instances=2, upstreams=("u", "v"), shards=32):
        self.group = self.control.ControlGroup(shards)
        assert await self.group.service._take_over()
        self.world = self.zones.ZoneSimulation(membership.make_node)
        self.recorder = Recorder(self.group.handlers)
        self.world.control.process.handlers = self.recorder
        item = messages.InstanceItem(
            instance="south1",
            incarnation=1,
            zone="south",
            roles=("entry",),
            peer_address="south1:1",
            caller_address="caller-south1",
        )
        await self.group.send(messages.RegisterInstance(item=item), "south1")
        self.south = self.control.FakeZone(self.group, "south", 16)
        self.tasks = [
            asyncio.create_task(self.tick()),
            asyncio.create_task(self.observe()),
        ]
        for name in upstreams:
            self.world.add_upstream(name)
        for number in range(instances):
            await self.world.add_member(f"i{number}")
        # Both zones must have slots before the first delegation.
        await asyncio.sleep(SETTLED_S)
        for zone_loss, customer in CUSTOMERS.items():
            assert (await self.group.accept(customer, zone_loss)).ok
            self.accepted[customer] = 10
        await self.world.wait(lambda: len(self.list_places()) == 4)
        await asyncio.sleep(SETTLED_S)
        self.places = self.list_places()

    async def stop(self):
        for task in self.tasks:
            task.cancel()
        for member in self.world.members.values():
            await member.stop()
        for upstream in self.world.upstreams.values():
            upstream.die()

    async def tick(self):
        while True:
            await asyncio.sleep(timing.TICK_INTERVAL_S)
            await self.south.send_heartbeat()
            await self.group.service.tick()

    async def observe(self):
        """Notes every second how many shards changed zone since the return."""
        before = {}
        while True:
            zones = {
                (name, number): shard.zone
                for name in self.group.state.tables.keyspaces
                for number, shard in enumerate(self.group.list_shards(name))
            }
            if self.healed:
                self.moved.append(
                    sum(zones[place] != zone for place, zone in before.items())
                )
            before = zones
            self.watch_contracts()
            await asyncio.sleep(1)

    def watch_contracts(self):
        """Notes instances that show an older contract than before."""
        for name, member in self.world.members.items():
            for customer in self.accepted:
                rate = self.get_rate(member, customer)
                key = (name, customer)
                # An instance that has just started knows none and is not
                # ready; it must not show an older one.
                if 0 < rate < self.seen.get(key, 0):
                    self.reverted.append(key)
                self.seen[key] = max(rate, self.seen.get(key, 0))

    def get_rate(self, member, customer):
        """Returns the rate of a contract in force, 0 without one."""
        contract = member.find_contract(customer)
        return contract.services[0].limits.rate_per_s if contract else 0

    def list_places(self):
        """Returns the first key of each mode that each zone owns."""
        member = self.world.members["i0"]
        found = {}
        for zone_loss, customer in CUSTOMERS.items():
            for number in range(KEYS):
                route = member.route(customer, "shop", f"key{number}")
                side = {"local": "inside", "remote": "outside"}
                if route.status in side:
                    place = (zone_loss, side[route.status])
                    found.setdefault(place, f"key{number}")
        return found

    # Steps.

    async def do_request(self, by, mode, side, duration_s=0.01):
        """Sends a request inside `north` for a key first owned on a side."""
        member = self.world.members[by]
        customer = CUSTOMERS[mode]
        route = member.route(customer, "shop", self.places[(mode, side)])
        if route.status != "local":
            self.refusals.add(route.status)
            return route.status
        dispatch = member.begin_dispatch(route, 2.0)
        if dispatch is None:
            return "refused"
        upstream = self.world.upstreams[route.upstream.address]
        done = await upstream.run(
            route.keyspace, route.shard, route.fence, duration_s
        )
        member.end_dispatch(dispatch)
        if done:
            self.runs += 1
            shard = self.group.list_shards(route.keyspace)[route.shard]
            if shard.zone != self.zones.ZONE:
                self.wrong_runs.append((route.keyspace, route.shard))
        return "done" if done else "refused"

    async def do_load(self, by, for_s, every_s=0.1):
        """Sends requests for all four kinds of keys."""
        end_s = self.world.now() + for_s
        for mode, side in itertools.cycle(sorted(self.places)):
            if self.world.now() >= end_s:
                return
            await self.do_request(by, mode, side)
            await asyncio.sleep(every_s)

    async def do_cut(self):
        """Cuts `north` off from control and the other zone."""
        self.world.network.isolate("control")

    async def do_heal(self):
        self.world.network.heal()
        self.healed = True

    async def do_delegated(self, mode):
        """Returns the zones to which shards of a mode are delegated."""
        keyspace = f"shop/{mode}/all"
        return sorted(self.group.count_shards(keyspace))

    async def do_accept(
        self, customer, rate, base, command_id="", answer="arrives"
    ):
        """Submits a contract; returns its revision or why it was refused."""
        text = f"""
customer: {customer}
services:
  - name: shop
    limits: {{rate_per_s: {rate}, concurrency: 4}}
    deadline_ms: {{default: 1000, longest: 4000}}
"""
        current = self.group.state.tables.contracts.get(customer)
        command = messages.AcceptContract(
            command_id=command_id,
            base_revision=current.revision if base == "current" else base,
            customer=customer,
            document=contract_lib.normalise(contract_lib.parse(text).unwrap()),
        )
        self.commands[command_id] = command
        result = (await self.group.service.submit(command)).unwrap()
        if result.ok and answer == "arrives":
            self.accepted[customer] = max(rate, self.accepted.get(customer, 0))
        if answer == "lost":
            return "lost"
        return "ok" if result.ok else result.code

    async def do_resend(self, command_id):
        """Submits a command again, as an operator without an answer does."""
        command = self.commands[command_id]
        result = (await self.group.service.submit(command)).unwrap()
        return "ok" if result.ok else result.code

    async def do_rates(self, customer):
        """Returns the rate that each instance has in force."""
        return [
            self.get_rate(member, customer)
            for _, member in sorted(self.world.members.items())
        ]

    async def do_rate_at_control(self, customer):
        """Returns the accepted rate."""
        item = self.group.state.tables.contracts[customer]
        contract = contract_lib.read_stored(item.document)
        return contract.services[0].limits.rate_per_s

    async def do_feeds(self):
        """Returns the feeds since the last question: full or delta."""
        feeds, self.recorder.feeds = self.recorder.feeds, []
        return sorted({"full" if full else "delta" for full, _ in feeds})

    async def do_restart_instance(self, who, after_s):
        incarnation = self.world.processes[who].identity.incarnation
        await self.world.kill_member(who)
        await asyncio.sleep(after_s)
        await self.world.add_member(who, incarnation + 1)

    # What holds for the whole replay.

    def check_owner(self):
        assert self.runs, "nothing ran"
        assert not self.wrong_runs

    def check_contracts(self):
        assert not self.reverted
        for name, member in self.world.members.items():
            for customer, rate in self.accepted.items():
                found = self.get_rate(member, customer)
                assert found >= rate, (name, customer)

    def check_storm(self):
        # Only keys of one mode move, so the rate of one keyspace counts.
        rate = max(
            delegation.compute_release_rate(each.shards)
            for each in self.group.state.tables.keyspaces.values()
        )
        assert sum(self.moved), "nothing moved"
        # Two seconds' budget can fall into one second of observation.
        assert max(self.moved) <= 2 * rate

    def check_refusals(self):
        assert self.refusals, "nothing was refused"
        # No such route writes a byte to an upstream.
        assert self.refusals <= {"remote", "moving", "unassigned"}
