"""Plans which availability zone holds each shard of a keyspace.

Shards are spread over the zones in proportion to the request slots of their
upstreams. A shard moves to another zone in two steps: the holding zone is
asked to release it, and once it has, the shard is delegated anew with the next
epoch.
"""

from collections.abc import Mapping
from collections.abc import Sequence
from collections.abc import Set
import types
from typing import NamedTuple

from bamboosill_common.generated import control as messages
from bamboosilld.control import delegationrules
from bamboosilld.control import tables as tables_lib

Shard = delegationrules.Shard

# A zone above its quota by at most this ratio keeps its shards.
REBALANCE_RATIO = 1.05
# Fraction of a keyspace's shards that may begin to move per second. It limits
# the burst of moves when a zone returns: a quarter of the shards takes 16 s.
RELEASE_RATIO_PER_S = 1 / 64
MIN_RELEASES_PER_S = 4


class KeyspaceView(NamedTuple):
    """Input of the planner for one keyspace.

    Attributes:
        slots: Request slots of the service in each live zone that may hold
            shards.
        group_epochs: Current group epoch of each of these zones.
        reassignable: Indexes of shards that no zone holds any longer.
        id_floor_ms: Largest time stamp of the request ids that are refused for
            shards that are delegated now without a release.
        release_budget: Most shards that may begin to move between zones.
        empty_zones: Live zones that have had no slots for a while.
        last_ids_ms: By index of each released shard, the largest time stamp
            of the request ids that its zone recorded.
    """

    slots: Mapping[str, int]
    group_epochs: Mapping[str, int]
    reassignable: Set[int]
    id_floor_ms: int
    release_budget: int
    empty_zones: Set[str] = frozenset()
    last_ids_ms: Mapping[int, int] = types.MappingProxyType({})


def compute_release_rate(shards: int) -> float:
    """Returns how many shards of a keyspace may begin to move per second."""
    return max(MIN_RELEASES_PER_S, shards * RELEASE_RATIO_PER_S)


def compute_quotas(shards: int, slots: Mapping[str, int]) -> dict[str, int]:
    """Apportions shards to zones by slots (largest remainder method)."""
    total = sum(slots.values())
    if not total:
        return {}
    quotas = {zone: shards * slots[zone] // total for zone in slots}
    remainder = shards - sum(quotas.values())
    by_remainder = sorted(
        slots, key=lambda zone: (-(shards * slots[zone] % total), zone)
    )
    for zone in by_remainder[:remainder]:
        quotas[zone] += 1
    return quotas


def count_held_shards(
    shards: Sequence[Shard], reassignable: Set[int]
) -> dict[str, int]:
    """Returns by zone how many shards it holds and is not releasing."""
    held: dict[str, int] = {}
    for index, shard in enumerate(shards):
        if index not in reassignable and not shard.releasing:
            held[shard.zone] = held.get(shard.zone, 0) + 1
    return held


def is_balanced(shards: Sequence[Shard], view: KeyspaceView) -> bool:
    """Returns whether no zone holds more than its quota tolerates."""
    held = count_held_shards(shards, view.reassignable)
    return all(
        held.get(zone, 0) <= _compute_max_held(quota)
        for zone, quota in compute_quotas(len(shards), view.slots).items()
    )


def plan(
    shards: Sequence[Shard], view: KeyspaceView, rebalance: bool
) -> list[Shard]:
    """Returns the delegations that should replace the current ones.

    Args:
        shards: Current delegations of the keyspace.
        view: State of the zones.
        rebalance: Whether held shards may be released to other zones.
    """
    quotas = compute_quotas(len(shards), view.slots)
    planned = list(shards)
    if not quotas:
        return planned
    held = count_held_shards(shards, view.reassignable)
    _delegate_reassignable(planned, view, quotas, held)
    for zone in sorted(view.empty_zones):
        _request_release(planned, zone, held.get(zone, 0))
    budget = view.release_budget if rebalance else 0
    for zone, quota in sorted(quotas.items()):
        excess = min(held.get(zone, 0) - quota, budget)
        if held.get(zone, 0) > _compute_max_held(quota):
            _request_release(planned, zone, excess)
            budget -= excess
    return planned


def split_blocks(
    keyspace: str, before: Sequence[Shard], after: Sequence[Shard]
) -> list[messages.DelegationItem]:
    """Returns the blocks in which the two plans differ."""
    size = tables_lib.BLOCK_SHARDS
    return [
        delegationrules.make_item(keyspace, first, list(after[first:][:size]))
        for first in range(0, len(after), size)
        if list(before[first:][:size]) != list(after[first:][:size])
    ]


def read_shards(tables: tables_lib.Tables, keyspace: str) -> list[Shard]:
    """Returns the current delegation of each shard of a keyspace."""
    total = tables.keyspaces[keyspace].shards
    shards: list[Shard] = []
    for first in range(0, total, tables_lib.BLOCK_SHARDS):
        item = tables.delegations.get((keyspace, first))
        size = min(tables_lib.BLOCK_SHARDS, total - first)
        shards += (
            delegationrules.list_shards(item) if item else [Shard()] * size
        )
    return shards


def _compute_max_held(quota: int) -> float:
    """Returns how many shards a zone may hold before it must release."""
    return max(quota * REBALANCE_RATIO, quota + 1) if quota else 0


def _delegate_reassignable(
    planned: list[Shard],
    view: KeyspaceView,
    quotas: Mapping[str, int],
    held: dict[str, int],
) -> None:
    """Delegates each reassignable shard, if possible to its last zone."""
    unplaced = []
    for index in sorted(view.reassignable):
        shard = planned[index]
        # Rebalancing would not move shards off a zone below this limit.
        fits = shard.zone in quotas and held.get(
            shard.zone, 0
        ) < _compute_max_held(quotas[shard.zone])
        if fits and not shard.releasing:
            _delegate_shard(planned, index, shard.zone, view, held)
        else:
            unplaced.append(index)
    for index in unplaced:
        zone = max(
            sorted(quotas),
            key=lambda zone: quotas[zone] - held.get(zone, 0),
        )
        _delegate_shard(planned, index, zone, view, held)


def _delegate_shard(
    planned: list[Shard],
    index: int,
    zone: str,
    view: KeyspaceView,
    held: dict[str, int],
) -> None:
    shard = planned[index]
    # A shard that was never delegated cannot have run any request.
    floor_ms = view.id_floor_ms if shard.epoch else 0
    # After a release the zone records no further requests of the shard, so the
    # new owner must refuse only ids up to the time of the last recorded one.
    floor_ms = view.last_ids_ms.get(index, floor_ms)
    planned[index] = Shard(
        zone,
        shard.epoch + 1,
        view.group_epochs[zone],
        max(shard.id_floor_ms, floor_ms),
    )
    held[zone] = held.get(zone, 0) + 1


def _request_release(planned: list[Shard], zone: str, count: int) -> None:
    """Marks the last `count` shards of a zone for release."""
    for index in reversed(range(len(planned))):
        if count <= 0:
            return
        shard = planned[index]
        if shard.zone == zone and not shard.releasing:
            planned[index] = shard._replace(releasing=True)
            count -= 1
