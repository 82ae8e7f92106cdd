"""Tests of upstream addresses that another process has taken over."""

import asyncio
import json

import pytest

from bamboosilld.entry import identity
from bamboosilld.entry import pools

EXPECTED = identity.Identity("u1", 7)
VALID = b'{"id": "u1", "incarnation": 7}'


def make_response(body, status=b"200 OK", request_id=b"identity"):
    return (
        b"HTTP/1.1 %b\r\nBamboosill-Request-Id: %b\r\n"
        b"Content-Length: %d\r\n\r\n%b" % (status, request_id, len(body), body)
    )


# Identity response, and the expected fault code.
RESPONSES = [
    (make_response(VALID), None),
    (make_response(b'{"id": "u1", "incarnation": 8}'), identity.MISMATCH),
    (make_response(b'{"id": "u2", "incarnation": 7}'), identity.MISMATCH),
    (make_response(b'{"id": "u1", "incarnation": 7.0}'), identity.MISMATCH),
    (make_response(b'{"id": "u1", "incarnation": "7"}'), identity.MISMATCH),
    (make_response(b'{"id": "u1"}'), identity.MISMATCH),
    (make_response(b"[" * 4000), identity.MISMATCH),
    (make_response(b"[7]"), identity.MISMATCH),
    (make_response(b"\xff"), identity.MISMATCH),
    (make_response(b""), identity.MISMATCH),
    (make_response(VALID + b" " * 5000), identity.MISMATCH),
    (make_response(VALID, status=b"404 Not Found"), identity.MISMATCH),
    (make_response(VALID, request_id=b"other"), identity.MISMATCH),
    (make_response(VALID) + b"surplus", identity.MISMATCH),
    (b"not HTTP\r\n\r\n", identity.MISMATCH),
    (b"", identity.NO_RESPONSE),
    (make_response(VALID)[:-1], identity.NO_RESPONSE),
]


@pytest.mark.parametrize(("response", "code"), RESPONSES)
async def test_connection_is_used_only_after_a_valid_identity(response, code):
    """Guards against requests to a process that does not own the key."""

    async def serve(reader, writer):
        await reader.readuntil(b"\r\n\r\n")
        writer.write(response)
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, "127.0.0.1", 0)
    port = server.sockets[0].getsockname()[1]
    pool = pools.Pools().get(f"127.0.0.1:{port}", 2, EXPECTED)
    result = await pool.acquire(0.2 if code == identity.NO_RESPONSE else 10.0)
    if code is None:
        assert result.unwrap().usable
    else:
        assert result.failure().code == code
        assert result.failure().may_have_run is False
        assert pool.size == 0
    pool.close()
    server.close()


async def replace_upstream(harness, first, **upstream_options):
    """Stops an upstream and starts another one at its address."""
    former = harness.member.upstream
    await first.stop()
    second = await harness.start_upstream(
        listen=first.address, **upstream_options
    )
    successor, harness.member.upstream = harness.member.upstream, former
    return second, successor


@pytest.mark.parametrize("upstream_options", [{}, {"id": "u2"}])
@pytest.mark.parametrize("method", ["GET", "POST"])
async def test_new_process_at_an_address_runs_no_request_for_the_old_one(
    harness, upstream_options, method
):
    """Guards against a request run by a process without the grant for it."""
    await harness.start()
    first = await harness.start_upstream(checks_fences=False)
    assert (await harness.send())[0] == 200
    second, _ = await replace_upstream(
        harness, first, checks_fences=False, **upstream_options
    )
    status, response_headers, _ = await harness.send(
        method,
        "/shopfront/notes",
        headers={"Bamboosill-Deadline-Ms": "400"},
    )
    assert response_headers["Bamboosill-Outcome"] == "not-run"
    assert status in (503, 504)
    assert second.recorder.lines == []
    assert harness.member.in_flight == 0


async def test_request_waits_for_the_route_to_the_successor(harness):
    """Guards against rejections while a restarted upstream announces itself."""
    await harness.start()
    first = await harness.start_upstream()
    assert (await harness.send())[0] == 200
    second, successor = await replace_upstream(harness, first)
    task = asyncio.create_task(harness.send())
    # Enough time for more attempts than are made after other faults.
    await asyncio.sleep(0.3)
    harness.member.upstream = successor
    assert (await task)[0] == 200
    assert len(second.recorder.lines) == 1


async def test_connections_of_two_incarnations_are_not_mixed(harness):
    """Guards against reuse of a connection for another incarnation."""
    await harness.start()
    await harness.start_upstream()
    await harness.send()
    assert harness.get_pool().size == 1
    harness.member.upstream = harness.member.upstream._replace(incarnation=1)
    response = await harness.send(headers={"Bamboosill-Deadline-Ms": "200"})
    assert response[1]["Bamboosill-Outcome"] == "not-run"


async def test_process_with_a_new_incarnation_refuses_old_connections(harness):
    """Guards against use of old grants by a process that was frozen."""
    await harness.start()
    upstream = await harness.start_upstream(checks_fences=False)
    await harness.send()
    upstream.heartbeats._renew()
    response = await harness.send(headers={"Bamboosill-Deadline-Ms": "200"})
    assert response[1]["Bamboosill-Outcome"] == "not-run"
    assert len(upstream.recorder.lines) == 1


async def test_order_is_sent_over_another_connection_after_silence(harness):
    """Guards against a rejection after one unanswered identity request."""
    await harness.start()
    upstream = await harness.start_upstream()
    identity_requests = []
    answer_identity = upstream.service._state_identity

    async def handle(request):
        if request.path == identity.PATH:
            identity_requests.append(request)
            if len(identity_requests) == 1:
                await asyncio.sleep(3600)
            return answer_identity(request)
        return await handle_work(request)

    handle_work, upstream.service.handle = upstream.service.handle, handle
    status, _, body = await harness.send(
        "POST",
        "/shopfront/orders",
        data=b"one",
        headers={
            "Bamboosill-Request-Id": "018bcfe5-6800-7000-8000-000000000001"
        },
    )
    assert (status, json.loads(body)["orders"], len(identity_requests)) == (
        201,
        1,
        2,
    )
