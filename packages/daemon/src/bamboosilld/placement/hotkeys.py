"""Finds the hottest keys with bounded memory.

Each entry instance keeps a space-saving sketch (Metwally, Agrawal and El
Abbadi, "Efficient computation of frequent and top-k elements in data
streams", ICDT 2005) whose counts decay; the zone leader adds the reports and
chooses the keys that get their own assignment.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import heapq
import math

from bamboosill_common.generated import zone

COUNTERS = 512
# Most hot keys of a zone, from section 2.2 of the design.
HOT_KEYS = 128
# Counts halve in this time, so that the hottest keys are followed as they
# change within minutes.
HALF_LIFE_S = 15.0
# Keys that one instance reports; twice the keys chosen, since the hottest
# keys of the zone need not be the hottest of each instance.
_REPORTED = 2 * HOT_KEYS
# A key enters above this rank and leaves below the other.
_ENTER_RANK = 96
_LEAVE_RANK = HOT_KEYS
# A key enters at this multiple of the mean shard load, and leaves below half
# of that, after the shortest stay.
_ENTER_PART = 1.0
_LEAVE_PART = 0.5
_SHORTEST_STAY_S = 30.0
# Age that a counter is taken to have at least, so that one request for a key
# does not make it look hot.
_LEAST_AGE_S = 10.0

KeyId = tuple[str, int, str]


class Sketch:
    """The heaviest keys of one entry instance."""

    def __init__(self, capacity: int = COUNTERS) -> None:
        self._capacity = capacity
        self._counts: dict[KeyId, float] = {}
        # What each counter took over from the key it replaced; a key's true
        # count lies between its counter less this and its counter.
        self._errors: dict[KeyId, float] = {}
        # When each counter began to count its key.
        self._began_s: dict[KeyId, float] = {}
        # Lazy heap: an entry is stale when its count is not the present one.
        self._heap: list[tuple[float, KeyId]] = []
        self._decayed_s: float | None = None

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, key: KeyId, count: float = 1.0) -> None:
        """Counts requests for a key."""
        counts = self._counts
        if key in counts:
            counts[key] += count
            return
        if len(counts) >= self._capacity:
            smallest = self._evict()
            self._errors[key] = smallest
            count += smallest
        counts[key] = count
        self._began_s[key] = self._decayed_s or 0.0
        heapq.heappush(self._heap, (count, key))

    def _evict(self) -> float:
        """Removes the smallest counter and returns its count."""
        while True:
            count, key = self._heap[0]
            present = self._counts[key]
            if present == count:
                heapq.heappop(self._heap)
                del self._counts[key]
                self._errors.pop(key, None)
                del self._began_s[key]
                return count
            heapq.heapreplace(self._heap, (present, key))

    def decay(self, now_s: float) -> None:
        """Ages all counts to the given time."""
        if self._decayed_s is None:
            self._decayed_s = now_s
        factor = 0.5 ** ((now_s - self._decayed_s) / HALF_LIFE_S)
        self._decayed_s = now_s
        self._counts = {
            key: count * factor
            for key, count in self._counts.items()
            if count * factor > 1e-3
        }
        self._errors = {
            key: error * factor
            for key, error in self._errors.items()
            if key in self._counts
        }
        self._began_s = {key: self._began_s[key] for key in self._counts}
        self._heap = [(count, key) for key, count in self._counts.items()]
        heapq.heapify(self._heap)

    def report(self, now_s: float) -> tuple[zone.ShardLoad, ...]:
        """Returns the rates of the hottest keys, the hottest first.

        The rates are those that certainly belong to the keys: with many cold
        keys a counter consists mostly of what it took over.
        """
        self.decay(now_s)
        errors = self._errors
        rates = [
            (
                (count - errors.get(key, 0.0))
                * _compute_per_s(now_s - self._began_s[key]),
                key,
            )
            for key, count in self._counts.items()
        ]
        return tuple(
            zone.ShardLoad(key[0], key[1], rate, key[2])
            for rate, key in heapq.nlargest(_REPORTED, rates)
        )


def _compute_per_s(age_s: float) -> float:
    """Returns the rate that a decayed count of one stands for.

    A young counter has not yet seen the requests that an old one has.
    """
    age_s = max(age_s, _LEAST_AGE_S)
    return math.log(2) / HALF_LIFE_S / (1.0 - 0.5 ** (age_s / HALF_LIFE_S))


def merge_reports(
    reports: Iterable[Iterable[zone.ShardLoad]],
) -> dict[KeyId, float]:
    """Returns the rate of each reported key over all instances."""
    rates: dict[KeyId, float] = {}
    for report in reports:
        for item in report:
            if item.key:
                key = (item.keyspace, item.shard, item.key)
                rates[key] = rates.get(key, 0.0) + item.rate_per_s
    return rates


class Chooser:
    """Chooses the hot keys on the leader, with hysteresis."""

    def __init__(self, limit: int = HOT_KEYS) -> None:
        self._limit = limit
        self._entered_s: dict[KeyId, float] = {}

    def choose(
        self,
        now_s: float,
        rates: Mapping[KeyId, float],
        mean_shard_per_s: float,
    ) -> dict[KeyId, float]:
        """Returns the hot keys and their rates.

        Args:
            now_s: Monotonic time of the leader.
            rates: Rate of each key over all instances.
            mean_shard_per_s: Mean rate of the shards.
        """
        ranked = sorted(rates, key=lambda key: (-rates[key], key))
        rank = {key: place for place, key in enumerate(ranked)}
        for key, entered_s in list(self._entered_s.items()):
            cold = (
                rank.get(key, self._limit) >= _LEAVE_RANK
                or rates[key] < _LEAVE_PART * mean_shard_per_s
            )
            if cold and now_s - entered_s >= _SHORTEST_STAY_S:
                del self._entered_s[key]
        for key in ranked[:_ENTER_RANK]:
            if rates[key] < _ENTER_PART * mean_shard_per_s:
                break
            if key not in self._entered_s:
                self._make_room(rates)
                self._entered_s[key] = now_s
        return {key: rates.get(key, 0.0) for key in self._entered_s}

    def _make_room(self, rates: Mapping[KeyId, float]) -> None:
        if len(self._entered_s) >= self._limit:
            coldest = min(
                self._entered_s, key=lambda key: (rates.get(key, 0.0), key)
            )
            del self._entered_s[coldest]
