"""Plays entry instances and a service with uneven upstreams in virtual time.

Choices, measurements and their combination at the leader are the product's; an
event queue stands in for connections, callers and the upstreams' work.
"""

import heapq
import itertools
import random
import statistics
from typing import NamedTuple

from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import follower as follower_lib
from bamboosilld.fleet import observations as observations_lib
from bamboosilld.fleet import state as state_lib
from bamboosilld.gateway import latency as latency_lib
from bamboosilld.gateway import load_balancing
from bamboosilld.gateway import view as view_lib

SERVICE = "s"
_POLL_S = 0.5
_LINK_S = 0.001
_CROSS_ZONE_LINK_S = 0.004


class Loop:
    """Virtual time, and what is due when."""

    def __init__(self):
        self.now_s = 1000.0
        self._events = []
        self._numbers = itertools.count()

    def monotonic(self):
        return self.now_s

    def wall_ms(self):
        return int(self.now_s * 1000)

    def call_later(self, delay_s, callback, *arguments):
        heapq.heappush(
            self._events,
            (self.now_s + delay_s, next(self._numbers), callback, arguments),
        )

    def run_until(self, end_s):
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, callback, arguments = heapq.heappop(self._events)
            callback(*arguments)
        self.now_s = end_s


class Traits(NamedTuple):
    """How an upstream behaves.

    Attributes:
        speed: Work per second of one request; 1 is the mean.
        knee: Fraction of the slots from which on requests slow each other
            down, so that more of them add no throughput.
        zone: Availability zone.
        has_moments: Whether it is slow for moments, as other load on its
            machine comes and goes.
    """

    speed: float = 1.0
    knee: float = 1.0
    zone: str = "z1"
    has_moments: bool = False


class Sample(NamedTuple):
    """The end of one request; the zone of the upstream is empty if refused."""

    sent_s: float
    took_s: float
    zone: str
    upstream_zone: str


class Shares(NamedTuple):
    """Parts of the requests of callers."""

    in_time: float
    cross_zone: float
    refused: float


class Upstream:
    """An upstream that shares its speed among the requests in its slots."""

    def __init__(self, loop, name, traits, slots, rng):
        self.name = name
        self.traits = traits
        self.slots = slots
        self.slowness = 1.0
        self._loop = loop
        self._rng = rng
        self._running = []
        self._waiting = []
        self._updated_s = loop.now_s
        self._version = 0
        if traits.has_moments:
            self._loop.call_later(rng.uniform(0.05, 0.3), self._end_moment)

    def get_capacity(self):
        """Returns the requests beyond which more add no throughput."""
        return max(1.0, self.traits.knee * self.slots)

    def submit(self, work_s, callback):
        if len(self._running) < self.slots:
            self._advance()
            self._running.append([work_s, callback])
            self._schedule()
        else:
            self._waiting.append([work_s, callback])

    def _get_rate(self):
        share = min(1.0, self.get_capacity() / max(1, len(self._running)))
        return self.traits.speed / self.slowness * share

    def _end_moment(self):
        self._advance()
        self.slowness = self._rng.choice((1.0, 1.0, 1.0, 2.5))
        self._schedule()
        self._loop.call_later(self._rng.uniform(0.05, 0.3), self._end_moment)

    def _advance(self):
        done_s = (self._loop.now_s - self._updated_s) * self._get_rate()
        self._updated_s = self._loop.now_s
        for each in self._running:
            each[0] -= done_s

    def _schedule(self):
        self._version += 1
        if self._running:
            left_s = max(0.0, min(each[0] for each in self._running))
            self._loop.call_later(
                left_s / self._get_rate() + 1e-6, self._complete, self._version
            )

    def _complete(self, version):
        if version != self._version:
            return
        self._advance()
        done = [each for each in self._running if each[0] <= 1e-6]
        # A response counts its own request as running.
        load = [len(self._running), len(self._waiting), self.slots]
        load.append(round(self.slowness * 100))
        self._running = [each for each in self._running if each[0] > 1e-6]
        while self._waiting and len(self._running) < self.slots:
            self._running.append(self._waiting.pop(0))
        self._schedule()
        for _, callback in done:
            callback(load)


class Leader:
    """What a leader derives from the measurements of entry instances."""

    def __init__(self, fleet):
        self.state = fleet.state
        self.observations = observations_lib.Observations(fleet.loop)
        self._sends_slot_shares = fleet.sends_slot_shares

    def answer(self, request):
        self.observations.add(request)
        names = sorted(self.state.upstreams)
        shares = self.observations.effective_slots.encode(
            (each, self.state.upstreams[each].slots) for each in names
        )
        return messages.FollowReply(
            revision=self.state.revision,
            loads=self.observations.encode_loads((e, False) for e in names),
            paces=self.observations.relative_latencies.encode(names),
            slot_shares=shares if self._sends_slot_shares else b"",
        )


class Instance:
    """An entry instance and its callers."""

    def __init__(self, fleet, number, zone):
        self._fleet = fleet
        self._loop = fleet.loop
        self._zone = zone
        self._rng = random.Random(f"{fleet.seed}/{number}")
        self.view = view_lib.View(fleet.state, fleet.loop, b"x-id")
        self._latency = latency_lib.Latency()
        self._loop.call_later(self._rng.uniform(0.0, _POLL_S), self._poll)
        self._arrive()

    def _poll(self):
        self._loop.call_later(_POLL_S, self._poll)
        leader = self._fleet.leader
        if leader is None:
            return
        request = messages.Follow(
            paces=tuple(self.view.list_new_relative_latencies()),
            loads=tuple(
                messages.UpstreamLoad(*each)
                for each in self.view.list_new_loads()
            ),
        )
        reply = leader.answer(wire.unpack(wire.pack(request)))
        self.view.update_stats(
            follower_lib.decode_stats(sorted(leader.state.upstreams), reply)
        )

    def _arrive(self):
        if self._fleet.rate_per_s:
            self._send()
        rate_per_s = (
            self._fleet.rate_per_s / self._fleet.instance_count or 100.0
        )
        self._loop.call_later(self._rng.expovariate(rate_per_s), self._arrive)

    def _send(self):
        fleet, now_s = self._fleet, self._loop.now_s
        chosen = load_balancing.choose(
            self.view.list_upstreams(SERVICE),
            self._zone,
            self._rng,
            fleet.instance_count,
        )
        if chosen is not None and chosen.estimate_load() >= chosen.slots:
            latency_s = chosen.estimate_latency(self._latency.mean_s)
            if latency_s > fleet.target_s:
                chosen = None
        if chosen is None:
            fleet.samples.append(Sample(now_s, 0.0, self._zone, ""))
            return
        server = fleet.by_name[chosen.item.upstream]
        is_near = server.traits.zone == self._zone
        link_s = _LINK_S if is_near else _CROSS_ZONE_LINK_S
        wait_factor = chosen.estimate_wait_factor()
        chosen.in_flight += 1

        def submit():
            server.submit(fleet.draw_work_s(), respond)

        def respond(load):
            header = b",".join(b"%d" % each for each in load[: fleet.values])
            self._loop.call_later(link_s, receive, header)

        def receive(header):
            chosen.in_flight -= 1
            took_s = self._loop.now_s - now_s
            report = chosen.update_load(header)
            self._latency.add_sample(took_s, wait_factor > 1.0)
            chosen.record_success()
            chosen.record_latency(
                took_s, self._latency.mean_s, report, wait_factor
            )
            fleet.samples.append(
                Sample(now_s, took_s, self._zone, server.traits.zone)
            )

        self._loop.call_later(link_s, submit)


class Fleet:
    """Entry instances, a leader and the upstreams of one service."""

    def __init__(
        self,
        traits,
        *,
        seed=1,
        instances=30,
        slots=6,
        values=4,
        zones=("z1", "z2", "z3"),
        work_s=0.15,
        noise=0.3,
        target_s=0.4,
        sends_slot_shares=True,
    ):
        self.seed, self.values = seed, values
        self.sends_slot_shares = sends_slot_shares
        self.loop = Loop()
        self.rng = random.Random(seed)
        self.target_s = target_s
        self.instance_count = instances
        self._work_s, self._noise = work_s, noise
        self.upstreams = [
            Upstream(self.loop, f"u{number:03}", each, slots, self.rng)
            for number, each in enumerate(traits)
        ]
        self.by_name = {each.name: each for each in self.upstreams}
        self.state = state_lib.FleetState()
        items = tuple(
            messages.UpstreamItem(
                upstream=each.name,
                born_ms=1,
                address="127.0.0.1:1",
                service=SERVICE,
                zone=each.traits.zone,
                slots=slots,
            )
            for each in self.upstreams
        )
        self.rate_per_s = 0.0
        self.samples = []
        self.leader = Leader(self)
        self.instances = [
            Instance(self, number, zones[number % len(zones)])
            for number in range(instances)
        ]
        self.state.apply(1, wire.pack(messages.SetUpstreams(upstreams=items)))

    def draw_work_s(self):
        """Returns the work of one request, in seconds at speed 1."""
        mean = -self._noise * self._noise / 2
        return self._work_s * self.rng.lognormvariate(mean, self._noise)

    def run(self, seconds, load):
        """Plays callers that use a part of the capacity of all upstreams."""
        capacity = sum(
            each.traits.speed * each.get_capacity() for each in self.upstreams
        )
        self.rate_per_s = load * capacity / self._work_s
        self.loop.run_until(self.loop.now_s + seconds)

    def get_shares(self, knee):
        """Returns the effective fractions of upstreams with a knee."""
        found = [
            self.leader.observations.effective_slots.get_share(
                each.name, each.slots
            )
            for each in self.upstreams
            if each.traits.knee == knee
        ]
        return [1.0 if each is None else each for each in found]

    def measure(self, last_s, zone=None):
        """Returns what callers got in the last seconds."""
        samples = [
            each
            for each in self.samples
            if each.sent_s >= self.loop.now_s - last_s
            and zone in (None, each.zone)
        ]
        in_time = [
            each.upstream_zone != "" and each.took_s <= self.target_s
            for each in samples
        ]
        cross_zone = [
            each.upstream_zone not in ("", each.zone) for each in samples
        ]
        refused = [each.upstream_zone == "" for each in samples]
        return Shares(*map(statistics.fmean, (in_time, cross_zone, refused)))


def list_traits(count, zones=("z1", "z2", "z3"), knees=(1.0,), moments=False):
    """Returns upstreams of speeds 0.5, 1 and 1.5, spread over the zones."""
    return [
        Traits(
            (0.5, 1.0, 1.5)[number // len(zones) % 3],
            knees[number // 3 // len(zones) % len(knees)],
            zones[number % len(zones)],
            moments and number % 2 == 0,
        )
        for number in range(count)
    ]
