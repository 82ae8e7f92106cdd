"""Orders to evacuate an availability zone, at the control group."""

import asyncio

import pytest

from bamboosill_common import errors
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import evacuation
from bamboosilld.fleet import state as state_lib

from .call_network import CallFleet
from .conftest import make_item
from .heartbeat_network import HeartbeatFleet

_EVACUATE = messages.ChangeEvacuation("z2", True)
_WITHDRAW = messages.ChangeEvacuation("z2", False)
# Within this time after an order, keys have moved: two heartbeats of their
# holder, one of the next one, and ticks.
_MOVED_S = 3.5


async def _order(fleet, message):
    return await evacuation.change(message, fleet.node, fleet.state, 1.0)


@pytest.mark.parametrize(
    ("orders", "zones", "commands", "barriers"),
    [
        ([_EVACUATE], {"z2"}, 1, 0),
        ([_EVACUATE, _EVACUATE], {"z2"}, 1, 1),
        ([_EVACUATE, _WITHDRAW], set(), 2, 0),
        ([_WITHDRAW], set(), 0, 1),
        ([_EVACUATE, _WITHDRAW, _WITHDRAW, _EVACUATE], {"z2"}, 3, 1),
    ],
)
async def test_an_order_in_force_is_not_committed_again(
    fleet, orders, zones, commands, barriers
):
    """Guards against commands for each retry, and replies from stale state."""
    for each in orders:
        await _order(fleet, each)
    assert fleet.state.evacuated_zones == zones
    assert fleet.state.revision == commands
    assert fleet.node.barriers == barriers


@pytest.mark.parametrize("loses_replies", [False, True])
async def test_an_order_is_acknowledged_only_once_it_is_committed(
    fleet, loses_replies
):
    """Guards against an order that a new leader does not know.

    The leader is lost between commit and acknowledgement, or cannot confirm
    that it leads; the same order sent to the next leader settles it.
    """
    if loses_replies:
        fleet.node.loses_replies = True
    else:
        await _order(fleet, _EVACUATE)
        fleet.node.is_leader = False
    with pytest.raises(errors.HandlerError):
        await _order(fleet, _EVACUATE)
    later = state_lib.FleetState()
    later.restore(fleet.state.snapshot())
    fleet.node.is_leader = True
    reply = await evacuation.change(_EVACUATE, fleet.node, later, 1.0)
    assert reply == messages.ChangeEvacuationReply()
    assert later.evacuated_zones == {"z2"}
    assert later.revision == fleet.state.revision == 1


async def _start(make_fleet, **service):
    """Starts three zones with two upstreams each; all keys have holders."""
    fleet = make_fleet(**service)
    for number in range(6):
        fleet.start_upstream(f"u{number}", zone=f"z{number % 3 + 1}")
    await asyncio.sleep(6.0)
    assert fleet.list_keys_without_holder() == []
    return fleet


def _list_held(fleet, zone):
    """Returns the ranges that the upstreams of a zone hold or are granted."""
    return [
        each
        for upstream in fleet.upstreams.values()
        if upstream.item.zone == zone
        for each in (
            *upstream.list_held(),
            *fleet.state.keys["keyed"].list_held(
                upstream.item.upstream, upstream.item.born_ms
            ),
        )
    ]


@pytest.mark.looptime
@pytest.mark.parametrize("make_fleet", [CallFleet, HeartbeatFleet])
async def test_keys_leave_an_evacuated_zone_until_the_withdrawal(make_fleet):
    """Guards against keys that stay, come back early, or have two holders.

    After the withdrawal, the zone is free to hold keys again.
    """
    fleet = await _start(make_fleet)
    assert _list_held(fleet, "z2")
    await _order(fleet, _EVACUATE)
    await asyncio.sleep(_MOVED_S)
    for _ in range(20):
        assert _list_held(fleet, "z2") == []
        assert fleet.list_keys_without_holder() == []
        await asyncio.sleep(1.0)
    handovers = {each.handover for each in fleet.state.keys["keyed"].ranges}
    assert handovers - {""}
    await _order(fleet, _WITHDRAW)
    await _order(fleet, messages.ChangeEvacuation("z1", True))
    await _order(fleet, messages.ChangeEvacuation("z3", True))
    await asyncio.sleep(_MOVED_S)
    assert _list_held(fleet, "z2")
    assert fleet.list_keys_without_holder() == []
    assert fleet.violations == []
    await fleet.stop()


@pytest.mark.looptime
@pytest.mark.parametrize("make_fleet", [CallFleet, HeartbeatFleet])
@pytest.mark.parametrize("fault", ["election", "cut off", "restart"])
async def test_keys_have_one_holder_if_an_evacuation_meets_a_fault(
    make_fleet, fault
):
    """Guards against two holders, and keys granted back into the zone.

    The leader changes, the zone is cut off as well so that its leases have to
    expire, or a process of the zone starts again at its address.
    """
    fleet = await _start(make_fleet)
    await _order(fleet, _EVACUATE)
    await asyncio.sleep(0.05)
    leaving = fleet.upstreams["u1"]
    if fault == "election":
        fleet.elect()
    else:
        leaving.is_up = False
        if fault == "cut off":
            fleet.upstreams["u4"].is_up = False
        else:
            fleet.start_upstream("u1", 2, zone="z2")
    granted = []
    fleet.state.add_listener(
        lambda command: granted.extend(
            each.upstream
            for each in getattr(command, "ranges", ())
            if fleet.state.is_evacuated(each.upstream)
        )
    )
    await asyncio.sleep(14.0)
    assert granted == []
    assert _list_held(fleet, "z2") == []
    assert fleet.list_keys_without_holder() == []
    assert fleet.violations == []
    await fleet.stop()


@pytest.mark.looptime
async def test_reserved_keys_are_not_granted_into_an_evacuated_zone(fleet):
    """Guards against a grant that was planned before the order.

    The keys of the only other upstream are reserved for the evacuated one when
    the order comes.
    """
    items = [make_item("u1"), make_item("u2", zone="z2")]
    grants = await fleet.distribute(*items)
    released = [
        messages.ReleasedRange(each.first, each.last, "")
        for each in grants["u1"]
    ]
    leaving = items[0]._replace(draining=True)
    await fleet.report(leaving, grants["u1"])
    await fleet.report(leaving, (), released)
    await fleet.authority.tick()
    await _order(fleet, _EVACUATE)
    reply = await fleet.report(items[1], grants["u2"])
    before = {(each.first, each.last) for each in grants["u2"]}
    assert {(each.first, each.last) for each in reply.grants} <= before


@pytest.mark.looptime
async def test_a_zone_counts_as_cold_from_its_withdrawal(monkeypatch):
    """Guards against full load on upstreams that started while evacuated.

    A member that is elected after the withdrawal knows of it as well, for the
    rest of the warmup.
    """
    fleet = await _start(CallFleet, warmup_ms=3000)
    await _order(fleet, _EVACUATE)
    await asyncio.sleep(1.0)
    cold = []
    monkeypatch.setattr(
        "bamboosilld.fleet.permits.PermitBroker.mark_cold",
        lambda broker, incarnation, duration_s: cold.append(
            (incarnation.upstream, round(duration_s, 1))
        ),
    )
    await _order(fleet, _WITHDRAW)
    await _order(fleet, _WITHDRAW)
    assert sorted(cold) == [("u1", 3.0), ("u4", 3.0)]
    cold.clear()
    await asyncio.sleep(2.0)
    fleet.elect()
    assert fleet.authority.is_active_leader()
    assert sorted(cold) == [("u1", 1.0), ("u4", 1.0)]
    await fleet.stop()


def test_a_snapshot_has_the_evacuated_zones():
    """Guards against an instance that starts without the orders in force."""
    state = state_lib.FleetState()
    for index, zone in enumerate(("b", "a", "c"), 1):
        state.apply(index, wire.pack(messages.SetEvacuation(zone, True)))
    state.apply(4, wire.pack(messages.SetEvacuation("c", False)))
    later = state_lib.FleetState()
    later.restore(state.snapshot())
    assert later.evacuated_zones == {"a", "b"}
