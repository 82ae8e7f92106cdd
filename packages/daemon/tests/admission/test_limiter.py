"""Tests of the limiter, the ramp, retries and the split into shares."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from bamboosill_common.generated import zone
from bamboosilld.admission import limiter as limiter_lib
from bamboosilld.admission import ramp
from bamboosilld.admission import refusal
from bamboosilld.admission import retry
from bamboosilld.admission import share_split


class FakeClock:
    """A clock that the test advances by hand."""

    now_s = 0.0

    def monotonic(self):
        return self.now_s


@hypothesis.given(
    rate=strategies.floats(0.5, 50),
    burst=strategies.floats(0, 20),
    concurrency=strategies.integers(0, 8),
    queue=strategies.integers(0, 8),
    seed=strategies.integers(0, 1000),
)
def test_limiter_keeps_its_limits(rate, burst, concurrency, queue, seed):
    """Guards against admitting more than rate, concurrency or queue allow."""
    rng = random.Random(seed)
    limits = limiter_lib.Limits(rate, burst, concurrency, queue)
    limiter = limiter_lib.Limiter(limits, 0.0)
    admitted: list[limiter_lib.Ticket] = []
    running = total = 0
    now_s = 0.0
    for _ in range(200):
        now_s += rng.expovariate(20.0)
        limiter.process_waiting(now_s)
        if running and rng.random() < 0.5:
            running -= 1
            limiter.release(now_s, 0.05)
        decision = limiter.request(now_s, now_s + 1.0, admitted.append)
        if (
            isinstance(decision, limiter_lib.Ticket)
            and decision.admitted_s is not None
        ):
            admitted.append(decision)
        with_admission = [
            item for item in admitted if item.admitted_s is not None
        ]
        running += len(with_admission) - total
        total = len(with_admission)
        assert total <= rate * now_s + burst + 1e-6
        assert running == limiter.in_flight <= concurrency
        assert limiter.count_waiting() <= queue
        assert all(item.admitted_s < item.deadline_s for item in with_admission)


@pytest.mark.parametrize(
    ("limits", "deadline_s", "reason"),
    [
        (limiter_lib.Limits(1, 1, 9, 5), 0.5, refusal.DEADLINE),
        (limiter_lib.Limits(1, 1, 9, 0), 9.0, refusal.RATE),
        (limiter_lib.Limits(99, 9, 1, 0), 9.0, refusal.CONCURRENCY),
        (limiter_lib.Limits(99, 9, 1, 1), 0.001, refusal.DEADLINE),
    ],
)
def test_refuses_at_once_what_cannot_be_met(limits, deadline_s, reason):
    """Guards against queueing a request that would miss its deadline."""
    limiter = limiter_lib.Limiter(limits, 0.0)
    assert isinstance(limiter.request(0.0, deadline_s), limiter_lib.Ticket)
    decision = limiter.request(0.0, deadline_s)
    assert isinstance(decision, refusal.Refusal)
    assert decision.reason == reason
    assert decision.retry_after_s > 0


_AMOUNTS = strategies.floats(0, 100)


@hypothesis.given(
    limits=strategies.tuples(_AMOUNTS, _AMOUNTS, _AMOUNTS),
    demands=strategies.lists(
        strategies.tuples(_AMOUNTS, _AMOUNTS), min_size=1, max_size=12
    ),
)
def test_shares_sum_to_the_contract_at_most(limits, demands):
    """Guards against admitting more than the contract in total."""
    names = [f"i{index}" for index in range(len(demands))]
    reported = {
        name: (zone.Demand("c", "s", rate, concurrency_demand),)
        for name, (rate, concurrency_demand) in zip(names, demands, strict=True)
    }
    split = share_split.split(
        {("c", "s"): share_split.Limits(*limits)}, reported, names
    )
    rows = [split[name][0] for name in names]
    assert sum(item.rate_per_s for item in rows) <= limits[0] + 1e-6
    assert sum(item.burst for item in rows) <= limits[1] + 1e-6
    assert sum(item.concurrency for item in rows) <= limits[2]
    floor = share_split.FLOOR_FRACTION * limits[0] / len(names)
    assert min(item.rate_per_s for item in rows) >= floor - 1e-6
    assert all(item.concurrency == int(item.concurrency) for item in rows)


def test_shares_follow_demand():
    """Guards against refusals at a busy instance by an even split."""
    reported = {"a": (zone.Demand("c", "s", 90.0, 9.0),)}
    split = share_split.split(
        {("c", "s"): share_split.Limits(100, 10, 8)}, reported, ["a", "b"]
    )
    assert split["a"][0].rate_per_s == pytest.approx(90.0)
    assert split["b"][0].rate_per_s == pytest.approx(10.0)
    reported["a"] = (zone.Demand("c", "s", 30.0, 9.0),)
    split = share_split.split(
        {("c", "s"): share_split.Limits(100, 10, 8)}, reported, ["a", "b"]
    )
    assert split["a"][0].rate_per_s == pytest.approx(65.0)
    assert split["a"][0].concurrency > split["b"][0].concurrency >= 1


def test_ramp_grows_in_a_minute_and_pauses():
    """Guards against a new customer that gets its full rate too soon."""
    customer_ramp = ramp.Ramp(0.0)
    assert customer_ramp.fraction == pytest.approx(0.1)
    for now_s in range(1, 31):
        customer_ramp.step(float(now_s), 0.0)
    assert customer_ramp.fraction == pytest.approx(0.55)
    for now_s in range(31, 61):
        customer_ramp.step(float(now_s), 1.0)
    assert customer_ramp.fraction == pytest.approx(0.55)
    for now_s in range(61, 92):
        customer_ramp.step(float(now_s), 0.0)
    assert customer_ramp.is_done()


def test_retry_budget_is_a_tenth_of_recent_requests():
    """Guards against retries that amplify an overload."""
    clock = FakeClock()
    budget = retry.RetryBudget(clock)
    allowed = 0
    for step in range(2000):
        clock.now_s = step / 1000
        budget.record_request("c")
        allowed += budget.try_retry("c")
    assert 150 <= allowed <= 201
    clock.now_s = 3600.0
    assert [budget.try_retry("c") for _ in range(3)] == [True, False, False]


def test_backoff_has_full_jitter_and_a_bound():
    """Guards against synchronized retries and unbounded delays."""
    rng = random.Random(1)
    for attempt in (0, 3, 50):
        max_delay_s = min(
            retry.MAX_DELAY_S, retry.BASE_DELAY_S * 2 ** min(attempt, 16)
        )
        values = [retry.compute_backoff_s(attempt, rng) for _ in range(500)]
        assert 0 <= min(values) < 0.1 * max_delay_s
        assert 0.9 * max_delay_s < max(values) <= max_delay_s
