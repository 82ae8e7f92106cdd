"""Effective slots, as the leader derives them from measured latencies."""

import logging
import math
import random

import pytest

from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import effective_slots as effective_slots_lib
from bamboosilld.fleet import follower as follower_lib
from bamboosilld.fleet import observations as observations_lib

from .conftest import Clock
from .conftest import make_item

_SLOTS = 6
_RESPONSE_MS = 150.0


def _play(
    effective_slots, clock, knee, parts=(1, 2, 3, 4), seconds=20, rng=None
):
    """Adds responses of an upstream that slows down beyond a utilisation."""
    for _ in range(seconds):
        clock.now_s += 1.0
        for part in parts:
            # Six and two slots have about this utilisation in a part.
            utilisation = (0.17, 0.42, 0.67, 0.92)[part - 1]
            noise = rng.lognormvariate(-0.32, 0.8) if rng else 1.0
            effective_slots.add(
                "u1", part, max(1.0, utilisation / knee) * noise, _RESPONSE_MS
            )


def _make():
    clock = Clock()
    return effective_slots_lib.EffectiveSlots(clock), clock


@pytest.mark.parametrize("knee", [0.2, 0.35, 0.5])
def test_effective_slots_are_where_throughput_stops_growing(knee):
    """Guards against an upstream that is loaded until it is slow."""
    effective_slots, clock = _make()
    _play(effective_slots, clock, knee, seconds=60)
    assert effective_slots.get_share("u1", _SLOTS) == pytest.approx(
        knee, abs=0.12
    )


@pytest.mark.parametrize("slots", [1, 2, 3, 4, 6, 32])
def test_upstreams_that_do_not_slow_down_keep_their_slots(slots):
    """Guards against capacity that is lost to noisy latencies."""
    rng = random.Random(1)
    total = 0.0
    for _ in range(100):
        effective_slots, clock = _make()
        _play(effective_slots, clock, 1.0, rng=rng)
        total += effective_slots.get_slots("u1", slots)
    assert total >= 0.97 * 100 * slots


def test_a_slowdown_without_a_limit_of_throughput_keeps_the_slots():
    """Guards against slots that are not used although they add throughput."""
    effective_slots, _ = _make()
    for part, relative in enumerate((1.0, 1.1, 1.25, 1.4), 1):
        effective_slots.add("u1", part, relative, 1e6)
    assert effective_slots.get_share("u1", _SLOTS) == 1.0


def test_effective_slots_follow_what_demand_shows():
    """Guards against values of a time when a neighbour used the machine.

    Without demand beyond them, they are kept, as nothing is known; for a while.
    """
    effective_slots, clock = _make()
    _play(effective_slots, clock, 0.35)
    found = effective_slots.get_share("u1", _SLOTS)
    assert found < 0.5
    _play(effective_slots, clock, 0.35, parts=(1,), seconds=40)
    assert effective_slots.get_share("u1", _SLOTS) == found
    _play(effective_slots, clock, 1.0, seconds=60)
    assert effective_slots.get_share("u1", _SLOTS) == 1.0
    _play(effective_slots, clock, 0.35, seconds=60)
    assert effective_slots.get_share("u1", _SLOTS) < 0.5
    _play(effective_slots, clock, 0.35, parts=(1,), seconds=80)
    assert effective_slots.get_slots("u1", _SLOTS) == _SLOTS


@pytest.mark.parametrize(
    ("part", "relative", "baseline_ms"),
    [
        (5, 3.0, 1e6),
        (0, 3.0, 1e6),
        (4, math.nan, 1e6),
        (4, -1.0, 1e6),
        (4, 3.0, math.inf),
    ],
)
def test_values_that_are_not_valid_are_ignored(part, relative, baseline_ms):
    """Guards against one faulty instance that ends all measurements."""
    effective_slots, clock = _make()
    _play(effective_slots, clock, 1.0)
    effective_slots.add("u1", part, relative, baseline_ms)
    assert effective_slots.get_share("u1", _SLOTS) == 1.0


def test_wrong_measurements_weigh_as_much_as_their_responses():
    """Guards against one faulty instance that takes an upstream's slots."""
    effective_slots, clock = _make()
    _play(effective_slots, clock, 1.0, seconds=100)
    effective_slots.add("u1", 4, 50.0, 0.01 * _RESPONSE_MS)
    assert effective_slots.get_share("u1", _SLOTS) == 1.0


def test_only_effective_slots_that_differ_are_sent():
    """Guards against a byte per upstream on narrow links without need."""
    effective_slots, clock = _make()
    upstreams = [("u0", _SLOTS), ("u1", _SLOTS)]
    _play(effective_slots, clock, 1.0)
    assert effective_slots.encode(upstreams) == b""
    _play(effective_slots, clock, 0.35, seconds=60)
    share = effective_slots.get_share("u1", _SLOTS)
    sent = effective_slots.encode(upstreams)
    assert effective_slots_lib.decode(sent[0]) is None
    assert effective_slots_lib.decode(sent[1]) == pytest.approx(
        share, abs=0.005
    )


@pytest.mark.parametrize(
    ("slot_shares", "expected"),
    [(b"\x00\x64", [None, 0.5]), (b"", [None, None]), (b"\x64", [None, None])],
)
def test_a_reply_without_matching_effective_slots_has_none(
    slot_shares, expected
):
    """Guards against effective slots that are taken for another upstream's."""
    reply = messages.FollowReply(
        loads=b"\x00\x00", paces=b"\x00\x00", slot_shares=slot_shares
    )
    stats = follower_lib.decode_stats(["u0", "u1"], reply)
    assert [stats[each].slot_share for each in ("u0", "u1")] == expected


def test_reports_without_utilisation_count_as_before():
    """Guards against relative latencies that depend on the new measurements."""
    observations = observations_lib.Observations(Clock())
    paces = tuple(
        messages.UpstreamPace("u1", 2.0, 1e5, part) for part in range(5)
    )
    request = wire.unpack(wire.pack(messages.Follow(paces=paces)))
    observations.add(request)
    assert observations.relative_latencies.get("u1") == pytest.approx(
        2.0, rel=0.01
    )


async def test_the_leader_uses_logs_and_forgets_effective_slots(fleet, caplog):
    """Guards against keys placed by slots that slow an upstream down.

    A new leader starts with the stated slots.
    """
    caplog.set_level(logging.INFO)
    item = make_item("u1")._replace(slots=_SLOTS)
    await fleet.report(item)
    authority = fleet.authority
    _play(authority.observations.effective_slots, fleet.clock, 0.35)
    await fleet.report(item)
    assert authority.encode_stats().slot_shares
    (holder,) = authority._list_holders(item.service).values()
    assert holder.slots < 0.5 * _SLOTS
    assert authority.sum_effective_slots()[item.service] == holder.slots
    await authority.tick()
    await authority.tick()
    lines = [each for each in caplog.records if "Effective slots" in each.msg]
    assert len(lines) == 1
    authority._reset()
    assert authority.sum_effective_slots()[item.service] == _SLOTS
    assert authority.encode_stats().slot_shares == b""
