"""Effective slots of upstreams, from the responses at all entry instances.

Load pattern: some upstreams slow down long before their slots are full. The
effective slots are the concurrency beyond which more requests make such an
upstream slower without more throughput. They are found from the latencies at
each part of the slots that demand itself has filled; no request is sent to
measure them.
"""

import collections
from collections.abc import Container
from collections.abc import Iterable
import functools
import itertools
import math
import statistics
from typing import NamedTuple

from bamboosill_common import clock as clock_lib
from bamboosill_common import logs

# Half-life of measured latencies: a neighbour on the machine comes or goes
# within seconds, and a part gets few responses a second.
_HALF_LIFE_S = 10.0
# Responses are counted by their baseline latency, of which a part needs this
# many milliseconds before its latency is used: about ten responses.
_MIN_BASELINE_MS = 1500.0
# A part adds no throughput if it has less than this fraction of the throughput
# that it would add without any slowdown.
_MIN_ADDED_FRACTION = 0.5
# Throughput is compared only if the latency is higher by this factor than at
# lower utilisation: smaller differences are noise.
_MIN_SLOWDOWN = 1.25
# Up to this factor, the latency counts as that of low utilisation.
_MAX_USUAL_SLOWDOWN = 1.1
# Standard error of a relative latency, times the square root of the baseline
# milliseconds over which it was measured; and the number of standard errors by
# which a slowdown must exceed the least one.
_ERROR_AT_ONE_MS = 8.0
_STANDARD_ERRORS = 1.5
# Effective slots are kept for this time without new measurements beyond them.
_KEPT_S = 60.0
# Effective slots are sent in this fraction of the stated ones.
_SHARE_STEPS = 200
# Changes of a share by at least this much are logged.
_LOGGED_CHANGE = 0.25
_PARTS = 4

_log = logs.get_logger("slots")


class _LatencySum(NamedTuple):
    """Decayed sums of measured and baseline latencies, in milliseconds."""

    took_ms: float
    baseline_ms: float
    updated_s: float


class _Latency(NamedTuple):
    """Latencies at one part of the slots.

    Attributes:
        utilisation: Mean of the busy fractions of the slots in the part.
        took_ms: Sum of the latencies.
        baseline_ms: Sum of the baseline latencies.
    """

    utilisation: float
    took_ms: float
    baseline_ms: float

    @property
    def relative(self) -> float:
        """The latency relative to the mean of the service."""
        return self.took_ms / self.baseline_ms

    @property
    def error(self) -> float:
        """The standard error of the relative latency, as a fraction of it."""
        return _ERROR_AT_ONE_MS / math.sqrt(self.baseline_ms)


class _Share(NamedTuple):
    """Effective fraction of the slots, and when it was last measured."""

    share: float
    found_s: float


class EffectiveSlots:
    """Recent latencies of upstreams by utilisation, and what follows."""

    def __init__(self, clock: clock_lib.Clock) -> None:
        self._clock = clock
        self._sums: dict[str, dict[int, _LatencySum]] = collections.defaultdict(
            dict
        )
        self._known: dict[str, _Share] = {}
        self._logged_shares: dict[str, float] = {}

    def add(
        self, upstream: str, part: int, relative: float, baseline_ms: float
    ) -> None:
        """Adds measured latencies; ignores values that are not valid.

        Args:
            upstream: Id.
            part: Part of the slots that was busy, from 1 to 4.
            relative: Latency of the responses relative to the baseline.
            baseline_ms: Sum of the baseline latencies of these responses.
        """
        if (
            not 1 <= part <= _PARTS
            or not 0.0 < relative < math.inf
            or not 0.0 < baseline_ms < math.inf
        ):
            return
        earlier = self._get_decayed(upstream, part)
        self._sums[upstream][part] = _LatencySum(
            earlier.took_ms + relative * baseline_ms,
            earlier.baseline_ms + baseline_ms,
            self._clock.monotonic(),
        )

    def get_share(self, upstream: str, slots: int) -> float | None:
        """Returns the effective fraction of the slots, or None if unknown.

        An upstream is loaded beyond its effective slots only if the others have
        reached theirs, so that they are seldom measured anew. They are kept
        until demand shows that it takes more, or for a while.
        """
        if upstream not in self._sums:
            return None
        now_s = self._clock.monotonic()
        known = self._known.get(upstream)
        latencies = self._list_latencies(upstream, slots)
        found = _find_share(latencies) if len(latencies) > 1 else None
        if found is not None and found < 1.0:
            self._known[upstream] = _Share(found, now_s)
            return found
        if known is not None:
            is_exceeded = any(
                each.utilisation > known.share for each in latencies
            )
            if not is_exceeded and now_s - known.found_s < _KEPT_S:
                return known.share
            del self._known[upstream]
        return found

    def get_slots(self, upstream: str, slots: int) -> float:
        """Returns the effective slots; the stated ones if unknown."""
        share = self.get_share(upstream, slots)
        return max(1.0, (1.0 if share is None else share) * slots)

    def get_slowdown(self, upstream: str, part: int) -> float:
        """Returns the factor by which requests slow each other down.

        Args:
            upstream: Id.
            part: Part of the slots that is busy, from 1 to 4, or 0 if unknown.
        """
        known = self._known.get(upstream)
        if known is None or not part:
            return 1.0
        return max(1.0, (part - 0.5) / _PARTS / known.share)

    def encode(self, upstreams: Iterable[tuple[str, int]]) -> bytes:
        """Returns the fractions of the slots, one byte each; 0 is unknown.

        Returns nothing if all stated slots are effective: a missing value
        stands for the same, and the replies go to many instances.

        Args:
            upstreams: Ids and stated slots.
        """
        shares = [self.get_share(*each) for each in upstreams]
        if all(share is None or share >= 1.0 for share in shares):
            return b""
        return bytes(map(_encode, shares))

    def retain(self, upstreams: Container[str]) -> None:
        """Drops what was measured at other upstreams."""
        for upstream in [each for each in self._sums if each not in upstreams]:
            del self._sums[upstream]
            self._known.pop(upstream, None)
            self._logged_shares.pop(upstream, None)

    def log_changes(self, upstreams: Iterable[tuple[str, int]]) -> None:
        """Logs upstreams whose effective slots have changed by a lot.

        Args:
            upstreams: Ids and stated slots.
        """
        for upstream, slots in upstreams:
            share = self.get_share(upstream, slots)
            share = 1.0 if share is None else share
            previous = self._logged_shares.get(upstream, 1.0)
            if abs(share - previous) >= _LOGGED_CHANGE:
                self._logged_shares[upstream] = share
                _log.info(
                    "Effective slots of %s changed. Slots: %.1f of %d. "
                    "Previous: %.1f.",
                    upstream,
                    share * slots,
                    slots,
                    previous * slots,
                    extra={"upstream": upstream},
                )

    def _list_latencies(self, upstream: str, slots: int) -> list[_Latency]:
        found = []
        for part, utilisation in _list_utilisations(slots):
            sums = self._get_decayed(upstream, part)
            if sums.baseline_ms >= _MIN_BASELINE_MS:
                found.append(
                    _Latency(utilisation, sums.took_ms, sums.baseline_ms)
                )
        return found

    def _get_decayed(self, upstream: str, part: int) -> _LatencySum:
        now_s = self._clock.monotonic()
        found = self._sums.get(upstream, {}).get(part)
        if found is None:
            return _LatencySum(0.0, 0.0, now_s)
        factor = 0.5 ** ((now_s - found.updated_s) / _HALF_LIFE_S)
        return _LatencySum(
            found.took_ms * factor, found.baseline_ms * factor, now_s
        )


@functools.cache
def _list_utilisations(slots: int) -> list[tuple[int, float]]:
    """Returns the parts of the slots with the mean utilisation in each."""
    by_part = collections.defaultdict(list)
    for running in range(1, slots + 1):
        by_part[-(-running * _PARTS // slots)].append(running / slots)
    return [(part, statistics.fmean(by_part[part])) for part in sorted(by_part)]


def _find_share(latencies: list[_Latency]) -> float:
    """Returns the utilisation beyond which throughput does not grow.

    By Little's law, throughput is proportional to the utilisation divided by
    the latency. Where it has stopped growing, it is that of as many requests
    with the latency of low utilisation as the upstream handles well.
    """
    usual = latencies[0]
    for previous, each in itertools.pairwise(latencies):
        slowdown = each.relative / usual.relative
        error = slowdown * math.hypot(each.error, usual.error)
        if slowdown - _STANDARD_ERRORS * error > _MIN_SLOWDOWN:
            growth = each.utilisation / previous.utilisation
            added = growth * previous.relative / each.relative
            if added - 1.0 < _MIN_ADDED_FRACTION * (growth - 1.0):
                share = each.utilisation / slowdown
                return min(1.0, max(usual.utilisation, share))
        if slowdown < _MAX_USUAL_SLOWDOWN:
            usual = _Latency(
                each.utilisation,
                usual.took_ms + each.took_ms,
                usual.baseline_ms + each.baseline_ms,
            )
    return 1.0


def _encode(share: float | None) -> int:
    if share is None:
        return 0
    return min(_SHARE_STEPS, max(1, round(share * _SHARE_STEPS)))


def decode(step: int) -> float | None:
    """Returns the fraction of the slots of a byte, or None if unknown."""
    return min(1.0, step / _SHARE_STEPS) if step else None
