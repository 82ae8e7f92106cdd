"""Tests of exchanges with faulty upstreams."""

import asyncio
import json
import random

import pytest

from bamboosill_common import requestid
from bamboosilld.entry import passthrough


class _NoRetries(passthrough.Budget):
    """A retry budget that is used up."""

    def try_retry(self, customer):
        return False


def make_id():
    return requestid.make_request_id(1_700_000_000_000, random.Random())


def summarize(answer):
    status, fields, _ = answer
    return (
        status,
        fields["Bamboosill-Outcome"],
        fields["Bamboosill-Reason"],
    )


# What the upstream does, and what the caller must be told.
FAULTS = [
    ("close-before", 502, "unknown", "broken"),
    ("close-after", 502, "unknown", "broken"),
    ("truncated-head", 502, "unknown", "broken"),
    ("truncated-body", 502, "unknown", "truncated"),
    ("truncated-chunked", 502, "unknown", "truncated"),
    ("unframed", 502, "unknown", "unframed"),
    ("garbage", 502, "unknown", "malformed"),
    ("large-head", 502, "unknown", "malformed"),
    ("crossed", 502, "unknown", "crossed"),
    ("no-id", 502, "unknown", "crossed"),
    ("oversized", 502, "unknown", "malformed"),
    ("late:5000", 504, "unknown", "deadline"),
    ("mute", 504, "unknown", "deadline"),
    ("silent", 504, "unknown", "deadline"),
    ("shed", 503, "not-run", "shed"),
    ("stale", 503, "not-run", "stale-fence"),
    # Refusals of the service itself, after it ran the request.
    ("status:503", 503, "answer", "ok"),
    ("status:409", 409, "answer", "ok"),
    ("duplicated", 200, "answer", "ok"),
    ("duplicated-part", 200, "answer", "ok"),
    ("duplicated-late:30", 200, "answer", "ok"),
]


@pytest.mark.parametrize("method", ["GET", "POST"])
@pytest.mark.parametrize(("fault", "status", "outcome", "reason"), FAULTS)
async def test_caller_is_told_the_truth_about_a_faulty_answer(
    bench, method, fault, status, outcome, reason
):
    """Guards against a false outcome, and an answer to another request."""
    await bench.start(budget=_NoRetries())
    upstream = await bench.start_upstream()
    request_id = make_id()
    answer = await bench.send(
        method,
        "/shopfront/orders" if method == "POST" else "/shopfront/items",
        data=b"one" if method == "POST" else None,
        headers={
            "X-Test-Fault": fault,
            "Bamboosill-Request-Id": request_id,
            "Bamboosill-Deadline-Ms": "250" if status == 504 else "3000",
        },
    )
    expected = 201 if (method, status) == ("POST", 200) else status
    # The stand-in writes the bytes of duplicated answers itself, with 200.
    assert summarize(answer) in (
        (expected, outcome, reason),
        (status, outcome, reason),
    )
    ran = [line["id"] for line in upstream.recorder.lines]
    if outcome == "not-run":
        assert request_id not in ran
    # Whatever is left on connections is given to no other request.
    for number in range(4):
        answer = await bench.send(headers={"Bamboosill-Key": f"k{number}"})
        if answer[0] == 200:
            assert json.loads(answer[2])["key"] == f"k{number}"
        else:
            assert summarize(answer) == (502, "unknown", "crossed")
        await asyncio.sleep(0.015)
    assert bench.member.in_flight == 0


@pytest.mark.parametrize(
    ("fault", "runs"),
    [
        ("once-close-before", 1),
        ("once-close-after", 2),
        ("once-truncated-body", 2),
        ("once-crossed", 2),
        ("once-garbage", 2),
        ("once-silent", 1),
        ("once-mute", 2),
        ("once-shed", 1),
        ("once-stale", 1),
    ],
)
async def test_repeatable_request_is_repeated(bench, fault, runs):
    """Guards against a fault of one connection that reaches the caller."""
    await bench.start()
    upstream = await bench.start_upstream()
    answer = await bench.send(
        headers={"X-Test-Fault": fault, "Bamboosill-Deadline-Ms": "2000"}
    )
    assert summarize(answer) == (200, "answer", "ok")
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
    bench, fault, status, runs
):
    """Guards against an order that runs twice."""
    await bench.start()
    upstream = await bench.start_upstream()
    answer = await bench.send(
        "POST",
        "/shopfront/orders",
        data=b"one",
        headers={
            "X-Test-Fault": fault,
            "Bamboosill-Request-Id": make_id(),
            "Bamboosill-Deadline-Ms": "300" if status == 504 else "3000",
        },
    )
    assert answer[0] == status
    assert len(upstream.recorder.lines) == runs


async def test_silent_connection_is_replaced_and_not_used_again(bench):
    """Guards against a second request on a connection known to be silent."""
    await bench.start()
    await bench.start_upstream()
    await asyncio.gather(*(bench.send() for _ in range(3)))
    await bench.send(headers={"X-Test-Fault": "once-mute"})
    pool = bench.get_pool()
    assert pool.size == 1


async def test_lease_is_checked_before_the_write(bench):
    """Guards against a request written after the serve lease has ended."""
    await bench.start()
    upstream = await bench.start_upstream()
    bench.member.lease_valid = False
    answer = await bench.send(headers={"Bamboosill-Deadline-Ms": "100"})
    assert summarize(answer)[1] == "not-run"
    assert upstream.recorder.lines == []
    assert bench.member.in_flight == 0


async def test_caller_that_goes_away_cancels_its_request(bench):
    """Guards against work for callers that no longer wait."""
    await bench.start()
    upstream = await bench.start_upstream()
    task = asyncio.create_task(bench.send(headers={"X-Test-Service-Ms": "400"}))
    await bench.wait_until(lambda: upstream.service.running)
    task.cancel()
    await bench.wait_until(lambda: not upstream.service.running)
    assert upstream.recorder.lines == []
    assert upstream.service.refused["cancelled"] == 1
    assert bench.member.in_flight == 0


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
    bench, checks_fences, fault, held
):
    """Guards against a move while an upstream may still run a request."""
    await bench.start(budget=_NoRetries())
    await bench.start_upstream(checks_fences=checks_fences)
    bench.member.upstream = bench.member.upstream._replace(
        checks_fences=checks_fences
    )
    await bench.send(
        headers={"X-Test-Fault": fault, "Bamboosill-Deadline-Ms": "1500"}
    )
    assert bench.member.in_flight == held
    await bench.wait_until(lambda: bench.member.in_flight == 0)


async def test_upstream_that_is_gone_gives_not_run(bench):
    """Guards against "unknown" where nothing was written."""
    await bench.start()
    upstream = await bench.start_upstream()
    await upstream.stop()
    answer = await bench.send()
    assert summarize(answer) == (503, "not-run", "upstream-unreachable")


@pytest.mark.parametrize("query", ["", "&sized=1"])
async def test_long_answer_is_whole_or_visibly_broken(bench, query):
    """Guards against a truncated long answer that looks complete."""
    await bench.start()
    await bench.start_upstream()
    path = f"/shopfront/long?chunks=64{query}"
    status, fields, body = await bench.send(path=path)
    assert (status, fields["Bamboosill-Outcome"]) == (200, "answer")
    assert len(body) == 64 * 16 * 1024
    status, _, _ = await bench.send(path=path, headers={"X-Test-Fault": "cut"})
    assert status == 0


async def test_caller_that_stops_reading_is_cut_off_at_its_deadline(bench):
    """Guards against a slot held for ever by a caller that went silent."""
    await bench.start()
    upstream = await bench.start_upstream()
    host, port = bench.entry.caller_address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port), limit=1024)
    writer.write(
        b"GET /shopfront/long?chunks=4000 HTTP/1.1\r\nHost: x\r\n"
        b"Bamboosill-Customer: acme\r\nBamboosill-Key: k\r\n"
        b"Bamboosill-Deadline-Ms: 300\r\n\r\n"
    )
    await reader.readuntil(b"\r\n\r\n")
    assert bench.entry.in_flight == 1
    await bench.wait_until(lambda: bench.entry.in_flight == 0)
    assert bench.member.in_flight == 0
    assert upstream.service.running == 0
    writer.close()


async def test_silence_is_no_failure_of_the_upstream(bench):
    """Guards against an upstream taken out for one silent connection."""
    await bench.start()
    await bench.start_upstream()
    await bench.send(headers={"X-Test-Fault": "once-mute"})
    view = bench.member.reporter().upstreams[0]
    assert (view.completions, view.failures) == (1, 0)


async def test_connections_to_an_upstream_are_bounded(bench):
    """Guards against more connections than the upstream announced."""
    await bench.start()
    await bench.start_upstream(slots=50)
    bench.member.upstream = bench.member.upstream._replace(connections=3)
    answers = await asyncio.gather(
        *(bench.send(headers={"X-Test-Service-Ms": "20"}) for _ in range(12))
    )
    assert {answer[0] for answer in answers} == {200}
    pool = bench.get_pool()
    assert pool.size <= 3
