"""Tests of zones that do not answer."""

import pytest

from bamboosill_dev import relay as relay_lib
from bamboosilld.entry import reachability


@pytest.fixture
async def zone(bench):
    """Puts a relay before the entry instance of the zone of the key."""
    await bench.start()
    await bench.start_upstream()
    member = bench.make_member()
    member.upstream = bench.member.upstream
    other = await bench.start_entry(member)
    relay = relay_lib.Relay(other.caller_address)
    await relay.start()
    bench.member.default = bench.make_route(
        "remote", zone="z2", addresses=(relay.address,)
    )
    yield relay
    await relay.stop()


def cut(relay):
    relay.set_faults(cut_to_target=True, cut_to_client=True, hold_new=True)


def is_suspect(bench):
    states = bench.entry._forwarder._reachability._states
    return bool(states) and all(each.suspect for each in states.values())


async def test_silent_zone_is_refused_before_anything_is_written(bench, zone):
    """Guards against "unknown" for each request to a zone that is cut off."""
    assert (await bench.send())[0] == 200
    cut(zone)
    # Noticed by probes alone: no request is sent meanwhile.
    await bench.wait_until(lambda: is_suspect(bench))
    for method, path in (("GET", "/shopfront/a"), ("POST", "/shopfront/b")):
        status, fields, _ = await bench.send(method, path)
        assert (status, fields["Bamboosill-Outcome"]) == (503, "not-run")
        assert fields["Bamboosill-Reason"] == "zone-unreachable"
        assert fields["Retry-After"] == "1"
    assert bench.upstream.recorder.lines[1:] == []
    zone.heal()
    await bench.wait_until(lambda: not is_suspect(bench))
    assert (await bench.send())[0] == 200


async def test_zone_whose_connections_went_silent_stays_in_use(bench, zone):
    """Guards against a zone given up while new connections work."""
    assert (await bench.send())[0] == 200
    zone.silence()
    for _ in range(3):
        fields = {"Bamboosill-Deadline-Ms": "900"}
        assert (await bench.send(headers=fields))[0] == 200
    assert not is_suspect(bench)


async def test_slow_answers_do_not_make_a_zone_suspect(bench, zone):
    """Guards against a zone given up for the deadlines of slow requests."""
    for _ in range(3):
        _, fields, _ = await bench.send(
            headers={
                "X-Test-Service-Ms": "1000",
                "Bamboosill-Deadline-Ms": "150",
            }
        )
        assert fields["Bamboosill-Reason"] != "zone-unreachable"
        assert not is_suspect(bench)
    assert (await bench.send())[0] == 200


async def test_other_addresses_of_a_zone_are_used(bench, zone):
    """Guards against a zone given up for one of its instances."""
    member = bench.make_member()
    member.upstream = bench.member.upstream
    second = await bench.start_entry(member)
    addresses = (zone.address, second.caller_address)
    bench.member.default = bench.member.default._replace(addresses=addresses)
    cut(zone)
    states = bench.entry._forwarder._reachability._states
    bench.entry._forwarder._reachability.select(addresses)
    await bench.wait_until(lambda: states[zone.address].suspect)
    for _ in range(8):
        assert (await bench.send())[0] == 200


async def test_probes_are_bounded_and_end(bench, zone, monkeypatch):
    """Guards against probes of many addresses, and for ever."""
    monkeypatch.setattr(reachability, "_WATCH_S", 0.1)
    addresses = [f"127.0.0.1:{port}" for port in range(1, 21)]
    watched = bench.entry._forwarder._reachability
    assert len(watched.select(addresses)) == reachability.MAX_ADDRESSES
    assert len(watched._states) == reachability.MAX_ADDRESSES
    await bench.wait_until(lambda: not watched._states)
