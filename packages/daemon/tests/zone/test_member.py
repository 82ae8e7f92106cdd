"""Tests of a zone member in a group of its own."""

import pytest


@pytest.mark.looptime(noop_cycles=0)
async def test_founds_group_and_routes_to_upstream(
    make_single_member_simulation,
):
    """Guards against a zone that never starts to serve."""
    simulation = make_single_member_simulation()
    simulation.control.add_contract("a", "shop", 64)
    member = await simulation.add_member("one")
    upstream = simulation.add_upstream("u")
    await simulation.wait(lambda: simulation.all_local(member))
    assert member.is_ready() == (True, "")
    await simulation.wait(lambda: upstream.lease_expires_s > simulation.now())
    assert await simulation.request(member, "key1") == "done"
    route = member.route("a", "shop", "key1")
    assert route.upstream.address == upstream.message.address
    assert member.route("b", "shop", "k").status == "unknown_customer"
    assert member.route("a", "other", "k").status == "unknown_service"
    await member.stop()
