"""Measures load and limits the influence of the upstreams' own reports.

Entry instances count requests per shard. The leader smooths these rates and
adjusts them by what upstreams report, but only as far as the reports agree with
what the instances observe: a report may be late, frozen or wrong.
"""

from collections.abc import Iterable
from collections.abc import Mapping
import math
from typing import NamedTuple

from bamboosill_common.generated import zone
from bamboosilld.placement import hotkeys

# Reports older than three heartbeats are ignored.
STALE_AFTER_S = 1.5
# A report raises the load to at most this multiple of what instances observe.
MAX_BELIEVED_RATIO = 2.0
# Half-life of the average of requests in flight.
HALF_LIFE_S = 10.0
# Half-lives of the two averages of a shard's rate. The slow one is used because
# random arrivals look like imbalance in the fast one. After a change of rate it
# is reset to the fast one.
SLOW_HALF_LIFE_S = 30.0
FAST_HALF_LIFE_S = 5.0
# Deviation of the two averages that counts as a change of rate, in standard
# deviations of Poisson arrivals.
_CHANGE_THRESHOLD_DEVIATIONS = 3.5
_MIN_RATE = 0.1
# A report agrees if it differs from the observed requests in flight by at most
# this number or at most by this ratio.
_AGREEMENT_TOLERANCE = 2.0
_AGREEMENT_RATIO = 1.5
# Reports that have disagreed for this long are ignored until they have agreed
# for the time below.
_DISTRUST_AFTER_S = 10.0
_TRUST_AFTER_S = 30.0
# A report above the observed requests in flight counts as agreeing if the
# target answers slower than the mean of all targets by this ratio.
_SLOW_ANSWER_RATIO = 1.5

AGREES = "agrees"
BOUNDED = "bounded"
STALE = "stale"
DISTRUSTED = "distrusted"
NONE = "none"


class Report(NamedTuple):
    """The last report of an upstream.

    Attributes:
        in_flight: Requests that it reports as running.
        queue: Requests that it reports as waiting.
        received_s: Monotonic time of the leader when the report arrived.
    """

    in_flight: int
    queue: int
    received_s: float


class Effective(NamedTuple):
    """The load that placement uses for a target.

    Attributes:
        load: Requests per second, scaled as far as the report is believed.
        own_in_flight: Requests in flight counted by all entry instances.
        reported: Requests that the upstream reports, or -1 without a report.
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
        shard_id = (keyspace, shard)
        self._shards[shard_id] = self._shards.get(shard_id, 0.0) + 1.0
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


class _AdaptiveRate:
    """A slow moving average of a rate that follows sudden changes."""

    __slots__ = ("age_s", "fast", "slow")

    def __init__(self) -> None:
        self.age_s = 0.0
        self.fast = 0.0
        self.slow = 0.0

    def add(self, rate: float, elapsed_s: float) -> None:
        """Adds the rate measured over the given time."""
        self.age_s += elapsed_s
        # A new average starts as the plain mean, which converges faster.
        min_weight = elapsed_s / self.age_s
        fast_weight = max(
            min_weight, 1.0 - 0.5 ** (elapsed_s / FAST_HALF_LIFE_S)
        )
        slow_weight = max(
            min_weight, 1.0 - 0.5 ** (elapsed_s / SLOW_HALF_LIFE_S)
        )
        self.fast += fast_weight * (rate - self.fast)
        self.slow += slow_weight * (rate - self.slow)
        deviation = math.sqrt(
            (self.slow + _MIN_RATE) * math.log(2) / (2 * FAST_HALF_LIFE_S)
        )
        if (
            abs(self.fast - self.slow)
            > _CHANGE_THRESHOLD_DEVIATIONS * deviation
        ):
            self.slow = self.fast
            self.age_s = FAST_HALF_LIFE_S


class ShardRates:
    """Smoothed rates of shards on the leader."""

    def __init__(self) -> None:
        self._rates: dict[tuple[str, int], _AdaptiveRate] = {}
        self._updated_s: float | None = None

    def update(
        self, now_s: float, reports: Iterable[Iterable[zone.ShardLoad]]
    ) -> None:
        """Adds the reports of all instances since the last update."""
        rates_by_shard: dict[tuple[str, int], float] = {}
        for report in reports:
            for item in report:
                if not item.key:
                    shard_id = (item.keyspace, item.shard)
                    rates_by_shard[shard_id] = (
                        rates_by_shard.get(shard_id, 0.0) + item.rate_per_s
                    )
        since_s = self._updated_s
        self._updated_s = now_s
        elapsed_s = 1.0 if since_s is None else max(1e-3, now_s - since_s)
        for shard_id in rates_by_shard:
            self._rates.setdefault(shard_id, _AdaptiveRate())
        for shard_id, rate in self._rates.items():
            rate.add(rates_by_shard.get(shard_id, 0.0), elapsed_s)

    def compute_rates(
        self, hot: Mapping[hotkeys.KeyId, float]
    ) -> dict[tuple[str, int], float]:
        """Returns requests per second by shard, without those of hot keys."""
        rates = {shard_id: rate.slow for shard_id, rate in self._rates.items()}
        for (keyspace, shard, _), rate in hot.items():
            shard_id = (keyspace, shard)
            rates[shard_id] = max(0.0, rates.get(shard_id, 0.0) - rate)
        return rates

    def compute_mean(self) -> float:
        """Returns the mean rate of the shards seen so far."""
        total = math.fsum(rate.slow for rate in self._rates.values())
        return total / max(1, len(self._rates))


class _TargetState:
    """State that the leader keeps of one target."""

    def __init__(self) -> None:
        self.in_flight = _Average()
        self.reported = _Average()
        self.disagrees_since_s: float | None = None
        self.agrees_since_s: float | None = None
        self.distrusted = False


class Loads:
    """Load of each target of one service, as placement uses it.

    It is the request rate of the target, raised as far as the target reports
    more requests in flight than observed and is believed.
    """

    def __init__(self) -> None:
        self._targets: dict[str, _TargetState] = {}

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
            rates: By upstream, the sum of the rates of the shards that it owns
                now. A rate measured at the upstream would lag behind moves.
            reports: Last report of each upstream.
        """
        self._targets = {
            name: self._targets.get(name, _TargetState()) for name in views
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
                view.latency_ms > _SLOW_ANSWER_RATIO * mean_ms > 0,
            )
            for name, view in views.items()
        }

    @staticmethod
    def _estimate(
        target: _TargetState,
        now_s: float,
        view: zone.UpstreamView,
        rate: float,
        report: Report | None,
        slow: bool,
    ) -> Effective:
        observed = target.in_flight.add(view.in_flight, now_s)
        if report is None:
            return Effective(rate, observed, -1.0, NONE)
        last_reported = float(report.in_flight + report.queue)
        if now_s - report.received_s > STALE_AFTER_S:
            return Effective(rate, observed, last_reported, STALE)
        reported = target.reported.add(last_reported, now_s)
        agrees = (
            abs(reported - observed) <= _AGREEMENT_TOLERANCE
            or observed / _AGREEMENT_RATIO
            <= reported
            <= observed * _AGREEMENT_RATIO
        )
        _update_trust(target, now_s, agrees or (slow and reported > observed))
        if target.distrusted:
            return Effective(rate, observed, reported, DISTRUSTED)
        if observed <= 0 or agrees:
            return Effective(rate, observed, reported, AGREES)
        believed = max(observed, min(reported, MAX_BELIEVED_RATIO * observed))
        return Effective(
            rate * believed / observed, observed, reported, BOUNDED
        )


def _update_trust(target: _TargetState, now_s: float, agrees: bool) -> None:
    """Distrusts a target after lasting disagreement, until it agrees again."""
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
