"""The replicated data of the control group.

Each item carries the log index of its last change as its revision, so that a
zone which has applied a revision receives only the items that changed since.
"""

import collections
import math
from typing import Any

from bamboosill_common import contract as contract_lib
from bamboosill_common.generated import control as messages

BLOCK_SHARDS = 64
DEFAULT_SHARDS = 512
MAX_SHARDS = 65_536
# Removed instances are kept as tombstones, so that deltas include removals.
MAX_REMOVED_INSTANCES = 1_000


class Tables:
    """Contracts, keyspaces, instances, zones and delegations.

    Attributes:
        revision: Index of the last change.
        floor_revision: Oldest revision from which a delta can be made.
        delegations: Blocks of delegations by keyspace and first shard.
        service_keyspaces: Current or last keyspace of each service, by
            customer and service name.
        parsed: Contracts in force by customer, derived from `contracts`.
        customers: Customers with a contract in force, by keyspace.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.floor_revision = 0
        self.contracts: dict[str, messages.ContractItem] = {}
        self.keyspaces: dict[str, messages.KeyspaceItem] = {}
        self.instances: dict[str, messages.InstanceItem] = {}
        self.zones: dict[str, messages.ZoneItem] = {}
        self.delegations: dict[tuple[str, int], messages.DelegationItem] = {}
        self.service_keyspaces: dict[tuple[str, str], messages.ServiceHome] = {}
        self.parsed: dict[str, contract_lib.Contract] = {}
        self.customers: dict[str, set[str]] = {}
        # By keyspace: number of services by their weights. The mean weights are
        # computed from it without a pass over all contracts.
        self._service_counts_by_weights: dict[
            str, collections.Counter[contract_lib.Weights]
        ] = {}

    def list_items(self) -> list[Any]:
        """Returns all feed items."""
        return [
            *self.contracts.values(),
            *self.keyspaces.values(),
            *self.instances.values(),
            *self.zones.values(),
            *self.delegations.values(),
        ]

    def put_contract(
        self,
        item: messages.ContractItem,
        contract: contract_lib.Contract | None,
        index: int,
        shards: int,
    ) -> None:
        """Stores a contract, or retires it if `contract` is None."""
        self.contracts[item.customer] = item
        old_keyspaces = self._remove_parsed(item.customer)
        new_keyspaces = {}
        for service in contract.services if contract else ():
            new_keyspaces[service.name] = service.format_keyspace()
        for name in old_keyspaces.keys() | new_keyspaces.keys():
            self._put_service_keyspace(
                item.customer, name, new_keyspaces.get(name, ""), index
            )
        if contract:
            self.parsed[item.customer] = contract
            self._add_customer(contract)
            for service in contract.services:
                self._ensure_keyspace(service, index, shards)
        for keyspace in sorted(
            {*old_keyspaces.values(), *new_keyspaces.values()}
        ):
            self._update_weights(keyspace, index)
        self.revision = index

    def put_instance(self, item: messages.InstanceItem) -> None:
        """Stores an instance."""
        self.instances[item.instance] = item
        self.revision = item.revision
        if not item.removed:
            return
        removed = [each for each in self.instances.values() if each.removed]
        if len(removed) > MAX_REMOVED_INSTANCES:
            oldest = min(removed, key=lambda each: each.revision)
            del self.instances[oldest.instance]
            self.floor_revision = max(self.floor_revision, oldest.revision)

    def put_zone(self, item: messages.ZoneItem) -> None:
        """Stores a zone."""
        self.zones[item.zone] = item
        self.revision = item.revision

    def put_delegation(self, item: messages.DelegationItem) -> None:
        """Stores a block of delegations."""
        self.delegations[(item.keyspace, item.first_shard)] = item
        self.revision = item.revision

    def restore_record(self, record: Any) -> None:
        """Stores one record of a snapshot without changing its revision."""
        match record:
            case messages.ContractItem():
                self.contracts[record.customer] = record
                if not record.retired:
                    contract = contract_lib.read_stored(record.document)
                    self.parsed[record.customer] = contract
                    self._add_customer(contract)
            case messages.KeyspaceItem():
                self.keyspaces[record.keyspace] = record
            case messages.InstanceItem():
                self.instances[record.instance] = record
            case messages.ZoneItem():
                self.zones[record.zone] = record
            case messages.DelegationItem():
                key = (record.keyspace, record.first_shard)
                self.delegations[key] = record
            case messages.ServiceHome():
                self.service_keyspaces[(record.customer, record.service)] = (
                    record
                )
            case _:
                raise ValueError(f"unknown record {type(record).__name__}")

    def _remove_parsed(self, customer: str) -> dict[str, str]:
        contract = self.parsed.pop(customer, None)
        keyspaces = {}
        for service in contract.services if contract else ():
            keyspaces[service.name] = service.format_keyspace()
            self.customers[keyspaces[service.name]].discard(customer)
            count_by_weights = self._service_counts_by_weights[
                keyspaces[service.name]
            ]
            count_by_weights[service.weights] -= 1
            if not count_by_weights[service.weights]:
                del count_by_weights[service.weights]
        return keyspaces

    def _add_customer(self, contract: contract_lib.Contract) -> None:
        for service in contract.services:
            keyspace = service.format_keyspace()
            self.customers.setdefault(keyspace, set()).add(contract.customer)
            count_by_weights = self._service_counts_by_weights.setdefault(
                keyspace, collections.Counter()
            )
            count_by_weights[service.weights] += 1

    def _put_service_keyspace(
        self, customer: str, service: str, keyspace: str, index: int
    ) -> None:
        service_keyspace = self.service_keyspaces.get(
            (customer, service)
        ) or messages.ServiceHome(customer=customer, service=service)
        self.service_keyspaces[(customer, service)] = (
            service_keyspace._replace(keyspace=keyspace, ended_revision=0)
            if keyspace
            else service_keyspace._replace(ended_revision=index)
        )

    def _ensure_keyspace(
        self, service: contract_lib.Service, index: int, shards: int
    ) -> None:
        keyspace = service.format_keyspace()
        if keyspace not in self.keyspaces:
            self.keyspaces[keyspace] = messages.KeyspaceItem(
                keyspace=keyspace,
                revision=index,
                service=service.name,
                zone_loss=service.zone_loss,
                zones=service.zones,
                shards=min(shards or DEFAULT_SHARDS, MAX_SHARDS),
            )

    def _update_weights(self, keyspace: str, index: int) -> None:
        """Sets the keyspace's weights to the mean of its services' weights."""
        current = self.keyspaces[keyspace]
        count_by_weights = self._service_counts_by_weights.get(keyspace)
        if not count_by_weights:
            return
        means = [
            math.fsum(
                weights[column] * count
                for weights, count in count_by_weights.items()
            )
            / count_by_weights.total()
            for column in range(len(contract_lib.Weights._fields))
        ]
        changed = current._replace(
            unavailability_weight=means[0],
            churn_weight=means[1],
            imbalance_weight=means[2],
        )
        if changed != current:
            self.keyspaces[keyspace] = changed._replace(revision=index)
