"""Tests of control instances that answer polls in place of the leader."""

import asyncio

import pytest
from returns.result import Failure
from returns.result import Success

from bamboosill_common import errors
from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.consensus import change_notifier
from bamboosilld.fleet import follower as follower_lib
from bamboosilld.fleet import relay as relay_lib
from bamboosilld.fleet import state as state_lib

from .conftest import Clock
from .conftest import make_configuration
from .conftest import make_item

_ZONE = "z1"


class _Fleet:
    """A leader and a relay, each with a copy of the state."""

    def __init__(self, entry_count=30):
        self.clock = Clock()
        self.entry_count = entry_count
        self.is_leader_reachable = True
        self.states = [state_lib.FleetState(), state_lib.FleetState()]
        self.received = []
        self.limits = ()
        changed = change_notifier.ChangeNotifier()
        self.relay = relay_lib.Relay(
            "c2", self.states[1], changed, self.clock, self._handle
        )
        self.apply(make_configuration())
        self.apply(messages.SetUpstreams((make_item("u1"), make_item("u2"))))

    def apply(self, command, members=(0, 1)):
        for member in members:
            state = self.states[member]
            state.apply(state.revision + 1, wire.pack(command))

    async def _handle(self, request):
        if not self.is_leader_reachable:
            return Failure(errors.PeerError("timeout", "c1", True))
        self.received.append(relay_lib.read_polls(request))
        state = self.states[0]
        return Success(
            messages.RelayPollsReply(
                state.revision,
                self.entry_count,
                bytes(range(1, 1 + len(state.upstreams))),
                bytes([96] * len(state.upstreams)),
                limits=self.limits,
                forwarders=(messages.EntryAddress("e9", "z2"),),
                forwarders_version=7,
            )
        )

    async def poll(self, revision=0, instance="e1"):
        return await self.relay.answer(
            messages.Follow(revision, instance), _ZONE
        )


async def test_a_relay_serves_the_state_and_the_stats_of_the_leader():
    """Guards against polls of each instance that cross zones.

    Twenty polls of a zone reach the leader in one message.
    """
    fleet = _Fleet()
    await fleet.relay.exchange()
    for number in range(20):
        reply = await fleet.poll(instance=f"e{number}")
        assert reply.snapshot and reply.entry_count == 30
    later = await fleet.poll(1, "e99")
    assert later.loads == b"\x01\x02" and later.paces == b"\x60\x60"
    assert messages.EntryAddress("e9", "z2") in later.forwarders
    await fleet.relay.exchange()
    assert [len(polls) for polls in fleet.received] == [0, 21]


@pytest.mark.parametrize(
    ("entry_count", "passed_s", "lag_s", "is_current"),
    [
        (30, 0.0, None, True),
        (30, 0.5, None, True),
        (30, 0.7, None, False),
        (10, 0.0, None, False),
        (30, 0.0, 0.2, True),
        (30, 0.0, 0.4, False),
    ],
)
async def test_a_relay_answers_only_while_it_is_current(
    entry_count, passed_s, lag_s, is_current
):
    """Guards against an old configuration from a relay that is cut off."""
    fleet = _Fleet(entry_count)
    assert not fleet.relay.is_current
    if lag_s is not None:
        fleet.apply(make_configuration(), members=(0,))
    await fleet.relay.exchange()
    if lag_s is not None:
        fleet.clock.now_s += lag_s
        await fleet.relay.exchange()
    fleet.clock.now_s += passed_s
    assert fleet.relay.is_current == is_current


async def test_a_relay_is_current_again_after_it_has_caught_up():
    """Guards against relays that stay out of use after a slow disk."""
    fleet = _Fleet()
    fleet.apply(make_configuration(), members=(0,))
    await fleet.relay.exchange()
    fleet.clock.now_s += 0.5
    assert not fleet.relay.is_current
    fleet.apply(make_configuration(), members=(1,))
    await fleet.relay.exchange()
    assert fleet.relay.is_current


async def test_stats_wait_for_the_revision_to_which_they_belong():
    """Guards against loads that are given to the wrong upstreams."""
    fleet = _Fleet()
    await fleet.relay.exchange()
    added = messages.SetUpstreams((make_item("u0"),))
    fleet.apply(added, members=(0,))
    await fleet.relay.exchange()
    assert (await fleet.poll(1, "e1")).loads == b"\x01\x02"
    fleet.apply(added, members=(1,))
    assert (await fleet.poll(1, "e2")).loads == b"\x01\x02\x03"


async def test_limits_age_at_the_relay():
    """Guards against a limit that seems newer than a later observation."""
    fleet = _Fleet()
    fleet.limits = (
        messages.UpstreamLimit("u1", 1, 5.0, age_ms=100, cold_ms=300),
    )
    await fleet.relay.exchange()
    fleet.clock.now_s += 0.4
    (limit,) = (await fleet.poll()).limits
    assert limit.age_ms >= 500 and limit.cold_ms == 0


@pytest.mark.parametrize(
    "change",
    [
        messages.SetUpstreams((make_item("u1"),)),
        messages.SetEvacuation("z1", False),
    ],
)
async def test_limits_from_before_a_change_are_not_sent(change):
    """Guards against an old limit that makes a cold upstream warm."""
    fleet = _Fleet()
    item = make_item("u1")
    fleet.limits = (messages.UpstreamLimit("u1", item.born_ms, 5.0),)
    await fleet.relay.exchange()
    assert (await fleet.poll(1, "e1")).limits
    fleet.apply(change)
    assert not (await fleet.poll(1, "e2")).limits
    await fleet.relay.exchange()
    assert (await fleet.poll(1, "e3")).limits


class _Directory:
    """A leader that names a relay, and the relay, which may refuse."""

    def __init__(self):
        self.polled = []
        self.refuses = False

    async def call(self, address, request, reply_type, *timeouts_s):
        self.polled.append(address)
        await asyncio.sleep(0)
        if address == "relay" and self.refuses:
            return Failure(errors.PeerError("not_leader", "c1", True))
        reply = messages.FollowReply(request.revision, entry_count=30)
        if address == "relay":
            return Success(reply._replace(leader="c1"))
        return Success(reply._replace(relays=("relay",)))


async def test_an_instance_polls_a_relay_while_it_answers():
    """Guards against instances that stay with a relay that has failed."""
    clock = Clock()
    directory = _Directory()
    follower = follower_lib.Follower(
        "e1",
        directory,
        clock,
        lambda: ("c1",),
        follower_lib.Measurements,
        lambda loads: None,
    )
    task = asyncio.create_task(follower.run())

    async def poll(count):
        directory.polled.clear()
        for _ in range(1000):
            if len(directory.polled) >= count:
                break
            await asyncio.sleep(0)
        return directory.polled[:count]

    assert await poll(3) == ["c1", "relay", "relay"]
    directory.refuses = True
    assert (await poll(4))[-2:] == ["c1", "c1"]
    directory.refuses = False
    clock.now_s += 3.0
    assert (await poll(4))[-1] == "relay"
    assert follower.synced_s > 0
    task.cancel()


@pytest.mark.parametrize(
    ("zone", "entry_count", "passed_s", "expected"),
    [
        ("z1", 24, 0.5, ("c2", "c3")),
        ("z1", 23, 0.5, ()),
        ("z2", 24, 0.5, ()),
        ("z1", 24, 1.5, ()),
    ],
)
def test_the_leader_names_relays_that_work(
    zone, entry_count, passed_s, expected
):
    """Guards against polls of relays that have ended or are elsewhere."""
    clock = Clock()
    relays = relay_lib.Relays(clock)
    for address in ("c3", "c2"):
        relays.record_exchange("z1", address)
    clock.now_s += passed_s
    assert relays.list_addresses(zone, entry_count) == expected
