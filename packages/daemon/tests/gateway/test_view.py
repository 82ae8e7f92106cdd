"""What entry instances derive from the fleet's state."""

import pytest

from bamboosill_common import clock as clock_lib
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import state as state_lib
from bamboosilld.gateway import view as view_lib

from .conftest import NAMES


@pytest.mark.parametrize(
    "address",
    [
        *("10.0.0.9:99999", "10.0.0.9:0", "10.0.0.9:\u00b2", "", "a:b"),
        *("127.0..9:8080", "a" * 64 + ".b:80", "host:80", "0.0.0.0:80"),
    ],
)
async def test_an_upstream_that_cannot_be_used_costs_no_other(address):
    """Guards against a copy of the state that stops at one odd entry."""
    state = state_lib.FleetState()
    view = view_lib.View(state, clock_lib.LoopClock(), NAMES.request_id)
    for index, (name, each) in enumerate(
        [("u1", "10.0.0.1:80"), ("odd", address), ("u2", "10.0.0.2:80")], 1
    ):
        item = messages.UpstreamItem(name, 1, each, "s")
        state.apply(index, wire.pack(messages.SetUpstreams((item,))))
    listed = [each.item.upstream for each in view.list_upstreams("s")]
    assert listed == ["u1", "u2"]
