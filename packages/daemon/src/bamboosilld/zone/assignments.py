"""Assignments of shards and hot keys to upstreams, with fencing tokens.

Part of the replicated state of a zone group. A move has two steps, so that the
former owner can be stopped before the next one serves: `begin_move` records
the target and a new fence, `finish_move` makes the target the owner.
"""

from collections.abc import Iterator
from typing import NamedTuple

from bamboosill_common import sharding
from bamboosill_common.generated import zone as messages

# Limit per availability zone; bounds the table.
MAX_HOT_KEYS = 128


class Owner(NamedTuple):
    """One incarnation of an upstream, as the owner of assignments."""

    id: str
    incarnation: int


class AssignmentKey(NamedTuple):
    """A shard, or a single hot key of it if `key` is not empty."""

    keyspace: str
    shard: int
    key: str = ""


class Assignment(NamedTuple):
    """The owner of a shard or hot key.

    Attributes:
        epoch: Delegation epoch under which the assignment was made.
        owner: Current owner. Stays set during a move, because requests to it
            may still be in flight.
        fence: Fencing token of the owner's grant.
        moving: Whether a move is in progress.
        target: Next owner during a move; None if the shard is to have none.
        target_fence: Fencing token of the move and of the next owner's grant.
    """

    epoch: int
    owner: Owner | None = None
    fence: int = 0
    moving: bool = False
    target: Owner | None = None
    target_fence: int = 0


class AssignmentTable:
    """Assignments of the shards delegated to this zone group."""

    def __init__(self) -> None:
        self._by_key: dict[AssignmentKey, Assignment] = {}
        self._moving: dict[AssignmentKey, None] = {}
        self._hot_keys: dict[AssignmentKey, None] = {}
        self._by_owner: dict[Owner, dict[AssignmentKey, None]] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def find(self, key: AssignmentKey) -> Assignment | None:
        """Returns the assignment of exactly this shard or hot key."""
        return self._by_key.get(key)

    def resolve(
        self, keyspace: str, shard: int, hot_key: str
    ) -> tuple[AssignmentKey, Assignment | None]:
        """Returns the hot key's assignment, or else that of its shard."""
        if self._hot_keys and hot_key:
            key = AssignmentKey(keyspace, shard, hot_key)
            found = self._by_key.get(key)
            if found is not None:
                return key, found
        key = AssignmentKey(keyspace, shard)
        return key, self._by_key.get(key)

    def list_moving(self) -> Iterator[tuple[AssignmentKey, Assignment]]:
        """Yields the assignments with a move in progress."""
        for key in self._moving:
            yield key, self._by_key[key]

    def list_hot_keys(self) -> Iterator[tuple[AssignmentKey, Assignment]]:
        """Yields the assignments of hot keys."""
        for key in self._hot_keys:
            yield key, self._by_key[key]

    def list_owned(self, owner: Owner) -> list[AssignmentKey]:
        """Returns the assignments of which an upstream is owner or target."""
        return list(self._by_owner.get(owner, ()))

    def list_all(self) -> Iterator[tuple[AssignmentKey, Assignment]]:
        """Yields all assignments."""
        yield from self._by_key.items()

    def begin_move(
        self,
        key: AssignmentKey,
        epoch: int,
        index: int,
        target: Owner | None,
    ) -> bool:
        """Starts a move; its fence is derived from epoch and log index."""
        current = self._by_key.get(key)
        if current is None and key.key:
            if target is None or len(self._hot_keys) >= MAX_HOT_KEYS:
                return False
            current = self._inherit_shard_owner(key)
        if current is None:
            current = Assignment(epoch)
        if not current.moving and current.owner == target:
            return False
        self.put(
            key,
            current._replace(
                epoch=epoch,
                moving=True,
                target=target,
                target_fence=sharding.make_fence(epoch, index),
            ),
        )
        return True

    def finish_move(self, key: AssignmentKey, fence: int) -> bool:
        """Completes the move that has the given fence."""
        current = self._by_key.get(key)
        if current is None or not current.moving:
            return False
        if current.target_fence != fence:
            return False
        if key.key and current.target is None:
            self.remove(key)
            return True
        self.put(key, Assignment(current.epoch, current.target, fence))
        return True

    def put(self, key: AssignmentKey, value: Assignment) -> None:
        """Stores an assignment."""
        self.remove(key)
        self._by_key[key] = value
        if value.moving:
            self._moving[key] = None
        if key.key:
            self._hot_keys[key] = None
        for owner in (value.owner, value.target):
            if owner is not None:
                self._by_owner.setdefault(owner, {})[key] = None

    def remove(self, key: AssignmentKey) -> None:
        """Removes an assignment."""
        current = self._by_key.pop(key, None)
        if current is None:
            return
        self._moving.pop(key, None)
        self._hot_keys.pop(key, None)
        for owner in (current.owner, current.target):
            keys = self._by_owner.get(owner) if owner else None
            if keys is not None:
                keys.pop(key, None)
                if not keys:
                    del self._by_owner[owner]  # type: ignore[arg-type]

    def remove_shard(
        self, keyspace: str, shard: int, except_epoch: int | None = None
    ) -> None:
        """Removes the assignments of a shard and its hot keys.

        Args:
            keyspace: Keyspace of the shard.
            shard: The shard.
            except_epoch: Assignments made under this epoch are kept.
        """
        for key in self.list_shard_keys(keyspace, shard):
            if except_epoch is None or self._by_key[key].epoch != except_epoch:
                self.remove(key)

    def has_owner(self, keyspace: str, shard: int) -> bool:
        """Returns whether the shard or a hot key of it is owned or moving."""
        found = [self._by_key[k] for k in self.list_shard_keys(keyspace, shard)]
        return any(each.owner or each.moving for each in found)

    def list_shard_keys(self, keyspace: str, shard: int) -> list[AssignmentKey]:
        """Returns the keys of the assignments of a shard and its hot keys."""
        keys = [k for k in self._hot_keys if k[:2] == (keyspace, shard)]
        shard_key = AssignmentKey(keyspace, shard)
        return [*keys, shard_key] if shard_key in self._by_key else keys

    def _inherit_shard_owner(self, key: AssignmentKey) -> Assignment | None:
        """Returns the first assignment of a hot key: the owner of its shard."""
        shard_assignment = self._by_key.get(
            AssignmentKey(key.keyspace, key.shard)
        )
        if shard_assignment is None or shard_assignment.owner is None:
            return None
        return Assignment(
            shard_assignment.epoch,
            shard_assignment.owner,
            shard_assignment.fence,
        )


def make_snapshot_item(
    key: AssignmentKey, value: Assignment
) -> messages.AssignmentItem:
    """Returns an assignment as a snapshot item."""
    owner = value.owner or Owner("", 0)
    target = value.target or Owner("", 0)
    return messages.AssignmentItem(
        keyspace=key.keyspace,
        shard=key.shard,
        key=key.key,
        epoch=value.epoch,
        owner=owner.id,
        owner_incarnation=owner.incarnation,
        fence=value.fence,
        moving=value.moving,
        target=target.id,
        target_incarnation=target.incarnation,
        target_fence=value.target_fence,
    )


def parse_snapshot_item(
    item: messages.AssignmentItem,
) -> tuple[AssignmentKey, Assignment]:
    """Returns the key and assignment of a snapshot item."""
    owner = Owner(item.owner, item.owner_incarnation) if item.owner else None
    target = (
        Owner(item.target, item.target_incarnation) if item.target else None
    )
    return AssignmentKey(item.keyspace, item.shard, item.key), Assignment(
        item.epoch, owner, item.fence, item.moving, target, item.target_fence
    )
