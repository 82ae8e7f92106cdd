"""End-to-end tests of one entry instance."""

import asyncio
import json

import aiohttp
import pytest

from bamboosilld import memory_account


async def test_answer_of_the_owner_reaches_the_caller(harness):
    """Guards against a response that is lost or lacks an outcome."""
    await harness.start()
    await harness.start_upstream()
    status, response_headers, body = await harness.send()
    assert (status, response_headers["Bamboosill-Outcome"]) == (200, "answer")
    assert response_headers["Bamboosill-Reason"] == "ok"
    assert response_headers["Bamboosill-Request-Id"]
    assert json.loads(body)["key"] == "k1"
    assert harness.member.in_flight == 0


async def test_each_of_many_callers_gets_its_own_answer(harness):
    """Guards against responses that reach another request."""
    await harness.start()
    await harness.start_upstream(slots=1000)

    async def check(number):
        name = f"k{number}"
        response = await harness.send(
            headers={
                "Bamboosill-Key": name,
                "Bamboosill-Deadline-Ms": "30000",
            }
        )
        return json.loads(response[2])["key"] == name

    assert all(await asyncio.gather(*(check(n) for n in range(300))))


async def test_head_and_empty_answers(harness):
    """Guards against waiting for a body of a response that has none."""
    await harness.start()
    await harness.start_upstream()
    for _ in range(3):
        status, response_headers, body = await harness.send("HEAD")
        assert (status, body) == (200, b"")
        assert int(response_headers["Content-Length"]) > 0


async def test_graceful_stop_interrupts_nothing(harness):
    """Guards against responses interrupted by a restart."""
    await harness.start()
    await harness.start_upstream()
    path = "/shopfront/long?chunks=60&delay_ms=10"
    response = asyncio.create_task(
        harness.send(path=path, headers={"Bamboosill-Deadline-Ms": "3000"})
    )
    order = asyncio.create_task(
        harness.send(
            "POST",
            "/shopfront/orders",
            data=b"one",
            headers={
                "Bamboosill-Request-Id": "018bcfe5-6800-7000-8000-000000000001",
                "X-Test-Service-Ms": "300",
            },
        )
    )
    await harness.wait_until(lambda: harness.entry.in_flight == 2)
    stopped = asyncio.create_task(harness.entry.stop(10.0, 0.1))
    await asyncio.sleep(0.02)
    # Not ready, but requests are served until the balancer has noticed.
    status, _, text = await harness.send(path="/readyz")
    assert (status, text) == (503, b"draining")
    status, response_headers, _ = await harness.send()
    assert (status, response_headers["Connection"]) == (200, "close")
    await asyncio.sleep(0.15)
    async with aiohttp.ClientSession() as fresh:
        harness.session, kept = fresh, harness.session
        assert (await harness.send())[0] == 0
        harness.session = kept
    status, _, body = await response
    assert (status, len(body)) == (200, 60 * 16 * 1024)
    assert (await order)[0] == 201
    await stopped
    assert harness.member.count("FinishRequest") == 1


@pytest.mark.parametrize(
    ("deadline_ms", "status"), [("400", 201), ("4000", 503)]
)
async def test_a_stopping_instance_begins_nothing_that_it_may_cut(
    harness, deadline_ms, status
):
    """Guards against orders that the end of the grace period breaks off."""
    await harness.start()
    upstream = await harness.start_upstream()
    await harness.send()
    begun = len(upstream.recorder.lines)
    stopped = asyncio.create_task(harness.entry.stop(2.0, 1.0))
    await asyncio.sleep(0.02)
    response = await harness.send(
        "POST",
        "/shopfront/orders",
        data=b"one",
        headers={
            "Bamboosill-Request-Id": "018bcfe5-6800-7000-8000-000000000001",
            "Bamboosill-Deadline-Ms": deadline_ms,
        },
    )
    assert response[0] == status
    assert (len(upstream.recorder.lines) > begun) == (status == 201)
    if status == 503:
        assert response[1]["Bamboosill-Outcome"] == "not-run"
        assert response[1]["Bamboosill-Reason"] == "draining"
        assert response[1]["Connection"] == "close"
    await stopped


async def test_stop_ends_after_the_grace_period(harness):
    """Guards against a stop that waits indefinitely."""
    await harness.start()
    upstream = await harness.start_upstream()
    task = asyncio.create_task(harness.send(headers={"X-Test-Fault": "silent"}))
    await harness.wait_until(lambda: harness.entry.in_flight)
    await asyncio.wait_for(harness.entry.stop(0.05, 0.0), 30)
    assert (await task)[0] == 0
    assert upstream.recorder.lines == []


async def test_readiness_follows_the_member(harness):
    """Guards against load balancers using an instance without a lease."""
    await harness.start()
    assert (await harness.send(path="/readyz"))[0] == 200
    harness.member.ready = (False, "no serve lease")
    assert (await harness.send(path="/readyz"))[::2] == (503, b"no serve lease")


async def test_load_is_reported(harness):
    """Guards against missing load statistics for placement."""
    await harness.start()
    await harness.start_upstream()
    await harness.send()
    await harness.send(headers={"X-Test-Fault": "once-shed"})
    report = harness.member.reporter()
    view = report.upstreams[0]
    assert (view.id, view.in_flight, view.completions) == ("u1", 0, 2)
    assert (view.refusals, view.failures) == (1, 0)
    assert {each.shard for each in report.shard_load} == {1}


async def _iterate(data):
    yield data


@pytest.mark.parametrize("is_chunked", [False, True])
@pytest.mark.parametrize(("length", "status"), [(900, 201), (1100, 503)])
async def test_bodies_are_bounded_over_all_requests(
    harness, is_chunked, length, status
):
    """Guards against bodies that are allowed alone and too much together."""
    account = memory_account.MemoryAccount(1000)
    await harness.start(account=account)
    await harness.start_upstream()
    data = b"a" * length
    response = await harness.send(
        "POST",
        "/shopfront/orders",
        data=_iterate(data) if is_chunked else data,
        headers={
            "Bamboosill-Request-Id": "018bcfe5-6800-7000-8000-000000000001",
        },
    )
    assert response[0] == status
    if status == 503:
        assert response[1]["Bamboosill-Outcome"] == "not-run"
        assert response[1]["Bamboosill-Reason"] == "memory"
    await asyncio.sleep(0.05)
    assert account.held_bytes == 0
