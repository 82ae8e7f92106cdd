"""Choice between upstreams of uneven speed whose loads all instances see."""

import random
import statistics

import pytest

from bamboosill_common.generated import fleet as messages
from bamboosilld.gateway import load_balancing

from . import uneven_fleet


class _Clock:
    def __init__(self):
        self.now_s = 100.0

    def monotonic(self):
        return self.now_s


def _make_upstream(name, clock, zone="z1"):
    item = messages.UpstreamItem(
        upstream=name, address="127.0.0.1:1", zone=zone, slots=4
    )
    return load_balancing.Upstream(item, clock, b"x-id")


@pytest.mark.parametrize(
    ("value", "load", "slowness"),
    [
        (b"3,1,4,250", 4, 2.5),
        (b"3, 1, 4, 100", 4, 1.0),
        (b"3,1,4", 4, 1.0),
        (b"3,1,4,999999", 4, 20.0),
        (b"3,1,4,0", 0, 1.0),
        (b"3,1,4,x", 0, 1.0),
        (b"3,1,4,100,1", 0, 1.0),
        (b"3,,4,100", 0, 1.0),
    ],
)
def test_a_load_header_has_three_or_four_values(value, load, slowness):
    """Guards against loads of upstreams that state their slowness being lost.

    A header that cannot be parsed is ignored as a whole.
    """
    upstream = _make_upstream("u", _Clock())
    upstream.update_load(value)
    assert upstream.estimate_load() == load
    assert upstream.get_slowness() == slowness


def test_a_momentary_slowness_affects_the_choice_only_while_fresh():
    """Guards against a slow moment that is taken for a lasting speed."""
    clock = _Clock()
    slow, usual = _make_upstream("a", clock), _make_upstream("b", clock)
    for _ in range(20):
        report = slow.update_load(b"0,0,4,300")
        slow.record_latency(0.3, 0.1, report)
        usual.record_latency(0.1, 0.1, usual.update_load(b"1,0,4,100"))
    assert slow.relative_latency == pytest.approx(1.0)

    def choose():
        return load_balancing.choose([slow, usual], "z1", random.Random(1), 8)

    assert choose() is usual
    clock.now_s += 0.41
    assert choose() is slow


@pytest.mark.parametrize(
    ("slots", "load", "in_time", "cross_zone"),
    [(6, 0.5, 0.96, 0.05), (6, 0.85, 0.87, 0.1), (2, 0.5, 0.91, 0.1)],
)
def test_visible_loads_do_not_worsen_the_choice(
    slots, load, in_time, cross_zone
):
    """Guards against choices by differences of load that are already past.

    With the cost of upstreams with three values, callers got 0.957, 0.787 and
    0.893 in time, and 16%, 30% and 23% of requests went to another zone.
    """
    traits = uneven_fleet.list_traits(36, moments=True)
    fleet = uneven_fleet.Fleet(traits, slots=slots, values=4)
    fleet.run(20.0, load)
    shares = fleet.measure(12.0)
    assert shares.in_time > in_time
    assert shares.cross_zone < cross_zone


def _play_knees(sends_slot_shares):
    traits = uneven_fleet.list_traits(36, knees=(1.0, 0.33), moments=True)
    fleet = uneven_fleet.Fleet(traits, sends_slot_shares=sends_slot_shares)
    fleet.run(24.0, 0.8)
    return fleet


def test_callers_get_more_when_effective_slots_are_used():
    """Guards against slots that slow an upstream down, and against lost ones.

    Upstreams that do not slow down must keep their slots, also those that have
    slowed down before.
    """
    without, fleet = _play_knees(False), _play_knees(True)
    assert statistics.fmean(fleet.get_shares(1.0)) > 0.97
    assert statistics.fmean(fleet.get_shares(0.33)) < 0.85
    for zone in ("z1", "z2", "z3"):
        found = fleet.measure(14.0, zone)
        assert found.in_time > without.measure(14.0, zone).in_time + 0.01
        assert found.cross_zone < 0.1
    for each in fleet.upstreams:
        knee = 1.0 if each.traits.knee < 1.0 else 0.33
        each.traits = each.traits._replace(knee=knee)
    fleet.run(40.0, 0.8)
    assert statistics.fmean(fleet.get_shares(1.0)) > 0.97
    assert statistics.fmean(fleet.get_shares(0.33)) < 0.97


def test_a_new_leader_starts_with_the_stated_slots():
    """Guards against effective slots that outlive their measurements.

    The new leader gets what instances have measured since the last reply.
    """
    fleet = _play_knees(True)

    def list_effective():
        return [
            upstream.get_effective_slots()
            for instance in fleet.instances
            for upstream in instance.view.list_all_upstreams()
        ]

    assert min(list_effective()) < 4.0
    fleet.leader = None
    fleet.run(3.0, 0.3)
    assert min(list_effective()) == 6.0
    fleet.leader = uneven_fleet.Leader(fleet)
    assert min(fleet.get_shares(0.33)) == 1.0
    fleet.run(10.0, 0.8)
    assert min(list_effective()) < 4.0
