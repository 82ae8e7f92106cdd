"""Plans which availability zone holds each shard of a keyspace."""

from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
import types
from typing import NamedTuple

from bamboosill_common.generated import control as messages
from bamboosilld.control import delegationrules
from bamboosilld.control import tables as tables_lib

Shard = delegationrules.Shard

# Zones within this ratio of their quota are left alone.
REBALANCE_RATIO = 1.05
# Each keyspace moves this part of its shards a second between zones, so that
# a returning zone brings no storm of moves: a quarter takes 16 s.
RELEASED_PART_PER_S = 1 / 64
MIN_RELEASED_PER_S = 4


class View(NamedTuple):
    """What the planner knows of one keyspace.

    Attributes:
        slots: Slots of the service by live zone that may hold shards.
        group_epochs: Present group epoch of each of these zones.
        takeable: Indexes of shards that no zone holds any more.
        id_floor_ms: Floor of request ids for shards that are delegated now
            without a release.
        release_budget: Most shards that may begin to move between zones.
        empty_zones: Live zones that have had no slots for a while.
        last_ids_ms: By index of each released shard, the largest time stamp
            of the request ids that its zone recorded.
    """

    slots: Mapping[str, int]
    group_epochs: Mapping[str, int]
    takeable: Set[int]
    id_floor_ms: int
    release_budget: int
    empty_zones: Set[str] = frozenset()
    last_ids_ms: Mapping[int, int] = types.MappingProxyType({})


def compute_release_rate(shards: int) -> float:
    """Returns how many shards of a keyspace may begin to move a second."""
    return max(MIN_RELEASED_PER_S, shards * RELEASED_PART_PER_S)


def compute_quotas(shards: int, slots: Mapping[str, int]) -> dict[str, int]:
    """Returns shards by zone in proportion to slots, by largest remainder."""
    total = sum(slots.values())
    if not total:
        return {}
    quotas = {zone: shards * slots[zone] // total for zone in slots}
    left = shards - sum(quotas.values())
    by_remainder = sorted(
        slots, key=lambda zone: (-(shards * slots[zone] % total), zone)
    )
    for zone in by_remainder[:left]:
        quotas[zone] += 1
    return quotas


def count_held(shards: Sequence[Shard], takeable: Set[int]) -> dict[str, int]:
    """Returns by zone the shards that it holds and keeps."""
    held: dict[str, int] = {}
    for index, shard in enumerate(shards):
        if index not in takeable and not shard.releasing:
            held[shard.zone] = held.get(shard.zone, 0) + 1
    return held


def is_balanced(shards: Sequence[Shard], view: View) -> bool:
    """Returns whether each zone is near its quota."""
    held = count_held(shards, view.takeable)
    return all(
        held.get(zone, 0) <= _get_most(quota)
        for zone, quota in compute_quotas(len(shards), view.slots).items()
    )


def plan(shards: Sequence[Shard], view: View, rebalance: bool) -> list[Shard]:
    """Returns the shards as they should be delegated next.

    Args:
        shards: The shards of a keyspace as delegated now.
        view: What is known of the zones.
        rebalance: Whether held shards may be released to other zones.
    """
    quotas = compute_quotas(len(shards), view.slots)
    planned = list(shards)
    if not quotas:
        return planned
    held = count_held(shards, view.takeable)
    _delegate(planned, view, quotas, held)
    for zone in sorted(view.empty_zones):
        _release(planned, zone, held.get(zone, 0))
    budget = view.release_budget if rebalance else 0
    for zone, quota in sorted(quotas.items()):
        excess = min(held.get(zone, 0) - quota, budget)
        if held.get(zone, 0) > _get_most(quota):
            _release(planned, zone, excess)
            budget -= excess
    return planned


def split_blocks(
    keyspace: str, before: Sequence[Shard], after: Sequence[Shard]
) -> list[messages.DelegationItem]:
    """Returns the blocks that differ."""
    size = tables_lib.BLOCK_SHARDS
    return [
        delegationrules.make_item(keyspace, first, list(after[first:][:size]))
        for first in range(0, len(after), size)
        if list(before[first:][:size]) != list(after[first:][:size])
    ]


def read_shards(tables: tables_lib.Tables, keyspace: str) -> list[Shard]:
    """Returns all shards of a keyspace as delegated now."""
    total = tables.keyspaces[keyspace].shards
    shards: list[Shard] = []
    for first in range(0, total, tables_lib.BLOCK_SHARDS):
        item = tables.delegations.get((keyspace, first))
        size = min(tables_lib.BLOCK_SHARDS, total - first)
        shards += (
            delegationrules.list_shards(item) if item else [Shard()] * size
        )
    return shards


def _get_most(quota: int) -> float:
    """Returns the most shards that a zone may keep over its quota."""
    return max(quota * REBALANCE_RATIO, quota + 1) if quota else 0


def _delegate(
    planned: list[Shard],
    view: View,
    quotas: Mapping[str, int],
    held: dict[str, int],
) -> None:
    """Delegates each takeable shard, to its former zone where possible."""
    left = []
    for index in sorted(view.takeable):
        shard = planned[index]
        # Left over quota as far as rebalancing would leave it.
        fits = shard.zone in quotas and held.get(shard.zone, 0) < _get_most(
            quotas[shard.zone]
        )
        if fits and not shard.releasing:
            _give(planned, index, shard.zone, view, held)
        else:
            left.append(index)
    for index in left:
        zone = max(
            sorted(quotas),
            key=lambda zone: quotas[zone] - held.get(zone, 0),
        )
        _give(planned, index, zone, view, held)


def _give(
    planned: list[Shard],
    index: int,
    zone: str,
    view: View,
    held: dict[str, int],
) -> None:
    shard = planned[index]
    # No request of a shard that was never delegated can have run before.
    floor_ms = view.id_floor_ms if shard.epoch else 0
    # A zone records nothing for a shard after it has released it.
    floor_ms = view.last_ids_ms.get(index, floor_ms)
    planned[index] = Shard(
        zone,
        shard.epoch + 1,
        view.group_epochs[zone],
        max(shard.id_floor_ms, floor_ms),
    )
    held[zone] = held.get(zone, 0) + 1


def _release(planned: list[Shard], zone: str, count: int) -> None:
    """Asks a zone to give up the last `count` shards that it keeps."""
    for index in reversed(range(len(planned))):
        if count <= 0:
            return
        shard = planned[index]
        if shard.zone == zone and not shard.releasing:
            planned[index] = shard._replace(releasing=True)
            count -= 1
