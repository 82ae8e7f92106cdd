"""Measures load, and decides how far reports of upstreams are believed."""

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import NamedTuple

from bamboosill_common.generated import zone
from bamboosilld.placement import hotkeys

# Reports older than three heartbeats are not used.
STALE_AFTER_S = 1.5
# A report counts for at most this multiple of the instances' own view.
LARGEST_RATIO = 2.0
# Requests in flight are averaged over about this time.
HALF_LIFE_S = 10.0
# Rates of shards are averaged for long, since the randomness of arrivals
# looks like imbalance; a change is taken over from the short average.
SLOW_HALF_LIFE_S = 30.0
FAST_HALF_LIFE_S = 5.0
# Standard deviations of Poisson arrivals that count as a change.
_CHANGE_DEVIATIONS = 3.5
_LEAST_RATE = 0.1
# Requests in flight that a report may differ by and still agree.
_TOLERANCE = 2.0
_TOLERANCE_RATIO = 1.5
# A report that has disagreed for this long, while callers see no slower
# answers, is no longer believed at all.
_DISTRUST_AFTER_S = 10.0
_TRUST_AFTER_S = 30.0
# Answers this much slower than the mean of all targets confirm a report.
_SLOW_RATIO = 1.5

AGREES = "agrees"
BOUNDED = "bounded"
STALE = "stale"
DISTRUSTED = "distrusted"
NONE = "none"


class Report(NamedTuple):
    """The last report of an upstream.

    Attributes:
        in_flight: Requests it says it runs.
        queue: Requests it says are waiting.
        received_s: Leader's monotonic time when it arrived.
    """

    in_flight: int
    queue: int
    received_s: float


class Effective(NamedTuple):
    """The load that placement uses for a target.

    Attributes:
        load: Requests per second, scaled by the believed report.
        own_in_flight: Requests in flight seen by all entry instances.
        reported: Requests that the upstream says it has, or -1 without one.
        trust: `agrees`, `bounded`, `stale`, `distrusted` or `none`.
    """

    load: float
    own_in_flight: float
    reported: float
    trust: str

    def explain(self) -> str:
        """Returns one sentence for operators."""
        return (
            f"report {self.trust}: instances see {self.own_in_flight:.1f} in"
            f" flight, the upstream reports {self.reported:.1f}"
        )


class _Average:
    """An exponentially weighted mean over time."""

    def __init__(self) -> None:
        self.value = 0.0
        self._at_s: float | None = None

    def add(self, value: float, now_s: float) -> float:
        """Adds a sample and returns the mean."""
        if self._at_s is None:
            self.value = value
        else:
            keep = 0.5 ** ((now_s - self._at_s) / HALF_LIFE_S)
            self.value = keep * self.value + (1 - keep) * value
        self._at_s = now_s
        return self.value


class Meter:
    """Counts requests per shard and hot key at one entry instance."""

    def __init__(self) -> None:
        self._sketch = hotkeys.Sketch()
        self._shards: dict[tuple[str, int], float] = {}
        self._reported_s: float | None = None

    def record(self, keyspace: str, shard: int, key: str) -> None:
        """Counts one request for a key, hot or not.

        Args:
            keyspace: Keyspace of the key.
            shard: Shard of the key.
            key: Name of the key as `sharding.format_hot_key` gives it.
        """
        place = (keyspace, shard)
        self._shards[place] = self._shards.get(place, 0.0) + 1.0
        self._sketch.add((keyspace, shard, key))

    def report(self, now_s: float) -> tuple[zone.ShardLoad, ...]:
        """Returns rates by shard since the last report, and of hot keys."""
        since_s = self._reported_s
        self._reported_s = now_s
        elapsed_s = max(now_s - since_s, 1e-3) if since_s is not None else 1.0
        shards = tuple(
            zone.ShardLoad(keyspace, shard, count / elapsed_s)
            for (keyspace, shard), count in self._shards.items()
        )
        self._shards.clear()
        return shards + self._sketch.report(now_s)


class _Rate:
    """A rate averaged for long, but for a short time after it changed."""

    __slots__ = ("age_s", "fast", "slow")

    def __init__(self) -> None:
        self.age_s = 0.0
        self.fast = 0.0
        self.slow = 0.0

    def add(self, rate: float, elapsed_s: float) -> None:
        """Adds the rate measured over the given time."""
        self.age_s += elapsed_s
        # A young average is the plain mean, which converges faster.
        least = elapsed_s / self.age_s
        fast = max(least, 1.0 - 0.5 ** (elapsed_s / FAST_HALF_LIFE_S))
        slow = max(least, 1.0 - 0.5 ** (elapsed_s / SLOW_HALF_LIFE_S))
        self.fast += fast * (rate - self.fast)
        self.slow += slow * (rate - self.slow)
        deviation = math.sqrt(
            (self.slow + _LEAST_RATE) * math.log(2) / (2 * FAST_HALF_LIFE_S)
        )
        if abs(self.fast - self.slow) > _CHANGE_DEVIATIONS * deviation:
            self.slow = self.fast
            self.age_s = FAST_HALF_LIFE_S


class ShardRates:
    """Smoothed rates of shards on the leader."""

    def __init__(self) -> None:
        self._rates: dict[tuple[str, int], _Rate] = {}
        self._updated_s: float | None = None

    def update(
        self, now_s: float, reports: Iterable[Iterable[zone.ShardLoad]]
    ) -> None:
        """Adds the reports of all instances since the last update."""
        sums: dict[tuple[str, int], float] = {}
        for report in reports:
            for item in report:
                if not item.key:
                    place = (item.keyspace, item.shard)
                    sums[place] = sums.get(place, 0.0) + item.rate_per_s
        since_s = self._updated_s
        self._updated_s = now_s
        elapsed_s = 1.0 if since_s is None else max(1e-3, now_s - since_s)
        for place in sums:
            self._rates.setdefault(place, _Rate())
        for place, rate in self._rates.items():
            rate.add(sums.get(place, 0.0), elapsed_s)

    def compute_rates(
        self, hot: Mapping[hotkeys.KeyId, float]
    ) -> dict[tuple[str, int], float]:
        """Returns requests per second by shard, without those of hot keys."""
        rates = {place: rate.slow for place, rate in self._rates.items()}
        for (keyspace, shard, _), rate in hot.items():
            place = (keyspace, shard)
            rates[place] = max(0.0, rates.get(place, 0.0) - rate)
        return rates

    def compute_mean(self) -> float:
        """Returns the mean rate of the shards seen so far."""
        total = math.fsum(rate.slow for rate in self._rates.values())
        return total / max(1, len(self._rates))


class _Target:
    """What the leader remembers of one target."""

    def __init__(self) -> None:
        self.in_flight = _Average()
        self.reported = _Average()
        self.disagrees_since_s: float | None = None
        self.agrees_since_s: float | None = None
        self.distrusted = False


class Loads:
    """Effective load of each target of one service."""

    def __init__(self) -> None:
        self._targets: dict[str, _Target] = {}

    def update(
        self,
        now_s: float,
        views: Mapping[str, zone.UpstreamView],
        rates: Mapping[str, float],
        reports: Mapping[str, Report],
    ) -> dict[str, Effective]:
        """Returns the effective load of each target.

        Args:
            now_s: Monotonic time of the leader.
            views: Sums of what the instances observed, by upstream.
            rates: Sum of the rates of the shards that each upstream owns now.
                A rate measured at the upstream would lag behind its moves.
            reports: Last report of each upstream.
        """
        self._targets = {
            name: self._targets.get(name, _Target()) for name in views
        }
        latencies = [
            item.latency_ms for item in views.values() if item.completions
        ]
        mean_ms = math.fsum(latencies) / max(1, len(latencies))
        return {
            name: self._estimate(
                self._targets[name],
                now_s,
                view,
                rates.get(name, 0.0),
                reports.get(name),
                view.latency_ms > _SLOW_RATIO * mean_ms > 0,
            )
            for name, view in views.items()
        }

    @staticmethod
    def _estimate(
        target: _Target,
        now_s: float,
        view: zone.UpstreamView,
        rate: float,
        report: Report | None,
        slow: bool,
    ) -> Effective:
        own = target.in_flight.add(view.in_flight, now_s)
        if report is None:
            return Effective(rate, own, -1.0, NONE)
        said = float(report.in_flight + report.queue)
        if now_s - report.received_s > STALE_AFTER_S:
            return Effective(rate, own, said, STALE)
        reported = target.reported.add(said, now_s)
        agrees = (
            abs(reported - own) <= _TOLERANCE
            or own / _TOLERANCE_RATIO <= reported <= own * _TOLERANCE_RATIO
        )
        _note_agreement(target, now_s, agrees or (slow and reported > own))
        if target.distrusted:
            return Effective(rate, own, reported, DISTRUSTED)
        if own <= 0 or agrees:
            return Effective(rate, own, reported, AGREES)
        believed = max(own, min(reported, LARGEST_RATIO * own))
        return Effective(rate * believed / own, own, reported, BOUNDED)


def _note_agreement(target: _Target, now_s: float, agrees: bool) -> None:
    """Withdraws trust after lasting disagreement and restores it later."""
    if agrees:
        target.disagrees_since_s = None
        if target.agrees_since_s is None:
            target.agrees_since_s = now_s
        if now_s - target.agrees_since_s >= _TRUST_AFTER_S:
            target.distrusted = False
        return
    target.agrees_since_s = None
    if target.disagrees_since_s is None:
        target.disagrees_since_s = now_s
    if now_s - target.disagrees_since_s >= _DISTRUST_AFTER_S:
        target.distrusted = True
