"""Times at which callers return that were refused for lack of room.

Load pattern: for some seconds, callers compete for too few upstreams. Callers
that are all told the same delay return together and are refused together. Each
is told when the excess of load will have been worked off, and the callers of
one instance are spread by its share of the completion rate.
"""

from collections.abc import Sequence
import random
from typing import NamedTuple

from bamboosill_common import clock as clock_lib
from bamboosilld.gateway import latency as latency_lib
from bamboosilld.gateway import load_balancing

# Shortest time after which a refused caller is told to return.
MIN_RETRY_AFTER_S = 0.1
# Callers honour a Retry-After up to this fraction of the time that they have
# left.
_HONOURED_FRACTION = 1 / 3
# Fraction of the completion rate that returning callers get. New requests use
# the rest: callers that return at the full rate would be refused again.
_RETURNING_FRACTION = 0.5
# The first callers that the instances refuse are spread over this fraction of
# the target latency, as the instances do not know of each other's callers.
_FIRST_SPREAD_FRACTION = 0.4
# Priorities that are told apart; the least urgent ones count as one.
_PRIORITIES = 3
# Fractional part of the golden ratio: its multiples are evenly spread.
_GOLDEN_RATIO = 0.6180339887498949
# Pools whose told times are remembered before old ones are removed.
_MAX_POOLS = 256


class Room(NamedTuple):
    """Load of a pool: the upstreams among which a request can choose.

    Attributes:
        excess: Requests at the upstreams beyond their slots.
        rate_per_s: Requests that the upstreams complete per second.
        share: This instance's share of that rate.
    """

    excess: float
    rate_per_s: float
    share: float


class Caller(NamedTuple):
    """A refused caller.

    Attributes:
        priority: Priority of its route; 0 is the most urgent.
        left_s: Seconds until its deadline.
        target_s: Target latency of its route in seconds.
    """

    priority: int
    left_s: float
    target_s: float


def measure_room(
    upstreams: Sequence[load_balancing.Upstream],
    service_s: float,
    instances: int,
) -> Room | None:
    """Returns the load of a pool, or None without any information on it.

    Args:
        upstreams: Upstreams of the pool that take requests.
        service_s: Mean latency of the service without a wait, or 0.
        instances: Number of entry instances.
    """
    if not service_s or not any(each.has_recent_load() for each in upstreams):
        return None
    return Room(
        max(0.0, sum(each.estimate_load() - each.slots for each in upstreams)),
        sum(
            each.slots / (service_s * each.relative_latency)
            for each in upstreams
        ),
        1 / max(1, instances),
    )


class _Schedule:
    """Times that callers of one pool were told.

    Attributes:
        next_s: By priority, the first time that is taken neither by a caller
            of that priority nor by a more urgent one.
    """

    def __init__(self) -> None:
        self.next_s = [float("-inf")] * _PRIORITIES
        self._spread = 0.0

    def tell(
        self, caller: Caller, room: Room, now_s: float, rng: random.Random
    ) -> float:
        """Returns the time at which a caller is to return."""
        priority = min(caller.priority, _PRIORITIES - 1)
        helpful_s = caller.left_s * _HONOURED_FRACTION
        interval_s = 1 / (room.rate_per_s * room.share * _RETURNING_FRACTION)
        # A wider spread than the caller honours would help nobody.
        interval_s = min(interval_s, max(MIN_RETRY_AFTER_S, helpful_s))
        drained_s = now_s + room.excess / room.rate_per_s
        told_s = self.next_s[priority]
        if told_s <= drained_s:
            told_s = drained_s
            # An urgent caller returns before those that were told a time.
            if max(self.next_s) <= drained_s:
                told_s += rng.random() * min(
                    interval_s, caller.target_s * _FIRST_SPREAD_FRACTION
                )
        told_s = max(told_s, now_s + MIN_RETRY_AFTER_S)
        if told_s - now_s > helpful_s:
            # The caller will not return then, so it takes no time of others.
            self._spread = (self._spread + _GOLDEN_RATIO) % 1
            return told_s + self._spread * interval_s
        for each in range(priority, _PRIORITIES):
            self.next_s[each] = max(self.next_s[each], told_s) + interval_s
        return told_s


class ReturnTimes:
    """Tells callers when to return, by pool, and keeps the mean latencies."""

    def __init__(self, clock: clock_lib.Clock, rng: random.Random) -> None:
        self._clock = clock
        self._rng = rng
        self._latencies: dict[str, latency_lib.Latency] = {}
        self._schedules: dict[tuple[str, str], _Schedule] = {}

    def record_latency(
        self, service: str, latency_s: float, was_queued: bool
    ) -> None:
        """Updates the mean latency of a service from one response."""
        latency = self._latencies.setdefault(service, latency_lib.Latency())
        latency.add_sample(latency_s, was_queued)

    def get_mean_latency(self, service: str) -> float:
        """Returns the mean latency in seconds without a wait, or 0."""
        latency = self._latencies.get(service)
        return latency.mean_s if latency is not None else 0.0

    def tell(
        self, pool: tuple[str, str], caller: Caller, room: Room | None
    ) -> float:
        """Returns after how many seconds a refused caller is to return.

        Args:
            pool: Service, and the only upstream that can serve, or empty.
            caller: The refused caller.
            room: Load of the pool, or None if it is not known.

        Returns:
            The seconds, or 0 if the load is not known.
        """
        if room is None or not room.rate_per_s:
            return 0.0
        now_s = self._clock.monotonic()
        schedule = self._schedules.get(pool)
        if schedule is None:
            self._remove_old(now_s)
            schedule = self._schedules[pool] = _Schedule()
        return schedule.tell(caller, room, now_s, self._rng) - now_s

    def _remove_old(self, now_s: float) -> None:
        if len(self._schedules) < _MAX_POOLS:
            return
        self._schedules = {
            pool: schedule
            for pool, schedule in self._schedules.items()
            if max(schedule.next_s) > now_s
        }
