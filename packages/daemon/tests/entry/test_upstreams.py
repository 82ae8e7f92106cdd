"""Tests of announcements and heartbeats of upstreams."""

import json

import pytest
from returns.result import Failure
from returns.result import Success

from bamboosill_common import auth
from bamboosill_common import errors
from bamboosill_common.generated import zone as zone_messages

ANNOUNCE = {
    "id": "u1",
    "incarnation": 7,
    "service": "shopfront",
    "zone": "z1",
    "address": "127.0.0.1:9000",
    "slots": 6,
    "connections": 110,
    "checks_fences": True,
    "accepts_cancellation": True,
    "accepts_deadlines": False,
    "state": "cold",
}
HEARTBEAT = {
    "id": "u1",
    "incarnation": 7,
    "state": "warm",
    "in_flight": 1,
    "queue": 0,
    "latency_ms": 1.5,
    "grants_version": 0,
}


async def post(harness, path, document, **request_options):
    async with harness.session.post(
        f"http://{harness.entry.upstream_address}{path}",
        data=document
        if isinstance(document, bytes)
        else json.dumps(document).encode(),
        **request_options,
    ) as response:
        return response.status, await response.json()


async def test_announcement_reaches_the_authority(harness):
    """Guards against fields that are lost or swapped."""
    await harness.start()
    status, reply = await post(harness, "/v1/announce", ANNOUNCE)
    assert (status, reply) == (200, {"code": "ok"})
    assert harness.member.announced == [zone_messages.Upstream(**ANNOUNCE)]


async def test_heartbeat_returns_the_grants_of_the_authority(harness):
    """Guards against grants that differ from those of the zone authority."""
    await harness.start()
    grants = (
        zone_messages.Grant("shopfront/lapse/all", 3, 9),
        zone_messages.Grant("shopfront/hold/all", 4, 8, "acme\x1fk"),
    )
    harness.member.beat_result = Success(
        zone_messages.UpstreamBeatReply("ok", 1500, 77, False, grants, "", 900)
    )
    status, reply = await post(harness, "/v1/heartbeat", HEARTBEAT)
    assert status == 200
    assert reply["lease_ms"] == 1500
    assert reply["lapse_lease_ms"] == 900
    assert reply["grants"] == [
        {
            "keyspace": "shopfront/lapse/all",
            "shard": 3,
            "fence": 9,
            "lapse": True,
        },
        {
            "keyspace": "shopfront/hold/all",
            "shard": 4,
            "fence": 8,
            "lapse": False,
            "key": "acme\x1fk",
        },
    ]
    assert harness.member.beats == [zone_messages.UpstreamBeat(**HEARTBEAT)]


def remove_field(document, name):
    return {key: value for key, value in document.items() if key != name}


MALFORMED = [
    ("/v1/announce", b"{"),
    ("/v1/announce", b"\xff"),
    ("/v1/announce", b"[]"),
    ("/v1/announce", b"[" * 10_000),
    ("/v1/announce", json.dumps(ANNOUNCE)[:-1].encode() + b', "id": "u1"}'),
    *(("/v1/announce", remove_field(ANNOUNCE, name)) for name in ANNOUNCE),
    *(("/v1/heartbeat", remove_field(HEARTBEAT, name)) for name in HEARTBEAT),
    *(
        ("/v1/announce", {**ANNOUNCE, name: value})
        for name, value in [
            ("id", ""),
            ("id", "a" * 129),
            ("id", "a\nb"),
            ("id", 5),
            ("incarnation", 0),
            ("incarnation", -1),
            ("incarnation", 2**64),
            ("incarnation", 1.5),
            ("incarnation", True),
            ("incarnation", "7"),
            ("slots", 0),
            ("connections", 0),
            ("checks_fences", 1),
            ("state", "hot"),
            ("address", "example.org:80"),
            ("address", "127.0.0.1"),
            ("address", "127.0.0.1:0"),
            ("address", "0.0.0.0:80"),
            ("address", "127.0.0.1:99999"),
        ]
    ),
    *(
        ("/v1/heartbeat", {**HEARTBEAT, name: value})
        for name, value in [
            ("state", "gone"),
            ("in_flight", -1),
            ("in_flight", 1.5),
            ("latency_ms", -1),
            ("latency_ms", "1"),
            ("grants_version", 2**64),
        ]
    ),
    ("/v1/heartbeat", json.dumps(HEARTBEAT).replace("1.5", "NaN").encode()),
]


@pytest.mark.parametrize(("path", "document"), MALFORMED)
async def test_malformed_documents_are_refused(harness, path, document):
    """Guards against invalid fields that reach the zone group."""
    await harness.start()
    status, reply = await post(harness, path, document)
    assert (status, reply["code"]) == (400, "malformed")
    assert reply["details"]
    assert harness.member.announced == harness.member.beats == []


@pytest.mark.parametrize(
    ("path", "document", "changes", "status", "code"),
    [
        ("/v1/other", ANNOUNCE, {}, 404, "unknown_path"),
        ("/v1/announce", b"a" * 20_000, {}, 413, "too_large"),
        (
            "/v1/announce",
            {**ANNOUNCE, "zone": "z2"},
            {},
            400,
            "wrong_zone",
        ),
    ],
)
async def test_other_refusals(harness, path, document, changes, status, code):
    """Guards against rejections without a code."""
    await harness.start()
    received_status, reply = await post(harness, path, document, **changes)
    assert (received_status, reply["code"]) == (status, code)


@pytest.mark.parametrize(
    ("code", "status"),
    [
        ("announce", 409),
        ("unknown_incarnation", 409),
        ("old_incarnation", 409),
        ("not_leader", 503),
        ("anything", 503),
    ],
)
async def test_codes_of_the_authority(harness, code, status):
    """Guards against an upstream that continues with an ended incarnation."""
    await harness.start()
    harness.member.beat_result = Success(
        zone_messages.UpstreamBeatReply(code=code)
    )
    received_status, reply = await post(harness, "/v1/heartbeat", HEARTBEAT)
    assert (received_status, reply["code"]) == (status, code)


async def test_authority_that_cannot_be_reached(harness):
    """Guards against inventing grants while the authority is unreachable."""
    await harness.start()
    harness.member.beat_result = Failure(
        errors.PeerError("timeout", "no reply", True)
    )
    harness.member.announce_result = Failure(
        errors.ProposeError("timeout", "no reply", True)
    )
    for path, document in (
        ("/v1/announce", ANNOUNCE),
        ("/v1/heartbeat", HEARTBEAT),
    ):
        status, reply = await post(harness, path, document)
        assert (status, reply["code"]) == (503, "authority_unreachable")


@pytest.mark.parametrize(
    ("role", "subject", "status"),
    [
        ("upstream", "u1", 200),
        ("upstream", "u2", 403),
        ("caller", "u1", 401),
        ("", "", 401),
    ],
)
async def test_identity_of_upstreams(harness, tmp_path, role, subject, status):
    """Guards against an upstream that impersonates another one."""
    path = tmp_path / "keys.json"
    keys = [{"id": "k", "secret": "s" * 40, "roles": ["caller", "upstream"]}]
    path.write_text(json.dumps({"keys": keys}))
    authenticator = auth.Authenticator(str(path), harness.clock)
    await harness.start(authenticator)
    request_headers = {}
    if role:
        token = authenticator.sign(role, subject)
        request_headers["Authorization"] = f"Bearer {token}"
    for name, document in (("announce", ANNOUNCE), ("heartbeat", HEARTBEAT)):
        received_status, _ = await post(
            harness, f"/v1/{name}", document, headers=request_headers
        )
        assert received_status == status
