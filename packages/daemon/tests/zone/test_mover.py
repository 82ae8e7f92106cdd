"""Tests of which moves count as begun and finished."""

import asyncio

import pytest
from returns.result import Failure
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common import errors
from bamboosill_common import events
from bamboosill_common.generated import zone as messages
from bamboosilld.zone import assignments
from bamboosilld.zone import moves


@pytest.mark.looptime
@pytest.mark.parametrize(
    ("result", "counted"),
    [
        (Success(messages.CommandStatus(True, "ok", 0, (1, 2, 3))), [3]),
        (Success(messages.CommandStatus(True, "ok", 0, (2,))), [1]),
        (Success(messages.CommandStatus(code="unknown_upstream")), []),
        (Failure(errors.ProposeError("timeout", "no quorum", True)), []),
    ],
)
async def test_only_moves_that_were_committed_are_counted(result, counted):
    """Guards against counters of moves that never were."""

    async def propose(command):
        await asyncio.sleep(0.01)
        return result

    clock = clock_lib.LoopClock()
    timeline = events.Timeline(clock, "i0")
    mover = moves.Mover(
        None, None, None, propose, None, clock, timeline, lambda service: 1.0
    )
    target = assignments.Owner("u", 1)
    mover.begin(
        moves.PlannedMove(
            assignments.AssignmentKey("shop/hold/all", shard, ""), target, "new"
        )
        for shard in (1, 2, 3)
    )
    await mover._finish(("shop/hold/all", 7, ""), [1, 2, 3])
    await asyncio.sleep(1)
    for name in ("begin_move", "finish_move"):
        assert [
            event.fields["shards"]
            for event in timeline.list_events()
            if event.name == name
        ] == counted
