"""Tests of idempotency records of requests that may run at most once."""

import asyncio
import random

import pytest

from bamboosill_common import requestid
from bamboosill_common.generated import zone as zone_messages
from bamboosilld.entry import unlimited


def make_id(number=1):
    return requestid.make_request_id(1_700_000_000_000, random.Random(number))


class _ExhaustedBudget(unlimited.RetryBudget):
    """A retry budget that is exhausted."""

    def try_retry(self, customer):
        return False


async def send_order(harness, number=1, **changes):
    request_headers = {"Bamboosill-Request-Id": make_id(number)}
    request_headers.update(changes.pop("headers", {}))
    status, response_headers, body = await harness.send(
        "POST",
        "/shopfront/orders",
        data=b"one",
        headers=request_headers,
        **changes,
    )
    return (
        status,
        response_headers.get("Bamboosill-Outcome"),
        response_headers.get("Bamboosill-Reason"),
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
async def test_record_status_decides_the_response(
    harness, record, status, outcome, reason
):
    """Guards against dispatching a request that its record forbids."""
    await harness.start()
    upstream = await harness.start_upstream()
    harness.member.records[make_id()] = zone_messages.RecordStatus(record)
    assert (await send_order(harness))[:3] == (status, outcome, reason)
    assert upstream.recorder.lines == []
    assert harness.member.count("AbandonRequest") == 0


async def test_resend_gets_the_stored_answer(harness):
    """Guards against a request that runs again when it is resent."""
    await harness.start()
    upstream = await harness.start_upstream()
    first = await send_order(harness)
    assert first[:3] == (201, "answer", "ok")
    await harness.wait_until(lambda: harness.member.count("FinishRequest"))
    again = await send_order(harness)
    assert again[:3] == (201, "answer", "replayed")
    assert again[3] == first[3]
    assert len(upstream.recorder.lines) == 1


async def test_resend_after_a_large_response_reports_already_run(harness):
    """Guards against a second run if the response was too large to store."""
    await harness.start()
    upstream = await harness.start_upstream()
    harness.member.records[make_id()] = zone_messages.RecordStatus(
        "finished", 201
    )
    assert (await send_order(harness))[:3] == (208, "answer", "already-run")
    assert upstream.recorder.lines == []


@pytest.mark.parametrize(
    ("unknown", "status", "outcome", "reason"),
    [
        (True, 409, "unknown", "record-unknown"),
        (False, 503, "not-run", "record-unavailable"),
    ],
)
async def test_nothing_is_dispatched_without_a_record(
    harness, unknown, status, outcome, reason
):
    """Guards against dispatch without a record that a resend would find."""
    await harness.start()
    upstream = await harness.start_upstream()
    harness.member.propose_errors["BeginRequest"] = unknown
    assert (await send_order(harness))[:3] == (status, outcome, reason)
    assert upstream.recorder.lines == []
    # The record may belong to a concurrent request that is running.
    assert harness.member.count("AbandonRequest") == 0


async def test_id_can_be_used_again_after_not_run(harness):
    """Guards against a record left behind by a request that did not run."""
    await harness.start(budget=_ExhaustedBudget())
    upstream = await harness.start_upstream()
    response = await send_order(harness, headers={"X-Test-Fault": "shed"})
    assert response[:2] == (503, "not-run")
    assert (await send_order(harness))[:2] == (201, "answer")
    assert len(upstream.recorder.lines) == 1


async def test_unknown_end_is_recorded(harness):
    """Guards against a resend that runs after an unknown outcome."""
    await harness.start()
    upstream = await harness.start_upstream()
    response = await send_order(
        harness, headers={"X-Test-Fault": "close-after"}
    )
    assert response[:2] == (502, "unknown")
    await harness.wait_until(lambda: harness.member.count("FinishRequest"))
    assert (await send_order(harness))[:3] == (409, "unknown", "begun-unknown")
    assert len(upstream.recorder.lines) == 1


async def test_concurrent_sends_of_one_id_run_once(harness):
    """Guards against concurrent requests with one id at one instance."""
    await harness.start()
    upstream = await harness.start_upstream()
    request_headers = {"X-Test-Service-Ms": "100"}
    response = await asyncio.gather(
        send_order(harness, headers=request_headers),
        send_order(harness, headers=request_headers),
    )
    assert sorted(each[0] for each in response) == [201, 409]
    assert harness.member.count("BeginRequest") == 1
    assert len(upstream.recorder.lines) == 1


async def test_order_continues_after_its_caller_disconnects(harness):
    """Guards against losing the outcome when the caller disconnects."""
    await harness.start()
    upstream = await harness.start_upstream()
    task = asyncio.create_task(
        send_order(harness, headers={"X-Test-Service-Ms": "100"})
    )
    await harness.wait_until(lambda: upstream.service.running)
    task.cancel()
    await harness.wait_until(lambda: harness.member.count("FinishRequest"))
    assert (await send_order(harness))[:3] == (201, "answer", "replayed")
    assert len(upstream.recorder.lines) == 1


async def test_clock_skew_refuses_orders_only(harness):
    """Guards against id timestamps compared with a skewed clock."""
    await harness.start()
    await harness.start_upstream()
    harness.member.clock_skew_ms = -1001
    assert (await send_order(harness))[:3] == (503, "not-run", "clock-skew")
    assert (await harness.send())[0] == 200


async def test_finish_is_proposed_again(harness):
    """Guards against a record left in progress after one lost proposal."""
    await harness.start()
    await harness.start_upstream()
    harness.member.propose_errors["FinishRequest"] = True
    assert (await send_order(harness))[0] == 201
    await harness.wait_until(lambda: harness.member.count("FinishRequest") == 1)
    harness.member.propose_errors.clear()
    await harness.wait_until(lambda: harness.member.count("FinishRequest") == 2)
    assert harness.member.records[make_id()].status == "finished"
