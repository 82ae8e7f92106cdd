"""Placement policies that choose targets by hash and ignore load.

They are baselines for comparison with the policy of `bounded`.
"""

from collections.abc import Callable
from collections.abc import Sequence
import math
import random

import xxhash

from bamboosilld.placement import policy

_HASH_RANGE = 2.0**64


def _hash(*parts: object) -> int:
    text = "\x1f".join(str(part) for part in parts)
    return xxhash.xxh3_64_intdigest(text.encode())


def _plan_moves(
    view: policy.PlacementView,
    choose: Callable[[policy.ShardView, Sequence[policy.TargetView]], str],
    reason: str,
) -> tuple[policy.Move, ...]:
    live = sorted(
        (item for item in view.targets if item.state != policy.DRAINING),
        key=lambda item: item.id,
    )
    if not live:
        return ()
    moves = []
    for shard in view.shards:
        if shard.moving:
            continue
        target = choose(shard, live)
        if target != shard.owner:
            moves.append(
                policy.Move(
                    shard.keyspace, shard.shard, shard.key, target, reason
                )
            )
    return tuple(moves)


@policy.register("modulo")
class ModuloPolicy:
    """Places by the hash modulo the number of live targets."""

    def __init__(self, rng: random.Random) -> None:
        del rng

    def plan(self, view: policy.PlacementView) -> tuple[policy.Move, ...]:
        """Returns moves to the target at index hash mod number of targets."""
        return _plan_moves(view, self._choose, "hash modulo the live targets")

    @staticmethod
    def _choose(
        shard: policy.ShardView, live: Sequence[policy.TargetView]
    ) -> str:
        position = _hash(shard.keyspace, shard.shard, shard.key) % len(live)
        return live[position].id


@policy.register("consistent")
class ConsistentPolicy:
    """Places by rendezvous hashing weighted by slots.

    Source: Thaler and Ravishankar, "Using name-based mappings to increase hit
    rates", IEEE/ACM Transactions on Networking 6(1), 1998; the weighting is
    the logarithmic method of Schindelhauer and Schomaker, SPAA 2005.
    """

    def __init__(self, rng: random.Random) -> None:
        del rng
        self._scores: dict[tuple[str, int, str, str], float] = {}

    def plan(self, view: policy.PlacementView) -> tuple[policy.Move, ...]:
        """Returns moves to the target with the highest hash score."""
        return _plan_moves(view, self._choose, "highest hash score")

    def _choose(
        self, shard: policy.ShardView, live: Sequence[policy.TargetView]
    ) -> str:
        best = max(live, key=lambda item: self._score(shard, item))
        return best.id

    def _score(
        self, shard: policy.ShardView, target: policy.TargetView
    ) -> float:
        score_key = (shard.keyspace, shard.shard, shard.key, target.id)
        score = self._scores.get(score_key)
        if score is None:
            score = -1.0 / math.log((_hash(*score_key) + 0.5) / _HASH_RANGE)
            self._scores[score_key] = score
        return score * target.slots
