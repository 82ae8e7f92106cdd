"""Simulated ownership of shards and hot keys, with counters of its changes.

A hot key is placed on its own, apart from the shard that contains it.
"""

from collections.abc import Callable
from collections.abc import Collection
import math

import numpy as np

from bamboosill_dev.bench import deployments
from bamboosill_dev.bench import targets
from bamboosill_dev.bench import trace
from bamboosilld.placement import bounded

MAX_IMBALANCE = bounded.IMBALANCE_BOUND


class PlacementUnit:
    """A shard or a hot key, which is the unit of placement.

    Attributes:
        shard: Number of the shard.
        key: Name of the hot key, or empty for a shard.
        keys: Number of keys in it, without hot keys.
        owner: Target that owns it, or None.
        next: Target that it is being moved to, or None.
        down_since_s: Time since which it is not served, or None.
        held: Continuations of requests that wait for the move.
    """

    __slots__ = (
        "down_since_s",
        "held",
        "key",
        "keys",
        "next",
        "owner",
        "shard",
    )

    def __init__(
        self, shard: int, key: str, key_count: int, owner: targets.Target | None
    ) -> None:
        self.shard = shard
        self.key = key
        self.keys = key_count
        self.owner = owner
        self.next: targets.Target | None = None
        self.down_since_s: float | None = None
        self.held: list[Callable[[], None]] = []


class ServicePlacement:
    """Ownership of all shards and hot keys of one service.

    Attributes:
        keyspace: All keys of the service.
        shards: Units of the shards, by shard number.
        hot_keys: Units of the hot keys, by name.
        moved_keys: Number of changes of owner, counted by key.
        moves: Number of changes of owner, counted by shard and hot key.
        down_key_s: Unavailability in key-seconds.
        least_keys: Minimum number of keys that the events force to move.
        longest_down_s: Longest time that a unit was not served.
    """

    def __init__(self, service_keyspace: trace.Keyspace) -> None:
        self.keyspace = service_keyspace
        counts = np.bincount(
            service_keyspace.shards, minlength=deployments.SHARDS_PER_SERVICE
        )
        self.shards = [
            PlacementUnit(shard, "", int(count), None)
            for shard, count in enumerate(counts)
        ]
        self.hot_keys: dict[str, PlacementUnit] = {}
        self._row_by_name = {
            name: row for row, name in enumerate(service_keyspace.hot_key_names)
        }
        self._shard_by_row = service_keyspace.shards.tolist()
        self.reset_counters()

    def reset_counters(self) -> None:
        """Resets the counters when the measured part of a run begins."""
        self.moved_keys = 0
        self.moves = 0
        self.down_key_s = 0.0
        self.least_keys = 0
        self.longest_down_s = 0.0

    def find_unit(self, row: int) -> PlacementUnit:
        """Returns the unit that contains a key.

        Args:
            row: Index of the key in the lists of the trace's keyspace.
        """
        hot_unit = self.hot_keys.get(self.keyspace.hot_key_names[row])
        return (
            hot_unit
            if hot_unit is not None
            else self.shards[self._shard_by_row[row]]
        )

    def list_units(self) -> list[PlacementUnit]:
        """Returns the units of all shards and hot keys."""
        return self.shards + list(self.hot_keys.values())

    def set_hot_keys(self, names: Collection[str]) -> None:
        """Makes exactly the named keys hot.

        Keys whose unit is moving or not served keep their present state.
        """
        for name in [item for item in self.hot_keys if item not in names]:
            unit = self.hot_keys[name]
            if unit.next is None and unit.down_since_s is None:
                del self.hot_keys[name]
                shard = self.shards[unit.shard]
                shard.keys += 1
                if shard.owner is not unit.owner:
                    self.moved_keys += 1
                    self.moves += 1
        for name in names:
            if name not in self.hot_keys:
                shard = self.shards[self._shard_by_row[self._row_by_name[name]]]
                if shard.next is None and shard.down_since_s is None:
                    shard.keys -= 1
                    unit = PlacementUnit(shard.shard, name, 1, shard.owner)
                    self.hot_keys[name] = unit

    def mark_unserved(self, target: targets.Target, now_s: float) -> None:
        """Marks the units of a target as not served from now on."""
        for unit in self.list_units():
            lost = unit.owner is target and unit.next is None
            if (lost or unit.next is target) and unit.down_since_s is None:
                unit.down_since_s = now_s

    def begin_move(
        self, unit: PlacementUnit, target: targets.Target, now_s: float
    ) -> None:
        """Begins to move a unit, which is not served until the move ends."""
        if unit.owner is not None:
            self.moved_keys += unit.keys
            self.moves += 1
        unit.next = target
        if unit.down_since_s is None:
            unit.down_since_s = now_s

    def finish_move(self, unit: PlacementUnit, now_s: float) -> None:
        """Completes a move and counts the time without service."""
        unit.owner, unit.next = unit.next, None
        if unit.down_since_s is not None:
            down_s = now_s - unit.down_since_s
            self.down_key_s += unit.keys * down_s
            self.longest_down_s = max(self.longest_down_s, down_s)
            unit.down_since_s = None

    def compute_loads(
        self, rates: np.ndarray, live_targets: list[targets.Target]
    ) -> np.ndarray:
        """Returns the expected load per slot of each live target.

        The load is in requests per second.

        Args:
            rates: Requests per second of each key.
            live_targets: Targets to return the load of.
        """
        position_by_target: dict[targets.Target | None, int] = {
            target: position for position, target in enumerate(live_targets)
        }
        shard_rates = np.bincount(
            self.keyspace.shards,
            rates,
            minlength=deployments.SHARDS_PER_SERVICE,
        )
        loads = np.zeros(len(live_targets) + 1)
        for name, unit in self.hot_keys.items():
            rate = rates[self._row_by_name[name]]
            shard_rates[unit.shard] -= rate
            loads[
                position_by_target.get(
                    unit.next or unit.owner, len(live_targets)
                )
            ] += rate
        for unit, rate in zip(self.shards, shard_rates, strict=True):
            loads[
                position_by_target.get(
                    unit.next or unit.owner, len(live_targets)
                )
            ] += rate
        slots = np.array([item.announcement.slots for item in live_targets])
        return loads[:-1] / slots

    def count_unavoidable_moves(
        self,
        rates: np.ndarray,
        live_targets: list[targets.Target],
        leaving: Collection[targets.Target] = (),
    ) -> None:
        """Adds to `least_keys` the number of keys that an event forces to move.

        All keys of leaving targets must move. Each other target must lose
        keys, the hottest first, until its load is within the imbalance bound.

        Args:
            rates: Requests per second of each key.
            live_targets: Targets that remain in service.
            leaving: Targets that the event takes out of service.
        """
        owner_by_row = [
            unit.next or unit.owner
            for unit in map(self.find_unit, range(len(rates)))
        ]
        total_slots = sum(item.announcement.slots for item in live_targets)
        mean_rate_per_slot = rates.sum() / total_slots
        rates_by_owner: dict[targets.Target | None, list[float]] = {}
        for owner, rate in zip(owner_by_row, rates.tolist(), strict=True):
            rates_by_owner.setdefault(owner, []).append(rate)
        for owner, owner_rates in rates_by_owner.items():
            if owner is None or owner in leaving:
                self.least_keys += len(owner_rates)
                continue
            excess_rate = (
                math.fsum(owner_rates)
                - MAX_IMBALANCE * mean_rate_per_slot * owner.announcement.slots
            )
            for key_rate in sorted(owner_rates, reverse=True):
                if excess_rate <= 0:
                    break
                excess_rate -= key_rate
                self.least_keys += 1
