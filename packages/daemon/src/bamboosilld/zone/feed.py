"""The zone group's copy of the control state.

The control leader sends changed items in its replies to zone heartbeats; the
zone leader commits them as `ApplyFeed` commands.
"""

from collections.abc import Iterator
from typing import Any
from typing import NamedTuple

from bamboosill_common import wire
from bamboosill_common.generated import control

ENTRY_ROLE = "entry"
CONTROL_ROLE = "control"
LAPSE = "lapse"


class Delegation(NamedTuple):
    """The availability zone to which one shard is delegated.

    Attributes:
        id_floor_ms: Requests whose id has this timestamp or an older one may
            have run in another zone.
        releasing: Whether the control group wants the shard back.
    """

    zone: str
    epoch: int
    group_epoch: int
    id_floor_ms: int
    releasing: bool


class FeedChange(NamedTuple):
    """Customers and shards that one `ApplyFeed` changed."""

    customers: frozenset[str] = frozenset()
    delegated: frozenset[tuple[str, int]] = frozenset()


class FeedState:
    """Contracts, keyspaces, delegations, instances and zones.

    Attributes:
        revision: Last applied revision of the control state.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.contracts: dict[str, control.ContractItem] = {}
        self.keyspaces: dict[str, control.KeyspaceItem] = {}
        self.instances: dict[str, control.InstanceItem] = {}
        self.zones: dict[str, control.ZoneItem] = {}
        self._delegation_items: dict[
            tuple[str, int], control.DelegationItem
        ] = {}
        self._delegations: dict[str, dict[int, Delegation]] = {}

    def apply(
        self, revision: int, full: bool, items: tuple[bytes, ...]
    ) -> FeedChange:
        """Applies items and returns what changed; ignores older revisions.

        Raises:
            wire.DecodeError: An item is malformed; nothing was applied.
        """
        if revision <= self.revision:
            return FeedChange()
        messages = [wire.unpack(item) for item in items]
        changed_customers: set[str] = set()
        delegated: set[tuple[str, int]] = set()
        if full:
            self._remove_missing(messages, changed_customers, delegated)
        for message in messages:
            self._put(message, changed_customers, delegated)
        self.revision = revision
        return FeedChange(frozenset(changed_customers), frozenset(delegated))

    def find_delegation(self, keyspace: str, shard: int) -> Delegation | None:
        """Returns the delegation of a shard."""
        return self._delegations.get(keyspace, {}).get(shard)

    def list_delegations(
        self, keyspace: str
    ) -> Iterator[tuple[int, Delegation]]:
        """Yields the shards of a keyspace and their delegations."""
        yield from self._delegations.get(keyspace, {}).items()

    def list_entry_instances(self, zone: str) -> list[control.InstanceItem]:
        """Returns the registered entry instances of an availability zone."""
        return [
            item
            for _, item in sorted(self.instances.items())
            if item.zone == zone and ENTRY_ROLE in item.roles
        ]

    def is_instance_deregistered(self, instance: str, incarnation: int) -> bool:
        """Returns whether an incarnation is no longer registered."""
        item = self.instances.get(instance)
        return item is None or item.incarnation > incarnation

    def has_lapsing_delegations(self, keyspace: str) -> bool:
        """Returns whether the zone loses the keyspace when it is cut off.

        Its delegations then expire with the zone's delegation lease.
        """
        item = self.keyspaces.get(keyspace)
        return item is not None and item.zone_loss == LAPSE

    def list_items(self) -> list[bytes]:
        """Returns all items, serialized, in a fixed order."""
        tables: tuple[dict[Any, Any], ...] = (
            self.contracts,
            self.keyspaces,
            self._delegation_items,
            self.instances,
            self.zones,
        )
        return [
            wire.pack(table[key]) for table in tables for key in sorted(table)
        ]

    def _remove_missing(
        self,
        messages: list[Any],
        changed_customers: set[str],
        delegated: set[tuple[str, int]],
    ) -> None:
        kept: dict[type[Any], set[Any]] = {}
        for message in messages:
            kept.setdefault(type(message), set()).add(_get_key(message))
        tables: tuple[tuple[dict[Any, Any], type[Any]], ...] = (
            (self.contracts, control.ContractItem),
            (self.keyspaces, control.KeyspaceItem),
            (self._delegation_items, control.DelegationItem),
            (self.instances, control.InstanceItem),
            (self.zones, control.ZoneItem),
        )
        for table, kind in tables:
            for key in [key for key in table if key not in kept.get(kind, ())]:
                del table[key]
                if kind is control.ContractItem:
                    changed_customers.add(key)
                if kind is control.DelegationItem:
                    self._remove_delegation(key, delegated)

    def _remove_delegation(
        self, key: tuple[str, int], delegated: set[tuple[str, int]]
    ) -> None:
        keyspace, first = key
        shards = self._delegations.get(keyspace, {})
        later_firsts = [
            other for name, other in self._delegation_items if name == keyspace
        ]
        end = min((o for o in later_firsts if o > first), default=None)
        for shard in [s for s in shards if s >= first]:
            if end is None or shard < end:
                del shards[shard]
                delegated.add((keyspace, shard))

    def _put(
        self,
        message: Any,
        changed_customers: set[str],
        delegated: set[tuple[str, int]],
    ) -> None:
        table = self._find_table(message)
        if table is None:
            return
        key = _get_key(message)
        current = table.get(key)
        if current is not None and current.revision > message.revision:
            return
        if isinstance(message, control.ContractItem):
            changed_customers.add(key)
        retired = getattr(message, "retired", False)
        if retired or getattr(message, "removed", False):
            table.pop(key, None)
            return
        table[key] = message
        if isinstance(message, control.DelegationItem):
            self._expand_delegation(message, delegated)

    def _find_table(self, message: Any) -> dict[Any, Any] | None:
        tables: dict[type[Any], dict[Any, Any]] = {
            control.ContractItem: self.contracts,
            control.KeyspaceItem: self.keyspaces,
            control.DelegationItem: self._delegation_items,
            control.InstanceItem: self.instances,
            control.ZoneItem: self.zones,
        }
        return tables.get(type(message))

    def _expand_delegation(
        self,
        item: control.DelegationItem,
        delegated: set[tuple[str, int]],
    ) -> None:
        shards = self._delegations.setdefault(item.keyspace, {})
        rows = zip(
            item.zones,
            item.epochs,
            item.group_epochs,
            item.id_floors_ms,
            item.releasing,
            strict=False,
        )
        for offset, row in enumerate(rows):
            shard = item.first_shard + offset
            delegation = Delegation(*row)
            if shards.get(shard) != delegation:
                shards[shard] = delegation
                delegated.add((item.keyspace, shard))


def _get_key(message: Any) -> Any:
    match message:
        case control.ContractItem():
            return message.customer
        case control.KeyspaceItem():
            return message.keyspace
        case control.DelegationItem():
            return (message.keyspace, message.first_shard)
        case control.InstanceItem():
            return message.instance
        case control.ZoneItem():
            return message.zone
    return None
