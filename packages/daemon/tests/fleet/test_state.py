"""Commands, snapshots and copies of the fleet's state."""

import zlib

import pytest

from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import compression
from bamboosilld.fleet import state as state_lib

from .conftest import make_configuration
from .conftest import make_item


def _apply(state, index, command):
    return state.apply(index, wire.pack(command))


def test_a_change_that_is_sent_again_is_not_rejected():
    """Guards against rejecting a change whose first reply was lost."""
    state = state_lib.FleetState()
    first, second = make_configuration(1, 0), make_configuration(5, 1)
    assert _apply(state, 1, first) == "accepted"
    assert _apply(state, 2, second) == "accepted"
    assert _apply(state, 3, first) == "repeated"
    assert state.configuration.version == 5


@pytest.mark.parametrize(
    ("change", "outcome"),
    [
        (make_configuration(3, 1), "accepted"),
        (make_configuration(3, 0), "conflict"),
        (make_configuration(3, 2), "conflict"),
        (make_configuration(1, 1, digest=b"other"), "invalid"),
        (make_configuration(3, 1, services=()), "invalid"),
        (make_configuration(3, 1, has_limits=False), "invalid"),
    ],
)
def test_only_a_valid_change_of_the_current_version_is_accepted(
    change, outcome
):
    """Guards against lost updates and against invalid changes."""
    state = state_lib.FleetState()
    _apply(state, 1, make_configuration(1, 0))
    assert _apply(state, 2, change) == outcome
    assert state.configuration.version == (3 if outcome == "accepted" else 1)


@pytest.mark.parametrize(
    "fault",
    [
        {"timeout_ms": 0},
        {"max_upstreams": 0},
        {"path_prefix": "a/"},
        {"service": "nobody"},
        {"shares": (messages.TrafficShare("plain", 0.0),)},
        {"shares": (messages.TrafficShare("nobody", 1.0),)},
    ],
)
def test_an_invalid_route_is_rejected(fault):
    """Guards against routes that could serve no request."""
    route = make_configuration().routes[0]._replace(**fault)
    state = state_lib.FleetState()
    change = make_configuration(2, 0, routes=(route,))
    assert _apply(state, 1, change) == "invalid"
    assert state.configuration.version == 0


def test_named_items_are_changed_and_removed():
    """Guards against a partial change that removes or keeps too much."""
    state = state_lib.FleetState()
    _apply(state, 1, make_configuration(1, 0))
    route = make_configuration().routes[0]
    change = messages.ChangeConfiguration(
        version=2,
        base=1,
        digest=b"2",
        routes=(route._replace(name="r2", path_prefix="/b/"),),
        removed_routes=("r1",),
    )
    assert _apply(state, 2, change) == "accepted"
    assert [each.name for each in state.configuration.routes] == ["r2"]
    assert len(state.configuration.services) == 2
    assert state.configuration.limits.max_header_bytes == 16384


def test_a_later_life_replaces_earlier_ones():
    """Guards against requests to an address that another process uses now."""
    state = state_lib.FleetState()
    old = make_item("u1", 10, address="10.0.0.1:80")
    new = make_item("u2", 20, address="10.0.0.1:80", service="plain")
    for index, item in enumerate((old, new, old), 1):
        _apply(state, index, messages.SetUpstreams(upstreams=(item,)))
    assert list(state.upstreams) == ["u2"]
    assert state.has_ended(state_lib.UpstreamIncarnation("u1", 10))


def test_an_upstream_that_left_does_not_come_back_by_a_late_report():
    """Guards against a delayed heartbeat that restores a stopped upstream."""
    state = state_lib.FleetState()
    item = make_item("u1", 10)
    gone = messages.UpstreamLife("u1", 10, "left")
    _apply(state, 1, messages.SetUpstreams(upstreams=(item,)))
    _apply(state, 2, messages.SetUpstreams(gone=(gone,)))
    _apply(state, 3, messages.SetUpstreams(upstreams=(item,)))
    assert not state.upstreams


def test_a_silent_upstream_may_come_back():
    """Guards against rejecting an upstream that was only unreachable."""
    state = state_lib.FleetState()
    item = make_item("u1", 10)
    gone = messages.UpstreamLife("u1", 10, "silent")
    _apply(state, 1, messages.SetUpstreams(gone=(gone,)))
    _apply(state, 2, messages.SetUpstreams(upstreams=(item,)))
    assert state.upstreams == {"u1": item}


def test_keys_are_reassigned_only_from_the_fence_that_was_seen():
    """Guards against two upstreams that are granted the same free keys."""
    state = state_lib.FleetState()
    _apply(state, 1, make_configuration(1, 0))
    first = messages.KeyRange(0, 99, 0, "u1", 1)
    second = messages.KeyRange(50, 199, 0, "u2", 1)
    _apply(state, 2, messages.SetKeys("keyed", (first,)))
    _apply(state, 3, messages.SetKeys("keyed", (second,)))
    held = [
        (each.first, each.last, each.upstream, each.fence)
        for each in state.keys["keyed"].ranges
    ]
    assert held == [
        (0, 99, "u1", 2),
        (100, 199, "u2", 3),
        (200, 65535, "", 0),
    ]


def test_a_snapshot_contains_the_whole_state():
    """Guards against state that is missing after a restart or in a new copy."""
    state = state_lib.FleetState()
    _apply(state, 1, make_configuration(1, 0))
    _apply(state, 2, messages.SetUpstreams(upstreams=(make_item("u1"),)))
    gone = messages.UpstreamLife("u9", 3, "left")
    _apply(state, 3, messages.SetUpstreams(gone=(gone,)))
    keys = messages.KeyRange(0, 99, 0, "u1", 1, "token")
    _apply(state, 4, messages.SetKeys("keyed", (keys,)))
    copy = state_lib.FleetState()
    copy.restore(state.snapshot())
    assert copy.snapshot() == state.snapshot()
    assert copy.revision == 4
    assert copy.has_accepted(make_configuration(1, 0).digest)


def test_commands_before_a_snapshot_are_not_offered():
    """Guards against a copy that skips commands unnoticed."""
    state = state_lib.FleetState()
    _apply(state, 1, make_configuration(1, 0))
    copy = state_lib.FleetState()
    copy.restore(state.snapshot())
    assert copy.list_commands(0) is None
    _apply(copy, 7, messages.SetUpstreams(upstreams=(make_item("u1"),)))
    assert [each.revision for each in copy.list_commands(1)] == [7]
    assert copy.list_commands(8) is None


@pytest.mark.parametrize(
    "damage",
    [
        lambda data: b"",
        lambda data: b"no snapshot",
        lambda data: data[:-9],
        lambda data: data[: len(data) // 2],
        lambda data: zlib.compress(b"no message"),
        lambda data: zlib.compress(bytes(100_000)),
    ],
)
def test_a_damaged_snapshot_is_refused_and_changes_nothing(damage, monkeypatch):
    """Guards against a follower that one bad snapshot ends."""
    monkeypatch.setattr(compression, "_MAX_UNPACKED_BYTES", 50_000)
    state = state_lib.FleetState()
    state.apply(1, wire.pack(make_configuration()))
    before = state.snapshot()
    with pytest.raises(wire.DecodeError):
        state.restore(damage(before))
    assert state.snapshot() == before
