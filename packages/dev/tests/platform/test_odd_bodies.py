"""Odd bodies from outside: each is rejected, or can be used and stored."""

import copy
import json
import os
import random

import pytest
from returns.result import Success

import api
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import state as state_lib
from bamboosilld.gateway import upstream_connection

from .test_api import _HEARTBEAT
from .test_api import _WHOLE_CONFIGURATION
from .test_api import _make_request
from .test_api import _Member

# More are run by hand.
_MESSAGES = int(os.environ.get("BAMBOOSILL_FUZZ_MESSAGES", "2000"))
_DEEP = b"[" * 100_000
_ODD_VALUES = (
    *(None, True, False, -1, 0, 2**31, 2**32, 2**63, 2**64, 2**70, 10**400),
    *(0.5, -0.0, 1e308, float("inf"), float("nan"), "", "\x00", "\ud800"),
    *("x" * 70_000, "\r\nX: y", "²", "1" * 5000, "-1ms", "1e999s", "nanms"),
    *("99999999999ms", "0x10ms", [], {}, [[]], [[0, 1, 2**64]], [[0, 1, -1]]),
    *([[0, 1, "\ud800"]], [[True, True, True]], {"columns": [], "rows": [[]]}),
    *("10.0.0.9:99999", "10.0.0.9:0", "10.0.0.9:²", "10.0.0.9:" + "9" * 5000),
    *(":80", "a b:80", "a\r\nX: y:80", "[::1]:80", "10.0.0.9:-1", "\ud800:80"),
)


async def _send(path, body, reply):
    member = _Member(Success(reply))
    response = await api.Api(member).handle(_make_request("PUT", path, body))
    return member.asked, response


async def _send_heartbeat(document, upstream="u1"):
    body = document if isinstance(document, bytes) else json.dumps(document)
    return await _send(
        f"/v1/instances/{upstream}",
        body if isinstance(body, bytes) else body.encode("utf-8"),
        messages.ReportReply(accepted=True),
    )


def _check_usable(asked):
    """Checks that a message can be sent, stored, and used by instances."""
    for message in asked:
        decoded = wire.unpack(wire.pack(message))
        assert wire.pack(decoded) == wire.pack(message)
        if isinstance(message, messages.UpstreamReport):
            state = state_lib.FleetState()
            state.apply(1, wire.pack(messages.SetUpstreams((message.item,))))
            upstream_connection.Pool(message.item.address, b"x-id")


def _spoil(rng, value):
    """Replaces one value anywhere in a document by an odd one."""
    if isinstance(value, dict | list) and value and rng.random() < 0.85:
        keys = list(value) if isinstance(value, dict) else range(len(value))
        key = rng.choice(list(keys))
        value[key] = _spoil(rng, value[key])
        return value
    return copy.deepcopy(rng.choice(_ODD_VALUES))


@pytest.mark.parametrize(
    ("part", "name", "value"),
    [
        ("", "address", "10.0.0.9:99999"),
        ("", "address", "10.0.0.9:0"),
        ("", "address", "10.0.0.9:²"),
        ("", "address", "10.0.0.9:" + "9" * 5000),
        ("", "address", "a\r\nX: y:80"),
        ("", "address", "127.0..9:8080"),
        ("", "address", "a" * 64 + ".b:80"),
        ("", "address", "host:80"),
        ("", "address", "0.0.0.0:80"),
        ("", "address", "255.255.255.255:80"),
        ("", "born", 2**64),
        ("", "born", 2**70),
        ("", "holds", [[0, 1, 2**64]]),
        ("", "holds", [[0, 1, -1]]),
        ("", "released", [[0, 1, "\ud800"]]),
        ("info", "max_concurrency", 2**32),
        ("info", "service", "\ud800"),
        ("status", "seq_no", 2**64),
        ("status", "warmup_left", "99999999999ms"),
    ],
)
async def test_an_odd_value_in_a_heartbeat_names_no_upstream(part, name, value):
    """Guards against an entry that every instance fails at when it reads it."""
    document = copy.deepcopy(_HEARTBEAT)
    (document[part] if part else document)[name] = value
    asked, response = await _send_heartbeat(document)
    assert response.status == 400
    assert not asked


@pytest.mark.parametrize(
    ("column", "value"),
    [
        *(("kind", kind) for kind in (["safe"], {"a": 1}, [], {}, 1, "x")),
        ("kind", None),
        *(
            ("traffic_split", [part])
            for part in (1, None, "service", ["service", "weight"], True)
        ),
    ],
)
async def test_an_odd_part_of_a_route_is_rejected(column, value):
    """Guards against an operator's request that ends without an answer."""
    document = copy.deepcopy(_WHOLE_CONFIGURATION)
    table = document["routes"]
    if column not in table["columns"]:
        table["columns"].append(column)
        for row in table["rows"]:
            row.append(None)
    table["rows"][0][table["columns"].index(column)] = value
    asked, response = await _send(
        "/v1/configuration", json.dumps(document).encode(), None
    )
    assert response.status == 400
    assert not asked


@pytest.mark.parametrize("path", ["/v1/instances/u1", "/v1/configuration"])
@pytest.mark.parametrize(
    "body", [_DEEP, b'{"a":' * 100_000, b'{"born":1e999}', b"9" * 5000, b"NaN"]
)
async def test_deep_and_huge_bodies_are_rejected(path, body):
    """Guards against a connection that ends without an answer."""
    asked, response = await _send(path, body, None)
    assert response.status == 400
    assert not asked


@pytest.mark.parametrize("upstream", ["", "a b", "\xff", "x" * 300, "a\nb"])
async def test_odd_ids_name_no_upstream(upstream):
    """Guards against an id that no header can carry."""
    asked, response = await _send_heartbeat(_HEARTBEAT, upstream)
    assert response.status == 400
    assert not asked


async def test_heartbeats_with_random_odd_values():
    """Guards against a heartbeat that is accepted but cannot be used."""
    rng = random.Random(1)
    for _ in range(_MESSAGES):
        document = _spoil(rng, copy.deepcopy(_HEARTBEAT))
        asked, response = await _send_heartbeat(document)
        assert response.status in (200, 400)
        _check_usable(asked)


async def test_configurations_with_random_odd_values():
    """Guards against a configuration that is neither refused nor usable."""
    rng = random.Random(2)
    for _ in range(_MESSAGES):
        document = _spoil(rng, copy.deepcopy(_WHOLE_CONFIGURATION))
        asked, response = await _send(
            "/v1/configuration",
            json.dumps(document).encode("utf-8"),
            messages.SubmitReply("accepted", 7, ""),
        )
        assert response.status in (200, 400)
        _check_usable(asked)


async def test_bodies_with_random_bytes():
    """Guards against a reader that fails on bytes that are no JSON."""
    rng = random.Random(3)
    whole = json.dumps(_HEARTBEAT).encode()
    for _ in range(_MESSAGES):
        body = bytearray(whole)
        for _ in range(rng.randrange(1, 8)):
            body[rng.randrange(len(body))] = rng.randrange(256)
        asked, response = await _send_heartbeat(bytes(body))
        assert response.status in (200, 400)
        _check_usable(asked)
