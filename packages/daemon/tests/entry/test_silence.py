"""Tests of connections that drop all data while new connections work.

Firewalls and NAT devices that forget a connection cause this.
"""

import asyncio
import random

import pytest

from bamboosill_common import requestid
from bamboosill_dev import caller as caller_lib
from bamboosill_dev import relay as relay_lib


@pytest.fixture
async def make_relay():
    relays = []

    async def make(target):
        relays.append(relay_lib.Relay(target))
        await relays[-1].start()
        return relays[-1]

    yield make
    for relay in relays:
        await relay.stop()


async def open_connections(harness, count=4):
    """Fills the pool with idle connections."""
    responses = await asyncio.gather(
        *(
            harness.send(headers={"X-Test-Service-Ms": "30"})
            for _ in range(count)
        )
    )
    assert {response[0] for response in responses} == {200}


async def test_upstream_connections_are_replaced(harness, make_relay):
    """Guards against counting dropped connections as an upstream failure."""
    await harness.start()
    upstream = await harness.start_upstream()
    relay = await make_relay(upstream.address)
    harness.member.upstream = harness.member.upstream._replace(
        address=relay.address
    )
    await open_connections(harness)
    relay.silence()
    responses = [await harness.send() for _ in range(4)]
    assert [response[0] for response in responses] == [200] * 4
    # One request timed out; it and the others used new connections.
    assert relay.accepted == 4 + 1
    assert harness.member.count("ReportCrash") == 0
    assert harness.member.reporter().upstreams[0].failures == 0


async def test_order_on_a_silent_connection_is_unknown_and_runs_once(
    harness, make_relay
):
    """Guards against retrying a non-repeatable request after a timeout."""
    await harness.start()
    upstream = await harness.start_upstream()
    relay = await make_relay(upstream.address)
    harness.member.upstream = harness.member.upstream._replace(
        address=relay.address
    )
    await open_connections(harness, 1)
    relay.silence()

    async def order(number):
        return await harness.send(
            "POST",
            "/shopfront/orders",
            data=b"one",
            headers={
                "Bamboosill-Deadline-Ms": "300",
                "Bamboosill-Request-Id": requestid.make_request_id(
                    1_700_000_000_000, random.Random(number)
                ),
            },
        )

    first = await order(1)
    assert (first[0], first[1]["Bamboosill-Outcome"]) == (504, "unknown")
    assert (await order(1))[0] == 409
    assert (await order(2))[0] == 201
    orders = [
        each for each in upstream.recorder.lines if each["method"] != "GET"
    ]
    assert len(orders) == 1


async def test_connections_between_zones_are_replaced(harness, make_relay):
    """Guards against rejecting a zone because its connections dropped."""
    await harness.start()
    await harness.start_upstream()
    member = harness.make_member()
    member.upstream = harness.member.upstream
    other = await harness.start_entry(member)
    relay = await make_relay(other.caller_address)
    harness.member.default_route = harness.make_route(
        "remote", zone="z2", addresses=(relay.address,)
    )

    async def answer_probe(address):
        return True

    # Disables probes, whose connections would be counted below.
    harness.entry._forwarder._reachability._probe = answer_probe
    await open_connections(harness)
    relay.silence()
    responses = [await harness.send() for _ in range(3)]
    assert [response[0] for response in responses] == [200] * 3
    assert relay.accepted == 4 + 1


async def test_callers_replace_their_connections(harness, make_relay):
    """Guards against a caller that waits indefinitely for a lost response."""
    await harness.start()
    upstream = await harness.start_upstream()
    relay = await make_relay(harness.entry.caller_address)
    caller = caller_lib.Caller(lambda: relay.address, random.Random(1))
    read = caller_lib.Request("GET", "/shopfront/items", "acme", "k", b"", 2000)
    order = caller_lib.Request(
        "POST", "/shopfront/orders", "acme", "k", b"one", 2000, False
    )
    assert (await caller.send(read)).sendings == 1
    relay.silence()
    result = await caller.send(order)
    assert (result.outcome, result.sendings) == ("answer", 2)
    runs = [run for run in upstream.recorder.lines if run["id"] == result.id]
    assert len(runs) == 1
    await caller.close()
