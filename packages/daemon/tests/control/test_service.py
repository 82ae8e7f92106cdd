"""Tests of the control leader's message handlers."""

import pytest

from bamboosill_common import errors
from bamboosill_common import wire
from bamboosill_common.generated import control as messages

pytestmark = pytest.mark.looptime


async def test_first_instance_founds_the_zone_group(harness):
    """Guards against a zone without a group, and against two groups."""
    first = await harness.group.register("a1")
    second = await harness.group.register("a2")
    assert first.accepted and second.accepted
    assert first.zone.founder == second.zone.founder == "a1"
    assert second.zone.group_epoch == 1


@pytest.mark.parametrize(
    ("incarnation", "address", "live", "accepted"),
    [
        (1, "", True, True),
        (2, "", True, True),
        (2, "127.0.0.1:other", False, True),
        (2, "127.0.0.1:other", True, False),
        (1, "127.0.0.1:other", False, False),
        (0, "", False, False),
    ],
)
async def test_identity(harness, incarnation, address, live, accepted):
    """Guards against two processes that use the same instance id."""
    zone = await harness.add_zone("za")
    zone.live_ids = ("za1",) if live else ()
    await zone.send_heartbeat()
    reply = await harness.group.register("za1", "za", incarnation, address)
    assert reply.accepted == accepted


async def test_instance_cannot_register_another(harness):
    """Guards against an instance that registers in another's name."""
    item = messages.InstanceItem(instance="a1", incarnation=1, zone="za")
    reply = await harness.group.send(messages.RegisterInstance(item=item), "x")
    assert not reply.accepted


@pytest.mark.parametrize("lost", ["is_leader", "lease"])
async def test_only_the_leader_with_its_lease_answers(harness, lost):
    """Guards against leases from a control instance that was deposed."""
    zone = await harness.add_zone("za")
    setattr(harness.group.node, lost, False)
    with pytest.raises(errors.HandlerError, match="not_leader"):
        await zone.send_heartbeat()
    with pytest.raises(errors.HandlerError, match="not_leader"):
        await harness.group.register("za2")
    with pytest.raises(errors.HandlerError, match="not_leader"):
        command = wire.pack(messages.RetireContract())
        await harness.group.send(messages.SubmitCommand(command))


@pytest.mark.parametrize(
    ("field", "value", "code"),
    [
        ("group_epoch", 2, "stale_group"),
        ("group_epoch", 0, "stale_group"),
        ("term", 0, "stale_leader"),
        ("name", "zb", "unknown_zone"),
    ],
)
async def test_heartbeat_of_another_group_is_refused(
    harness, field, value, code
):
    """Guards against a lease for a group or leader that was replaced."""
    zone = await harness.add_zone("za")
    await zone.send_heartbeat()
    setattr(zone, field, value)
    with pytest.raises(errors.HandlerError, match=code):
        await zone.send_heartbeat()


async def test_feed_is_a_delta(harness):
    """Guards against the full state sent where a delta is enough."""
    zone = await harness.add_zone("za")
    await harness.group.accept("a")
    first = await zone.send_heartbeat()
    await harness.group.accept("b")
    second = await zone.send_heartbeat()
    third = await zone.send_heartbeat()
    assert first.full and not second.full
    contracts = [wire.unpack(each) for each in second.items]
    assert [each.customer for each in contracts] == ["b"]
    assert third.items == ()


async def test_heartbeat_reply_has_lease_and_time(harness):
    """Guards against a heartbeat that does not renew the lease."""
    zone = await harness.add_zone("za")
    await zone.send_heartbeat()
    reply = await zone.send_heartbeat()
    assert reply.lease_ms == 1500
    assert reply.wall_ms == harness.group.clock.wall_ms()
