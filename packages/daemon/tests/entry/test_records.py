"""Tests of requests that may run at most once."""

import asyncio
import random

import pytest

from bamboosill_common import requestid
from bamboosill_common.generated import zone as zone_messages
from bamboosilld.entry import passthrough


def make_id(number=1):
    return requestid.make_request_id(1_700_000_000_000, random.Random(number))


class _NoRetries(passthrough.Budget):
    """A retry budget that is used up."""

    def try_retry(self, customer):
        return False


async def order(bench, number=1, **changes):
    fields = {"Bamboosill-Request-Id": make_id(number)}
    fields.update(changes.pop("headers", {}))
    status, got, body = await bench.send(
        "POST", "/shopfront/orders", data=b"one", headers=fields, **changes
    )
    return (
        status,
        got.get("Bamboosill-Outcome"),
        got.get("Bamboosill-Reason"),
        body,
    )


RECORDS = [
    ("in_progress", 409, "unknown", "in-progress"),
    ("unknown", 409, "unknown", "begun-unknown"),
    ("mismatch", 409, "not-run", "id-reused"),
    ("too_old", 409, "unknown", "id-too-old"),
    ("below_floor", 409, "unknown", "id-below-floor"),
    ("future", 425, "not-run", "id-in-future"),
    ("full", 503, "not-run", "records-full"),
    ("strange", 409, "unknown", "begun-unknown"),
]


@pytest.mark.parametrize(("record", "status", "outcome", "reason"), RECORDS)
async def test_record_decides_what_the_caller_is_told(
    bench, record, status, outcome, reason
):
    """Guards against a request dispatched in spite of its record."""
    await bench.start()
    upstream = await bench.start_upstream()
    bench.member.records[make_id()] = zone_messages.RecordStatus(record)
    assert (await order(bench))[:3] == (status, outcome, reason)
    assert upstream.recorder.lines == []
    assert bench.member.count("AbandonRequest") == 0


async def test_resend_gets_the_stored_answer(bench):
    """Guards against an order that runs again when it is resent."""
    await bench.start()
    upstream = await bench.start_upstream()
    first = await order(bench)
    assert first[:3] == (201, "answer", "ok")
    await bench.wait_until(lambda: bench.member.count("FinishRequest"))
    again = await order(bench)
    assert again[:3] == (201, "answer", "replayed")
    assert again[3] == first[3]
    assert len(upstream.recorder.lines) == 1


async def test_resend_of_a_large_answer_is_told_that_it_ran(bench):
    """Guards against an answer above the stored size that runs again."""
    await bench.start()
    upstream = await bench.start_upstream()
    bench.member.records[make_id()] = zone_messages.RecordStatus(
        "finished", 201
    )
    assert (await order(bench))[:3] == (208, "answer", "already-run")
    assert upstream.recorder.lines == []


@pytest.mark.parametrize(
    ("unknown", "status", "outcome", "reason"),
    [
        (True, 409, "unknown", "record-unknown"),
        (False, 503, "not-run", "record-unavailable"),
    ],
)
async def test_nothing_is_dispatched_without_a_record(
    bench, unknown, status, outcome, reason
):
    """Guards against a run that a resend could not find out about."""
    await bench.start()
    upstream = await bench.start_upstream()
    bench.member.propose_errors["BeginRequest"] = unknown
    assert (await order(bench))[:3] == (status, outcome, reason)
    assert upstream.recorder.lines == []
    # The record may belong to another sending that is running.
    assert bench.member.count("AbandonRequest") == 0


async def test_id_can_be_used_again_after_not_run(bench):
    """Guards against a record that outlives a request that did not run."""
    await bench.start(budget=_NoRetries())
    upstream = await bench.start_upstream()
    told = await order(bench, headers={"X-Test-Fault": "shed"})
    assert told[:2] == (503, "not-run")
    assert (await order(bench))[:2] == (201, "answer")
    assert len(upstream.recorder.lines) == 1


async def test_unknown_end_is_recorded(bench):
    """Guards against a resend that runs after an unknown end."""
    await bench.start()
    upstream = await bench.start_upstream()
    told = await order(bench, headers={"X-Test-Fault": "close-after"})
    assert told[:2] == (502, "unknown")
    await bench.wait_until(lambda: bench.member.count("FinishRequest"))
    assert (await order(bench))[:3] == (409, "unknown", "begun-unknown")
    assert len(upstream.recorder.lines) == 1


async def test_two_sendings_at_once_run_once(bench):
    """Guards against concurrent sendings of an id through one instance."""
    await bench.start()
    upstream = await bench.start_upstream()
    fields = {"X-Test-Service-Ms": "100"}
    told = await asyncio.gather(
        order(bench, headers=fields), order(bench, headers=fields)
    )
    assert sorted(each[0] for each in told) == [201, 409]
    assert bench.member.count("BeginRequest") == 1
    assert len(upstream.recorder.lines) == 1


async def test_order_goes_on_when_its_caller_goes_away(bench):
    """Guards against an order whose end is lost with its caller."""
    await bench.start()
    upstream = await bench.start_upstream()
    task = asyncio.create_task(
        order(bench, headers={"X-Test-Service-Ms": "100"})
    )
    await bench.wait_until(lambda: upstream.service.running)
    task.cancel()
    await bench.wait_until(lambda: bench.member.count("FinishRequest"))
    assert (await order(bench))[:3] == (201, "answer", "replayed")
    assert len(upstream.recorder.lines) == 1


async def test_clock_skew_refuses_orders_only(bench):
    """Guards against ids judged by a clock that is wrong."""
    await bench.start()
    await bench.start_upstream()
    bench.member.clock_skew_ms = -1001
    assert (await order(bench))[:3] == (503, "not-run", "clock-skew")
    assert (await bench.send())[0] == 200


async def test_finish_is_proposed_again(bench):
    """Guards against a record left open by one lost proposal."""
    await bench.start()
    await bench.start_upstream()
    bench.member.propose_errors["FinishRequest"] = True
    assert (await order(bench))[0] == 201
    await bench.wait_until(lambda: bench.member.count("FinishRequest") == 1)
    bench.member.propose_errors.clear()
    await bench.wait_until(lambda: bench.member.count("FinishRequest") == 2)
    assert bench.member.records[make_id()].status == "finished"
