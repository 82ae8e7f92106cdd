"""What an entry instance knows of each upstream, and which one it chooses."""

from collections.abc import Iterable
import random
from typing import NamedTuple

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs
from bamboosill_common.generated import fleet as messages
from bamboosilld.fleet import suspicion
from bamboosilld.gateway import upstream as upstream_lib

# Weight of the newest latency in the moving average of an upstream's pace.
_PACE_GAIN = 0.2
# Pace is kept within these bounds, so that no upstream is starved by it.
_MIN_PACE = 0.3
_MAX_PACE = 8.0
# An upstream's report of its load counts for this long.
_REPORT_LIFE_S = 2.5
# What other instances saw replaces an own view that is older than this.
_FRESH_S = 0.4
# With many entry instances, each one chooses among a few upstreams by lot;
# otherwise all of them would send to the same one at the same time. Some are
# of other zones, so that a zone with too few upstreams is helped.
_MANY_INSTANCES = 24
_DRAWN_NEAR = 3
_DRAWN_FAR = 2
# An upstream that fails is left alone for this long at first, doubled with
# each further failure in a row up to the longest time.
_FIRST_REST_S = 0.5
_LONGEST_REST_S = 4.0
# Sends in a row without any sign of the upstream after which it counts as
# unreachable: a single one can be a lost packet.
_UNREACHABLE_SILENCES = 2
# A request counts as slow before its answer when it takes this many times as
# long as usual, or this many times as long as usual for its upstream.
_OVERDUE_RATIO = 3.0
_OVERDUE_PACE_RATIO = 2.0
# Upstreams of other zones count as loaded by this much more, in slots: bytes
# between zones are costly.
_OTHER_ZONE_LOAD = 0.3
# Requests that may wait at an upstream for each slot: some upstreams never
# answer a request that they cannot queue.
_QUEUE_PER_SLOT = 2.5

_log = logs.get_logger("balance")


class Load(NamedTuple):
    """Requests that an upstream had, and how many of them were ours."""

    requests: int
    own: int
    at_s: float


class Upstream:
    """One life of an upstream as this instance sees it.

    Attributes:
        item: What it announced.
        in_flight: Requests of this instance that it has now.
        pace: Its recent latency relative to the mean of its service.
        failures: Failures in a row.
        rests_until_s: It gets no request before, unless all are resting.
    """

    def __init__(
        self,
        item: messages.UpstreamItem,
        clock: clock_lib.Clock,
        request_id_name: bytes,
    ) -> None:
        self.item = item
        self._clock = clock
        self.pool = upstream_lib.Pool(item.address, request_id_name)
        self.in_flight = 0
        self.pace = 1.0
        self._answers_took_s = 0.0
        self._answers_usual_s = 0.0
        self.failures = 0
        self.rests_until_s = 0.0
        self._warm_at_s = clock.monotonic() + item.warmup_ms / 1000
        self._load = Load(0, 0, float("-inf"))
        self._has_new_load = False
        self._is_silent = False
        self._silences = 0

    @property
    def slots(self) -> int:
        """Requests that it runs at the same time."""
        return max(1, self.item.slots)

    def estimate_load(self) -> float:
        """Returns the requests that it probably has now, in all."""
        age_s = self._clock.monotonic() - self._load.at_s
        weight = max(0.0, 1.0 - age_s / _REPORT_LIFE_S)
        others = self._load.requests - self._load.own
        return self.in_flight + max(0, others) * weight

    def take_load(self, value: bytes) -> None:
        """Takes an upstream's report of its running and waiting requests."""
        parts = value.split(b",")
        if len(parts) != 3 or not all(part.strip().isdigit() for part in parts):
            return
        running, waiting, _ = (int(part) for part in parts)
        self._has_new_load = True
        self._set_load(running + waiting)

    def take_shared_load(self, requests: int) -> None:
        """Takes a load that any instance has seen lately."""
        now_s = self._clock.monotonic()
        if requests == suspicion.SUSPECT_LOAD:
            self.rests_until_s = max(self.rests_until_s, now_s + _FIRST_REST_S)
        elif now_s - self._load.at_s > _FRESH_S:
            self._set_load(requests)

    def take_new_load(self) -> int | None:
        """Returns the load if the upstream reported one since the last call."""
        if not self._has_new_load:
            return None
        self._has_new_load = False
        return self._load.requests

    def get_load_age_ms(self) -> int:
        """Returns the age of the last load in milliseconds, or -1."""
        age_s = self._clock.monotonic() - self._load.at_s
        return int(age_s * 1000) if age_s < 1e9 else -1

    def take_silence(self) -> bool:
        """Returns whether it did not answer at all since the last call."""
        is_silent, self._is_silent = self._is_silent, False
        return is_silent

    def _set_load(self, requests: int) -> None:
        self._load = Load(requests, self.in_flight, self._clock.monotonic())

    def take_success(self) -> None:
        """Ends a rest."""
        self.failures = 0
        self._silences = 0
        self.rests_until_s = 0.0
        self._is_silent = False

    def take_latency(self, latency_s: float, usual_s: float) -> None:
        """Counts an answer.

        Args:
            latency_s: Its latency without the wait for a slot.
            usual_s: What is usual for its route.
        """
        self._answers_took_s += latency_s
        self._answers_usual_s += usual_s
        ratio = latency_s / usual_s
        pace = self.pace + _PACE_GAIN * (ratio - self.pace)
        self.pace = min(_MAX_PACE, max(_MIN_PACE, pace))

    def get_overdue_ratio(self) -> float:
        """Returns after how many times the usual latency a request is slow."""
        return max(_OVERDUE_RATIO, _OVERDUE_PACE_RATIO * self.pace)

    def take_shared_pace(self, pace: float | None) -> None:
        """Takes the pace that follows from the answers to all instances."""
        if pace is not None:
            self.pace = min(_MAX_PACE, max(_MIN_PACE, pace))

    def take_answers(self) -> tuple[float, float]:
        """Returns the pace of the answers since the last call.

        Returns:
            The pace, and what these answers usually take together in seconds.
        """
        took_s, usual_s = self._answers_took_s, self._answers_usual_s
        self._answers_took_s = self._answers_usual_s = 0.0
        return (took_s / usual_s if usual_s else 1.0), usual_s

    def take_failure(self, is_silent: bool) -> None:
        """Lets the upstream rest.

        Args:
            is_silent: Whether it did not answer at all.
        """
        self._is_silent = self._is_silent or is_silent
        self._silences = self._silences + 1 if is_silent else 0
        self.failures += 1
        rest_s = min(_LONGEST_REST_S, _FIRST_REST_S * 2 ** (self.failures - 1))
        self.rests_until_s = self._clock.monotonic() + rest_s
        self.pool.close_idle()

    def is_resting(self) -> bool:
        """Returns whether it should get no request now."""
        return self._clock.monotonic() < self.rests_until_s

    def is_unreachable(self) -> bool:
        """Returns whether it probably answers nothing from here now."""
        return self._silences >= _UNREACHABLE_SILENCES and self.is_resting()

    def is_full(self) -> bool:
        """Returns whether another request would probably wait too long."""
        return self.estimate_load() >= self.slots * (1 + _QUEUE_PER_SLOT)

    def estimate_latency(self, usual_s: float) -> float:
        """Returns how long another request would probably take, in seconds.

        Args:
            usual_s: Usual latency of the request's route without a wait.
        """
        return usual_s * self.pace * self.estimate_wait_factor()

    def estimate_wait_factor(self) -> float:
        """Returns by how much a wait for a slot would lengthen a request."""
        ahead = max(0.0, self.estimate_load() + 1.0 - self.slots)
        return 1.0 + ahead / self.slots

    def compute_cost(self, zone: str) -> float:
        """Returns how unfavourable another request is here."""
        load = self.estimate_load() + 1.0
        if self.item.zone != zone:
            load += _OTHER_ZONE_LOAD * self.slots
        if self._clock.monotonic() < self._warm_at_s:
            load *= 2.0
        return load / self.slots * self.pace


def choose(
    candidates: Iterable[Upstream],
    zone: str,
    rng: random.Random,
    instances: int,
) -> Upstream | None:
    """Returns the most favourable upstream, or None if all are full.

    Args:
        candidates: Upstreams of one service.
        zone: Own availability zone.
        rng: Decides between equals.
        instances: Number of entry instances that choose.
    """
    usable = [each for each in candidates if not each.is_full()]
    awake = [each for each in usable if not each.is_resting()] or usable
    if not awake:
        return None
    if instances >= _MANY_INSTANCES:
        near = [each for each in awake if each.item.zone == zone]
        far = [each for each in awake if each.item.zone != zone]
        awake = [
            *rng.sample(near, min(_DRAWN_NEAR, len(near))),
            *rng.sample(far, min(_DRAWN_FAR, len(far))),
        ]
    return min(awake, key=lambda each: (each.compute_cost(zone), rng.random()))
