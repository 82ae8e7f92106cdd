"""Tests of health, readiness, metrics, events, authentication and errors."""

import pytest


async def test_readiness_lists_reasons(admin):
    """Guards against load balancers that route to an unready instance."""
    assert await admin.ask("GET", "/readyz") == (
        200,
        {"ready": True, "reasons": []},
    )
    admin.reasons = ("no lease",)
    assert await admin.ask("GET", "/readyz") == (
        503,
        {"ready": False, "reasons": ["no lease"]},
    )
    status, _ = await admin.ask("GET", "/healthz")
    assert status == 200


async def test_metrics_and_events(admin):
    """Guards against events returned twice, and missing metrics."""
    admin.timeline.record("a", "one")
    _, first = await admin.ask("GET", "/v1/events")
    stamp = first["events"][-1]["stamp"]
    admin.timeline.record("a", "two")
    _, second = await admin.ask("GET", f"/v1/events?since={stamp}")
    assert [each["name"] for each in second["events"]] == ["two"]
    assert (await admin.ask("GET", "/v1/events?since=x"))[0] == 400
    response = await admin.client.get("/metrics")
    assert "bamboosill_peer" in await response.text()


@pytest.mark.parametrize(
    ("role", "status"), [("operator", 200), ("caller", 401), ("", 401)]
)
async def test_api_requires_operator_token(admin_with_keys, role, status):
    """Guards against commands from clients without an operator token."""
    token = admin_with_keys.authenticator.sign(role) if role else ""
    headers = {"Authorization": f"Bearer {token}"}
    for path in ("/v1/contracts", "/v1/events", "/v1/local/upstreams"):
        response = await admin_with_keys.ask("GET", path, headers=headers)
        assert response[0] == status
    assert (await admin_with_keys.ask("GET", "/healthz"))[0] == 200


@pytest.mark.parametrize(
    ("data", "status"),
    [
        (b"", 400),
        (b"{", 400),
        (b"[]", 400),
        (b"[" * 100_000, 400),
        (b" " * 300_000, 413),
        (b"{}", 400),
        (b'{"command_id": 1}', 400),
        (b'{"command_id": "x", "base_revision": -1}', 400),
        (b'{"command_id": "x", "base_revision": true}', 400),
        (b'{"command_id": "x", "base_revision": 1e400}', 400),
        (b'{"command_id": "' + b"x" * 65 + b'", "base_revision": 1}', 400),
    ],
)
async def test_bad_bodies(admin, data, status):
    """Guards against bodies that crash an instance or exhaust its memory."""
    response = await admin.client.post("/v1/contracts/a/retire", data=data)
    assert response.status == status
    assert set(await response.json()) >= {"code", "detail", "findings"}


async def test_unknown_path(admin):
    """Guards against error responses that are not JSON."""
    status, document = await admin.ask("GET", "/v1/nothing")
    assert (status, document["code"]) == (404, "http")
