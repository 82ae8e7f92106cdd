"""Replays traces on a control group and two zones.

The zone `north` has instances and upstreams. The zone `south` stands for the
other zones: it only sends heartbeats, releases shards on request and owns the
shards that control delegates to it.
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
SETTLE_TIME_S = 4.0
CANDIDATE_KEYS = 200


class FeedRecorder:
    """Forwards messages to control and records the feeds in its replies.

    A feed brings a zone up to date, by the full state or by a delta.
    """

    def __init__(self, handlers):
        self._handlers = handlers
        self.feeds = []

    async def dispatch(self, message, hello):
        reply = await self._handlers.dispatch(message, hello)
        if isinstance(message, messages.ZoneBeat) and reply.items:
            self.feeds.append((reply.full, len(reply.items)))
        return reply


class Player:
    """Plays the steps of a trace on a control group and two zones.

    They share a virtual clock.
    """

    uses_virtual_time = True

    def __init__(self, load_module):
        self.control = load_module(TESTS / "control" / "conftest.py")
        self.zones = load_module(TESTS / "zone" / "conftest.py")
        self.accepted = {}
        self.commands = {}
        self.highest_rates = {}
        self.refusals = set()
        self.wrong_runs = []
        self.run_count = 0
        self.moves_per_s = []
        self.is_reconnected = False
        self.reverted_contracts = []
        self.checks = {
            "no request ran in a zone that does not own its key": (
                self.check_owner
            ),
            "no accepted contract is lost or reverted": self.check_contracts,
            "no more keys moved in a second than the stated rate": (
                self.check_move_rate
            ),
            "all refusals in the cut-off zone say that nothing ran": (
                self.check_refusals
            ),
        }

    async def start(self, instances=2, upstreams=("u", "v"), shards=32):
        self.group = self.control.ControlGroup(shards)
        assert await self.group.service._take_over()
        self.world = self.zones.ZoneSimulation(membership.make_node)
        self.recorder = FeedRecorder(self.group.handlers)
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
            asyncio.create_task(self.record_moves()),
        ]
        for name in upstreams:
            self.world.add_upstream(name)
        for number in range(instances):
            await self.world.add_member(f"i{number}")
        # Both zones must have reported their capacity (slots) before shards
        # are first delegated.
        await asyncio.sleep(SETTLE_TIME_S)
        for zone_loss, customer in CUSTOMERS.items():
            assert (await self.group.accept(customer, zone_loss)).ok
            self.accepted[customer] = 10
        await self.world.wait(lambda: len(self.find_keys_by_owner()) == 4)
        await asyncio.sleep(SETTLE_TIME_S)
        self.keys_by_owner = self.find_keys_by_owner()

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

    async def record_moves(self):
        """Counts the moves of shards between zones, in each second.

        Counts only after the zone is connected again.
        """
        previous_zones = {}
        while True:
            zones = {
                (name, number): shard.zone
                for name in self.group.state.tables.keyspaces
                for number, shard in enumerate(self.group.list_shards(name))
            }
            if self.is_reconnected:
                self.moves_per_s.append(
                    sum(
                        zones[shard] != zone
                        for shard, zone in previous_zones.items()
                    )
                )
            previous_zones = zones
            self.record_reverted_contracts()
            await asyncio.sleep(1)

    def record_reverted_contracts(self):
        """Records instances on which an older contract is in force again."""
        for name, member in self.world.members.items():
            for customer in self.accepted:
                rate = self.get_rate(member, customer)
                key = (name, customer)
                # A restarted instance has no contract until it is ready, but
                # must not have an older one.
                if 0 < rate < self.highest_rates.get(key, 0):
                    self.reverted_contracts.append(key)
                self.highest_rates[key] = max(
                    rate, self.highest_rates.get(key, 0)
                )

    def get_rate(self, member, customer):
        """Returns the rate of a contract in force, 0 without one."""
        contract = member.find_contract(customer)
        return contract.services[0].limits.rate_per_s if contract else 0

    def find_keys_by_owner(self):
        """Returns one key for each mode of zone loss and each owner.

        The owner is `inside` for the zone `north`, else `outside`.
        """
        member = self.world.members["i0"]
        keys = {}
        for zone_loss, customer in CUSTOMERS.items():
            for number in range(CANDIDATE_KEYS):
                route = member.route(customer, "shop", f"key{number}")
                side = {"local": "inside", "remote": "outside"}
                if route.status in side:
                    owner = (zone_loss, side[route.status])
                    keys.setdefault(owner, f"key{number}")
        return keys

    # Steps.

    async def do_request(self, by, mode, side, duration_s=0.01):
        """Sends a request in `north` and returns its result.

        `side` selects a key by the zone that owned it at first: `inside` is
        `north`, and `outside` is another zone.
        """
        member = self.world.members[by]
        customer = CUSTOMERS[mode]
        route = member.route(customer, "shop", self.keys_by_owner[(mode, side)])
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
            self.run_count += 1
            shard = self.group.list_shards(route.keyspace)[route.shard]
            if shard.zone != self.zones.ZONE:
                self.wrong_runs.append((route.keyspace, route.shard))
        return "done" if done else "refused"

    async def do_load(self, by, for_s, every_s=0.1):
        """Sends requests for all modes and sides in turn."""
        end_s = self.world.now() + for_s
        for mode, side in itertools.cycle(sorted(self.keys_by_owner)):
            if self.world.now() >= end_s:
                return
            await self.do_request(by, mode, side)
            await asyncio.sleep(every_s)

    async def do_cut(self):
        """Partitions `north` from control and the other zone."""
        self.world.network.isolate("control")

    async def do_heal(self):
        self.world.network.heal()
        self.is_reconnected = True

    async def do_delegated(self, mode):
        """Returns the zones that own shards of the given zone-loss mode."""
        keyspace = f"shop/{mode}/all"
        return sorted(self.group.count_shards(keyspace))

    async def do_accept(
        self, customer, rate, base, command_id="", answer="arrives"
    ):
        """Submits a contract; returns `ok`, or the code of the refusal."""
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
        """Submits a command again, as an operator does after a lost answer."""
        command = self.commands[command_id]
        result = (await self.group.service.submit(command)).unwrap()
        return "ok" if result.ok else result.code

    async def do_rates(self, customer):
        """Returns the rate that is in force on each instance."""
        return [
            self.get_rate(member, customer)
            for _, member in sorted(self.world.members.items())
        ]

    async def do_rate_at_control(self, customer):
        """Returns the rate in the accepted contract."""
        item = self.group.state.tables.contracts[customer]
        contract = contract_lib.read_stored(item.document)
        return contract.services[0].limits.rate_per_s

    async def do_feeds(self):
        """Returns the kinds of state updates since the last call.

        The kinds of an update (feed) from control are `full` and `delta`.
        """
        feeds, self.recorder.feeds = self.recorder.feeds, []
        return sorted({"full" if full else "delta" for full, _ in feeds})

    async def do_restart_instance(self, who, after_s):
        incarnation = self.world.processes[who].identity.incarnation
        await self.world.kill_member(who)
        await asyncio.sleep(after_s)
        await self.world.add_member(who, incarnation + 1)

    # Checks over the whole replay.

    def check_owner(self):
        assert self.run_count, "nothing ran"
        assert not self.wrong_runs

    def check_contracts(self):
        assert not self.reverted_contracts
        for name, member in self.world.members.items():
            for customer, rate in self.accepted.items():
                rate_in_force = self.get_rate(member, customer)
                assert rate_in_force >= rate, (name, customer)

    def check_move_rate(self):
        # Only keys of one mode move, so the limit of one keyspace applies.
        rate = max(
            delegation.compute_release_rate(each.shards)
            for each in self.group.state.tables.keyspaces.values()
        )
        assert sum(self.moves_per_s), "nothing moved"
        # The token bucket can be full at first, so up to twice the rate can
        # move within one second.
        assert max(self.moves_per_s) <= 2 * rate

    def check_refusals(self):
        assert self.refusals, "nothing was refused"
        # With these routes, nothing is written to an upstream.
        assert self.refusals <= {"remote", "moving", "unassigned"}
