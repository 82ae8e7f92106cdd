"""Load of each target while a placement plan is computed.

The totals include the moves that the plan has already chosen.
"""

from collections.abc import Collection
from collections.abc import Mapping

from bamboosilld.placement import policy

_ShardId = tuple[str, int, str]
# Each shard counts for at least this fraction of the mean shard load, so that
# shards without measured load are spread by number.
_MIN_LOAD_RATIO = 0.05
# A target's measured load replaces the sum of its shards' loads only if it
# exceeds the sum by this ratio; measured loads vary by less.
_UNEXPLAINED_LOAD_RATIO = 1.25
_MAX_LOAD_FACTOR = 2.0
# Cost of moving a shard relative to one hot key: a shard holds many keys, and
# the number of moved keys is what matters.
_SHARD_MOVE_COST = 20.0
# Shards below this fraction of the mean shard load are not worth a move.
_MIN_MOVE_LOAD_RATIO = 0.2


class LoadTotals:
    """Shards and load per target, updated with each planned move.

    Attributes:
        draining: Targets that must lose all their shards.
        moving: Shards whose move has begun.
    """

    def __init__(
        self,
        view: policy.PlacementView,
        receivers: Mapping[str, float],
        pending: Mapping[_ShardId, str],
    ) -> None:
        """Computes the totals of a view.

        Args:
            view: Targets and shards as the leader knows them.
            receivers: Usable slots of each target that may receive shards.
            pending: Targets of earlier moves of this policy that have not
                finished.
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
        self._min_load = _MIN_LOAD_RATIO * mean or 1.0
        self._min_move_load = _MIN_MOVE_LOAD_RATIO * mean
        # Targets that may not receive shards still carry load until their
        # shards have moved.
        self._slots = {
            item.id: receivers.get(item.id, float(item.slots)) or 1.0
            for item in view.targets
        }
        self._owned: dict[str, dict[_ShardId, policy.ShardView]] = {
            item.id: {} for item in view.targets
        }
        self._load = dict.fromkeys(self._owned, 0.0)
        self._load_factors = dict.fromkeys(self._owned, 1.0)
        for item in view.shards:
            self._add_shard(item, pending)
        self._apply_load_factors(view)

    def _add_shard(
        self, shard: policy.ShardView, pending: Mapping[_ShardId, str]
    ) -> None:
        key = (shard.keyspace, shard.shard, shard.key)
        owner = pending.get(key, shard.owner) if shard.moving else shard.owner
        if owner in self._owned:
            self._owned[owner][key] = shard
            self._load[owner] += self.get_counted_load(shard)

    def _apply_load_factors(self, view: policy.PlacementView) -> None:
        """Scales the load of targets that measure more than their shards."""
        for target in view.targets:
            total_shard_load = self._load[target.id]
            if target.load > _UNEXPLAINED_LOAD_RATIO * total_shard_load > 0:
                factor = min(_MAX_LOAD_FACTOR, target.load / total_shard_load)
                self._load_factors[target.id] = factor
                self._load[target.id] = total_shard_load * factor

    def get_counted_load(self, shard: policy.ShardView) -> float:
        """Returns the load that a shard counts for, at least the minimum."""
        return max(shard.load, self._min_load)

    def is_owned(self, shard: policy.ShardView) -> bool:
        """Returns whether the owner of a shard is among the targets."""
        return shard.owner in self._owned

    def find_least_loaded(self, added_load: float) -> str | None:
        """Returns the receiver with the least load per slot after adding."""
        return min(
            self._receivers,
            key=lambda item: (
                (self._load[item] + added_load) / self._receivers[item],
                item,
            ),
            default=None,
        )

    def assign(self, shard: policy.ShardView, target: str) -> None:
        """Moves a shard and its load to a target."""
        key = (shard.keyspace, shard.shard, shard.key)
        counted_load = self.get_counted_load(shard)
        if shard.owner in self._owned and key in self._owned[shard.owner]:
            del self._owned[shard.owner][key]
            self._load[shard.owner] -= (
                counted_load * self._load_factors[shard.owner]
            )
        self._owned[target][key] = shard
        self._load[target] += counted_load * self._load_factors[target]

    def compute_mean(self) -> float:
        """Returns the mean load per usable slot.

        This is the load of all targets, divided by the slots of those that may
        receive shards.
        """
        slots = sum(self._receivers.values())
        return sum(self._load.values()) / slots if slots else 0.0

    def compute_relative_load(self, target: str) -> float:
        """Returns a target's load per slot divided by the mean."""
        mean = self.compute_mean()
        if mean <= 0:
            return 0.0
        return self._load[target] / self._slots[target] / mean

    def compute_imbalance(self) -> float:
        """Returns the highest relative load of targets that do not drain."""
        return max(
            (
                self.compute_relative_load(item)
                for item in self._load
                if item not in self.draining
            ),
            default=0.0,
        )

    def find_most_loaded(
        self, goal: float, excluded: Collection[str]
    ) -> str | None:
        """Returns the most loaded target if its load is above the goal."""
        sources = [
            item
            for item in self._load
            if item not in self.draining and item not in excluded
        ]
        most_loaded = max(
            sources,
            key=lambda item: (self._load[item] / self._slots[item], item),
            default=None,
        )
        if (
            most_loaded is None
            or self.compute_relative_load(most_loaded) <= goal
        ):
            return None
        return most_loaded

    def choose_move(
        self,
        source: str,
        goal: float,
        recently_moved: Collection[_ShardId],
    ) -> tuple[policy.ShardView, str] | None:
        """Returns the move that reduces a target's excess most cheaply.

        The best choice is the smallest shard that covers the whole excess,
        otherwise the largest that fits on the least loaded target. Moves cost
        more in keyspaces with larger churn and unavailability weights.
        """
        mean = self.compute_mean()
        excess = self._load[source] - goal * mean * self._slots[source]
        free_load, target = max(
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
            if key in self.moving or key in recently_moved:
                continue
            counted_load = self.get_counted_load(shard)
            if counted_load * self._load_factors[target] > free_load:
                continue
            load_reduction = counted_load * self._load_factors[source]
            if load_reduction < self._min_move_load:
                continue
            useful_reduction = min(load_reduction, excess)
            cost = self._compute_move_cost(shard)
            rank = (-useful_reduction / cost, load_reduction, key)
            if best is None or rank < best:
                best = rank
        if best is None:
            return None
        return self._owned[source][best[2]], target

    def _compute_move_cost(self, shard: policy.ShardView) -> float:
        weights = self._weights.get(shard.keyspace, policy.Weights())
        cost = max(0.1, weights.churn + weights.unavailability)
        return cost if shard.key else cost * _SHARD_MOVE_COST
