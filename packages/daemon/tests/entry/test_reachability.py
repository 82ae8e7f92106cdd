"""Tests of forwarding to zones that are unreachable."""

import asyncio

import pytest

from bamboosill_common import clock as clock_lib
from bamboosill_dev import relay as relay_lib
from bamboosilld.entry import reachability


@pytest.fixture
async def zone_relay(harness):
    """Routes all keys to another zone, behind a relay that injects faults."""
    await harness.start()
    await harness.start_upstream()
    member = harness.make_member()
    member.upstream = harness.member.upstream
    other = await harness.start_entry(member)
    relay = relay_lib.Relay(other.caller_address)
    await relay.start()
    harness.member.default_route = harness.make_route(
        "remote", zone="z2", addresses=(relay.address,)
    )
    yield relay
    await relay.stop()


def cut_off(relay):
    relay.set_faults(cut_to_target=True, cut_to_client=True, hold_new=True)


def is_unreachable(harness):
    states = harness.entry._forwarder._reachability._states
    return bool(states) and all(each.unreachable for each in states.values())


async def test_silent_zone_is_refused_before_anything_is_written(
    harness, zone_relay
):
    """Guards against outcome "unknown" for requests to a partitioned zone."""
    assert (await harness.send())[0] == 200
    cut_off(zone_relay)
    # Detected by probes alone; no request is sent in the meantime.
    await harness.wait_until(lambda: is_unreachable(harness))
    for method, path in (("GET", "/shopfront/a"), ("POST", "/shopfront/b")):
        status, fields, _ = await harness.send(method, path)
        assert (status, fields["Bamboosill-Outcome"]) == (503, "not-run")
        assert fields["Bamboosill-Reason"] == "zone-unreachable"
        assert fields["Retry-After"] == "1"
    assert harness.upstream.recorder.lines[1:] == []
    zone_relay.heal()
    await harness.wait_until(lambda: not is_unreachable(harness))
    assert (await harness.send())[0] == 200


async def test_zone_whose_connections_went_silent_stays_in_use(
    harness, zone_relay
):
    """Guards against rejecting a zone to which new connections work."""
    assert (await harness.send())[0] == 200
    zone_relay.silence()
    for _ in range(3):
        fields = {"Bamboosill-Deadline-Ms": "900"}
        assert (await harness.send(headers=fields))[0] == 200
    assert not is_unreachable(harness)


async def test_slow_responses_do_not_make_a_zone_unreachable(
    harness, zone_relay
):
    """Guards against rejecting a zone because slow requests timed out."""
    for _ in range(3):
        _, fields, _ = await harness.send(
            headers={
                "X-Test-Service-Ms": "1000",
                "Bamboosill-Deadline-Ms": "150",
            }
        )
        assert fields["Bamboosill-Reason"] != "zone-unreachable"
        assert not is_unreachable(harness)
    assert (await harness.send())[0] == 200


async def test_other_addresses_of_a_zone_are_used(harness, zone_relay):
    """Guards against rejecting a zone because one instance is unreachable."""
    member = harness.make_member()
    member.upstream = harness.member.upstream
    second = await harness.start_entry(member)
    addresses = (zone_relay.address, second.caller_address)
    harness.member.default_route = harness.member.default_route._replace(
        addresses=addresses
    )
    cut_off(zone_relay)
    states = harness.entry._forwarder._reachability._states
    harness.entry._forwarder._reachability.select(addresses)
    await harness.wait_until(lambda: states[zone_relay.address].unreachable)
    for _ in range(8):
        assert (await harness.send())[0] == 200


async def test_probes_are_bounded_and_end(harness, zone_relay, monkeypatch):
    """Guards against probes of unbounded number or duration."""
    monkeypatch.setattr(reachability, "_UNUSED_TTL_S", 0.1)
    addresses = [f"127.0.0.1:{port}" for port in range(1, 21)]
    monitor = harness.entry._forwarder._reachability
    assert len(monitor.select(addresses)) == reachability.MAX_ADDRESSES
    assert len(monitor._states) == reachability.MAX_ADDRESSES
    await harness.wait_until(lambda: not monitor._states)


async def test_addresses_that_are_no_longer_used_are_forgotten(monkeypatch):
    """Guards against a pool that stays for each address ever forwarded to."""
    monkeypatch.setattr(reachability, "_UNUSED_TTL_S", 0.05)
    monkeypatch.setattr(reachability, "_PROBE_INTERVAL_S", 0.02)
    monitor = reachability.ReachabilityMonitor(
        clock_lib.LoopClock(), None, "127.0.0.1"
    )
    monitor.select([f"127.0.0.1:{port}" for port in range(1, 9)])
    async with asyncio.timeout(5):
        while monitor._states:  # noqa: ASYNC110
            await asyncio.sleep(0.01)
    assert not monitor._pools._pools
    await monitor.close()
