"""Load balancing: per-upstream load and latency, and the choice by cost."""

from collections.abc import Iterable
import random
from typing import NamedTuple

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import suspicion
from bamboosilld.gateway import availability as availability_lib
from bamboosilld.gateway import http_messages
from bamboosilld.gateway import rate_limit as rate_limit_lib
from bamboosilld.gateway import upstream_connection as upstream_connection_lib

# Weight of the newest sample in the moving average of the relative latency: an
# upstream's latency relative to the mean of its service.
_RELATIVE_LATENCY_GAIN = 0.2
# Bounds of the relative latency, so that a slow upstream still gets some
# requests.
_MIN_RELATIVE_LATENCY = 0.3
_MAX_RELATIVE_LATENCY = 8.0
# The weight of an upstream's load report falls to zero over this time.
_LOAD_REPORT_MAX_AGE_S = 2.5
# Largest load that can be reported to the leader.
_MAX_LOAD = 2**16 - 1
# Load seen by other instances replaces an own report older than this.
_OWN_LOAD_FRESH_S = 0.4
# From this many entry instances on, each one chooses among a random sample of
# upstreams; otherwise all would send to the same one at the same time. The
# sample includes other zones, so that they can relieve an overloaded zone.
_SAMPLING_MIN_INSTANCES = 24
_SAMPLED_SAME_ZONE = 3
_SAMPLED_OTHER_ZONES = 2
# Backoff after a failure of an upstream; doubles with each consecutive failure
# up to the maximum.
_INITIAL_BACKOFF_S = 0.5
_MAX_BACKOFF_S = 4.0
# Consecutive attempts without a response after which an upstream counts as
# unreachable: a single one can be a lost packet.
_UNREACHABLE_NO_RESPONSES = 2
# Multiples of the route's mean latency and of the upstream's own latency after
# which a pending request counts as slow; the longer time applies.
_OVERDUE_BASELINE_RATIO = 3.0
_OVERDUE_RELATIVE_LATENCY_RATIO = 2.0
# Added load of an upstream in another zone, as a fraction of its slots:
# traffic between zones is costly.
_CROSS_ZONE_LOAD_PENALTY = 0.3
# Requests that may be queued at an upstream, per slot: some upstreams never
# answer a request that they cannot queue.
_MAX_QUEUED_PER_SLOT = 2.5

# Time for which a leaving upstream still takes requests, unless set.
DEFAULT_DRAIN_S = 2.0

_log = logs.get_logger("balance")


class Load(NamedTuple):
    """Requests at an upstream when observed, and how many were our own."""

    requests: int
    own: int
    observed_s: float


class Upstream:
    """One incarnation of an upstream as this instance sees it.

    Attributes:
        item: Its announcement.
        in_flight: Requests of this instance in flight to it.
        relative_latency: Recent latency relative to the mean of its service; 2
            is twice as slow.
        failures: Consecutive failures.
        backoff_until_s: It gets no request before this time, unless all
            upstreams are backing off.
        rate_limit: The rate limit that it states in its responses, or that
            applies while it is cold.
        availability: Whether it takes requests now, as it states there.
    """

    def __init__(
        self,
        item: messages.UpstreamItem,
        clock: clock_lib.Clock,
        request_id_name: bytes,
        local_host: str = "",
        drain_s: float = DEFAULT_DRAIN_S,
    ) -> None:
        self.item = item
        self._clock = clock
        self.pool = upstream_connection_lib.Pool(
            item.address, request_id_name, local_host
        )
        self.rate_limit = rate_limit_lib.RateLimit(item.upstream, clock)
        self.availability = availability_lib.Availability(
            item.upstream, clock, drain_s
        )
        self.in_flight = 0
        self.relative_latency = 1.0
        self._latency_sum_s = 0.0
        self._baseline_sum_s = 0.0
        self.failures = 0
        self.backoff_until_s = 0.0
        self._warmup_end_s = clock.monotonic() + item.warmup_ms / 1000
        self._load = Load(0, 0, float("-inf"))
        self._has_new_load = False
        self._no_response = False
        self._no_response_count = 0

    @property
    def slots(self) -> int:
        """Number of requests that it runs concurrently."""
        return max(1, self.item.slots)

    def mark_cold(self, duration_s: float) -> None:
        """Treats it as cold for at least this time from now on."""
        end_s = self._clock.monotonic() + duration_s
        self._warmup_end_s = max(self._warmup_end_s, end_s)
        self.rate_limit.mark_cold(duration_s)

    def estimate_load(self) -> float:
        """Returns the estimated requests at the upstream, of all instances."""
        age_s = self._clock.monotonic() - self._load.observed_s
        weight = max(0.0, 1.0 - age_s / _LOAD_REPORT_MAX_AGE_S)
        others = self._load.requests - self._load.own
        return self.in_flight + max(0, others) * weight

    def update_load(self, value: bytes) -> None:
        """Applies a load header: running and waiting requests, slots."""
        parts = [
            http_messages.parse_count(part.strip())
            for part in value.split(b",")
        ]
        counts = [part for part in parts if part is not None]
        if len(parts) != 3 or len(counts) != 3:
            return
        running, waiting, _ = counts
        self._has_new_load = True
        self._set_load(min(running + waiting, _MAX_LOAD))

    def update_shared_load(self, requests: int) -> None:
        """Applies a load that any instance observed recently."""
        now_s = self._clock.monotonic()
        if requests == suspicion.SUSPECT_LOAD_MARKER:
            self.backoff_until_s = max(
                self.backoff_until_s, now_s + _INITIAL_BACKOFF_S
            )
        elif now_s - self._load.observed_s > _OWN_LOAD_FRESH_S:
            self._set_load(requests)

    def pop_new_load(self) -> int | None:
        """Returns the load if one was reported since the last call."""
        if not self._has_new_load:
            return None
        self._has_new_load = False
        return self._load.requests

    def get_load_age_ms(self) -> int:
        """Returns the age of the last load in milliseconds, or -1 if none."""
        age_s = self._clock.monotonic() - self._load.observed_s
        return int(age_s * 1000) if age_s < 1e9 else -1

    def has_recent_load(self) -> bool:
        """Returns whether the last load still has weight in estimates."""
        age_s = self._clock.monotonic() - self._load.observed_s
        return age_s < _LOAD_REPORT_MAX_AGE_S

    def pop_no_response(self) -> bool:
        """Returns whether an attempt got no response since the last call."""
        no_response, self._no_response = self._no_response, False
        return no_response

    def _set_load(self, requests: int) -> None:
        self._load = Load(requests, self.in_flight, self._clock.monotonic())

    def record_success(self) -> None:
        """Clears the failures and ends the backoff."""
        self.failures = 0
        self._no_response_count = 0
        self.backoff_until_s = 0.0
        self._no_response = False

    def record_latency(self, latency_s: float, baseline_s: float) -> None:
        """Updates the relative latency from one response.

        Args:
            latency_s: Its latency without the wait for a slot.
            baseline_s: Mean latency of its route.
        """
        self._latency_sum_s += latency_s
        self._baseline_sum_s += baseline_s
        ratio = latency_s / baseline_s
        relative_latency = self.relative_latency + _RELATIVE_LATENCY_GAIN * (
            ratio - self.relative_latency
        )
        self.relative_latency = min(
            _MAX_RELATIVE_LATENCY, max(_MIN_RELATIVE_LATENCY, relative_latency)
        )

    def get_overdue_ratio(self) -> float:
        """Returns the multiple of the mean latency at which one is overdue."""
        return max(
            _OVERDUE_BASELINE_RATIO,
            _OVERDUE_RELATIVE_LATENCY_RATIO * self.relative_latency,
        )

    def update_shared_relative_latency(
        self, relative_latency: float | None
    ) -> None:
        """Applies the relative latency over the responses of all instances."""
        if relative_latency is not None:
            self.relative_latency = min(
                _MAX_RELATIVE_LATENCY,
                max(_MIN_RELATIVE_LATENCY, relative_latency),
            )

    def pop_relative_latency(self) -> tuple[float, float]:
        """Returns the relative latency of the responses since the last call.

        Returns:
            The relative latency, and the sum of the baseline latencies in
            seconds.
        """
        total_s, baseline_s = self._latency_sum_s, self._baseline_sum_s
        self._latency_sum_s = self._baseline_sum_s = 0.0
        return (total_s / baseline_s if baseline_s else 1.0), baseline_s

    def record_failure(self, no_response: bool) -> None:
        """Starts or extends the backoff and closes idle connections.

        Args:
            no_response: Whether the upstream did not respond at all.
        """
        self._no_response = self._no_response or no_response
        self._no_response_count = (
            self._no_response_count + 1 if no_response else 0
        )
        self.failures += 1
        backoff_s = min(
            _MAX_BACKOFF_S, _INITIAL_BACKOFF_S * 2 ** (self.failures - 1)
        )
        self.backoff_until_s = self._clock.monotonic() + backoff_s
        self.pool.close_idle()

    def is_backing_off(self) -> bool:
        """Returns whether the backoff after a failure has not ended."""
        return self._clock.monotonic() < self.backoff_until_s

    def is_unreachable(self) -> bool:
        """Returns whether the upstream is probably unreachable from here."""
        return (
            self._no_response_count >= _UNREACHABLE_NO_RESPONSES
            and self.is_backing_off()
        )

    def is_full(self) -> bool:
        """Returns whether another request would likely overflow its queue."""
        return self.estimate_load() >= self.slots * (1 + _MAX_QUEUED_PER_SLOT)

    def estimate_latency(self, baseline_s: float) -> float:
        """Returns the expected latency of one more request, in seconds.

        Args:
            baseline_s: Mean latency of the request's route without a wait.
        """
        return baseline_s * self.relative_latency * self.estimate_wait_factor()

    def estimate_wait_factor(self) -> float:
        """Returns the factor by which a wait for a slot adds to latency."""
        queued = max(0.0, self.estimate_load() + 1.0 - self.slots)
        return 1.0 + queued / self.slots

    def compute_cost(self, zone: str) -> float:
        """Returns the cost of sending one more request; the lowest wins."""
        load = self.estimate_load() + 1.0
        if self.item.zone != zone:
            load += _CROSS_ZONE_LOAD_PENALTY * self.slots
        if self._clock.monotonic() < self._warmup_end_s:
            load *= 2.0
        return load / self.slots * self.relative_latency


def choose(
    candidates: Iterable[Upstream],
    zone: str,
    rng: random.Random,
    instances: int,
) -> Upstream | None:
    """Returns the upstream with the lowest cost, or None if all are full.

    Args:
        candidates: Upstreams of one service.
        zone: Own availability zone.
        rng: Source of randomness for sampling and for ties.
        instances: Number of entry instances that choose.
    """
    usable = [each for each in candidates if not each.is_full()]
    available = [each for each in usable if not each.is_backing_off()] or usable
    if not available:
        return None
    if instances >= _SAMPLING_MIN_INSTANCES:
        same_zone = [each for each in available if each.item.zone == zone]
        other_zones = [each for each in available if each.item.zone != zone]
        available = [
            *rng.sample(same_zone, min(_SAMPLED_SAME_ZONE, len(same_zone))),
            *rng.sample(
                other_zones, min(_SAMPLED_OTHER_ZONES, len(other_zones))
            ),
        ]
    return min(
        available, key=lambda each: (each.compute_cost(zone), rng.random())
    )
