"""Replays traces on a zone group with stand-ins for control and upstreams."""

import asyncio
import pathlib
import random

from returns.result import Success

from bamboosill_common import requestid
from bamboosill_common.generated import zone as messages
from bamboosilld.zone import membership
from bamboosilld.zone import renewal

TESTS = pathlib.Path(__file__).parents[2]
# Time after the start of a drain within which requests may still begin.
DRAIN_NOTICE_S = 3.0
SETTLE_TIME_S = 4.0


class Player:
    """One zone.

    Steps name instances, or `leader` and `follower` for their current role.
    """

    uses_virtual_time = True

    def __init__(self, load_module):
        self.harness = load_module(TESTS / "zone" / "conftest.py")
        self.answers = []
        self.served_requests = []
        self.request_ids_by_number = {}
        self.order_runs = {}
        self.drain_starts_s = {}
        self.initial_owners = {}
        self.false_in_flight = {}
        self.intercepted_members = set()
        self.checks = {
            "each key had one owner at any time": self.check_owner,
            "keys moved": self.check_moved,
            "each order ran at most once": self.check_orders,
            "a draining upstream got no new requests after 3 s": (
                self.check_drained_upstreams
            ),
            "no request was interrupted": self.check_no_interruption,
        }

    async def start(
        self,
        instances=3,
        upstreams=("u", "v"),
        checks_fences=True,
        zone_loss="hold",
        shards=16,
        seed=1,
    ):
        self.world = self.make_world(seed)
        self.world.control.add_contract("a", "shop", shards, zone_loss)
        for name in upstreams:
            self.world.add_upstream(name, 1, checks_fences)
        for number in range(instances):
            await self.world.add_member(f"i{number}")
        await self.settle()
        await asyncio.sleep(SETTLE_TIME_S)
        self.initial_owners = self.list_owners()

    def make_world(self, seed):
        return self.harness.ZoneSimulation(membership.make_node, seed=seed)

    async def stop(self):
        for member in self.world.members.values():
            await member.stop()
        for upstream in self.world.upstreams.values():
            upstream.die()

    async def settle(self, limit_s=60):
        members = self.world.members
        await self.world.wait(
            lambda: all(self.world.all_local(m) for m in members.values()),
            limit_s,
        )

    def list_owners(self):
        """Returns the owners of all shards in the view of the leader."""
        leader = self.world.members[self.find_instance_name("leader")]
        return self.world.find_owners(leader, "a")

    def find_instance_name(self, name):
        """Returns the name of an instance that is given by name or role."""
        if name not in ("leader", "follower"):
            return name
        is_leader = {
            each: member._membership.node is not None
            and member._membership.node.has_leader_lease()
            for each, member in sorted(self.world.members.items())
        }
        return next(
            each
            for each, leads in is_leader.items()
            if leads == (name == "leader")
        )

    def find_upstream(self, name):
        return next(
            each
            for each in reversed(self.world.upstreams.values())
            if each.id == name
        )

    # Steps.

    async def do_request(self, by, key, duration_s=0.01):
        member = self.world.members.get(self.find_instance_name(by))
        if member is None:
            return "lost"
        route = member.route("a", "shop", key)
        begin_s = self.world.now()
        answer = await self.world.request(member, key, duration_s)
        self.answers.append(answer)
        if answer in ("done", "timeout"):
            self.served_requests.append((route.upstream.id, begin_s))
        return answer

    async def do_load(self, by, for_s, every_s=0.025, keys=60):
        """Sends requests of random duration for random keys."""
        rng, tasks = self.world.rng, []
        end_s = self.world.now() + for_s
        while self.world.now() < end_s:
            if by in self.world.members:
                key = f"key{rng.randrange(keys)}"
                duration_s = rng.choice([0.005, 0.05, 0.4, 1.5])
                tasks.append(
                    asyncio.create_task(self.do_request(by, key, duration_s))
                )
            await asyncio.sleep(every_s)
        await asyncio.gather(*tasks)

    async def do_pause(self, who, for_s):
        """Pauses a process as SIGSTOP does, and resumes it."""
        name = self.find_instance_name(who)
        process = self.world.processes.get(name) or self.find_upstream(name)
        process.clock.pause()
        await asyncio.sleep(for_s)
        process.clock.resume()

    async def do_isolate(self, who, for_s):
        """Partitions a process from all others without closing connections."""
        self.world.network.isolate(self.find_instance_name(who))
        await asyncio.sleep(for_s)
        self.world.network.heal()

    async def do_avoid(self, who):
        """Makes upstreams send heartbeats through the other instances.

        Real upstreams do so by themselves when a reply takes 400 ms; the
        stand-in waits for the reply.
        """
        name = self.find_instance_name(who)
        for upstream in self.world.upstreams.values():
            upstream.members = sorted(set(self.world.members) - {name})

    async def do_restart_instance(self, who, after_s):
        name = self.find_instance_name(who)
        incarnation = self.world.processes[name].identity.incarnation
        await self.world.kill_member(name)
        await asyncio.sleep(after_s)
        await self.world.add_member(name, incarnation + 1)

    async def do_restart_upstream(self, who, after_s):
        old = self.find_upstream(who)
        old.die()
        await asyncio.sleep(after_s)
        self.world.add_upstream(who, old.incarnation + 1, old.checks_fences)

    async def do_drain(self, who):
        self.find_upstream(who).state = "draining"
        self.drain_starts_s[who] = self.world.now()

    async def do_settle(self, limit_s=60):
        await self.settle(limit_s)

    async def do_owners(self):
        """Returns the upstreams that own keys."""
        return sorted(set(self.list_owners().values()))

    async def do_unmoved(self):
        """Returns whether all owners are the same as after the setup."""
        return self.list_owners() == self.initial_owners

    async def do_announced(self, who):
        return self.find_upstream(who).announced

    async def do_order(self, by, number, key, duration_s=0.01, age_s=0.0):
        """Sends a non-repeatable request in the way of an entry instance.

        The same number is the same request, also in a resend.
        """
        name = self.find_instance_name(by)
        member, clock = self.world.members[name], self.world.processes[name]
        wall_ms = clock.clock.wall_ms()
        if number not in self.request_ids_by_number:
            self.request_ids_by_number[number] = requestid.make_request_id(
                wall_ms - int(age_s * 1000), random.Random(number)
            )
        begin = messages.BeginRequest(
            id=self.request_ids_by_number[number],
            customer="a",
            fingerprint=b"f",
            keyspace="shop/hold/all",
            shard=member.route("a", "shop", key).shard,
            instance=name,
            incarnation=clock.identity.incarnation,
            now_ms=wall_ms,
        )
        result = await member.propose(begin, 5.0)
        if not isinstance(result, Success):
            return result.failure().code
        if result.unwrap().status != "new":
            return result.unwrap().status
        answer = await self.world.request(member, key, duration_s)
        if answer == "done":
            self.order_runs[number] = self.order_runs.get(number, 0) + 1
        if name not in self.world.members or not clock.alive:
            return "caller got nothing"
        finish = messages.FinishRequest(
            id=self.request_ids_by_number[number],
            customer="a",
            status=200,
            outcome="answer" if answer == "done" else "unknown",
        )
        await member.propose(finish, 5.0)
        return answer

    async def do_report_crash(self, by, upstream, incarnation, requests):
        member = self.world.members[self.find_instance_name(by)]
        clock = self.world.processes[member.name].clock
        report = messages.ReportCrash(
            upstream,
            incarnation,
            tuple(each.encode() for each in requests),
            clock.wall_ms(),
        )
        return isinstance(await member.propose(report, 2.0), Success)

    async def do_quarantined(self, request):
        """Returns the instances that refuse a request as quarantined."""
        return [
            name
            for name, member in sorted(self.world.members.items())
            if member.find_quarantine(request.encode())
        ]

    async def do_figures(self, by, in_flight, rate_per_s):
        """Makes an instance report equal load for all upstreams and shards."""
        names = sorted({each.id for each in self.world.upstreams.values()})
        shards = sorted(self.list_owners())
        views = tuple(
            messages.UpstreamView(name, in_flight, 10.0, completions=1)
            for name in names
        )
        loads = tuple(
            messages.ShardLoad("shop/hold/all", shard, rate_per_s)
            for shard in shards
        )
        report = renewal.LoadReport(upstreams=views, shard_load=loads)
        self.world.members[by].set_load_reporter(lambda: report)

    async def do_lie(self, who, in_flight):
        """Makes an upstream report a false number of requests from now on."""
        self.false_in_flight[who] = in_flight
        for member in self.world.members.values():
            if member.name not in self.intercepted_members:
                self.intercepted_members.add(member.name)
                member.forward_heartbeat = self.intercept_heartbeats(
                    member.forward_heartbeat
                )

    def intercept_heartbeats(self, send):
        async def send_false_report(beat):
            in_flight = self.false_in_flight.get(beat.id, beat.in_flight)
            return await send(beat._replace(in_flight=in_flight))

        return send_false_report

    async def do_keeps(self, who, least):
        """Returns whether an upstream owns at least `least` shards."""
        return list(self.list_owners().values()).count(who) >= least

    # Checks over the whole replay.

    def check_owner(self):
        self.world.check_single_owner()

    def check_moved(self):
        assert len({run.fence for run in self.world.runs}) > 3

    def check_orders(self):
        assert self.order_runs, "no order ran"
        assert max(self.order_runs.values()) == 1

    def check_drained_upstreams(self):
        assert self.drain_starts_s, "no upstream left"
        for upstream, drain_start_s in self.drain_starts_s.items():
            served_at_s = [
                at_s for name, at_s in self.served_requests if name == upstream
            ]
            assert served_at_s, "the upstream was never used"
            assert max(served_at_s) <= drain_start_s + DRAIN_NOTICE_S

    def check_no_interruption(self):
        assert self.answers.count("done") > 10
        assert "timeout" not in self.answers
