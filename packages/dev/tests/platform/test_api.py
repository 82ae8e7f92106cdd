"""The platform's control API."""

import copy
import json

import pytest
from returns.result import Failure
from returns.result import Success

import api
from bamboosill_common import errors
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import configuration as configuration_lib
from bamboosilld.gateway import http_messages
import configuration

_TRAFFIC_SPLIT = [
    {"service": "s", "weight": 90},
    {"service": "k", "weight": 10},
]
_WHOLE_CONFIGURATION = {
    "version": "r7",
    "routes": {
        "columns": [
            "name",
            "host",
            "path_prefix",
            "kind",
            "timeout",
            "slo_latency",
            "priority",
            "service",
            "max_attempts",
            "traffic_split",
        ],
        "rows": [
            [
                "r1",
                "h",
                "/a/",
                "non_idempotent",
                "800ms",
                "400ms",
                1,
                "s",
                2,
                None,
            ],
            [
                "r2",
                "h",
                "/b/",
                "safe",
                "1200ms",
                "300ms",
                2,
                None,
                2,
                _TRAFFIC_SPLIT,
            ],
        ],
    },
    "services": {
        "columns": [
            "name",
            "health_path",
            "max_connections",
            "protocol",
            "tls",
            "sharding",
            "warm",
            "grants",
            "warmup",
            "warmup_per_s",
        ],
        "rows": [
            ["s", "/health", 130, "h1", False, None, None, None, None, None],
            [
                "k",
                "/health",
                130,
                "h1",
                False,
                True,
                "3000ms",
                "heartbeat",
                "3s",
                4.2,
            ],
        ],
    },
    "limits": {
        "max_header_bytes": 16384,
        "max_body_bytes": 67108864,
        "header_timeout": "3000ms",
        "idle_timeout": "15000ms",
    },
}
_HEARTBEAT = {
    "address": "10.0.0.9:80",
    "born": 1773183434012,
    "info": {
        "service": "k",
        "version": "v1",
        "zone": "z1",
        "max_concurrency": 3,
    },
    "status": {"state": "ready", "seq_no": 4, "warmup_left": "10ms"},
    "holds": [[0, 4095, 7]],
    "released": [[4096, 8191, "token"]],
}


class _Member:
    """A control member that records messages and returns a fixed reply."""

    def __init__(self, reply):
        self.reply = reply
        self.asked = []

    async def call(self, message, reply_type):
        self.asked.append(message)
        return self.reply


def _make_request(method, path, document=None, **headers):
    body = document
    if not isinstance(document, bytes):
        body = b"" if document is None else json.dumps(document).encode()
    pairs = [
        (name.replace("_", "-").encode(), value.encode())
        for name, value in headers.items()
    ]
    return http_messages.Request(method, path, pairs, body, True)


async def _submit_change(document, outcome="accepted", method="PUT", base="r5"):
    member = _Member(Success(messages.SubmitReply(outcome, 7, "")))
    response = await api.Api(member).handle(
        _make_request(method, "/v1/configuration", document, if_match=base)
    )
    return member, response


async def test_a_configuration_is_read_back_as_it_was_sent():
    """Guards against a value that is lost in decoding or encoding."""
    member, response = await _submit_change(_WHOLE_CONFIGURATION)
    assert response.status == 200
    change = member.asked[0].change
    assert (change.version, change.base) == (7, 5)
    assert not change.routes[0].idempotent
    assert change.routes[1].idempotent
    applied = configuration_lib.apply_change(messages.Configuration(), change)
    assert not configuration_lib.check_change(messages.Configuration(), change)
    member = _Member(Success(messages.ConfigurationReply(applied)))
    response = await api.Api(member).handle(
        _make_request("GET", "/v1/configuration")
    )
    document = json.loads(response.body)
    assert document["version"] == "r7"
    assert document["limits"] == _WHOLE_CONFIGURATION["limits"]
    for part in ("routes", "services"):
        sent, read = _WHOLE_CONFIGURATION[part], document[part]
        assert [
            dict(zip(sent["columns"], row, strict=True)) for row in sent["rows"]
        ] == [
            dict(zip(read["columns"], row, strict=True)) for row in read["rows"]
        ]


def test_a_configuration_without_cold_limits_has_no_columns_for_them():
    """Guards against columns that were not sent, in a configuration read."""
    service = messages.ServiceItem("s", warmup_ms=1500)
    for services, warmup in (((), None), ((service,), "1500ms")):
        read = configuration.encode(
            messages.Configuration(
                services=(messages.ServiceItem("p"), *services)
            )
        )["services"]
        rows = [
            dict(zip(read["columns"], row, strict=True)) for row in read["rows"]
        ]
        assert "warmup_per_s" not in rows[0]
        assert rows[-1].get("warmup") == warmup


@pytest.mark.parametrize(
    ("outcome", "status"),
    [
        ("accepted", 200),
        ("repeated", 200),
        ("conflict", 412),
        ("invalid", 422),
    ],
)
async def test_each_outcome_has_its_status(outcome, status):
    """Guards against a status that reports another outcome to an operator."""
    _, response = await _submit_change(_WHOLE_CONFIGURATION, outcome)
    assert response.status == status


@pytest.mark.parametrize(
    "spoil",
    [
        lambda document: document.pop("limits"),
        lambda document: document.pop("routes"),
        lambda document: document.update(version=7),
        lambda document: document.update(version="7x"),
        lambda document: document["routes"]["rows"][0].pop(),
        lambda document: document["routes"]["rows"][0].__setitem__(3, "odd"),
        lambda document: document["routes"]["rows"][0].__setitem__(4, "fast"),
        lambda document: document["routes"]["rows"][0].__setitem__(7, None),
        lambda document: document["services"]["rows"][0].__setitem__(2, -1),
        lambda document: document["services"]["rows"][1].__setitem__(8, 3),
        lambda document: document["services"]["rows"][1].__setitem__(9, -1),
        lambda document: document["services"]["rows"][1].__setitem__(9, "4"),
        lambda document: document["limits"].update(max_body_bytes="big"),
    ],
)
async def test_a_malformed_configuration_changes_nothing(spoil):
    """Guards against a configuration that is applied in part."""
    document = copy.deepcopy(_WHOLE_CONFIGURATION)
    spoil(document)
    member, response = await _submit_change(document)
    assert response.status == 400
    assert not member.asked


async def test_a_truncated_body_changes_nothing():
    """Guards against applying the first part of a configuration."""
    member, response = await _submit_change(
        json.dumps(_WHOLE_CONFIGURATION).encode()[:-9]
    )
    assert response.status == 400
    assert not member.asked


async def test_a_partial_change_names_its_items():
    """Guards against a partial change that replaces the whole."""
    document = {
        "version": "r9",
        "upsert": {"routes": _WHOLE_CONFIGURATION["routes"]},
        "remove": {"routes": ["old"]},
    }
    member, _ = await _submit_change(document, method="PATCH", base="r7")
    change = member.asked[0].change
    assert not change.whole
    assert not change.has_limits
    assert change.removed_routes == ("old",)
    assert len(change.routes) == 2


async def test_the_same_change_has_the_same_digest():
    """Guards against rejecting a change that is sent again."""
    first, _ = await _submit_change(_WHOLE_CONFIGURATION)
    second, _ = await _submit_change(
        json.loads(json.dumps(_WHOLE_CONFIGURATION))
    )
    other, _ = await _submit_change(_WHOLE_CONFIGURATION, base="r6")
    digests = [each.asked[0].change.digest for each in (first, second, other)]
    assert digests[0] == digests[1] != digests[2]


async def test_without_a_leader_all_requests_get_503():
    """Guards against a response from state that may be stale."""
    member = _Member(Failure(errors.PeerError("no_leader", "", False)))
    for request in (
        _make_request("GET", "/v1/configuration"),
        _make_request("PUT", "/v1/configuration", _WHOLE_CONFIGURATION),
        _make_request("PUT", "/v1/instances/u1", _HEARTBEAT),
        _make_request("DELETE", "/v1/instances/u1"),
    ):
        assert (await api.Api(member).handle(request)).status == 503


_ZONES = frozenset(("z1", "zone-b"))
_COMMITTED = Success(messages.ChangeEvacuationReply())


@pytest.mark.parametrize(
    ("method", "zone", "status", "is_evacuated"),
    [
        ("POST", "z1", 200, True),
        ("DELETE", "z1", 200, False),
        ("POST", "zone-b?x=1", 200, True),
        ("POST", "z2", 404, None),
        ("DELETE", "z2", 404, None),
        ("POST", "", 404, None),
        ("POST", "z1/", 404, None),
        ("POST", "Z1", 404, None),
        ("GET", "z2", 404, None),
        ("GET", "z1", 405, None),
        ("PUT", "z1", 405, None),
    ],
)
async def test_orders_to_evacuate_name_a_known_zone(
    method, zone, status, is_evacuated
):
    """Guards against an order for another zone, or of another meaning."""
    member = _Member(_COMMITTED)
    response = await api.Api(member, _ZONES).handle(
        _make_request(method, f"/v1/evacuation/{zone}")
    )
    assert response.status == status
    assert [tuple(each) for each in member.asked] == (
        [] if is_evacuated is None else [(zone.partition("?")[0], is_evacuated)]
    )


@pytest.mark.parametrize("method", ["POST", "DELETE", "GET"])
async def test_without_zones_there_are_no_calls_to_evacuate(method):
    """Guards against calls that the deployment has not agreed on."""
    member = _Member(_COMMITTED)
    response = await api.Api(member).handle(
        _make_request(method, "/v1/evacuation/z1")
    )
    assert response.status == 404
    assert not member.asked


@pytest.mark.parametrize("code", ["no_leader", "timeout", "unavailable"])
@pytest.mark.parametrize("method", ["POST", "DELETE"])
async def test_an_order_that_may_not_be_committed_gets_503(method, code):
    """Guards against an acknowledged order that nobody follows."""
    member = _Member(Failure(errors.PeerError(code, "", False)))
    response = await api.Api(member, _ZONES).handle(
        _make_request(method, "/v1/evacuation/z1")
    )
    assert response.status == 503


async def test_a_heartbeat_is_answered_with_its_keys():
    """Guards against granted keys that the reply leaves out."""
    reply = messages.ReportReply(
        accepted=True,
        renewed=True,
        lease_ms=4000,
        grants=(messages.KeyRange(0, 4095, 7, "u1", 1, "token"),),
    )
    member = _Member(Success(reply))
    response = await api.Api(member).handle(
        _make_request("PUT", "/v1/instances/u1", _HEARTBEAT)
    )
    assert json.loads(response.body) == {
        "holds": [[0, 4095, 7, "token"]],
        "hold_time": "4000ms",
    }
    (report,) = member.asked
    assert report.sequence == 4
    assert report.item.born_ms == 1773183434012
    assert report.item.warmup_ms == 10
    assert report.holds[0][:3] == (0, 4095, 7)
    assert report.released[0] == (4096, 8191, "token")


async def test_the_reply_to_a_late_heartbeat_lists_no_keys():
    """Guards against a lease that is renewed by a late heartbeat."""
    member = _Member(Success(messages.ReportReply(accepted=True)))
    response = await api.Api(member).handle(
        _make_request("PUT", "/v1/instances/u1", _HEARTBEAT)
    )
    assert response.status == 200
    assert b"holds" not in response.body


@pytest.mark.parametrize(
    ("part", "name", "value"),
    [
        ("", "address", None),
        ("", "address", "nowhere"),
        ("", "born", None),
        ("", "born", True),
        ("", "born", 1.5),
        ("", "holds", [[0, 70000, 1]]),
        ("", "holds", [[5, 4, 1]]),
        ("", "released", [[0, 1, 2]]),
        ("", "info", 5),
        ("info", "service", 7),
        ("info", "max_concurrency", "many"),
        ("status", "state", "sleepy"),
        ("status", "seq_no", -1),
        ("status", "warmup_left", "soon"),
    ],
)
async def test_malformed_heartbeats_register_no_upstream(part, name, value):
    """Guards against registering an upstream from a malformed heartbeat."""
    document = copy.deepcopy(_HEARTBEAT)
    (document[part] if part else document)[name] = value
    member = _Member(Success(messages.ReportReply(accepted=True)))
    response = await api.Api(member).handle(
        _make_request("PUT", "/v1/instances/u1", document)
    )
    assert response.status == 400
    assert not member.asked


@pytest.mark.parametrize("body", [b"", b"\xff\x00", b"[]", b"null", b"7"])
async def test_bodies_that_are_no_heartbeat_are_rejected(body):
    """Guards against a handler that fails on unexpected bytes."""
    member = _Member(Success(messages.ReportReply(accepted=True)))
    response = await api.Api(member).handle(
        _make_request("PUT", "/v1/instances/u1", body)
    )
    assert response.status == 400


@pytest.mark.parametrize(
    ("method", "path", "status"),
    [
        ("POST", "/v1/configuration", 405),
        ("GET", "/v1/instances/u1", 405),
        ("GET", "/nowhere", 404),
    ],
)
async def test_unknown_methods_and_paths_are_rejected(method, path, status):
    """Guards against requests that are handled as different ones."""
    response = await api.Api(_Member(None)).handle(_make_request(method, path))
    assert response.status == status
