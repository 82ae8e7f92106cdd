"""Tests of one entry instance as a whole."""

import asyncio
import json

import aiohttp


async def test_answer_of_the_owner_reaches_the_caller(bench):
    """Guards against an answer that is lost or not labelled."""
    await bench.start()
    await bench.start_upstream()
    status, fields, body = await bench.send()
    assert (status, fields["Bamboosill-Outcome"]) == (200, "answer")
    assert fields["Bamboosill-Reason"] == "ok"
    assert fields["Bamboosill-Request-Id"]
    assert json.loads(body)["key"] == "k1"
    assert bench.member.in_flight == 0


async def test_each_of_many_callers_gets_its_own_answer(bench):
    """Guards against answers that reach another request."""
    await bench.start()
    await bench.start_upstream(slots=1000)

    async def check(number):
        name = f"k{number}"
        answer = await bench.send(headers={"Bamboosill-Key": name})
        return json.loads(answer[2])["key"] == name

    assert all(await asyncio.gather(*(check(n) for n in range(300))))


async def test_head_and_empty_answers(bench):
    """Guards against answers without a body that wait for one."""
    await bench.start()
    await bench.start_upstream()
    for _ in range(3):
        status, fields, body = await bench.send("HEAD")
        assert (status, body) == (200, b"")
        assert int(fields["Content-Length"]) > 0


async def test_graceful_stop_interrupts_nothing(bench):
    """Guards against answers cut off by a restart."""
    await bench.start()
    await bench.start_upstream()
    path = "/shopfront/long?chunks=60&delay_ms=10"
    answer = asyncio.create_task(
        bench.send(path=path, headers={"Bamboosill-Deadline-Ms": "3000"})
    )
    order = asyncio.create_task(
        bench.send(
            "POST",
            "/shopfront/orders",
            data=b"one",
            headers={
                "Bamboosill-Request-Id": "018bcfe5-6800-7000-8000-000000000001",
                "X-Test-Service-Ms": "300",
            },
        )
    )
    await bench.wait_until(lambda: bench.entry.in_flight == 2)
    stopped = asyncio.create_task(bench.entry.stop(10.0, 0.1))
    await asyncio.sleep(0.02)
    # Not ready, and served until the balancer has noticed.
    status, _, text = await bench.send(path="/readyz")
    assert (status, text) == (503, b"draining")
    status, fields, _ = await bench.send()
    assert (status, fields["Connection"]) == (200, "close")
    await asyncio.sleep(0.15)
    async with aiohttp.ClientSession() as fresh:
        bench.session, kept = fresh, bench.session
        assert (await bench.send())[0] == 0
        bench.session = kept
    status, _, body = await answer
    assert (status, len(body)) == (200, 60 * 16 * 1024)
    assert (await order)[0] == 201
    await stopped
    assert bench.member.count("FinishRequest") == 1


async def test_stop_ends_after_its_grace(bench):
    """Guards against a stop that waits for ever."""
    await bench.start()
    upstream = await bench.start_upstream()
    task = asyncio.create_task(bench.send(headers={"X-Test-Fault": "silent"}))
    await bench.wait_until(lambda: bench.entry.in_flight)
    await asyncio.wait_for(bench.entry.stop(0.05, 0.0), 30)
    assert (await task)[0] == 0
    assert upstream.recorder.lines == []


async def test_readiness_follows_the_member(bench):
    """Guards against callers sent to an instance without a lease."""
    await bench.start()
    assert (await bench.send(path="/readyz"))[0] == 200
    bench.member.ready = (False, "no serve lease")
    assert (await bench.send(path="/readyz"))[::2] == (503, b"no serve lease")


async def test_figures_are_reported(bench):
    """Guards against placement without a view of load."""
    await bench.start()
    await bench.start_upstream()
    await bench.send()
    await bench.send(headers={"X-Test-Fault": "once-shed"})
    report = bench.member.reporter()
    view = report.upstreams[0]
    assert (view.id, view.in_flight, view.completions) == ("u1", 0, 2)
    assert (view.refusals, view.failures) == (1, 0)
    assert {each.shard for each in report.shard_load} == {1}
