"""The replicated data of the control group."""

import collections
import math
from typing import Any

from bamboosill_common import contract as contract_lib
from bamboosill_common.generated import control as messages

BLOCK_SHARDS = 64
DEFAULT_SHARDS = 512
MAX_SHARDS = 65_536
# Tombstones of removed instances kept for deltas of the feed.
MAX_REMOVED_INSTANCES = 1_000


class Tables:
    """Contracts, keyspaces, instances, zones and delegations.

    Attributes:
        revision: Index of the last change.
        floor_revision: A delta can be made only after this revision.
        homes: Keyspace of each service that a customer has or had.
    """

    def __init__(self) -> None:
        self.revision = 0
        self.floor_revision = 0
        self.contracts: dict[str, messages.ContractItem] = {}
        self.keyspaces: dict[str, messages.KeyspaceItem] = {}
        self.instances: dict[str, messages.InstanceItem] = {}
        self.zones: dict[str, messages.ZoneItem] = {}
        self.delegations: dict[tuple[str, int], messages.DelegationItem] = {}
        self.homes: dict[tuple[str, str], messages.ServiceHome] = {}
        # Derived from the contracts in force.
        self.parsed: dict[str, contract_lib.Contract] = {}
        self.customers: dict[str, set[str]] = {}
        # How many services of each keyspace have the same weights. Keeps an
        # accepted contract from visiting all others.
        self._weights: dict[str, collections.Counter[contract_lib.Weights]] = {}

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
        """Stores a contract, or its retirement if `contract` is None."""
        self.contracts[item.customer] = item
        before = self._drop_parsed(item.customer)
        after = {}
        for service in contract.services if contract else ():
            after[service.name] = service.format_keyspace()
        for name in before.keys() | after.keys():
            self._put_home(item.customer, name, after.get(name, ""), index)
        if contract:
            self.parsed[item.customer] = contract
            self._add_customer(contract)
            for service in contract.services:
                self._ensure_keyspace(service, index, shards)
        for keyspace in sorted({*before.values(), *after.values()}):
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
        """Stores one record of a snapshot as it is."""
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
                self.homes[(record.customer, record.service)] = record
            case _:
                raise ValueError(f"unknown record {type(record).__name__}")

    def _drop_parsed(self, customer: str) -> dict[str, str]:
        contract = self.parsed.pop(customer, None)
        keyspaces = {}
        for service in contract.services if contract else ():
            keyspaces[service.name] = service.format_keyspace()
            self.customers[keyspaces[service.name]].discard(customer)
            counts = self._weights[keyspaces[service.name]]
            counts[service.weights] -= 1
            if not counts[service.weights]:
                del counts[service.weights]
        return keyspaces

    def _add_customer(self, contract: contract_lib.Contract) -> None:
        for service in contract.services:
            keyspace = service.format_keyspace()
            self.customers.setdefault(keyspace, set()).add(contract.customer)
            counts = self._weights.setdefault(keyspace, collections.Counter())
            counts[service.weights] += 1

    def _put_home(
        self, customer: str, service: str, keyspace: str, index: int
    ) -> None:
        home = self.homes.get((customer, service)) or messages.ServiceHome(
            customer=customer, service=service
        )
        self.homes[(customer, service)] = (
            home._replace(keyspace=keyspace, ended_revision=0)
            if keyspace
            else home._replace(ended_revision=index)
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
        """Sets the weights to the mean over the contracts in force."""
        known = self.keyspaces[keyspace]
        counts = self._weights.get(keyspace)
        if not counts:
            return
        means = [
            math.fsum(
                weights[column] * count for weights, count in counts.items()
            )
            / counts.total()
            for column in range(len(contract_lib.Weights._fields))
        ]
        changed = known._replace(
            unavailability_weight=means[0],
            churn_weight=means[1],
            imbalance_weight=means[2],
        )
        if changed != known:
            self.keyspaces[keyspace] = changed._replace(revision=index)
