"""The leader's permits to send to upstreams that state a rate limit.

Each limited upstream has a token bucket, which all entry instances share: an
instance asks for a permit when a request needs one. The state is in memory
only; a new leader starts with empty buckets. While an upstream is cold, the
limit of its service for cold upstreams applies if it is lower.
"""

import math
import random
from typing import NamedTuple

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common import metrics
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import cold_upstreams
from bamboosilld.fleet import state as state_lib

# An upstream that takes less is still sent a request at this rate: only its
# responses tell when the limit ends.
MIN_RATE_PER_S = 0.1
NO_LIMIT = -1.0
# Longest time that a message can have.
MAX_AGE_MS = 2**32 - 1
# A bucket holds one permit, and those of this time: it loses nothing if callers
# return a little later than they were told.
_BURST_S = 0.25
# Instances that asked within this time share the next permits.
_ASKERS_WINDOW_S = 2.0
# Questions of instances for each permit, so that it is soon used.
_ASKS_PER_PERMIT = 3.0
# How long the end of a limit is passed on: longer than an election, so that
# instances that were cut off meanwhile learn of it when they ask.
_ENDED_LIMIT_KEPT_S = 60.0
_ENDED_LIMIT_SENT_S = 5.0
# Callers are told to return within this time, also if all permits until then
# were told to others.
MAX_RETRY_AFTER_S = 30.0
# Time after which to ask again for an upstream that the leader does not know.
_UNKNOWN_UPSTREAM_WAIT_S = 1.0

_log = logs.get_logger("permits")


class _Reservation(NamedTuple):
    """Permits that refused callers are told.

    Attributes:
        first_s: Time in seconds until the first one, or until the next one that
            no caller was told.
        permits: Number of them.
    """

    first_s: float
    permits: int


class _Bucket:
    """Limit, available permits and recent askers of one upstream.

    Attributes:
        stated_per_s: Rate that the upstream states, or None.
        observed_s: When that was observed.
        rate_per_s: Rate in force, or None without a limit.
    """

    def __init__(self, now_s: float) -> None:
        self.stated_per_s: float | None = None
        self.observed_s = float("-inf")
        self.rate_per_s: float | None = None
        self._cold_per_s: float | None = None
        # When the limit for a cold upstream ends, and the permits a second that
        # refused callers are told after that.
        self._cold_end_s = now_s
        self._warm_per_s = 0.0
        self._tokens = 0.0
        self._filled_s = now_s
        self._askers: dict[str, float] = {}
        # Permits that are due until then were told to refused callers.
        self._told_until_s = now_s

    def set_rate(
        self, rate_per_s: float | None, observed_s: float, now_s: float
    ) -> None:
        """Applies a limit that the upstream states; None stands for none."""
        self.stated_per_s = rate_per_s
        self.observed_s = observed_s
        self._change_rate(now_s, now_s)

    def set_cold(
        self,
        cold_per_s: float | None,
        left_s: float,
        marked_s: float,
        warm_per_s: float,
        now_s: float,
    ) -> None:
        """Applies the limit of a cold upstream.

        Args:
            cold_per_s: Requests a second, or None if it is not cold.
            left_s: Time for which it stays cold.
            marked_s: When it was found to be cold.
            warm_per_s: Requests a second that it is expected to take then.
            now_s: Current monotonic time.
        """
        self._cold_per_s = cold_per_s
        self._cold_end_s = now_s + left_s
        self._warm_per_s = warm_per_s
        self._change_rate(marked_s, now_s)

    def _change_rate(self, since_s: float, now_s: float) -> None:
        """Sets the rate in force: the lower of the limits.

        Args:
            since_s: Since when permits become available if there was no limit.
            now_s: Current monotonic time.
        """
        limits = [self.stated_per_s, self._cold_per_s]
        rate_per_s = min(
            (each for each in limits if each is not None), default=None
        )
        self._fill(now_s)
        if rate_per_s == self.rate_per_s:
            return
        was_unlimited = self.rate_per_s is None
        self.rate_per_s = rate_per_s
        self._told_until_s = now_s
        if was_unlimited:
            self._tokens = (now_s - since_s) * self._get_rate()
        if rate_per_s is not None:
            self._tokens = min(self._tokens, self._get_capacity())

    def take(self, wanted: int, now_s: float) -> int:
        """Takes up to the wanted number of permits and returns the number."""
        self._fill(now_s)
        taken = min(wanted, int(self._tokens))
        self._tokens -= taken
        return taken

    def get_next_permit_s(self) -> float:
        """Returns the time in seconds until the next permit is available.

        An upstream needs none once it is warm, unless it states a limit.
        """
        next_s = max(0.0, 1.0 - self._tokens) / self._get_rate()
        if self._cold_per_s is not None and self.stated_per_s is None:
            next_s = min(next_s, max(0.0, self._cold_end_s - self._filled_s))
        return next_s

    def reserve_to_tell(self, count: int, now_s: float) -> _Reservation:
        """Reserves permits that refused callers are told, as far as possible.

        Args:
            count: Number of permits.
            now_s: Current monotonic time.
        """
        latest_s = now_s + MAX_RETRY_AFTER_S
        first_s = min(
            max(now_s + self.get_next_permit_s(), self._told_until_s), latest_s
        )
        rate_per_s = self._get_rate()
        if self._cold_per_s is not None and first_s >= self._cold_end_s:
            # The limit has ended by then, unless the upstream states one.
            rate_per_s = self._warm_per_s
            if self.stated_per_s is not None:
                rate_per_s = max(MIN_RATE_PER_S, self.stated_per_s)
        free = int((latest_s - first_s) * rate_per_s)
        reserved = min(count, free)
        if reserved:
            self._told_until_s = first_s + reserved / rate_per_s
        return _Reservation(first_s - now_s, reserved)

    def spread_s(self, instance: str, now_s: float) -> float:
        """Returns over how long the questions of all askers are spread."""
        self._askers = {
            each: asked_s
            for each, asked_s in self._askers.items()
            if now_s - asked_s < _ASKERS_WINDOW_S
        }
        self._askers[instance] = now_s
        others = len(self._askers) - 1
        return others / (_ASKS_PER_PERMIT * self._get_rate())

    def _get_rate(self) -> float:
        return max(MIN_RATE_PER_S, self.rate_per_s or 0.0)

    def _get_capacity(self) -> float:
        return 1.0 + self._get_rate() * _BURST_S

    def _fill(self, now_s: float) -> None:
        added = (now_s - self._filled_s) * self._get_rate()
        self._tokens = min(self._get_capacity(), self._tokens + added)
        self._filled_s = now_s


class PermitBroker:
    """Grants permits, and passes on the limits that instances observe."""

    def __init__(
        self,
        state: state_lib.FleetState,
        clock: clock_lib.Clock,
        rng: random.Random,
        cold: cold_upstreams.ColdUpstreams | None = None,
    ) -> None:
        """Initializes the instance.

        Args:
            state: The fleet's state.
            clock: Clock of this member.
            rng: Source of randomness for the times to ask again.
            cold: What this member knows of cold upstreams; by default, what is
                in the state.
        """
        self._state = state
        self._clock = clock
        self._rng = rng
        self._cold = cold or cold_upstreams.ColdUpstreams(state, clock)
        self._started_s = clock.monotonic()
        self._buckets: dict[state_lib.UpstreamIncarnation, _Bucket] = {}

    def mark_cold(
        self, incarnation: state_lib.UpstreamIncarnation, duration_s: float
    ) -> None:
        """Treats an upstream as cold for a time, or until it reports later.

        It has no effect for services without a limit for cold upstreams.
        """
        self._cold.mark(incarnation, duration_s)

    def acquire(
        self, request: messages.AcquirePermits
    ) -> messages.AcquirePermitsReply:
        """Applies the limit that an instance observed and grants permits."""
        now_s = self._clock.monotonic()
        limit = request.limit
        incarnation = state_lib.UpstreamIncarnation(
            limit.upstream, limit.born_ms
        )
        if not self._state.is_registered(incarnation):
            wait_ms = int(_UNKNOWN_UPSTREAM_WAIT_S * 1000)
            return messages.AcquirePermitsReply(
                limit,
                next_permit_ms=wait_ms,
                ask_again_ms=wait_ms,
                tellable=request.wanted,
            )
        bucket = self._buckets.get(incarnation)
        if bucket is None:
            bucket = self._buckets[incarnation] = _Bucket(now_s)
        self._observe(bucket, request, now_s)
        self._update_cold(incarnation, bucket, now_s)
        known = self._encode_limit(incarnation, now_s)
        if bucket.rate_per_s is None or not request.wanted:
            return messages.AcquirePermitsReply(known)
        granted = bucket.take(request.wanted, now_s)
        spread_s = bucket.spread_s(request.instance, now_s)
        ask_again_s = 0.0
        if not granted:
            ask_again_s = bucket.get_next_permit_s()
            ask_again_s += self._rng.uniform(0.0, spread_s)
        reservation = bucket.reserve_to_tell(request.wanted - granted, now_s)
        return messages.AcquirePermitsReply(
            known,
            granted,
            next_permit_ms=math.ceil(reservation.first_s * 1000),
            ask_again_ms=math.ceil(ask_again_s * 1000),
            tellable=reservation.permits,
        )

    def list_limits(self) -> tuple[messages.UpstreamLimit, ...]:
        """Returns the limits in force and those that ended recently."""
        now_s = self._clock.monotonic()
        self._buckets = {
            incarnation: bucket
            for incarnation, bucket in self._buckets.items()
            if self._state.is_registered(incarnation)
            and (
                bucket.stated_per_s is not None
                or now_s - bucket.observed_s < _ENDED_LIMIT_KEPT_S
                or self._cold.get_rate(incarnation) is not None
            )
        }
        told = dict.fromkeys(
            incarnation
            for incarnation, bucket in self._buckets.items()
            if bucket.stated_per_s is not None
            or now_s - bucket.observed_s < _ENDED_LIMIT_SENT_S
        )
        cold = dict.fromkeys(self._cold.list_told())
        metrics.fleet_cold_upstreams.set(
            sum(self._cold.get_rate(each) is not None for each in cold)
        )
        told.update(cold)
        return tuple(self._encode_limit(each, now_s) for each in told)

    def _update_cold(
        self,
        incarnation: state_lib.UpstreamIncarnation,
        bucket: _Bucket,
        now_s: float,
    ) -> None:
        bucket.set_cold(
            self._cold.get_rate(incarnation),
            self._cold.get_left_s(incarnation),
            max(self._cold.get_marked_s(incarnation), self._started_s),
            max(
                bucket.rate_per_s or 0.0,
                self._state.upstreams[incarnation.upstream].slots,
                1.0,
            ),
            now_s,
        )

    def _observe(
        self, bucket: _Bucket, request: messages.AcquirePermits, now_s: float
    ) -> None:
        limit = request.limit
        observed_s = now_s - limit.age_ms / 1000
        if observed_s <= bucket.observed_s:
            return
        rate_per_s = limit.rate_per_s if limit.rate_per_s >= 0 else None
        if rate_per_s != bucket.stated_per_s:
            _log.info(
                "Rate limit changed. Upstream: %s. Rate: %s per second.",
                limit.upstream,
                "none" if rate_per_s is None else f"{rate_per_s:g}",
                extra={"reporter": request.instance, "age_ms": limit.age_ms},
            )
        bucket.set_rate(rate_per_s, observed_s, now_s)

    def _encode_limit(
        self, incarnation: state_lib.UpstreamIncarnation, now_s: float
    ) -> messages.UpstreamLimit:
        bucket = self._buckets.get(incarnation)
        stated_per_s = bucket.stated_per_s if bucket else None
        age_s = now_s - bucket.observed_s if bucket else float("inf")
        cold_s = 0.0
        if self._cold.get_rate(incarnation) is not None:
            cold_s = self._cold.get_left_s(incarnation)
        return messages.UpstreamLimit(
            incarnation.upstream,
            incarnation.born_ms,
            NO_LIMIT if stated_per_s is None else stated_per_s,
            encode_age(age_s),
            math.ceil(cold_s * 1000),
        )


def encode_age(age_s: float) -> int:
    """Returns the age of an observation for a message, in milliseconds."""
    return max(0, round(min(age_s * 1000, MAX_AGE_MS)))
