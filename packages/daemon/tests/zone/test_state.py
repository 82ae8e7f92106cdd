"""Tests of the replicated state of a zone group."""

import random

import hypothesis
from hypothesis import strategies
import pytest

from bamboosill_common import requestid
from bamboosill_common import sharding
from bamboosill_common import wire
from bamboosill_common.generated import control
from bamboosill_common.generated import zone as messages
from bamboosilld.zone import assignments
from bamboosilld.zone import state as state_lib

KEYSPACE = "shop/hold/all"
SHARDS = 3
Key = assignments.AssignmentKey


def make_feed(revision, epochs, zones=None, releasing=False, group_epoch=1):
    zones = zones or ("z",) * len(epochs)
    items = (
        control.KeyspaceItem(
            keyspace=KEYSPACE,
            revision=revision,
            service="shop",
            zone_loss="hold",
            shards=len(epochs),
        ),
        control.DelegationItem(
            keyspace=KEYSPACE,
            revision=revision,
            zones=tuple(zones),
            epochs=tuple(epochs),
            group_epochs=(group_epoch,) * len(epochs),
            id_floors_ms=(0,) * len(epochs),
            releasing=(releasing,) * len(epochs),
        ),
    )
    return messages.ApplyFeed(
        revision, False, tuple(wire.pack(item) for item in items)
    )


def put_upstream(name, incarnation=1):
    return messages.PutUpstream(
        messages.Upstream(
            id=name, incarnation=incarnation, service="shop", zone="z"
        )
    )


class Log:
    """Applies commands to a state under consecutive log indexes."""

    def __init__(self):
        self.state = state_lib.ZoneState("z", 1)
        self.index = 0

    def apply(self, command):
        self.index += 1
        return self.state.apply(self.index, wire.pack(command))

    def begin(self, shards, target, incarnation=1, key=""):
        return self.apply(
            messages.BeginMove(KEYSPACE, shards, target, incarnation, "", key)
        )

    def finish(self, shards, fence, key=""):
        return self.apply(messages.FinishMove(KEYSPACE, shards, fence, key))

    def find(self, shard, key=""):
        return self.state.assignments.find(Key(KEYSPACE, shard, key))


@pytest.fixture
def log():
    log = Log()
    log.apply(make_feed(1, (1, 1, 1)))
    log.apply(put_upstream("a"))
    log.apply(put_upstream("b"))
    return log


class Model:
    """Reference model: the rules of sections 2.3 and 2.5 of the design."""

    def __init__(self):
        self.epochs = [1] * SHARDS
        self.here = [True] * SHARDS
        self.shards = {}
        self.incarnations = {"a": 1, "b": 1}

    def begin(self, index, shard, target, incarnation):
        if not self.here[shard]:
            return False
        if target and self.incarnations[target] != incarnation:
            return False
        row = self.shards.setdefault(shard, {"owner": None, "next": None})
        goal = (target, incarnation) if target else None
        if row["next"] is None and row["owner"] == goal:
            return False
        fence = self.epochs[shard] * 2**40 + index
        row["next"] = (goal, fence)
        return True

    def finish(self, shard, fence):
        row = self.shards.get(shard)
        if row is None or row["next"] is None or row["next"][1] != fence:
            return False
        goal = row["next"][0]
        if goal and self.incarnations[goal[0]] != goal[1]:
            return False
        self.shards[shard] = {"owner": goal, "next": None, "fence": fence}
        return True

    def move_delegation(self, shard, here):
        self.epochs[shard] += 1
        self.here[shard] = here
        self.shards.pop(shard, None)


steps = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("begin"),
            strategies.integers(0, SHARDS - 1),
            strategies.sampled_from(["a", "b", ""]),
            strategies.integers(1, 3),
        ),
        strategies.tuples(
            strategies.just("finish"),
            strategies.integers(0, SHARDS - 1),
            strategies.sampled_from(["right", "old", "wrong"]),
        ),
        strategies.tuples(
            strategies.just("restart"), strategies.sampled_from(["a", "b"])
        ),
        strategies.tuples(
            strategies.just("delegate"),
            strategies.integers(0, SHARDS - 1),
            strategies.booleans(),
        ),
        strategies.tuples(strategies.just("restore")),
    ),
    max_size=60,
)


@hypothesis.given(steps)
@hypothesis.settings(max_examples=200)
def test_assignments_agree_with_model(sequence):
    """Guards against owners other than the model's, and decreasing fences."""
    log, model = Log(), Model()
    log.apply(make_feed(1, (1, 1, 1)))
    log.apply(put_upstream("a"))
    log.apply(put_upstream("b"))
    highest = [0] * SHARDS
    old = 0
    for step in sequence:
        match step:
            case ("begin", shard, target, incarnation):
                allowed = model.begin(log.index + 1, shard, target, incarnation)
                assert log.begin((shard,), target, incarnation).ok == allowed
            case ("finish", shard, which):
                pending = model.shards.get(shard, {}).get("next")
                fence = {"old": old, "wrong": 12345}.get(
                    which, pending[1] if pending else 0
                )
                allowed = model.finish(shard, fence)
                assert log.finish((shard,), fence).ok == allowed
                old = fence
            case ("restart", name):
                model.incarnations[name] += 1
                log.apply(put_upstream(name, model.incarnations[name]))
            case ("delegate", shard, here):
                model.move_delegation(shard, here)
                zones = ["z" if each else "y" for each in model.here]
                revision = log.state.feed.revision + 1
                log.apply(make_feed(revision, model.epochs, zones))
            case ("restore",):
                data = log.state.snapshot()
                log.state = state_lib.ZoneState("z", 1)
                log.state.restore(data)
                assert log.state.snapshot() == data
        for shard in range(SHARDS):
            compare(log.find(shard), model.shards.get(shard), highest, shard)


def compare(value, row, highest, shard):
    if row is None or value is None:
        assert value is None or (not value.moving and value.owner is None)
        assert row is None or (row["owner"], row["next"]) == (None, None)
        return
    assert value.owner == row["owner"]
    assert value.moving == (row["next"] is not None)
    if value.moving:
        assert (value.target, value.target_fence) == row["next"]
    elif value.owner is not None:
        assert value.fence == row["fence"]
        assert value.fence >= highest[shard], "a fence went back"
        highest[shard] = value.fence


def test_fence_has_epoch_and_index(log):
    """Guards against fences that are not ordered across epochs."""
    log.begin((0,), "a")
    first = log.find(0).target_fence
    assert first == sharding.make_fence(1, log.index)
    log.apply(make_feed(2, (2, 2, 2)))
    log.begin((0,), "a")
    assert log.find(0).target_fence > first + 2**39


@pytest.mark.parametrize(
    ("feed", "reason"),
    [
        (make_feed(2, (2, 2, 2), ("y", "y", "y")), "other zone"),
        (make_feed(2, (2, 2, 2), group_epoch=2), "other group"),
        (make_feed(2, (1, 1, 1), releasing=True), "releasing"),
    ],
)
def test_shard_not_delegated_is_never_granted(log, feed, reason):
    """Guards against granting shards that another zone may own."""
    log.begin((0,), "a")
    fence = log.find(0).target_fence
    log.apply(feed)
    assert not log.finish((0,), fence).ok, reason
    assert not log.begin((1,), "a").ok, reason


def test_released_shard_is_not_granted_under_its_epoch(log):
    """Guards against granting a shard after its release."""
    release = messages.ReleaseShards(KEYSPACE, (0,), 1)
    log.begin((0,), "a")
    assert not log.apply(release).ok, "it still has an owner"
    log.finish((0,), log.find(0).target_fence)
    assert not log.apply(release).ok, "it still has an owner"
    log.begin((0,), "")
    log.finish((0,), log.find(0).target_fence)
    assert log.apply(release).ok
    assert not log.begin((0,), "a").ok
    log.apply(make_feed(2, (2, 1, 1)))
    assert log.begin((0,), "a").ok


def test_feed_never_goes_back(log):
    """Guards against reverting to an older contract or delegation."""
    log.apply(make_feed(5, (7, 7, 7)))
    for full in (False, True):
        log.apply(make_feed(4, (3, 3, 3))._replace(full=full))
    assert log.state.feed.revision == 5
    assert log.state.get_delegation_epoch(KEYSPACE, 0) == 7


def test_full_feed_removes_what_it_lacks(log):
    """Guards against keeping retired contracts or delegations."""
    log.begin((0,), "a")
    item = control.ContractItem(customer="c", revision=2, document="{}")
    log.apply(messages.ApplyFeed(2, False, (wire.pack(item),)))
    assert "c" in log.state.feed.contracts
    log.apply(make_feed(3, (1, 1, 1))._replace(full=True))
    assert "c" not in log.state.feed.contracts
    assert log.find(0).moving, "an unchanged delegation keeps its shards"
    log.apply(messages.ApplyFeed(4, True, ()))
    assert log.find(0) is None
    assert log.state.get_delegation_epoch(KEYSPACE, 0) is None


def test_owner_is_not_dropped(log):
    """Guards against removing an upstream that may still run requests."""
    log.begin((0,), "a")
    drop = messages.DropUpstream("a", 1)
    assert not log.apply(drop).ok
    log.finish((0,), log.find(0).target_fence)
    assert not log.apply(drop).ok
    log.begin((0,), "b")
    assert not log.apply(drop).ok
    log.finish((0,), log.find(0).target_fence)
    assert log.apply(drop).ok


def test_older_incarnation_is_refused(log):
    """Guards against an outdated incarnation becoming the current one."""
    assert log.apply(put_upstream("a", 5)).ok
    assert log.apply(put_upstream("a", 4)).code == "stale"
    assert not log.begin((0,), "a", 4).ok


def test_hot_key_has_its_own_assignment(log):
    """Guards against a hot key following its shard or having two owners."""
    log.begin((0,), "a")
    log.finish((0,), log.find(0).target_fence)
    log.begin((0,), "b", key="hot")
    assert log.find(0, "hot").owner == ("a", 1)
    log.finish((0,), log.find(0, "hot").target_fence, "hot")
    _, hot = log.state.assignments.resolve(KEYSPACE, 0, "hot")
    _, cold = log.state.assignments.resolve(KEYSPACE, 0, "cold")
    assert (hot.owner.id, cold.owner.id) == ("b", "a")
    log.begin((0,), "", key="hot")
    log.finish((0,), log.find(0, "hot").target_fence, "hot")
    _, hot = log.state.assignments.resolve(KEYSPACE, 0, "hot")
    assert hot.owner.id == "a"


@pytest.mark.parametrize(
    "data",
    [b"", b"junk", wire.pack(control.ZoneBeat()), wire.pack(messages.Join())],
)
def test_bad_command_changes_nothing(log, data):
    """Guards against a malformed command stopping or diverging members."""
    before = log.state.snapshot()
    assert not log.state.apply(99, data).ok
    assert log.state.snapshot() == before


NOW_MS = 1_700_000_000_000


def begin_request(log, time_ms, now_ms=NOW_MS, shard=0):
    """Begins a request whose id has the given timestamp."""
    request_id = requestid.make_request_id(time_ms, random.Random(time_ms))
    command = messages.BeginRequest(
        request_id, "c", b"f", KEYSPACE, shard, "i", 1, now_ms
    )
    return log.apply(command).status


@pytest.mark.parametrize("copied", [False, True], ids=["log", "snapshot"])
def test_release_states_the_last_id(log, copied):
    """Guards against a released shard without its newest request id.

    Without it the next zone could accept ids that have run already.
    """
    for time_ms in (NOW_MS - 5, NOW_MS + 1_500, NOW_MS - 10):
        assert begin_request(log, time_ms) == "new"
    assert begin_request(log, NOW_MS + 9_000) == "future"
    # The records expire, but a zone with a slow clock could still accept the
    # ids.
    assert begin_request(log, NOW_MS + 700_000, NOW_MS + 700_000, 1) == "new"
    assert len(log.state.records) == 1
    if copied:
        log.state.restore(log.state.snapshot())
    log.apply(messages.ReleaseShards(KEYSPACE, (0, 2), 1))
    if copied:
        log.state.restore(log.state.snapshot())
    assert log.state.released == {
        (KEYSPACE, 0): (1, NOW_MS + 1_500),
        (KEYSPACE, 2): (1, 0),
    }


def test_released_shard_records_no_request(log):
    """Guards against records newer than the last id of the release."""
    log.apply(messages.ReleaseShards(KEYSPACE, (0,), 1))
    assert begin_request(log, NOW_MS) == "below_floor"
    assert begin_request(log, NOW_MS, shard=1) == "new"
    log.apply(make_feed(2, (2, 1, 1)))
    assert begin_request(log, NOW_MS + 1) == "new"


def test_last_id_is_kept_while_the_shard_is_here(log):
    """Guards against losing the last id, and against unbounded growth."""
    begin_request(log, NOW_MS)
    log.apply(make_feed(2, (2, 1, 1)))
    assert log.state.last_ids_ms == {(KEYSPACE, 0): NOW_MS}
    log.apply(make_feed(3, (3, 1, 1), zones=("y", "z", "z")))
    assert not log.state.last_ids_ms
