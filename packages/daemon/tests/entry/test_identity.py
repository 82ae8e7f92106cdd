"""Tests of addresses behind which another process has come up."""

import asyncio
import json

import pytest

from bamboosilld.entry import identity
from bamboosilld.entry import pools

EXPECTED = identity.Identity("u1", 7)
VALID = b'{"id": "u1", "incarnation": 7}'


def make_answer(body, status=b"200 OK", request_id=b"identity"):
    return (
        b"HTTP/1.1 %b\r\nBamboosill-Request-Id: %b\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (status, request_id, len(body), body)
    )


# What is answered, and the fault.
ANSWERS = [
    (make_answer(VALID), None),
    (make_answer(b'{"id": "u1", "incarnation": 8}'), identity.MISMATCH),
    (make_answer(b'{"id": "u2", "incarnation": 7}'), identity.MISMATCH),
    (make_answer(b'{"id": "u1", "incarnation": 7.0}'), identity.MISMATCH),
    (make_answer(b'{"id": "u1", "incarnation": "7"}'), identity.MISMATCH),
    (make_answer(b'{"id": "u1"}'), identity.MISMATCH),
    (make_answer(b"[" * 4000), identity.MISMATCH),
    (make_answer(b"[7]"), identity.MISMATCH),
    (make_answer(b"\xff"), identity.MISMATCH),
    (make_answer(b""), identity.MISMATCH),
    (make_answer(VALID + b" " * 5000), identity.MISMATCH),
    (make_answer(VALID, status=b"404 Not Found"), identity.MISMATCH),
    (make_answer(VALID, request_id=b"other"), identity.MISMATCH),
    (make_answer(VALID) + b"surplus", identity.MISMATCH),
    (b"not HTTP\r\n\r\n", identity.MISMATCH),
    (b"", identity.SILENT),
    (make_answer(VALID)[:-1], identity.SILENT),
]


@pytest.mark.parametrize(("answer", "code"), ANSWERS)
async def test_connection_is_used_only_after_a_valid_identity(answer, code):
    """Guards against a request to a process that is not the owner."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(answer)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pool = pools.Pools().get(f"127.0.0.1:{port}", 2, EXPECTED)
    result = await pool.acquire(0.2 if code == identity.SILENT else 10.0)
    if code is None:
        assert result.unwrap().usable
    else:
        assert result.failure().code == code
        assert result.failure().may_have_run is False
        assert pool.size == 0
    pool.close()
    server.close()


async def replace_upstream(bench, first, **changes):
    """Ends an upstream and starts another one at its address."""
    former = bench.member.upstream
    await first.stop()
    second = await bench.start_upstream(listen=first.address, **changes)
    successor, bench.member.upstream = bench.member.upstream, former
    return second, successor


@pytest.mark.parametrize("changes", [{}, {"id": "u2"}])
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_successor_at_an_address_runs_nothing_of_its_predecessor(
    bench, changes, method
):
    """Guards against a request run by a process without the grant for it."""
    await bench.start()
    first = await bench.start_upstream(checks_fences=False)
    assert (await bench.send())[0] == 200
    second, _ = await replace_upstream(
        bench, first, checks_fences=False, **changes
    )
    status, fields, _ = await bench.send(
        method,
        "/shopfront/notes",
        headers={"Bamboosill-Deadline-Ms": "400"},
    )
    assert fields["Bamboosill-Outcome"] == "not-run"
    assert status in (503, 504)
    assert second.recorder.lines == []
    assert bench.member.in_flight == 0


async def test_request_waits_for_the_route_to_the_successor(bench):
    """Guards against refusals while a restarted upstream is announced."""
    await bench.start()
    first = await bench.start_upstream()
    assert (await bench.send())[0] == 200
    second, successor = await replace_upstream(bench, first)
    task = asyncio.create_task(bench.send())
    # More attempts than other faults are given.
    await asyncio.sleep(0.3)
    bench.member.upstream = successor
    assert (await task)[0] == 200
    assert len(second.recorder.lines) == 1


async def test_connections_of_two_incarnations_are_not_mixed(bench):
    """Guards against a connection reused for another incarnation."""
    await bench.start()
    await bench.start_upstream()
    await bench.send()
    assert bench.get_pool().size == 1
    bench.member.upstream = bench.member.upstream._replace(incarnation=1)
    answer = await bench.send(headers={"Bamboosill-Deadline-Ms": "200"})
    assert answer[1]["Bamboosill-Outcome"] == "not-run"


async def test_process_with_a_new_incarnation_refuses_old_connections(bench):
    """Guards against old grants used after a freeze within one process."""
    await bench.start()
    upstream = await bench.start_upstream(checks_fences=False)
    await bench.send()
    upstream.heartbeats._renew()
    answer = await bench.send(headers={"Bamboosill-Deadline-Ms": "200"})
    assert answer[1]["Bamboosill-Outcome"] == "not-run"
    assert len(upstream.recorder.lines) == 1


async def test_order_is_sent_over_another_connection_after_silence(bench):
    """Guards against an order refused for one silent new connection."""
    await bench.start()
    upstream = await bench.start_upstream()
    asked = []
    answer_identity = upstream.service._state_identity

    async def handle(request):
        if request.path == identity.PATH:
            asked.append(request)
            if len(asked) == 1:
                await asyncio.sleep(3600)
            return answer_identity(request)
        return await handle_work(request)

    handle_work, upstream.service.handle = upstream.service.handle, handle
    status, _, body = await bench.send(
        "POST",
        "/shopfront/orders",
        data=b"one",
        headers={
            "Bamboosill-Request-Id": "018bcfe5-6800-7000-8000-000000000001"
        },
    )
    assert (status, json.loads(body)["orders"], len(asked)) == (201, 1, 2)
