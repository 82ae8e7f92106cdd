"""Loads per target while one plan is being made."""

from collections.abc import Collection
from collections.abc import Mapping

from bamboosilld.placement import policy

_ShardId = tuple[str, int, str]
# Part of the mean shard load that each shard counts for at least, so that
# shards without measured load are spread by number.
_FLOOR_PART = 0.05
# A target's load may exceed what its shards explain by this ratio before the
# difference is believed; measured loads vary by less.
_EXPLAINED_RATIO = 1.25
_LARGEST_FACTOR = 2.0
# A shard holds many keys, a hot key is one; keys that move are what counts.
_SHARD_COST = 20.0
# Shards below this part of the mean shard load are not worth a move.
_WORTHWHILE_PART = 0.2


class Ledger:
    """Running totals: who owns what, and how full each target is.

    Attributes:
        draining: Targets that are to be emptied.
        moving: Shards whose move has begun.
    """

    def __init__(
        self,
        view: policy.PlacementView,
        receivers: Mapping[str, float],
        pending: Mapping[_ShardId, str],
    ) -> None:
        """Sums the view.

        Args:
            view: What the leader sees.
            receivers: Usable slots of each target that may receive shards.
            pending: Targets of moves that this policy ordered earlier.
        """
        self.draining = {
            item.id for item in view.targets if item.state == policy.DRAINING
        }
        self.moving = {
            (item.keyspace, item.shard, item.key)
            for item in view.shards
            if item.moving
        }
        self._weights = view.weights
        self._receivers = dict(receivers)
        total = sum(item.load for item in view.shards)
        mean = total / max(1, len(view.shards))
        self._floor = _FLOOR_PART * mean or 1.0
        self._worthwhile = _WORTHWHILE_PART * mean
        # Targets that may not receive still carry load until they are left.
        self._slots = {
            item.id: receivers.get(item.id, float(item.slots)) or 1.0
            for item in view.targets
        }
        self._owned: dict[str, dict[_ShardId, policy.ShardView]] = {
            item.id: {} for item in view.targets
        }
        self._load = dict.fromkeys(self._owned, 0.0)
        self._factor = dict.fromkeys(self._owned, 1.0)
        for item in view.shards:
            self._enter(item, pending)
        self._apply_factors(view)

    def _enter(
        self, shard: policy.ShardView, pending: Mapping[_ShardId, str]
    ) -> None:
        key = (shard.keyspace, shard.shard, shard.key)
        owner = pending.get(key, shard.owner) if shard.moving else shard.owner
        if owner in self._owned:
            self._owned[owner][key] = shard
            self._load[owner] += self.weigh(shard)

    def _apply_factors(self, view: policy.PlacementView) -> None:
        """Raises the load of targets that carry more than their shards say."""
        for target in view.targets:
            explained = self._load[target.id]
            if target.load > _EXPLAINED_RATIO * explained > 0:
                factor = min(_LARGEST_FACTOR, target.load / explained)
                self._factor[target.id] = factor
                self._load[target.id] = explained * factor

    def weigh(self, shard: policy.ShardView) -> float:
        """Returns the load that a shard counts for."""
        return max(shard.load, self._floor)

    def is_owned(self, shard: policy.ShardView) -> bool:
        """Returns whether the owner of a shard is among the targets."""
        return shard.owner in self._owned

    def find_emptiest(self, extra: float) -> str | None:
        """Returns the receiver that is least full with this load added."""
        return min(
            self._receivers,
            key=lambda item: (
                (self._load[item] + extra) / self._receivers[item],
                item,
            ),
            default=None,
        )

    def put(self, shard: policy.ShardView, target: str) -> None:
        """Gives a shard to a target."""
        key = (shard.keyspace, shard.shard, shard.key)
        weight = self.weigh(shard)
        if shard.owner in self._owned and key in self._owned[shard.owner]:
            del self._owned[shard.owner][key]
            self._load[shard.owner] -= weight * self._factor[shard.owner]
        self._owned[target][key] = shard
        self._load[target] += weight * self._factor[target]

    def compute_mean(self) -> float:
        """Returns the mean load per slot over targets that may receive."""
        slots = sum(self._receivers.values())
        return sum(self._load.values()) / slots if slots else 0.0

    def compute_level(self, target: str) -> float:
        """Returns a target's load per slot over the mean."""
        mean = self.compute_mean()
        if mean <= 0:
            return 0.0
        return self._load[target] / self._slots[target] / mean

    def compute_imbalance(self) -> float:
        """Returns the highest level of all targets that are not draining."""
        return max(
            (
                self.compute_level(item)
                for item in self._load
                if item not in self.draining
            ),
            default=0.0,
        )

    def find_fullest(
        self, goal: float, excluded: Collection[str]
    ) -> str | None:
        """Returns the fullest target above the goal, if there is one."""
        sources = [
            item
            for item in self._load
            if item not in self.draining and item not in excluded
        ]
        fullest = max(
            sources,
            key=lambda item: (self._load[item] / self._slots[item], item),
            default=None,
        )
        if fullest is None or self.compute_level(fullest) <= goal:
            return None
        return fullest

    def choose_move(
        self,
        source: str,
        goal: float,
        settled: Collection[_ShardId],
    ) -> tuple[policy.ShardView, str] | None:
        """Returns the move that reduces a target's excess most cheaply.

        One shard that covers the whole excess is best, the smallest such one
        first; otherwise the largest that the emptiest target has room for.
        Shards of keyspaces that mind churn more count as more expensive.
        """
        mean = self.compute_mean()
        excess = self._load[source] - goal * mean * self._slots[source]
        room, target = max(
            (
                goal * mean * slots - self._load[item],
                item,
            )
            for item, slots in self._receivers.items()
        )
        if target == source:
            return None
        best: tuple[float, float, _ShardId] | None = None
        for key, shard in self._owned[source].items():
            if key in self.moving or key in settled:
                continue
            weight = self.weigh(shard)
            if weight * self._factor[target] > room:
                continue
            relief = weight * self._factor[source]
            if relief < self._worthwhile:
                continue
            useful = min(relief, excess)
            cost = self._compute_cost(shard)
            rank = (-useful / cost, relief, key)
            if best is None or rank < best:
                best = rank
        if best is None:
            return None
        return self._owned[source][best[2]], target

    def _compute_cost(self, shard: policy.ShardView) -> float:
        weights = self._weights.get(shard.keyspace, policy.Weights())
        cost = max(0.1, weights.churn + weights.unavailability)
        return cost if shard.key else cost * _SHARD_COST
