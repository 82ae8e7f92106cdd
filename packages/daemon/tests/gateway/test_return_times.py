"""Tests of the times at which refused callers are told to return."""

import heapq
import itertools
import random

import pytest

from bamboosilld.gateway import return_times

_POOL = ("s", "")
_SLOTS = 24
_SERVICE_S = 0.2
_TARGET_S = 1.0


class _Clock:
    def __init__(self):
        self.now_s = 100.0

    def monotonic(self):
        return self.now_s


def _make_times(seed=1):
    clock = _Clock()
    return clock, return_times.ReturnTimes(clock, random.Random(seed))


def _make_caller(priority=0, left_s=9.0):
    return return_times.Caller(priority, left_s, _TARGET_S)


def _make_room(excess=20.0, share=0.1):
    return return_times.Room(excess, _SLOTS / _SERVICE_S, share)


@pytest.mark.parametrize("excess", [0.0, 60.0, 240.0])
def test_callers_return_once_the_excess_is_worked_off(excess):
    """Guards against callers told to return before there is a slot.

    The time told was a fraction of the target latency, whatever the load.
    """
    _, times = _make_times()
    told_s = times.tell(_POOL, _make_caller(), _make_room(excess))
    drained_s = excess / (_SLOTS / _SERVICE_S)
    assert max(drained_s, 0.099) <= told_s <= drained_s + 0.4


def test_callers_are_spread_by_the_share_of_the_rate():
    """Guards against refused callers that return at the same moment."""
    _, times = _make_times()
    told_s = [
        times.tell(_POOL, _make_caller(left_s=60.0), _make_room())
        for _ in range(20)
    ]
    steps_s = [after - before for before, after in itertools.pairwise(told_s)]
    assert min(steps_s) > 1 / (_SLOTS / _SERVICE_S * 0.1)


def test_more_urgent_callers_return_first():
    """Guards against urgent callers that queue behind less urgent ones."""
    _, times = _make_times()
    told_s = {
        priority: [
            times.tell(_POOL, _make_caller(priority, 30.0), _make_room())
            for _ in range(5)
        ]
        for priority in (2, 0, 1)
    }
    assert max(told_s[0]) < max(told_s[1])
    assert min(told_s[0]) <= min(told_s[2])
    assert min(told_s[1]) > max(told_s[0])
    late_s = times.tell(_POOL, _make_caller(2, 90.0), _make_room())
    assert late_s > max(told_s[1])


def test_a_lasting_overload_neither_defers_nor_repeats_without_end():
    """Guards against times that callers with a deadline can never use."""
    clock, times = _make_times()
    told_s = []
    for _ in range(2000):
        clock.now_s += 0.01
        seconds = times.tell(_POOL, _make_caller(), _make_room())
        told_s.append(round(clock.now_s + seconds, 6))
        assert seconds <= 9.0
    assert len(set(told_s)) == len(told_s)


def test_without_load_information_no_time_is_told():
    """Guards against times that are derived from no observation."""
    _, times = _make_times()
    assert return_times.measure_room([], 0.2, 3) is None
    assert times.tell(_POOL, _make_caller(), None) == 0.0


def _play(seed, tell, instances=20):
    """Plays an overload of 1.5 for 4 s; returns how callers that return fare.

    Args:
        seed: Seed of the arrivals.
        tell: Called with the times of an instance, a caller and the room.
        instances: Number of instances, each of which is as likely to be asked.
    """
    rng = random.Random(seed)
    clock = _Clock()
    clock.now_s = 0.0
    times = [
        return_times.ReturnTimes(clock, random.Random(rng.random()))
        for _ in range(instances)
    ]
    rate_per_s = _SLOTS / _SERVICE_S
    events, now_s, number = [], 0.0, 0
    while now_s < 12.0:
        now_s += rng.expovariate(rate_per_s * (1.5 if now_s < 4.0 else 0.7))
        number += 1
        events.append((now_s, number, now_s + 9.0, 0))
    heapq.heapify(events)
    free_s = [0.0] * _SLOTS
    in_system = []
    returned = returned_served = served = 0
    while events:
        clock.now_s, number, deadline_s, attempts = heapq.heappop(events)
        returned += attempts == 1
        start_s = max(clock.now_s, free_s[0])
        if start_s + _SERVICE_S - clock.now_s <= _TARGET_S:
            heapq.heapreplace(free_s, start_s + _SERVICE_S)
            heapq.heappush(in_system, start_s + _SERVICE_S)
            returned_served += attempts == 1
            served += 1
            continue
        while in_system and in_system[0] <= clock.now_s:
            heapq.heappop(in_system)
        left_s = deadline_s - clock.now_s
        room = _make_room(max(0.0, len(in_system) - _SLOTS), 1 / instances)
        seconds = tell(rng.choice(times), _make_caller(0, left_s), room)
        if seconds <= left_s / 3 and not attempts:
            heapq.heappush(
                events, (clock.now_s + seconds, number, deadline_s, 1)
            )
    return returned_served / max(1, returned), returned, served


@pytest.mark.parametrize("seed", range(1, 6))
def test_most_callers_that_return_as_told_are_served(seed):
    """Guards against callers that are refused again when they return."""
    fraction, returned, _ = _play(
        seed, lambda times, caller, room: times.tell(_POOL, caller, room)
    )
    assert returned > 50
    assert fraction > 0.75
