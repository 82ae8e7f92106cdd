"""Simulation of one availability zone in memory, on virtual time.

Real zone members run against an in-memory network, a fake control group and
fake upstreams. Faults are injected by pausing, isolating and killing processes.
"""

import asyncio
import itertools
import json
import random
import types

import pytest
from returns.result import Failure
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import contract as contract_lib
from bamboosill_common import errors
from bamboosill_common import events
from bamboosill_common import peer
from bamboosill_common import sharding
from bamboosill_common import wire
from bamboosill_common.generated import consensus
from bamboosill_common.generated import control
from bamboosill_common.generated import peer as peer_messages
from bamboosill_common.generated import zone as messages
from bamboosilld.control import timing
from bamboosilld.placement import policy as policy_lib
from bamboosilld.zone import member as member_lib
from bamboosilld.zone import membership as membership_lib

ZONE = "north"
LATENCY_S = 0.001
LONGEST_DEADLINE_S = 2.0


class PausableClock(clock_lib.LoopClock):
    """A clock whose sleeps do not end while its process is paused."""

    def __init__(self):
        super().__init__()
        self._running = asyncio.Event()
        self._running.set()

    async def sleep(self, seconds):
        await asyncio.sleep(seconds)
        await self.wait_running()

    async def wait_running(self):
        await self._running.wait()

    def pause(self):
        self._running.clear()

    def resume(self):
        self._running.set()


class Process:
    """An instance as an endpoint of the network."""

    def __init__(self, name, incarnation, zone=ZONE):
        self.identity = peer.Identity(name, incarnation, zone)
        self.address = f"{name}:{incarnation}"
        self.clock = PausableClock()
        self.handlers = peer.Handlers()
        self.alive = True


class Network:
    """Processes by address, and the pairs of them that are partitioned."""

    def __init__(self):
        self.processes = {}
        self.partitioned_pairs = set()

    def is_partitioned(self, one, other):
        return frozenset((one, other)) in self.partitioned_pairs

    def isolate(self, name):
        for other in {p.identity.instance for p in self.processes.values()}:
            if other != name:
                self.partitioned_pairs.add(frozenset((name, other)))

    def heal(self):
        self.partitioned_pairs.clear()


class Directory:
    """Connections of one process to the others."""

    def __init__(self, network, process):
        self._network = network
        self._process = process

    async def call(self, address, message, reply_type, deadline_s):
        try:
            async with asyncio.timeout(deadline_s):
                return await self._deliver_call(address, message)
        except TimeoutError:
            return Failure(errors.PeerError("timeout", address, True))

    async def _deliver_call(self, address, message):
        sender = self._process.identity
        other = self._network.processes.get(address)
        await asyncio.sleep(LATENCY_S)
        if other is None or not other.alive or not self._process.alive:
            return Failure(errors.PeerError("unreachable", address, False))
        await self._wait_reachable(sender.instance, other)
        data = wire.encode(message)
        try:
            reply = await asyncio.shield(
                asyncio.create_task(
                    other.handlers.dispatch(
                        wire.decode(type(message), data),
                        peer_messages.Hello(
                            instance=sender.instance,
                            incarnation=sender.incarnation,
                        ),
                    )
                )
            )
        except errors.HandlerError as error:
            return Failure(errors.PeerError(error.code, str(error), True))
        await asyncio.sleep(LATENCY_S)
        await self._wait_reachable(sender.instance, other)
        await self._process.clock.wait_running()
        return Success(wire.decode(type(reply), wire.encode(reply)))

    async def _wait_reachable(self, name, other):
        """Blocks for good if the other process is partitioned or dead."""
        if self._network.is_partitioned(name, other.identity.instance):
            await asyncio.sleep(3600)
        if not other.alive:
            await asyncio.sleep(3600)
        await other.clock.wait_running()


class SingleMemberNode:
    """A consensus node whose only member becomes leader at its start."""

    def __init__(self, spec):
        self._spec = spec
        self._listeners = []
        self.is_leader = False
        self.leader = None
        self.elected_at_s = 0.0
        self.term = 1
        self.commit_index = self.applied_index = 1
        self.membership = spec.bootstrap or consensus.Membership()
        self.holds_leader_lease = True

    def has_leader_lease(self):
        return self.is_leader and self.holds_leader_lease

    def get_seconds_since_reply(self, member):
        return 0.0

    def add_leadership_listener(self, listener):
        self._listeners.append(listener)

    async def start(self):
        self.elected_at_s = self._spec.clock.monotonic()
        self.is_leader, self.leader = True, self._spec.member
        for listener in self._listeners:
            listener(True)

    async def stop(self):
        self.is_leader = False

    async def propose(self, command, deadline_s):
        await asyncio.sleep(0)
        self.commit_index += 1
        value = self._spec.state.apply(self.commit_index, command)
        self.applied_index = self.commit_index
        return Success(
            types.SimpleNamespace(index=self.commit_index, value=value)
        )


class Control:
    """A fake control group that delegates all shards to one zone."""

    def __init__(self, network):
        self.process = Process("control", 1, "elsewhere")
        self.process.address = "control:1"
        network.processes[self.process.address] = self.process
        self.revision = 0
        self.items = {}
        self.log = []
        self.lease_ms = 1500
        self.heartbeats = []
        self.zone = control.ZoneItem(zone=ZONE)
        self._voters = {}
        self._leaderless = {}
        self._failed_since_s = None
        register = self.process.handlers.register
        register(control.RegisterInstance)(self._handle_registration)
        register(control.ZoneBeat)(self._handle_heartbeat)

    def put(self, key, item):
        self.revision += 1
        item = item._replace(revision=self.revision)
        self.items[key] = item
        self.log.append((self.revision, wire.pack(item)))

    def found_group(self, epoch, founder):
        self.zone = control.ZoneItem(
            zone=ZONE,
            group_epoch=epoch,
            founder=founder.instance,
            founder_incarnation=founder.incarnation,
        )
        self.put(("zone", ZONE), self.zone)

    def add_contract(self, customer, service, shards, zone_loss="hold"):
        keyspace = sharding.format_keyspace(service, zone_loss, ())
        document = {
            "customer": customer,
            "services": [
                {
                    "name": service,
                    "zone_loss": zone_loss,
                    "limits": {"rate_per_s": 100, "concurrency": 8},
                    "deadline_ms": {
                        "default": 1000,
                        "longest": int(LONGEST_DEADLINE_S * 1000),
                    },
                }
            ],
        }
        contract = contract_lib.parse(json.dumps(document)).unwrap()
        item = control.ContractItem(
            customer=customer, document=contract_lib.normalise(contract)
        )
        self.put(("contract", customer), item)
        self.put(
            ("keyspace", keyspace),
            control.KeyspaceItem(
                keyspace=keyspace,
                service=service,
                zone_loss=zone_loss,
                shards=shards,
                unavailability_weight=1.0,
                churn_weight=1.0,
                imbalance_weight=1.0,
            ),
        )
        self.delegate(keyspace, shards)
        return keyspace

    def delegate(
        self, keyspace, shards, epoch=1, zone=ZONE, releasing=False, floor=0
    ):
        self.put(
            ("delegation", keyspace),
            control.DelegationItem(
                keyspace=keyspace,
                zones=(zone,) * shards,
                epochs=(epoch,) * shards,
                group_epochs=(max(1, self.zone.group_epoch),) * shards,
                id_floors_ms=(floor,) * shards,
                releasing=(releasing,) * shards,
            ),
        )

    async def _handle_registration(self, message, hello):
        item = message.item
        if not self.zone.group_epoch:
            self.found_group(
                1, peer.Identity(item.instance, item.incarnation, ZONE)
            )
        self.put(("instance", item.instance), item)
        self._leaderless[item.instance] = item
        instances = self._list_instances()
        self._replace_failed_group(instances)
        return control.RegisterReply(
            accepted=True,
            zone=self.zone,
            instances=instances,
            wall_ms=self.process.clock.wall_ms(),
        )

    def _list_instances(self):
        return tuple(
            each for key, each in self.items.items() if key[0] == "instance"
        )

    def _replace_failed_group(self, instances):
        """Founds a new group as `control.founder` does.

        The members of a group are in memory only, so that one whose voters
        have restarted has lost its quorum for good.
        """
        now_s = self.process.clock.monotonic()
        remaining = [
            each
            for each in instances
            if each.incarnation <= self._voters.get(each.instance, 0)
        ]
        has_failed = len(remaining) < len(self._voters) // 2 + 1 and len(
            self._leaderless
        ) == len(instances)
        if not self._voters or not has_failed:
            self._failed_since_s = None
            return
        if self._failed_since_s is None:
            self._failed_since_s = now_s
        wait_s = timing.FOUNDING_WAIT_S + LONGEST_DEADLINE_S
        if now_s < self._failed_since_s + wait_s:
            return
        founder = min(each for each in instances if each not in remaining)
        self._voters, self._leaderless = {}, {}
        self.found_group(
            self.zone.group_epoch + 1,
            peer.Identity(founder.instance, founder.incarnation, ZONE),
        )
        for kind, keyspace in list(self.items):
            if kind == "delegation":
                item = self.items[kind, keyspace]
                self.delegate(
                    keyspace,
                    len(item.zones),
                    epoch=item.epochs[0] + 1,
                    floor=self.process.clock.wall_ms(),
                )

    async def _handle_heartbeat(self, message, hello):
        self.heartbeats.append(message)
        if message.group_epoch == self.zone.group_epoch:
            self._leaderless.clear()
            self._voters = dict(
                zip(message.voters, message.voter_incarnations, strict=True)
            )
        lease_ms = self.lease_ms
        if message.group_epoch != self.zone.group_epoch:
            lease_ms = 0
        return control.ZoneBeatReply(
            lease_ms=lease_ms,
            wall_ms=self.process.clock.wall_ms(),
            revision=self.revision,
            items=tuple(
                data
                for revision, data in self.log
                if revision > message.applied_revision
            ),
        )


class ExecutedRequest:
    """A request that an upstream executed, with its owner and fence."""

    def __init__(self, upstream, keyspace, shard, fence, begin_s):
        self.owner = (upstream.id, upstream.incarnation)
        self.shard = (keyspace, shard)
        self.fence = fence
        self.begin_s = begin_s
        self.end_s = None


class FakeUpstream:
    """An upstream that sends heartbeats, holds grants and runs requests."""

    def __init__(self, simulation, name, incarnation, checks_fences, service):
        self.simulation = simulation
        self.id = name
        self.incarnation = incarnation
        self.checks_fences = checks_fences
        self.clock = PausableClock()
        self.alive = True
        self.state = "warm"
        self.members = None
        self.version = 0
        self.lease_expires_s = float("-inf")
        self.lapse_lease_expires_s = float("-inf")
        self.grants = {}
        self.min_fences = {}
        self.accepts_notices = True
        self.announced = 0
        self.message = messages.Upstream(
            id=name,
            incarnation=incarnation,
            service=service,
            zone=ZONE,
            address=f"{name}/{incarnation}",
            slots=8,
            connections=8,
            checks_fences=checks_fences,
            state="warm",
        )
        self.task = asyncio.create_task(self._send_heartbeats())

    def die(self):
        self.alive = False
        self.task.cancel()

    async def _send_heartbeats(self):
        while True:
            names = self.members or sorted(self.simulation.members)
            member = self.simulation.members.get(
                self.simulation.rng.choice(names)
            )
            delay_s = 0.5
            if member is not None and await self._send_heartbeat(member):
                # It was just announced; the next heartbeat brings the lease.
                delay_s = 0.05
            await self.clock.sleep(delay_s)

    async def _send_heartbeat(self, member):
        sent_s = self.clock.monotonic()
        await self.simulation.processes[member.name].clock.wait_running()
        result = await member.forward_heartbeat(
            messages.UpstreamBeat(
                id=self.id,
                incarnation=self.incarnation,
                state=self.state,
                grants_version=self.version,
            )
        )
        await self.clock.wait_running()
        if isinstance(result, Failure):
            return False
        reply = result.unwrap()
        if reply.code == "announce":
            self.grants, self.version = {}, 0
            self.announced += 1
            await member.register_upstream(self.message)
            return True
        self.lease_expires_s = sent_s + reply.lease_ms / 1000
        self.lapse_lease_expires_s = sent_s + reply.lapse_lease_ms / 1000
        if not reply.unchanged:
            self.version = reply.grants_version
            self.grants = {}
            for each in reply.grants:
                self._store_grant(
                    each.keyspace, each.shard, each.key, each.fence
                )
        return False

    def _store_grant(self, keyspace, shard, key, fence):
        grant_key = (keyspace, shard, key)
        if fence >= self.min_fences.get(grant_key, 0):
            self.grants[grant_key] = max(fence, self.grants.get(grant_key, 0))

    def accept_grant(self, notice):
        for shard in notice.shards:
            self._store_grant(notice.keyspace, shard, notice.key, notice.fence)

    def accept_revoke(self, notice):
        for shard in notice.shards:
            grant_key = (notice.keyspace, shard, notice.key)
            self.min_fences[grant_key] = max(
                self.min_fences.get(grant_key, 0), notice.fence
            )
            if self.grants.get(grant_key, 0) < notice.fence:
                self.grants.pop(grant_key, None)

    def _may_run(self, keyspace, shard, fence):
        if not self.checks_fences:
            return True
        lease_expires_s = self.lease_expires_s
        if "/lapse/" in keyspace:
            lease_expires_s = min(lease_expires_s, self.lapse_lease_expires_s)
        if self.clock.monotonic() >= lease_expires_s:
            return False
        return fence in (
            granted_fence
            for (
                granted_keyspace,
                number,
                _,
            ), granted_fence in self.grants.items()
            if (granted_keyspace, number) == (keyspace, shard)
        )

    async def run(self, keyspace, shard, fence, duration_s):
        """Returns whether the request took effect."""
        await self.clock.wait_running()
        if not self.alive or not self._may_run(keyspace, shard, fence):
            return False
        run = ExecutedRequest(
            self, keyspace, shard, fence, self.simulation.now()
        )
        if not self.checks_fences:
            self.simulation.runs.append(run)
        await self.clock.sleep(duration_s)
        run.end_s = self.simulation.now()
        if not self.alive or not self._may_run(keyspace, shard, fence):
            return False
        if self.checks_fences:
            # With fences, only the moment of the effect matters.
            run.begin_s = run.end_s
            self.simulation.runs.append(run)
        return True


class FakeUpstreamClient:
    """Upstream client of one instance, without HTTP."""

    def __init__(self, simulation, process):
        self._simulation = simulation
        self._process = process

    async def grant(self, address, notice):
        return await self._deliver(address, notice, "accept_grant")

    async def revoke(self, address, notice):
        return await self._deliver(address, notice, "accept_revoke")

    async def _deliver(self, address, notice, method):
        await asyncio.sleep(LATENCY_S)
        upstream = self._simulation.upstreams.get(address)
        if (
            upstream is None
            or not upstream.alive
            or not upstream.accepts_notices
        ):
            return False
        await upstream.clock.wait_running()
        getattr(upstream, method)(notice)
        await self._process.clock.wait_running()
        return self._process.alive


class ConsensusDispatcher:
    """Dispatches consensus messages to the node of their group."""

    def __init__(self, handlers):
        self.nodes = {}
        for message_type in (
            consensus.RequestVote,
            consensus.AppendEntries,
            consensus.InstallSnapshot,
        ):
            handlers.register(message_type)(self._handle)

    def add(self, group, node):
        self.nodes[group] = node

    def remove(self, group):
        self.nodes.pop(group, None)

    async def _handle(self, message, hello):
        if message.group not in self.nodes:
            raise errors.HandlerError("unknown_group", message.group)
        return await self.nodes[message.group].handle(message)


class ZoneSimulation:
    """One availability zone with control group, network and upstreams."""

    def __init__(self, make_node, policy="bounded", seed=1):
        self.rng = random.Random(seed)
        self.network = Network()
        self.control = Control(self.network)
        self.make_node = make_node
        self.policy = policy
        self.processes = {}
        self.members = {}
        self.upstreams = {}
        self.runs = []
        self.tasks = []
        self.load_tasks = []

    def now(self):
        return asyncio.get_running_loop().time()

    async def add_member(self, name, incarnation=1):
        process = Process(name, incarnation)
        self.network.processes[process.address] = process
        seed = self.rng.random()
        member = member_lib.ZoneMember(
            process.identity,
            control.InstanceItem(
                instance=name,
                incarnation=incarnation,
                zone=ZONE,
                roles=("entry",),
                peer_address=process.address,
                caller_address=f"caller-{name}",
            ),
            (self.control.process.address,),
            Directory(self.network, process),
            process.handlers,
            ConsensusDispatcher(process.handlers),
            process.clock,
            random.Random(seed),
            events.Timeline(process.clock, name),
            lambda: policy_lib.make_policy(self.policy, random.Random(seed)),
            FakeUpstreamClient(self, process),
            make_node=self.make_node,
        )
        member.name = name
        self.processes[name], self.members[name] = process, member
        await member.start()
        return member

    async def kill_member(self, name):
        """Ends a process without a message to the others."""
        self.processes[name].alive = False
        await self.members.pop(name).stop()

    def add_upstream(
        self, name, incarnation=1, checks_fences=True, service="shop"
    ):
        upstream = FakeUpstream(self, name, incarnation, checks_fences, service)
        self.upstreams[upstream.message.address] = upstream
        return upstream

    async def wait(self, predicate, limit_s=30.0):
        """Waits in virtual time until a predicate holds."""
        end_s = self.now() + limit_s
        while not predicate():
            assert self.now() < end_s, "never happened"
            await asyncio.sleep(0.01)
        return self.now()

    def find_owners(self, member, customer, count=200):
        routes = (
            member.route(customer, "shop", f"key{number}")
            for number in range(count)
        )
        return {
            route.shard: route.upstream.id
            for route in routes
            if route.status == "local"
        }

    def all_local(self, member, customer="a", count=200):
        return all(
            member.route(customer, "shop", f"key{number}").status == "local"
            for number in range(count)
        )

    async def request(self, member, key, duration_s=0.01, deadline_s=2.0):
        """Dispatches one request as an entry instance does."""
        process = self.processes[member.name]
        route = member.route("a", "shop", key)
        if route.status != "local":
            return route.status
        dispatch = member.begin_dispatch(route, deadline_s)
        if dispatch is None:
            return "refused"
        try:
            # The process may be paused at any await before the write.
            await process.clock.sleep(self.rng.random() * 0.05)
            if not member.check_dispatch(dispatch):
                return "refused"
            upstream = self.upstreams[route.upstream.address]
            work = upstream.run(
                route.keyspace, route.shard, route.fence, duration_s
            )
            async with asyncio.timeout(deadline_s):
                done = await asyncio.shield(asyncio.create_task(work))
            return "done" if done else "refused"
        except TimeoutError:
            return "timeout"
        finally:
            member.end_dispatch(dispatch)

    def check_single_owner(self):
        """Asserts that no two owners executed requests of a shard at once."""
        by_shard = {}
        for run in self.runs:
            by_shard.setdefault(run.shard, []).append(run)
        assert by_shard, "nothing ran"
        for runs in by_shard.values():
            runs.sort(key=lambda each: (each.begin_s, each.fence))
            for earlier, later in itertools.pairwise(runs):
                assert earlier.fence <= later.fence, "an older grant ran"
            for index, run in enumerate(runs):
                for other in runs[index + 1 :]:
                    end_s = run.end_s if run.end_s is not None else float("inf")
                    if other.begin_s >= end_s:
                        break
                    assert other.owner == run.owner, "two owners at a time"


@pytest.fixture
def make_single_member_simulation():
    """Returns a factory of zones whose group has a single member."""
    return lambda **options: ZoneSimulation(SingleMemberNode, **options)


@pytest.fixture
def make_simulation():
    """Returns a factory of zones with real consensus."""
    return lambda **options: ZoneSimulation(membership_lib.make_node, **options)
