"""Rules that each change of delegations must satisfy.

All members of the control group check them when they apply a command, so a
shard never has two holders under one epoch, whatever the leader proposed.
"""

from typing import NamedTuple

from bamboosill_common.generated import control as messages
from bamboosilld.control import tables as tables_lib

# A fence has 64 bits: 24 for the epoch and 40 for the log index.
MAX_EPOCH = (1 << 24) - 1


class Shard(NamedTuple):
    """The delegation of one shard; epoch 0 if it was never delegated."""

    zone: str = ""
    epoch: int = 0
    group_epoch: int = 0
    id_floor_ms: int = 0
    releasing: bool = False


class Problem(NamedTuple):
    """Why a change is refused."""

    code: str
    detail: str


def list_shards(item: messages.DelegationItem) -> list[Shard]:
    """Returns the shards of a block."""
    return [
        Shard(*values)
        for values in zip(
            item.zones,
            item.epochs,
            item.group_epochs,
            item.id_floors_ms,
            item.releasing,
            strict=True,
        )
    ]


def make_item(
    keyspace: str, first_shard: int, shards: list[Shard]
) -> messages.DelegationItem:
    """Returns the block that consists of the shards."""
    return messages.DelegationItem(
        keyspace=keyspace,
        first_shard=first_shard,
        zones=tuple(each.zone for each in shards),
        epochs=tuple(each.epoch for each in shards),
        group_epochs=tuple(each.group_epoch for each in shards),
        id_floors_ms=tuple(each.id_floor_ms for each in shards),
        releasing=tuple(each.releasing for each in shards),
    )


def find_problem(
    tables: tables_lib.Tables, item: messages.DelegationItem
) -> Problem | None:
    """Returns why a block cannot replace the current one, or None."""
    keyspace = tables.keyspaces.get(item.keyspace)
    if keyspace is None:
        return Problem("unknown_keyspace", f"no keyspace {item.keyspace}")
    size = min(tables_lib.BLOCK_SHARDS, keyspace.shards - item.first_shard)
    lengths = {len(column) for column in item[3:]}
    if item.first_shard % tables_lib.BLOCK_SHARDS or lengths != {size}:
        return Problem("bad_delegation", "not the shards of one block")
    current = tables.delegations.get((item.keyspace, item.first_shard))
    current_shards = list_shards(current) if current else [Shard()] * size
    for offset, (old, new) in enumerate(
        zip(current_shards, list_shards(item), strict=True)
    ):
        detail = _find_shard_problem(tables, keyspace, old, new)
        if detail:
            shard = item.first_shard + offset
            return Problem("epoch", f"{item.keyspace} shard {shard}: {detail}")
    return None


def _find_shard_problem(
    tables: tables_lib.Tables,
    keyspace: messages.KeyspaceItem,
    old: Shard,
    new: Shard,
) -> str:
    if new.epoch == old.epoch:
        same = new._replace(releasing=old.releasing) == old
        return "" if same else "changed without a new epoch"
    if new.epoch != old.epoch + 1 or new.epoch > MAX_EPOCH:
        return f"epoch {new.epoch} does not follow {old.epoch}"
    zone = tables.zones.get(new.zone)
    if zone is None or zone.lost or zone.group_epoch != new.group_epoch:
        return f"zone {new.zone} has no group of epoch {new.group_epoch}"
    if keyspace.zones and new.zone not in keyspace.zones:
        return f"zone {new.zone} is not allowed"
    if new.releasing:
        return "delegated and released at once"
    if new.id_floor_ms < old.id_floor_ms:
        return "the id floor is lowered"
    return ""
