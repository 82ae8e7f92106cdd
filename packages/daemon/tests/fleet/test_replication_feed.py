"""Cost of the feed to entry instances when the state or a change is large."""

import collections

import pytest

from bamboosill_common import wire
from bamboosill_common.generated import fleet as messages
from bamboosilld.consensus import change_notifier
from bamboosilld.fleet import replication_feed as replication_feed_lib
from bamboosilld.fleet import state as state_lib

from .conftest import Clock
from .conftest import make_configuration
from .conftest import make_item

_INSTANCES = 91
_ROUTES = 1600


def _make_routes(count):
    template = make_configuration().routes[0]
    return tuple(
        template._replace(
            name=f"route-{number}", path_prefix=f"/{number * 7919}/"
        )
        for number in range(count)
    )


class _Leader:
    """A feed and its state; counts what is encoded for the instances."""

    def __init__(self, monkeypatch):
        self.clock = Clock()
        self.state = state_lib.FleetState()
        self.encoded = collections.Counter()
        self._count(monkeypatch, self.state, "snapshot")
        self._count(monkeypatch, replication_feed_lib, "pack_commands")
        self._feed = replication_feed_lib.Feed(
            self.state,
            change_notifier.ChangeNotifier(),
            self.clock,
            lambda: replication_feed_lib.EncodedStats(
                self.state.revision, b"", b""
            ),
        )
        self.apply(make_configuration())

    def _count(self, monkeypatch, owner, name):
        encode = getattr(owner, name)

        def count(*arguments):
            self.encoded[name] += 1
            return encode(*arguments)

        monkeypatch.setattr(owner, name, count)

    def apply(self, command):
        self.state.apply(self.state.revision + 1, wire.pack(command))

    async def poll(self, replica, instance):
        """Applies one reply to an instance's copy and returns its size."""
        reply = await self._feed.answer(
            messages.Follow(replica.revision, instance, takes_packed=True)
        )
        if reply.snapshot:
            replica.restore(reply.snapshot)
        commands = reply.commands
        if reply.packed:
            commands = replication_feed_lib.unpack_commands(reply.packed)
        for each in commands:
            replica.apply(each.revision, each.command)
        assert replica.revision == reply.revision
        return replication_feed_lib.measure_content(reply).size_bytes

    async def catch_up(self, replica, instance):
        """Polls until the copy is complete; returns the bytes sent."""
        sent = 0
        for _ in range(100):
            if replica.revision == self.state.revision:
                return sent
            sent += await self.poll(replica, instance)
        raise AssertionError("the copy does not catch up")


def _assert_equal(replica, state):
    assert replica.configuration == state.configuration
    assert replica.upstreams == state.upstreams


async def test_a_large_change_does_not_occupy_the_leader_for_each_instance(
    monkeypatch,
):
    """Guards against a leader that loses its lease by adding many routes."""
    leader = _Leader(monkeypatch)
    replicas = [state_lib.FleetState() for _ in range(_INSTANCES)]
    for number, replica in enumerate(replicas):
        await leader.catch_up(replica, f"e{number}")
    leader.encoded.clear()
    leader.apply(
        make_configuration(2, 1, whole=False, routes=_make_routes(_ROUTES))
    )
    for number, replica in enumerate(replicas):
        await leader.catch_up(replica, f"e{number}")
        _assert_equal(replica, leader.state)
    assert leader.encoded.total() <= 2


@pytest.mark.parametrize("changes_between_polls", [0, 1])
async def test_instances_that_start_together_share_a_snapshot(
    monkeypatch, changes_between_polls
):
    """Guards against a slow recovery after all instances have lost power."""
    leader = _Leader(monkeypatch)
    leader.apply(
        make_configuration(2, 1, whole=False, routes=_make_routes(_ROUTES))
    )
    for slots in range(700):
        leader.apply(
            messages.SetUpstreams(upstreams=(make_item("u1", slots=slots),))
        )
    leader.encoded.clear()
    for number in range(_INSTANCES):
        replica = state_lib.FleetState()
        await leader.catch_up(replica, f"e{number}")
        _assert_equal(replica, leader.state)
        for _ in range(changes_between_polls):
            leader.apply(
                messages.SetUpstreams(
                    upstreams=(make_item("u2", slots=number),)
                )
            )
    assert leader.encoded["snapshot"] <= 1


@pytest.mark.parametrize("routes", [1, _ROUTES])
@pytest.mark.parametrize("changes_before", [0, 700])
async def test_a_starting_instance_gets_no_older_configuration(
    monkeypatch, changes_before, routes
):
    """Guards against requests routed by a configuration no longer in force."""
    leader = _Leader(monkeypatch)
    for slots in range(changes_before):
        leader.apply(
            messages.SetUpstreams(upstreams=(make_item("u1", slots=slots),))
        )
    for version in range(2, 5):
        await leader.catch_up(state_lib.FleetState(), "e1")
        leader.apply(
            make_configuration(
                version, version - 1, whole=False, routes=_make_routes(routes)
            )
        )
        leader.apply(messages.SetUpstreams(upstreams=(make_item("u2"),)))
        replica = state_lib.FleetState()
        await leader.poll(replica, "e1")
        assert replica.configuration.version == version


async def test_many_whole_configurations_are_not_sent_one_by_one(monkeypatch):
    """Guards against links saturated by configurations that were replaced."""
    leader = _Leader(monkeypatch)
    replica = state_lib.FleetState()
    await leader.catch_up(replica, "e1")
    for version in range(2, 30):
        leader.apply(
            make_configuration(
                version, version - 1, routes=_make_routes(_ROUTES)
            )
        )
    snapshot_bytes = len(leader.state.snapshot())
    assert await leader.catch_up(replica, "e1") < 3 * snapshot_bytes
    _assert_equal(replica, leader.state)


async def test_the_rest_after_a_large_change_is_not_delayed(monkeypatch):
    """Guards against a configuration that is late by a delay for each part."""
    leader = _Leader(monkeypatch)
    for number in range(_INSTANCES):
        await leader.catch_up(state_lib.FleetState(), f"e{number}")
    replica = state_lib.FleetState()
    await leader.catch_up(replica, "e1")
    leader.apply(messages.SetUpstreams(upstreams=(make_item("u1"),)))
    leader.apply(
        make_configuration(2, 1, whole=False, routes=_make_routes(_ROUTES))
    )
    leader.apply(messages.SetUpstreams(upstreams=(make_item("u2"),)))
    await leader.poll(replica, "e1")
    begun_s = leader.clock.now_s
    await leader.catch_up(replica, "e1")
    assert leader.clock.now_s == begun_s


async def test_instances_that_were_replaced_are_forgotten(monkeypatch):
    """Guards against tables that grow with each instance that ever polled."""
    leader = _Leader(monkeypatch)
    for number in range(200):
        leader.clock.now_s += 2.0
        await leader.poll(state_lib.FleetState(), f"e{number}")
    feed = leader._feed
    for table in (
        feed._last_request_s,
        feed._last_reply_s,
        feed._last_stats_s,
        feed.forwarders._entries,
    ):
        assert len(table) < 10


@pytest.mark.parametrize("is_evacuated", [True, False])
async def test_the_first_reply_has_the_orders_in_force(
    monkeypatch, is_evacuated
):
    """Guards against an instance that serves callers before it knows an order.

    The snapshot that an earlier instance got is older than the order.
    """
    leader = _Leader(monkeypatch)
    if not is_evacuated:
        leader.apply(messages.SetEvacuation("z2", True))
    await leader.poll(state_lib.FleetState(), "e1")
    leader.apply(messages.SetEvacuation("z2", is_evacuated))
    replica = state_lib.FleetState()
    await leader.poll(replica, "e2")
    assert replica.configuration.version == 1
    assert replica.evacuated_zones == leader.state.evacuated_zones
    leader.encoded.clear()
    await leader.poll(state_lib.FleetState(), "e3")
    assert leader.encoded["snapshot"] == 0
