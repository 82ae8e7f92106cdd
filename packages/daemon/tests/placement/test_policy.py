"""Tests of the placement policies."""

import collections
import random

import hypothesis
from hypothesis import strategies
import pytest

from bamboosilld.placement import bounded
from bamboosilld.placement import policy

_TARGETS = strategies.lists(
    strategies.tuples(
        strategies.integers(1, 8),
        strategies.sampled_from(("cold", "warm", "draining")),
        strategies.floats(0, 60),
    ),
    max_size=6,
)
_SHARDS = strategies.lists(
    strategies.tuples(
        strategies.integers(0, 9),
        strategies.floats(0, 50),
        strategies.booleans(),
        strategies.sampled_from(("", "hot")),
    ),
    max_size=60,
)


def _make_view(targets, shards, now_s=0.0, weights=None):
    return policy.PlacementView(
        "s",
        now_s,
        {"k": weights or policy.Weights()},
        tuple(
            policy.TargetView(f"t{index}", 1, slots, state, 0.0, alive_s)
            for index, (slots, state, alive_s) in enumerate(targets)
        ),
        tuple(
            policy.ShardView(
                "k",
                index,
                key,
                f"t{owner}" if owner < 8 else None,
                load,
                moving,
            )
            for index, (owner, load, moving, key) in enumerate(shards)
        ),
    )


@hypothesis.given(targets=_TARGETS, shards=_SHARDS)
def test_bounded_agrees_with_modulo(targets, shards):
    """Guards against shards left unplaced, placed twice or moved wrongly."""
    view = _make_view(targets, shards)
    receivers = {item.id for item in view.targets if item.state != "draining"}
    live = {item.id for item in view.targets}
    placed = {}
    for name in ("modulo", "bounded"):
        moves = policy.make_policy(name, random.Random(1)).plan(view)
        owners = {item.shard: item.owner for item in view.shards}
        moving = {item.shard for item in view.shards if item.moving}
        assert len({move.shard for move in moves}) == len(moves)
        assert all(move.shard not in moving for move in moves)
        assert all(move.target in receivers for move in moves)
        assert all(move.reason for move in moves)
        owners.update({move.shard: move.target for move in moves})
        placed[name] = {
            shard for shard in owners if owners[shard] in receivers
        } - moving
    assert placed["bounded"] == placed["modulo"]
    rebalancing_moves = [
        move
        for move in moves
        if view.shards[move.shard].owner in live
        and view.shards[move.shard].owner in receivers
    ]
    assert len(rebalancing_moves) <= bounded.REBALANCE_MOVES


def _simulate(view_at, steps, name="bounded"):
    """Returns owners and moves after a number of plans, one per second."""
    planner = policy.make_policy(name, random.Random(1))
    owners: dict[int, str | None] = {}
    moves = []
    for step in range(steps):
        view = view_at(step)
        view = view._replace(
            now_s=float(step),
            shards=tuple(
                item._replace(owner=owners.get(item.shard, item.owner))
                for item in view.shards
            ),
        )
        for move in planner.plan(view):
            owners[move.shard] = move.target
            moves.append((step, move))
    return owners, moves


def _compute_imbalance(view, owners):
    loads = {item.id: 0.0 for item in view.targets}
    for item in view.shards:
        loads[owners.get(item.shard, item.owner)] += item.load
    levels = [loads[item.id] / item.slots for item in view.targets]
    mean_level = sum(loads.values()) / sum(item.slots for item in view.targets)
    return max(levels) / mean_level


@pytest.mark.parametrize("slots", [(6, 6, 6), (3, 6, 9), (1, 1, 8)])
@pytest.mark.parametrize("seed", range(3))
def test_bounded_restores_balance_with_few_moves(slots, seed):
    """Guards against lasting imbalance, and against needless moves."""
    rng = random.Random(seed)
    targets = [(item, "warm", 99.0) for item in slots]
    shards = [
        (rng.randrange(3), rng.uniform(0.5, 2.0), False, "") for _ in range(300)
    ]
    view = _make_view(targets, shards)
    owners, moves = _simulate(lambda _: view, 60)
    assert _compute_imbalance(view, owners) <= bounded.IMBALANCE_BOUND
    assert len(moves) < 200
    per_step = collections.Counter(step for step, _ in moves)
    assert max(per_step.values(), default=0) <= bounded.REBALANCE_MOVES
    late = [move for step, move in moves if step > 50]
    assert not late


def test_draining_target_is_emptied():
    """Guards against shards that stay on a draining target."""
    targets = [(6, "warm", 99.0), (6, "draining", 99.0), (6, "warm", 99.0)]
    view = _make_view(
        targets, [(index % 3, 1.0, False, "") for index in range(90)]
    )
    owners, moves = _simulate(lambda _: view, 1)
    assert len(moves) == 30
    assert set(owners.values()) == {"t0", "t2"}


def test_hysteresis_leaves_small_imbalance_alone():
    """Guards against moves for an imbalance of a few percent."""
    targets = [(6, "warm", 99.0)] * 4
    shards = [(index % 4, 1.0, False, "") for index in range(400)]
    shards += [(0, 1.0, False, "")] * 14
    view = _make_view(targets, shards)
    _, moves = _simulate(lambda _: view, 30)
    assert not moves


def test_cold_target_receives_less_than_warm_ones():
    """Guards against full load on a cold target."""
    targets = [(6, "warm", 99.0), (6, "warm", 99.0), (6, "cold", 0.0)]
    view = _make_view(targets, [(9, 1.0, False, "")] * 210)
    owners, _ = _simulate(lambda _: view, 1)
    counts = [list(owners.values()).count(f"t{item}") for item in range(3)]
    assert counts == [100, 100, 10]


def test_flapping_target_is_not_refilled_at_once():
    """Guards against moving shards to a target that restarts repeatedly."""
    steady = policy.TargetView("t0", 1, 6, "warm", 0.0, 500.0)

    def view_at(step):
        flapping = policy.TargetView(
            "t1", 1 + step // 5, 6, "warm", 0.0, float(step % 5)
        )
        live_targets = (steady, flapping) if step % 5 else (steady,)
        return _make_view([], [(9, 1.0, False, "")] * 40)._replace(
            targets=live_targets
        )

    planner = policy.make_policy("bounded", random.Random(1))
    late_moves = 0
    for step in range(30):
        view = view_at(step)._replace(now_s=float(step))
        moves = planner.plan(view)
        if step > 12:
            late_moves += sum(move.target == "t1" for move in moves)
    assert late_moves == 0


def test_hot_keys_move_before_shards():
    """Guards against moving many keys where one hot key is enough."""
    targets = [(6, "warm", 99.0)] * 3
    shards = [(index % 3, 3.0, False, "") for index in range(30)]
    shards += [(0, 1.5, False, "hot")] * 6
    view = _make_view(targets, shards)
    _, moves = _simulate(lambda _: view, 20)
    assert moves
    assert all(move.key for _, move in moves)
