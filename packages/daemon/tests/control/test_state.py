"""Tests of the control group's state machine."""

import hypothesis
from hypothesis import strategies
import pytest

from bamboosill_common import contract as contract_lib
from bamboosill_common import wire
from bamboosill_common.generated import control as messages
from bamboosilld.control import delegation
from bamboosilld.control import delegationrules
from bamboosilld.control import state as state_lib

KEYSPACE = "shop/hold/all"


def make_document(customer, rate=1, zone_loss="hold"):
    text = f"""
customer: {customer}
services:
  - name: shop
    zone_loss: {zone_loss}
    limits: {{rate_per_s: {rate}, concurrency: 1}}
"""
    return contract_lib.normalise(contract_lib.parse(text).unwrap())


def accept(customer="a", base=0, rate=1, command_id="", zone_loss="hold"):
    return messages.AcceptContract(
        command_id=command_id,
        base_revision=base,
        customer=customer,
        document=make_document(customer, rate, zone_loss),
        shards=70,
    )


def put_instance(name, incarnation=1, zone="za", **fields):
    item = messages.InstanceItem(
        instance=name, incarnation=incarnation, zone=zone, **fields
    )
    return messages.PutInstance(item=item)


def create_group(zone, epoch, founder, incarnation=1):
    item = messages.ZoneItem(
        zone=zone,
        group_epoch=epoch,
        founder=founder,
        founder_incarnation=incarnation,
    )
    return messages.FoundZone(item=item)


def delegate(*shards, first=0):
    item = delegationrules.make_item(
        KEYSPACE, first, [delegation.Shard(*each) for each in shards]
    )
    return messages.SetDelegations(items=(item,))


class CommandLog:
    """Applies commands in order."""

    def __init__(self):
        self.state = state_lib.ControlState()
        self.index = 0

    def apply(self, command):
        self.index += 1
        return self.state.apply(self.index, wire.pack(command))


@pytest.fixture
def log():
    return CommandLog()


@pytest.fixture
def log_with_zones():
    """Returns a log with two zones and a keyspace of 70 shards."""
    built = CommandLog()
    for zone in ("za", "zb"):
        built.apply(put_instance(f"{zone}1", zone=zone))
        built.apply(create_group(zone, 1, f"{zone}1"))
    built.apply(accept())
    return built


def accept_weighted(customer, churn, base=0):
    contract = contract_lib.read_stored(make_document(customer))
    service = contract.services[0]._replace(
        weights=contract_lib.Weights(1.0, churn, 1.0)
    )
    document = contract_lib.normalise(contract._replace(services=(service,)))
    return accept(customer, base)._replace(document=document)


def test_weights_are_the_mean_of_contracts_in_force(log):
    """Guards against weights that keep a changed or retired contract."""

    def get_churn():
        return log.state.tables.keyspaces[KEYSPACE].churn_weight

    assert log.apply(accept_weighted("a", 1.0)).ok
    assert log.apply(accept_weighted("b", 4.0)).ok
    assert get_churn() == 2.5
    changed = log.apply(accept_weighted("a", 2.0, base=1))
    assert get_churn() == 3.0
    retire = messages.RetireContract(
        customer="a", base_revision=changed.revision
    )
    assert log.apply(retire).ok
    assert get_churn() == 4.0
    restored = state_lib.ControlState()
    restored.restore(log.state.snapshot())
    assert restored.apply(9, wire.pack(accept_weighted("c", 2.0))).ok
    assert restored.tables.keyspaces[KEYSPACE].churn_weight == 3.0


def test_racing_changes(log):
    """Guards against a change that silently overwrites another operator's."""
    first = log.apply(accept(rate=1))
    second = log.apply(accept(rate=2))
    assert first.ok and first.revision == 1
    assert (second.ok, second.code) == (False, "conflict")
    assert second.revision == first.revision
    assert log.apply(accept(base=1, rate=3)).revision == 3


def test_resent_command(log):
    """Guards against a resent command that is applied twice.

    It also guards against a result that differs from the first one.
    """
    first = log.apply(accept(command_id="x"))
    log.apply(accept(base=1, rate=2, command_id="y"))
    assert log.apply(accept(command_id="x")) == first
    other = accept(base=2, rate=9, command_id="x")
    assert log.apply(other).code == "id_reused"
    assert log.state.tables.contracts["a"].revision == 2


def test_command_ids_are_bounded(log, monkeypatch):
    """Guards against unbounded memory for command ids."""
    monkeypatch.setattr(state_lib, "MAX_COMMAND_IDS", 3)
    for number in range(5):
        log.apply(accept(f"c{number}", command_id=str(number)))
    assert list(log.state._command_records) == ["2", "3", "4"]


def test_retired_contract(log):
    """Guards against a late command that restores a retired contract."""
    log.apply(accept())
    retired = log.apply(messages.RetireContract(base_revision=1, customer="a"))
    assert retired.ok
    again = messages.RetireContract(base_revision=2, customer="a")
    assert log.apply(again).code == "retired"
    assert log.apply(accept()).code == "conflict"
    assert log.apply(accept(base=2)).ok


def test_keyspace_of_a_service_in_force_is_fixed(log):
    """Guards against a key with an owner in each of two keyspaces."""
    log.apply(accept())
    changed = accept(base=1, zone_loss="lapse")
    assert log.apply(changed).code == "keyspace_change"


def test_keyspace_is_created_with_the_command_s_shards(log):
    """Guards against a shard count that depends on a member's settings."""
    log.apply(accept())
    assert log.state.tables.keyspaces[KEYSPACE].shards == 70


@pytest.mark.parametrize(
    ("command", "code"),
    [
        (put_instance("za1", 0), "old_incarnation"),
        (put_instance("za1", 1, admin_address="x"), "duplicate_identity"),
        (put_instance("za1", 1, zone="zb"), "duplicate_identity"),
        (put_instance("", 1), "bad_instance"),
        (create_group("za", 1, "za1"), "epoch"),
        (create_group("za", 3, "za1"), "epoch"),
        (create_group("za", 2, "zb1"), "founder"),
        (create_group("za", 2, "za1", 7), "founder"),
        (messages.DeclareZoneLost(zone="zx"), "unknown_zone"),
        (messages.PutZoneVoters("za", 2, ("x",), (1,)), "epoch"),
        (messages.PutZoneVoters("za", 1, ("x",), ()), "bad_voters"),
        (messages.PutZoneVoters("zx", 1, ("x",), (1,)), "unknown_zone"),
        (messages.RetireContract(customer="b"), "unknown_customer"),
        (messages.AcceptContract(customer="a", document="{"), "bad_contract"),
        (
            messages.AcceptContract(customer="b", document=make_document("c")),
            "bad_contract",
        ),
        (messages.ZoneBeat(), "bad_command"),
    ],
)
def test_refused_commands(log_with_zones, command, code):
    """Guards against invalid commands that change the state."""
    before = log_with_zones.state.snapshot()
    assert log_with_zones.apply(command).code == code
    assert log_with_zones.state.snapshot() == before


DELEGATED = ("za", 1, 1, 10, False)
DELEGATED_BLOCK = [DELEGATED] * 6


@pytest.mark.parametrize(
    ("shard", "code"),
    [
        (("zb", 2, 1, 10, False), ""),
        (("za", 1, 1, 10, True), ""),
        (("zb", 1, 1, 10, False), "epoch"),
        (("za", 1, 1, 11, False), "epoch"),
        (("zb", 3, 1, 10, False), "epoch"),
        (("za", 0, 1, 10, False), "epoch"),
        (("zb", 2, 2, 10, False), "epoch"),
        (("zc", 2, 1, 10, False), "epoch"),
        (("zb", 2, 1, 9, False), "epoch"),
        (("zb", 2, 1, 10, True), "epoch"),
    ],
)
def test_change_of_a_delegation(log_with_zones, shard, code):
    """Guards against a shard that changes zone under one epoch."""
    assert log_with_zones.apply(delegate(*DELEGATED_BLOCK, first=64)).ok
    result = log_with_zones.apply(
        delegate(shard, *DELEGATED_BLOCK[1:], first=64)
    )
    assert result.code == code


@pytest.mark.parametrize(
    ("first", "count"), [(0, 63), (0, 65), (1, 64), (64, 7), (128, 1)]
)
def test_malformed_block_is_refused(log_with_zones, first, count):
    """Guards against overlapping and incomplete blocks."""
    command = delegate(*[DELEGATED] * count, first=first)
    assert log_with_zones.apply(command).code == "bad_delegation"


def test_lost_zone_gets_no_shards(log_with_zones):
    """Guards against shards delegated to a zone that was declared lost."""
    log_with_zones.apply(messages.DeclareZoneLost(zone="za"))
    assert (
        log_with_zones.apply(delegate(*DELEGATED_BLOCK, first=64)).code
        == "epoch"
    )


def test_removed_instances_are_bounded(log, monkeypatch):
    """Guards against unbounded memory for removed instances.

    It also guards against a delta that lacks a removal whose tombstone was
    deleted.
    """
    monkeypatch.setattr("bamboosilld.control.tables.MAX_REMOVED_INSTANCES", 2)
    for number in range(4):
        log.apply(put_instance(f"i{number}"))
        log.apply(put_instance(f"i{number}", removed=True))
    assert set(log.state.tables.instances) == {"i2", "i3"}
    assert log.state.list_changes_since(1).full
    assert not log.state.list_changes_since(6).full


def test_large_feed_comes_in_parts(log):
    """Guards against a reply that does not fit in a frame."""
    for number in range(10):
        log.apply(accept(f"c{number}"))
    revision, seen, rounds = 0, set(), 0
    while revision < log.state.revision:
        feed = log.state.list_changes_since(revision, max_bytes=600)
        assert feed.full == (revision == 0)
        seen |= {wire.unpack(each)[0] for each in feed.items}
        revision = feed.revision
        rounds += 1
    assert rounds > 2
    assert seen == {KEYSPACE, *(f"c{number}" for number in range(10))}


def test_unknown_revision_gets_the_full_state(log):
    """Guards against a delta for a revision that this log never had."""
    log.apply(accept())
    assert log.state.list_changes_since(99).full


CUSTOMERS = strategies.sampled_from("ab")
CONTRACT_CHANGES = strategies.lists(
    strategies.tuples(
        CUSTOMERS,
        strategies.sampled_from(["accept", "retire"]),
        strategies.integers(0, 3),
    ),
    min_size=1,
    max_size=12,
)


def make_command(number, customer, kind, base, rate):
    if kind == "accept":
        return accept(customer, base, rate, f"id{number}")
    return messages.RetireContract(
        command_id=f"id{number}", base_revision=base, customer=customer
    )


class Model:
    """Reference model: the contracts in a plain dictionary."""

    def __init__(self):
        self.contracts = {}
        self.results = {}

    def apply(self, index, command):
        if command.command_id in self.results:
            return self.results[command.command_id]
        revision, live = self.contracts.get(command.customer, (0, False))
        ok = command.base_revision == revision
        if isinstance(command, messages.RetireContract):
            ok = ok and live
        if ok:
            live = isinstance(command, messages.AcceptContract)
            self.contracts[command.customer] = (index, live)
        result = (ok, index if ok else revision)
        self.results[command.command_id] = result
        return result


@hypothesis.settings(max_examples=200)
@hypothesis.given(CONTRACT_CHANGES, strategies.randoms(use_true_random=False))
def test_contracts_follow_the_model(changes, random):
    """Guards against errors with concurrent, resent or reordered commands."""
    log, model = CommandLog(), Model()
    commands = []
    for number, (customer, kind, age) in enumerate(changes):
        # Operators that act at the same time send outdated base revisions.
        possible_base_revisions = [0, *range(1, 2 * len(changes))]
        base = model.contracts.get(customer, (0, False))[0]
        base = base if age else random.choice(possible_base_revisions)
        command = make_command(number, customer, kind, base, number + 1)
        commands.append(command)
        sent = [command, *random.sample(commands, min(age, len(commands)))]
        random.shuffle(sent)
        for each in sent:
            result = log.apply(each)
            assert (result.ok, result.revision) == model.apply(log.index, each)
    found_now = {
        customer: (item.revision, not item.retired)
        for customer, item in log.state.tables.contracts.items()
    }
    assert found_now == model.contracts


SHARDS = strategies.tuples(
    strategies.sampled_from(["za", "zb", "zc"]),
    strategies.integers(0, 4),
    strategies.integers(1, 2),
    strategies.integers(0, 2),
    strategies.booleans(),
)
COMMANDS = strategies.lists(
    strategies.one_of(
        strategies.lists(SHARDS, min_size=6, max_size=6).map(
            lambda shards: delegate(*shards, first=64)
        ),
        strategies.tuples(SHARDS, strategies.booleans()).map(
            lambda pair: delegate(*[pair[0]] * 6, first=64)
        ),
        strategies.builds(
            put_instance,
            strategies.sampled_from(["za1", "za2"]),
            strategies.integers(0, 3),
            removed=strategies.booleans(),
        ),
        strategies.builds(
            create_group,
            strategies.sampled_from(["za", "zb"]),
            strategies.integers(1, 3),
            strategies.sampled_from(["za1", "zb1"]),
            strategies.integers(1, 3),
        ),
        strategies.builds(
            accept,
            strategies.sampled_from("ab"),
            strategies.integers(0, 9),
            command_id=strategies.sampled_from(["", "x", "y", "z"]),
        ),
        strategies.just(messages.DeclareZoneLost(zone="zb")),
    ),
    max_size=15,
)


@hypothesis.settings(max_examples=200)
@hypothesis.given(COMMANDS, strategies.integers(0, 15))
def test_snapshot_equals_the_original(commands, cut):
    """Guards against missing or additional state in a restored member."""
    log = make_log_with_zones()
    for command in commands[:cut]:
        log.apply(command)
    copy = CommandLog()
    copy.index = log.index
    copy.state.restore(log.state.snapshot())
    assert copy.state.snapshot() == log.state.snapshot()
    for command in commands[cut:]:
        assert copy.apply(command) == log.apply(command)
    assert copy.state.snapshot() == log.state.snapshot()
    assert copy.state.list_changes_since(0) == log.state.list_changes_since(0)
    assert vars(copy.state.tables) == vars(log.state.tables)


def make_log_with_zones():
    built = CommandLog()
    for zone in ("za", "zb"):
        built.apply(put_instance(f"{zone}1", zone=zone))
        built.apply(create_group(zone, 1, f"{zone}1"))
    built.apply(accept())
    return built


@hypothesis.settings(max_examples=200)
@hypothesis.given(COMMANDS)
def test_one_zone_for_each_epoch(commands):
    """Guards against two zones that hold a shard under one epoch."""
    log = make_log_with_zones()
    owners = {}
    epochs = {}
    for command in commands:
        log.apply(command)
        shards = delegation.read_shards(log.state.tables, KEYSPACE)
        for index, shard in enumerate(shards):
            owner = (shard.zone, shard.group_epoch)
            assert owners.setdefault((index, shard.epoch), owner) == owner
            assert shard.epoch >= epochs.get(index, 0)
            epochs[index] = shard.epoch


@pytest.mark.parametrize("cut", [0, 3, 10, -1, -20])
def test_damaged_snapshot_changes_nothing(log_with_zones, cut):
    """Guards against a member that starts from an incomplete snapshot."""
    before = log_with_zones.state.snapshot()
    with pytest.raises(ValueError, match="snapshot"):
        log_with_zones.state.restore(before[:cut])
    assert log_with_zones.state.snapshot() == before
