"""Simulation of many entry instances and an upstream that limits its rate."""

import asyncio

import pytest

from .limited_fleet import Fleet


@pytest.mark.looptime
@pytest.mark.parametrize("is_sharded", [False, True])
@pytest.mark.parametrize(
    ("instance_count", "rate", "seed"),
    [
        (8, b"1", 1),
        (8, b"1.6", 2),
        (91, b"1", 3),
        (91, b".2", 4),
        (91, b"20", 5),
    ],
)
async def test_instances_together_keep_the_rate_limit_of_an_upstream(
    is_sharded, instance_count, rate, seed
):
    """Guards against a limit that each instance ignores or keeps for itself."""
    fleet = Fleet(seed, instance_count, is_sharded, [(5.0, [rate])])
    await fleet.run(40.0, 60.0)
    assert fleet.limited.find_excess(40.0) == []


@pytest.mark.looptime
@pytest.mark.parametrize("is_sharded", [False, True])
@pytest.mark.parametrize("seed", range(10, 13))
@pytest.mark.parametrize(
    ("instance_count", "rate"), [(8, b"1"), (91, b".5"), (91, b"6")]
)
async def test_faults_of_instances_and_leader_do_not_exceed_a_limit(
    is_sharded, seed, instance_count, rate
):
    """Guards against permits from before a fault that are used after it.

    An instance that a fault keeps from the leader may not know the limit.
    """
    fleet = Fleet(seed, instance_count, is_sharded, [(5.0, [rate])])
    await fleet.run(40.0, 40.0, Fleet.inject_faults)
    limited = fleet.limited
    assert limited.find_excess(40.0, limited.arrivals_if_told) == []


@pytest.mark.looptime
@pytest.mark.parametrize("instance_count", [8, 91])
async def test_a_changed_limit_is_in_force_at_all_instances(instance_count):
    """Guards against a limit that is kept after it was raised or has ended.

    While an instance may not send, it observes no change itself.
    """
    schedule = [
        (5.0, [b"2"]),
        (15.0, [b"8", b"9.5"]),
        (25.0, [b".5"]),
        (35.0, [b"soon"]),
        (45.0, []),
        (55.0, [b"0"]),
    ]
    fleet = Fleet(6, instance_count, True, schedule)
    await fleet.run(65.0, 60.0)
    assert fleet.limited.find_excess(65.0) == []
    assert fleet.limited.count_arrivals(18.0, 25.0) > 0.7 * 8 * 7
    assert fleet.limited.count_arrivals(38.0, 45.0) <= 0.5 * 7 + 1
    assert fleet.limited.count_arrivals(50.0, 55.0) > 0.7 * 60 * 5


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("instance_count", "rate"), [(8, 1.0), (91, 1.0), (91, 0.5), (91, 20.0)]
)
async def test_the_only_holder_of_a_key_is_used_up_to_its_limit(
    instance_count, rate
):
    """Guards against permits that are lost where no request waits for them.

    What does not fit is refused at once, as not run, with a time to return.
    """
    schedule = [(5.0, [b"%.1f" % rate])]
    fleet = Fleet(7, instance_count, True, schedule)
    await fleet.run(45.0, 60.0)
    assert fleet.limited.find_excess(45.0) == []
    assert fleet.limited.count_arrivals(8.0, 45.0) >= 0.7 * rate * 37
    refused = [
        (took_s, outcome)
        for sent_s, took_s, outcome in fleet.list_outcomes()
        if outcome.reason == "rate limit of upstream" and sent_s > 8.0
    ]
    assert refused
    for took_s, outcome in refused:
        if not outcome.upstream:
            assert took_s < 0.3
            assert not outcome.may_have_run
            assert outcome.retry_after_s > 0.0


@pytest.mark.looptime
@pytest.mark.parametrize("seed", [8, 11])
@pytest.mark.parametrize(
    ("instance_count", "rate", "callers", "limits_all"),
    [
        (8, b"2", 30, False),
        (91, b"2", 40, False),
        (91, b".5", 10, False),
        (91, b"20", 300, False),
        (91, b".5", 40, True),
    ],
)
async def test_callers_that_return_when_they_were_told_are_served(
    seed, instance_count, rate, callers, limits_all
):
    """Guards against the same permit told to callers of many instances.

    Nobody else takes the permits, so most who return should get one.
    """
    served_at_return = []

    async def call(fleet):
        instance = fleet.rng.choice(fleet.instances)
        await asyncio.sleep(fleet.rng.uniform(0.0, 1.0))
        outcome = await instance.send()
        if outcome.reason != "rate limit of upstream":
            return
        await asyncio.sleep(outcome.retry_after_s)
        outcome = await instance.send()
        served_at_return.append(outcome.reason != "rate limit of upstream")

    async def run_burst(fleet):
        await asyncio.sleep(6.0)
        fleet.instances[0].report_limits()
        await asyncio.sleep(4.0)
        await asyncio.gather(*(call(fleet) for _ in range(callers)))
        await asyncio.sleep(60.0)

    schedule = [(5.0, [rate])]
    fleet = Fleet(seed, instance_count, not limits_all, schedule, limits_all)
    await fleet.run(55.0, 0.5 if limits_all else 0.2, run_burst)
    assert len(served_at_return) >= 0.7 * callers
    assert sum(served_at_return) >= 0.8 * len(served_at_return)
    assert fleet.limited.find_excess(55.0) == []
