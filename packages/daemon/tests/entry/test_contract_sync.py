"""Tests of the entry role with actual contracts and admission control."""

import asyncio
import random

import pytest

from bamboosill_common import contract as contract_lib
from bamboosill_common.generated import zone as zone_messages
from bamboosilld.admission import gate as gate_lib
from bamboosilld.admission import queues as queues_lib
from bamboosilld.admission import retry as retry_lib

CONTRACT = """
customer: acme
services:
  - name: shopfront
    class: counter
    limits: {rate_per_s: 50, burst: 3, concurrency: 4, queue: 0}
    deadline_ms: {default: 1000, longest: 3000}
    operations:
      - {method: POST, path: /notes, repeatable: true}
"""


@pytest.fixture
async def admission_harness(harness):
    """A harness without fakes for contract, gate, queues and budget."""
    harness.member.by_customer = {"acme": contract_lib.parse(CONTRACT).unwrap()}
    rng = random.Random(1)
    harness.gate = gate_lib.Gate(harness.clock, rng, lambda: 1)
    await harness.start(
        gate=harness.gate,
        queues=queues_lib.Queues(harness.clock, rng, lambda: 1),
        budget=retry_lib.RetryBudget(harness.clock),
        instance_count=lambda: 1,
    )
    await harness.start_upstream(slots=6)
    return harness


async def test_limits_of_the_contract_are_in_force(admission_harness):
    """Guards against a gate that does not receive the contracts."""
    # The token bucket starts empty and fills to a burst of 3.
    await asyncio.sleep(0.1)
    responses = await asyncio.gather(
        *(admission_harness.send() for _ in range(30))
    )
    statuses = [response[0] for response in responses]
    assert 200 in statuses
    assert 429 in statuses
    rejected = next(each for each in responses if each[0] == 429)
    assert rejected[1]["Bamboosill-Outcome"] == "not-run"
    assert int(rejected[1]["Retry-After"]) >= 1
    report = admission_harness.member.reporter()
    assert report.demand[0].customer == "acme"


async def test_shares_and_retired_contracts_reach_the_gate(admission_harness):
    """Guards against outdated limits after the authority changed them."""
    share = zone_messages.Share("acme", "shopfront", 1000.0, 1000.0, 50.0)
    admission_harness.member.share_listener((share,))
    responses = [await admission_harness.send() for _ in range(10)]
    assert {response[0] for response in responses} == {200}
    admission_harness.member.contract_listener("acme", None)
    assert (await admission_harness.send())[0] == 404


@pytest.mark.parametrize(
    ("path", "status"), [("/shopfront/notes", 201), ("/shopfront/x", 400)]
)
async def test_operations_follow_the_contract(admission_harness, path, status):
    """Guards against wrongly treating an operation as repeatable."""
    await asyncio.sleep(0.1)
    assert (await admission_harness.send("POST", path, data=b"one"))[
        0
    ] == status


async def test_slots_are_given_back(admission_harness):
    """Guards against slots leaked by faults, refusals and cancellations."""
    share = zone_messages.Share("acme", "shopfront", 1000.0, 1000.0, 50.0)
    admission_harness.member.share_listener((share,))
    for fault in ("close-after", "shed", "late:400", "crossed", "mute"):
        await admission_harness.send(
            headers={"X-Test-Fault": fault, "Bamboosill-Deadline-Ms": "150"}
        )
    task = asyncio.create_task(
        admission_harness.send(headers={"X-Test-Service-Ms": "900"})
    )
    await admission_harness.wait_until(
        lambda: admission_harness.entry.in_flight
    )
    task.cancel()
    await admission_harness.wait_until(
        lambda: not admission_harness.entry.in_flight
    )
    queue = admission_harness.entry._queues.get(
        admission_harness.member.upstream
    )
    assert queue.in_flight == 0
