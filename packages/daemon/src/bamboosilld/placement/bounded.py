"""The default placement policy: the fewest moves that keep load balanced.

Imbalance is the highest load per slot of a target divided by the mean. Moves
start when it has exceeded a threshold for some time, and continue until it is
below a lower one. Both depend on the weights in the contracts.
"""

import random
from typing import NamedTuple

from bamboosilld.placement import ledger
from bamboosilld.placement import policy
from bamboosilld.placement import stability

# Limit of moves in progress that reduce imbalance. A small number keeps few
# keys unavailable at a time and lets the measured load follow the moves.
REBALANCE_MOVES = 16
# Limit of shards that one plan moves off draining targets. It exceeds what one
# target owns, because a draining target must be empty within 3 s.
DRAIN_MOVES = 512
# Required upper bound of the imbalance (design, section 1.2).
IMBALANCE_BOUND = 1.15
# Distance to the bound, because loads are estimates.
_IMBALANCE_MARGIN = 0.03
# Difference between the imbalance that starts moves and the one that stops
# them. Without it, noise around a single threshold would cause endless moves.
_HYSTERESIS = 0.03
_MIN_STOP_THRESHOLD = 1.02
# How long the imbalance must last before moves start, for equal weights.
_BASE_DELAY_S = 2.0
# A shard moved to reduce imbalance stays this long, to prevent oscillation.
_MOVE_COOLDOWN_S = 30.0

_ShardId = tuple[str, int, str]


class _Thresholds(NamedTuple):
    """Imbalance at which moves start and stop, and the delay before a start."""

    start: float
    stop: float
    delay_s: float


def _identify(shard: policy.ShardView) -> _ShardId:
    return shard.keyspace, shard.shard, shard.key


def _compute_thresholds(view: policy.PlacementView) -> _Thresholds:
    """Derives the thresholds from the weights of the keyspaces."""
    weights = list(view.weights.values()) or [policy.Weights()]
    churn = sum(item.churn for item in weights)
    imbalance = sum(item.imbalance for item in weights)
    unavailability = sum(item.unavailability for item in weights)
    total = churn + imbalance
    churn_ratio = churn / total if total > 0 else 0.5
    max_stop = IMBALANCE_BOUND - _IMBALANCE_MARGIN - _HYSTERESIS
    stop = _MIN_STOP_THRESHOLD + (max_stop - _MIN_STOP_THRESHOLD) * min(
        1.0, 2 * churn_ratio
    )
    cost = (churn + unavailability) / max(imbalance, 0.1 * total, 1e-9)
    delay_s = _BASE_DELAY_S * min(3.0, cost / 2)
    return _Thresholds(stop + _HYSTERESIS, stop, delay_s)


@policy.register("bounded")
class BoundedPolicy:
    """Moves the fewest shards that keep the imbalance within its bound."""

    def __init__(self, rng: random.Random) -> None:
        del rng
        self._restart_tracker = stability.RestartTracker()
        self._pending: dict[_ShardId, str] = {}
        self._moved_s: dict[_ShardId, float] = {}
        self._exceeded_since_s: float | None = None
        self._rebalancing = False

    def plan(self, view: policy.PlacementView) -> tuple[policy.Move, ...]:
        """Returns the moves, most urgent first.

        Shards without an owner come first, then those of draining targets,
        then those that reduce imbalance.
        """
        receivers = self._restart_tracker.update(view.now_s, view.targets)
        totals = ledger.LoadTotals(view, receivers, self._pending)
        self._pending = {
            key: target
            for key, target in self._pending.items()
            if key in totals.moving
        }
        moves = self._place_unowned(view, totals)
        moves += self._empty_draining(view, totals)
        moves += self._reduce_imbalance(view, totals)
        for move in moves:
            self._pending[move.keyspace, move.shard, move.key] = move.target
        return tuple(moves)

    def _place_unowned(
        self, view: policy.PlacementView, totals: ledger.LoadTotals
    ) -> list[policy.Move]:
        unowned = [
            item
            for item in view.shards
            if not item.moving and not totals.is_owned(item)
        ]
        return self._place(unowned, totals, "it had no live owner")

    def _empty_draining(
        self, view: policy.PlacementView, totals: ledger.LoadTotals
    ) -> list[policy.Move]:
        to_drain = [
            item
            for item in view.shards
            if not item.moving and item.owner in totals.draining
        ]
        return self._place(
            to_drain[:DRAIN_MOVES], totals, "its former owner is draining"
        )

    @staticmethod
    def _place(
        shards: list[policy.ShardView], totals: ledger.LoadTotals, cause: str
    ) -> list[policy.Move]:
        """Assigns shards by descending load to the least loaded targets."""
        moves = []
        for shard in sorted(
            shards, key=lambda item: -totals.get_counted_load(item)
        ):
            target = totals.find_least_loaded(totals.get_counted_load(shard))
            if target is None:
                break
            totals.assign(shard, target)
            reason = f"placed on {target}: {cause}"
            moves.append(policy.Move(*_identify(shard), target, reason))
        return moves

    def _reduce_imbalance(
        self, view: policy.PlacementView, totals: ledger.LoadTotals
    ) -> list[policy.Move]:
        thresholds = _compute_thresholds(view)
        if not self._update_rebalancing(
            view.now_s, totals.compute_imbalance(), thresholds
        ):
            return []
        recently_moved = {
            key: moved_s
            for key, moved_s in self._moved_s.items()
            if view.now_s - moved_s < _MOVE_COOLDOWN_S
        }
        self._moved_s = recently_moved
        moves: list[policy.Move] = []
        immovable: set[str] = set()
        while len(moves) + len(totals.moving) < REBALANCE_MOVES:
            source = totals.find_most_loaded(thresholds.stop, immovable)
            if source is None:
                break
            choice = totals.choose_move(source, thresholds.stop, recently_moved)
            if choice is None:
                immovable.add(source)
                continue
            shard, target = choice
            load_ratio = totals.compute_relative_load(source)
            totals.assign(shard, target)
            self._moved_s[_identify(shard)] = view.now_s
            reason = (
                f"{source} had {load_ratio:.2f} times the mean load per slot;"
                f" {target} has room"
            )
            moves.append(policy.Move(*_identify(shard), target, reason))
        return moves

    def _update_rebalancing(
        self, now_s: float, imbalance: float, thresholds: _Thresholds
    ) -> bool:
        """Applies delay and hysteresis; returns whether to rebalance."""
        if imbalance <= thresholds.stop:
            self._rebalancing = False
        if imbalance <= thresholds.start:
            self._exceeded_since_s = None
            return self._rebalancing
        if self._exceeded_since_s is None:
            self._exceeded_since_s = now_s
        if now_s - self._exceeded_since_s >= thresholds.delay_s:
            self._rebalancing = True
        return self._rebalancing
