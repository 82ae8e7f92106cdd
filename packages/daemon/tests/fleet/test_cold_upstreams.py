"""Tests of what the leader knows of cold upstreams, and of its permits."""

import pytest

from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import permits
from bamboosilld.fleet import state as state_lib

from .conftest import make_configuration
from .conftest import make_item

_SERVICES = (
    messages.ServiceItem("keyed", warmup_ms=3000, warmup_per_s=4.2),
    messages.ServiceItem("plain", warmup_ms=3000),
)


@pytest.fixture
async def cold_fleet(fleet):
    """A fleet whose sharded service limits the rate of cold upstreams."""
    change = make_configuration(2, 1, services=_SERVICES)
    change = change._replace(
        routes=tuple(each._replace(service="plain") for each in change.routes)
    )
    fleet.state.apply(100, wire.pack(change))
    return fleet


def _get_incarnation(item):
    return state_lib.UpstreamIncarnation(item.upstream, item.born_ms)


def _list_cold(fleet):
    """Returns the milliseconds for which upstreams stay cold, by id."""
    return {
        each.upstream: each.cold_ms
        for each in fleet.authority.permits.list_limits()
    }


def _acquire(fleet, item, instance="e1", wanted=1):
    limit = messages.UpstreamLimit(
        item.upstream, item.born_ms, -1.0, permits.MAX_AGE_MS
    )
    return fleet.authority.permits.acquire(
        messages.AcquirePermits(instance, limit, wanted)
    )


@pytest.mark.parametrize(
    ("service", "has_news"), [("keyed", True), ("plain", False)]
)
async def test_an_upstream_that_becomes_cold_again_is_committed(
    cold_fleet, service, has_news
):
    """Guards against instances that learn of it late, or without need."""
    fleet, item = cold_fleet, make_item("u1", service=service)
    await fleet.report(item)
    for elapsed_s, warmup_ms, is_committed in (
        (10.0, 3000, True),
        (1.0, 2000, False),
        (1.0, 3000, True),
        (10.0, 0, False),
    ):
        fleet.clock.now_s += elapsed_s
        revision = fleet.state.revision
        await fleet.report(item._replace(warmup_ms=warmup_ms))
        has_changed = fleet.state.revision != revision
        assert has_changed == (is_committed and has_news)
        expected = {"u1": warmup_ms} if has_news and warmup_ms else {}
        assert _list_cold(fleet) == expected


async def test_a_delayed_heartbeat_does_not_make_an_upstream_warm(cold_fleet):
    """Guards against full load because of a heartbeat from before."""
    fleet, item = cold_fleet, make_item("u1")
    await fleet.report(item)
    fleet.authority.permits.mark_cold(_get_incarnation(item), 3.0)
    fleet.clock.now_s += 0.5
    await fleet.report(item)
    assert _list_cold(fleet) == {"u1": 2500}
    fleet.clock.now_s += 1.0
    await fleet.report(item, sequence=1)
    assert _list_cold(fleet) == {"u1": 1500}
    await fleet.report(item)
    assert _list_cold(fleet) == {"u1": 0}
    fleet.clock.now_s += 6.0
    assert _list_cold(fleet) == {}


async def test_a_new_leader_knows_what_is_cold(cold_fleet):
    """Guards against a limit that ends with the leader's term."""
    fleet, item = cold_fleet, make_item("u1", warmup_ms=3000)
    await fleet.report(item)
    fleet.clock.now_s += 1.0
    fleet.node.elected_at_s = 2.0
    assert fleet.authority.is_active_leader()
    assert _list_cold(fleet) == {"u1": 2000}
    reply = _acquire(fleet, item)
    assert (reply.granted, reply.limit.cold_ms) == (0, 2000)


async def test_a_restarted_upstream_is_as_cold_as_it_reports(cold_fleet):
    """Guards against a new incarnation that counts as warm."""
    fleet = cold_fleet
    await fleet.report(make_item("u1", warmup_ms=1000))
    fleet.clock.now_s += 0.5
    again = make_item("u1", born_ms=9, warmup_ms=3000)
    await fleet.report(again)
    assert _list_cold(fleet) == {"u1": 3000}
    assert _acquire(fleet, again).limit.cold_ms == 3000


async def test_permits_of_a_cold_upstream_keep_its_rate(cold_fleet):
    """Guards against permits beyond the rate, and against permits after it.

    Refused callers are told different times, and none long after the end.
    """
    fleet, item = cold_fleet, make_item("u1", warmup_ms=3000, slots=6)
    await fleet.report(item)
    granted, told_ms = 0, []
    for number in range(50):
        fleet.clock.now_s += 0.05
        reply = _acquire(fleet, item, f"e{number}")
        granted += reply.granted
        if not reply.granted:
            told_ms.append(round(reply.next_permit_ms + number * 50))
    assert 0.9 * 2.5 * 4.2 <= granted <= 2.5 * 4.2 + 1
    assert len(set(told_ms)) == len(told_ms)
    assert max(told_ms) < 3000 + len(told_ms) / 6 * 1000
    fleet.clock.now_s += 0.6
    reply = _acquire(fleet, item)
    assert (reply.limit.cold_ms, reply.next_permit_ms) == (0, 0)
