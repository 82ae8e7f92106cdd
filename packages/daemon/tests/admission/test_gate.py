"""Tests of the gate with a virtual clock."""

import asyncio
import random
from typing import NamedTuple

import pytest
from returns import pipeline

from bamboosill_common import clock as clock_module
from bamboosill_common.generated import zone
from bamboosilld.admission import gate
from bamboosilld.admission import refusal


class Limits(NamedTuple):
    rate_per_s: float
    burst: float
    concurrency: int
    queue: int


class Service(NamedTuple):
    limits: Limits


class Contract(NamedTuple):
    services: dict


def _make_gate(limits, instances=1, new=False):
    tested_gate = gate.Gate(
        clock_module.LoopClock(), random.Random(1), lambda: instances
    )
    tested_gate.update_contract("c", Contract({"s": Service(limits)}), new)
    return tested_gate


def _now():
    return asyncio.get_running_loop().time()


@pytest.mark.looptime
async def test_waits_for_a_token_and_counts_permits():
    """Guards against leaked permits and waits that never end."""
    tested_gate = _make_gate(Limits(10, 1, 2, 5))
    for _ in range(5):
        decision = await tested_gate.admit("c", "s", "wait", _now() + 2)
        permit = decision.unwrap()
        permit.release()
        permit.release()
    assert _now() == pytest.approx(0.4, abs=0.01)


@pytest.mark.looptime
async def test_cancelled_waiters_hold_no_concurrency():
    """Guards against concurrency leaked by callers that disconnected."""
    tested_gate = _make_gate(Limits(1000, 100, 1, 5))
    first_permit = (
        await tested_gate.admit("c", "s", "wait", _now() + 9)
    ).unwrap()
    waiter = asyncio.create_task(
        tested_gate.admit("c", "s", "wait", _now() + 9)
    )
    await asyncio.sleep(0.1)
    waiter.cancel()
    await asyncio.sleep(0.1)
    first_permit.release()
    decision = await tested_gate.admit("c", "s", "wait", _now() + 9)
    assert pipeline.is_successful(decision)


@pytest.mark.looptime
async def test_share_is_used_until_it_expires():
    """Guards against using a share that the leader has reassigned."""
    tested_gate = _make_gate(Limits(80, 8, 80, 0), instances=8)
    tested_gate.update_shares([zone.Share("c", "s", 20.0, 2.0, 3.0)])
    deadline_s = _now() + 100

    async def count_admitted():
        permits = []
        for _ in range(20):
            decision = await tested_gate.admit("c", "s", "lag", deadline_s)
            if not pipeline.is_successful(decision):
                break
            permits.append(decision.unwrap())
        for permit in permits:
            permit.release()
        return len(permits)

    await asyncio.sleep(1.0)
    assert await count_admitted() == 2
    await asyncio.sleep(gate.SHARE_MAX_AGE_S)
    assert await count_admitted() == 1


@pytest.mark.looptime
async def test_unknown_and_retired_customers_are_refused():
    """Guards against serving a customer whose contract has ended."""
    tested_gate = _make_gate(Limits(10, 5, 5, 5))
    for customer, service, reason in (
        ("x", "s", refusal.UNKNOWN_CUSTOMER),
        ("c", "x", refusal.UNKNOWN_SERVICE),
    ):
        decision = await tested_gate.admit(customer, service, "lag", _now() + 1)
        assert decision.failure().reason == reason
    tested_gate.update_contract("c", None)
    decision = await tested_gate.admit("c", "s", "lag", _now() + 1)
    assert decision.failure().reason == refusal.UNKNOWN_CUSTOMER


@pytest.mark.looptime
async def test_new_customer_starts_at_a_tenth():
    """Guards against full rate in a new customer's first seconds."""
    tested_gate = _make_gate(Limits(100, 10, 1000, 0), new=True)
    admitted = 0
    for _ in range(1000):
        decision = await tested_gate.admit("c", "s", "lag", _now() + 1)
        admitted += pipeline.is_successful(decision)
        await asyncio.sleep(0.001)
    assert admitted <= 13


@pytest.mark.looptime
async def test_demand_is_reported():
    """Guards against shares that ignore refused requests."""
    tested_gate = _make_gate(Limits(10, 1, 5, 0))
    for _ in range(40):
        await tested_gate.admit("c", "s", "lag", _now() + 1)
        await asyncio.sleep(0.05)
        report = tested_gate.collect_demand()
    assert report[0].rate_per_s > 10
    assert report[0].refused_per_s > 4
