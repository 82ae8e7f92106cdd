"""Tests of replacing the failed group of a zone."""

import pytest

from bamboosill_common.generated import control as messages
from bamboosilld.control import timing

pytestmark = pytest.mark.looptime

VOTERS = {"za1": 1, "za2": 1, "za3": 1}


async def start(harness, zone_loss="hold"):
    """Starts a zone of three voters that holds all shards."""
    zone = await harness.add_zone("za")
    for name in ("za2", "za3"):
        await harness.group.register(name, "za")
    zone.voters = dict(VOTERS)
    zone.live_ids = tuple(VOTERS)
    await harness.group.accept(zone_loss=zone_loss)
    await harness.run(3)
    assert harness.group.count_shards() == {"za": 64}
    return zone


def get_epoch(harness):
    return harness.group.state.tables.zones["za"].group_epoch


@pytest.mark.parametrize(
    ("restarted", "leaderless", "founded"),
    [
        (["za1", "za2", "za3"], [], True),
        (["za1", "za2"], ["za3"], True),
        # The third voter may still lead a group with voters added since.
        (["za1", "za2"], [], False),
        (["za1"], ["za2", "za3"], False),
        ([], ["za1", "za2", "za3"], False),
    ],
)
async def test_lost_quorum(harness, restarted, leaderless, founded):
    """Guards against a second group while the first may still work."""
    await start(harness)
    for name in restarted:
        await harness.group.register(name, "za", 2)
    for name in leaderless:
        await harness.group.register(name, "za")
    await harness.run(timing.FOUNDING_WAIT_S - 0.25, "za")
    assert get_epoch(harness) == 1
    await harness.run(30, "za")
    assert get_epoch(harness) == (2 if founded else 1)


async def test_working_group_is_kept(harness):
    """Guards against a new group while the old one sends heartbeats."""
    await start(harness)
    for name in VOTERS:
        await harness.group.register(name, "za", 2)
    await harness.run(timing.FOUNDING_WAIT_S - 1, "za")
    await harness.run(30)
    assert get_epoch(harness) == 1


async def test_two_voters(harness):
    """Guards against a group that waits for a voter that lost its state."""
    zone = await start(harness)
    zone.voters = {"za1": 1, "za2": 1}
    known = harness.group.state.tables.instances["za3"]
    removed = known._replace(removed=True)
    await harness.run(0.5)
    await harness.group.service.submit(messages.PutInstance(item=removed))
    await harness.group.register("za1", "za", 2)
    await harness.group.register("za2", "za")
    await harness.run(6, "za")
    assert get_epoch(harness) == 2
    founder = harness.group.state.tables.zones["za"].founder
    assert founder == "za1"


async def test_new_group_gets_its_shards_anew(harness):
    """Guards against accepting fences and request ids of the failed group."""
    zone = await start(harness)
    await harness.add_zone("zb")
    await harness.run(30)
    before = harness.group.list_shards()
    assert harness.group.count_shards()["zb"] >= 30
    for name in VOTERS:
        await harness.group.register(name, "za", 2)
    await harness.run(timing.FOUNDING_WAIT_S + 1, "za")
    zone.group_epoch, zone.voters, zone.applied_revision = 2, {"za1": 2}, 0
    await harness.run(0.5)
    for old, new in zip(before, harness.group.list_shards(), strict=True):
        if old.zone == "zb":
            assert new == old
            continue
        assert new.zone == "za"
        assert (new.epoch, new.group_epoch) == (old.epoch + 1, 2)
        assert new.id_floor_ms > old.id_floor_ms


async def test_founding_waits_for_unfenced_upstreams(harness):
    """Guards against two owners where an upstream checks no fences."""
    zone = await start(harness)
    zone.max_unfenced_deadline_ms = 5000
    await harness.run(0.5)
    for name in VOTERS:
        await harness.group.register(name, "za", 2)
    await harness.run(timing.FOUNDING_WAIT_S + 5 - 0.25, "za")
    assert get_epoch(harness) == 1
    await harness.run(1, "za")
    assert get_epoch(harness) == 2


async def test_new_leader_knows_the_voters(harness):
    """Guards against a zone that stays down after all its processes restart."""
    await start(harness)
    harness.group.node.elected_at_s = harness.group.clock.monotonic()
    assert await harness.group.service._take_over()
    for name in VOTERS:
        await harness.group.register(name, "za", 2)
    # The longest deadline of the contract is 4 s.
    await harness.run(timing.FOUNDING_WAIT_S + 4 + 0.5, "za")
    assert get_epoch(harness) == 2


async def test_lost_zone_returns_with_new_incarnations(harness):
    """Guards against instances that act for a zone declared lost."""
    zone = await start(harness)
    lost = messages.DeclareZoneLost(zone="za")
    await harness.group.service.submit(lost)
    with pytest.raises(Exception, match="zone_lost"):
        await zone.send_heartbeat()
    assert not (await harness.group.register("za2", "za")).accepted
    assert (await harness.group.register("za2", "za", 2)).accepted
    assert (await harness.group.register("za2", "za", 2)).accepted
    await harness.run(timing.FOUNDING_WAIT_S + 0.5, "za")
    known = harness.group.state.tables.zones["za"]
    assert (known.group_epoch, known.lost, known.founder) == (2, False, "za2")
