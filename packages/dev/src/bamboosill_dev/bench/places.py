"""Who owns which shard and hot key in the bench, and what is measured of it."""

from collections.abc import Callable
from collections.abc import Collection
import math

import numpy as np

from bamboosill_dev.bench import deployments
from bamboosill_dev.bench import targets
from bamboosill_dev.bench import trace
from bamboosilld.placement import bounded

BOUND = bounded.IMBALANCE_BOUND


class Place:
    """A shard or hot key.

    Attributes:
        shard: Number of the shard.
        key: Name of the hot key, or empty.
        keys: Number of keys in it.
        owner: Target that owns it, or None.
        next: Target of the present move, or None.
        down_since_s: Since when it is not served, or None.
        held: Requests that wait for the move.
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
        self, shard: int, key: str, keys: int, owner: targets.Target | None
    ) -> None:
        self.shard = shard
        self.key = key
        self.keys = keys
        self.owner = owner
        self.next: targets.Target | None = None
        self.down_since_s: float | None = None
        self.held: list[Callable[[], None]] = []


class Places:
    """All shards and hot keys of one service.

    Attributes:
        moved_keys: Keys whose owner changed since measuring began.
        moves: Shards and hot keys whose owner changed.
        down_key_s: Key-seconds without service.
        least_keys: Keys that the events force to move.
        longest_down_s: Longest time that a place was not served.
    """

    def __init__(self, keys: trace.Keys) -> None:
        self.all_keys = keys
        counts = np.bincount(keys.shards, minlength=deployments.SHARDS)
        self.shards = [
            Place(shard, "", int(count), None)
            for shard, count in enumerate(counts)
        ]
        self.hot: dict[str, Place] = {}
        self._rows = {name: row for row, name in enumerate(keys.names)}
        self._shard_of = keys.shards.tolist()
        self.reset()

    def reset(self) -> None:
        """Begins measuring."""
        self.moved_keys = 0
        self.moves = 0
        self.down_key_s = 0.0
        self.least_keys = 0
        self.longest_down_s = 0.0

    def find(self, row: int) -> Place:
        """Returns the place of a key."""
        hot = self.hot.get(self.all_keys.names[row])
        return hot if hot is not None else self.shards[self._shard_of[row]]

    def list_all(self) -> list[Place]:
        """Returns shards and hot keys."""
        return self.shards + list(self.hot.values())

    def set_hot(self, names: Collection[str]) -> None:
        """Makes exactly these keys hot, but for those that are moving."""
        for name in [item for item in self.hot if item not in names]:
            place = self.hot[name]
            if place.next is None and place.down_since_s is None:
                del self.hot[name]
                shard = self.shards[place.shard]
                shard.keys += 1
                if shard.owner is not place.owner:
                    self.moved_keys += 1
                    self.moves += 1
        for name in names:
            if name not in self.hot:
                shard = self.shards[self._shard_of[self._rows[name]]]
                if shard.next is None and shard.down_since_s is None:
                    shard.keys -= 1
                    place = Place(shard.shard, name, 1, shard.owner)
                    self.hot[name] = place

    def lose(self, target: targets.Target, now_s: float) -> None:
        """Notes that a target serves nothing any more."""
        for place in self.list_all():
            lost = place.owner is target and place.next is None
            if (lost or place.next is target) and place.down_since_s is None:
                place.down_since_s = now_s

    def begin(self, place: Place, target: targets.Target, now_s: float) -> None:
        """Begins a move."""
        if place.owner is not None:
            self.moved_keys += place.keys
            self.moves += 1
        place.next = target
        if place.down_since_s is None:
            place.down_since_s = now_s

    def finish(self, place: Place, now_s: float) -> None:
        """Ends a move and the time without service."""
        place.owner, place.next = place.next, None
        if place.down_since_s is not None:
            down_s = now_s - place.down_since_s
            self.down_key_s += place.keys * down_s
            self.longest_down_s = max(self.longest_down_s, down_s)
            place.down_since_s = None

    def compute_loads(
        self, rates: np.ndarray, live: list[targets.Target]
    ) -> np.ndarray:
        """Returns expected requests per second and slot of live targets."""
        index: dict[targets.Target | None, int] = {
            target: place for place, target in enumerate(live)
        }
        by_shard = np.bincount(
            self.all_keys.shards, rates, minlength=deployments.SHARDS
        )
        loads = np.zeros(len(live) + 1)
        for name, place in self.hot.items():
            rate = rates[self._rows[name]]
            by_shard[place.shard] -= rate
            loads[index.get(place.next or place.owner, len(live))] += rate
        for place, rate in zip(self.shards, by_shard, strict=True):
            loads[index.get(place.next or place.owner, len(live))] += rate
        slots = np.array([item.announcement.slots for item in live])
        return loads[:-1] / slots

    def add_least(
        self,
        rates: np.ndarray,
        live: list[targets.Target],
        leaving: Collection[targets.Target] = (),
    ) -> None:
        """Adds the fewest keys that an event forces to move.

        These are all keys of leaving targets, and of every other target the
        fewest whose removal brings it to the bound, the hottest first.
        """
        owners = [
            place.next or place.owner
            for place in map(self.find, range(len(rates)))
        ]
        slots = sum(item.announcement.slots for item in live)
        mean = rates.sum() / slots
        by_owner: dict[targets.Target | None, list[float]] = {}
        for owner, rate in zip(owners, rates.tolist(), strict=True):
            by_owner.setdefault(owner, []).append(rate)
        for owner, values in by_owner.items():
            if owner is None or owner in leaving:
                self.least_keys += len(values)
                continue
            excess = math.fsum(values) - BOUND * mean * owner.announcement.slots
            for value in sorted(values, reverse=True):
                if excess <= 0:
                    break
                excess -= value
                self.least_keys += 1
