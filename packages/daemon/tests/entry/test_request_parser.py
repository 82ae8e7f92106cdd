"""Tests of validation of caller requests."""

import asyncio
import json
import random

import pytest

from bamboosill_common import auth
from bamboosill_common import requestid
from bamboosilld.entry import request_parser

GOOD_ID = requestid.make_request_id(1_700_000_000_000, random.Random(1))
HEAD = (
    b"GET /shopfront/items HTTP/1.1\r\nHost: x\r\n"
    b"Bamboosill-Customer: acme\r\nBamboosill-Key: k\r\n"
)

# Request; expected status and reason. None of them may reach an upstream.
BAD_REQUESTS = [
    ({"path": "/"}, 404, "unknown-service"),
    ({"path": "/nosuch/items"}, 404, "unknown-service"),
    ({"path": "/bamboosill/grant"}, 404, "unknown-service"),
    ({"headers": {"Bamboosill-Customer": ""}}, 400, "missing-customer"),
    ({"headers": {"Bamboosill-Customer": "bolt"}}, 404, "unknown-customer"),
    ({"headers": {"Bamboosill-Key": ""}}, 400, "missing-key"),
    ({"headers": {"Bamboosill-Key": "k" * 513}}, 400, "bad-key"),
    ({"headers": {"Bamboosill-Deadline-Ms": "0"}}, 400, "bad-deadline"),
    ({"headers": {"Bamboosill-Deadline-Ms": "-5"}}, 400, "bad-deadline"),
    ({"headers": {"Bamboosill-Deadline-Ms": "1e3"}}, 400, "bad-deadline"),
    ({"headers": {"Bamboosill-Deadline-Ms": "9" * 30}}, 400, "bad-deadline"),
    ({"headers": {"Bamboosill-Request-Id": "7"}}, 400, "bad-request-id"),
    (
        {
            "headers": {
                "Bamboosill-Request-Id": "00000000-0000-4000-8000-000000000000"
            }
        },
        400,
        "bad-request-id",
    ),
    (
        {"method": "POST", "path": "/shopfront/orders"},
        400,
        "missing-request-id",
    ),
    ({"headers": {"X-Large": "a" * 2000}}, 431, "head-too-large"),
    (
        {"method": "POST", "path": "/shopfront/notes", "data": b"a" * 5001},
        413,
        "body-too-large",
    ),
    ({"headers": {"Bamboosill-Forwarded": "x"}}, 400, "bad-forward"),
    ({"headers": {"Bamboosill-Forwarded": "3"}}, 503, "hop-limit"),
]

BAD_BYTES = [
    (b"\x16\x03\x01\x02\x00\x01\r\n\r\n", 400),
    (b"GET /shopfront/items\r\n\r\n", 400),
    (b"GET  HTTP/1.1\r\nHost: x\r\n\r\n", 400),
    (HEAD + b"Content-Length: -1\r\n\r\n", 400),
    (HEAD + b"Content-Length: 1\r\nContent-Length: 2\r\n\r\n", 400),
    (
        HEAD + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
        400,
    ),
    (HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
    (HEAD + b"X: " + b"a" * 100_000 + b"\r\n\r\n", 431),
    (HEAD + b"Bamboosill-Key: other\r\n\r\n", 400),
    # Rejected by Content-Length, before any byte of the body arrives.
    (HEAD + b"Content-Length: 5001\r\n\r\n", 413),
    (
        HEAD
        + b"Transfer-Encoding: chunked\r\n\r\n1389\r\n"
        + b"a" * 5001
        + b"\r\n",
        413,
    ),
    (
        HEAD.replace(b"Key: k", b"Key: \xff\xfe") + b"\r\n",
        400,
    ),
    (HEAD.replace(b"/shopfront", b"http://y/shopfront") + b"\r\n", 400),
]

# Non-canonical forms of a path that is not repeatable by contract.
NON_CANONICAL_PATHS = [
    "/shopfront//orders",
    "/shopfront/./orders",
    "/shopfront/x/../orders",
    "/shopfront/x/%2e%2e/orders",
    "/shopfront%2Forders",
    "/shopfront/%5corders",
    "/shopfront/%ff",
    "/shopfront/%00",
    "shopfront/orders",
]


async def test_customer_is_not_unknown_before_contracts_arrive(harness):
    """Guards against status 404 before contracts are received."""
    await harness.start()
    harness.member.ready = (False, "no control state received")
    response = await harness.send(headers={"Bamboosill-Customer": "bolt"})
    assert response[0] == 503
    assert response[1]["Bamboosill-Reason"] == "not-ready"
    assert response[1]["Bamboosill-Outcome"] == "not-run"


@pytest.mark.parametrize(("request_", "status", "reason"), BAD_REQUESTS)
async def test_bad_requests_are_refused(harness, request_, status, reason):
    """Guards against invalid requests that are dispatched or lack a reason."""
    await harness.start()
    upstream = await harness.start_upstream()
    response = await harness.send(**request_)
    assert response[0] == status
    document = json.loads(response[2])
    assert response[1]["Bamboosill-Outcome"] == document["outcome"] == "not-run"
    assert response[1]["Bamboosill-Reason"] == document["reason"] == reason
    assert document["detail"]
    assert upstream.recorder.lines == []


@pytest.mark.parametrize(("data", "status"), BAD_BYTES)
async def test_malformed_bytes_are_refused(harness, data, status):
    """Guards against malformed HTTP that is dispatched or lacks an outcome."""
    await harness.start()
    upstream = await harness.start_upstream()
    host, port = harness.entry.caller_address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(data)
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 60)
    assert head.split()[1] == str(status).encode()
    assert b"Bamboosill-Outcome: not-run" in head
    assert upstream.recorder.lines == []
    writer.close()


@pytest.mark.parametrize("raw", NON_CANONICAL_PATHS)
def test_other_spellings_of_a_path_are_refused(raw):
    """Guards against mistaking a request for a repeatable operation."""
    assert request_parser.parse_target(raw).failure().status == 400


async def test_slow_body_is_refused_at_the_deadline(harness):
    """Guards against waiting indefinitely for an incomplete body."""
    await harness.start()
    await harness.start_upstream()
    host, port = harness.entry.caller_address.split(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        HEAD + b"Bamboosill-Deadline-Ms: 50\r\nContent-Length: 9\r\n\r\nabc"
    )
    head = await asyncio.wait_for(reader.readuntil(b"\r\n\r\n"), 60)
    assert head.startswith(b"HTTP/1.1 504")
    assert b"Bamboosill-Outcome: not-run" in head
    writer.close()


@pytest.mark.parametrize(
    ("role", "subject", "customer", "extra", "status", "reason"),
    [
        ("caller", "acme", "", {}, 200, "ok"),
        ("caller", "acme", "acme", {}, 200, "ok"),
        ("caller", "acme", "bolt", {}, 403, "other-customer"),
        ("upstream", "acme", "acme", {}, 401, "bad-token"),
        ("", "", "acme", {}, 401, "no-token"),
        (
            "caller",
            "acme",
            "acme",
            {"Bamboosill-Forwarded": "1"},
            401,
            "bad-token",
        ),
        (
            "instance",
            "e2",
            "acme",
            {"Bamboosill-Forwarded": "1"},
            200,
            "ok",
        ),
        ("instance", "e2", "acme", {}, 401, "bad-token"),
    ],
)
async def test_identity_is_checked(
    harness, tmp_path, role, subject, customer, extra, status, reason
):
    """Guards against callers that act on behalf of another customer."""
    path = tmp_path / "keys.json"
    keys = [
        {
            "id": "k",
            "secret": "s" * 40,
            "roles": ["caller", "instance", "upstream"],
        }
    ]
    path.write_text(json.dumps({"keys": keys}))
    authenticator = auth.Authenticator(str(path), harness.clock)
    await harness.start(authenticator)
    await harness.start_upstream()
    request_headers = {"Bamboosill-Customer": customer, **extra}
    if role:
        token = authenticator.sign(role, subject)
        request_headers["Authorization"] = f"Bearer {token}"
    response = await harness.send(headers=request_headers)
    assert (response[0], response[1]["Bamboosill-Reason"]) == (status, reason)


async def test_upstream_gets_the_remaining_deadline_and_no_token(harness):
    """Guards against wrong deadlines, and leaked tokens and headers."""
    await harness.start()
    await harness.start_upstream()
    seen = {}
    handle = harness.upstream.service.handle

    async def record_headers(request):
        seen.update(request.headers)
        return await handle(request)

    harness.upstream.service.handle = record_headers
    response = await harness.send(
        headers={
            "Bamboosill-Deadline-Ms": "999999",
            "Bamboosill-Fence": "77",
            "Authorization": "Bearer secret",
            "Connection": "keep-alive, X-Hop",
            "X-Hop": "1",
            "X-Kept": "1",
        }
    )
    assert response[0] == 200
    assert 2000 < int(seen["Bamboosill-Deadline-Ms"]) <= 3000
    assert seen["Bamboosill-Fence"] == "5"
    left_ms = int(seen["Bamboosill-Expires-Ms"]) - harness.clock.wall_ms()
    assert left_ms <= 3000
    assert seen["X-Kept"] == "1"
    assert "X-Hop" not in seen
    assert "Authorization" not in seen
