"""Keys that are granted by calls: one holder, whatever becomes of a call."""

import asyncio
import itertools
import random

import pytest

from bamboosill_common.generated import fleet as messages

from . import call_network
from .call_network import CallFleet
from .call_network import Fate

pytestmark = [pytest.mark.looptime]

# Within this time after the last fault, all keys have a holder again: a lease,
# its margins, and the calls that follow.
_RECOVERY_S = 12.0
_FATES = (
    call_network.GOOD,
    call_network.LOST,
    call_network.UNANSWERED,
    Fate(late_s=1.5, is_answered=False),
    Fate(travel_s=0.5, late_s=3.0, is_answered=False),
)


async def _start(fleet, count=3):
    for number in range(count):
        fleet.start_upstream(f"u{number}")
    await asyncio.sleep(4.0)


@pytest.mark.parametrize("count", [1, 2, 7])
async def test_all_keys_are_granted_and_renewed(count):
    """Guards against keys without a holder, or that are not renewed."""
    fleet = CallFleet()
    await _start(fleet, count)
    for _ in range(10):
        assert fleet.list_keys_without_holder() == []
        await asyncio.sleep(1.0)
    assert fleet.violations == []
    await fleet.stop()


async def test_keys_of_a_leaving_upstream_move_with_its_handover():
    """Guards against keys that wait for the lease of one that shuts down."""
    fleet = CallFleet()
    await _start(fleet)
    leaving = fleet.upstreams["u0"]
    held = leaving.list_held()
    leaving.item = leaving.item._replace(draining=True)
    await asyncio.sleep(1.5)
    assert leaving.list_held() == []
    assert fleet.list_keys_without_holder() == []
    table = fleet.state.keys["keyed"]
    for each in held:
        assert {
            part.handover for part in table.intersect(each.first, each.last)
        } == {"handover"}
    assert fleet.violations == []
    await fleet.stop()


async def test_keys_are_not_given_on_while_their_holder_works_on_them():
    """Guards against a new holder before the work of the last has ended."""
    fleet = CallFleet()
    await _start(fleet)
    leaving = fleet.upstreams["u0"]
    key = leaving.list_held()[0].first
    leaving.begin_run(key, 2.5)
    leaving.item = leaving.item._replace(draining=True)
    await asyncio.sleep(2.0)
    assert not any(each.holds(key) for each in fleet.upstreams.values())
    await asyncio.sleep(2.5)
    assert any(each.holds(key) for each in fleet.upstreams.values())
    assert fleet.violations == []
    await fleet.stop()


async def test_keys_of_a_crashed_upstream_are_granted_to_others():
    """Guards against keys that stay with an upstream that does not respond."""
    fleet = CallFleet()
    await _start(fleet)
    fleet.upstreams["u0"].is_up = False
    await asyncio.sleep(7.0)
    assert fleet.list_keys_without_holder() == []
    assert fleet.violations == []
    await fleet.stop()


async def test_a_deregistered_upstream_is_asked_for_its_keys():
    """Guards against keys that wait for the lease of one that still serves."""
    fleet = CallFleet()
    await _start(fleet)
    leaving = fleet.upstreams["u0"]
    await fleet.authority.handle_leave(messages.UpstreamLife("u0", 1))
    await asyncio.sleep(1.0)
    assert leaving.list_held() == []
    assert fleet.list_keys_without_holder() == []
    assert fleet.violations == []
    await fleet.stop()


@pytest.mark.parametrize("keeps_id", [True, False])
@pytest.mark.parametrize("down_s", [0.0, 0.5, 3.0])
async def test_a_process_started_again_never_shares_keys(keeps_id, down_s):
    """Guards against a call for a former process that reaches a later one."""
    fleet = CallFleet()
    await _start(fleet)
    former = fleet.upstreams["u0"]
    former.is_up = False
    await asyncio.sleep(down_s)
    name = "u0" if keeps_id else "other"
    later = fleet.start_upstream(name, 2, address=former.item.address)
    # A renewal for the former process that was under way.
    for each in former.keys.ranges:
        later.keys.grant(
            each._replace(
                end_s=asyncio.get_running_loop().time() + call_network.LEASE_S
            )
        )
    await asyncio.sleep(_RECOVERY_S)
    assert fleet.violations == []
    assert fleet.list_keys_without_holder() == []
    await fleet.stop()


async def test_a_refused_grant_is_repeated_with_another_fence():
    """Guards against the same refused call sent again and again."""
    refused = []

    def choose_fate(name, item, part):
        if name == "grant" and len(refused) < 4:
            refused.append(part.fence)
            return Fate(status=409)
        return call_network.GOOD

    fleet = CallFleet(choose_fate)
    await _start(fleet, 1)
    await asyncio.sleep(4.0)
    assert fleet.list_keys_without_holder() == []
    for _, calls in itertools.groupby(
        sorted(
            (each for each in fleet.network.calls if each[2].fence in refused),
            key=lambda call: call[2],
        ),
        key=lambda call: call[2],
    ):
        assert len(list(calls)) == 1
    await fleet.stop()


async def test_an_upstream_that_hangs_delays_no_other():
    """Guards against calls that wait behind those to a failed upstream."""
    fleet = CallFleet(
        lambda name, item, part: (
            call_network.LOST if item.upstream == "u0" else call_network.GOOD
        )
    )
    await _start(fleet, 8)
    for _ in range(20):
        for name, upstream in fleet.upstreams.items():
            assert name == "u0" or upstream.list_held()
        await asyncio.sleep(0.5)
    assert fleet.list_keys_without_holder() == []
    assert fleet.violations == []
    await fleet.stop()


async def test_calls_are_few_while_nothing_changes():
    """Guards against renewals far more often than leases need them."""
    fleet = CallFleet()
    await _start(fleet, 4)
    before = len(fleet.network.calls)
    await asyncio.sleep(30.0)
    ranges = len(fleet.state.keys["keyed"].ranges)
    assert len(fleet.network.calls) - before < ranges * 40
    await fleet.stop()


async def test_a_change_of_the_delivery_waits_for_the_former_leases():
    """Guards against keys granted while heartbeats had them renewed."""
    fleet = CallFleet()
    await _start(fleet, 2)
    change = messages.ChangeConfiguration(
        version=2,
        base=1,
        digest=b"2",
        services=(messages.ServiceItem(name="keyed", sharded=True),),
    )
    fleet.state._change_configuration(change)
    held = fleet.upstreams["u0"].list_held()
    fleet.upstreams["u0"].is_up = False
    await asyncio.sleep(2.0)
    table = fleet.state.keys["keyed"]
    assert {table.find(each.first).upstream for each in held} == {"u0"}
    await fleet.stop()


# The calls to the upstream that gives keys up, in the order in which they are
# sent: the last renewal before the release, the release, and its repetition.
@pytest.mark.parametrize("renewal", _FATES)
@pytest.mark.parametrize("release", _FATES)
@pytest.mark.parametrize("repetition", _FATES)
@pytest.mark.parametrize("election_s", [None, 0.1, 0.8])
async def test_every_order_of_arrival_leaves_one_holder(
    renewal, release, repetition, election_s
):
    """Guards against a late grant of keys that another upstream has got.

    Calls are lost, unanswered, slow on their way or carried out late, and the
    leader changes between them.
    """
    fates = {"grant": [], "release": [release, repetition]}

    def choose_fate(name, item, part):
        if item.upstream != "u0" or not is_begun or not fates[name]:
            return call_network.GOOD
        return fates[name].pop(0)

    is_begun = False
    fleet = CallFleet(choose_fate)
    await _start(fleet, 2)
    # Each range is renewed once under the fate, then released.
    is_begun = True
    fates["grant"] = [renewal] * len(fleet.upstreams["u0"].list_held())
    await asyncio.sleep(1.2)
    upstream = fleet.upstreams["u0"]
    upstream.item = upstream.item._replace(draining=True)
    await fleet.authority.handle_report(
        messages.UpstreamReport(upstream.item, 1000)
    )
    if election_s is not None:
        await asyncio.sleep(election_s)
        fleet.elect()
    await asyncio.sleep(_RECOVERY_S)
    assert fleet.violations == []
    assert fleet.list_keys_without_holder() == []
    assert upstream.list_held() == []
    await fleet.stop()


@pytest.mark.parametrize("seed", range(16))
async def test_one_holder_under_random_faults(seed):
    """Guards against two holders under calls with random fates."""
    rng = random.Random(seed)

    def choose_fate(name, item, part):
        if not is_faulty or rng.random() < 0.6:
            return Fate(travel_s=rng.uniform(0.0, 0.01))
        return rng.choice(
            (
                *_FATES,
                Fate(travel_s=rng.uniform(0.0, 0.59)),
                Fate(late_s=rng.uniform(0.0, 4.0)),
                Fate(status=rng.choice((400, 409, 500, 503))),
            )
        )

    is_faulty = True
    fleet = CallFleet(choose_fate)
    await _start(fleet, 5)
    born_ms = 1
    for _ in range(60):
        await asyncio.sleep(rng.uniform(0.0, 1.0))
        upstream = rng.choice(list(fleet.upstreams.values()))
        if held := upstream.list_held():
            upstream.begin_run(rng.choice(held).first, rng.uniform(0.0, 2.0))
        match rng.randrange(8):
            case 0:
                fleet.elect()
            case 1:
                upstream.item = upstream.item._replace(draining=True)
            case 2:
                upstream.is_up = False
            case 3 | 4 if not upstream.is_up or upstream.item.draining:
                upstream.is_up = False
                born_ms += 1
                fleet.start_upstream(upstream.item.upstream, born_ms)
            case 5:
                _make_busy(fleet, upstream, rng)
    is_faulty = False
    for name, upstream in list(fleet.upstreams.items()):
        if not upstream.is_up or upstream.item.draining:
            upstream.is_up = False
            born_ms += 1
            fleet.start_upstream(name, born_ms)
    await asyncio.sleep(_RECOVERY_S)
    without_holder = fleet.list_keys_without_holder()
    await fleet.stop()
    assert fleet.violations == []
    assert without_holder == []


def _make_busy(fleet, upstream, rng):
    """Makes the keys of an upstream busy, so that some move away."""
    observations = fleet.authority.observations
    for each in upstream.list_held():
        for block in range(each.first // 8 + 1, each.last // 8):
            observations.work_rates["keyed"].add(block, rng.uniform(1.0, 30.0))
    observations.relative_latencies.add(upstream.item.upstream, 4.0, 1e6)


async def test_busy_keys_move_at_once():
    """Guards against moved keys that wait for heartbeats."""
    fleet = CallFleet()
    await _start(fleet, 3)
    await asyncio.sleep(4.0)
    _make_busy(fleet, fleet.upstreams["u0"], random.Random(1))
    before = _list_granted(fleet, "u0")
    await asyncio.sleep(0.5)
    assert _list_granted(fleet, "u0") != before
    assert fleet.list_keys_without_holder() == []
    assert fleet.violations == []
    await fleet.stop()


def _list_granted(fleet, name):
    return fleet.state.keys["keyed"].list_held(name, 1)
