"""Which upstream owns which shard, and the fences of assignments."""

from collections.abc import Iterator
from typing import NamedTuple

from bamboosill_common import sharding
from bamboosill_common.generated import zone as messages

# Hot keys of one availability zone; bounds the table.
MAX_HOT_KEYS = 128


class Owner(NamedTuple):
    """An incarnation of an upstream."""

    id: str
    incarnation: int


class AssignmentKey(NamedTuple):
    """A shard, or one hot key of it if `key` is not empty."""

    keyspace: str
    shard: int
    key: str = ""


class Assignment(NamedTuple):
    """The owner of a shard or hot key.

    Attributes:
        epoch: Delegation epoch under which the assignment was made.
        owner: The owner, also while requests to it may still be in flight.
        fence: Fence of the owner's grant.
        moving: Whether the assignment is being changed.
        target: The next owner; None while moving means no owner.
        target_fence: Fence of the change and of the next owner's grant.
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
        self._hot: dict[AssignmentKey, None] = {}
        self._by_owner: dict[Owner, dict[AssignmentKey, None]] = {}

    def __len__(self) -> int:
        return len(self._by_key)

    def find(self, key: AssignmentKey) -> Assignment | None:
        """Returns the assignment of exactly this shard or hot key."""
        return self._by_key.get(key)

    def resolve(
        self, keyspace: str, shard: int, hot_key: str
    ) -> tuple[AssignmentKey, Assignment | None]:
        """Returns the assignment that counts for a key."""
        if self._hot and hot_key:
            key = AssignmentKey(keyspace, shard, hot_key)
            found = self._by_key.get(key)
            if found is not None:
                return key, found
        key = AssignmentKey(keyspace, shard)
        return key, self._by_key.get(key)

    def list_moving(self) -> Iterator[tuple[AssignmentKey, Assignment]]:
        """Yields the assignments that are being changed."""
        for key in self._moving:
            yield key, self._by_key[key]

    def list_hot(self) -> Iterator[tuple[AssignmentKey, Assignment]]:
        """Yields the assignments of hot keys."""
        for key in self._hot:
            yield key, self._by_key[key]

    def list_of(self, owner: Owner) -> list[AssignmentKey]:
        """Returns what an upstream owns or is about to own."""
        return list(self._by_owner.get(owner, ()))

    def list_all(self) -> Iterator[tuple[AssignmentKey, Assignment]]:
        """Yields all assignments."""
        yield from self._by_key.items()

    def begin(
        self,
        key: AssignmentKey,
        epoch: int,
        index: int,
        target: Owner | None,
    ) -> bool:
        """Begins a change; the fence follows from the log index."""
        present = self._by_key.get(key)
        if present is None and key.key:
            if target is None or len(self._hot) >= MAX_HOT_KEYS:
                return False
            present = self._inherit(key)
        if present is None:
            present = Assignment(epoch)
        if not present.moving and present.owner == target:
            return False
        self.put(
            key,
            present._replace(
                epoch=epoch,
                moving=True,
                target=target,
                target_fence=sharding.make_fence(epoch, index),
            ),
        )
        return True

    def finish(self, key: AssignmentKey, fence: int) -> bool:
        """Ends the change that has the given fence."""
        present = self._by_key.get(key)
        if present is None or not present.moving:
            return False
        if present.target_fence != fence:
            return False
        if key.key and present.target is None:
            self.drop(key)
            return True
        self.put(key, Assignment(present.epoch, present.target, fence))
        return True

    def put(self, key: AssignmentKey, value: Assignment) -> None:
        """Stores an assignment."""
        self.drop(key)
        self._by_key[key] = value
        if value.moving:
            self._moving[key] = None
        if key.key:
            self._hot[key] = None
        for owner in (value.owner, value.target):
            if owner is not None:
                self._by_owner.setdefault(owner, {})[key] = None

    def drop(self, key: AssignmentKey) -> None:
        """Forgets an assignment."""
        present = self._by_key.pop(key, None)
        if present is None:
            return
        self._moving.pop(key, None)
        self._hot.pop(key, None)
        for owner in (present.owner, present.target):
            keys = self._by_owner.get(owner) if owner else None
            if keys is not None:
                keys.pop(key, None)
                if not keys:
                    del self._by_owner[owner]  # type: ignore[arg-type]

    def drop_shard(
        self, keyspace: str, shard: int, except_epoch: int | None = None
    ) -> None:
        """Forgets the assignments of a shard and its hot keys.

        Args:
            keyspace: Keyspace of the shard.
            shard: The shard.
            except_epoch: Assignments made under this epoch are kept.
        """
        for key in self.list_keys(keyspace, shard):
            if except_epoch is None or self._by_key[key].epoch != except_epoch:
                self.drop(key)

    def has_owner(self, keyspace: str, shard: int) -> bool:
        """Returns whether the shard or a hot key of it may have an owner."""
        found = [self._by_key[k] for k in self.list_keys(keyspace, shard)]
        return any(each.owner or each.moving for each in found)

    def list_keys(self, keyspace: str, shard: int) -> list[AssignmentKey]:
        """Returns the assignments of a shard and its hot keys."""
        keys = [k for k in self._hot if k[:2] == (keyspace, shard)]
        plain = AssignmentKey(keyspace, shard)
        return [*keys, plain] if plain in self._by_key else keys

    def _inherit(self, key: AssignmentKey) -> Assignment | None:
        """A new hot key begins with the owner of its shard."""
        shard = self._by_key.get(AssignmentKey(key.keyspace, key.shard))
        if shard is None or shard.owner is None:
            return None
        return Assignment(shard.epoch, shard.owner, shard.fence)


def write_item(
    key: AssignmentKey, value: Assignment
) -> messages.AssignmentItem:
    """Returns the snapshot form of an assignment."""
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


def read_item(
    item: messages.AssignmentItem,
) -> tuple[AssignmentKey, Assignment]:
    """Returns the assignment in a snapshot item."""
    owner = Owner(item.owner, item.owner_incarnation) if item.owner else None
    target = (
        Owner(item.target, item.target_incarnation) if item.target else None
    )
    return AssignmentKey(item.keyspace, item.shard, item.key), Assignment(
        item.epoch, owner, item.fence, item.moving, target, item.target_fence
    )
