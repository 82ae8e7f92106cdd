"""Tests of the instances that the leader names for forwarded requests."""

import random

from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import forwarders as forwarders_lib
from bamboosilld.fleet import observations as observations_lib

from .conftest import Clock


def _poll(address, is_cut_off=False, version=0):
    return messages.Follow(
        instance=address, is_cut_off=is_cut_off, forwarders_version=version
    )


def _list_addresses(forwarders, request):
    reply = forwarders.add_to(messages.FollowReply(), request)
    return {each.address for each in reply.forwarders}


def test_only_instances_that_reach_upstreams_are_named():
    """Guards against requests forwarded to instances that are cut off."""
    forwarders = forwarders_lib.Forwarders(random.Random(1))
    for number in range(4):
        forwarders.add(_poll(f"e{number}", is_cut_off=number == 1), "z1")
    assert _list_addresses(forwarders, _poll("e0")) == {"e2", "e3"}
    forwarders.add(_poll("e1"), "z1")
    forwarders.retain({"e0", "e1", "e2"})
    assert _list_addresses(forwarders, _poll("e0")) == {"e1", "e2"}


def test_a_list_is_sent_again_only_after_a_change():
    """Guards against a list of instances in each reply to each instance."""
    forwarders = forwarders_lib.Forwarders(random.Random(1))
    for number in range(200):
        forwarders.add(_poll(f"e{number}"), f"z{number % 4}")
    reply = forwarders.add_to(messages.FollowReply(), _poll("e0"))
    assert len(reply.forwarders) <= 32
    known = _poll("e0", version=reply.forwarders_version)
    forwarders.add(known, "z0")
    assert not forwarders.add_to(
        messages.FollowReply(), known
    ).forwarders_version
    forwarders.add(_poll("e1", is_cut_off=True), "z1")
    assert forwarders.add_to(messages.FollowReply(), known).forwarders_version


def test_reports_of_instances_that_are_cut_off_are_ignored():
    """Guards against upstreams avoided because others cannot reach them."""
    observations = observations_lib.Observations(Clock())
    silent = (messages.UpstreamLoad("u0", 0, True),)
    for number in range(4):
        observations.add(messages.Follow(instance=f"e{number}", loads=silent))
    assert observations.encode_loads([("u0", False)]) == b"\xff"
    for number in range(4):
        observations.add(
            messages.Follow(
                instance=f"e{number}", loads=silent, is_cut_off=True
            )
        )
    assert observations.encode_loads([("u0", False)]) == b"\x00"
