"""Tests of the admin API for contracts."""

import pytest

from bamboosill_common import errors

DOCUMENT = """\
customer: a
services:
  - name: shop
    zone_loss: hold
    limits: {rate_per_s: RATE, concurrency: 1}
"""


def make_body(base=0, rate=1, command_id="x", **fields):
    return {
        "command_id": command_id,
        "base_revision": base,
        "document": DOCUMENT.replace("RATE", str(rate)),
        **fields,
    }


async def put_contract(admin, *arguments, **fields):
    body = make_body(*arguments, **fields)
    return await admin.ask("PUT", "/v1/contracts/a", body)


async def test_accept_show_change_retire(admin):
    """Guards against a contract that is not stored as it was accepted."""
    status, accepted = await put_contract(admin)
    assert status == 200
    base = accepted["revision"]
    _, shown = await admin.ask("GET", "/v1/contracts/a")
    assert shown["revision"] == base
    assert shown["document"]["services"][0]["limits"]["rate_per_s"] == 1
    status, changed = await put_contract(admin, base, 2, "y")
    assert status == 200
    _, listed = await admin.ask("GET", "/v1/contracts")
    assert listed["contracts"][0]["services"] == ["shop"]
    body = {"command_id": "z", "base_revision": changed["revision"]}
    status, _ = await admin.ask("POST", "/v1/contracts/a/retire", body)
    assert status == 200
    _, shown = await admin.ask("GET", "/v1/contracts/a")
    assert shown["retired"]


async def test_conflict_and_resend(admin):
    """Guards against lost updates, and against retries applied twice."""
    first = await put_contract(admin, 0, 1, "x")
    status, document = await put_contract(admin, 0, 2, "y")
    assert (status, document["code"]) == (409, "conflict")
    assert document["revision"] == first[1]["revision"]
    assert await put_contract(admin, 0, 1, "x") == first


async def test_findings(admin):
    """Guards against validation findings missing from the response."""
    body = make_body(rate=-1, source="f.yaml")
    status, document = await admin.ask("PUT", "/v1/contracts/a", body)
    assert (status, document["code"]) == (422, "findings")
    finding = document["findings"][0]
    assert (finding["source"], finding["line"]) == ("f.yaml", 5)
    assert finding["path"] == "services[0].limits.rate_per_s"
    status, _ = await admin.ask("PUT", "/v1/contracts/b", make_body())
    assert status == 400


async def test_dry_run_changes_nothing(admin):
    """Guards against a dry run that changes the contract."""
    _, first = await put_contract(admin)
    revision = admin.state.revision
    base = first["revision"]
    status, document = await put_contract(admin, base, 5, "y", dry_run=True)
    assert status == 200
    assert document["changes"] == [
        {
            "path": "services[shop].limits.burst",
            "old": 1.0,
            "new": 5,
        },
        {
            "path": "services[shop].limits.rate_per_s",
            "old": 1,
            "new": 5,
        },
    ]
    status, document = await put_contract(admin, 0, 5, "z", dry_run=True)
    assert document["code"] == "conflict"
    assert admin.state.revision == revision


async def test_diff(admin):
    """Guards against a diff that lists unchanged fields."""
    await put_contract(admin)
    path = "/v1/contracts/a/diff"
    _, same = await admin.ask("POST", path, make_body())
    assert same["changes"] == []
    _, other = await admin.ask("POST", path, make_body(rate=3))
    assert len(other["changes"]) == 2


async def test_follower_names_the_leader(admin):
    """Guards against stale reads, and followers that do not name the leader."""
    admin.node.is_leader = False
    for method, path in (
        ("GET", "/v1/contracts"),
        ("GET", "/v1/status"),
        ("PUT", "/v1/contracts/a"),
        ("DELETE", "/v1/instances/c9"),
    ):
        status, document = await admin.ask(method, path, make_body())
        assert (status, document["leader"]) == (421, admin.address)
    assert (await admin.ask("GET", "/v1/contracts?stale=1"))[0] == 200


@pytest.mark.parametrize(
    ("error", "status", "code"),
    [
        (errors.ProposeError("timeout", "", True), 504, "unknown"),
        (errors.ProposeError("not_leader", "", True), 504, "unknown"),
        (errors.ProposeError("not_leader", "", False), 421, "not_leader"),
        (errors.ProposeError("storage", "", False), 503, "storage"),
    ],
)
async def test_command_without_result(admin, error, status, code):
    """Guards against reporting a command as failed that may be applied."""
    admin.node.failure = error
    response_status, document = await put_contract(admin)
    assert (response_status, document["code"]) == (status, code)


async def test_read_waits_for_the_barrier(admin):
    """Guards against stale reads from a leader that was replaced."""
    admin.node.failure = errors.ProposeError("timeout", "", False)
    assert (await admin.ask("GET", "/v1/contracts"))[0] == 503
