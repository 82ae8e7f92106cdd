"""Registration of upstreams and grants of keys by the leader."""

import asyncio
import itertools

import pytest

from bamboosill_common import errors
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import keyranges
from bamboosilld.fleet import state as state_lib

from .conftest import make_configuration
from .conftest import make_item

_LEASE_S = 4.0


def _list_keys(grants):
    return {(each.first, each.last) for each in grants}


async def test_each_key_is_granted_once(fleet):
    """Guards against two holders of one key."""
    grants = await fleet.distribute(make_item("u1"), make_item("u2"))
    granted_ranges = sorted(
        (each.first, each.last) for held in grants.values() for each in held
    )
    assert granted_ranges[0][0] == 0
    assert granted_ranges[-1][1] == 65535
    for before, after in itertools.pairwise(granted_ranges):
        assert before[1] + 1 == after[0]


async def test_concurrent_reports_do_not_get_the_same_keys(fleet):
    """Guards against a free range granted to two concurrent heartbeats."""
    items = [make_item("u1"), make_item("u2"), make_item("u3")]
    grants = await fleet.distribute(*items)
    released = [
        messages.ReleasedRange(each.first, each.last, "token")
        for each in grants["u3"]
    ]
    await fleet.report(items[2]._replace(draining=True), (), released)
    fleet.clock.now_s += 1.0
    fleet.node.commits.clear()
    waiting = [asyncio.create_task(fleet.report(item)) for item in items[:2]]
    await asyncio.sleep(0.01)
    fleet.node.commits.set()
    first, second = await asyncio.gather(*waiting)
    assert not _list_keys(first.grants) & _list_keys(second.grants)


async def test_a_late_report_renews_nothing(fleet):
    """Guards against a lease renewed by a delayed heartbeat."""
    item = make_item("u1")
    await fleet.distribute(item)
    reply = await fleet.report(item, sequence=1)
    assert reply.accepted
    assert not reply.renewed


async def test_a_draining_upstream_gets_no_keys(fleet):
    """Guards against keys that stay with an upstream that shuts down."""
    items = [make_item("u1"), make_item("u2")]
    grants = await fleet.distribute(*items)
    leaving = items[0]._replace(draining=True)
    reply = await fleet.report(leaving, grants["u1"])
    assert reply.renewed
    assert not reply.grants
    released = [
        messages.ReleasedRange(each.first, each.last, "token")
        for each in grants["u1"]
    ]
    await fleet.report(leaving, (), released)
    fleet.clock.now_s += 1.0
    reply = await fleet.report(items[1])
    assert _list_keys(grants["u1"]) <= _list_keys(reply.grants) | {
        (each.first, each.last) for each in fleet.state.keys["keyed"].ranges
    }
    assert "token" in {each.handover for each in reply.grants}


@pytest.mark.parametrize(
    ("silence_s", "is_free"), [(3.0, False), (_LEASE_S * 1.02 + 0.4, True)]
)
async def test_keys_of_a_silent_upstream_are_freed_when_its_lease_has_ended(
    fleet, silence_s, is_free
):
    """Guards against a second holder while the first may still use its keys."""
    items = [make_item("u1"), make_item("u2")]
    await fleet.distribute(*items)
    fleet.clock.now_s += silence_s
    await fleet.report(items[1])
    await fleet.authority.tick()
    held = fleet.state.keys["keyed"].list_held("u1", 1)
    assert (not held) == is_free


async def test_a_new_leader_frees_nothing_before_older_leases_have_ended(
    fleet,
):
    """Guards against a new leader that ignores renewals by its predecessor."""
    items = [make_item("u1"), make_item("u2")]
    await fleet.distribute(*items)
    fleet.clock.now_s += 100.0
    fleet.node.elected_at_s = 2.0
    assert fleet.authority.is_active_leader()
    await fleet.authority.tick()
    assert fleet.state.keys["keyed"].list_held("u1", 1)
    fleet.clock.now_s += _LEASE_S + 0.5
    await fleet.authority.tick()
    assert not fleet.state.keys["keyed"].list_held("u1", 1)


async def test_a_later_life_does_not_inherit_grants_or_fences(fleet):
    """Guards against a restarted upstream that continues with old grants."""
    items = [make_item("u1"), make_item("u2")]
    grants = await fleet.distribute(*items)
    fences = {each.fence for each in grants["u1"]}
    again = make_item("u1", born_ms=9)
    reply = await fleet.report(again)
    assert not reply.grants
    await fleet.authority.tick()
    assert not fleet.state.keys["keyed"].list_held("u1", 1)
    fleet.clock.now_s += 1.0
    reply = await fleet.report(again)
    assert reply.grants
    assert not {each.fence for each in reply.grants} & fences


@pytest.mark.parametrize("names", [("u1",), ("u1", "u2")])
async def test_keys_are_granted_again_after_all_holders_were_lost(fleet, names):
    """Guards against keys that stay free once no upstream holds any."""
    await fleet.distribute(*map(make_item, names))
    fleet.clock.now_s += _LEASE_S + 1.0
    await fleet.authority.tick()
    assert not any(each.upstream for each in fleet.state.keys["keyed"].ranges)
    items = [make_item(name, born_ms=2) for name in names]
    grants = await fleet.distribute(*items)
    assert all(grants.values())


@pytest.mark.parametrize("count", [10, 40])
async def test_a_heartbeat_costs_the_same_with_many_upstreams(
    fleet, monkeypatch, count
):
    """Guards against a leader that looks at all upstreams for each heartbeat.

    It does so when keys have become free.
    """
    items = [
        make_item(f"u{number}", address=f"10.0.1.{number}:80")
        for number in range(count)
    ]
    grants = await fleet.distribute(*items)
    released = [
        messages.ReleasedRange(each.first, each.last, "token")
        for each in grants["u0"]
    ]
    await fleet.report(items[0]._replace(draining=True), (), released)
    calls = []
    granter = fleet.authority._granter
    list_holders = granter._list_holders

    def count_calls(service):
        calls.append(service)
        return list_holders(service)

    monkeypatch.setattr(granter, "_list_holders", count_calls)
    for item in items[1:]:
        await fleet.report(item, grants[item.upstream])
    assert len(calls) <= 2
    assert not fleet.state.keys["keyed"].list_held("", 0)


async def test_an_earlier_life_is_refused(fleet):
    """Guards against a delayed heartbeat of a process that has ended."""
    await fleet.report(make_item("u1", born_ms=9))
    reply = await fleet.report(make_item("u1", born_ms=3))
    assert not reply.accepted


async def test_a_leader_that_lost_its_lease_renews_nothing(fleet):
    """Guards against leases granted by a former leader."""
    item = make_item("u1")
    await fleet.distribute(item)
    fleet.node.is_leader = False
    with pytest.raises(errors.HandlerError):
        await fleet.report(item)


async def test_a_deregistered_upstream_stays_removed(fleet):
    """Guards against requests to an upstream that has deregistered itself."""
    item = make_item("u1")
    await fleet.report(item)
    await fleet.authority.handle_leave(messages.UpstreamLife("u1", 1))
    assert not fleet.state.upstreams
    assert not (await fleet.report(item)).accepted


async def test_only_upstreams_silent_for_long_are_removed(fleet):
    """Guards against removing upstreams during a short network partition."""
    await fleet.report(make_item("u1"))
    fleet.clock.now_s += 12.0
    await fleet.authority.tick()
    assert "u1" in fleet.state.upstreams
    fleet.clock.now_s += 12.0
    await fleet.authority.tick()
    assert "u1" not in fleet.state.upstreams
    assert not fleet.state.has_ended(state_lib.UpstreamIncarnation("u1", 1))


@pytest.mark.parametrize(
    ("instances", "late", "is_suspect"),
    [(1, False, False), (3, False, True), (1, True, True)],
)
async def test_one_instance_alone_does_not_make_an_upstream_suspect(
    fleet, instances, late, is_suspect
):
    """Guards against the reports of an entry instance that is partitioned."""
    await fleet.report(make_item("u1"))
    fleet.clock.now_s += 2.0 if late else 0.1
    load = messages.UpstreamLoad("u1", 0, True)
    for number in range(instances):
        fleet.authority.observations.add(
            messages.Follow(instance=f"e{number}", loads=(load,))
        )
    assert (fleet.authority.encode_stats().loads == b"\xff") == is_suspect


async def test_keys_are_not_freed_before_their_new_holder_gets_the_reply(fleet):
    """Guards against a tick that frees a grant whose commit is slow.

    An upstream whose lease has expired reports again and is granted keys. A
    tick between the commit and the renewal must not take the keys for expired.
    """
    items = [make_item("u1"), make_item("u2")]
    grants = await fleet.distribute(*items)
    fleet.clock.now_s += _LEASE_S + 1.0
    await fleet.report(items[1])
    await fleet.authority.tick()
    # The reservation for the other upstream has expired.
    fleet.clock.now_s += 1.6
    fleet.node.post_commit_delay_s = 0.05
    waiting = asyncio.create_task(fleet.report(items[0]))
    await asyncio.sleep(0.01)
    await fleet.authority.tick()
    reply = await waiting
    await fleet.authority.tick()
    held = fleet.state.keys["keyed"].list_held("u1", 1)
    assert reply.grants
    assert _list_keys(reply.grants) == _list_keys(held)
    assert grants["u1"]


@pytest.mark.parametrize("cause", ["lease", "release"])
async def test_keys_that_are_being_freed_are_not_renewed(fleet, cause):
    """Guards against a renewal while freeing the keys is being committed."""
    items = [make_item("u1"), make_item("u2")]
    grants = await fleet.distribute(*items)
    if cause == "lease":
        fleet.clock.now_s += _LEASE_S + 1.0
        await fleet.report(items[1])
    fleet.node.commits.clear()
    if cause == "lease":
        freeing = asyncio.create_task(fleet.authority.tick())
    else:
        released = [
            messages.ReleasedRange(each.first, each.last, "token")
            for each in grants["u1"]
        ]
        freeing = asyncio.create_task(fleet.report(items[0], (), released))
    await asyncio.sleep(0.01)
    renewing = asyncio.create_task(fleet.report(items[0]))
    await asyncio.sleep(0.01)
    assert not renewing.done() or not renewing.result().grants
    fleet.node.commits.set()
    await freeing
    reply = await renewing
    held = fleet.state.keys["keyed"].list_held("u1", 1)
    assert _list_keys(reply.grants) <= _list_keys(held)


@pytest.mark.parametrize(
    ("earlier_fence", "holds_again", "is_freed"),
    [
        # Held, then released.
        (0, False, True),
        # Released, and granted again since the lost acknowledgement.
        (0, True, False),
        # The upstream has not reported the grant, only an older one, or none.
        (-1, False, False),
        (None, False, False),
    ],
)
async def test_a_release_of_an_earlier_hold_frees_no_keys(
    fleet, earlier_fence, holds_again, is_freed
):
    """Guards against keys given on while their holder works on them."""
    item = make_item("u1")
    grants = (await fleet.distribute(item, make_item("u2")))["u1"]
    released = [
        messages.ReleasedRange(each.first, each.last, "token")
        for each in grants
    ]
    earlier = [
        each._replace(fence=each.fence + (earlier_fence or 0))
        for each in grants
        if earlier_fence is not None
    ]
    await fleet.report(item, earlier)
    reply = await fleet.report(item, grants if holds_again else (), released)
    # Freed keys may be granted to the same upstream again, with another fence.
    fences = {each.fence for each in reply.grants}
    assert (fences == {each.fence for each in grants}) == (not is_freed)


async def test_unconfirmed_releases_of_a_draining_upstream_are_freed_later(
    fleet,
):
    """Guards against keys that stay with an upstream that shuts down."""
    item = make_item("u1", draining=True)
    grants = (await fleet.distribute(make_item("u1"), make_item("u2")))["u1"]
    await fleet.report(item)
    released = [
        messages.ReleasedRange(each.first, each.last, "token")
        for each in grants
    ]
    for silence_s in (0.0, 1.5, 1.5, 1.5):
        assert fleet.state.keys["keyed"].list_held("u1", 1)
        fleet.clock.now_s += silence_s
        await fleet.report(item, (), released)
        await fleet.authority.tick()
    assert not fleet.state.keys["keyed"].list_held("u1", 1)


async def test_a_high_load_does_not_mark_an_upstream_suspect(fleet):
    """Guards against encoding a high load as a suspected upstream."""
    await fleet.report(make_item("u1"))
    load = messages.UpstreamLoad("u1", 300)
    fleet.authority.observations.add(
        messages.Follow(instance="e1", loads=(load,))
    )
    assert fleet.authority.encode_stats().loads == b"\xfe"


async def test_released_keys_go_to_the_upstream_that_they_were_planned_for(
    fleet,
):
    """Guards against moved keys that go to any upstream, even a busy one."""
    items = [make_item(name) for name in ("u1", "u2", "u3")]
    grants = await fleet.distribute(*items)
    observations = fleet.authority.observations
    for each in grants["u1"]:
        for block in range(each.first // 8 + 1, each.last // 8):
            observations.work_rates["keyed"].add(block, 1.0)
    observations.relative_latencies.add("u1", 4.0, 1e6)
    observations.relative_latencies.add("u3", 0.5, 1e6)
    fleet.clock.now_s += 2.5
    for each in (items[0], items[2]):
        await fleet.report(each)
    await fleet.authority.tick()
    kept = _list_keys((await fleet.report(items[0], grants["u1"])).grants)
    moved = [part for each in grants["u1"] for part in _subtract(each, kept)]
    assert moved
    released = [messages.ReleasedRange(*part, "token") for part in moved]
    await fleet.report(items[0], (), released)
    reply = await fleet.report(items[1])
    assert not {each.handover for each in reply.grants} & {"token"}
    reply = await fleet.report(items[2])
    assert "token" in {each.handover for each in reply.grants}


def _subtract(each, kept):
    parts = [each]
    for first, last in kept:
        parts = [
            part
            for whole in parts
            for part in keyranges.subtract(whole, first, last)
        ]
    return [(part.first, part.last) for part in parts]


async def test_a_reservation_for_a_silent_upstream_expires(fleet):
    """Guards against keys that stay reserved for a silent upstream."""
    items = [make_item(name) for name in ("u1", "u2", "u3")]
    grants = await fleet.distribute(*items)
    released = [
        messages.ReleasedRange(each.first, each.last, "token")
        for each in grants["u1"]
    ]
    leaving = items[0]._replace(draining=True)
    await fleet.report(leaving, (), released)
    await fleet.authority.tick()
    for _ in range(2):
        fleet.clock.now_s += 1.6
        await fleet.report(items[1])
        await fleet.authority.tick()
    await fleet.report(items[1])
    table = fleet.state.keys["keyed"]
    assert all(each.upstream in ("u2", "u3") for each in table.ranges)


async def test_upstreams_that_were_replaced_are_forgotten(fleet):
    """Guards against tables that grow with each upstream that ever reported."""
    for number in range(200):
        fleet.clock.now_s += 5.0
        await fleet.report(make_item("u1", born_ms=number + 1))
        await fleet.report(make_item(f"v{number}"))
        await fleet.authority.tick()
    authority = fleet.authority
    assert len(authority._last_reports) < 50
    assert len(authority._granter.get_delivery("keyed")._holds) < 50


@pytest.mark.parametrize(
    "change",
    [
        {"service": "nobody", "born_ms": 2},
        {"service": "", "born_ms": 2},
        {"service": "nobody", "born_ms": 2, "address": "10.9.9.9:80"},
        {"service": "nobody", "born_ms": 2, "upstream": "other"},
        {"service": "nobody", "born_ms": 2, "draining": True},
        {"born_ms": 2**64 - 1},
        {"born_ms": 2**64 - 1, "upstream": "other"},
    ],
)
async def test_a_heartbeat_that_names_no_upstream_takes_no_keys(fleet, change):
    """Guards against keys with two holders after a heartbeat of another writer.

    Seen in review/1: the registered upstream counted as replaced, and its keys
    were given to others while it held them.
    """
    items = [make_item(name) for name in ("u1", "u2")]
    grants = await fleet.distribute(*items)
    before = dict(fleet.state.upstreams)
    odd = items[0]._replace(**change)
    assert (await fleet.report(odd)).accepted
    await fleet.authority.tick()
    assert fleet.state.upstreams == before
    reply = await fleet.report(items[0], grants["u1"])
    assert reply.renewed
    assert reply.grants == grants["u1"]


async def test_an_upstream_is_registered_once_its_service_is_known(fleet):
    """Guards against an upstream that started before its service was added."""
    item = make_item("u1", service="later")
    assert (await fleet.report(item)).accepted
    assert not fleet.state.upstreams
    services = (*fleet.state.configuration.services,)
    change = make_configuration(
        2, 1, services=(*services, messages.ServiceItem(name="later"))
    )
    fleet.state.apply(fleet.state.revision + 1, wire.pack(change))
    await fleet.report(item)
    assert list(fleet.state.upstreams) == ["u1"]
