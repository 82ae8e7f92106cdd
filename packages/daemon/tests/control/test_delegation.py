"""Tests of the delegation planner."""

import hypothesis
from hypothesis import strategies
import pytest

from bamboosilld.control import delegation

Shard = delegation.Shard


@pytest.mark.parametrize(
    ("shards", "slots", "quotas"),
    [
        (64, {"a": 6}, {"a": 64}),
        (64, {"a": 6, "b": 6}, {"a": 32, "b": 32}),
        (64, {"a": 9, "b": 3}, {"a": 48, "b": 16}),
        (10, {"a": 1, "b": 1, "c": 1}, {"a": 4, "b": 3, "c": 3}),
        (10, {"a": 0, "b": 1}, {"a": 0, "b": 10}),
        (10, {"a": 0}, {}),
        (10, {}, {}),
    ],
)
def test_quotas(shards, slots, quotas):
    """Guards against quotas out of proportion to slots."""
    assert delegation.compute_quotas(shards, slots) == quotas


@hypothesis.given(
    strategies.integers(1, 300),
    strategies.dictionaries(
        strategies.sampled_from("abcde"), strategies.integers(0, 50), min_size=1
    ),
    strategies.data(),
)
def test_plan_takes_only_what_it_may(shards, slots, data):
    """Guards against a shard taken from a zone that still holds it."""
    before = [
        Shard(zone, 1 if zone else 0, 1 if zone else 0)
        for zone in data.draw(
            strategies.lists(
                strategies.sampled_from(["", *"abcdef"]),
                min_size=shards,
                max_size=shards,
            )
        )
    ]
    reassignable = {
        index for index, shard in enumerate(before) if not shard.zone
    }
    reassignable |= data.draw(
        strategies.sets(strategies.integers(0, shards - 1))
    )
    budget = data.draw(strategies.integers(0, 20))
    last_ids_ms = dict.fromkeys(sorted(reassignable)[::2], 3)
    view = delegation.KeyspaceView(
        slots,
        dict.fromkeys(slots, 1),
        reassignable,
        5,
        budget,
        set(),
        last_ids_ms,
    )
    after = delegation.plan(before, view, True)
    if not sum(slots.values()):
        assert after == before
        return
    released = 0
    for index, (old, new) in enumerate(zip(before, after, strict=True)):
        if index in reassignable:
            assert new.epoch == old.epoch + 1
            assert new.zone in slots
            floor_ms = last_ids_ms.get(index, 5 if old.epoch else 0)
            assert new.id_floor_ms == floor_ms
        else:
            assert new._replace(releasing=False) == old
        released += new.releasing
    assert released <= budget
