"""The project's own policy: few moves within a bound on imbalance."""

import random
from typing import NamedTuple

from bamboosilld.placement import ledger
from bamboosilld.placement import policy
from bamboosilld.placement import stability

# Most owned shards that one plan moves to reduce imbalance. A small number
# keeps few keys unavailable at a time and lets measured load follow.
REBALANCE_MOVES = 16
# Most shards that one plan takes from draining targets. Larger than what one
# target owns today, since a leaving target must be empty within 3 s.
DRAIN_MOVES = 512
# Bound of section 1.2 on max/mean of load per slot.
IMBALANCE_BOUND = 1.15
# Distance kept from the bound, since loads are estimates.
_MARGIN = 0.03
# The band between the level at which moves begin and the goal at which they
# end; without it noise around one level would cause moves all the time.
_BAND = 0.03
_LOWEST_GOAL = 1.02
# Seconds that the imbalance must last before moves begin, for equal weights.
_PATIENCE_S = 2.0
# A shard moved to reduce imbalance stays this long; prevents oscillation.
_SETTLE_S = 30.0

_ShardId = tuple[str, int, str]


class _Levels(NamedTuple):
    """Levels of max/mean at which moves begin and end, and the patience."""

    begin: float
    goal: float
    patience_s: float


def _identify(shard: policy.ShardView) -> _ShardId:
    return shard.keyspace, shard.shard, shard.key


def _compute_levels(view: policy.PlacementView) -> _Levels:
    """Returns the levels that the weights of the keyspaces ask for."""
    weights = list(view.weights.values()) or [policy.Weights()]
    churn = sum(item.churn for item in weights)
    imbalance = sum(item.imbalance for item in weights)
    unavailability = sum(item.unavailability for item in weights)
    total = churn + imbalance
    part = churn / total if total > 0 else 0.5
    highest = IMBALANCE_BOUND - _MARGIN - _BAND
    goal = _LOWEST_GOAL + (highest - _LOWEST_GOAL) * min(1.0, 2 * part)
    cost = (churn + unavailability) / max(imbalance, 0.1 * total, 1e-9)
    patience_s = _PATIENCE_S * min(3.0, cost / 2)
    return _Levels(goal + _BAND, goal, patience_s)


@policy.register("bounded")
class Bounded:
    """Moves the fewest shards that keep max/mean load per slot in bounds."""

    def __init__(self, rng: random.Random) -> None:
        del rng
        self._stability = stability.Stability()
        self._pending: dict[_ShardId, str] = {}
        self._moved_s: dict[_ShardId, float] = {}
        self._over_since_s: float | None = None
        self._active = False

    def plan(self, view: policy.PlacementView) -> tuple[policy.Move, ...]:
        """Returns placements, then moves off draining targets, then others."""
        receivers = self._stability.observe(view.now_s, view.targets)
        book = ledger.Ledger(view, receivers, self._pending)
        self._pending = {
            key: target
            for key, target in self._pending.items()
            if key in book.moving
        }
        moves = self._place_unowned(view, book)
        moves += self._empty_draining(view, book)
        moves += self._reduce_imbalance(view, book)
        for move in moves:
            self._pending[move.keyspace, move.shard, move.key] = move.target
        return tuple(moves)

    def _place_unowned(
        self, view: policy.PlacementView, book: ledger.Ledger
    ) -> list[policy.Move]:
        lost = [
            item
            for item in view.shards
            if not item.moving and not book.is_owned(item)
        ]
        return self._place(lost, book, "it had no live owner")

    def _empty_draining(
        self, view: policy.PlacementView, book: ledger.Ledger
    ) -> list[policy.Move]:
        leaving = [
            item
            for item in view.shards
            if not item.moving and item.owner in book.draining
        ]
        return self._place(
            leaving[:DRAIN_MOVES], book, "its former owner is draining"
        )

    @staticmethod
    def _place(
        shards: list[policy.ShardView], book: ledger.Ledger, cause: str
    ) -> list[policy.Move]:
        """Places the largest first, each where the load per slot is least."""
        moves = []
        for shard in sorted(shards, key=lambda item: -book.weigh(item)):
            target = book.find_emptiest(book.weigh(shard))
            if target is None:
                break
            book.put(shard, target)
            reason = f"placed on {target}: {cause}"
            moves.append(policy.Move(*_identify(shard), target, reason))
        return moves

    def _reduce_imbalance(
        self, view: policy.PlacementView, book: ledger.Ledger
    ) -> list[policy.Move]:
        levels = _compute_levels(view)
        if not self._is_due(view.now_s, book.compute_imbalance(), levels):
            return []
        settled = {
            key: moved_s
            for key, moved_s in self._moved_s.items()
            if view.now_s - moved_s < _SETTLE_S
        }
        self._moved_s = settled
        moves: list[policy.Move] = []
        stuck: set[str] = set()
        while len(moves) + len(book.moving) < REBALANCE_MOVES:
            source = book.find_fullest(levels.goal, stuck)
            if source is None:
                break
            choice = book.choose_move(source, levels.goal, settled)
            if choice is None:
                stuck.add(source)
                continue
            shard, target = choice
            level = book.compute_level(source)
            book.put(shard, target)
            self._moved_s[_identify(shard)] = view.now_s
            reason = (
                f"{source} had {level:.2f} times the mean load per slot;"
                f" {target} has room"
            )
            moves.append(policy.Move(*_identify(shard), target, reason))
        return moves

    def _is_due(self, now_s: float, imbalance: float, levels: _Levels) -> bool:
        """Applies the hysteresis: begins late, ends at the goal."""
        if imbalance <= levels.goal:
            self._active = False
        if imbalance <= levels.begin:
            self._over_since_s = None
            return self._active
        if self._over_since_s is None:
            self._over_since_s = now_s
        if now_s - self._over_since_s >= levels.patience_s:
            self._active = True
        return self._active
