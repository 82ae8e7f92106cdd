"""Finds the keys with the most requests in bounded memory.

Each entry instance counts keys in a Space-Saving sketch whose counts decay
exponentially (Metwally, Agrawal and El Abbadi, "Efficient computation of
frequent and top-k elements in data streams", ICDT 2005). The zone leader sums
the reports of the instances and chooses the hot keys, which are assigned to
upstreams separately from their shards.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import heapq
import math

from bamboosill_common.generated import zone

COUNTERS = 512
# Maximum number of hot keys of a zone (design, section 2.2).
HOT_KEYS = 128
# Counts halve in this time, so that the choice follows changes of the hottest
# keys within minutes.
HALF_LIFE_S = 15.0
# Keys that one instance reports: twice the keys chosen, because the hottest
# keys of the zone need not be the hottest of each instance.
_REPORTED_KEYS = 2 * HOT_KEYS
# A key becomes hot above the first rank and stops being hot below the second.
_ENTER_RANK = 96
_LEAVE_RANK = HOT_KEYS
# A key becomes hot at the first multiple of the mean shard load. It stops being
# hot below the second, but not before the minimum stay.
_ENTER_LOAD_RATIO = 1.0
_LEAVE_LOAD_RATIO = 0.5
_MIN_STAY_S = 30.0
# Minimum age assumed for a counter, so that a single request does not make a
# new key look hot.
_MIN_AGE_S = 10.0

KeyId = tuple[str, int, str]


class Sketch:
    """Space-Saving sketch of the most requested keys of an instance."""

    def __init__(self, capacity: int = COUNTERS) -> None:
        self._capacity = capacity
        self._counts: dict[KeyId, float] = {}
        # Count that each counter inherited from the key it replaced. The
        # true count is at most the counter, and at least the counter minus
        # this error.
        self._errors: dict[KeyId, float] = {}
        # When each counter started to count its key.
        self._started_s: dict[KeyId, float] = {}
        # Lazy heap: an entry is stale if its count is not the current one.
        self._heap: list[tuple[float, KeyId]] = []
        # When the counts were last decayed.
        self._last_decay_s: float | None = None

    def __len__(self) -> int:
        return len(self._counts)

    def add(self, key: KeyId, count: float = 1.0) -> None:
        """Counts requests for a key."""
        counts = self._counts
        if key in counts:
            counts[key] += count
            return
        if len(counts) >= self._capacity:
            evicted_count = self._evict()
            self._errors[key] = evicted_count
            count += evicted_count
        counts[key] = count
        self._started_s[key] = self._last_decay_s or 0.0
        heapq.heappush(self._heap, (count, key))

    def _evict(self) -> float:
        """Removes the smallest counter and returns its count."""
        while True:
            count, key = self._heap[0]
            current = self._counts[key]
            if current == count:
                heapq.heappop(self._heap)
                del self._counts[key]
                self._errors.pop(key, None)
                del self._started_s[key]
                return count
            heapq.heapreplace(self._heap, (current, key))

    def decay(self, now_s: float) -> None:
        """Decays all counts to the given time."""
        if self._last_decay_s is None:
            self._last_decay_s = now_s
        factor = 0.5 ** ((now_s - self._last_decay_s) / HALF_LIFE_S)
        self._last_decay_s = now_s
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
        self._started_s = {key: self._started_s[key] for key in self._counts}
        self._heap = [(count, key) for key, count in self._counts.items()]
        heapq.heapify(self._heap)

    def report(self, now_s: float) -> tuple[zone.ShardLoad, ...]:
        """Returns the rates of the hottest keys, the hottest first.

        The rates are lower bounds that leave out the inherited counts: with
        many cold keys a counter consists mostly of those.
        """
        self.decay(now_s)
        errors = self._errors
        rates = [
            (
                (count - errors.get(key, 0.0))
                * _compute_rate_per_count(now_s - self._started_s[key]),
                key,
            )
            for key, count in self._counts.items()
        ]
        return tuple(
            zone.ShardLoad(key[0], key[1], rate, key[2])
            for rate, key in heapq.nlargest(_REPORTED_KEYS, rates)
        )


def _compute_rate_per_count(age_s: float) -> float:
    """Returns the requests per second that a decayed count of 1 represents.

    The factor depends on the age, because a new counter has not yet reached
    the steady state of an old one.
    """
    age_s = max(age_s, _MIN_AGE_S)
    return math.log(2) / HALF_LIFE_S / (1.0 - 0.5 ** (age_s / HALF_LIFE_S))


def merge_reports(
    reports: Iterable[Iterable[zone.ShardLoad]],
) -> dict[KeyId, float]:
    """Returns the rate of each reported key, summed over all instances."""
    rates: dict[KeyId, float] = {}
    for report in reports:
        for item in report:
            if item.key:
                key = (item.keyspace, item.shard, item.key)
                rates[key] = rates.get(key, 0.0) + item.rate_per_s
    return rates


class HotKeySelector:
    """Chooses the hot keys of a zone on its leader, with hysteresis."""

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
        ranks = {key: position for position, key in enumerate(ranked)}
        for key, entered_s in list(self._entered_s.items()):
            cold = (
                ranks.get(key, self._limit) >= _LEAVE_RANK
                or rates[key] < _LEAVE_LOAD_RATIO * mean_shard_per_s
            )
            if cold and now_s - entered_s >= _MIN_STAY_S:
                del self._entered_s[key]
        for key in ranked[:_ENTER_RANK]:
            if rates[key] < _ENTER_LOAD_RATIO * mean_shard_per_s:
                break
            if key not in self._entered_s:
                self._evict_coldest(rates)
                self._entered_s[key] = now_s
        return {key: rates.get(key, 0.0) for key in self._entered_s}

    def _evict_coldest(self, rates: Mapping[KeyId, float]) -> None:
        if len(self._entered_s) >= self._limit:
            coldest = min(
                self._entered_s, key=lambda key: (rates.get(key, 0.0), key)
            )
            del self._entered_s[coldest]
