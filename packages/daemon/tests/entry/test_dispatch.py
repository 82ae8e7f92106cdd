"""Tests of exchanges with upstreams that respond wrongly or late."""

import asyncio
import json
import random

import pytest

from bamboosill_common import requestid
from bamboosilld.entry import unlimited


class _ExhaustedBudget(unlimited.RetryBudget):
    """A retry budget that is exhausted."""

    def try_retry(self, customer):
        return False


def make_id():
    return requestid.make_request_id(1_700_000_000_000, random.Random())


def summarize(response):
    status, response_headers, _ = response
    return (
        status,
        response_headers["Bamboosill-Outcome"],
        response_headers["Bamboosill-Reason"],
    )


# Fault of the upstream; expected status, outcome and reason for the caller.
FAULTS = [
    ("close-before", 502, "unknown", "broken"),
    ("close-after", 502, "unknown", "broken"),
    ("truncated-head", 502, "unknown", "broken"),
    ("truncated-body", 502, "unknown", "truncated"),
    ("truncated-chunked", 502, "unknown", "truncated"),
    ("unframed", 502, "unknown", "unframed"),
    ("garbage", 502, "unknown", "malformed"),
    ("large-head", 502, "unknown", "malformed"),
    ("zero-status", 502, "unknown", "malformed"),
    ("status:600", 502, "unknown", "malformed"),
    ("crossed", 502, "unknown", "crossed"),
    ("no-id", 502, "unknown", "crossed"),
    ("oversized", 502, "unknown", "malformed"),
    ("late:5000", 504, "unknown", "deadline"),
    ("mute", 504, "unknown", "deadline"),
    ("silent", 504, "unknown", "deadline"),
    ("shed", 503, "not-run", "shed"),
    ("stale", 503, "not-run", "stale-fence"),
    # Errors of the service itself, after it ran the request.
    ("status:503", 503, "answer", "ok"),
    ("status:409", 409, "answer", "ok"),
    ("duplicated", 200, "answer", "ok"),
    ("duplicated-part", 200, "answer", "ok"),
    ("duplicated-late:30", 200, "answer", "ok"),
]


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize(("fault", "status", "outcome", "reason"), FAULTS)
async def test_faulty_response_gives_the_correct_outcome(
    harness, method, fault, status, outcome, reason
):
    """Guards against a wrong outcome, and a response to another request."""
    await harness.start(budget=_ExhaustedBudget())
    upstream = await harness.start_upstream()
    request_id = make_id()
    response = await harness.send(
        method,
        "/shopfront/orders" if method == "POST" else "/shopfront/items",
        data=b"one" if method == "POST" else None,
        headers={
            "X-Test-Fault": fault,
            "Bamboosill-Request-Id": request_id,
            "Bamboosill-Deadline-Ms": "1500" if status == 504 else "3000",
        },
    )
    expected = 201 if (method, status) == ("POST", 200) else status
    # The test upstream writes duplicated responses itself, with status 200.
    assert summarize(response) in (
        (expected, outcome, reason),
        (status, outcome, reason),
    )
    ran = [line["id"] for line in upstream.recorder.lines]
    if outcome == "not-run":
        assert request_id not in ran
    # Surplus data on connections must not reach other requests.
    for number in range(4):
        response = await harness.send(headers={"Bamboosill-Key": f"k{number}"})
        if response[0] == 200:
            assert json.loads(response[2])["key"] == f"k{number}"
        else:
            assert summarize(response) == (502, "unknown", "crossed")
        await asyncio.sleep(0.015)
    assert harness.member.in_flight == 0


@pytest.mark.parametrize(
    ("fault", "runs"),
    [
        ("once-close-before", 1),
        ("once-close-after", 2),
        ("once-truncated-body", 2),
        ("once-crossed", 2),
        ("once-garbage", 2),
        ("once-zero-status", 2),
        ("once-silent", 1),
        ("once-mute", 2),
        ("once-shed", 1),
        ("once-stale", 1),
    ],
)
async def test_repeatable_request_is_repeated(harness, fault, runs):
    """Guards against a failed repeatable request that is not retried."""
    await harness.start()
    upstream = await harness.start_upstream()
    response = await harness.send(
        headers={"X-Test-Fault": fault, "Bamboosill-Deadline-Ms": "2000"}
    )
    assert summarize(response) == (200, "answer", "ok")
    assert len(upstream.recorder.lines) == runs


@pytest.mark.parametrize(
    ("fault", "status", "runs"),
    [
        ("once-close-before", 502, 0),
        ("once-close-after", 502, 1),
        ("once-crossed", 502, 1),
        ("once-mute", 504, 1),
        ("once-shed", 201, 1),
        ("once-stale", 201, 1),
    ],
)
async def test_non_repeatable_request_is_repeated_only_if_it_did_not_run(
    harness, fault, status, runs
):
    """Guards against a non-repeatable request that runs twice."""
    await harness.start()
    upstream = await harness.start_upstream()
    response = await harness.send(
        "POST",
        "/shopfront/orders",
        data=b"one",
        headers={
            "X-Test-Fault": fault,
            "Bamboosill-Request-Id": make_id(),
            "Bamboosill-Deadline-Ms": "300" if status == 504 else "3000",
        },
    )
    assert response[0] == status
    assert len(upstream.recorder.lines) == runs


async def test_silent_connection_is_replaced_and_not_used_again(harness):
    """Guards against reuse of idle connections after one of them timed out."""
    await harness.start()
    await harness.start_upstream()
    await asyncio.gather(*(harness.send() for _ in range(3)))
    await harness.send(headers={"X-Test-Fault": "once-mute"})
    pool = harness.get_pool()
    assert pool.size == 1


async def test_lease_is_checked_before_the_write(harness):
    """Guards against a request written after the serve lease has ended."""
    await harness.start()
    upstream = await harness.start_upstream()
    harness.member.lease_valid = False
    response = await harness.send(headers={"Bamboosill-Deadline-Ms": "100"})
    assert summarize(response)[1] == "not-run"
    assert upstream.recorder.lines == []
    assert harness.member.in_flight == 0


async def test_disconnected_caller_cancels_its_request(harness):
    """Guards against upstream work for callers that have disconnected."""
    await harness.start()
    upstream = await harness.start_upstream()
    task = asyncio.create_task(
        harness.send(headers={"X-Test-Service-Ms": "400"})
    )
    await harness.wait_until(lambda: upstream.service.running)
    task.cancel()
    await harness.wait_until(lambda: not upstream.service.running)
    assert upstream.recorder.lines == []
    assert upstream.service.refused["cancelled"] == 1
    assert harness.member.in_flight == 0


@pytest.mark.parametrize(
    ("checks_fences", "fault", "held"),
    [
        (False, "close-after", 1),
        (False, "shed", 0),
        (False, "", 0),
        (True, "close-after", 0),
    ],
)
async def test_abandoned_request_holds_back_moves_until_its_deadline(
    harness, checks_fences, fault, held
):
    """Guards against moving a key while an upstream may still run a request."""
    await harness.start(budget=_ExhaustedBudget())
    await harness.start_upstream(checks_fences=checks_fences)
    harness.member.upstream = harness.member.upstream._replace(
        checks_fences=checks_fences
    )
    await harness.send(
        headers={"X-Test-Fault": fault, "Bamboosill-Deadline-Ms": "1500"}
    )
    assert harness.member.in_flight == held
    await harness.wait_until(lambda: harness.member.in_flight == 0)


async def test_stopped_upstream_gives_not_run(harness):
    """Guards against outcome "unknown" although nothing was written."""
    await harness.start()
    upstream = await harness.start_upstream()
    await upstream.stop()
    response = await harness.send()
    assert summarize(response) == (503, "not-run", "upstream-unreachable")


@pytest.mark.parametrize("query", ["", "&sized=1"])
async def test_long_response_is_complete_or_aborted(harness, query):
    """Guards against a truncated streamed response that looks complete."""
    await harness.start()
    await harness.start_upstream()
    path = f"/shopfront/long?chunks=64{query}"
    status, response_headers, body = await harness.send(path=path)
    assert (status, response_headers["Bamboosill-Outcome"]) == (200, "answer")
    assert len(body) == 64 * 16 * 1024
    status, _, _ = await harness.send(
        path=path, headers={"X-Test-Fault": "cut"}
    )
    assert status == 0


async def test_caller_that_stops_reading_is_disconnected_at_the_deadline(
    harness,
):
    """Guards against a slot held indefinitely by a stalled caller."""
    await harness.start()
    upstream = await harness.start_upstream()
    host, port = harness.entry.caller_address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
    writer.write(
        b"GET /shopfront/long?chunks=4000 HTTP/1.1\r\nHost: x\r\n"
        b"Bamboosill-Customer: acme\r\nBamboosill-Key: k\r\n"
        b"Bamboosill-Deadline-Ms: 300\r\n\r\n"
    )
    await reader.readuntil(b"\r\n\r\n")
    assert harness.entry.in_flight == 1
    await harness.wait_until(lambda: harness.entry.in_flight == 0)
    assert harness.member.in_flight == 0
    assert upstream.service.running == 0
    writer.close()


async def test_first_byte_timeout_is_not_an_upstream_failure(harness):
    """Guards against counting a broken connection as an upstream failure."""
    await harness.start()
    await harness.start_upstream()
    await harness.send(headers={"X-Test-Fault": "once-mute"})
    view = harness.member.reporter().upstreams[0]
    assert (view.completions, view.failures) == (1, 0)


async def test_connections_to_an_upstream_are_bounded(harness):
    """Guards against more connections than the upstream announced."""
    await harness.start()
    await harness.start_upstream(slots=50)
    harness.member.upstream = harness.member.upstream._replace(connections=3)
    responses = await asyncio.gather(
        *(harness.send(headers={"X-Test-Service-Ms": "20"}) for _ in range(12))
    )
    assert {response[0] for response in responses} == {200}
    pool = harness.get_pool()
    assert pool.size <= 3
