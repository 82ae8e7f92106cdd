"""Tests of the network that simulations use."""

import random

import pytest

from bamboosill_common.generated import consensus as messages
from bamboosill_dev import memory_network


@pytest.mark.looptime
@pytest.mark.parametrize("is_cut", [False, True])
async def test_lost_messages_leave_no_pending_tasks(is_cut):
    """Guards against a simulation that grows with each lost message."""
    network = memory_network.Network(random.Random(1))
    if is_cut:
        network.cut("a", "b")
    member = messages.Member("b", 1, "b:1")
    for _ in range(20):
        result = await network.call("a", member, messages.RequestVote(), 0.5)
        assert result.failure().code == ("timeout" if is_cut else "unreachable")
    assert not network._tasks
