"""Tests of the queues per upstream."""

import asyncio
import collections
import random

import pytest
from returns import pipeline

from bamboosill_common import clock as clock_module
from bamboosill_common.generated import zone
from bamboosilld.admission import fairness
from bamboosilld.admission import queues
from bamboosilld.admission import refusal


class FakeClock:
    """A clock that the test advances by hand."""

    now_s = 0.0

    def monotonic(self):
        return self.now_s


def _make_queue(slots=4, state="warm", instances=1, clock=None):
    clock = clock or FakeClock()
    upstream_queues = queues.Queues(clock, random.Random(1), lambda: instances)
    upstream = zone.Upstream(
        id="u", incarnation=1, slots=slots, connections=100, state=state
    )
    return clock, upstream_queues, upstream_queues.get(upstream)


def test_limit_halves_on_shed_and_grows_by_one_per_round():
    """Guards against a limit that stays too high or too low."""
    clock, _, queue = _make_queue(slots=8)
    assert queue.limit == 8
    for _ in range(8):
        queue.request("c", 1, "wait", 9.0)
    clock.now_s = 1.0
    queue.release(queues.SHED, 0.01)
    queue.release(queues.SHED, 0.01)
    assert queue.limit == 4
    for _ in range(6):
        queue.release(queues.OK, 0.01)
    for _ in range(4):
        queue.request("c", 1, "wait", 9.0)
    for _ in range(4):
        queue.release(queues.OK, 0.01)
        queue.request("c", 1, "wait", 9.0)
    assert queue.limit == 5


def test_breaker_opens_and_probes_again():
    """Guards against sending everything to an upstream that only fails."""
    clock, _, queue = _make_queue()
    for _ in range(5):
        queue.request("c", 1, "wait", 9.0)
        queue.release(queues.FAILURE, 0.01)
    decision = queue.request("c", 1, "wait", 9.0)
    assert decision.reason == refusal.BREAKER
    clock.now_s = 1.0
    assert queue.request("c", 1, "wait", 9.0).dispatched
    assert not queue.request("c", 1, "wait", 9.0).dispatched
    queue.release(queues.OK, 0.01)
    assert queue.in_flight == 1


def _drain(queue, count):
    """Releases requests one by one and returns those dispatched next."""
    order = []
    for _ in range(count):
        before = {id(item): item for item in queue._waiting}
        queue.release(queues.OK, 0.001)
        after = {id(item) for item in queue._waiting}
        order += [item for name, item in before.items() if name not in after]
    return order


def test_customers_share_by_weight():
    """Guards against a customer whose queued requests block the others."""
    _, _, queue = _make_queue(slots=1)
    queue.request("x", 1, "wait", 99.0)
    for _ in range(10):
        queue.request("big", 1, "wait", 99.0)
    for _ in range(5):
        queue.request("small", 2, "wait", 99.0)
    first = collections.Counter(item.customer for item in _drain(queue, 6))
    assert first == {"small": 4, "big": 2}


def test_higher_class_first_but_none_starves():
    """Guards against starvation of the lower classes."""
    queue = fairness.FairQueue()
    for traffic_class in fairness.CLASSES:
        for _ in range(100):
            queue.push(fairness.Waiter("c", traffic_class, 0.0, 9.0), 1.0)
    order = [queue.pop().class_ for _ in range(100)]
    assert order[:5] == ["counter"] * 5
    counts = collections.Counter(order)
    assert counts["wait"] >= 8
    assert counts["lag"] >= 3
    assert counts["counter"] >= 80


def test_full_queue_drops_from_the_longest_fifo():
    """Guards against refusing small customers in favour of a large one."""
    _, _, queue = _make_queue(slots=1)
    queue.request("x", 1, "wait", 99.0)
    waiting = [queue.request("big", 1, "wait", 99.0) for _ in range(20)]
    kept = queue.request("small", 1, "wait", 99.0)
    assert kept.refused is None
    dropped = [
        item
        for item in waiting
        if isinstance(item, refusal.Refusal) or item.refused
    ]
    assert len(dropped) == 5


def test_refuses_what_cannot_meet_its_deadline():
    """Guards against queueing a request that would miss its deadline."""
    _, _, queue = _make_queue(slots=1)
    for _ in range(10):
        queue.request("c", 1, "wait", 9.0)
    decision = queue.request("c", 1, "wait", 0.05)
    assert decision.reason == refusal.DEADLINE


def test_limit_of_a_cold_upstream_grows():
    """Guards against full load on an upstream with empty caches."""
    clock, _, queue = _make_queue(slots=8, state="cold")
    assert queue.limit == 1
    clock.now_s = 10.0
    assert queue.limit == 4
    clock.now_s = 60.0
    assert queue.limit == 8


@pytest.mark.looptime
async def test_acquire_waits_and_expires():
    """Guards against leaked slots and waits past the deadline."""
    _, upstream_queues, queue = _make_queue(
        slots=1, clock=clock_module.LoopClock()
    )
    first = (await queue.acquire("c", 1, "wait", 9.0)).unwrap()
    late = asyncio.create_task(queue.acquire("c", 1, "wait", 0.5))
    second = asyncio.create_task(queue.acquire("c", 1, "wait", 9.0))
    await asyncio.sleep(1.0)
    assert late.done()
    assert late.result().failure().reason == refusal.DEADLINE
    first.release(queues.OK, 1.0)
    decision = await second
    assert pipeline.is_successful(decision)
    third = asyncio.create_task(queue.acquire("c", 1, "wait", 9.0))
    await asyncio.sleep(0.1)
    upstream_queues.drop("u")
    assert (await third).failure().reason == refusal.CLOSED
