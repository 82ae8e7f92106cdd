"""Tests of the delay before a service's keys move to another keyspace."""

import pytest

from bamboosill_common.generated import control as messages
from bamboosilld.control import timing

pytestmark = pytest.mark.looptime


async def accept_and_retire(harness):
    await harness.add_zone("za")
    await harness.add_zone("zb")
    first = await harness.group.accept()
    await harness.run(1)
    command = messages.RetireContract(
        base_revision=first.revision, customer="a"
    )
    return (await harness.group.service.submit(command)).unwrap().revision


async def test_same_keyspace_needs_no_wait(harness):
    """Guards against a delay although the keys do not move."""
    revision = await accept_and_retire(harness)
    assert (await harness.group.accept(base=revision)).ok


async def test_other_keyspace_waits_for_records(harness):
    """Guards against a request that runs again in the new keyspace."""
    revision = await accept_and_retire(harness)
    await harness.run(timing.KEYSPACE_CHANGE_WAIT_S - 1)
    refused = await harness.group.accept(base=revision, zone_loss="hold")
    assert refused.code == "not_settled"
    await harness.run(2)
    assert (await harness.group.accept(base=revision, zone_loss="hold")).ok


async def test_other_keyspace_waits_for_an_unreachable_zone(harness):
    """Guards against a key with an owner in each of two keyspaces."""
    revision = await accept_and_retire(harness)
    await harness.run(2 * timing.KEYSPACE_CHANGE_WAIT_S, "zb")
    refused = await harness.group.accept(base=revision, zone_loss="hold")
    assert refused.code == "not_settled"
