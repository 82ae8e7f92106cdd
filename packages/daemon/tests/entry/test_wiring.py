"""Tests of the entry role with the real contracts and admission."""

import asyncio
import random

import pytest

from bamboosill_common import contract as contract_lib
from bamboosill_common.generated import zone as zone_messages
from bamboosilld.admission import gate as gate_lib
from bamboosilld.admission import queues as queues_lib
from bamboosilld.admission import retry as retry_lib

TEXT = """
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
async def real(bench):
    """A bench whose contract, gate, queues and budget are the real ones."""
    bench.member.by_customer = {"acme": contract_lib.parse(TEXT).unwrap()}
    rng = random.Random(1)
    bench.gate = gate_lib.Gate(bench.clock, rng, lambda: 1)
    await bench.start(
        gate=bench.gate,
        queues=queues_lib.Queues(bench.clock, rng, lambda: 1),
        budget=retry_lib.Budget(bench.clock),
        instance_count=lambda: 1,
    )
    await bench.start_upstream(slots=6)
    return bench


async def test_limits_of_the_contract_are_in_force(real):
    """Guards against a gate that never hears of the contracts."""
    # The gate holds no tokens at first; then it holds a burst of 3.
    await asyncio.sleep(0.1)
    answers = await asyncio.gather(*(real.send() for _ in range(30)))
    statuses = [answer[0] for answer in answers]
    assert 200 in statuses
    assert 429 in statuses
    refused = next(each for each in answers if each[0] == 429)
    assert refused[1]["Bamboosill-Outcome"] == "not-run"
    assert int(refused[1]["Retry-After"]) >= 1
    report = real.member.reporter()
    assert report.demand[0].customer == "acme"


async def test_shares_and_retired_contracts_reach_the_gate(real):
    """Guards against limits that stay after the authority changed them."""
    share = zone_messages.Share("acme", "shopfront", 1000.0, 1000.0, 50.0)
    real.member.share_listener((share,))
    answers = [await real.send() for _ in range(10)]
    assert {answer[0] for answer in answers} == {200}
    real.member.contract_listener("acme", None)
    assert (await real.send())[0] == 404


@pytest.mark.parametrize(
    ("path", "status"), [("/shopfront/notes", 201), ("/shopfront/x", 400)]
)
async def test_operations_follow_the_contract(real, path, status):
    """Guards against an operation treated as repeatable that is not."""
    await asyncio.sleep(0.1)
    assert (await real.send("POST", path, data=b"one"))[0] == status


async def test_slots_are_given_back(real):
    """Guards against slots lost by faults, refusals and cancellations."""
    share = zone_messages.Share("acme", "shopfront", 1000.0, 1000.0, 50.0)
    real.member.share_listener((share,))
    for fault in ("close-after", "shed", "late:400", "crossed", "mute"):
        await real.send(
            headers={"X-Test-Fault": fault, "Bamboosill-Deadline-Ms": "150"}
        )
    task = asyncio.create_task(real.send(headers={"X-Test-Service-Ms": "900"}))
    await real.wait_until(lambda: real.entry.in_flight)
    task.cancel()
    await real.wait_until(lambda: not real.entry.in_flight)
    queue = real.entry._queues.get(real.member.upstream)
    assert queue.in_flight == 0
