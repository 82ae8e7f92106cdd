"""Tests of the zone leader's heartbeats to the control leader."""

import asyncio

import pytest
from returns.result import Success

from bamboosill_common import clock as clock_lib
from bamboosill_common.generated import control
from bamboosilld.zone import control_link


class _Directory:
    """A control leader behind a slow link, with a clock of its own."""

    def __init__(self, clock, one_way_s, ahead_ms):
        self._clock = clock
        self._one_way_s = one_way_s
        self._ahead_ms = ahead_ms

    async def call(self, address, message, reply_type, deadline_s):
        await asyncio.sleep(self._one_way_s)
        wall_ms = self._clock.wall_ms() + self._ahead_ms
        await asyncio.sleep(self._one_way_s)
        return Success(control.ZoneBeatReply(wall_ms=wall_ms, lease_ms=1500))


@pytest.mark.looptime
@pytest.mark.parametrize("one_way_s", [0.001, 0.05, 0.12])
@pytest.mark.parametrize("ahead_ms", [0, 700, -3000])
async def test_the_clock_offset_does_not_depend_on_the_link(
    one_way_s, ahead_ms
):
    """Guards against a slow link that is taken for a clock that is wrong."""
    clock = clock_lib.LoopClock()
    directory = _Directory(clock, one_way_s, ahead_ms)
    link = control_link.ControlLink(directory, clock, lambda: ("c1:1",))
    await link.send(control.ZoneBeat())
    assert abs(link.wall_offset_ms - ahead_ms) <= 5
